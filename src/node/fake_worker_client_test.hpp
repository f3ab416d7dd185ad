#ifndef SKYLARKHILL_NODE_FAKE_WORKER_CLIENT_TEST_HPP
#define SKYLARKHILL_NODE_FAKE_WORKER_CLIENT_TEST_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/node/worker_client.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace skylarkhill::node {

/// The runs and the fencing token of a worker.
struct FakeWorkerState
{
  std::vector<dispatch::ActiveRun> mRuns;
  /// Ended runs that have not been acknowledged.
  std::deque<dispatch::EndedRun> mEndedRuns;
  std::int64_t mLastSequence = 0;
  std::int64_t mFencingToken = 0;
  /// Longest lease that an instance has requested, on the clock of the worker.
  std::int64_t mLeaseEndMs = 0;
  /// WorkerReport::mIncarnationStartMs.
  std::int64_t mIncarnationStartMs = 1;
  /// No call reaches the worker.
  bool mIsCutOff = false;
  /// Calls are carried out and not answered.
  bool mLosesAnswers = false;
};

/// By worker id; shared by all instances.
using FakeWorkers = std::map<std::string, FakeWorkerState>;

/// One instance's calls to the workers. Results are passed on in Deliver.
class FakeWorkerClient
  : public WorkerClient
  , public WorkerClients
{
public:
  WorkerClient& ClientOf(int) override { return *this; }
  FakeWorkerClient(FakeWorkers& aWorkers, const base::Clock& aClock)
    : mWorkers(aWorkers)
    , mClock(aClock)
  {
  }

  void ClearDispatcher() override
  {
    mDispatcher = nullptr;
    mResults.clear();
    mLateResults.clear();
  }

  void SetDispatcher(std::int64_t aEpoch,
                     dispatch::Dispatcher& aDispatcher) override
  {
    mEpoch = aEpoch;
    mDispatcher = &aDispatcher;
  }

  void Poll(const dispatch::PollCall& aCall) override
  {
    if (mUnreachable.count(aCall.mWorkerId) != 0 ||
        mWorkers[aCall.mWorkerId].mIsCutOff) {
      AddPollResult(aCall, kPollSlack, [this, aCall] {
        mDispatcher->OnPollFailed(aCall.mWorkerId, mClock.Now());
      });
      return;
    }
    if (!CheckFence(aCall.mWorkerId)) {
      return;
    }
    FakeWorkerState& worker = mWorkers[aCall.mWorkerId];
    if (aCall.mIncarnationStartMs.value_or(worker.mIncarnationStartMs) ==
        worker.mIncarnationStartMs) {
      CountLease(aCall.mWorkerId, aCall.mLeaseUntilMs);
      auto& ended = worker.mEndedRuns;
      while (!ended.empty() &&
             ended.front().mSequence <= aCall.mAcknowledgedSequence) {
        ended.pop_front();
      }
    }
    if (worker.mLosesAnswers) {
      AddPollResult(aCall, kPollSlack, [this, aCall] {
        mDispatcher->OnPollFailed(aCall.mWorkerId, mClock.Now());
      });
      return;
    }
    AddPollResult(aCall,
                  base::Duration::zero(),
                  [this,
                   aCall,
                   report = MakeReport(aCall.mWorkerId),
                   sentAt = mClock.Now()] {
                    // A poll that waits is answered with what runs then.
                    mDispatcher->OnReport(
                      aCall.mWorkerId,
                      mPollsWait ? MakeReport(aCall.mWorkerId) : report,
                      sentAt,
                      mClock.Now());
                  });
  }

  void Start(const dispatch::StartCall& aCall) override
  {
    if (mWorkers[aCall.mWorkerId].mIsCutOff) {
      mResults.emplace_back([this, aCall] {
        mDispatcher->OnStartResult(
          aCall, { dispatch::StartOutcome::Unknown }, mClock.Now());
      });
      return;
    }
    if (!CheckFence(aCall.mWorkerId)) {
      return;
    }
    FakeWorkerState& worker = mWorkers[aCall.mWorkerId];
    auto outcome = dispatch::StartOutcome::OtherIncarnation;
    if (aCall.mIncarnationStartMs == worker.mIncarnationStartMs) {
      mStarts.push_back(aCall);
      CountLease(aCall.mWorkerId, aCall.mLeaseUntilMs);
      AddRun(worker, aCall);
      outcome = worker.mLosesAnswers ? dispatch::StartOutcome::Unknown
                                     : dispatch::StartOutcome::Started;
    }
    mResults.emplace_back([this, aCall, outcome] {
      mDispatcher->OnStartResult(aCall, { outcome }, mClock.Now());
    });
  }

  void Stop(const dispatch::StopCall& aCall) override
  {
    if (mWorkers[aCall.mWorkerId].mIsCutOff) {
      mResults.emplace_back([this, aCall] {
        mDispatcher->OnStopResult(
          aCall, dispatch::CallOutcome::Unknown, mClock.Now());
      });
      return;
    }
    if (!CheckFence(aCall.mWorkerId)) {
      return;
    }
    auto& runs = mWorkers[aCall.mWorkerId].mRuns;
    runs.erase(std::remove_if(runs.begin(),
                              runs.end(),
                              [&](const dispatch::ActiveRun& aRun) {
                                return aRun.mTask == aCall.mTask &&
                                       aRun.mRunNumber == aCall.mRunNumber;
                              }),
               runs.end());
    const auto outcome = mWorkers[aCall.mWorkerId].mLosesAnswers
                           ? dispatch::CallOutcome::Unknown
                           : dispatch::CallOutcome::Accepted;
    mResults.emplace_back([this, aCall, outcome] {
      mDispatcher->OnStopResult(aCall, outcome, mClock.Now());
    });
  }

  void Pace(const dispatch::PaceCall& aCall) override
  {
    mResults.emplace_back([this, aCall] {
      mDispatcher->OnPaceResult(
        aCall, dispatch::CallOutcome::Accepted, mClock.Now());
    });
  }

  void Advise(const dispatch::AdviceCall&) override {}

  void Deliver()
  {
    auto results = std::move(mResults);
    mResults.clear();
    for (auto it = mLateResults.begin(); it != mLateResults.end();) {
      if (it->first > mClock.Now()) {
        ++it;
        continue;
      }
      results.push_back(std::move(it->second));
      it = mLateResults.erase(it);
    }
    for (const auto& it : results) {
      if (mDispatcher != nullptr) {
        it();
      }
    }
  }

  std::vector<dispatch::StartCall> mStarts;
  /// If set, a poll is answered after its wait, and one that fails times out.
  bool mPollsWait = false;
  static constexpr base::Duration kPollSlack = std::chrono::milliseconds(600);
  /// Workers whose polls fail.
  std::set<std::string> mUnreachable;
  /// Longest requested lease by worker, on the clock of the workers.
  std::map<std::string, std::int64_t> mLeaseEndsMs;

private:
  dispatch::WorkerReport MakeReport(const std::string& aWorkerId)
  {
    const FakeWorkerState& worker = mWorkers[aWorkerId];
    dispatch::WorkerReport report;
    report.mEndedRuns.assign(worker.mEndedRuns.begin(),
                             worker.mEndedRuns.end());
    report.mClockMs = base::ToMicros(mClock.Now()) / 1000;
    report.mIncarnationStartMs = worker.mIncarnationStartMs;
    report.mActiveRuns = worker.mRuns;
    return report;
  }

  void AddPollResult(const dispatch::PollCall& aCall,
                     base::Duration aSlack,
                     std::function<void()> aResult)
  {
    if (mPollsWait) {
      mLateResults.emplace_back(
        mClock.Now() + std::chrono::milliseconds(aCall.mWaitMs) + aSlack,
        std::move(aResult));
    } else {
      mResults.push_back(std::move(aResult));
    }
  }

  /// A repeated start does not start the run a second time.
  static void AddRun(FakeWorkerState& aWorker, const dispatch::StartCall& aCall)
  {
    const auto isSame = [&](const dispatch::ActiveRun& aRun) {
      return aRun.mTask == aCall.mTask && aRun.mRunNumber == aCall.mRunNumber;
    };
    auto& runs = aWorker.mRuns;
    if (std::none_of(runs.begin(), runs.end(), isSame)) {
      runs.push_back({ aCall.mTask, aCall.mRunNumber, "", 50, 20 });
    }
  }

  void CountLease(const std::string& aWorkerId, std::int64_t aLeaseEndMs)
  {
    auto& end = mLeaseEndsMs[aWorkerId];
    end = std::max(end, aLeaseEndMs);
    auto& workerEnd = mWorkers[aWorkerId].mLeaseEndMs;
    workerEnd = std::max(workerEnd, aLeaseEndMs);
  }

  bool CheckFence(const std::string& aWorkerId)
  {
    FakeWorkerState& worker = mWorkers[aWorkerId];
    if (mEpoch < worker.mFencingToken) {
      mResults.emplace_back(
        [this, aWorkerId] { mDispatcher->OnFenced(aWorkerId); });
      return false;
    }
    worker.mFencingToken = mEpoch;
    return true;
  }

  FakeWorkers& mWorkers;
  const base::Clock& mClock;
  std::int64_t mEpoch = 0;
  dispatch::Dispatcher* mDispatcher = nullptr;
  std::deque<std::function<void()>> mResults;
  /// Results that are passed on at a later time.
  std::vector<std::pair<base::TimePoint, std::function<void()>>> mLateResults;
};

/// The clients of the cells of one instance.
class FakeWorkerClients : public WorkerClients
{
public:
  FakeWorkerClients(FakeWorkers& aWorkers, const base::Clock& aClock)
    : mWorkers(aWorkers)
    , mClock(aClock)
  {
  }

  WorkerClient& ClientOf(int aCell) override
  {
    auto& client = mClients[aCell];
    if (client == nullptr) {
      client = std::make_unique<FakeWorkerClient>(mWorkers, mClock);
    }
    return *client;
  }

  void Deliver()
  {
    for (const auto& [cell, client] : mClients) {
      client->Deliver();
    }
  }

  std::map<int, std::unique_ptr<FakeWorkerClient>> mClients;

private:
  FakeWorkers& mWorkers;
  const base::Clock& mClock;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_FAKE_WORKER_CLIENT_TEST_HPP
