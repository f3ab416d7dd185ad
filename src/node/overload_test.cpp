#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/node/node.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_shared_log_test.hpp"

namespace skylarkhill::node {

using base::Duration;
using base::TimePoint;
using dispatch::TaskId;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const NodeStreams kStreams{ { "configuration", 0 },
                            { "workers", 0 },
                            { "journal", 0 },
                            { "leaders", 0 },
                            { "cells", 0 } };

constexpr std::int64_t kWorkerMilliProcessors = 16000;
constexpr int kWorkerCount = 490;

/// Processor time of an instance with half a core.
constexpr Duration kStartCost = microseconds(300);
constexpr Duration kCallCost = microseconds(250);
constexpr Duration kAnswerCost = microseconds(150);
/// For 1,000 workers that are considered for a task.
constexpr Duration kSearchCost = microseconds(500);

constexpr Duration kLatency = milliseconds(2);
constexpr Duration kCallTimeout = milliseconds(600);
constexpr Duration kPollSlack = milliseconds(800);
/// Turns of the call loop in which a call is connected, sent and answered.
constexpr int kTurnsPerCall = 3;
constexpr Duration kIdleStep = milliseconds(4);

/// The leader renews every 800 ms, and candidates claim after 2,200 ms.
constexpr Duration kMaxRenewalGap = milliseconds(1200);
constexpr Duration kMaxTickTime = milliseconds(200);

/// A claim that is due at the end of an overload has been stored by then.
constexpr Duration kTakeoverTime = seconds(3);
/// Time in which the jobs of an overload must be complete after that.
constexpr Duration kDrainTime = seconds(25);

std::int64_t
ToMs(TimePoint aTime)
{
  return base::ToMicros(aTime) / 1000;
}

class ManualWallClock : public journal::WallClock
{
public:
  explicit ManualWallClock(const base::Clock& aClock)
    : mClock(aClock)
  {
  }
  std::int64_t NowMs() const override { return ToMs(mClock.Now()); }

private:
  const base::Clock& mClock;
};

class WorkerDecoder : public RecordDecoder
{
public:
  std::shared_ptr<const RouteTable> DecodeRoutes(
    const LogRecord&) const override
  {
    return nullptr;
  }
  std::optional<dispatch::WorkerEntry> DecodeWorker(
    const LogRecord& aRecord) const override
  {
    dispatch::WorkerEntry entry;
    entry.mId = aRecord.mKey;
    entry.mPool = "pool";
    entry.mAddress = aRecord.mKey + ":1";
    entry.mCapacity = { kWorkerMilliProcessors, std::int64_t{ 1 } << 36, 0 };
    entry.mIncarnationStartMs = 1;
    return entry;
  }
};

/// Workers with their fencing tokens, leases and runs.
class SimulatedWorkers
{
public:
  struct Run
  {
    TaskId mTask;
    int mNumber = 0;
    TimePoint mEndsAt;
  };
  struct Worker
  {
    std::int64_t mEpoch = 0;
    TimePoint mLeaseEndsAt;
    std::vector<Run> mRuns;
    std::vector<dispatch::EndedRun> mEndedRuns;
    std::int64_t mNextSequence = 1;
    std::map<std::string, int> mHighestEndedRuns;
  };

  Worker& Find(const std::string& aId) { return mWorkers[aId]; }

  void EndRuns(Worker& aWorker, TimePoint aNow)
  {
    const bool isLeaseExpired = aWorker.mLeaseEndsAt < aNow;
    auto& runs = aWorker.mRuns;
    for (std::size_t n = 0; n < runs.size();) {
      if (runs[n].mEndsAt > aNow && !isLeaseExpired) {
        ++n;
        continue;
      }
      EndRun(aWorker,
             n,
             runs[n].mEndsAt <= aNow ? dispatch::RunOutcome::Done
                                     : dispatch::RunOutcome::LeaseExpired);
    }
  }

  void EndRun(Worker& aWorker,
              std::size_t aIndex,
              dispatch::RunOutcome aOutcome)
  {
    const Run run = aWorker.mRuns[aIndex];
    aWorker.mRuns.erase(aWorker.mRuns.begin() +
                        static_cast<std::ptrdiff_t>(aIndex));
    const std::string name = ToText(run.mTask);
    aWorker.mEndedRuns.push_back(
      { aWorker.mNextSequence++, run.mTask, run.mNumber, aOutcome, "" });
    auto& highest = aWorker.mHighestEndedRuns[name];
    highest = std::max(highest, run.mNumber);
    mRunningTasks.erase(name);
    if (aOutcome == dispatch::RunOutcome::Done) {
      mDoneTasks.insert(name);
    } else {
      ++mUnfinishedRuns;
    }
  }

  dispatch::StartOutcome Start(const dispatch::StartCall& aCall,
                               std::int64_t aEpoch,
                               TimePoint aNow)
  {
    Worker& worker = Find(aCall.mWorkerId);
    EndRuns(worker, aNow);
    if (aEpoch < worker.mEpoch) {
      return dispatch::StartOutcome::Fenced;
    }
    worker.mEpoch = aEpoch;
    const std::string name = ToText(aCall.mTask);
    const bool isRunning = std::any_of(
      worker.mRuns.begin(), worker.mRuns.end(), [&](const Run& aRun) {
        return aRun.mTask == aCall.mTask && aRun.mNumber == aCall.mRunNumber;
      });
    if (isRunning) {
      return dispatch::StartOutcome::Started;
    }
    const auto ended = worker.mHighestEndedRuns.find(name);
    if (ended != worker.mHighestEndedRuns.end() &&
        aCall.mRunNumber <= ended->second) {
      return dispatch::StartOutcome::OldRun;
    }
    worker.mLeaseEndsAt = std::max(
      worker.mLeaseEndsAt, base::FromMicros(aCall.mLeaseUntilMs * 1000));
    if (!mRunningTasks.insert(name).second) {
      mDoubleRuns.push_back(name);
    }
    mStartedJobs.push_back(aCall.mTask.mJobId);
    worker.mRuns.push_back({ aCall.mTask, aCall.mRunNumber, aNow + mRunTime });
    return dispatch::StartOutcome::Started;
  }

  Duration mRunTime = seconds(1);
  std::set<std::string> mRunningTasks;
  std::set<std::string> mDoneTasks;
  /// Runs that were stopped or whose lease expired.
  int mUnfinishedRuns = 0;
  std::vector<std::string> mDoubleRuns;
  /// Job id of each start, in order.
  std::vector<std::string> mStartedJobs;

private:
  std::map<std::string, Worker> mWorkers;
};

/// A client whose calls and answers take processor time of the instance. A
/// response that is read after the deadline of its call counts as missing.
class CostlyClient
  : public WorkerClient
  , public WorkerClients
{
public:
  WorkerClient& ClientOf(int) override { return *this; }
  CostlyClient(SimulatedWorkers& aWorkers, base::ManualClock& aClock)
    : mWorkers(aWorkers)
    , mClock(aClock)
  {
  }

  void SetDispatcher(std::int64_t aEpoch,
                     dispatch::Dispatcher& aDispatcher) override
  {
    mEpoch = aEpoch;
    mDispatcher = &aDispatcher;
  }

  void ClearDispatcher() override
  {
    mDispatcher = nullptr;
    mCalls.clear();
  }

  void Poll(const dispatch::PollCall& aCall) override
  {
    Work(kCallCost);
    const TimePoint sentAt = mClock.Now();
    auto& worker = mWorkers.Find(aCall.mWorkerId);
    mWorkers.EndRuns(worker, sentAt);
    const Duration wait = milliseconds(aCall.mWaitMs);
    if (mEpoch < worker.mEpoch) {
      AddCall(sentAt + kLatency,
              sentAt + kPollSlack,
              [this, id = aCall.mWorkerId](bool aIsAnswered) {
                if (aIsAnswered) {
                  mDispatcher->OnFenced(id);
                }
                mDispatcher->OnPollFailed(id, mClock.Now());
              });
      return;
    }
    worker.mEpoch = mEpoch;
    if (aCall.mLeaseUntilMs > 0) {
      worker.mLeaseEndsAt = std::max(
        worker.mLeaseEndsAt, base::FromMicros(aCall.mLeaseUntilMs * 1000));
    }
    auto& ended = worker.mEndedRuns;
    ended.erase(std::remove_if(ended.begin(),
                               ended.end(),
                               [&](const auto& aRun) {
                                 return aRun.mSequence <=
                                        aCall.mAcknowledgedSequence;
                               }),
                ended.end());
    AddCall(
      sentAt + wait + kLatency,
      sentAt + wait + kPollSlack,
      [this, id = aCall.mWorkerId, sentAt](bool aIsAnswered) {
        if (!aIsAnswered) {
          mDispatcher->OnPollFailed(id, mClock.Now());
          return;
        }
        dispatch::WorkerReport report;
        report.mClockMs = ToMs(mClock.Now());
        report.mIncarnationStartMs = 1;
        auto& polled = mWorkers.Find(id);
        report.mEndedRuns = polled.mEndedRuns;
        for (const auto& it : polled.mRuns) {
          const auto left = it.mEndsAt - mClock.Now();
          const auto percent =
            static_cast<int>(100 - 100 * left / mWorkers.mRunTime);
          report.mActiveRuns.push_back(
            { it.mTask, it.mNumber, "", percent, 20 });
        }
        mDispatcher->OnReport(id, report, sentAt, mClock.Now());
      },
      &worker);
  }

  void Start(const dispatch::StartCall& aCall) override
  {
    Work(kStartCost);
    const TimePoint sentAt = mClock.Now();
    const auto outcome = mWorkers.Start(aCall, mEpoch, sentAt);
    AddCall(sentAt + kLatency,
            sentAt + kCallTimeout,
            [this, aCall, outcome](bool aIsAnswered) {
              mLateAnswers += aIsAnswered ? 0 : 1;
              mDispatcher->OnStartResult(
                aCall,
                { aIsAnswered ? outcome : dispatch::StartOutcome::Unknown },
                mClock.Now());
            });
  }

  void Stop(const dispatch::StopCall& aCall) override
  {
    Work(kCallCost);
    const TimePoint sentAt = mClock.Now();
    auto& worker = mWorkers.Find(aCall.mWorkerId);
    auto outcome = dispatch::CallOutcome::Accepted;
    if (mEpoch < worker.mEpoch) {
      outcome = dispatch::CallOutcome::Fenced;
    } else {
      auto& highest = worker.mHighestEndedRuns[ToText(aCall.mTask)];
      highest = std::max(highest, aCall.mRunNumber);
      for (std::size_t n = 0; n < worker.mRuns.size(); ++n) {
        if (worker.mRuns[n].mTask == aCall.mTask &&
            worker.mRuns[n].mNumber <= aCall.mRunNumber) {
          mWorkers.EndRun(worker, n, dispatch::RunOutcome::Stopped);
          break;
        }
      }
    }
    AddCall(sentAt + kLatency,
            sentAt + kCallTimeout,
            [this, aCall, outcome](bool aIsAnswered) {
              mDispatcher->OnStopResult(
                aCall,
                aIsAnswered ? outcome : dispatch::CallOutcome::Unknown,
                mClock.Now());
            });
  }

  void Pace(const dispatch::PaceCall&) override {}
  void Advise(const dispatch::AdviceCall&) override {}

  /// Handles the responses that have arrived and the calls whose deadline has
  /// passed.
  void Deliver()
  {
    const TimePoint now = mClock.Now();
    for (Call& it : mCalls) {
      ++it.mTurns;
    }
    std::vector<Call> calls;
    const auto isOpen = [&](const Call& aCall) {
      return now <= aCall.mDeadline && !IsAnswered(aCall, now);
    };
    const auto due =
      std::stable_partition(mCalls.begin(), mCalls.end(), isOpen);
    std::move(due, mCalls.end(), std::back_inserter(calls));
    mCalls.erase(due, mCalls.end());
    for (const auto& it : calls) {
      if (mDispatcher == nullptr) {
        return;
      }
      Work(kAnswerCost);
      it.mHandler(now <= it.mDeadline);
    }
  }

  void Work(Duration aCost)
  {
    mClock.Advance(Duration(static_cast<Duration::rep>(
      mCostFactor * static_cast<double>(aCost.count()))));
  }

  double mCostFactor = 1.0;
  /// Starts whose response was read too late.
  int mLateAnswers = 0;

private:
  struct Call
  {
    TimePoint mAnsweredAt;
    TimePoint mDeadline;
    std::function<void(bool aIsAnswered)> mHandler;
    /// Long polls only: an ended run makes the worker answer.
    SimulatedWorkers::Worker* mWorker = nullptr;
    /// Turns of the call loop since the call was made.
    int mTurns = 0;
  };

  bool IsAnswered(const Call& aCall, TimePoint aNow)
  {
    if (aCall.mTurns < kTurnsPerCall) {
      return false;
    }
    if (aCall.mWorker != nullptr) {
      mWorkers.EndRuns(*aCall.mWorker, aNow);
    }
    return aCall.mAnsweredAt <= aNow ||
           (aCall.mWorker != nullptr && !aCall.mWorker->mEndedRuns.empty());
  }

  void AddCall(TimePoint aAnsweredAt,
               TimePoint aDeadline,
               std::function<void(bool)> aHandler,
               SimulatedWorkers::Worker* aWorker = nullptr)
  {
    mCalls.push_back({ aAnsweredAt, aDeadline, std::move(aHandler), aWorker });
  }

  SimulatedWorkers& mWorkers;
  base::ManualClock& mClock;
  std::int64_t mEpoch = 0;
  dispatch::Dispatcher* mDispatcher = nullptr;
  std::vector<Call> mCalls;
};

/// A node with its own processor, whose clock advances with its work.
struct SimulatedInstance
{
  SimulatedInstance(FakeLogState& aState,
                    SimulatedWorkers& aWorkers,
                    const std::string& aId,
                    TimePoint aNow)
    : mLog(aState)
    , mClient(aWorkers, mClock)
  {
    mClock.Set(aNow);
    NodeOptions options;
    options.mInstanceId = aId;
    options.mProcessors = 0.5;
    options.mStreams = kStreams;
    mNode = std::make_unique<Node>(options,
                                   mLog,
                                   mLog,
                                   mClient,
                                   mDecoder,
                                   mClock,
                                   mWallClock,
                                   mProfile,
                                   mMetrics);
  }

  base::ManualClock mClock;
  ManualWallClock mWallClock{ mClock };
  metrics::Registry mMetrics;
  LoopProfile mProfile{ mClock, mMetrics };
  FakeSharedLog mLog;
  CostlyClient mClient;
  WorkerDecoder mDecoder;
  std::int64_t mCandidates = 0;
  std::unique_ptr<Node> mNode;
};

/// Instances that share a log and workers.
class Cluster
{
public:
  Cluster()
  {
    for (int n = 0; n < kWorkerCount; ++n) {
      const std::string id = "w" + std::to_string(n);
      mState.mStreams[kStreams.mWorkers.mTopic].push_back({ id, id, n });
    }
  }

  void AddInstances(int aCount)
  {
    for (int n = 0; n < aCount; ++n) {
      mInstances.push_back(std::make_unique<SimulatedInstance>(
        mState, mWorkers, "node" + std::to_string(mInstances.size()), mNow));
    }
  }

  /// Stores jobs of one step. The priority of job n is n modulo 3.
  void AddJobs(int aCount, int aTasks, bool aMayHaveStarted = false)
  {
    auto& journal = mState.mStreams[kStreams.mJournal.mTopic];
    for (int n = 0; n < aCount; ++n) {
      jobs::Submission submission;
      submission.mId = "job" + std::to_string(mJobCount++);
      submission.mAcceptedMs = ToMs(mNow) + n;
      submission.mPolicy.mQueue = "queue";
      submission.mPolicy.mPool = "pool";
      submission.mPolicy.mPriority = n % 3;
      submission.mPolicy.mMaxFailedRuns = 3;
      submission.mPolicy.mTargetLatencyMs = 600'000;
      jobs::Step step;
      step.mCount = aTasks;
      step.mResources = { 1000, 1 << 20, 0 };
      step.mEstimateMs = mWorkers.mRunTime / milliseconds(1);
      submission.mRequest.mSteps.push_back(step);
      mTaskCount += static_cast<std::size_t>(aTasks);
      mRanks[submission.mId] = { submission.mPolicy.mPriority,
                                 submission.mAcceptedMs };
      journal.push_back(
        { jobs::FormatRecordKey(jobs::RecordKind::Submission, submission.mId),
          jobs::EncodeSubmission(submission),
          static_cast<std::int64_t>(journal.size()) });
      if (aMayHaveStarted) {
        jobs::JobProgress progress;
        progress.mMayHaveStarted = true;
        journal.push_back(
          { jobs::FormatRecordKey(jobs::RecordKind::Progress, submission.mId),
            jobs::EncodeProgress(progress),
            static_cast<std::int64_t>(journal.size()) });
      }
    }
  }

  void SetCostFactor(double aFactor)
  {
    for (auto& it : mInstances) {
      it->mClient.mCostFactor = aFactor;
    }
  }

  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (true) {
      const auto next =
        std::min_element(mInstances.begin(),
                         mInstances.end(),
                         [](const auto& aLeft, const auto& aRight) {
                           return aLeft->mClock.Now() < aRight->mClock.Now();
                         });
      mNow = std::max(mNow, std::min(end, (*next)->mClock.Now()));
      if ((*next)->mClock.Now() >= end) {
        break;
      }
      RunTurn(**next);
    }
    if (mLastRenewalAt != TimePoint{}) {
      mLongestRenewalGap =
        std::max(mLongestRenewalGap, Duration(mNow - mLastRenewalAt));
    }
  }

  /// Epoch of the newest leader record; 0 if there is none.
  std::int64_t Epoch() const
  {
    const auto found = mState.mStreams.find(kStreams.mLeader.mTopic);
    return found == mState.mStreams.end() || found->second.empty()
             ? 0
             : DecodeLeaderRecord(found->second.back().mValue).value().mEpoch;
  }

  /// Starts before one of a job with precedence.
  int CountStartsOutOfOrder() const
  {
    int n = 0;
    std::pair<int, std::int64_t> last{ 0, 0 };
    for (const auto& it : mWorkers.mStartedJobs) {
      const auto rank = mRanks.at(it);
      n += rank < last ? 1 : 0;
      last = std::max(last, rank);
    }
    return n;
  }

  int CountLateAnswers() const
  {
    int n = 0;
    for (const auto& it : mInstances) {
      n += it->mClient.mLateAnswers;
    }
    return n;
  }

  bool IsDrained() const { return mWorkers.mDoneTasks.size() == mTaskCount; }

  FakeLogState mState;
  SimulatedWorkers mWorkers;
  std::vector<std::unique_ptr<SimulatedInstance>> mInstances;
  std::size_t mTaskCount = 0;
  Duration mLongestRenewalGap{ 0 };
  Duration mLongestTick{ 0 };

private:
  void RunTurn(SimulatedInstance& aInstance)
  {
    const TimePoint begun = aInstance.mClock.Now();
    const std::int64_t renewals = CountLeaderRecords();
    aInstance.mNode->Tick();
    const std::int64_t candidates =
      aInstance.mMetrics
        .GetCounter("skylarkhill_placement_candidates_total",
                    "Workers considered for a task, over all tasks.")
        .Value();
    aInstance.mClient.Work((candidates - aInstance.mCandidates) * kSearchCost /
                           1000);
    aInstance.mCandidates = candidates;
    const TimePoint now = aInstance.mClock.Now();
    mLongestTick = std::max(mLongestTick, Duration(now - begun));
    if (CountLeaderRecords() != renewals) {
      if (mLastRenewalAt != TimePoint{}) {
        mLongestRenewalGap =
          std::max(mLongestRenewalGap, Duration(now - mLastRenewalAt));
      }
      mLastRenewalAt = now;
    }
    aInstance.mClient.Deliver();
    aInstance.mLog.Deliver();
    aInstance.mClock.Advance(kIdleStep);
  }

  std::int64_t CountLeaderRecords()
  {
    return static_cast<std::int64_t>(
      mState.mStreams[kStreams.mLeader.mTopic].size());
  }

  TimePoint mNow = base::FromMicros(1'000'000'000);
  TimePoint mLastRenewalAt;
  int mJobCount = 0;
  /// Priority and time of acceptance of each job.
  std::map<std::string, std::pair<int, std::int64_t>> mRanks;
};

} // namespace

/// Instances whose calls take processor time, with a backlog of jobs.
class OverloadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(KeepsTheLeaderDuringABacklog);
  CPPUNIT_TEST(KeepsALeaderThatBeginsWithABacklog);
  CPPUNIT_TEST(TakesOverABacklogWhenTheLeaderIsLost);
  CPPUNIT_TEST(ReadsAnswersInTimeWithLittleProcessorTime);
  CPPUNIT_TEST(SettlesAfterAnOverload);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a leader that loses its leadership while it starts a
  // backlog, and against starts whose answers are read too late.
  void KeepsTheLeaderDuringABacklog()
  {
    Cluster cluster;
    cluster.AddInstances(3);
    cluster.Run(seconds(6));
    cluster.AddJobs(700, 7);
    cluster.Run(seconds(15));
    CheckBacklog(cluster, 1);
    CPPUNIT_ASSERT_EQUAL(0, cluster.CountStartsOutOfOrder());
  }

  // Guards against a first turn of a term that delays the first renewal.
  void KeepsALeaderThatBeginsWithABacklog()
  {
    Cluster cluster;
    cluster.AddJobs(700, 7, true);
    cluster.AddInstances(3);
    cluster.Run(seconds(20));
    CheckBacklog(cluster, 1);
  }

  // Guards against a backlog that every new leader fails to start, and against
  // a leader that stops runs of jobs that it does not know yet.
  void TakesOverABacklogWhenTheLeaderIsLost()
  {
    Cluster cluster;
    cluster.mWorkers.mRunTime = seconds(4);
    cluster.AddInstances(4);
    cluster.Run(seconds(6));
    cluster.AddJobs(700, 7);
    cluster.Run(milliseconds(1500));
    const auto leader = std::find_if(
      cluster.mInstances.begin(),
      cluster.mInstances.end(),
      [](const auto& aEntry) { return aEntry->mNode->IsDispatching(); });
    CPPUNIT_ASSERT(leader != cluster.mInstances.end());
    cluster.mInstances.erase(leader);
    cluster.Run(seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, cluster.Epoch());
    CPPUNIT_ASSERT(cluster.mLongestTick <= kMaxTickTime);
    CPPUNIT_ASSERT_EQUAL(0, cluster.mWorkers.mUnfinishedRuns);
    CPPUNIT_ASSERT(cluster.mWorkers.mDoubleRuns.empty());
    CPPUNIT_ASSERT(cluster.IsDrained());
  }

  // Guards against starts that are stopped and ordered again, because a leader
  // with little processor time reads their answers too late.
  void ReadsAnswersInTimeWithLittleProcessorTime()
  {
    Cluster cluster;
    cluster.AddInstances(3);
    cluster.Run(seconds(6));
    cluster.SetCostFactor(4.0);
    cluster.AddJobs(700, 7);
    cluster.Run(seconds(10));
    const std::size_t starts = cluster.mWorkers.mStartedJobs.size();
    const int late = cluster.CountLateAnswers();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, cluster.Epoch());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(late) + " late answers of " +
                             std::to_string(starts) + " starts",
                           static_cast<std::size_t>(late) * 20 <= starts);
    CPPUNIT_ASSERT(starts > 500);
  }

  // Guards against terms that go on changing once an overload has ended.
  void SettlesAfterAnOverload()
  {
    std::mt19937 random(16);
    for (int round = 0; round < 4; ++round) {
      Cluster cluster;
      cluster.mWorkers.mRunTime =
        milliseconds(500 + static_cast<int>(random() % 3500));
      cluster.AddInstances(7);
      cluster.Run(seconds(5));
      for (int n = 0; n < 8; ++n) {
        cluster.SetCostFactor(static_cast<double>(2 + random() % 7));
        cluster.AddJobs(static_cast<int>(100 + random() % 300),
                        static_cast<int>(1 + random() % 8));
        cluster.Run(seconds(1));
      }
      cluster.SetCostFactor(1.0);
      // Claims that are due at the end of the overload.
      cluster.Run(kTakeoverTime);
      const std::int64_t epoch = cluster.Epoch();
      cluster.Run(kDrainTime);
      const std::string name = "round " + std::to_string(round);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, epoch, cluster.Epoch());
      CPPUNIT_ASSERT_MESSAGE(name, cluster.mWorkers.mDoubleRuns.empty());
      CPPUNIT_ASSERT_MESSAGE(name, cluster.IsDrained());
    }
  }

private:
  static void CheckBacklog(const Cluster& aCluster, std::int64_t aEpoch)
  {
    const auto toMs = [](Duration aTime) {
      return std::to_string(aTime.count() / 1000) + " ms";
    };
    CPPUNIT_ASSERT_MESSAGE("longest tick " + toMs(aCluster.mLongestTick),
                           aCluster.mLongestTick <= kMaxTickTime);
    CPPUNIT_ASSERT_MESSAGE("renewal gap " + toMs(aCluster.mLongestRenewalGap),
                           aCluster.mLongestRenewalGap <= kMaxRenewalGap);
    CPPUNIT_ASSERT_EQUAL(aEpoch, aCluster.Epoch());
    CPPUNIT_ASSERT_EQUAL(0, aCluster.CountLateAnswers());
    CPPUNIT_ASSERT(aCluster.mWorkers.mDoubleRuns.empty());
    CPPUNIT_ASSERT(aCluster.IsDrained());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

} // namespace skylarkhill::node
