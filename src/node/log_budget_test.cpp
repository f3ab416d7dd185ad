#include "skylarkhill/node/follower_ranking.hpp"
#include "skylarkhill/node/follower_table.hpp"
#include "skylarkhill/node/log_budget.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace skylarkhill::node {

using std::chrono::milliseconds;

namespace {

constexpr LogRates kRates{ 2000.0, 600.0 };
constexpr int kDomains = 3;
constexpr int kCells = 15;

InstanceEntry
MakeEntry(int aNumber, double aProcessors = 0.25)
{
  const std::string name = "instance" + std::to_string(aNumber);
  return {
    name, "d" + std::to_string(aNumber % kDomains), name + ":1", aProcessors
  };
}

std::map<std::string, InstanceEntry>
MakeInstances(int aCount)
{
  std::map<std::string, InstanceEntry> instances;
  for (int n = 0; n < aCount; ++n) {
    const InstanceEntry entry = MakeEntry(n);
    instances[entry.mName] = entry;
  }
  return instances;
}

cells::CellMap
MakeMap()
{
  cells::CellMap map;
  map.mCount = kCells;
  for (int cell = 0; cell < kCells; ++cell) {
    map.mCellsByDomain["d" + std::to_string(cell % kDomains)].push_back(cell);
  }
  return map;
}

std::vector<std::string>
FirstOf(std::vector<std::string> aNames, std::size_t aCount)
{
  aNames.resize(std::min(aNames.size(), aCount));
  std::sort(aNames.begin(), aNames.end());
  return aNames;
}

} // namespace

class LogBudgetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogBudgetTest);
  CPPUNIT_TEST(PlansFewerReadsThanTheLogAnswers);
  CPPUNIT_TEST(PlansFewerBatchesThanTheLogStores);
  CPPUNIT_TEST(PlansFewerRequestedRenewalsThanTheLogAnswers);
  CPPUNIT_TEST(FollowsAllCellsOnSitesFarBelowTheRate);
  CPPUNIT_TEST(LimitsNothingWithoutKnownRates);
  CPPUNIT_TEST(RanksFollowersOfAllFailureDomains);
  CPPUNIT_TEST(MovesFewFollowersWhenInstancesComeAndGo);
  CPPUNIT_TEST(LetsLargeInstancesLead);
  CPPUNIT_TEST(AsksTheOwnFailureDomainFirst);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a site that exceeds the log's rate of reads in its good
  // state, so that no configuration reaches the instances (issue 50).
  void PlansFewerReadsThanTheLogAnswers()
  {
    for (const SiteSize size : { SiteSize{ 31, 1 },
                                 SiteSize{ 101, 5 },
                                 SiteSize{ 151, 8 },
                                 SiteSize{ 201, 10 },
                                 SiteSize{ 301, 15 },
                                 SiteSize{ 500, 24 } }) {
      const LogBudget budget = PlanLogCalls(kRates, size);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(size.mInstances),
                             budget.mPlannedReadsPerSecond <
                               kRates.mReadsPerSecond * 0.95);
      CPPUNIT_ASSERT(budget.mFollowersPerCell >= 2 * kDomains);
    }
  }

  // Guards against leaders that store batches so often that the log refuses
  // submissions and renewals.
  void PlansFewerBatchesThanTheLogStores()
  {
    const LogBudget budget = PlanLogCalls(kRates, { 301, kCells });
    const double batches =
      kCells / std::chrono::duration<double>(budget.mFlushInterval).count();
    CPPUNIT_ASSERT(batches < kRates.mWritesPerSecond / 2);
  }

  // The workers of all cells fall silent in turn, and each leader renews as
  // often as it may. Guards against renewals that exceed the log's rates: each
  // ends the read of every follower in the failure domain of the cell.
  void PlansFewerRequestedRenewalsThanTheLogAnswers()
  {
    for (const SiteSize size : { SiteSize{ 31, 1 },
                                 SiteSize{ 101, 5 },
                                 SiteSize{ 301, 15 },
                                 SiteSize{ 500, 24 } }) {
      const LogBudget budget = PlanLogCalls(kRates, size);
      const double renewals =
        size.mCells /
        std::chrono::duration<double>(budget.mMinRenewInterval).count();
      const double usual = 1.25 * size.mCells;
      const double reads =
        budget.mPlannedReadsPerSecond +
        std::max(0.0, renewals - usual) * budget.mFollowersPerCell / 2.0;
      const double batches =
        size.mCells /
        std::chrono::duration<double>(budget.mFlushInterval).count();
      const std::string text = std::to_string(size.mInstances);
      CPPUNIT_ASSERT_MESSAGE(text, reads < kRates.mReadsPerSecond);
      CPPUNIT_ASSERT_MESSAGE(
        text, batches + renewals < 0.6 * kRates.mWritesPerSecond);
    }
  }

  // Guards against answers that need a second instance, and slower leaders, on
  // sites that the log serves without limits.
  void FollowsAllCellsOnSitesFarBelowTheRate()
  {
    struct Site
    {
      LogRates mRates;
      SiteSize mSize;
    };
    for (const Site& it : { Site{ kRates, { 7, 1 } },
                            Site{ { 6000.0, 1200.0 }, { 43, 3 } },
                            Site{ { 16000.0, 3200.0 }, { 97, 5 } } }) {
      const LogBudget budget = PlanLogCalls(it.mRates, it.mSize);
      const LogBudget unlimited = PlanLogCalls({}, it.mSize);
      CPPUNIT_ASSERT_EQUAL(it.mSize.mInstances, budget.mFollowersPerCell);
      CPPUNIT_ASSERT(budget.mLeaderJournalPause == milliseconds(15));
      CPPUNIT_ASSERT(budget.mFlushInterval == milliseconds(20));
      CPPUNIT_ASSERT(budget.mMinRenewInterval == milliseconds(100));
      CPPUNIT_ASSERT(budget.mRetryPause == milliseconds(200));
      CPPUNIT_ASSERT(budget.mOtherLeaderJournalPause == milliseconds(200));
      CPPUNIT_ASSERT(budget.mFollowerJournalPause ==
                     unlimited.mFollowerJournalPause);
      CPPUNIT_ASSERT(budget.mLeaderStreamPause == unlimited.mLeaderStreamPause);
    }
  }

  // Guards against a site without followers because its settings lack rates.
  void LimitsNothingWithoutKnownRates()
  {
    const LogBudget budget = PlanLogCalls({}, { 301, kCells });
    CPPUNIT_ASSERT_EQUAL(301, budget.mFollowersPerCell);
    CPPUNIT_ASSERT(budget.mRetryPause == milliseconds(200));
  }

  // Guards against a cell whose followers are lost with one failure domain.
  void RanksFollowersOfAllFailureDomains()
  {
    const auto instances = MakeInstances(301);
    for (int cell = 0; cell < kCells; ++cell) {
      const auto ranked = RankFollowers(MakeMap(), cell, instances);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 301 }, ranked.size());
      const std::string domain = "d" + std::to_string(cell % kDomains);
      const auto inDomain = std::count_if(
        ranked.begin(), ranked.begin() + 12, [&](const std::string& aName) {
          return instances.at(aName).mDomain == domain;
        });
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 6 }, inDomain);
    }
  }

  // Guards against journals that most instances load again whenever the list of
  // instances changes.
  void MovesFewFollowersWhenInstancesComeAndGo()
  {
    constexpr std::size_t kFollowers = 35;
    auto instances = MakeInstances(301);
    const auto before =
      FirstOf(RankFollowers(MakeMap(), 3, instances), kFollowers);
    for (int n = 0; n < 15; ++n) {
      instances.erase("instance" + std::to_string(n * 20));
      const InstanceEntry entry = MakeEntry(1000 + n);
      instances[entry.mName] = entry;
    }
    const auto after =
      FirstOf(RankFollowers(MakeMap(), 3, instances), kFollowers);
    std::vector<std::string> common;
    std::set_intersection(before.begin(),
                          before.end(),
                          after.begin(),
                          after.end(),
                          std::back_inserter(common));
    CPPUNIT_ASSERT(common.size() >= kFollowers - 10);
  }

  // Guards against a cell that small instances lead because no large one
  // follows it.
  void LetsLargeInstancesLead()
  {
    auto instances = MakeInstances(97);
    const InstanceEntry large = MakeEntry(90, 0.5);
    instances[large.mName] = large;
    CPPUNIT_ASSERT_EQUAL(large.mName,
                         RankFollowers(MakeMap(), 0, instances).front());
  }

  // Guards against callers that wait for instances behind a cut although there
  // are followers in their own failure domain.
  void AsksTheOwnFailureDomainFirst()
  {
    FollowerTable table;
    table.Set(
      "instance0", "d0", { { MakeEntry(1), MakeEntry(3), MakeEntry(2) } });
    const auto followers = table.FollowersOf(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, followers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("instance3:1"), followers.front());
    CPPUNIT_ASSERT(table.FollowersOf(1).empty());
    CPPUNIT_ASSERT(table.FollowersOf(-1).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogBudgetTest);

} // namespace skylarkhill::node
