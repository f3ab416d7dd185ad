#ifndef SKYLARKHILL_DISPATCH_STATE_HPP
#define SKYLARKHILL_DISPATCH_STATE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/dispatch/worker.hpp"
#include "skylarkhill/jobs/job.hpp"

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkhill::dispatch {

struct JobState;
struct StepState;
struct TaskState;
struct WorkerState;

/// One run of a task on a worker, from its call to its end.
struct RunState
{
  TaskState* mTask = nullptr;
  WorkerState* mWorker = nullptr;
  int mNumber = 0;
  base::TimePoint mOrderedAt;
  /// The worker has accepted or listed the run, or accepted its stop.
  bool mIsConfirmed = false;
  base::TimePoint mConfirmedAt;
  bool mIsStopping = false;
  bool mIsCallInFlight = false;
  int mCallsSent = 0;
  base::TimePoint mNextCallAt;
  int mPercent = 0;
  base::TimePoint mProgressAt;
  /// Share of its speed that the worker was told to give it.
  int mPace = 100;
  int mTargetPace = 100;
  bool mIsPaceInFlight = false;
  /// Since when the wanted pace has been below one half.
  std::optional<base::TimePoint> mThrottledSince;
  /// A service task beside it has been above its target for too long.
  bool mMustMove = false;
  std::int64_t mMeasurement = -1;
  /// Of a service run: the pressure of its last report, less what the backfill
  /// beside it was expected to add.
  double mBaseline = 0.0;
  base::TimePoint mBaselineAt;
  /// Backfill worked beside it during that report.
  bool mIsColocated = false;
};

struct TaskState
{
  StepState* mStep = nullptr;
  int mIndex = 0;
  bool mIsDone = false;
  std::vector<int> mFailedRuns;
  int mLastRun = 0;
  /// One of its runs has ended.
  bool mHasEndedRun = false;
  std::string mCheckpoint;
  std::list<RunState> mRuns;
  /// Worker of the last run that went wrong.
  std::string mAvoidedWorkerId;
  /// An earlier leader may have started it on a worker that has not answered.
  bool mMayHaveUnknownRun = false;
};

/// A permission to run a step on a worker.
struct Ticket
{
  std::string mText;
  base::TimePoint mValidUntil;
};

struct StepState
{
  JobState* mJob = nullptr;
  const jobs::Step* mSpec = nullptr;
  int mOccurrence = 0;
  int mIndex = 0;
  /// Number of the image in the sharing model.
  int mImage = 0;
  std::vector<TaskState> mTasks;
  int mDoneCount = 0;
  /// Tasks that are neither done nor on a worker.
  int mWaitingCount = 0;
  /// Of a service: the pressure of its own load; nothing before the first
  /// report.
  std::optional<double> mBaseline;
  /// Its dependencies are complete and its time has come.
  bool mIsReady = false;
  /// Time of the longest chain of steps that begins with this one, by the
  /// declared estimates.
  std::int64_t mCriticalPathMs = 0;
  /// The job misses its objective unless the step starts now.
  bool mIsUrgent = false;
  /// Tasks on each worker, for the limit per worker.
  std::map<const WorkerState*, int> mTasksPerWorker;
  /// By worker id; only for queues that need permissions.
  std::map<std::string, Ticket> mTickets;
  /// Workers that have been asked about, whatever the answer.
  std::set<std::string> mAdvisedWorkers;
  bool mIsAdviceInFlight = false;
  base::TimePoint mNextAdviceAt;
};

struct OccurrenceState
{
  int mNumber = 0;
  std::int64_t mDueMs = 0;
  bool mIsBegun = false;
  std::vector<StepState> mSteps;
};

struct JobState
{
  jobs::Submission mSubmission;
  jobs::JobState mState = jobs::JobState::Pending;
  /// Unix time by which the job should be complete.
  std::int64_t mObjectiveMs = 0;
  /// Unix time after which completion is worth nothing.
  std::int64_t mZeroValueMs = 0;
  /// Starts are allowed once the release is durable: a leader that takes over
  /// can then tell which jobs may have runs that it does not see.
  bool mIsReleaseRequested = false;
  bool mIsReleased = false;
  std::vector<std::unique_ptr<OccurrenceState>> mOccurrences;
  bool mIsDirty = false;
  /// The batch with the newest progress of the job.
  std::optional<std::uint64_t> mLastBatch;
};

/// Ends that may be acknowledged once a batch is durable.
struct PendingAcknowledgement
{
  std::uint64_t mBatch = 0;
  std::int64_t mSequence = 0;
};

struct WorkerState
{
  WorkerEntry mEntry;
  bool mIsListed = true;
  base::TimePoint mUnlistedAt;
  base::TimePoint mLeavesAt = base::kNoDeadline;

  /// Has answered a poll in this term.
  bool mIsKnown = false;
  std::int64_t mIncarnationStartMs = 0;
  std::int64_t mClockMs = 0;
  base::TimePoint mClockReadAt;
  base::TimePoint mLastReportAt;
  /// Nothing that this leader ordered there runs after this time without a
  /// further call.
  base::TimePoint mLeaseEndsAt;

  bool mIsPollInFlight = false;
  base::TimePoint mNextPollAt;
  int mFailedPolls = 0;

  std::int64_t mProcessedSequence = 0;
  std::int64_t mAcknowledgedSequence = 0;
  std::deque<PendingAcknowledgement> mPendingAcknowledgements;

  std::set<RunState*> mRuns;
  base::Resources mUsed;
  /// Processors that backfill tasks ask for.
  std::int64_t mBackfillDemand = 0;
  /// Share of the processors that each backfill image used by the last report.
  std::map<int, double> mBackfillShares;

  /// No new start before this time.
  base::TimePoint mAvoidUntil;
  /// Recent failures and stalls; halves every kFailureHalfLife.
  double mFailureScore = 0.0;
  base::TimePoint mFailureScoreAt;

  base::TimePoint mPaceChangedAt;
  /// Last report without a service task near or above its target.
  std::optional<base::TimePoint> mLastHealthyReportAt;
  /// Since when a service task may have been above its target.
  std::optional<base::TimePoint> mTailViolatedSince;
};

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_STATE_HPP
