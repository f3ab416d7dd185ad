#include <cppunit/extensions/HelperMacros.h>
#include <cxxtools/net/tcpserver.h>

#include <array>
#include <memory>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

#include "socket_selector.hpp"

namespace skylarkhill::http {

namespace {

constexpr std::uint16_t kFirstPort = 28'500;
constexpr int kBacklog = 100;

/// Lets `aListener` listen on a free port and returns it.
std::uint16_t
Listen(cxxtools::net::TcpServer& aListener)
{
  for (std::uint16_t port = kFirstPort;; ++port) {
    try {
      aListener.listen("127.0.0.1", port, kBacklog);
      return port;
    } catch (const std::exception&) {
      CPPUNIT_ASSERT(port < kFirstPort + 100);
    }
  }
}

/// Connected pairs of sockets; the near ends wait for input in a selector.
class SocketPairs : public cxxtools::Connectable
{
public:
  SocketPairs(SocketSelector& aSelector, std::size_t aCount)
  {
    const std::uint16_t port = Listen(mListener);
    for (std::size_t n = 0; n < aCount; ++n) {
      mNearEnds.push_back(std::make_unique<cxxtools::net::TcpSocket>());
      mFarEnds.push_back(std::make_unique<cxxtools::net::TcpSocket>());
      auto& socket = *mNearEnds.back();
      socket.connect("127.0.0.1", port);
      mFarEnds.back()->accept(mListener);
      cxxtools::connect(socket.inputReady, *this, &SocketPairs::Read);
      socket.setSelector(&aSelector);
      socket.beginRead(mBuffer.data(), mBuffer.size());
    }
  }

  void WriteToFirst(std::size_t aBytes) { Write(*mFarEnds.front(), aBytes); }

  void WriteToAll(std::size_t aBytes)
  {
    for (const auto& it : mFarEnds) {
      Write(*it, aBytes);
    }
  }

  /// Lets the handler of the next read throw.
  void FailNextRead() { mIsNextReadFailing = true; }

  std::size_t ReadBytes() const { return mReadBytes; }

private:
  static void Write(cxxtools::net::TcpSocket& aSocket, std::size_t aBytes)
  {
    const std::string text(aBytes, 'x');
    CPPUNIT_ASSERT_EQUAL(aBytes, aSocket.write(text.data(), aBytes));
  }

  void Read(cxxtools::IODevice& aSocket)
  {
    mReadBytes += aSocket.endRead();
    if (std::exchange(mIsNextReadFailing, false)) {
      throw std::runtime_error("read failed");
    }
    aSocket.beginRead(mBuffer.data(), mBuffer.size());
  }

  std::array<char, 100> mBuffer{};
  std::size_t mReadBytes = 0;
  bool mIsNextReadFailing = false;
  cxxtools::net::TcpServer mListener;
  std::vector<std::unique_ptr<cxxtools::net::TcpSocket>> mNearEnds;
  std::vector<std::unique_ptr<cxxtools::net::TcpSocket>> mFarEnds;
};

/// A socket whose owner connects it again once the peer has closed it, as the
/// HTTP library does. The selector does not know so before the visit.
class ReopenedSocket
  : public cxxtools::Connectable
  , public SocketObserver
{
public:
  ReopenedSocket(SocketSelector& aSelector, std::uint16_t aPort)
    : mSelector(aSelector)
    , mPort(aPort)
  {
    mSocket.connect("127.0.0.1", mPort);
    cxxtools::connect(mSocket.inputReady, *this, &ReopenedSocket::Reopen);
    mSocket.setSelector(&mSelector);
    mSelector.ObserveNewest(*this);
    mSocket.beginRead(mBuffer.data(), mBuffer.size());
  }

  ~ReopenedSocket() override { mSelector.Forget(*this); }
  ReopenedSocket(const ReopenedSocket&) = delete;
  ReopenedSocket& operator=(const ReopenedSocket&) = delete;
  ReopenedSocket(ReopenedSocket&&) = delete;
  ReopenedSocket& operator=(ReopenedSocket&&) = delete;

  void OnReopened() override { mWasReopened = true; }
  bool MustNotReopen() const override { return mWasReopened; }
  void OnClosedByPeer() override {}

  bool mWasReopened = false;
  cxxtools::net::TcpSocket mSocket;

private:
  void Reopen(cxxtools::IODevice&)
  {
    mSocket.close();
    mSocket.beginConnect("127.0.0.1", mPort);
  }

  SocketSelector& mSelector;
  const std::uint16_t mPort;
  std::array<char, 100> mBuffer{};
};

/// Number of sockets visited until 10 messages to one of `aCount` waiting
/// sockets have been read.
std::uint64_t
CountVisits(std::size_t aCount)
{
  SocketSelector selector;
  SocketPairs pairs(selector, aCount);
  while (selector.wait(0)) {
  }
  const std::uint64_t before = selector.VisitedSockets();
  for (std::size_t n = 1; n <= 10; ++n) {
    pairs.WriteToFirst(50);
    while (pairs.ReadBytes() < n * 50) {
      selector.wait(1000);
    }
    // Ends the visits of sockets with nothing left to do.
    while (selector.wait(0)) {
    }
  }
  return selector.VisitedSockets() - before;
}

} // namespace

class SocketSelectorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SocketSelectorTest);
  CPPUNIT_TEST(WorkDoesNotGrowWithWaitingSockets);
  CPPUNIT_TEST(ReadsInputBeyondOneRead);
  CPPUNIT_TEST(WakeEndsAWait);
  CPPUNIT_TEST(ForgetsDestroyedSockets);
  CPPUNIT_TEST(VisitsAllSocketsIfOneFails);
  CPPUNIT_TEST(ClosesASocketThatMustNotBeReopened);
  CPPUNIT_TEST(ObservesASocketThatIsOpenedAgainOutsideAVisit);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a wait that visits every waiting socket.
  void WorkDoesNotGrowWithWaitingSockets()
  {
    CPPUNIT_ASSERT_EQUAL(CountVisits(2), CountVisits(64));
  }

  // Guards against input that stays unread because it raises no further event.
  void ReadsInputBeyondOneRead()
  {
    SocketSelector selector;
    SocketPairs pairs(selector, 2);
    pairs.WriteToFirst(1050);
    while (selector.wait(100)) {
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1050 }, pairs.ReadBytes());
  }

  // Guards against a wait that lasts until its deadline although another thread
  // has called Wake.
  void WakeEndsAWait()
  {
    SocketSelector selector;
    std::thread thread([&] { selector.wake(); });
    CPPUNIT_ASSERT(selector.wait(60'000));
    thread.join();
    CPPUNIT_ASSERT(!selector.wait(0));
  }

  // Guards against the use of a socket that was destroyed with unread input.
  void ForgetsDestroyedSockets()
  {
    SocketSelector selector;
    {
      SocketPairs pairs(selector, 2);
      pairs.WriteToFirst(50);
    }
    CPPUNIT_ASSERT(!selector.wait(0));
  }

  // Guards against input that stays unread because the handler of another
  // socket has thrown in the same wait.
  void VisitsAllSocketsIfOneFails()
  {
    SocketSelector selector;
    SocketPairs pairs(selector, 8);
    while (selector.wait(0)) {
    }
    pairs.WriteToAll(50);
    pairs.FailNextRead();
    CPPUNIT_ASSERT_THROW(selector.wait(1000), std::runtime_error);
    while (selector.wait(0)) {
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 400 }, pairs.ReadBytes());
  }

  // Guards against a request that goes out a second time, on a new connection,
  // because the peer closes the first one just before the visit.
  void ClosesASocketThatMustNotBeReopened()
  {
    SocketSelector selector;
    cxxtools::net::TcpServer listener;
    const std::uint16_t port = Listen(listener);
    ReopenedSocket reopened(selector, port);
    {
      cxxtools::net::TcpSocket peer;
      peer.accept(listener);
      while (selector.wait(0)) {
      }
    }
    while (!reopened.mWasReopened) {
      selector.wait(100);
    }
    CPPUNIT_ASSERT(!reopened.mSocket.enabled());
  }

  // The HTTP library connects again if the write of a request fails, before the
  // start of the call returns. Guards against a request that goes out on a new
  // connection, because the selector has forgotten the observer.
  void ObservesASocketThatIsOpenedAgainOutsideAVisit()
  {
    SocketSelector selector;
    cxxtools::net::TcpServer listener;
    const std::uint16_t port = Listen(listener);
    ReopenedSocket reopened(selector, port);
    reopened.mSocket.close();
    reopened.mSocket.setSelector(&selector);
    reopened.mSocket.beginConnect("127.0.0.1", port);
    CPPUNIT_ASSERT(reopened.mWasReopened);
    selector.Close(reopened);
    CPPUNIT_ASSERT(!reopened.mSocket.enabled());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SocketSelectorTest);

} // namespace skylarkhill::http
