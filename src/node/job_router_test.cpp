#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/node/job_router.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fake_shared_log_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;

namespace {

constexpr int kCells = 4;
constexpr milliseconds kCallerTimeout{ 1500 };

/// Runs a hook before each append of a caller and each read.
class ObservedLog : public BlockingLog
{
public:
  explicit ObservedLog(FakeSharedLog& aLog)
    : mLog(aLog)
  {
  }

  AppendResult Append(const AppendRequest& aRequest,
                      base::TimePoint aDeadline) override
  {
    mHasShortAppend =
      mHasShortAppend ||
      (mClock != nullptr && aDeadline - mClock->Now() < milliseconds(100));
    if (mOnAppend) {
      mOnAppend(NameOfStream(aRequest.mStream));
    }
    return mLog.Append(aRequest, aDeadline);
  }

  ReadResult Read(const LogStream& aStream,
                  std::int64_t aFrom,
                  base::TimePoint aDeadline) override
  {
    if (mUnreadable == NameOfStream(aStream)) {
      return {};
    }
    if (mReadsToLose > 0) {
      --mReadsToLose;
      mLog.mOnNoResponse(aDeadline);
      return {};
    }
    return static_cast<BlockingLog&>(mLog).Read(aStream, aFrom, aDeadline);
  }

  /// Called with the name of the stream.
  std::function<void(const std::string&)> mOnAppend;
  /// Name of a stream whose reads fail.
  std::string mUnreadable;
  /// Number of next reads without a response.
  int mReadsToLose = 0;

  const base::Clock* mClock = nullptr;
  /// An append had less time than the log usually takes.
  bool mHasShortAppend = false;

private:
  FakeSharedLog& mLog;
};

/// The journal of one cell at an instance.
struct Replica
{
  Replica(int aCell,
          BlockingLog& aLog,
          const base::Clock& aClock,
          metrics::Registry& aMetrics)
    : mService(mJobs,
               aLog,
               LogStream{ "journal", aCell },
               mLimits,
               mNextOffset,
               aClock,
               journal::GetSystemWallClock(),
               aMetrics)
  {
  }

  jobs::JobTable mJobs;
  LogLimits mLimits;
  std::atomic<std::int64_t> mNextOffset{ 0 };
  JobService mService;
};

} // namespace

/// Cancellations of jobs that concern several cells, as the instance stores
/// them that a caller asks.
class JobRouterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JobRouterTest);
  CPPUNIT_TEST(StoresACancellationInAllJournalsOfAMovedAndLentJob);
  CPPUNIT_TEST(StoresACancellationBehindAMoveThatWasStoredBefore);
  CPPUNIT_TEST(AcknowledgesNoCancellationThatACellLacks);
  CPPUNIT_TEST(AcknowledgesNoCancellationIfLoansMayBeMissing);
  CPPUNIT_TEST(StoresACancellationOnceOnASiteOfOneCell);
  CPPUNIT_TEST(CallsNoFurtherCellWithoutTimeForIt);
  CPPUNIT_TEST(TakesCancellationsAfterALostRead);
  CPPUNIT_TEST(StoresTheCancellationOfAnUnknownJobInAllCells);
  CPPUNIT_TEST(ReportsNoUnknownJobIfACellLacksTheCancellation);
  CPPUNIT_TEST(StoresTheCancellationInTheCellsBehindOneThatFails);
  CPPUNIT_TEST(CancelsAJobThatIsStoredDuringItsCancellation);
  CPPUNIT_TEST(CancelsAMovedJobThatItsFormerCellHasForgotten);
  CPPUNIT_TEST(GoesOnStoringTheCancellationOfAnUnknownJob);
  CPPUNIT_TEST(GoesOnStoringACancellationWithoutAnAnswer);
  CPPUNIT_TEST(GivesUpACancellationThatNoCellTakes);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mLog.mOnNoResponse = [this](base::TimePoint aDeadline) {
      mClock.Advance(aDeadline - mClock.Now());
    };
    mRouter.SetPendingCancellations(mPending);
    Start(kCells);
    Store(0, jobs::FormatRecordKey(jobs::RecordKind::Submission, kJob), Job());
  }

  // The job has moved from cell 0 to 1, which has lent tasks to 2, which has
  // lent them on to 3. Guards against a cancellation that waits for the leaders
  // of three cells in turn after its acknowledgement (UNASKED).
  void StoresACancellationInAllJournalsOfAMovedAndLentJob()
  {
    StoreMove();
    Store(1, jobs::FormatRecordKey(jobs::RecordKind::Submission, kJob), Job());
    StoreLoan(1, 2);
    StoreLoan(2, 3);
    Read(0);
    CPPUNIT_ASSERT(Cancel());
    for (int cell = 0; cell < kCells; ++cell) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "cell " + std::to_string(cell), 1, CountCancellations(cell));
    }
  }

  // The instance has not read the move, and the job is moved while it stores
  // the cancellation. Guards against a cell that gets the job without its
  // cancellation (UNASKED).
  void StoresACancellationBehindAMoveThatWasStoredBefore()
  {
    Read(0);
    mCallerLog.mOnAppend = [this](const std::string& aStream) {
      if (aStream == "journal") {
        StoreMove();
      }
    };
    CPPUNIT_ASSERT(Cancel());
    CPPUNIT_ASSERT_EQUAL(1, CountCancellations(1));
    CPPUNIT_ASSERT_EQUAL(0, CountCancellations(2));
  }

  // Guards against an acknowledgement while the cell that runs the job cannot
  // have the cancellation (UNASKED).
  void AcknowledgesNoCancellationThatACellLacks()
  {
    StoreMove();
    mLog.mUnwritableStreams = { "journal/1" };
    CPPUNIT_ASSERT(IsOutcomeUnknown(Cancel()));
    mLog.mUnwritableStreams.clear();
    mClock.Advance(milliseconds(1000));
    CPPUNIT_ASSERT(Cancel());
    CPPUNIT_ASSERT_EQUAL(1, CountCancellations(1));
  }

  // Guards against an acknowledgement by an instance that cannot know which
  // cells have borrowed tasks (UNASKED).
  void AcknowledgesNoCancellationIfLoansMayBeMissing()
  {
    Read(0);
    StoreLoan(0, 2);
    mCallerLog.mUnreadable = "journal";
    CPPUNIT_ASSERT(IsOutcomeUnknown(Cancel()));
    mCallerLog.mUnreadable.clear();
    mClock.Advance(milliseconds(1000));
    CPPUNIT_ASSERT(Cancel());
    CPPUNIT_ASSERT_EQUAL(1, CountCancellations(2));
  }

  // Guards against calls to the log that a site of one cell does not need.
  void StoresACancellationOnceOnASiteOfOneCell()
  {
    Start(1);
    Read(0);
    mCallerLog.mUnreadable = "journal";
    CPPUNIT_ASSERT(Cancel());
    CPPUNIT_ASSERT_EQUAL(1, CountCancellations(0));
  }

  // The first append takes almost all of the time. Guards against a call to the
  // second cell that cannot be answered in time, after which this instance
  // refuses the jobs of that cell.
  void CallsNoFurtherCellWithoutTimeForIt()
  {
    StoreMove();
    mCallerLog.mClock = &mClock;
    mCallerLog.mOnAppend = [this](const std::string& aStream) {
      if (aStream == "journal") {
        mClock.Advance(kCallerTimeout - milliseconds(200));
      }
    };
    const auto result = Cancel();
    CPPUNIT_ASSERT(!mCallerLog.mHasShortAppend);
    CPPUNIT_ASSERT(IsOutcomeUnknown(result));
  }

  // Guards against a cancellation that is answered with an error although there
  // is time to read the journal again.
  void TakesCancellationsAfterALostRead()
  {
    Read(0);
    mCallerLog.mReadsToLose = 1;
    CPPUNIT_ASSERT(Cancel());
  }

  // The submission is under way at another instance, and its home follows from
  // its content. Guards against a job that runs for good after its cancellation
  // was answered with 410 (UNASKED).
  void StoresTheCancellationOfAnUnknownJobInAllCells()
  {
    mState.mStreams.clear();
    CPPUNIT_ASSERT(IsNotFound(Cancel()));
    for (int cell = 0; cell < kCells; ++cell) {
      CPPUNIT_ASSERT_EQUAL(1, CountCancellations(cell));
      Store(
        cell, jobs::FormatRecordKey(jobs::RecordKind::Submission, kJob), Job());
      Read(cell);
      const jobs::JobTable& jobs =
        mReplicas[static_cast<std::size_t>(cell)]->mJobs;
      CPPUNIT_ASSERT(jobs.StateOf(kJob) == jobs::JobState::Cancelled);
      CPPUNIT_ASSERT(jobs.ListOpen().empty());
    }
  }

  // Guards against status 410 while one of the cells that may get the job lacks
  // the cancellation (UNASKED).
  void ReportsNoUnknownJobIfACellLacksTheCancellation()
  {
    mState.mStreams.clear();
    mLog.mUnwritableStreams = { "journal/2" };
    CPPUNIT_ASSERT(IsOutcomeUnknown(Cancel()));
    mLog.mUnwritableStreams.clear();
    mClock.Advance(milliseconds(1000));
    CPPUNIT_ASSERT(IsNotFound(Cancel()));
    CPPUNIT_ASSERT_EQUAL(1, CountCancellations(2));
  }

  // A cell cannot store the cancellation of a job whose submission is under
  // way. Guards against cells behind it that run the job without the
  // cancellation.
  void StoresTheCancellationInTheCellsBehindOneThatFails()
  {
    mState.mStreams.clear();
    mLog.mUnwritableStreams = { "journal" };
    CPPUNIT_ASSERT(IsOutcomeUnknown(Cancel()));
    CPPUNIT_ASSERT_EQUAL(0, CountCancellations(0));
    CPPUNIT_ASSERT_EQUAL(1, CountCancellations(1));
    CPPUNIT_ASSERT_EQUAL(1, CountCancellations(2));
  }

  // The submission is stored after the journals have been read. Guards against
  // a cell that gets the job without its cancellation (UNASKED).
  void CancelsAJobThatIsStoredDuringItsCancellation()
  {
    mState.mStreams.clear();
    mCallerLog.mOnAppend = [this](const std::string& aStream) {
      if (aStream == "journal") {
        Store(
          2, jobs::FormatRecordKey(jobs::RecordKind::Submission, kJob), Job());
        Read(2);
      }
    };
    CPPUNIT_ASSERT(Cancel());
    CPPUNIT_ASSERT_EQUAL(1, CountCancellations(2));
  }

  // The job has moved to cell 1, and cell 0 has removed its records since this
  // instance has read them. Guards against an acknowledgement that rests on an
  // old table while cell 1 runs the job (UNASKED).
  void CancelsAMovedJobThatItsFormerCellHasForgotten()
  {
    Read(0);
    StoreMove();
    const std::string key =
      jobs::FormatRecordKey(jobs::RecordKind::Submission, kJob);
    Store(1, key, Job());
    Store(0, jobs::FormatRecordKey(jobs::RecordKind::Transfer, kJob), "");
    Store(0, key, "");
    const auto result = Cancel();
    CPPUNIT_ASSERT(result || IsNotFound(result));
    CPPUNIT_ASSERT_EQUAL(1, CountCancellations(1));
  }

  // A cell cannot store the cancellation of a job whose submission is under
  // way, and the caller does not ask again. Guards against a job that runs for
  // good there although other cells have its cancellation (UNASKED).
  void GoesOnStoringTheCancellationOfAnUnknownJob()
  {
    mState.mStreams.clear();
    mLog.mUnwritableStreams = { "journal/2" };
    CPPUNIT_ASSERT(IsOutcomeUnknown(Cancel()));
    TickPending(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(0, CountCancellations(2));
    mLog.mUnwritableStreams.clear();
    TickPending(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(1, CountCancellations(2));
    CPPUNIT_ASSERT_EQUAL(1, CountCancellations(1));
  }

  // The same for a job that is known, whose cell does not answer.
  void GoesOnStoringACancellationWithoutAnAnswer()
  {
    Read(0);
    mLog.mUnwritableStreams = { "journal" };
    CPPUNIT_ASSERT(IsOutcomeUnknown(Cancel()));
    mLog.mUnwritableStreams.clear();
    TickPending(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(1, CountCancellations(0));
    CPPUNIT_ASSERT_EQUAL(0, CountCancellations(1));
  }

  // Guards against appends that are repeated for good.
  void GivesUpACancellationThatNoCellTakes()
  {
    mState.mStreams.clear();
    mLog.mUnwritableStreams = { "journal/2" };
    CPPUNIT_ASSERT(IsOutcomeUnknown(Cancel()));
    TickPending(kLoneCancellationRetention + milliseconds(1000));
    CPPUNIT_ASSERT(mPending.NextTickAt() == base::kNoDeadline);
  }

private:
  static constexpr const char* kJob = "job";

  /// Lets the call loop run for `aTime`.
  void TickPending(base::Duration aTime)
  {
    // The waits of the loop's own appends do not block it.
    const auto onNoResponse = std::exchange(mLog.mOnNoResponse, {});
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mPending.Tick();
      mLog.Deliver();
      mClock.Advance(milliseconds(100));
    }
    mLog.mOnNoResponse = onNoResponse;
  }

  void Start(int aCells)
  {
    mReplicas.clear();
    std::vector<JobService*> services;
    for (int cell = 0; cell < aCells; ++cell) {
      mReplicas.push_back(
        std::make_unique<Replica>(cell, mCallerLog, mClock, mMetrics));
      services.push_back(&mReplicas.back()->mService);
    }
    cells::CellMap map;
    map.mCount = aCells;
    mRouter.SetCells(map, services);
  }

  static std::string Job()
  {
    jobs::Submission submission;
    submission.mId = kJob;
    submission.mRequest.mSteps.resize(1);
    submission.mRequest.mSteps[0].mIsService = true;
    submission.mRequest.mSteps[0].mCount = 2;
    return jobs::EncodeSubmission(submission);
  }

  void Store(int aCell, std::string aKey, std::string aValue)
  {
    auto& records = mState.mStreams[NameOfStream({ "journal", aCell })];
    const auto offset = static_cast<std::int64_t>(records.size());
    records.push_back({ std::move(aKey), std::move(aValue), offset });
  }

  void StoreMove()
  {
    Store(0,
          jobs::FormatRecordKey(jobs::RecordKind::Transfer, kJob),
          jobs::EncodeTransfer({ 1, false }));
  }

  void StoreLoan(int aLender, int aBorrower)
  {
    jobs::StepProgress step;
    step.mTasks.push_back({ 0, false, {}, 0, "" });
    Store(aLender,
          jobs::FormatPartKey(jobs::RecordKind::Loan, kJob, "1"),
          jobs::EncodeLoan({ aBorrower, false, { step }, { aLender } }));
  }

  /// Applies what the journal has, as the loop of the instance does.
  void Read(int aCell)
  {
    Replica& replica = *mReplicas[static_cast<std::size_t>(aCell)];
    const auto& records = mState.mStreams[NameOfStream({ "journal", aCell })];
    for (const auto& it : records) {
      replica.mJobs.Apply(it.mKey, it.mValue, it.mOffset);
    }
    replica.mNextOffset = static_cast<std::int64_t>(records.size());
  }

  base::Result<void> Cancel()
  {
    return mRouter.Cancel(kJob, mClock.Now() + kCallerTimeout);
  }

  static bool IsOutcomeUnknown(const base::Result<void>& aResult)
  {
    return !aResult && aResult.error().mKind == base::ErrorKind::OutcomeUnknown;
  }

  static bool IsNotFound(const base::Result<void>& aResult)
  {
    return !aResult && aResult.error().mKind == base::ErrorKind::NotFound;
  }

  int CountCancellations(int aCell)
  {
    const auto& records = mState.mStreams[NameOfStream({ "journal", aCell })];
    const std::string key =
      jobs::FormatRecordKey(jobs::RecordKind::Cancellation, kJob);
    return static_cast<int>(
      std::count_if(records.begin(), records.end(), [&](const auto& aRecord) {
        return aRecord.mKey == key;
      }));
  }

  base::ManualClock mClock;
  metrics::Registry mMetrics;
  FakeLogState mState;
  FakeSharedLog mLog{ mState };
  ObservedLog mCallerLog{ mLog };
  std::vector<std::unique_ptr<Replica>> mReplicas;
  PendingCancellations mPending{ mLog,
                                 mClock,
                                 journal::GetSystemWallClock(),
                                 { "journal", 0 },
                                 mMetrics };
  JobRouter mRouter;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRouterTest);

} // namespace skylarkhill::node
