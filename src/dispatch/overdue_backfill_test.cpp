#include "skylarkhill/base/msgpack.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "fake_site_test.hpp"

namespace skylarkhill::dispatch {

using std::chrono::milliseconds;

namespace {

constexpr int kWorkers = 2;
constexpr int kLateJobs = 8;
/// A late job without a run gets one within this time: 2 s until it may take a
/// worker of its own, 8 s until it may share one, and 0.6 s between two starts
/// on a worker.
constexpr milliseconds kMaxWait{ 8000 + 600 * kLateJobs / kWorkers };
/// Saturation that a backfill task of these tests adds to a service at full
/// pace.
constexpr double kInterference = 0.25;
/// What the services leave below the limit of placement, with the rounding of
/// paces.
constexpr double kLeft = 0.13;

jobs::JobEntry
MakeJobOf(const std::string& aId, const std::string& aImage, bool aIsService)
{
  jobs::JobEntry job = MakeJob(aId, { 3 }, 2000);
  jobs::Step& step = job.mSubmission->mRequest.mSteps.front();
  step.mImage = aImage;
  step.mIsService = aIsService;
  step.mIsBackfill = !aIsService;
  step.mTailTargetMs = aIsService ? 50 : 0;
  return job;
}

} // namespace

/// The load that remains when workers are lost: more late jobs of backfill than
/// workers, on workers whose services the backfill disturbs.
class OverdueBackfillTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OverdueBackfillTest);
  CPPUNIT_TEST(BoundsTheWaitOfMoreLateJobsThanWorkers);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against late jobs that wait without a bound while most of the room
  // is free (LOST), and against services that pay for their starts (HARM).
  void BoundsTheWaitOfMoreLateJobsThanWorkers()
  {
    FakeSite site;
    site.mRunTime = [](const TaskId&) { return std::chrono::minutes(10); };
    for (int n = 0; n < kWorkers; ++n) {
      site.AddWorker("w" + std::to_string(n)).mReportedTailLatencyOrUse = 25;
    }
    auto& leader = site.AddLeader(1);
    // Precise, so that the constant reports hardly change it.
    leader.GetDispatcher().ImportModel(base::PackMsgpack(
      std::vector<std::tuple<std::string, std::string, double, double>>{
        { "service", "backfill", 8.0 * kInterference, 1e-9 } }));
    for (int n = 0; n < kWorkers; ++n) {
      jobs::JobEntry service =
        MakeJobOf("s" + std::to_string(n), "service", true);
      service.mSubmission->mRequest.mSteps.front().mCount = kWorkers;
      service.mSubmission->mRequest.mSteps.front().mMaxPerWorker = 1;
      leader.GetDispatcher().AddJob(service, false, site.Now());
    }
    site.Advance(milliseconds(2000));
    for (int n = 0; n < kLateJobs; ++n) {
      jobs::JobEntry late =
        MakeJobOf("b" + std::to_string(n), "backfill", false);
      late.mSubmission->mAcceptedMs -= 60'000;
      leader.GetDispatcher().AddJob(late, false, site.Now());
    }
    site.Advance(kMaxWait);
    std::set<std::string> running;
    std::map<std::string, double> interference;
    for (int n = 0; n < kWorkers; ++n) {
      const std::string id = "w" + std::to_string(n);
      for (const auto& it : site.Worker(id).mRuns) {
        if (it.mTask.mJobId.front() == 'b') {
          running.insert(it.mTask.mJobId);
          interference[id] += kInterference * PaceOf(leader, it.mTask) / 100.0;
        }
      }
      CPPUNIT_ASSERT(interference[id] <= kLeft);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kLateJobs }, running.size());
  }

private:
  /// The last pace that the leader has set; full pace if none.
  static int PaceOf(const FakeSite::Leader& aLeader, const TaskId& aTask)
  {
    int pace = 100;
    for (const auto& it : aLeader.mPaces) {
      pace = it.mTask == aTask ? it.mPacePercent : pace;
    }
    return pace;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverdueBackfillTest);

} // namespace skylarkhill::dispatch
