#ifndef SKYLARKHILL_HOLDER_LEDGER_HPP
#define SKYLARKHILL_HOLDER_LEDGER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/resources.hpp"
#include "skylarkhill/worker/worker_port.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace skylarkhill::holder {

/// A worker's report with the time at which its poll was sent.
struct PollResult
{
  worker::WorkerReport mReport;
  base::TimePoint mSentAt;
};

/// When a command of unknown outcome can no longer take effect.
struct CommandExpiry
{
  /// The worker refuses the command after this time.
  worker::WorkerTime mNotAfter = 0;
  /// No message sent with the command arrives after this time.
  base::TimePoint mLatestArrival;
};

/// True if a command that is absent from this report will never take effect.
/// Requires both bounds, so that a worker that does not check not_after, or
/// one message that is delayed beyond the bound, is not enough to fail it.
bool
IsPastExpiry(const CommandExpiry& aExpiry, const PollResult& aPoll);

/// Slots and connections of service requests.
struct CallCapacity
{
  std::int64_t mSlots = 0;
  std::int64_t mConnections = 0;
};

/// Committed capacity of one worker, kept by its holder only. Built from the
/// worker's own reports; nothing fits before the first one. Not thread-safe:
/// used under the lock of the worker's shard.
class Ledger
{
public:
  using CallNumber = std::uint64_t;

  /// Replaces what is known to run, settles starts and calls of unknown
  /// outcome, and takes over the capacity that the worker reports. Reports
  /// that are older than the last one are ignored.
  void ApplyReport(const PollResult& aPoll);

  /// True if `aNeed` fits beside everything that is committed.
  bool Fits(const base::Resources& aNeed) const;
  /// Like Fits, not counting what is planned for `aKey` itself.
  bool FitsStart(const worker::TaskKey& aKey,
                 const base::Resources& aNeed) const;

  /// Commits capacity for an attempt whose grant is being recorded.
  /// NoCapacity if it does not fit.
  base::Result<void> Plan(const worker::TaskKey& aKey,
                          const base::Resources& aNeed);
  /// Takes a plan back; has no effect on an attempt that was started.
  void CancelPlan(const worker::TaskKey& aKey);

  /// Commits capacity for a start that is about to be sent, and replaces the
  /// plan for it. NoCapacity if it does not fit.
  base::Result<void> CommitStart(const worker::TaskKey& aKey,
                                 const base::Resources& aNeed,
                                 const CommandExpiry& aExpiry);

  /// Sets the usage estimate of a task, if the estimate is trusted. The task
  /// is counted with the larger of reservation and estimate, as far as there
  /// is capacity: an estimate never displaces what already runs.
  void SetTrustedUsage(const worker::TaskKey& aKey,
                       const std::optional<base::Resources>& aUsage);

  /// Keeps capacity free for services; batch tasks do not get it.
  void SetServiceReserve(const base::Resources& aReserve);

  /// Commits one slot and one connection. NoCapacity if there is none. Called
  /// only while `TaskRunner::MaySendCalls` is true.
  base::Result<void> BeginCall(CallNumber aCall, const CommandExpiry& aExpiry);
  /// Frees them: the call was answered or certainly did not run.
  void EndCall(CallNumber aCall);
  /// Keeps them until a report shows that the call is over.
  void MarkCallLost(CallNumber aCall);

  base::Resources Capacity() const { return mCapacity; }
  /// What running tasks, starts in flight and plans take.
  base::Resources Committed() const;
  CallCapacity FreeCallCapacity() const;
  bool HasReport() const { return mHasReport; }
  bool IsStartInFlight(const worker::TaskKey& aKey) const;

private:
  struct Start
  {
    base::Resources mNeed;
    CommandExpiry mExpiry;
  };
  struct Call
  {
    CommandExpiry mExpiry;
    bool mLost = false;
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
  /// Slots that calls of earlier holders still occupy.
  std::int64_t mInheritedBusySlots = 0;
  std::map<worker::TaskKey, base::Resources> mRunning;
  std::map<worker::TaskKey, base::Resources> mTrustedUsage;
  std::map<worker::TaskKey, Start> mStarts;
  std::map<worker::TaskKey, base::Resources> mPlans;
  std::map<CallNumber, Call> mCalls;
};

} // namespace skylarkhill::holder

#endif // SKYLARKHILL_HOLDER_LEDGER_HPP
