#ifndef SKYLARKHILL_JOBS_JOB_HPP
#define SKYLARKHILL_JOBS_JOB_HPP

#include "skylarkhill/base/resources.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::jobs {

/// A number of identical tasks that run in parallel.
struct Step
{
  int mCount = 1;
  base::Resources mResources;
  /// Declared run time of one task, often far off.
  std::int64_t mEstimateMs = 0;
  /// Indexes of earlier steps that must be complete first.
  std::vector<int> mDependsOn;
  bool mSavesProgress = false;
  /// All tasks run at the same time or not at all.
  bool mIsGang = false;
  /// A gang that slows down when it spans racks.
  bool mIsRackSensitive = false;
  /// A label that the worker must have; empty: any worker.
  std::string mRequiredLabel;
  /// The rack that holds the input data; empty: any rack.
  std::string mPreferredRack;
  /// Tasks of this step on one worker at most; 0: no limit.
  int mMaxPerWorker = 0;
  /// Copies of a task may run at the same time.
  bool mMayDuplicate = false;
  /// Runs until the job is cancelled.
  bool mIsService = false;
  /// Tasks of one image behave alike.
  std::string mImage;
  /// Bound of the tail latency of a service task; 0: none.
  std::int64_t mTailTargetMs = 0;
  /// Uses only processor time that other tasks leave; its processors do not
  /// count against the capacity of a worker.
  bool mIsBackfill = false;
  /// Service tasks that the system may take away at the same time.
  int mMaxUnavailable = 0;
};

/// What a caller asked for.
struct JobRequest
{
  /// Opaque text that workers interpret.
  std::string mPayload;
  std::vector<Step> mSteps;
  /// Number of occurrences; 0: the job runs once, at once.
  int mOccurrences = 0;
  /// Unix time of the first occurrence.
  std::int64_t mFirstStartMs = 0;
  std::int64_t mIntervalMs = 0;
};

/// The settings of the queue that a job was submitted to.
struct QueuePolicy
{
  std::string mQueue;
  /// The pool of workers that runs the tasks.
  std::string mService;
  /// 0 comes first.
  int mPriority = 0;
  /// Failed runs of one task after which the job has failed.
  int mMaxAttempts = 1;
  /// The objective of a job is this times its work plus the target latency.
  double mSlackFactor = 1.0;
  std::int64_t mTargetLatencyMs = 0;
  /// Starts need a permission of the advice service.
  bool mNeedsAdvice = false;
};

/// An accepted job.
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

/// What is durable about one task.
struct TaskProgress
{
  int mIndex = 0;
  bool mIsDone = false;
  /// Runs that have failed. Ends may be reported again after a change of the
  /// leader and in any order, so that a count would not do.
  std::vector<int> mFailedRuns;
  /// Highest run number known; later runs get higher ones.
  int mLastRun = 0;
  /// Newest checkpoint; empty: none.
  std::string mCheckpoint;
};

/// What is durable about one step of one occurrence. Tasks without an entry
/// have not ended.
struct StepProgress
{
  int mOccurrence = 0;
  int mStep = 0;
  std::vector<TaskProgress> mTasks;
};

/// What is durable about a job beyond its submission.
struct JobProgress
{
  JobState mState = JobState::Pending;
  /// Tasks of the job may have been started. Durable before the first start.
  bool mIsReleased = false;
  std::vector<StepProgress> mSteps;
};

} // namespace skylarkhill::jobs

#endif // SKYLARKHILL_JOBS_JOB_HPP
