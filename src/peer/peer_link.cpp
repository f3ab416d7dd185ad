#include "peer_link.hpp"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <iterator>
#include <utility>

#include "nng_socket.hpp"

namespace skylarkhill::peer {

using base::ErrorKind;
using base::MakeError;

namespace {

// Keeps the remaining time of a frame within the range that the receiver
// accepts.
constexpr base::Duration kMaxRemaining = std::chrono::hours(24);

} // namespace

void
SenderSignal::Notify(bool aStop)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mNotified = true;
  mStopped = mStopped || aStop;
  mWakeup.notify_all();
}

bool
SenderSignal::Wait(base::Duration aLimit)
{
  std::unique_lock<std::mutex> lock(mMutex);
  mWakeup.wait_for(lock, aLimit, [this] { return mNotified; });
  mNotified = mStopped;
  return !mStopped;
}

PeerLink::PeerLink(const LinkContext& aContext, PeerAddress aPeer)
  : mContext(aContext)
  , mPeer(std::move(aPeer))
  , mReceivePipes(aContext.mOptions.mAckTimeout)
{
}

PeerLink::~PeerLink()
{
  mContext.mCounters->mDiscardedUnsent +=
    static_cast<std::int64_t>(mQueue.size());
  if (mConnected) {
    nng_close(mSocket);
  }
}

base::Result<void>
PeerLink::Enqueue(std::string aPayload,
                  base::TimePoint aDeadline,
                  AgePolicy aAgePolicy)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const base::TimePoint now = mContext.mClock->Now();
  if (now >= aDeadline) {
    return MakeError(ErrorKind::DeadlineExceeded);
  }
  const bool known = mClockBound.MinDifference(now).has_value();
  if (aAgePolicy == AgePolicy::RequireKnown && !known) {
    return MakeError(ErrorKind::WorkerUnavailable,
                     "offset of the peer's clock is not bounded yet");
  }
  DiscardExpired(now);
  if (mQueue.size() >= mContext.mOptions.mMaxQueuedMessages) {
    ++mContext.mCounters->mQueueFull;
    return MakeError(ErrorKind::Overloaded, "send queue of the peer is full");
  }
  BOOST_OUTCOME_TRYV(Connect());
  mQueue.push_back(QueuedMessage{ std::move(aPayload), aDeadline, aAgePolicy });
  mLastQueuedAt = now;
  if (!mUnacknowledgedSince) {
    mUnacknowledgedSince = now;
  }
  Flush();
  if (!mQueue.empty() && mOpenPipes > 0) {
    mContext.mSignal->Notify();
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void
PeerLink::RecordArrival(const Frame& aFrame, nng_pipe aPipe)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const base::TimePoint now = mContext.mClock->Now();
  if (aFrame.mSessionId != mPeerSessionId) {
    mPeerSessionId = aFrame.mSessionId;
    mClockBound = ClockBound();
    mNewestPeerSentMicros = aFrame.mSentMicros - 1;
  }
  mClockBound.RecordArrival(aFrame.mSentMicros, now);
  const bool isNewest = aFrame.mSentMicros > mNewestPeerSentMicros;
  mNewestPeerSentMicros = std::max(mNewestPeerSentMicros, aFrame.mSentMicros);
  mReceivePipes.RecordFrame(aPipe.id, isNewest, now);
  if (aFrame.mEcho.mSessionId == mContext.mSessionId) {
    mClockBound.RecordEcho(aFrame.mEcho.mMinDifferenceMicros, now);
    const base::TimePoint seen =
      base::FromMicros(aFrame.mEcho.mNewestSentMicros);
    if (mUnacknowledgedSince && seen >= *mUnacknowledgedSince) {
      mUnacknowledgedSince = std::nullopt;
      if (mLastQueuedAt > seen) {
        mUnacknowledgedSince = mLastQueuedAt;
      }
    }
  }
}

// If a middlebox has dropped its state of a replaced connection, the peer's
// close never arrives here. nng 1.5.2 can block for ever in the reaping of a
// pipe that is closed while it receives, and with it every close of a socket.
void
PeerLink::CloseUnusedPipes()
{
  std::vector<ReceivePipes::PipeId> unused;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    unused = mReceivePipes.TakeUnused(mContext.mClock->Now());
  }
  for (const auto it : unused) {
    nng_pipe pipe = NNG_PIPE_INITIALIZER;
    pipe.id = it;
    nng_pipe_close(pipe);
  }
}

std::optional<base::TimePoint>
PeerLink::DeadlineOf(const Frame& aFrame) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mClockBound.ToEarliestLocalTime(
    aFrame.mSentMicros + aFrame.mRemainingMicros, mContext.mClock->Now());
}

void
PeerLink::ReplaceIfUnacknowledged()
{
  nng_socket old = NNG_SOCKET_INITIALIZER;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const base::TimePoint now = mContext.mClock->Now();
    if (!mConnected || !mUnacknowledgedSince ||
        now - *mUnacknowledgedSince < mContext.mOptions.mAckTimeout) {
      return;
    }
    old = mSocket;
    mConnected = false;
    mUnacknowledgedSince.reset();
    ++mContext.mCounters->mReplacedConnections;
  }
  nng_close(old);
}

void
PeerLink::SendQueued()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  DiscardExpired(mContext.mClock->Now());
  Flush();
}

bool
PeerLink::IsCongested() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return !mQueue.empty() && mOpenPipes > 0;
}

void
PeerLink::OnPipe(nng_pipe, nng_pipe_ev aEvent, void* aSelf)
{
  auto* self = static_cast<PeerLink*>(aSelf);
  self->mOpenPipes += aEvent == NNG_PIPE_EV_ADD_POST ? 1 : -1;
  self->mContext.mSignal->Notify();
}

void
PeerLink::DiscardExpired(base::TimePoint aNow)
{
  const auto expired = [&](const QueuedMessage& aMessage) {
    return aNow >= aMessage.mDeadline;
  };
  const auto rest = std::remove_if(mQueue.begin(), mQueue.end(), expired);
  mContext.mCounters->mDiscardedUnsent += std::distance(rest, mQueue.end());
  mQueue.erase(rest, mQueue.end());
}

void
PeerLink::Flush()
{
  while (!mQueue.empty() && mOpenPipes > 0) {
    const base::TimePoint now = mContext.mClock->Now();
    if (now >= mQueue.front().mDeadline) {
      ++mContext.mCounters->mDiscardedUnsent;
    } else if (!SendFront(now)) {
      return;
    }
    mQueue.pop_front();
  }
}

bool
PeerLink::SendFront(base::TimePoint aNow)
{
  const base::Result<std::string> bytes =
    EncodeFrame(MakeFrame(mQueue.front(), aNow));
  if (!bytes) {
    ++mContext.mCounters->mMalformed;
    return true;
  }
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, bytes.value().size()) != 0) {
    return false;
  }
  std::memcpy(
    nng_msg_body(message), bytes.value().data(), bytes.value().size());
  if (nng_sendmsg(mSocket, message, NNG_FLAG_NONBLOCK) != 0) {
    nng_msg_free(message);
    return false;
  }
  ++mContext.mCounters->mSent;
  return true;
}

Frame
PeerLink::MakeFrame(const QueuedMessage& aMessage, base::TimePoint aNow) const
{
  Frame frame;
  frame.mSender = mContext.mSelf;
  frame.mSessionId = mContext.mSessionId;
  frame.mSentMicros = base::ToMicros(aNow);
  frame.mRemainingMicros =
    std::min(base::Remaining(aNow, aMessage.mDeadline), kMaxRemaining).count();
  frame.mAcceptsUnknownAge = aMessage.mAgePolicy == AgePolicy::AllowUnknown;
  const auto difference = mClockBound.MinDifference(aNow);
  if (difference) {
    frame.mEcho =
      FrameEcho{ mPeerSessionId, mNewestPeerSentMicros, *difference };
  }
  frame.mPayload = aMessage.mPayload;
  return frame;
}

base::Result<void>
PeerLink::Connect()
{
  if (mConnected) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  BOOST_OUTCOME_TRY(socket, OpenPushSocket());
  mSocket = socket;
  mConnected = true;
  nng_pipe_notify(mSocket, NNG_PIPE_EV_ADD_POST, &PeerLink::OnPipe, this);
  nng_pipe_notify(mSocket, NNG_PIPE_EV_REM_POST, &PeerLink::OnPipe, this);
  BOOST_OUTCOME_TRYV(StartDialer(mSocket, mPeer, mContext.mOptions.mAddress));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace skylarkhill::peer
