#include "pacing.hpp"

#include <algorithm>
#include <map>
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
constexpr Pressure kInsignificantRise = 0.01;

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

/// Lowers the paces of `aBackfill` until `aService` stays below its limit.
/// Starts with the image that disturbs most for what it works, so that the
/// others go on.
void
LimitPaces(const SharingModel& aModel,
           const RunState& aService,
           const std::vector<RunState*>& aBackfill,
           std::map<const RunState*, double>& aPaces)
{
  struct Entry
  {
    const RunState* mRun = nullptr;
    Pressure mRise = 0.0;
    Pressure mRisePerShare = 0.0;
  };
  std::vector<Entry> entries;
  Pressure excess = LoadOf(aService) - PressureOf(kTailLimit);
  for (const RunState* it : aBackfill) {
    const Pressure rise = aModel.RiseBetween(aService, *it);
    excess += rise * aPaces[it] / kFullPace;
    if (rise > kInsignificantRise) {
      entries.push_back({ it, rise, rise / BackfillShareOf(*it) });
    }
  }
  std::sort(entries.begin(),
            entries.end(),
            [](const Entry& aLeft, const Entry& aRight) {
              return aLeft.mRisePerShare > aRight.mRisePerShare;
            });
  for (const Entry& it : entries) {
    if (excess <= 0.0) {
      break;
    }
    double& pace = aPaces[it.mRun];
    const double lowered = std::max(0.0, pace - kFullPace * excess / it.mRise);
    excess -= it.mRise * (pace - lowered) / kFullPace;
    pace = lowered;
  }
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
  std::map<const RunState*, double> paces;
  for (const RunState* it : backfill) {
    paces[it] = isUrgent ? 0.0 : kFullPace;
  }
  for (const RunState* it : services) {
    LimitPaces(aModel, *it, backfill, paces);
  }
  bool hasChanged = false;
  for (RunState* it : backfill) {
    int pace = static_cast<int>(paces[it]);
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
