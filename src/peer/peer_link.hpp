#ifndef SKYLARKHILL_SRC_PEER_PEER_LINK_HPP
#define SKYLARKHILL_SRC_PEER_PEER_LINK_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/peer/clock_bound.hpp"
#include "skylarkhill/peer/frame.hpp"
#include "skylarkhill/peer/receive_pipes.hpp"
#include "skylarkhill/peer/transport.hpp"

#include <nng/nng.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace skylarkhill::peer {

/// Counters of a transport that all its links update.
struct SharedCounters
{
  std::atomic<std::int64_t> mSent{ 0 };
  std::atomic<std::int64_t> mDelivered{ 0 };
  std::atomic<std::int64_t> mDiscardedUnsent{ 0 };
  std::atomic<std::int64_t> mQueueFull{ 0 };
  std::atomic<std::int64_t> mArrivedLate{ 0 };
  std::atomic<std::int64_t> mAgeUnknown{ 0 };
  std::atomic<std::int64_t> mMalformed{ 0 };
  std::atomic<std::int64_t> mUnauthorized{ 0 };
  std::atomic<std::int64_t> mReplacedConnections{ 0 };
};

/// Wakes the thread that sends queued messages and tells it to stop.
/// Thread-safe.
class SenderSignal
{
public:
  void Notify(bool aStop = false);
  /// Waits for Notify, at most for `aLimit`; false once stopped.
  bool Wait(base::Duration aLimit);

private:
  std::mutex mMutex;
  std::condition_variable mWakeup;
  bool mNotified = false;
  bool mStopped = false;
};

/// State shared by all links of a transport.
struct LinkContext
{
  TransportOptions mOptions;
  /// Address of this transport's listener.
  PeerAddress mSelf;
  /// Random identifier of this transport object; not zero.
  std::uint64_t mSessionId = 0;
  const base::Clock* mClock = nullptr;
  SharedCounters* mCounters = nullptr;
  SenderSignal* mSignal = nullptr;
};

/// The outgoing connection to one peer, its send queue and the bounds of the
/// peer's clock. Thread-safe.
class PeerLink
{
public:
  PeerLink(const LinkContext& aContext, PeerAddress aPeer);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  base::Result<void> Enqueue(std::string aPayload,
                             base::TimePoint aDeadline,
                             AgePolicy aAgePolicy);
  /// Records the header fields of a frame that arrived on `aPipe`.
  void RecordArrival(const Frame& aFrame, nng_pipe aPipe);
  /// Deadline of a frame on the local clock; nothing if its age is unknown.
  std::optional<base::TimePoint> DeadlineOf(const Frame& aFrame) const;
  /// Discards expired messages and sends as many others as the connection
  /// accepts without blocking.
  void SendQueued();
  /// True if messages are queued although the connection is established.
  bool IsCongested() const;
  /// Replaces the connection if the peer has acknowledged nothing for the
  /// acknowledgement timeout.
  void ReplaceIfUnacknowledged();
  /// Closes the connections that the peer has replaced and no longer uses.
  void CloseUnusedPipes();

private:
  struct QueuedMessage
  {
    std::string mPayload;
    base::TimePoint mDeadline;
    AgePolicy mAgePolicy = AgePolicy::RequireKnown;
  };

  static void OnPipe(nng_pipe aPipe, nng_pipe_ev aEvent, void* aSelf);
  /// Sends the first queued message; false if the connection would block.
  bool SendFront(base::TimePoint aNow);
  void DiscardExpired(base::TimePoint aNow);
  void Flush();
  Frame MakeFrame(const QueuedMessage& aMessage, base::TimePoint aNow) const;
  base::Result<void> Connect();

  const LinkContext& mContext;
  const PeerAddress mPeer;
  mutable std::mutex mMutex;
  nng_socket mSocket = NNG_SOCKET_INITIALIZER;
  bool mConnected = false;
  std::atomic<int> mOpenPipes{ 0 };
  std::deque<QueuedMessage> mQueue;
  /// Since when queued messages have not been acknowledged; nothing if none is
  /// unacknowledged.
  std::optional<base::TimePoint> mUnacknowledgedSince;
  base::TimePoint mLastQueuedAt;
  std::uint64_t mPeerSessionId = 0;
  std::int64_t mNewestPeerSentMicros = 0;
  ReceivePipes mReceivePipes;
  ClockBound mClockBound;
};

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_SRC_PEER_PEER_LINK_HPP
