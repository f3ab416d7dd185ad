#include "skylarkhill/base/random.hpp"
#include "skylarkhill/peer/codec.hpp"
#include "skylarkhill/peer/transport.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "nng_socket.hpp"
#include "peer_link.hpp"

namespace skylarkhill::peer {

using base::ErrorKind;
using base::MakeError;

namespace {

// Number of checks for unacknowledged messages per acknowledgement timeout.
constexpr int kChecksPerAckTimeout = 4;
// Delays before sending on a congested connection is retried. The minimum is
// about the time that nng needs for one message. The maximum applies to a peer
// that has stopped reading; retrying faster would waste processor time.
constexpr base::Duration kMinRetryDelay{ 50 };
constexpr base::Duration kMaxRetryDelay{ 5'000 };
// Bounds the time until a receiving thread notices Stop.
constexpr nng_duration kReceiveTimeoutMs = 100;
// Time between the end of receiving and the close of the pull socket; by then
// flow control has stopped the peers, see Stop.
constexpr base::Duration kCloseDelay{ 20'000 };

/// One listening pull socket and one push socket per peer. Pair sockets would
/// require both ends to agree on which one connects, and bus sockets silently
/// drop messages when a buffer is full.
class NngTransport : public Transport
{
public:
  NngTransport(const TransportOptions& aOptions,
               MessageSink& aSink,
               const base::Clock& aClock)
    : mSink(aSink)
  {
    mContext.mOptions = aOptions;
    mContext.mClock = &aClock;
    mContext.mCounters = &mCounters;
    mContext.mSignal = &mSignal;
    const auto random = base::CreateSystemRandom();
    mContext.mSessionId = random->Next() | 1U;
  }

  ~NngTransport() override { Stop(); }

  base::Result<void> Listen()
  {
    BOOST_OUTCOME_TRYV(CheckNng(nng_pull0_open(&mPull), "open"));
    mIsOpen = true;
    nng_socket_set_ms(mPull, NNG_OPT_RECVTIMEO, kReceiveTimeoutMs);
    nng_socket_set_size(mPull, NNG_OPT_RECVMAXSZ, kMaxFrameBytes);

    const TransportOptions& options = mContext.mOptions;
    BOOST_OUTCOME_TRY(
      port, ListenOn(mPull, PeerAddress{ options.mAddress, options.mPort }));
    mContext.mSelf = PeerAddress{ options.mAddress, port };
    for (std::size_t n = 0; n < options.mReceiveThreads; ++n) {
      mThreads.emplace_back([this] { ReceiveLoop(); });
    }
    mThreads.emplace_back([this] { SendLoop(); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  base::Result<void> Send(const PeerAddress& aPeer,
                          std::string aPayload,
                          base::TimePoint aDeadline,
                          AgePolicy aAgePolicy) override
  {
    if (aPayload.size() > kMaxMessageBytes) {
      return MakeError(ErrorKind::PayloadTooLarge,
                       "peer message exceeds the size limit");
    }
    const std::shared_ptr<PeerLink> link = FindLink(aPeer);
    if (!link) {
      const std::lock_guard<std::mutex> lock(mMutex);
      return MakeError(mStopping ? ErrorKind::ShuttingDown
                                 : ErrorKind::Unauthorized);
    }
    return link->Enqueue(std::move(aPayload), aDeadline, aAgePolicy);
  }

  void SetAllowedPeers(const std::set<PeerAddress>& aPeers) override
  {
    // Declared before the lock, so that links are destroyed after its release:
    // their destructor waits for callbacks.
    std::map<PeerAddress, std::shared_ptr<PeerLink>> removed;
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mStopping) {
      return;
    }
    removed.swap(mLinks);
    for (const PeerAddress& it : aPeers) {
      const auto kept = removed.extract(it);
      mLinks[it] =
        kept ? kept.mapped() : std::make_shared<PeerLink>(mContext, it);
    }
  }

  std::uint16_t Port() const override { return mContext.mSelf.mPort; }

  TransportCounters GetCounters() const override
  {
    TransportCounters counters;
    counters.mSent = mCounters.mSent;
    counters.mDelivered = mCounters.mDelivered;
    counters.mDiscardedUnsent = mCounters.mDiscardedUnsent;
    counters.mQueueFull = mCounters.mQueueFull;
    counters.mArrivedLate = mCounters.mArrivedLate;
    counters.mAgeUnknown = mCounters.mAgeUnknown;
    counters.mMalformed = mCounters.mMalformed;
    counters.mUnauthorized = mCounters.mUnauthorized;
    counters.mReplacedConnections = mCounters.mReplacedConnections;
    return counters;
  }

  void Stop() override
  {
    std::map<PeerAddress, std::shared_ptr<PeerLink>> links;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (mStopping) {
        return;
      }
      mStopping = true;
      links.swap(mLinks);
    }
    mSignal.Notify(true);
    mStopReceiving = true;
    for (std::thread& it : mThreads) {
      it.join();
    }
    // Closing a pull socket of nng 1.5.2 while it receives can block forever.
    // Once no thread reads from it, flow control stops the peers.
    std::this_thread::sleep_for(kCloseDelay);
    if (mIsOpen) {
      nng_close(mPull);
    }
  }

private:
  std::shared_ptr<PeerLink> FindLink(const PeerAddress& aPeer) const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto found = mLinks.find(aPeer);
    return found == mLinks.end() ? nullptr : found->second;
  }

  void ReceiveLoop()
  {
    while (!mStopReceiving) {
      nng_msg* message = nullptr;
      if (nng_recvmsg(mPull, &message, 0) != 0) {
        continue;
      }
      const nng_pipe pipe = nng_msg_get_pipe(message);
      const auto* body = static_cast<const char*>(nng_msg_body(message));
      Receive(std::string_view(body, nng_msg_len(message)), pipe);
      nng_msg_free(message);
    }
  }

  void Receive(std::string_view aBytes, nng_pipe aPipe)
  {
    base::Result<Frame> decoded = DecodeFrame(aBytes);
    if (!decoded) {
      ++mCounters.mMalformed;
      return;
    }
    Frame& frame = decoded.value();
    const std::shared_ptr<PeerLink> link = FindLink(frame.mSender);
    if (!link || frame.mSender.mIp != GetRemoteIp(aPipe)) {
      ++mCounters.mUnauthorized;
      return;
    }
    link->RecordArrival(frame, aPipe);
    Deliver(*link, frame);
  }

  void Deliver(const PeerLink& aLink, Frame& aFrame)
  {
    const std::optional<base::TimePoint> deadline = aLink.DeadlineOf(aFrame);
    if (!deadline && !aFrame.mAcceptsUnknownAge) {
      ++mCounters.mAgeUnknown;
      return;
    }
    if (deadline && mContext.mClock->Now() >= *deadline) {
      ++mCounters.mArrivedLate;
      return;
    }
    ++mCounters.mDelivered;
    mSink.OnMessage(ReceivedMessage{ std::move(aFrame.mSender),
                                     deadline.value_or(base::kNoDeadline),
                                     std::move(aFrame.mPayload) });
  }

  std::map<PeerAddress, std::shared_ptr<PeerLink>> GetLinks() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mLinks;
  }

  /// Sends queued messages, replaces unacknowledged connections and closes
  /// unused ones until Stop.
  void SendLoop()
  {
    const base::Duration idleDelay =
      mContext.mOptions.mAckTimeout / kChecksPerAckTimeout;
    base::Duration retryDelay = kMinRetryDelay;
    base::Duration delay = idleDelay;
    while (mSignal.Wait(delay)) {
      const std::int64_t sent = mCounters.mSent;
      bool congested = false;
      for (const auto& it : GetLinks()) {
        it.second->SendQueued();
        it.second->ReplaceIfUnacknowledged();
        it.second->CloseUnusedPipes();
        congested = congested || it.second->IsCongested();
      }
      const bool progressed = mCounters.mSent != sent;
      retryDelay =
        progressed ? kMinRetryDelay : std::min(retryDelay * 2, kMaxRetryDelay);
      delay = congested ? retryDelay : idleDelay;
    }
  }

  MessageSink& mSink;
  LinkContext mContext;
  SharedCounters mCounters;
  SenderSignal mSignal;
  nng_socket mPull = NNG_SOCKET_INITIALIZER;
  bool mIsOpen = false;
  std::atomic<bool> mStopReceiving{ false };
  mutable std::mutex mMutex;
  bool mStopping = false;
  std::map<PeerAddress, std::shared_ptr<PeerLink>> mLinks;
  std::vector<std::thread> mThreads;
};

} // namespace

base::Result<std::unique_ptr<Transport>>
CreateNngTransport(const TransportOptions& aOptions,
                   MessageSink& aSink,
                   const base::Clock& aClock)
{
  auto transport = std::make_unique<NngTransport>(aOptions, aSink, aClock);
  BOOST_OUTCOME_TRYV(transport->Listen());
  return std::unique_ptr<Transport>(std::move(transport));
}

} // namespace skylarkhill::peer
