#include "skylarkhill/base/msgpack.hpp"
#include "skylarkhill/cells/cell_map.hpp"
#include "skylarkhill/cells/transfer_policy.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace skylarkhill::cells {

namespace {

constexpr base::Duration kLongWait = std::chrono::seconds(5);

/// `aRacks` racks of eight workers in each of `aDomains` failure domains.
std::vector<WorkerLocation>
MakeSite(int aDomains, int aRacks)
{
  constexpr int kWorkersPerRack = 8;
  std::vector<WorkerLocation> workers;
  for (int domain = 0; domain < aDomains; ++domain) {
    for (int rack = 0; rack < aRacks; ++rack) {
      const std::string name =
        "r" + std::to_string(domain) + "-" + std::to_string(rack);
      workers.insert(workers.end(),
                     kWorkersPerRack,
                     { "domain" + std::to_string(domain), name });
    }
  }
  return workers;
}

std::map<int, int>
CountByCell(const CellMap& aMap, const std::vector<WorkerLocation>& aWorkers)
{
  std::map<int, int> counts;
  for (const auto& it : aWorkers) {
    ++counts[CellOfWorker(aMap, it)];
  }
  return counts;
}

jobs::JobRequest
MakeRequest(const std::string& aRack, int aCount = 1)
{
  jobs::JobRequest request;
  jobs::Step step;
  step.mCount = aCount;
  step.mResources.mMilliProcessors = 1000;
  step.mPreferredRack = aRack;
  request.mSteps.push_back(step);
  return request;
}

jobs::Submission
MakeSubmission(int aTasks, const std::string& aLabel = "")
{
  jobs::Submission submission;
  submission.mId = "job";
  submission.mPolicy.mPool = "pool";
  submission.mRequest = MakeRequest("", aTasks);
  submission.mRequest.mSteps[0].mRequiredLabel = aLabel;
  return submission;
}

/// A cell with one pool.
CellLoad
MakeLoad(std::int64_t aFree,
         std::int64_t aWaiting,
         const std::set<std::string>& aLabels = { "a" })
{
  return { { { "pool", aFree, aWaiting, 0, 0, aLabels, {}, 0, 0 } } };
}

/// One cell for each entry, which is its PoolLoad::mLastingRooms.
std::vector<std::optional<CellLoad>>
LoadsWithRooms(const std::vector<std::map<std::int64_t, int>>& aRooms)
{
  std::vector<std::optional<CellLoad>> loads;
  for (const auto& it : aRooms) {
    CellLoad load = MakeLoad(0, 0);
    load.mPools[0].mLastingRooms = it;
    loads.emplace_back(std::move(load));
  }
  return loads;
}

} // namespace

class CellsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CellsTest);
  CPPUNIT_TEST(KeepsASmallSiteInOneCell);
  CPPUNIT_TEST(DividesALargeSiteByFailureDomain);
  CPPUNIT_TEST(DividesALargeFailureDomainByRack);
  CPPUNIT_TEST(BoundsTheNumberOfCells);
  CPPUNIT_TEST(SharesACellBetweenSmallFailureDomains);
  CPPUNIT_TEST(PlacesUnknownWorkersLikeEveryInstance);
  CPPUNIT_TEST(GivesARepeatedSubmissionTheSameHome);
  CPPUNIT_TEST(SendsAJobToTheCellOfItsData);
  CPPUNIT_TEST(RestoresAMap);
  CPPUNIT_TEST(RefusesMalformedMaps);
  CPPUNIT_TEST(KeepsAJobWhileItsHomeHasRoom);
  CPPUNIT_TEST(MovesABurstToTheCellsWithRoom);
  CPPUNIT_TEST(KeepsAJobThatNoCellHasRoomFor);
  CPPUNIT_TEST(MovesAJobAtOnceIfItsHomeLacksTheLabel);
  CPPUNIT_TEST(KeepsAJobBesideItsDataForAWhile);
  CPPUNIT_TEST(SpreadsLastingJobsEvenly);
  CPPUNIT_TEST(MovesBackfillAwayFromBackfillThatWaits);
  CPPUNIT_TEST(UsesOnlyAShareOfTheRoomThatAllHomesSee);
  CPPUNIT_TEST(LendsLastingTasksToTheCellThatCanRunThem);
  CPPUNIT_TEST(KeepsLastingTasksWhileOtherTasksMayEnd);
  CPPUNIT_TEST(LendsNoTasksToACellThatFillsUp);
  CPPUNIT_TEST(LendsToACellWithRoomForOneTask);
  CPPUNIT_TEST(DividesLoansAmongCells);
  CPPUNIT_TEST(ReadsLoadsOfVersionsWithoutLoans);
  CPPUNIT_TEST_SUITE_END();

public:
  void KeepsASmallSiteInOneCell()
  {
    CPPUNIT_ASSERT_EQUAL(1, DivideSite(MakeSite(3, 3), {}).mCount);
    CPPUNIT_ASSERT_EQUAL(1, DivideSite({}, {}).mCount);
  }

  // Guards against a cell whose leader is cut off from its workers, and against
  // racks whose data belong to two cells.
  void DividesALargeSiteByFailureDomain()
  {
    const auto site = MakeSite(5, 22);
    const CellMap map = DivideSite(site, {});
    CPPUNIT_ASSERT_EQUAL(5, map.mCount);
    for (const auto& it : site) {
      const int cell = CellOfWorker(map, it);
      CPPUNIT_ASSERT(IsInDomain(map, cell, it.mDomain));
      CPPUNIT_ASSERT_EQUAL(cell, map.mCellByRack.at(it.mRack));
    }
  }

  void DividesALargeFailureDomainByRack()
  {
    const auto site = MakeSite(2, 100);
    const CellMap map = DivideSite(site, {});
    CPPUNIT_ASSERT_EQUAL(8, map.mCount);
    for (const auto& [cell, count] : CountByCell(map, site)) {
      CPPUNIT_ASSERT_EQUAL(200, count);
    }
  }

  void BoundsTheNumberOfCells()
  {
    const auto site = MakeSite(23, 43);
    const CellMap map = DivideSite(site, {});
    CPPUNIT_ASSERT(map.mCount <= CellLimits{}.mMaxCells);
    const auto counts = CountByCell(map, site);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(map.mCount), counts.size());
  }

  void SharesACellBetweenSmallFailureDomains()
  {
    auto site = MakeSite(20, 3);
    const CellMap map = DivideSite(site, {});
    CPPUNIT_ASSERT_EQUAL(1, map.mCount);
    for (auto& it : site) {
      it.mDomain = it.mDomain == "domain0" ? "small" : "large";
    }
    const CellMap second = DivideSite(site, {});
    CPPUNIT_ASSERT(second.mCellsByDomain.count("small") != 0);
  }

  // Workers are added after the division. Guards against two leaders that use
  // the same worker.
  void PlacesUnknownWorkersLikeEveryInstance()
  {
    const CellMap map = DivideSite(MakeSite(5, 22), {});
    const auto copy = DecodeCellMap(EncodeCellMap(map));
    CPPUNIT_ASSERT(copy);
    for (int n = 0; n < 100; ++n) {
      const WorkerLocation worker{ "domain" + std::to_string(n % 7),
                                   "new" + std::to_string(n) };
      const int cell = CellOfWorker(map, worker);
      CPPUNIT_ASSERT(cell >= 0 && cell < map.mCount);
      CPPUNIT_ASSERT_EQUAL(cell, CellOfWorker(copy.value(), worker));
    }
  }

  // Guards against a job that is accepted twice.
  void GivesARepeatedSubmissionTheSameHome()
  {
    const CellMap map = DivideSite(MakeSite(5, 22), {});
    std::map<int, int> counts;
    for (int n = 0; n < 1000; ++n) {
      const std::string id = "job" + std::to_string(n);
      const int home = HomeOfJob(map, id, MakeRequest(""));
      CPPUNIT_ASSERT_EQUAL(home, HomeOfJob(map, id, MakeRequest("")));
      ++counts[home];
    }
    for (const auto& [cell, count] : counts) {
      CPPUNIT_ASSERT(count > 150 && count < 250);
    }
  }

  // Guards against work that runs a multiple of its time away from its data.
  void SendsAJobToTheCellOfItsData()
  {
    const CellMap map = DivideSite(MakeSite(5, 22), {});
    for (int n = 0; n < 20; ++n) {
      const std::string rack = "r" + std::to_string(n % 5) + "-7";
      CPPUNIT_ASSERT_EQUAL(
        map.mCellByRack.at(rack),
        HomeOfJob(map, "job" + std::to_string(n), MakeRequest(rack)));
    }
  }

  void RestoresAMap()
  {
    const CellMap map = DivideSite(MakeSite(5, 22), {});
    const auto copy = DecodeCellMap(EncodeCellMap(map));
    CPPUNIT_ASSERT(copy);
    CPPUNIT_ASSERT_EQUAL(map.mCount, copy.value().mCount);
    CPPUNIT_ASSERT(map.mCellsByDomain == copy.value().mCellsByDomain);
    CPPUNIT_ASSERT(map.mCellByRack == copy.value().mCellByRack);
  }

  void RefusesMalformedMaps()
  {
    CPPUNIT_ASSERT(!DecodeCellMap(""));
    CPPUNIT_ASSERT(!DecodeCellMap("\xff"));
    CellMap map;
    map.mCount = 0;
    CPPUNIT_ASSERT(!DecodeCellMap(EncodeCellMap(map)));
    map.mCount = 2;
    map.mCellByRack["r"] = 2;
    CPPUNIT_ASSERT(!DecodeCellMap(EncodeCellMap(map)));
    map.mCellByRack["r"] = 1;
    map.mCellsByDomain["d"] = {};
    CPPUNIT_ASSERT(!DecodeCellMap(EncodeCellMap(map)));
  }

  void KeepsAJobWhileItsHomeHasRoom()
  {
    const std::vector<std::optional<CellLoad>> loads = { MakeLoad(100'000, 0),
                                                         MakeLoad(900'000, 0) };
    CPPUNIT_ASSERT(!ChooseTransfer(
      "job", 0, DemandOf(MakeSubmission(50)), loads, kLongWait));
  }

  // Many jobs of one home come at once while other cells are empty. Guards
  // against jobs that wait beside unused workers, and against moving all of
  // them to one cell.
  void MovesABurstToTheCellsWithRoom()
  {
    std::vector<std::optional<CellLoad>> loads = { MakeLoad(0, 500'000),
                                                   MakeLoad(400'000, 0),
                                                   MakeLoad(400'000, 0),
                                                   std::nullopt,
                                                   MakeLoad(10'000, 0) };
    const JobDemand demand = DemandOf(MakeSubmission(50));
    std::map<int, int> counts;
    for (int n = 0; n < 40; ++n) {
      const std::string id = "job" + std::to_string(n);
      const auto transfer = ChooseTransfer(id, 0, demand, loads, {});
      if (transfer) {
        CPPUNIT_ASSERT(transfer->mReason == TransferReason::NoRoom);
        ++counts[transfer->mTarget];
        Reserve(*loads[static_cast<std::size_t>(transfer->mTarget)], demand, 1);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, counts.size());
    CPPUNIT_ASSERT_EQUAL(8, counts[1]);
    CPPUNIT_ASSERT_EQUAL(8, counts[2]);
  }

  // Guards against jobs that go round between full cells.
  void KeepsAJobThatNoCellHasRoomFor()
  {
    const std::vector<std::optional<CellLoad>> loads = {
      MakeLoad(0, 500'000), MakeLoad(400'000, 380'000)
    };
    CPPUNIT_ASSERT(!ChooseTransfer(
      "job", 0, DemandOf(MakeSubmission(50)), loads, kLongWait));
  }

  // Guards against a job that no worker of its home can ever run.
  void MovesAJobAtOnceIfItsHomeLacksTheLabel()
  {
    const std::vector<std::optional<CellLoad>> loads = {
      MakeLoad(900'000, 0), MakeLoad(0, 10'000, { "a", "b" })
    };
    const auto transfer =
      ChooseTransfer("job", 0, DemandOf(MakeSubmission(5, "b")), loads, {});
    CPPUNIT_ASSERT(transfer);
    CPPUNIT_ASSERT_EQUAL(1, transfer->mTarget);
    CPPUNIT_ASSERT(transfer->mReason == TransferReason::Incompatible);
  }

  void KeepsAJobBesideItsDataForAWhile()
  {
    const std::vector<std::optional<CellLoad>> loads = { MakeLoad(0, 500'000),
                                                         MakeLoad(900'000, 0) };
    jobs::Submission submission = MakeSubmission(5);
    submission.mRequest.mSteps[0].mPreferredRack = "r0-1";
    CPPUNIT_ASSERT(!ChooseTransfer(
      "job", 0, DemandOf(submission), loads, std::chrono::milliseconds(1000)));
    CPPUNIT_ASSERT(
      ChooseTransfer("job", 0, DemandOf(submission), loads, kLongWait));
  }

  // Lasting jobs fill a site for hours. Guards against a cell that is full of
  // them, so that a failed task finds no worker, while others have room.
  void SpreadsLastingJobsEvenly()
  {
    constexpr int kCells = 5;
    constexpr std::int64_t kCapacity = 2'848'000;
    std::vector<std::optional<CellLoad>> loads(kCells, MakeLoad(kCapacity, 0));
    jobs::Submission submission = MakeSubmission(90);
    submission.mRequest.mSteps[0].mIsService = true;
    const JobDemand demand = DemandOf(submission);
    for (int n = 0; n < 130; ++n) {
      const std::string id = "job" + std::to_string(n);
      // Two of three jobs have their home in the first cell.
      const int home = n % 3 == 0 ? n % kCells : 0;
      const auto transfer = ChooseTransfer(id, home, demand, loads, {});
      const int cell = transfer ? transfer->mTarget : home;
      loads[static_cast<std::size_t>(cell)]->mPools[0].mFree -=
        demand.mProcessors;
    }
    // 82% of the site is in use.
    for (const auto& it : loads) {
      CPPUNIT_ASSERT(it->mPools[0].mFree > kCapacity / 20);
    }
  }

  // Backfill that services do not bear waits beside unused processors. Guards
  // against more of it in the same cell while another cell has room.
  void MovesBackfillAwayFromBackfillThatWaits()
  {
    std::vector<std::optional<CellLoad>> loads = { MakeLoad(0, 0),
                                                   MakeLoad(0, 0) };
    loads[0]->mPools[0].mFreeForBackfill = 900'000;
    loads[1]->mPools[0].mFreeForBackfill = 100'000;
    jobs::Submission submission = MakeSubmission(50);
    submission.mRequest.mSteps[0].mIsBackfill = true;
    const JobDemand demand = DemandOf(submission);
    CPPUNIT_ASSERT(!ChooseTransfer("job", 0, demand, loads, {}));
    loads[0]->mPools[0].mWaitingBackfill = 1000;
    CPPUNIT_ASSERT(ChooseTransfer("job", 0, demand, loads, {}));
    loads[1]->mPools[0].mWaitingBackfill = 1000;
    CPPUNIT_ASSERT(!ChooseTransfer("job", 0, demand, loads, {}));
  }

  // Four full homes see one cell with room. Guards against jobs of all of them
  // that overload it before it publishes its next load.
  void UsesOnlyAShareOfTheRoomThatAllHomesSee()
  {
    constexpr int kHomes = 4;
    const JobDemand demand = DemandOf(MakeSubmission(50));
    int moved = 0;
    for (int home = 0; home < kHomes; ++home) {
      std::vector<std::optional<CellLoad>> loads(kHomes + 1, MakeLoad(0, 0));
      loads[kHomes] = MakeLoad(800'000, 0);
      for (int n = 0; n < 40; ++n) {
        const std::string id = std::to_string(home) + "-" + std::to_string(n);
        if (ChooseTransfer(id, home, demand, loads, {})) {
          ++moved;
          Reserve(*loads[kHomes], demand, kHomes);
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(16, moved);
  }

  // The free processors of one cell are spread over workers too small for a
  // task. Guards against a loan that does not help (LOST).
  void LendsLastingTasksToTheCellThatCanRunThem()
  {
    const LoanDemand demand{ "pool", "", 3000, 10 };
    const auto loads =
      LoadsWithRooms({ {}, { { 2000, 90 } }, { { 6000, 2 } } });
    const auto target = ChooseLoan("job", demand, 0, {}, loads, {});
    CPPUNIT_ASSERT(target);
    CPPUNIT_ASSERT_EQUAL(2, target->mTarget);
    CPPUNIT_ASSERT_EQUAL(2, target->mCount);
    CPPUNIT_ASSERT(!ChooseLoan("job", demand, 0, { 2 }, loads, {}));
    CPPUNIT_ASSERT(
      !ChooseLoan("job", { "pool", "b", 3000, 10 }, 0, {}, loads, {}));
  }

  // Guards against loans that a worker of the own cell would have saved.
  void KeepsLastingTasksWhileOtherTasksMayEnd()
  {
    const LoanDemand demand{ "pool", "", 3000, 1 };
    const auto loads = LoadsWithRooms({ { { 4000, 1 } }, { { 9000, 9 } } });
    CPPUNIT_ASSERT(!ChooseLoan("job", demand, 0, {}, loads, {}));
    CPPUNIT_ASSERT(
      ChooseLoan("job", demand, 0, {}, loads, std::chrono::milliseconds(5000)));
  }

  // Guards against lenders that overload a cell before it publishes its next
  // load.
  void LendsNoTasksToACellThatFillsUp()
  {
    const LoanDemand demand{ "pool", "", 3000, 4 };
    auto loads = LoadsWithRooms({ {}, { { 6000, 8 } }, {} });
    int lent = 0;
    while (const auto target = ChooseLoan("job", demand, 0, {}, loads, {})) {
      lent += target->mCount;
      Reserve(*loads[1], { "pool", "", 3000, target->mCount }, 2);
    }
    CPPUNIT_ASSERT(lent > 0 && lent <= 8);
  }

  // Guards against a task that waits although many cells have room for one.
  void LendsToACellWithRoomForOneTask()
  {
    std::vector<std::map<std::int64_t, int>> rooms(24, { { 3000, 1 } });
    rooms[0].clear();
    CPPUNIT_ASSERT(ChooseLoan(
      "job", { "pool", "", 3000, 1 }, 0, {}, LoadsWithRooms(rooms), {}));
  }

  // Four cells lend at once, each from the same loads. Guards against more
  // loans to one cell than it has room for.
  void DividesLoansAmongCells()
  {
    constexpr int kLenders = 4;
    constexpr int kJobsPerLender = 8;
    std::vector<std::map<std::int64_t, int>> rooms(24, { { 3000, 10 } });
    std::fill(
      rooms.begin(), rooms.begin() + kLenders, std::map<std::int64_t, int>());
    rooms[9] = { { 3000, 12 } };
    std::map<int, int> borrowed;
    for (int lender = 0; lender < kLenders; ++lender) {
      auto loads = LoadsWithRooms(rooms);
      for (int n = 0; n < kJobsPerLender; ++n) {
        const LoanDemand demand{ "pool", "", 3000, 1 };
        const std::string id = std::to_string(lender) + "-" + std::to_string(n);
        const auto target = ChooseLoan(id, demand, lender, {}, loads, {});
        CPPUNIT_ASSERT(target);
        ++borrowed[target->mTarget];
        Reserve(*loads[static_cast<std::size_t>(target->mTarget)], demand, 23);
      }
    }
    for (const auto& [cell, count] : borrowed) {
      CPPUNIT_ASSERT_MESSAGE(std::to_string(cell), count <= 10);
    }
  }

  // Guards against leaders that skip each other's loads during a rollout.
  void ReadsLoadsOfVersionsWithoutLoans()
  {
    using FormerFields = std::tuple<std::string,
                                    std::int64_t,
                                    std::int64_t,
                                    std::int64_t,
                                    std::int64_t,
                                    std::set<std::string>>;
    const std::vector<FormerFields> former{ { "pool", 5, 4, 3, 2, { "a" } } };
    const auto load = DecodeCellLoad(base::PackMsgpack(former));
    CPPUNIT_ASSERT(load);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5 }, load.value().mPools.at(0).mFree);
    CPPUNIT_ASSERT(load.value().mPools.at(0).mLastingRooms.empty());
    const auto loads = LoadsWithRooms({ { { 6000, 8 } } });
    const auto read =
      base::UnpackMsgpack<std::vector<FormerFields>>(EncodeCellLoad(*loads[0]));
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT_EQUAL(std::string("pool"), std::get<0>(read.value().at(0)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellsTest);

} // namespace skylarkhill::cells
