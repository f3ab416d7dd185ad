#ifndef SKYLARKHILL_DISPATCH_JOB_STATE_HPP
#define SKYLARKHILL_DISPATCH_JOB_STATE_HPP

#include <cstdint>

#include "colocation_model.hpp"
#include "state.hpp"

namespace skylarkhill::dispatch {

/// Creates the occurrences, steps and tasks of `aJob`. `aMayHaveUnknownRuns`:
/// an earlier leader may have started them.
void
CreateOccurrences(JobState& aJob,
                  ColocationModel& aModel,
                  bool aMayHaveUnknownRuns);

/// Applies what is durable about the tasks of `aJob`.
void
RestoreProgress(JobState& aJob, const jobs::JobProgress& aProgress);

/// What has to be durable about `aJob`.
jobs::JobProgress
ProgressOf(const JobState& aJob);

/// Begins the occurrences that are due. True if there were any.
bool
BeginDueOccurrences(JobState& aJob, std::int64_t aUnixMs);

/// The step, or null if the job has no such one.
StepState*
FindStep(JobState& aJob, int aOccurrence, int aStep);

TaskId
IdOf(const TaskState& aTask);

/// True if a task of the job is on a worker.
bool
HasRuns(const JobState& aJob);

/// True if a run of the task is not being stopped.
bool
HasLiveRun(const TaskState& aTask);

/// What a task of the step takes from the capacity of a worker.
base::Resources
ReservedResources(const jobs::Step& aStep);

/// Time of the longest chain of steps, by the declared estimates.
std::int64_t
EstimateCriticalPathMs(const jobs::JobRequest& aRequest);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_JOB_STATE_HPP
