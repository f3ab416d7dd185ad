#include "skylarkhill/http/call_loop.hpp"
#include "skylarkhill/http/server.hpp"
#include "skylarkhill/testing/raw_connection.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <string_view>
#include <thread>

namespace skylarkhill::http {

namespace {

constexpr std::uint16_t kFirstPort = 28'300;

/// A server whose test decides when each response is written.
class ManualServer
{
public:
  ManualServer()
  {
    for (mPort = kFirstPort;; ++mPort) {
      try {
        mListener.listen("127.0.0.1", mPort);
        return;
      } catch (const std::exception&) {
        CPPUNIT_ASSERT(mPort < kFirstPort + 100);
      }
    }
  }

  std::string Endpoint() const { return "127.0.0.1:" + std::to_string(mPort); }

  /// Accepts the next connection and lets `aLoop` send its request.
  void ReceiveRequest(CallLoop& aLoop, base::TimePoint aNow)
  {
    mConnection.Accept(mListener);
    while (!mConnection.IsReadable()) {
      aLoop.Wait(aNow);
    }
    CPPUNIT_ASSERT(mConnection.ReadHead(10'000, WriteDeadline()));
  }

  void Write(std::string_view aText)
  {
    CPPUNIT_ASSERT(mConnection.Write(aText, WriteDeadline()));
  }

private:
  static base::TimePoint WriteDeadline()
  {
    return base::GetBootClock().Now() + std::chrono::seconds(5);
  }

  std::uint16_t mPort = 0;
  cxxtools::net::TcpServer mListener;
  testing::RawConnection mConnection{ base::GetBootClock() };
};

class EchoHandler : public Handler
{
public:
  Response Handle(const Request& aRequest) override
  {
    ++mCalls;
    if (aRequest.mPath == "/slow") {
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
    }
    Response response;
    response.mBody = aRequest.mMethod + aRequest.mPath + aRequest.mBody;
    return response;
  }
  std::atomic<int> mCalls{ 0 };
};

ClientRequest
Post(std::string aTarget, std::string aBody)
{
  ClientRequest request;
  request.mMethod = "POST";
  request.mTarget = std::move(aTarget);
  request.mBody = std::move(aBody);
  return request;
}

} // namespace

class CallLoopTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallLoopTest);
  CPPUNIT_TEST(CompletesConcurrentCalls);
  CPPUNIT_TEST(FailsAnUnansweredCallAtItsDeadline);
  CPPUNIT_TEST(ReportsARefusedConnection);
  CPPUNIT_TEST(CompletesAnExpiredCallWhoseResponseHasArrived);
  CPPUNIT_TEST(ExpiresACallWhoseResponseIsIncomplete);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    auto server = CreateServer({}, mHandler);
    CPPUNIT_ASSERT(server);
    mServer = std::move(server.value());
    mEndpoint = "127.0.0.1:" + std::to_string(mServer->Port());
  }

  void CompletesConcurrentCalls()
  {
    const auto loop = CreateCallLoop(base::GetBootClock());
    std::vector<std::string> bodies;
    // The second round reuses the connections of the first one.
    for (int round = 0; round < 2; ++round) {
      for (int n = 0; n < 8; ++n) {
        loop->Call(
          mEndpoint,
          Post("/echo", std::string(20000, static_cast<char>('a' + n))),
          base::GetBootClock().Now() + std::chrono::seconds(5),
          [&](const base::Result<Response>& aResult) {
            CPPUNIT_ASSERT(aResult);
            bodies.push_back(aResult.value().mBody);
          });
      }
      CompleteAllCalls(*loop);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 16 }, bodies.size());
    for (const auto& it : bodies) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 20009 }, it.size());
    }
  }

  void FailsAnUnansweredCallAtItsDeadline()
  {
    const auto loop = CreateCallLoop(base::GetBootClock());
    const auto start = base::GetBootClock().Now();
    std::optional<base::ErrorKind> kind;
    loop->Call(mEndpoint,
               Post("/slow", ""),
               start + std::chrono::milliseconds(60),
               [&](const base::Result<Response>& aResult) {
                 CPPUNIT_ASSERT(!aResult);
                 kind = aResult.error().mKind;
               });
    CompleteAllCalls(*loop);
    CPPUNIT_ASSERT(kind == base::ErrorKind::DeadlineExceeded);
    CPPUNIT_ASSERT(base::GetBootClock().Now() - start <
                   std::chrono::milliseconds(300));
  }

  void ReportsARefusedConnection()
  {
    const auto loop = CreateCallLoop(base::GetBootClock());
    mServer->Stop();
    bool isRefused = false;
    loop->Call(
      mEndpoint,
      Post("/echo", ""),
      base::GetBootClock().Now() + std::chrono::seconds(2),
      [&](const base::Result<Response>& aResult) { isRefused = !aResult; });
    CompleteAllCalls(*loop);
    CPPUNIT_ASSERT(isRefused);
  }

  // Guards against DeadlineExceeded for a response that waits in the socket
  // when the loop's thread returns after the deadline.
  void CompletesAnExpiredCallWhoseResponseHasArrived()
  {
    for (const std::size_t bodyBytes : { 10, 40'000 }) {
      const auto result = ReturnLate(bodyBytes, bodyBytes);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(bodyBytes) + " bytes", result);
      CPPUNIT_ASSERT_EQUAL(bodyBytes, result.value().mBody.size());
    }
  }

  // Guards against a call that outlives its deadline because a part of the
  // response has arrived.
  void ExpiresACallWhoseResponseIsIncomplete()
  {
    for (const std::size_t sentBytes : { 0, 39'999 }) {
      const auto result = ReturnLate(40'000, sentBytes);
      CPPUNIT_ASSERT(!result);
      CPPUNIT_ASSERT(result.error().mKind == base::ErrorKind::DeadlineExceeded);
    }
  }

private:
  /// The result of a call after one Wait that begins after the deadline, when
  /// `aSentBytes` of the `aBodyBytes` of the response's body have arrived.
  static base::Result<Response> ReturnLate(std::size_t aBodyBytes,
                                           std::size_t aSentBytes)
  {
    base::ManualClock clock;
    ManualServer server;
    const auto loop = CreateCallLoop(clock);
    std::optional<base::Result<Response>> result;
    loop->Call(
      server.Endpoint(),
      Post("/", ""),
      clock.Now() + std::chrono::seconds(1),
      [&](base::Result<Response> aResult) { result = std::move(aResult); });
    server.ReceiveRequest(*loop, clock.Now());
    server.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(aBodyBytes) + "\r\n\r\n");
    const std::string body(aSentBytes, 'x');
    const auto text = std::string_view(body);
    server.Write(text.substr(0, aSentBytes / 2));
    server.Write(text.substr(aSentBytes / 2));
    clock.Advance(std::chrono::seconds(2));
    loop->Wait(clock.Now());
    CPPUNIT_ASSERT(result.has_value());
    return *result;
  }

  static void CompleteAllCalls(CallLoop& aLoop)
  {
    while (aLoop.InFlight() > 0) {
      aLoop.Wait(base::GetBootClock().Now() + std::chrono::milliseconds(100));
    }
  }

  EchoHandler mHandler;
  std::unique_ptr<Server> mServer;
  std::string mEndpoint;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallLoopTest);

} // namespace skylarkhill::http
