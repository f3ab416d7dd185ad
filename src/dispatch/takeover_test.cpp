#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <set>
#include <string>

#include "fake_site_test.hpp"

namespace skylarkhill::dispatch {

using std::chrono::milliseconds;

namespace {

/// Longest lease that a leader asks for, with its margins.
constexpr milliseconds kLongestLease{ 6600 };

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
  CPPUNIT_TEST_SUITE_END();

public:
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverTest);

} // namespace

} // namespace skylarkhill::dispatch
