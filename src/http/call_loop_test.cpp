#include "skylarkhill/http/call_loop.hpp"
#include "skylarkhill/http/server.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

namespace skylarkhill::http {

namespace {

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

private:
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
