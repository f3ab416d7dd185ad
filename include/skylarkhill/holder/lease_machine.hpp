#ifndef SKYLARKHILL_HOLDER_LEASE_MACHINE_HPP
#define SKYLARKHILL_HOLDER_LEASE_MACHINE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/random.hpp"
#include "skylarkhill/holder/worker_clock.hpp"
#include "skylarkhill/worker/worker_port.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace skylarkhill::holder {

/// Where an instance stands with one worker.
enum class LeaseState
{
  NotHeld,
  /// The holder lease was sent and is not answered yet.
  Placing,
  /// The lease is placed; the list is being read again.
  Verifying,
  Held,
  /// The lease lapsed; it is being removed and is never continued.
  Lost,
  /// The lease is given up on purpose.
  Releasing,
};

/// The stable name of `aState`.
std::string_view
NameOf(LeaseState aState);

struct LeaseOptions
{
  base::Duration mLeaseLength = std::chrono::seconds(6);
  base::Duration mRenewInterval = std::chrono::seconds(1);
  /// Bound on how far the two clocks drift apart during one lease.
  base::Duration mClockMargin = std::chrono::milliseconds(250);
  /// How long a new holder starts nothing. At least the longest time a sent
  /// message may take to arrive; where workers restart with an empty lease
  /// list, at least the lease length and that time together.
  base::Duration mQuietPeriod = std::chrono::seconds(1);
  base::Duration mRequestTimeout = std::chrono::seconds(1);
  /// How long a worker must be without a holder before an instance that is
  /// not preferred tries to acquire it.
  base::Duration mTakeoverDelay = std::chrono::seconds(2);
  base::Duration mScanInterval = std::chrono::seconds(1);
  base::Duration mBackoffLow = std::chrono::milliseconds(50);
  base::Duration mBackoffHigh = std::chrono::milliseconds(500);
};

/// Asks for `WorkerPort::PlaceHolderLease`; answered by `OnReport`.
struct PlaceLease
{
  std::uint64_t mRequest = 0;
  worker::HolderToken mToken;
  base::Duration mLength{};
  base::TimePoint mDeadline;
};

/// Asks for `WorkerPort::Poll`; answered by `OnReport`.
struct ReadHolders
{
  std::uint64_t mRequest = 0;
  base::TimePoint mDeadline;
};

/// Asks for `WorkerPort::RemoveHolderLease`; answered by `OnRemoved`.
struct RemoveLease
{
  std::uint64_t mRequest = 0;
  worker::HolderToken mToken;
  base::TimePoint mDeadline;
};

/// The worker is held from now on. A ledger and a task runner are created
/// for this token.
struct LeaseAcquired
{
  worker::HolderToken mToken;
};

/// The worker is not held any more. Its ledger and task runner are dropped.
struct LeaseEnded
{
  worker::HolderToken mToken;
};

using LeaseAction =
  std::variant<PlaceLease, ReadHolders, RemoveLease, LeaseAcquired, LeaseEnded>;

/// Acquires, renews and releases the holder lease on one worker for one entry
/// instance. Not thread-safe: used under the lock of the worker's shard.
///
/// Events are reported by the `On...` functions; `Step` is called after every
/// event and at least every 50 ms, and returns what is to be done.
class LeaseMachine
{
public:
  /// `aRandom` outlives the machine.
  LeaseMachine(base::InstanceId aInstance,
               LeaseOptions aOptions,
               base::Random& aRandom);

  /// Whether this instance should hold the worker. It is a preference only.
  void SetPreferred(bool aPreferred);

  /// The answer to the PlaceLease or ReadHolders with this number.
  void OnReport(std::uint64_t aRequest,
                const base::Result<worker::WorkerReport>& aReport,
                base::TimePoint aNow);

  /// The answer, whatever it is, to the RemoveLease with this number.
  void OnRemoved(std::uint64_t aRequest, base::TimePoint aNow);

  /// Gives the worker up and acquires it no more.
  void Release(base::TimePoint aNow);

  /// Handles timeouts and due renewals, and returns the pending actions in
  /// the order in which they are to be carried out.
  std::vector<LeaseAction> Step(base::TimePoint aNow);

  /// True while commands may be sent to the worker. Checked with a fresh time
  /// immediately before each send.
  bool MaySendCommands(base::TimePoint aNow) const;

  LeaseState State() const { return mState; }
  /// The token of the current or last acquisition.
  const worker::HolderToken& Token() const { return mToken; }
  /// The holder must not commit at or after this time.
  base::TimePoint Deadline() const { return mDeadline; }
  /// Commands of earlier holders may arrive until this time.
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
  void HandleFailure(base::TimePoint aNow);
  void HandleScan(const worker::WorkerReport& aReport, base::TimePoint aNow);
  void HandleVerification(const worker::WorkerReport& aReport,
                          base::TimePoint aNow);
  void HandleRenewal(const worker::WorkerReport& aReport,
                     const Request& aRequest,
                     base::TimePoint aNow);
  void SendRead(base::TimePoint aNow);
  void SendPlace(base::TimePoint aNow);
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
  /// A list read after the quiet period showed no other lease.
  bool mConfirmed = false;
  /// When the next scan or renewal is due.
  base::TimePoint mNextSend;
  std::optional<base::TimePoint> mFreeSince;
  std::uint64_t mLastRequest = 0;
  std::optional<Request> mOutstanding;
  WorkerClock mClock;
  std::vector<LeaseAction> mActions;
};

} // namespace skylarkhill::holder

#endif // SKYLARKHILL_HOLDER_LEASE_MACHINE_HPP
