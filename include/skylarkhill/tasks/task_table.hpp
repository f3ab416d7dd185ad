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

/// A task that is waiting for a grant.
struct QueuedTask
{
  base::TaskId mTask;
  std::string mTeam;
  std::string mBatchClass;
  std::string mPool;
  base::Resources mDeclared;
  std::int64_t mDeclaredRunSeconds = 0;
  Offset mAcceptedOffset = 0;
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
  Offset mGrantedOffset = 0;
};

/// Resources and number of the live attempts of one team.
struct TeamCommitment
{
  base::Resources mCommitted;
  std::int64_t mLiveAttempts = 0;
};

/// A task that has not ended. Replaying the log from `mReplayFrom` restores it
/// without a snapshot.
struct TaskReplayOffset
{
  base::TaskId mTask;
  Offset mReplayFrom = 0;
};

/// State of all tasks, computed from the task records of the log: the same
/// records in the same order give the same state. Ended tasks are kept as
/// tombstones until their records expire. Not thread-safe.
class TaskTable
{
public:
  TaskTable();
  ~TaskTable();
  TaskTable(const TaskTable&) = delete;
  TaskTable& operator=(const TaskTable&) = delete;

  /// Applies a record. A record that is not valid in the state of its task is
  /// only counted in IgnoredRecords; so is one of an unknown task, which is
  /// also kept as unmatched.
  void Apply(Offset aOffset, const TaskRecord& aRecord);
  /// The same for a record whose writer had read every record before
  /// `aReplayFrom`, which becomes the replay offset of an accepted task.
  void Apply(Offset aOffset, const TaskRecord& aRecord, Offset aReplayFrom);

  /// Registers a record without applying it to its task. The record of an
  /// unknown task is kept as unmatched until a snapshot of the task is applied.
  void RegisterIgnored(Offset aOffset, const TaskRecord& aRecord);

  /// Adds the task in its state after the record at `aAsOf`, and applies its
  /// unmatched records with later offsets. Of a known task, only the replay
  /// offset changes.
  void ApplySnapshot(Offset aAsOf, const TaskSnapshot& aSnapshot);

  /// Adds a task or tombstone that was exported by another table.
  void Restore(const TaskSnapshot& aSnapshot, Offset aReplayFrom);

  /// Removes the tombstone or the unmatched records of `aTask` if no record
  /// about the task is at or after `aFirstRetained`.
  void RemoveTombstone(const base::TaskId& aTask, Offset aFirstRetained);

  /// Removes all tombstones and unmatched records of tasks that have no record
  /// at or after `aFirstRetained`.
  void Purge(Offset aFirstRetained);

  /// True if a retained record refers to the task. An accept record creates a
  /// task only if its id is not known.
  bool IsKnown(const base::TaskId& aTask) const;
  std::optional<TaskSnapshot> Find(const base::TaskId& aTask) const;
  /// Log offset from which a replay restores the task without a snapshot.
  std::optional<Offset> FindReplayOffset(const base::TaskId& aTask) const;
  /// Up to `aLimit` queued tasks: urgent tasks first, then by acceptance offset
  /// and id.
  std::vector<QueuedTask> Queued(std::size_t aLimit) const;
  /// Live attempts on `aWorker`, by acceptance offset and id.
  std::vector<LiveAttempt> LiveAttemptsOn(const base::WorkerId& aWorker) const;
  std::map<std::string, TeamCommitment> TeamCommitments() const;
  /// Workers with at least one live attempt, by id.
  std::vector<base::WorkerId> WorkersWithLiveAttempts() const;
  /// Up to `aLimit` tasks that have not ended and whose replay offset is before
  /// `aBefore`, lowest offset first.
  std::vector<TaskReplayOffset> OldestReplayOffsets(Offset aBefore,
                                                    std::size_t aLimit) const;
  /// Records of unknown tasks, in log order for each task.
  std::vector<std::pair<Offset, TaskRecord>> UnmatchedRecords() const;
  /// All tasks and tombstones, by acceptance offset and id.
  std::vector<base::TaskId> All() const;

  /// Number of tasks that have not ended, queued ones included.
  std::size_t CountUnfinished() const { return mByReplayOffset.size(); }
  std::size_t CountQueued() const { return mQueued.size(); }
  std::size_t CountEnded() const { return mEnded.size(); }
  std::int64_t IgnoredRecords() const { return mIgnoredRecords; }

  /// Hash of all tasks that have not ended; equal for equal tasks.
  std::uint64_t UnfinishedDigest() const;
  /// Hash of all tasks and tombstones; equal for equal tables.
  std::uint64_t Digest() const;

private:
  struct Entry;
  struct ByAcceptance
  {
    bool operator()(const Entry* aLeft, const Entry* aRight) const;
  };
  /// Urgent tasks first, then by acceptance offset.
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
  /// Records of an unknown task, e.g. one whose accept record expired before
  /// the first record applied to this table.
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
  std::unordered_map<StringPool::Handle, TeamCommitment> mTeamCommitments;
  std::set<Entry*, ByReplayOffset> mByReplayOffset;
  std::set<Entry*, ByLastRecord> mEnded;
  std::int64_t mIgnoredRecords = 0;
};

/// The task that `aRecord` refers to.
const base::TaskId&
TaskOf(const TaskRecord& aRecord);

} // namespace skylarkhill::tasks

#endif // SKYLARKHILL_TASKS_TASK_TABLE_HPP
