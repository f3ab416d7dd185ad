#ifndef SKYLARKHILL_JOURNAL_SITE_STATE_HPP
#define SKYLARKHILL_JOURNAL_SITE_STATE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/journal/age_index.hpp"
#include "skylarkhill/journal/site_record.hpp"
#include "skylarkhill/journal/stream_reader.hpp"
#include "skylarkhill/requests/key_table.hpp"
#include "skylarkhill/tasks/task_table.hpp"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace skylarkhill::journal {

struct SiteStateOptions
{
  std::size_t mShards = 16;
  /// How long the platform retains records, in milliseconds.
  std::int64_t mRetentionMs = 24LL * 3600 * 1000;
  /// Maximum number of tasks and keys in one exported page.
  std::size_t mRecordsPerPage = 500;
};

/// Part of the state of a shard, exported for a peer. All pages of a shard are
/// exported at the same offset.
struct StatePage
{
  std::int64_t mShard = 0;
  /// Newest offset that the shard's state reflects.
  Offset mAppliedThrough = -1;
  /// Encoded TaskSnapshotRecords and KeySnapshotRecords, tombstones included.
  std::vector<std::string> mRecords;
  /// Encoded records of unknown tasks and keys, with their offsets.
  std::vector<std::pair<Offset, std::string>> mUnmatched;
};

/// State that a peer needs in addition to the pages. Exported before them.
struct StateHeader
{
  std::int64_t mShards = 0;
  /// Records before this offset may be missing from the state.
  Offset mHorizon = 0;
  Offset mFirstRetained = 0;
  ReaderState mReader;
  std::deque<AgeIndex::Sample> mAgeSamples;
};

/// Counters of SiteState.
struct SiteStateCounts
{
  std::int64_t mAppliedRecords = 0;
  std::int64_t mUndecodableRecords = 0;
  /// Ignored snapshots, accepts and intents: the position of their writer was
  /// too old.
  std::int64_t mStaleRecords = 0;
  std::size_t mUnfinishedTasks = 0;
  std::size_t mQueuedTasks = 0;
  std::size_t mEndedTasks = 0;
  std::size_t mClaimedKeys = 0;
  std::size_t mFinishedKeys = 0;
};

/// The tasks and keys that result from the records of the `site` stream,
/// sharded by the hash of the id. Only one thread may call ApplyPage; all other
/// functions are thread-safe.
class SiteState
{
public:
  explicit SiteState(SiteStateOptions aOptions);

  /// Applies the batches in order and wakes up the waiting threads.
  void ApplyPage(const PageResult& aPage, std::int64_t aNowMs);
  /// Reports that everything appended before `aCaughtUpTime` has been applied.
  void SetCaughtUp(base::TimePoint aCaughtUpTime);

  /// Offset of the next record to apply.
  Offset NextOffset() const;
  /// Newest applied and first retained offset, for the batches that the
  /// instance writes.
  WriterPosition GetWriterPosition() const;
  base::TimePoint CaughtUpTime() const;
  /// True once the end of the stream was reached or a peer's state was
  /// imported, until a gap is found.
  bool IsReady() const;

  /// Waits until the record at `aOffset` was applied; false if `aDeadline`
  /// passed first.
  bool WaitUntilApplied(Offset aOffset,
                        const base::Clock& aClock,
                        base::TimePoint aDeadline) const;
  /// Waits until everything appended before `aCaughtUpTime` was applied; false
  /// if `aDeadline` passed first.
  bool WaitUntilCaughtUp(base::TimePoint aCaughtUpTime,
                         const base::Clock& aClock,
                         base::TimePoint aDeadline) const;

  /// False if an accept record would create the task.
  bool IsTaskKnown(const base::TaskId& aTask) const;
  std::optional<tasks::TaskSnapshot> FindTask(const base::TaskId& aTask) const;
  /// Up to `aLimit` queued tasks: urgent ones first, then in order of
  /// acceptance and of id.
  std::vector<tasks::QueuedTask> Queued(std::size_t aLimit) const;
  std::vector<tasks::LiveAttempt> LiveAttemptsOn(
    const base::WorkerId& aWorker) const;
  /// Workers with at least one live attempt, in order of id.
  std::vector<base::WorkerId> WorkersWithLiveAttempts() const;
  std::map<std::string, tasks::TeamCommitment> TeamCommitments() const;
  requests::KeySnapshot FindKey(const base::RequestId& aKey) const;
  std::vector<base::RequestId> ClaimedBy(
    const base::InstanceId& aInstance) const;
  SiteStateCounts Counts() const;
  std::uint64_t UnfinishedDigest() const;

  /// Up to `aLimit` unfinished tasks per shard whose state depends on records
  /// that are at least `aAgeMs` old; in each shard the oldest first.
  std::vector<tasks::TaskReplayOffset> TasksToSnapshot(
    std::int64_t aAgeMs,
    std::int64_t aNowMs,
    std::size_t aLimit) const;
  std::vector<requests::KeyReplayOffset> KeysToSnapshot(
    std::int64_t aAgeMs,
    std::int64_t aNowMs,
    std::size_t aLimit) const;
  std::int64_t AgeOf(Offset aOffset, std::int64_t aNowMs) const;
  /// Snapshot to append to the log; nullopt if the task has ended or is
  /// unknown.
  std::optional<TaskSnapshotRecord> SnapshotTask(
    const base::TaskId& aTask) const;
  /// Snapshot to append to the log; nullopt if the key is not claimed.
  std::optional<KeySnapshotRecord> SnapshotKey(
    const base::RequestId& aKey) const;

  /// `aReader` must be exported before the pages.
  StateHeader ExportHeader(ReaderState aReader) const;
  /// All pages of one shard.
  std::vector<StatePage> ExportShard(std::size_t aShard) const;
  std::size_t CountShards() const { return mShards.size(); }

  /// Replaces the state with that of a peer. InvalidArgument if a page is
  /// malformed or a shard is missing; the state is then empty.
  base::Result<void> Import(const StateHeader& aHeader,
                            const std::vector<StatePage>& aPages);

private:
  struct Tables
  {
    tasks::TaskTable mTasks;
    requests::KeyTable mKeys;
  };

  struct Shard
  {
    mutable std::mutex mMutex;
    std::unique_ptr<Tables> mTables = std::make_unique<Tables>();
    Offset mAppliedThrough = -1;
  };

  std::size_t ShardIndexFor(std::string_view aId) const;
  const Shard& ShardOf(std::string_view aId) const;
  void Clear(Offset aFirstOffset);
  void RaiseHorizon(Offset aHorizon);
  void ApplyBatch(const ReadBatch& aBatch);
  void ApplyToShard(Shard& aShard,
                    const ReadBatch& aBatch,
                    const std::vector<SiteRecord>& aRecords);
  void ApplyRecord(Tables& aTables,
                   const ReadBatch& aBatch,
                   const SiteRecord& aRecord) const;
  static void ApplyStaleRecord(Tables& aTables,
                               Offset aOffset,
                               const SiteRecord& aRecord);
  bool IsStale(const Batch& aBatch,
               Offset aOffset,
               const SiteRecord& aRecord) const;
  base::Result<void> ImportPage(const StatePage& aPage);
  template<typename Function>
  void ForEachShard(Function aFunction) const;
  template<typename Ready>
  bool WaitUntil(Ready aReady,
                 const base::Clock& aClock,
                 base::TimePoint aDeadline) const;

  SiteStateOptions mOptions;
  std::vector<std::unique_ptr<Shard>> mShards;

  /// Guards the members below; never locked together with the mutex of a shard.
  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  Offset mNextOffset = 0;
  /// Records before this offset may be missing from the state: they expired
  /// before the reader started, or their tombstones were removed. Depends only
  /// on the start offset and the batches, so that all readers with the same
  /// start agree. Written by the applying thread only.
  Offset mHorizon = 0;
  Offset mFirstRetained = 0;
  base::TimePoint mCaughtUpTime = base::TimePoint::min();
  bool mIsReady = false;
  AgeIndex mAgeIndex;

  std::atomic<std::int64_t> mAppliedRecords{ 0 };
  std::atomic<std::int64_t> mUndecodableRecords{ 0 };
  std::atomic<std::int64_t> mStaleRecords{ 0 };
};

} // namespace skylarkhill::journal

#endif // SKYLARKHILL_JOURNAL_SITE_STATE_HPP
