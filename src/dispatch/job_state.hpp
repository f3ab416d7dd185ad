#ifndef SKYLARKHILL_DISPATCH_JOB_STATE_HPP
#define SKYLARKHILL_DISPATCH_JOB_STATE_HPP

#include "skylarkhill/jobs/job_table.hpp"

#include <cstdint>

#include "colocation_model.hpp"
#include "state.hpp"

namespace skylarkhill::dispatch {

/// Number of occurrences of the job, begun or not.
int
CountOccurrences(const ScheduledJob& aJob);

/// Begins the occurrences that are due, as far as the job may have more tasks
/// in memory. Returns true if there were any.
bool
BeginDueOccurrences(ScheduledJob& aJob,
                    ColocationModel& aModel,
                    std::int64_t aUnixMs);

/// Begins the occurrences up to `aOccurrence`, which an earlier leader has
/// begun. Returns true if there were any.
bool
BeginOccurrencesUpTo(ScheduledJob& aJob,
                     ColocationModel& aModel,
                     int aOccurrence);

/// Frees the tasks of completed occurrences. The progress of the job must be
/// durable. Returns true if there were any.
bool
ReleaseOccurrences(ScheduledJob& aJob);

/// Decides how the progress of `aJob` is stored, and restores its tasks from
/// `aStored`. A record holds the progress of at most `aMaxTasksPerRecord`
/// tasks.
void
RestoreProgress(ScheduledJob& aJob,
                ColocationModel& aModel,
                const jobs::JobEntry& aStored,
                int aMaxTasksPerRecord);

/// Adds the borrowed tasks of `aStored` that the job does not have yet. Returns
/// their number.
int
AddBorrowedTasks(ScheduledJob& aJob,
                 ColocationModel& aModel,
                 const jobs::JobEntry& aStored);

/// Leaves the task, which must have no runs, to another cell.
void
SetLent(TaskState& aTask);

/// Returns the progress of `aJob` that must become durable. Changes of ranges
/// are returned once.
jobs::JobProgress
TakeProgress(ScheduledJob& aJob);

/// The progress of the task must become durable.
void
MarkChanged(const TaskState& aTask);

/// Returns the step, or null if the job has none at this position, or if its
/// occurrence has not begun or has been released.
StepState*
FindStep(ScheduledJob& aJob, int aOccurrence, int aStep);

TaskId
IdOf(const TaskState& aTask);

/// True if any task of the job has a run.
bool
HasRuns(const ScheduledJob& aJob);

/// True if the task has a run that is not being stopped.
bool
HasLiveRun(const TaskState& aTask);

/// Resources that a task of the step reserves on a worker.
base::Resources
ReservedResources(const jobs::Step& aStep);

/// Length of the critical path of the job, by the declared estimates.
std::int64_t
EstimateCriticalPathMs(const jobs::JobRequest& aRequest);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_JOB_STATE_HPP
