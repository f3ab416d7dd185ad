#include "skylarkhill/base/random.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "fake_site_test.hpp"

namespace skylarkhill::dispatch {

using std::chrono::milliseconds;

namespace {

jobs::JobRecord
MakeService(const std::string& aId, int aCount, const std::string& aImage)
{
  jobs::JobRecord job = MakeJob(aId, { aCount }, 2000);
  jobs::Step& step = job.mSubmission->mRequest.mSteps.front();
  step.mIsService = true;
  step.mImage = aImage;
  step.mTailTargetMs = 50;
  return job;
}

jobs::JobRecord
MakeBackfill(const std::string& aId, int aCount, const std::string& aImage)
{
  jobs::JobRecord job = MakeJob(aId, { aCount }, 2000);
  jobs::Step& step = job.mSubmission->mRequest.mSteps.front();
  step.mIsBackfill = true;
  step.mSavesProgress = true;
  step.mImage = aImage;
  return job;
}

/// The job as a successor reads it from the journal.
jobs::JobRecord
Stored(const FakeSite::Leader& aLeader, jobs::JobRecord aJob)
{
  const auto found = aLeader.mStored.find(aJob.mSubmission->mId);
  if (found != aLeader.mStored.end()) {
    aJob.mProgress = found->second;
  }
  return aJob;
}

} // namespace

class DispatcherTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(runs_the_steps_of_a_job_in_order);
  CPPUNIT_TEST(releases_a_job_durably_before_its_first_start);
  CPPUNIT_TEST(acknowledges_success_only_when_it_is_durable);
  CPPUNIT_TEST(fails_a_job_at_its_limit_of_attempts);
  CPPUNIT_TEST(counts_failures_that_are_reported_out_of_order);
  CPPUNIT_TEST(starts_a_service_task_again_however_it_ends);
  CPPUNIT_TEST(stops_the_runs_of_a_cancelled_job);
  CPPUNIT_TEST(never_exceeds_the_capacity_of_a_worker);
  CPPUNIT_TEST(starts_elsewhere_when_the_lease_of_a_silent_worker_has_ended);
  CPPUNIT_TEST(starts_again_at_once_when_a_worker_was_restarted);
  CPPUNIT_TEST(waits_for_workers_that_have_not_answered_a_new_leader);
  CPPUNIT_TEST(keeps_an_adopted_run_for_a_whole_lease);
  CPPUNIT_TEST(gives_up_no_run_while_its_leadership_is_not_confirmed);
  CPPUNIT_TEST(stops_when_a_worker_has_seen_a_successor);
  CPPUNIT_TEST(starts_new_jobs_of_a_successor_without_waiting);
  CPPUNIT_TEST(puts_jobs_that_are_late_behind_those_that_can_be_in_time);
  CPPUNIT_TEST(leaves_a_draining_worker);
  CPPUNIT_TEST(stops_backfill_before_the_bound_of_harm);
  CPPUNIT_TEST(runs_no_task_twice_under_random_cuts_and_takeovers);
  CPPUNIT_TEST_SUITE_END();

public:
  void runs_the_steps_of_a_job_in_order()
  {
    FakeSite site;
    site.AddWorker("w1");
    site.AddWorker("w2");
    auto& leader = site.AddLeader(1);
    leader.Get().AddJob(MakeJob("a", { 4, 2 }), false, site.Now());
    site.Advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, leader.mStarts.size());
    site.Advance(milliseconds(800));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, leader.mStarts.size());
    CPPUNIT_ASSERT_EQUAL(1, leader.mStarts.back().mTask.mStep);
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Completed);
  }

  // Guards against starts that a successor does not know to look for.
  void releases_a_job_durably_before_its_first_start()
  {
    FakeSite site;
    site.AddWorker("w1");
    auto& leader = site.AddLeader(1);
    leader.mCanStore = false;
    leader.Get().AddJob(MakeJob("a", { 1 }), false, site.Now());
    site.Advance(milliseconds(300));
    CPPUNIT_ASSERT(leader.mStarts.empty());
    leader.mCanStore = true;
    site.Advance(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, leader.mStarts.size());
    CPPUNIT_ASSERT(leader.mStored.at("a").mIsReleased);
  }

  // Guards against a success that is forgotten by the worker and lost with the
  // leader.
  void acknowledges_success_only_when_it_is_durable()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    auto& leader = site.AddLeader(1);
    leader.Get().AddJob(MakeJob("a", { 1 }), false, site.Now());
    site.Advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, worker.mRuns.size());
    leader.mCanStore = false;
    site.Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, worker.mEnds.size());
    leader.mCanStore = true;
    site.Advance(milliseconds(500));
    CPPUNIT_ASSERT(worker.mEnds.empty());
  }

  void fails_a_job_at_its_limit_of_attempts()
  {
    FakeSite site;
    site.AddWorker("w1");
    site.AddWorker("w2");
    site.mFails = [](const TaskId&, int) { return true; };
    auto& leader = site.AddLeader(1);
    leader.Get().AddJob(MakeJob("a", { 1 }), false, site.Now());
    site.Advance(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(3, site.mStartCounts.at("a.0.0.0"));
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Failed);
  }

  // Guards against a start beyond the limit: a new leader hears of the third
  // failure before the first two.
  void counts_failures_that_are_reported_out_of_order()
  {
    FakeSite site;
    const TaskId task{ "a", 0, 0, 0 };
    int number = 3;
    for (const char* id : { "w1", "w2", "w3" }) {
      FakeWorker& worker = site.AddWorker(id);
      worker.mEnds.push_back({ 1, task, number, RunEnd::Failed, "" });
      worker.mHighestEnded[ToText(task)] = number--;
    }
    auto& leader = site.AddLeader(2, site.Now() + std::chrono::seconds(12));
    jobs::JobRecord job = MakeJob("a", { 1 });
    job.mProgress.mIsReleased = true;
    leader.Get().AddJob(job, true, site.Now());
    site.Advance(milliseconds(2000));
    CPPUNIT_ASSERT(leader.mStarts.empty());
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Failed);
  }

  void starts_a_service_task_again_however_it_ends()
  {
    FakeSite site;
    site.AddWorker("w1");
    site.mFails = [](const TaskId&, int) { return true; };
    auto& leader = site.AddLeader(1);
    leader.Get().AddJob(MakeService("a", 1, "x"), false, site.Now());
    site.Advance(milliseconds(4000));
    CPPUNIT_ASSERT(site.mStartCounts.at("a.0.0.0") >= 6);
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Running);
  }

  void stops_the_runs_of_a_cancelled_job()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    site.mRunTime = [](const TaskId&) { return milliseconds(60000); };
    auto& leader = site.AddLeader(1);
    leader.Get().AddJob(MakeJob("a", { 3 }), false, site.Now());
    site.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, worker.mRuns.size());
    leader.Get().CancelJob("a", site.Now());
    site.Advance(milliseconds(300));
    CPPUNIT_ASSERT(worker.mRuns.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, leader.mStarts.size());
  }

  void never_exceeds_the_capacity_of_a_worker()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1", 4000);
    auto& leader = site.AddLeader(1);
    leader.Get().AddJob(MakeJob("a", { 10 }, 1500), false, site.Now());
    for (int n = 0; n < 600; ++n) {
      site.Advance(milliseconds(5));
      CPPUNIT_ASSERT(worker.mRuns.size() <= 2);
    }
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Completed);
  }

  // Guards against polls that keep extending the lease of a worker that does
  // not answer, so that its tasks never run again.
  void starts_elsewhere_when_the_lease_of_a_silent_worker_has_ended()
  {
    FakeSite site;
    FakeWorker& silent = site.AddWorker("w1", 4000);
    site.mRunTime = [](const TaskId&) { return milliseconds(60000); };
    auto& leader = site.AddLeader(1);
    leader.Get().AddJob(MakeService("a", 1, "x"), false, site.Now());
    site.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, silent.mRuns.size());
    leader.Get().SetWorker(site.AddWorker("w2", 4000).Entry(), site.Now());
    leader.mCutOff.insert("w1");
    site.Advance(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(1, site.mStartCounts.at("a.0.0.0"));
    site.Advance(milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(2, site.mStartCounts.at("a.0.0.0"));
    CPPUNIT_ASSERT(site.mViolations.empty());
  }

  void starts_again_at_once_when_a_worker_was_restarted()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    site.mRunTime = [](const TaskId&) { return milliseconds(60000); };
    auto& leader = site.AddLeader(1);
    leader.Get().AddJob(MakeService("a", 1, "x"), false, site.Now());
    site.Advance(milliseconds(300));
    worker.Restart();
    site.Advance(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(2, site.mStartCounts.at("a.0.0.0"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, worker.mRuns.size());
  }

  // Guards against a second run of a task whose worker has not answered the
  // new leader, also when the registry lists that worker no longer.
  void waits_for_workers_that_have_not_answered_a_new_leader()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    site.mRunTime = [](const TaskId&) { return milliseconds(60000); };
    auto& first = site.AddLeader(1);
    const jobs::JobRecord job = MakeService("a", 1, "x");
    first.Get().AddJob(job, false, site.Now());
    site.Advance(milliseconds(300));
    const jobs::JobRecord stored = Stored(first, job);
    site.Kill(first);
    site.AddWorker("w2", 4000);
    auto& second = site.AddLeader(2, site.Now() + std::chrono::seconds(12));
    second.mCutOff.insert("w1");
    second.Get().RemoveWorker("w1", site.Now());
    second.Get().AddJob(stored, true, site.Now());
    site.Advance(milliseconds(5500));
    CPPUNIT_ASSERT(second.mStarts.empty());
    site.Advance(milliseconds(7500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, second.mStarts.size());
    CPPUNIT_ASSERT(site.mViolations.empty());
  }

  // Guards against a run that is given up because its worker falls silent
  // after its first report, while the lease of the earlier leader goes on.
  void keeps_an_adopted_run_for_a_whole_lease()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    site.mRunTime = [](const TaskId&) { return milliseconds(60000); };
    auto& first = site.AddLeader(1);
    const jobs::JobRecord job = MakeService("a", 1, "x");
    first.Get().AddJob(job, false, site.Now());
    site.Advance(milliseconds(300));
    const jobs::JobRecord stored = Stored(first, job);
    site.Kill(first);
    site.AddWorker("w2", 4000);
    auto& second = site.AddLeader(2, site.Now() + std::chrono::seconds(12));
    second.Get().AddJob(stored, true, site.Now());
    site.Advance(milliseconds(5));
    second.mCutOff.insert("w1");
    site.Advance(milliseconds(10000));
    CPPUNIT_ASSERT(site.mViolations.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, second.mStarts.size());
  }

  // Guards against a leader that is cut off and starts tasks of workers that
  // its successor has taken over.
  void gives_up_no_run_while_its_leadership_is_not_confirmed()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    site.mRunTime = [](const TaskId&) { return milliseconds(60000); };
    auto& first = site.AddLeader(1);
    const jobs::JobRecord job = MakeService("a", 1, "x");
    first.Get().AddJob(job, false, site.Now());
    site.Advance(milliseconds(300));
    site.AddWorker("w2", 4000);
    first.Get().SetWorker(site.Worker("w2").Entry(), site.Now());
    site.Advance(milliseconds(100));
    first.mCutOff.insert("w1");
    first.mIsConfirmed = false;
    auto& second = site.AddLeader(2, site.Now() + std::chrono::seconds(12));
    second.mCutOff.insert("w2");
    second.Get().AddJob(Stored(first, job), true, site.Now());
    site.Advance(milliseconds(11000));
    CPPUNIT_ASSERT(site.mViolations.empty());
    CPPUNIT_ASSERT_EQUAL(1, site.mStartCounts.at("a.0.0.0"));
  }

  void stops_when_a_worker_has_seen_a_successor()
  {
    FakeSite site;
    site.AddWorker("w1");
    auto& first = site.AddLeader(1);
    site.Advance(milliseconds(100));
    site.AddLeader(2);
    site.Advance(milliseconds(100));
    CPPUNIT_ASSERT(first.Get().IsFenced());
    first.Get().AddJob(MakeJob("a", { 1 }), false, site.Now());
    site.Advance(milliseconds(200));
    CPPUNIT_ASSERT(first.mStarts.empty());
  }

  // Guards against jobs that wait for a silent worker which cannot have them.
  void starts_new_jobs_of_a_successor_without_waiting()
  {
    FakeSite site;
    site.AddWorker("w1");
    site.AddWorker("w2");
    auto& leader = site.AddLeader(2, site.Now() + std::chrono::seconds(12));
    leader.mCutOff.insert("w1");
    leader.Get().AddJob(MakeJob("a", { 1 }), true, site.Now());
    site.Advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, leader.mStarts.size());
  }

  // Load pattern: a burst that cannot be served whole. Guards against all jobs
  // becoming late because the oldest come first.
  void puts_jobs_that_are_late_behind_those_that_can_be_in_time()
  {
    FakeSite site;
    site.AddWorker("w1", 1000);
    site.mRunTime = [](const TaskId&) { return milliseconds(800); };
    auto& leader = site.AddLeader(1);
    jobs::JobRecord late = MakeJob("late", { 1 });
    late.mSubmission->mAcceptedMs = base::ToMicros(site.Now()) / 1000 - 1500;
    jobs::JobRecord fresh = MakeJob("fresh", { 1 });
    fresh.mSubmission->mAcceptedMs = base::ToMicros(site.Now()) / 1000;
    leader.Get().AddJob(late, false, site.Now());
    leader.Get().AddJob(fresh, false, site.Now());
    site.Advance(milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(std::string("fresh"),
                         leader.mStarts.front().mTask.mJobId);
    CPPUNIT_ASSERT(leader.mStored.at("late").mState ==
                   jobs::JobState::Completed);
  }

  void leaves_a_draining_worker()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    site.mRunTime = [](const TaskId&) { return milliseconds(60000); };
    auto& leader = site.AddLeader(1);
    jobs::JobRecord job = MakeService("a", 3, "x");
    job.mSubmission->mRequest.mSteps.front().mMaxUnavailable = 1;
    leader.Get().AddJob(job, false, site.Now());
    site.Advance(milliseconds(300));
    FakeWorker& other = site.AddWorker("w2");
    leader.Get().SetWorker(other.Entry(), site.Now());
    worker.mIsDraining = true;
    WorkerEntry entry = worker.Entry();
    entry.mRemainingMs = 4000;
    leader.Get().SetWorker(entry, site.Now());
    site.Advance(milliseconds(4000));
    CPPUNIT_ASSERT(worker.mRuns.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, other.mRuns.size());
    CPPUNIT_ASSERT(site.mViolations.empty());
  }

  // Load pattern: backfill beside services whose tails exceed their target.
  void stops_backfill_before_the_bound_of_harm()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    site.mRunTime = [](const TaskId&) { return milliseconds(60000); };
    auto& leader = site.AddLeader(1);
    leader.Get().AddJob(MakeService("s", 1, "x"), false, site.Now());
    leader.Get().AddJob(MakeBackfill("b", 2, "y"), false, site.Now());
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, worker.mRuns.size());
    worker.mTailMs = 80;
    site.Advance(milliseconds(2500));
    CPPUNIT_ASSERT(!leader.mPaces.empty());
    CPPUNIT_ASSERT(std::any_of(
      leader.mPaces.begin(), leader.mPaces.end(), [](const auto& it) {
        return it.mPercent == 0;
      }));
  }

  void runs_no_task_twice_under_random_cuts_and_takeovers()
  {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      PlayRandomDay(seed);
    }
  }

private:
  static void PlayRandomDay(std::uint64_t aSeed)
  {
    FakeSite site;
    const auto random = base::CreateSeededRandom(aSeed);
    for (int n = 0; n < 6; ++n) {
      site.AddWorker("w" + std::to_string(n), 6000);
    }
    site.mRunTime = [&](const TaskId&) {
      return milliseconds(200 + random->Below(3000));
    };
    site.mFails = [&](const TaskId&, int) { return random->Below(20) == 0; };
    std::vector<jobs::JobRecord> submitted;
    std::map<std::string, jobs::JobProgress> stored;
    std::int64_t epoch = 0;
    FakeSite::Leader* old = nullptr;
    FakeSite::Leader* leader = nullptr;
    for (int n = 0; n < 12; ++n) {
      // The earlier leader goes on, cut off from the log, or is gone.
      if (leader != nullptr) {
        stored = leader->mStored;
        if (old != nullptr) {
          site.Kill(*old);
        }
        old = leader;
        old->mIsConfirmed = false;
        old->mCanStore = false;
      }
      std::set<std::string> cutOff;
      for (int w = 0; w < 6; ++w) {
        const std::string id = "w" + std::to_string(w);
        if (random->Below(3) == 0) {
          cutOff.insert(id);
        } else if (old != nullptr && random->Below(2) == 0) {
          old->mCutOff.insert(id);
        }
      }
      leader = &site.AddLeader(++epoch, site.Now() + std::chrono::seconds(12));
      leader->mCutOff = cutOff;
      leader->mStored = stored;
      for (auto job : submitted) {
        const auto found = stored.find(job.mSubmission->mId);
        if (found != stored.end()) {
          job.mProgress = found->second;
        }
        leader->Get().AddJob(job, true, site.Now());
      }
      for (int k = 0; k < 4; ++k) {
        submitted.push_back(
          MakeJob("j" + std::to_string(submitted.size()), { 3, 2 }));
        leader->Get().AddJob(submitted.back(), false, site.Now());
      }
      site.Advance(milliseconds(500 + random->Below(4000)));
      leader->mCutOff.clear();
      site.Advance(milliseconds(random->Below(4000)));
    }
    CPPUNIT_ASSERT_MESSAGE(
      "seed " + std::to_string(aSeed) + ": " +
        (site.mViolations.empty() ? std::string() : site.mViolations.front()),
      site.mViolations.empty());
    site.Advance(milliseconds(30000));
    for (const auto& it : submitted) {
      CPPUNIT_ASSERT_MESSAGE(
        "seed " + std::to_string(aSeed) + ": " + it.mSubmission->mId,
        jobs::IsFinal(leader->mStored[it.mSubmission->mId].mState));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

} // namespace skylarkhill::dispatch
