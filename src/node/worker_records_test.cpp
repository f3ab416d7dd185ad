#include "skylarkhill/base/msgpack.hpp"
#include "skylarkhill/base/random.hpp"
#include "skylarkhill/node/worker_lease_record.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "node_site_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;

namespace {

/// Longer than all leases of an earlier leader.
constexpr milliseconds kLeasesTime{ 20'000 };
/// Time until a dead worker has left the dispatcher: its lease, on a slow
/// clock, has ended.
constexpr milliseconds kDropTime{ 7600 };
/// Time until the next leader has polled all workers, of which some do not
/// answer, and has started the tasks.
constexpr milliseconds kTakeoverTime{ 2000 };
/// Longest time that a lasting task may be without a run: its lease of 6 s and
/// 3 s more.
constexpr milliseconds kMaxTimeWithoutRun{ 9000 };
/// Seeds in a usual run; SKYLARKHILL_WORKER_SEEDS overrides it.
constexpr int kSeeds = 60;
constexpr milliseconds kStep{ 20 };
constexpr milliseconds kSeedTime{ 40'000 };
/// Mean time between two disruptions.
constexpr int kStepsPerDisruption = 15;
constexpr int kInstances = 3;
constexpr int kWorkers = 5;

} // namespace

/// A leader must find every worker that may have runs of an earlier leader,
/// whatever became of the worker's entry in the registry.
class WorkerRecordsTest : public NodeSiteFixture
{
  CPPUNIT_TEST_SUITE(WorkerRecordsTest);
  CPPUNIT_TEST(StartsNothingOnAWorkerBeforeItsRecordIsStored);
  CPPUNIT_TEST(ExtendsNoLeaseOfAWorkerBeforeItsRecordIsStored);
  CPPUNIT_TEST(RecordsAWorkerAgainAfterItsBatchWasGivenUp);
  CPPUNIT_TEST(RecordsAWorkerThatLeftTheRegistryBeforeItsBatch);
  CPPUNIT_TEST(RecordsAWorkerAgainAtItsNewAddress);
  CPPUNIT_TEST(RecordsAWorkerThatReturnsBeforeItsDeletionIsStored);
  CPPUNIT_TEST(StartsNothingOnAWorkerThatCannotBeRecorded);
  CPPUNIT_TEST(StartsTasksOfADeadWorkerOnceItsLeaseHasEnded);
  CPPUNIT_TEST(StartsTasksOfASilentWorkerRightAfterItsLease);
  CPPUNIT_TEST(ExtendsNoLeaseBeforeItsRecordIsDeleted);
  CPPUNIT_TEST(IgnoresLeaseRecordsOfEarlierLeaders);
  CPPUNIT_TEST(IgnoresLeaseRecordsBeforeALeaderThatDoesNotKeepThem);
  CPPUNIT_TEST(StartsTasksAtOnceIfTheLeaseOfADroppedWorkerHasEnded);
  CPPUNIT_TEST(StartsTasksAtOnceAfterLeadersInSeries);
  CPPUNIT_TEST(KnowsTheEndOfALeaseAfterAKilledLeader);
  CPPUNIT_TEST(ExtendsNoLeaseBeforeTheRecordOfAnEarlierLeaderIsDeleted);
  CPPUNIT_TEST(StoresLeaseEndsBesideAnAppendInFlight);
  CPPUNIT_TEST(ResignsBesideARenewalInFlight);
  CPPUNIT_TEST(IgnoresLeaseRecordsDeletedWhileTheJournalExpired);
  CPPUNIT_TEST(
    IgnoresLeaseRecordsThatTheNextLeaderDeletedWhileTheJournalExpired);
  CPPUNIT_TEST(RecordsAWorkerDeletedWhileTheJournalExpired);
  CPPUNIT_TEST(ExtendsALeaseAsSoonAsItsRecordIsDeleted);
  CPPUNIT_TEST(KeepsTheRunsOfAWorkerThatAnswersTheNextLeader);
  CPPUNIT_TEST(StoresLeaseEndsOfWorkersWithAPollInFlight);
  CPPUNIT_TEST(StoresLeaseEndsBeforeALeaderIsKilled);
  CPPUNIT_TEST(TellsLeaseEndsWhenItHandsOver);
  CPPUNIT_TEST(KnowsLeaseEndsOfItsTermAfterAHandOver);
  CPPUNIT_TEST(TellsLeaseEndsInATermWithoutADispatcher);
  CPPUNIT_TEST(WaitsForTheLogInAResignation);
  CPPUNIT_TEST(ResignsAfterAClaimInFlight);
  CPPUNIT_TEST(ResignsAfterASlowRenewal);
  CPPUNIT_TEST(ExtendsNoLeaseBesideARecordThatCannotBeRead);
  CPPUNIT_TEST(ReadsLeaderRecordsOfOtherVersions);
  CPPUNIT_TEST(StartsTasksAtOnceBesideAWorkerThatHasLeft);
  CPPUNIT_TEST(TrustsNoIdleWorkerOfALeaderThatDoesNotKeepRecords);
  CPPUNIT_TEST(ReadsLeaseRecordsOfOtherVersions);
  CPPUNIT_TEST(KeepsAWorkerThatTheFirstListingOfALeaderLacks);
  CPPUNIT_TEST(RunsEveryTaskOnceWhileTheRegistryLosesWorkers);
  CPPUNIT_TEST_SUITE_END();

public:
  // The leader is killed before the log stores the record of a new worker,
  // which leaves the registry as well. Guards against a second run of the task
  // that the worker would have got.
  void StartsNothingOnAWorkerBeforeItsRecordIsStored()
  {
    Instance& leader = StartLeader(2);
    SubmitSpread("a", 2);
    Advance(milliseconds(1000));
    leader.mLog.mUnwritableTopics.insert("journal");
    Store("workers", "w2", "1");
    Advance(milliseconds(1000));
    Store("workers", "w2", "");
    KillLeader();
    Store("workers", "w3", "1");
    Advance(kLeasesTime);
    CheckRuns(2);
  }

  // A leader may find runs of an earlier leader on a worker that only the
  // registry names. Guards against leases of which its successor knows nothing.
  void ExtendsNoLeaseOfAWorkerBeforeItsRecordIsStored()
  {
    Instance& leader = StartLeader(1);
    leader.mLog.mUnwritableTopics.insert("journal");
    Store("workers", "w2", "1");
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, mWorkers["w2"].mLeaseEndMs);
    leader.mLog.mUnwritableTopics.clear();
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT(mWorkers["w2"].mLeaseEndMs > 0);
  }

  // The term ends while the batch with the record is sent, and the same
  // instance leads again. Guards against taking the worker for recorded.
  void RecordsAWorkerAgainAfterItsBatchWasGivenUp()
  {
    Instance& leader = StartLeader(1);
    SubmitSpread("a", 2);
    Advance(milliseconds(1000));
    leader.mLog.mUnwritableTopics.insert("journal");
    Store("workers", "w2", "1");
    Advance(milliseconds(300));
    leader.mLog.mUnreadableTopics.insert("journal");
    Advance(milliseconds(4000));
    CPPUNIT_ASSERT(!leader.mNode.IsDispatching());
    leader.mLog.mUnreadableTopics.clear();
    leader.mLog.mUnwritableTopics.clear();
    Advance(kLeasesTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w2"].mRuns.size());
    Store("workers", "w2", "");
    Store("workers", "w3", "1");
    Advance(milliseconds(500));
    RestartLeader();
    Advance(kLeasesTime);
    CheckRuns(2);
  }

  // The worker leaves the registry while the log does not answer, and the
  // leader goes on. Guards against a worker with runs that is never recorded.
  void RecordsAWorkerThatLeftTheRegistryBeforeItsBatch()
  {
    Instance& leader = StartLeader(2);
    SubmitSpread("a", 2);
    Advance(milliseconds(1000));
    leader.mLog.mUnwritableTopics.insert("journal");
    // A batch without the worker is in progress when the worker appears.
    SubmitSpread("b", 1);
    Advance(milliseconds(300));
    Store("workers", "w2", "1");
    Advance(milliseconds(600));
    Store("workers", "w2", "");
    Advance(milliseconds(600));
    leader.mLog.mUnwritableTopics.clear();
    Advance(milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), NewestRecord("w2"));
    RestartLeader();
    Store("workers", "w3", "1");
    Advance(kLeasesTime);
    CheckRuns(3);
  }

  // Guards against a successor that calls the worker at an address at which it
  // is no longer.
  void RecordsAWorkerAgainAtItsNewAddress()
  {
    StartLeader(1);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), NewestRecord("w1"));
    Store("workers", "w1", std::string(kMoved));
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::string(kMoved), NewestRecord("w1"));
  }

  // The deletion of a silent worker gets no response. Guards against a worker
  // that is used again and missing in the journal.
  void RecordsAWorkerThatReturnsBeforeItsDeletionIsStored()
  {
    Instance& leader = StartLeader(1);
    SubmitSpread("a", 2);
    Store("workers", "w2", "1");
    Advance(milliseconds(1000));
    Store("workers", "w2", "");
    leader.mClient.mUnreachable.insert("w2");
    mWorkers["w2"].mRuns.clear();
    Advance(milliseconds(30000));
    leader.mLog.mUnwritableTopics.insert("journal");
    // Changes the journal, with which the deletion is written.
    SubmitSpread("b", 1);
    Advance(milliseconds(1500));
    leader.mClient.mUnreachable.clear();
    Store("workers", "w2", "1");
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mWorkers["w2"].mRuns.size());
    leader.mLog.mUnwritableTopics.clear();
    Advance(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), NewestRecord("w2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w2"].mRuns.size());
  }

  // The entry of the worker fits into its own stream, but not into the journal.
  // Guards against runs on a worker of which the next leader knows nothing.
  void StartsNothingOnAWorkerThatCannotBeRecorded()
  {
    StartLeader(1);
    Store("workers", "w2", std::string(mLogLimits.mMaxRecordBytes - 3, 'x'));
    SubmitSpread("a", 2);
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w1"].mRuns.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mWorkers["w2"].mRuns.size());
    // A smaller entry ends this.
    Store("workers", "w2", "1");
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w2"].mRuns.size());
  }

  // A worker dies, and the leader restarts once or twice. Guards against a
  // successor that waits for the longest lease that any worker may have, and
  // against a wait that begins anew with each change of the leader.
  void StartsTasksOfADeadWorkerOnceItsLeaseHasEnded()
  {
    // The lease, measured on a slow clock, and the time until a leader is
    // replaced.
    constexpr milliseconds kLimit{ 6600 + 1000 };
    constexpr milliseconds kGap{ 1000 };
    for (int restarts = 1; restarts <= 2; ++restarts) {
      Restart();
      StartLeader(2);
      Store("workers", "w2", "1");
      SubmitSpread("a", 2);
      Advance(milliseconds(1000));
      Store("workers", "w3", "1");
      Advance(milliseconds(1000));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w2"].mRuns.size());
      const base::TimePoint diedAt = mClock.Now();
      mWorkers["w2"].mRuns.clear();
      const auto die = [&] {
        for (auto& it : mInstances) {
          it->mClient.mUnreachable.insert("w2");
        }
      };
      die();
      Advance(milliseconds(4000));
      for (int n = 0; n < restarts; ++n) {
        RestartLeader();
        die();
        Advance(kGap);
      }
      Advance(diedAt + kLimit - mClock.Now());
      CheckRuns(2);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w3"].mRuns.size());
    }
  }

  // The end of a lease counts only once the leadership is confirmed after it.
  // Guards against tasks that wait for the next usual renewal of the leader.
  void StartsTasksOfASilentWorkerRightAfterItsLease()
  {
    // The lease, measured on a slow clock, one renewal and two ticks.
    constexpr milliseconds kLimit{ 6600 + 300 };
    for (int offset = 0; offset < 800; offset += 100) {
      Restart();
      StartLeader(2);
      Store("workers", "w2", "1");
      SubmitSpread("a", 2);
      Advance(milliseconds(1000));
      Store("workers", "w3", "1");
      Advance(milliseconds(1000 + offset));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w2"].mRuns.size());
      mWorkers["w2"].mRuns.clear();
      for (auto& it : mInstances) {
        it->mClient.mUnreachable.insert("w2");
      }
      Advance(kLimit);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w3"].mRuns.size());
    }
  }

  // A silent worker returns while the log does not answer. Guards against a
  // lease that outlasts the time that the next leader waits for.
  void ExtendsNoLeaseBeforeItsRecordIsDeleted()
  {
    Instance& leader = StartLeader(1);
    Advance(milliseconds(1000));
    leader.mClient.mUnreachable.insert("w1");
    Advance(milliseconds(3000));
    leader.mLog.mUnwritableTopics.insert("journal");
    const std::int64_t leaseEnd = mWorkers["w1"].mLeaseEndMs;
    leader.mClient.mUnreachable.clear();
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(leaseEnd, mWorkers["w1"].mLeaseEndMs);
    leader.mLog.mUnwritableTopics.clear();
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT(mWorkers["w1"].mLeaseEndMs > leaseEnd);
  }

  // The record comes from the leader before the previous one, which has
  // extended the lease without deleting it, as a version without such records
  // does. Guards against a second run beside the first one.
  void IgnoresLeaseRecordsOfEarlierLeaders()
  {
    StartLeader(2);
    SubmitSpread("a", 1);
    Advance(milliseconds(1000));
    const std::int64_t epoch = NewestEpoch();
    RestartLeader();
    Advance(milliseconds(3000));
    CPPUNIT_ASSERT(NewestEpoch() > epoch);
    Store("journal", "e/w1", EncodeWorkerLease({ epoch, 1, {} }));
    Store("workers", "w2", "1");
    Advance(milliseconds(1000));
    for (auto& it : mInstances) {
      it->mClient.mUnreachable.insert("w1");
    }
    RestartLeader();
    mInstances.back()->mClient.mUnreachable.insert("w1");
    const base::TimePoint end = mClock.Now() + kLeasesTime;
    while (mWorkers["w2"].mRuns.empty() && mClock.Now() < end) {
      Advance(kStep);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w2"].mRuns.size());
    CPPUNIT_ASSERT(base::ToMicros(mClock.Now()) / 1000 >
                   mWorkers["w1"].mLeaseEndMs);
  }

  // Like the test above, with a leader of a version without such records in
  // between, which extends the lease and leaves the record in the journal.
  // Guards against a second run beside the first one during an upgrade.
  void IgnoresLeaseRecordsBeforeALeaderThatDoesNotKeepThem()
  {
    StartLeader(2);
    SubmitSpread("a", 1);
    Advance(milliseconds(1000));
    const std::int64_t epoch = NewestEpoch();
    mInstances.clear();
    Store("journal", "e/w1", EncodeWorkerLease({ epoch, 0, {} }));
    StoreFormerLeader(epoch + 1);
    const base::TimePoint takenOverAt = mClock.Now();
    Store("workers", "w2", "1");
    AddInstances(1);
    mInstances.back()->mClient.mUnreachable.insert("w1");
    while (mWorkers["w2"].mRuns.empty() &&
           mClock.Now() < takenOverAt + kLeasesTime) {
      Advance(kStep);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w2"].mRuns.size());
    CPPUNIT_ASSERT(mClock.Now() >= takenOverAt + kLeaderLease);
  }

  // A worker dies and leaves the registry, its lease ends, and the leader
  // restarts. Guards against a successor that starts no task on any worker
  // before the longest lease that the dropped worker may have (LOST).
  void StartsTasksAtOnceIfTheLeaseOfADroppedWorkerHasEnded()
  {
    StartBesideADroppedWorker();
    RestartLeader();
    EndRuns();
    Advance(kTakeoverTime);
    CheckRuns(2);
  }

  // The same with leaders that lead for less than a second, some of which have
  // just started themselves. Guards against a wait that begins anew because a
  // leader in between had no time to store what it knew (LOST).
  void StartsTasksAtOnceAfterLeadersInSeries()
  {
    for (int leaders = 2; leaders <= 4; ++leaders) {
      Restart();
      StartBesideADroppedWorker();
      for (int n = 1; n < leaders; ++n) {
        RestartLeader();
        AdvanceToLeader();
        Advance(milliseconds(40));
      }
      RestartLeader();
      EndRuns();
      Advance(kTakeoverTime);
      CheckRuns(2);
    }
  }

  // The leader is killed after the lease of a dead worker has ended. Guards
  // against a successor that has just started and counts the remaining time
  // from its first read (LOST).
  void KnowsTheEndOfALeaseAfterAKilledLeader()
  {
    StartBesideADroppedWorker();
    KillLeader();
    // Leaves an instance that has just started.
    mInstances.erase(mInstances.begin(), mInstances.end() - 1);
    EndRuns();
    AdvanceToLeader();
    Advance(kTakeoverTime);
    CheckRuns(2);
  }

  // The worker is silent for one leader and returns to the next one while the
  // log does not answer. Guards against a lease that outlasts the time that a
  // third leader waits for.
  void ExtendsNoLeaseBeforeTheRecordOfAnEarlierLeaderIsDeleted()
  {
    Instance& leader = StartLeader(1);
    Advance(milliseconds(1000));
    leader.mClient.mUnreachable.insert("w1");
    Advance(milliseconds(3000));
    RestartLeader();
    mInstances.back()->mClient.mUnreachable.insert("w1");
    AdvanceToLeader();
    Instance& next = *mInstances.back();
    next.mLog.mUnwritableTopics.insert("journal");
    const std::int64_t leaseEnd = mWorkers["w1"].mLeaseEndMs;
    next.mClient.mUnreachable.clear();
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(leaseEnd, mWorkers["w1"].mLeaseEndMs);
    next.mLog.mUnwritableTopics.clear();
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT(mWorkers["w1"].mLeaseEndMs > leaseEnd);
  }

  // A worker dies, and the leader resigns before its records of this are due,
  // while an append of its journal awaits the response. Guards against a
  // successor that waits for the longest lease of the worker (LOST).
  void StoresLeaseEndsBesideAnAppendInFlight()
  {
    constexpr milliseconds kLimit{ 6600 + 1000 };
    Instance& leader = StartLeader(2);
    Store("workers", "w2", "1");
    SubmitSpread("a", 2);
    Advance(milliseconds(1000));
    Store("workers", "w3", "1");
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w2"].mRuns.size());
    SubmitSpread("b", 1);
    Advance(kStep);
    leader.mLog.mHoldsResponses = true;
    const std::size_t records = mState.mStreams["journal"].size();
    Advance(milliseconds(100));
    CPPUNIT_ASSERT(mState.mStreams["journal"].size() > records);
    const base::TimePoint diedAt = mClock.Now();
    Disconnect("w2");
    mWorkers["w2"].mRuns.clear();
    Advance(milliseconds(500));
    CPPUNIT_ASSERT(NewestValue("e/w2").empty());
    RestartLeader();
    Advance(diedAt + kLimit - mClock.Now());
    CheckRuns(3);
  }

  // Guards against a resignation that the log refuses because a renewal was
  // stored before it, so that the site has no leader for two seconds.
  void ResignsBesideARenewalInFlight()
  {
    Instance& leader = StartLeader(2);
    leader.mLog.mHoldsResponses = true;
    // Longer than the interval between two renewals.
    Advance(milliseconds(1000));
    RestartLeader();
    const auto record =
      DecodeLeaderRecord(mState.mStreams["leaders"].back().mValue);
    CPPUNIT_ASSERT(record);
    CPPUNIT_ASSERT(record.value().mIsResigned);
  }

  // A follower reads a lease record and is cut off from the journal. The leader
  // deletes the record and extends the lease, and the deletion expires with the
  // journal. Guards against a second run in the term of the follower.
  void IgnoresLeaseRecordsDeletedWhileTheJournalExpired()
  {
    CheckLeaseRecordOfAnExpiredJournal(false);
  }

  // The same if the next leader deletes the record and extends the lease.
  void IgnoresLeaseRecordsThatTheNextLeaderDeletedWhileTheJournalExpired()
  {
    CheckLeaseRecordOfAnExpiredJournal(true);
  }

  // A follower reads the record of a worker and is cut off from the journal.
  // The worker is deleted, the deletion expires with the journal, and the
  // worker returns. Guards against leases that the journal does not tell of.
  void RecordsAWorkerDeletedWhileTheJournalExpired()
  {
    Instance& leader = StartLeader(2);
    Store("workers", "w2", "1");
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), NewestRecord("w2"));
    Instance& follower =
      &leader == mInstances[0].get() ? *mInstances[1] : *mInstances[0];
    follower.mLog.mUnreadableTopics.insert("journal");
    Disconnect("w2");
    Store("workers", "w2", "");
    Advance(milliseconds(15'000));
    // Changes the journal, with which the deletion is written.
    SubmitSpread("a", 1);
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT(NewestRecord("w2").empty());
    ExpireJournal();
    follower.mLog.mUnreadableTopics.clear();
    Advance(milliseconds(2000));
    EraseOthers(follower);
    follower.mClient.mUnreachable.clear();
    Store("workers", "w2", "1");
    AdvanceToLeader();
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT(mWorkers["w2"].mLeaseEndMs >
                   base::ToMicros(mClock.Now()) / 1000);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), NewestRecord("w2"));
  }

  // A worker is silent for one leader and answers the next one. Guards against
  // runs that lapse because the extension waits for the end of a long poll.
  void ExtendsALeaseAsSoonAsItsRecordIsDeleted()
  {
    constexpr milliseconds kLimit{ 500 };
    Instance& leader = StartLeader(2);
    SubmitSpread("a", 1);
    Advance(milliseconds(1000));
    for (auto& it : mInstances) {
      it->mClient.mPollsWait = true;
    }
    leader.mClient.mUnreachable.insert("w1");
    Advance(milliseconds(4000));
    RestartLeader();
    mInstances.back()->mClient.mPollsWait = true;
    AdvanceToLeader();
    const std::int64_t leaseEnd = mWorkers["w1"].mLeaseEndMs;
    const base::TimePoint begunAt = mClock.Now();
    while (mWorkers["w1"].mLeaseEndMs == leaseEnd &&
           mClock.Now() < begunAt + kLeasesTime) {
      Advance(kStep);
    }
    const auto waited =
      std::chrono::duration_cast<milliseconds>(mClock.Now() - begunAt);
    CPPUNIT_ASSERT_MESSAGE("ms: " + std::to_string(waited.count()),
                           waited <= kLimit);
  }

  // A worker is cut off from one leader and answers the next one, 0.7 s before
  // its lease ends. Guards against runs that lapse because the lease is not
  // extended in time.
  void KeepsTheRunsOfAWorkerThatAnswersTheNextLeader()
  {
    Instance& leader = StartLeader(2);
    SubmitSpread("a", 1);
    Advance(milliseconds(1000));
    for (auto& it : mInstances) {
      it->mClient.mPollsWait = true;
    }
    leader.mClient.mUnreachable.insert("w1");
    Advance(milliseconds(3000));
    const std::int64_t leaseEnd = mWorkers["w1"].mLeaseEndMs;
    while (base::ToMicros(mClock.Now()) / 1000 < leaseEnd - 700) {
      Advance(kStep);
    }
    CPPUNIT_ASSERT_EQUAL(leaseEnd, mWorkers["w1"].mLeaseEndMs);
    RestartLeader();
    mInstances.back()->mClient.mPollsWait = true;
    AdvanceAndCheck(milliseconds(3000), "runs");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, mWorkers["w1"].mLastSequence);
    CheckRuns(1);
  }

  // A worker dies, and the leader resigns while its last poll of the worker
  // awaits the timeout. Guards against a successor that waits for the longest
  // lease of the worker (LOST).
  void StoresLeaseEndsOfWorkersWithAPollInFlight()
  {
    constexpr milliseconds kLimit{ 6600 + 1000 };
    StartLeader(2);
    Store("workers", "w2", "1");
    SubmitSpread("a", 2);
    Advance(milliseconds(1000));
    Store("workers", "w3", "1");
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w2"].mRuns.size());
    for (auto& it : mInstances) {
      it->mClient.mPollsWait = true;
    }
    const base::TimePoint diedAt = mClock.Now();
    Disconnect("w2");
    mWorkers["w2"].mRuns.clear();
    Advance(milliseconds(500));
    RestartLeader();
    Advance(diedAt + kLimit - mClock.Now());
    CheckRuns(2);
  }

  // A worker dies, and the leader is killed soon after. Guards against a
  // successor that waits for the longest lease of the worker (LOST).
  void StoresLeaseEndsBeforeALeaderIsKilled()
  {
    for (const milliseconds gap : { milliseconds(200), milliseconds(1000) }) {
      Restart();
      StartBesideASpareWorker(2);
      const base::TimePoint diedAt = mClock.Now();
      Disconnect("w2");
      mWorkers["w2"].mRuns.clear();
      Advance(gap);
      KillLeader();
      Advance(diedAt + kMaxTimeWithoutRun - mClock.Now());
      CheckRuns(2);
    }
  }

  // The leader hands over because it cannot read the journal, and a worker is
  // cut off while nobody leads. Guards against a successor that waits for the
  // longest lease that a leader could have granted (LOST), and against one that
  // does not wait for the lease of the worker (TWICE).
  void TellsLeaseEndsWhenItHandsOver() { CheckHandOver(2); }

  // The same with one instance, which leads again.
  void KnowsLeaseEndsOfItsTermAfterAHandOver() { CheckHandOver(1); }

  // A worker is cut off when its leader has resigned, and the next leader
  // resigns before it has granted a lease. Guards against a third leader that
  // counts the longest lease from that resignation (LOST), and against one that
  // does not wait for the lease of the worker (TWICE).
  void TellsLeaseEndsInATermWithoutADispatcher()
  {
    StartBesideASpareWorker(2);
    RestartLeader();
    const base::TimePoint cutAt = mClock.Now();
    Disconnect("w2");
    const std::int64_t epoch = NewestEpoch();
    const base::TimePoint end = mClock.Now() + kLeasesTime;
    while (NewestEpoch() == epoch && mClock.Now() < end) {
      Advance(kStep);
    }
    CPPUNIT_ASSERT_EQUAL(0, CountLeaders());
    for (auto& it : mInstances) {
      it->mNode.Resign();
    }
    Advance(milliseconds(100));
    const LeaderRecord record =
      DecodeLeaderRecord(mState.mStreams["leaders"].back().mValue).value();
    CPPUNIT_ASSERT(record.mIsResigned);
    CPPUNIT_ASSERT_EQUAL(epoch + 1, record.mEpoch);
    mInstances.clear();
    AddInstances(2);
    AdvanceAndCheck(cutAt + kMaxTimeWithoutRun - mClock.Now(), "resigned");
    CheckRuns(2);
  }

  // Guards against a loop that spins without a pause until the log answers.
  void WaitsForTheLogInAResignation()
  {
    Instance& leader = StartLeader(2);
    SubmitSpread("a", 1);
    Advance(milliseconds(1000));
    SubmitSpread("b", 1);
    Advance(kStep);
    leader.mLog.mHoldsResponses = true;
    Advance(milliseconds(100));
    leader.mNode.Resign();
    int spins = 0;
    for (int n = 0; n < 10; ++n) {
      mClock.Advance(kStep);
      leader.mNode.Tick();
      spins += leader.mNode.NextTickAt() <= mClock.Now() ? 1 : 0;
    }
    CPPUNIT_ASSERT(leader.mNode.IsDispatching());
    CPPUNIT_ASSERT_EQUAL(0, spins);
  }

  // Guards against a claim that is stored after the signal and leaves the site
  // without a leader until it times out.
  void ResignsAfterAClaimInFlight()
  {
    Store("workers", "w1", "1");
    AddInstances(1);
    while (mState.mStreams["leaders"].empty()) {
      mClock.Advance(kStep);
      mInstances[0]->mNode.Tick();
      if (mState.mStreams["leaders"].empty()) {
        mInstances[0]->mLog.Deliver();
      }
    }
    mInstances[0]->mNode.Resign();
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT(!mInstances[0]->mNode.IsDispatching());
    const auto& leaders = mState.mStreams["leaders"];
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, leaders.size());
    CPPUNIT_ASSERT(
      DecodeLeaderRecord(leaders.back().mValue).value().mIsResigned);
  }

  // A renewal is answered 0.6 s after the signal. Guards against a resignation
  // that the log refuses and that is not repeated.
  void ResignsAfterASlowRenewal()
  {
    Instance& leader = StartLeader(1);
    leader.mLog.mHoldsResponses = true;
    Advance(milliseconds(1000));
    leader.mNode.Resign();
    Advance(milliseconds(600));
    leader.mLog.mHoldsResponses = false;
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT(!leader.mNode.IsDispatching());
    CPPUNIT_ASSERT(DecodeLeaderRecord(mState.mStreams["leaders"].back().mValue)
                     .value()
                     .mIsResigned);
  }

  // Guards against a leader that extends a lease beside the record of a version
  // that can read it, so that the next leader of this version relies on it.
  void ExtendsNoLeaseBesideARecordThatCannotBeRead()
  {
    Store("journal", "e/w1", "x");
    StartLeader(1);
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT(mWorkers["w1"].mLeaseEndMs > 0);
    CPPUNIT_ASSERT(NewestValue("e/w1").empty());
  }

  // Guards against instances of two versions that take each other's records for
  // malformed during an upgrade, so that each claims the leadership.
  void ReadsLeaderRecordsOfOtherVersions()
  {
    using FormerFields = std::tuple<std::int64_t, std::string, bool>;
    const auto former =
      DecodeLeaderRecord(base::PackMsgpack(FormerFields{ 7, "former", true }));
    CPPUNIT_ASSERT(former);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 7 }, former.value().mEpoch);
    CPPUNIT_ASSERT_EQUAL(std::string("former"), former.value().mLeaderId);
    CPPUNIT_ASSERT(former.value().mIsResigned);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, former.value().mLeaseRecordsSince);
    const auto read = base::UnpackMsgpack<FormerFields>(
      EncodeLeaderRecord({ 8, "present", true, 5 }));
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT(read.value() == FormerFields(8, "present", true));
  }

  // A worker without runs leaves, and leaders follow each other before its
  // first poll can have failed. Guards against a successor that waits for this
  // poll or for the end of the lease before it starts other tasks (LOST).
  void StartsTasksAtOnceBesideAWorkerThatHasLeft()
  {
    // Less than a poll that fails takes.
    constexpr milliseconds kLimit{ 400 };
    for (int leaders = 1; leaders <= 3; ++leaders) {
      for (const bool isKilled : { false, true }) {
        Restart();
        StartBesideAWorkerThatHasLeft();
        for (int n = 1; n < leaders; ++n) {
          RestartLeader();
          SetPollsWait();
          AdvanceToLeader();
          Advance(milliseconds(100));
        }
        if (isKilled) {
          KillLeader();
        } else {
          RestartLeader();
        }
        SetPollsWait();
        EndRuns();
        AdvanceToLeader();
        Advance(kLimit);
        CheckRuns(1);
      }
    }
  }

  // The record says that the worker owes nothing, but a leader of a version
  // without such records has started a task there since. Guards against a
  // second run beside the first one during an upgrade (TWICE).
  void TrustsNoIdleWorkerOfALeaderThatDoesNotKeepRecords()
  {
    StartLeader(2);
    SubmitSpread("a", 1);
    Advance(milliseconds(1000));
    const std::int64_t epoch = NewestEpoch();
    mInstances.clear();
    Store("journal", "e/w1", EncodeWorkerLease({ epoch, 0, 1 }));
    Store("workers", "w1", "");
    StoreFormerLeader(epoch + 1);
    const base::TimePoint takenOverAt = mClock.Now();
    Store("workers", "w2", "1");
    AddInstances(1);
    mInstances.back()->mClient.mUnreachable.insert("w1");
    while (mWorkers["w2"].mRuns.empty() &&
           mClock.Now() < takenOverAt + kLeasesTime) {
      Advance(kStep);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w2"].mRuns.size());
    CPPUNIT_ASSERT(mClock.Now() >= takenOverAt + kLeaderLease);
  }

  // Guards against instances of two versions that take each other's records for
  // malformed during an upgrade, or a field that is missing for a fact.
  void ReadsLeaseRecordsOfOtherVersions()
  {
    using FormerFields = std::tuple<std::int64_t, std::int64_t>;
    const auto former =
      DecodeWorkerLease(base::PackMsgpack(FormerFields{ 7, 300 }));
    CPPUNIT_ASSERT(former);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 7 }, former.value().mEpoch);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 300 }, former.value().mRemainingMs);
    CPPUNIT_ASSERT(!former.value().mIdleIncarnationStartMs);
    const auto read =
      base::UnpackMsgpack<FormerFields>(EncodeWorkerLease({ 8, 200, 5 }));
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT(read.value() == FormerFields(8, 200));
    const auto present = DecodeWorkerLease(EncodeWorkerLease({ 8, 200, 5 }));
    CPPUNIT_ASSERT(present);
    CPPUNIT_ASSERT(present.value().mIdleIncarnationStartMs ==
                   std::optional<std::int64_t>(5));
    // Another value than 1 is that of a later version.
    const auto later = DecodeWorkerLease(base::PackMsgpack(
      std::make_tuple(std::int64_t{ 8 }, std::int64_t{ 200 }, 2, 5)));
    CPPUNIT_ASSERT(later);
    CPPUNIT_ASSERT(!later.value().mIdleIncarnationStartMs);
  }

  // An instance that has run for long begins to lead, and the registry does not
  // list a worker that fell silent a lease before. Guards against a leader that
  // takes the worker for missing since it has read the journal itself, and at
  // once removes it from there, so that the next one does not ask it.
  void KeepsAWorkerThatTheFirstListingOfALeaderLacks()
  {
    StartLeader(2);
    Store("workers", "w2", "1");
    Advance(milliseconds(30'000));
    Disconnect("w2");
    Advance(kDropTime);
    Store("workers", "w2", "");
    RestartLeader();
    // Leaves the instance that has run for long.
    mInstances.pop_back();
    AdvanceToLeader();
    Advance(milliseconds(1100));
    // Changes the journal, with which a deletion would be written.
    SubmitSpread("b", 1);
    Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), NewestRecord("w2"));
    Advance(milliseconds(3000));
    SubmitSpread("c", 1);
    Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::string(), NewestRecord("w2"));
  }

  // Workers leave the registry and return, instances are killed and restarted,
  // and appends are lost, at random times. Guards against two runs of a task at
  // the same time, and against tasks that are never started again.
  void RunsEveryTaskOnceWhileTheRegistryLosesWorkers()
  {
    const char* seeds = std::getenv("SKYLARKHILL_WORKER_SEEDS");
    const int count = seeds != nullptr ? std::atoi(seeds) : kSeeds;
    for (int seed = 1; seed <= count; ++seed) {
      RunSeed(seed);
    }
  }

private:
  /// Stores a job with lasting tasks, of which a worker takes one.
  void SubmitSpread(const std::string& aId, int aTasks)
  {
    jobs::Step step;
    step.mIsService = true;
    step.mCount = aTasks;
    step.mMaxPerWorker = 1;
    step.mResources.mMilliProcessors = 1000;
    Submit(aId, { step });
  }

  /// Ends the process that leads, without a resignation, and starts another.
  void KillLeader()
  {
    const auto found = std::find_if(
      mInstances.begin(), mInstances.end(), [](const auto& aInstance) {
        return aInstance->mNode.IsDispatching();
      });
    CPPUNIT_ASSERT(found != mInstances.end());
    mInstances.erase(found);
    AddInstances(1);
  }

  /// One worker runs a task, and another one without a run has left. The lease
  /// of that one has not ended.
  void StartBesideAWorkerThatHasLeft()
  {
    StartLeader(2);
    SubmitSpread("a", 1);
    Advance(milliseconds(1000));
    Store("workers", "w2", std::string(kDraining));
    Advance(milliseconds(1000));
    Disconnect("w2");
    Store("workers", "w2", "");
    Advance(milliseconds(1000));
    CheckRuns(1);
    CPPUNIT_ASSERT(!NewestValue("e/w2").empty());
  }

  /// Polls take their time from now on, also those that fail.
  void SetPollsWait()
  {
    for (auto& it : mInstances) {
      it->mClient.mPollsWait = true;
    }
  }

  /// Two workers run a task each, and a third one has room.
  void StartBesideASpareWorker(int aInstances)
  {
    StartLeader(aInstances);
    Store("workers", "w2", "1");
    SubmitSpread("a", 2);
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w2"].mRuns.size());
    Store("workers", "w3", "1");
    Advance(milliseconds(1000));
  }

  /// A leader hands over, a worker is cut off, and an instance leads again. The
  /// run of the worker goes on until its lease ends.
  void CheckHandOver(int aInstances)
  {
    StartBesideASpareWorker(aInstances);
    const auto found = std::find_if(
      mInstances.begin(), mInstances.end(), [](const auto& aInstance) {
        return aInstance->mNode.IsDispatching();
      });
    Instance& leader = **found;
    leader.mLog.mUnreadableTopics.insert("journal");
    const base::TimePoint end = mClock.Now() + kLeasesTime;
    while (leader.mNode.IsDispatching() && mClock.Now() < end) {
      Advance(kStep);
    }
    CPPUNIT_ASSERT_EQUAL(0, CountLeaders());
    const base::TimePoint cutAt = mClock.Now();
    Disconnect("w2");
    leader.mLog.mUnreadableTopics.clear();
    AdvanceAndCheck(cutAt + kMaxTimeWithoutRun - mClock.Now(), "hand-over");
    CheckRuns(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w3"].mRuns.size());
  }

  /// Two workers run a task each, a third one has died and left the registry,
  /// and its lease has ended.
  void StartBesideADroppedWorker()
  {
    StartLeader(2);
    Store("workers", "w2", "1");
    SubmitSpread("a", 2);
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w2"].mRuns.size());
    Store("workers", "w3", "1");
    Advance(milliseconds(1000));
    Disconnect("w2");
    mWorkers["w2"].mRuns.clear();
    Store("workers", "w2", "");
    Advance(kDropTime);
    CheckRuns(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w3"].mRuns.size());
    // The journal still names the worker.
    CPPUNIT_ASSERT_EQUAL(std::string("1"), NewestRecord("w2"));
  }

  /// Advances until an instance leads.
  void AdvanceToLeader()
  {
    const base::TimePoint end = mClock.Now() + kLeasesTime;
    while (CountLeaders() == 0 && mClock.Now() < end) {
      Advance(kStep);
    }
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
  }

  /// Leaves only the newest record of each key that has a value.
  void ExpireJournal()
  {
    mState.mFirstOffsets["journal"] =
      static_cast<std::int64_t>(mState.mStreams["journal"].size());
  }

  /// A follower misses the deletion of a lease record, by the leader that wrote
  /// it or by the next one, and leads when the lease has been extended.
  void CheckLeaseRecordOfAnExpiredJournal(bool aHasNextLeader)
  {
    Instance* leader = &StartLeader(2);
    SubmitSpread("a", 1);
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w1"].mRuns.size());
    Instance& follower =
      leader == mInstances[0].get() ? *mInstances[1] : *mInstances[0];
    leader->mClient.mUnreachable.insert("w1");
    Advance(milliseconds(3000));
    follower.mLog.mUnreadableTopics.insert("journal");
    if (aHasNextLeader) {
      RestartLeader();
      AdvanceToLeader();
      leader = mInstances.back().get();
      CPPUNIT_ASSERT(leader->mNode.IsDispatching());
    }
    const std::int64_t leaseEnd = mWorkers["w1"].mLeaseEndMs;
    leader->mClient.mUnreachable.clear();
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT(NewestValue("e/w1").empty());
    CPPUNIT_ASSERT(mWorkers["w1"].mLeaseEndMs > leaseEnd);
    ExpireJournal();
    follower.mLog.mUnreadableTopics.clear();
    Store("workers", "w2", "1");
    Advance(milliseconds(2000));
    follower.mClient.mUnreachable.insert("w1");
    EraseOthers(follower);
    const base::TimePoint end = mClock.Now() + kLeasesTime;
    while (mWorkers["w2"].mRuns.empty() && mClock.Now() < end) {
      Advance(kStep);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mWorkers["w2"].mRuns.size());
    const std::int64_t startedMs = base::ToMicros(mClock.Now()) / 1000;
    CPPUNIT_ASSERT_MESSAGE(
      "ms before the end of the lease: " +
        std::to_string(mWorkers["w1"].mLeaseEndMs - startedMs),
      startedMs > mWorkers["w1"].mLeaseEndMs);
  }

  /// Ends all processes but one, without a resignation.
  void EraseOthers(const Instance& aInstance)
  {
    mInstances.erase(std::remove_if(mInstances.begin(),
                                    mInstances.end(),
                                    [&](const auto& aOther) {
                                      return aOther.get() != &aInstance;
                                    }),
                     mInstances.end());
  }

  /// Stores the record of a leader of a version without WorkerLeaseRecords.
  void StoreFormerLeader(std::int64_t aEpoch)
  {
    Store("leaders",
          "leader",
          base::PackMsgpack(std::make_tuple(aEpoch, std::string("old"), true)));
  }

  std::string NewestRecord(const std::string& aWorkerId)
  {
    return NewestValue("w/" + aWorkerId);
  }

  std::string NewestValue(const std::string& aKey)
  {
    std::string newest;
    for (const auto& it : mState.mStreams["journal"]) {
      if (it.mKey == aKey) {
        newest = it.mValue;
      }
    }
    return newest;
  }

  std::map<std::string, int> CountRunsByTask() const
  {
    std::map<std::string, int> runs;
    for (const auto& [id, worker] : mWorkers) {
      for (const auto& it : worker.mRuns) {
        ++runs[ToText(it.mTask)];
      }
    }
    return runs;
  }

  /// Checks that `aTasks` tasks run, each of them once.
  void CheckRuns(std::size_t aTasks) const
  {
    const auto runs = CountRunsByTask();
    CPPUNIT_ASSERT_EQUAL(aTasks, runs.size());
    for (const auto& [task, count] : runs) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(task, 1, count);
    }
  }

  /// Ends the runs of workers whose lease has ended.
  void ExpireLeases()
  {
    const std::int64_t now = base::ToMicros(mClock.Now()) / 1000;
    for (auto& [id, worker] : mWorkers) {
      if (worker.mLeaseEndMs >= now) {
        continue;
      }
      for (const auto& it : worker.mRuns) {
        worker.mEndedRuns.push_back({ ++worker.mLastSequence,
                                      it.mTask,
                                      it.mRunNumber,
                                      dispatch::RunOutcome::LeaseExpired,
                                      "" });
      }
      worker.mRuns.clear();
    }
  }

  void AdvanceAndCheck(base::Duration aTime, const std::string& aSeed)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      Advance(kStep);
      ExpireLeases();
      for (const auto& [task, count] : CountRunsByTask()) {
        std::string message = aSeed;
        message.append(": runs of task ").append(task);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 1, count);
      }
    }
  }

  void RunSeed(int aSeed)
  {
    const std::string name = "seed " + std::to_string(aSeed);
    auto random = base::CreateSeededRandom(static_cast<std::uint64_t>(aSeed));
    const auto draw = [&](int aBound) {
      return static_cast<int>(
        random->Below(static_cast<std::uint64_t>(aBound)));
    };
    Restart();
    AddInstances(kInstances);
    std::map<std::string, bool> registered;
    const auto setRegistered = [&](int aWorker, bool aIsRegistered) {
      const std::string id = "w" + std::to_string(aWorker);
      if (registered[id] != aIsRegistered) {
        registered[id] = aIsRegistered;
        Store("workers", id, aIsRegistered ? "1" : "");
      }
    };
    setRegistered(0, true);
    setRegistered(1, true);
    SubmitSpread("a", 3);
    SubmitSpread("b", 2);
    const base::TimePoint end = mClock.Now() + kSeedTime;
    while (mClock.Now() < end) {
      AdvanceAndCheck(kStep * (1 + draw(2 * kStepsPerDisruption)), name);
      Instance& instance =
        *mInstances[static_cast<std::size_t>(draw(kInstances))];
      switch (draw(8)) {
        case 0:
        case 1:
          setRegistered(draw(kWorkers), draw(2) == 0);
          break;
        case 2:
          for (int n = 0; n < kWorkers; ++n) {
            setRegistered(n, draw(2) == 0);
          }
          break;
        case 3:
          if (CountLeaders() == 1) {
            if (draw(2) == 0) {
              RestartLeader();
            } else {
              KillLeader();
            }
          }
          break;
        case 4:
          instance.mLog.mUnwritableTopics.insert("journal");
          break;
        case 5: {
          const std::string id = "w" + std::to_string(draw(kWorkers));
          for (auto& it : mInstances) {
            it->mClient.mUnreachable.insert(id);
          }
          break;
        }
        case 6:
          for (auto& it : mInstances) {
            it->mLog.mUnwritableTopics.clear();
            it->mLog.mUnreadableTopics.clear();
            it->mClient.mUnreachable.clear();
          }
          break;
        default:
          if (draw(2) == 0) {
            instance.mLog.mUnreadableTopics.insert("journal");
          } else {
            instance.mClient.mUnreachable.insert(
              "w" + std::to_string(draw(kWorkers)));
          }
          break;
      }
    }
    for (auto& it : mInstances) {
      it->mLog.mUnwritableTopics.clear();
      it->mLog.mUnreadableTopics.clear();
      it->mClient.mUnreachable.clear();
    }
    for (int n = 0; n < kWorkers; ++n) {
      setRegistered(n, true);
    }
    AdvanceAndCheck(2 * kLeasesTime, name);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      name + ": tasks that run", std::size_t{ 5 }, CountRunsByTask().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerRecordsTest);

} // namespace skylarkhill::node
