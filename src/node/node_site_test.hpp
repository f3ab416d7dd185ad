#ifndef SKYLARKHILL_NODE_NODE_SITE_TEST_HPP
#define SKYLARKHILL_NODE_NODE_SITE_TEST_HPP

#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/node/node.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fake_shared_log_test.hpp"
#include "fake_worker_client_test.hpp"

namespace skylarkhill::node {

inline constexpr std::string_view kDraining = "draining";
inline constexpr std::string_view kMoved = "moved";
/// How long a leader that restarts waits for responses that the log holds back.
inline constexpr base::Duration kHeldTime = std::chrono::milliseconds(100);

/// Decodes every record to a large worker whose id is the key. It drains if the
/// value is kDraining, and has another address if it is kMoved.
class FakeDecoder : public RecordDecoder
{
public:
  std::shared_ptr<const RouteTable> DecodeRoutes(
    const LogRecord&) const override
  {
    return std::make_shared<RouteTable>(1, std::vector<Route>());
  }

  std::optional<dispatch::WorkerEntry> DecodeWorker(
    const LogRecord& aRecord) const override
  {
    dispatch::WorkerEntry entry;
    entry.mId = aRecord.mKey;
    entry.mPool = "pool";
    entry.mAddress = aRecord.mKey + (aRecord.mValue == kMoved ? ":2" : ":1");
    entry.mIsDraining = aRecord.mValue == kDraining;
    entry.mRemainingMs = entry.mIsDraining ? 60000 : entry.mRemainingMs;
    entry.mCapacity = { 16000, std::int64_t{ 1 } << 36, 0 };
    return entry;
  }
};

inline NodeOptions
MakeOptions(const std::string& aId)
{
  NodeOptions options;
  options.mInstanceId = aId;
  options.mStreams = { { "configuration", 0 },
                       { "workers", 0 },
                       { "journal", 0 },
                       { "leaders", 0 },
                       { "cells", 0 } };
  return options;
}

/// An instance with its own access to the log and to the workers.
struct Instance
{
  Instance(FakeLogState& aState,
           FakeWorkers& aWorkers,
           const base::Clock& aClock,
           const NodeOptions& aOptions)
    : mLog(aState)
    , mClient(aWorkers, aClock)
    , mProfile(aClock, mMetrics)
    , mNode(aOptions,
            mLog,
            mLog,
            mClient,
            mDecoder,
            aClock,
            journal::GetSystemWallClock(),
            mProfile,
            mMetrics)
  {
  }

  metrics::Registry mMetrics;
  FakeSharedLog mLog;
  FakeWorkerClient mClient;
  FakeDecoder mDecoder;
  LoopProfile mProfile;
  Node mNode;
};

/// A site of instances and workers that run tasks until they are stopped.
class NodeSiteFixture : public CppUnit::TestFixture
{
protected:
  void AddInstances(int aCount)
  {
    for (int n = 0; n < aCount; ++n) {
      NodeOptions options =
        MakeOptions("node" + std::to_string(mInstanceCount++));
      options.mMaxCancellationDelay = mMaxCancellationDelay;
      options.mMaxDrainDelay = mMaxDrainDelay;
      options.mLogLimits = mLogLimits;
      mInstances.push_back(
        std::make_unique<Instance>(mState, mWorkers, mClock, options));
      mInstances.back()->mClient.mUnreachable = mUnreachable;
    }
  }

  /// Removes all instances, workers and records.
  void Restart()
  {
    mInstances.clear();
    mUnreachable.clear();
    mState = {};
    mWorkers.clear();
  }

  /// Like Advance, but the journal gets a record every 20 ms.
  void AdvanceWithRecords(base::Duration aTime)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      Store("journal", "other", "1");
      Advance(std::chrono::milliseconds(20));
    }
  }

  std::int64_t NewestEpoch()
  {
    return DecodeLeaderRecord(mState.mStreams["leaders"].back().mValue)
      .value()
      .mEpoch;
  }

  /// Reads wait for records, or end by their timeouts, from now on.
  void SetReadTimeouts()
  {
    for (auto& it : mInstances) {
      it->mLog.mClock = &mClock;
    }
  }

  /// Adds a worker and the instances, and returns the instance that leads.
  Instance& StartLeader(int aCount)
  {
    Store("workers", "w1", "1");
    AddInstances(aCount);
    Advance(std::chrono::milliseconds(4000));
    const auto found = std::find_if(
      mInstances.begin(), mInstances.end(), [](const auto& aInstance) {
        return aInstance->mNode.IsDispatching();
      });
    CPPUNIT_ASSERT(found != mInstances.end());
    return **found;
  }

  /// Stores a job with one task that runs until it is stopped.
  void SubmitService(const std::string& aId)
  {
    jobs::Step step;
    step.mIsService = true;
    step.mCount = 1;
    step.mResources.mMilliProcessors = 1000;
    Submit(aId, { step });
  }

  static jobs::Submission MakeSubmission(const std::string& aId)
  {
    jobs::Submission submission;
    submission.mId = aId;
    submission.mAcceptedMs = journal::GetSystemWallClock().NowMs();
    submission.mPolicy.mPool = "pool";
    submission.mPolicy.mMaxFailedRuns = 3;
    return submission;
  }

  void Submit(const std::string& aId, std::vector<jobs::Step> aSteps)
  {
    jobs::Submission submission = MakeSubmission(aId);
    submission.mRequest.mSteps = std::move(aSteps);
    Store("journal",
          jobs::FormatRecordKey(jobs::RecordKind::Submission, aId),
          jobs::EncodeSubmission(submission));
  }

  /// No instance reaches the worker from now on.
  void Disconnect(const std::string& aWorkerId)
  {
    mUnreachable.insert(aWorkerId);
    for (auto& it : mInstances) {
      it->mClient.mUnreachable.insert(aWorkerId);
    }
  }

  /// Ends all runs of the workers.
  void EndRuns(dispatch::RunOutcome aOutcome = dispatch::RunOutcome::Done)
  {
    for (auto& [id, worker] : mWorkers) {
      for (const auto& it : worker.mRuns) {
        worker.mEndedRuns.push_back(
          { ++worker.mLastSequence, it.mTask, it.mRunNumber, aOutcome, "" });
      }
      worker.mRuns.clear();
    }
  }

  void Cancel(const std::string& aId)
  {
    Store("journal",
          jobs::FormatRecordKey(jobs::RecordKind::Cancellation, aId),
          "1");
  }

  void Store(const std::string& aTopic, std::string aKey, std::string aValue)
  {
    auto& records = mState.mStreams[aTopic];
    const auto offset = static_cast<std::int64_t>(records.size());
    records.push_back({ std::move(aKey), std::move(aValue), offset });
  }

  void Advance(base::Duration aTime)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(std::chrono::milliseconds(20));
      for (auto& it : mInstances) {
        it->mNode.Tick();
        it->mLog.Deliver();
        it->mClient.Deliver();
      }
    }
  }

  /// Replaces the instance that leads, which resigns before it stops.
  void RestartLeader()
  {
    const auto found = std::find_if(
      mInstances.begin(), mInstances.end(), [](const auto& aInstance) {
        return aInstance->mNode.IsDispatching();
      });
    CPPUNIT_ASSERT(found != mInstances.end());
    Node& node = (*found)->mNode;
    node.Resign();
    if ((*found)->mLog.mHoldsResponses) {
      Advance(kHeldTime);
      (*found)->mLog.mHoldsResponses = false;
    }
    // The process goes on until its resignation is stored. Most appends are
    // answered at once.
    for (int n = 0; n < 4 && node.IsDispatching(); ++n) {
      (*found)->mLog.Deliver();
      node.Tick();
    }
    while (node.IsDispatching()) {
      Advance(std::chrono::milliseconds(20));
    }
    (*found)->mLog.Deliver();
    mInstances.erase(found);
    AddInstances(1);
  }

  std::size_t CountRuns() { return mWorkers["w1"].mRuns.size(); }

  int CountLeaders() const
  {
    return static_cast<int>(std::count_if(
      mInstances.begin(), mInstances.end(), [](const auto& aInstance) {
        return aInstance->mNode.IsDispatching();
      }));
  }

  base::Duration mMaxCancellationDelay = NodeOptions{}.mMaxCancellationDelay;
  base::Duration mMaxDrainDelay = NodeOptions{}.mMaxDrainDelay;
  /// Limits of the log as the instances know them.
  LogLimits mLogLimits;
  base::ManualClock mClock;
  FakeLogState mState;
  FakeWorkers mWorkers;
  /// Workers whose polls fail at all instances that are added.
  std::set<std::string> mUnreachable;
  std::vector<std::unique_ptr<Instance>> mInstances;
  /// Includes instances that have been removed.
  int mInstanceCount = 0;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_NODE_SITE_TEST_HPP
