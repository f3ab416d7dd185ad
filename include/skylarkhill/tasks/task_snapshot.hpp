#ifndef SKYLARKHILL_TASKS_TASK_SNAPSHOT_HPP
#define SKYLARKHILL_TASKS_TASK_SNAPSHOT_HPP

#include "skylarkhill/platform/log_service.hpp"
#include "skylarkhill/tasks/task_record.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkhill::tasks {

using platform::Offset;

/// The complete state of one task at a log offset.
struct TaskSnapshot
{
  TaskSpec mSpec;
  TaskState mState = TaskState::Queued;
  Offset mAcceptedOffset = 0;
  /// Offset of the newest record about the task.
  Offset mLastRecordOffset = 0;
  /// Number of the newest attempt; 0 before the first grant.
  std::int64_t mLastAttempt = 0;
  /// Offset of the newest grant record.
  Offset mGrantedOffset = 0;
  /// Worker of the live attempt; empty if there is none.
  base::WorkerId mWorker;
  /// Checkpoint that the next attempt resumes from.
  std::string mCheckpoint;
  /// Result, or the reason for the last failure or quarantine.
  std::string mDetail;
  std::int64_t mEvictions = 0;
  std::int64_t mFailures = 0;
  /// Distinct workers on which an attempt failed, oldest failure first.
  std::vector<base::WorkerId> mFailedWorkers;
  bool mCancelRequested = false;
  /// Quarantine requested while an attempt is live; takes effect when the
  /// attempt ends.
  bool mQuarantineRequested = false;
};

} // namespace skylarkhill::tasks

#endif // SKYLARKHILL_TASKS_TASK_SNAPSHOT_HPP
