#include "skylarkhill/base/random.hpp"
#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/node/node.hpp"
#include "skylarkhill/node/worker_lease_record.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cell_instance_test.hpp"
#include "cell_site_test.hpp"
#include "fake_shared_log_test.hpp"
#include "fake_worker_client_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;

namespace {

constexpr int kInstances = 5;
constexpr milliseconds kStep{ 20 };
constexpr milliseconds kSeedTime{ 20'000 };
constexpr milliseconds kRecoveryTime{ 25'000 };
/// Seeds in a usual run; SKYLARKHILL_CELL_SEEDS overrides it.
constexpr int kSeeds = 25;
constexpr int kLoanSeeds = 60;
/// Longer than the retention of final jobs.
constexpr std::int64_t kOldJobAgeMs = 500'000;
/// Time in which a lasting task without a run must start again.
constexpr milliseconds kMaxTimeWithoutRun{ 9000 };

/// A site of several cells with faults that follow from a seed.
class CellSimulation
{
public:
  explicit CellSimulation(std::uint64_t aSeed)
    : mRandom(base::CreateSeededRandom(aSeed))
  {
    for (int n = 0; n < kDomains * kWorkersPerDomain; ++n) {
      Store("workers",
            "d" + std::to_string(n % kDomains) + "w" +
              std::to_string(n / kDomains),
            "1");
    }
    for (int n = 0; n < kInstances; ++n) {
      mInstances.push_back(CreateInstance(n));
    }
  }

  /// Returns what was wrong, or an empty string.
  std::string Run()
  {
    Advance(milliseconds(8000));
    const base::TimePoint end = mClock.Now() + kSeedTime;
    while (mClock.Now() < end && mProblem.empty()) {
      Disturb();
      Advance(milliseconds(20 + 20 * mRandom->Below(10)));
    }
    for (auto& it : mInstances) {
      it->mLog.mIsUnreachable = false;
      it->mLog.mUnwritableStreams.clear();
      it->mLog.mUnreadableStreams.clear();
      it->mLog.mDropsResponses = false;
      it->mPausedUntil = {};
      it->mLog.CarryOutLostAppends();
    }
    Advance(kRecoveryTime);
    if (mProblem.empty()) {
      CheckOutcome();
    }
    return mProblem;
  }

  /// Jobs come while no cell has a leader. Returns the number of transfers.
  int TakeOverWithBacklog()
  {
    Advance(milliseconds(8000));
    for (std::size_t n = 0; n < mInstances.size(); ++n) {
      mInstances[n].reset();
      mInstances[n] = CreateInstance(static_cast<int>(n));
    }
    Advance(milliseconds(1000));
    for (int n = 0; n < 20; ++n) {
      Submit();
    }
    Advance(kRecoveryTime);
    CheckOutcome();
    return mTransferCount;
  }

  /// A worker with runs of one cell appears in the failure domain of another
  /// one. Returns how often cells changed their leader since.
  int MoveWorker()
  {
    mHasSpecialJobs = false;
    Advance(milliseconds(8000));
    for (int n = 0; n < 20; ++n) {
      Submit();
    }
    Advance(milliseconds(2000));
    const std::size_t claims = CountClaims();
    Store("workers", "d0w0", "d1");
    Advance(milliseconds(15'000));
    const int changes = static_cast<int>(CountClaims() - claims);
    for (int n = 0; n < 20; ++n) {
      Submit();
    }
    Advance(kRecoveryTime);
    CheckOutcome();
    return changes;
  }

  /// Most workers of a cell with started jobs leave. Then the jobs are
  /// cancelled, one of them while no cell has a leader.
  void ShrinkCell()
  {
    StartLoans();
    CheckOutcome();
    if (!mProblem.empty()) {
      return;
    }
    for (std::size_t n = 0; n < mInstances.size(); ++n) {
      mInstances[n].reset();
      mInstances[n] = CreateInstance(static_cast<int>(n));
    }
    Advance(milliseconds(1000));
    Cancel();
    // The cells have leaders again.
    Advance(milliseconds(6000));
    for (int n = 0; n < 200; ++n) {
      Cancel();
    }
    Advance(kRecoveryTime);
    CheckOutcome();
  }

  /// Tasks of old jobs are lent. The jobs are cancelled while their cell cannot
  /// write the journals of the borrowers.
  void CancelOldJobs()
  {
    StartLoans();
    Advance(std::chrono::seconds(420));
    for (std::size_t n = 0; n < mInstances.size(); n += kDomains) {
      mInstances[n]->mLog.mUnwritableStreams = { "journal/1", "journal/2" };
    }
    for (int n = 0; n < 200; ++n) {
      Cancel();
    }
    // Longer than the interval between two removals of old jobs.
    Advance(std::chrono::seconds(25));
    for (auto& it : mInstances) {
      it->mLog.mUnwritableStreams.clear();
    }
    Advance(kRecoveryTime);
    mLoanCount = CountRecords("b/");
    // The journals may have forgotten the jobs.
    for (const auto& [id, worker] : mWorkers) {
      for (const auto& it : worker.mRuns) {
        if (mJobs[it.mTask.mJobId].mIsCancelled) {
          mProblem = dispatch::ToText(it.mTask) + " was cancelled and runs";
        }
      }
    }
  }

  /// Like StartLoans, with lasting jobs in each cell for which no worker is
  /// large enough.
  void ShrinkCellBesideUnplaceableJobs()
  {
    Advance(milliseconds(8000));
    for (int n = 0; n < 12; ++n) {
      jobs::Step step;
      step.mIsService = true;
      step.mCount = 100;
      step.mResources.mMilliProcessors = kWorkerMilliProcessors + 1000;
      jobs::JobRequest request;
      request.mSteps.push_back(step);
      const std::string id = "unplaceable" + std::to_string(n);
      const auto result = AnyInstance().mNode.GetJobRouter().Submit(
        MakePolicy(), id, request, mClock.Now() + milliseconds(400));
      mMayExist.insert(id);
    }
    StartLoans();
    Advance(kRecoveryTime);
    CheckOutcome();
  }

  /// An old job of two tasks, of cell 1, one of which its home, cell 0, has
  /// borrowed, is cancelled at the home while that cannot write the journal of
  /// cell 1. Returns the number of its runs after that.
  int CancelOldTransferredJob()
  {
    const jobs::Submission job = OldJob(2);
    StoreOldJob(job);
    Store("journal/1",
          jobs::FormatPartKey(jobs::RecordKind::Loan, job.mId, "1"),
          jobs::EncodeLoan({ 0, true, { TaskOf(1) }, { 1 } }));
    Store("journal",
          jobs::FormatPartKey(jobs::RecordKind::Borrowed, job.mId, "1.1"),
          jobs::EncodeBorrowedTasks({ job, { TaskOf(1) }, { 1 } }));
    Advance(kRecoveryTime);
    CPPUNIT_ASSERT_EQUAL(2, CountRuns(job.mId));
    for (std::size_t n = 0; n < mInstances.size(); n += kDomains) {
      mInstances[n]->mLog.mUnwritableStreams = { "journal/1" };
    }
    Store("journal",
          jobs::FormatRecordKey(jobs::RecordKind::Cancellation, job.mId),
          "1");
    // Longer than the interval between two removals of old jobs.
    Advance(kRecoveryTime);
    for (auto& it : mInstances) {
      it->mLog.mUnwritableStreams.clear();
    }
    Advance(kRecoveryTime);
    return CountRuns(job.mId);
  }

  /// A cancelled loan of an old job is stored a second time. Returns the number
  /// of runs of the job after that.
  int RepeatCancelledLoan()
  {
    const jobs::Submission job = OldJob(1);
    const std::string key =
      jobs::FormatPartKey(jobs::RecordKind::Borrowed, job.mId, "0.1");
    const std::string value =
      jobs::EncodeBorrowedTasks({ job, { TaskOf(0) }, { 0 } });
    Store("journal/1", key, value);
    Advance(milliseconds(8000));
    CPPUNIT_ASSERT_EQUAL(1, CountRuns(job.mId));
    Store("journal/1",
          jobs::FormatRecordKey(jobs::RecordKind::Cancellation, job.mId),
          "1");
    Advance(kRecoveryTime);
    Store("journal/1", key, value);
    Advance(kRecoveryTime);
    return CountRuns(job.mId);
  }

  /// A transferred old job is in a cell without room. Returns the cells that
  /// borrow its tasks.
  std::set<int> LendOldJob()
  {
    Advance(milliseconds(8000));
    RemoveWorker("d1w0");
    RemoveWorker("d1w1");
    const auto map =
      cells::DecodeCellMap(mState.mStreams["cells"].back().mValue);
    jobs::Submission job = OldJob(40);
    for (int n = 0; cells::HomeOfJob(map.value(), job.mId, job.mRequest) != 0;
         ++n) {
      job = OldJob(40, "old" + std::to_string(n));
    }
    StoreOldJob(job);
    Advance(kRecoveryTime);
    std::set<int> cells;
    for (int n = 0; n < kDomains; ++n) {
      const auto& records = mState.mStreams[JournalOf(n)];
      if (std::any_of(records.begin(), records.end(), [](const auto& aRecord) {
            return aRecord.mKey.substr(0, 2) == "b/";
          })) {
        cells.insert(n);
      }
    }
    return cells;
  }

  /// A job is cancelled when the leader of its home has decided to move it and
  /// has not stored that yet. The leader then cannot read its journal for a
  /// while. Returns the number of runs of the job meanwhile and after that.
  std::vector<int> CancelBeforeMove()
  {
    const std::string id = CancelJobThatIsToMove();
    CellInstance& leader = LeaderOf(0);
    leader.mLog.mUnreadableStreams = { "journal" };
    Advance(milliseconds(600));
    std::vector<int> runs{ CountRuns(id) };
    leader.mLog.mUnreadableStreams.clear();
    Advance(kRecoveryTime);
    mTransferCount = CountRecords("t/");
    runs.push_back(CountRuns(id));
    return runs;
  }

  /// Like CancelBeforeMove, but each read of the leader of the target returns
  /// one record, and it cannot read its journal from `aSteps` steps after the
  /// copy on. Returns the number of runs of the job meanwhile.
  int DivideCopyOfCancelledJob(int aSteps)
  {
    const std::string id = CancelJobThatIsToMove();
    CellInstance& target = LeaderOf(1);
    target.mLog.mMaxRecordsPerRead = 1;
    const auto isCopied = [&] {
      const auto& records = mState.mStreams[JournalOf(1)];
      return std::any_of(
        records.begin(), records.end(), [&](const auto& aRecord) {
          return aRecord.mKey ==
                 jobs::FormatRecordKey(jobs::RecordKind::Cancellation, id);
        });
    };
    for (int n = 0; n < 100 && !isCopied(); ++n) {
      Advance(kStep);
    }
    CPPUNIT_ASSERT(isCopied());
    Advance(kStep * aSteps);
    target.mLog.mUnreadableStreams = { JournalOf(1) };
    Advance(milliseconds(1500));
    return CountRuns(id);
  }

  /// A cancelled old job of cell 1, which was transferred from cell 0, is
  /// copied a second time. Returns the number of runs of the job after that.
  int RepeatCancelledTransfer()
  {
    const jobs::Submission job = OldJob(1);
    StoreOldJob(job);
    Advance(milliseconds(8000));
    CPPUNIT_ASSERT_EQUAL(1, CountRuns(job.mId));
    CPPUNIT_ASSERT(AnyInstance().mNode.GetJobRouter().Cancel(
      job.mId, mClock.Now() + milliseconds(400)));
    Advance(kRecoveryTime);
    CPPUNIT_ASSERT_EQUAL(0, CountRuns(job.mId));
    Store("journal/1",
          jobs::FormatRecordKey(jobs::RecordKind::Submission, job.mId),
          jobs::EncodeSubmission(job));
    Advance(milliseconds(8000));
    return CountRuns(job.mId);
  }

  /// Cancels a job of which no cell knows; each cell gets its submission after
  /// that, and a new leader. Returns what was wrong, or an empty string.
  std::string SubmitAfterCancellation()
  {
    Advance(milliseconds(8000));
    jobs::Submission job = OldJob(1, "late");
    job.mAcceptedMs = SimulatedWallClock(mClock).NowMs();
    if (!IsUnknownAfterCancellation(job.mId)) {
      return "the cancellation is not answered with not_found";
    }
    for (int cell = 0; cell < kDomains; ++cell) {
      Store(JournalOf(cell),
            jobs::FormatRecordKey(jobs::RecordKind::Submission, job.mId),
            jobs::EncodeSubmission(job));
    }
    for (int n = 0; n < 2; ++n) {
      Advance(kRecoveryTime);
      const auto state = AnyInstance().mNode.GetJobRouter().StateOf(
        job.mId, mClock.Now() + milliseconds(400));
      if (CountRuns(job.mId) != 0 || !state ||
          state.value() != jobs::JobState::Cancelled) {
        return "the job is not cancelled";
      }
      for (std::size_t it = 0; it < mInstances.size(); ++it) {
        mInstances[it].reset();
        mInstances[it] = CreateInstance(static_cast<int>(it));
      }
    }
    return CountRecords("t/") == 0 ? "" : "the job has moved";
  }

  /// Cancels a job of which no cell knows, and another one as instances of a
  /// former version do. Returns the number of cells that still have each
  /// cancellation, after a time in which the submission may come and after a
  /// time in which all are removed.
  std::pair<int, int> CountLoneCancellations()
  {
    Advance(milliseconds(8000));
    CPPUNIT_ASSERT(IsUnknownAfterCancellation("new"));
    for (int cell = 0; cell < kDomains; ++cell) {
      Store(JournalOf(cell),
            jobs::FormatRecordKey(jobs::RecordKind::Cancellation, "untimed"),
            "1");
    }
    const auto count = [&] {
      int n = 0;
      for (int cell = 0; cell < kDomains; ++cell) {
        for (const char* it : { "c/new", "c/untimed" }) {
          const auto& records = mState.mStreams[JournalOf(cell)];
          const auto newest = std::find_if(
            records.rbegin(), records.rend(), [&](const auto& aRecord) {
              return aRecord.mKey == it;
            });
          n += newest != records.rend() && !newest->mValue.empty() ? 1 : 0;
        }
      }
      return n;
    };
    Advance(std::chrono::seconds(175));
    const int kept = count();
    Advance(std::chrono::seconds(60));
    return { kept, count() };
  }

  const std::string& Problem() const { return mProblem; }
  int TransferCount() const { return mTransferCount; }
  int LoanCount() const { return mLoanCount; }
  /// Lease records that say that a worker owes nothing.
  int IdleRecordCount() const
  {
    int n = 0;
    for (int cell = 0; cell < kDomains; ++cell) {
      const auto found = mState.mStreams.find(JournalOf(cell));
      for (const auto& it : found->second) {
        if (it.mKey.substr(0, 2) == "e/" && !it.mValue.empty()) {
          const auto record = DecodeWorkerLease(it.mValue);
          n += record && record.value().mIdleIncarnationStartMs ? 1 : 0;
        }
      }
    }
    return n;
  }

  /// Some jobs prefer a rack or require a label.
  bool mHasSpecialJobs = true;
  /// Few jobs of tasks that need a quarter of a worker each.
  bool mHasLargeJobs = false;
  /// Workers of two failure domains crash, are cut off and return.
  bool mLosesWorkers = false;
  /// Workers return without a run, get starts that they do not answer, and
  /// leave again, before their cell changes its leader.
  bool mHasIdleWorkers = false;
  /// Instances cannot read single partitions or find them expired, and more
  /// jobs are cancelled.
  bool mCutsPartitions = false;

private:
  struct SubmittedJob
  {
    jobs::JobRequest mRequest;
    bool mIsAccepted = false;
    bool mIsCancelled = false;
  };

  /// The first task of the only step has index 0.
  static jobs::StepProgress TaskOf(int aIndex)
  {
    jobs::StepProgress step;
    step.mTasks.push_back({ aIndex, false, {}, 0, "" });
    return step;
  }

  /// A job of cell 0 that was accepted before the retention of final jobs.
  jobs::Submission OldJob(int aTasks, const std::string& aId = "old")
  {
    jobs::Step step;
    step.mIsService = true;
    step.mCount = aTasks;
    step.mResources.mMilliProcessors = 500;
    jobs::Submission submission;
    submission.mId = aId;
    submission.mPolicy = MakePolicy();
    submission.mRequest.mSteps.push_back(step);
    submission.mAcceptedMs = SimulatedWallClock(mClock).NowMs() - kOldJobAgeMs;
    mMayExist.insert(submission.mId);
    return submission;
  }

  /// Stores a job that cell 0 has transferred to cell 1.
  void StoreOldJob(const jobs::Submission& aJob)
  {
    const std::string key =
      jobs::FormatRecordKey(jobs::RecordKind::Submission, aJob.mId);
    // The leader of cell 0 has not transferred the job itself.
    Store("journal",
          jobs::FormatRecordKey(jobs::RecordKind::Transfer, aJob.mId),
          jobs::EncodeTransfer({ 1, true }));
    Store("journal", key, jobs::EncodeSubmission(aJob));
    Store("journal/1", key, jobs::EncodeSubmission(aJob));
  }

  bool IsUnknownAfterCancellation(const std::string& aJobId)
  {
    const auto result = AnyInstance().mNode.GetJobRouter().Cancel(
      aJobId, mClock.Now() + milliseconds(400));
    return !result && result.error().mKind == base::ErrorKind::NotFound;
  }

  int CountRuns(const std::string& aJobId) const
  {
    int n = 0;
    for (const auto& [id, worker] : mWorkers) {
      n += static_cast<int>(std::count_if(
        worker.mRuns.begin(), worker.mRuns.end(), [&](const auto& aRun) {
          return aRun.mTask.mJobId == aJobId;
        }));
    }
    return n;
  }

  /// Most workers of a cell with started jobs leave.
  void StartLoans()
  {
    mHasSpecialJobs = false;
    mHasLargeJobs = true;
    Advance(milliseconds(8000));
    for (int n = 0; n < 30; ++n) {
      Submit();
    }
    Advance(milliseconds(3000));
    RemoveWorker("d0w0");
    RemoveWorker("d0w1");
    Advance(kMaxTimeWithoutRun);
  }

  std::unique_ptr<CellInstance> CreateInstance(int aNumber)
  {
    return std::make_unique<CellInstance>(
      mState,
      mWorkers,
      mClock,
      MakeCellOptions("node" + std::to_string(aNumber) + "/" +
                        std::to_string(++mStartCount),
                      aNumber));
  }

  CellInstance& AnyInstance()
  {
    return *mInstances[mRandom->Below(mInstances.size())];
  }

  /// Submits a job of cell 0 that only cell 1 can run, and cancels it when the
  /// leader of cell 0 has decided to move it and has not stored that yet.
  /// Returns its id.
  std::string CancelJobThatIsToMove()
  {
    Advance(milliseconds(8000));
    jobs::Step step;
    step.mIsService = true;
    step.mResources.mMilliProcessors = 500;
    // The rack is that of cell 0, the label that of cell 1.
    step.mPreferredRack = "d0rack";
    step.mRequiredLabel = "odd";
    jobs::JobRequest request;
    request.mSteps.push_back(step);
    std::string id = "moved";
    mMayExist.insert(id);
    JobRouter& router = OtherThan(LeaderOf(0)).mNode.GetJobRouter();
    CPPUNIT_ASSERT(router.Submit(
      MakePolicy(), id, request, mClock.Now() + milliseconds(400)));
    Advance(kStep);
    CPPUNIT_ASSERT_EQUAL(0, CountRecords("t/"));
    CPPUNIT_ASSERT(router.Cancel(id, mClock.Now() + milliseconds(400)));
    return id;
  }

  CellInstance& LeaderOf(int aCell)
  {
    const auto found = std::find_if(
      mInstances.begin(), mInstances.end(), [&](const auto& aInstance) {
        const auto led = aInstance->mNode.LedCells();
        return std::find(led.begin(), led.end(), aCell) != led.end();
      });
    CPPUNIT_ASSERT(found != mInstances.end());
    return **found;
  }

  CellInstance& OtherThan(const CellInstance& aInstance)
  {
    return mInstances.front().get() != &aInstance ? *mInstances.front()
                                                  : *mInstances.back();
  }

  /// Epochs that the cells have had.
  std::size_t CountClaims() const
  {
    std::set<std::pair<std::string, std::int64_t>> claims;
    for (const auto& [name, records] : mState.mStreams) {
      if (name.substr(0, 7) == "leaders") {
        for (const auto& it : records) {
          const auto record = DecodeLeaderRecord(it.mValue);
          claims.emplace(name, record ? record.value().mEpoch : 0);
        }
      }
    }
    return claims.size();
  }

  /// The worker is cut off and leaves the registry. It runs what it has until
  /// its lease ends.
  void RemoveWorker(const std::string& aId)
  {
    Store("workers", aId, "");
    mWorkers[aId].mIsCutOff = true;
  }

  void DisturbWorker()
  {
    constexpr std::array<std::string_view, 3> kIds{ "d0w0", "d0w1", "d1w0" };
    const std::string id(kIds.at(mRandom->Below(kIds.size())));
    FakeWorkerState& worker = mWorkers[id];
    if (worker.mIsCutOff) {
      worker.mIsCutOff = false;
      Store("workers", id, "1");
      return;
    }
    RemoveWorker(id);
    if (mRandom->Below(2) == 0) {
      worker.mRuns.clear();
    }
  }

  /// A worker that is present leaves, with its runs or after they have ended.
  /// One that has left returns, perhaps as another incarnation, and may leave
  /// again after a start that it has not answered.
  void DisturbIdleWorker()
  {
    constexpr std::array<std::string_view, 3> kIds{ "d0w0", "d0w1", "d1w0" };
    const std::string id(kIds.at(mRandom->Below(kIds.size())));
    FakeWorkerState& worker = mWorkers[id];
    if (worker.mIsCutOff) {
      worker.mIsCutOff = false;
      if (worker.mIncarnationStartMs < 9 && mRandom->Below(2) == 0) {
        const std::int64_t incarnation = worker.mIncarnationStartMs + 1;
        worker = {};
        worker.mIncarnationStartMs = incarnation;
      }
      Store("workers", id, std::to_string(worker.mIncarnationStartMs));
      Advance(milliseconds(20 * mRandom->Below(40)));
    }
    if (mRandom->Below(2) == 0) {
      mCutOffByStart = id;
      worker.mLosesAnswers = mRandom->Below(4) == 0;
      for (int n = 0; n < 4; ++n) {
        Submit();
      }
      Advance(milliseconds(20 * mRandom->Below(30)));
      worker.mLosesAnswers = false;
      mCutOffByStart.clear();
    }
    if (mRandom->Below(3) != 0) {
      RemoveWorker(id);
      Advance(milliseconds(20 * mRandom->Below(30)));
    }
    if (mRandom->Below(2) == 0) {
      RestartLeaderOf(id[1] - '0');
    }
  }

  /// The leader of the cell, if there is one, resigns and stops, or is killed.
  void RestartLeaderOf(int aCell)
  {
    for (std::size_t n = 0; n < mInstances.size(); ++n) {
      const auto led = mInstances[n]->mNode.LedCells();
      if (std::find(led.begin(), led.end(), aCell) == led.end()) {
        continue;
      }
      if (mRandom->Below(2) == 0) {
        mInstances[n]->mNode.Resign();
        Advance(milliseconds(300));
      }
      mInstances[n]->mLog.CarryOutLostAppends();
      mInstances[n].reset();
      mInstances[n] = CreateInstance(static_cast<int>(n));
      return;
    }
  }

  void EndLeases()
  {
    const std::int64_t now = base::ToMicros(mClock.Now()) / 1000;
    for (auto& [id, worker] : mWorkers) {
      if (worker.mIsCutOff && worker.mLeaseEndMs <= now) {
        worker.mRuns.clear();
      }
    }
  }

  void Disturb()
  {
    if (mLosesWorkers && mRandom->Below(8) == 0) {
      DisturbWorker();
    }
    if (mHasIdleWorkers && mRandom->Below(4) == 0) {
      DisturbIdleWorker();
    }
    if (mLosesWorkers && mRandom->Below(6) == 0) {
      // The cell that loses workers cannot store its loans.
      for (auto& it : mInstances) {
        it->mLog.mUnwritableStreams.clear();
        if (mRandom->Below(2) == 0) {
          it->mLog.mUnwritableStreams.insert("journal");
        }
      }
    }
    CellInstance& instance = AnyInstance();
    switch (mRandom->Below(16)) {
      case 0:
        instance.mLog.mIsUnreachable = true;
        break;
      case 1:
      case 2:
        instance.mLog.mIsUnreachable = false;
        instance.mLog.CarryOutLostAppends();
        break;
      case 3:
        instance.mLog.mDropsResponses = !instance.mLog.mDropsResponses;
        break;
      case 4:
        instance.mPausedUntil =
          mClock.Now() + milliseconds(1000 * mRandom->Below(6));
        break;
      case 5: {
        // The appends of a killed process may still be carried out.
        const std::size_t n = mRandom->Below(mInstances.size());
        mInstances[n]->mLog.CarryOutLostAppends();
        mInstances[n].reset();
        mInstances[n] = CreateInstance(static_cast<int>(n));
        break;
      }
      case 6:
        Cancel();
        break;
      case 7:
        if (mCutsPartitions) {
          instance.mLog.mUnreadableStreams.clear();
          const std::string journal =
            JournalOf(static_cast<int>(mRandom->Below(kDomains)));
          if (mRandom->Below(2) == 0) {
            instance.mLog.mUnreadableStreams.insert(journal);
          } else {
            // Instances that are behind have to load it again.
            mState.mFirstOffsets[journal] =
              static_cast<std::int64_t>(mState.mStreams[journal].size());
          }
          break;
        }
        Submit();
        break;
      case 8:
      case 9:
        if (!mCutsPartitions) {
          Submit();
        } else if (mRandom->Below(2) == 0) {
          Cancel();
        } else {
          SubmitAndCancel();
        }
        break;
      default:
        Submit();
        break;
    }
  }

  std::string Submit()
  {
    std::string id = RandomJobId();
    SubmittedJob& job = mJobs[id];
    if (job.mRequest.mSteps.empty()) {
      jobs::Step step;
      step.mIsService = true;
      step.mCount = 1 + static_cast<int>(mRandom->Below(2));
      step.mResources.mMilliProcessors = 500;
      if (mHasLargeJobs) {
        step.mCount = 4;
        step.mResources.mMilliProcessors = kWorkerMilliProcessors / 4;
      }
      // Half of the jobs have their home in the first cell, which has no
      // worker for some of these.
      if (mHasSpecialJobs) {
        step.mPreferredRack = mRandom->Below(2) == 0 ? "d0rack" : "";
        step.mRequiredLabel = mRandom->Below(4) == 0 ? "odd" : "";
      }
      job.mRequest.mSteps.push_back(step);
    }
    const auto result = AnyInstance().mNode.GetJobRouter().Submit(
      MakePolicy(), id, job.mRequest, mClock.Now() + milliseconds(400));
    job.mIsAccepted = job.mIsAccepted || result;
    mMayExist.insert(id);
    return id;
  }

  /// The home cannot read its journal after the submission.
  void SubmitAndCancel()
  {
    const std::string id = Submit();
    Advance(kStep);
    for (auto& it : mInstances) {
      it->mLog.mUnreadableStreams = { "journal" };
    }
    CellInstance& instance = AnyInstance();
    instance.mLog.mUnreadableStreams.clear();
    Cancel(instance, id);
    Advance(milliseconds(100));
    for (auto& it : mInstances) {
      it->mLog.mUnreadableStreams.clear();
    }
  }

  /// The large jobs request less than half of the site.
  std::string RandomJobId()
  {
    return "job" + std::to_string(mRandom->Below(mHasLargeJobs ? 4 : 40));
  }

  void Cancel()
  {
    const std::string id = RandomJobId();
    Cancel(AnyInstance(), id);
  }

  void Cancel(CellInstance& aInstance, const std::string& aId)
  {
    const auto result = aInstance.mNode.GetJobRouter().Cancel(
      aId, mClock.Now() + milliseconds(400));
    // Both are acknowledgements, also for a job that is stored later.
    if (result || result.error().mKind == base::ErrorKind::NotFound) {
      mJobs[aId].mIsCancelled = true;
    } else if (result.error().mKind == base::ErrorKind::OutcomeUnknown) {
      mMayBeCancelled.insert(aId);
    }
  }

  void Advance(base::Duration aTime)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end && mProblem.empty()) {
      mClock.Advance(kStep);
      for (auto& it : mInstances) {
        if (mClock.Now() >= it->mPausedUntil) {
          const std::size_t runs = CountRunsOfCutOffByStart();
          it->mNode.Tick();
          if (CountRunsOfCutOffByStart() > runs) {
            mWorkers[mCutOffByStart].mIsCutOff = true;
          }
          it->mLog.Deliver();
          it->mClients.Deliver();
        }
      }
      EndLeases();
      CheckRuns();
    }
  }

  std::size_t CountRunsOfCutOffByStart()
  {
    return mCutOffByStart.empty() ? 0 : mWorkers[mCutOffByStart].mRuns.size();
  }

  /// No task runs twice, whichever cells its workers belong to.
  void CheckRuns()
  {
    std::set<std::string> running;
    for (const auto& [id, worker] : mWorkers) {
      for (const auto& it : worker.mRuns) {
        const std::string task = dispatch::ToText(it.mTask);
        if (!running.insert(task).second) {
          mProblem = task + " runs twice";
        }
        if (mMayExist.count(it.mTask.mJobId) == 0) {
          mProblem = task + " was not submitted";
        }
      }
    }
    CheckCancellations();
  }

  /// The records of a job that the journal of one cell has.
  struct StoredParts
  {
    bool mHasSubmission = false;
    bool mHasTransfer = false;
    bool mIsBorrowed = false;
    bool mIsCancelled = false;
  };

  /// Each journal with an acknowledged cancellation of a job that its cell may
  /// run has the cancellation.
  void CheckCancellations()
  {
    for (const auto& [name, records] : mState.mStreams) {
      if (name.substr(0, 7) != "journal") {
        continue;
      }
      auto& stored = mStoredParts[name];
      for (std::size_t& n = mCheckedRecords[name]; n < records.size(); ++n) {
        const auto key = jobs::ParseRecordKey(records[n].mKey);
        if (!key || records[n].mValue.empty()) {
          continue;
        }
        StoredParts& parts = stored[key->mId];
        switch (key->mKind) {
          case jobs::RecordKind::Submission:
            parts.mHasSubmission = true;
            break;
          case jobs::RecordKind::Transfer:
            parts.mHasTransfer = true;
            break;
          case jobs::RecordKind::Borrowed:
            parts.mIsBorrowed = true;
            break;
          case jobs::RecordKind::Cancellation:
            parts.mIsCancelled = true;
            break;
          default:
            break;
        }
      }
      for (const auto& [id, job] : mJobs) {
        const auto found = stored.find(id);
        if (!job.mIsCancelled || found == stored.end()) {
          continue;
        }
        const StoredParts& parts = found->second;
        const bool mayRun =
          parts.mIsBorrowed || (parts.mHasSubmission && !parts.mHasTransfer);
        if (mayRun && !parts.mIsCancelled) {
          mProblem = id;
          mProblem += " was cancelled, but not in " + name;
        }
      }
    }
  }

  void CheckOutcome()
  {
    mTransferCount = CountRecords("t/");
    mLoanCount = CountRecords("b/");
    std::map<std::string, int> runs;
    for (const auto& [id, worker] : mWorkers) {
      for (const auto& it : worker.mRuns) {
        ++runs[it.mTask.mJobId];
      }
    }
    for (const auto& [id, job] : mJobs) {
      for (const auto& instance : mInstances) {
        const auto state = instance->mNode.GetJobRouter().StateOf(
          id, mClock.Now() + milliseconds(400));
        const bool isKnown = static_cast<bool>(state);
        if (job.mIsAccepted && !isKnown) {
          mProblem = id + " was accepted and is not known";
          return;
        }
        if (job.mIsCancelled && isKnown &&
            state.value() != jobs::JobState::Cancelled) {
          mProblem = id + " was cancelled and is not shown so";
          return;
        }
      }
      const int count =
        job.mRequest.mSteps.empty() ? 0 : job.mRequest.mSteps[0].mCount;
      const bool mayBeCancelled =
        job.mIsCancelled || mMayBeCancelled.count(id) != 0;
      if (job.mIsAccepted && !mayBeCancelled && runs[id] != count) {
        mProblem =
          id + " was accepted and has " + std::to_string(runs[id]) + " runs";
        return;
      }
      if (job.mIsCancelled && runs[id] != 0) {
        mProblem = id + " was cancelled and runs";
        return;
      }
    }
  }

  int CountRecords(const std::string& aPrefix) const
  {
    int n = 0;
    for (const auto& it : mState.mStreams) {
      n += static_cast<int>(std::count_if(
        it.second.begin(), it.second.end(), [&](const auto& aRecord) {
          return aRecord.mKey.substr(0, aPrefix.size()) == aPrefix;
        }));
    }
    return n;
  }

  void Store(const std::string& aTopic, std::string aKey, std::string aValue)
  {
    auto& records = mState.mStreams[aTopic];
    const auto offset = static_cast<std::int64_t>(records.size());
    records.push_back({ std::move(aKey), std::move(aValue), offset });
  }

  std::unique_ptr<base::Random> mRandom;
  base::ManualClock mClock;
  FakeLogState mState;
  FakeWorkers mWorkers;
  std::vector<std::unique_ptr<CellInstance>> mInstances;
  int mStartCount = 0;
  std::map<std::string, SubmittedJob> mJobs;
  /// The next start on this worker cuts it off; empty for none.
  std::string mCutOffByStart;
  std::set<std::string> mMayExist;
  std::set<std::string> mMayBeCancelled;
  std::string mProblem;
  int mTransferCount = 0;
  int mLoanCount = 0;
  /// By stream and job.
  std::map<std::string, std::map<std::string, StoredParts>> mStoredParts;
  std::map<std::string, std::size_t> mCheckedRecords;
};

} // namespace

/// Many instances and several cells over one log, with lost, late and repeated
/// appends, pauses, kills, repeated submissions and cancellations.
class CellRandomTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CellRandomTest);
  CPPUNIT_TEST(KeepsEachJobInOneCell);
  CPPUNIT_TEST(RunsTasksOfACellThatHasBecomeTooSmall);
  CPPUNIT_TEST(RunsLentTasksOnceWhileWorkersComeAndGo);
  CPPUNIT_TEST(RunsTasksOnceWhileIdleWorkersLeave);
  CPPUNIT_TEST(PassesOnTheCancellationOfAnOldJob);
  CPPUNIT_TEST(PassesOnTheCancellationOfAnOldTransferredJob);
  CPPUNIT_TEST(RunsNoLateCopyOfACancelledLoan);
  CPPUNIT_TEST(LendsNoTasksToTheHomeOfAnOldJob);
  CPPUNIT_TEST(CopiesNoCancelledJobThatItsHomeTakesForOpen);
  CPPUNIT_TEST(StoresACancellationWhereverTheJobMayRun);
  CPPUNIT_TEST(StartsNoCancelledJobWhoseCopyIsReadInParts);
  CPPUNIT_TEST(RunsNoLateCopyOfACancelledTransfer);
  CPPUNIT_TEST(StartsNoJobThatIsStoredAfterItsCancellation);
  CPPUNIT_TEST(RemovesCancellationsThatNoSubmissionFollows);
  CPPUNIT_TEST(LendsBesideUnplaceableJobs);
  CPPUNIT_TEST(KeepsTheBacklogOfALostLeader);
  CPPUNIT_TEST(LoadsTheRegistryInFewInstances);
  CPPUNIT_TEST(LoadsTheJournalOfTheOwnFailureDomainFirst);
  CPPUNIT_TEST(TakesOverAWorkerThatMovesToAnotherCell);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against tasks that run in two cells, accepted jobs that no cell
  // runs, cancellations that do not reach the cell of a transferred job, and
  // repeated submissions that become a second job.
  void KeepsEachJobInOneCell()
  {
    const char* text = std::getenv("SKYLARKHILL_CELL_SEEDS");
    const int seeds = text != nullptr ? std::atoi(text) : kSeeds;
    int transfers = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      CellSimulation simulation(static_cast<std::uint64_t>(seed));
      const std::string problem = simulation.Run();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "seed " + std::to_string(seed), std::string(), problem);
      transfers += simulation.TransferCount();
    }
    CPPUNIT_ASSERT(transfers > 0);
  }

  // The workers of a cell leave after its lasting jobs have started. Guards
  // against tasks that do not run although other cells have room (LOST), and
  // against tasks in other cells that outlast the cancellation of their job.
  void RunsTasksOfACellThatHasBecomeTooSmall()
  {
    CellSimulation simulation(1);
    simulation.ShrinkCell();
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Problem());
    CPPUNIT_ASSERT(simulation.LoanCount() > 0);
  }

  // Workers of two cells crash, are cut off and return, beside the failures of
  // the test above, so that borrowed tasks are lent on. Guards against a task
  // that runs in the cell of its job and in the one that has borrowed it.
  void RunsLentTasksOnceWhileWorkersComeAndGo()
  {
    const char* text = std::getenv("SKYLARKHILL_CELL_SEEDS");
    const int seeds = text != nullptr ? std::atoi(text) : kLoanSeeds;
    int loans = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      CellSimulation simulation(static_cast<std::uint64_t>(seed));
      simulation.mHasSpecialJobs = false;
      simulation.mHasLargeJobs = true;
      simulation.mLosesWorkers = true;
      const std::string problem = simulation.Run();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "seed " + std::to_string(seed), std::string(), problem);
      loans += simulation.LoanCount();
    }
    CPPUNIT_ASSERT(loans > 0);
  }

  // Workers without runs get starts that they do not answer, leave, return and
  // restart, while leaders change. Guards against a leader that does not wait
  // for a worker that may run a task (TWICE).
  void RunsTasksOnceWhileIdleWorkersLeave()
  {
    const char* text = std::getenv("SKYLARKHILL_CELL_SEEDS");
    const int seeds = text != nullptr ? std::atoi(text) : kLoanSeeds;
    int idle = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      CellSimulation simulation(static_cast<std::uint64_t>(seed));
      simulation.mHasIdleWorkers = true;
      const std::string problem = simulation.Run();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "seed " + std::to_string(seed), std::string(), problem);
      idle += simulation.IdleRecordCount();
    }
    CPPUNIT_ASSERT(idle > 0);
  }

  // Guards against a lender that removes a final job from its journal before
  // the borrowers have its cancellation, so that its tasks run on (UNASKED).
  void PassesOnTheCancellationOfAnOldJob()
  {
    CellSimulation simulation(1);
    simulation.CancelOldJobs();
    CPPUNIT_ASSERT(simulation.LoanCount() > 0);
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Problem());
  }

  // The home of the job has borrowed a task of it and gets the cancellation.
  // Guards against a home that removes the job before the cell of the job has
  // the cancellation, so that its tasks run on (UNASKED).
  void PassesOnTheCancellationOfAnOldTransferredJob()
  {
    CellSimulation simulation(1);
    CPPUNIT_ASSERT_EQUAL(0, simulation.CancelOldTransferredJob());
  }

  // An append without an answer is carried out after the cancellation. Guards
  // against a borrower that has removed the cancellation by then (UNASKED).
  void RunsNoLateCopyOfACancelledLoan()
  {
    CellSimulation simulation(1);
    CPPUNIT_ASSERT_EQUAL(0, simulation.RepeatCancelledLoan());
  }

  // The home removes the records of a job that was transferred long ago. Guards
  // against a loan that is removed with them (LOST).
  void LendsNoTasksToTheHomeOfAnOldJob()
  {
    CellSimulation simulation(1);
    const std::set<int> borrowers = simulation.LendOldJob();
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Problem());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, borrowers.count(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, borrowers.count(2));
  }

  // The instance that stores the cancellation cannot know of the move. Guards
  // against a home that copies the job before it has read the cancellation, so
  // that another cell starts it (UNASKED).
  void CopiesNoCancelledJobThatItsHomeTakesForOpen()
  {
    CellSimulation simulation(1);
    const std::vector<int> runs = simulation.CancelBeforeMove();
    CPPUNIT_ASSERT(simulation.TransferCount() > 0);
    CPPUNIT_ASSERT_EQUAL(0, runs[0]);
    CPPUNIT_ASSERT_EQUAL(0, runs[1]);
  }

  // Jobs move and are lent while leaders, single partitions and workers fail.
  // Guards against a cell that may run a job and whose journal lacks its
  // acknowledged cancellation (UNASKED).
  void StoresACancellationWhereverTheJobMayRun()
  {
    const char* text = std::getenv("SKYLARKHILL_CELL_SEEDS");
    const int seeds = text != nullptr ? std::atoi(text) : kLoanSeeds;
    int loans = 0;
    int transfers = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      CellSimulation simulation(static_cast<std::uint64_t>(seed));
      simulation.mHasLargeJobs = seed % 2 == 0;
      simulation.mLosesWorkers = true;
      simulation.mCutsPartitions = true;
      const std::string problem = simulation.Run();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "seed " + std::to_string(seed), std::string(), problem);
      loans += simulation.LoanCount();
      transfers += simulation.TransferCount();
    }
    CPPUNIT_ASSERT(loans > 0);
    CPPUNIT_ASSERT(transfers > 0);
  }

  // The copy of a job and its cancellation are one append, and two reads return
  // them. Guards against a target that starts the job between these, longer
  // after the acknowledgement than its own journal may be old (UNASKED).
  void StartsNoCancelledJobWhoseCopyIsReadInParts()
  {
    for (int steps = 0; steps < 12; ++steps) {
      CellSimulation simulation(1);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("steps " + std::to_string(steps),
                                   0,
                                   simulation.DivideCopyOfCancelledJob(steps));
    }
  }

  // An append without an answer is carried out after the cancellation. Guards
  // against a target that has removed the cancellation by then (UNASKED).
  void RunsNoLateCopyOfACancelledTransfer()
  {
    CellSimulation simulation(1);
    CPPUNIT_ASSERT_EQUAL(0, simulation.RepeatCancelledTransfer());
  }

  // The submission was under way when the cancellation was answered. Guards
  // against a leader, or its successor, that starts or moves the job (UNASKED).
  void StartsNoJobThatIsStoredAfterItsCancellation()
  {
    CellSimulation simulation(1);
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.SubmitAfterCancellation());
  }

  // Guards against journals that grow with each cancellation of an unknown job,
  // and against the removal of one while its submission may come (UNASKED).
  void RemovesCancellationsThatNoSubmissionFollows()
  {
    CellSimulation simulation(1);
    const auto [kept, left] = simulation.CountLoneCancellations();
    CPPUNIT_ASSERT_EQUAL(2 * kDomains, kept);
    CPPUNIT_ASSERT_EQUAL(0, left);
  }

  // An instance loads one journal at a time, which takes seconds on a slow
  // link. Guards against a failure domain whose instances restart in turn and
  // cannot lead its cell until they have loaded those of all others.
  void LoadsTheJournalOfTheOwnFailureDomainFirst()
  {
    base::ManualClock clock;
    FakeLogState state;
    FakeWorkers workers;
    for (int n = 0; n < kDomains * kWorkersPerDomain; ++n) {
      state.mStreams["workers"].push_back(
        { "d" + std::to_string(n % kDomains) + "w" + std::to_string(n),
          "1",
          n });
    }
    for (int domain = 0; domain < kDomains; ++domain) {
      CellInstance instance(
        state,
        workers,
        clock,
        MakeCellOptions("node" + std::to_string(domain), domain));
      for (int n = 0; n < 400; ++n) {
        clock.Advance(kStep);
        instance.mNode.Tick();
        instance.mLog.Deliver();
      }
      const auto& reads = instance.mLog.mNewestReads;
      const auto first =
        std::find_if(reads.begin(), reads.end(), [](const std::string& aName) {
          return aName.rfind("journal", 0) == 0;
        });
      CPPUNIT_ASSERT(first != reads.end());
      CPPUNIT_ASSERT_EQUAL(JournalOf(domain), *first);
    }
  }

  // Guards against jobs that no worker can have and that end all loans (LOST).
  void LendsBesideUnplaceableJobs()
  {
    CellSimulation simulation(1);
    simulation.ShrinkCellBesideUnplaceableJobs();
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Problem());
    CPPUNIT_ASSERT(simulation.LoanCount() > 0);
  }

  // Guards against a new leader that moves its backlog to other cells because
  // no worker has answered it yet.
  void KeepsTheBacklogOfALostLeader()
  {
    CellSimulation simulation(1);
    simulation.mHasSpecialJobs = false;
    CPPUNIT_ASSERT_EQUAL(0, simulation.TakeOverWithBacklog());
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Problem());
  }

  // The worker has seen the fencing token of its former cell, which may be
  // higher. Guards against a leader that the worker fences again and again.
  void TakesOverAWorkerThatMovesToAnotherCell()
  {
    CellSimulation simulation(1);
    CPPUNIT_ASSERT(simulation.MoveWorker() <= 1);
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Problem());
  }

  // All instances of a large site start at the same time. Guards against all of
  // them loading a registry of thousands of workers, which the log cannot
  // deliver in time.
  void LoadsTheRegistryInFewInstances()
  {
    FakeLogState state;
    FakeWorkers workers;
    base::ManualClock clock;
    std::vector<std::unique_ptr<CellInstance>> instances;
    constexpr int kSiteInstances = 100;
    instances.reserve(kSiteInstances);
    for (int n = 0; n < kDomains * kWorkersPerDomain; ++n) {
      state.mStreams["workers"].push_back(
        { "d" + std::to_string(n % kDomains) + "w" + std::to_string(n),
          "1",
          n });
    }
    for (int n = 0; n < kSiteInstances; ++n) {
      instances.push_back(std::make_unique<CellInstance>(
        state, workers, clock, MakeCellOptions("node" + std::to_string(n), n)));
    }
    const base::TimePoint end = clock.Now() + milliseconds(8000);
    while (clock.Now() < end) {
      clock.Advance(kStep);
      for (const auto& it : instances) {
        it->mNode.Tick();
        it->mLog.Deliver();
        it->mClients.Deliver();
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, state.mStreams["cells"].size());
    int loaded = 0;
    for (const auto& it : instances) {
      loaded += it->mLog.mNewestReadCounts["workers"] > 0 ? 1 : 0;
      const auto job = it->mNode.GetJobRouter().StateOf(
        "job", clock.Now() + milliseconds(400));
      CPPUNIT_ASSERT(job.error().mKind == base::ErrorKind::NotFound);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(loaded) + " instances",
                           loaded <= kSiteInstances / 4);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellRandomTest);

} // namespace skylarkhill::node
