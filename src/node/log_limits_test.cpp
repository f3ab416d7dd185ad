#include "skylarkhill/node/record_batch.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

#include "node_site_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;

namespace {

jobs::Step
MakeStep(int aCount, const std::string& aImage)
{
  jobs::Step step;
  step.mCount = aCount;
  step.mResources.mMilliProcessors = 100;
  step.mImage = aImage;
  return step;
}

std::string
ImageName(const std::string& aKind, int aNumber)
{
  return "registry.example/ropewalk/" + aKind + "-" + std::to_string(aNumber) +
         ":2026.12.05";
}

} // namespace

/// Guards against a leader that is stopped by a record or an append that the
/// log refuses for its size.
class LogLimitsTest : public NodeSiteFixture
{
  CPPUNIT_TEST_SUITE(LogLimitsTest);
  CPPUNIT_TEST(StoresProgressBesideManyImages);
  CPPUNIT_TEST(DividesALargeBatch);
  CPPUNIT_TEST(RunsJobsBesideAWorkerThatCannotBeRecorded);
  CPPUNIT_TEST(DropsOnlyTheRecordThatTheLogRefuses);
  CPPUNIT_TEST(RejectsAJobThatCannotBeStored);
  CPPUNIT_TEST(StoresTheProgressOfAJobWithManyTasks);
  CPPUNIT_TEST(RunsEveryTaskOfManyOccurrencesOnce);
  CPPUNIT_TEST(RestoresAJobWithManyTasksFromOneRecord);
  CPPUNIT_TEST_SUITE_END();

public:
  // The estimates of all pairs exceed the limit of a record. Otherwise no job
  // makes progress from then on.
  void StoresProgressBesideManyImages()
  {
    constexpr int kImages = 64;
    Instance& leader = StartLeader(1);
    for (int n = 0; n < kImages; ++n) {
      jobs::Step service = MakeStep(1, ImageName("service", n));
      service.mIsService = true;
      service.mTailTargetMs = 50;
      Submit("service-" + std::to_string(n), { service });
      jobs::Step backfill = MakeStep(1, ImageName("backfill", n));
      backfill.mIsBackfill = true;
      Submit("backfill-" + std::to_string(n), { backfill });
    }
    Advance(milliseconds(4000));
    SubmitService("first");
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT(SizeOfNewest("m/images") >
                   mLogLimits.mMaxRecordBytes * 3 / 4);
    SubmitService("second");
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 * kImages + 2 },
                         StartedTasks(leader).size());
  }

  // Otherwise no job makes progress after many have changed at the same time.
  void DividesALargeBatch()
  {
    constexpr int kJobs = 100;
    mLogLimits.mMaxAppendBytes = 400;
    mState.mLimits = mLogLimits;
    Instance& leader = StartLeader(1);
    for (int n = 0; n < kJobs; ++n) {
      Submit("job-" + std::to_string(n), { MakeStep(1, "") });
    }
    Advance(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kJobs }, StartedTasks(leader).size());
    EndRuns();
    Advance(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mWorkers["w1"].mEndedRuns.size());
  }

  // The entry of the worker fits into its own stream, but not into the journal,
  // where its key is longer. Otherwise no job makes progress.
  void RunsJobsBesideAWorkerThatCannotBeRecorded()
  {
    Store("workers", "w2", std::string(mLogLimits.mMaxRecordBytes - 3, 'x'));
    Instance& leader = StartLeader(1);
    SubmitService("a");
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, leader.mClient.mStarts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("w1"),
                         leader.mClient.mStarts.front().mWorkerId);
  }

  // The limits of the log are lower than the instance knows. Otherwise one
  // record stops the leader.
  void DropsOnlyTheRecordThatTheLogRefuses()
  {
    constexpr std::size_t kMaxRecordBytes = 1000;
    mState.mLimits.mMaxRecordBytes = kMaxRecordBytes;
    Store("workers", "w2", std::string(kMaxRecordBytes, 'x'));
    Instance& leader = StartLeader(1);
    SubmitService("a");
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, leader.mClient.mStarts.size());
    CPPUNIT_ASSERT(SizeOfNewest("w/w1") > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, SizeOfNewest("w/w2"));
  }

  // Otherwise the caller is told to come back, and the instance takes the log
  // for unreachable and turns other callers away.
  void RejectsAJobThatCannotBeStored()
  {
    JobRouter& router = StartLeader(1).mNode.GetJobRouter();
    const base::TimePoint deadline = mClock.Now() + milliseconds(1000);
    jobs::JobRequest request;
    request.mSteps = { MakeStep(1,
                                std::string(mLogLimits.mMaxRecordBytes, 'x')) };
    const auto rejected = router.Submit({}, "large", request, deadline);
    CPPUNIT_ASSERT(!rejected);
    CPPUNIT_ASSERT(rejected.error().mKind == base::ErrorKind::InvalidArgument);
    request.mSteps = { MakeStep(1, "") };
    CPPUNIT_ASSERT(router.Submit({}, "small", request, deadline));
  }

  // The progress of the job does not fit into one record. Otherwise the ends of
  // its tasks are never acknowledged, or its tasks run again under the next
  // leader.
  void StoresTheProgressOfAJobWithManyTasks()
  {
    constexpr int kTasks = 1500;
    constexpr std::size_t kTasksOfBothSteps = 3000;
    mLogLimits.mMaxRecordBytes = 4000;
    mState.mLimits = mLogLimits;
    Instance* leader = &StartLeader(1);
    jobs::Step second = MakeStep(kTasks, "");
    second.mDependsOn = { 0 };
    Submit("a", { MakeStep(kTasks, ""), second });
    std::set<std::string> started;
    std::size_t starts = 0;
    std::size_t nextRestart = kTasks / 2;
    for (int n = 0; started.size() < kTasksOfBothSteps; ++n) {
      CPPUNIT_ASSERT_MESSAGE("the job makes no progress", n < 400);
      Advance(milliseconds(200));
      for (; starts < leader->mClient.mStarts.size(); ++starts) {
        const std::string task = ToText(leader->mClient.mStarts[starts].mTask);
        CPPUNIT_ASSERT_MESSAGE(task, started.insert(task).second);
      }
      EndRuns();
      if (started.size() >= nextRestart) {
        nextRestart += kTasks;
        // Ends that are not durable are reported to the next leader.
        mInstances.clear();
        AddInstances(1);
        leader = mInstances.front().get();
        starts = 0;
      }
    }
    Advance(milliseconds(15000));
    CPPUNIT_ASSERT(StateOf("a") == jobs::JobState::Completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mWorkers["w1"].mEndedRuns.size());
    // The ranges are deleted with the end of the job.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, SizeOfNewest("r/a/0.0.0"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, SizeOfNewest("r/a/0.1.0"));
  }

  // Occurrences begin while the leader changes. Otherwise tasks of an
  // occurrence that a leader has begun, or released, run again or never.
  void RunsEveryTaskOfManyOccurrencesOnce()
  {
    constexpr int kOccurrences = 200;
    constexpr std::size_t kTasks = std::size_t{ kOccurrences } * 16;
    mLogLimits.mMaxRecordBytes = 4000;
    mState.mLimits = mLogLimits;
    Instance* leader = &StartLeader(1);
    jobs::Step second = MakeStep(8, "");
    second.mDependsOn = { 0 };
    jobs::Submission submission = MakeSubmission("a");
    submission.mRequest.mSteps = { MakeStep(8, ""), second };
    submission.mRequest.mOccurrences = kOccurrences;
    submission.mRequest.mIntervalMs = 1;
    Store("journal",
          jobs::FormatRecordKey(jobs::RecordKind::Submission, "a"),
          jobs::EncodeSubmission(submission));
    std::set<std::string> started;
    std::size_t starts = 0;
    std::size_t nextRestart = kTasks / 3;
    for (int n = 0; started.size() < kTasks; ++n) {
      CPPUNIT_ASSERT_MESSAGE("the job makes no progress", n < 800);
      Advance(milliseconds(200));
      for (; starts < leader->mClient.mStarts.size(); ++starts) {
        const std::string task = ToText(leader->mClient.mStarts[starts].mTask);
        CPPUNIT_ASSERT_MESSAGE(task, started.insert(task).second);
      }
      if (started.size() >= nextRestart) {
        nextRestart += kTasks / 3;
        // The next leader finds active runs, and ends that are not durable.
        mInstances.clear();
        AddInstances(1);
        leader = mInstances.front().get();
        starts = 0;
      }
      EndRuns();
    }
    Advance(milliseconds(15000));
    CPPUNIT_ASSERT(StateOf("a") == jobs::JobState::Completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mWorkers["w1"].mEndedRuns.size());
  }

  // The record was written by a version without ranges, or with another limit.
  // Otherwise its done tasks are in no record of the next leader.
  void RestoresAJobWithManyTasksFromOneRecord()
  {
    constexpr int kTasks = 20;
    jobs::JobProgress progress;
    progress.mState = jobs::JobState::Running;
    progress.mMayHaveStarted = true;
    progress.mSteps.resize(1);
    for (int n = 0; n < kTasks - 1; ++n) {
      jobs::TaskProgress task;
      task.mIndex = n;
      task.mIsDone = true;
      progress.mSteps.front().mTasks.push_back(task);
    }
    mLogLimits.mMaxRecordBytes = 4000;
    Submit("a", { MakeStep(kTasks, "") });
    Store("journal",
          jobs::FormatRecordKey(jobs::RecordKind::Progress, "a"),
          jobs::EncodeProgress(progress));
    Store("workers", "w1", "1");
    for (int n = 0; n < 2; ++n) {
      mInstances.clear();
      AddInstances(1);
      Advance(milliseconds(20000));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           StartedTasks(*mInstances.front()).size());
      CPPUNIT_ASSERT_EQUAL(kTasks - 1,
                           mWorkers["w1"].mRuns.front().mTask.mIndex);
      // A failed run changes the record of the job.
      EndRuns(dispatch::RunOutcome::Failed);
      Advance(milliseconds(1000));
      CPPUNIT_ASSERT(SizeOfNewest("r/a/0.0.0") > 0);
    }
  }

private:
  /// Size of the newest value of the key in the journal; 0 if there is none.
  std::size_t SizeOfNewest(const std::string& aKey)
  {
    std::size_t bytes = 0;
    for (const auto& it : mState.mStreams["journal"]) {
      if (it.mKey == aKey) {
        bytes = it.mValue.size();
      }
    }
    return bytes;
  }

  static std::set<std::string> StartedTasks(const Instance& aLeader)
  {
    std::set<std::string> tasks;
    for (const auto& it : aLeader.mClient.mStarts) {
      tasks.insert(ToText(it.mTask));
    }
    return tasks;
  }

  jobs::JobState StateOf(const std::string& aId)
  {
    jobs::JobTable table;
    for (const auto& it : mState.mStreams["journal"]) {
      table.Apply(it.mKey, it.mValue, it.mOffset);
    }
    return table.StateOf(aId).value();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogLimitsTest);

} // namespace skylarkhill::node
