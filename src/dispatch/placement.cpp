#include "placement.hpp"

#include <algorithm>
#include <cmath>

#include "job_state.hpp"

namespace skylarkhill::dispatch {

namespace {

/// A worker whose last report is older gets no starts. Allows for two long
/// polls, which wait up to 700 ms, and their delays.
constexpr base::Duration kMaxReportAge = std::chrono::milliseconds(1800);

/// Assumed share of its declared processors that a service task uses. Above the
/// usual mean of 0.45, from which the use varies by one half.
constexpr double kServiceUse = 0.6;

/// A backfill task is placed only where at least this share of its requested
/// processors is unused.
constexpr double kMinBackfillShare = 0.6;

/// Workers with a higher failure score cost kHighFailureScoreCost more.
constexpr double kMaxFailureScore = 0.7;

/// Placement costs, in thousandths of a processor.
constexpr double kHighFailureScoreCost = 40000.0;
constexpr double kAvoidedWorkerCost = 20000.0;
constexpr double kRemoteRackCost = 8000.0;
/// Grouping service tasks by image leaves a worker usable for every backfill
/// image that does not interfere with that one image.
constexpr double kMixedImagesCost = 40000.0;
/// Per unit of interference.
constexpr double kInterferenceCost = 20000.0;

/// No backfill task is placed where its interference would exceed
/// kMinSignificantInterference and bring a tail ratio above
/// kMaxTailRatioForPlacement, or kMaxTailRatioForUrgentPlacement if the step is
/// urgent.
constexpr Saturation kMinSignificantInterference = 0.03;
constexpr TailRatio kMaxTailRatioForPlacement = 0.7;
constexpr TailRatio kMaxTailRatioForUrgentPlacement = 0.8;

constexpr double kFullPace = 100.0; // percent

bool
HasLabel(const WorkerState& aWorker, const std::string& aLabel)
{
  const auto& labels = aWorker.mEntry.mLabels;
  return std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

/// Highest interference, by the cautious estimate, of one more task of `aStep`
/// with a service task on `aWorker`.
Saturation
MaxInterference(const StepState& aStep,
                const WorkerState& aWorker,
                const ColocationModel& aModel)
{
  const double share =
    ShareOf(aStep.mSpec->mResources.mMilliProcessors, aWorker);
  Saturation highest = 0.0;
  for (const RunState* it : aWorker.mServiceRuns) {
    highest = std::max(highest,
                       aModel.CautiousInterference(
                         it->mTask->mStep->mImage, aStep.mImage, share));
  }
  return highest;
}

/// Share of the service tasks on `aWorker` that run another image than `aStep`;
/// 0.5 if there are none.
double
ShareOfOtherImages(const StepState& aStep, const WorkerState& aWorker)
{
  const auto& runs = aWorker.mServiceRuns;
  const auto others =
    std::count_if(runs.begin(), runs.end(), [&](const RunState* aRun) {
      return aRun->mTask->mStep->mImage != aStep.mImage;
    });
  return runs.empty()
           ? 0.5
           : static_cast<double>(others) / static_cast<double>(runs.size());
}

} // namespace

double
FailureScore(const WorkerState& aWorker, base::TimePoint aNow)
{
  const double age =
    std::chrono::duration<double>(aNow - aWorker.mFailureScoreAt).count();
  const double halfLife =
    std::chrono::duration<double>(kFailureHalfLife).count();
  return aWorker.mFailureScore * std::exp2(-age / halfLife);
}

void
ChangeFailureScore(WorkerState& aWorker, double aChange, base::TimePoint aNow)
{
  aWorker.mFailureScore = std::max(0.0, FailureScore(aWorker, aNow) + aChange);
  aWorker.mFailureScoreAt = aNow;
}

std::int64_t
EstimateUnusedProcessors(const WorkerState& aWorker)
{
  double used = 0.0;
  for (const RunState* it : aWorker.mRuns) {
    const jobs::Step& step = *it->mTask->mStep->mSpec;
    if (!step.mIsBackfill) {
      const auto requested =
        static_cast<double>(step.mResources.mMilliProcessors);
      used += step.mIsService ? kServiceUse * requested : requested;
    }
  }
  return aWorker.mEntry.mCapacity.mMilliProcessors -
         static_cast<std::int64_t>(used);
}

bool
AcceptsStarts(const WorkerState& aWorker, base::TimePoint aNow)
{
  return aWorker.mHasReported && aWorker.mIsRegistered &&
         aWorker.mMayExtendLease && !aWorker.mEntry.mIsDraining &&
         aWorker.mNoStartsUntil <= aNow &&
         aWorker.mForeignLeaseEndsAt <= aNow && !aWorker.mUncertainSince &&
         !aWorker.mHasUnwantedRuns &&
         aWorker.mLastReportAt + kMaxReportAge > aNow;
}

bool
HasTicket(const StepState& aStep,
          const WorkerState& aWorker,
          base::TimePoint aNow)
{
  const auto found = aStep.mTickets.find(aWorker.mEntry.mId);
  return found != aStep.mTickets.end() && found->second.mValidUntil > aNow &&
         found->second.mIncarnationStartMs == aWorker.mIncarnationStartMs;
}

double
MinProcessorsForBackfill(std::int64_t aRequested)
{
  return kMinBackfillShare * static_cast<double>(aRequested);
}

bool
IsCompatible(const StepState& aStep,
             const WorkerState& aWorker,
             base::TimePoint aNow)
{
  const std::string& label = aStep.mSpec->mRequiredLabel;
  return aWorker.mEntry.mPool == aStep.mJob->mSubmission.mPolicy.mPool &&
         AcceptsStarts(aWorker, aNow) &&
         (label.empty() || HasLabel(aWorker, label));
}

bool
IsFull(const StepState& aStep, const WorkerState& aWorker)
{
  const int limit = aStep.mSpec->mMaxPerWorker;
  if (limit <= 0) {
    return false;
  }
  const auto found = aStep.mTasksPerWorker.find(&aWorker);
  return found != aStep.mTasksPerWorker.end() && found->second >= limit;
}

bool
HasRoom(const StepState& aStep,
        const WorkerState& aWorker,
        base::TimePoint aNow)
{
  const jobs::Step& step = *aStep.mSpec;
  if (!base::Fits(aWorker.mUsed + ReservedResources(step),
                  aWorker.mEntry.mCapacity)) {
    return false;
  }
  if (aStep.mJob->mSubmission.mPolicy.mNeedsTicket &&
      !HasTicket(aStep, aWorker, aNow)) {
    return false;
  }
  if (IsFull(aStep, aWorker)) {
    return false;
  }
  if (step.mIsBackfill) {
    const auto left =
      static_cast<double>(aWorker.mUnusedProcessors - aWorker.mBackfillDemand);
    return left >= MinProcessorsForBackfill(
                     std::min(step.mResources.mMilliProcessors,
                              aWorker.mEntry.mCapacity.mMilliProcessors));
  }
  return true;
}

bool
RunsOn(const TaskState& aTask, const WorkerState& aWorker)
{
  return std::any_of(
    aTask.mRuns.begin(), aTask.mRuns.end(), [&](const RunState& aRun) {
      return aRun.mWorker == &aWorker;
    });
}

bool
WouldExceedMaxTailRatio(const StepState& aStep,
                        const WorkerState& aWorker,
                        const ColocationModel& aModel)
{
  const double share =
    ShareOf(aStep.mSpec->mResources.mMilliProcessors, aWorker);
  const TailRatio limit = aStep.mIsUrgent ? kMaxTailRatioForUrgentPlacement
                                          : kMaxTailRatioForPlacement;
  const auto& runs = aWorker.mServiceRuns;
  // Pacing holds down runs that have started below full pace first.
  return std::any_of(runs.begin(), runs.end(), [&](const RunState* aRun) {
    const Saturation interference = aModel.CautiousInterference(
      aRun->mTask->mStep->mImage, aStep.mImage, share);
    return interference > kMinSignificantInterference &&
           BaselineOf(*aRun) + aModel.TotalInterference(*aRun, false) +
               interference >
             SaturationOf(limit);
  });
}

int
HarmlessPace(const StepState& aStep,
             const WorkerState& aWorker,
             const ColocationModel& aModel,
             bool aCountsPacedStarts)
{
  const double share =
    ShareOf(aStep.mSpec->mResources.mMilliProcessors, aWorker);
  double pace = kFullPace;
  for (const RunState* it : aWorker.mServiceRuns) {
    const Saturation interference = aModel.CautiousInterference(
      it->mTask->mStep->mImage, aStep.mImage, share);
    if (interference > kMinSignificantInterference) {
      const Saturation left = SaturationOf(kMaxTailRatioForPlacement) -
                              BaselineOf(*it) -
                              aModel.TotalInterference(*it, aCountsPacedStarts);
      pace = std::min(pace, kFullPace * left / interference);
    }
  }
  return static_cast<int>(std::max(0.0, pace));
}

double
PlacementCost(const TaskState& aTask,
              const WorkerState& aWorker,
              const ColocationModel& aModel,
              base::TimePoint aNow)
{
  const jobs::Step& step = *aTask.mStep->mSpec;
  double cost = 0.0;
  // The score only decays, which need not be computed for most workers.
  if (aWorker.mFailureScore > kMaxFailureScore &&
      FailureScore(aWorker, aNow) > kMaxFailureScore) {
    cost += kHighFailureScoreCost;
  }
  if (aWorker.mEntry.mId == aTask.mAvoidedWorkerId) {
    cost += kAvoidedWorkerCost;
  }
  if (!step.mPreferredRack.empty() && !HasLabel(aWorker, step.mPreferredRack)) {
    cost += kRemoteRackCost;
  }
  const double unused =
    static_cast<double>(aWorker.mUnusedProcessors - aWorker.mBackfillDemand);
  if (step.mIsBackfill) {
    // Prefers workers with the most unused processors and the least
    // interference. Workers without service tasks are kept for images that
    // interfere with every service.
    return cost - unused +
           (aWorker.mServiceRuns.empty() ? kNoServiceCost : 0.0) +
           kInterferenceCost * MaxInterference(*aTask.mStep, aWorker, aModel);
  }
  // Best fit leaves capacity for large tasks and whole workers for backfill.
  const auto free = aWorker.mEntry.mCapacity.mMilliProcessors -
                    aWorker.mUsed.mMilliProcessors -
                    step.mResources.mMilliProcessors;
  cost += static_cast<double>(free);
  if (step.mIsService) {
    cost += kMixedImagesCost * ShareOfOtherImages(*aTask.mStep, aWorker);
    for (const RunState* it : aWorker.mRuns) {
      if (it->mTask->mStep->mSpec->mIsBackfill) {
        cost += kInterferenceCost *
                aModel.ExpectedInterference(aTask.mStep->mImage,
                                            it->mTask->mStep->mImage,
                                            BackfillShareOf(*it));
      }
    }
  }
  return cost;
}

} // namespace skylarkhill::dispatch
