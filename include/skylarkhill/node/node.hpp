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
#include "skylarkhill/node/route_table.hpp"
#include "skylarkhill/node/shared_log.hpp"
#include "skylarkhill/node/stream_tail.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkhill::node {

/// Streams that a node follows. The first two are written by others.
struct NodeStreams
{
  LogStream mConfiguration;
  LogStream mWorkers;
  LogStream mJournal;
  LogStream mLeader;
};

/// Decodes the records that others write.
class RecordDecoder
{
public:
  virtual ~RecordDecoder() = default;
  /// The routes, or nothing if the record is not a configuration or malformed.
  virtual std::shared_ptr<const RouteTable> DecodeRoutes(
    const LogRecord& aRecord) const = 0;
  /// The worker, or nothing if the record names none that may be used.
  virtual std::optional<dispatch::WorkerEntry> DecodeWorker(
    const LogRecord& aRecord) const = 0;
};

/// Orders to workers under the fencing token of a term; outcomes go to
/// `aDispatcher`. Belongs to the thread of the call loop.
class WorkerCalls : public dispatch::CallSink
{
public:
  /// Ends a term: outcomes that are still to come are dropped.
  virtual void Detach() = 0;
  virtual void Attach(std::int64_t aEpoch,
                      dispatch::Dispatcher& aDispatcher) = 0;
};

struct NodeOptions
{
  std::string mHolder;
  /// Share of a processor that this process may use.
  double mProcessorShare = 1.0;
  NodeStreams mStreams;
  dispatch::DispatchLimits mLimits;
};

/// The part of an entry instance that follows the log and, while it leads,
/// dispatches tasks. Belongs to the thread of the call loop but for the
/// functions marked otherwise.
class Node
{
public:
  Node(NodeOptions aOptions,
       SharedLog& aLog,
       BlockingLog& aBlockingLog,
       WorkerCalls& aCalls,
       const RecordDecoder& aDecoder,
       const base::Clock& aClock,
       const journal::WallClock& aWallClock,
       metrics::Registry& aMetrics);
  ~Node();

  /// Does everything that is due.
  void Poll();
  /// When Poll is due without an event before it.
  base::TimePoint NextPollAt() const;
  /// Hands the leadership over before a stop.
  void Resign();

  JobService& Service() { return mService; }
  /// True if callers are served. Thread-safe.
  bool IsReady() const { return mIsReady; }
  bool IsLeader() const { return mDispatcher != nullptr; }

private:
  struct KnownWorker
  {
    dispatch::WorkerEntry mEntry;
    /// The registry record of the entry.
    std::string mRecord;
    bool mIsListed = true;
    base::TimePoint mUnlistedAt;
  };

  void OnConfiguration(const LogRecord& aRecord);
  void OnWorkers(const std::vector<LogRecord>& aRecords);
  void OnWorker(const LogRecord& aRecord);
  void UnlistWorker(const std::string& aWorkerId);
  void OnJournal(const LogRecord& aRecord);
  void OnJournaledWorker(const std::string& aWorkerId,
                         const std::string& aRecord);
  /// Adds the workers that the journal does not list, or should no longer
  /// list, to the batch.
  void AddWorkerRecords();
  void FollowLeadership();
  void BeginTerm();
  void EndTerm();
  void FenceJournal();
  void StartDispatcher();
  void Flush();
  void SendBatch();
  /// Shows the batch that has become durable to callers of this node.
  void ApplyBatch(std::int64_t aFirstOffset);
  void RemoveOldJobs();
  void UpdateReadiness();

  const NodeOptions mOptions;
  SharedLog& mLog;
  WorkerCalls& mCalls;
  const RecordDecoder& mDecoder;
  const base::Clock& mClock;
  const journal::WallClock& mWallClock;
  metrics::Registry& mMetrics;
  metrics::Gauge& mLeading;
  metrics::Gauge& mJobCount;
  metrics::Distribution& mFlushSeconds;

  jobs::JobTable mJobs;
  StreamTail mConfigurationTail;
  StreamTail mWorkerTail;
  StreamTail mJournalTail;
  std::atomic<std::int64_t> mJournalNext{ kNotLoaded };
  JobService mService;
  Leadership mLeadership;
  std::map<std::string, KnownWorker> mWorkers;
  /// Workers that the journal lists: a leader that starts while the registry
  /// is incomplete has to ask these as well.
  std::set<std::string> mJournaledWorkers;
  std::atomic<bool> mIsReady{ false };
  base::TimePoint mPolledAt;
  /// When this process last continued after a pause.
  base::TimePoint mResumedAt;

  /// The term that is being prepared or led.
  std::int64_t mEpoch = 0;
  bool mIsJournalFenced = false;
  base::TimePoint mJournalFencedAt;
  bool mIsFlushInFlight = false;
  base::TimePoint mNextFlushAt;
  std::int64_t mSequence = 0;
  /// Records of the batch that is on its way, for repeats.
  AppendRequest mBatchRequest;
  bool mIsBatchUnsaved = false;
  std::uint64_t mBatch = 0;
  base::TimePoint mBatchSentAt;
  std::unique_ptr<dispatch::Dispatcher> mDispatcher;
  base::TimePoint mNextCleanupAt;
  /// The newest model record of the journal.
  std::string mModelRecord;
  base::TimePoint mNextModelAt;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_NODE_HPP
