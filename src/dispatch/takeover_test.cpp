#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "fake_site_test.hpp"

namespace skylarkhill::dispatch {

using std::chrono::milliseconds;

namespace {

/// Longest lease that a leader asks for, with its margins.
constexpr milliseconds kLongestLease{ 6600 };

/// Time from the last confirmed record of a leader to the claim of another one.
constexpr milliseconds kTimeUntilClaim{ 2300 };

/// Knows the jobs of the names.
class FakeDirectory : public JobDirectory
{
public:
  explicit FakeDirectory(std::set<std::string> aJobs)
    : mJobs(std::move(aJobs))
  {
  }

  bool MayHaveRun(const std::string& aJobId) const override
  {
    return mJobs.count(aJobId) != 0;
  }

private:
  std::set<std::string> mJobs;
};

Term
MakeTerm(std::int64_t aEpoch, const JobDirectory& aJobs)
{
  Term term;
  term.mEpoch = aEpoch;
  term.mJobs = &aJobs;
  return term;
}

/// Two cells. The leader of the first one runs the task a.0.0.0 on worker w1,
/// which the registry then lists for the second one. The first one also has
/// worker w2.
class MovedWorker
{
public:
  explicit MovedWorker(milliseconds aRunTime)
  {
    mSite.mRunTime = [aRunTime](const TaskId&) { return aRunTime; };
    mSite.AddWorker("w1", 4000);
    mFormer = &mSite.AddLeader(MakeTerm(1, mFormerJobs));
    jobs::JobEntry job = MakeJob("a", { 1 });
    job.mSubmission->mRequest.mSteps.front().mIsService =
      aRunTime > std::chrono::seconds(10);
    mFormer->GetDispatcher().AddJob(job, false, mSite.Now());
    mSite.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mSite.Worker("w1").mRuns.size());
    mFormer->GetDispatcher().OnWorkerUnregistered("w1", mSite.Now());
  }

  /// The leader of the second cell hears of worker w1.
  void Move()
  {
    mNext = &mSite.AddLeader(MakeTerm(2, mNextJobs));
    mFormer->GetDispatcher().SetWorker(mSite.AddWorker("w2", 4000).Entry(),
                                       mSite.Now());
  }

  FakeDirectory mFormerJobs{ { "a" } };
  FakeDirectory mNextJobs{ { "b" } };
  FakeSite mSite;
  FakeSite::Leader* mFormer = nullptr;
  FakeSite::Leader* mNext = nullptr;
};

class TakeoverTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TakeoverTest);
  CPPUNIT_TEST(ExtendsNoLeaseOfRunsOfAnotherCell);
  CPPUNIT_TEST(AcknowledgesNoEndOfAnotherCellDuringItsLease);
  CPPUNIT_TEST(UsesAWorkerOfAnotherCellAfterItsLease);
  CPPUNIT_TEST(StartsNothingOnARestartedWorkerIfASuccessorMayHaveClaimed);
  CPPUNIT_TEST(StartsTasksOnARestartedWorkerOnceConfirmed);
  CPPUNIT_TEST(KeepsTheRoomOfARunThatItStops);
  CPPUNIT_TEST(ListsIdleTasksWithTheirLastRuns);
  CPPUNIT_TEST(ListsNoTaskIdleWhoseStartMayCome);
  CPPUNIT_TEST(LendsIdleTasksOnceTheRoomIsKnown);
  CPPUNIT_TEST(TellsThatAWorkerWithARunOwesSomething);
  CPPUNIT_TEST(TellsThatAWorkerWithAnEndThatIsNotStoredOwesSomething);
  CPPUNIT_TEST(TellsThatAWorkerWithALateStartOwesSomething);
  CPPUNIT_TEST(TellsThatAWorkerWithOmittedEndsOwesSomething);
  CPPUNIT_TEST(TellsThatAWorkerWithALostStartOwesSomething);
  CPPUNIT_TEST(TellsThatALeaderHasGivenUpAWorker);
  CPPUNIT_TEST(WaitsForNoWorkerThatOwesNothing);
  CPPUNIT_TEST(WaitsForAListedWorkerThatOwedNothing);
  CPPUNIT_TEST(WaitsForAnotherIncarnationOfAnIdleWorker);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a successor that does not wait for the run (TWICE).
  void TellsThatAWorkerWithARunOwesSomething()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    Dispatcher& dispatcher = site.AddLeader(1).GetDispatcher();
    CPPUNIT_ASSERT(!dispatcher.FindIdleIncarnation("w1", site.Now()));
    site.Advance(milliseconds(100));
    CPPUNIT_ASSERT(dispatcher.FindIdleIncarnation("w1", site.Now()) ==
                   std::optional<std::int64_t>(1));
    dispatcher.AddJob(MakeJob("a", { 1 }), false, site.Now());
    site.Advance(milliseconds(100));
    CPPUNIT_ASSERT(!dispatcher.FindIdleIncarnation("w1", site.Now()));
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT(dispatcher.FindIdleIncarnation("w1", site.Now()));
  }

  // Guards against a successor that starts a task that has succeeded, because
  // the end was not stored and it does not ask the worker (TWICE).
  void TellsThatAWorkerWithAnEndThatIsNotStoredOwesSomething()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    FakeSite::Leader& leader = site.AddLeader(1);
    Dispatcher& dispatcher = leader.GetDispatcher();
    dispatcher.AddJob(MakeJob("a", { 1 }), false, site.Now());
    site.Advance(milliseconds(200));
    leader.mCanStore = false;
    site.Advance(milliseconds(1500));
    CPPUNIT_ASSERT(site.Worker("w1").mRuns.empty());
    CPPUNIT_ASSERT(!dispatcher.FindIdleIncarnation("w1", site.Now()));
    leader.mCanStore = true;
    site.Advance(milliseconds(20));
    CPPUNIT_ASSERT(dispatcher.FindIdleIncarnation("w1", site.Now()));
  }

  // The run is stopped before its start is carried out. Guards against a
  // successor that does not wait for the next incarnation, which would carry it
  // out (TWICE).
  void TellsThatAWorkerWithALateStartOwesSomething()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    FakeSite::Leader& leader = site.AddLeader(1);
    leader.mStartDelay = [](const StartCall&) { return milliseconds(20'000); };
    Dispatcher& dispatcher = leader.GetDispatcher();
    dispatcher.AddJob(MakeJob("a", { 1 }), false, site.Now());
    site.Advance(milliseconds(1000));
    dispatcher.CancelJob("a", site.Now());
    site.Advance(milliseconds(5000));
    CPPUNIT_ASSERT(!dispatcher.HasJob("a"));
    CPPUNIT_ASSERT(!dispatcher.FindIdleIncarnation("w1", site.Now()));
    site.Advance(milliseconds(61'000));
    CPPUNIT_ASSERT(dispatcher.FindIdleIncarnation("w1", site.Now()));
  }

  // Guards against a successor that does not hear of the ends that the worker
  // has not listed yet.
  void TellsThatAWorkerWithOmittedEndsOwesSomething()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    site.mMaxListedEndedRuns = 0;
    Dispatcher& dispatcher = site.AddLeader(1).GetDispatcher();
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT(!dispatcher.FindIdleIncarnation("w1", site.Now()));
    site.mMaxListedEndedRuns = 500;
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT(dispatcher.FindIdleIncarnation("w1", site.Now()));
  }

  // The worker has carried out a start without an answer, and its lease has
  // ended since. Guards against a successor that does not wait for the next
  // incarnation, which a copy of the start may reach (TWICE).
  void TellsThatAWorkerWithALostStartOwesSomething()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    FakeSite::Leader& leader = site.AddLeader(1);
    leader.mStartDelay = [](const StartCall&) { return milliseconds(20); };
    Dispatcher& dispatcher = leader.GetDispatcher();
    dispatcher.AddJob(MakeJob("a", { 1 }), false, site.Now());
    while (site.mStartCounts.empty()) {
      site.Advance(milliseconds(5));
    }
    leader.mUnreachableWorkers.insert("w1");
    site.Advance(kLongestLease + milliseconds(3000));
    CPPUNIT_ASSERT(site.Worker("w1").mRuns.empty());
    CPPUNIT_ASSERT(!dispatcher.FindIdleIncarnation("w1", site.Now()));
  }

  // A worker falls silent with a run. Guards against leaders that each wait for
  // its first poll although one of them has given up the run (LOST), and
  // against one that does not wait for the end of its lease (TWICE).
  void TellsThatALeaderHasGivenUpAWorker()
  {
    FakeSite site;
    site.mRunTime = [](const TaskId&) { return std::chrono::minutes(1); };
    site.AddWorker("w1", 4000);
    FakeSite::Leader& leader = site.AddLeader(1);
    Dispatcher& dispatcher = leader.GetDispatcher();
    dispatcher.AddJob(MakeJob("a", { 1 }), false, site.Now());
    site.Advance(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.Worker("w1").mRuns.size());
    leader.mUnreachableWorkers.insert("w1");
    while (!site.Worker("w1").mRuns.empty()) {
      CPPUNIT_ASSERT(!dispatcher.FindIdleIncarnation("w1", site.Now()));
      site.Advance(milliseconds(50));
    }
    site.Advance(milliseconds(2000));
    CPPUNIT_ASSERT(dispatcher.FindIdleIncarnation("w1", site.Now()));
    // The next leader waits for the end of the earlier lease itself.
    FakeSite::Leader& next =
      site.AddLeader(2, site.Now() + std::chrono::seconds(5));
    next.mUnreachableWorkers.insert("w1");
    site.Advance(milliseconds(3000));
    CPPUNIT_ASSERT(!next.GetDispatcher().FindIdleIncarnation("w1", site.Now()));
    site.Advance(milliseconds(3000));
    CPPUNIT_ASSERT(next.GetDispatcher().FindIdleIncarnation("w1", site.Now()));
  }

  // Guards against tasks that wait for the first poll of a worker that has left
  // and for the end of its lease (LOST).
  void WaitsForNoWorkerThatOwesNothing()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    site.AddWorker("w2", 4000);
    FakeSite::Leader& leader =
      site.AddLeader(1, site.Now() + std::chrono::seconds(60));
    leader.mUnreachableWorkers.insert("w2");
    Dispatcher& dispatcher = leader.GetDispatcher();
    dispatcher.OnWorkerUnregistered("w2", site.Now());
    dispatcher.SetIdleIncarnation("w2", 1, site.Now());
    site.Advance(milliseconds(50));
    CPPUNIT_ASSERT(dispatcher.AreReportsComplete());
    // What an earlier leader knew still holds.
    CPPUNIT_ASSERT(dispatcher.FindIdleIncarnation("w2", site.Now()));
  }

  // Guards against loans and transfers that are decided before the workers of
  // the cell have answered (LOST), and against an incarnation that the registry
  // does not tell yet (TWICE).
  void WaitsForAListedWorkerThatOwedNothing()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    site.AddWorker("w2", 4000);
    FakeSite::Leader& leader =
      site.AddLeader(1, site.Now() + std::chrono::seconds(60));
    leader.mUnreachableWorkers.insert("w2");
    leader.GetDispatcher().SetIdleIncarnation("w2", 1, site.Now());
    site.Advance(milliseconds(50));
    CPPUNIT_ASSERT(!leader.GetDispatcher().AreReportsComplete());
    leader.mUnreachableWorkers.clear();
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT(leader.GetDispatcher().AreReportsComplete());
  }

  // Guards against a leader that does not wait for an incarnation that may have
  // carried out a call for the former one (TWICE).
  void WaitsForAnotherIncarnationOfAnIdleWorker()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    FakeWorker& worker = site.AddWorker("w2", 4000);
    FakeSite::Leader& leader =
      site.AddLeader(1, site.Now() + std::chrono::seconds(60));
    leader.mUnreachableWorkers = { "w1", "w2" };
    Dispatcher& dispatcher = leader.GetDispatcher();
    dispatcher.OnWorkerUnregistered("w2", site.Now());
    dispatcher.SetIdleIncarnation("w2", 1, site.Now());
    worker.Restart();
    dispatcher.SetWorker(worker.Entry(), site.Now());
    CPPUNIT_ASSERT(!dispatcher.FindIdleIncarnation("w2", site.Now()));
    dispatcher.SetIdleIncarnation("w2", 1, site.Now());
    CPPUNIT_ASSERT(!dispatcher.FindIdleIncarnation("w2", site.Now()));
    leader.mUnreachableWorkers = { "w2" };
    site.Advance(milliseconds(3000));
    CPPUNIT_ASSERT(!dispatcher.AreReportsComplete());
    leader.mUnreachableWorkers.clear();
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT(dispatcher.AreReportsComplete());
  }

  // A worker moves to another cell, whose leader cannot stop the run that it
  // finds there. Guards against a second run of the task by the former leader
  // while the lease of the first one is extended (TWICE).
  void ExtendsNoLeaseOfRunsOfAnotherCell()
  {
    MovedWorker moved(std::chrono::minutes(1));
    moved.Move();
    moved.mNext->mAreStopsLost = true;
    moved.mSite.Advance(milliseconds(20'000));
    CPPUNIT_ASSERT(moved.mSite.mDoubleRuns.empty());
    CPPUNIT_ASSERT_EQUAL(2, moved.mSite.mStartCounts.at("a.0.0.0"));
  }

  // A run ends before the leader of the new cell polls its worker. Guards
  // against an acknowledgement of its success, of which the former leader has
  // not heard, while it has to count on the run (TWICE).
  void AcknowledgesNoEndOfAnotherCellDuringItsLease()
  {
    MovedWorker moved(milliseconds(500));
    moved.mFormer->mUnreachableWorkers.insert("w1");
    moved.mSite.Advance(milliseconds(1000));
    FakeWorker& worker = moved.mSite.Worker("w1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, worker.mEndedRuns.size());
    const base::TimePoint leaseEnd = worker.mLeaseUntil;
    moved.Move();
    while (moved.mSite.Now() < leaseEnd) {
      moved.mSite.Advance(milliseconds(50));
      CPPUNIT_ASSERT(worker.mEndedRuns.size() == 1 ||
                     moved.mSite.Now() > leaseEnd);
    }
    moved.mSite.Advance(kLongestLease);
    CPPUNIT_ASSERT(worker.mEndedRuns.empty());
  }

  // Guards against a worker that is never used again because another cell had
  // runs on it.
  void UsesAWorkerOfAnotherCellAfterItsLease()
  {
    MovedWorker moved(std::chrono::minutes(1));
    moved.Move();
    moved.mNext->GetDispatcher().OnWorkerUnregistered("w2", moved.mSite.Now());
    jobs::JobEntry job = MakeJob("b", { 1 });
    job.mSubmission->mRequest.mSteps.front().mIsService = true;
    moved.mNext->GetDispatcher().AddJob(job, false, moved.mSite.Now());
    moved.mSite.Advance(kLongestLease + milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(1, moved.mSite.mStartCounts["b.0.0.0"]);
  }

  // A leader is cut off from the log, and its successor finds a task on a
  // worker that restarts right after that and that only the former leader can
  // reach then. Guards against a second run of the task: the successor counts
  // on the lease of the former incarnation (TWICE).
  void StartsNothingOnARestartedWorkerIfASuccessorMayHaveClaimed()
  {
    FakeSite site;
    site.mRunTime = [](const TaskId&) { return std::chrono::minutes(1); };
    site.AddWorker("w1", 4000);
    auto& former = site.AddLeader(1);
    jobs::JobEntry job = MakeJob("a", { 1 });
    job.mSubmission->mRequest.mSteps.front().mIsService = true;
    former.GetDispatcher().AddJob(job, false, site.Now());
    site.Advance(milliseconds(300));
    former.mIsConfirmed = false;
    site.Advance(kTimeUntilClaim);
    former.mUnreachableWorkers = { "w1", "w2" };
    site.AddWorker("w2", 4000);
    job.mProgress = former.mStored.at("a");
    auto& next = site.AddLeader(2, site.Now() + std::chrono::seconds(12));
    next.GetDispatcher().AddJob(job, true, site.Now());
    site.Advance(milliseconds(20));
    next.mUnreachableWorkers = { "w1" };
    site.Worker("w1").Restart();
    former.mUnreachableWorkers = { "w2" };
    site.Advance(milliseconds(12'000));
    CPPUNIT_ASSERT(site.mDoubleRuns.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.Worker("w2").mRuns.size());
  }

  // Guards against a restarted worker that stays without tasks after an outage
  // of the log.
  void StartsTasksOnARestartedWorkerOnceConfirmed()
  {
    FakeSite site;
    site.mRunTime = [](const TaskId&) { return std::chrono::minutes(1); };
    site.AddWorker("w1", 4000);
    auto& leader = site.AddLeader(1);
    jobs::JobEntry job = MakeJob("a", { 1 });
    job.mSubmission->mRequest.mSteps.front().mIsService = true;
    leader.GetDispatcher().AddJob(job, false, site.Now());
    site.Advance(milliseconds(300));
    leader.mIsConfirmed = false;
    site.Advance(kTimeUntilClaim);
    site.Worker("w1").Restart();
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(1, site.mStartCounts.at("a.0.0.0"));
    leader.mIsConfirmed = true;
    site.Advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(2, site.mStartCounts.at("a.0.0.0"));
  }

  // A new leader finds a run whose job has ended and stops it. Guards against
  // starts that the worker refuses for lack of room, or that exceed its
  // capacity (LIMIT), while the run lasts.
  void KeepsTheRoomOfARunThatItStops()
  {
    FakeSite site;
    site.mRunTime = [](const TaskId&) { return std::chrono::minutes(1); };
    FakeWorker& worker = site.AddWorker("w1", 4000);
    worker.mRuns.push_back(
      { { "ended", 0, 0, 0 }, 1, site.Now() + std::chrono::minutes(1), false });
    worker.mLeaseUntil = site.Now() + std::chrono::seconds(6);
    auto& leader = site.AddLeader(2);
    leader.mAreStopsLost = true;
    leader.GetDispatcher().AddJob(MakeJob("a", { 1 }, 4000), false, site.Now());
    site.Advance(milliseconds(700));
    CPPUNIT_ASSERT(leader.mStarts.empty());
    leader.mAreStopsLost = false;
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(1, site.mStartCounts["a.0.0.0"]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, worker.mRuns.size());
  }

  // Guards against a successor that starts a task that runs, or with a run
  // number that was used before (TWICE).
  void ListsIdleTasksWithTheirLastRuns()
  {
    FakeSite site;
    site.mRunTime = [](const TaskId&) { return std::chrono::minutes(1); };
    site.AddWorker("w1", 4000);
    auto& leader = site.AddLeader(1);
    jobs::JobEntry job = MakeJob("a", { 3 }, 2000);
    job.mSubmission->mRequest.mSteps.front().mIsService = true;
    leader.GetDispatcher().AddJob(job, false, site.Now());
    site.Advance(milliseconds(300));
    const auto idle = leader.GetDispatcher().ListIdle(site.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, idle.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, idle.front().mTasks.size());
    const int index = idle.front().mTasks.front().mIndex;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         site.mStartCounts.count(ToText({ "a", 0, 0, index })));
    job.mProgress = leader.mStored.at("a");
    site.Kill(leader);
    Term term;
    term.mEpoch = 2;
    term.mPreviousLeasesEndAt = site.Now() + std::chrono::seconds(12);
    term.mIdleSteps = { { "a", 0, 0, 0, { { index, 7 } } } };
    auto& next = site.AddLeader(term);
    next.mUnreachableWorkers = { "w1" };
    site.AddWorker("w2", 4000);
    next.GetDispatcher().SetWorker(site.Worker("w2").Entry(), site.Now());
    next.GetDispatcher().AddJob(job, true, site.Now());
    site.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, next.mStarts.size());
    CPPUNIT_ASSERT_EQUAL(index, next.mStarts.front().mTask.mIndex);
    CPPUNIT_ASSERT_EQUAL(8, next.mStarts.front().mRunNumber);
    CPPUNIT_ASSERT(site.mDoubleRuns.empty());
  }

  // The first start of a task gets no answer and may come late, the run of the
  // second one fails, and no worker has room. Guards against a successor that
  // starts the task before the fencing token refuses the late start (TWICE).
  void ListsNoTaskIdleWhoseStartMayCome()
  {
    FakeSite site;
    site.mRunTime = [](const TaskId&) { return milliseconds(800); };
    site.mDecideFailure = [](const TaskId&, int) { return true; };
    site.AddWorker("w1", 4000);
    auto& leader = site.AddLeader(1);
    leader.mStartDelay = [&](const StartCall&) -> base::Duration {
      return leader.mStarts.size() == 1 ? std::chrono::seconds(20)
                                        : std::chrono::seconds(0);
    };
    jobs::JobEntry job = MakeJob("a", { 1 }, 2000);
    job.mSubmission->mRequest.mSteps.front().mIsService = true;
    leader.GetDispatcher().AddJob(job, false, site.Now());
    site.Advance(milliseconds(1300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, leader.mStarts.size());
    WorkerEntry draining = site.Worker("w1").Entry();
    draining.mIsDraining = true;
    draining.mRemainingMs = 60'000;
    leader.GetDispatcher().SetWorker(draining, site.Now());
    site.Advance(milliseconds(1500));
    CPPUNIT_ASSERT(site.Worker("w1").mRuns.empty());
    CPPUNIT_ASSERT(leader.GetDispatcher().ListIdle(site.Now()).empty());
  }

  // Leaders change in series while lasting tasks wait for a worker. Guards
  // against tasks that each leader keeps for a while before another cell may
  // run them (LOST).
  void LendsIdleTasksOnceTheRoomIsKnown()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    Term term;
    term.mEpoch = 2;
    term.mIdleSteps = { { "a", 0, 0, 5000, { { 0, 1 } } } };
    auto& leader = site.AddLeader(term);
    jobs::JobEntry job = MakeJob("a", { 1 }, 5000);
    job.mSubmission->mRequest.mSteps.front().mIsService = true;
    job.mProgress.mMayHaveStarted = true;
    leader.GetDispatcher().AddJob(job, true, site.Now());
    CPPUNIT_ASSERT(!leader.GetDispatcher().AreReportsComplete());
    site.Advance(milliseconds(100));
    CPPUNIT_ASSERT(leader.GetDispatcher().AreReportsComplete());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      leader.GetDispatcher()
        .ListUnplaced(site.Now() - milliseconds(500), site.Now())
        .size());
    CPPUNIT_ASSERT(
      leader.GetDispatcher().ListIdle(site.Now()).at(0).mWaitedMs >= 5000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverTest);

} // namespace

} // namespace skylarkhill::dispatch
