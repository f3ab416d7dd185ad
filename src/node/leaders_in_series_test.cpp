#include "skylarkhill/jobs/job_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cell_instance_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kStep{ 10 };
constexpr int kInstances = 3;
constexpr int kRestarts = 8;
/// Time of a leader until it stops. Shorter than a first poll that fails.
constexpr milliseconds kTermTime{ 400 };

} // namespace

/// Leaders that stop one after the other in a cell that has lost workers, so
/// that none of them hears from all workers in its term.
class LeadersInSeriesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeadersInSeriesTest);
  CPPUNIT_TEST(StartTasksThatWaitWithoutARun);
  CPPUNIT_TEST(StartNoTaskThatMayRunOnALostWorker);
  CPPUNIT_TEST(PassTheIdleTasksOnWithoutADispatcher);
  CPPUNIT_TEST(IgnoreTheIdleTasksOfAnOlderTerm);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    for (const char* it : { "d0w0", "d0w1" }) {
      Store("workers", it, "1");
    }
    for (int n = 0; n < kInstances; ++n) {
      StartInstance();
    }
    Advance(seconds(8));
    Submit("a");
    Submit("b");
    Advance(seconds(2));
    mLostWorker = WorkerOf("b");
    CPPUNIT_ASSERT(!mLostWorker.empty());
    mWorkers[mLostWorker].mIsCutOff = true;
  }

  // A lasting task has lost its worker, and the room that it waits for becomes
  // free while leaders stop in series. Guards against leaders that hold it back
  // until a lost worker fails to answer (LOST).
  void StartTasksThatWaitWithoutARun()
  {
    GiveUpLostRun();
    for (int n = 0; n < kRestarts; ++n) {
      RestartLeader();
      Advance(kTermTime);
    }
    CPPUNIT_ASSERT(!WorkerOf("b").empty());
  }

  // The run on the lost worker has not been given up yet. Guards against a
  // second one (TWICE).
  void StartNoTaskThatMayRunOnALostWorker()
  {
    Cancel("a");
    const base::TimePoint leaseEnd =
      base::FromMicros(mWorkers[mLostWorker].mLeaseEndMs * 1000);
    for (int n = 0; n < kRestarts && mClock.Now() < leaseEnd; ++n) {
      CPPUNIT_ASSERT_EQUAL(1, CountRuns("b"));
      RestartLeader();
      Advance(kTermTime);
    }
  }

  // A leader stops before it has read the journal. Guards against a successor
  // that does not use what the leader before has told (LOST).
  void PassTheIdleTasksOnWithoutADispatcher()
  {
    GiveUpLostRun();
    for (int n = 0; n < kRestarts && WorkerOf("b").empty(); ++n) {
      StopLeader();
      WaitForClaim();
      CPPUNIT_ASSERT(!IsDispatching());
      StopLeader();
      WaitForClaim();
      Advance(kTermTime);
    }
    CPPUNIT_ASSERT(!WorkerOf("b").empty());
  }

  // A leader is killed after a resignation. Guards against a successor that
  // takes tasks for idle that the killed one has started (TWICE).
  void IgnoreTheIdleTasksOfAnOlderTerm()
  {
    GiveUpLostRun();
    for (int n = 0; n < kRestarts && WorkerOf("b").empty(); ++n) {
      RestartLeader();
      Advance(kTermTime);
    }
    const std::string worker = WorkerOf("b");
    CPPUNIT_ASSERT(!worker.empty());
    mWorkers[worker].mIsCutOff = true;
    mWorkers[mLostWorker].mIsCutOff = false;
    mWorkers[mLostWorker].mRuns.clear();
    Store("workers", mLostWorker, "1");
    KillLeader();
    Advance(seconds(4));
    CPPUNIT_ASSERT_EQUAL(1, CountRuns("b"));
  }

private:
  /// The lease of the lost worker ends, so that "b" waits for the room of "a",
  /// which ends then.
  void GiveUpLostRun()
  {
    Store("workers", mLostWorker, "");
    Advance(seconds(12));
    mWorkers[mLostWorker].mRuns.clear();
    CPPUNIT_ASSERT_EQUAL(0, CountRuns("b"));
    Cancel("a");
  }

  void StartInstance()
  {
    NodeOptions options =
      MakeCellOptions("node" + std::to_string(++mStartCount), 0);
    options.mCells.mMaxCells = 1;
    mInstances.push_back(
      std::make_unique<CellInstance>(mState, mWorkers, mClock, options));
    for (const auto& [cell, client] : mInstances.back()->mClients.mClients) {
      client->mPollsWait = true;
    }
  }

  bool IsDispatching() const
  {
    return std::any_of(
      mInstances.begin(), mInstances.end(), [](const auto& aEntry) {
        return aEntry->mNode.IsDispatching();
      });
  }

  bool HasClaimed() const
  {
    return std::any_of(
      mInstances.begin(), mInstances.end(), [](const auto& aEntry) {
        return !aEntry->mNode.LedCells().empty();
      });
  }

  CellInstance& Leader()
  {
    const auto found = std::find_if(
      mInstances.begin(), mInstances.end(), [](const auto& aEntry) {
        return !aEntry->mNode.LedCells().empty();
      });
    CPPUNIT_ASSERT(found != mInstances.end());
    return **found;
  }

  /// The leader stops as planned, and another instance leads.
  void RestartLeader()
  {
    StopLeader();
    WaitForClaim();
  }

  void StopLeader()
  {
    CellInstance& leader = Leader();
    // Without a list of the instances, it does not wait for a successor.
    const base::TimePoint stoppedAt = mClock.Now();
    leader.mNode.Resign(stoppedAt + seconds(2));
    // Until the resignation is stored.
    do {
      Advance(kStep);
    } while (!leader.mNode.LedCells().empty());
    CPPUNIT_ASSERT(mClock.Now() - stoppedAt < seconds(1));
    Replace(leader);
  }

  void WaitForClaim()
  {
    while (!HasClaimed()) {
      Advance(kStep);
    }
  }

  void KillLeader() { Replace(Leader()); }

  void Replace(const CellInstance& aInstance)
  {
    mInstances.erase(std::remove_if(mInstances.begin(),
                                    mInstances.end(),
                                    [&](const auto& aEntry) {
                                      return aEntry.get() == &aInstance;
                                    }),
                     mInstances.end());
    StartInstance();
  }

  /// A job of one lasting task that needs a whole worker.
  void Submit(const std::string& aJobId)
  {
    jobs::Step step;
    step.mIsService = true;
    step.mResources.mMilliProcessors = kWorkerMilliProcessors;
    jobs::JobRequest request;
    request.mSteps.push_back(step);
    CPPUNIT_ASSERT(mInstances.front()->mNode.GetJobRouter().Submit(
      MakePolicy(), aJobId, request, Deadline()));
  }

  void Cancel(const std::string& aJobId)
  {
    CPPUNIT_ASSERT(
      mInstances.front()->mNode.GetJobRouter().Cancel(aJobId, Deadline()));
  }

  /// A worker that runs a task of the job; empty if there is none.
  std::string WorkerOf(const std::string& aJobId) const
  {
    for (const auto& [id, worker] : mWorkers) {
      for (const auto& it : worker.mRuns) {
        if (it.mTask.mJobId == aJobId) {
          return id;
        }
      }
    }
    return "";
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

  base::TimePoint Deadline() const { return mClock.Now() + milliseconds(400); }

  void Advance(base::Duration aTime)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(kStep);
      for (auto& it : mInstances) {
        it->mNode.Tick();
        it->mLog.Deliver();
        it->mClients.Deliver();
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
  std::vector<std::unique_ptr<CellInstance>> mInstances;
  int mStartCount = 0;
  std::string mLostWorker;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeadersInSeriesTest);

} // namespace skylarkhill::node
