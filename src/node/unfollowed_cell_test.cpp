#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/node/job_router.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fake_shared_log_test.hpp"

namespace skylarkhill::node {

using base::ErrorKind;
using std::chrono::milliseconds;

namespace {

constexpr int kCells = 3;
constexpr milliseconds kCallerTimeout{ 1500 };
constexpr const char* kJob = "0123456789abcdef";
constexpr const char* kQueue = "queue";

/// Runs a hook after each read.
class HookedLog : public BlockingLog
{
public:
  explicit HookedLog(FakeSharedLog& aLog)
    : mLog(aLog)
  {
  }

  AppendResult Append(const AppendRequest& aRequest,
                      base::TimePoint aDeadline) override
  {
    return mLog.Append(aRequest, aDeadline);
  }

  ReadResult Read(const LogStream& aStream,
                  std::int64_t aFrom,
                  base::TimePoint aDeadline) override
  {
    ReadResult result =
      static_cast<BlockingLog&>(mLog).Read(aStream, aFrom, aDeadline);
    if (mOnRead) {
      mOnRead();
    }
    return result;
  }

  std::function<void()> mOnRead;

private:
  FakeSharedLog& mLog;
};

/// The part of an instance that serves callers.
struct Router
{
  Router(BlockingLog& aLog,
         const base::Clock& aClock,
         metrics::Registry& aMetrics,
         bool aIsFollowing)
  {
    cells::CellMap map;
    map.mCount = kCells;
    std::vector<JobService*> services;
    for (int cell = 0; cell < kCells; ++cell) {
      mTables.push_back(std::make_unique<jobs::JobTable>());
      mServices.push_back(
        std::make_unique<JobService>(*mTables.back(),
                                     aLog,
                                     LogStream{ "journal", cell },
                                     mLimits,
                                     mNextOffset,
                                     aClock,
                                     journal::GetSystemWallClock(),
                                     aMetrics));
      mServices.back()->SetFollowed(aIsFollowing);
      services.push_back(mServices.back().get());
    }
    mNextOffset = aIsFollowing ? 0 : kJournalNotLoaded;
    mRouter.SetCells(map, services);
  }

  LogLimits mLimits;
  /// Followers read each journal from its beginning.
  std::atomic<std::int64_t> mNextOffset{ 0 };
  std::vector<std::unique_ptr<jobs::JobTable>> mTables;
  std::vector<std::unique_ptr<JobService>> mServices;
  JobRouter mRouter;
};

/// Asks one other instance, unless it is cut off.
class OneFollower : public CellQueries
{
public:
  explicit OneFollower(JobRouter& aRouter)
    : mRouter(aRouter)
  {
  }

  base::Result<JobView> FindJob(int aCell,
                                const std::string& aJobId,
                                base::TimePoint aDeadline) override
  {
    BOOST_OUTCOME_TRYV(Reach(aCell));
    return mRouter.FindJob(aCell, aJobId, aDeadline);
  }

  base::Result<std::vector<int>> ListOtherCells(
    int aCell,
    const std::string& aJobId,
    base::TimePoint aDeadline) override
  {
    BOOST_OUTCOME_TRYV(Reach(aCell));
    return mRouter.ListOtherCells(aCell, aJobId, aDeadline);
  }

  base::Result<std::size_t> CountPending(int aCell,
                                         std::string_view aQueue,
                                         base::TimePoint aDeadline) override
  {
    BOOST_OUTCOME_TRYV(Reach(aCell));
    return mRouter.CountPending(aCell, aQueue, aDeadline);
  }

  /// Questions about this cell get no answer.
  int mUnreachableCell = -1;
  int mQuestions = 0;

private:
  base::Result<void> Reach(int aCell)
  {
    ++mQuestions;
    if (aCell == mUnreachableCell) {
      return base::MakeError(ErrorKind::LogUnavailable, "cut off");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  JobRouter& mRouter;
};

} // namespace

/// Callers of an instance that follows no cell.
class UnfollowedCellTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UnfollowedCellTest);
  CPPUNIT_TEST(ShowsTheStateThatAFollowerKnows);
  CPPUNIT_TEST(FindsAMovedJob);
  CPPUNIT_TEST(StoresACancellationInAllJournalsOfAMovedAndLentJob);
  CPPUNIT_TEST(AcknowledgesNoCancellationWhileLoansAreNotKnown);
  CPPUNIT_TEST(TakesNoUnreachableFollowerForAMissingJob);
  CPPUNIT_TEST(CountsPendingJobsOfAllCells);
  CPPUNIT_TEST(AsksForARememberedJobOnce);
  CPPUNIT_TEST(AnswersNothingFromATableThatIsCleared);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mAsker.mRouter.SetQueries(mQueries); }

  // Guards against a state from the time of the submission, because the
  // instance never reads the journal.
  void ShowsTheStateThatAFollowerKnows()
  {
    const int home = Submit();
    CPPUNIT_ASSERT(
      !mAsker.mTables[static_cast<std::size_t>(home)]->Contains(kJob));
    CPPUNIT_ASSERT(StateOf() == jobs::JobState::Pending);
    StoreCancellation(home);
    mClock.Advance(milliseconds(200));
    CPPUNIT_ASSERT(StateOf() == jobs::JobState::Cancelled);
  }

  // Guards against a job that is shown as pending at home for ever after it has
  // moved.
  void FindsAMovedJob()
  {
    const int home = Submit();
    const int target = (home + 1) % kCells;
    Store(home,
          jobs::FormatRecordKey(jobs::RecordKind::Transfer, kJob),
          jobs::EncodeTransfer({ target, true }));
    Copy(home, target);
    StoreCancellation(target);
    mClock.Advance(milliseconds(200));
    CPPUNIT_ASSERT(StateOf() == jobs::JobState::Cancelled);
  }

  // Guards against a cell that runs tasks of the job and lacks the cancellation
  // (UNASKED).
  void StoresACancellationInAllJournalsOfAMovedAndLentJob()
  {
    const int home = Submit();
    const int target = (home + 1) % kCells;
    Store(home,
          jobs::FormatRecordKey(jobs::RecordKind::Transfer, kJob),
          jobs::EncodeTransfer({ target, false }));
    Copy(home, target);
    StoreLoan(target, (home + 2) % kCells);
    CPPUNIT_ASSERT(Cancel());
    for (int cell = 0; cell < kCells; ++cell) {
      CPPUNIT_ASSERT_EQUAL(1, CountCancellations(cell));
    }
  }

  // Guards against an acknowledgement although another cell may run tasks of
  // the job (UNASKED).
  void AcknowledgesNoCancellationWhileLoansAreNotKnown()
  {
    const int home = Submit();
    StoreLoan(home, (home + 1) % kCells);
    CPPUNIT_ASSERT(StateOf() == jobs::JobState::Pending);
    mQueries.mUnreachableCell = home;
    const auto result = Cancel();
    CPPUNIT_ASSERT(!result);
    CPPUNIT_ASSERT(result.error().mKind != ErrorKind::NotFound);
  }

  // Guards against 410 for an accepted job, which is LOST.
  void TakesNoUnreachableFollowerForAMissingJob()
  {
    const int home = Submit();
    mQueries.mUnreachableCell = home;
    const auto state = mAsker.mRouter.StateOf(kJob, Deadline());
    CPPUNIT_ASSERT(!state);
    CPPUNIT_ASSERT(state.error().mKind == ErrorKind::LogUnavailable);
    const auto missing = mAsker.mRouter.StateOf("0000000000000000", Deadline());
    CPPUNIT_ASSERT(!missing);
    CPPUNIT_ASSERT(missing.error().mKind == ErrorKind::LogUnavailable);
    mQueries.mUnreachableCell = -1;
    CPPUNIT_ASSERT(
      mAsker.mRouter.StateOf("0000000000000000", Deadline()).error().mKind ==
      ErrorKind::NotFound);
  }

  // Guards against counts that miss the jobs of cells that are not followed.
  void CountsPendingJobsOfAllCells()
  {
    Submit();
    const auto count = mAsker.mRouter.CountPending(kQueue, Deadline());
    CPPUNIT_ASSERT(count);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, count.value());
    mQueries.mUnreachableCell = 2;
    CPPUNIT_ASSERT(!mAsker.mRouter.CountPending(kQueue, Deadline()));
  }

  // Guards against questions to all cells for each state that a caller asks
  // for.
  void AsksForARememberedJobOnce()
  {
    Submit();
    CPPUNIT_ASSERT(StateOf() == jobs::JobState::Pending);
    CPPUNIT_ASSERT(mQueries.mQuestions <= 2);
  }

  // The follower stops following while it reads a journal. Guards against 410
  // for an accepted job (LOST), a count that lacks jobs (MIXED), and a
  // cancellation that misses the cells that run the job (UNASKED).
  void AnswersNothingFromATableThatIsCleared()
  {
    const int home = Submit();
    StoreLoan(home, (home + 1) % kCells);
    mFollowerLog.mOnRead = [this, home] {
      const auto n = static_cast<std::size_t>(home);
      mFollower.mServices[n]->SetFollowed(false);
      mFollower.mTables[n]->Clear();
      mFollower.mServices[n]->SetFollowed(true);
      mFollower.mTables[n]->Clear();
    };
    JobRouter& follower = mFollower.mRouter;
    const auto isUnavailable = [](const auto& aResult) {
      return !aResult && aResult.error().mKind == ErrorKind::LogUnavailable;
    };
    CPPUNIT_ASSERT(isUnavailable(follower.FindJob(home, kJob, Deadline())));
    CPPUNIT_ASSERT(
      isUnavailable(follower.ListOtherCells(home, kJob, Deadline())));
    mClock.Advance(milliseconds(5000));
    CPPUNIT_ASSERT(
      isUnavailable(follower.CountPending(home, kQueue, Deadline())));
    const auto state = follower.StateOf(kJob, Deadline());
    CPPUNIT_ASSERT(state || isUnavailable(state));
    const auto cancelled = follower.Cancel(kJob, Deadline());
    CPPUNIT_ASSERT(!cancelled);
    CPPUNIT_ASSERT(cancelled.error().mKind != ErrorKind::NotFound);
    mFollowerLog.mOnRead = {};
    CPPUNIT_ASSERT(follower.FindJob(home, kJob, Deadline()));
  }

private:
  base::TimePoint Deadline() const { return mClock.Now() + kCallerTimeout; }

  /// Submits the job and returns its home.
  int Submit()
  {
    jobs::QueuePolicy policy;
    policy.mQueue = kQueue;
    jobs::JobRequest request;
    request.mSteps.resize(1);
    request.mSteps[0].mIsService = true;
    request.mSteps[0].mCount = 2;
    CPPUNIT_ASSERT(mAsker.mRouter.Submit(policy, kJob, request, Deadline()));
    for (int cell = 0; cell < kCells; ++cell) {
      if (!RecordsOf(cell).empty()) {
        return cell;
      }
    }
    CPPUNIT_FAIL("the job is in no journal");
    return -1;
  }

  jobs::JobState StateOf()
  {
    const auto state = mAsker.mRouter.StateOf(kJob, Deadline());
    CPPUNIT_ASSERT(state);
    return state.value();
  }

  base::Result<void> Cancel()
  {
    return mAsker.mRouter.Cancel(kJob, Deadline());
  }

  std::vector<LogRecord>& RecordsOf(int aCell)
  {
    return mState.mStreams[NameOfStream({ "journal", aCell })];
  }

  void Store(int aCell, std::string aKey, std::string aValue)
  {
    auto& records = RecordsOf(aCell);
    const auto offset = static_cast<std::int64_t>(records.size());
    records.push_back({ std::move(aKey), std::move(aValue), offset });
  }

  /// Stores the submission in the journal of the target, too.
  void Copy(int aHome, int aTarget)
  {
    const LogRecord submission = RecordsOf(aHome).front();
    Store(aTarget, submission.mKey, submission.mValue);
  }

  void StoreCancellation(int aCell)
  {
    Store(
      aCell, jobs::FormatRecordKey(jobs::RecordKind::Cancellation, kJob), "1");
  }

  void StoreLoan(int aLender, int aBorrower)
  {
    jobs::StepProgress step;
    step.mTasks.push_back({ 0, false, {}, 0, "" });
    Store(aLender,
          jobs::FormatPartKey(jobs::RecordKind::Loan, kJob, "1"),
          jobs::EncodeLoan({ aBorrower, false, { step }, { aLender } }));
  }

  int CountCancellations(int aCell)
  {
    const auto& records = RecordsOf(aCell);
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
  HookedLog mFollowerLog{ mLog };
  Router mFollower{ mFollowerLog, mClock, mMetrics, true };
  Router mAsker{ mLog, mClock, mMetrics, false };
  OneFollower mQueries{ mFollower.mRouter };
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnfollowedCellTest);

} // namespace skylarkhill::node
