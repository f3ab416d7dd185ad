#include <cppunit/extensions/HelperMacros.h>
#include <nng/nng.h>
#include <nng/protocol/bus0/bus.h>
#include <nng/protocol/pair0/pair.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <nng/supplemental/util/platform.h>

#include <string>

namespace skylarkhill::peer {

namespace {

using Open = int (*)(nng_socket*);

constexpr nng_duration kReceiveTimeoutMs = 700;

/// A socket that is closed at the end of its scope.
class Socket
{
public:
  explicit Socket(Open aOpen)
  {
    CPPUNIT_ASSERT_EQUAL(0, aOpen(&mSocket));
    nng_socket_set_ms(mSocket, NNG_OPT_RECVTIMEO, kReceiveTimeoutMs);
    nng_socket_set_ms(mSocket, NNG_OPT_RECONNMINT, 20);
    nng_socket_set_ms(mSocket, NNG_OPT_RECONNMAXT, 20);
  }
  ~Socket() { nng_close(mSocket); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// Returns the bound port.
  int Listen(int aPort)
  {
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    const std::string url = "tcp://127.0.0.1:" + std::to_string(aPort);
    CPPUNIT_ASSERT_EQUAL(0, nng_listen(mSocket, url.c_str(), &listener, 0));
    int port = 0;
    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    return port;
  }
  void Dial(int aPort)
  {
    const std::string url = "tcp://127.0.0.1:" + std::to_string(aPort);
    const int code = nng_dial(mSocket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
    CPPUNIT_ASSERT_EQUAL(0, code);
  }
  int Send(std::string aText, unsigned aFlags = 0)
  {
    return nng_send(
      mSocket, aText.data(), aText.size(), static_cast<int>(aFlags));
  }
  /// The next message, or nothing within kReceiveTimeoutMs.
  std::string Receive()
  {
    nng_msg* message = nullptr;
    if (nng_recvmsg(mSocket, &message, 0) != 0) {
      return {};
    }
    std::string text(static_cast<char*>(nng_msg_body(message)),
                     nng_msg_len(message));
    nng_msg_free(message);
    return text;
  }
  nng_socket Get() const { return mSocket; }

private:
  nng_socket mSocket = NNG_SOCKET_INITIALIZER;
};

/// How often a message is delivered if its receiver closes without a reply and
/// another one listens on the same port.
int
CountDeliveries(Open aOpenSender, Open aOpenReceiver, const char* aResendOption)
{
  Socket sender(aOpenSender);
  if (aResendOption != nullptr) {
    nng_socket_set_ms(sender.Get(), aResendOption, NNG_DURATION_INFINITE);
  }
  int port = 0;
  int deliveries = 0;
  {
    Socket first(aOpenReceiver);
    port = first.Listen(0);
    sender.Dial(port);
    CPPUNIT_ASSERT_EQUAL(0, sender.Send("once"));
    deliveries += first.Receive().empty() ? 0 : 1;
  }
  Socket second(aOpenReceiver);
  second.Listen(port);
  deliveries += second.Receive().empty() ? 0 : 1;
  return deliveries;
}

/// True if a message sent while no receiver listened is delivered to the next
/// receiver on the same port.
bool
DeliversStaleMessage(Open aOpenSender, Open aOpenReceiver, int aSendBuffer)
{
  Socket sender(aOpenSender);
  nng_socket_set_int(sender.Get(), NNG_OPT_SENDBUF, aSendBuffer);
  int port = 0;
  {
    Socket first(aOpenReceiver);
    port = first.Listen(0);
    sender.Dial(port);
    CPPUNIT_ASSERT_EQUAL(0, sender.Send("before"));
    CPPUNIT_ASSERT_EQUAL(std::string("before"), first.Receive());
  }
  nng_msleep(200);
  sender.Send("stale", NNG_FLAG_NONBLOCK);
  Socket second(aOpenReceiver);
  second.Listen(port);
  return second.Receive() == "stale";
}

/// Guards the choice of sockets in nng_transport.cpp: each test checks a
/// property of Debian's nng that the transport relies on or has to avoid.
class NngPropertiesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(NngPropertiesTest);
  CPPUNIT_TEST(ReqResendsWhenThePeerDisconnects);
  CPPUNIT_TEST(PushAndPairSendOnce);
  CPPUNIT_TEST(BuffersKeepStaleMessages);
  CPPUNIT_TEST(BusReportsSuccessWithoutAPeer);
  CPPUNIT_TEST_SUITE_END();

public:
  // A resent request would run twice. Only an infinite resend time prevents it.
  void ReqResendsWhenThePeerDisconnects()
  {
    CPPUNIT_ASSERT_EQUAL(
      2, CountDeliveries(nng_req0_open, nng_rep0_open, nullptr));
    CPPUNIT_ASSERT_EQUAL(
      1, CountDeliveries(nng_req0_open, nng_rep0_open, NNG_OPT_REQ_RESENDTIME));
  }

  void PushAndPairSendOnce()
  {
    CPPUNIT_ASSERT_EQUAL(
      1, CountDeliveries(nng_push0_open, nng_pull0_open, nullptr));
    CPPUNIT_ASSERT_EQUAL(
      1, CountDeliveries(nng_pair0_open, nng_pair0_open, nullptr));
  }

  void BuffersKeepStaleMessages()
  {
    CPPUNIT_ASSERT(DeliversStaleMessage(nng_push0_open, nng_pull0_open, 8));
    CPPUNIT_ASSERT(!DeliversStaleMessage(nng_push0_open, nng_pull0_open, 0));
    CPPUNIT_ASSERT(DeliversStaleMessage(nng_pair0_open, nng_pair0_open, 8));
    CPPUNIT_ASSERT(!DeliversStaleMessage(nng_pair0_open, nng_pair0_open, 0));
  }

  // The sender could not distinguish a lost message from a sent one.
  void BusReportsSuccessWithoutAPeer()
  {
    Socket bus(nng_bus0_open);
    CPPUNIT_ASSERT_EQUAL(0, bus.Send("lost", NNG_FLAG_NONBLOCK));
    Socket push(nng_push0_open);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(NNG_EAGAIN),
                         push.Send("refused", NNG_FLAG_NONBLOCK));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NngPropertiesTest);

} // namespace

} // namespace skylarkhill::peer
