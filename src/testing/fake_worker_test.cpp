#include "skylarkhill/testing/fake_worker.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::testing {

namespace {

using base::ErrorKind;
using std::chrono::milliseconds;
using std::chrono::seconds;
using worker::TaskPhase;

class FakeWorkerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FakeWorkerTest);
  CPPUNIT_TEST(GuardsRefuseInvalidCommands);
  CPPUNIT_TEST(TaskStopsWhenItsLeaseExpires);
  CPPUNIT_TEST(ResumedTaskContinuesFromTheCheckpoint);
  CPPUNIT_TEST(StopPreventsTheStartOfAnUnknownAttempt);
  CPPUNIT_TEST(RequestsWaitForASlotAndAreRefusedWithoutAConnection);
  CPPUNIT_TEST(RequestsWithLostOrMismatchedAnswersCountAsRun);
  CPPUNIT_TEST_SUITE_END();

  base::ManualClock mClock;
  const worker::HolderToken mHolder{ { "a" }, 1 };

  base::TimePoint Deadline() const { return mClock.Now() + seconds(100); }

  worker::CommandHeader Header() const
  {
    return { mHolder, base::ToMicros(mClock.Now() + seconds(1)) };
  }

  worker::StartTask MakeStart(std::int64_t aAttempt,
                              const std::string& aPayload) const
  {
    return { { "t" },
             aAttempt,
             "class",
             { 1000, 1, 0 },
             base::ToMicros(mClock.Now() + seconds(10)),
             "",
             aPayload };
  }

  void AcquireHolderLease(FakeWorker& aWorker)
  {
    CPPUNIT_ASSERT(aWorker.SetHolderLease(mHolder, seconds(60), Deadline()));
  }

  template<typename R>
  static void AssertErrorKind(ErrorKind aExpected, const R& aResult)
  {
    CPPUNIT_ASSERT(aResult.has_error());
    CPPUNIT_ASSERT_EQUAL(std::string(base::NameOf(aExpected)),
                         std::string(base::NameOf(aResult.error().mKind)));
  }

public:
  void GuardsRefuseInvalidCommands()
  {
    FakeWorker target(mClock, { { "w" } });
    AssertErrorKind(ErrorKind::WorkerRefused,
                    target.Start(Header(), MakeStart(1, "{}"), Deadline()));
    AcquireHolderLease(target);
    worker::CommandHeader late = Header();
    mClock.Advance(seconds(2));
    AssertErrorKind(ErrorKind::StaleCommand,
                    target.Start(late, MakeStart(1, "{}"), Deadline()));
    worker::StartTask large = MakeStart(1, "{}");
    large.mReserved.mMilliProcessors = 16'001;
    AssertErrorKind(ErrorKind::WorkerRefused,
                    target.Start(Header(), large, Deadline()));
    CPPUNIT_ASSERT(target.Start(Header(), MakeStart(1, "{}"), Deadline()));
    AssertErrorKind(ErrorKind::WorkerRefused,
                    target.Start(Header(), MakeStart(1, "{}"), Deadline()));
    AssertErrorKind(ErrorKind::WorkerRefused,
                    target.Start(Header(), MakeStart(2, "{}"), Deadline()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, target.Executions().size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5 }, target.GuardRefusals());
  }

  void TaskStopsWhenItsLeaseExpires()
  {
    FakeWorker target(mClock, { { "w" } });
    AcquireHolderLease(target);
    const auto begin = mClock.Now();
    CPPUNIT_ASSERT(
      target.Start(Header(), MakeStart(1, R"({"run_ms":60000})"), Deadline()));
    CPPUNIT_ASSERT(target.Renew(Header(),
                                { { { "t" }, 1 } },
                                base::ToMicros(begin + seconds(20)),
                                Deadline()));
    mClock.Advance(seconds(30));
    const auto report = target.Poll(Deadline()).value();
    CPPUNIT_ASSERT(report.mTasks.at(0).mPhase == TaskPhase::Stopped);
    CPPUNIT_ASSERT(target.Executions().at(0).mEndedAt == begin + seconds(20));
  }

  // Guards against a resumed task that repeats or skips work.
  void ResumedTaskContinuesFromTheCheckpoint()
  {
    FakeWorker target(mClock, { { "w" } });
    AcquireHolderLease(target);
    const std::string payload =
      R"({"run_ms":8000,"checkpoint_ms":1000,"result":"x"})";
    const worker::AttemptKey first{ { "t" }, 1 };
    CPPUNIT_ASSERT(target.Start(Header(), MakeStart(1, payload), Deadline()));
    CPPUNIT_ASSERT(target.Throttle(Header(), first, 50, Deadline()));
    mClock.Advance(seconds(4));
    CPPUNIT_ASSERT(target.Checkpoint(Header(), first, Deadline()));
    mClock.Advance(seconds(1));
    CPPUNIT_ASSERT(target.Stop(Header(), first, Deadline()));
    worker::StartTask resume = MakeStart(2, payload);
    resume.mCheckpoint =
      target.Poll(Deadline()).value().mTasks.at(0).mCheckpoint;
    CPPUNIT_ASSERT(target.Acknowledge(Header(), first, Deadline()));
    CPPUNIT_ASSERT(target.Start(Header(), resume, Deadline()));
    mClock.Advance(milliseconds(5999));
    CPPUNIT_ASSERT(target.Poll(Deadline()).value().mTasks.at(0).mPhase ==
                   TaskPhase::Running);
    mClock.Advance(milliseconds(1));
    const auto report = target.Poll(Deadline()).value();
    CPPUNIT_ASSERT(report.mTasks.at(0).mPhase == TaskPhase::Completed);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), report.mTasks.at(0).mDetail);
  }

  void StopPreventsTheStartOfAnUnknownAttempt()
  {
    FakeWorker target(mClock, { { "w" } });
    AcquireHolderLease(target);
    AssertErrorKind(ErrorKind::NotFound,
                    target.Stop(Header(), { { "t" }, 1 }, Deadline()));
    AssertErrorKind(ErrorKind::WorkerRefused,
                    target.Start(Header(), MakeStart(1, "{}"), Deadline()));
  }

  void RequestsWaitForASlotAndAreRefusedWithoutAConnection()
  {
    FakeWorkerConfig config{ { "w" } };
    config.mSlots = 1;
    config.mConnections = 2;
    FakeWorker target(mClock, config);
    AcquireHolderLease(target);
    const worker::ServiceCall call{
      { "r" }, 1, "s", R"({"work_ms":100})", true
    };
    const auto first = target.Admit(Header(), call).value();
    const auto second = target.Admit(Header(), call).value();
    CPPUNIT_ASSERT(first.mEndsAt == mClock.Now() + milliseconds(100));
    CPPUNIT_ASSERT(second.mEndsAt == mClock.Now() + milliseconds(200));
    AssertErrorKind(ErrorKind::WorkerRefused, target.Admit(Header(), call));
  }

  void RequestsWithLostOrMismatchedAnswersCountAsRun()
  {
    FakeWorker target(mClock, { { "w" } });
    AcquireHolderLease(target);
    const worker::ServiceCall call{ { "r" }, 1, "s", "{}", true };
    target.LoseNextAnswers(1);
    AssertErrorKind(ErrorKind::ConnectionLost,
                    target.Call(Header(), call, Deadline()));
    target.MismatchNextAnswers(1);
    AssertErrorKind(ErrorKind::ConnectionLost,
                    target.Call(Header(), call, Deadline()));
    target.SetSilent(true);
    AssertErrorKind(ErrorKind::DeadlineExceeded,
                    target.Call(Header(), call, Deadline()));
    const auto counts = target.CallCounts();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, counts.at({ { "r" }, 1 }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeWorkerTest);

} // namespace

} // namespace skylarkhill::testing
