#ifndef SKYLARKHILL_JOBS_JOB_HPP
#define SKYLARKHILL_JOBS_JOB_HPP

#include "skylarkhill/base/resources.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::jobs {

/// A stage of a job: a number of identical tasks that may run in parallel.
struct Step
{
  /// Number of tasks.
  int mCount = 1;
  /// Resources that one task requires.
  base::Resources mResources;
  /// Declared run time of one task; often inaccurate.
  std::int64_t mEstimateMs = 0;
  /// Indexes of earlier steps that must complete before this step starts.
  std::vector<int> mDependsOn;
  /// Tasks write checkpoints from which a later run continues.
  bool mSavesProgress = false;
  /// All tasks must run at the same time (gang scheduling).
  bool mIsGang = false;
  /// The gang runs slower if it spans several racks.
  bool mIsRackSensitive = false;
  /// Label that a worker must have; empty for any worker.
  std::string mRequiredLabel;
  /// Rack that holds the input data; empty for any rack.
  std::string mPreferredRack;
  /// Maximum number of tasks of this step on one worker; 0 for no limit.
  int mMaxPerWorker = 0;
  /// Several runs of a task may be active at the same time.
  bool mMayDuplicate = false;
  /// Runs until the job is cancelled.
  bool mIsService = false;
  /// Name of the image. Tasks of the same image are assumed to behave alike.
  std::string mImage;
  /// Tail latency target of a service task; 0 for none.
  std::int64_t mTailTargetMs = 0;
  /// Uses only processor time that other tasks leave idle; its processors do
  /// not count against the capacity of a worker.
  bool mIsBackfill = false;
  /// Number of tasks of the service that may be unavailable while a worker
  /// drains; 0 is treated as 1. Ignored shortly before the worker leaves.
  int mMaxUnavailable = 0;
};

/// A job as specified by the caller.
struct JobRequest
{
  /// Opaque to the scheduler; interpreted by workers.
  std::string mPayload;
  std::vector<Step> mSteps;
  /// Number of periodic occurrences; 0 if the job runs once, immediately.
  int mOccurrences = 0;
  /// Unix time of the first occurrence.
  std::int64_t mFirstStartMs = 0;
  std::int64_t mIntervalMs = 0;
};

/// Settings of a queue, as of the submission of the job.
struct QueuePolicy
{
  std::string mQueue;
  /// The pool of workers that runs the tasks.
  std::string mPool;
  /// 0 is the highest priority.
  int mPriority = 0;
  /// Number of failed runs of one task after which the job fails.
  int mMaxFailedRuns = 1;
  /// The objective of a job is the length of its critical path times this
  /// factor, plus the target latency.
  double mSlackFactor = 1.0;
  std::int64_t mTargetLatencyMs = 0;
  /// Starts need a ticket of the advice service.
  bool mNeedsTicket = false;
};

/// A job with its id and policy, as written to the journal.
struct Submission
{
  std::string mId;
  QueuePolicy mPolicy;
  /// Unix time.
  std::int64_t mAcceptedMs = 0;
  JobRequest mRequest;
};

enum class JobState
{
  /// No start of a task has been confirmed.
  Pending,
  Running,
  Completed,
  Failed,
  Cancelled,
};

/// The stable name of `aState`.
std::string_view
NameOf(JobState aState);

/// True for a state that never changes again.
bool
IsFinal(JobState aState);

/// Durable state of one task.
struct TaskProgress
{
  int mIndex = 0;
  bool mIsDone = false;
  /// Numbers of the failed runs. A count would not be enough, because ended
  /// runs may be reported again after a failover, and in any order.
  std::vector<int> mFailedRuns;
  /// Highest known run number; later runs get higher numbers.
  int mLastRun = 0;
  /// Latest checkpoint; empty if there is none.
  std::string mCheckpoint;
};

/// Durable state of one step of one occurrence. Has entries for the tasks that
/// were done or had an ended run when the record was written.
struct StepProgress
{
  int mOccurrence = 0;
  int mStep = 0;
  std::vector<TaskProgress> mTasks;
};

/// Durable state of consecutive tasks of one step, in a record of its own. Used
/// for jobs with too many tasks for one record.
struct TaskRange
{
  /// Index of the first task.
  int mFirst = 0;
  StepProgress mProgress;
};

/// A job has left the cell of the journal that has this record.
struct JobTransfer
{
  /// The cell that runs the job.
  int mTarget = 0;
  /// The journal of the target has the submission.
  bool mIsDelivered = false;
};

/// Lasting tasks that have left a cell for another one, for good.
struct TaskLoan
{
  /// The cell that runs the tasks.
  int mTarget = 0;
  /// The journal of the target has the tasks.
  bool mIsDelivered = false;
  /// The tasks with their last run numbers and checkpoints.
  std::vector<StepProgress> mSteps;
  /// Cells that have had one of the tasks. They do not get them again.
  std::vector<int> mFormerCells;
};

/// Tasks that a cell runs instead of the cell that has lent them.
struct BorrowedTasks
{
  Submission mSubmission;
  /// As in TaskLoan.
  std::vector<StepProgress> mSteps;
  std::vector<int> mFormerCells;
};

/// Durable state of a job, apart from its submission. A job in a final state
/// has no steps.
struct JobProgress
{
  JobState mState = JobState::Pending;
  /// Tasks of the job may have been started. Becomes durable before the first
  /// start.
  bool mMayHaveStarted = false;
  /// Empty for a job whose tasks are stored in ranges.
  std::vector<StepProgress> mSteps;
  /// Ranges that have changed; not part of the record of the job.
  std::vector<TaskRange> mChangedRanges;
  /// Unix time at which a final state was stored; 0 if unknown.
  std::int64_t mEndedMs = 0;
};

} // namespace skylarkhill::jobs

#endif // SKYLARKHILL_JOBS_JOB_HPP
