#include "job_state.hpp"

#include "skylarkhill/jobs/job_codec.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace skylarkhill::dispatch {

namespace {

/// Maximum number of tasks of one job in memory, if the job has more than one
/// occurrence.
constexpr int kMaxTasksInMemory = 2000;

/// Number of tasks of one occurrence.
int
CountTasksPerOccurrence(const ScheduledJob& aJob)
{
  int n = 0;
  for (const auto& it : aJob.mSubmission.mRequest.mSteps) {
    n += it.mCount;
  }
  return n;
}

/// Number of tasks of all occurrences.
std::int64_t
CountTasks(const ScheduledJob& aJob)
{
  return std::int64_t{ CountTasksPerOccurrence(aJob) } * CountOccurrences(aJob);
}

/// Creates the next occurrence with its steps and tasks.
void
AddOccurrence(ScheduledJob& aJob, ColocationModel& aModel)
{
  const auto& request = aJob.mSubmission.mRequest;
  auto occurrence = std::make_unique<OccurrenceState>();
  occurrence->mSteps.resize(request.mSteps.size());
  for (std::size_t index = 0; index < request.mSteps.size(); ++index) {
    StepState& step = occurrence->mSteps[index];
    step.mJob = &aJob;
    step.mSpec = &request.mSteps[index];
    step.mOccurrence = static_cast<int>(aJob.mOccurrences.size());
    step.mIndex = static_cast<int>(index);
    step.mImage = aModel.Intern(step.mSpec->mImage);
    step.mTasks.resize(static_cast<std::size_t>(step.mSpec->mCount));
    step.mWaitingCount = aJob.mIsBorrowed ? 0 : step.mSpec->mCount;
    int position = 0;
    for (TaskState& task : step.mTasks) {
      task.mStep = &step;
      task.mIndex = position++;
      task.mMayHaveEarlierRun = aJob.mMayHaveEarlierRuns;
      task.mLastRun = 0;
      task.mIsElsewhere = aJob.mIsBorrowed;
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
  ++aJob.mUnreleasedCount;
}

/// True if all tasks are done and have no runs.
bool
IsComplete(const OccurrenceState& aOccurrence)
{
  return std::all_of(aOccurrence.mSteps.begin(),
                     aOccurrence.mSteps.end(),
                     [](const StepState& aStep) {
                       return aStep.mDoneCount ==
                                static_cast<int>(aStep.mTasks.size()) &&
                              std::all_of(aStep.mTasks.begin(),
                                          aStep.mTasks.end(),
                                          [](const TaskState& aTask) {
                                            return aTask.mRuns.empty();
                                          });
                     });
}

/// Returns the task, or null if the job has none at this position.
TaskState*
FindTask(ScheduledJob& aJob, const jobs::StepProgress& aStep, int aIndex)
{
  StepState* step = FindStep(aJob, aStep.mOccurrence, aStep.mStep);
  if (step == nullptr || aIndex < 0 ||
      aIndex >= static_cast<int>(step->mTasks.size())) {
    return nullptr;
  }
  return &step->mTasks[static_cast<std::size_t>(aIndex)];
}

void
SetDone(TaskState& aTask)
{
  if (!aTask.mIsDone) {
    aTask.mIsDone = true;
    ++aTask.mStep->mDoneCount;
    --aTask.mStep->mWaitingCount;
  }
}

/// Adds stored progress, which may be older than that of the tasks.
void
RestoreTasks(ScheduledJob& aJob, const jobs::StepProgress& aProgress)
{
  for (const auto& it : aProgress.mTasks) {
    TaskState* task = FindTask(aJob, aProgress, it.mIndex);
    if (task == nullptr) {
      continue;
    }
    for (const int run : it.mFailedRuns) {
      auto& failed = task->mFailedRuns;
      if (std::find(failed.begin(), failed.end(), run) == failed.end()) {
        failed.push_back(run);
      }
    }
    task->mLastRun = std::max(task->mLastRun, it.mLastRun);
    task->mHasEndedRun = true;
    if (!it.mCheckpoint.empty()) {
      task->mCheckpoint = it.mCheckpoint;
    }
    // Lent tasks are stored as done.
    if (it.mIsDone && !task->mIsElsewhere) {
      SetDone(*task);
    }
  }
}

/// The members of a gang are done together, but the ranges that say so may not
/// all have been stored.
void
RestoreGang(StepState& aStep)
{
  if (aStep.mSpec->mIsGang && aStep.mDoneCount > 0) {
    std::for_each(aStep.mTasks.begin(), aStep.mTasks.end(), SetDone);
  }
}

/// Marks the tasks that the job has lent to other cells.
void
RestoreLoans(ScheduledJob& aJob,
             ColocationModel& aModel,
             const jobs::JobEntry& aStored)
{
  for (const auto& [part, loan] : aStored.mLoans) {
    for (const auto& step : loan.mSteps) {
      BeginOccurrencesUpTo(aJob, aModel, step.mOccurrence);
      for (const auto& it : step.mTasks) {
        TaskState* task = FindTask(aJob, step, it.mIndex);
        if (task != nullptr) {
          SetLent(*task);
        }
      }
    }
  }
}

/// Returns the progress of the tasks from `aFirst` to before `aEnd`.
jobs::StepProgress
ProgressOf(const StepState& aStep, int aFirst, int aEnd)
{
  jobs::StepProgress progress;
  progress.mOccurrence = aStep.mOccurrence;
  progress.mStep = aStep.mIndex;
  for (int index = aFirst; index < aEnd; ++index) {
    const TaskState& task = aStep.mTasks[static_cast<std::size_t>(index)];
    // Versions without loans start no task that is stored as done.
    if (task.mIsDone || task.mIsLent || task.mHasEndedRun) {
      progress.mTasks.push_back({ index,
                                  task.mIsDone || task.mIsLent,
                                  task.mFailedRuns,
                                  task.mLastRun,
                                  task.mIsDone ? "" : task.mCheckpoint });
    }
  }
  return progress;
}

} // namespace

void
RestoreProgress(ScheduledJob& aJob,
                ColocationModel& aModel,
                const jobs::JobEntry& aStored,
                int aMaxTasksPerRecord)
{
  aJob.mTasksPerRange =
    CountTasks(aJob) > aMaxTasksPerRecord ? aMaxTasksPerRecord : 0;
  if (aJob.mIsBorrowed) {
    AddBorrowedTasks(aJob, aModel, aStored);
  }
  RestoreLoans(aJob, aModel, aStored);
  for (const auto& it : aStored.mProgress.mSteps) {
    BeginOccurrencesUpTo(aJob, aModel, it.mOccurrence);
    RestoreTasks(aJob, it);
  }
  std::vector<const jobs::StoredTaskRange*> ranges;
  for (const auto& [name, range] : aStored.mRanges) {
    ranges.push_back(&range);
  }
  // Ranges of leaders with another limit may overlap.
  std::sort(
    ranges.begin(), ranges.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->mOffset < aRight->mOffset;
    });
  for (const auto* it : ranges) {
    // The job table has logged malformed ranges.
    const auto range = jobs::DecodeTaskRange(it->mBytes);
    if (range) {
      BeginOccurrencesUpTo(aJob, aModel, range.value().mProgress.mOccurrence);
      RestoreTasks(aJob, range.value().mProgress);
    }
  }
  for (const auto& occurrence : aJob.mOccurrences) {
    for (StepState& step : occurrence->mSteps) {
      RestoreGang(step);
    }
  }
  // The next record of the job does not have these tasks any more.
  for (const auto& step : aStored.mProgress.mSteps) {
    for (const auto& it : step.mTasks) {
      const TaskState* task = FindTask(aJob, step, it.mIndex);
      if (task != nullptr) {
        MarkChanged(*task);
      }
    }
  }
}

int
AddBorrowedTasks(ScheduledJob& aJob,
                 ColocationModel& aModel,
                 const jobs::JobEntry& aStored)
{
  int n = 0;
  for (const auto& [part, borrowed] : aStored.mBorrowed) {
    for (const auto& step : borrowed.mSteps) {
      BeginOccurrencesUpTo(aJob, aModel, step.mOccurrence);
      for (const auto& it : step.mTasks) {
        TaskState* task = FindTask(aJob, step, it.mIndex);
        if (task == nullptr || !task->mIsElsewhere || task->mIsLent) {
          continue;
        }
        task->mIsElsewhere = false;
        ++task->mStep->mWaitingCount;
        task->mLastRun = std::max(task->mLastRun, it.mLastRun);
        task->mCheckpoint = it.mCheckpoint;
        // Once the start of the job is recorded, an earlier leader may have
        // started a task as soon as it had read the loan.
        task->mMayHaveEarlierRun = aJob.mIsStartRecorded;
        ++n;
      }
    }
  }
  return n;
}

void
SetLent(TaskState& aTask)
{
  if (!aTask.mIsElsewhere && !aTask.mIsDone) {
    aTask.mIsElsewhere = true;
    aTask.mIsLent = true;
    --aTask.mStep->mWaitingCount;
  }
}

jobs::JobProgress
TakeProgress(ScheduledJob& aJob)
{
  jobs::JobProgress progress;
  progress.mState = aJob.mState;
  progress.mMayHaveStarted = aJob.mIsStartRecordRequested;
  const auto changedRanges = std::move(aJob.mChangedRanges);
  aJob.mChangedRanges.clear();
  if (IsFinal(aJob.mState)) {
    return progress;
  }
  for (const auto& [occurrence, index, first] : changedRanges) {
    const StepState& step = *FindStep(aJob, occurrence, index);
    const int end = std::min(step.mSpec->mCount, first + aJob.mTasksPerRange);
    progress.mChangedRanges.push_back({ first, ProgressOf(step, first, end) });
  }
  if (aJob.mTasksPerRange > 0) {
    return progress;
  }
  for (const auto& occurrence : aJob.mOccurrences) {
    for (const StepState& step : occurrence->mSteps) {
      jobs::StepProgress entry = ProgressOf(step, 0, step.mSpec->mCount);
      if (!entry.mTasks.empty()) {
        progress.mSteps.push_back(std::move(entry));
      }
    }
  }
  return progress;
}

void
MarkChanged(const TaskState& aTask)
{
  const StepState& step = *aTask.mStep;
  const int size = step.mJob->mTasksPerRange;
  if (size > 0) {
    step.mJob->mChangedRanges.emplace(
      step.mOccurrence, step.mIndex, aTask.mIndex / size * size);
  }
}

int
CountOccurrences(const ScheduledJob& aJob)
{
  return std::max(1, aJob.mSubmission.mRequest.mOccurrences);
}

bool
BeginDueOccurrences(ScheduledJob& aJob,
                    ColocationModel& aModel,
                    std::int64_t aUnixMs)
{
  const auto& request = aJob.mSubmission.mRequest;
  bool hasChanged = false;
  for (auto n = static_cast<int>(aJob.mOccurrences.size());
       n < CountOccurrences(aJob);
       ++n) {
    const std::int64_t dueAtMs =
      request.mOccurrences > 0 ? request.mFirstStartMs + n * request.mIntervalMs
                               : 0;
    // Only jobs with ranges release occurrences.
    const bool isFull =
      aJob.mTasksPerRange > 0 && aJob.mUnreleasedCount > 0 &&
      (aJob.mUnreleasedCount + 1) * CountTasksPerOccurrence(aJob) >
        kMaxTasksInMemory;
    if (dueAtMs > aUnixMs || isFull) {
      break;
    }
    AddOccurrence(aJob, aModel);
    hasChanged = true;
  }
  return hasChanged;
}

bool
BeginOccurrencesUpTo(ScheduledJob& aJob,
                     ColocationModel& aModel,
                     int aOccurrence)
{
  const int end = std::min(aOccurrence + 1, CountOccurrences(aJob));
  bool hasChanged = false;
  while (static_cast<int>(aJob.mOccurrences.size()) < end) {
    AddOccurrence(aJob, aModel);
    hasChanged = true;
  }
  return hasChanged;
}

bool
ReleaseOccurrences(ScheduledJob& aJob)
{
  // Without ranges, each record of the job holds the progress of all tasks.
  if (aJob.mTasksPerRange == 0 || !aJob.mChangedRanges.empty()) {
    return false;
  }
  auto& occurrences = aJob.mOccurrences;
  bool hasChanged = false;
  for (std::size_t n = aJob.mFirstUnreleased; n < occurrences.size(); ++n) {
    auto& steps = occurrences[n]->mSteps;
    if (!steps.empty() && IsComplete(*occurrences[n])) {
      steps.clear();
      steps.shrink_to_fit();
      --aJob.mUnreleasedCount;
      hasChanged = true;
    }
    if (steps.empty() && n == aJob.mFirstUnreleased) {
      ++aJob.mFirstUnreleased;
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
