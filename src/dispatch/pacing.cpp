#include "pacing.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace skylarkhill::dispatch {

namespace {

/// Tails are kept below this share of their target, because the reported
/// figure is rough.
constexpr TailRatio kTailLimit = 0.85;

/// Rise that counts as noise.
constexpr LogRise kInsignificantRise = 0.08;

/// Reports cover the last half second, so that an earlier change would act on
/// the same figures again.
constexpr base::Duration kMinChangeInterval = std::chrono::milliseconds(550);

constexpr int kFullPace = 100;
constexpr int kRaisePerChange = 25;

bool
IsService(const RunState& aRun)
{
  const jobs::Step& step = *aRun.mTask->mStep->mSpec;
  return step.mIsService && step.mTailTargetMs > 0;
}

/// By how many percent points all backfill that raises the tail of `aService`
/// has to change its pace to bring the tail to its limit.
double
PaceCorrection(const SharingModel& aModel,
               const RunState& aService,
               const std::vector<RunState*>& aBackfill)
{
  LogRise total = 0.0;
  for (const RunState* it : aBackfill) {
    const LogRise rise = aModel.RiseBetween(aService, *it);
    total += rise > kInsignificantRise ? rise : 0.0;
  }
  const LogRise room = std::log(kTailLimit / TailRatioOf(aService));
  return total > 0.0 ? kFullPace * room / total : kFullPace;
}

/// The pace of `aRun` that brings no service task above its limit.
int
AllowedPace(const SharingModel& aModel,
            const std::vector<const RunState*>& aServices,
            const std::vector<double>& aCorrections,
            const RunState& aRun)
{
  double allowed = kFullPace;
  for (std::size_t n = 0; n < aServices.size(); ++n) {
    if (aModel.RiseBetween(*aServices[n], aRun) > kInsignificantRise) {
      allowed = std::min(allowed, aRun.mPace + aCorrections[n]);
    }
  }
  return static_cast<int>(std::clamp(allowed, 0.0, double{ kFullPace }));
}

} // namespace

void
AdjustPace(WorkerState& aWorker,
           const SharingModel& aModel,
           base::Duration aHarmBound,
           base::TimePoint aNow)
{
  std::vector<const RunState*> services;
  std::vector<RunState*> backfill;
  TailRatio worst = 0.0;
  for (RunState* it : aWorker.mRuns) {
    if (IsService(*it)) {
      services.push_back(it);
      worst = std::max(worst, TailRatioOf(*it));
    } else if (it->mTask->mStep->mSpec->mIsBackfill) {
      backfill.push_back(it);
    }
  }
  if (worst <= 1.0) {
    aWorker.mHarmedSince.reset();
  } else if (!aWorker.mHarmedSince) {
    aWorker.mHarmedSince = aNow;
  }
  if (backfill.empty() || aNow < aWorker.mPaceChangedAt + kMinChangeInterval) {
    return;
  }
  // Whatever the model says, nothing that may be the cause works on for long.
  const bool isUrgent = aWorker.mHarmedSince &&
                        aNow - *aWorker.mHarmedSince > aHarmBound / 4;
  std::vector<double> corrections;
  for (const RunState* it : services) {
    corrections.push_back(PaceCorrection(aModel, *it, backfill));
  }
  bool hasChanged = false;
  for (RunState* it : backfill) {
    int pace =
      isUrgent ? 0 : AllowedPace(aModel, services, corrections, *it);
    pace = std::min(pace, it->mWantedPace + kRaisePerChange);
    if (pace < it->mWantedPace || pace == kFullPace ||
        pace > it->mWantedPace + kRaisePerChange / 2) {
      hasChanged = hasChanged || pace != it->mWantedPace;
      it->mWantedPace = pace;
    }
    if (it->mWantedPace >= kFullPace / 2) {
      it->mSlowedSince.reset();
    } else if (!it->mSlowedSince) {
      it->mSlowedSince = aNow;
    }
  }
  if (hasChanged) {
    aWorker.mPaceChangedAt = aNow;
  }
}

} // namespace skylarkhill::dispatch
