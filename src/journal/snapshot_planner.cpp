#include "skylarkhill/journal/snapshot_planner.hpp"

#include "skylarkhill/base/hash.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace skylarkhill::journal {

namespace {

// A snapshot is due in one of the intervals 4 to 6 of the retention, one
// interval later per rank of the instance.
constexpr std::int64_t kIntervalsPerRetention = 8;
constexpr std::int64_t kFirstSnapshotInterval = 4;
constexpr std::int64_t kMaxRank = 2;

// Distinguish the ids of tasks from those of keys.
constexpr std::string_view kTaskPrefix = "t:";
constexpr std::string_view kKeyPrefix = "k:";

std::int64_t
RankOf(std::string_view aId,
       const base::InstanceId& aSelf,
       const std::vector<base::InstanceId>& aLive)
{
  const std::uint64_t seed = base::StableHash(aId);
  const std::uint64_t own = base::StableHash(aSelf.mValue, seed);
  return std::count_if(aLive.begin(), aLive.end(), [&](const auto& aEach) {
    return aEach != aSelf && base::StableHash(aEach.mValue, seed) > own;
  });
}

std::int64_t
SnapshotIntervalMs(std::int64_t aRetentionMs)
{
  return std::max<std::int64_t>(1, aRetentionMs / kIntervalsPerRetention);
}

// Spreads tasks that were accepted together over one snapshot interval.
std::int64_t
EarliestAgeMs(std::string_view aId, std::int64_t aRetentionMs)
{
  const std::int64_t interval = SnapshotIntervalMs(aRetentionMs);
  const auto spread = static_cast<std::int64_t>(
    base::StableHash(aId, 1) % static_cast<std::uint64_t>(interval));
  return interval * kFirstSnapshotInterval + spread;
}

} // namespace

std::int64_t
SnapshotAgeMs(std::string_view aId,
              const base::InstanceId& aSelf,
              const std::vector<base::InstanceId>& aLive,
              std::int64_t aRetentionMs)
{
  const std::int64_t rank = std::min(RankOf(aId, aSelf, aLive), kMaxRank);
  return EarliestAgeMs(aId, aRetentionMs) +
         rank * SnapshotIntervalMs(aRetentionMs);
}

SnapshotPlanner::SnapshotPlanner(SnapshotPlannerOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

bool
SnapshotPlanner::MarkIfDue(const std::string& aId,
                           std::int64_t aAgeMs,
                           const std::vector<base::InstanceId>& aLive,
                           std::int64_t aNowMs)
{
  // Ranking computes a hash per instance, so the cheap lower bound is checked
  // first.
  const std::int64_t retention = mOptions.mRetentionMs;
  if (aAgeMs < EarliestAgeMs(aId, retention) ||
      aAgeMs < SnapshotAgeMs(aId, mOptions.mSelf, aLive, retention)) {
    return false;
  }
  return mPlannedAtMs.emplace(aId, aNowMs).second;
}

std::vector<SiteRecord>
SnapshotPlanner::Plan(const SiteState& aState,
                      const std::vector<base::InstanceId>& aLive,
                      std::int64_t aNowMs)
{
  const std::int64_t interval = SnapshotIntervalMs(mOptions.mRetentionMs);
  for (auto it = mPlannedAtMs.begin(); it != mPlannedAtMs.end();) {
    const bool isExpired = it->second + interval <= aNowMs;
    it = isExpired ? mPlannedAtMs.erase(it) : std::next(it);
  }
  const std::int64_t minAge = interval * kFirstSnapshotInterval;
  std::vector<SiteRecord> result;
  for (const auto& it :
       aState.TasksToSnapshot(minAge, aNowMs, mOptions.mMaxCandidates)) {
    if (result.size() >= mOptions.mMaxPerPlan) {
      return result;
    }
    const std::int64_t age = aState.AgeOf(it.mReplayFrom, aNowMs);
    const std::string id = std::string(kTaskPrefix) + it.mTask.mValue;
    if (!MarkIfDue(id, age, aLive, aNowMs)) {
      continue;
    }
    if (auto record = aState.SnapshotTask(it.mTask)) {
      result.emplace_back(std::move(*record));
    }
  }
  for (const auto& it :
       aState.KeysToSnapshot(minAge, aNowMs, mOptions.mMaxCandidates)) {
    if (result.size() >= mOptions.mMaxPerPlan) {
      return result;
    }
    const std::int64_t age = aState.AgeOf(it.mReplayFrom, aNowMs);
    const std::string id = std::string(kKeyPrefix) + it.mKey.mValue;
    if (!MarkIfDue(id, age, aLive, aNowMs)) {
      continue;
    }
    if (auto record = aState.SnapshotKey(it.mKey)) {
      result.emplace_back(std::move(*record));
    }
  }
  return result;
}

} // namespace skylarkhill::journal
