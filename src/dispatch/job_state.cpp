#include "job_state.hpp"

#include <algorithm>

namespace skylarkhill::dispatch {

void
CreateOccurrences(ScheduledJob& aJob,
                  ColocationModel& aModel,
                  bool aMayHaveEarlierRuns)
{
  const auto& request = aJob.mSubmission.mRequest;
  const int count = std::max(1, request.mOccurrences);
  for (int n = 0; n < count; ++n) {
    auto occurrence = std::make_unique<OccurrenceState>();
    occurrence->mNumber = n;
    occurrence->mStartAtMs = request.mOccurrences > 0
                               ? request.mFirstStartMs + n * request.mIntervalMs
                               : 0;
    occurrence->mSteps.resize(request.mSteps.size());
    for (std::size_t index = 0; index < request.mSteps.size(); ++index) {
      StepState& step = occurrence->mSteps[index];
      step.mJob = &aJob;
      step.mSpec = &request.mSteps[index];
      step.mOccurrence = n;
      step.mIndex = static_cast<int>(index);
      step.mImage = aModel.Intern(step.mSpec->mImage);
      step.mTasks.resize(static_cast<std::size_t>(step.mSpec->mCount));
      step.mWaitingCount = step.mSpec->mCount;
      int position = 0;
      for (TaskState& task : step.mTasks) {
        task.mStep = &step;
        task.mIndex = position++;
        task.mMayHaveEarlierRun = aMayHaveEarlierRuns;
        task.mLastRun = 0;
      }
    }
    // Steps depend only on steps with lower indexes.
    for (std::size_t index = occurrence->mSteps.size(); index-- > 0;) {
      StepState& step = occurrence->mSteps[index];
      step.mCriticalPathMs += step.mSpec->mEstimateMs;
      for (const int it : step.mSpec->mDependsOn) {
        auto& dependency = occurrence->mSteps[static_cast<std::size_t>(it)];
        dependency.mCriticalPathMs =
          std::max(dependency.mCriticalPathMs, step.mCriticalPathMs);
      }
    }
    aJob.mOccurrences.push_back(std::move(occurrence));
  }
}

void
RestoreProgress(ScheduledJob& aJob, const jobs::JobProgress& aProgress)
{
  for (const auto& entry : aProgress.mSteps) {
    StepState* step = FindStep(aJob, entry.mOccurrence, entry.mStep);
    if (step == nullptr) {
      continue;
    }
    for (const auto& it : entry.mTasks) {
      if (it.mIndex < 0 || it.mIndex >= static_cast<int>(step->mTasks.size())) {
        continue;
      }
      TaskState& task = step->mTasks[static_cast<std::size_t>(it.mIndex)];
      task.mIsDone = it.mIsDone;
      task.mFailedRuns = it.mFailedRuns;
      task.mLastRun = it.mLastRun;
      task.mHasEndedRun = true;
      task.mCheckpoint = it.mCheckpoint;
      step->mDoneCount += it.mIsDone ? 1 : 0;
      step->mWaitingCount -= it.mIsDone ? 1 : 0;
    }
  }
}

jobs::JobProgress
ProgressOf(const ScheduledJob& aJob)
{
  jobs::JobProgress progress;
  progress.mState = aJob.mState;
  progress.mMayHaveStarted = aJob.mIsStartRecordRequested;
  if (IsFinal(aJob.mState)) {
    return progress;
  }
  for (const auto& occurrence : aJob.mOccurrences) {
    for (const StepState& step : occurrence->mSteps) {
      jobs::StepProgress entry;
      entry.mOccurrence = step.mOccurrence;
      entry.mStep = step.mIndex;
      for (const TaskState& it : step.mTasks) {
        if (it.mIsDone || it.mHasEndedRun) {
          entry.mTasks.push_back({ it.mIndex,
                                   it.mIsDone,
                                   it.mFailedRuns,
                                   it.mLastRun,
                                   it.mIsDone ? "" : it.mCheckpoint });
        }
      }
      if (!entry.mTasks.empty()) {
        progress.mSteps.push_back(std::move(entry));
      }
    }
  }
  return progress;
}

bool
BeginDueOccurrences(ScheduledJob& aJob, std::int64_t aUnixMs)
{
  bool hasChanged = false;
  for (auto& it : aJob.mOccurrences) {
    if (!it->mIsBegun && it->mStartAtMs <= aUnixMs) {
      it->mIsBegun = true;
      hasChanged = true;
    }
  }
  return hasChanged;
}

StepState*
FindStep(ScheduledJob& aJob, int aOccurrence, int aStep)
{
  if (aOccurrence < 0 ||
      aOccurrence >= static_cast<int>(aJob.mOccurrences.size())) {
    return nullptr;
  }
  auto& steps =
    aJob.mOccurrences[static_cast<std::size_t>(aOccurrence)]->mSteps;
  if (aStep < 0 || aStep >= static_cast<int>(steps.size())) {
    return nullptr;
  }
  return &steps[static_cast<std::size_t>(aStep)];
}

TaskId
IdOf(const TaskState& aTask)
{
  return { aTask.mStep->mJob->mSubmission.mId,
           aTask.mStep->mOccurrence,
           aTask.mStep->mIndex,
           aTask.mIndex };
}

bool
HasRuns(const ScheduledJob& aJob)
{
  for (const auto& occurrence : aJob.mOccurrences) {
    for (const StepState& step : occurrence->mSteps) {
      for (const TaskState& task : step.mTasks) {
        if (!task.mRuns.empty()) {
          return true;
        }
      }
    }
  }
  return false;
}

bool
HasLiveRun(const TaskState& aTask)
{
  return std::any_of(aTask.mRuns.begin(),
                     aTask.mRuns.end(),
                     [](const RunState& aRun) { return !aRun.mIsStopping; });
}

base::Resources
ReservedResources(const jobs::Step& aStep)
{
  base::Resources resources = aStep.mResources;
  if (aStep.mIsBackfill) {
    resources.mMilliProcessors = 0;
  }
  return resources;
}

std::int64_t
EstimateCriticalPathMs(const jobs::JobRequest& aRequest)
{
  std::vector<std::int64_t> ends;
  std::int64_t longest = 0;
  for (const auto& step : aRequest.mSteps) {
    std::int64_t start = 0;
    for (const int it : step.mDependsOn) {
      start = std::max(start, ends[static_cast<std::size_t>(it)]);
    }
    ends.push_back(start + step.mEstimateMs);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

} // namespace skylarkhill::dispatch
