#ifndef SKYLARKHILL_ENTRY_WORKER_AGENT_HPP
#define SKYLARKHILL_ENTRY_WORKER_AGENT_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/random.hpp"
#include "skylarkhill/holder/granted_attempt.hpp"
#include "skylarkhill/holder/lease_machine.hpp"
#include "skylarkhill/holder/ledger.hpp"
#include "skylarkhill/holder/task_runner.hpp"
#include "skylarkhill/policy/breaker.hpp"
#include "skylarkhill/worker/remote_worker.hpp"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhill::entry {

/// Id and location of a worker, as given in the platform's instance list.
struct WorkerLocation
{
  base::WorkerId mWorker;
  base::DomainId mDomain;
  std::string mRack;
};

struct WorkerAgentOptions
{
  base::InstanceId mInstance;
  holder::LeaseOptions mLease;
  holder::TaskRunnerOptions mRunner;
};

/// Snapshot of the state of a worker.
struct WorkerStatus
{
  WorkerLocation mLocation;
  /// Held after the quiet period, with a report since the acquisition, and
  /// neither being released nor leaving.
  bool mUsable = false;
  bool mLeaving = false;
  /// Whether new tasks may be placed on the worker.
  bool mAdmitsTasks = false;
  /// Whether new service calls may be sent to the worker.
  bool mAdmitsCalls = false;
  base::Resources mCapacity;
  /// Capacity less the committed resources and the service reserve.
  base::Resources mFree;
  std::int64_t mSlots = 0;
  holder::CallCapacity mFreeCalls;
  std::int64_t mServiceSlowdownPercent = 100;
  base::TimePoint mReportedAt;
  /// From the last report.
  std::vector<worker::TaskReport> mTasks;
};

class WorkerAgent;

/// Receives the events of an agent. Called without any lock of the agent, from
/// the thread that steps it.
class WorkerListener
{
public:
  virtual ~WorkerListener() = default;
  virtual void OnHolderChange(WorkerAgent& aAgent, bool aHeld) = 0;
  virtual void OnReport(WorkerAgent& aAgent,
                        const worker::WorkerReport& aReport) = 0;
  /// A task record that has to be appended.
  virtual void OnRecord(WorkerAgent& aAgent,
                        const tasks::TaskRecord& aRecord) = 0;
};

/// Controls one worker from the entry instance: runs the lease and task state
/// machines of the worker and performs their I/O.
/// Thread-safe; Step is called by one thread at a time.
class WorkerAgent
{
public:
  /// `aClock` and `aListener` must outlive the agent.
  WorkerAgent(WorkerLocation aLocation,
              WorkerAgentOptions aOptions,
              std::unique_ptr<worker::RemoteWorker> aRemoteWorker,
              const base::Clock& aClock,
              std::uint64_t aSeed,
              WorkerListener& aListener);

  const WorkerLocation& Location() const { return mLocation; }

  void SetPreferred(bool aPreferred);
  void SetServiceReserve(const base::Resources& aReserve);
  /// Sets the attempts that the log grants to this worker, after reading it up
  /// to the offset `aPosition`, which covers everything appended before
  /// `aCaughtUpTime`.
  void SetGrants(const std::vector<holder::GrantedAttempt>& aGrants,
                 base::TimePoint aCaughtUpTime,
                 std::int64_t aPosition);

  /// Performs the actions that are due. Blocks while it sends commands.
  void Step();

  /// Commits capacity to a planned attempt: one whose grant is about to be
  /// appended. Errors: NotHolder, NoCapacity, WorkerUnavailable.
  base::Result<void> CommitGrant(const worker::AttemptKey& aKey,
                                 const base::Resources& aResources);
  /// Frees the capacity of a planned attempt whose grant was not appended, or
  /// was appended after another one that took effect.
  void CancelGrant(const worker::AttemptKey& aKey);
  void Evict(const worker::AttemptKey& aKey, base::TimePoint aDeadline);
  void Throttle(const worker::AttemptKey& aKey, std::int64_t aPercent);
  /// The end record of this attempt was definitely not appended.
  void OnEndRecordNotAppended(const worker::AttemptKey& aKey);
  /// Removes the failures of a quarantined task from the worker's circuit
  /// breaker.
  void RemoveFailures(const base::TaskId& aTask);

  /// Sends one service request. NotHolder and NoCapacity: nothing was sent;
  /// otherwise as `worker::RemoteWorker::Call`.
  base::Result<std::string> Call(const worker::ServiceCall& aCall,
                                 base::TimePoint aDeadline);

  /// Stops starting work, and releases the worker once no command is in flight.
  void BeginRelease();
  bool IsReleased() const;

  bool MaySendCommands() const;
  WorkerStatus Status() const;

private:
  void Perform(const holder::SetLease& aAction);
  void Perform(const holder::ReadHolders& aAction);
  void Perform(const holder::RemoveLease& aAction);
  void Perform(const holder::LeaseAcquired& aAction);
  void Perform(const holder::LeaseEnded& aAction);
  void StepLease();
  void StepRunner();
  void StepRelease();
  void HandleReport(std::uint64_t aRequest,
                    const base::Result<worker::WorkerReport>& aReport,
                    base::TimePoint aSentAt);
  void HandleRecord(const tasks::TaskRecord& aRecord);
  void SendCommand(const holder::Command& aCommand);
  base::Result<void> SendBody(const holder::Command& aCommand);
  void RecordCall(const worker::ServiceCall& aCall,
                  const base::Result<worker::ServiceAnswer>& aAnswer,
                  holder::Ledger::CallNumber aNumber,
                  const worker::HolderToken& aToken,
                  base::TimePoint aSentAt);
  bool IsWorkerFault(base::ErrorKind aKind, base::TimePoint aSentAt) const;

  const WorkerLocation mLocation;
  const WorkerAgentOptions mOptions;
  const std::unique_ptr<worker::RemoteWorker> mRemoteWorker;
  const base::Clock& mClock;
  WorkerListener& mListener;
  const std::unique_ptr<base::Random> mRandom;

  mutable std::mutex mMutex;
  holder::LeaseMachine mLease;
  /// mLedger and mRunner are set while the worker is held.
  std::unique_ptr<holder::Ledger> mLedger;
  std::unique_ptr<holder::TaskRunner> mRunner;
  policy::Breaker mTaskBreaker;
  policy::Breaker mCallBreaker;
  base::Resources mServiceReserve;
  std::vector<holder::GrantedAttempt> mGrants;
  base::TimePoint mAcquiredAt;
  /// End offset of the log, observed after the acquisition; grants below it are
  /// inherited from previous holders.
  std::optional<std::int64_t> mInheritedBefore;
  bool mGrantsChanged = false;
  std::optional<worker::WorkerReport> mReport;
  base::TimePoint mReportedAt;
  holder::Ledger::CallNumber mLastCallNumber = 0;
  bool mReleasing = false;
  bool mReleaseSent = false;
};

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_WORKER_AGENT_HPP
