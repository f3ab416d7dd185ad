#include "skylarkhill/peer/codec.hpp"
#include "skylarkhill/peer/frame.hpp"
#include "skylarkhill/peer/transport.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace skylarkhill::peer {

namespace {

using base::ErrorKind;
using std::chrono::milliseconds;

const char* const kHostA = "127.0.0.1";
const char* const kHostB = "127.0.0.2";

base::TimePoint
After(milliseconds aDelay)
{
  return base::GetBootClock().Now() + aDelay;
}

/// Polls `aCondition`, since the tests use real sockets and threads.
bool
WaitUntil(const std::function<bool()>& aCondition,
          milliseconds aLimit = milliseconds(5000))
{
  const base::TimePoint end = After(aLimit);
  while (base::GetBootClock().Now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return aCondition();
}

/// Collects messages; can block to simulate a suspended process.
class Inbox : public MessageSink
{
public:
  void OnMessage(ReceivedMessage aMessage) override
  {
    std::unique_lock<std::mutex> lock(mMutex);
    mWakeup.wait(lock, [this] { return !mBlocked; });
    if (base::GetBootClock().Now() >= aMessage.mDeadline && !mHasBeenBlocked) {
      ++mLate;
    }
    mPayloads.push_back(std::move(aMessage.mPayload));
  }
  void Block(bool aBlocked)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mBlocked = aBlocked;
    mHasBeenBlocked = mHasBeenBlocked || aBlocked;
    mWakeup.notify_all();
  }
  std::int64_t Count(const std::string& aPayload) const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return std::count(mPayloads.begin(), mPayloads.end(), aPayload);
  }
  std::int64_t CountLate() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mLate;
  }

private:
  mutable std::mutex mMutex;
  std::condition_variable mWakeup;
  bool mBlocked = false;
  bool mHasBeenBlocked = false;
  std::int64_t mLate = 0;
  std::vector<std::string> mPayloads;
};

struct Node
{
  explicit Node(const char* aIp, std::uint16_t aPort = 0)
    : mIp(aIp)
  {
    Start(aPort);
  }
  void Start(std::uint16_t aPort)
  {
    TransportOptions options;
    options.mAddress = mIp;
    options.mPort = aPort;
    options.mMaxQueuedMessages = 8;
    options.mAckTimeout = milliseconds(400);
    auto created = CreateNngTransport(options, mInbox, base::GetBootClock());
    CPPUNIT_ASSERT(created.has_value());
    mTransport = std::move(created.value());
  }
  PeerAddress Address() const { return { mIp, mTransport->Port() }; }
  bool Send(const PeerAddress& aTo, const char* aText, milliseconds aLimit)
  {
    return mTransport->Send(aTo, aText, After(aLimit), AgePolicy::RequireKnown)
      .has_value();
  }
  void SendHeartbeat(const PeerAddress& aTo)
  {
    const auto sent = mTransport->Send(
      aTo, "beat", After(milliseconds(300)), AgePolicy::AllowUnknown);
    CPPUNIT_ASSERT(sent.has_value() ||
                   sent.error().mKind == ErrorKind::Overloaded);
  }

  std::string mIp;
  Inbox mInbox;
  std::unique_ptr<Transport> mTransport;
};

/// Exchanges heartbeats until both sides have bounded the clock offset.
void
ExchangeClocks(Node& aLeft, Node& aRight)
{
  aLeft.mTransport->SetAllowedPeers({ aRight.Address() });
  aRight.mTransport->SetAllowedPeers({ aLeft.Address() });
  CPPUNIT_ASSERT(WaitUntil([&] {
    aLeft.SendHeartbeat(aRight.Address());
    aRight.SendHeartbeat(aLeft.Address());
    const bool sent =
      aLeft.Send(aRight.Address(), "hello", milliseconds(300)) &&
      aRight.Send(aLeft.Address(), "hello", milliseconds(300));
    return sent && aLeft.mInbox.Count("hello") > 0 &&
           aRight.mInbox.Count("hello") > 0;
  }));
}

/// A peer on bare nng sockets that counts connections and sends the frames that
/// the test specifies.
class RawPeer
{
public:
  RawPeer()
  {
    CPPUNIT_ASSERT_EQUAL(0, nng_pull0_open(&mPull));
    CPPUNIT_ASSERT_EQUAL(0, nng_push0_open(&mPush));
    nng_pipe_notify(mPull, NNG_PIPE_EV_ADD_POST, &RawPeer::OnConnect, this);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    CPPUNIT_ASSERT_EQUAL(0,
                         nng_listen(mPull, "tcp://127.0.0.1:0", &listener, 0));
    int port = 0;
    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    mFrame.mSender = { kHostA, static_cast<std::uint16_t>(port) };
    mFrame.mSessionId = 77;
    mFrame.mRemainingMicros = 1'000'000;
  }
  ~RawPeer()
  {
    nng_close(mPush);
    nng_close(mPull);
  }
  void Dial(const PeerAddress& aTo)
  {
    const std::string url =
      "tcp://" + aTo.mIp + ":" + std::to_string(aTo.mPort);
    nng_socket_set_ms(mPush, NNG_OPT_SENDTIMEO, 2000);
    CPPUNIT_ASSERT_EQUAL(0, nng_dial(mPush, url.c_str(), nullptr, 0));
  }
  void SendBytes(std::string aBytes)
  {
    CPPUNIT_ASSERT_EQUAL(0, nng_send(mPush, aBytes.data(), aBytes.size(), 0));
  }
  void Send(const Frame& aFrame) { SendBytes(EncodeFrame(aFrame).value()); }
  Frame Receive()
  {
    nng_msg* message = nullptr;
    nng_socket_set_ms(mPull, NNG_OPT_RECVTIMEO, 3000);
    CPPUNIT_ASSERT_EQUAL(0, nng_recvmsg(mPull, &message, 0));
    const std::string bytes(static_cast<char*>(nng_msg_body(message)),
                            nng_msg_len(message));
    nng_msg_free(message);
    return DecodeFrame(bytes).value();
  }
  int CountConnections() const { return mConnections; }

  Frame mFrame;

private:
  static void OnConnect(nng_pipe, nng_pipe_ev, void* aSelf)
  {
    ++static_cast<RawPeer*>(aSelf)->mConnections;
  }

  nng_socket mPull = NNG_SOCKET_INITIALIZER;
  nng_socket mPush = NNG_SOCKET_INITIALIZER;
  std::atomic<int> mConnections{ 0 };
};

class NngTransportTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(NngTransportTest);
  CPPUNIT_TEST(DeliversBothWays);
  CPPUNIT_TEST(DiscardsMessagesForAnAbsentPeer);
  CPPUNIT_TEST(DropsLateMessagesOfASuspendedReceiver);
  CPPUNIT_TEST(DropsExpiredFramesAndFramesOfUnknownAge);
  CPPUNIT_TEST(ReplacesAnUnacknowledgedConnection);
  CPPUNIT_TEST(AcceptsOnlyAllowedPeers);
  CPPUNIT_TEST(SurvivesMalformedBytes);
  CPPUNIT_TEST(StopsWhileTrafficIsFlowing);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a transport that cannot establish the bound of the clock
  // offset without already having one, and against connections from another
  // source address than the configured one.
  void DeliversBothWays()
  {
    Node a(kHostA);
    Node b(kHostB);
    a.mTransport->SetAllowedPeers({ b.Address() });
    CPPUNIT_ASSERT(!a.Send(b.Address(), "early", milliseconds(300)));
    ExchangeClocks(a, b);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, b.mInbox.Count("early"));
    for (int n = 0; n < 200; ++n) {
      b.SendHeartbeat(a.Address());
      CPPUNIT_ASSERT(WaitUntil(
        [&] { return a.Send(b.Address(), "many", milliseconds(2000)); }));
    }
    CPPUNIT_ASSERT(WaitUntil([&] { return b.mInbox.Count("many") == 200; }));
  }

  // Guards against messages that are kept for a disconnected peer and delivered
  // to the process that replaces it.
  void DiscardsMessagesForAnAbsentPeer()
  {
    Node a(kHostA);
    Node b(kHostB);
    ExchangeClocks(a, b);
    const PeerAddress address = b.Address();
    b.mTransport.reset();
    for (int n = 0; n < 20; ++n) {
      a.Send(address, "stale", milliseconds(100));
      std::this_thread::sleep_for(milliseconds(10));
    }
    std::this_thread::sleep_for(milliseconds(150));
    const TransportCounters away = a.mTransport->GetCounters();
    CPPUNIT_ASSERT(away.mDiscardedUnsent > 0);
    b.Start(address.mPort);
    ExchangeClocks(a, b);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, b.mInbox.Count("stale"));
  }

  // Guards against the late delivery of messages that waited in the buffers of
  // a suspended process.
  void DropsLateMessagesOfASuspendedReceiver()
  {
    Node a(kHostA);
    Node b(kHostB);
    ExchangeClocks(a, b);
    b.mInbox.Block(true);
    // These two messages block both receiving threads.
    a.Send(b.Address(), "blocked", milliseconds(2000));
    a.Send(b.Address(), "blocked", milliseconds(2000));
    std::this_thread::sleep_for(milliseconds(50));
    for (int n = 0; n < 8; ++n) {
      a.Send(b.Address(), "stale", milliseconds(80));
    }
    std::this_thread::sleep_for(milliseconds(200));
    b.mInbox.Block(false);
    CPPUNIT_ASSERT(
      WaitUntil([&] { return b.mTransport->GetCounters().mArrivedLate > 0; }));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, b.mInbox.Count("stale"));
  }

  // Guards against a deadline derived from the arrival time, which would extend
  // the deadline of a frame that was delayed in transit.
  void DropsExpiredFramesAndFramesOfUnknownAge()
  {
    Node b(kHostB);
    RawPeer raw;
    b.mTransport->SetAllowedPeers({ raw.mFrame.mSender });
    raw.Dial(b.Address());
    // The clock of the sender is ten seconds ahead of the receiver's.
    const std::int64_t offset = 10'000'000;
    const auto now = [] { return base::ToMicros(base::GetBootClock().Now()); };
    raw.mFrame.mPayload = "unknown";
    raw.mFrame.mSentMicros = now() + offset;
    raw.Send(raw.mFrame);
    CPPUNIT_ASSERT(
      WaitUntil([&] { return b.mTransport->GetCounters().mAgeUnknown == 1; }));
    b.SendHeartbeat(raw.mFrame.mSender);
    const Frame heartbeat = raw.Receive();
    CPPUNIT_ASSERT_EQUAL(raw.mFrame.mSessionId, heartbeat.mEcho.mSessionId);
    raw.mFrame.mEcho = { heartbeat.mSessionId,
                         heartbeat.mSentMicros,
                         now() + offset - heartbeat.mSentMicros };
    raw.mFrame.mPayload = "old";
    raw.mFrame.mSentMicros = now() + offset - 1'100'000;
    raw.Send(raw.mFrame);
    raw.mFrame.mPayload = "fresh";
    raw.mFrame.mSentMicros = now() + offset;
    raw.Send(raw.mFrame);
    CPPUNIT_ASSERT(WaitUntil([&] { return b.mInbox.Count("fresh") == 1; }));
    // The other receiving thread may still be busy with the old frame.
    CPPUNIT_ASSERT(
      WaitUntil([&] { return b.mTransport->GetCounters().mArrivedLate == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, b.mInbox.Count("old"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, b.mInbox.Count("unknown"));
  }

  // Guards against keeping a connection whose state a middlebox has dropped:
  // the peer's frames still arrive, but it acknowledges nothing.
  void ReplacesAnUnacknowledgedConnection()
  {
    Node a(kHostA);
    RawPeer raw;
    a.mTransport->SetAllowedPeers({ raw.mFrame.mSender });
    raw.Dial(a.Address());
    CPPUNIT_ASSERT(WaitUntil([&] {
      raw.mFrame.mSentMicros += 1000;
      raw.mFrame.mAcceptsUnknownAge = true;
      raw.Send(raw.mFrame);
      a.SendHeartbeat(raw.mFrame.mSender);
      return raw.CountConnections() >= 2;
    }));
    CPPUNIT_ASSERT(a.mTransport->GetCounters().mReplacedConnections >= 1);
    // A connection on which messages are acknowledged is kept.
    const std::int64_t before =
      a.mTransport->GetCounters().mReplacedConnections;
    const base::TimePoint end = After(milliseconds(900));
    while (base::GetBootClock().Now() < end) {
      a.SendHeartbeat(raw.mFrame.mSender);
      const Frame heartbeat = raw.Receive();
      raw.mFrame.mSentMicros += 1000;
      raw.mFrame.mEcho = { heartbeat.mSessionId, heartbeat.mSentMicros, 0 };
      raw.Send(raw.mFrame);
      std::this_thread::sleep_for(milliseconds(5));
    }
    CPPUNIT_ASSERT(a.mTransport->GetCounters().mReplacedConnections <=
                   before + 1);
  }

  // Guards against accepting requests from hosts that are not entry instances.
  void AcceptsOnlyAllowedPeers()
  {
    Node a(kHostA);
    Node b(kHostB);
    ExchangeClocks(a, b);
    b.mTransport->SetAllowedPeers({ { kHostA, 1 } });
    a.Send(b.Address(), "forbidden", milliseconds(300));
    CPPUNIT_ASSERT(
      WaitUntil([&] { return b.mTransport->GetCounters().mUnauthorized > 0; }));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, b.mInbox.Count("forbidden"));
    const auto sent = b.mTransport->Send(
      a.Address(), "x", After(milliseconds(300)), AgePolicy::AllowUnknown);
    CPPUNIT_ASSERT(sent.error().mKind == ErrorKind::Unauthorized);
    ExchangeClocks(a, b);
    // The sender claims the address of an allowed peer on another host.
    RawPeer raw;
    raw.mFrame.mSender = b.Address();
    raw.mFrame.mAcceptsUnknownAge = true;
    raw.mFrame.mPayload = "forged";
    const std::int64_t before = a.mTransport->GetCounters().mUnauthorized;
    raw.Dial(a.Address());
    raw.Send(raw.mFrame);
    CPPUNIT_ASSERT(WaitUntil(
      [&] { return a.mTransport->GetCounters().mUnauthorized > before; }));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, a.mInbox.Count("forged"));
  }

  // Guards against a receiver that stops working after malformed bytes.
  void SurvivesMalformedBytes()
  {
    Node a(kHostA);
    Node b(kHostB);
    ExchangeClocks(a, b);
    RawPeer raw;
    raw.Dial(b.Address());
    raw.SendBytes("not a frame");
    CPPUNIT_ASSERT(
      WaitUntil([&] { return b.mTransport->GetCounters().mMalformed == 1; }));
    CPPUNIT_ASSERT(WaitUntil([&] {
      a.Send(b.Address(), "after", milliseconds(300));
      return b.mInbox.Count("after") > 0;
    }));
  }

  // Guards against callbacks after Stop and against a Stop that blocks forever.
  void StopsWhileTrafficIsFlowing()
  {
    for (int round = 0; round < 10; ++round) {
      Node a(kHostA);
      Node b(kHostB);
      ExchangeClocks(a, b);
      std::atomic<bool> done{ false };
      std::thread sender([&] {
        while (!done) {
          a.Send(b.Address(), "flow", milliseconds(50));
        }
      });
      std::this_thread::sleep_for(milliseconds(20));
      b.mTransport->Stop();
      const std::int64_t count = b.mInbox.Count("flow");
      a.mTransport->Stop();
      done = true;
      sender.join();
      CPPUNIT_ASSERT_EQUAL(count, b.mInbox.Count("flow"));
      CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, b.mInbox.CountLate());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NngTransportTest);

} // namespace

} // namespace skylarkhill::peer
