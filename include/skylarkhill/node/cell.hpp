#ifndef SKYLARKHILL_NODE_CELL_HPP
#define SKYLARKHILL_NODE_CELL_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/cells/cell_load.hpp"
#include "skylarkhill/cells/cell_map.hpp"
#include "skylarkhill/cells/transfer_policy.hpp"
#include "skylarkhill/dispatch/dispatcher.hpp"
#include "skylarkhill/dispatch/worker.hpp"
#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/jobs/job_table.hpp"
#include "skylarkhill/journal/wall_clock.hpp"
#include "skylarkhill/metrics/registry.hpp"
#include "skylarkhill/node/job_service.hpp"
#include "skylarkhill/node/leadership.hpp"
#include "skylarkhill/node/log_budget.hpp"
#include "skylarkhill/node/log_stream_reader.hpp"
#include "skylarkhill/node/loop_profile.hpp"
#include "skylarkhill/node/record_batch.hpp"
#include "skylarkhill/node/record_decoder.hpp"
#include "skylarkhill/node/shared_log.hpp"
#include "skylarkhill/node/successor_ranking.hpp"
#include "skylarkhill/node/worker_client.hpp"
#include "skylarkhill/node/worker_registry.hpp"

#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace skylarkhill::node {

/// Maximum age of the last read of an instance that reports ready.
inline constexpr base::Duration kMaxReadAge = std::chrono::milliseconds(4000);

/// Loads that the leaders of the cells publish, by cell; empty if unknown.
using CellLoads = std::vector<std::optional<cells::CellLoad>>;

struct CellOptions
{
  int mIndex = 0;
  int mCellCount = 1;
  /// Differs between instances and between restarts of one instance.
  std::string mInstanceId;
  /// Processors that this process may use; may be a fraction.
  double mProcessors = 1.0;
  /// The workers of the cell are in the failure domain of this instance.
  bool mIsInDomain = true;
  /// Topic of the journals; the partition is mIndex, like that of mLeader.
  LogStream mJournal;
  LogStream mLeader;
  LogLimits mLogLimits;
  dispatch::DispatchLimits mLimits;
  /// See NodeOptions.
  base::Duration mMaxCancellationDelay = std::chrono::milliseconds(3000);
  base::Duration mMaxDrainDelay = std::chrono::milliseconds(2000);
  base::Duration mFinalJobRetention = std::chrono::seconds(120);
  base::Duration mMaxCountAge = std::chrono::milliseconds(4000);
};

/// What the cells of an instance share.
struct CellServices
{
  AsyncLog& mLog;
  BlockingLog& mBlockingLog;
  const RecordDecoder& mDecoder;
  const base::Clock& mClock;
  const journal::WallClock& mWallClock;
  LoopProfile& mProfile;
  metrics::Registry& mMetrics;
  const WorkerRegistry& mRegistry;
  CellLoads& mLoads;
  const cells::CellMap& mMap;
  const SuccessorSource& mSuccessors;
};

/// The jobs that the journal of a cell has.
class JournalJobs : public dispatch::JobDirectory
{
public:
  /// `aJobs` must outlive this object.
  explicit JournalJobs(const jobs::JobTable& aJobs)
    : mJobs(aJobs)
  {
  }

  bool MayHaveRun(const std::string& aJobId) const override
  {
    return mJobs.MayHaveRun(aJobId);
  }

private:
  const jobs::JobTable& mJobs;
};

/// One cell as this instance sees it: follows the journal of the cell and,
/// while the instance leads the cell, dispatches its jobs to its workers. Not
/// thread-safe: used on the call loop's thread only, except for the job
/// service.
class Cell
{
public:
  Cell(CellOptions aOptions,
       const CellServices& aServices,
       WorkerClient& aWorkerClient);
  ~Cell();
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  /// Runs all work that is due. `aResumedAt` is when this process last resumed
  /// after a pause; `aOtherCells` is how many other cells this instance leads,
  /// `aOtherClaims` how many it is claiming.
  void Tick(base::TimePoint aResumedAt, int aOtherCells, int aOtherClaims);
  /// Sets how often the cell calls the log.
  void SetBudget(const LogBudget& aBudget);
  /// If false, this instance reads the streams of the cell only while it leads
  /// a cell. Takes effect at the next Tick.
  void SetFollower(bool aIsFollower);
  /// Number of followers that claim the cell before this instance.
  void SetRank(int aRank) { mRank = aRank; }
  bool IsFollower() const { return mIsFollower; }
  /// When to call Tick next if no event arrives before.
  base::TimePoint NextTickAt() const;
  /// Gives up the leadership before the process stops. Stops calling workers at
  /// once; Tick stores the last records of the term and then the resignation.
  void Resign();

  /// A worker of this cell has been registered or has changed.
  void OnWorker(const RegisteredWorker& aWorker);
  /// The registry or the cell has lost the worker.
  void OnWorkerGone(const std::string& aWorkerId);
  /// The instance stops following the registry.
  void ForgetRegistry();
  /// True if this instance leads the cell, or could claim it soon.
  bool NeedsRegistry() const;

  JobService& GetJobService() { return mJobService; }
  std::size_t JobCount() const { return mJobs.Size(); }
  /// True while this instance leads the cell or prepares to.
  bool IsLeading() const { return mEpoch != 0; }
  /// True from the time when a claim is sent until it fails or the instance
  /// leads.
  bool IsClaiming() const
  {
    return mEpoch == 0 && (mLeadership.IsLeader() || mLeadership.IsClaiming());
  }
  /// True from the time when the dispatcher knows all open jobs to the end of
  /// the term.
  bool IsDispatching() const
  {
    return mDispatcher != nullptr && mJobsToAdd.empty();
  }
  /// True if the journal has been read recently.
  bool IsUpToDate() const;
  /// Newest epoch of the cell.
  std::int64_t NewestEpoch() const;
  /// Id of the instance that leads the cell, as far as this one has read; empty
  /// if there is none.
  std::string LeaderId() const;
  /// The instance may lead soon: until then it follows the registry and reads
  /// the leader stream without pauses.
  void PrepareToLead(base::TimePoint aUntil);
  /// See Leadership.
  std::optional<base::TimePoint> ResignationSeenAt() const
  {
    return mLeadership.ResignationSeenAt();
  }
  bool HasLeft(const std::string& aInstanceId) const
  {
    return mLeadership.HasLeft(aInstanceId);
  }
  /// No claim of this instance uses this epoch or a lower one.
  void SetMinEpoch(std::int64_t aEpoch) { mLeadership.SetMinEpoch(aEpoch); }

private:
  /// Job id and RecordKey::mPart of a loan.
  using LoanId = std::pair<std::string, std::string>;

  /// A loan that the published load of its target may not contain.
  struct PendingLoan
  {
    int mTarget = 0;
    std::string mPool;
    int mCount = 0;
    /// Offset of the copy, with its cancellation if there is one, in the
    /// journal of the target, once it is stored.
    std::optional<std::int64_t> mOffset;
  };

  struct KnownWorker
  {
    dispatch::WorkerEntry mEntry;
    /// Encoded registry record of the worker.
    std::string mRecord;
    bool mIsRegistered = true;
    /// Since when the worker is missing from the registry, as far as this
    /// instance knows; empty if it has read no listing since it last began to
    /// follow the registry.
    std::optional<base::TimePoint> mUnregisteredAt;
  };

  /// The newest record of a worker in the journal.
  struct JournaledWorker
  {
    std::int64_t mOffset = -1;
    /// Address of the worker; empty if the record is a deletion.
    std::string mAddress;
    /// Offset of the newest WorkerLeaseRecord or its deletion.
    std::int64_t mLeaseOffset = -1;
    /// WorkerLeaseRecord::mEpoch; 0 if there is no such record,
    /// kUnreadableEpoch if it cannot be read.
    std::int64_t mLeaseEpoch = 0;
    base::TimePoint mLeaseEndsAt;
    /// When this instance has read the first of the records that follow each
    /// other without a deletion: no leader has heard the worker since.
    base::TimePoint mSilentSince;
    /// The record says that the lease has ended.
    bool mHasLeaseEnded = false;
    /// See WorkerLeaseRecord.
    std::optional<std::int64_t> mIdleIncarnationStartMs;
  };

  /// A stream that a leader must have read recently.
  struct RequiredStream
  {
    const LogStreamReader& mReader;
    const std::string_view mName;
    /// Starts are held back while the last complete read is older.
    base::Duration mMaxAge;
    /// Failed reads in a row after which a leader may hand over.
    int mMinFailedReads = 1;
    /// When the first failed read was sent since the stream was last known
    /// completely, while the log answered all renewals.
    std::optional<base::TimePoint> mFailedReadSentAt;
  };

  /// Starts or stops reading the streams of the cell.
  void UpdateFollowing(int aOtherCells);
  void UpdateLeaderStreamPause();
  void KeepRegistry(base::TimePoint aUntil);
  void SetRetryPauses(base::Duration aPause, base::Duration aMaxRateLimitPause);
  void OnJournalRecord(const LogRecord& aRecord);
  /// Does what follows from a record that was applied to the jobs.
  void HandleJournalRecord(const LogRecord& aRecord);
  /// Applies the newest record of every key. Records of jobs and workers that
  /// are known and missing there have been deleted.
  void OnJournalSnapshot(const std::vector<LogRecord>& aRecords);
  void OnJobRecord(const jobs::RecordKey& aKey, const LogRecord& aRecord);
  /// The journal has a record, or a deletion, of the worker. Called for own
  /// appends once they are stored, and again when they are read.
  void OnJournaledWorker(const std::string& aWorkerId,
                         const LogRecord& aRecord);
  /// Like OnJournaledWorker, for a WorkerLeaseRecord or its deletion.
  void OnWorkerLease(const std::string& aWorkerId, const LogRecord& aRecord);
  /// Applies the record if it is about a worker.
  void ApplyWorkerRecord(const jobs::RecordKey& aKey, const LogRecord& aRecord);
  /// Forgets a worker of which the journal has only deletions, the last of them
  /// at the offset that was read.
  void RemoveJournaledWorker(const std::string& aWorkerId,
                             std::int64_t aReadOffset);
  /// Tells the dispatcher whether it may extend the lease of the worker.
  void UpdateLease(const std::string& aWorkerId);
  /// True if the journal names the worker, perhaps at an earlier address.
  bool IsJournaled(const std::string& aWorkerId) const;
  /// True if the journal names the worker and its address, and the batch does
  /// not delete it.
  bool IsRecorded(const std::string& aWorkerId,
                  const KnownWorker& aWorker) const;
  /// The newest WorkerLeaseRecord of the worker if it holds for the leases that
  /// earlier leaders have granted; otherwise null.
  const JournaledWorker* FindValidLease(const std::string& aWorkerId) const;
  /// Passes the worker to the dispatcher and requests its record if the journal
  /// lacks it.
  void AddToDispatcher(const std::string& aWorkerId,
                       const KnownWorker& aWorker);
  void OnLoad(const std::string& aRecord);
  /// True if a transfer of the job goes into a batch.
  bool IsLeaving(const std::string& aJobId) const;
  /// True if the job was submitted to this cell and not transferred to it.
  bool IsHomeOf(const jobs::Submission& aSubmission) const;
  /// Adds records to the batch for workers that are new to the journal, and
  /// deletions for workers that left the registry long enough ago.
  void AddWorkerRecords();
  /// Stops extending the leases of workers whose last poll has failed and adds
  /// their records to the batch. Adds deletions for those that answer again,
  /// whose leases are extended once these are stored.
  void AddLeaseRecords();
  void AddLeaseRecord(const std::string& aWorkerId, base::TimePoint aEndsAt);
  /// Tells the dispatcher what the valid lease record says of the worker.
  void ApplyLeaseRecord(const std::string& aWorkerId);
  /// See Dispatcher::FindIdleIncarnation. Of a worker that the dispatcher has
  /// removed, what the valid lease record says.
  std::optional<std::int64_t> FindIdleIncarnation(
    const std::string& aWorkerId) const;
  /// Adds the present remaining times of all leases that are not extended to
  /// the batch.
  void RepeatLeaseRecords();
  /// Adds the waiting tasks that have no run.
  void AddIdleRecord();
  /// Those of the former leader, if it has resigned and nobody has led since.
  std::vector<jobs::IdleStep> ReadIdleRecord() const;
  /// Next step of Resign, once the append in flight has been answered.
  void ContinueResignation();
  /// Latest time at which a lease ends that this leader or an earlier one has
  /// granted, if it grants no more; kNoDeadline if that is not known.
  base::TimePoint LeasesEndAt() const;
  void UpdateTerm();
  /// Tracks reads that fail while the log answers.
  void UpdateFailedReads();
  /// True if the log answers, but the stream has not been read for so long that
  /// cancellations or draining workers may be missing.
  bool IsOutdated(const RequiredStream& aStream) const;
  /// Holds back starts while a required stream is outdated.
  void UpdateStarts();
  /// Gives up the leadership if a required stream is outdated and reads of it
  /// fail. Returns true if it does.
  bool HandOverIfOutdated();
  /// Time since the journal was last known completely.
  base::Duration JournalAge() const;
  /// Resets the state of the last term and fences earlier writers.
  void PrepareTerm();
  void EndTerm();
  /// Makes the log refuse journal appends of earlier leaders.
  void FenceEarlierWriters();
  void StartDispatcher();
  /// Passes open jobs of earlier terms to the dispatcher.
  void AddOpenJobs();
  void TickDispatcher(base::TimePoint aNow, base::TimePoint aResumedAt);
  /// Decides whether a new job moves to another cell. Returns true if it does.
  bool TransferOnArrival(const jobs::JobEntry& aJob, base::TimePoint aNow);
  std::optional<cells::Transfer> FindTransfer(
    const jobs::Submission& aSubmission,
    base::Duration aWaited) const;
  void StoreTransfer(const jobs::Submission& aSubmission,
                     const cells::Transfer& aTransfer,
                     base::Duration aWaited);
  /// Decides which unstarted jobs move to other cells.
  void ChooseTransfers(base::TimePoint aNow);
  /// True if the journal has been read up to the offset. A copy that follows
  /// from a record before it then includes each cancellation that was stored by
  /// an instance that could not know of the record.
  bool HasRead(std::int64_t aOffset) const;
  /// Before the first reports of a term, a cell seems to have no room.
  bool IsRoomKnown(base::TimePoint aNow) const;
  /// Copies transferred jobs, and their cancellations, to the journals of their
  /// targets until these have them.
  void SendTransfers(base::TimePoint aNow);
  void OnTransferSent(const std::string& aJobId, const AppendResult& aResult);
  /// Decides which waiting lasting tasks other cells run.
  void ChooseLoans(base::TimePoint aNow);
  /// True if a loan of the job is about to be stored.
  bool IsLending(const std::string& aJobId) const;
  /// Lends tasks of the step to the cell of `aTarget`. Returns false if none
  /// waits any more or the log could not store the loan.
  bool StoreLoan(const jobs::JobEntry& aJob,
                 const dispatch::UnplacedTasks& aTasks,
                 const cells::LoanTarget& aTarget,
                 const std::set<int>& aFormerCells);
  /// The loads of the cells, with the lent tasks that they do not contain yet.
  CellLoads LoadsWithPendingLoans();
  /// Cells that must not borrow tasks of the job from this one.
  std::set<int> FormerCellsOf(const jobs::JobEntry& aJob) const;
  /// Passes the end of the job on to the cells that run tasks of it.
  void EndLoans(const std::string& aJobId);
  /// True if another cell may lack the job, tasks of it, or its end.
  bool HasCopiesToSend(const std::string& aJobId) const;
  /// True if the records of a final job may be deleted.
  bool IsRemovable(const std::string& aJobId, base::TimePoint aNow);
  /// True if callers need not be told the state of a final job any more.
  bool HasRetentionPassed(const std::string& aJobId,
                          const jobs::JobEntry& aJob,
                          base::TimePoint aNow);
  /// Copies lent tasks, and the ends of their jobs, to the journals of their
  /// targets until these have them.
  void SendLoans(base::TimePoint aNow);
  void OnLoanSent(const LoanId& aId, const AppendResult& aResult);
  void Flush();
  /// Sends the next append of the batch.
  void SendBatch();
  void OnAppendStored(std::int64_t aFirstOffset);
  /// All appends of the batch have been stored.
  void CompleteBatch();
  void AddRecord(jobs::RecordKind aKind,
                 std::string_view aId,
                 std::string aValue);
  void AddProgressRecords(const std::string& aJobId,
                          jobs::JobProgress& aProgress);
  /// Removes the checkpoints, so that the record of the tasks becomes smaller.
  void DropCheckpoints(const std::string& aJobId, jobs::StepProgress& aStep);
  /// Deletions of all records of the job, the submission last.
  std::vector<LogRecord> DeletionsOf(const std::string& aJobId) const;
  /// Adds the interference estimates to the batch.
  void AddModelRecord(base::TimePoint aNow);
  /// Ids of jobs of which the journal has nothing but a cancellation that no
  /// submission can follow any more.
  std::vector<std::string> ListOldCancellations(base::TimePoint aNow) const;
  /// Notes when each cancellation without a submission was first seen.
  void UpdateLoneCancellations(base::TimePoint aNow);
  /// Removes the cancellations that no submission can follow any more, unless
  /// the journal has records that this leader has not read.
  void RemoveOldCancellations(base::TimePoint aNow);
  void RemoveOldJobs();

  const CellOptions mOptions;
  AsyncLog& mLog;
  WorkerClient& mWorkerClient;
  const RecordDecoder& mDecoder;
  const base::Clock& mClock;
  const journal::WallClock& mWallClock;
  LoopProfile& mProfile;
  metrics::Registry& mMetrics;
  const LogStreamReader& mRegistryReader;
  CellLoads& mLoads;
  const cells::CellMap& mMap;
  const SuccessorSource& mSuccessors;
  metrics::Distribution& mFlushSeconds;
  metrics::Counter& mTransfersCount;
  metrics::Counter& mLentTasksCount;
  metrics::Counter& mDroppedCheckpoints;

  LogBudget mBudget;
  bool mIsFollower = true;
  int mRank = 0;
  jobs::JobTable mJobs;
  const JournalJobs mJournalJobs{ mJobs };
  LogStreamReader mJournalReader;
  std::atomic<std::int64_t> mNextJournalOffset{ kJournalNotLoaded };
  JobService mJobService;
  Leadership mLeadership;
  std::map<std::string, KnownWorker> mWorkers;
  /// By worker id. A leader that starts while the registry is incomplete polls
  /// these workers as well.
  std::map<std::string, JournaledWorker> mJournaledWorkers;
  /// Ids of workers of the dispatcher whose records go into the next batch.
  std::set<std::string> mWorkersToRecord;
  /// Ids of workers whose deletions are in the batch.
  std::set<std::string> mWorkerDeletions;
  /// Ids of workers for which the journal may have a WorkerLeaseRecord, of this
  /// term or an earlier one, so that their leases must not be extended.
  std::set<std::string> mUnextendedWorkers;
  /// When the leadership is given up at the latest; empty: no resignation is in
  /// progress.
  std::optional<base::TimePoint> mResignBy;
  /// Resign was called: this instance claims the cell no more.
  bool mIsStopping = false;
  bool mHasAddedLastRecords = false;
  base::TimePoint mNextLeaseCheckAt;
  base::TimePoint mNextWorkerCheckAt;
  base::TimePoint mRegistryNeededUntil;
  /// Argument of the last PrepareToLead.
  base::TimePoint mPreparedUntil;

  /// Epoch of the term that this instance leads or prepares; 0: none.
  std::int64_t mEpoch = 0;
  bool mAreEarlierWritersFenced = false;
  base::TimePoint mEarlierWritersFencedAt;
  bool mIsFlushInFlight = false;
  base::TimePoint mNextFlushAt;
  /// Sequence number of the last append that was stored in this term.
  std::int64_t mSequence = 0;
  /// The batch that is being stored.
  RecordBatch mBatch;
  std::uint64_t mBatchNumber = 0;
  /// Next offset after the records of the batch that have been stored.
  std::int64_t mBatchEnd = 0;
  base::TimePoint mBatchSentAt;
  std::unique_ptr<dispatch::Dispatcher> mDispatcher;
  /// Open jobs that the dispatcher of this term does not know yet.
  std::set<std::string> mJobsToAdd;
  base::TimePoint mNextCleanupAt;
  std::array<RequiredStream, 2> mRequiredStreams;
  std::optional<base::TimePoint> mStartsHeldAt;
  /// Newest record of the interference estimates in the journal.
  std::string mModelRecord;
  /// Newest record of the idle tasks in the journal.
  std::string mIdleRecord;
  base::TimePoint mNextModelAt;

  /// Until when workers may take to answer the first polls of this term.
  base::TimePoint mFirstReportsUntil;
  base::TimePoint mNextTransferCheckAt;
  base::TimePoint mNextLoadAt;
  /// Transfers that go into the next batch.
  std::vector<std::pair<std::string, jobs::JobTransfer>> mTransfersToStore;
  /// Transfers in the batch that is being stored.
  std::vector<std::pair<std::string, jobs::JobTransfer>> mTransfersInBatch;
  /// By id of a job that must be copied to its target: the offset up to which
  /// this leader must have read its journal before.
  std::map<std::string, std::int64_t> mTransfersToSend;
  /// Transfers whose copy awaits a response.
  std::set<std::string> mTransfersInFlight;
  base::TimePoint mNextTransferAt;

  base::TimePoint mNextLoansAt;
  base::TimePoint mNextLoanCopyAt;
  base::TimePoint mNextUnplacedLogAt;
  /// Loans that go into the next batch.
  std::vector<std::pair<LoanId, jobs::TaskLoan>> mLoansToStore;
  /// Loans in the batch that is being stored.
  std::vector<std::pair<LoanId, jobs::TaskLoan>> mLoansInBatch;
  /// Loans that must be copied to their targets, like mTransfersToSend.
  std::map<LoanId, std::int64_t> mLoansToSend;
  /// Loans whose copy awaits a response.
  std::set<LoanId> mLoansInFlight;
  std::map<LoanId, PendingLoan> mPendingLoans;
  /// Ids of jobs whose end this leader has passed on.
  std::set<std::string> mEndedLoans;
  /// By job id: when the records of a final job that other cells have copied to
  /// this one may be deleted.
  std::map<std::string, base::TimePoint> mCopiesRemovableAt;
  /// By job id: when this instance first took a final job for old, whose time
  /// of the end is unknown.
  std::map<std::string, base::TimePoint> mUntimedEndsSeenAt;
  /// Cancellations without a submission, and when this instance first listed
  /// them, by a clock of its own: those of other instances may differ.
  std::map<std::string, base::TimePoint> mLoneCancellationsSeenAt;
  base::TimePoint mNextCancellationCheckAt;
  base::TimePoint mNextCancellationRemovalAt;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_CELL_HPP
