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
#include <tuple>
#include <unordered_map>
#include <vector>

namespace skylarkhill::dispatch {

struct ScheduledJob;
struct StepState;
struct TaskState;
struct WorkerState;

/// One run of a task on a worker, from the decision to start it to its end.
struct RunState
{
  TaskState* mTask = nullptr;
  WorkerState* mWorker = nullptr;
  /// Run number within the task.
  int mNumber = 0;
  base::TimePoint mPlacedAt;
  /// The worker has accepted the start or the stop of the run, or reported it.
  bool mIsConfirmed = false;
  base::TimePoint mConfirmedAt;
  bool mIsStopping = false;
  /// When the worker first reported the run although it was to be stopped.
  std::optional<base::TimePoint> mReportedStoppingAt;
  /// Stop calls, and those of them that the worker has accepted.
  int mStopCalls = 0;
  base::TimePoint mStopSentAt;
  int mAcceptedStops = 0;
  /// The last stop call has ended without an answer.
  bool mHasStopFailed = false;
  bool mIsStopOverdue = false;
  bool mIsCallInFlight = false;
  /// Start calls, with the copies that were sent again.
  int mStartCalls = 0;
  /// Copies of the start that were sent and have no answer. A worker that
  /// restarts may still carry them out, even if it had the run before.
  int mOpenStarts = 0;
  /// Open copies are from before a restart of the worker, and the present
  /// incarnation is not known to refuse them.
  bool mMayReachLaterIncarnation = false;
  /// When the last start call was sent.
  base::TimePoint mStartSentAt;
  base::TimePoint mNextCallAt;
  int mProgressPercent = 0;
  base::TimePoint mProgressAt;
  /// Pace that the worker has accepted, in percent of full speed; -1 if
  /// unknown.
  int mPace = 100;
  /// Pace that the worker should apply, in percent of full speed.
  int mTargetPace = 100;
  bool mIsPaceInFlight = false;
  /// Backfill that has waited for too long and was placed below full pace.
  bool mIsPacedFromStart = false;
  /// Since when the target pace has been below one half.
  std::optional<base::TimePoint> mThrottledSince;
  /// A service task on the same worker has exceeded its tail latency target for
  /// too long.
  bool mMustMove = false;
  /// The last reported value, see ActiveRun::mTailLatencyOrUse.
  std::int64_t mTailLatencyOrUse = -1;
  /// Service runs only: saturation at the report at mBaselineAt, less the
  /// expected interference by backfill.
  double mBaseline = 0.0;
  base::TimePoint mBaselineAt;
  /// Backfill ran on the worker in the period that the report at mBaselineAt
  /// covers.
  bool mIsColocated = false;
};

struct TaskState
{
  StepState* mStep = nullptr;
  int mIndex = 0;
  bool mIsDone = false;
  std::vector<int> mFailedRuns;
  int mLastRun = 0;
  /// At least one run has ended.
  bool mHasEndedRun = false;
  /// When a run of the task was last removed in this term.
  base::TimePoint mRunEndedAt;
  std::string mCheckpoint;
  std::list<RunState> mRuns;
  /// Worker of the last unsuccessful run; other workers are preferred.
  std::string mAvoidedWorkerId;
  /// An earlier leader may have started the task on a worker that has not
  /// reported yet.
  bool mMayHaveEarlierRun = false;
  /// Another cell runs the task. It has no runs here.
  bool mIsElsewhere = false;
  /// This cell has lent the task, for good.
  bool mIsLent = false;
};

/// Ticket of the advice service to run a step on a worker.
struct Ticket
{
  std::string mText;
  base::TimePoint mValidUntil;
  /// Incarnation of the worker that the ticket was requested for.
  std::int64_t mIncarnationStartMs = 0;
};

struct StepState
{
  ScheduledJob* mJob = nullptr;
  const jobs::Step* mSpec = nullptr;
  int mOccurrence = 0;
  int mIndex = 0;
  /// Index of the image in the ColocationModel.
  int mImage = 0;
  std::vector<TaskState> mTasks;
  int mDoneCount = 0;
  /// Tasks of this cell that are neither done nor assigned to a worker.
  int mWaitingCount = 0;
  /// Since when placement has found no worker for a waiting task. A start below
  /// full pace does not end this, so that a move from its worker is short.
  std::optional<base::TimePoint> mNoRoomSince;
  /// Services only: saturation without interference; empty before the first
  /// report.
  std::optional<double> mBaseline;
  /// The dependencies are complete and the occurrence has begun.
  bool mIsReady = false;
  /// Length of the critical path that begins with this step, by the declared
  /// estimates.
  std::int64_t mCriticalPathMs = 0;
  /// Little time is left until the objective of the job, see kUrgentSlackMs;
  /// false once the objective has passed.
  bool mIsUrgent = false;
  /// Last placement round in which the step was tried.
  std::int64_t mPlacementRound = 0;
  /// Number of tasks on each worker, for jobs::Step::mMaxPerWorker.
  std::map<const WorkerState*, int> mTasksPerWorker;
  /// By worker id; used only if QueuePolicy::mNeedsTicket.
  std::map<std::string, Ticket> mTickets;
  /// Workers that the advice service has been asked about, permitted or not,
  /// with WorkerState::mIncarnationStartMs at that time.
  std::map<std::string, std::int64_t> mQueriedIncarnations;
  bool mIsAdviceInFlight = false;
  base::TimePoint mNextAdviceAt;
};

struct OccurrenceState
{
  /// Empty once all tasks are done and their progress no longer changes.
  std::vector<StepState> mSteps;
};

struct ScheduledJob
{
  jobs::Submission mSubmission;
  jobs::JobState mState = jobs::JobState::Pending;
  base::TimePoint mAddedAt;
  /// The job is in another cell. This one has borrowed some of its tasks.
  bool mIsBorrowed = false;
  /// Unix time by which the job should be complete.
  std::int64_t mObjectiveAtMs = 0;
  /// Unix time after which completion has no value.
  std::int64_t mZeroValueAtMs = 0;
  /// Tasks are started only once JobProgress::mMayHaveStarted is durable, so
  /// that the next leader knows which jobs may have runs that no worker has
  /// reported to it.
  bool mIsStartRecordRequested = false;
  bool mIsStartRecorded = false;
  /// The occurrences that have begun.
  std::vector<std::unique_ptr<OccurrenceState>> mOccurrences;
  /// An earlier leader may have started tasks.
  bool mMayHaveEarlierRuns = false;
  /// Runs in this cell.
  int mRunCount = 0;
  /// Index before which all occurrences have been released.
  std::size_t mFirstUnreleased = 0;
  /// Occurrences that have not been released.
  int mUnreleasedCount = 0;
  /// Number of tasks per jobs::TaskRange; 0 if the progress of all tasks is
  /// stored in one record.
  int mTasksPerRange = 0;
  /// Occurrence, step and first task of each range that has changed.
  std::set<std::tuple<int, int, int>> mChangedRanges;
  bool mIsDirty = false;
  /// The batch that holds the latest progress of the job.
  std::optional<std::uint64_t> mLastBatch;
};

/// Ended runs up to mSequence may be acknowledged once the batch is durable.
struct PendingAcknowledgement
{
  std::uint64_t mBatch = 0;
  std::int64_t mSequence = 0;
};

struct WorkerState
{
  WorkerEntry mEntry;
  bool mIsRegistered = true;
  base::TimePoint mUnregisteredAt;
  /// See Dispatcher::SetMayExtendLease.
  bool mMayExtendLease = true;
  base::TimePoint mLeavesAt = base::kNoDeadline;

  /// The registry lists the worker for another cell, whose leader has fenced
  /// this one. It is not called any more.
  bool mIsTakenOver = false;
  /// The worker has answered a poll in this term.
  bool mHasReported = false;
  std::int64_t mIncarnationStartMs = 0;
  /// When this incarnation was first heard of, if a successor may have claimed
  /// the leadership before; until that is ruled out.
  std::optional<base::TimePoint> mUncertainSince;
  std::int64_t mClockMs = 0;
  base::TimePoint mClockReadAt;
  base::TimePoint mLastReportAt;
  /// Upper bound of the leases that earlier leaders have granted.
  base::TimePoint mEarlierLeaseEndsAt;
  /// All runs on the worker stop by this time unless a call extends the lease.
  base::TimePoint mLeaseEndsAt;
  /// End of the lease that was asked for last, on the worker's clock.
  std::int64_t mLeaseUntilMs = 0;
  /// The worker has had runs of another cell, whose lease may last until then.
  base::TimePoint mForeignLeaseEndsAt;

  bool mIsPollInFlight = false;
  base::TimePoint mNextPollAt;
  int mFailedPolls = 0;

  /// The last report has listed all ended runs and no active one, and nothing
  /// has been placed on the worker since.
  bool mIsKnownIdle = false;
  /// See Dispatcher::SetIdleIncarnation; empty while the worker is listed.
  std::optional<std::int64_t> mIdleIncarnationStartMs;
  /// See WorkerReport::mMayOmitEndedRuns, as of the last report.
  bool mMayOmitEndedRuns = false;
  /// The incarnation has begun in this term, so that no other leader has
  /// acknowledged its first ended runs.
  bool mHasRestarted = false;
  std::int64_t mProcessedSequence = 0;
  std::int64_t mAcknowledgedSequence = 0;
  std::deque<PendingAcknowledgement> mPendingAcknowledgements;

  std::set<RunState*> mRuns;
  base::Resources mUsed;
  /// The last report lists runs that are to be stopped and are not among mRuns,
  /// so that mUsed lacks their resources.
  bool mHasUnwantedRuns = false;
  /// Processors, in thousandths, that the backfill tasks request, as of the
  /// last PlacementIndex::Update. Those that have started below full pace use
  /// only what the others leave, and count like one of them.
  std::int64_t mBackfillDemand = 0;
  /// The worker has backfill runs, as of the last PlacementIndex::Update.
  bool mHasBackfill = false;
  /// When the last run below full pace was started.
  base::TimePoint mPacedStartAt;
  /// The service runs among mRuns, as of the last PlacementIndex::Update.
  std::vector<const RunState*> mServiceRuns;
  /// EstimateUnusedProcessors as of the last PlacementIndex::Update.
  std::int64_t mUnusedProcessors = 0;
  /// By backfill image: share of the processors in use at the last report.
  std::map<int, double> mBackfillShares;

  /// No tasks are placed on the worker before this time.
  base::TimePoint mNoStartsUntil;
  /// Score of recent failures and stalls; decays with kFailureHalfLife.
  double mFailureScore = 0.0;
  base::TimePoint mFailureScoreAt;

  base::TimePoint mPaceChangedAt;
  /// Last report in which no service task was near or above its tail latency
  /// target.
  std::optional<base::TimePoint> mTailsBelowTargetAt;
  /// Since when a service task may have exceeded its tail latency target.
  std::optional<base::TimePoint> mTailViolatedSince;
};

/// True if the worker may have a run, or the end of one, of an earlier leader
/// to report.
inline bool
IsAwaited(const WorkerState& aWorker)
{
  return !aWorker.mHasReported && !aWorker.mIdleIncarnationStartMs;
}

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_STATE_HPP
