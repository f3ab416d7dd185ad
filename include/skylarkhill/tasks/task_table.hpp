#ifndef SKYLARKHILL_TASKS_TASK_TABLE_HPP
#define SKYLARKHILL_TASKS_TASK_TABLE_HPP

#include "skylarkhill/tasks/string_pool.hpp"
#include "skylarkhill/tasks/task_record.hpp"
#include "skylarkhill/tasks/task_snapshot.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace skylarkhill::tasks {

/// A task that waits for a grant.
struct QueuedTask
{
  base::TaskId mTask;
  std::string mTeam;
  std::string mBatchClass;
  std::string mPool;
  base::Resources mDeclared;
  std::int64_t mDeclaredRunSeconds = 0;
  Offset mAcceptedAt = 0;
  std::int64_t mNextAttempt = 1;
  std::int64_t mEvictions = 0;
  bool mUrgent = false;
  std::vector<base::WorkerId> mFailedWorkers;
};

/// A live attempt on a worker.
struct LiveAttempt
{
  base::TaskId mTask;
  std::int64_t mAttempt = 0;
  TaskState mState = TaskState::Granted;
  bool mCancelRequested = false;
  /// Offset of the grant record.
  Offset mGrantedAt = 0;
};

/// What the live attempts of one team hold.
struct TeamUse
{
  base::Resources mCommitted;
  std::int64_t mLiveAttempts = 0;
};

/// A live task and the offset from which the log alone restores it.
struct TaskReplayOffset
{
  base::TaskId mTask;
  Offset mReplayFrom = 0;
};

/// Deterministic reducer of task records. Not thread-safe.
class TaskTable
{
public:
  TaskTable();
  ~TaskTable();
  TaskTable(const TaskTable&) = delete;
  TaskTable& operator=(const TaskTable&) = delete;

  /// Applies one record; a record that its rule rejects is counted only.
  void Apply(Offset aOffset, const TaskRecord& aRecord);
  /// The same for a record whose writer had read everything before
  /// `aReplayFrom`; an accepted task needs the log from there on.
  void Apply(Offset aOffset, const TaskRecord& aRecord, Offset aReplayFrom);

  /// Remembers a record that must not take effect itself. Its task stays
  /// unknown until a snapshot is applied, if it is unknown now.
  void ApplyStale(Offset aOffset, const TaskRecord& aRecord);

  /// Adds the task in the state it had after `aAsOf`, and applies the records
  /// about it that were read since. The state of a known task is kept.
  void ApplySnapshot(Offset aAsOf, const TaskSnapshot& aSnapshot);

  /// Adds a task or tombstone that was exported by another table.
  void Restore(const TaskSnapshot& aSnapshot, Offset aReplayFrom);

  /// Forgets the tombstone of `aTask` if it has no record at or after
  /// `aFirstRetained`.
  void RemoveTombstone(const base::TaskId& aTask, Offset aFirstRetained);

  /// Removes tombstones without a record at or after `aFirstRetained`.
  void Purge(Offset aFirstRetained);

  /// False if no retained record is about the task, so that an accept record
  /// may create it.
  bool IsKnown(const base::TaskId& aTask) const;
  std::optional<TaskSnapshot> Find(const base::TaskId& aTask) const;
  /// Offset from which the log alone is enough to restore the live task.
  std::optional<Offset> FindReplayOffset(const base::TaskId& aTask) const;
  /// Up to `aLimit` tasks: urgent ones first, then in order of acceptance and
  /// of id.
  std::vector<QueuedTask> Queued(std::size_t aLimit) const;
  /// In order of acceptance, then of id.
  std::vector<LiveAttempt> GrantsOn(const base::WorkerId& aWorker) const;
  std::map<std::string, TeamUse> TeamUses() const;
  /// Workers with at least one live attempt, in order of id.
  std::vector<base::WorkerId> WorkersWithGrants() const;
  /// Up to `aLimit` live tasks with a base before `aBefore`, the oldest base
  /// first.
  std::vector<TaskReplayOffset> OldestReplayOffsets(Offset aBefore,
                                                    std::size_t aLimit) const;
  /// Records about tasks that are not known, in order per task.
  std::vector<std::pair<Offset, TaskRecord>> UnmatchedRecords() const;
  /// All tasks and tombstones, in order of acceptance, then of id.
  std::vector<base::TaskId> All() const;

  std::size_t CountLive() const { return mByReplayOffset.size(); }
  std::size_t CountQueued() const { return mQueued.size(); }
  std::size_t CountEnded() const { return mEnded.size(); }
  std::int64_t IgnoredRecords() const { return mIgnoredRecords; }

  /// Equal for two tables with the same live tasks.
  std::uint64_t LiveDigest() const;
  /// Equal for two tables with the same live tasks and tombstones.
  std::uint64_t Digest() const;

private:
  struct Entry;
  struct ByAcceptance
  {
    bool operator()(const Entry* aLeft, const Entry* aRight) const;
  };
  /// Urgent tasks first, then in order of acceptance.
  struct ByQueueOrder
  {
    bool operator()(const Entry* aLeft, const Entry* aRight) const;
  };
  struct ByReplayOffset
  {
    bool operator()(const Entry* aLeft, const Entry* aRight) const;
  };
  struct ByLastRecord
  {
    bool operator()(const Entry* aLeft, const Entry* aRight) const;
  };
  using EntrySet = std::set<Entry*, ByAcceptance>;
  /// Records about a task that is not known, e.g. because its accept record
  /// expired before this reader started.
  using Unmatched = std::vector<std::pair<Offset, TaskRecord>>;

  Entry* FindEntry(const base::TaskId& aTask) const;
  Entry& AddEntry(const TaskSpec& aSpec);
  Entry& AddEntry(const TaskSnapshot& aSnapshot, Offset aReplayFrom);
  void RemoveEntry(Entry& aEntry);
  void AddToIndexes(Entry& aEntry);
  void RemoveFromIndexes(Entry& aEntry);
  void ApplyKnown(Offset aOffset, const TaskRecord& aRecord);
  void Accept(Offset aOffset, const AcceptRecord& aRecord, Offset aReplayFrom);
  static bool Update(StringPool& aPool,
                     Entry& aEntry,
                     const TaskRecord& aRecord);
  TaskSnapshot ToSnapshot(const Entry& aEntry) const;
  std::uint64_t DigestOf(const Entry& aEntry) const;

  StringPool mPool;
  std::unordered_map<std::string_view, std::unique_ptr<Entry>> mEntries;
  std::unordered_map<base::TaskId, Unmatched> mUnmatched;
  std::set<Entry*, ByQueueOrder> mQueued;
  std::unordered_map<StringPool::Handle, EntrySet> mByWorker;
  std::unordered_map<StringPool::Handle, TeamUse> mTeamUses;
  std::set<Entry*, ByReplayOffset> mByReplayOffset;
  std::set<Entry*, ByLastRecord> mEnded;
  std::int64_t mIgnoredRecords = 0;
};

/// The task that `aRecord` is about.
const base::TaskId&
TaskOf(const TaskRecord& aRecord);

} // namespace skylarkhill::tasks

#endif // SKYLARKHILL_TASKS_TASK_TABLE_HPP
