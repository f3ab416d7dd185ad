#include "skylarkhill/policy/interference.hpp"
#include "skylarkhill/policy/profiles.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::policy {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

class PolicyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PolicyTest);
  CPPUNIT_TEST(InterferenceModelSeparatesClassesAndDecays);
  CPPUNIT_TEST(PlacementNeverOvercommits);
  CPPUNIT_TEST(PlacementAvoidsAnAffectedService);
  CPPUNIT_TEST(ShortTasksGoBeforeLongOnes);
  CPPUNIT_TEST(TasksOverQuotaAreOmitted);
  CPPUNIT_TEST(ProtectionThrottlesTheInterferingTaskOnly);
  CPPUNIT_TEST(ProtectionThrottlesAllWithoutEstimates);
  CPPUNIT_TEST(ProtectionWaitsForTheReports);
  CPPUNIT_TEST(TaskAtItsEvictionLimitIsNotEvicted);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against attributing a slowdown to a class that was merely present,
  // and against estimates that do not decay without reports.
  void InterferenceModelSeparatesClassesAndDecays()
  {
    InterferenceModel model;
    for (int n = 0; n < 200; ++n) {
      model.Record({ {}, "s", { { "calm", 2 } }, 100, At(n) });
      model.Record({ {}, "s", { { "calm", 1 }, { "loud", 1 } }, 140, At(n) });
    }
    CPPUNIT_ASSERT(model.Estimate("s", "loud", At(200)) > 35.0);
    CPPUNIT_ASSERT(model.Estimate("s", "calm", At(200)) < 5.0);
    CPPUNIT_ASSERT(model.Estimate("other", "loud", At(200)) < 5.0);
    CPPUNIT_ASSERT(model.Estimate("s", "loud", At(0) + minutes(60)) < 5.0);
  }

  // Guards against a choice that overcommits a worker.
  void PlacementNeverOvercommits()
  {
    for (const auto profile :
         { Profile::Baseline, Profile::Throughput, Profile::Tail }) {
      const auto policy = CreatePlacementPolicy(profile);
      const std::vector<WorkerView> full{ MakeView("w0", "s", 999) };
      CPPUNIT_ASSERT(!policy->Choose(MakeDemand(), full));
      const std::vector<WorkerView> views{ full[0], MakeView("w1", "s", 1000) };
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           policy->Choose(MakeDemand(), views).value());
    }
  }

  // Guards against placing a class beside a service that it slows down.
  void PlacementAvoidsAnAffectedService()
  {
    for (const auto profile : { Profile::Throughput, Profile::Tail }) {
      const auto policy = CreatePlacementPolicy(profile);
      for (int n = 0; n < 100; ++n) {
        policy->RecordReport({ {}, "hit", { { "c", 1 } }, 130, At(n) });
        policy->RecordReport({ {}, "calm", { { "c", 1 } }, 100, At(n) });
      }
      const std::vector<WorkerView> views{ MakeView("w0", "hit", 8000),
                                           MakeView("w1", "calm", 8000) };
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                           policy->Choose(MakeDemand(), views).value());
    }
  }

  // Guards against short tasks that wait behind long ones with a declared run
  // time that is too short.
  void ShortTasksGoBeforeLongOnes()
  {
    const auto queue = CreateQueuePolicy(Profile::Throughput);
    queue->RecordRun("short", 5, true);
    queue->RecordRun("long", 4000, true);
    const std::vector<QueueCandidate> tasks{
      { { "a" }, "t", "long", {}, false, 1, 0, 1 },
      { { "b" }, "t", "short", {}, false, 2, 4000, 1 },
      { { "c" }, "t", "short", {}, false, 3, 0, 9999 },
      { { "d" }, "t", "long", {}, true, 4, 0, 1 }
    };
    const std::vector<std::size_t> expected{ 3, 2, 0, 1 };
    CPPUNIT_ASSERT(queue->Order(tasks, {}) == expected);
  }

  // Guards against a team that exceeds its quota in one scheduling round.
  void TasksOverQuotaAreOmitted()
  {
    const auto queue = CreateQueuePolicy(Profile::Tail);
    const base::Resources need{ 1000, 1, 0 };
    const std::vector<QueueCandidate> tasks{
      { { "a" }, "t", "c", need, false, 1, 0, 1 },
      { { "b" }, "t", "c", need, false, 2, 0, 1 }
    };
    const TeamUsageMap teams{ { "t", { { 1500, 10, 0 }, {}, 1 } } };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, queue->Order(tasks, teams).size());
  }

  // Guards against throttling tasks that do not interfere.
  void ProtectionThrottlesTheInterferingTaskOnly()
  {
    ProtectionInput pressure = MakeProtectionInput(230);
    pressure.mTasks[1].mInterferencePercent = 170.0;
    const auto policy = CreateProtectionPolicy(Profile::Tail);
    const auto actions = policy->Decide(pressure, At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, actions.size());
    CPPUNIT_ASSERT(actions[0].mTask == pressure.mTasks[1].mTask);
  }

  // Guards against an unprotected service while there are no estimates.
  void ProtectionThrottlesAllWithoutEstimates()
  {
    const auto policy = CreateProtectionPolicy(Profile::Tail);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 2 }, policy->Decide(MakeProtectionInput(230), At(0)).size());
  }

  // Guards against further actions before the delayed reports show the effect
  // of the first one.
  void ProtectionWaitsForTheReports()
  {
    const auto policy = CreateProtectionPolicy(Profile::Tail);
    policy->Decide(MakeProtectionInput(230), At(0));
    CPPUNIT_ASSERT(policy->Decide(MakeProtectionInput(230), At(1)).empty());
    CPPUNIT_ASSERT(!policy->Decide(MakeProtectionInput(230), At(3)).empty());
  }

  // Guards against a task that is evicted forever, and against evicting more
  // tasks than needed.
  void TaskAtItsEvictionLimitIsNotEvicted()
  {
    ProtectionInput pressure = MakeProtectionInput(300);
    for (auto& it : pressure.mTasks) {
      it.mThrottlePercent = 1;
    }
    pressure.mTasks[0].mEvictions = 3;
    pressure.mTasks[1].mSecondsSinceCheckpoint = 500;
    const auto policy = CreateProtectionPolicy(Profile::Tail);
    std::vector<ProtectionAction> actions;
    for (int n = 0; n < 100 && actions.empty(); n += 10) {
      actions = policy->Decide(pressure, At(n));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, actions.size());
    CPPUNIT_ASSERT(actions[0].mKind == ProtectionKind::Evict);
    CPPUNIT_ASSERT(actions[0].mTask == pressure.mTasks[1].mTask);
  }

private:
  static base::TimePoint At(int aSeconds)
  {
    return base::TimePoint(seconds(1000 + aSeconds));
  }

  static TaskDemand MakeDemand()
  {
    return { { "t" }, "c", { 1000, 1, 0 }, false };
  }

  static WorkerView MakeView(const char* aWorker,
                             const char* aService,
                             std::int64_t aFree)
  {
    WorkerView view;
    view.mWorker = { aWorker };
    view.mCapacity = { 16'000, 1000, 0 };
    view.mFree = { aFree, 1000, 0 };
    view.mServices = { aService };
    return view;
  }

  static ProtectionInput MakeProtectionInput(std::int64_t aSlowdown)
  {
    ProtectionInput pressure;
    pressure.mWorker = { "w" };
    pressure.mServiceTimePercent = aSlowdown;
    pressure.mToleratedPercent = 150;
    pressure.mTasks.resize(2);
    pressure.mTasks[0].mTask = { "t0" };
    pressure.mTasks[1].mTask = { "t1" };
    for (auto& it : pressure.mTasks) {
      it.mMaxEvictions = 3;
    }
    return pressure;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyTest);

} // namespace

} // namespace skylarkhill::policy
