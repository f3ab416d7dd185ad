#include "pacing.hpp"

#include <algorithm>
#include <vector>

namespace skylarkhill::dispatch {

namespace {

/// Tails are kept below this share of their target, because the reported
/// figure is rough.
constexpr TailRatio kTailLimit = 0.85;

/// Reported tails are rough, so that a task may be above its target from this
/// share of it on.
constexpr TailRatio kHarmWarning = 0.9;

/// Parts of the bound after which backfill stands still, and after which it is
/// moved away, whatever the model says.
constexpr double kStandStillPart = 0.35;
constexpr double kMovePart = 0.6;

/// Rise that counts as noise.
constexpr Pressure kInsignificantRise = 0.04;

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
  Pressure total = 0.0;
  for (const RunState* it : aBackfill) {
    const Pressure rise = aModel.RiseBetween(aService, *it);
    total += rise > kInsignificantRise ? rise : 0.0;
  }
  const Pressure room =
    PressureOf(kTailLimit) - PressureOf(TailRatioOf(aService));
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
  if (worst <= kHarmWarning) {
    aWorker.mHarmedSince.reset();
    aWorker.mCalmAt = aNow;
  } else if (!aWorker.mHarmedSince) {
    // The harm may have begun right after the last report without it.
    aWorker.mHarmedSince = aWorker.mCalmAt.value_or(aNow);
  }
  if (backfill.empty()) {
    return;
  }
  const double harmed =
    aWorker.mHarmedSince
      ? std::chrono::duration<double>(aNow - *aWorker.mHarmedSince) /
          std::chrono::duration<double>(aHarmBound)
      : 0.0;
  const bool isUrgent = harmed > kStandStillPart;
  if (!isUrgent && aNow < aWorker.mPaceChangedAt + kMinChangeInterval) {
    return;
  }
  std::vector<double> corrections;
  corrections.reserve(services.size());
  for (const RunState* it : services) {
    corrections.push_back(PaceCorrection(aModel, *it, backfill));
  }
  bool hasChanged = false;
  for (RunState* it : backfill) {
    int pace = isUrgent ? 0 : AllowedPace(aModel, services, corrections, *it);
    pace = std::min(pace, it->mWantedPace + kRaisePerChange);
    if (pace < it->mWantedPace || pace == kFullPace ||
        pace > it->mWantedPace + kRaisePerChange / 2) {
      hasChanged = hasChanged || pace != it->mWantedPace;
      it->mWantedPace = pace;
    }
    it->mMustMove = it->mMustMove || harmed > kMovePart;
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
