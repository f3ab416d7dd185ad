#ifndef SKYLARKHILL_WORKER_REMOTE_WORKER_HPP
#define SKYLARKHILL_WORKER_REMOTE_WORKER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/id.hpp"
#include "skylarkhill/base/resources.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::worker {

/// A point in time on the worker's own clock, in microseconds.
using WorkerTime = std::int64_t;

/// Identifies one acquisition of a worker by an entry instance.
struct HolderToken
{
  base::InstanceId mInstance;
  /// Larger than the epochs of all earlier acquisitions that this one knew of.
  std::uint64_t mEpoch = 0;

  friend bool operator==(const HolderToken& aLeft, const HolderToken& aRight)
  {
    return aLeft.mInstance == aRight.mInstance && aLeft.mEpoch == aRight.mEpoch;
  }
  friend bool operator!=(const HolderToken& aLeft, const HolderToken& aRight)
  {
    return !(aLeft == aRight);
  }
};

/// A holder lease in the worker's holder list. It reserves no resources.
struct HolderLease
{
  HolderToken mToken;
  WorkerTime mExpiresAt = 0;
};

/// The state of a task as the worker reports it.
enum class TaskPhase
{
  Running,
  Checkpointing,
  /// Ran to completion; the result is kept until acknowledged.
  Completed,
  /// The task failed; kept until acknowledged.
  Failed,
  /// Stopped by a command or because its lease expired; kept until
  /// acknowledged.
  Stopped,
};

/// The stable name of `aPhase`.
std::string_view
NameOf(TaskPhase aPhase);

/// The phase named `aName`, or nothing.
std::optional<TaskPhase>
ParseTaskPhase(std::string_view aName);

/// One task in the worker's list.
struct TaskReport
{
  base::TaskId mTask;
  std::int64_t mAttempt = 0;
  TaskPhase mPhase = TaskPhase::Running;
  /// Resources that were reserved when the task was started.
  base::Resources mReserved;
  /// Measured usage; may be out of date.
  base::Resources mUsed;
  WorkerTime mLeaseExpiresAt = 0;
  /// Name of the last complete checkpoint; empty if there is none.
  std::string mCheckpoint;
  /// Progress since the start of the task, in percent; may be out of date.
  std::int64_t mProgressPercent = 0;
  /// Share of its processors the task may use, in percent.
  std::int64_t mThrottlePercent = 100;
  std::string mDetail;
};

/// What a worker reports about itself.
struct WorkerReport
{
  base::WorkerId mWorker;
  /// The worker's clock when it made the report.
  WorkerTime mNow = 0;
  bool mLeaving = false;
  base::Resources mCapacity;
  std::int64_t mSlots = 0;
  std::int64_t mConnections = 0;
  std::int64_t mSlotsBusy = 0;
  /// All holder leases that have not expired.
  std::vector<HolderLease> mHolders;
  std::vector<TaskReport> mTasks;
  /// Service time in percent of that without batch tasks; may be out of date.
  std::int64_t mServiceTimePercent = 100;
};

/// Fields that every task command and service call carries.
struct CommandHeader
{
  HolderToken mToken;
  /// The worker refuses the command after this time (StaleCommand).
  WorkerTime mNotAfter = 0;
};

struct StartTask
{
  base::TaskId mTask;
  std::int64_t mAttempt = 0;
  std::string mBatchClass;
  base::Resources mReserved;
  /// End of the task's lease.
  WorkerTime mLeaseExpiresAt = 0;
  /// Checkpoint to resume from; empty for a fresh start.
  std::string mCheckpoint;
  std::string mPayload;
};

/// Identifies one attempt of a task.
struct AttemptKey
{
  base::TaskId mTask;
  std::int64_t mAttempt = 0;

  friend bool operator==(const AttemptKey& aLeft, const AttemptKey& aRight)
  {
    return aLeft.mTask == aRight.mTask && aLeft.mAttempt == aRight.mAttempt;
  }
  friend bool operator<(const AttemptKey& aLeft, const AttemptKey& aRight)
  {
    return aLeft.mTask < aRight.mTask ||
           (aLeft.mTask == aRight.mTask && aLeft.mAttempt < aRight.mAttempt);
  }
};

/// A service request to an endpoint.
struct ServiceCall
{
  base::RequestId mRequest;
  std::int64_t mAttempt = 0;
  std::string mService;
  std::string mBody;
  bool mIdempotent = false;
};

/// The endpoint's complete answer to one service request.
struct ServiceAnswer
{
  base::RequestId mRequest;
  std::int64_t mAttempt = 0;
  std::string mBody;
};

/// Interface to one worker for its holder. Thread-safe; calls return by
/// `aDeadline`.
///
/// WorkerUnavailable: nothing was sent. ConnectionLost or DeadlineExceeded:
/// the command may have taken effect. WorkerRefused and StaleCommand: the
/// worker answered that it did nothing.
class RemoteWorker
{
public:
  virtual ~RemoteWorker() = default;

  virtual base::Result<WorkerReport> Poll(base::TimePoint aDeadline) = 0;

  /// Adds or renews `aToken`'s holder lease for `aDuration`, counted from when
  /// the worker receives the command.
  virtual base::Result<WorkerReport> SetHolderLease(
    const HolderToken& aToken,
    base::Duration aDuration,
    base::TimePoint aDeadline) = 0;

  virtual base::Result<void> RemoveHolderLease(const HolderToken& aToken,
                                               base::TimePoint aDeadline) = 0;

  virtual base::Result<void> Start(const CommandHeader& aHeader,
                                   const StartTask& aStart,
                                   base::TimePoint aDeadline) = 0;

  /// Extends the leases of all listed attempts to `aLeaseExpiresAt`.
  virtual base::Result<void> Renew(const CommandHeader& aHeader,
                                   const std::vector<AttemptKey>& aTasks,
                                   WorkerTime aLeaseExpiresAt,
                                   base::TimePoint aDeadline) = 0;

  virtual base::Result<void> Checkpoint(const CommandHeader& aHeader,
                                        const AttemptKey& aTask,
                                        base::TimePoint aDeadline) = 0;

  virtual base::Result<void> Throttle(const CommandHeader& aHeader,
                                      const AttemptKey& aTask,
                                      std::int64_t aPercent,
                                      base::TimePoint aDeadline) = 0;

  /// Stops the attempt; success means that the worker confirmed the stop.
  virtual base::Result<void> Stop(const CommandHeader& aHeader,
                                  const AttemptKey& aTask,
                                  base::TimePoint aDeadline) = 0;

  /// Lets the worker discard an ended attempt.
  virtual base::Result<void> Acknowledge(const CommandHeader& aHeader,
                                         const AttemptKey& aTask,
                                         base::TimePoint aDeadline) = 0;

  /// Runs one service request. WorkerUnavailable, WorkerRefused and
  /// StaleCommand mean that it did not run.
  virtual base::Result<ServiceAnswer> Call(const CommandHeader& aHeader,
                                           const ServiceCall& aCall,
                                           base::TimePoint aDeadline) = 0;
};

} // namespace skylarkhill::worker

#endif // SKYLARKHILL_WORKER_REMOTE_WORKER_HPP
