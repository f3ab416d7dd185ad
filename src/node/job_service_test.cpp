#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/node/job_service.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace skylarkhill::node {

namespace {

/// Answers appends in the given order, and all further ones like the last.
/// Reads find no records.
class ScriptedLog : public BlockingLog
{
public:
  AppendResult Append(const AppendRequest& aRequest, base::TimePoint) override
  {
    if (mOnAppend) {
      mOnAppend(aRequest);
    }
    AppendResult result;
    result.mOutcome = mOutcomes.at(std::min(mAppends, mOutcomes.size() - 1));
    ++mAppends;
    return result;
  }

  ReadResult Read(const LogStream&, std::int64_t, base::TimePoint) override
  {
    ReadResult result;
    result.mOutcome = LogOutcome::Done;
    return result;
  }

  std::vector<LogOutcome> mOutcomes;
  /// Called before an append is answered.
  std::function<void(const AppendRequest&)> mOnAppend;
  std::size_t mAppends = 0;
};

} // namespace

/// What a caller may be told about a job after the appends of its record.
class JobServiceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JobServiceTest);
  CPPUNIT_TEST(RefusesAJobAtOnceIfTheLogRefusesIt);
  CPPUNIT_TEST(ReportsAnUnknownOutcomeIfALaterAttemptIsRefused);
  CPPUNIT_TEST(ReportsAnUnknownOutcomeIfALaterAttemptIsInvalid);
  CPPUNIT_TEST(AcceptsARefusedJobThatTheJournalHas);
  CPPUNIT_TEST(ConfirmsARefusedCancellationThatTheJournalHas);
  CPPUNIT_TEST(StoresTheCancellationOfAJobThatIsStoredLater);
  CPPUNIT_TEST(ReportsNoUnknownJobIfItsCancellationIsNotStored);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against callers who wait for a log that refuses them.
  void RefusesAJobAtOnceIfTheLogRefusesIt()
  {
    mLog.mOutcomes = { LogOutcome::Refused };
    CPPUNIT_ASSERT(Submit().error().mKind == base::ErrorKind::LogUnavailable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mLog.mAppends);
  }

  // Guards against taking the refusal of a later attempt for one of all.
  void ReportsAnUnknownOutcomeIfALaterAttemptIsRefused()
  {
    mLog.mOutcomes = { LogOutcome::Unknown, LogOutcome::Refused };
    CPPUNIT_ASSERT(Submit().error().mKind == base::ErrorKind::OutcomeUnknown);
    CPPUNIT_ASSERT(mLog.mAppends > 1);
  }

  // Guards against telling a caller that a job is malformed and never runs,
  // although an earlier attempt without an answer may have stored it.
  void ReportsAnUnknownOutcomeIfALaterAttemptIsInvalid()
  {
    mLog.mOutcomes = { LogOutcome::Unknown, LogOutcome::Invalid };
    CPPUNIT_ASSERT(Submit().error().mKind == base::ErrorKind::OutcomeUnknown);
  }

  // Guards against refusing a job that an earlier request of the caller has
  // stored at another instance, if its record arrives during the append.
  void AcceptsARefusedJobThatTheJournalHas()
  {
    mLog.mOutcomes = { LogOutcome::Refused };
    mLog.mOnAppend = [&](const AppendRequest& aRequest) {
      const LogRecord& record = aRequest.mRecords.front();
      mJobs.Apply(record.mKey, record.mValue, 0);
    };
    CPPUNIT_ASSERT(Submit());
  }

  // Guards against telling a caller that a job was not cancelled, although the
  // journal has the cancellation.
  void ConfirmsARefusedCancellationThatTheJournalHas()
  {
    mLog.mOutcomes = { LogOutcome::Done };
    CPPUNIT_ASSERT(Submit());
    mLog.mOutcomes = { LogOutcome::Refused };
    mLog.mOnAppend = [&](const AppendRequest& aRequest) {
      const LogRecord& record = aRequest.mRecords.front();
      mJobs.Apply(record.mKey, record.mValue, 1);
    };
    CPPUNIT_ASSERT(mJobService.Cancel("a", Deadline()));
  }

  // The submission is under way at another instance. Guards against a job that
  // runs for good after its cancellation was answered with 410 (UNASKED).
  void StoresTheCancellationOfAJobThatIsStoredLater()
  {
    mLog.mOutcomes = { LogOutcome::Done };
    CPPUNIT_ASSERT(IsNotFound(mJobService.Cancel("a", Deadline())));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mLog.mAppends);
    CPPUNIT_ASSERT(Submit());
    CPPUNIT_ASSERT(mJobs.StateOf("a") == jobs::JobState::Cancelled);
  }

  // Guards against status 410 for a job that may be stored later, while its
  // cancellation is stored nowhere (UNASKED).
  void ReportsNoUnknownJobIfItsCancellationIsNotStored()
  {
    mLog.mOutcomes = { LogOutcome::Refused };
    const auto result = mJobService.Cancel("a", Deadline());
    CPPUNIT_ASSERT(result.error().mKind == base::ErrorKind::LogUnavailable);
  }

private:
  static bool IsNotFound(const base::Result<void>& aResult)
  {
    return !aResult && aResult.error().mKind == base::ErrorKind::NotFound;
  }

  base::Result<void> Submit()
  {
    return mJobService.Submit({}, "a", {}, Deadline());
  }

  base::TimePoint Deadline() const
  {
    return mClock.Now() + std::chrono::seconds(3);
  }

  base::ManualClock mClock;
  metrics::Registry mMetrics;
  jobs::JobTable mJobs;
  ScriptedLog mLog;
  std::atomic<std::int64_t> mNextOffset{ 0 };
  JobService mJobService{ mJobs,
                          mLog,
                          { "journal", 0 },
                          LogLimits{},
                          mNextOffset,
                          mClock,
                          journal::GetSystemWallClock(),
                          mMetrics };
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobServiceTest);

} // namespace skylarkhill::node
