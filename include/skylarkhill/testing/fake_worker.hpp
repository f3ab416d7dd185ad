#ifndef SKYLARKHILL_TESTING_FAKE_WORKER_HPP
#define SKYLARKHILL_TESTING_FAKE_WORKER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/worker/remote_worker.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace skylarkhill::testing {

/// Properties of a simulated worker.
struct FakeWorkerConfig
{
  base::WorkerId mWorker;
  base::Resources mCapacity{ 16'000, std::int64_t{ 60 } << 30, 0 };
  /// Service requests that run at once; further ones wait.
  std::int64_t mSlots = 8;
  /// Service requests that run or wait; further ones are refused.
  std::int64_t mConnections = 64;
  /// Age of the usage that a report shows.
  base::Duration mUsageLag{ 0 };
  /// The worker's clock minus the injected one.
  base::Duration mClockOffset{ 0 };
  /// Refuse overcommitment, duplicate attempts, late commands and commands
  /// without a live holder lease.
  bool mGuards = true;
};

/// One interval in which a task attempt ran.
struct TaskExecution
{
  worker::AttemptKey mKey;
  base::TimePoint mStartedAt;
  /// Empty while the attempt runs.
  std::optional<base::TimePoint> mEndedAt;
  /// Work that was done before the start, taken from the checkpoint.
  base::Duration mResumedFrom{ 0 };
  std::string mBatchClass;
};

/// A service request that the worker has accepted.
struct AdmittedCall
{
  worker::ServiceAnswer mAnswer;
  base::TimePoint mEndsAt;
  /// The answer must not reach the caller.
  bool mIsAnswerLost = false;
};

/// An in-memory worker with injected clock and faults. Never blocks: a call
/// that would end after its deadline runs and ends with DeadlineExceeded.
///
/// The payload of a task is a JSON object with the optional members "run_ms"
/// (default 100), "result", "fail" (reason of a failure at the end),
/// "checkpoint_ms" (default 0), "use_milli_processors", "use_memory_bytes" and
/// "use_accelerators" (default: what was reserved). The body of a service
/// request has "work_ms" (default 0). A task with any other payload fails at
/// once.
class FakeWorker : public worker::RemoteWorker
{
public:
  FakeWorker(const base::Clock& aClock, FakeWorkerConfig aConfig);

  base::Result<worker::WorkerReport> Poll(base::TimePoint aDeadline) override;
  base::Result<worker::WorkerReport> SetHolderLease(
    const worker::HolderToken& aToken,
    base::Duration aLength,
    base::TimePoint aDeadline) override;
  base::Result<void> RemoveHolderLease(const worker::HolderToken& aToken,
                                       base::TimePoint aDeadline) override;
  base::Result<void> Start(const worker::CommandHeader& aHeader,
                           const worker::StartTask& aStart,
                           base::TimePoint aDeadline) override;
  /// Attempts that do not run are skipped; a lease is never shortened.
  base::Result<void> Renew(const worker::CommandHeader& aHeader,
                           const std::vector<worker::AttemptKey>& aTasks,
                           worker::WorkerTime aLeaseExpiresAt,
                           base::TimePoint aDeadline) override;
  base::Result<void> Checkpoint(const worker::CommandHeader& aHeader,
                                const worker::AttemptKey& aTask,
                                base::TimePoint aDeadline) override;
  base::Result<void> Throttle(const worker::CommandHeader& aHeader,
                              const worker::AttemptKey& aTask,
                              std::int64_t aPercent,
                              base::TimePoint aDeadline) override;
  /// WorkerRefused for an attempt that ended by itself; NotFound for an unknown
  /// one, which can then no longer be started.
  base::Result<void> Stop(const worker::CommandHeader& aHeader,
                          const worker::AttemptKey& aTask,
                          base::TimePoint aDeadline) override;
  /// Succeeds for an unknown attempt.
  base::Result<void> Acknowledge(const worker::CommandHeader& aHeader,
                                 const worker::AttemptKey& aTask,
                                 base::TimePoint aDeadline) override;
  base::Result<worker::ServiceAnswer> Call(const worker::CommandHeader& aHeader,
                                           const worker::ServiceCall& aCall,
                                           base::TimePoint aDeadline) override;

  /// Starts a service request and says when its answer is due. For callers that
  /// wait by themselves.
  base::Result<AdmittedCall> Admit(const worker::CommandHeader& aHeader,
                                   const worker::ServiceCall& aCall);

  /// Every task fails right after its start.
  void SetFailAll(bool aFailAll);
  /// Refuses new tasks and requests; the report says so.
  void SetLeaving(bool aLeaving);
  /// Commands have no effect and end with DeadlineExceeded.
  void SetSilent(bool aSilent);
  /// Commands are not sent and end with WorkerUnavailable.
  void SetUnreachable(bool aUnreachable);
  /// The next `aCount` commands take effect and end with ConnectionLost.
  void LoseNextAnswers(std::int64_t aCount);
  /// The next `aCount` service answers carry another attempt number.
  void MismatchNextAnswers(std::int64_t aCount);
  /// Running tasks of `aBatchClass` slow requests to `aService` down by
  /// `aPercent` each.
  void SetInterference(const std::string& aService,
                       const std::string& aBatchClass,
                       std::int64_t aPercent);
  /// All tasks, leases and requests are lost and the worker is unreachable.
  void Crash();
  /// Makes a crashed worker reachable again, with nothing running.
  void Restart();

  /// Every interval in which an attempt ran, in order of the starts.
  std::vector<TaskExecution> Executions();
  /// How often each service request attempt ran.
  std::map<std::pair<base::RequestId, std::int64_t>, std::int64_t> CallCounts()
    const;
  /// Commands that a guard refused.
  std::int64_t GuardRefusals() const;
  const base::WorkerId& Name() const { return mConfig.mWorker; }
  /// The worker's own clock.
  worker::WorkerTime Now() const;

private:
  struct Workload
  {
    base::Duration mRunTime{ 0 };
    base::Duration mCheckpointTime{ 0 };
    std::string mResult;
    std::string mFailure;
    base::Resources mUsed;
  };
  struct Task
  {
    worker::AttemptKey mKey;
    worker::TaskPhase mPhase = worker::TaskPhase::Running;
    base::Resources mReserved;
    Workload mWorkload;
    base::TimePoint mLeaseExpiresAt;
    /// When mDone was computed.
    base::TimePoint mSettledAt;
    base::Duration mDone{ 0 };
    base::TimePoint mCheckpointEndsAt;
    std::string mCheckpoint;
    std::int64_t mThrottlePercent = 100;
    std::string mDetail;
    std::size_t mExecution = 0;
  };

  static Workload ParseWorkload(const worker::StartTask& aStart);
  static bool IsLive(const Task& aTask);

  base::Result<void> CheckReachable(base::TimePoint aDeadline) const;
  base::Result<void> CheckHeader(const worker::CommandHeader& aHeader);
  base::Result<void> CheckStart(const worker::StartTask& aStart);
  base::Result<void> Refuse(base::ErrorKind aKind, std::string aDetail);
  base::Result<void> BeginCommand(const worker::CommandHeader& aHeader,
                                  base::TimePoint aDeadline);
  base::Result<void> EndCommand();
  bool TakeLostAnswer();
  /// Brings all tasks, leases and requests up to the present.
  void Settle();
  void SettleTask(Task& aTask, base::TimePoint aNow);
  void EndTask(Task& aTask,
               worker::TaskPhase aPhase,
               std::string aDetail,
               base::TimePoint aWhen);
  void AddTask(const worker::StartTask& aStart);
  worker::WorkerReport MakeReport() const;
  worker::TaskReport MakeTaskReport(const Task& aTask) const;
  std::int64_t SlowdownAt(base::TimePoint aTime,
                          std::string_view aService) const;
  base::Result<AdmittedCall> AdmitLocked(const worker::CommandHeader& aHeader,
                                         const worker::ServiceCall& aCall);
  base::TimePoint FindStartTime(base::TimePoint aNow) const;
  Task* FindTask(const worker::AttemptKey& aKey);
  worker::WorkerTime ToWorkerTime(base::TimePoint aTime) const;
  base::TimePoint FromWorkerTime(worker::WorkerTime aTime) const;

  const base::Clock& mClock;
  const FakeWorkerConfig mConfig;
  mutable std::mutex mMutex;
  std::vector<worker::HolderLease> mHolders;
  std::map<worker::AttemptKey, Task> mTasks;
  /// Attempts that must never start again.
  std::set<worker::AttemptKey> mClosedKeys;
  std::vector<TaskExecution> mExecutions;
  /// End times of the service requests that run or wait.
  std::vector<base::TimePoint> mCallEnds;
  std::map<std::pair<base::RequestId, std::int64_t>, std::int64_t> mCallCounts;
  std::map<std::pair<std::string, std::string>, std::int64_t> mInterference;
  std::int64_t mGuardRefusals = 0;
  std::int64_t mAnswersToLose = 0;
  std::int64_t mAnswersToMismatch = 0;
  bool mFailAll = false;
  bool mLeaving = false;
  bool mSilent = false;
  bool mUnreachable = false;
};

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_FAKE_WORKER_HPP
