#include "skylarkhill/http/client.hpp"
#include "skylarkhill/http/error_body.hpp"
#include "skylarkhill/testing/worker_handler.hpp"
#include "skylarkhill/worker/http_remote_worker.hpp"
#include "skylarkhill/worker/worker_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <limits>

namespace skylarkhill::worker {

namespace {

using base::ErrorKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Passes requests on. Once armed, carries out the next one without an answer,
/// and refuses the one after it.
class UnreliableHandler : public http::Handler
{
public:
  explicit UnreliableHandler(http::Handler& aHandler)
    : mHandler(aHandler)
  {
  }

  http::Response Handle(const http::Request& aRequest) override
  {
    const int step = mStep == 0 ? 0 : mStep++;
    if (step == kRefuse) {
      mStep = 0;
      return http::MakeErrorResponse(
        base::MakeError(ErrorKind::StaleCommand, "refused by the test"));
    }
    http::Response response = mHandler.Handle(aRequest);
    response.mDropConnection = response.mDropConnection || step == kLoseAnswer;
    return response;
  }

  void Arm() { mStep = kLoseAnswer; }

private:
  static constexpr int kLoseAnswer = 1;
  static constexpr int kRefuse = 2;

  http::Handler& mHandler;
  std::atomic<int> mStep{ 0 };
};

class HttpRemoteWorkerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpRemoteWorkerTest);
  CPPUNIT_TEST(RunsATaskFromStartToAcknowledgement);
  CPPUNIT_TEST(RefusalsKeepTheirErrorKind);
  CPPUNIT_TEST(RejectsAnAnswerToAnotherRequest);
  CPPUNIT_TEST(RefusalOfASecondCopyIsConnectionLost);
  CPPUNIT_TEST(RefusalOfASingleCopyIsARefusal);
  CPPUNIT_TEST(DoesNotResendAfterALostAnswer);
  CPPUNIT_TEST(ReportsRoundTrip);
  CPPUNIT_TEST_SUITE_END();

  const base::Clock& mClock = base::GetBootClock();
  testing::FakeWorker mWorker{ mClock, { { "w1" } } };
  testing::WorkerHandler mHandler{ mWorker, mClock };
  UnreliableHandler mUnreliableHandler{ mHandler };
  std::unique_ptr<http::Server> mServer;
  std::unique_ptr<RemoteWorker> mRemoteWorker;
  const HolderToken mToken{ { "e1" },
                            std::numeric_limits<std::uint64_t>::max() };

  base::TimePoint Deadline() const { return mClock.Now() + seconds(5); }

  CommandHeader Header() const
  {
    return { mToken, base::ToMicros(mClock.Now() + seconds(2)) };
  }

  StartTask MakeStart(const std::string& aPayload) const
  {
    return { { "t" },
             1,
             "c",
             { 1000, 1, 0 },
             base::ToMicros(mClock.Now() + seconds(60)),
             "",
             aPayload };
  }

  void PostAdmin(const std::string& aBody)
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
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      aResult.error().mDetail,
      std::string(base::NameOf(aKind)),
      std::string(base::NameOf(aResult.error().mKind)));
  }

public:
  void setUp() override
  {
    mServer = std::move(http::CreateServer({}, mUnreliableHandler).value());
    mRemoteWorker =
      CreateHttpRemoteWorker("127.0.0.1", mServer->Port(), mClock);
    CPPUNIT_ASSERT(
      mRemoteWorker->SetHolderLease(mToken, seconds(60), Deadline()));
  }

  void tearDown() override
  {
    mHandler.Release();
    mServer.reset();
  }

  void RunsATaskFromStartToAcknowledgement()
  {
    const AttemptKey key{ { "t" }, 1 };
    const std::string payload = R"({"run_ms":3600000})";
    CPPUNIT_ASSERT(
      mRemoteWorker->Start(Header(), MakeStart(payload), Deadline()));
    CPPUNIT_ASSERT(
      mRemoteWorker->Renew(Header(),
                           { key },
                           base::ToMicros(mClock.Now() + seconds(90)),
                           Deadline()));
    CPPUNIT_ASSERT(mRemoteWorker->Throttle(Header(), key, 40, Deadline()));
    CPPUNIT_ASSERT(mRemoteWorker->Checkpoint(Header(), key, Deadline()));
    CPPUNIT_ASSERT(mRemoteWorker->Stop(Header(), key, Deadline()));
    const WorkerReport report = mRemoteWorker->Poll(Deadline()).value();
    CPPUNIT_ASSERT_EQUAL(std::string("w1"), report.mWorker.mValue);
    CPPUNIT_ASSERT(report.mHolders.at(0).mToken == mToken);
    const TaskReport& task = report.mTasks.at(0);
    CPPUNIT_ASSERT(task.mPhase == TaskPhase::Stopped);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 40 }, task.mThrottlePercent);
    CPPUNIT_ASSERT(!task.mCheckpoint.empty());
    CPPUNIT_ASSERT(task.mReserved == (base::Resources{ 1000, 1, 0 }));
    CPPUNIT_ASSERT(mRemoteWorker->Acknowledge(Header(), key, Deadline()));
    CPPUNIT_ASSERT(mRemoteWorker->Poll(Deadline()).value().mTasks.empty());
    CPPUNIT_ASSERT(mRemoteWorker->RemoveHolderLease(mToken, Deadline()));
    CPPUNIT_ASSERT(mRemoteWorker->Poll(Deadline()).value().mHolders.empty());
  }

  void RefusalsKeepTheirErrorKind()
  {
    const CommandHeader otherHolder{ { { "e2" }, 1 }, Header().mNotAfter };
    AssertKind(ErrorKind::WorkerRefused,
               mRemoteWorker->Start(otherHolder, MakeStart("{}"), Deadline()));
    AssertKind(
      ErrorKind::StaleCommand,
      mRemoteWorker->Start({ mToken, 1 }, MakeStart("{}"), Deadline()));
    AssertKind(ErrorKind::NotFound,
               mRemoteWorker->Stop(Header(), { { "x" }, 1 }, Deadline()));
    AssertKind(ErrorKind::WorkerRefused,
               mRemoteWorker->Start(
                 Header(), MakeStart(std::string(2'000'000, 'x')), Deadline()));
    CPPUNIT_ASSERT(mWorker.Executions().empty());
    AssertKind(ErrorKind::WorkerUnavailable, mRemoteWorker->Poll(mClock.Now()));
    mServer->Stop();
    AssertKind(ErrorKind::WorkerUnavailable,
               mRemoteWorker->Start(Header(), MakeStart("{}"), Deadline()));
  }

  // Guards against an answer that belongs to another request or attempt.
  void RejectsAnAnswerToAnotherRequest()
  {
    for (const bool isIdempotent : { true, false }) {
      const ServiceCall call{
        { "r" }, 7, "s", R"({"work_ms":5})", isIdempotent
      };
      const auto answer = mRemoteWorker->Call(Header(), call, Deadline());
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT_EQUAL(call.mBody, answer.value().mBody);
      PostAdmin(R"({"mismatch_answers":1})");
      AssertKind(ErrorKind::ConnectionLost,
                 mRemoteWorker->Call(Header(), call, Deadline()));
    }
  }

  // Guards against the outcome not_run for a request that ran: after a pooled
  // connection broke, the client has sent the call a second time.
  void RefusalOfASecondCopyIsConnectionLost()
  {
    ServiceCall call{ { "r" }, 1, "s", "{}", true };
    CPPUNIT_ASSERT(mRemoteWorker->Call(Header(), call, Deadline()));
    mUnreliableHandler.Arm();
    AssertKind(ErrorKind::ConnectionLost,
               mRemoteWorker->Call(Header(), call, Deadline()));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 },
                         mWorker.CallCounts().at({ { "r" }, 1 }));
  }

  // Guards against the outcome unknown for a request that was sent once, on a
  // pooled connection, and refused.
  void RefusalOfASingleCopyIsARefusal()
  {
    const CommandHeader stale{ mToken, 1 };
    ServiceCall call{ { "r" }, 1, "s", "{}", true };
    CPPUNIT_ASSERT(mRemoteWorker->Call(Header(), call, Deadline()));
    AssertKind(ErrorKind::StaleCommand,
               mRemoteWorker->Call(stale, call, Deadline()));
    call.mIdempotent = false;
    AssertKind(ErrorKind::StaleCommand,
               mRemoteWorker->Call(stale, call, Deadline()));
  }

  // Guards against sending a start or call again when only the answer was lost.
  void DoesNotResendAfterALostAnswer()
  {
    const ServiceCall call{ { "r" }, 1, "s", "{}", false };
    PostAdmin(R"({"lose_answers":1})");
    AssertKind(ErrorKind::ConnectionLost,
               mRemoteWorker->Call(Header(), call, Deadline()));
    PostAdmin(R"({"lose_answers":1})");
    AssertKind(ErrorKind::ConnectionLost,
               mRemoteWorker->Start(Header(), MakeStart("{}"), Deadline()));
    PostAdmin(R"({"silent":true})");
    AssertKind(
      ErrorKind::DeadlineExceeded,
      mRemoteWorker->Call(Header(), call, mClock.Now() + milliseconds(50)));
    const auto counts = mWorker.CallCounts();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, counts.at({ { "r" }, 1 }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorker.Executions().size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, mWorker.GuardRefusals());
  }

  void ReportsRoundTrip()
  {
    WorkerReport report;
    report.mWorker = { "w" };
    report.mNow = -5;
    report.mLeaving = true;
    report.mServiceTimePercent = 130;
    report.mTasks.push_back({ { "t" },
                              3,
                              TaskPhase::Failed,
                              { 1, 2, 3 },
                              { 4, 5, 6 },
                              9,
                              "t@1",
                              50,
                              70,
                              "why" });
    const std::string text = FormatReport(report);
    CPPUNIT_ASSERT_EQUAL(text, FormatReport(ParseReport(text).value()));
    std::string unknown = text;
    unknown.replace(unknown.find("failed"), 6, "asleep");
    CPPUNIT_ASSERT(ParseReport(unknown).has_error());
    CPPUNIT_ASSERT(ParseReport("{}").has_error());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpRemoteWorkerTest);

} // namespace

} // namespace skylarkhill::worker
