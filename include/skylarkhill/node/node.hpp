#ifndef SKYLARKHILL_NODE_NODE_HPP
#define SKYLARKHILL_NODE_NODE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/dispatch/dispatcher.hpp"
#include "skylarkhill/dispatch/worker.hpp"
#include "skylarkhill/jobs/job_table.hpp"
#include "skylarkhill/journal/wall_clock.hpp"
#include "skylarkhill/metrics/registry.hpp"
#include "skylarkhill/node/job_service.hpp"
#include "skylarkhill/node/leadership.hpp"
#include "skylarkhill/node/log_stream_reader.hpp"
#include "skylarkhill/node/loop_profile.hpp"
#include "skylarkhill/node/route_table.hpp"
#include "skylarkhill/node/shared_log.hpp"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkhill::node {

/// Streams that a node follows. The platform writes the first two.
struct NodeStreams
{
  LogStream mConfiguration;
  LogStream mWorkers;
  LogStream mJournal;
  LogStream mLeader;
};

/// Decodes the records that the platform writes.
class RecordDecoder
{
public:
  virtual ~RecordDecoder() = default;
  /// nullptr if the record is not a configuration or is malformed. Malformed
  /// members of a route are replaced by defaults.
  virtual std::shared_ptr<const RouteTable> DecodeRoutes(
    const LogRecord& aRecord) const = 0;
  /// Empty if the record is malformed or the worker is in an unknown state.
  virtual std::optional<dispatch::WorkerEntry> DecodeWorker(
    const LogRecord& aRecord) const = 0;
};

/// Makes the dispatcher's calls to workers, with the epoch of the current term
/// as the fencing token. Not thread-safe: used on the call loop's thread only.
class WorkerClient : public dispatch::CallSink
{
public:
  /// Called at the end of a term; the outcomes of calls in flight are dropped.
  virtual void ClearDispatcher() = 0;
  /// Called when the dispatcher of a term starts; outcomes are passed to it.
  virtual void SetDispatcher(std::int64_t aEpoch,
                             dispatch::Dispatcher& aDispatcher) = 0;
};

struct NodeOptions
{
  /// Differs between instances and between restarts of one instance.
  std::string mInstanceId;
  /// Processors that this process may use; may be a fraction.
  double mProcessors = 1.0;
  NodeStreams mStreams;
  dispatch::DispatchLimits mLimits;
  /// Time after an acknowledged cancellation from which no task of the job may
  /// be started.
  base::Duration mMaxCancellationDelay = std::chrono::milliseconds(3000);
  /// Time after a worker's entry shows that it drains from which no task may be
  /// started there.
  base::Duration mMaxDrainDelay = std::chrono::milliseconds(2000);
};

/// The part of an entry instance that follows the log and, while it is the
/// leader, dispatches tasks. Not thread-safe: used on the call loop's thread
/// only, except for the functions marked as thread-safe.
class Node
{
public:
  Node(NodeOptions aOptions,
       AsyncLog& aLog,
       BlockingLog& aBlockingLog,
       WorkerClient& aWorkerClient,
       const RecordDecoder& aDecoder,
       const base::Clock& aClock,
       const journal::WallClock& aWallClock,
       LoopProfile& aProfile,
       metrics::Registry& aMetrics);
  ~Node();

  /// Runs all work that is due.
  void Tick();
  /// When to call Tick next if no event arrives before.
  base::TimePoint NextTickAt() const;
  /// Gives up the leadership before the process stops.
  void Resign();

  JobService& GetJobService() { return mJobService; }
  /// True if this instance can serve callers. Thread-safe.
  bool IsReady() const { return mIsReady; }
  /// True from the time when the dispatcher knows all open jobs to the end of
  /// the term.
  bool IsDispatching() const
  {
    return mDispatcher != nullptr && mJobsToAdd.empty();
  }

private:
  struct KnownWorker
  {
    dispatch::WorkerEntry mEntry;
    /// Encoded registry record of the worker.
    std::string mRecord;
    bool mIsRegistered = true;
    base::TimePoint mUnregisteredAt;
  };

  /// A stream that a leader must have read recently.
  struct RequiredStream
  {
    const LogStreamReader& mReader;
    const std::string& mTopic;
    /// Starts are held back while the last complete read is older.
    base::Duration mMaxAge;
    /// Failed reads in a row after which a leader may hand over.
    int mMinFailedReads = 1;
    /// When the first failed read was sent since the stream was last known
    /// completely, while the log answered all renewals.
    std::optional<base::TimePoint> mFailedReadSentAt;
  };

  void OnConfiguration(const LogRecord& aRecord);
  void OnWorkerSnapshot(const std::vector<LogRecord>& aRecords);
  void OnWorkerRecord(const LogRecord& aRecord);
  void UnregisterWorker(const std::string& aWorkerId);
  void OnJournalRecord(const LogRecord& aRecord);
  void OnJournaledWorker(const std::string& aWorkerId,
                         const std::string& aRecord);
  /// Adds records to the batch for workers that are new to the journal, and
  /// deletions for workers that left the registry long enough ago.
  void AddWorkerRecords();
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
  void TickDispatcher(base::TimePoint aNow);
  void Flush();
  void SendBatch();
  /// Applies the stored batch to the job table, so that callers see it.
  void ApplyBatch(std::int64_t aFirstOffset);
  void RemoveOldJobs();
  void UpdateReadiness();

  const NodeOptions mOptions;
  AsyncLog& mLog;
  WorkerClient& mWorkerClient;
  const RecordDecoder& mDecoder;
  const base::Clock& mClock;
  const journal::WallClock& mWallClock;
  LoopProfile& mProfile;
  metrics::Registry& mMetrics;
  metrics::Gauge& mLeading;
  metrics::Gauge& mJobCount;
  metrics::Distribution& mFlushSeconds;

  jobs::JobTable mJobs;
  LogStreamReader mConfigurationReader;
  LogStreamReader mWorkerReader;
  LogStreamReader mJournalReader;
  std::atomic<std::int64_t> mNextJournalOffset{ kJournalNotLoaded };
  JobService mJobService;
  Leadership mLeadership;
  std::map<std::string, KnownWorker> mWorkers;
  /// Ids of the workers that are recorded in the journal. A leader that starts
  /// while the registry is incomplete polls these workers as well.
  std::set<std::string> mJournaledWorkers;
  std::atomic<bool> mIsReady{ false };
  base::TimePoint mLastTickAt;
  /// NextTickAt at the end of the last Tick.
  base::TimePoint mTickDueAt = base::kNoDeadline;
  base::TimePoint mNextSummaryAt;
  /// When this process last resumed after a pause.
  base::TimePoint mResumedAt;

  /// Epoch of the term that this instance leads or prepares; 0: none.
  std::int64_t mEpoch = 0;
  bool mAreEarlierWritersFenced = false;
  base::TimePoint mEarlierWritersFencedAt;
  bool mIsFlushInFlight = false;
  base::TimePoint mNextFlushAt;
  std::int64_t mSequence = 0;
  /// The batch that is being stored, kept for retries.
  AppendRequest mBatchRequest;
  bool mIsBatchPending = false;
  std::uint64_t mBatchNumber = 0;
  base::TimePoint mBatchSentAt;
  std::unique_ptr<dispatch::Dispatcher> mDispatcher;
  /// Open jobs that the dispatcher of this term does not know yet.
  std::set<std::string> mJobsToAdd;
  base::TimePoint mNextCleanupAt;
  std::array<RequiredStream, 2> mRequiredStreams;
  std::optional<base::TimePoint> mStartsHeldAt;
  /// Newest record of the interference estimates in the journal.
  std::string mModelRecord;
  base::TimePoint mNextModelAt;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_NODE_HPP
