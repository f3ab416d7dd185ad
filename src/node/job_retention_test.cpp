#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cell_instance_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kStep{ 20 };
/// Steps of the long waits in which nothing is disturbed.
constexpr milliseconds kLongStep{ 100 };
constexpr std::int64_t kOldJobAgeMs = 500'000;
/// How long callers may ask for a job after its end, by default.
constexpr seconds kRetention{ 120 };
/// Final jobs are removed at the latest this long after that time: differences
/// between clocks, an interval of the cleanup, and one of the journal reads.
constexpr seconds kMaxExcess{ 40 };

} // namespace

/// How long callers may ask for a job after its end.
class JobRetentionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JobRetentionTest);
  CPPUNIT_TEST(KeepsAnOldJobAfterItsEnd);
  CPPUNIT_TEST(KeepsAnOldFailedJobAfterItsEnd);
  CPPUNIT_TEST(KeepsAnOldCancelledJobAfterItsEnd);
  CPPUNIT_TEST(CountsFromTheEndAcrossLeaders);
  CPPUNIT_TEST(KeepsAnEndWithoutATime);
  CPPUNIT_TEST(RemovesAJobThatEndedInTheFuture);
  CPPUNIT_TEST(KeepsAnOldMovedJobAfterItsEnd);
  CPPUNIT_TEST(KeepsAJobForTheTimeOfTheSettings);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against 410 for a job that has waited or run for long and has just
  // ended.
  void KeepsAnOldJobAfterItsEnd()
  {
    StartSite(1);
    StoreOldJob("journal");
    Advance(seconds(2));
    EndRuns(dispatch::RunOutcome::Done);
    AssertKept(jobs::JobState::Completed);
  }

  void KeepsAnOldFailedJobAfterItsEnd()
  {
    StartSite(1);
    StoreOldJob("journal");
    for (int n = 0; n < 5; ++n) {
      Advance(seconds(4));
      EndRuns(dispatch::RunOutcome::Failed);
    }
    AssertKept(jobs::JobState::Failed);
  }

  void KeepsAnOldCancelledJobAfterItsEnd()
  {
    StartSite(1);
    StoreOldJob("journal");
    Advance(seconds(2));
    CPPUNIT_ASSERT(mInstances[0]->mNode.GetJobRouter().Cancel("a", Deadline()));
    AssertKept(jobs::JobState::Cancelled);
  }

  // Guards against leaders that each count the time anew, so that nothing is
  // removed.
  void CountsFromTheEndAcrossLeaders()
  {
    StartSite(1);
    StoreOldJob("journal");
    Advance(seconds(2));
    EndRuns(dispatch::RunOutcome::Done);
    Advance(seconds(2));
    for (int n = 0; n < 2; ++n) {
      Wait(seconds(50));
      RestartInstances();
    }
    Wait(kRetention - seconds(2 * 50 + 2 * 8 + 2));
    AssertState(jobs::JobState::Completed);
    Wait(kMaxExcess);
    AssertRemoved("journal");
  }

  // Guards against 410 for a job whose end was stored by another version, and
  // against such a job that is never removed.
  void KeepsAnEndWithoutATime()
  {
    StoreOldJob("journal");
    jobs::JobProgress progress;
    progress.mState = jobs::JobState::Completed;
    Store("journal",
          jobs::FormatRecordKey(jobs::RecordKind::Progress, "a"),
          jobs::EncodeProgress(progress));
    StartSite(1);
    AssertKept(jobs::JobState::Completed);
  }

  // Guards against a job that is never removed because the clock of the leader
  // that stored its end was fast.
  void RemovesAJobThatEndedInTheFuture()
  {
    StoreOldJob("journal");
    jobs::JobProgress progress;
    progress.mState = jobs::JobState::Completed;
    progress.mEndedMs = SimulatedWallClock(mClock).NowMs() + 3'600'000;
    Store("journal",
          jobs::FormatRecordKey(jobs::RecordKind::Progress, "a"),
          jobs::EncodeProgress(progress));
    StartSite(1);
    AssertKept(jobs::JobState::Completed);
  }

  // Guards against 410 for a job that has left its home, whose records there
  // were removed while the job ran.
  void KeepsAnOldMovedJobAfterItsEnd()
  {
    StartSite(kDomains);
    Store("journal",
          jobs::FormatRecordKey(jobs::RecordKind::Transfer, "a"),
          jobs::EncodeTransfer({ 1, true }));
    StoreOldJob("journal");
    StoreOldJob("journal/1");
    Wait(seconds(30));
    AssertRemoved("journal", false);
    EndRuns(dispatch::RunOutcome::Done);
    Advance(seconds(2));
    AssertState(jobs::JobState::Completed);
    Wait(kRetention);
    AssertState(jobs::JobState::Completed);
  }

  // Guards against 410 on a site that keeps the states for longer.
  void KeepsAJobForTheTimeOfTheSettings()
  {
    mRetention = seconds(300);
    StartSite(1);
    StoreOldJob("journal");
    Advance(seconds(2));
    EndRuns(dispatch::RunOutcome::Done);
    AssertKept(jobs::JobState::Completed);
  }

private:
  /// Starts instances and workers; each cell has a leader afterwards.
  void StartSite(int aCells)
  {
    mCells = aCells;
    for (int domain = 0; domain < kDomains; ++domain) {
      for (int n = 0; n < kWorkersPerDomain; ++n) {
        Store("workers",
              "d" + std::to_string(domain) + "w" + std::to_string(n),
              "1");
      }
    }
    RestartInstances();
  }

  /// All instances are killed, and others start.
  void RestartInstances()
  {
    mInstances.clear();
    for (int n = 0; n < kDomains; ++n) {
      NodeOptions options =
        MakeCellOptions("node" + std::to_string(++mStartCount), n);
      options.mCells.mMaxCells = mCells;
      options.mFinalJobRetention = mRetention;
      mInstances.push_back(
        std::make_unique<CellInstance>(mState, mWorkers, mClock, options));
    }
    Advance(seconds(8));
    for (const auto& it : mWorkers) {
      CPPUNIT_ASSERT(it.second.mFencingToken > 0);
    }
  }

  /// Stores a job with one task that was accepted long ago.
  void StoreOldJob(const std::string& aJournal)
  {
    jobs::Step step;
    step.mResources.mMilliProcessors = 500;
    // That of cell 0.
    step.mPreferredRack = "d0rack";
    jobs::Submission submission;
    submission.mId = "a";
    submission.mPolicy = MakePolicy();
    submission.mRequest.mSteps.push_back(step);
    submission.mAcceptedMs = SimulatedWallClock(mClock).NowMs() - kOldJobAgeMs;
    Store(aJournal,
          jobs::FormatRecordKey(jobs::RecordKind::Submission, "a"),
          jobs::EncodeSubmission(submission));
  }

  void EndRuns(dispatch::RunOutcome aOutcome)
  {
    for (auto& [id, worker] : mWorkers) {
      for (const auto& it : worker.mRuns) {
        worker.mEndedRuns.push_back(
          { ++worker.mLastSequence, it.mTask, it.mRunNumber, aOutcome, "" });
      }
      worker.mRuns.clear();
    }
  }

  /// Every instance shows the state for the time that callers may ask for it,
  /// and the job is removed soon afterwards.
  void AssertKept(jobs::JobState aState)
  {
    Advance(seconds(2));
    for (base::Duration time{}; time < mRetention - seconds(2);
         time += seconds(1)) {
      AssertState(aState);
      Wait(seconds(1));
    }
    AssertState(aState);
    Wait(kMaxExcess);
    AssertRemoved("journal");
  }

  void AssertState(jobs::JobState aState)
  {
    for (const auto& it : mInstances) {
      const auto state = it->mNode.GetJobRouter().StateOf("a", Deadline());
      CPPUNIT_ASSERT_MESSAGE("the job is not known", state);
      CPPUNIT_ASSERT_EQUAL(std::string(jobs::NameOf(aState)),
                           std::string(jobs::NameOf(state.value())));
    }
  }

  void AssertRemoved(const std::string& aJournal, bool aIsGone = true)
  {
    const auto& records = mState.mStreams[aJournal];
    CPPUNIT_ASSERT_MESSAGE(
      "the job is not removed",
      std::any_of(records.begin(), records.end(), [](const auto& aRecord) {
        return aRecord.mKey == "s/a" && aRecord.mValue.empty();
      }));
    for (const auto& it : mInstances) {
      CPPUNIT_ASSERT_EQUAL(
        !aIsGone,
        static_cast<bool>(it->mNode.GetJobRouter().StateOf("a", Deadline())));
    }
  }

  base::TimePoint Deadline() const { return mClock.Now() + milliseconds(400); }

  void Advance(base::Duration aTime) { Advance(aTime, kStep); }

  void Wait(base::Duration aTime) { Advance(aTime, kLongStep); }

  void Advance(base::Duration aTime, base::Duration aStep)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(aStep);
      for (auto& it : mInstances) {
        it->mNode.Tick();
        it->mLog.Deliver();
        it->mClients.Deliver();
      }
    }
  }

  void Store(const std::string& aTopic, std::string aKey, std::string aValue)
  {
    auto& records = mState.mStreams[aTopic];
    const auto offset = static_cast<std::int64_t>(records.size());
    records.push_back({ std::move(aKey), std::move(aValue), offset });
  }

  int mCells = 1;
  base::Duration mRetention = kRetention;
  base::ManualClock mClock;
  FakeLogState mState;
  FakeWorkers mWorkers;
  std::vector<std::unique_ptr<CellInstance>> mInstances;
  int mStartCount = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRetentionTest);

} // namespace skylarkhill::node
