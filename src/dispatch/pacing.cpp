#include "pacing.hpp"

#include <algorithm>

namespace skylarkhill::dispatch {

namespace {

/// Tails are compared with this share of their target, because the reported
/// figure is rough.
constexpr double kSlowDownRatio = 0.85;
constexpr double kSpeedUpRatio = 0.6;

/// Reports cover the last half second, so that an earlier change would act on
/// the same figures again.
constexpr base::Duration kMinChangeInterval = std::chrono::milliseconds(550);

constexpr int kFullPace = 100;
constexpr int kRaisePerChange = 25;
/// Below this pace the tasks stand still.
constexpr int kMinPace = 15;

/// The highest tail of a service task relative to its target; negative if none
/// has reported one.
double
WorstTailRatio(const WorkerState& aWorker)
{
  double worst = -1.0;
  for (const RunState* it : aWorker.mRuns) {
    const jobs::Step& step = *it->mTask->mStep->mSpec;
    if (step.mIsService && step.mTailTargetMs > 0 && it->mUsage >= 0) {
      worst = std::max(worst,
                       static_cast<double>(it->mUsage) /
                         static_cast<double>(step.mTailTargetMs));
    }
  }
  return worst;
}

} // namespace

void
AdjustPace(WorkerState& aWorker,
           base::Duration aHarmBound,
           base::TimePoint aNow)
{
  const double ratio = WorstTailRatio(aWorker);
  if (ratio <= 1.0) {
    aWorker.mHarmedSince.reset();
  } else if (!aWorker.mHarmedSince) {
    aWorker.mHarmedSince = aNow;
  }
  if (aNow < aWorker.mPaceChangedAt + kMinChangeInterval) {
    return;
  }
  int pace = aWorker.mPace;
  if (ratio > kSlowDownRatio) {
    pace = ratio > 1.0 ? pace / 3 : pace * 2 / 3;
    // Half of the bound is left for the change to take effect.
    const bool isUrgent = aWorker.mHarmedSince &&
                          aNow - *aWorker.mHarmedSince > aHarmBound / 3;
    if (pace < kMinPace || isUrgent) {
      pace = 0;
    }
  } else if (ratio < kSpeedUpRatio) {
    pace = std::min(kFullPace, pace + kRaisePerChange);
  }
  if (pace != aWorker.mPace) {
    aWorker.mPace = pace;
    aWorker.mPaceChangedAt = aNow;
  }
}

} // namespace skylarkhill::dispatch
