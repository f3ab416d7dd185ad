#ifndef SKYLARKHILL_TASKS_TASK_RECORD_HPP
#define SKYLARKHILL_TASKS_TASK_RECORD_HPP

#include "skylarkhill/base/id.hpp"
#include "skylarkhill/base/resources.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace skylarkhill::tasks {

/// Lifecycle state of a task.
enum class TaskState
{
  /// No live attempt; may be granted.
  Queued,
  /// An attempt is assigned to a worker and not known to have started.
  Granted,
  Running,
  /// Set by no record; kept because snapshots store states by number.
  Checkpointing,
  /// Evicted and waiting for the next grant, like Queued.
  Evicted,
  Completed,
  Cancelled,
  /// An attempt failed after a cancellation was requested. Other failures queue
  /// the task again.
  Failed,
  Quarantined,
};

/// How one attempt ended.
enum class AttemptOutcome
{
  Completed,
  Failed,
  Evicted,
  /// The worker was lost or restarted, or the task lease expired because no
  /// holder renewed it.
  Lost,
  Cancelled,
  /// The attempt never started and its grant was released.
  Released,
};

/// A task as submitted; never changes after acceptance.
struct TaskSpec
{
  base::TaskId mTask;
  base::JobId mJob;
  std::string mTeam;
  std::string mBatchClass;
  std::string mPool;
  /// The submitting caller. Only this caller or an operator may cancel the
  /// task.
  std::string mCaller;
  base::Resources mDeclared;
  std::int64_t mDeclaredRunSeconds = 0;
  bool mUrgent = false;
  std::string mPayload;
};

struct AcceptRecord
{
  TaskSpec mSpec;
};

struct GrantRecord
{
  base::TaskId mTask;
  std::int64_t mAttempt = 0;
  base::WorkerId mWorker;
};

struct StartedRecord
{
  base::TaskId mTask;
  std::int64_t mAttempt = 0;
};

struct EndRecord
{
  base::TaskId mTask;
  std::int64_t mAttempt = 0;
  AttemptOutcome mOutcome = AttemptOutcome::Completed;
  /// Checkpoint that the next attempt resumes from; empty if there is none.
  std::string mCheckpoint;
  /// Result of a completed attempt, or the reason for a failure.
  std::string mDetail;
};

struct CancelRecord
{
  base::TaskId mTask;
  std::string mCaller;
};

struct QuarantineRecord
{
  base::TaskId mTask;
  std::string mReason;
};

using TaskRecord = std::variant<AcceptRecord,
                                GrantRecord,
                                StartedRecord,
                                EndRecord,
                                CancelRecord,
                                QuarantineRecord>;

} // namespace skylarkhill::tasks

#endif // SKYLARKHILL_TASKS_TASK_RECORD_HPP
