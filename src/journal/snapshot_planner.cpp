#include "skylarkhill/journal/snapshot_planner.hpp"

#include "skylarkhill/base/hash.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace skylarkhill::journal {

namespace {

constexpr std::int64_t kEighths = 8;
constexpr std::int64_t kFirstEighth = 4;
constexpr std::int64_t kLastRank = 2;

// Separates ids of tasks from equal ids of keys.
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
EighthOf(std::int64_t aRetentionMs)
{
  return std::max<std::int64_t>(1, aRetentionMs / kEighths);
}

// Spreads tasks that were accepted together over an eighth of the retention.
std::int64_t
EarliestAgeMs(std::string_view aId, std::int64_t aRetentionMs)
{
  const std::int64_t eighth = EighthOf(aRetentionMs);
  const auto spread = static_cast<std::int64_t>(
    base::StableHash(aId, 1) % static_cast<std::uint64_t>(eighth));
  return eighth * kFirstEighth + spread;
}

} // namespace

std::int64_t
SnapshotAgeMs(std::string_view aId,
              const base::InstanceId& aSelf,
              const std::vector<base::InstanceId>& aLive,
              std::int64_t aRetentionMs)
{
  const std::int64_t rank = std::min(RankOf(aId, aSelf, aLive), kLastRank);
  return EarliestAgeMs(aId, aRetentionMs) + rank * EighthOf(aRetentionMs);
}

SnapshotPlanner::SnapshotPlanner(SnapshotPlannerSettings aSettings)
  : mSettings(std::move(aSettings))
{
}

bool
SnapshotPlanner::Claim(const std::string& aId,
                       std::int64_t aAgeMs,
                       const std::vector<base::InstanceId>& aLive,
                       std::int64_t aNowMs)
{
  // The rank costs a hash per instance, so the cheaper bound is checked first.
  const std::int64_t retention = mSettings.mRetentionMs;
  if (aAgeMs < EarliestAgeMs(aId, retention) ||
      aAgeMs < SnapshotAgeMs(aId, mSettings.mSelf, aLive, retention)) {
    return false;
  }
  return mPlannedAtMs.emplace(aId, aNowMs).second;
}

std::vector<SiteRecord>
SnapshotPlanner::Plan(const SiteState& aState,
                      const std::vector<base::InstanceId>& aLive,
                      std::int64_t aNowMs)
{
  const std::int64_t eighth = EighthOf(mSettings.mRetentionMs);
  for (auto it = mPlannedAtMs.begin(); it != mPlannedAtMs.end();) {
    const bool isOver = it->second + eighth <= aNowMs;
    it = isOver ? mPlannedAtMs.erase(it) : std::next(it);
  }
  const std::int64_t minAge = eighth * kFirstEighth;
  std::vector<SiteRecord> result;
  for (const auto& it :
       aState.TasksOlderThan(minAge, aNowMs, mSettings.mMaxCandidates)) {
    if (result.size() >= mSettings.mMaxPerPlan) {
      return result;
    }
    const std::int64_t age = aState.AgeOf(it.mReplayFrom, aNowMs);
    const std::string id = std::string(kTaskPrefix) + it.mTask.mValue;
    if (!Claim(id, age, aLive, aNowMs)) {
      continue;
    }
    if (auto record = aState.SnapshotTask(it.mTask)) {
      result.emplace_back(std::move(*record));
    }
  }
  for (const auto& it :
       aState.KeysOlderThan(minAge, aNowMs, mSettings.mMaxCandidates)) {
    if (result.size() >= mSettings.mMaxPerPlan) {
      return result;
    }
    const std::int64_t age = aState.AgeOf(it.mBasedAt, aNowMs);
    const std::string id = std::string(kKeyPrefix) + it.mKey.mValue;
    if (!Claim(id, age, aLive, aNowMs)) {
      continue;
    }
    if (auto record = aState.SnapshotKey(it.mKey)) {
      result.emplace_back(std::move(*record));
    }
  }
  return result;
}

} // namespace skylarkhill::journal
