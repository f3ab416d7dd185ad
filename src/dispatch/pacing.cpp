#include "pacing.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace skylarkhill::dispatch {

namespace {

/// Paces are lowered until the expected tail ratios are below this. The margin
/// to 1 allows for imprecise reports.
constexpr TailRatio kMaxTailRatioForPacing = 0.85;

/// The same for runs that have started below full pace; the limit of placement.
constexpr TailRatio kMaxTailRatioForPacedStart = 0.7;

/// Above this tail ratio a violation is assumed and its duration counted,
/// because reported values are imprecise.
constexpr TailRatio kViolationTailRatio = 0.9;

/// Fractions of the permitted violation time after which backfill is paused and
/// after which it is moved, whatever the model expects.
constexpr double kPauseFraction = 0.35;
constexpr double kMoveFraction = 0.6;

/// Interference up to this value is treated as noise.
constexpr Saturation kNegligibleInterference = 0.01;

/// Workers report tail latency and processor use over the last half second.
/// This is longer, so that two changes are not based on the same measurements.
constexpr base::Duration kMinChangeInterval = std::chrono::milliseconds(550);

constexpr int kFullPace = 100; // percent
constexpr int kMaxRaisePerChange = 25;

bool
IsService(const RunState& aRun)
{
  const jobs::Step& step = *aRun.mTask->mStep->mSpec;
  return step.mIsService && step.mTailTargetMs > 0;
}

/// Lowers the paces of `aBackfill` until `aService` is expected to stay below
/// `aLimit`, starting with the run that has the highest interference per
/// processor share. If `aPacedOnly`, leaves runs that have started at full pace
/// as they are and lowers the others in proportion, so that each of them makes
/// progress.
void
LimitPaces(const ColocationModel& aModel,
           const RunState& aService,
           const std::vector<RunState*>& aBackfill,
           TailRatio aLimit,
           bool aPacedOnly,
           std::map<const RunState*, double>& aPaces)
{
  struct Entry
  {
    const RunState* mRun = nullptr;
    Saturation mInterference = 0.0;
    Saturation mInterferencePerShare = 0.0;
  };
  std::vector<Entry> entries;
  Saturation excess = BaselineOf(aService) - SaturationOf(aLimit);
  for (const RunState* it : aBackfill) {
    const Saturation interference = aModel.InterferenceBetween(aService, *it);
    excess += interference * aPaces[it] / kFullPace;
    if (interference > kNegligibleInterference &&
        (!aPacedOnly || it->mIsPacedFromStart)) {
      entries.push_back(
        { it, interference, interference / BackfillShareOf(*it) });
    }
  }
  if (aPacedOnly) {
    Saturation total = 0.0;
    for (const Entry& it : entries) {
      total += it.mInterference * aPaces[it.mRun] / kFullPace;
    }
    const double kept =
      excess > 0.0 && total > 0.0 ? std::max(0.0, 1.0 - excess / total) : 1.0;
    for (const Entry& it : entries) {
      aPaces[it.mRun] *= kept;
    }
    return;
  }
  std::sort(entries.begin(),
            entries.end(),
            [](const Entry& aLeft, const Entry& aRight) {
              return aLeft.mInterferencePerShare > aRight.mInterferencePerShare;
            });
  for (const Entry& it : entries) {
    if (excess <= 0.0) {
      break;
    }
    double& pace = aPaces[it.mRun];
    const double lowered =
      std::max(0.0, pace - kFullPace * excess / it.mInterference);
    excess -= it.mInterference * (pace - lowered) / kFullPace;
    pace = lowered;
  }
}

} // namespace

void
AdjustPace(WorkerState& aWorker,
           const ColocationModel& aModel,
           base::Duration aMaxTailViolation,
           base::TimePoint aNow)
{
  std::vector<const RunState*> services;
  std::vector<RunState*> backfill;
  TailRatio highestRatio = 0.0;
  for (RunState* it : aWorker.mRuns) {
    if (IsService(*it)) {
      services.push_back(it);
      highestRatio = std::max(highestRatio, TailRatioOf(*it));
    } else if (it->mTask->mStep->mSpec->mIsBackfill) {
      backfill.push_back(it);
    }
  }
  if (highestRatio <= kViolationTailRatio) {
    aWorker.mTailViolatedSince.reset();
    aWorker.mTailsBelowTargetAt = aNow;
  } else if (!aWorker.mTailViolatedSince) {
    // The violation may have begun right after the last report without one.
    aWorker.mTailViolatedSince = aWorker.mTailsBelowTargetAt.value_or(aNow);
  }
  if (backfill.empty()) {
    return;
  }
  const double violation =
    aWorker.mTailViolatedSince
      ? std::chrono::duration<double>(aNow - *aWorker.mTailViolatedSince) /
          std::chrono::duration<double>(aMaxTailViolation)
      : 0.0;
  const bool mustPause = violation > kPauseFraction;
  if (!mustPause && aNow < aWorker.mPaceChangedAt + kMinChangeInterval) {
    return;
  }
  std::map<const RunState*, double> paces;
  for (const RunState* it : backfill) {
    paces[it] = mustPause ? 0.0 : kFullPace;
  }
  // Runs that have started below full pace use only what the others leave.
  for (const RunState* it : services) {
    LimitPaces(aModel, *it, backfill, kMaxTailRatioForPacedStart, true, paces);
  }
  for (const RunState* it : services) {
    LimitPaces(aModel, *it, backfill, kMaxTailRatioForPacing, false, paces);
  }
  bool hasChanged = false;
  for (RunState* it : backfill) {
    int pace = static_cast<int>(paces[it]);
    pace = std::min(pace, it->mTargetPace + kMaxRaisePerChange);
    // A small raise matters to a run that is held at a low pace for long.
    const int minRaise = it->mIsPacedFromStart
                           ? std::min(kMaxRaisePerChange, it->mTargetPace) / 2
                           : kMaxRaisePerChange / 2;
    if (pace < it->mTargetPace || pace == kFullPace ||
        pace > it->mTargetPace + minRaise) {
      hasChanged = hasChanged || pace != it->mTargetPace;
      it->mTargetPace = pace;
    }
    it->mMustMove = it->mMustMove || violation > kMoveFraction;
    if (it->mTargetPace >= kFullPace / 2) {
      it->mThrottledSince.reset();
    } else if (!it->mThrottledSince) {
      it->mThrottledSince = aNow;
    }
  }
  if (hasChanged) {
    aWorker.mPaceChangedAt = aNow;
  }
}

} // namespace skylarkhill::dispatch
