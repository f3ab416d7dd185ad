#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "fake_site_test.hpp"

namespace skylarkhill::dispatch {

using std::chrono::milliseconds;

namespace {

constexpr int kWorkers = 8;
constexpr std::int64_t kWorkerMilliProcessors = 8000;
constexpr int kSmallPerWorker = 2;
/// More tasks than end during a test.
constexpr int kPlainPerWorker = 25;
constexpr std::int64_t kSmallMilliProcessors = 3000;
/// More than one worker with one small task leaves.
constexpr std::int64_t kLargeMilliProcessors = 6000;
/// Shortest run of a small task.
constexpr milliseconds kRunTime{ 1000 };
/// No two tasks of a worker end at the same time.
constexpr milliseconds kRunTimeStep{ 50 };
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

bool
IsSmall(const TaskId& aTask)
{
  return aTask.mJobId != "large";
}

int
CountRuns(FakeSite& aSite, bool (*aIsCounted)(const TaskId&))
{
  std::ptrdiff_t n = 0;
  for (int worker = 0; worker < kWorkers; ++worker) {
    const auto& runs = aSite.Worker("w" + std::to_string(worker)).mRuns;
    n +=
      std::count_if(runs.begin(), runs.end(), [&](const FakeWorker::Run& aRun) {
        return aIsCounted(aRun.mTask);
      });
  }
  return static_cast<int>(n);
}

/// Adds workers and a job of small tasks, more than there is room for. Lasting
/// ones fail after a while and start again; of others there are enough for a
/// test.
FakeSite::Leader&
AddFullCell(FakeSite& aSite, bool aAreLasting)
{
  aSite.mRunTime = [](const TaskId& aTask) -> base::Duration {
    return IsSmall(aTask) ? kRunTime + kRunTimeStep * (aTask.mIndex % 16)
                          : milliseconds(std::chrono::hours(1));
  };
  aSite.mDecideFailure = [aAreLasting](const TaskId& aTask, int) {
    return aAreLasting && IsSmall(aTask);
  };
  for (int n = 0; n < kWorkers; ++n) {
    aSite.AddWorker("w" + std::to_string(n), kWorkerMilliProcessors);
  }
  auto& leader = aSite.AddLeader(1);
  jobs::JobEntry small = MakeLasting(
    "small",
    kWorkers * (aAreLasting ? kSmallPerWorker + 1 : kPlainPerWorker),
    kSmallMilliProcessors);
  small.mSubmission->mRequest.mSteps.front().mIsService = aAreLasting;
  leader.GetDispatcher().AddJob(small, false, aSite.Now());
  aSite.Advance(milliseconds(1000));
  return leader;
}

} // namespace

/// The load that remains when workers leave: more lasting tasks than a cell has
/// room for, with demands of different sizes.
class KeptRoomsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KeptRoomsTest);
  CPPUNIT_TEST(BoundsTheWaitOfALargeTaskBesideSmallerLastingOnes);
  CPPUNIT_TEST(BoundsTheWaitOfALargeTaskBesidePlainOnes);
  CPPUNIT_TEST(KeepsAFewWorkersOnly);
  CPPUNIT_TEST(OffersNoRoomThatIsKept);
  CPPUNIT_TEST(ReleasesTheWorkerOnceTheTaskRunsElsewhere);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a lasting task that waits without a bound because each part
  // of the room that becomes free is taken by smaller lasting tasks (LOST).
  void BoundsTheWaitOfALargeTaskBesideSmallerLastingOnes()
  {
    CheckLargeTask(true);
  }

  // The same beside tasks that do not last (LOST).
  void BoundsTheWaitOfALargeTaskBesidePlainOnes() { CheckLargeTask(false); }

  // Guards against a cell that stands idle while many large tasks wait.
  void KeepsAFewWorkersOnly()
  {
    FakeSite site;
    auto& leader = AddFullCell(site, true);
    // No worker gets room for one of them while it has a small task, and all
    // small tasks have waited before.
    leader.GetDispatcher().AddJob(
      MakeLasting("large", kWorkers, kWorkerMilliProcessors),
      false,
      site.Now());
    const base::TimePoint end = site.Now() + kMaxWait;
    int least = kWorkers * kSmallPerWorker;
    while (site.Now() < end && CountRuns(site, IsLarge) == 0) {
      site.Advance(milliseconds(20));
      least = std::min(least, CountRuns(site, IsSmall));
    }
    CPPUNIT_ASSERT(CountRuns(site, IsLarge) > 0);
    // Those of one worker, and those that are about to start again.
    CPPUNIT_ASSERT(least >= (kWorkers - 2) * kSmallPerWorker);
  }

  // Guards against loans to a cell that keeps the room for its own task.
  void OffersNoRoomThatIsKept()
  {
    FakeSite site;
    site.mRunTime = [](const TaskId&) { return std::chrono::minutes(10); };
    site.AddWorker("w0", kWorkerMilliProcessors);
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(
      MakeLasting("small", 1, kSmallMilliProcessors), false, site.Now());
    site.Advance(milliseconds(1000));
    leader.GetDispatcher().AddJob(
      MakeLasting("large", 1, kLargeMilliProcessors), false, site.Now());
    site.Advance(milliseconds(3000));
    const auto load = leader.GetDispatcher().Load(site.Now());
    CPPUNIT_ASSERT(load.mPools.at(0).mLastingRooms.empty());
  }

  // Guards against a worker that stays idle once nobody waits for it.
  void ReleasesTheWorkerOnceTheTaskRunsElsewhere()
  {
    FakeSite site;
    site.mRunTime = [](const TaskId&) { return std::chrono::minutes(10); };
    site.AddWorker("w0", kWorkerMilliProcessors);
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(
      MakeLasting("small", 1, kSmallMilliProcessors), false, site.Now());
    site.Advance(milliseconds(1000));
    leader.GetDispatcher().AddJob(
      MakeLasting("large", 1, kLargeMilliProcessors), false, site.Now());
    site.Advance(milliseconds(3000));
    // Its room suffices for both, but one is kept.
    leader.GetDispatcher().AddJob(
      MakeLasting("other", 1, kSmallMilliProcessors), false, site.Now());
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.Worker("w0").mRuns.size());
    const auto worker = site.AddWorker("w1", kWorkerMilliProcessors).Entry();
    leader.GetDispatcher().SetWorker(worker, site.Now());
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.Worker("w0").mRuns.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.Worker("w1").mRuns.size());
  }

private:
  static bool IsLarge(const TaskId& aTask) { return !IsSmall(aTask); }

  static void CheckLargeTask(bool aAreOthersLasting)
  {
    FakeSite site;
    auto& leader = AddFullCell(site, aAreOthersLasting);
    leader.GetDispatcher().AddJob(
      MakeLasting("large", 1, kLargeMilliProcessors), false, site.Now());
    const base::TimePoint end = site.Now() + kMaxWait;
    while (site.Now() < end && CountRuns(site, IsLarge) == 0) {
      site.Advance(milliseconds(20));
    }
    CPPUNIT_ASSERT_EQUAL(1, CountRuns(site, IsLarge));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeptRoomsTest);

} // namespace skylarkhill::dispatch
