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

/// A message that has arrived before its deadline.
struct ReceivedMessage
{
  PeerAddress mFrom;
  /// On the own clock; not later than the sender's deadline. kNoDeadline if
  /// the age of the message is unknown.
  base::TimePoint mDeadline;
  std::string mPayload;
};

/// Receives messages; called from several threads at once.
class MessageSink
{
public:
  virtual ~MessageSink() = default;
  virtual void OnMessage(ReceivedMessage aMessage) = 0;
};

/// Whether a message is of use if the receiver cannot determine its age.
enum class AgePolicy
{
  /// Refused by the sender until the two clocks are compared.
  RequireKnown,
  /// For heartbeats, which compare the clocks in the first place.
  AllowUnknown,
};

struct TransportCounters
{
  std::int64_t mSent = 0;
  std::int64_t mDelivered = 0;
  /// Left the sending queue unsent: its deadline passed or the peer was
  /// dropped.
  std::int64_t mDiscardedUnsent = 0;
  std::int64_t mQueueFull = 0;
  /// Arrived after the deadline.
  std::int64_t mArrivedLate = 0;
  /// Arrived without a known age although it matters.
  std::int64_t mAgeUnknown = 0;
  std::int64_t mMalformed = 0;
  /// From an address that is not allowed.
  std::int64_t mUnauthorized = 0;
  /// Connections replaced because nothing was answered.
  std::int64_t mReplacedConnections = 0;
};

struct TransportOptions
{
  /// IP address that peers reach this instance at; also the source address.
  std::string mAddress;
  /// 0 selects a free port.
  std::uint16_t mPort = 0;
  std::size_t mReceiveThreads = 2;
  /// Messages that wait for one peer.
  std::size_t mMaxQueuedMessages = 64;
  /// A connection is replaced if nothing sent on it is acknowledged for this
  /// long; some heartbeat intervals.
  base::Duration mAckTimeout{ 3'000'000 };
};

/// Messages to and from other entry instances. Thread-safe.
///
/// A message is sent at most once and is never delivered after its deadline.
class Transport
{
public:
  virtual ~Transport() = default;

  /// Queues one message. WorkerUnavailable if the peer's clock is not known
  /// yet, Overloaded if its queue is full, Unauthorized if it is not allowed,
  /// DeadlineExceeded, PayloadTooLarge, ShuttingDown: nothing is sent.
  virtual base::Result<void> Send(const PeerAddress& aPeer,
                                  std::string aPayload,
                                  base::TimePoint aDeadline,
                                  AgePolicy aAgePolicy) = 0;
  /// Replaces the list of peers; connections to others are closed.
  virtual void SetAllowedPeers(const std::set<PeerAddress>& aPeers) = 0;
  virtual std::uint16_t Port() const = 0;
  virtual TransportCounters GetCounters() const = 0;
  /// Closes all connections; the sink is not called afterwards.
  virtual void Stop() = 0;
};

/// A transport that listens at once. `aSink` and `aClock` must outlive it.
/// ConnectionLost if it cannot listen.
base::Result<std::unique_ptr<Transport>>
CreateNngTransport(const TransportOptions& aOptions,
                   MessageSink& aSink,
                   const base::Clock& aClock);

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_PEER_TRANSPORT_HPP
