#ifndef SKYLARKHILL_HOLDER_TASK_RUNNER_HPP
#define SKYLARKHILL_HOLDER_TASK_RUNNER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/holder/granted_attempt.hpp"
#include "skylarkhill/holder/lease_machine.hpp"
#include "skylarkhill/holder/ledger.hpp"
#include "skylarkhill/holder/task_command.hpp"
#include "skylarkhill/tasks/task_record.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace skylarkhill::holder {

struct TaskRunnerOptions
{
  /// Length of a task lease. Longer than the holder lease plus the time to take
  /// over from a failed holder, so that tasks survive the failure of their
  /// holder.
  base::Duration mTaskLease = std::chrono::seconds(30);
  base::Duration mCommandTimeout = std::chrono::seconds(1);
  /// Maximum time between the send and the arrival of a command.
  base::Duration mMaxMessageDelay = std::chrono::seconds(1);
  /// How long a granted attempt may wait for capacity before its grant is
  /// released.
  base::Duration mReleaseAfter = std::chrono::seconds(5);
};

struct RunnerOutput
{
  std::vector<Command> mCommands;
  /// Task records to append. They stay valid however late they are appended.
  std::vector<tasks::TaskRecord> mRecords;
};

/// Starts, renews and stops the granted attempts on one held worker. Created
/// when the lease is acquired, destroyed when it ends. Not thread-safe: used
/// under the lock of the worker's shard.
class TaskRunner
{
public:
  /// `aLease` and `aLedger` must outlive this object.
  TaskRunner(const LeaseMachine& aLease,
             Ledger& aLedger,
             TaskRunnerOptions aOptions);

  /// Handles a report of the worker; also updates the ledger.
  void OnReport(const PollResult& aPoll);

  /// Handles the outcome of the command `aNumber`.
  void OnResult(std::uint64_t aNumber, CommandOutcome aOutcome);

  /// Sets the attempts on this worker that have a grant record and no end
  /// record. `aInheritedEndOffset` is an end offset of the log observed at or
  /// after the lease was acquired; empty until the log has been read up to it.
  /// Only the first value is used. Grants below it are inherited from previous
  /// holders: running attempts are adopted, the others are released.
  void SetGrants(const std::vector<GrantedAttempt>& aGrants,
                 std::optional<std::int64_t> aInheritedEndOffset);

  /// The end record of this attempt was certainly not appended; the next Step
  /// may return it again.
  void OnEndRecordNotAppended(const worker::AttemptKey& aKey);

  /// Checkpoints the attempt and stops it as soon as the checkpoint is
  /// complete, at the latest at `aDeadline`.
  void Evict(const worker::AttemptKey& aKey, base::TimePoint aDeadline);

  /// Limits the attempt to `aPercent` of its processors.
  void Throttle(const worker::AttemptKey& aKey, std::int64_t aPercent);

  /// Starts no further attempts and allows no further calls. Running attempts
  /// continue and are not waited for.
  void BeginDrain();
  /// True if draining and no command is in flight; attempts may still run.
  bool IsDrained(base::TimePoint aNow) const;

  /// True while service calls may be sent: the lease is held, a poll sent after
  /// the quiet period was answered, the runner is not draining and the worker
  /// is not leaving.
  bool MaySendCalls(base::TimePoint aNow) const;

  /// Returns the commands and records that are due. Called after every event
  /// and at least every 50 ms.
  RunnerOutput Step(base::TimePoint aNow);

private:
  struct StartState
  {
    std::uint64_t mNumber = 0;
    base::TimePoint mDeadline;
    CommandExpiry mExpiry;
    std::optional<CommandOutcome> mOutcome;
  };
  /// The last command for an attempt other than its start, or the last renewal.
  struct SentCommand
  {
    std::uint64_t mNumber = 0;
    base::TimePoint mSentAt;
    base::TimePoint mDeadline;
    bool mAnswered = false;
  };
  struct Eviction
  {
    base::TimePoint mDeadline;
    /// Newest checkpoint before the eviction requested one.
    std::optional<std::string> mCheckpointBefore;
    bool mStopping = false;
  };
  struct Attempt
  {
    std::optional<GrantedAttempt> mGrant;
    /// Empty if the last report does not contain the attempt.
    std::optional<worker::TaskReport> mReport;
    /// Latest expiry of the task lease that the worker may have received.
    worker::WorkerTime mLeaseExpiresAt = 0;
    std::optional<StartState> mStart;
    std::optional<SentCommand> mLastCommand;
    std::optional<Eviction> mEviction;
    std::optional<std::int64_t> mThrottlePercent;
    std::optional<base::TimePoint> mNoCapacitySince;
    bool mWasReported = false;
    /// Step has returned the StartedRecord.
    bool mStartedRecordReturned = false;
    /// Step has returned the EndRecord; reset by OnEndRecordNotAppended.
    bool mEndRecordReturned = false;
  };
  using Entry = std::pair<const worker::AttemptKey, Attempt>;

  bool IsQuietPeriodOver() const;
  bool IsReady() const;
  bool ShouldRenew(const Attempt& aAttempt) const;
  bool MaySend(const Attempt& aAttempt, base::TimePoint aNow) const;
  bool IsInFlight(const Attempt& aAttempt, base::TimePoint aNow) const;
  bool IsTaskLeaseExpired(const Attempt& aAttempt, base::TimePoint aNow) const;
  Command MakeCommand(CommandBody aBody, base::TimePoint aNow);
  void Renew(base::TimePoint aNow);
  void StepAttempt(Entry& aEntry, base::TimePoint aNow);
  void StepRunning(Entry& aEntry, base::TimePoint aNow);
  void StepEnded(Entry& aEntry, base::TimePoint aNow);
  void StepUnreported(Entry& aEntry, base::TimePoint aNow);
  void StepEviction(Entry& aEntry, base::TimePoint aNow);
  bool ResolveStart(Entry& aEntry, base::TimePoint aNow);
  void TryStart(Entry& aEntry, base::TimePoint aNow);
  void Send(Attempt& aAttempt, CommandBody aBody, base::TimePoint aNow);
  void AppendStarted(Entry& aEntry);
  void AppendEnd(Entry& aEntry, tasks::AttemptOutcome aOutcome);
  void AppendEndWithoutReport(Entry& aEntry, tasks::AttemptOutcome aOutcome);
  void RemoveFinished();

  const LeaseMachine& mLease;
  Ledger& mLedger;
  TaskRunnerOptions mOptions;
  /// Grants below this log offset are inherited; empty until the log has been
  /// read up to it.
  std::optional<std::int64_t> mInheritedEndOffset;
  bool mDraining = false;
  bool mRenewDue = false;
  std::uint64_t mLastNumber = 0;
  std::optional<PollResult> mLastPoll;
  std::optional<SentCommand> mRenewal;
  std::map<worker::AttemptKey, Attempt> mAttempts;
  RunnerOutput mOutput;
};

} // namespace skylarkhill::holder

#endif // SKYLARKHILL_HOLDER_TASK_RUNNER_HPP
