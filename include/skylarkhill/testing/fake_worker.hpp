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

/// Properties of a fake worker.
struct FakeWorkerConfig
{
  base::WorkerId mWorker;
  base::Resources mCapacity{ 16'000, std::int64_t{ 60 } << 30, 0 };
  /// Maximum of service requests that run; further ones wait.
  std::int64_t mSlots = 8;
  /// Connections for service requests. Each request that runs or waits uses
  /// one; further ones are refused.
  std::int64_t mConnections = 64;
  /// Age of the resource usage in a report.
  base::Duration mUsageLag{ 0 };
  /// Offset of the worker's clock from the injected clock.
  base::Duration mClockOffset{ 0 };
  /// Refuses overcommitment, duplicate attempts, late commands and commands
  /// without a live holder lease.
  bool mHasGuards = true;
};

/// One interval in which a task attempt ran.
struct TaskExecution
{
  worker::AttemptKey mKey;
  base::TimePoint mStartedAt;
  /// Empty while the attempt runs.
  std::optional<base::TimePoint> mEndedAt;
  /// Completed work at the start, taken from the checkpoint.
  base::Duration mResumedFrom{ 0 };
  std::string mBatchClass;
};

/// A service request that the worker has admitted.
struct AdmittedCall
{
  worker::ServiceAnswer mAnswer;
  base::TimePoint mEndsAt;
  /// The answer must not reach the caller.
  bool mIsAnswerLost = false;
};

/// An in-memory worker with injected clock and faults. Never blocks: a service
/// request that would end after its deadline runs and fails immediately with
/// DeadlineExceeded.
///
/// The payload of a task is a JSON object with the optional members "run_ms"
/// (default 100), "result", "fail" (fails at its end for this reason),
/// "checkpoint_ms" (default 0), "use_milli_processors", "use_memory_bytes" and
/// "use_accelerators" (default: the reservation). A task with any other payload
/// fails immediately. The body of a service request has the optional member
/// "work_ms" (default 0).
class FakeWorker : public worker::RemoteWorker
{
public:
  FakeWorker(const base::Clock& aClock, FakeWorkerConfig aConfig);

  base::Result<worker::WorkerReport> Poll(base::TimePoint aDeadline) override;
  base::Result<worker::WorkerReport> SetHolderLease(
    const worker::HolderToken& aToken,
    base::Duration aLeaseDuration,
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
  /// Fails with WorkerRefused for an attempt that has completed or failed, and
  /// with NotFound for an unknown one, which can then no longer be started.
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

  /// Starts a service request and returns its answer and end time, for callers
  /// that deliver the answer at that time themselves.
  base::Result<AdmittedCall> Admit(const worker::CommandHeader& aHeader,
                                   const worker::ServiceCall& aCall);

  /// Every new task fails at its start.
  void SetFailNewTasks(bool aFailNewTasks);
  /// Refuses new tasks and requests and marks reports as leaving.
  void SetLeaving(bool aLeaving);
  /// Commands have no effect and fail with DeadlineExceeded.
  void SetSilent(bool aSilent);
  /// Commands have no effect and fail with WorkerUnavailable.
  void SetUnreachable(bool aUnreachable);
  /// The next `aCount` commands take effect and fail with ConnectionLost.
  void LoseNextAnswers(std::int64_t aCount);
  /// The next `aCount` service answers carry a wrong attempt number.
  void MismatchNextAnswers(std::int64_t aCount);
  /// Each running task of `aBatchClass` increases the service time of
  /// `aService` by `aPercent`.
  void SetInterference(const std::string& aService,
                       const std::string& aBatchClass,
                       std::int64_t aPercent);
  /// Discards all tasks, leases and requests and makes the worker unreachable.
  void Crash();
  /// Makes a crashed worker reachable again, without tasks; earlier attempts
  /// can start again.
  void Restart();

  /// Every interval in which an attempt ran, in start order.
  std::vector<TaskExecution> Executions();
  /// Number of times that each service request attempt ran.
  std::map<std::pair<base::RequestId, std::int64_t>, std::int64_t> CallCounts()
    const;
  /// Number of commands that a guard refused.
  std::int64_t GuardRefusals() const;
  const base::WorkerId& Name() const { return mConfig.mWorker; }
  /// The time of the worker's clock.
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
    /// Time up to which the task has been simulated.
    base::TimePoint mAdvancedAt;
    base::Duration mWorkDone{ 0 };
    base::TimePoint mCheckpointEndsAt;
    std::string mCheckpoint;
    std::int64_t mThrottlePercent = 100;
    std::string mDetail;
    std::size_t mExecutionIndex = 0;
  };

  static Workload ParseWorkload(const worker::StartTask& aStart);
  static bool IsLive(const Task& aTask);

  base::Result<void> CheckReachable(base::TimePoint aDeadline) const;
  base::Result<void> CheckHeader(const worker::CommandHeader& aHeader);
  base::Result<void> CheckStart(const worker::StartTask& aStart);
  base::Result<void> RefuseByGuard(base::ErrorKind aKind, std::string aDetail);
  base::Result<void> CheckCommand(const worker::CommandHeader& aHeader,
                                  base::TimePoint aDeadline);
  base::Result<void> FinishCommand();
  bool ConsumeLostAnswer();
  /// Simulates all tasks, leases and requests up to the current time.
  void AdvanceToNow();
  void AdvanceTask(Task& aTask, base::TimePoint aNow);
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
  /// Attempts that were started or stopped and can't start again.
  std::set<worker::AttemptKey> mUnstartableKeys;
  std::vector<TaskExecution> mExecutions;
  /// End times of running and waiting service requests.
  std::vector<base::TimePoint> mCallEnds;
  std::map<std::pair<base::RequestId, std::int64_t>, std::int64_t> mCallCounts;
  std::map<std::pair<std::string, std::string>, std::int64_t> mInterference;
  std::int64_t mGuardRefusals = 0;
  std::int64_t mAnswersToLose = 0;
  std::int64_t mAnswersToMismatch = 0;
  bool mFailNewTasks = false;
  bool mLeaving = false;
  bool mSilent = false;
  bool mUnreachable = false;
};

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_FAKE_WORKER_HPP
