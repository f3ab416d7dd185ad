#include "skylarkhill/base/msgpack.hpp"
#include "skylarkhill/jobs/job_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "cell_instance_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kStep{ 10 };
constexpr int kInstances = 8;
constexpr int kChanges = 5;
/// Small instances, which claim late if nobody names them.
constexpr double kProcessors = 0.12;
/// Time from a resignation to the starts of the successor.
constexpr milliseconds kMaxChangeTime{ 200 };
constexpr milliseconds kTermTime{ 700 };
/// Large instances of sites with two sizes.
constexpr double kOtherProcessors = 0.25;
constexpr int kRolledSites = 10;
/// Times of a restart of all instances in turn: between two stops, and from a
/// stop to the start of the same instance.
constexpr milliseconds kStopInterval{ 500 };
constexpr milliseconds kRestartTime{ 1500 };

} // namespace

/// Planned changes of the leader on a site whose instances know each other.
class SuccessorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SuccessorTest);
  CPPUNIT_TEST(StartsTasksSoonAfterEachOfFiveChanges);
  CPPUNIT_TEST(StartsTasksSoonAfterALeaderThatResignsAtOnce);
  CPPUNIT_TEST(ReplacesALeaderWhoseFirstSuccessorIsDead);
  CPPUNIT_TEST(NamesNoInstanceThatStopsWithoutLeading);
  CPPUNIT_TEST(LoadsTheWorkersBeforeItIsNamed);
  CPPUNIT_TEST(LeadsNoCellThatIsCreatedAfterTheResignation);
  CPPUNIT_TEST(RanksInstancesThatLeadNothingFirst);
  CPPUNIT_TEST(RanksRestartedInstancesFirst);
  CPPUNIT_TEST(TellsWhichInstancesHaveRestarted);
  CPPUNIT_TEST(TellsNoRestartsByWrongClocks);
  CPPUNIT_TEST(ReadsInstanceEntriesOfOtherVersions);
  CPPUNIT_TEST(ChangesTheLeaderOnceAfterTheFirstRestart);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    for (const char* it : { "d0w0", "d0w1" }) {
      Store("workers", it, "1");
    }
    // Instances are ready once they have read a configuration.
    Store("configuration", "routes", "1");
  }

  // Leaders get SIGTERM in series, and stay away. Guards against tasks that
  // wait for hundreds of milliseconds at each change (LOST).
  void StartsTasksSoonAfterEachOfFiveChanges()
  {
    StartSite();
    for (int n = 0; n < kChanges; ++n) {
      AssertStartsAfterResignation("a" + std::to_string(n));
      Advance(kTermTime);
    }
  }

  // A leader gets SIGTERM right after its claim. Guards against a next change
  // that takes longer because that leader names nobody (LOST).
  void StartsTasksSoonAfterALeaderThatResignsAtOnce()
  {
    StartSite();
    StopLeader();
    AdvanceToClaim();
    AssertStartsAfterResignation("a");
  }

  // The instance that would lead next has just been killed. Guards against a
  // change that waits for it as long as for a leader that is silent (LOST).
  void ReplacesALeaderWhoseFirstSuccessorIsDead()
  {
    const std::string next = NextLeader();
    StartSite();
    CPPUNIT_ASSERT(next != Leader().mName);
    Remove(next);
    StopLeader();
    const base::TimePoint stoppedAt = mClock.Now();
    AdvanceToClaim();
    CPPUNIT_ASSERT(mClock.Now() - stoppedAt <= kMaxChangeTime);
  }

  // Instances stop two at a time, the leader among them each time. Guards
  // against changes that wait for instances that stopped without leading.
  void NamesNoInstanceThatStopsWithoutLeading()
  {
    StartSite();
    for (int n = 0; n < 3; ++n) {
      const std::string other = mInstances.front()->mName != Leader().mName
                                  ? mInstances.front()->mName
                                  : mInstances.back()->mName;
      Stop(other);
      AssertStartsAfterResignation("a" + std::to_string(n));
      Advance(kTermTime);
    }
  }

  // Guards against a change that waits until a small instance has loaded the
  // list of workers (LOST).
  void LoadsTheWorkersBeforeItIsNamed()
  {
    StartSite();
    for (auto& it : mInstances) {
      it->mInstance->mLog.mNewestReadCounts.clear();
    }
    StopLeader();
    AdvanceToClaim();
    Advance(seconds(2));
    const std::string leader = Leader().mName;
    const auto prepared = std::count_if(
      mInstances.begin(), mInstances.end(), [&](const auto& aEntry) {
        return aEntry->mName != leader &&
               aEntry->mInstance->mLog.mNewestReadCounts["workers"] > 0;
      });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 3 }, prepared);
  }

  // An instance gets SIGTERM before the division of the site is known. Guards
  // against a leader that stops while the others take it for alive (LOST).
  void LeadsNoCellThatIsCreatedAfterTheResignation()
  {
    Start("stopping");
    mInstances.front()->mInstance->mNode.Resign();
    Advance(seconds(15));
    CPPUNIT_ASSERT(!mState.mStreams["cells"].empty());
    CPPUNIT_ASSERT(mState.mStreams["leaders"].empty());
  }

  // Guards against one instance that leads all cells, and against small
  // leaders, or leaders behind a cut, although there are better ones.
  void RanksInstancesThatLeadNothingFirst()
  {
    const auto make = [](const char* aId, double aProcessors) {
      return InstanceEntry{ aId, "d", "", aProcessors, aId };
    };
    const auto ranked = RankSuccessors({ { make("leads", 0.5), true, 1 },
                                         { make("far", 0.5), false, 0 },
                                         { make("small1", 0.12), true, 0 },
                                         { make("small2", 0.12), true, 0 },
                                         { make("large", 0.5), true, 0 } });
    const std::vector<std::string> expected{ "large", "small1", "small2" };
    CPPUNIT_ASSERT(ranked == expected);
    CPPUNIT_ASSERT(RankSuccessors({}).empty());
  }

  // Guards against a successor that is stopped next (LOST).
  void RanksRestartedInstancesFirst()
  {
    const auto make = [](const char* aId, double aProcessors) {
      return InstanceEntry{ aId, "d", "", aProcessors, aId };
    };
    const auto ranked =
      RankSuccessors({ { make("old", 0.5), true, 0, false },
                       { make("leads", 0.5), true, 1, true },
                       { make("far", 0.5), false, 0, true },
                       { make("small", 0.12), true, 0, true } });
    const std::vector<std::string> expected{ "small", "far", "old" };
    CPPUNIT_ASSERT(ranked == expected);
  }

  // Guards against a leader without a history that takes an instance which is
  // still to be stopped for one that has restarted, or the reverse (LOST).
  void TellsWhichInstancesHaveRestarted()
  {
    const Names none;
    const std::vector<std::int64_t> usual{ 100, 100, 100, 100 };
    CPPUNIT_ASSERT(Restarted(usual, 200) == none);
    // A series in which 0 and 2 have restarted so far.
    const std::vector<std::int64_t> series{ 200, 100, 208, 100 };
    const Names both{ "0", "2" };
    CPPUNIT_ASSERT(Restarted(series, 209) == both);
    CPPUNIT_ASSERT(Restarted(series, 218) == both);
    // The series is over.
    CPPUNIT_ASSERT(Restarted(series, 219) == none);
    // A restart long before does not belong to it.
    const Names last{ "2" };
    CPPUNIT_ASSERT(Restarted({ 190, 100, 208, 100 }, 209) == last);
    CPPUNIT_ASSERT(Restarted({ 0, 0, 208, 0 }, 209) == last);
    const Names all{ "0", "1", "2", "3" };
    CPPUNIT_ASSERT(Restarted(usual, 101) == all);
    CPPUNIT_ASSERT(RestartedInSeries({}, 1).empty());
  }

  // Guards against one instance that counts as restarted for as long as its
  // clock was ahead at its start.
  void TellsNoRestartsByWrongClocks()
  {
    const Names none;
    const Names first{ "0" };
    CPPUNIT_ASSERT(Restarted({ 205, 100 }, 200) == first);
    CPPUNIT_ASSERT(Restarted({ 211, 100 }, 200) == none);
    CPPUNIT_ASSERT(Restarted({ 5000, 100 }, 200) == none);
    InstanceEntry entry;
    for (const std::int64_t it : { std::numeric_limits<std::int64_t>::min(),
                                   std::numeric_limits<std::int64_t>::max() }) {
      entry.mStartedMs = it;
      CPPUNIT_ASSERT(RestartedInSeries({ { "0", entry } }, 200'000) == none);
    }
  }

  // Guards against instances of two versions that do not know each other.
  void ReadsInstanceEntriesOfOtherVersions()
  {
    using OldFields = std::tuple<std::string, std::string, std::string, double>;
    const auto old =
      DecodeInstanceEntry(base::PackMsgpack(OldFields{ "a", "d", "a:1", 0.5 }));
    CPPUNIT_ASSERT(old);
    CPPUNIT_ASSERT(old.value().mInstanceId.empty());
    const std::string bytes =
      EncodeInstanceEntry({ "a", "d", "a:1", 0.5, "a/1" });
    CPPUNIT_ASSERT(base::UnpackMsgpack<OldFields>(bytes));
    CPPUNIT_ASSERT_EQUAL(std::string("a/1"),
                         DecodeInstanceEntry(bytes).value().mInstanceId);
    using FormerFields =
      std::tuple<std::string, std::string, std::string, double, std::string>;
    const auto former = DecodeInstanceEntry(
      base::PackMsgpack(FormerFields{ "a", "d", "a:1", 0.5, "a/1" }));
    CPPUNIT_ASSERT(former);
    CPPUNIT_ASSERT_EQUAL(std::string("a/1"), former.value().mInstanceId);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, former.value().mStartedMs);
    const std::string newest =
      EncodeInstanceEntry({ "a", "d", "a:1", 0.5, "a/1", 17 });
    const auto fields = base::UnpackMsgpack<FormerFields>(newest);
    CPPUNIT_ASSERT(fields);
    CPPUNIT_ASSERT_EQUAL(std::string("a/1"), std::get<4>(fields.value()));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 17 },
                         DecodeInstanceEntry(newest).value().mStartedMs);
  }

  // All instances get SIGTERM in turn, the larger ones last, and start again.
  // Guards against successors that are stopped next although others have
  // restarted (LOST).
  void ChangesTheLeaderOnceAfterTheFirstRestart()
  {
    for (int site = 0; site < kRolledSites; ++site) {
      const std::string prefix = "site" + std::to_string(site) + "-";
      StartSite(prefix, kOtherProcessors);
      const std::vector<std::string> leaders = RestartAll();
      // The leader stops first, and its successor after the smaller ones.
      CPPUNIT_ASSERT_EQUAL_MESSAGE(prefix, std::size_t{ 3 }, leaders.size());
    }
  }

private:
  using Names = std::set<std::string>;

  struct NamedInstance
  {
    std::string mName;
    std::unique_ptr<CellInstance> mInstance;
    double mProcessors = 0.0;
  };

  /// RestartedInSeries for instances that are called by their index. Times in
  /// seconds.
  static Names Restarted(const std::vector<std::int64_t>& aStarts,
                         std::int64_t aNow)
  {
    std::map<std::string, InstanceEntry> instances;
    for (std::size_t n = 0; n < aStarts.size(); ++n) {
      instances[std::to_string(n)].mStartedMs = aStarts[n] * 1000;
    }
    return RestartedInSeries(instances, aNow * 1000);
  }

  void Start(const std::string& aName, double aProcessors = kProcessors)
  {
    NodeOptions options =
      MakeCellOptions(aName + "/" + std::to_string(++mStartCounts[aName]), 0);
    options.mName = aName;
    options.mQueryAddress = aName + ":1";
    options.mProcessors = aProcessors;
    options.mStreams.mInstances.mTopic = "instances";
    mInstances.push_back(std::make_unique<NamedInstance>());
    mInstances.back()->mName = aName;
    mInstances.back()->mProcessors = aProcessors;
    mInstances.back()->mInstance =
      std::make_unique<CellInstance>(mState, mWorkers, mClock, options);
  }

  /// All instances know each other, and one leads. Every other instance has
  /// `aOtherProcessors`.
  void StartSite(const std::string& aPrefix = "node",
                 double aOtherProcessors = kProcessors)
  {
    mState = {};
    mWorkers.clear();
    mInstances.clear();
    mStartCounts.clear();
    setUp();
    for (int n = 0; n < kInstances; ++n) {
      Start(aPrefix + std::to_string(n),
            n % 2 == 0 ? kProcessors : aOtherProcessors);
    }
    Advance(seconds(20));
  }

  /// Stops all instances in turn, the leader first and then the smaller ones;
  /// each starts again. Returns who has led, in order.
  std::vector<std::string> RestartAll()
  {
    std::vector<std::string> leaders{ Leader().mName };
    std::vector<std::tuple<bool, double, std::string>> order;
    for (const auto& it : mInstances) {
      order.emplace_back(
        it->mName != leaders.front(), it->mProcessors, it->mName);
    }
    std::sort(order.begin(), order.end());
    const base::TimePoint start = mClock.Now();
    const base::TimePoint end =
      start + kStopInterval * kInstances + kRestartTime + seconds(2);
    std::size_t stopped = 0;
    std::size_t restarted = 0;
    while (mClock.Now() < end) {
      const auto n = static_cast<std::int64_t>(stopped);
      if (stopped < order.size() && mClock.Now() >= start + n * kStopInterval) {
        Find(std::get<2>(order[stopped++])).mInstance->mNode.Resign();
      }
      const auto m = static_cast<std::int64_t>(restarted);
      if (restarted < order.size() &&
          mClock.Now() >= start + m * kStopInterval + kRestartTime) {
        const auto& [isOther, processors, name] = order[restarted++];
        Remove(name);
        Start(name, processors);
      }
      Advance(kStep);
      if (HasLeader() && Leader().mName != leaders.back()) {
        leaders.push_back(Leader().mName);
      }
    }
    return leaders;
  }

  /// Who leads after the first leader of a site without faults.
  std::string NextLeader()
  {
    StartSite();
    StopLeader();
    AdvanceToClaim();
    return Leader().mName;
  }

  NamedInstance& Leader()
  {
    const auto found = std::find_if(
      mInstances.begin(), mInstances.end(), [](const auto& aEntry) {
        return !aEntry->mInstance->mNode.LedCells().empty();
      });
    CPPUNIT_ASSERT(found != mInstances.end());
    return **found;
  }

  NamedInstance& Find(const std::string& aName)
  {
    const auto found =
      std::find_if(mInstances.begin(),
                   mInstances.end(),
                   [&](const auto& aEntry) { return aEntry->mName == aName; });
    CPPUNIT_ASSERT(found != mInstances.end());
    return **found;
  }

  bool HasLeader() const
  {
    return std::any_of(
      mInstances.begin(), mInstances.end(), [](const auto& aEntry) {
        return !aEntry->mInstance->mNode.LedCells().empty();
      });
  }

  /// The leader resigns and ends once the resignation is stored.
  void StopLeader()
  {
    NamedInstance& leader = Leader();
    leader.mInstance->mNode.Resign();
    while (!leader.mInstance->mNode.LedCells().empty()) {
      Advance(kStep);
    }
    const std::string name = leader.mName;
    Remove(name);
  }

  /// The instance, which leads nothing, stops as planned.
  void Stop(const std::string& aName)
  {
    for (auto& it : mInstances) {
      if (it->mName == aName) {
        it->mInstance->mNode.Resign();
      }
    }
    Advance(milliseconds(100));
    Remove(aName);
  }

  void AdvanceToClaim()
  {
    const base::TimePoint end = mClock.Now() + seconds(5);
    while (!HasLeader() && mClock.Now() < end) {
      Advance(kStep);
    }
    CPPUNIT_ASSERT(HasLeader());
  }

  void AssertStartsAfterResignation(const std::string& aJobId)
  {
    StopLeader();
    const base::TimePoint stoppedAt = mClock.Now();
    Submit(aJobId);
    Advance(kMaxChangeTime);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aJobId, 1, CountRuns(aJobId));
    CPPUNIT_ASSERT(mClock.Now() - stoppedAt <= kMaxChangeTime);
  }

  void Remove(const std::string& aName)
  {
    mInstances.erase(std::remove_if(mInstances.begin(),
                                    mInstances.end(),
                                    [&](const auto& aEntry) {
                                      return aEntry->mName == aName;
                                    }),
                     mInstances.end());
  }

  void Submit(const std::string& aJobId)
  {
    jobs::Step step;
    step.mIsService = true;
    step.mResources.mMilliProcessors = 100;
    jobs::JobRequest request;
    request.mSteps.push_back(step);
    CPPUNIT_ASSERT(mInstances.front()->mInstance->mNode.GetJobRouter().Submit(
      MakePolicy(), aJobId, request, mClock.Now() + milliseconds(400)));
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

  void Advance(base::Duration aTime)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(kStep);
      for (auto& it : mInstances) {
        it->mInstance->mNode.Tick();
        it->mInstance->mLog.Deliver();
        it->mInstance->mClients.Deliver();
      }
    }
  }

  void Store(const std::string& aTopic, std::string aKey, std::string aValue)
  {
    auto& records = mState.mStreams[aTopic];
    const auto offset = static_cast<std::int64_t>(records.size());
    records.push_back({ std::move(aKey), std::move(aValue), offset });
  }

  base::ManualClock mClock;
  FakeLogState mState;
  FakeWorkers mWorkers;
  std::vector<std::unique_ptr<NamedInstance>> mInstances;
  std::map<std::string, int> mStartCounts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuccessorTest);

} // namespace skylarkhill::node
