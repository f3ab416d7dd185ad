#ifndef SKYLARKHILL_HOLDER_LEDGER_HPP
#define SKYLARKHILL_HOLDER_LEDGER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/resources.hpp"
#include "skylarkhill/worker/remote_worker.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace skylarkhill::holder {

/// A worker's report and the time at which the poll for it was sent.
struct PollResult
{
  worker::WorkerReport mReport;
  base::TimePoint mSentAt;
};

/// Bounds after which a command of unknown outcome can no longer take effect.
struct CommandExpiry
{
  /// The worker rejects the command after this time.
  worker::WorkerTime mNotAfter = 0;
  /// All copies of the command have arrived or were lost by this time.
  base::TimePoint mLatestArrival;
};

/// True if a command whose effect is not in this report will never take effect.
/// Both bounds must have passed: the result is wrong only if the worker does
/// not check not_after and a message also exceeds the maximum delay.
bool
IsPastExpiry(const CommandExpiry& aExpiry, const PollResult& aPoll);

/// Request slots and connections that a worker has for service calls.
struct CallCapacity
{
  std::int64_t mSlots = 0;
  std::int64_t mConnections = 0;
};

/// Tracks the committed capacity of one worker; only its holder keeps one.
/// Capacity and running tasks come from the worker's reports; before the first
/// report nothing fits. Not thread-safe: used under the lock of the worker's
/// shard.
class Ledger
{
public:
  using CallNumber = std::uint64_t;

  /// Updates the running tasks and the capacity from a report, and removes the
  /// starts and the calls without an answer that can no longer take effect.
  /// Ignores a report whose poll was not sent after that of the last one.
  void ApplyReport(const PollResult& aPoll);

  /// True if `aNeed` fits into the capacity that is not committed.
  bool Fits(const base::Resources& aNeed) const;
  /// Like Fits, but ignores the capacity committed for the grant of `aKey`
  /// itself.
  bool FitsStart(const worker::AttemptKey& aKey,
                 const base::Resources& aNeed) const;

  /// Commits capacity for an attempt whose grant record is being appended.
  /// Fails with NoCapacity if it does not fit.
  base::Result<void> CommitGrant(const worker::AttemptKey& aKey,
                                 const base::Resources& aNeed);
  /// Releases the capacity committed by CommitGrant. Has no effect if the start
  /// was already committed.
  void CancelGrant(const worker::AttemptKey& aKey);

  /// Commits capacity for a start command that is about to be sent, in place of
  /// that of its grant. Fails with NoCapacity if it does not fit.
  base::Result<void> CommitStart(const worker::AttemptKey& aKey,
                                 const base::Resources& aNeed,
                                 const CommandExpiry& aExpiry);

  /// Sets the usage estimate of a running task; nullopt removes it. The task
  /// counts with the maximum of its reservation and the estimate. Estimates
  /// never raise the committed capacity above the worker's capacity.
  void SetUsageEstimate(const worker::AttemptKey& aKey,
                        const std::optional<base::Resources>& aUsage);

  /// Sets the capacity that is reserved for services and not used for tasks.
  void SetServiceReserve(const base::Resources& aReserve);

  /// Commits one slot and one connection. Fails with NoCapacity if either is
  /// missing. Called only while `TaskRunner::MaySendCalls` is true.
  base::Result<void> BeginCall(CallNumber aCall, const CommandExpiry& aExpiry);
  /// Frees the slot and the connection of a call that was answered or certainly
  /// did not run.
  void EndCall(CallNumber aCall);
  /// Marks a call whose answer was lost. Its slot and connection stay committed
  /// until a report shows that the call has ended.
  void MarkAnswerLost(CallNumber aCall);

  base::Resources Capacity() const { return mCapacity; }
  /// The capacity of running tasks, starts in flight and grants not yet
  /// started, including the usage estimates.
  base::Resources Committed() const;
  CallCapacity FreeCallCapacity() const;
  bool HasReport() const { return mHasReport; }
  bool IsStartInFlight(const worker::AttemptKey& aKey) const;

private:
  struct Start
  {
    base::Resources mNeed;
    CommandExpiry mExpiry;
  };
  struct Call
  {
    CommandExpiry mExpiry;
    bool mAnswerLost = false;
  };

  base::Resources Reserved() const;
  base::Resources Free() const;
  void ApplyTasks(const PollResult& aPoll);
  void ApplyCalls(const PollResult& aPoll);

  bool mHasReport = false;
  base::TimePoint mLastPollSentAt;
  base::Resources mCapacity;
  base::Resources mServiceReserve;
  CallCapacity mCallCapacity;
  bool mHasCalled = false;
  /// Slots still occupied by calls of previous holders.
  std::int64_t mInheritedBusySlots = 0;
  std::map<worker::AttemptKey, base::Resources> mRunning;
  std::map<worker::AttemptKey, base::Resources> mUsageEstimates;
  std::map<worker::AttemptKey, Start> mStarts;
  std::map<worker::AttemptKey, base::Resources> mUnstartedGrants;
  std::map<CallNumber, Call> mCalls;
};

} // namespace skylarkhill::holder

#endif // SKYLARKHILL_HOLDER_LEDGER_HPP
