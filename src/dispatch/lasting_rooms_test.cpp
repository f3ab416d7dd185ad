#include "skylarkhill/cells/transfer_policy.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fake_site_test.hpp"

namespace skylarkhill::dispatch {

using std::chrono::milliseconds;

namespace {

constexpr int kWorkers = 2;
constexpr int kTasksPerWorker = 4;
constexpr std::int64_t kTaskMilliProcessors = 4000;
constexpr milliseconds kLoadInterval{ 250 };
/// Longer than a task that waits may take to be offered to another cell.
constexpr milliseconds kLendingTime{ 5000 };
/// Of batch tasks that are still there at the end of a test.
constexpr std::chrono::minutes kRunTime{ 10 };

jobs::JobEntry
MakeLasting(const std::string& aId, int aCount, std::int64_t aMilliProcessors)
{
  jobs::JobEntry job = MakeJob(aId, { aCount }, aMilliProcessors);
  job.mSubmission->mRequest.mSteps.front().mIsService = true;
  return job;
}

/// Adds workers on which batch tasks have all processors.
FakeSite::Leader&
AddFullCell(FakeSite& aSite)
{
  aSite.mRunTime = [](const TaskId&) { return kRunTime; };
  for (int n = 0; n < kWorkers; ++n) {
    aSite.AddWorker("w" + std::to_string(n),
                    kTasksPerWorker * kTaskMilliProcessors);
  }
  auto& leader = aSite.AddLeader(1);
  leader.GetDispatcher().AddJob(
    MakeJob("batch", { kWorkers * kTasksPerWorker }, kTaskMilliProcessors),
    false,
    aSite.Now());
  aSite.Advance(milliseconds(1000));
  return leader;
}

/// The loads of a lender without workers, cell 0, and of the cell of `aLeader`.
std::vector<std::optional<cells::CellLoad>>
LoadsFor(const FakeSite& aSite, FakeSite::Leader& aLeader)
{
  return { cells::CellLoad{}, aLeader.GetDispatcher().Load(aSite.Now()) };
}

cells::LoanDemand
DemandIn(FakeSite::Leader& aLeader, const FakeSite& aSite, int aCount)
{
  const auto load = aLeader.GetDispatcher().Load(aSite.Now());
  return { load.mPools.at(0).mPool, "", kTaskMilliProcessors, aCount };
}

} // namespace

/// Lasting tasks in a cell whose workers are taken by batch tasks.
class LastingRoomsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LastingRoomsTest);
  CPPUNIT_TEST(BorrowsNoMoreThanBatchTasksLeaveRoomFor);
  CPPUNIT_TEST(TakesTheRoomOfOneWorkerForEachWaitingTask);
  CPPUNIT_TEST(TakesNoRoomForTasksThatNoWorkerCanHave);
  CPPUNIT_TEST(OffersWhatIsFreeBesideAWaitingTask);
  CPPUNIT_TEST(KeepsATaskThatWaitsForABatchTaskForAWhile);
  CPPUNIT_TEST_SUITE_END();

public:
  // A cell that has lost its workers lends to one whose workers still run batch
  // tasks, load by load. Guards against a cell that offers the same room again
  // and again, so that tasks wait there without a bound while the workers of
  // the lender are back and free (LOST).
  void BorrowsNoMoreThanBatchTasksLeaveRoomFor()
  {
    FakeSite site;
    auto& leader = AddFullCell(site);
    int borrowed = 0;
    const base::TimePoint end = site.Now() + kLendingTime;
    for (int n = 0; site.Now() < end; ++n) {
      const std::string id = "lasting" + std::to_string(n);
      const auto target = cells::ChooseLoan(id,
                                            DemandIn(leader, site, 100),
                                            0,
                                            {},
                                            LoadsFor(site, leader),
                                            milliseconds(500));
      if (target) {
        borrowed += target->mCount;
        leader.GetDispatcher().AddJob(
          MakeLasting(id, target->mCount, kTaskMilliProcessors),
          false,
          site.Now());
      }
      site.Advance(kLoadInterval);
    }
    CPPUNIT_ASSERT_EQUAL(kWorkers * kTasksPerWorker, borrowed);
  }

  // Guards against room that is offered although a waiting task fits into it
  // only on another worker, and against room that is withheld (LOST).
  void TakesTheRoomOfOneWorkerForEachWaitingTask()
  {
    FakeSite site;
    auto& leader = AddFullCell(site);
    // Two fit on a worker, and 4,000 remain there.
    leader.GetDispatcher().AddJob(
      MakeLasting("large", 3, 6000), false, site.Now());
    site.Advance(milliseconds(1000));
    const auto load = leader.GetDispatcher().Load(site.Now());
    const auto& rooms = load.mPools.at(0).mLastingRooms;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, rooms.size());
    CPPUNIT_ASSERT_EQUAL(1, rooms.at(4000));
    CPPUNIT_ASSERT_EQUAL(1, rooms.at(10000));
  }

  // Tasks too large for each worker, and more tasks than a limit on each worker
  // permits. Guards against room that is kept for tasks that cannot have it
  // while those of other cells wait (LOST).
  void TakesNoRoomForTasksThatNoWorkerCanHave()
  {
    FakeSite site;
    auto& leader = AddFullCell(site);
    leader.GetDispatcher().AddJob(
      MakeLasting("large", 3, kTasksPerWorker * kTaskMilliProcessors + 1000),
      false,
      site.Now());
    jobs::JobEntry apart = MakeLasting("apart", 8, kTaskMilliProcessors);
    apart.mSubmission->mRequest.mSteps.front().mMaxPerWorker = 1;
    leader.GetDispatcher().AddJob(apart, false, site.Now());
    site.Advance(milliseconds(1000));
    const auto load = leader.GetDispatcher().Load(site.Now());
    const auto& rooms = load.mPools.at(0).mLastingRooms;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, rooms.size());
    CPPUNIT_ASSERT_EQUAL(
      kWorkers, rooms.at((kTasksPerWorker - 1) * kTaskMilliProcessors));
  }

  // A task waits for the end of a batch task on the only worker that is large
  // enough. Guards against a smaller task of another cell that waits although
  // the worker could run it at once (LOST).
  void OffersWhatIsFreeBesideAWaitingTask()
  {
    FakeSite site;
    site.mRunTime = [](const TaskId&) { return kRunTime; };
    site.AddWorker("w0", 4000);
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(
      MakeJob("batch", { 1 }, 2000), false, site.Now());
    site.Advance(milliseconds(1000));
    leader.GetDispatcher().AddJob(
      MakeLasting("large", 1, 4000), false, site.Now());
    site.Advance(milliseconds(1000));
    const auto load = leader.GetDispatcher().Load(site.Now());
    const auto& rooms = load.mPools.at(0).mLastingRooms;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, rooms.size());
    CPPUNIT_ASSERT_EQUAL(1, rooms.at(2000));
  }

  // Guards against loans that the end of a batch task would have saved.
  void KeepsATaskThatWaitsForABatchTaskForAWhile()
  {
    FakeSite site;
    auto& leader = AddFullCell(site);
    leader.GetDispatcher().AddJob(
      MakeLasting("lasting", kWorkers * kTasksPerWorker, kTaskMilliProcessors),
      false,
      site.Now());
    leader.GetDispatcher().AddJob(
      MakeLasting("large", 1, kTasksPerWorker * kTaskMilliProcessors + 1000),
      false,
      site.Now());
    site.Advance(milliseconds(1000));
    const auto unplaced = leader.GetDispatcher().ListUnplaced(
      site.Now() - milliseconds(500), site.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, unplaced.size());
    for (const auto& it : unplaced) {
      CPPUNIT_ASSERT_EQUAL(it.mJobId == "lasting", it.mMayGetRoom);
    }
    cells::CellLoad other = leader.GetDispatcher().Load(site.Now());
    other.mPools.at(0).mLastingRooms = { { 16000, 9 } };
    const std::vector<std::optional<cells::CellLoad>> loads{
      leader.GetDispatcher().Load(site.Now()), other
    };
    cells::LoanDemand demand = DemandIn(leader, site, 1);
    demand.mMayGetRoom = true;
    CPPUNIT_ASSERT(
      !cells::ChooseLoan("lasting", demand, 0, {}, loads, milliseconds(1000)));
    CPPUNIT_ASSERT(
      cells::ChooseLoan("lasting", demand, 0, {}, loads, milliseconds(5000)));
    demand.mMayGetRoom = false;
    CPPUNIT_ASSERT(
      cells::ChooseLoan("lasting", demand, 0, {}, loads, milliseconds(1000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LastingRoomsTest);

} // namespace skylarkhill::dispatch
