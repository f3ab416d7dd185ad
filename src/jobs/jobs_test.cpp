#include "skylarkhill/base/msgpack.hpp"
#include "skylarkhill/jobs/idle_tasks.hpp"
#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/jobs/job_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace skylarkhill::jobs {

namespace {

Submission
MakeSubmission(const std::string& aId)
{
  Submission submission;
  submission.mId = aId;
  submission.mPolicy.mQueue = "queue";
  submission.mPolicy.mPool = "pool";
  submission.mPolicy.mSlackFactor = 1.5;
  submission.mAcceptedMs = 1234;
  submission.mRequest.mPayload = std::string("\0\xff text", 7);
  Step step;
  step.mCount = 4;
  step.mResources = { 1500, 1 << 20, 2 };
  step.mDependsOn = {};
  step.mImage = "image";
  step.mIsBackfill = true;
  step.mMaxUnavailable = 2;
  submission.mRequest.mSteps.push_back(step);
  step.mDependsOn = { 0 };
  submission.mRequest.mSteps.push_back(step);
  return submission;
}

std::string
SubmissionKey(const std::string& aId)
{
  return FormatRecordKey(RecordKind::Submission, aId);
}

std::string
ProgressValue(JobState aState)
{
  JobProgress progress;
  progress.mState = aState;
  return EncodeProgress(progress);
}

} // namespace

class JobsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JobsTest);
  CPPUNIT_TEST(RoundTripsASubmission);
  CPPUNIT_TEST(RoundTripsProgress);
  CPPUNIT_TEST(ReadsProgressOfOtherVersions);
  CPPUNIT_TEST(RoundTripsATaskRange);
  CPPUNIT_TEST(KeepsTheNewestTaskRange);
  CPPUNIT_TEST(RoundTripsALoan);
  CPPUNIT_TEST(HidesBorrowedTasksFromCallers);
  CPPUNIT_TEST(KeepsBorrowedTasksOfATransferredJob);
  CPPUNIT_TEST(KeepsALoanUntilTheBorrowerHasTheEndOfTheJob);
  CPPUNIT_TEST(RefusesMalformedRecords);
  CPPUNIT_TEST(IgnoresARepeatedSubmission);
  CPPUNIT_TEST(IgnoresOlderProgress);
  CPPUNIT_TEST(CancelsAJobSubmittedAfterItsCancellation);
  CPPUNIT_TEST(EncodesAsManyIdleStepsAsFit);
  CPPUNIT_TEST(ListsCancellationsOfUnknownJobs);
  CPPUNIT_TEST(CountsPendingJobsOfAQueue);
  CPPUNIT_TEST(KeepsTheFinalStateDespiteALateCancellation);
  CPPUNIT_TEST(SkipsRecordsThatAnnounceTooMuch);
  CPPUNIT_TEST(ForgetsEachKindOfRecordThatTheJournalLacks);
  CPPUNIT_TEST(KeepsRecordsThatAreNewerThanTheLoadedJournal);
  CPPUNIT_TEST(KeepsAJobWhoseOlderCopyWasDeleted);
  CPPUNIT_TEST(IgnoresRecordsBeforeADeletionThatWasRead);
  CPPUNIT_TEST(IgnoresRecordsBeforeTheLoadedJournal);
  CPPUNIT_TEST(AppliesRecordsAfterItWasCleared);
  CPPUNIT_TEST_SUITE_END();

public:
  void RoundTripsASubmission()
  {
    const Submission before = MakeSubmission("a");
    const auto after = DecodeSubmission(EncodeSubmission(before));
    CPPUNIT_ASSERT(after);
    CPPUNIT_ASSERT_EQUAL(before.mRequest.mPayload,
                         after.value().mRequest.mPayload);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         after.value().mRequest.mSteps.size());
    const Step& step = after.value().mRequest.mSteps[1];
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, step.mDependsOn.size());
    CPPUNIT_ASSERT(step.mResources == before.mRequest.mSteps[1].mResources);
    CPPUNIT_ASSERT(step.mIsBackfill);
    CPPUNIT_ASSERT_EQUAL(2, step.mMaxUnavailable);
    CPPUNIT_ASSERT_EQUAL(1.5, after.value().mPolicy.mSlackFactor);
  }

  void RoundTripsProgress()
  {
    JobProgress before;
    before.mState = JobState::Running;
    before.mMayHaveStarted = true;
    before.mEndedMs = 1'700'000'000'000;
    before.mSteps.push_back({ 2, 1, { { 3, false, { 1, 4 }, 5, "point" } } });
    const auto after = DecodeProgress(EncodeProgress(before));
    CPPUNIT_ASSERT(after);
    CPPUNIT_ASSERT(after.value().mMayHaveStarted);
    CPPUNIT_ASSERT_EQUAL(before.mEndedMs, after.value().mEndedMs);
    const TaskProgress& task = after.value().mSteps.front().mTasks.front();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, task.mFailedRuns.size());
    CPPUNIT_ASSERT_EQUAL(5, task.mLastRun);
    CPPUNIT_ASSERT_EQUAL(std::string("point"), task.mCheckpoint);
  }

  // Guards against a leader that cannot read the end of a job that a version
  // with fewer or more fields has stored.
  void ReadsProgressOfOtherVersions()
  {
    const auto decode = [](const auto& aFields) {
      return DecodeProgress(base::PackMsgpack(aFields)).value();
    };
    const std::vector<int> steps;
    const int state = static_cast<int>(JobState::Completed);
    const JobProgress older = decode(std::tuple(state, true, steps));
    CPPUNIT_ASSERT(older.mState == JobState::Completed);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, older.mEndedMs);
    const JobProgress newer =
      decode(std::tuple(state, true, steps, std::int64_t{ 7 }, "more"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 7 }, newer.mEndedMs);
  }

  void RoundTripsATaskRange()
  {
    TaskRange before;
    before.mFirst = 512;
    before.mProgress.mOccurrence = 2;
    before.mProgress.mStep = 1;
    before.mProgress.mTasks = { { 512, true, { 1 }, 2, "" },
                                { 513, false, { 1, 4 }, 5, "point" },
                                { 1023, true, {}, 1, "" } };
    const auto after = DecodeTaskRange(EncodeTaskRange(before));
    CPPUNIT_ASSERT(after);
    CPPUNIT_ASSERT_EQUAL(std::string("2.1.512"), NameOf(after.value()));
    std::map<int, TaskProgress> tasks;
    for (const auto& it : after.value().mProgress.mTasks) {
      tasks[it.mIndex] = it;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, tasks.size());
    CPPUNIT_ASSERT(tasks.at(512).mIsDone && tasks.at(1023).mIsDone);
    CPPUNIT_ASSERT(!tasks.at(513).mIsDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, tasks.at(513).mFailedRuns.size());
    CPPUNIT_ASSERT_EQUAL(5, tasks.at(513).mLastRun);
    CPPUNIT_ASSERT_EQUAL(std::string("point"), tasks.at(513).mCheckpoint);
    const auto key =
      ParseRecordKey(FormatTaskRangeKey("a", NameOf(after.value())));
    CPPUNIT_ASSERT(key && key->mKind == RecordKind::TaskRange);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), key->mId);
    CPPUNIT_ASSERT_EQUAL(std::string("2.1.512"), key->mPart);
  }

  // The leader applies its own records before it reads its older ones.
  void KeepsTheNewestTaskRange()
  {
    JobTable table;
    table.Apply(SubmissionKey("a"), EncodeSubmission(MakeSubmission("a")), 1);
    TaskRange range;
    const std::string key = FormatTaskRangeKey("a", NameOf(range));
    range.mProgress.mTasks = { { 0, true, {}, 1, "" } };
    const std::string newest = EncodeTaskRange(range);
    table.Apply(key, newest, 7);
    table.Apply(key, EncodeTaskRange({}), 5);
    CPPUNIT_ASSERT_EQUAL(newest, table.Find("a")->mRanges.at("0.0.0").mBytes);
    table.Apply(key, "", 8);
    CPPUNIT_ASSERT(table.ListRanges("a").empty());
  }

  void RoundTripsALoan()
  {
    StepProgress step;
    step.mStep = 1;
    step.mTasks = { { 3, false, {}, 5, "point" } };
    const auto loan = DecodeLoan(EncodeLoan({ 2, true, { step }, { 0, 1 } }));
    CPPUNIT_ASSERT(loan);
    CPPUNIT_ASSERT_EQUAL(2, loan.value().mTarget);
    CPPUNIT_ASSERT(loan.value().mIsDelivered);
    const auto tasks = DecodeBorrowedTasks(EncodeBorrowedTasks(
      { MakeSubmission("a"), loan.value().mSteps, loan.value().mFormerCells }));
    CPPUNIT_ASSERT(tasks);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), tasks.value().mSubmission.mId);
    CPPUNIT_ASSERT(tasks.value().mFormerCells == std::vector<int>({ 0, 1 }));
    const StepProgress& copy = tasks.value().mSteps.at(0);
    CPPUNIT_ASSERT_EQUAL(1, copy.mStep);
    CPPUNIT_ASSERT_EQUAL(3, copy.mTasks.at(0).mIndex);
    CPPUNIT_ASSERT_EQUAL(5, copy.mTasks.at(0).mLastRun);
    CPPUNIT_ASSERT_EQUAL(std::string("point"), copy.mTasks.at(0).mCheckpoint);
    const auto key =
      ParseRecordKey(FormatPartKey(RecordKind::Borrowed, "a", "2.1"));
    CPPUNIT_ASSERT(key && key->mKind == RecordKind::Borrowed);
    CPPUNIT_ASSERT_EQUAL(std::string("2.1"), key->mPart);
  }

  // Guards against a borrower that callers and repeated submissions take for
  // the cell of the job.
  void HidesBorrowedTasksFromCallers()
  {
    JobTable table;
    const std::string key = FormatPartKey(RecordKind::Borrowed, "a", "2.1");
    table.Apply(key, EncodeBorrowedTasks({ MakeSubmission("a"), {}, {} }), 1);
    CPPUNIT_ASSERT(!table.Contains("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, table.CountPending("q"));
    CPPUNIT_ASSERT(table.List().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, table.ListOpen().size());
    CPPUNIT_ASSERT(table.Find("a")->IsBorrowed());
    table.Apply(FormatRecordKey(RecordKind::Cancellation, "a"), "1", 2);
    CPPUNIT_ASSERT(table.ListOpen().empty());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      table.ListFinal(MakeSubmission("a").mAcceptedMs + 1).size());
  }

  // The home of a transferred job runs some of its tasks. Guards against a
  // cleanup of their records while they run, and against a start of the others.
  void KeepsBorrowedTasksOfATransferredJob()
  {
    JobTable table;
    const Submission submission = MakeSubmission("a");
    table.Apply(SubmissionKey("a"), EncodeSubmission(submission), 1);
    table.Apply(FormatRecordKey(RecordKind::Transfer, "a"),
                EncodeTransfer({ 1, true }),
                2);
    const std::int64_t later = submission.mAcceptedMs + 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, table.ListFinal(later).size());
    CPPUNIT_ASSERT(table.ListOpen().empty());
    const std::string key = FormatPartKey(RecordKind::Borrowed, "a", "1.1");
    table.Apply(key, EncodeBorrowedTasks({ submission, {}, {} }), 3);
    CPPUNIT_ASSERT(table.ListFinal(later).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, table.ListOpen().size());
    CPPUNIT_ASSERT(table.Find("a")->IsBorrowed());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, table.CountPending("q"));
    table.Apply(FormatRecordKey(RecordKind::Cancellation, "a"), "1", 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, table.ListFinal(later).size());
  }

  // Guards against a new leader that leaves a copy, or a cancellation, to its
  // predecessor, which may not have sent it.
  void KeepsALoanUntilTheBorrowerHasTheEndOfTheJob()
  {
    JobTable table;
    table.Apply(SubmissionKey("a"), EncodeSubmission(MakeSubmission("a")), 1);
    const std::string key = FormatPartKey(RecordKind::Loan, "a", "1");
    table.Apply(key, EncodeLoan({ 2, false, {}, {} }), 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, table.ListLoansToRepeat().size());
    table.Apply(key, EncodeLoan({ 2, true, {}, {} }), 3);
    // The leader applies its own records before it reads its older ones.
    table.Apply(key, EncodeLoan({ 2, false, {}, {} }), 2);
    CPPUNIT_ASSERT(table.ListLoansToRepeat().empty());
    table.Apply(FormatRecordKey(RecordKind::Cancellation, "a"), "1", 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, table.ListLoansToRepeat().size());
    table.Apply(key, "", 5);
    CPPUNIT_ASSERT(table.ListLoans("a").empty());
  }

  void RefusesMalformedRecords()
  {
    CPPUNIT_ASSERT(!DecodeLoan(EncodeLoan({ -1, false, {}, {} })));
    CPPUNIT_ASSERT(!DecodeBorrowedTasks(EncodeLoan({ 1, false, {}, {} })));
    CPPUNIT_ASSERT(!ParseRecordKey("b/a"));
    CPPUNIT_ASSERT(!DecodeTaskRange(EncodeProgress({})));
    CPPUNIT_ASSERT(!ParseRecordKey("r/a"));
    CPPUNIT_ASSERT(!DecodeSubmission("garbage"));
    CPPUNIT_ASSERT(!DecodeProgress(""));
    CPPUNIT_ASSERT(!DecodeProgress(EncodeSubmission(MakeSubmission("a"))));
    CPPUNIT_ASSERT(!ParseRecordKey("x/a"));
    CPPUNIT_ASSERT(!ParseRecordKey("s"));
  }

  void IgnoresARepeatedSubmission()
  {
    JobTable table;
    Submission second = MakeSubmission("a");
    second.mAcceptedMs = 9999;
    table.Apply(SubmissionKey("a"), EncodeSubmission(MakeSubmission("a")), 1);
    table.Apply(SubmissionKey("a"), EncodeSubmission(second), 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, table.Size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1234 },
                         table.Find("a")->mSubmission->mAcceptedMs);
  }

  // A completed job must not be shown as running when the leader reads its own
  // older records.
  void IgnoresOlderProgress()
  {
    JobTable table;
    table.Apply(SubmissionKey("a"), EncodeSubmission(MakeSubmission("a")), 1);
    const std::string key = FormatRecordKey(RecordKind::Progress, "a");
    table.Apply(key, ProgressValue(JobState::Completed), 7);
    table.Apply(key, ProgressValue(JobState::Running), 5);
    CPPUNIT_ASSERT(table.StateOf("a") == JobState::Completed);
  }

  void CancelsAJobSubmittedAfterItsCancellation()
  {
    JobTable table;
    table.Apply(FormatRecordKey(RecordKind::Cancellation, "a"), "1", 1);
    CPPUNIT_ASSERT(!table.StateOf("a"));
    table.Apply(SubmissionKey("a"), EncodeSubmission(MakeSubmission("a")), 2);
    CPPUNIT_ASSERT(table.StateOf("a") == JobState::Cancelled);
  }

  // Guards against a hand-over that the log refuses for its size, or that loses
  // the tasks that come first.
  void EncodesAsManyIdleStepsAsFit()
  {
    constexpr std::size_t kLimit = 2000;
    IdleTasks idle;
    idle.mEpoch = 7;
    for (int n = 0; n < 100; ++n) {
      idle.mSteps.push_back({ "job" + std::to_string(n),
                              n,
                              1,
                              5000 + n,
                              { { 0, 70'000 }, { n, 3 } } });
    }
    const std::string bytes = EncodeIdleTasks(idle, kLimit);
    CPPUNIT_ASSERT(bytes.size() <= kLimit);
    CPPUNIT_ASSERT(bytes.size() > kLimit / 4);
    const auto decoded = DecodeIdleTasks(bytes);
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 7 }, decoded.value().mEpoch);
    const auto& steps = decoded.value().mSteps;
    CPPUNIT_ASSERT(steps.size() > 10 && steps.size() < 100);
    CPPUNIT_ASSERT_EQUAL(std::string("job9"), steps[9].mJobId);
    CPPUNIT_ASSERT_EQUAL(9, steps[9].mOccurrence);
    CPPUNIT_ASSERT_EQUAL(1, steps[9].mStep);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5009 }, steps[9].mWaitedMs);
    CPPUNIT_ASSERT_EQUAL(9, steps[9].mTasks.at(1).mIndex);
    CPPUNIT_ASSERT_EQUAL(70'000, steps[9].mTasks.at(0).mLastRun);
    CPPUNIT_ASSERT(!DecodeIdleTasks("garbage"));
  }

  // Guards against removing a cancellation that belongs to a job or to borrowed
  // tasks, and against overlooking one by its value.
  void ListsCancellationsOfUnknownJobs()
  {
    JobTable table;
    const auto cancel = [&](const char* aId, const std::string& aValue) {
      table.Apply(FormatRecordKey(RecordKind::Cancellation, aId), aValue, 1);
    };
    cancel("a", EncodeCancellation(1'700'000'000'000));
    CPPUNIT_ASSERT(table.ListLoneCancellations() ==
                   std::vector<std::string>{ "a" });
    table.Apply(SubmissionKey("a"), EncodeSubmission(MakeSubmission("a")), 2);
    table.Apply(FormatPartKey(RecordKind::Borrowed, "b", "1.1"),
                EncodeBorrowedTasks({ MakeSubmission("b"), {}, {} }),
                3);
    cancel("b", EncodeCancellation(5));
    CPPUNIT_ASSERT(table.ListLoneCancellations().empty());
    for (const char* it : { "1", "x", "12x", "-5" }) {
      const std::string id = std::string("c") + it;
      cancel(id.c_str(), it);
      const auto listed = table.ListLoneCancellations();
      CPPUNIT_ASSERT(std::count(listed.begin(), listed.end(), id) == 1);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("1700000000000"),
                         EncodeCancellation(1'700'000'000'000));
  }

  void CountsPendingJobsOfAQueue()
  {
    JobTable table;
    for (const char* id : { "a", "b", "c" }) {
      table.Apply(SubmissionKey(id), EncodeSubmission(MakeSubmission(id)), 1);
    }
    table.Apply(FormatRecordKey(RecordKind::Progress, "b"),
                ProgressValue(JobState::Running),
                2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, table.CountPending("queue"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, table.CountPending("other"));
  }

  void KeepsTheFinalStateDespiteALateCancellation()
  {
    JobTable table;
    table.Apply(SubmissionKey("a"), EncodeSubmission(MakeSubmission("a")), 1);
    table.Apply(FormatRecordKey(RecordKind::Progress, "a"),
                ProgressValue(JobState::Completed),
                2);
    table.Apply(FormatRecordKey(RecordKind::Cancellation, "a"), "1", 3);
    CPPUNIT_ASSERT(table.StateOf("a") == JobState::Completed);
  }

  // Guards against a record that ends the process: a few bytes that announce
  // billions of elements, or that are nested very deeply.
  void SkipsRecordsThatAnnounceTooMuch()
  {
    JobTable table;
    table.Apply(SubmissionKey("a"), EncodeSubmission(MakeSubmission("a")), 1);
    for (const std::string& odd : { std::string("\xdd\x1f\xff\xff\xff", 5),
                                    std::string("\xdf\x1f\xff\xff\xff", 5),
                                    std::string("\xc6\xff\xff\xff\xff", 5),
                                    std::string(1'000'000, '\x91') }) {
      table.Apply(SubmissionKey("odd"), odd, 2);
      table.Apply(FormatRecordKey(RecordKind::Progress, "a"), odd, 3);
    }
    CPPUNIT_ASSERT(!table.Contains("odd"));
    CPPUNIT_ASSERT(table.StateOf("a") == JobState::Pending);
    table.Apply(SubmissionKey("b"), EncodeSubmission(MakeSubmission("b")), 4);
    CPPUNIT_ASSERT(table.Contains("b"));
  }

  // Guards against a job that is taken for cancelled, done, moved or lent by a
  // record that was deleted before the journal was loaded again.
  void ForgetsEachKindOfRecordThatTheJournalLacks()
  {
    JobTable table;
    const std::map<std::string, std::string> records = RecordsOfAJob();
    std::int64_t offset = 0;
    std::set<std::string> keys;
    for (const auto& [key, value] : records) {
      table.Apply(key, value, offset++);
      keys.insert(key);
    }
    table.Retain(keys, offset);
    const auto all = table.Find("a");
    CPPUNIT_ASSERT(all && all->mSubmission && all->mIsCancelled);
    CPPUNIT_ASSERT(all->mProgress.mState == JobState::Running);
    CPPUNIT_ASSERT(all->mTransfer && all->mRanges.size() == 1);
    CPPUNIT_ASSERT(all->mLoans.size() == 1 && all->mBorrowed.size() == 1);
    table.Retain({ SubmissionKey("a") }, offset);
    const auto left = table.Find("a");
    CPPUNIT_ASSERT(left && left->mSubmission && !left->mIsCancelled);
    CPPUNIT_ASSERT(left->mProgress.mState == JobState::Pending);
    CPPUNIT_ASSERT(!left->mTransfer && left->mRanges.empty());
    CPPUNIT_ASSERT(left->mLoans.empty() && left->mBorrowed.empty());
    table.Retain({}, offset);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, table.Size());
  }

  // An own append is stored between the first page of the journal and the last
  // one. Guards against an accepted job that is not found.
  void KeepsRecordsThatAreNewerThanTheLoadedJournal()
  {
    JobTable table;
    const std::string value = EncodeSubmission(MakeSubmission("a"));
    table.Apply(SubmissionKey("a"), value, 9);
    table.Apply(SubmissionKey("b"), value, 10);
    // A copy of a job that the table knows.
    table.Apply(SubmissionKey("c"), value, 2);
    table.Apply(SubmissionKey("c"), value, 11);
    table.Retain({}, 10);
    CPPUNIT_ASSERT(!table.Contains("a"));
    CPPUNIT_ASSERT(table.Contains("b"));
    CPPUNIT_ASSERT(table.Contains("c"));
  }

  // A job is removed, submitted again and stored by this instance, which has
  // not read the removal. Guards against an accepted job that is not found, and
  // against one that keeps the end of the removed one.
  void KeepsAJobWhoseOlderCopyWasDeleted()
  {
    JobTable table;
    const std::string value = EncodeSubmission(MakeSubmission("a"));
    table.ApplyNext(SubmissionKey("a"), value, 1);
    table.ApplyNext(FormatRecordKey(RecordKind::Progress, "a"),
                    ProgressValue(JobState::Completed),
                    2);
    table.Apply(SubmissionKey("a"), value, 4);
    table.ApplyNext(SubmissionKey("a"), "", 3);
    CPPUNIT_ASSERT(table.StateOf("a") == JobState::Pending);
    table.ApplyNext(SubmissionKey("a"), value, 4);
    CPPUNIT_ASSERT(table.StateOf("a") == JobState::Pending);
  }

  // A thread that answers a caller applies what it has read after the reader of
  // the journal. Guards against a removed job that comes back for good.
  void IgnoresRecordsBeforeADeletionThatWasRead()
  {
    JobTable table;
    const std::string value = EncodeSubmission(MakeSubmission("a"));
    table.ApplyNext(SubmissionKey("a"), value, 1);
    table.ApplyNext(SubmissionKey("a"), "", 2);
    for (const auto& [key, bytes] : RecordsOfAJob()) {
      table.Apply(key, bytes, 1);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, table.Size());
    table.Apply(SubmissionKey("a"), value, 3);
    CPPUNIT_ASSERT(table.Contains("a"));
    // A late deletion is older than the job, too.
    table.Apply(SubmissionKey("a"), "", 2);
    CPPUNIT_ASSERT(table.Contains("a"));
  }

  // The same, if the deletion expired before it was read.
  void IgnoresRecordsBeforeTheLoadedJournal()
  {
    JobTable table;
    table.Retain({}, 5);
    for (const auto& [key, bytes] : RecordsOfAJob()) {
      table.Apply(key, bytes, 4);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, table.Size());
    for (const auto& [key, bytes] : RecordsOfAJob()) {
      table.Apply(key, bytes, 5);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, table.Size());
  }

  // An instance that follows a cell again applies records that it had before.
  // Guards against accepted jobs that are not found.
  void AppliesRecordsAfterItWasCleared()
  {
    JobTable table;
    const std::string value = EncodeSubmission(MakeSubmission("a"));
    table.ApplyNext(SubmissionKey("a"), value, 1);
    table.ApplyNext(SubmissionKey("a"), value, 2);
    table.Clear();
    table.Apply(SubmissionKey("a"), value, 1);
    CPPUNIT_ASSERT(table.Contains("a"));
  }

private:
  /// A record of each kind, of the job "a", by key.
  static std::map<std::string, std::string> RecordsOfAJob()
  {
    TaskLoan loan;
    BorrowedTasks borrowed;
    borrowed.mSubmission = MakeSubmission("a");
    return { { SubmissionKey("a"), EncodeSubmission(MakeSubmission("a")) },
             { FormatRecordKey(RecordKind::Cancellation, "a"), "1" },
             { FormatRecordKey(RecordKind::Progress, "a"),
               ProgressValue(JobState::Running) },
             { FormatRecordKey(RecordKind::Transfer, "a"),
               EncodeTransfer({ 1, false }) },
             { FormatTaskRangeKey("a", "0.0.0"), EncodeTaskRange({}) },
             { FormatPartKey(RecordKind::Loan, "a", "1"), EncodeLoan(loan) },
             { FormatPartKey(RecordKind::Borrowed, "a", "1.1"),
               EncodeBorrowedTasks(borrowed) } };
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobsTest);

} // namespace skylarkhill::jobs
