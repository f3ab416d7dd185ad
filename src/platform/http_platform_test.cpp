#include "skylarkhill/http/client.hpp"
#include "skylarkhill/platform/http_platform.hpp"
#include "skylarkhill/platform/platform_codec.hpp"
#include "skylarkhill/testing/platform_handler.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::platform {

namespace {

using base::ErrorKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

class HttpPlatformTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpPlatformTest);
  CPPUNIT_TEST(AppendedRecordsAreReadBackUnchanged);
  CPPUNIT_TEST(DistinguishesLostResponsesFromUnsentAppends);
  CPPUNIT_TEST(OversizedRecordsArePermanentErrors);
  CPPUNIT_TEST(FetchesChangedInstances);
  CPPUNIT_TEST(RefusesInvalidResponses);
  CPPUNIT_TEST_SUITE_END();

  const base::Clock& mClock = base::GetBootClock();
  testing::FakeLog mFakeLog{ mClock, { 3, base::Duration(0) } };
  testing::FakeInstanceList mFakeList{ mClock };
  testing::PlatformHandler mHandler{ mFakeLog, mFakeList };
  std::unique_ptr<http::Server> mServer;
  std::unique_ptr<LogService> mLog;

  base::TimePoint Deadline() const { return mClock.Now() + seconds(5); }

  void ChangePlatform(const std::string& aBody)
  {
    http::ClientOptions options{ "127.0.0.1", mServer->Port(), {} };
    const http::ClientRequest request{
      "POST", "/admin", aBody, {}, http::Delivery::AtMostOnce
    };
    const auto response =
      http::CreateClient(options, mClock)->Call(request, Deadline());
    CPPUNIT_ASSERT_EQUAL(200, response.value().mStatus);
  }

  template<typename R>
  static void AssertKind(ErrorKind aKind, const R& aResult)
  {
    CPPUNIT_ASSERT(aResult.has_error());
    CPPUNIT_ASSERT_EQUAL(std::string(base::NameOf(aKind)),
                         std::string(base::NameOf(aResult.error().mKind)));
  }

public:
  void setUp() override
  {
    mServer = std::move(http::CreateServer({}, mHandler).value());
    mLog = CreateHttpLogService("127.0.0.1", mServer->Port(), mClock);
  }

  void tearDown() override
  {
    mHandler.Release();
    mServer.reset();
  }

  void AppendedRecordsAreReadBackUnchanged()
  {
    const std::string payload = "{\"k\":\"d\u00e9 \\ \n\t\x01 \u20ac\"}";
    for (Offset n = 0; n < 4; ++n) {
      CPPUNIT_ASSERT_EQUAL(n, mLog->Append("a b", payload, Deadline()).value());
    }
    const LogPage page = mLog->Read("a b", 0, 2, Deadline()).value();
    CPPUNIT_ASSERT_EQUAL(Offset{ 1 }, page.mFirstRetained);
    CPPUNIT_ASSERT_EQUAL(Offset{ 4 }, page.mEnd);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, page.mRecords.size());
    CPPUNIT_ASSERT_EQUAL(payload, page.mRecords[1].mPayload);
  }

  // Guards against a writer that appends a record a second time.
  void DistinguishesLostResponsesFromUnsentAppends()
  {
    ChangePlatform(R"({"lose_answers":1})");
    AssertKind(ErrorKind::AnswerLost, mLog->Append("s", "a", Deadline()));
    CPPUNIT_ASSERT_EQUAL(Offset{ 1 }, mFakeLog.EndOffset("s"));
    ChangePlatform(R"({"slow_ms":200})");
    AssertKind(ErrorKind::AnswerLost,
               mLog->Append("s", "b", mClock.Now() + milliseconds(50)));
    AssertKind(ErrorKind::LogUnavailable,
               mLog->Read("s", 0, 9, mClock.Now() + milliseconds(50)));
    ChangePlatform(R"({"slow_ms":0,"down":true})");
    AssertKind(ErrorKind::LogUnavailable, mLog->Append("s", "c", Deadline()));
    AssertKind(ErrorKind::LogUnavailable, mLog->Read("s", 0, 9, Deadline()));
    ChangePlatform(R"({"down":false,"silent":true})");
    AssertKind(ErrorKind::AnswerLost,
               mLog->Append("s", "c", mClock.Now() + milliseconds(50)));
    mHandler.Release();
    mServer->Stop();
    AssertKind(ErrorKind::LogUnavailable, mLog->Append("s", "c", Deadline()));
    CPPUNIT_ASSERT_EQUAL(Offset{ 2 }, mFakeLog.EndOffset("s"));
  }

  void OversizedRecordsArePermanentErrors()
  {
    AssertKind(ErrorKind::PayloadTooLarge,
               mLog->Append("s", std::string(2'000'000, 'x'), Deadline()));
  }

  void FetchesChangedInstances()
  {
    const auto list =
      CreateHttpInstanceList("127.0.0.1", mServer->Port(), mClock);
    ChangePlatform(
      R"({"put":{"name":"w1","role":"worker","domain":"kochi","rack":"r",
             "address":"127.0.0.1","port":4000,"milli_processors":16000,
             "memory_bytes":7,"accelerators":1,"slots":8,"connections":64}})");
    ChangePlatform(R"({"put":{"name":"e1","role":"entry","peer_port":5000}})");
    const auto before = list->Fetch(Deadline()).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, before.size());
    CPPUNIT_ASSERT(before[0].mRole == InstanceRole::Entry);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{ 5000 }, before[0].mPeerPort);
    CPPUNIT_ASSERT_EQUAL(std::string("kochi"), before[1].mDomain.mValue);
    CPPUNIT_ASSERT(before[1].mCapacity == (base::Resources{ 16'000, 7, 1 }));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{ 4000 }, before[1].mPort);
    ChangePlatform(R"({"leaving":"w1","remove":"e1"})");
    const auto after = list->Fetch(Deadline()).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, after.size());
    CPPUNIT_ASSERT(after[0].mState == InstanceState::Leaving);
    ChangePlatform(R"({"down":true})");
    AssertKind(ErrorKind::LogUnavailable, list->Fetch(Deadline()));
  }

  void RefusesInvalidResponses()
  {
    CPPUNIT_ASSERT(ParseLogPage(R"({"first_retained":0,"end":3,"records":[
        {"offset":0,"payload":"a"},{"offset":2,"payload":"c"}]})")
                     .has_error());
    CPPUNIT_ASSERT(
      ParseInstances(R"([{"name":"a","role":"king"}])").has_error());
    CPPUNIT_ASSERT(
      ParseInstances(R"([{"name":"a","port":65536}])").has_error());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpPlatformTest);

} // namespace

} // namespace skylarkhill::platform
