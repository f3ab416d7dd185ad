#include "skylarkhill/dispatch/dispatcher.hpp"

#include "skylarkhill/logging/logging.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <unordered_map>

#include "job_state.hpp"
#include "lasting_rooms.hpp"
#include "open_starts.hpp"
#include "pacing.hpp"
#include "placement.hpp"
#include "placement_index.hpp"
#include "poll_queue.hpp"
#include "state.hpp"
#include "summary.hpp"

namespace skylarkhill::dispatch {

using base::Duration;
using base::TimePoint;
using jobs::IsFinal;

namespace {

/// Lowest rate of a worker's lease clock: clocks may run 2% slow.
constexpr double kMinClockRate = 0.98;
/// Covers the time between the worker's reading of its clock and the arrival of
/// its answer.
constexpr Duration kLeaseMargin = std::chrono::milliseconds(400);
/// Upper bound of a lease. Must outlast a failover, which takes about three
/// seconds; a lost worker blocks its tasks for this long.
constexpr Duration kLease = std::chrono::seconds(6);

/// Long-poll wait of workers with backfill. Workers report tail latency and
/// processor use over the last half second, so a longer wait would leave gaps.
constexpr int kPollWaitColocatedMs = 500;
/// Long-poll wait of other workers. Backfill placed during such a poll is
/// monitored from the next poll on.
constexpr int kPollWaitMs = 700;
/// Long-poll wait of workers whose leases must not be extended yet: the first
/// extension goes out with the next poll.
constexpr int kPollWaitUnextendedMs = 100;
/// Pause before the next poll while reported ended runs are not durable yet.
constexpr Duration kDurabilityPollPause = std::chrono::milliseconds(250);
constexpr Duration kPollPause = std::chrono::milliseconds(15);
constexpr Duration kPollRetryPause = std::chrono::milliseconds(300);

/// Pause before an unanswered start or stop is sent again.
constexpr Duration kResendPause = std::chrono::milliseconds(250);
/// A stop that has no answer by then may be waiting for a connection.
constexpr Duration kUsualStopTime = std::chrono::milliseconds(100);
/// A run that its worker reports for longer after it was to be stopped has
/// missed its stop. Must cover two stop calls without an answer.
constexpr Duration kMaxStopTime = std::chrono::milliseconds(2000);
/// Number of unanswered starts after which the run is stopped.
constexpr int kMaxStartCalls = 4;
/// A start without an answer is not carried out later than this after it was
/// sent.
constexpr Duration kMaxLateStart = std::chrono::seconds(60);
constexpr Duration kNoRoomPause = std::chrono::milliseconds(300);
constexpr Duration kUnhealthyPause = std::chrono::milliseconds(1500);

/// A worker whose registry entry is missing for longer is taken to have left.
/// Entries lost in an outage of the store reappear within two seconds.
constexpr Duration kUnregisteredGrace = std::chrono::milliseconds(2500);

/// Minimum time without progress after which a run counts as stalled.
constexpr Duration kMinStallTime = std::chrono::milliseconds(2000);
/// The time without progress must also exceed this multiple of the run's
/// average time per percent.
constexpr double kStallFactor = 8.0;

/// A backfill run that has been throttled for longer is moved to another worker
/// if it saves its progress or has completed less than kMaxRestartPercent.
constexpr Duration kThrottledGrace = std::chrono::milliseconds(700);
constexpr int kMaxRestartPercent = 15;
/// A backfill step that has found no worker for longer may start tasks below
/// full pace.
constexpr Duration kMaxBackfillWait = std::chrono::milliseconds(2000);
/// The same for starts beside others of that kind, which then get less.
constexpr Duration kMaxBackfillWaitAlone = std::chrono::milliseconds(8000);
constexpr int kUnknownPace = -1;
constexpr int kFullPace = 100;
/// Above this estimate a run is taken to be at full pace, because the reported
/// processor use varies down to about this percentage.
constexpr int kMinFullPaceEstimate = 70;
/// Below this progress the run may be younger than the half second over which
/// workers measure processor use.
constexpr int kMinMeasuredProgressPercent = 3;

/// A duplicate of a task is started once its run has taken this multiple of the
/// estimate and is below 60 percent, or has stalled.
constexpr double kDuplicateFactor = 1.6;

/// Completion has no value after this multiple of the objective.
constexpr double kZeroValueFactor = 3.0;

/// Highest lateness, see LatenessOf.
constexpr int kNoValue = 2;

/// Pause between two summary lines in the log.
constexpr Duration kSummaryInterval = std::chrono::seconds(2);

constexpr Duration kTickInterval = std::chrono::milliseconds(100);

/// Maximum work of one tick; the rest follows in the next tick, which is due at
/// once. Between two ticks the leader renews its leadership and reads answers.
constexpr int kMaxPollsPerTick = 100;
/// Counts stop and pace calls.
constexpr int kMaxStopsPerTick = 100;
/// May be exceeded by the members of one gang.
constexpr int kMaxStartsPerTick = 50;
/// The number of starts per tick is halved down to this while ticks are far
/// apart, and then rises in steps.
constexpr int kMinStartsPerTick = 20;
constexpr int kStartsPerTickStep = 5;
/// Time between two ticks above which they are far apart. A call takes a few
/// turns of the call loop, which must pass before the call times out.
constexpr Duration kMaxTurnTime = std::chrono::milliseconds(200);
/// Work of searches for a worker: the workers that they consider and
/// kSearchOverhead for each search. May be exceeded by one search or one gang.
constexpr std::int64_t kMaxSearchWorkPerTick = 20'000;
/// Part of it for steps without a place that have been tried before in the same
/// placement round, so that precedence counts in a full site.
constexpr std::int64_t kMaxRepeatedSearchWorkPerTick = 7'000;
constexpr std::int64_t kSearchOverhead = 20;
/// Starts that are sent again. Their workers may be unreachable, so they must
/// not hold up the others.
constexpr int kMaxRepeatedStartsPerTick = 50;

/// Minimum time between a placement round that has left tasks waiting and the
/// next one, unless an urgent step has become ready.
constexpr Duration kPlacementInterval = std::chrono::milliseconds(20);

/// A step is urgent if the time to the objective of its job is less than 1.5
/// times its critical path plus this. Placement, start and report take about
/// half of this time.
constexpr std::int64_t kUrgentSlackMs = 400;

/// Maximum number of workers per call to the advice service.
constexpr std::size_t kMaxQueriedWorkers = 30;
constexpr Duration kAdvicePause = std::chrono::milliseconds(100);
/// Tickets are treated as expired this early, because a start takes time. At
/// most half of their validity is given up.
constexpr Duration kTicketMargin = std::chrono::milliseconds(200);

/// Run numbers skipped after a failover or an OldRun refusal: an earlier leader
/// may have used up to this many that are not recorded.
constexpr int kRunNumberGap = 8;

std::int64_t
ToMs(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

class DefaultDispatcher : public Dispatcher
{
public:
  DefaultDispatcher(const DispatchLimits& aLimits,
                    const Term& aTerm,
                    CallSink& aSink,
                    metrics::Registry& aMetrics)
    : mLimits(aLimits)
    , mTerm(aTerm)
    , mSink(aSink)
    , mStarts(aMetrics.GetCounter("skylarkhill_starts_total",
                                  "Starts ordered, repeats included."))
    , mStops(aMetrics.GetCounter("skylarkhill_stops_total", "Stops ordered."))
    , mLostRuns(aMetrics.GetCounter("skylarkhill_runs_lost_total",
                                    "Runs that disappeared with a worker."))
    , mOverdueStops(
        aMetrics.GetCounter("skylarkhill_stops_overdue_total",
                            "Runs that workers have reported for too long "
                            "after they were to be stopped."))
    , mMissingEndedRuns(aMetrics.GetCounter(
        "skylarkhill_ended_runs_missing_total",
        "Ended runs that workers have forgotten before the leader read them."))
    , mDroppedOpenStarts(aMetrics.GetCounter(
        "skylarkhill_open_starts_dropped_total",
        "Removed runs whose unanswered starts were forgotten too early."))
    , mStalledRuns(
        aMetrics.GetCounter("skylarkhill_runs_stalled_total",
                            "Runs taken for stuck and started elsewhere."))
    , mCandidates(
        aMetrics.GetCounter("skylarkhill_placement_candidates_total",
                            "Workers considered for a task, over all tasks."))
    , mPollCandidates(aMetrics.GetCounter("skylarkhill_poll_candidates_total",
                                          "Workers considered for a poll."))
    , mAcknowledgementCandidates(aMetrics.GetCounter(
        "skylarkhill_acknowledgement_candidates_total",
        "Workers considered for an acknowledgement of ended runs."))
    , mWorkerChecks(aMetrics.GetCounter("skylarkhill_worker_checks_total",
                                        "Workers checked for missing reports."))
    , mOmittedPairs(aMetrics.GetCounter(
        "skylarkhill_model_pairs_omitted_total",
        "Interference estimates that did not fit into a record."))
  {
    for (const auto& it : mTerm.mIdleSteps) {
      mIdleSteps.emplace(it.mJobId, &it);
    }
  }

  void SetWorker(const WorkerEntry& aEntry, TimePoint aNow) override
  {
    auto& worker = mWorkers[aEntry.mId];
    if (worker == nullptr) {
      mGivenUpIncarnations.erase(aEntry.mId);
      worker = std::make_unique<WorkerState>();
      worker->mEntry.mId = aEntry.mId;
      worker->mEarlierLeaseEndsAt = mTerm.mPreviousLeasesEndAt;
      mPollQueue.Schedule(*worker, aNow);
      ++mUnreportedCount;
      ++mUnpolledCount;
    }
    if (worker->mIsTakenOver) {
      worker->mIsTakenOver = false;
      mPollQueue.Schedule(*worker, aNow);
    }
    const bool wasDraining = worker->mEntry.mIsDraining;
    const bool hasMoved = worker->mEntry.mAddress != aEntry.mAddress;
    const bool mayBecomeEligible =
      !worker->mIsRegistered || wasDraining != aEntry.mIsDraining ||
      worker->mEntry.mPool != aEntry.mPool ||
      worker->mEntry.mLabels != aEntry.mLabels ||
      !(worker->mEntry.mCapacity == aEntry.mCapacity);
    worker->mEntry = aEntry;
    worker->mIsRegistered = true;
    mPlacementIndex.Update(*worker);
    if (mayBecomeEligible) {
      mPlacementIndex.OnAvailable(*worker);
    }
    if (hasMoved) {
      mPollQueue.Advance(*worker, aNow);
    }
    // The worker may be up, and be another incarnation than the registry tells,
    // which lags behind: a call for the former one may have reached it.
    ChangeIdleIncarnation(*worker, std::nullopt);
    if (aEntry.mIsDraining && !wasDraining) {
      worker->mLeavesAt = aNow + std::chrono::milliseconds(aEntry.mRemainingMs);
      logging::Write(
        logging::Level::Info,
        "worker_draining",
        { { "worker", aEntry.mId },
          { "runs", static_cast<std::int64_t>(worker->mRuns.size()) },
          { "remaining_ms", aEntry.mRemainingMs } });
    }
    RequestTick(aNow);
  }

  void OnWorkerUnregistered(const std::string& aWorkerId,
                            TimePoint aNow) override
  {
    const auto found = mWorkers.find(aWorkerId);
    if (found != mWorkers.end() && found->second->mIsRegistered) {
      found->second->mIsRegistered = false;
      found->second->mUnregisteredAt = aNow;
    }
  }

  void SetMayExtendLease(const std::string& aWorkerId,
                         bool aMayExtend,
                         TimePoint aNow) override
  {
    const auto found = mWorkers.find(aWorkerId);
    if (found == mWorkers.end() ||
        found->second->mMayExtendLease == aMayExtend) {
      return;
    }
    WorkerState& worker = *found->second;
    worker.mMayExtendLease = aMayExtend;
    if (aMayExtend) {
      mPlacementIndex.OnAvailable(worker);
      mIsPlacementDue = true;
      RequestTick(aNow);
    }
  }

  void SetEarlierLeaseEnd(const std::string& aWorkerId,
                          TimePoint aEndsAt) override
  {
    const auto found = mWorkers.find(aWorkerId);
    if (found != mWorkers.end()) {
      found->second->mEarlierLeaseEndsAt =
        std::min(aEndsAt, mTerm.mPreviousLeasesEndAt);
    }
  }

  void SetIdleIncarnation(const std::string& aWorkerId,
                          std::optional<std::int64_t> aIncarnationStartMs,
                          TimePoint aNow) override
  {
    const auto found = mWorkers.find(aWorkerId);
    if (found == mWorkers.end() || found->second->mHasReported) {
      return;
    }
    WorkerState& worker = *found->second;
    ChangeIdleIncarnation(
      worker, worker.mIsRegistered ? std::nullopt : aIncarnationStartMs);
    RequestTick(aNow);
  }

  std::optional<std::int64_t> FindIdleIncarnation(const std::string& aWorkerId,
                                                  TimePoint aNow) const override
  {
    if (mOpenStarts.HasAnyOf(aWorkerId) || aNow < mOpenStartsUnknownUntil) {
      return std::nullopt;
    }
    const auto found = mWorkers.find(aWorkerId);
    if (found == mWorkers.end()) {
      const auto dropped = mGivenUpIncarnations.find(aWorkerId);
      return dropped != mGivenUpIncarnations.end() && !mAreReportsMissing
               ? std::optional(dropped->second)
               : std::nullopt;
    }
    const WorkerState& worker = *found->second;
    if (!worker.mHasReported && worker.mIdleIncarnationStartMs) {
      return worker.mIdleIncarnationStartMs;
    }
    const bool isGivenUp = IsGivenUp(worker) && !mAreReportsMissing;
    const bool isIdle =
      (worker.mIsKnownIdle || isGivenUp) && worker.mRuns.empty() &&
      worker.mPendingAcknowledgements.empty() && !worker.mIsTakenOver &&
      !worker.mUncertainSince &&
      worker.mEntry.mIncarnationStartMs <= IncarnationOf(worker);
    return isIdle ? std::optional(IncarnationOf(worker)) : std::nullopt;
  }

  std::vector<SilentWorker> ListSilent() const override
  {
    std::vector<SilentWorker> silent;
    for (const auto& [id, worker] : mWorkers) {
      // The leader of another cell may extend the lease of a worker that it has
      // taken over.
      if (worker->mFailedPolls == 0 || worker->mIsTakenOver) {
        continue;
      }
      silent.push_back({ id,
                         worker->mHasReported ? worker->mLeaseEndsAt
                                              : worker->mEarlierLeaseEndsAt });
    }
    return silent;
  }

  bool Answers(const std::string& aWorkerId) const override
  {
    const auto found = mWorkers.find(aWorkerId);
    return found != mWorkers.end() && found->second->mHasReported &&
           found->second->mFailedPolls == 0;
  }

  TimePoint LeasesEndAt(TimePoint aNow) const override
  {
    // A worker that restarts unnoticed counts a lease from the call that it
    // receives, because its clock starts anew.
    TimePoint end = aNow + MaxLeaseDuration();
    for (const auto& [id, worker] : mWorkers) {
      if (worker->mIsTakenOver) {
        return base::kNoDeadline;
      }
      end = std::max(end,
                     worker->mHasReported ? worker->mLeaseEndsAt
                                          : worker->mEarlierLeaseEndsAt);
    }
    return mWorkers.empty() ? std::max(end, mTerm.mPreviousLeasesEndAt) : end;
  }

  bool HasWorker(const std::string& aWorkerId) const override
  {
    return mWorkers.count(aWorkerId) != 0;
  }

  void AddJob(const jobs::JobEntry& aJob,
              bool aIsFromEarlierTerm,
              TimePoint aNow) override
  {
    const jobs::Submission* submission = aJob.KnownSubmission();
    if (submission == nullptr || IsFinal(aJob.State())) {
      return;
    }
    const auto known = mJobs.find(submission->mId);
    if (known != mJobs.end()) {
      BorrowTasks(*known->second, aJob, aNow);
      return;
    }
    auto job = std::make_unique<ScheduledJob>();
    job->mSubmission = *submission;
    job->mIsBorrowed = aJob.IsBorrowed();
    job->mState = aJob.mProgress.mState;
    job->mAddedAt = aNow;
    const auto& policy = job->mSubmission.mPolicy;
    const auto objective =
      static_cast<std::int64_t>(policy.mSlackFactor *
                                static_cast<double>(EstimateCriticalPathMs(
                                  job->mSubmission.mRequest))) +
      policy.mTargetLatencyMs;
    job->mObjectiveAtMs = job->mSubmission.mAcceptedMs + objective;
    job->mZeroValueAtMs = job->mSubmission.mAcceptedMs +
                          static_cast<std::int64_t>(
                            kZeroValueFactor * static_cast<double>(objective));
    // A loan is stored before the progress, which says so, too.
    job->mIsStartRecorded =
      aJob.mProgress.mMayHaveStarted || !aJob.mLoans.empty();
    job->mIsStartRecordRequested = job->mIsStartRecorded;
    job->mMayHaveEarlierRuns = aIsFromEarlierTerm && job->mIsStartRecorded;
    RestoreProgress(*job, mColocationModel, aJob, mLimits.mMaxTasksPerRecord);
    RestoreIdle(*job, aNow);
    ScheduledJob& added = *job;
    mJobs[added.mSubmission.mId] = std::move(job);
    ReleaseOccurrences(added);
    BeginDueOccurrences(added, mColocationModel, mUnixMs);
    UpdateReadySteps(added);
    RequestTick(aNow);
  }

  void CancelJob(const std::string& aJobId, TimePoint aNow) override
  {
    const auto found = mJobs.find(aJobId);
    if (found == mJobs.end()) {
      return;
    }
    EndJob(*found->second, jobs::JobState::Cancelled);
    RequestTick(aNow);
  }

  bool HasJob(const std::string& aJobId) const override
  {
    return mJobs.count(aJobId) != 0;
  }

  std::vector<UnstartedJob> ListUnstarted() const override
  {
    std::vector<UnstartedJob> unstarted;
    for (const auto& [id, job] : mJobs) {
      if (IsUnstarted(*job)) {
        unstarted.push_back({ id, job->mAddedAt });
      }
    }
    return unstarted;
  }

  bool ReleaseJob(const std::string& aJobId) override
  {
    const auto found = mJobs.find(aJobId);
    if (found == mJobs.end() || !IsUnstarted(*found->second)) {
      return false;
    }
    RemoveReadySteps(*found->second);
    mJobs.erase(found);
    return true;
  }

  std::vector<UnplacedTasks> ListUnplaced(TimePoint aSince,
                                          TimePoint aNow) const override
  {
    std::vector<UnplacedTasks> unplaced;
    std::vector<LastingRoom> rooms;
    for (const StepState* step : ListWaiting()) {
      if (!step->mNoRoomSince || *step->mNoRoomSince > aSince ||
          !MayLend(*step)) {
        continue;
      }
      const auto n =
        std::count_if(step->mTasks.begin(),
                      step->mTasks.end(),
                      [this](const TaskState& aTask) { return IsFree(aTask); });
      if (n > 0) {
        if (unplaced.empty()) {
          rooms = ListLastingRooms(mWorkers, aNow);
        }
        unplaced.push_back({ step->mJob->mSubmission.mId,
                             step->mOccurrence,
                             step->mIndex,
                             step->mJob->mSubmission.mPolicy.mPool,
                             step->mSpec->mRequiredLabel,
                             step->mSpec->mResources.mMilliProcessors,
                             static_cast<int>(n),
                             *step->mNoRoomSince,
                             IsUnstarted(*step->mJob),
                             HasLastingRoom(rooms, *step, aNow) });
      }
    }
    return unplaced;
  }

  jobs::StepProgress LendTasks(const UnplacedTasks& aTasks,
                               int aMaxCount) override
  {
    jobs::StepProgress lent;
    lent.mOccurrence = aTasks.mOccurrence;
    lent.mStep = aTasks.mStep;
    const auto found = mJobs.find(aTasks.mJobId);
    StepState* step =
      found == mJobs.end()
        ? nullptr
        : FindStep(*found->second, aTasks.mOccurrence, aTasks.mStep);
    if (step == nullptr || !MayLend(*step)) {
      return lent;
    }
    for (TaskState& task : step->mTasks) {
      if (!IsFree(task)) {
        continue;
      }
      if (static_cast<int>(lent.mTasks.size()) == aMaxCount) {
        break;
      }
      lent.mTasks.push_back({ task.mIndex,
                              false,
                              task.mFailedRuns,
                              NextRunNumber(task) - 1,
                              task.mCheckpoint });
      SetLent(task);
      MarkChanged(task);
    }
    if (step->mWaitingCount == 0) {
      step->mNoRoomSince.reset();
    }
    if (!lent.mTasks.empty()) {
      ScheduledJob& job = *step->mJob;
      RequestStartRecord(job);
      // The borrower does not tell when it starts the tasks.
      if (job.mState == jobs::JobState::Pending) {
        job.mState = jobs::JobState::Running;
      }
      MarkDirty(job);
    }
    return lent;
  }

  std::vector<jobs::IdleStep> ListIdle(TimePoint aNow) const override
  {
    const auto openTasks = mOpenStarts.ListTasks();
    std::vector<jobs::IdleStep> steps;
    for (const bool isService : { true, false }) {
      for (const StepState* step : mReadySteps) {
        if (step->mSpec->mIsService != isService || step->mWaitingCount == 0 ||
            !step->mJob->mIsStartRecordRequested) {
          continue;
        }
        jobs::IdleStep idle{ step->mJob->mSubmission.mId,
                             step->mOccurrence,
                             step->mIndex,
                             step->mNoRoomSince
                               ? ToMs(aNow - *step->mNoRoomSince)
                               : 0,
                             {} };
        for (const TaskState& it : step->mTasks) {
          if (IsFree(it) && openTasks.count(ToText(IdOf(it))) == 0) {
            idle.mTasks.push_back({ it.mIndex, NextRunNumber(it) - 1 });
          }
        }
        if (!idle.mTasks.empty()) {
          steps.push_back(std::move(idle));
        }
      }
    }
    return steps;
  }

  cells::CellLoad Load(TimePoint aNow) const override
  {
    return MeasureLoad(mReadySteps, mWorkers, aNow);
  }

  void OnReport(const std::string& aWorkerId,
                const WorkerReport& aReport,
                TimePoint aSentAt,
                TimePoint aNow) override
  {
    const auto found = mWorkers.find(aWorkerId);
    if (found == mWorkers.end()) {
      return;
    }
    WorkerState& worker = *found->second;
    ++mWork.mReports;
    const bool acceptedStarts = AcceptsStarts(worker, aNow);
    worker.mIsPollInFlight = false;
    CountAsPolled(worker);
    mUnreportedCount -= IsAwaited(worker) ? 1 : 0;
    LogRegainedWorker(worker, aReport, aNow);
    worker.mFailedPolls = 0;
    if (worker.mHasReported &&
        worker.mIncarnationStartMs != aReport.mIncarnationStartMs) {
      ResetIncarnation(worker, aNow);
    }
    if (!worker.mHasReported) {
      // The previous leader may just have extended the lease.
      worker.mLeaseEndsAt =
        std::max(worker.mLeaseEndsAt, aNow + MaxLeaseDuration());
      mIsPlacementDue = true;
    }
    if (!worker.mHasReported ||
        worker.mIncarnationStartMs != aReport.mIncarnationStartMs) {
      mWorkersWithOpenStarts.insert(aWorkerId);
      // A successor may have polled the former incarnation. Its fencing token
      // is lost with that, so this one would obey both leaders.
      worker.mUncertainSince.reset();
      if (mLeaderLeaseConfirmedAt + kMinTakeoverTime < aNow) {
        worker.mUncertainSince = aNow;
        logging::Write(
          logging::Level::Warning,
          "worker_held",
          { { "worker", aWorkerId },
            { "confirmed_ms", ToMs(aNow - mLeaderLeaseConfirmedAt) } });
      }
    }
    worker.mHasReported = true;
    worker.mIncarnationStartMs = aReport.mIncarnationStartMs;
    worker.mClockMs = aReport.mClockMs;
    worker.mClockReadAt = aNow;
    worker.mLastReportAt = aNow;
    if (!acceptedStarts) {
      mPlacementIndex.OnAvailable(worker);
    }
    worker.mMayOmitEndedRuns = aReport.mMayOmitEndedRuns;
    CheckForeignRuns(worker, aReport, aNow);
    const bool mustWait = HandleEndedRuns(worker, aReport, aNow);
    HandleActiveRuns(worker, aReport, aSentAt, aNow);
    worker.mIsKnownIdle = aReport.mActiveRuns.empty() &&
                          !aReport.mMayOmitEndedRuns && worker.mRuns.empty();
    mColocationModel.Update(worker, aNow);
    AdjustPace(worker, mColocationModel, mLimits.mMaxTailViolation, aNow);
    bool hasPacedStarts = false;
    for (RunState* it : worker.mRuns) {
      if (it->mPace != it->mTargetPace) {
        mRunsToCall.insert(it);
      }
      hasPacedStarts = hasPacedStarts || it->mIsPacedFromStart;
    }
    if (hasPacedStarts) {
      mPlacementIndex.Update(worker);
    }
    mPollQueue.Schedule(worker,
                        aNow + (mustWait ? kDurabilityPollPause : kPollPause));
    RequestTick(aNow);
  }

  void OnPollFailed(const std::string& aWorkerId, TimePoint aNow) override
  {
    const auto found = mWorkers.find(aWorkerId);
    if (found == mWorkers.end()) {
      return;
    }
    WorkerState& worker = *found->second;
    worker.mIsPollInFlight = false;
    if (worker.mIsTakenOver) {
      return;
    }
    CountAsPolled(worker);
    if (++worker.mFailedPolls == 1) {
      logging::Write(
        logging::Level::Warning,
        "worker_silent",
        { { "worker", aWorkerId },
          { "runs", static_cast<std::int64_t>(worker.mRuns.size()) },
          { "listed", worker.mIsRegistered ? "yes" : "no" } });
    }
    mPollQueue.Schedule(worker, aNow + kPollRetryPause);
  }

  void OnFenced(const std::string& aWorkerId) override
  {
    const auto found = mWorkers.find(aWorkerId);
    if (found != mWorkers.end() && !found->second->mIsRegistered) {
      LeaveToOtherCell(*found->second);
      return;
    }
    if (!mIsFenced) {
      logging::Write(logging::Level::Warning,
                     "leader_fenced",
                     { { "worker", aWorkerId }, { "epoch", mTerm.mEpoch } });
    }
    mIsFenced = true;
  }

  void OnStartResult(const StartCall& aCall,
                     const StartResult& aResult,
                     TimePoint aNow) override
  {
    RunState* run = FindRun(aCall.mTask, aCall.mRunNumber, aCall.mWorkerId);
    if (aResult.mOutcome == StartOutcome::Fenced) {
      OnFenced(aCall.mWorkerId);
    }
    if (run == nullptr) {
      const int answered = aResult.mOutcome != StartOutcome::Unknown ? 1 : 0;
      const int resent = aResult.mIsPossiblyResent ? 1 : 0;
      mOpenStarts.ChangeCopies(
        aCall.mWorkerId, aCall.mTask, aCall.mRunNumber, resent - answered);
      return;
    }
    run->mIsCallInFlight = false;
    run->mNextCallAt = aNow + kResendPause;
    if (aResult.mIsPossiblyResent) {
      ++run->mStartCalls;
      ++run->mOpenStarts;
    }
    if (aResult.mOutcome != StartOutcome::Unknown && run->mOpenStarts > 0) {
      --run->mOpenStarts;
    }
    if (aResult.mOutcome != StartOutcome::Started) {
      logging::Write(logging::Level::Info,
                     "start_not_accepted",
                     { { "task", ToText(aCall.mTask) },
                       { "run", aCall.mRunNumber },
                       { "worker", aCall.mWorkerId },
                       { "outcome", NameOf(aResult.mOutcome) },
                       { "call", run->mStartCalls },
                       { "open", run->mOpenStarts },
                       { "resent", aResult.mIsPossiblyResent ? "yes" : "no" },
                       { "confirmed", run->mIsConfirmed ? "yes" : "no" } });
    }
    WorkerState& worker = *run->mWorker;
    switch (aResult.mOutcome) {
      case StartOutcome::Started:
        if (aCall.mIncarnationStartMs != worker.mIncarnationStartMs) {
          // A former incarnation may have answered, with which the run is lost.
          run->mNextCallAt = aNow;
          break;
        }
        ConfirmRun(*run, aNow);
        run->mNextCallAt = aNow;
        if (run->mPace != run->mTargetPace) {
          RequestTick(aNow);
        }
        break;
      case StartOutcome::OldRun:
        // The worker reports the end of the run, or the run never starts.
        ConfirmRun(*run, aNow);
        run->mTask->mLastRun =
          std::max(run->mTask->mLastRun, run->mNumber + kRunNumberGap);
        break;
      case StartOutcome::NoRoom:
        worker.mNoStartsUntil = aNow + kNoRoomPause;
        DropRefusedRun(*run, aNow);
        break;
      case StartOutcome::TicketInvalid:
        ForgetAdvice(*run->mTask->mStep, aCall, aNow);
        DropRefusedRun(*run, aNow);
        break;
      case StartOutcome::TooLate:
      case StartOutcome::DeadlinePassed:
        DropRefusedRun(*run, aNow);
        break;
      case StartOutcome::OtherWorker:
        // The worker has left, and its runs with it.
        worker.mNoStartsUntil = aNow + kNoRoomPause;
        run->mTask->mAvoidedWorkerId = aCall.mWorkerId;
        RemoveRun(*run, aNow);
        break;
      case StartOutcome::OtherIncarnation:
        // The next report tells of the new incarnation.
        worker.mNoStartsUntil = aNow + kNoRoomPause;
        DropRefusedRun(*run, aNow);
        break;
      case StartOutcome::NotSent:
      case StartOutcome::Unhealthy:
      case StartOutcome::Rejected:
        worker.mNoStartsUntil = aNow + kUnhealthyPause;
        ChangeFailureScore(worker, 0.5, aNow);
        DropRefusedRun(*run, aNow);
        break;
      case StartOutcome::Unknown:
      case StartOutcome::Fenced:
        break;
    }
    RequestTick(aNow);
  }

  void OnStopResult(const StopCall& aCall,
                    CallOutcome aOutcome,
                    TimePoint aNow) override
  {
    if (aOutcome == CallOutcome::Fenced) {
      OnFenced(aCall.mWorkerId);
    }
    RunState* run = FindRun(aCall.mTask, aCall.mRunNumber, aCall.mWorkerId);
    if (aOutcome != CallOutcome::Accepted) {
      logging::Write(logging::Level::Info,
                     "stop_not_accepted",
                     { { "task", ToText(aCall.mTask) },
                       { "run", aCall.mRunNumber },
                       { "worker", aCall.mWorkerId },
                       { "outcome", NameOf(aOutcome) },
                       { "known", run != nullptr ? "yes" : "no" } });
    }
    OnOpenStartStopped(aCall, aOutcome, aNow);
    if (run == nullptr) {
      return;
    }
    run->mIsCallInFlight = false;
    run->mNextCallAt = aNow + kResendPause;
    run->mAcceptedStops += aOutcome == CallOutcome::Accepted ? 1 : 0;
    run->mHasStopFailed = aOutcome == CallOutcome::Unknown;
    if (aOutcome == CallOutcome::Accepted &&
        aCall.mIncarnationStartMs != run->mWorker->mIncarnationStartMs) {
      // A former incarnation may have answered.
      run->mNextCallAt = aNow;
    } else if (aOutcome == CallOutcome::Accepted) {
      // The worker now refuses a delayed start of this run, and its next report
      // shows whether the run is active.
      run->mMayReachLaterIncarnation = false;
      ConfirmRun(*run, aNow);
      run->mNextCallAt = aNow + std::chrono::seconds(1);
      mPollQueue.Advance(*run->mWorker, aNow);
    }
    RequestTick(aNow);
  }

  void OnPaceResult(const PaceCall& aCall,
                    CallOutcome aOutcome,
                    TimePoint aNow) override
  {
    if (aOutcome == CallOutcome::Fenced) {
      OnFenced(aCall.mWorkerId);
    }
    RunState* run = FindRun(aCall.mTask, aCall.mRunNumber, aCall.mWorkerId);
    if (run == nullptr) {
      return;
    }
    run->mIsPaceInFlight = false;
    if (aOutcome == CallOutcome::Accepted) {
      run->mPace = aCall.mPacePercent;
      run->mProgressAt = aNow;
    } else {
      run->mNextCallAt = aNow + kResendPause;
    }
    RequestTick(aNow);
  }

  void OnAdviceResult(const AdviceCall& aCall,
                      const std::optional<Advice>& aAdvice,
                      TimePoint aNow) override
  {
    const auto found = mJobs.find(aCall.mJobId);
    StepState* step =
      found == mJobs.end()
        ? nullptr
        : FindStep(*found->second, aCall.mOccurrence, aCall.mStep);
    if (step == nullptr) {
      return;
    }
    step->mIsAdviceInFlight = false;
    step->mNextAdviceAt = aNow + kAdvicePause;
    logging::Write(
      logging::Level::Info,
      "advice_answered",
      { { "job", aCall.mJobId },
        { "occurrence", aCall.mOccurrence },
        { "step", aCall.mStep },
        { "asked", static_cast<std::int64_t>(aCall.mWorkerIds.size()) },
        { "permitted",
          aAdvice ? static_cast<std::int64_t>(aAdvice->mPermissions.size())
                  : -1 },
        { "valid_ms", aAdvice ? aAdvice->mValidMs : -1 } });
    if (!aAdvice) {
      for (const auto& id : aCall.mWorkerIds) {
        step->mQueriedIncarnations.erase(id);
      }
      return;
    }
    const Duration validity = std::chrono::milliseconds(aAdvice->mValidMs);
    const TimePoint validUntil =
      aNow + std::max(validity - kTicketMargin, validity / 2);
    for (const auto& it : aAdvice->mPermissions) {
      const auto asked = step->mQueriedIncarnations.find(it.mWorkerId);
      if (asked != step->mQueriedIncarnations.end()) {
        step->mTickets[it.mWorkerId] = { it.mTicket,
                                         validUntil,
                                         asked->second };
      }
    }
    mIsPlacementDue = true;
    RequestTick(aNow);
  }

  void SetLeaderLease(TimePoint aConfirmedAt, TimePoint aUntil) override
  {
    mLeaderLeaseConfirmedAt = aConfirmedAt;
    mLeaderLeaseEndsAt = aUntil;
  }

  TimePoint ConfirmationNeededAt() const override
  {
    return mConfirmationNeededAt;
  }

  void SetMayStart(bool aMayStart) override { mMayStart = aMayStart; }

  void Tick(TimePoint aNow, std::int64_t aUnixMs) override
  {
    mNextTickAt = aNow + kTickInterval;
    if (mIsFenced) {
      return;
    }
    mUnixMs = aUnixMs;
    // Events trigger many more ticks than the time-dependent checks need.
    const bool isFullTick = aNow >= mNextFullTickAt;
    if (isFullTick) {
      mNextFullTickAt = aNow + kTickInterval;
      mIsPlacementDue = true;
      mNextPlacementAt = aNow;
      mPlacementIndex.ForgetFailures();
      BeginOccurrences();
      RemoveEndedJobs();
      mOpenStarts.RemoveExpired(aNow);
      if (aNow >= mNextSummaryAt) {
        mNextSummaryAt = aNow + kSummaryInterval;
        LogDispatchSummary(
          mJobs.size(), mReadySteps, mWorkers, mAreReportsMissing, aNow);
        LogDispatchWork(mWork, mWorkers, aNow);
        mWork = DispatchWork{};
        if (mAreReportsMissing) {
          LogMissingReports(mWorkers, aNow);
        }
      }
    }
    UpdateMissingReports(isFullTick);
    if (isFullTick) {
      CheckWorkers(aNow);
      mConfirmationNeededAt = FindNeededConfirmation();
    }
    if (aNow >= mLeaderLeaseEndsAt) {
      return;
    }
    mStartsPerTick =
      aNow - mLastTickAt > kMaxTurnTime
        ? std::max(kMinStartsPerTick, mStartsPerTick / 2)
        : std::min(kMaxStartsPerTick, mStartsPerTick + kStartsPerTickStep);
    mLastTickAt = aNow;
    mBudget = TickBudget{};
    mBudget.mStarts = mStartsPerTick;
    if (isFullTick) {
      CheckRuns(aNow);
    }
    SendStops(aNow);
    SendStopsOfOpenStarts(aNow);
    SendPolls(aNow);
    SendRunCalls(aNow);
    // A run is placed only when its start can be sent, so that the choice of
    // the worker is never outdated.
    if (mMayStart) {
      if (isFullTick) {
        PlaceOverdue(aNow);
      }
      PlaceAll(aNow);
    }
  }

  TimePoint NextTickAt() const override { return mNextTickAt; }

  bool IsDirty() const override { return !mDirty.empty(); }

  std::pair<std::uint64_t, std::vector<DirtyJob>> TakeDirty() override
  {
    std::vector<DirtyJob> dirty;
    for (const auto& id : mDirty) {
      const auto found = mJobs.find(id);
      if (found != mJobs.end()) {
        found->second->mIsDirty = false;
        found->second->mLastBatch = mBatch;
        dirty.emplace_back(id, TakeProgress(*found->second));
      }
    }
    mDirty.clear();
    for (auto& it : mRequestedStartRecords) {
      mPendingStartRecords.emplace_back(mBatch, std::move(it));
    }
    mRequestedStartRecords.clear();
    return { mBatch++, std::move(dirty) };
  }

  void OnDurable(std::uint64_t aBatch, TimePoint aNow) override
  {
    mDurableBatch = std::max(mDurableBatch, aBatch + 1);
    while (!mPendingStartRecords.empty() &&
           mPendingStartRecords.front().first < mDurableBatch) {
      const auto found = mJobs.find(mPendingStartRecords.front().second);
      if (found != mJobs.end()) {
        found->second->mIsStartRecorded = true;
        for (const auto& occurrence : found->second->mOccurrences) {
          for (const StepState& step : occurrence->mSteps) {
            if (step.mIsReady) {
              RequestPlacement(step);
            }
          }
        }
        RequestTick(aNow);
      }
      mPendingStartRecords.pop_front();
    }
    while (!mPendingAcknowledgements.empty() &&
           mPendingAcknowledgements.front().first < mDurableBatch) {
      mAcknowledgementCandidates.Add();
      const auto found = mWorkers.find(mPendingAcknowledgements.front().second);
      if (found != mWorkers.end()) {
        Acknowledge(*found->second, aNow);
      }
      mPendingAcknowledgements.pop_front();
    }
  }

  std::string ExportModel(std::size_t aMaxBytes) const override
  {
    auto record = mColocationModel.Export(aMaxBytes);
    if (record.mOmittedPairs > 0) {
      mOmittedPairs.Add(static_cast<std::int64_t>(record.mOmittedPairs));
      logging::Write(
        logging::Level::Info,
        "model_pairs_omitted",
        { { "pairs", static_cast<std::int64_t>(record.mOmittedPairs) },
          { "limit_bytes", static_cast<std::int64_t>(aMaxBytes) } });
    }
    return std::move(record.mBytes);
  }

  void ImportModel(std::string_view aBytes) override
  {
    const auto imported = mColocationModel.Import(aBytes);
    if (!imported) {
      logging::Write(logging::Level::Warning,
                     "model_record_skipped",
                     { { "problem", imported.error().mDetail } });
    }
  }

  bool AreReportsComplete() const override { return !mAreReportsMissing; }

  bool IsFenced() const override { return mIsFenced; }

private:
  // --- Jobs ---------------------------------------------------------------

  TaskState* FindTask(const TaskId& aTask)
  {
    const auto found = mJobs.find(aTask.mJobId);
    if (found == mJobs.end()) {
      return nullptr;
    }
    // The clock of the leader that has begun the occurrence may be ahead.
    if (!IsFinal(found->second->mState) &&
        BeginOccurrencesUpTo(
          *found->second, mColocationModel, aTask.mOccurrence)) {
      UpdateReadySteps(*found->second);
    }
    StepState* step = FindStep(*found->second, aTask.mOccurrence, aTask.mStep);
    if (step == nullptr || aTask.mIndex < 0 ||
        aTask.mIndex >= static_cast<int>(step->mTasks.size())) {
      return nullptr;
    }
    return &step->mTasks[static_cast<std::size_t>(aTask.mIndex)];
  }

  RunState* FindRun(const TaskId& aTask,
                    int aRunNumber,
                    const std::string& aWorkerId)
  {
    TaskState* task = FindTask(aTask);
    if (task == nullptr) {
      return nullptr;
    }
    for (RunState& it : task->mRuns) {
      if (it.mNumber == aRunNumber && it.mWorker->mEntry.mId == aWorkerId) {
        return &it;
      }
    }
    return nullptr;
  }

  void MarkDirty(ScheduledJob& aJob)
  {
    if (!aJob.mIsDirty) {
      aJob.mIsDirty = true;
      mDirty.push_back(aJob.mSubmission.mId);
    }
  }

  /// Marks steps whose dependencies are complete as ready. Ends the job if all
  /// steps are complete.
  void UpdateReadySteps(ScheduledJob& aJob)
  {
    if (IsFinal(aJob.mState)) {
      return;
    }
    bool isComplete =
      static_cast<int>(aJob.mOccurrences.size()) == CountOccurrences(aJob);
    for (auto& occurrence : aJob.mOccurrences) {
      for (StepState& step : occurrence->mSteps) {
        const bool isStepDone =
          step.mDoneCount == static_cast<int>(step.mTasks.size()) &&
          !step.mSpec->mIsService;
        isComplete = isComplete && isStepDone;
        if (isStepDone || step.mIsReady) {
          continue;
        }
        const auto& dependencies = step.mSpec->mDependsOn;
        // The lender has checked the dependencies of borrowed tasks.
        step.mIsReady =
          aJob.mIsBorrowed ||
          std::all_of(
            dependencies.begin(), dependencies.end(), [&](int aDependency) {
              const auto& other =
                occurrence->mSteps[static_cast<std::size_t>(aDependency)];
              return other.mDoneCount == static_cast<int>(other.mTasks.size());
            });
        if (step.mIsReady) {
          mReadySteps.push_back(&step);
          RequestPlacement(step);
        }
      }
    }
    if (isComplete) {
      EndJob(aJob, jobs::JobState::Completed);
    }
  }

  void BeginOccurrences()
  {
    for (auto& [id, job] : mJobs) {
      if (IsFinal(job->mState)) {
        continue;
      }
      if (IsDurable(*job)) {
        ReleaseOccurrences(*job);
      }
      if (BeginDueOccurrences(*job, mColocationModel, mUnixMs)) {
        UpdateReadySteps(*job);
      }
    }
  }

  void EndJob(ScheduledJob& aJob, jobs::JobState aState)
  {
    if (IsFinal(aJob.mState)) {
      return;
    }
    aJob.mState = aState;
    std::int64_t runs = 0;
    for (auto& occurrence : aJob.mOccurrences) {
      for (StepState& step : occurrence->mSteps) {
        for (TaskState& task : step.mTasks) {
          for (RunState& it : task.mRuns) {
            StopRun(it);
            ++runs;
          }
        }
      }
    }
    logging::Write(
      logging::Level::Info,
      "job_ended",
      { { "job", aJob.mSubmission.mId },
        { "queue", aJob.mSubmission.mPolicy.mQueue },
        { "state", jobs::NameOf(aState) },
        { "runs", runs },
        { "unreported", mUnreportedCount },
        { "age_ms", mUnixMs - aJob.mSubmission.mAcceptedMs },
        { "objective_ms", aJob.mObjectiveAtMs - aJob.mSubmission.mAcceptedMs },
        { "late_ms", mUnixMs - aJob.mObjectiveAtMs } });
    // A cancellation is already durable.
    if (aState != jobs::JobState::Cancelled) {
      MarkDirty(aJob);
    }
    RemoveReadySteps(aJob);
  }

  void RemoveReadySteps(const ScheduledJob& aJob)
  {
    mReadySteps.erase(
      std::remove_if(mReadySteps.begin(),
                     mReadySteps.end(),
                     [&](StepState* aStep) { return aStep->mJob == &aJob; }),
      mReadySteps.end());
  }

  /// True if no leader can have started a task of the job.
  static bool IsUnstarted(const ScheduledJob& aJob)
  {
    return aJob.mState == jobs::JobState::Pending &&
           !aJob.mIsStartRecordRequested && !aJob.mIsBorrowed;
  }

  /// True if waiting tasks of the step may run in another cell.
  static bool MayLend(const StepState& aStep)
  {
    const ScheduledJob& job = *aStep.mJob;
    return aStep.mSpec->mIsService && !aStep.mSpec->mIsGang &&
           aStep.mWaitingCount > 0 &&
           job.mSubmission.mRequest.mOccurrences == 0;
  }

  /// True if the task waits here and no worker can have it.
  bool IsFree(const TaskState& aTask) const
  {
    return !aTask.mIsDone && !aTask.mIsElsewhere && aTask.mRuns.empty() &&
           !IsStartDeferred(aTask);
  }

  /// The tasks that the former leader knew to have no run need not wait for the
  /// reports of the workers. Lasting ones may be lent as soon as the room of
  /// the workers is known.
  void RestoreIdle(ScheduledJob& aJob, TimePoint aNow)
  {
    const auto [first, last] = mIdleSteps.equal_range(aJob.mSubmission.mId);
    for (auto idle = first; idle != last; ++idle) {
      const jobs::IdleStep& stored = *idle->second;
      BeginOccurrencesUpTo(aJob, mColocationModel, stored.mOccurrence);
      StepState* step = FindStep(aJob, stored.mOccurrence, stored.mStep);
      if (step != nullptr && step->mSpec->mIsService && stored.mWaitedMs > 0) {
        step->mNoRoomSince = aNow - std::chrono::milliseconds(stored.mWaitedMs);
      }
      for (const jobs::IdleTask& it : stored.mTasks) {
        if (step == nullptr || it.mIndex < 0 ||
            it.mIndex >= static_cast<int>(step->mTasks.size())) {
          continue;
        }
        TaskState& task = step->mTasks[static_cast<std::size_t>(it.mIndex)];
        task.mMayHaveEarlierRun = false;
        task.mLastRun = std::max(task.mLastRun, it.mLastRun);
      }
    }
  }

  void BorrowTasks(ScheduledJob& aJob,
                   const jobs::JobEntry& aStored,
                   TimePoint aNow)
  {
    if (!aJob.mIsBorrowed || IsFinal(aJob.mState) ||
        AddBorrowedTasks(aJob, mColocationModel, aStored) == 0) {
      return;
    }
    UpdateReadySteps(aJob);
    for (const auto& occurrence : aJob.mOccurrences) {
      for (const StepState& step : occurrence->mSteps) {
        RequestPlacement(step);
      }
    }
    RequestTick(aNow);
  }

  /// True if the log has all changes of the job's progress.
  bool IsDurable(const ScheduledJob& aJob) const
  {
    return !aJob.mIsDirty &&
           (!aJob.mLastBatch || *aJob.mLastBatch < mDurableBatch);
  }

  void RemoveEndedJobs()
  {
    for (auto it = mJobs.begin(); it != mJobs.end();) {
      ScheduledJob& job = *it->second;
      // If a job were removed before its end is durable, a repeated submission
      // would be treated as a new job.
      if (IsFinal(job.mState) && IsDurable(job) && !HasRuns(job)) {
        it = mJobs.erase(it);
      } else {
        ++it;
      }
    }
  }

  // --- Runs ---------------------------------------------------------------

  RunState& AddRun(TaskState& aTask,
                   WorkerState& aWorker,
                   int aRunNumber,
                   TimePoint aNow)
  {
    if (aTask.mRuns.empty()) {
      --aTask.mStep->mWaitingCount;
    }
    aTask.mRuns.emplace_back();
    RunState& run = aTask.mRuns.back();
    ++aTask.mStep->mJob->mRunCount;
    run.mTask = &aTask;
    run.mWorker = &aWorker;
    run.mNumber = aRunNumber;
    run.mPlacedAt = aNow;
    run.mProgressAt = aNow;
    run.mNextCallAt = aNow;
    aTask.mLastRun = std::max(aTask.mLastRun, aRunNumber);
    const jobs::Step& step = *aTask.mStep->mSpec;
    aWorker.mRuns.insert(&run);
    aWorker.mIsKnownIdle = false;
    mRunsToCall.insert(&run);
    aWorker.mUsed += ReservedResources(step);
    mPlacementIndex.Update(aWorker);
    ++aTask.mStep->mTasksPerWorker[&aWorker];
    return run;
  }

  /// Keeps what is known of copies of the start without an answer: the next
  /// incarnations of the worker would carry them out.
  void KeepOpenStarts(const RunState& aRun, TimePoint aNow)
  {
    const TimePoint openUntil = aRun.mStartSentAt + kMaxLateStart;
    if (aRun.mOpenStarts == 0 || openUntil <= aNow) {
      return;
    }
    OpenStart start;
    start.mWorkerId = aRun.mWorker->mEntry.mId;
    start.mTask = IdOf(*aRun.mTask);
    start.mRunNumber = aRun.mNumber;
    start.mCopies = aRun.mOpenStarts;
    start.mOpenUntil = openUntil;
    if (aRun.mMayReachLaterIncarnation) {
      mWorkersWithOpenStarts.insert(start.mWorkerId);
    } else {
      start.mRefusedBy = aRun.mWorker->mIncarnationStartMs;
    }
    const std::size_t dropped = mOpenStarts.Add(std::move(start));
    if (dropped > 0) {
      mDroppedOpenStarts.Add(static_cast<std::int64_t>(dropped));
      mOpenStartsUnknownUntil = aNow + kMaxLateStart;
      logging::Write(
        logging::Level::Warning,
        "open_starts_dropped",
        { { "runs", static_cast<std::int64_t>(dropped) },
          { "limit", static_cast<std::int64_t>(OpenStarts::kMaxCount) } });
    }
  }

  void RemoveRun(RunState& aRun, TimePoint aNow)
  {
    KeepOpenStarts(aRun, aNow);
    TaskState& task = *aRun.mTask;
    WorkerState& worker = *aRun.mWorker;
    const jobs::Step& step = *task.mStep->mSpec;
    worker.mRuns.erase(&aRun);
    mRunsToCall.erase(&aRun);
    worker.mUsed -= ReservedResources(step);
    --task.mStep->mTasksPerWorker[&worker];
    mPlacementIndex.Update(worker);
    mPlacementIndex.OnAvailable(worker);
    mIsPlacementDue = true;
    task.mRuns.remove_if(
      [&](const RunState& aEntry) { return &aEntry == &aRun; });
    --task.mStep->mJob->mRunCount;
    task.mRunEndedAt = aNow;
    if (task.mRuns.empty() && !task.mIsDone) {
      ++task.mStep->mWaitingCount;
    }
  }

  void ConfirmRun(RunState& aRun, TimePoint aNow)
  {
    if (!aRun.mIsConfirmed) {
      aRun.mIsConfirmed = true;
      aRun.mConfirmedAt = aNow;
      aRun.mProgressAt = aNow;
    }
    ScheduledJob& job = *aRun.mTask->mStep->mJob;
    if (job.mState == jobs::JobState::Pending) {
      job.mState = jobs::JobState::Running;
      MarkDirty(job);
    }
  }

  /// Removes a run whose last start was refused or not sent, or stops it if
  /// another copy of the start may still take effect. Keeps a run that the
  /// worker has.
  void DropRefusedRun(RunState& aRun, TimePoint aNow)
  {
    if (aRun.mIsConfirmed) {
      // An earlier start took effect; reports tell how the run ends.
      return;
    }
    aRun.mTask->mAvoidedWorkerId = aRun.mWorker->mEntry.mId;
    if (aRun.mOpenStarts > 0) {
      StopRun(aRun);
      return;
    }
    RemoveRun(aRun, aNow);
  }

  void StopRun(RunState& aRun)
  {
    if (!aRun.mIsStopping) {
      aRun.mIsStopping = true;
      mRunsToCall.insert(&aRun);
      aRun.mNextCallAt = TimePoint{};
    }
  }

  void DropLostRun(RunState& aRun, std::string_view aCause, TimePoint aNow)
  {
    mLostRuns.Add();
    TaskState& task = *aRun.mTask;
    logging::Write(
      logging::Level::Info,
      "run_lost",
      { { "task", ToText(IdOf(task)) },
        { "run", aRun.mNumber },
        { "worker", aRun.mWorker->mEntry.mId },
        { "cause", aCause },
        { "report_age_ms", ToMs(aNow - aRun.mWorker->mLastReportAt) },
        { "lease_ended_ms", ToMs(aNow - aRun.mWorker->mLeaseEndsAt) } });
    if (!aRun.mIsStopping) {
      task.mAvoidedWorkerId = aRun.mWorker->mEntry.mId;
    }
    RemoveRun(aRun, aNow);
  }

  void DropAllLostRuns(WorkerState& aWorker,
                       std::string_view aCause,
                       TimePoint aNow)
  {
    while (!aWorker.mRuns.empty()) {
      DropLostRun(**aWorker.mRuns.begin(), aCause, aNow);
    }
  }

  void ResetIncarnation(WorkerState& aWorker, TimePoint aNow)
  {
    logging::Write(
      logging::Level::Warning,
      "worker_restarted",
      { { "worker", aWorker.mEntry.mId },
        { "runs", static_cast<std::int64_t>(aWorker.mRuns.size()) } });
    const std::vector<RunState*> runs(aWorker.mRuns.begin(),
                                      aWorker.mRuns.end());
    for (RunState* it : runs) {
      it->mMayReachLaterIncarnation =
        it->mMayReachLaterIncarnation || it->mOpenStarts > 0;
      if (!it->mIsConfirmed) {
        // The start may have reached the new incarnation, or still reach it.
        continue;
      }
      if (it->mOpenStarts > 0) {
        // So may a start without an answer, unless it is stopped. The former
        // incarnation may have accepted an earlier stop.
        it->mIsConfirmed = false;
        StopRun(*it);
        it->mNextCallAt = aNow;
      } else if (it->mConfirmedAt > aWorker.mLastReportAt) {
        // Either incarnation may have accepted the start. Repeated with the
        // same number, it does not start the run a second time. If the repeated
        // one is refused, the first one is still open.
        it->mIsConfirmed = false;
        ++it->mOpenStarts;
        it->mMayReachLaterIncarnation = true;
        it->mNextCallAt = aNow;
        mRunsToCall.insert(it);
      } else {
        DropLostRun(*it, "worker restarted", aNow);
      }
    }
    aWorker.mHasRestarted = true;
    aWorker.mProcessedSequence = 0;
    aWorker.mAcknowledgedSequence = 0;
    aWorker.mPendingAcknowledgements.clear();
    aWorker.mLeaseUntilMs = 0;
    aWorker.mForeignLeaseEndsAt = TimePoint{};
    // A call to the former incarnation may have granted a lease. If the clock
    // of the new one is behind, it is the longest that the worker accepts.
    aWorker.mLeaseEndsAt =
      std::max(aWorker.mLeaseEndsAt, aNow + LongestDuration(mLimits.mMaxLease));
  }

  // --- Reports ------------------------------------------------------------

  static void LogRegainedWorker(const WorkerState& aWorker,
                                const WorkerReport& aReport,
                                TimePoint aNow)
  {
    if (aWorker.mFailedPolls == 0) {
      return;
    }
    logging::Write(
      logging::Level::Info,
      "worker_regained",
      { { "worker", aWorker.mEntry.mId },
        { "failed_polls", aWorker.mFailedPolls },
        { "silent_ms",
          aWorker.mHasReported ? ToMs(aNow - aWorker.mLastReportAt) : -1 },
        { "runs", static_cast<std::int64_t>(aWorker.mRuns.size()) },
        { "reported_runs",
          static_cast<std::int64_t>(aReport.mActiveRuns.size()) } });
  }

  /// True if only another cell can have started the task.
  bool IsForeign(const TaskId& aTask)
  {
    if (mJobs.count(aTask.mJobId) == 0) {
      return !mTerm.mJobs->MayHaveRun(aTask.mJobId);
    }
    const TaskState* task = FindTask(aTask);
    return task != nullptr && task->mIsElsewhere && !task->mIsLent;
  }

  /// Lets the lease end that the leader of another cell has granted to its runs
  /// on the worker. Until then, that leader counts on the runs, and on hearing
  /// how they end.
  void CheckForeignRuns(WorkerState& aWorker,
                        const WorkerReport& aReport,
                        TimePoint aNow)
  {
    if (mTerm.mJobs == nullptr || aNow < aWorker.mForeignLeaseEndsAt) {
      return;
    }
    const auto isActive = [this](const ActiveRun& aRun) {
      return IsForeign(aRun.mTask);
    };
    const auto counts = [&](const EndedRun& aRun) {
      return aRun.mSequence > aWorker.mProcessedSequence &&
             (aRun.mOutcome == RunOutcome::Done ||
              aRun.mOutcome == RunOutcome::Failed) &&
             IsForeign(aRun.mTask);
    };
    const auto& active = aReport.mActiveRuns;
    const auto& ended = aReport.mEndedRuns;
    if (std::none_of(active.begin(), active.end(), isActive) &&
        std::none_of(ended.begin(), ended.end(), counts)) {
      return;
    }
    aWorker.mForeignLeaseEndsAt =
      std::max(aWorker.mLeaseEndsAt, aNow + MaxLeaseDuration());
    logging::Write(logging::Level::Warning,
                   "foreign_runs_found",
                   { { "worker", aWorker.mEntry.mId },
                     { "active", static_cast<std::int64_t>(active.size()) },
                     { "ended", static_cast<std::int64_t>(ended.size()) },
                     { "wait_ms", ToMs(aWorker.mForeignLeaseEndsAt - aNow) } });
  }

  /// Handles newly reported ended runs. Returns true while ended runs of the
  /// worker must become durable before they may be acknowledged.
  bool HandleEndedRuns(WorkerState& aWorker,
                       const WorkerReport& aReport,
                       TimePoint aNow)
  {
    bool mustBecomeDurable = false;
    std::int64_t highest = aWorker.mProcessedSequence;
    for (const auto& it : aReport.mEndedRuns) {
      if (it.mSequence > aWorker.mProcessedSequence) {
        LogMissingEndedRuns(aWorker, highest, it.mSequence);
        mustBecomeDurable =
          HandleEndedRun(aWorker, it, aNow) || mustBecomeDurable;
        highest = std::max(highest, it.mSequence);
      }
    }
    if (highest > aWorker.mProcessedSequence) {
      aWorker.mProcessedSequence = highest;
      auto& pending = aWorker.mPendingAcknowledgements;
      if (mustBecomeDurable || !pending.empty()) {
        pending.push_back({ mBatch, highest });
        mPendingAcknowledgements.emplace_back(mBatch, aWorker.mEntry.mId);
      } else {
        aWorker.mAcknowledgedSequence = highest;
      }
    }
    return !aWorker.mPendingAcknowledgements.empty();
  }

  /// Logs the ended runs between two numbers that follow each other in reports:
  /// the worker has forgotten them before this leader has read them.
  void LogMissingEndedRuns(const WorkerState& aWorker,
                           std::int64_t aPrevious,
                           std::int64_t aNext)
  {
    const bool isPreviousKnown = aPrevious > 0 || aWorker.mHasRestarted;
    if (isPreviousKnown && aNext > aPrevious + 1) {
      mMissingEndedRuns.Add(aNext - aPrevious - 1);
      logging::Write(logging::Level::Warning,
                     "ended_runs_missing",
                     { { "worker", aWorker.mEntry.mId },
                       { "first", aPrevious + 1 },
                       { "last", aNext - 1 } });
    }
  }

  /// Acknowledges the ended runs of the worker that durable batches cover.
  void Acknowledge(WorkerState& aWorker, TimePoint aNow)
  {
    auto& pending = aWorker.mPendingAcknowledgements;
    bool hasChanged = false;
    while (!pending.empty() && pending.front().mBatch < mDurableBatch) {
      aWorker.mAcknowledgedSequence = pending.front().mSequence;
      pending.pop_front();
      hasChanged = true;
    }
    if (hasChanged && pending.empty()) {
      mPollQueue.Advance(aWorker, aNow);
      RequestTick(aNow);
    }
  }

  /// Returns true if the progress of the job must become durable before the
  /// ended run may be acknowledged.
  bool HandleEndedRun(WorkerState& aWorker,
                      const EndedRun& aEndedRun,
                      TimePoint aNow)
  {
    TaskState* task = FindTask(aEndedRun.mTask);
    if (task == nullptr) {
      return false;
    }
    RunState* run =
      FindRun(aEndedRun.mTask, aEndedRun.mRunNumber, aWorker.mEntry.mId);
    const bool wasStopping = run != nullptr && run->mIsStopping;
    if (run != nullptr) {
      run->mMayReachLaterIncarnation = false;
      RemoveRun(*run, aNow);
    }
    task->mLastRun = std::max(task->mLastRun, aEndedRun.mRunNumber);
    task->mHasEndedRun = true;
    MarkChanged(*task);
    ScheduledJob& job = *task->mStep->mJob;
    if (IsFinal(job.mState) || task->mIsDone || task->mIsElsewhere) {
      return false;
    }
    if (!aEndedRun.mCheckpoint.empty()) {
      task->mCheckpoint = aEndedRun.mCheckpoint;
    }
    switch (aEndedRun.mOutcome) {
      case RunOutcome::Done:
        ChangeFailureScore(aWorker, -0.5, aNow);
        CompleteTask(*task);
        return true;
      case RunOutcome::Failed:
        FailTask(*task, aEndedRun.mRunNumber, aWorker, aNow);
        MarkDirty(job);
        return true;
      case RunOutcome::Stopped:
      case RunOutcome::LeaseExpired:
      case RunOutcome::GangBroken:
      case RunOutcome::GangIncomplete:
        if (!wasStopping) {
          logging::Write(logging::Level::Info,
                         "run_ended_early",
                         { { "task", ToText(aEndedRun.mTask) },
                           { "run", aEndedRun.mRunNumber },
                           { "worker", aWorker.mEntry.mId },
                           { "end", NameOf(aEndedRun.mOutcome) } });
        }
        return false;
    }
    return false;
  }

  void CompleteTask(TaskState& aTask)
  {
    StepState& step = *aTask.mStep;
    if (step.mSpec->mIsService) {
      // Service tasks are restarted after any outcome.
      MarkDirty(*step.mJob);
      return;
    }
    const auto complete = [&](TaskState& aMember) {
      if (!aMember.mIsDone) {
        aMember.mIsDone = true;
        MarkChanged(aMember);
        ++step.mDoneCount;
        step.mWaitingCount -= aMember.mRuns.empty() ? 1 : 0;
      }
      for (RunState& it : aMember.mRuns) {
        StopRun(it);
      }
    };
    complete(aTask);
    if (step.mSpec->mIsGang) {
      std::for_each(step.mTasks.begin(), step.mTasks.end(), complete);
    }
    MarkDirty(*step.mJob);
    if (step.mDoneCount == static_cast<int>(step.mTasks.size())) {
      mReadySteps.erase(
        std::remove(mReadySteps.begin(), mReadySteps.end(), &step),
        mReadySteps.end());
      UpdateReadySteps(*step.mJob);
    }
  }

  void FailTask(TaskState& aTask,
                int aRunNumber,
                WorkerState& aWorker,
                TimePoint aNow)
  {
    ChangeFailureScore(aWorker, 1.0, aNow);
    aTask.mAvoidedWorkerId = aWorker.mEntry.mId;
    if (aTask.mStep->mSpec->mIsService) {
      return;
    }
    auto& failed = aTask.mFailedRuns;
    if (std::find(failed.begin(), failed.end(), aRunNumber) != failed.end()) {
      return;
    }
    failed.push_back(aRunNumber);
    const auto failures = static_cast<int>(failed.size());
    ScheduledJob& job = *aTask.mStep->mJob;
    logging::Write(logging::Level::Info,
                   "run_failed",
                   { { "task", ToText(IdOf(aTask)) },
                     { "worker", aWorker.mEntry.mId },
                     { "failures", failures },
                     { "limit", job.mSubmission.mPolicy.mMaxFailedRuns } });
    if (failures >= job.mSubmission.mPolicy.mMaxFailedRuns) {
      EndJob(job, jobs::JobState::Failed);
    }
  }

  void HandleActiveRuns(WorkerState& aWorker,
                        const WorkerReport& aReport,
                        TimePoint aSentAt,
                        TimePoint aNow)
  {
    std::set<const RunState*> listed;
    aWorker.mHasUnwantedRuns = false;
    for (const auto& it : aReport.mActiveRuns) {
      TaskState* task = FindTask(it.mTask);
      RunState* run = FindRun(it.mTask, it.mRunNumber, aWorker.mEntry.mId);
      if (run == nullptr) {
        run = AdoptRun(aWorker, task, it, aNow);
      }
      if (run == nullptr) {
        aWorker.mHasUnwantedRuns = true;
        continue;
      }
      listed.insert(run);
      run->mMayReachLaterIncarnation = false;
      ConfirmRun(*run, aNow);
      CheckStopping(*run, aNow);
      if (it.mProgressPercent != run->mProgressPercent) {
        run->mProgressPercent = it.mProgressPercent;
        run->mProgressAt = aNow;
      }
      run->mTailLatencyOrUse = it.mTailLatencyOrUse;
      if (!it.mCheckpoint.empty()) {
        run->mTask->mCheckpoint = it.mCheckpoint;
      }
    }
    if (aReport.mMayOmitEndedRuns) {
      // A run that is not listed may be among the omitted ones.
      return;
    }
    std::vector<RunState*> missing;
    for (RunState* it : aWorker.mRuns) {
      if (listed.count(it) == 0 && it->mIsConfirmed &&
          it->mConfirmedAt <= aSentAt) {
        missing.push_back(it);
      }
    }
    for (RunState* it : missing) {
      DropLostRun(*it, "not reported by the worker", aNow);
    }
  }

  /// Repeats a stop of a reported run that has failed or has no answer. Logs,
  /// once, a run that goes on although it is to be stopped.
  void CheckStopping(RunState& aRun, TimePoint aNow)
  {
    if (!aRun.mIsStopping) {
      return;
    }
    // The connection of the poll is idle until the next one. During a poll, a
    // stop needs a new connection, which the worker may refuse, or leave
    // without an answer, while polls extend its lease.
    if (aRun.mHasStopFailed) {
      aRun.mNextCallAt = std::min(aRun.mNextCallAt, aNow);
    } else if (aRun.mIsCallInFlight && aRun.mStopCalls > 0 &&
               aRun.mStopSentAt + kUsualStopTime <= aNow) {
      SendRunStop(aRun, aNow);
    }
    if (aRun.mIsStopOverdue) {
      return;
    }
    if (!aRun.mReportedStoppingAt) {
      aRun.mReportedStoppingAt = aNow;
      return;
    }
    const Duration time = aNow - *aRun.mReportedStoppingAt;
    if (time <= kMaxStopTime) {
      return;
    }
    aRun.mIsStopOverdue = true;
    mOverdueStops.Add();
    logging::Write(logging::Level::Warning,
                   "stop_overdue",
                   { { "task", ToText(IdOf(*aRun.mTask)) },
                     { "run", aRun.mNumber },
                     { "worker", aRun.mWorker->mEntry.mId },
                     { "reported_ms", ToMs(time) },
                     { "calls", aRun.mStopCalls },
                     { "accepted", aRun.mAcceptedStops } });
  }

  /// Takes over a reported run that this leader has not started. Stops it and
  /// returns null if it is not wanted.
  RunState* AdoptRun(WorkerState& aWorker,
                     TaskState* aTask,
                     const ActiveRun& aRun,
                     TimePoint aNow)
  {
    const bool isWanted = aTask != nullptr && !aTask->mIsDone &&
                          !aTask->mIsElsewhere &&
                          !IsFinal(aTask->mStep->mJob->mState);
    if (!isWanted) {
      const bool mayStop = aNow < mLeaderLeaseEndsAt;
      logging::Write(logging::Level::Info,
                     "unwanted_run",
                     { { "task", ToText(aRun.mTask) },
                       { "run", aRun.mRunNumber },
                       { "worker", aWorker.mEntry.mId },
                       { "stop", mayStop ? "sent" : "held" } });
      if (mayStop) {
        SendStop(aWorker, aRun.mTask, aRun.mRunNumber);
      }
      return nullptr;
    }
    const bool isDuplicate = HasLiveRun(*aTask);
    RunState& run = AddRun(*aTask, aWorker, aRun.mRunNumber, aNow);
    run.mStartCalls = 1;
    TakeOpenStarts(run);
    if (run.mTask->mStep->mSpec->mIsBackfill) {
      run.mTargetPace = EstimatePace(run, aRun);
      run.mPace = run.mTargetPace == kFullPace ? kUnknownPace : run.mTargetPace;
    }
    aTask->mMayHaveEarlierRun = false;
    if (isDuplicate && !aTask->mStep->mSpec->mMayDuplicate) {
      StopRun(run);
    }
    return &run;
  }

  /// Counts the copies that were kept when the run was removed.
  void TakeOpenStarts(RunState& aRun)
  {
    const auto kept = mOpenStarts.Take(
      aRun.mWorker->mEntry.mId, IdOf(*aRun.mTask), aRun.mNumber);
    if (kept) {
      aRun.mOpenStarts = kept->mCopies;
      aRun.mStartSentAt = kept->mOpenUntil - kMaxLateStart;
    }
  }

  /// Estimates the pace that an earlier leader has set from the processor use.
  /// Resetting all runs to full pace would violate the targets of colocated
  /// services.
  static int EstimatePace(const RunState& aRun, const ActiveRun& aReport)
  {
    const auto requested =
      aRun.mTask->mStep->mSpec->mResources.mMilliProcessors;
    const bool hasJustStarted =
      aReport.mProgressPercent < kMinMeasuredProgressPercent;
    if (requested <= 0 || aReport.mTailLatencyOrUse < 0 || hasJustStarted) {
      return kFullPace;
    }
    const auto pace =
      static_cast<int>(kFullPace * aReport.mTailLatencyOrUse / requested);
    return pace > kMinFullPaceEstimate ? kFullPace : pace;
  }

  // --- Periodic checks ----------------------------------------------------

  void CheckWorkers(TimePoint aNow)
  {
    mWorkerChecks.Add(static_cast<std::int64_t>(mWorkers.size()));
    for (auto it = mWorkers.begin(); it != mWorkers.end();) {
      WorkerState& worker = *it->second;
      const bool isSilent = worker.mLastReportAt + kPollRetryPause < aNow &&
                            worker.mFailedPolls > 0;
      if (worker.mUncertainSince &&
          *worker.mUncertainSince <=
            mLeaderLeaseConfirmedAt + kMinTakeoverTime) {
        worker.mUncertainSince.reset();
        mPlacementIndex.OnAvailable(worker);
        mIsPlacementDue = true;
      }
      // A successor unknown to this instance may have extended the lease, so
      // the leadership must have been confirmed after the end of the lease.
      if (isSilent && worker.mLeaseEndsAt < mLeaderLeaseConfirmedAt &&
          !worker.mRuns.empty()) {
        DropAllLostRuns(worker, "worker silent beyond its lease", aNow);
      }
      if (!worker.mIsRegistered &&
          worker.mUnregisteredAt + kUnregisteredGrace < aNow && isSilent &&
          worker.mRuns.empty() &&
          worker.mLeaseEndsAt < mLeaderLeaseConfirmedAt &&
          !worker.mIsPollInFlight &&
          (worker.mHasReported || HasEarlierLeaseEnded(worker))) {
        logging::Write(
          logging::Level::Info,
          "worker_dropped",
          { { "worker", worker.mEntry.mId },
            { "unregistered_ms", ToMs(aNow - worker.mUnregisteredAt) },
            { "reported", worker.mHasReported ? "yes" : "no" } });
        if (worker.mPendingAcknowledgements.empty() && !worker.mIsTakenOver &&
            !worker.mUncertainSince) {
          mGivenUpIncarnations.emplace(it->first, IncarnationOf(worker));
        }
        mPlacementIndex.Remove(worker);
        mPollQueue.Remove(worker);
        CountAsPolled(worker);
        mUnreportedCount -= IsAwaited(worker) ? 1 : 0;
        it = mWorkers.erase(it);
        continue;
      }
      ++it;
    }
  }

  /// Must precede a change of WorkerState::mHasReported or mFailedPolls.
  void CountAsPolled(const WorkerState& aWorker)
  {
    mUnpolledCount -= IsAwaited(aWorker) && aWorker.mFailedPolls == 0 ? 1 : 0;
  }

  void ChangeIdleIncarnation(WorkerState& aWorker,
                             std::optional<std::int64_t> aIncarnationStartMs)
  {
    const int before = IsAwaited(aWorker) ? 1 : 0;
    aWorker.mIdleIncarnationStartMs = aIncarnationStartMs;
    const int change = (IsAwaited(aWorker) ? 1 : 0) - before;
    mUnreportedCount += change;
    mUnpolledCount += aWorker.mFailedPolls == 0 ? change : 0;
  }

  /// `aChecksLeases` is false in ticks that may be frequent.
  void UpdateMissingReports(bool aChecksLeases)
  {
    // No run outlives the leases of earlier leaders, but a reachable worker may
    // still have the end of a run to report.
    if (mAreReportsMissing &&
        ((mUnreportedCount == 0 && !mWorkers.empty()) ||
         (aChecksLeases && mUnpolledCount == 0 && HaveLeasesEnded())) &&
        !MayOmitEndedRuns()) {
      mAreReportsMissing = false;
      mIsPlacementDue = true;
      logging::Write(
        logging::Level::Info,
        "reports_complete",
        { { "workers", static_cast<std::int64_t>(mWorkers.size()) },
          { "unreported", mUnreportedCount },
          { "idle", CountIdle() } });
    }
  }

  /// Number of workers without a report that are not awaited.
  std::int64_t CountIdle() const
  {
    return std::count_if(
      mWorkers.begin(), mWorkers.end(), [](const auto& aEntry) {
        return !aEntry.second->mHasReported && !IsAwaited(*aEntry.second);
      });
  }

  /// True if no lease of the worker that another leader has granted can last. A
  /// successor unknown to this instance may have extended it, unless the
  /// leadership was confirmed after its end.
  bool HasEarlierLeaseEnded(const WorkerState& aWorker) const
  {
    return aWorker.mEarlierLeaseEndsAt <= mLeaderLeaseConfirmedAt;
  }

  /// True if the worker is silent and cannot run anything any more.
  bool IsGivenUp(const WorkerState& aWorker) const
  {
    return aWorker.mFailedPolls > 0 &&
           aWorker.mLeaseEndsAt < mLeaderLeaseConfirmedAt &&
           (aWorker.mHasReported || HasEarlierLeaseEnded(aWorker));
  }

  /// The last known incarnation.
  static std::int64_t IncarnationOf(const WorkerState& aWorker)
  {
    return aWorker.mHasReported ? aWorker.mIncarnationStartMs
                                : aWorker.mIdleIncarnationStartMs.value_or(
                                    aWorker.mEntry.mIncarnationStartMs);
  }

  /// True if the leases that earlier leaders have granted to workers without a
  /// report have ended.
  bool HaveLeasesEnded() const
  {
    if (mWorkers.empty()) {
      return mTerm.mPreviousLeasesEndAt <= mLeaderLeaseConfirmedAt;
    }
    return std::all_of(
      mWorkers.begin(), mWorkers.end(), [this](const auto& aEntry) {
        const WorkerState& worker = *aEntry.second;
        return !IsAwaited(worker) || HasEarlierLeaseEnded(worker);
      });
  }

  /// True if a worker may have ended runs of an earlier leader that it has not
  /// listed yet. They do not count any more once its lease has ended.
  bool MayOmitEndedRuns() const
  {
    return std::any_of(
      mWorkers.begin(), mWorkers.end(), [this](const auto& aEntry) {
        const WorkerState& worker = *aEntry.second;
        return worker.mMayOmitEndedRuns &&
               (worker.mFailedPolls == 0 ||
                worker.mLeaseEndsAt > mLeaderLeaseConfirmedAt);
      });
  }

  /// When the next lease ends of which the end must be followed by a
  /// confirmation of the leadership; kNoDeadline if there is none.
  TimePoint FindNeededConfirmation() const
  {
    TimePoint next = base::kNoDeadline;
    TimePoint lastEarlierEnd =
      mWorkers.empty() ? mTerm.mPreviousLeasesEndAt : TimePoint{};
    for (const auto& [id, worker] : mWorkers) {
      if (worker->mFailedPolls > 0 && !worker->mRuns.empty() &&
          worker->mLeaseEndsAt >= mLeaderLeaseConfirmedAt) {
        next = std::min(next, worker->mLeaseEndsAt);
      }
      if (IsAwaited(*worker)) {
        lastEarlierEnd = std::max(lastEarlierEnd, worker->mEarlierLeaseEndsAt);
      }
    }
    const bool isWaiting =
      mAreReportsMissing && lastEarlierEnd > mLeaderLeaseConfirmedAt;
    return isWaiting ? std::min(next, lastEarlierEnd) : next;
  }

  /// A worker that has moved to another cell fences this leader, which keeps
  /// its other workers. Its runs are given up when the lease has ended; the
  /// leader of the other cell stops them.
  void LeaveToOtherCell(WorkerState& aWorker)
  {
    if (!aWorker.mIsTakenOver) {
      logging::Write(
        logging::Level::Warning,
        "worker_taken_over",
        { { "worker", aWorker.mEntry.mId },
          { "runs", static_cast<std::int64_t>(aWorker.mRuns.size()) } });
      ChangeIdleIncarnation(aWorker, std::nullopt);
      CountAsPolled(aWorker);
      aWorker.mIsTakenOver = true;
      aWorker.mIsKnownIdle = false;
      aWorker.mFailedPolls = std::max(1, aWorker.mFailedPolls);
    }
    aWorker.mIsPollInFlight = false;
    mPollQueue.Remove(aWorker);
  }

  void CheckRuns(TimePoint aNow)
  {
    for (auto& [id, worker] : mWorkers) {
      for (RunState* it : worker->mRuns) {
        if (it->mIsStopping) {
          continue;
        }
        if (it->mMustMove ||
            (it->mThrottledSince && IsWorthMoving(*it, aNow))) {
          it->mTask->mAvoidedWorkerId = id;
          StopRun(*it);
        } else if (worker->mEntry.mIsDraining) {
          CheckDrainingRun(*it, aNow);
        } else if (it->mIsConfirmed && worker->mFailedPolls == 0) {
          CheckStall(*it, aNow);
        }
      }
    }
  }

  /// True if a throttled backfill run would lose little work by a move. A run
  /// that has started below full pace found no better worker.
  static bool IsWorthMoving(const RunState& aRun, TimePoint aNow)
  {
    if (aRun.mIsPacedFromStart) {
      return false;
    }
    const bool isCheap = aRun.mTask->mStep->mSpec->mSavesProgress ||
                         aRun.mProgressPercent < kMaxRestartPercent;
    return isCheap && aRun.mIsConfirmed &&
           aNow - *aRun.mThrottledSince > kThrottledGrace;
  }

  /// Stops runs on a draining worker: service runs as far as mMaxUnavailable
  /// permits (at least one at a time, all of them in the last 1.5 s) and, in
  /// the last second, runs that save their progress and cannot finish in time.
  void CheckDrainingRun(RunState& aRun, TimePoint aNow)
  {
    const StepState& step = *aRun.mTask->mStep;
    if (step.mSpec->mIsService) {
      const int unavailable = static_cast<int>(std::count_if(
        step.mTasks.begin(), step.mTasks.end(), [](const TaskState& aTask) {
          return !aTask.mIsElsewhere &&
                 (!HasLiveRun(aTask) ||
                  aTask.mRuns.front().mProgressPercent < 100);
        }));
      const bool leavesSoon =
        aRun.mWorker->mLeavesAt < aNow + std::chrono::milliseconds(1500);
      if (unavailable < std::max(1, step.mSpec->mMaxUnavailable) ||
          leavesSoon) {
        StopRun(aRun);
      }
      return;
    }
    const auto elapsed =
      std::chrono::duration<double>(aNow - aRun.mPlacedAt).count();
    const double total =
      aRun.mProgressPercent > 0
        ? elapsed * 100.0 / aRun.mProgressPercent
        : static_cast<double>(step.mSpec->mEstimateMs) / 1000.0;
    const double remaining =
      std::chrono::duration<double>(aRun.mWorker->mLeavesAt - aNow).count();
    if (total - elapsed > remaining && step.mSpec->mSavesProgress &&
        remaining < 1.0) {
      StopRun(aRun);
    }
  }

  /// Stops a stalled run. If the step allows duplicates, starts one for a
  /// stalled or late run instead.
  void CheckStall(RunState& aRun, TimePoint aNow)
  {
    TaskState& task = *aRun.mTask;
    const jobs::Step& step = *task.mStep->mSpec;
    if (aRun.mPace < 100 || aRun.mTargetPace < 100) {
      return;
    }
    if (step.mIsService) {
      return;
    }
    const Duration elapsed = aNow - aRun.mConfirmedAt;
    Duration limit = kMinStallTime;
    if (aRun.mProgressPercent > 0) {
      const auto perPercent = (aRun.mProgressAt - aRun.mConfirmedAt) /
                              std::max(1, aRun.mProgressPercent);
      limit =
        std::max(limit,
                 Duration(static_cast<Duration::rep>(
                   kStallFactor * static_cast<double>(perPercent.count()))));
    } else {
      limit = std::max(
        limit, Duration(std::chrono::milliseconds(step.mEstimateMs / 4)));
    }
    const bool isStalled = aNow - aRun.mProgressAt > limit;
    if (step.mMayDuplicate && task.mRuns.size() == 1) {
      const Duration estimate = std::chrono::milliseconds(step.mEstimateMs);
      const bool isLate =
        std::chrono::duration<double>(elapsed).count() >
        kDuplicateFactor * std::chrono::duration<double>(estimate).count();
      if (isStalled || (isLate && aRun.mProgressPercent < 60)) {
        if (mMayStart && !mBudget.IsExhausted()) {
          PlaceRun(task, aNow);
        }
      }
      return;
    }
    if (isStalled && task.mRuns.size() == 1) {
      mStalledRuns.Add();
      ChangeFailureScore(*aRun.mWorker, 1.0, aNow);
      task.mAvoidedWorkerId = aRun.mWorker->mEntry.mId;
      logging::Write(logging::Level::Info,
                     "run_stalled",
                     { { "task", ToText(IdOf(task)) },
                       { "run", aRun.mNumber },
                       { "worker", aRun.mWorker->mEntry.mId },
                       { "percent", aRun.mProgressPercent },
                       { "still_ms", ToMs(aNow - aRun.mProgressAt) } });
      StopRun(aRun);
    }
  }

  // --- Placement ----------------------------------------------------------

  /// 0 for jobs that can still meet their objective, 1 for late jobs, 2 for
  /// jobs whose completion has no value. Lower values are placed first.
  int LatenessOf(const ScheduledJob& aJob) const
  {
    return (aJob.mObjectiveAtMs < mUnixMs ? 1 : 0) +
           (aJob.mZeroValueAtMs < mUnixMs ? 1 : 0);
  }

  /// True if the tasks of `aLeft` are placed before those of `aRight`: lasting
  /// ones first, and among these, those of the oldest jobs. Jobs whose
  /// completion has no value share what is left.
  bool HasPrecedence(const StepState& aLeft, const StepState& aRight) const
  {
    if (aLeft.mSpec->mIsService != aRight.mSpec->mIsService) {
      return aLeft.mSpec->mIsService;
    }
    const ScheduledJob& left = *aLeft.mJob;
    const ScheduledJob& right = *aRight.mJob;
    if (aLeft.mSpec->mIsService) {
      // A lasting job has no end, so that lateness tells only its age. The age
      // is the same in all cells, also for tasks that were lent.
      return std::tie(left.mSubmission.mPolicy.mPriority,
                      left.mObjectiveAtMs,
                      left.mSubmission.mId,
                      aLeft.mIndex) <
             std::tie(right.mSubmission.mPolicy.mPriority,
                      right.mObjectiveAtMs,
                      right.mSubmission.mId,
                      aRight.mIndex);
    }
    const int leftLateness = LatenessOf(left);
    const int rightLateness = LatenessOf(right);
    if (leftLateness == kNoValue && rightLateness == kNoValue &&
        (left.mRunCount == 0) != (right.mRunCount == 0)) {
      return left.mRunCount == 0;
    }
    return std::tie(leftLateness,
                    left.mSubmission.mPolicy.mPriority,
                    left.mObjectiveAtMs,
                    left.mSubmission.mId,
                    aLeft.mIndex) <
           std::tie(rightLateness,
                    right.mSubmission.mPolicy.mPriority,
                    right.mObjectiveAtMs,
                    right.mSubmission.mId,
                    aRight.mIndex);
  }

  /// True if little time is left until the objective of the step's job.
  bool IsUrgent(const StepState& aStep) const
  {
    const std::int64_t objective = aStep.mJob->mObjectiveAtMs;
    return objective > mUnixMs &&
           objective < mUnixMs + aStep.mCriticalPathMs * 3 / 2 + kUrgentSlackMs;
  }

  /// The tasks of a ready step may be placed in the next round, which is not
  /// delayed if the step is urgent.
  void RequestPlacement(const StepState& aStep)
  {
    mIsPlacementDue = true;
    if (IsUrgent(aStep)) {
      mNextPlacementAt = TimePoint{};
    }
  }

  void PlaceAll(TimePoint aNow)
  {
    if (!mIsPlacementDue) {
      return;
    }
    if (!mIsRoundIncomplete) {
      if (aNow < mNextPlacementAt) {
        mNextTickAt = std::min(mNextTickAt, mNextPlacementAt);
        return;
      }
      ++mRound;
      ++mWork.mPlacementRounds;
      mHasUnplacedTasks = false;
    }
    mIsPlacementDue = false;
    mIsRoundIncomplete = false;
    for (StepState* step : ListWaiting()) {
      const bool isRepeated = step->mPlacementRound == mRound;
      if (isRepeated && mBudget.mRepeatedSearchWork <= 0) {
        continue;
      }
      const std::int64_t searchWork = mBudget.mSearchWork;
      const bool isDone = PlaceStep(*step, aNow);
      if (isRepeated) {
        mBudget.mRepeatedSearchWork -= searchWork - mBudget.mSearchWork;
      }
      if (!isDone) {
        mIsPlacementDue = true;
        // Without starts, the next tick begins with the first step again.
        mIsRoundIncomplete = mBudget.mStarts > 0;
        RequestTick(aNow);
        return;
      }
      step->mPlacementRound = mRound;
    }
    mNextPlacementAt = mHasUnplacedTasks ? aNow + kPlacementInterval : aNow;
  }

  /// The steps with waiting tasks in the order of their placement.
  std::vector<StepState*> ListWaiting() const
  {
    std::vector<StepState*> waiting;
    std::copy_if(
      mReadySteps.begin(),
      mReadySteps.end(),
      std::back_inserter(waiting),
      [](const StepState* aStep) { return aStep->mWaitingCount > 0; });
    std::sort(waiting.begin(),
              waiting.end(),
              [this](const StepState* aLeft, const StepState* aRight) {
                return HasPrecedence(*aLeft, *aRight);
              });
    return waiting;
  }

  /// Places the waiting tasks of the step as far as workers have room. Returns
  /// false if the budget of the tick does not suffice.
  bool PlaceStep(StepState& aStep, TimePoint aNow)
  {
    if (mBudget.IsExhausted()) {
      return false;
    }
    aStep.mIsUrgent = IsUrgent(aStep);
    if (!EnsureStartRecorded(aStep, aNow)) {
      if (!aStep.mJob->mIsStartRecordRequested) {
        SetNoRoom(aStep, aNow);
        RequestAdvice(aStep, aNow);
      }
      return true;
    }
    if (aStep.mSpec->mIsGang) {
      if (!PlaceGang(aStep, aNow)) {
        RequestAdvice(aStep, aNow);
      }
      return true;
    }
    if (aStep.mSpec->mIsService) {
      for (TaskState* task : ListFreeByWait(aStep)) {
        if (const auto isDone = PlaceNext(*task, aNow)) {
          return *isDone;
        }
      }
    } else {
      for (TaskState& task : aStep.mTasks) {
        if (!IsFree(task)) {
          continue;
        }
        if (const auto isDone = PlaceNext(task, aNow)) {
          return *isDone;
        }
      }
    }
    aStep.mNoRoomSince.reset();
    return true;
  }

  /// Places the task. Returns the result of PlaceStep if no other task of the
  /// step is to be placed.
  std::optional<bool> PlaceNext(TaskState& aTask, TimePoint aNow)
  {
    if (mBudget.IsExhausted()) {
      return false;
    }
    if (!PlaceRun(aTask, aNow)) {
      SetNoRoom(*aTask.mStep, aNow);
      RequestAdvice(*aTask.mStep, aNow);
      return true;
    }
    return std::nullopt;
  }

  /// The tasks of the step that can be placed, those first that have been
  /// without a run for the longest time. Otherwise, tasks that lose their runs
  /// again and again would stand before the others.
  std::vector<TaskState*> ListFreeByWait(StepState& aStep) const
  {
    std::vector<TaskState*> tasks;
    for (TaskState& it : aStep.mTasks) {
      if (IsFree(it)) {
        tasks.push_back(&it);
      }
    }
    std::stable_sort(tasks.begin(),
                     tasks.end(),
                     [](const TaskState* aLeft, const TaskState* aRight) {
                       return aLeft->mRunEndedAt < aRight->mRunEndedAt;
                     });
    return tasks;
  }

  /// Starts one task below full pace for each late job without runs of which a
  /// backfill step has found no worker for kMaxBackfillWait, oldest jobs first.
  /// Precedence favours jobs that can be in time, so that late ones might wait
  /// for as long as there are such jobs. Those that can be in time wait for a
  /// worker at full pace.
  void PlaceOverdue(TimePoint aNow)
  {
    std::vector<StepState*> overdue;
    std::copy_if(mReadySteps.begin(),
                 mReadySteps.end(),
                 std::back_inserter(overdue),
                 [this, aNow](const StepState* aStep) {
                   return aStep->mSpec->mIsBackfill && !aStep->mSpec->mIsGang &&
                          aStep->mWaitingCount > 0 && aStep->mNoRoomSince &&
                          aNow - *aStep->mNoRoomSince > kMaxBackfillWait &&
                          LatenessOf(*aStep->mJob) > 0 &&
                          aStep->mJob->mRunCount == 0;
                 });
    std::stable_sort(overdue.begin(),
                     overdue.end(),
                     [](const StepState* aLeft, const StepState* aRight) {
                       return aLeft->mJob->mObjectiveAtMs <
                              aRight->mJob->mObjectiveAtMs;
                     });
    for (StepState* step : overdue) {
      if (step->mJob->mRunCount > 0) {
        continue;
      }
      const auto task =
        std::find_if(step->mTasks.begin(),
                     step->mTasks.end(),
                     [this](const TaskState& aTask) { return IsFree(aTask); });
      if (mBudget.IsExhausted()) {
        return;
      }
      if (task != step->mTasks.end()) {
        PlacePacedRun(*task, aNow);
      }
    }
  }

  void PlacePacedRun(TaskState& aTask, TimePoint aNow)
  {
    const std::int64_t before = mPlacementIndex.ConsideredCount();
    const bool mayShare =
      aNow - *aTask.mStep->mNoRoomSince > kMaxBackfillWaitAlone;
    const auto choice =
      mPlacementIndex.ChoosePaced(aTask, mColocationModel, mayShare, aNow);
    CountSearch(mPlacementIndex.ConsideredCount() - before);
    if (choice.mWorker == nullptr) {
      return;
    }
    ScheduledJob& job = *aTask.mStep->mJob;
    if (!job.mIsStartRecorded) {
      RequestStartRecord(job);
      MarkDirty(job);
      return;
    }
    RunState& run = AddRun(aTask, *choice.mWorker, NextRunNumber(aTask), aNow);
    run.mTargetPace = choice.mPace;
    run.mIsPacedFromStart = true;
    choice.mWorker->mPacedStartAt = aNow;
    mPlacementIndex.Update(*choice.mWorker);
    logging::Write(
      logging::Level::Info,
      "paced_start",
      { { "task", ToText(IdOf(aTask)) },
        { "run", run.mNumber },
        { "worker", choice.mWorker->mEntry.mId },
        { "percent", choice.mPace },
        { "shared", mayShare ? "yes" : "no" },
        { "waited_ms", ToMs(aNow - *aTask.mStep->mNoRoomSince) } });
    SendStart(run, aNow);
  }

  void CountSearch(std::int64_t aCandidates)
  {
    mBudget.mSearchWork -= aCandidates + kSearchOverhead;
    mWork.mCandidates += aCandidates;
    mCandidates.Add(aCandidates);
  }

  static void SetNoRoom(StepState& aStep, TimePoint aNow)
  {
    if (!aStep.mNoRoomSince) {
      aStep.mNoRoomSince = aNow;
    }
  }

  /// Asks the advice service which workers may run the step; called when no
  /// worker with a ticket can take a waiting task. Workers are asked about
  /// again only after their tickets have expired or were refused, and after a
  /// restart, which ends the validity of an answer.
  void RequestAdvice(StepState& aStep, TimePoint aNow)
  {
    if (!aStep.mJob->mSubmission.mPolicy.mNeedsTicket ||
        aStep.mIsAdviceInFlight || aStep.mNextAdviceAt > aNow) {
      return;
    }
    AdviceCall call;
    call.mJobId = aStep.mJob->mSubmission.mId;
    call.mOccurrence = aStep.mOccurrence;
    call.mStep = aStep.mIndex;
    mBudget.mSearchWork -= static_cast<std::int64_t>(mWorkers.size());
    for (const auto& [id, worker] : mWorkers) {
      if (!IsCompatible(aStep, *worker, aNow) ||
          !base::Fits(worker->mUsed + ReservedResources(*aStep.mSpec),
                      worker->mEntry.mCapacity) ||
          IsFull(aStep, *worker)) {
        continue;
      }
      const auto asked = aStep.mQueriedIncarnations.find(id);
      const bool wasAsked = asked != aStep.mQueriedIncarnations.end() &&
                            asked->second == worker->mIncarnationStartMs;
      const bool hasExpired =
        aStep.mTickets.count(id) != 0 && !HasTicket(aStep, *worker, aNow);
      if ((!wasAsked || hasExpired) &&
          call.mWorkerIds.size() < kMaxQueriedWorkers) {
        call.mWorkerIds.push_back(id);
      }
    }
    if (call.mWorkerIds.empty()) {
      return;
    }
    aStep.mIsAdviceInFlight = true;
    for (const auto& id : call.mWorkerIds) {
      aStep.mQueriedIncarnations[id] = mWorkers.at(id)->mIncarnationStartMs;
    }
    mSink.Advise(call);
  }

  /// Lets RequestAdvice ask about the worker again after it has refused the
  /// ticket of `aCall`, unless there is a newer ticket.
  void ForgetAdvice(StepState& aStep, const StartCall& aCall, TimePoint aNow)
  {
    const auto ticket = aStep.mTickets.find(aCall.mWorkerId);
    if (ticket != aStep.mTickets.end() &&
        ticket->second.mText != aCall.mTicket) {
      return;
    }
    aStep.mTickets.erase(aCall.mWorkerId);
    aStep.mQueriedIncarnations.erase(aCall.mWorkerId);
    aStep.mNextAdviceAt = std::max(aStep.mNextAdviceAt, aNow + kAdvicePause);
  }

  /// Returns true if JobProgress::mMayHaveStarted is durable for the job of the
  /// step. Requests the record once a task of the step can be placed.
  bool EnsureStartRecorded(StepState& aStep, TimePoint aNow)
  {
    ScheduledJob& job = *aStep.mJob;
    if (!job.mIsStartRecordRequested &&
        FindWorker(aStep.mTasks.front(), aNow) != nullptr) {
      RequestStartRecord(job);
      MarkDirty(job);
    }
    return job.mIsStartRecorded;
  }

  void RequestStartRecord(ScheduledJob& aJob)
  {
    if (!aJob.mIsStartRecordRequested) {
      aJob.mIsStartRecordRequested = true;
      mRequestedStartRecords.push_back(aJob.mSubmission.mId);
    }
  }

  /// True while a run started by an earlier leader may be active on a worker
  /// that has not reported yet.
  bool IsStartDeferred(const TaskState& aTask) const
  {
    return aTask.mMayHaveEarlierRun && mAreReportsMissing;
  }

  bool PlaceRun(TaskState& aTask, TimePoint aNow)
  {
    WorkerState* worker = FindWorker(aTask, aNow);
    if (worker == nullptr) {
      return false;
    }
    SendStart(AddRun(aTask, *worker, NextRunNumber(aTask), aNow), aNow);
    return true;
  }

  WorkerState* FindWorker(const TaskState& aTask, TimePoint aNow)
  {
    const std::int64_t before = mPlacementIndex.ConsideredCount();
    WorkerState* worker = mPlacementIndex.Choose(aTask, mColocationModel, aNow);
    CountSearch(mPlacementIndex.ConsideredCount() - before);
    mHasUnplacedTasks = mHasUnplacedTasks || worker == nullptr;
    return worker;
  }

  static int NextRunNumber(const TaskState& aTask)
  {
    return aTask.mLastRun + 1 + (aTask.mMayHaveEarlierRun ? kRunNumberGap : 0);
  }

  /// Places all tasks of a gang, or none of them. Returns false if workers are
  /// missing.
  bool PlaceGang(StepState& aStep, TimePoint aNow)
  {
    int number = 0;
    for (const TaskState& it : aStep.mTasks) {
      if (it.mIsDone || IsStartDeferred(it)) {
        return true;
      }
      number = std::max(number, NextRunNumber(it));
    }
    const bool isRunning =
      std::all_of(aStep.mTasks.begin(), aStep.mTasks.end(), HasLiveRun);
    if (isRunning) {
      return true;
    }
    const bool hasNoRuns =
      std::all_of(aStep.mTasks.begin(),
                  aStep.mTasks.end(),
                  [](const TaskState& aTask) { return aTask.mRuns.empty(); });
    if (!hasNoRuns) {
      // All members use the same run number, so the remaining runs of a broken
      // gang must end before it is started again.
      for (TaskState& task : aStep.mTasks) {
        for (RunState& it : task.mRuns) {
          StopRun(it);
        }
      }
      RequestTick(aNow);
      return true;
    }
    std::string checkpoint;
    for (const TaskState& it : aStep.mTasks) {
      checkpoint = std::max(checkpoint, it.mCheckpoint);
    }
    std::vector<RunState*> placed;
    for (TaskState& it : aStep.mTasks) {
      it.mCheckpoint = checkpoint;
      WorkerState* worker = FindWorker(it, aNow);
      if (worker == nullptr) {
        // This frees nothing that was in use before the round.
        const bool wasPlacementDue = mIsPlacementDue;
        for (RunState* run : placed) {
          RemoveRun(*run, aNow);
        }
        mIsPlacementDue = wasPlacementDue;
        return false;
      }
      placed.push_back(&AddRun(it, *worker, number, aNow));
    }
    for (RunState* run : placed) {
      SendStart(*run, aNow);
    }
    return true;
  }

  // --- Calls --------------------------------------------------------------

  /// Upper bound of the duration of a full lease on this instance's clock.
  Duration MaxLeaseDuration() const
  {
    return LongestDuration(std::min(kLease, mLimits.mMaxLease));
  }

  /// Upper bound, on this instance's clock, of the duration of a lease of
  /// `aTime` on the worker's clock.
  static Duration LongestDuration(Duration aTime)
  {
    return ScaleToSlowestClock(aTime) + kLeaseMargin;
  }

  static Duration ScaleToSlowestClock(Duration aTime)
  {
    return Duration(static_cast<Duration::rep>(
      static_cast<double>(aTime.count()) / kMinClockRate));
  }

  /// Records and returns the end of the lease, on the worker's clock, for a
  /// call sent at `aNow`; 0 if the lease cannot be extended.
  std::int64_t ExtendLease(WorkerState& aWorker, TimePoint aNow)
  {
    if (!aWorker.mHasReported || !aWorker.mMayExtendLease ||
        aNow < aWorker.mForeignLeaseEndsAt || aWorker.mUncertainSince) {
      return 0;
    }
    const TimePoint until =
      std::min(aNow + std::min(kLease, mLimits.mMaxLease), mLeaderLeaseEndsAt);
    if (until <= aNow) {
      return 0;
    }
    const Duration length = until - aNow;
    aWorker.mLeaseEndsAt =
      std::max(aWorker.mLeaseEndsAt, aNow + LongestDuration(length));
    aWorker.mLeaseUntilMs = ClockMsOf(aWorker, aNow) + ToMs(length);
    return aWorker.mLeaseUntilMs;
  }

  /// Returns the end of the lease that was extended last; 0 if it has passed.
  static std::int64_t CurrentLease(const WorkerState& aWorker, TimePoint aNow)
  {
    return aWorker.mLeaseUntilMs > ClockMsOf(aWorker, aNow)
             ? aWorker.mLeaseUntilMs
             : 0;
  }

  static std::int64_t ClockMsOf(const WorkerState& aWorker, TimePoint aNow)
  {
    return aWorker.mClockMs + ToMs(aNow - aWorker.mClockReadAt);
  }

  void SendStops(TimePoint aNow)
  {
    for (RunState* it : mRunsToCall) {
      if (!it->mIsStopping || it->mIsCallInFlight || it->mNextCallAt > aNow) {
        continue;
      }
      if (--mBudget.mStops < 0) {
        RequestTick(aNow);
        return;
      }
      SendRunStop(*it, aNow);
    }
  }

  /// Sends stops for removed runs whose starts the present incarnation of a
  /// worker would carry out.
  void SendStopsOfOpenStarts(TimePoint aNow)
  {
    for (auto it = mWorkersWithOpenStarts.begin();
         it != mWorkersWithOpenStarts.end();) {
      const auto found = mWorkers.find(*it);
      // The next report of a worker that has been dropped or taken over
      // inserts it again.
      const bool isPolled =
        found != mWorkers.end() && !found->second->mIsTakenOver;
      if (isPolled && found->second->mFailedPolls > 0) {
        ++it;
        continue;
      }
      bool isDone = true;
      if (isPolled) {
        for (OpenStart* start : mOpenStarts.ListOf(*it)) {
          if (start->mRefusedBy == found->second->mIncarnationStartMs ||
              start->mOpenUntil <= aNow) {
            continue;
          }
          isDone = false;
          if (start->mIsStopInFlight || start->mNextStopAt > aNow) {
            continue;
          }
          if (--mBudget.mStops < 0) {
            RequestTick(aNow);
            return;
          }
          start->mIsStopInFlight = true;
          SendStop(*found->second, start->mTask, start->mRunNumber);
        }
      }
      it = isDone ? mWorkersWithOpenStarts.erase(it) : std::next(it);
    }
  }

  void OnOpenStartStopped(const StopCall& aCall,
                          CallOutcome aOutcome,
                          TimePoint aNow)
  {
    OpenStart* start =
      mOpenStarts.Find(aCall.mWorkerId, aCall.mTask, aCall.mRunNumber);
    if (start == nullptr) {
      return;
    }
    start->mIsStopInFlight = false;
    if (aOutcome == CallOutcome::Accepted) {
      // A later incarnation than this one gets a stop of its own.
      start->mRefusedBy = aCall.mIncarnationStartMs;
      start->mNextStopAt = aNow;
    } else {
      start->mNextStopAt = aNow + kResendPause;
    }
    RequestTick(aNow);
  }

  void SendRunStop(RunState& aRun, TimePoint aNow)
  {
    aRun.mIsCallInFlight = true;
    aRun.mStopSentAt = aNow;
    ++aRun.mStopCalls;
    SendStop(*aRun.mWorker, IdOf(*aRun.mTask), aRun.mNumber);
  }

  void SendPolls(TimePoint aNow)
  {
    for (WorkerState* worker = mPollQueue.First(); worker != nullptr;
         worker = mPollQueue.First()) {
      mPollCandidates.Add();
      if (worker->mNextPollAt > aNow) {
        return;
      }
      if (--mBudget.mPolls < 0) {
        RequestTick(aNow);
        return;
      }
      SendPoll(*worker, aNow);
    }
  }

  void SendRunCalls(TimePoint aNow)
  {
    for (auto it = mRunsToCall.begin(); it != mRunsToCall.end();) {
      RunState& run = **it;
      SendRunCall(run, aNow);
      const bool needsNoCall =
        run.mIsConfirmed && !run.mIsStopping && run.mPace == run.mTargetPace;
      it = needsNoCall ? mRunsToCall.erase(it) : std::next(it);
    }
  }

  /// True if the worker may have restarted under its id since its last report.
  /// The new incarnation numbers its ended runs from 1, so an acknowledgement
  /// for the old one would make it forget runs that no report has listed.
  static bool MayHaveRestarted(const WorkerState& aWorker)
  {
    return aWorker.mFailedPolls > 0 ||
           aWorker.mEntry.mIncarnationStartMs > aWorker.mIncarnationStartMs;
  }

  void SendPoll(WorkerState& aWorker, TimePoint aNow)
  {
    mPollQueue.Remove(aWorker);
    aWorker.mIsPollInFlight = true;
    PollCall call;
    call.mWorkerId = aWorker.mEntry.mId;
    call.mAddress = aWorker.mEntry.mAddress;
    // Extending the lease on a silent worker would delay the restart of its
    // tasks elsewhere.
    call.mLeaseUntilMs =
      aWorker.mFailedPolls == 0 ? ExtendLease(aWorker, aNow) : 0;
    call.mAcknowledgedSequence =
      MayHaveRestarted(aWorker) || aNow < aWorker.mForeignLeaseEndsAt
        ? 0
        : aWorker.mAcknowledgedSequence;
    if (aWorker.mHasReported &&
        (call.mLeaseUntilMs > 0 || call.mAcknowledgedSequence > 0)) {
      call.mIncarnationStartMs = aWorker.mIncarnationStartMs;
    }
    const bool isColocated = aWorker.mHasBackfill;
    call.mWaitMs = !aWorker.mHasReported      ? 0
                   : !aWorker.mMayExtendLease ? kPollWaitUnextendedMs
                   : isColocated              ? kPollWaitColocatedMs
                                              : kPollWaitMs;
    mSink.Poll(call);
  }

  void SendRunCall(RunState& aRun, TimePoint aNow)
  {
    const WorkerState& worker = *aRun.mWorker;
    if (aRun.mIsStopping) {
      return;
    }
    if (!aRun.mIsConfirmed) {
      if (aRun.mIsCallInFlight || aRun.mNextCallAt > aNow) {
        return;
      }
      if (worker.mEntry.mIsDraining) {
        // The worker may still start the run, which would end with it.
        StopRun(aRun);
        return;
      }
      // A held start stays due, so it must not request the next tick. After the
      // last call, SendStart stops the run.
      if (!mMayStart && aRun.mStartCalls < kMaxStartCalls) {
        return;
      }
      if (!worker.mMayExtendLease) {
        // The start would need a lease.
        aRun.mNextCallAt = aNow + kResendPause;
        return;
      }
      if (--mBudget.mRepeatedStarts < 0) {
        RequestTick(aNow);
        return;
      }
      SendStart(aRun, aNow);
      return;
    }
    const bool isBackfill = aRun.mTask->mStep->mSpec->mIsBackfill;
    if (isBackfill && aRun.mPace != aRun.mTargetPace && !aRun.mIsPaceInFlight &&
        aRun.mNextCallAt <= aNow) {
      if (--mBudget.mStops < 0) {
        RequestTick(aNow);
        return;
      }
      aRun.mIsPaceInFlight = true;
      mSink.Pace({ worker.mEntry.mId,
                   worker.mEntry.mAddress,
                   IdOf(*aRun.mTask),
                   aRun.mNumber,
                   aRun.mTargetPace });
    }
  }

  /// Must not be called while starts are held, unless the run has had its last
  /// start call.
  void SendStart(RunState& aRun, TimePoint aNow)
  {
    if (aRun.mStartCalls >= kMaxStartCalls) {
      ChangeFailureScore(*aRun.mWorker, 0.5, aNow);
      aRun.mTask->mAvoidedWorkerId = aRun.mWorker->mEntry.mId;
      StopRun(aRun);
      return;
    }
    // Extending the lease for a repeated start would delay the restart of the
    // task elsewhere if the worker is silent. Otherwise polls extend it.
    const std::int64_t lease = aRun.mStartCalls == 0
                                 ? ExtendLease(*aRun.mWorker, aNow)
                                 : CurrentLease(*aRun.mWorker, aNow);
    if (lease == 0) {
      return;
    }
    mBudget.mStarts -= aRun.mStartCalls == 0 ? 1 : 0;
    aRun.mIsCallInFlight = true;
    ++aRun.mStartCalls;
    ++aRun.mOpenStarts;
    aRun.mStartSentAt = aNow;
    mStarts.Add();
    CountStart(aRun);
    const TaskState& task = *aRun.mTask;
    StartCall call;
    call.mWorkerId = aRun.mWorker->mEntry.mId;
    call.mAddress = aRun.mWorker->mEntry.mAddress;
    call.mIncarnationStartMs = aRun.mWorker->mIncarnationStartMs;
    call.mTask = IdOf(task);
    call.mRunNumber = aRun.mNumber;
    call.mPayload = task.mStep->mJob->mSubmission.mRequest.mPayload;
    call.mCheckpoint = task.mCheckpoint;
    call.mLeaseUntilMs = lease;
    const auto ticket = task.mStep->mTickets.find(call.mWorkerId);
    if (ticket != task.mStep->mTickets.end()) {
      call.mTicket = ticket->second.mText;
    }
    mSink.Start(call);
  }

  void CountStart(const RunState& aRun)
  {
    ++mWork.mStarts;
    if (aRun.mStartCalls > 1) {
      return;
    }
    const TaskState& task = *aRun.mTask;
    const jobs::Step& step = *task.mStep->mSpec;
    mWork.mBackfillStarts += step.mIsBackfill ? 1 : 0;
    if (step.mIsService) {
      ++mWork.mLastingStarts;
      mWork.mLastingRestarts += aRun.mNumber > 1 ? 1 : 0;
    }
  }

  void SendStop(const WorkerState& aWorker, const TaskId& aTask, int aRunNumber)
  {
    mStops.Add();
    ++mWork.mStops;
    mSink.Stop({ aWorker.mEntry.mId,
                 aWorker.mEntry.mAddress,
                 aTask,
                 aRunNumber,
                 aWorker.mIncarnationStartMs });
  }

  void RequestTick(TimePoint aNow)
  {
    mNextTickAt = std::min(mNextTickAt, aNow);
  }

  /// Work that the current tick may still do.
  struct TickBudget
  {
    int mPolls = kMaxPollsPerTick;
    int mStops = kMaxStopsPerTick;
    int mStarts = kMaxStartsPerTick;
    int mRepeatedStarts = kMaxRepeatedStartsPerTick;
    std::int64_t mSearchWork = kMaxSearchWorkPerTick;
    std::int64_t mRepeatedSearchWork = kMaxRepeatedSearchWorkPerTick;

    /// True if no more runs may be placed.
    bool IsExhausted() const { return mStarts <= 0 || mSearchWork <= 0; }
  };

  const DispatchLimits mLimits;
  const Term mTerm;
  CallSink& mSink;
  metrics::Counter& mStarts;
  metrics::Counter& mStops;
  metrics::Counter& mLostRuns;
  metrics::Counter& mOverdueStops;
  metrics::Counter& mMissingEndedRuns;
  metrics::Counter& mDroppedOpenStarts;
  metrics::Counter& mStalledRuns;
  metrics::Counter& mCandidates;
  metrics::Counter& mPollCandidates;
  metrics::Counter& mAcknowledgementCandidates;
  metrics::Counter& mWorkerChecks;
  metrics::Counter& mOmittedPairs;

  WorkerMap mWorkers;
  /// By worker id: the last incarnations of workers that were dropped without
  /// an end to store.
  std::map<std::string, std::int64_t> mGivenUpIncarnations;
  PlacementIndex mPlacementIndex;
  PollQueue mPollQueue;
  ColocationModel mColocationModel;
  std::unordered_map<std::string, std::unique_ptr<ScheduledJob>> mJobs;
  /// Term::mIdleSteps by job id.
  std::unordered_multimap<std::string, const jobs::IdleStep*> mIdleSteps;
  std::vector<StepState*> mReadySteps;
  /// Runs that are unconfirmed, or that need a stop or pace call.
  std::set<RunState*> mRunsToCall;
  OpenStarts mOpenStarts;
  /// The entries that mOpenStarts has dropped may matter until then.
  TimePoint mOpenStartsUnknownUntil;
  /// Workers that have to stop runs of mOpenStarts.
  std::set<std::string> mWorkersWithOpenStarts;
  std::vector<std::string> mDirty;
  /// Ids of jobs whose start record goes into the next batch.
  std::vector<std::string> mRequestedStartRecords;
  /// Batch number and job id of each start record that is not durable yet.
  std::deque<std::pair<std::uint64_t, std::string>> mPendingStartRecords;
  /// Batch number and worker id of each PendingAcknowledgement; the worker may
  /// have been restarted or removed since.
  std::deque<std::pair<std::uint64_t, std::string>> mPendingAcknowledgements;
  /// Number of the batch that the next TakeDirty returns.
  std::uint64_t mBatch = 0;
  /// All batches with lower numbers are durable.
  std::uint64_t mDurableBatch = 0;
  std::int64_t mUnixMs = 0;
  TimePoint mLeaderLeaseConfirmedAt;
  TimePoint mLeaderLeaseEndsAt;
  TimePoint mConfirmationNeededAt = base::kNoDeadline;
  TimePoint mNextTickAt;
  TimePoint mNextSummaryAt;
  DispatchWork mWork;
  TimePoint mNextFullTickAt;
  bool mIsPlacementDue = true;
  bool mMayStart = true;
  TickBudget mBudget;
  int mStartsPerTick = kMaxStartsPerTick;
  TimePoint mLastTickAt;
  /// Number of the placement round, in which each waiting step is tried once.
  std::int64_t mRound = 0;
  /// The searches of the last tick ended before the round.
  bool mIsRoundIncomplete = false;
  /// The last placement round has left tasks waiting.
  bool mHasUnplacedTasks = false;
  TimePoint mNextPlacementAt;
  /// Workers may have runs of earlier leaders that they have not reported yet.
  bool mAreReportsMissing = true;
  /// Workers that have not reported in this term and are awaited.
  int mUnreportedCount = 0;
  /// Workers among these for which no poll has failed either.
  int mUnpolledCount = 0;
  bool mIsFenced = false;
};

} // namespace

std::unique_ptr<Dispatcher>
CreateDispatcher(const DispatchLimits& aLimits,
                 const Term& aTerm,
                 CallSink& aSink,
                 metrics::Registry& aMetrics)
{
  return std::make_unique<DefaultDispatcher>(aLimits, aTerm, aSink, aMetrics);
}

} // namespace skylarkhill::dispatch
