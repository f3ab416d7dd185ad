#ifndef SKYLARKHILL_PEER_TRANSPORT_HPP
#define SKYLARKHILL_PEER_TRANSPORT_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/peer/address.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace skylarkhill::peer {

/// A message that arrived before its deadline.
struct ReceivedMessage
{
  PeerAddress mFrom;
  /// On the local clock; not later than the sender's deadline. kNoDeadline if
  /// the age of the message is unknown.
  base::TimePoint mDeadline;
  std::string mPayload;
};

/// Receives messages; called concurrently from several threads.
class MessageSink
{
public:
  virtual ~MessageSink() = default;
  virtual void OnMessage(ReceivedMessage aMessage) = 0;
};

/// Whether a message may be delivered if the receiver cannot determine its age.
enum class AgePolicy
{
  /// Send fails until the clock offset of the two instances is bounded.
  RequireKnown,
  /// For heartbeats, which establish the bound of the clock offset.
  AllowUnknown,
};

struct TransportCounters
{
  std::int64_t mSent = 0;
  std::int64_t mDelivered = 0;
  /// Removed from the send queue unsent: the deadline passed or the peer was
  /// removed.
  std::int64_t mDiscardedUnsent = 0;
  /// Not accepted for sending because the queue was full.
  std::int64_t mQueueFull = 0;
  /// Arrived after the deadline.
  std::int64_t mArrivedLate = 0;
  /// Discarded because their age was unknown and AgePolicy::RequireKnown
  /// applied.
  std::int64_t mAgeUnknown = 0;
  /// Received bytes that cannot be decoded, and own messages that cannot be
  /// encoded.
  std::int64_t mMalformed = 0;
  /// Received from an address that is not in the list of allowed peers.
  std::int64_t mUnauthorized = 0;
  /// Connections replaced because the peer acknowledged nothing in time.
  std::int64_t mReplacedConnections = 0;
};

struct TransportOptions
{
  /// IP address to listen on; also the source address of connections.
  std::string mAddress;
  /// 0 selects a free port.
  std::uint16_t mPort = 0;
  std::size_t mReceiveThreads = 2;
  /// Longest send queue per peer.
  std::size_t mMaxQueuedMessages = 64;
  /// A connection is replaced if nothing sent on it is acknowledged for this
  /// long. Should span several heartbeat intervals.
  base::Duration mAckTimeout{ 3'000'000 };
};

/// Exchanges messages with other entry instances. Thread-safe.
///
/// A message is sent at most once and never delivered after its deadline.
class Transport
{
public:
  virtual ~Transport() = default;

  /// Queues one message. On an error nothing is sent: WorkerUnavailable if the
  /// offset of the peer's clock is not bounded and `aAgePolicy` requires it,
  /// Overloaded if the send queue is full, Unauthorized if the peer is not
  /// allowed, DeadlineExceeded if `aDeadline` has passed, PayloadTooLarge,
  /// ShuttingDown.
  virtual base::Result<void> Send(const PeerAddress& aPeer,
                                  std::string aPayload,
                                  base::TimePoint aDeadline,
                                  AgePolicy aAgePolicy) = 0;
  /// Replaces the list of allowed peers and closes connections to all others.
  virtual void SetAllowedPeers(const std::set<PeerAddress>& aPeers) = 0;
  virtual std::uint16_t Port() const = 0;
  virtual TransportCounters GetCounters() const = 0;
  /// Closes all connections; the sink is not called afterwards.
  virtual void Stop() = 0;
};

/// Creates a transport and starts listening. `aSink` and `aClock` must outlive
/// it. ConnectionLost if it cannot listen.
base::Result<std::unique_ptr<Transport>>
CreateNngTransport(const TransportOptions& aOptions,
                   MessageSink& aSink,
                   const base::Clock& aClock);

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_PEER_TRANSPORT_HPP
