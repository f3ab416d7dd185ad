#include "skylarkhill/policy/queue.hpp"

#include "skylarkhill/policy/profiles.hpp"

#include <algorithm>
#include <array>
#include <numeric>
#include <tuple>

namespace skylarkhill::policy {

namespace {

/// In order of acceptance; ignores quotas.
class FifoQueue : public QueuePolicy
{
public:
  std::vector<std::size_t> Order(const std::vector<QueueCandidate>& aTasks,
                                 const TeamUsageMap&) const override
  {
    std::vector<std::size_t> order(aTasks.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::sort(
      order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
        return aTasks[aLeft].mAcceptedOrder < aTasks[aRight].mAcceptedOrder;
      });
    return order;
  }

  void RecordRun(const std::string&, std::int64_t, bool) override {}
};

// Level n holds tasks expected to run at most kLevelSeconds[n]; one more level
// holds all longer tasks.
constexpr std::array<std::int64_t, 3> kLevelSeconds{ 60, 600, 3600 };

std::size_t
LevelOf(std::int64_t aSeconds)
{
  std::size_t level = 0;
  while (level < kLevelSeconds.size() && aSeconds > kLevelSeconds[level]) {
    ++level;
  }
  return level;
}

/// Weighted dominant share: the largest fraction of its quota that the team
/// uses of any resource, divided by its weight.
double
DominantShare(const TeamUsage& aTeam)
{
  const auto share = [](std::int64_t aUsed, std::int64_t aQuota) {
    return aQuota <= 0
             ? 0.0
             : static_cast<double>(aUsed) / static_cast<double>(aQuota);
  };
  const double largest = std::max(
    { share(aTeam.mUsed.mMilliProcessors, aTeam.mQuota.mMilliProcessors),
      share(aTeam.mUsed.mMemoryBytes, aTeam.mQuota.mMemoryBytes),
      share(aTeam.mUsed.mAccelerators, aTeam.mQuota.mAccelerators) });
  return largest /
         static_cast<double>(std::max<std::int64_t>(1, aTeam.mWeight));
}

/// Urgent tasks first, then by level of expected run time, then by dominant
/// share of the team, then in order of acceptance.
class FairQueue : public QueuePolicy
{
public:
  std::vector<std::size_t> Order(const std::vector<QueueCandidate>& aTasks,
                                 const TeamUsageMap& aTeams) const override
  {
    TeamUsageMap teams = aTeams;
    std::vector<std::size_t> order;
    order.reserve(aTasks.size());
    for (const std::size_t n : SortedByKey(aTasks, aTeams)) {
      if (ReserveQuota(aTasks[n], teams)) {
        order.push_back(n);
      }
    }
    return order;
  }

  void RecordRun(const std::string& aBatchClass,
                 std::int64_t aRunSeconds,
                 bool aCompleted) override
  {
    // The run time of an attempt that did not complete is only a lower bound,
    // so it can only raise an existing estimate.
    const auto it = mTypicalSeconds.find(aBatchClass);
    if (it == mTypicalSeconds.end()) {
      mTypicalSeconds[aBatchClass] = static_cast<double>(aRunSeconds);
      return;
    }
    const auto seconds = static_cast<double>(aRunSeconds);
    if (aCompleted || seconds > it->second) {
      constexpr double kSampleWeight = 0.1;
      it->second += kSampleWeight * (seconds - it->second);
    }
  }

private:
  // Declared run times are unreliable; the actual run times of the class and
  // the time for which the task has already run are better estimates.
  std::int64_t ExpectedSeconds(const QueueCandidate& aTask) const
  {
    const auto it = mTypicalSeconds.find(aTask.mBatchClass);
    const std::int64_t typical = it == mTypicalSeconds.end()
                                   ? aTask.mDeclaredRunSeconds
                                   : static_cast<std::int64_t>(it->second);
    return std::max(typical, aTask.mPriorRunSeconds);
  }

  std::vector<std::size_t> SortedByKey(
    const std::vector<QueueCandidate>& aTasks,
    const TeamUsageMap& aTeams) const
  {
    using Key = std::tuple<bool, std::size_t, double, std::int64_t>;
    std::vector<std::pair<Key, std::size_t>> keyed;
    keyed.reserve(aTasks.size());
    for (std::size_t n = 0; n < aTasks.size(); ++n) {
      const QueueCandidate& task = aTasks[n];
      const auto team = aTeams.find(task.mTeam);
      const double share =
        team == aTeams.end() ? 0.0 : DominantShare(team->second);
      keyed.emplace_back(Key{ !task.mUrgent,
                              LevelOf(ExpectedSeconds(task)),
                              share,
                              task.mAcceptedOrder },
                         n);
    }
    std::sort(keyed.begin(), keyed.end());
    std::vector<std::size_t> order;
    order.reserve(keyed.size());
    for (const auto& it : keyed) {
      order.push_back(it.second);
    }
    return order;
  }

  static bool ReserveQuota(const QueueCandidate& aTask, TeamUsageMap& aTeams)
  {
    const auto it = aTeams.find(aTask.mTeam);
    if (it == aTeams.end()) {
      return true;
    }
    const base::Resources used = it->second.mUsed + aTask.mNeed;
    if (!base::Fits(used, it->second.mQuota)) {
      return false;
    }
    it->second.mUsed = used;
    return true;
  }

  std::unordered_map<std::string, double> mTypicalSeconds;
};

} // namespace

std::unique_ptr<QueuePolicy>
CreateQueuePolicy(Profile aProfile)
{
  if (aProfile == Profile::Baseline) {
    return std::make_unique<FifoQueue>();
  }
  return std::make_unique<FairQueue>();
}

} // namespace skylarkhill::policy
