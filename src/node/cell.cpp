#include "skylarkhill/node/cell.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/cells/transfer_policy.hpp"
#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/logging/logging.hpp"
#include "skylarkhill/node/pending_cancellations.hpp"
#include "skylarkhill/node/worker_lease_record.hpp"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <limits>
#include <utility>

namespace skylarkhill::node {

using base::Duration;
using base::TimePoint;

namespace {

constexpr std::string_view kWriterName = "leader";

/// Shorter than that of a follower, so that one lost read of a leader does not
/// delay cancellations beyond their bound.
constexpr Duration kLeaderReadWait = std::chrono::milliseconds(500);
/// Space in a record for the progress of one task, with its checkpoint.
constexpr std::size_t kMaxTaskProgressBytes = 512;
/// Room for RecordKey::mPart of a loan in the key of its copy, and for run
/// numbers.
constexpr std::size_t kMaxLoanPartBytes = 1024;
/// Minimum interval between two records of the interference estimates. Longer
/// after a large record, because every instance reads them.
constexpr Duration kModelInterval = std::chrono::seconds(2);
constexpr std::size_t kMaxModelBytesPerSecond = std::size_t{ 16 } << 10;
constexpr std::string_view kModelId = "images";
constexpr Duration kFlushTimeout = std::chrono::milliseconds(1200);
/// An append of this size takes a quarter of a second on the slowest links
/// (10 Mbit/s), well below kFlushTimeout.
constexpr std::size_t kTargetAppendBytes = std::size_t{ 256 } << 10;
constexpr Duration kFlushRetryPause = std::chrono::milliseconds(150);

/// A leader starts no tasks if its journal or its worker registry is older than
/// this share of NodeOptions::mMaxCancellationDelay or mMaxDrainDelay. The rest
/// is for the start call.
constexpr int kMaxAgePercent = 75;
/// One lost read takes longer than the maximum age of the registry, but does
/// not justify a change of the leader.
constexpr int kMinFailedRegistryReads = 2;
/// In an outage of the log, the last confirmed renewal was sent at most this
/// long after the last read of a stream. A later one shows that the log
/// answers.
constexpr Duration kMaxRenewalLead =
  kLeaderReadWait + std::chrono::milliseconds(500);

/// Workers that left the registry are kept while a previous leader may have
/// extended their leases.
constexpr Duration kUnregisteredRetention =
  kLeaderLease + std::chrono::seconds(1);

/// Final jobs, and the records of delivered jobs in their former cell, are
/// removed at the earliest this long after the acceptance.
constexpr std::int64_t kMinJobAgeMs = 400'000;
/// Differences between the clocks of instances, and jumps of them.
constexpr Duration kMaxClockDifference = std::chrono::seconds(10);
/// Maximum number of jobs passed to the dispatcher of a new term in one tick.
constexpr std::size_t kMaxJobsPerTick = 200;

constexpr Duration kCleanupInterval = std::chrono::seconds(20);
constexpr std::size_t kMaxJobsPerCleanup = 500;
/// Pause between two attempts to remove old cancellations: records that arrive
/// meanwhile make the log refuse one.
constexpr Duration kCancellationRemovalPause = std::chrono::milliseconds(500);
/// Interval between two searches for workers that left the registry.
constexpr Duration kWorkerCheckInterval = std::chrono::seconds(1);

/// Longest time that a resignation waits until the log has stored the last
/// records of the term. A successor takes over sooner without a resignation
/// than if it has to wait for leases that no record limits.
constexpr Duration kMaxResignationDelay = std::chrono::milliseconds(500);

/// Interval at which a leader that is to stop looks for a successor.
constexpr Duration kSuccessorCheckInterval = std::chrono::milliseconds(50);

/// Pause after a failed read of a stream of the cell that this instance leads.
constexpr Duration kLeaderRetryPause = std::chrono::milliseconds(200);

/// Interval between two searches for workers that fell silent or answer again.
constexpr Duration kLeaseCheckInterval = std::chrono::milliseconds(100);
/// JournaledWorker::mLeaseEpoch of a record that cannot be read.
constexpr std::int64_t kUnreadableEpoch = -1;

/// How long an instance goes on following the registry after its claim was due.
constexpr Duration kRegistryRetention = std::chrono::seconds(3);
/// Claim delay of instances in other failure domains than the workers.
constexpr Duration kOtherDomainDelay = std::chrono::milliseconds(250);
/// Claim delay for each other cell that the instance leads or claims.
constexpr Duration kDelayPerLedCell = std::chrono::milliseconds(600);

/// Time in which the workers answer the first polls of a term. Before that, a
/// cell seems to have no room.
constexpr Duration kFirstReportsTime = std::chrono::milliseconds(700);
constexpr Duration kTransferInterval = std::chrono::milliseconds(100);
constexpr int kMaxTransfersPerRound = 50;
/// Time in which the cell may find a worker for a lasting task before it is
/// lent.
constexpr Duration kMinTimeBeforeLoan = std::chrono::milliseconds(500);
/// The same for tasks of an unstarted job, which may move as a whole.
constexpr Duration kMinTimeBeforeFirstLoan = std::chrono::milliseconds(2000);
constexpr int kMaxTasksPerLoan = 64;
constexpr int kMaxLoansPerRound = 50;
constexpr std::size_t kMaxLoansInFlight = 50;
/// Pause between two log lines about lasting tasks that no cell has room for.
constexpr Duration kUnplacedLogInterval = std::chrono::seconds(2);
constexpr std::size_t kMaxTransfersInFlight = 50;
/// Interval between two load records of a leader.
constexpr Duration kLoadInterval = std::chrono::milliseconds(250);
constexpr std::string_view kLoadId = "load";
/// Every follower reads the record.
constexpr std::size_t kMaxIdleRecordBytes = std::size_t{ 64 } << 10;
constexpr std::string_view kIdleId = "idle";
constexpr std::size_t kMaxIdleKeyBytes = 16;

std::int64_t
ToMs(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

LogStream
PartitionOf(LogStream aStream, int aCell)
{
  aStream.mPartition += aCell;
  return aStream;
}

/// Lasting tasks that no worker and no other cell has room for.
struct UnplacedSummary
{
  void Add(const dispatch::UnplacedTasks& aTasks, Duration aWaited)
  {
    mTasks += aTasks.mCount;
    mMayGetRoom += aTasks.mMayGetRoom ? aTasks.mCount : 0;
    mSmallest = std::min(mSmallest, aTasks.mProcessors);
    mLargest = std::max(mLargest, aTasks.mProcessors);
    mLongestWait = std::max(mLongestWait, aWaited);
  }

  int mTasks = 0;
  /// See dispatch::UnplacedTasks.
  int mMayGetRoom = 0;
  /// The least and the most that one of the tasks requests, in thousandths of a
  /// processor.
  std::int64_t mSmallest = std::numeric_limits<std::int64_t>::max();
  std::int64_t mLargest = 0;
  Duration mLongestWait{ 0 };
};

std::string
JoinIndexes(const jobs::StepProgress& aStep)
{
  std::string text;
  for (const auto& it : aStep.mTasks) {
    text += (text.empty() ? "" : ",") + std::to_string(it.mIndex);
  }
  return text;
}

} // namespace

Cell::Cell(CellOptions aOptions,
           const CellServices& aServices,
           WorkerClient& aWorkerClient)
  : mOptions(std::move(aOptions))
  , mLog(aServices.mLog)
  , mWorkerClient(aWorkerClient)
  , mDecoder(aServices.mDecoder)
  , mClock(aServices.mClock)
  , mWallClock(aServices.mWallClock)
  , mProfile(aServices.mProfile)
  , mMetrics(aServices.mMetrics)
  , mRegistryReader(aServices.mRegistry.Reader())
  , mLoads(aServices.mLoads)
  , mMap(aServices.mMap)
  , mSuccessors(aServices.mSuccessors)
  , mFlushSeconds(
      mMetrics.GetDistribution("skylarkhill_flush_seconds",
                               "Time until progress records are stored."))
  , mTransfersCount(
      mMetrics.GetCounter("skylarkhill_jobs_transferred_total",
                          "Jobs that this leader has moved to other cells."))
  , mLentTasksCount(mMetrics.GetCounter("skylarkhill_tasks_lent_total",
                                        "Lasting tasks left to other cells."))
  , mDroppedCheckpoints(mMetrics.GetCounter(
      "skylarkhill_checkpoints_dropped_total",
      "Checkpoints that did not fit into a record of the journal."))
  , mJournalReader(
      mLog,
      mClock,
      PartitionOf(mOptions.mJournal, mOptions.mIndex),
      { [this](const LogRecord& aRecord) { OnJournalRecord(aRecord); },
        [this](const std::vector<LogRecord>& aRecords) {
          OnJournalSnapshot(aRecords);
        } })
  , mJobService(mJobs,
                aServices.mBlockingLog,
                PartitionOf(mOptions.mJournal, mOptions.mIndex),
                mOptions.mLogLimits,
                mNextJournalOffset,
                mClock,
                mWallClock,
                mMetrics)
  , mLeadership(mLog,
                mClock,
                PartitionOf(mOptions.mLeader, mOptions.mIndex),
                mOptions.mInstanceId,
                mOptions.mProcessors)
  , mBatch(mOptions.mLogLimits, kTargetAppendBytes, mMetrics)
  , mRequiredStreams{ { { mJournalReader,
                          "journal",
                          mOptions.mMaxCancellationDelay * kMaxAgePercent / 100,
                          1,
                          {} },
                        { mRegistryReader,
                          "workers",
                          mOptions.mMaxDrainDelay * kMaxAgePercent / 100,
                          kMinFailedRegistryReads,
                          {} } } }
{
  const std::uint64_t seed = base::StableHash(mOptions.mInstanceId);
  mJournalReader.SetRetrySeed(seed);
  mLeadership.SetRetrySeed(seed);
  mJobService.SetMaxCountAge(mOptions.mMaxCountAge);
  SetBudget(PlanLogCalls({}, { 1, mOptions.mCellCount }));
}

Cell::~Cell()
{
  mWorkerClient.ClearDispatcher();
}

void
Cell::Tick(TimePoint aResumedAt, int aOtherCells, int aOtherClaims)
{
  const logging::ContextField context("cell", mOptions.mIndex);
  const TimePoint now = mClock.Now();
  UpdateFollowing(aOtherCells);
  UpdateLeaderStreamPause();
  if (mEpoch == 0) {
    // Leaders need the loads of the other cells for transfers.
    mJournalReader.SetPause(aOtherCells > 0 ? mBudget.mOtherLeaderJournalPause
                                            : mBudget.mFollowerJournalPause);
  }
  {
    const LoopProfile::Timer timer(mProfile, LoopPhase::Leadership);
    mLeadership.SetClaimDelay(
      (mOptions.mIsInDomain ? Duration::zero() : kOtherDomainDelay) +
        kDelayPerLedCell * (aOtherCells + aOtherClaims) +
        mBudget.mClaimDelayPerRank * mRank,
      aOtherCells + aOtherClaims > 0);
    if (!mIsStopping && mLeadership.IsNamed()) {
      KeepRegistry(now + kSeriesTime);
    } else if (!mIsStopping && mLeadership.IsClaimDue()) {
      KeepRegistry(now + kRegistryRetention);
    }
    // An instance that cannot read these streams could not dispatch.
    mLeadership.SetMayClaim(
      !mIsStopping &&
      std::all_of(mRequiredStreams.begin(),
                  mRequiredStreams.end(),
                  [](const RequiredStream& aStream) {
                    return aStream.mReader.IsLoaded() &&
                           aStream.mReader.ConsecutiveFailures() == 0;
                  }));
    mLeadership.Tick();
    UpdateFailedReads();
    UpdateTerm();
  }
  mJournalReader.Tick();
  UpdateLoneCancellations(now);
  mNextJournalOffset =
    mJournalReader.IsLoaded() ? mJournalReader.NextOffset() : kJournalNotLoaded;
  // The log stores records although it refuses reads because of their rate.
  if (mJobService.IsFollowed() && mJournalReader.ConsecutiveFailures() > 0 &&
      !mJournalReader.IsRateLimited()) {
    mJobService.Health().SetUnreachable(now);
  }
  if (mNextSuccessorCheckAt && now >= *mNextSuccessorCheckAt) {
    mNextSuccessorCheckAt = now + kSuccessorCheckInterval;
    if (!ShouldLeadOn()) {
      BeginResignation();
      return;
    }
  }
  if (mResignBy) {
    ContinueResignation();
  } else if (!mJobsToAdd.empty()) {
    const LoopProfile::Timer timer(mProfile, LoopPhase::Dispatch);
    AddOpenJobs();
  } else if (mDispatcher != nullptr) {
    TickDispatcher(now, aResumedAt);
  }
}

void
Cell::TickDispatcher(TimePoint aNow, TimePoint aResumedAt)
{
  const TimePoint confirmedAt = mLeadership.ConfirmedAt();
  mDispatcher->SetLeaderLease(
    confirmedAt, confirmedAt >= aResumedAt ? confirmedAt + kLeaderLease : aNow);
  UpdateStarts();
  if (aNow >= mDispatcher->NextTickAt()) {
    const LoopProfile::Timer timer(mProfile, LoopPhase::Dispatch);
    mDispatcher->Tick(aNow, mWallClock.NowMs());
    mLeadership.RenewAfter(mDispatcher->ConfirmationNeededAt());
    if (mOptions.mCellCount > 1 && IsRoomKnown(aNow) &&
        aNow >= mNextTransferCheckAt) {
      mNextTransferCheckAt = aNow + kTransferInterval;
      mLoads[static_cast<std::size_t>(mOptions.mIndex)] =
        mDispatcher->Load(aNow);
      ChooseTransfers(aNow);
      ChooseLoans(aNow);
    }
  }
  const LoopProfile::Timer timer(mProfile, LoopPhase::Flush);
  Flush();
  SendTransfers(aNow);
  SendLoans(aNow);
  RemoveOldCancellations(aNow);
  RemoveOldJobs();
}

void
Cell::SetBudget(const LogBudget& aBudget)
{
  mBudget = aBudget;
  UpdateLeaderStreamPause();
  mLeadership.SetMinRenewInterval(mBudget.mMinRenewInterval);
  mJobService.SetMaxStateAge(mBudget.mMaxStateAge);
  if (mEpoch == 0) {
    SetRetryPauses(mBudget.mRetryPause, kMaxRateLimitPause);
  } else {
    mJournalReader.SetPause(mBudget.mLeaderJournalPause);
  }
}

void
Cell::SetFollower(bool aIsFollower)
{
  mIsFollower = aIsFollower;
  UpdateLeaderStreamPause();
}

void
Cell::UpdateLeaderStreamPause()
{
  // Candidates of the failure domain of the cell see a resignation at once.
  const bool isCandidate =
    (mOptions.mIsInDomain && mIsFollower) || mClock.Now() < mPreparedUntil;
  mLeadership.SetFollowerPause(isCandidate ? Duration::zero()
                                           : mBudget.mLeaderStreamPause);
}

void
Cell::SetRetryPauses(Duration aPause, Duration aMaxRateLimitPause)
{
  mJournalReader.SetRetryPause(aPause);
  mJournalReader.SetMaxRateLimitPause(aMaxRateLimitPause);
  mLeadership.SetRetryPause(aPause);
  mLeadership.SetMaxRateLimitPause(aMaxRateLimitPause);
}

void
Cell::UpdateFollowing(int aOtherCells)
{
  // A leader needs the loads of all cells, and their epochs: a worker may come
  // from any of them and obeys only rising ones.
  const bool isFollowing = mIsFollower || aOtherCells > 0 || mEpoch != 0 ||
                           mLeadership.IsLeader() ||
                           mLeadership.IsAppending() || mResignBy.has_value();
  if (isFollowing == mJobService.IsFollowed()) {
    return;
  }
  if (isFollowing || mJournalReader.IsLoaded()) {
    logging::Write(logging::Level::Info,
                   "cell_following_changed",
                   { { "following", isFollowing ? "yes" : "no" },
                     { "other_cells_led", aOtherCells } });
  }
  mJobService.SetFollowed(isFollowing);
  mLeadership.SetFollowing(isFollowing);
  // What was read before may be deleted before this instance follows again.
  mJobs.Clear();
  mUntimedEndsSeenAt.clear();
  mLoneCancellationsSeenAt.clear();
  if (isFollowing) {
    mJournalReader.Resume();
  } else {
    mJournalReader.Stop();
    mNextJournalOffset = kJournalNotLoaded;
    mLoads[static_cast<std::size_t>(mOptions.mIndex)].reset();
  }
}

TimePoint
Cell::NextTickAt() const
{
  TimePoint next =
    std::min(mJournalReader.NextTickAt(), mLeadership.NextTickAt());
  if (mNextSuccessorCheckAt) {
    next = std::min(next, *mNextSuccessorCheckAt);
  }
  if (mResignBy) {
    next = std::min(next, *mResignBy);
    if (!mIsFlushInFlight && !mBatch.IsEmpty()) {
      next = std::min(next, mNextFlushAt);
    }
  } else if (mDispatcher != nullptr) {
    next = std::min(next, mDispatcher->NextTickAt());
    if (!mIsFlushInFlight &&
        (!mBatch.IsEmpty() || mDispatcher->IsDirty() ||
         !mTransfersToStore.empty() || !mLoansToStore.empty() ||
         !mWorkersToRecord.empty())) {
      next = std::min(next, mNextFlushAt);
    }
  } else if (mEpoch != 0 && !mAreEarlierWritersFenced && !mIsFlushInFlight) {
    next = std::min(next, mNextFlushAt);
  }
  return next;
}

void
Cell::Resign(TimePoint aLeadUntil)
{
  const logging::ContextField context("cell", mOptions.mIndex);
  mIsStopping = true;
  mLeadUntil = aLeadUntil;
  if (!ShouldLeadOn()) {
    BeginResignation();
    return;
  }
  mNextSuccessorCheckAt = mClock.Now() + kSuccessorCheckInterval;
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    aLeadUntil - mClock.Now());
  logging::Write(logging::Level::Info,
                 "resignation_postponed",
                 { { "epoch", mLeadership.Epoch() },
                   { "remaining_ms", remaining.count() } });
}

bool
Cell::ShouldLeadOn() const
{
  // Nobody would lead after the resignation.
  return mClock.Now() < mLeadUntil && mLeadership.IsLeader() &&
         mSuccessors.AreInstancesKnown() &&
         mSuccessors.SuccessorsOf(mOptions.mIndex).empty();
}

void
Cell::BeginResignation()
{
  mNextSuccessorCheckAt.reset();
  mResignBy = mClock.Now() + kMaxResignationDelay;
  mHasAddedLastRecords = false;
  mWorkerClient.ClearDispatcher();
  ContinueResignation();
}

void
Cell::ContinueResignation()
{
  const TimePoint now = mClock.Now();
  if (now < *mResignBy && mDispatcher != nullptr) {
    if (mIsFlushInFlight) {
      return;
    }
    if (mBatch.IsEmpty() && !mHasAddedLastRecords) {
      // Saves the successor the wait for the longest possible lease. Records of
      // the term are repeated, because an instance that has just started counts
      // the remaining times from its first read.
      mHasAddedLastRecords = true;
      AddLeaseRecords();
      RepeatLeaseRecords();
      AddIdleRecord();
      if (!mBatch.IsEmpty()) {
        SendBatch();
        return;
      }
    }
    if (!mBatch.IsEmpty()) {
      if (now >= mNextFlushAt) {
        SendBatch();
      }
      return;
    }
  }
  // A resignation that overtakes a renewal is refused by the log.
  if (now < *mResignBy && mLeadership.IsAppending()) {
    return;
  }
  mResignBy.reset();
  // A leader without a dispatcher has started nothing in its term.
  LeaderHandOver handOver{ LeasesEndAt(),
                           mLeadership.InheritedIdleTasksEpoch(),
                           mSuccessors.SuccessorsOf(mOptions.mIndex) };
  if (mDispatcher != nullptr) {
    const bool isComplete = mHasAddedLastRecords && mBatch.IsEmpty();
    handOver.mIdleTasksEpoch = isComplete ? mEpoch : 0;
    logging::Write(
      logging::Level::Info,
      "term_records_stored",
      { { "epoch", mEpoch }, { "complete", isComplete ? "yes" : "no" } });
    EndTerm();
  }
  mLeadership.Resign(handOver);
}

TimePoint
Cell::LeasesEndAt() const
{
  // A leader without a dispatcher has granted no lease in its term.
  return mDispatcher != nullptr ? mDispatcher->LeasesEndAt(mClock.Now())
                                : mLeadership.PreviousLeasesEnd();
}

bool
Cell::NeedsRegistry() const
{
  return mEpoch != 0 || mLeadership.IsLeader() ||
         mClock.Now() < mRegistryNeededUntil;
}

bool
Cell::IsUpToDate() const
{
  return mJournalReader.IsLoaded() &&
         mJournalReader.UpToDateAt() + kMaxReadAge > mClock.Now() &&
         mJournalReader.ConsecutiveFailures() < 2;
}

std::int64_t
Cell::NewestEpoch() const
{
  const auto& newest = mLeadership.NewestRecord();
  return newest ? newest->mEpoch : 0;
}

std::string
Cell::LeaderId() const
{
  const auto& newest = mLeadership.NewestRecord();
  return newest && !newest->mIsResigned ? newest->mLeaderId : std::string();
}

void
Cell::PrepareToLead(TimePoint aUntil)
{
  mPreparedUntil = aUntil;
  KeepRegistry(aUntil);
}

void
Cell::KeepRegistry(TimePoint aUntil)
{
  mRegistryNeededUntil = std::max(mRegistryNeededUntil, aUntil);
}

void
Cell::OnWorker(const RegisteredWorker& aWorker)
{
  const logging::ContextField context("cell", mOptions.mIndex);
  const std::string& id = aWorker.mEntry.mId;
  KnownWorker& worker = mWorkers[id];
  worker.mEntry = aWorker.mEntry;
  worker.mRecord = aWorker.mRecord;
  worker.mIsRegistered = true;
  if (mDispatcher != nullptr) {
    AddToDispatcher(id, worker);
  }
}

bool
Cell::IsJournaled(const std::string& aWorkerId) const
{
  const auto found = mJournaledWorkers.find(aWorkerId);
  return found != mJournaledWorkers.end() && !found->second.mAddress.empty();
}

bool
Cell::IsRecorded(const std::string& aWorkerId, const KnownWorker& aWorker) const
{
  const auto found = mJournaledWorkers.find(aWorkerId);
  return found != mJournaledWorkers.end() &&
         found->second.mAddress == aWorker.mEntry.mAddress &&
         mWorkerDeletions.count(aWorkerId) == 0;
}

void
Cell::UpdateLease(const std::string& aWorkerId)
{
  const auto known = mWorkers.find(aWorkerId);
  if (mDispatcher != nullptr && known != mWorkers.end()) {
    mDispatcher->SetMayExtendLease(aWorkerId,
                                   IsRecorded(aWorkerId, known->second) &&
                                     mUnextendedWorkers.count(aWorkerId) == 0,
                                   mClock.Now());
  }
}

void
Cell::AddToDispatcher(const std::string& aWorkerId, const KnownWorker& aWorker)
{
  if (!IsRecorded(aWorkerId, aWorker)) {
    mWorkersToRecord.insert(aWorkerId);
  }
  mDispatcher->SetWorker(aWorker.mEntry, mClock.Now());
  if (!aWorker.mIsRegistered) {
    mDispatcher->OnWorkerUnregistered(
      aWorkerId, aWorker.mUnregisteredAt.value_or(mClock.Now()));
  }
  ApplyLeaseRecord(aWorkerId);
  UpdateLease(aWorkerId);
}

void
Cell::ApplyLeaseRecord(const std::string& aWorkerId)
{
  if (const JournaledWorker* lease = FindValidLease(aWorkerId)) {
    mDispatcher->SetEarlierLeaseEnd(aWorkerId, lease->mLeaseEndsAt);
    mDispatcher->SetIdleIncarnation(
      aWorkerId, lease->mIdleIncarnationStartMs, mClock.Now());
  }
}

std::optional<std::int64_t>
Cell::FindIdleIncarnation(const std::string& aWorkerId) const
{
  const auto incarnation =
    mDispatcher->FindIdleIncarnation(aWorkerId, mClock.Now());
  if (incarnation || mDispatcher->HasWorker(aWorkerId)) {
    return incarnation;
  }
  const JournaledWorker* lease = FindValidLease(aWorkerId);
  return lease != nullptr ? lease->mIdleIncarnationStartMs : std::nullopt;
}

const Cell::JournaledWorker*
Cell::FindValidLease(const std::string& aWorkerId) const
{
  const auto found = mJournaledWorkers.find(aWorkerId);
  return found != mJournaledWorkers.end() &&
             mLeadership.IsLeaseRecordValid(found->second.mLeaseEpoch)
           ? &found->second
           : nullptr;
}

void
Cell::OnWorkerGone(const std::string& aWorkerId)
{
  const logging::ContextField context("cell", mOptions.mIndex);
  const auto found = mWorkers.find(aWorkerId);
  if (found == mWorkers.end() || !found->second.mIsRegistered) {
    return;
  }
  found->second.mIsRegistered = false;
  found->second.mUnregisteredAt = mClock.Now();
  if (mDispatcher != nullptr) {
    mDispatcher->OnWorkerUnregistered(aWorkerId, mClock.Now());
  }
}

void
Cell::ForgetRegistry()
{
  // The journal names the workers that a leader may have used.
  for (auto it = mWorkers.begin(); it != mWorkers.end();) {
    KnownWorker& worker = it->second;
    if (!IsJournaled(it->first)) {
      it = mWorkers.erase(it);
      continue;
    }
    // It may be listed until this instance follows the registry again.
    worker.mIsRegistered = false;
    worker.mUnregisteredAt.reset();
    ++it;
  }
}

void
Cell::OnJournalSnapshot(const std::vector<LogRecord>& aRecords)
{
  const LoopProfile::Timer timer(mProfile, LoopPhase::Streams);
  const logging::ContextField context("cell", mOptions.mIndex);
  std::set<std::string> keys;
  for (const auto& it : aRecords) {
    if (!it.mValue.empty()) {
      keys.insert(it.mKey);
    }
    mJobs.Apply(it.mKey, it.mValue, it.mOffset);
    HandleJournalRecord(it);
  }
  mJobs.Retain(keys, mJournalReader.NextOffset());
  // Own records that were stored after the beginning of the snapshot have
  // higher offsets than this.
  const std::int64_t offset = mJournalReader.NextOffset() - 1;
  std::vector<std::string> ids;
  for (const auto& [id, journaled] : mJournaledWorkers) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    for (const auto kind :
         { jobs::RecordKind::Worker, jobs::RecordKind::WorkerLease }) {
      const std::string key = jobs::FormatRecordKey(kind, id);
      if (keys.count(key) == 0) {
        HandleJournalRecord({ key, "", offset });
      }
    }
  }
}

void
Cell::OnJournalRecord(const LogRecord& aRecord)
{
  const LoopProfile::Timer timer(mProfile, LoopPhase::Streams);
  const logging::ContextField context("cell", mOptions.mIndex);
  mJobs.ApplyNext(aRecord.mKey, aRecord.mValue, aRecord.mOffset);
  HandleJournalRecord(aRecord);
}

void
Cell::HandleJournalRecord(const LogRecord& aRecord)
{
  const auto key = jobs::ParseRecordKey(aRecord.mKey);
  if (!key) {
    return;
  }
  switch (key->mKind) {
    case jobs::RecordKind::Model:
      mModelRecord = aRecord.mValue;
      break;
    case jobs::RecordKind::Idle:
      mIdleRecord = aRecord.mValue;
      break;
    case jobs::RecordKind::Worker:
    case jobs::RecordKind::WorkerLease:
      ApplyWorkerRecord(*key, aRecord);
      RemoveJournaledWorker(key->mId, aRecord.mOffset);
      break;
    case jobs::RecordKind::Load:
      OnLoad(aRecord.mValue);
      break;
    case jobs::RecordKind::Submission:
    case jobs::RecordKind::Cancellation:
    case jobs::RecordKind::Progress:
    case jobs::RecordKind::TaskRange:
    case jobs::RecordKind::Transfer:
    case jobs::RecordKind::Loan:
    case jobs::RecordKind::Borrowed:
      if (mDispatcher != nullptr && !aRecord.mValue.empty()) {
        OnJobRecord(*key, aRecord);
      }
      break;
  }
}

void
Cell::OnJobRecord(const jobs::RecordKey& aKey, const LogRecord& aRecord)
{
  const TimePoint now = mClock.Now();
  switch (aKey.mKind) {
    case jobs::RecordKind::Submission: {
      const auto job = mJobs.Find(aKey.mId);
      if (job && !job->mTransfer && !IsLeaving(aKey.mId) &&
          !TransferOnArrival(*job, now)) {
        mDispatcher->AddJob(*job, mJobsToAdd.count(aKey.mId) != 0, now);
      }
      break;
    }
    case jobs::RecordKind::Cancellation:
      logging::Write(logging::Level::Info,
                     "job_cancelled_seen",
                     { { "job", aKey.mId },
                       { "offset", aRecord.mOffset },
                       { "max_delay_ms", ToMs(JournalAge()) } });
      mDispatcher->CancelJob(aKey.mId, now);
      if (mJobs.TransferOf(aKey.mId)) {
        mTransfersToSend.emplace(aKey.mId, 0);
      }
      EndLoans(aKey.mId);
      break;
    case jobs::RecordKind::Borrowed: {
      const auto job = mJobs.Find(aKey.mId);
      if (job && job->IsBorrowed()) {
        logging::Write(logging::Level::Info,
                       "tasks_borrowed",
                       { { "job", aKey.mId },
                         { "loan", aKey.mPart },
                         { "state", jobs::NameOf(job->State()) },
                         { "offset", aRecord.mOffset } });
        mDispatcher->AddJob(*job, mJobsToAdd.count(aKey.mId) != 0, now);
      }
      break;
    }
    case jobs::RecordKind::Progress:
    case jobs::RecordKind::TaskRange:
    case jobs::RecordKind::Transfer:
    case jobs::RecordKind::Loan:
    case jobs::RecordKind::Model:
    case jobs::RecordKind::Worker:
    case jobs::RecordKind::WorkerLease:
    case jobs::RecordKind::Load:
    case jobs::RecordKind::Idle:
      break;
  }
}

bool
Cell::IsHomeOf(const jobs::Submission& aSubmission) const
{
  return cells::HomeOfJob(mMap, aSubmission.mId, aSubmission.mRequest) ==
         mOptions.mIndex;
}

bool
Cell::IsLeaving(const std::string& aJobId) const
{
  const auto isJob = [&](const auto& aEntry) { return aEntry.first == aJobId; };
  return std::any_of(
           mTransfersToStore.begin(), mTransfersToStore.end(), isJob) ||
         std::any_of(mTransfersInBatch.begin(), mTransfersInBatch.end(), isJob);
}

void
Cell::OnLoad(const std::string& aRecord)
{
  // The leader knows better than its own record.
  if (mDispatcher != nullptr) {
    return;
  }
  auto load = cells::DecodeCellLoad(aRecord);
  if (!load) {
    logging::Write(logging::Level::Warning,
                   "load_record_skipped",
                   { { "problem", load.error().mDetail } });
    return;
  }
  mLoads[static_cast<std::size_t>(mOptions.mIndex)] = std::move(load.value());
}

void
Cell::OnJournaledWorker(const std::string& aWorkerId, const LogRecord& aRecord)
{
  JournaledWorker& journaled = mJournaledWorkers[aWorkerId];
  // Own records are applied when they are stored, before the reader delivers
  // them and what precedes them.
  if (aRecord.mOffset <= journaled.mOffset) {
    return;
  }
  journaled.mOffset = aRecord.mOffset;
  journaled.mAddress.clear();
  const auto known = mWorkers.find(aWorkerId);
  if (aRecord.mValue.empty()) {
    const bool isUsed =
      mDispatcher != nullptr && mDispatcher->HasWorker(aWorkerId);
    if (known != mWorkers.end() && !known->second.mIsRegistered && !isUsed) {
      mWorkers.erase(known);
    }
    return;
  }
  auto entry = mDecoder.DecodeWorker({ aWorkerId, aRecord.mValue, 0 });
  if (!entry) {
    return;
  }
  journaled.mAddress = entry->mAddress;
  UpdateLease(aWorkerId);
  // The registry knows better, and so does a leader.
  if (known != mWorkers.end() &&
      (known->second.mIsRegistered || mDispatcher != nullptr)) {
    return;
  }
  KnownWorker& worker = mWorkers[aWorkerId];
  worker.mEntry = std::move(*entry);
  worker.mRecord = aRecord.mValue;
  worker.mIsRegistered = false;
  worker.mUnregisteredAt.reset();
}

void
Cell::OnWorkerLease(const std::string& aWorkerId, const LogRecord& aRecord)
{
  JournaledWorker& journaled = mJournaledWorkers[aWorkerId];
  if (aRecord.mOffset <= journaled.mLeaseOffset) {
    return;
  }
  journaled.mLeaseOffset = aRecord.mOffset;
  if (journaled.mLeaseEpoch == 0) {
    journaled.mSilentSince = mClock.Now();
  }
  journaled.mLeaseEpoch = 0;
  journaled.mIdleIncarnationStartMs.reset();
  if (aRecord.mValue.empty()) {
    mUnextendedWorkers.erase(aWorkerId);
    UpdateLease(aWorkerId);
    return;
  }
  const auto record = DecodeWorkerLease(aRecord.mValue);
  if (!record) {
    logging::Write(
      logging::Level::Warning,
      "worker_lease_record_skipped",
      { { "worker", aWorkerId }, { "problem", record.error().mDetail } });
    journaled.mLeaseEpoch = kUnreadableEpoch;
  } else {
    journaled.mLeaseEpoch = record.value().mEpoch;
    journaled.mHasLeaseEnded = record.value().mRemainingMs == 0;
    journaled.mIdleIncarnationStartMs = record.value().mIdleIncarnationStartMs;
    journaled.mLeaseEndsAt =
      mClock.Now() + std::chrono::milliseconds(record.value().mRemainingMs) *
                       100 / kMinClockPercent;
  }
  if (mDispatcher != nullptr) {
    mUnextendedWorkers.insert(aWorkerId);
    UpdateLease(aWorkerId);
  }
}

void
Cell::ApplyWorkerRecord(const jobs::RecordKey& aKey, const LogRecord& aRecord)
{
  if (aKey.mKind == jobs::RecordKind::Worker) {
    OnJournaledWorker(aKey.mId, aRecord);
  } else if (aKey.mKind == jobs::RecordKind::WorkerLease) {
    OnWorkerLease(aKey.mId, aRecord);
  }
}

void
Cell::RemoveJournaledWorker(const std::string& aWorkerId,
                            std::int64_t aReadOffset)
{
  const auto found = mJournaledWorkers.find(aWorkerId);
  if (found == mJournaledWorkers.end()) {
    return;
  }
  // The reader delivers nothing older, against which the offsets guard.
  const JournaledWorker& journaled = found->second;
  if (journaled.mAddress.empty() && journaled.mLeaseEpoch == 0 &&
      std::max(journaled.mOffset, journaled.mLeaseOffset) == aReadOffset) {
    mJournaledWorkers.erase(found);
  }
}

void
Cell::AddLeaseRecords()
{
  const TimePoint now = mClock.Now();
  for (const auto& it : mUnextendedWorkers) {
    // The record of a worker that the dispatcher has removed still tells the
    // next leader that the lease has ended.
    if (mWorkers.count(it) == 0 || mDispatcher->Answers(it)) {
      logging::Write(logging::Level::Info,
                     "worker_lease_record_deleted",
                     { { "worker", it } });
      AddRecord(jobs::RecordKind::WorkerLease, it, "");
      continue;
    }
    const JournaledWorker* lease = FindValidLease(it);
    if (lease == nullptr) {
      continue;
    }
    // A leader that has just started counts the remaining time from its first
    // read.
    const bool hasJustEnded =
      !lease->mHasLeaseEnded && lease->mLeaseEndsAt <= now;
    if (hasJustEnded ||
        lease->mIdleIncarnationStartMs != FindIdleIncarnation(it)) {
      AddLeaseRecord(it, lease->mLeaseEndsAt);
    }
  }
  for (const auto& it : mDispatcher->ListSilent()) {
    if (IsJournaled(it.mId) && FindValidLease(it.mId) == nullptr) {
      mUnextendedWorkers.insert(it.mId);
      UpdateLease(it.mId);
      AddLeaseRecord(it.mId, it.mLeaseEndsAt);
    }
  }
}

void
Cell::AddLeaseRecord(const std::string& aWorkerId, TimePoint aEndsAt)
{
  const TimePoint now = mClock.Now();
  const std::int64_t remaining = aEndsAt <= now ? 0 : ToMs(aEndsAt - now) + 1;
  const auto idleIncarnation = FindIdleIncarnation(aWorkerId);
  logging::Write(logging::Level::Info,
                 "worker_lease_recorded",
                 { { "worker", aWorkerId },
                   { "remaining_ms", remaining },
                   { "idle", idleIncarnation ? "yes" : "no" } });
  AddRecord(jobs::RecordKind::WorkerLease,
            aWorkerId,
            EncodeWorkerLease({ mEpoch, remaining, idleIncarnation }));
}

void
Cell::RepeatLeaseRecords()
{
  for (const auto& it : mUnextendedWorkers) {
    const JournaledWorker* lease = FindValidLease(it);
    if (lease != nullptr && lease->mLeaseEndsAt > mClock.Now() &&
        mWorkers.count(it) != 0 && !mDispatcher->Answers(it)) {
      AddLeaseRecord(it, lease->mLeaseEndsAt);
    }
  }
}

void
Cell::AddIdleRecord()
{
  const jobs::IdleTasks idle{ mEpoch, mDispatcher->ListIdle(mClock.Now()) };
  const std::size_t limit =
    std::min(kMaxIdleRecordBytes,
             mOptions.mLogLimits.mMaxRecordBytes - kMaxIdleKeyBytes);
  AddRecord(
    jobs::RecordKind::Idle, kIdleId, jobs::EncodeIdleTasks(idle, limit));
}

std::vector<jobs::IdleStep>
Cell::ReadIdleRecord() const
{
  const std::int64_t epoch = mLeadership.InheritedIdleTasksEpoch();
  if (epoch == 0 || mIdleRecord.empty()) {
    return {};
  }
  auto idle = jobs::DecodeIdleTasks(mIdleRecord);
  if (!idle) {
    logging::Write(logging::Level::Warning,
                   "idle_record_skipped",
                   { { "problem", idle.error().mDetail } });
    return {};
  }
  return idle.value().mEpoch == epoch ? std::move(idle.value().mSteps)
                                      : std::vector<jobs::IdleStep>();
}

void
Cell::AddWorkerRecords()
{
  for (const std::string& it : mWorkersToRecord) {
    const KnownWorker& worker = mWorkers.at(it);
    if (!IsRecorded(it, worker)) {
      AddRecord(jobs::RecordKind::Worker, it, worker.mRecord);
    }
  }
  mWorkersToRecord.clear();
  const TimePoint now = mClock.Now();
  if (now < mNextWorkerCheckAt) {
    return;
  }
  mNextWorkerCheckAt = now + kWorkerCheckInterval;
  for (auto it = mWorkers.begin(); it != mWorkers.end();) {
    KnownWorker& worker = it->second;
    if (!worker.mIsRegistered && !worker.mUnregisteredAt) {
      worker.mUnregisteredAt = now;
    }
    // A worker that the registry lacks may be at work: the next leader must ask
    // it before it starts the tasks elsewhere.
    if (worker.mIsRegistered ||
        *worker.mUnregisteredAt + kUnregisteredRetention >= now ||
        mDispatcher->HasWorker(it->first)) {
      ++it;
      continue;
    }
    if (!IsJournaled(it->first)) {
      it = mWorkers.erase(it);
      continue;
    }
    logging::Write(
      logging::Level::Info,
      "worker_deleted",
      { { "worker", it->first },
        { "unregistered_ms", ToMs(now - *worker.mUnregisteredAt) } });
    // The worker is forgotten once the deletion is stored, unless it returns to
    // the registry before.
    AddRecord(jobs::RecordKind::Worker, it->first, "");
    AddRecord(jobs::RecordKind::WorkerLease, it->first, "");
    mWorkerDeletions.insert(it->first);
    ++it;
  }
}

void
Cell::UpdateTerm()
{
  if (mDispatcher != nullptr && mDispatcher->IsFenced()) {
    EndTerm();
    mLeadership.StepDown();
    return;
  }
  if (mEpoch != 0 && HandOverIfOutdated()) {
    return;
  }
  const std::int64_t epoch = mLeadership.Epoch();
  if (epoch != mEpoch) {
    if (mEpoch != 0) {
      EndTerm();
    }
    if (epoch != 0) {
      PrepareTerm();
    }
    return;
  }
  if (epoch == 0 || mDispatcher != nullptr) {
    return;
  }
  if (!mAreEarlierWritersFenced) {
    FenceEarlierWriters();
    return;
  }
  // No previous leader can append after the fence, so a read that was sent
  // later returns everything that it has stored.
  const bool isCurrent =
    mJournalReader.IsLoaded() &&
    mJournalReader.UpToDateAt() > mEarlierWritersFencedAt &&
    mRegistryReader.IsLoaded();
  if (isCurrent) {
    StartDispatcher();
  }
}

void
Cell::UpdateFailedReads()
{
  for (auto& it : mRequiredStreams) {
    const TimePoint earliest =
      std::max(it.mReader.UpToDateAt(), mLeadership.AnsweredSince());
    if (it.mFailedReadSentAt && *it.mFailedReadSentAt <= earliest) {
      it.mFailedReadSentAt.reset();
    }
    const TimePoint sentAt = it.mReader.FailedReadSentAt();
    if (!it.mFailedReadSentAt && sentAt > earliest) {
      it.mFailedReadSentAt = sentAt;
    }
  }
}

base::Duration
Cell::JournalAge() const
{
  return mClock.Now() - mJournalReader.UpToDateAt();
}

bool
Cell::IsOutdated(const RequiredStream& aStream) const
{
  const TimePoint readAt = aStream.mReader.UpToDateAt();
  return mLeadership.ConfirmedAt() > readAt + kMaxRenewalLead &&
         mClock.Now() - readAt > aStream.mMaxAge;
}

void
Cell::UpdateStarts()
{
  const auto outdated = std::find_if(
    mRequiredStreams.begin(),
    mRequiredStreams.end(),
    [this](const RequiredStream& aStream) { return IsOutdated(aStream); });
  const bool isOutdated = outdated != mRequiredStreams.end();
  if (isOutdated == mStartsHeldAt.has_value()) {
    return;
  }
  const TimePoint now = mClock.Now();
  if (isOutdated) {
    logging::Write(logging::Level::Warning,
                   "starts_held",
                   { { "stream", outdated->mName },
                     { "age_ms", ToMs(now - outdated->mReader.UpToDateAt()) },
                     { "limit_ms", ToMs(outdated->mMaxAge) },
                     { "offset", outdated->mReader.NextOffset() } });
    mStartsHeldAt = now;
  } else {
    logging::Write(logging::Level::Info,
                   "starts_resumed",
                   { { "held_ms", ToMs(now - *mStartsHeldAt) },
                     { "journal", mJournalReader.NextOffset() } });
    mStartsHeldAt.reset();
  }
  mDispatcher->SetMayStart(!isOutdated);
}

bool
Cell::HandOverIfOutdated()
{
  if (mLeadership.IsAppending()) {
    return false;
  }
  // The log must have answered all renewals from before to after the time when
  // the failed read was sent. Otherwise an outage of the log could be the
  // cause.
  const auto unreadable = std::find_if(
    mRequiredStreams.begin(),
    mRequiredStreams.end(),
    [this](const RequiredStream& aStream) {
      return IsOutdated(aStream) && aStream.mFailedReadSentAt &&
             *aStream.mFailedReadSentAt <= mLeadership.ConfirmedAt() &&
             aStream.mReader.ConsecutiveFailures() >= aStream.mMinFailedReads &&
             // The successor would read no more, and would load all streams.
             !aStream.mReader.IsRateLimited();
    });
  if (unreadable == mRequiredStreams.end()) {
    return false;
  }
  logging::Write(
    logging::Level::Warning,
    "required_stream_unreadable",
    { { "epoch", mEpoch },
      { "stream", unreadable->mName },
      { "age_ms", ToMs(mClock.Now() - unreadable->mReader.UpToDateAt()) },
      { "failed_reads", unreadable->mReader.ConsecutiveFailures() } });
  const LeaderHandOver handOver{ LeasesEndAt(),
                                 mDispatcher == nullptr
                                   ? mLeadership.InheritedIdleTasksEpoch()
                                   : 0,
                                 mSuccessors.SuccessorsOf(mOptions.mIndex) };
  EndTerm();
  mLeadership.HandOver(handOver);
  return true;
}

void
Cell::PrepareTerm()
{
  mEpoch = mLeadership.Epoch();
  mAreEarlierWritersFenced = false;
  mIsFlushInFlight = false;
  mBatch.Clear();
  mSequence = 0;
  mNextFlushAt = mClock.Now();
  mJournalReader.SetPause(mBudget.mLeaderJournalPause);
  SetRetryPauses(kLeaderRetryPause, kMaxUrgentRateLimitPause);
  mJournalReader.SetWait(kLeaderReadWait);
  mJournalReader.SkipPause();
  FenceEarlierWriters();
}

void
Cell::EndTerm()
{
  logging::Write(logging::Level::Info, "term_ended", { { "epoch", mEpoch } });
  mWorkerClient.ClearDispatcher();
  mDispatcher.reset();
  mJobsToAdd.clear();
  mWorkersToRecord.clear();
  mWorkerDeletions.clear();
  mUnextendedWorkers.clear();
  mEpoch = 0;
  mStartsHeldAt.reset();
  mTransfersToStore.clear();
  mTransfersInBatch.clear();
  mTransfersToSend.clear();
  mTransfersInFlight.clear();
  mLoansToStore.clear();
  mLoansInBatch.clear();
  mLoansToSend.clear();
  mLoansInFlight.clear();
  mPendingLoans.clear();
  mEndedLoans.clear();
  mCopiesRemovableAt.clear();
  mJournalReader.SetPause(mBudget.mFollowerJournalPause);
  mJournalReader.SetWait(kReadWait);
  SetRetryPauses(mBudget.mRetryPause, kMaxRateLimitPause);
}

void
Cell::FenceEarlierWriters()
{
  const TimePoint now = mClock.Now();
  if (mIsFlushInFlight || now < mNextFlushAt) {
    return;
  }
  mIsFlushInFlight = true;
  AppendRequest request;
  request.mStream = PartitionOf(mOptions.mJournal, mOptions.mIndex);
  request.mStamp = WriterStamp{ std::string(kWriterName), mEpoch, 0 };
  mLog.Append(request,
              now + kFlushTimeout,
              [this, epoch = mEpoch](const AppendResult& aResult) {
                if (epoch != mEpoch) {
                  return;
                }
                mIsFlushInFlight = false;
                mNextFlushAt = mClock.Now() + kFlushRetryPause;
                if (aResult.mOutcome == LogOutcome::Done) {
                  mAreEarlierWritersFenced = true;
                  mEarlierWritersFencedAt = mClock.Now();
                  mNextFlushAt = mEarlierWritersFencedAt;
                  // A read in progress may wait for a record.
                  mJournalReader.Restart();
                } else if (aResult.mOutcome == LogOutcome::Fenced) {
                  EndTerm();
                  mLeadership.StepDown();
                }
              });
}

void
Cell::StartDispatcher()
{
  const TimePoint now = mClock.Now();
  dispatch::Term term;
  term.mEpoch = mEpoch;
  term.mPreviousLeasesEndAt = mLeadership.PreviousLeasesEnd();
  term.mJobs = mOptions.mCellCount > 1 ? &mJournalJobs : nullptr;
  term.mIdleSteps = ReadIdleRecord();
  std::int64_t idleTasks = 0;
  for (const auto& it : term.mIdleSteps) {
    idleTasks += static_cast<std::int64_t>(it.mTasks.size());
  }
  dispatch::DispatchLimits limits = mOptions.mLimits;
  limits.mMaxTasksPerRecord = static_cast<int>(std::max<std::size_t>(
    1, mOptions.mLogLimits.mMaxRecordBytes / kMaxTaskProgressBytes));
  mDispatcher =
    dispatch::CreateDispatcher(limits, term, mWorkerClient, mMetrics);
  mWorkerClient.SetDispatcher(mEpoch, *mDispatcher);
  mDispatcher->SetLeaderLease(mLeadership.ConfirmedAt(),
                              mLeadership.ConfirmedAt() + kLeaderLease);
  if (!mModelRecord.empty()) {
    mDispatcher->ImportModel(mModelRecord);
  }
  for (const auto& [id, journaled] : mJournaledWorkers) {
    if (journaled.mLeaseEpoch != 0) {
      mUnextendedWorkers.insert(id);
    }
  }
  for (auto& [id, worker] : mWorkers) {
    if (!worker.mIsRegistered && !worker.mUnregisteredAt) {
      // Nobody tells when the registry last listed it. It has not been used
      // since it fell silent.
      const JournaledWorker* lease = FindValidLease(id);
      worker.mUnregisteredAt = lease != nullptr ? lease->mSilentSince : now;
    }
    AddToDispatcher(id, worker);
  }
  const auto openJobs = mJobs.ListOpen();
  logging::Write(
    logging::Level::Info,
    "term_begun",
    { { "epoch", mEpoch },
      { "open_jobs", static_cast<std::int64_t>(openJobs.size()) },
      { "workers", static_cast<std::int64_t>(mWorkers.size()) },
      { "workers_to_record",
        static_cast<std::int64_t>(mWorkersToRecord.size()) },
      { "lease_records", static_cast<std::int64_t>(mUnextendedWorkers.size()) },
      { "idle_tasks", idleTasks },
      { "journal", mJournalReader.NextOffset() } });
  mJobsToAdd.insert(openJobs.begin(), openJobs.end());
  for (const auto& it : mJobs.ListTransfersToRepeat()) {
    mTransfersToSend.emplace(it, 0);
  }
  for (const auto& it : mJobs.ListLoansToRepeat()) {
    mLoansToSend.emplace(it, 0);
  }
  mFirstReportsUntil = now + kFirstReportsTime;
  mNextLoansAt = now;
  mProfile.Reset();
}

void
Cell::AddOpenJobs()
{
  // The dispatcher stops reported runs of jobs that it does not know, so its
  // first tick, which polls the workers, comes after the last job.
  const TimePoint now = mClock.Now();
  for (std::size_t n = 0; n < kMaxJobsPerTick && !mJobsToAdd.empty(); ++n) {
    const auto job = mJobs.Find(*mJobsToAdd.begin());
    if (job) {
      mDispatcher->AddJob(*job, true, now);
    }
    mJobsToAdd.erase(mJobsToAdd.begin());
  }
}

bool
Cell::TransferOnArrival(const jobs::JobEntry& aJob, TimePoint aNow)
{
  const bool isUnstarted = aJob.State() == jobs::JobState::Pending &&
                           !aJob.mProgress.mMayHaveStarted &&
                           mJobsToAdd.count(aJob.mSubmission->mId) == 0;
  if (mOptions.mCellCount == 1 || !IsRoomKnown(aNow) || !isUnstarted ||
      mDispatcher->HasJob(aJob.mSubmission->mId)) {
    return false;
  }
  if (const auto transfer = FindTransfer(*aJob.mSubmission, Duration::zero())) {
    StoreTransfer(*aJob.mSubmission, *transfer, Duration::zero());
    return true;
  }
  auto& load = mLoads[static_cast<std::size_t>(mOptions.mIndex)];
  if (load) {
    cells::Reserve(*load, cells::DemandOf(*aJob.mSubmission), 1);
  }
  return false;
}

std::optional<cells::Transfer>
Cell::FindTransfer(const jobs::Submission& aSubmission, Duration aWaited) const
{
  // A job that arrived by a transfer stays.
  if (!IsHomeOf(aSubmission)) {
    return std::nullopt;
  }
  return cells::ChooseTransfer(aSubmission.mId,
                               mOptions.mIndex,
                               cells::DemandOf(aSubmission),
                               mLoads,
                               aWaited);
}

void
Cell::StoreTransfer(const jobs::Submission& aSubmission,
                    const cells::Transfer& aTransfer,
                    Duration aWaited)
{
  logging::Write(logging::Level::Info,
                 "job_transferred",
                 { { "job", aSubmission.mId },
                   { "target", aTransfer.mTarget },
                   { "reason", cells::NameOf(aTransfer.mReason) },
                   { "waited_ms", ToMs(aWaited) } });
  mTransfersCount.Add();
  // The other homes see the same room.
  cells::Reserve(*mLoads[static_cast<std::size_t>(aTransfer.mTarget)],
                 cells::DemandOf(aSubmission),
                 mOptions.mCellCount - 1);
  mTransfersToStore.emplace_back(aSubmission.mId,
                                 jobs::JobTransfer{ aTransfer.mTarget, false });
}

void
Cell::ChooseTransfers(TimePoint aNow)
{
  int n = 0;
  for (const auto& it : mDispatcher->ListUnstarted()) {
    const auto job = mJobs.Find(it.mId);
    if (!job || !job->mSubmission || job->mIsCancelled) {
      continue;
    }
    const Duration waited = aNow - it.mAddedAt;
    const auto transfer = FindTransfer(*job->mSubmission, waited);
    if (transfer && mDispatcher->ReleaseJob(it.mId)) {
      StoreTransfer(*job->mSubmission, *transfer, waited);
      if (++n == kMaxTransfersPerRound) {
        return;
      }
    }
  }
}

bool
Cell::IsRoomKnown(TimePoint aNow) const
{
  return mDispatcher->AreReportsComplete() || aNow >= mFirstReportsUntil;
}

bool
Cell::HasRead(std::int64_t aOffset) const
{
  return mJournalReader.IsLoaded() && mJournalReader.NextOffset() >= aOffset;
}

void
Cell::SendTransfers(TimePoint aNow)
{
  if (aNow < mNextTransferAt) {
    return;
  }
  for (auto it = mTransfersToSend.begin();
       it != mTransfersToSend.end() &&
       mTransfersInFlight.size() < kMaxTransfersInFlight;) {
    const std::string id = it->first;
    // A cancellation follows once the submission was answered.
    if (mTransfersInFlight.count(id) != 0 || !HasRead(it->second)) {
      ++it;
      continue;
    }
    it = mTransfersToSend.erase(it);
    const auto job = mJobs.Find(id);
    if (!job || !job->mSubmission || !job->mTransfer ||
        job->mTransfer->mTarget >= mOptions.mCellCount) {
      continue;
    }
    mTransfersInFlight.insert(id);
    AppendRequest request;
    request.mStream = PartitionOf(mOptions.mJournal, job->mTransfer->mTarget);
    // A read may return only the first of the records.
    if (job->mIsCancelled) {
      request.mRecords.push_back(
        { jobs::FormatRecordKey(jobs::RecordKind::Cancellation, id),
          jobs::EncodeCancellation(mWallClock.NowMs()),
          0 });
    }
    request.mRecords.push_back(
      { jobs::FormatRecordKey(jobs::RecordKind::Submission, id),
        jobs::EncodeSubmission(*job->mSubmission),
        0 });
    mLog.Append(request,
                aNow + kFlushTimeout,
                [this, id, epoch = mEpoch](const AppendResult& aResult) {
                  if (epoch == mEpoch && mDispatcher != nullptr) {
                    OnTransferSent(id, aResult);
                  }
                });
  }
}

void
Cell::OnTransferSent(const std::string& aJobId, const AppendResult& aResult)
{
  mTransfersInFlight.erase(aJobId);
  const auto transfer = mJobs.TransferOf(aJobId);
  if (!transfer) {
    return;
  }
  if (aResult.mOutcome != LogOutcome::Done) {
    // The target ignores a submission that it has already.
    mTransfersToSend.emplace(aJobId, 0);
    mNextTransferAt = mClock.Now() + kFlushRetryPause;
    return;
  }
  if (!transfer->mIsDelivered) {
    mTransfersToStore.emplace_back(
      aJobId, jobs::JobTransfer{ transfer->mTarget, true });
  }
}

void
Cell::ChooseLoans(TimePoint aNow)
{
  // The copy would wait until this leader has read its journal.
  if (aNow < mNextLoansAt || mStartsHeldAt) {
    return;
  }
  mNextLoansAt = aNow + kLoadInterval;
  const auto unplaced =
    mDispatcher->ListUnplaced(aNow - kMinTimeBeforeLoan, aNow);
  if (unplaced.empty()) {
    return;
  }
  CellLoads loads = LoadsWithPendingLoans();
  int n = 0;
  UnplacedSummary left;
  for (const auto& it : unplaced) {
    cells::LoanDemand demand{ it.mPool,
                              it.mLabel,
                              it.mProcessors,
                              std::min(it.mCount, kMaxTasksPerLoan),
                              it.mMayGetRoom };
    const Duration waited = aNow - it.mNoRoomSince;
    // Before that, an unstarted job may move as a whole.
    const bool mayLend = !it.mIsUnstarted || waited >= kMinTimeBeforeFirstLoan;
    auto target = mayLend
                    ? cells::ChooseLoan(
                        it.mJobId, demand, mOptions.mIndex, {}, loads, waited)
                    : std::nullopt;
    const auto job = target ? mJobs.Find(it.mJobId) : std::nullopt;
    // The number of the next loan follows from the stored ones.
    if (!job || job->KnownSubmission() == nullptr || job->mIsCancelled ||
        IsLending(it.mJobId)) {
      left.Add(it, waited);
      continue;
    }
    const std::set<int> formerCells = FormerCellsOf(*job);
    if (formerCells.count(target->mTarget) != 0) {
      target = cells::ChooseLoan(
        it.mJobId, demand, mOptions.mIndex, formerCells, loads, waited);
    }
    if (!target) {
      left.Add(it, waited);
      continue;
    }
    if (!StoreLoan(*job, it, *target, formerCells)) {
      continue;
    }
    demand.mCount = target->mCount;
    // The other lenders see the same room.
    cells::Reserve(*loads[static_cast<std::size_t>(target->mTarget)],
                   demand,
                   mOptions.mCellCount - 1);
    if (++n == kMaxLoansPerRound) {
      return;
    }
  }
  if (left.mTasks > 0 && aNow >= mNextUnplacedLogAt) {
    mNextUnplacedLogAt = aNow + kUnplacedLogInterval;
    logging::Write(logging::Level::Info,
                   "lasting_tasks_unplaced",
                   { { "tasks", left.mTasks },
                     { "smallest_processors", left.mSmallest },
                     { "largest_processors", left.mLargest },
                     { "may_get_room", left.mMayGetRoom },
                     { "longest_wait_ms", ToMs(left.mLongestWait) } });
  }
}

CellLoads
Cell::LoadsWithPendingLoans()
{
  CellLoads loads = mLoads;
  for (auto it = mPendingLoans.begin(); it != mPendingLoans.end();) {
    auto& load = loads[static_cast<std::size_t>(it->second.mTarget)];
    cells::PoolLoad* pool = nullptr;
    if (load) {
      for (cells::PoolLoad& entry : load->mPools) {
        pool = entry.mPool == it->second.mPool ? &entry : pool;
      }
    }
    if (pool != nullptr && it->second.mOffset &&
        pool->mJournalOffset > *it->second.mOffset) {
      it = mPendingLoans.erase(it);
      continue;
    }
    if (pool != nullptr) {
      pool->mNewLastingTasks += it->second.mCount;
    }
    ++it;
  }
  return loads;
}

std::set<int>
Cell::FormerCellsOf(const jobs::JobEntry& aJob) const
{
  std::set<int> cells{ mOptions.mIndex };
  for (const auto& [part, borrowed] : aJob.mBorrowed) {
    cells.insert(borrowed.mFormerCells.begin(), borrowed.mFormerCells.end());
  }
  // The home of a transferred job removes its records, and a removal that is
  // carried out late would take those of a loan with it.
  const jobs::Submission& submission = *aJob.KnownSubmission();
  if (submission.mAcceptedMs <
      mWallClock.NowMs() - kMinJobAgeMs + ToMs(kMaxLateAppend)) {
    cells.insert(cells::HomeOfJob(mMap, submission.mId, submission.mRequest));
  }
  return cells;
}

bool
Cell::IsLending(const std::string& aJobId) const
{
  const auto isJob = [&](const auto& aEntry) {
    return aEntry.first.first == aJobId;
  };
  return std::any_of(mLoansToStore.begin(), mLoansToStore.end(), isJob) ||
         std::any_of(mLoansInBatch.begin(), mLoansInBatch.end(), isJob);
}

bool
Cell::StoreLoan(const jobs::JobEntry& aJob,
                const dispatch::UnplacedTasks& aTasks,
                const cells::LoanTarget& aTarget,
                const std::set<int>& aFormerCells)
{
  const std::string& id = aTasks.mJobId;
  const auto isStorable = [&](const jobs::StepProgress& aStep) {
    const LogRecord record{
      jobs::FormatRecordKey(jobs::RecordKind::Borrowed, id),
      jobs::EncodeBorrowedTasks({ *aJob.KnownSubmission(), { aStep }, {} }),
      0
    };
    return SizeOf(record) + kMaxLoanPartBytes <=
           mOptions.mLogLimits.mMaxRecordBytes;
  };
  // Tasks that have been released must not be lost with a record that the log
  // cannot store.
  jobs::StepProgress placeholder;
  placeholder.mTasks.resize(static_cast<std::size_t>(aTarget.mCount));
  if (!isStorable(placeholder)) {
    return false;
  }
  jobs::StepProgress step = mDispatcher->LendTasks(aTasks, aTarget.mCount);
  if (step.mTasks.empty()) {
    return false;
  }
  if (!isStorable(step)) {
    DropCheckpoints(id, step);
  }
  int number = 1;
  for (const auto& [part, loan] : aJob.mLoans) {
    number = std::max(number, std::atoi(part.c_str()) + 1);
  }
  const auto n = static_cast<std::int64_t>(step.mTasks.size());
  logging::Write(logging::Level::Info,
                 "tasks_lent",
                 { { "job", id },
                   { "step", step.mStep },
                   { "loan", number },
                   { "tasks", n },
                   { "of", aTasks.mCount },
                   { "indexes", JoinIndexes(step) },
                   { "processors", aTasks.mProcessors },
                   { "target", aTarget.mTarget },
                   { "waited_ms", ToMs(mClock.Now() - aTasks.mNoRoomSince) } });
  mLentTasksCount.Add(n);
  const LoanId loanId{ id, std::to_string(number) };
  mPendingLoans[loanId] = {
    aTarget.mTarget, aTasks.mPool, static_cast<int>(n), {}
  };
  mLoansToStore.push_back({ loanId,
                            { aTarget.mTarget,
                              false,
                              { std::move(step) },
                              { aFormerCells.begin(), aFormerCells.end() } } });
  return true;
}

void
Cell::EndLoans(const std::string& aJobId)
{
  const auto loans = mJobs.ListLoans(aJobId);
  // Two cells may lend tasks of the same job to each other.
  if (loans.empty() || !mEndedLoans.insert(aJobId).second) {
    return;
  }
  for (const auto& it : loans) {
    mLoansToSend.emplace(LoanId{ aJobId, it }, 0);
  }
}

bool
Cell::HasCopiesToSend(const std::string& aJobId) const
{
  const LoanId first{ aJobId, "" };
  const auto toSend = mLoansToSend.lower_bound(first);
  const auto inFlight = mLoansInFlight.lower_bound(first);
  return IsLending(aJobId) ||
         (toSend != mLoansToSend.end() && toSend->first.first == aJobId) ||
         (inFlight != mLoansInFlight.end() && inFlight->first == aJobId) ||
         mTransfersToSend.count(aJobId) != 0 ||
         mTransfersInFlight.count(aJobId) != 0;
}

void
Cell::SendLoans(TimePoint aNow)
{
  if (aNow < mNextLoanCopyAt) {
    return;
  }
  for (auto it = mLoansToSend.begin();
       it != mLoansToSend.end() && mLoansInFlight.size() < kMaxLoansInFlight;) {
    const LoanId id = it->first;
    // The end of the job follows once the copy was answered.
    if (mLoansInFlight.count(id) != 0 || !HasRead(it->second)) {
      ++it;
      continue;
    }
    it = mLoansToSend.erase(it);
    const auto job = mJobs.Find(id.first);
    const auto loan = mJobs.LoanOf(id.first, id.second);
    const jobs::Submission* submission = job ? job->KnownSubmission() : nullptr;
    if (submission == nullptr || !loan ||
        loan->mTarget >= mOptions.mCellCount) {
      continue;
    }
    mLoansInFlight.insert(id);
    AppendRequest request;
    request.mStream = PartitionOf(mOptions.mJournal, loan->mTarget);
    // As in SendTransfers.
    if (jobs::IsFinal(job->State())) {
      request.mRecords.push_back(
        { jobs::FormatRecordKey(jobs::RecordKind::Cancellation, id.first),
          jobs::EncodeCancellation(mWallClock.NowMs()),
          0 });
    }
    request.mRecords.push_back(
      { jobs::FormatPartKey(jobs::RecordKind::Borrowed,
                            id.first,
                            std::to_string(mOptions.mIndex) + "." + id.second),
        jobs::EncodeBorrowedTasks(
          { *submission, loan->mSteps, loan->mFormerCells }),
        0 });
    mLog.Append(request,
                aNow + kFlushTimeout,
                [this, id, epoch = mEpoch](const AppendResult& aResult) {
                  if (epoch == mEpoch && mDispatcher != nullptr) {
                    OnLoanSent(id, aResult);
                  }
                });
  }
}

void
Cell::OnLoanSent(const LoanId& aId, const AppendResult& aResult)
{
  mLoansInFlight.erase(aId);
  if (aResult.mOutcome != LogOutcome::Done) {
    // All copies are equal, so that a repeated one changes nothing.
    mLoansToSend.emplace(aId, 0);
    mNextLoanCopyAt = mClock.Now() + kFlushRetryPause;
    return;
  }
  const auto pending = mPendingLoans.find(aId);
  if (pending != mPendingLoans.end()) {
    pending->second.mOffset = aResult.mOffset;
  }
  auto loan = mJobs.LoanOf(aId.first, aId.second);
  if (loan && !loan->mIsDelivered) {
    loan->mIsDelivered = true;
    mLoansToStore.emplace_back(aId, std::move(*loan));
  }
}

void
Cell::AddRecord(jobs::RecordKind aKind,
                std::string_view aId,
                std::string aValue)
{
  mBatch.Add({ jobs::FormatRecordKey(aKind, aId), std::move(aValue), 0 });
}

void
Cell::AddProgressRecords(const std::string& aJobId,
                         jobs::JobProgress& aProgress)
{
  if (jobs::IsFinal(aProgress.mState)) {
    aProgress.mEndedMs = mWallClock.NowMs();
  }
  // If this leader fails, its successor may find only the first of these
  // records. The previous record of the job may hold tasks of the ranges, so it
  // must not be replaced before the ranges are stored.
  for (jobs::TaskRange& it : aProgress.mChangedRanges) {
    LogRecord record{ jobs::FormatTaskRangeKey(aJobId, jobs::NameOf(it)),
                      jobs::EncodeTaskRange(it),
                      0 };
    if (!IsStorable(record, mOptions.mLogLimits)) {
      DropCheckpoints(aJobId, it.mProgress);
      record.mValue = jobs::EncodeTaskRange(it);
    }
    mBatch.Add(std::move(record));
  }
  LogRecord record{ jobs::FormatRecordKey(jobs::RecordKind::Progress, aJobId),
                    jobs::EncodeProgress(aProgress),
                    0 };
  if (!IsStorable(record, mOptions.mLogLimits)) {
    for (jobs::StepProgress& it : aProgress.mSteps) {
      DropCheckpoints(aJobId, it);
    }
    record.mValue = jobs::EncodeProgress(aProgress);
  }
  mBatch.Add(std::move(record));
  if (jobs::IsFinal(aProgress.mState)) {
    for (const auto& it : mJobs.ListRanges(aJobId)) {
      mBatch.Add({ jobs::FormatTaskRangeKey(aJobId, it), "", 0 });
    }
  }
}

void
Cell::DropCheckpoints(const std::string& aJobId, jobs::StepProgress& aStep)
{
  std::int64_t n = 0;
  for (jobs::TaskProgress& it : aStep.mTasks) {
    n += it.mCheckpoint.empty() ? 0 : 1;
    it.mCheckpoint.clear();
  }
  mDroppedCheckpoints.Add(n);
  logging::Write(
    logging::Level::Warning,
    "checkpoints_dropped",
    { { "job", aJobId },
      { "step", aStep.mStep },
      { "checkpoints", n },
      { "limit_bytes",
        static_cast<std::int64_t>(mOptions.mLogLimits.mMaxRecordBytes) } });
}

void
Cell::AddModelRecord(TimePoint aNow)
{
  LogRecord record;
  record.mKey = jobs::FormatRecordKey(jobs::RecordKind::Model, kModelId);
  const std::size_t limit = mOptions.mLogLimits.mMaxRecordBytes;
  record.mValue =
    mDispatcher->ExportModel(limit - std::min(limit, SizeOf(record)));
  mNextModelAt = aNow + std::max(kModelInterval,
                                 Duration(std::chrono::seconds(
                                   SizeOf(record) / kMaxModelBytesPerSecond)));
  mBatch.Add(std::move(record));
}

void
Cell::Flush()
{
  const TimePoint now = mClock.Now();
  if (mIsFlushInFlight || now < mNextFlushAt) {
    return;
  }
  if (!mBatch.IsEmpty()) {
    SendBatch();
    return;
  }
  if (now >= mNextLeaseCheckAt) {
    mNextLeaseCheckAt = now + kLeaseCheckInterval;
    AddLeaseRecords();
  }
  auto [batch, dirty] = mDispatcher->TakeDirty();
  const bool isLoadDue = mOptions.mCellCount > 1 && now >= mNextLoadAt;
  if (dirty.empty() && mTransfersToStore.empty() && mLoansToStore.empty() &&
      mWorkersToRecord.empty() && !isLoadDue && mBatch.IsEmpty()) {
    mDispatcher->OnDurable(batch, now);
    return;
  }
  mBatchNumber = batch;
  // The progress of a job marks lent tasks as done, so it must not be stored
  // without the loan.
  for (const auto& [id, loan] : mLoansToStore) {
    mBatch.Add(
      { jobs::FormatPartKey(jobs::RecordKind::Loan, id.first, id.second),
        jobs::EncodeLoan(loan),
        0 });
  }
  mLoansInBatch = std::move(mLoansToStore);
  mLoansToStore.clear();
  for (auto& [id, progress] : dirty) {
    AddProgressRecords(id, progress);
  }
  for (const auto& [id, transfer] : mTransfersToStore) {
    AddRecord(jobs::RecordKind::Transfer, id, jobs::EncodeTransfer(transfer));
  }
  mTransfersInBatch = std::move(mTransfersToStore);
  mTransfersToStore.clear();
  AddWorkerRecords();
  if (now >= mNextModelAt) {
    AddModelRecord(now);
  }
  if (isLoadDue) {
    mNextLoadAt = now + kLoadInterval;
    cells::CellLoad load = mDispatcher->Load(now);
    for (cells::PoolLoad& it : load.mPools) {
      it.mJournalOffset = mJournalReader.NextOffset();
    }
    AddRecord(jobs::RecordKind::Load, kLoadId, cells::EncodeCellLoad(load));
  }
  mBatchSentAt = now;
  if (mBatch.IsEmpty()) {
    CompleteBatch();
    return;
  }
  SendBatch();
}

void
Cell::SendBatch()
{
  mIsFlushInFlight = true;
  AppendRequest request;
  request.mStream = PartitionOf(mOptions.mJournal, mOptions.mIndex);
  request.mRecords = mBatch.Next();
  request.mStamp =
    WriterStamp{ std::string(kWriterName), mEpoch, mSequence + 1 };
  mLog.Append(request,
              mClock.Now() + kFlushTimeout,
              [this, epoch = mEpoch](const AppendResult& aResult) {
                if (epoch != mEpoch || mDispatcher == nullptr) {
                  return;
                }
                mIsFlushInFlight = false;
                switch (aResult.mOutcome) {
                  case LogOutcome::Done:
                    OnAppendStored(aResult.mOffset);
                    break;
                  case LogOutcome::Fenced:
                  case LogOutcome::OutOfSequence:
                    logging::Write(logging::Level::Warning,
                                   "journal_append_refused",
                                   { { "epoch", mEpoch },
                                     { "outcome", NameOf(aResult.mOutcome) } });
                    EndTerm();
                    mLeadership.StepDown();
                    break;
                  case LogOutcome::Invalid:
                    mBatch.DivideNext();
                    if (mBatch.IsEmpty()) {
                      CompleteBatch();
                    }
                    break;
                  case LogOutcome::EndMoved:
                  case LogOutcome::Expired:
                  case LogOutcome::Refused:
                  case LogOutcome::Unknown:
                    // The retry has the same sequence number, so the log
                    // ignores it if the append has been stored.
                    mNextFlushAt = mClock.Now() + kFlushRetryPause;
                    break;
                }
              });
}

void
Cell::OnAppendStored(std::int64_t aFirstOffset)
{
  ++mSequence;
  // Callers see the records at once.
  std::int64_t offset = aFirstOffset;
  for (const auto& it : mBatch.Next()) {
    mJobs.Apply(it.mKey, it.mValue, offset);
    const auto key = jobs::ParseRecordKey(it.mKey);
    if (key) {
      ApplyWorkerRecord(*key, { it.mKey, it.mValue, offset });
      const auto state = key->mKind == jobs::RecordKind::Progress
                           ? mJobs.StateOf(key->mId)
                           : std::nullopt;
      if (state && jobs::IsFinal(*state)) {
        EndLoans(key->mId);
      }
    }
    ++offset;
  }
  mBatchEnd = offset;
  mBatch.RemoveNext();
  if (mBatch.IsEmpty()) {
    CompleteBatch();
  }
}

void
Cell::CompleteBatch()
{
  const TimePoint now = mClock.Now();
  mNextFlushAt = std::max(now, mBatchSentAt + mBudget.mFlushInterval);
  mFlushSeconds.Record(
    std::chrono::duration<double>(now - mBatchSentAt).count());
  mDispatcher->OnDurable(mBatchNumber, now);
  mWorkerDeletions.clear();
  for (const auto& [id, transfer] : mTransfersInBatch) {
    if (!transfer.mIsDelivered) {
      mTransfersToSend.emplace(id, mBatchEnd);
    }
  }
  mTransfersInBatch.clear();
  for (const auto& [id, loan] : mLoansInBatch) {
    if (!loan.mIsDelivered) {
      mLoansToSend.emplace(id, mBatchEnd);
    }
  }
  mLoansInBatch.clear();
}

bool
Cell::IsRemovable(const std::string& aJobId, TimePoint aNow)
{
  // Otherwise nobody would tell the other cells that the job has ended.
  if (HasCopiesToSend(aJobId)) {
    return false;
  }
  const auto job = mJobs.Find(aJobId);
  if (job && jobs::IsFinal(job->State()) &&
      !HasRetentionPassed(aJobId, *job, aNow)) {
    return false;
  }
  const jobs::Submission* submission = job ? job->KnownSubmission() : nullptr;
  if (submission == nullptr ||
      (job->mBorrowed.empty() && IsHomeOf(*submission))) {
    return true;
  }
  // A late copy of the job or of the loan must find the cancellation.
  const TimePoint removableAt =
    mCopiesRemovableAt.emplace(aJobId, aNow + kMaxLateAppend).first->second;
  return aNow >= removableAt;
}

bool
Cell::HasRetentionPassed(const std::string& aJobId,
                         const jobs::JobEntry& aJob,
                         TimePoint aNow)
{
  // A late append of the submission must find the records.
  const Duration retention =
    std::max(mOptions.mFinalJobRetention + kMaxClockDifference, kMaxLateAppend);
  const std::int64_t nowMs = mWallClock.NowMs();
  const std::int64_t endedMs = aJob.mProgress.mEndedMs;
  if (endedMs > 0 && endedMs <= nowMs + ToMs(kMaxClockDifference)) {
    return nowMs - endedMs >= ToMs(retention);
  }
  const TimePoint seenAt =
    mUntimedEndsSeenAt.emplace(aJobId, aNow).first->second;
  return aNow - seenAt >= retention;
}

std::vector<LogRecord>
Cell::DeletionsOf(const std::string& aJobId) const
{
  std::vector<LogRecord> deletions;
  for (const auto& it : mJobs.ListRanges(aJobId)) {
    deletions.push_back({ jobs::FormatTaskRangeKey(aJobId, it), "", 0 });
  }
  const auto job = mJobs.Find(aJobId);
  if (job) {
    for (const auto& [part, loan] : job->mLoans) {
      deletions.push_back(
        { jobs::FormatPartKey(jobs::RecordKind::Loan, aJobId, part), "", 0 });
    }
    for (const auto& [part, tasks] : job->mBorrowed) {
      deletions.push_back(
        { jobs::FormatPartKey(jobs::RecordKind::Borrowed, aJobId, part),
          "",
          0 });
    }
  }
  for (const auto kind : { jobs::RecordKind::Transfer,
                           jobs::RecordKind::Progress,
                           jobs::RecordKind::Cancellation,
                           jobs::RecordKind::Submission }) {
    deletions.push_back({ jobs::FormatRecordKey(kind, aJobId), "", 0 });
  }
  return deletions;
}

void
Cell::UpdateLoneCancellations(TimePoint aNow)
{
  if (aNow < mNextCancellationCheckAt) {
    return;
  }
  mNextCancellationCheckAt = aNow + kCleanupInterval;
  std::map<std::string, TimePoint> seenAt;
  for (auto& id : mJobs.ListLoneCancellations()) {
    const auto known = mLoneCancellationsSeenAt.find(id);
    const TimePoint at =
      known != mLoneCancellationsSeenAt.end() ? known->second : aNow;
    seenAt.emplace(std::move(id), at);
  }
  mLoneCancellationsSeenAt = std::move(seenAt);
}

std::vector<std::string>
Cell::ListOldCancellations(TimePoint aNow) const
{
  // The submission may be among the records that have not been read.
  if (mStartsHeldAt) {
    return {};
  }
  std::vector<std::string> ids;
  for (const auto& [id, seenAt] : mLoneCancellationsSeenAt) {
    const auto job = mJobs.Find(id);
    if (aNow - seenAt > kLoneCancellationRetention && job &&
        job->mIsCancelled && !job->IsKnown()) {
      ids.push_back(id);
    }
  }
  return ids;
}

void
Cell::RemoveOldCancellations(TimePoint aNow)
{
  // An append under way would move the end of the journal.
  if (aNow < mNextCancellationRemovalAt || mIsFlushInFlight) {
    return;
  }
  const auto ids = ListOldCancellations(aNow);
  if (ids.empty()) {
    mNextCancellationRemovalAt = aNow + kCleanupInterval;
    return;
  }
  mNextCancellationRemovalAt = aNow + kCancellationRemovalPause;
  AppendRequest request;
  request.mStream = PartitionOf(mOptions.mJournal, mOptions.mIndex);
  // A copy of the job, or of tasks of it, that has been stored since the last
  // read needs the cancellation.
  request.mExpectedEnd = mJournalReader.NextOffset();
  for (const auto& id : ids) {
    if (request.mRecords.size() < kMaxJobsPerCleanup) {
      request.mRecords.push_back(
        { jobs::FormatRecordKey(jobs::RecordKind::Cancellation, id), "", 0 });
    }
  }
  mLog.Append(request, aNow + kFlushTimeout, [](const AppendResult& aResult) {
    if (aResult.mOutcome != LogOutcome::Done &&
        aResult.mOutcome != LogOutcome::EndMoved) {
      logging::Write(logging::Level::Warning,
                     "cleanup_failed",
                     { { "outcome", NameOf(aResult.mOutcome) } });
    }
  });
}

void
Cell::RemoveOldJobs()
{
  const TimePoint now = mClock.Now();
  if (now < mNextCleanupAt) {
    return;
  }
  mNextCleanupAt = now + kCleanupInterval;
  auto oldJobs = mJobs.ListFinal(mWallClock.NowMs() - kMinJobAgeMs);
  std::sort(oldJobs.begin(), oldJobs.end());
  for (auto it = mUntimedEndsSeenAt.begin(); it != mUntimedEndsSeenAt.end();) {
    it = std::binary_search(oldJobs.begin(), oldJobs.end(), it->first)
           ? std::next(it)
           : mUntimedEndsSeenAt.erase(it);
  }
  oldJobs.erase(std::remove_if(oldJobs.begin(),
                               oldJobs.end(),
                               [this, now](const std::string& aId) {
                                 return !IsRemovable(aId, now);
                               }),
                oldJobs.end());
  if (oldJobs.empty()) {
    return;
  }
  oldJobs.resize(std::min(oldJobs.size(), kMaxJobsPerCleanup));
  AppendRequest request;
  request.mStream = PartitionOf(mOptions.mJournal, mOptions.mIndex);
  const std::size_t limit =
    std::min(kTargetAppendBytes, mOptions.mLogLimits.mMaxAppendBytes);
  std::size_t bytes = 0;
  for (const auto& id : oldJobs) {
    std::vector<LogRecord> deletions = DeletionsOf(id);
    for (const auto& it : deletions) {
      bytes += kRecordLengthBytes + SizeOf(it);
    }
    // The other jobs follow in the next cleanup.
    if (bytes > limit && !request.mRecords.empty()) {
      break;
    }
    std::move(
      deletions.begin(), deletions.end(), std::back_inserter(request.mRecords));
  }
  mLog.Append(request, now + kFlushTimeout, [](const AppendResult& aResult) {
    if (aResult.mOutcome != LogOutcome::Done) {
      logging::Write(logging::Level::Warning,
                     "cleanup_failed",
                     { { "outcome", NameOf(aResult.mOutcome) } });
    }
  });
}

} // namespace skylarkhill::node
