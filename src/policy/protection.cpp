#include "skylarkhill/policy/protection.hpp"

#include "skylarkhill/policy/profiles.hpp"

#include <algorithm>
#include <unordered_map>

namespace skylarkhill::policy {

namespace {

class NoProtection : public ProtectionPolicy
{
public:
  std::vector<ProtectionAction> Decide(const ProtectionInput&,
                                       base::TimePoint) override
  {
    return {};
  }
};

struct ProtectionLimits
{
  /// Excess over the tolerated service time, in percentage points, above which
  /// tasks are throttled or evicted.
  std::int64_t mExcessPercent;
  /// Throttling is relaxed below the tolerated service time minus this, in
  /// percentage points. If negative, it is relaxed already above the tolerated
  /// service time.
  std::int64_t mRecoveryPercent;
  std::int64_t mMinThrottlePercent;
  /// Time until the delayed reports show the effect of an action.
  base::Duration mReactionTime;
  /// Number of decisions over the limit that find no task left to throttle,
  /// after which a task is evicted.
  std::int64_t mDecisionsBeforeEviction;
};

constexpr ProtectionLimits kThroughputLimits{ 100,
                                              -60,
                                              50,
                                              std::chrono::seconds(4),
                                              4 };
constexpr ProtectionLimits kTailLimits{ 60,
                                        -30,
                                        25,
                                        std::chrono::seconds(2),
                                        2 };

/// Throttles tasks first; if that is not enough, evicts the task with the
/// lowest eviction cost.
class ThrottleThenEvict : public ProtectionPolicy
{
public:
  explicit ThrottleThenEvict(const ProtectionLimits& aLimits)
    : mLimits(aLimits)
  {
  }

  std::vector<ProtectionAction> Decide(const ProtectionInput& aWorker,
                                       base::TimePoint aNow) override
  {
    State& state = mStates[aWorker.mWorker];
    if (aNow < state.mNextDecisionAt) {
      return {};
    }
    const std::int64_t upper =
      aWorker.mToleratedPercent + mLimits.mExcessPercent;
    const std::int64_t lower =
      aWorker.mToleratedPercent - mLimits.mRecoveryPercent;
    if (aWorker.mServiceTimePercent > upper) {
      return Restrict(aWorker, state, aNow);
    }
    state.mDecisionsOverLimit = 0;
    if (aWorker.mServiceTimePercent < lower) {
      return Relax(aWorker, state, aNow);
    }
    return {};
  }

private:
  struct State
  {
    base::TimePoint mNextDecisionAt;
    std::int64_t mDecisionsOverLimit = 0;
  };

  std::vector<ProtectionAction> Restrict(const ProtectionInput& aWorker,
                                         State& aState,
                                         base::TimePoint aNow) const
  {
    aState.mNextDecisionAt = aNow + mLimits.mReactionTime;
    std::vector<ProtectionAction> actions = ThrottleMostInterfering(aWorker);
    if (!actions.empty()) {
      return actions;
    }
    ++aState.mDecisionsOverLimit;
    if (aState.mDecisionsOverLimit < mLimits.mDecisionsBeforeEviction) {
      return {};
    }
    aState.mDecisionsOverLimit = 0;
    return EvictCheapest(aWorker);
  }

  // Throttles the tasks with the highest expected interference first, and only
  // as many as are expected to remove the excess: throttling a task that does
  // not interfere costs throughput without benefit. Without estimates all
  // tasks are throttled.
  std::vector<ProtectionAction> ThrottleMostInterfering(
    const ProtectionInput& aWorker) const
  {
    std::vector<const RunningTask*> tasks;
    for (const auto& it : aWorker.mTasks) {
      if (it.mThrottlePercent > mLimits.mMinThrottlePercent) {
        tasks.push_back(&it);
      }
    }
    std::stable_sort(tasks.begin(), tasks.end(), [](auto* aLeft, auto* aRight) {
      return aLeft->mInterferencePercent > aRight->mInterferencePercent;
    });
    auto excess = static_cast<double>(aWorker.mServiceTimePercent -
                                      aWorker.mToleratedPercent);
    std::vector<ProtectionAction> actions;
    for (const RunningTask* it : tasks) {
      if (excess <= 0.0) {
        break;
      }
      const std::int64_t percent =
        std::max(mLimits.mMinThrottlePercent, it->mThrottlePercent / 2);
      actions.push_back({ ProtectionKind::Throttle, it->mTask, percent });
      excess -= it->mInterferencePercent *
                static_cast<double>(it->mThrottlePercent - percent) / 100.0;
    }
    return actions;
  }

  std::vector<ProtectionAction> Relax(const ProtectionInput& aWorker,
                                      State& aState,
                                      base::TimePoint aNow) const
  {
    constexpr std::int64_t kStepPercent = 25;
    std::vector<ProtectionAction> actions;
    for (const auto& it : aWorker.mTasks) {
      if (it.mThrottlePercent < 100) {
        const std::int64_t percent =
          std::min<std::int64_t>(100, it.mThrottlePercent + kStepPercent);
        actions.push_back({ ProtectionKind::Throttle, it.mTask, percent });
      }
    }
    if (!actions.empty()) {
      aState.mNextDecisionAt = aNow + mLimits.mReactionTime;
    }
    return actions;
  }

  static std::int64_t EvictionCostSeconds(const RunningTask& aTask)
  {
    return aTask.mSecondsSinceCheckpoint +
           aTask.mRestartCostSeconds * (1 + aTask.mEvictions);
  }

  static std::vector<ProtectionAction> EvictCheapest(
    const ProtectionInput& aWorker)
  {
    const RunningTask* cheapest = nullptr;
    for (const auto& it : aWorker.mTasks) {
      // A task at its eviction limit is not evicted, so that it can finish.
      if (it.mCheckpointing || it.mEvictions >= it.mMaxEvictions) {
        continue;
      }
      if (cheapest == nullptr ||
          EvictionCostSeconds(it) < EvictionCostSeconds(*cheapest)) {
        cheapest = &it;
      }
    }
    if (cheapest == nullptr) {
      return {};
    }
    return { { ProtectionKind::Evict, cheapest->mTask, 0 } };
  }

  ProtectionLimits mLimits;
  std::unordered_map<base::WorkerId, State> mStates;
};

} // namespace

std::unique_ptr<ProtectionPolicy>
CreateProtectionPolicy(Profile aProfile)
{
  switch (aProfile) {
    case Profile::Throughput:
      return std::make_unique<ThrottleThenEvict>(kThroughputLimits);
    case Profile::Tail:
      return std::make_unique<ThrottleThenEvict>(kTailLimits);
    case Profile::Baseline:
      break;
  }
  return std::make_unique<NoProtection>();
}

} // namespace skylarkhill::policy
