#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "fake_site_test.hpp"

namespace skylarkhill::dispatch {

using std::chrono::milliseconds;

namespace {

constexpr std::int64_t kWorkerMilliProcessors = 8000;
/// The bound of a lasting task without a run, without the lease of a lost
/// worker.
constexpr milliseconds kMaxWait{ 9000 };

jobs::JobEntry
MakeLasting(const std::string& aId, int aCount, std::int64_t aMilliProcessors)
{
  jobs::JobEntry job = MakeJob(aId, { aCount }, aMilliProcessors);
  job.mSubmission->mRequest.mSteps.front().mIsService = true;
  return job;
}

} // namespace

/// Which of the waiting lasting tasks gets the room that becomes free.
class LastingOrderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LastingOrderTest);
  CPPUNIT_TEST(StartsATaskOfAnOldJobBeforeThoseOfNewJobs);
  CPPUNIT_TEST(StartsTheTaskOfHigherPriorityFirst);
  CPPUNIT_TEST(StartsTheTasksOfAJobInTurn);
  CPPUNIT_TEST(LendsTasksOfTheOldestJobFirst);
  CPPUNIT_TEST_SUITE_END();

public:
  // The job of the task was accepted a minute ago, which makes it late for
  // good. Guards against tasks that have lost their runs and wait behind all
  // jobs that have just come (LOST).
  void StartsATaskOfAnOldJobBeforeThoseOfNewJobs()
  {
    jobs::JobEntry old = MakeLasting("old", 1, kWorkerMilliProcessors);
    old.mSubmission->mAcceptedMs -= 60'000;
    jobs::JobEntry recent = MakeLasting("recent", 1, kWorkerMilliProcessors);
    // Its objective is not reached in this test.
    recent.mSubmission->mAcceptedMs += 2'000'000;
    CheckOrder(old, recent, "old");
  }

  // Guards against an order of ages that puts priorities behind.
  void StartsTheTaskOfHigherPriorityFirst()
  {
    jobs::JobEntry low = MakeLasting("low", 1, kWorkerMilliProcessors);
    jobs::JobEntry high = MakeLasting("high", 1, kWorkerMilliProcessors);
    low.mSubmission->mPolicy.mPriority = 1;
    high.mSubmission->mPolicy.mPriority = 0;
    CheckOrder(low, high, "high");
  }

  // Guards against a task that waits without a bound behind one of its own job
  // that loses its runs again and again (LOST).
  void StartsTheTasksOfAJobInTurn()
  {
    FakeSite site;
    site.mRunTime = [](const TaskId&) { return milliseconds(1000); };
    site.mDecideFailure = [](const TaskId&, int) { return true; };
    site.AddWorker("w0", kWorkerMilliProcessors);
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(
      MakeLasting("lasting", 2, kWorkerMilliProcessors), false, site.Now());
    site.Advance(kMaxWait);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.mStartCounts.size());
    for (const auto& [task, starts] : site.mStartCounts) {
      CPPUNIT_ASSERT_MESSAGE(task, starts >= 3);
    }
  }

  // The leader gets to know the jobs in any order. Guards against tasks of old
  // jobs that wait while those of younger ones are lent (LOST).
  void LendsTasksOfTheOldestJobFirst()
  {
    FakeSite site;
    auto& leader = site.AddLeader(1);
    for (const int minutes : { 1, 3, 2 }) {
      jobs::JobEntry job =
        MakeLasting(std::to_string(minutes), 1, kWorkerMilliProcessors);
      job.mSubmission->mAcceptedMs -= minutes * std::int64_t{ 60'000 };
      leader.GetDispatcher().AddJob(job, false, site.Now());
    }
    site.Advance(milliseconds(1000));
    std::string order;
    for (const auto& it : leader.GetDispatcher().ListUnplaced(
           site.Now() - milliseconds(500), site.Now())) {
      order += it.mJobId;
    }
    CPPUNIT_ASSERT_EQUAL(std::string("321"), order);
  }

private:
  /// Adds both jobs, the first one earlier, while another task has the only
  /// worker, and asserts that the job `aFirst` gets it.
  static void CheckOrder(const jobs::JobEntry& aEarlier,
                         const jobs::JobEntry& aLater,
                         const std::string& aFirst)
  {
    FakeSite site;
    site.mRunTime = [](const TaskId& aTask) -> base::Duration {
      return aTask.mJobId == "batch" ? milliseconds(1000)
                                     : milliseconds(std::chrono::hours(1));
    };
    site.AddWorker("w0", kWorkerMilliProcessors);
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(
      MakeJob("batch", { 1 }, kWorkerMilliProcessors), false, site.Now());
    site.Advance(milliseconds(300));
    leader.GetDispatcher().AddJob(aEarlier, false, site.Now());
    site.Advance(milliseconds(300));
    leader.GetDispatcher().AddJob(aLater, false, site.Now());
    site.Advance(milliseconds(2000));
    const auto& runs = site.Worker("w0").mRuns;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, runs.size());
    CPPUNIT_ASSERT_EQUAL(aFirst, runs.front().mTask.mJobId);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LastingOrderTest);

} // namespace skylarkhill::dispatch
