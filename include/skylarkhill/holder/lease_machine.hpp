#ifndef SKYLARKHILL_HOLDER_LEASE_MACHINE_HPP
#define SKYLARKHILL_HOLDER_LEASE_MACHINE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/random.hpp"
#include "skylarkhill/holder/worker_clock.hpp"
#include "skylarkhill/worker/remote_worker.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace skylarkhill::holder {

/// State of an instance's holder lease on one worker.
enum class LeaseState
{
  NotHeld,
  /// The first SetLease request was sent; its answer is pending.
  Placing,
  /// The lease is set; the worker's holder list is read again to check that
  /// there is no other holder.
  Verifying,
  Held,
  /// The lease expired or the worker no longer lists it; it is being removed
  /// and never renewed.
  Lost,
  /// This instance is removing the lease before it expires.
  Releasing,
};

/// The stable name of `aState`.
std::string_view
NameOf(LeaseState aState);

struct LeaseOptions
{
  base::Duration mLeaseDuration = std::chrono::seconds(6);
  base::Duration mRenewInterval = std::chrono::seconds(1);
  /// Upper bound on the drift between the instance's and the worker's clock
  /// during one lease.
  base::Duration mClockMargin = std::chrono::milliseconds(250);
  /// How long a new holder starts no tasks or calls. At least the maximum
  /// message delay; if workers restart with an empty holder list, at least the
  /// lease length plus the maximum message delay.
  base::Duration mQuietPeriod = std::chrono::seconds(1);
  base::Duration mRequestTimeout = std::chrono::seconds(1);
  /// How long a worker must be without a holder before a non-preferred
  /// instance tries to acquire it.
  base::Duration mTakeoverDelay = std::chrono::seconds(2);
  /// Interval between scans: ReadHolders requests while the lease is not held.
  base::Duration mScanInterval = std::chrono::seconds(1);
  base::Duration mBackoffLow = std::chrono::milliseconds(50);
  base::Duration mBackoffHigh = std::chrono::milliseconds(500);
};

/// Request to call `RemoteWorker::SetHolderLease`, which adds or renews the
/// lease; the result is passed to
/// `OnReport`.
struct SetLease
{
  std::uint64_t mRequest = 0;
  worker::HolderToken mToken;
  base::Duration mDuration{};
  base::TimePoint mDeadline;
};

/// Request to call `RemoteWorker::Poll`; the result is passed to `OnReport`.
struct ReadHolders
{
  std::uint64_t mRequest = 0;
  base::TimePoint mDeadline;
};

/// Request to call `RemoteWorker::RemoveHolderLease`; the completion is passed
/// to `OnRemoved`.
struct RemoveLease
{
  std::uint64_t mRequest = 0;
  worker::HolderToken mToken;
  base::TimePoint mDeadline;
};

/// The lease was acquired. The caller creates a ledger and a task runner for
/// this token.
struct LeaseAcquired
{
  worker::HolderToken mToken;
};

/// The lease ended. The caller destroys the worker's ledger and task runner.
struct LeaseEnded
{
  worker::HolderToken mToken;
};

using LeaseAction =
  std::variant<SetLease, ReadHolders, RemoveLease, LeaseAcquired, LeaseEnded>;

/// State machine that acquires, renews and releases the holder lease on one
/// worker for one entry instance. Not thread-safe: used under the lock of the
/// worker's shard.
///
/// The `On...` functions report events. `Step` is called after every event and
/// at least every 50 ms, and returns the actions to carry out.
class LeaseMachine
{
public:
  /// `aRandom` must outlive this object.
  LeaseMachine(base::InstanceId aInstance,
               LeaseOptions aOptions,
               base::Random& aRandom);

  /// Whether this instance is the preferred holder. A preferred instance does
  /// not wait for the takeover delay.
  void SetPreferred(bool aPreferred);

  /// Handles the result of the SetLease or ReadHolders request `aRequest`.
  void OnReport(std::uint64_t aRequest,
                const base::Result<worker::WorkerReport>& aReport,
                base::TimePoint aNow);

  /// Handles the completion of the RemoveLease request `aRequest`, whether it
  /// succeeded or not.
  void OnRemoved(std::uint64_t aRequest, base::TimePoint aNow);

  /// Releases the lease, if any, and never acquires it again.
  void Release(base::TimePoint aNow);

  /// Handles timeouts and due renewals. Returns the pending actions, to be
  /// carried out in this order.
  std::vector<LeaseAction> Step(base::TimePoint aNow);

  /// True while the lease is held, so that commands may be sent to the worker.
  /// Must be checked with the current time immediately before each send.
  bool MaySendCommands(base::TimePoint aNow) const;

  LeaseState State() const { return mState; }
  /// The token of the current or last acquisition.
  const worker::HolderToken& Token() const { return mToken; }
  /// The holder must not send commands at or after this time.
  base::TimePoint Deadline() const { return mDeadline; }
  /// Commands of previous holders may arrive until this time.
  base::TimePoint QuietPeriodEnd() const { return mQuietPeriodEnd; }
  const WorkerClock& Clock() const { return mClock; }
  const LeaseOptions& Options() const { return mOptions; }

private:
  struct Request
  {
    std::uint64_t mNumber = 0;
    base::TimePoint mSentAt;
    base::TimePoint mDeadline;
  };

  bool IsLeaseExpired(base::TimePoint aNow) const;
  bool IsOwnLeaseIn(const worker::WorkerReport& aReport) const;
  bool IsOtherLeaseIn(const worker::WorkerReport& aReport) const;
  void UpdateFromReport(const worker::WorkerReport& aReport,
                        const Request& aRequest,
                        base::TimePoint aNow);
  void HandleReport(const worker::WorkerReport& aReport,
                    const Request& aRequest,
                    base::TimePoint aNow);
  /// The outstanding request failed or timed out, or was a removal.
  void HandleEndWithoutReport(base::TimePoint aNow);
  void HandleScan(const worker::WorkerReport& aReport, base::TimePoint aNow);
  void HandleVerification(const worker::WorkerReport& aReport,
                          base::TimePoint aNow);
  void HandleRenewal(const worker::WorkerReport& aReport,
                     const Request& aRequest,
                     base::TimePoint aNow);
  void SendReadHolders(base::TimePoint aNow);
  void SendSetLease(base::TimePoint aNow);
  void EndLease(LeaseState aState, base::TimePoint aNow);
  void StartRequest(base::TimePoint aNow);

  base::InstanceId mInstance;
  LeaseOptions mOptions;
  base::Random& mRandom;
  LeaseState mState = LeaseState::NotHeld;
  bool mPreferred = false;
  bool mReleased = false;
  worker::HolderToken mToken;
  std::uint64_t mLargestEpoch = 0;
  base::TimePoint mDeadline;
  base::TimePoint mQuietPeriodEnd;
  /// A holder list read after the quiet period contained no other lease.
  bool mConfirmed = false;
  /// When the next scan or renewal is due.
  base::TimePoint mNextSend;
  /// When the first of the latest uninterrupted scans without another holder
  /// was answered; empty after a scan that failed or found one, and once the
  /// lease is requested or ended.
  std::optional<base::TimePoint> mUnheldSince;
  std::uint64_t mLastRequest = 0;
  std::optional<Request> mOutstanding;
  WorkerClock mClock;
  std::vector<LeaseAction> mActions;
};

} // namespace skylarkhill::holder

#endif // SKYLARKHILL_HOLDER_LEASE_MACHINE_HPP
