#ifndef SKYLARKHILL_NODE_LOSSY_SITE_TEST_HPP
#define SKYLARKHILL_NODE_LOSSY_SITE_TEST_HPP

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/node/node.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_shared_log_test.hpp"
#include "node_site_test.hpp"

namespace skylarkhill::node {

inline int
NumberFromEnvironment(const char* aName, int aDefault)
{
  const char* text = std::getenv(aName);
  return text != nullptr ? std::atoi(text) : aDefault;
}

/// What becomes of a call.
enum class CallFate
{
  Served,
  Refused,
  /// The call is not carried out and gets no answer.
  CallLost,
  /// The call is carried out and gets no answer.
  AnswerLost,
  /// The call is carried out after seconds and gets no answer.
  CarriedOutLate,
};

/// Carries the calls of all instances. Calls and answers take different times,
/// so they overtake each other.
class LossyNetwork
{
public:
  using Duration = base::Duration;

  LossyNetwork(const base::Clock& aClock, std::uint64_t aSeed)
    : mClock(aClock)
    , mSeed(aSeed)
  {
  }

  void At(base::TimePoint aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(aTime, std::move(aEvent));
  }

  void After(Duration aDelay, std::function<void()> aEvent)
  {
    At(mClock.Now() + aDelay, std::move(aEvent));
  }

  void RunDue()
  {
    while (!mEvents.empty() && mEvents.begin()->first <= mClock.Now()) {
      const auto event = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      event();
    }
  }

  /// A number below `aBound` that does not depend on the order of other calls.
  int Draw(int aBound, const std::string& aKey) const
  {
    const auto now =
      static_cast<std::uint64_t>(base::ToMicros(mClock.Now()) / 1000);
    return static_cast<int>(base::StableHash(aKey, mSeed * 1'000'003 + now) %
                            static_cast<std::uint64_t>(aBound));
  }

  CallFate FateOf(const std::string& aKey) const
  {
    return FateOf(aKey, mFaultPercent);
  }

  CallFate FateOf(const std::string& aKey, int aFaultPercent) const
  {
    if (Draw(100, "fate " + aKey) >= aFaultPercent) {
      return CallFate::Served;
    }
    constexpr int kFates = 4;
    return static_cast<CallFate>(1 + Draw(kFates, "kind " + aKey));
  }

  Duration DelayOf(const std::string& aKey) const
  {
    return std::chrono::milliseconds(Draw(mMaxDelayMs, "delay " + aKey));
  }

  Duration LateDelayOf(const std::string& aKey) const
  {
    return std::chrono::milliseconds(1000 + Draw(3000, "late " + aKey));
  }

  base::TimePoint Now() const { return mClock.Now(); }

  int mFaultPercent = 0;
  int mMaxDelayMs = 60;
  /// Workers that no call reaches.
  std::set<std::string> mDownWorkers;
  /// Workers that carry out calls whose answers are lost.
  std::set<std::string> mUnheardWorkers;

private:
  const base::Clock& mClock;
  const std::uint64_t mSeed;
  std::multimap<base::TimePoint, std::function<void()>> mEvents;
};

/// Passes answers on to an instance while it exists, and not during a pause.
class Recipient
{
public:
  explicit Recipient(LossyNetwork& aNetwork)
    : mNetwork(aNetwork)
    , mState(std::make_shared<State>())
  {
  }

  void After(base::Duration aDelay, std::function<void()> aEvent) const
  {
    Pass(mNetwork, mState, mNetwork.Now() + aDelay, std::move(aEvent));
  }

  bool IsPaused() const { return mState->mPausedUntil > mNetwork.Now(); }
  void Pause(base::TimePoint aUntil) { mState->mPausedUntil = aUntil; }

private:
  struct State
  {
    base::TimePoint mPausedUntil;
  };

  static void Pass(LossyNetwork& aNetwork,
                   const std::weak_ptr<State>& aState,
                   base::TimePoint aTime,
                   std::function<void()> aEvent)
  {
    aNetwork.At(
      aTime, [&aNetwork, aState, event = std::move(aEvent)]() mutable {
        const auto state = aState.lock();
        if (state == nullptr) {
          return;
        }
        if (state->mPausedUntil > aNetwork.Now()) {
          Pass(aNetwork, aState, state->mPausedUntil, std::move(event));
          return;
        }
        event();
      });
  }

  LossyNetwork& mNetwork;
  std::shared_ptr<State> mState;
};

/// The log of a LossySite.
struct LossyLogState
{
  FakeLogState mLog;
  /// Older records have expired, by stream.
  std::map<std::string, std::int64_t> mFirst;
  int mMaxKeysPerPage = 8;
};

/// One instance's access to the log. A snapshot is read in pages of a few keys,
/// between which records are written.
class LossyLog
  : public AsyncLog
  , public BlockingLog
{
public:
  LossyLog(LossyLogState& aState,
           LossyNetwork& aNetwork,
           const Recipient& aRecipient,
           std::function<void(base::TimePoint)> aRunUntil)
    : mState(aState)
    , mNetwork(aNetwork)
    , mRecipient(aRecipient)
    , mRunUntil(std::move(aRunUntil))
  {
  }

  AppendResult Append(const AppendRequest& aRequest,
                      base::TimePoint aDeadline) override
  {
    const std::string key = "blocking append " + KeyOf(aRequest);
    WaitIfDelayed(key);
    switch (FateOfAppend(aRequest, key)) {
      case CallFate::Served: {
        const AppendResult result = Apply(mState, aRequest);
        WaitIfDelayed("back " + key);
        return AwaitAnswer(aDeadline) ? result : AppendResult{};
      }
      case CallFate::Refused:
        return MakeRefusal();
      case CallFate::CallLost:
        break;
      case CallFate::AnswerLost:
        Apply(mState, aRequest);
        break;
      case CallFate::CarriedOutLate:
        ApplyAfter(mNetwork.LateDelayOf(key), aRequest);
        break;
    }
    mRunUntil(aDeadline);
    return {};
  }

  ReadResult Read(const LogStream& aStream,
                  std::int64_t aFrom,
                  base::TimePoint aDeadline) override
  {
    const std::string key = "blocking read " + std::to_string(aFrom);
    WaitIfDelayed(key);
    switch (FateOfRead(aStream, key)) {
      case CallFate::Served: {
        ReadResult result = ReadFrom(aStream, aFrom);
        WaitIfDelayed("back " + key);
        return AwaitAnswer(aDeadline) ? std::move(result) : ReadResult{};
      }
      case CallFate::Refused: {
        ReadResult refusal;
        refusal.mOutcome = LogOutcome::Refused;
        return refusal;
      }
      case CallFate::CallLost:
      case CallFate::AnswerLost:
      case CallFate::CarriedOutLate:
        break;
    }
    mRunUntil(aDeadline);
    return {};
  }

  void Append(const AppendRequest& aRequest,
              base::TimePoint aDeadline,
              std::function<void(AppendResult)> aHandler) override
  {
    const std::string key = "append " + KeyOf(aRequest);
    const base::Duration untilDeadline = aDeadline - mNetwork.Now();
    const CallFate fate = FateOfAppend(aRequest, key);
    switch (fate) {
      case CallFate::Served: {
        const base::Duration there = mNetwork.DelayOf(key);
        const base::Duration back = mNetwork.DelayOf("back " + key);
        const auto result = std::make_shared<AppendResult>();
        mNetwork.After(there, [&state = mState, aRequest, result] {
          *result = Apply(state, aRequest);
        });
        mRecipient.After(there + back,
                         [aHandler, result] { aHandler(*result); });
        return;
      }
      case CallFate::Refused:
        mRecipient.After(mNetwork.DelayOf(key),
                         [aHandler] { aHandler(MakeRefusal()); });
        return;
      case CallFate::CallLost:
        break;
      case CallFate::AnswerLost:
        ApplyAfter(mNetwork.DelayOf(key), aRequest);
        break;
      case CallFate::CarriedOutLate:
        ApplyAfter(mNetwork.LateDelayOf(key), aRequest);
        break;
    }
    mRecipient.After(untilDeadline, [aHandler] { aHandler(AppendResult{}); });
  }

  void Read(const LogStream& aStream,
            std::int64_t aFrom,
            base::Duration aWait,
            std::function<void(ReadResult)> aHandler) override
  {
    const std::string key = "read " + NameOfStream(aStream);
    const CallFate fate = FateOfRead(aStream, key);
    if (fate == CallFate::Served) {
      const base::TimePoint waitEnd = mNetwork.Now() + aWait;
      ServeRead(
        aStream, aFrom, waitEnd, [this, waitEnd, aHandler](ReadResult aResult) {
          const base::TimePoint answeredAt = mNetwork.Now() + mAnswerTime;
          const base::TimePoint deadline = waitEnd + kReadSlack;
          const bool isInTime = answeredAt <= deadline;
          mRecipient.After(
            std::min(answeredAt, deadline) - mNetwork.Now(),
            [aHandler, result = isInTime ? std::move(aResult) : ReadResult{}] {
              aHandler(result);
            });
        });
      return;
    }
    ReadResult result;
    base::Duration delay = aWait + kReadSlack;
    if (fate == CallFate::Refused) {
      result.mOutcome = LogOutcome::Refused;
      delay = mNetwork.DelayOf(key);
    }
    mRecipient.After(delay, [aHandler, result] { aHandler(result); });
  }

  void ReadNewest(const LogStream& aStream,
                  std::function<void(ReadResult)> aHandler) override
  {
    ReadPage(aStream, "", ReadResult{}, std::move(aHandler));
  }

  /// No call reaches the log.
  bool mIsCut = false;
  /// Streams whose reads get no answer, by NameOfStream.
  std::set<std::string> mUnreadableStreams;
  /// What becomes of the appends to single streams, by NameOfStream.
  std::map<std::string, CallFate> mAppendFates;
  /// Share of the calls of this instance that are not served; none: that of the
  /// network.
  std::optional<int> mFaultPercent;
  /// Blocking calls take time, in which the site goes on.
  bool mDelaysBlockingCalls = false;
  /// Time that the answers of the log take on the link of the instance, those
  /// to appends of its call loop aside.
  base::Duration mAnswerTime{ 0 };

private:
  static constexpr base::Duration kReadSlack = std::chrono::milliseconds(900);
  static constexpr base::Duration kPageTimeout = std::chrono::seconds(2);

  /// Lets the site go on until the answer to a blocking call arrives. Returns
  /// false if it arrives after the deadline.
  bool AwaitAnswer(base::TimePoint aDeadline)
  {
    if (mAnswerTime > base::Duration::zero()) {
      const base::TimePoint answeredAt = mNetwork.Now() + mAnswerTime;
      mRunUntil(std::min(answeredAt, aDeadline));
      return answeredAt <= aDeadline;
    }
    return true;
  }

  CallFate FateOf(const std::string& aKey) const
  {
    if (mIsCut) {
      return CallFate::CallLost;
    }
    return mFaultPercent ? mNetwork.FateOf(aKey, *mFaultPercent)
                         : mNetwork.FateOf(aKey);
  }

  CallFate FateOfRead(const LogStream& aStream, const std::string& aKey) const
  {
    return mUnreadableStreams.count(NameOfStream(aStream)) != 0
             ? CallFate::CallLost
             : FateOf(aKey);
  }

  CallFate FateOfAppend(const AppendRequest& aRequest,
                        const std::string& aKey) const
  {
    const auto found = mAppendFates.find(NameOfStream(aRequest.mStream));
    return found != mAppendFates.end() && !mIsCut ? found->second
                                                  : FateOf(aKey);
  }

  /// One direction of a blocking call.
  void WaitIfDelayed(const std::string& aKey)
  {
    if (!mDelaysBlockingCalls) {
      return;
    }
    mRunUntil(mNetwork.Now() + mNetwork.DelayOf(aKey));
    while (mRecipient.IsPaused()) {
      mRunUntil(mNetwork.Now() + std::chrono::milliseconds(20));
    }
  }

  static std::string KeyOf(const AppendRequest& aRequest)
  {
    const std::string record =
      aRequest.mRecords.empty() ? "" : aRequest.mRecords.front().mKey;
    return NameOfStream(aRequest.mStream) + " " + record;
  }

  static AppendResult MakeRefusal()
  {
    AppendResult refusal;
    refusal.mOutcome = LogOutcome::Refused;
    return refusal;
  }

  static AppendResult Apply(LossyLogState& aState,
                            const AppendRequest& aRequest)
  {
    FakeSharedLog log(aState.mLog);
    BlockingLog& blocking = log;
    return blocking.Append(aRequest, base::kNoDeadline);
  }

  void ApplyAfter(base::Duration aDelay, const AppendRequest& aRequest)
  {
    mNetwork.After(aDelay,
                   [&state = mState, aRequest] { Apply(state, aRequest); });
  }

  ReadResult ReadFrom(const LogStream& aStream, std::int64_t aFrom)
  {
    if (aFrom < mState.mFirst[NameOfStream(aStream)]) {
      ReadResult result;
      result.mOutcome = LogOutcome::Expired;
      return result;
    }
    FakeSharedLog log(mState.mLog);
    const int records = 1 + mNetwork.Draw(30, std::to_string(aFrom));
    log.mMaxRecordsPerRead = static_cast<std::size_t>(records);
    BlockingLog& blocking = log;
    return blocking.Read(aStream, aFrom, base::kNoDeadline);
  }

  void ServeRead(const LogStream& aStream,
                 std::int64_t aFrom,
                 base::TimePoint aWaitEnd,
                 std::function<void(ReadResult)> aHandler)
  {
    if (mUnreadableStreams.count(NameOfStream(aStream)) != 0) {
      mRecipient.After(
        aWaitEnd + kReadSlack - mNetwork.Now(),
        [handler = std::move(aHandler)] { handler(ReadResult{}); });
      return;
    }
    ReadResult result = mIsCut ? ReadResult{} : ReadFrom(aStream, aFrom);
    if (result.mOutcome == LogOutcome::Done && result.mRecords.empty() &&
        mNetwork.Now() < aWaitEnd) {
      mRecipient.After(
        std::chrono::milliseconds(20),
        [this, aStream, aFrom, aWaitEnd, handler = std::move(aHandler)] {
          ServeRead(aStream, aFrom, aWaitEnd, handler);
        });
      return;
    }
    mRecipient.After(mNetwork.DelayOf("answer " + NameOfStream(aStream)),
                     [handler = std::move(aHandler),
                      result = std::move(result)] { handler(result); });
  }

  void ReadPage(const LogStream& aStream,
                const std::string& aAfterKey,
                ReadResult aPartialResult,
                std::function<void(ReadResult)> aHandler)
  {
    const std::string key = "page " + NameOfStream(aStream) + aAfterKey;
    const CallFate fate = FateOfRead(aStream, key);
    if (fate != CallFate::Served) {
      const bool isRefused = fate == CallFate::Refused;
      mRecipient.After(isRefused ? mNetwork.DelayOf(key) : kPageTimeout,
                       [aHandler] { aHandler(ReadResult{}); });
      return;
    }
    ReadResult& result = aPartialResult;
    const auto& records = mState.mLog.mStreams[NameOfStream(aStream)];
    if (aAfterKey.empty()) {
      result.mNextOffset = static_cast<std::int64_t>(records.size());
    }
    std::map<std::string, const LogRecord*> newest;
    for (const auto& it : records) {
      newest[it.mKey] = &it;
    }
    int keys = 1 + mNetwork.Draw(mState.mMaxKeysPerPage, "keys " + key);
    auto it = newest.upper_bound(aAfterKey);
    std::string last = aAfterKey;
    for (; it != newest.end() && keys > 0; ++it) {
      last = it->first;
      // A key without a value is dropped.
      if (!it->second->mValue.empty()) {
        result.mRecords.push_back(*it->second);
        --keys;
      }
    }
    const bool hasMore = it != newest.end();
    const base::Duration delay = mNetwork.DelayOf(key) + mAnswerTime;
    if (hasMore) {
      mRecipient.After(delay,
                       [this,
                        aStream,
                        last,
                        partial = std::move(aPartialResult),
                        handler = std::move(aHandler)] {
                         ReadPage(aStream, last, partial, handler);
                       });
      return;
    }
    result.mOutcome = LogOutcome::Done;
    mRecipient.After(delay,
                     [handler = std::move(aHandler),
                      result = std::move(aPartialResult)] { handler(result); });
  }

  LossyLogState& mState;
  LossyNetwork& mNetwork;
  const Recipient& mRecipient;
  /// Lets the site go on while a blocking call waits.
  const std::function<void(base::TimePoint)> mRunUntil;
};

/// A worker with leases, fencing tokens and run numbers.
class LossyWorker
{
public:
  explicit LossyWorker(const base::Clock& aClock)
    : mClock(aClock)
  {
  }

  /// Returns false if a higher fencing token has been seen.
  bool CheckFence(std::int64_t aToken)
  {
    if (aToken < mToken) {
      return false;
    }
    mToken = aToken;
    return true;
  }

  void ExtendLease(std::int64_t aUntilMs)
  {
    const std::int64_t highest = NowMs() + kMaxLeaseMs;
    mLeaseEndMs = std::max(mLeaseEndMs, std::min(aUntilMs, highest));
  }

  void Acknowledge(std::int64_t aSequence)
  {
    mEnded.erase(std::remove_if(mEnded.begin(),
                                mEnded.end(),
                                [&](const dispatch::EndedRun& aRun) {
                                  return aRun.mSequence <= aSequence;
                                }),
                 mEnded.end());
  }

  dispatch::WorkerReport Report() const
  {
    dispatch::WorkerReport report;
    report.mClockMs = NowMs();
    report.mIncarnationStartMs = mIncarnation;
    report.mActiveRuns = mRuns;
    report.mEndedRuns = mEnded;
    return report;
  }

  dispatch::StartOutcome Start(const dispatch::StartCall& aCall)
  {
    if (aCall.mLeaseUntilMs <= NowMs()) {
      return dispatch::StartOutcome::TooLate;
    }
    ExtendLease(aCall.mLeaseUntilMs);
    for (const auto& it : mRuns) {
      if (it.mTask == aCall.mTask && it.mRunNumber == aCall.mRunNumber) {
        return dispatch::StartOutcome::Started;
      }
    }
    const auto highest = mHighestRuns.find(ToText(aCall.mTask));
    if (highest != mHighestRuns.end() && aCall.mRunNumber <= highest->second) {
      return dispatch::StartOutcome::OldRun;
    }
    mRuns.push_back({ aCall.mTask, aCall.mRunNumber, "", 100, 20 });
    return dispatch::StartOutcome::Started;
  }

  /// The run ends later, in EndStopped.
  void Stop(const dispatch::StopCall& aCall)
  {
    CountRun(aCall.mTask, aCall.mRunNumber);
  }

  void EndStopped(const dispatch::StopCall& aCall)
  {
    for (auto it = mRuns.begin(); it != mRuns.end(); ++it) {
      if (it->mTask == aCall.mTask && it->mRunNumber == aCall.mRunNumber) {
        End(*it, dispatch::RunOutcome::Stopped);
        mRuns.erase(it);
        return;
      }
    }
  }

  void ExpireLease()
  {
    if (mLeaseEndMs >= NowMs()) {
      return;
    }
    for (const auto& it : mRuns) {
      End(it, dispatch::RunOutcome::LeaseExpired);
    }
    mRuns.clear();
  }

  /// Fails all runs, as tasks may at any time.
  void FailRuns()
  {
    for (const auto& it : mRuns) {
      End(it, dispatch::RunOutcome::Failed);
    }
    mRuns.clear();
  }

  /// Starts again under the same id.
  void Restart()
  {
    ++mIncarnation;
    mRuns.clear();
    mEnded.clear();
    mHighestRuns.clear();
    mLastSequence = 0;
    mToken = 0;
    mLeaseEndMs = 0;
    mClockStart = mClock.Now();
  }

  const std::vector<dispatch::ActiveRun>& Runs() const { return mRuns; }

private:
  static constexpr std::int64_t kMaxLeaseMs = 6000;

  std::int64_t NowMs() const
  {
    return 1 + base::ToMicros(mClock.Now()) / 1000 -
           base::ToMicros(mClockStart) / 1000;
  }

  void CountRun(const dispatch::TaskId& aTask, int aRunNumber)
  {
    int& highest = mHighestRuns[ToText(aTask)];
    highest = std::max(highest, aRunNumber);
  }

  void End(const dispatch::ActiveRun& aRun, dispatch::RunOutcome aOutcome)
  {
    CountRun(aRun.mTask, aRun.mRunNumber);
    mEnded.push_back(
      { ++mLastSequence, aRun.mTask, aRun.mRunNumber, aOutcome, "" });
  }

  const base::Clock& mClock;
  std::vector<dispatch::ActiveRun> mRuns;
  std::vector<dispatch::EndedRun> mEnded;
  /// The highest run that was stopped or has ended, by task.
  std::map<std::string, int> mHighestRuns;
  std::int64_t mLastSequence = 0;
  std::int64_t mToken = 0;
  std::int64_t mLeaseEndMs = 0;
  std::int64_t mIncarnation = 1;
  base::TimePoint mClockStart;
};

using LossyWorkers = std::map<std::string, LossyWorker>;

/// One instance's calls to the workers.
class LossyWorkerClient
  : public WorkerClient
  , public WorkerClients
{
public:
  LossyWorkerClient(LossyWorkers& aWorkers,
                    LossyNetwork& aNetwork,
                    const Recipient& aRecipient)
    : mWorkers(aWorkers)
    , mNetwork(aNetwork)
    , mRecipient(aRecipient)
  {
  }

  WorkerClient& ClientOf(int) override { return *this; }

  void ClearDispatcher() override
  {
    mDispatcher = nullptr;
    ++mGeneration;
  }

  void SetDispatcher(std::int64_t aEpoch,
                     dispatch::Dispatcher& aDispatcher) override
  {
    mEpoch = aEpoch;
    mDispatcher = &aDispatcher;
    ++mGeneration;
  }

  void Poll(const dispatch::PollCall& aCall) override
  {
    const std::string key = "poll " + aCall.mWorkerId;
    const base::TimePoint sentAt = mNetwork.Now();
    const auto wait = std::chrono::milliseconds(
      mNetwork.Draw(aCall.mWaitMs + 1, "wait " + key));
    const auto report =
      std::make_shared<std::optional<dispatch::WorkerReport>>();
    Send(
      key,
      aCall.mWorkerId,
      std::chrono::milliseconds(aCall.mWaitMs + 800),
      wait,
      [epoch = mEpoch, aCall](LossyWorker& aWorker) {
        if (!aWorker.CheckFence(epoch)) {
          return false;
        }
        aWorker.ExtendLease(aCall.mLeaseUntilMs);
        aWorker.Acknowledge(aCall.mAcknowledgedSequence);
        return true;
      },
      [report](const LossyWorker& aWorker) { *report = aWorker.Report(); },
      [this, aCall, report, sentAt](CallResult aResult) {
        if (aResult == CallResult::Accepted) {
          mDispatcher->OnReport(
            aCall.mWorkerId, **report, sentAt, mNetwork.Now());
          return;
        }
        if (aResult == CallResult::Fenced) {
          mDispatcher->OnFenced(aCall.mWorkerId);
        }
        mDispatcher->OnPollFailed(aCall.mWorkerId, mNetwork.Now());
      });
  }

  void Start(const dispatch::StartCall& aCall) override
  {
    if (mOnStart) {
      mOnStart(aCall);
    }
    const std::string key = "start " + aCall.mWorkerId + ToText(aCall.mTask);
    const auto outcome = std::make_shared<dispatch::StartOutcome>();
    Send(
      key,
      aCall.mWorkerId,
      kCallTimeout,
      base::Duration::zero(),
      [epoch = mEpoch, aCall, outcome](LossyWorker& aWorker) {
        if (!aWorker.CheckFence(epoch)) {
          return false;
        }
        *outcome = aWorker.Start(aCall);
        return true;
      },
      [](const LossyWorker&) {},
      [this, aCall, outcome](CallResult aResult) {
        dispatch::StartResult result;
        switch (aResult) {
          case CallResult::Accepted:
            result.mOutcome = *outcome;
            break;
          case CallResult::Fenced:
            result.mOutcome = dispatch::StartOutcome::Fenced;
            break;
          case CallResult::Refused:
            result.mOutcome = dispatch::StartOutcome::Unhealthy;
            break;
          case CallResult::Unknown:
            break;
        }
        mDispatcher->OnStartResult(aCall, result, mNetwork.Now());
      });
  }

  void Stop(const dispatch::StopCall& aCall) override
  {
    const std::string key = "stop " + aCall.mWorkerId + ToText(aCall.mTask);
    const auto stopTime =
      std::chrono::milliseconds(mNetwork.Draw(kStopMs, "end " + key));
    Send(
      key,
      aCall.mWorkerId,
      kCallTimeout,
      base::Duration::zero(),
      [epoch = mEpoch,
       aCall,
       stopTime,
       &network = mNetwork,
       &workers = mWorkers](LossyWorker& aWorker) {
        if (!aWorker.CheckFence(epoch)) {
          return false;
        }
        aWorker.Stop(aCall);
        network.After(stopTime, [&workers, aCall] {
          workers.at(aCall.mWorkerId).EndStopped(aCall);
        });
        return true;
      },
      [](const LossyWorker&) {},
      [this, aCall](CallResult aResult) {
        dispatch::CallOutcome outcome = dispatch::CallOutcome::Unknown;
        switch (aResult) {
          case CallResult::Accepted:
            outcome = dispatch::CallOutcome::Accepted;
            break;
          case CallResult::Fenced:
            outcome = dispatch::CallOutcome::Fenced;
            break;
          case CallResult::Refused:
            outcome = dispatch::CallOutcome::Refused;
            break;
          case CallResult::Unknown:
            break;
        }
        mDispatcher->OnStopResult(aCall, outcome, mNetwork.Now());
      });
  }

  void Pace(const dispatch::PaceCall&) override {}
  void Advise(const dispatch::AdviceCall&) override {}

  /// Workers that no call of this instance reaches.
  std::set<std::string> mCutWorkers;
  /// Called when a start is sent.
  std::function<void(const dispatch::StartCall&)> mOnStart;

private:
  static constexpr base::Duration kCallTimeout = std::chrono::milliseconds(600);
  static constexpr int kStopMs = 200;

  enum class CallResult
  {
    Accepted,
    Fenced,
    Refused,
    Unknown,
  };

  /// `aCarryOut` returns false if the worker fences the call. `aAnswer` is
  /// called `aWait` after it, and `aHandler` when the answer arrives or the
  /// call times out.
  void Send(const std::string& aKey,
            const std::string& aWorkerId,
            base::Duration aTimeout,
            base::Duration aWait,
            const std::function<bool(LossyWorker&)>& aCarryOut,
            const std::function<void(const LossyWorker&)>& aAnswer,
            const std::function<void(CallResult)>& aHandler)
  {
    const bool isCut = mCutWorkers.count(aWorkerId) != 0 ||
                       mNetwork.mDownWorkers.count(aWorkerId) != 0;
    CallFate fate = isCut ? CallFate::CallLost : mNetwork.FateOf(aKey);
    if (fate == CallFate::Served &&
        mNetwork.mUnheardWorkers.count(aWorkerId) != 0) {
      fate = CallFate::AnswerLost;
    }
    const auto handle =
      [this, generation = mGeneration, aHandler](CallResult aResult) {
        if (generation == mGeneration) {
          aHandler(aResult);
        }
      };
    const base::Duration there = mNetwork.DelayOf(aKey);
    const auto result = std::make_shared<CallResult>(CallResult::Unknown);
    const auto carryOut = [&workers = mWorkers, aWorkerId, aCarryOut, result] {
      const auto found = workers.find(aWorkerId);
      if (found != workers.end()) {
        *result =
          aCarryOut(found->second) ? CallResult::Accepted : CallResult::Fenced;
      }
    };
    switch (fate) {
      case CallFate::Served: {
        mNetwork.After(there, carryOut);
        mNetwork.After(there + aWait,
                       [&workers = mWorkers, aWorkerId, aAnswer] {
                         const auto found = workers.find(aWorkerId);
                         if (found != workers.end()) {
                           aAnswer(found->second);
                         }
                       });
        mRecipient.After(there + aWait + mNetwork.DelayOf("back " + aKey),
                         [handle, result] { handle(*result); });
        return;
      }
      case CallFate::Refused:
        mRecipient.After(there, [handle] { handle(CallResult::Refused); });
        return;
      case CallFate::CallLost:
        break;
      case CallFate::AnswerLost:
        mNetwork.After(there, carryOut);
        break;
      case CallFate::CarriedOutLate:
        mNetwork.After(mNetwork.LateDelayOf(aKey), carryOut);
        break;
    }
    mRecipient.After(aTimeout, [handle] { handle(CallResult::Unknown); });
  }

  LossyWorkers& mWorkers;
  LossyNetwork& mNetwork;
  const Recipient& mRecipient;
  std::int64_t mEpoch = 0;
  dispatch::Dispatcher* mDispatcher = nullptr;
  std::uint64_t mGeneration = 0;
};

/// An instance whose calls go through a LossyNetwork.
template<typename TClients, typename TDecoder>
struct BasicLossyInstance
{
  BasicLossyInstance(
    LossyLogState& aLog,
    LossyWorkers& aWorkers,
    LossyNetwork& aNetwork,
    const base::Clock& aClock,
    const NodeOptions& aOptions,
    std::function<void(base::TimePoint)> aRunUntil,
    const journal::WallClock& aWallClock = journal::GetSystemWallClock())
    : mRecipient(aNetwork)
    , mLog(aLog, aNetwork, mRecipient, std::move(aRunUntil))
    , mClient(aWorkers, aNetwork, mRecipient)
    , mProfile(aClock, mMetrics)
    , mNode(aOptions,
            mLog,
            mLog,
            mClient,
            mDecoder,
            aClock,
            aWallClock,
            mProfile,
            mMetrics)
  {
  }

  metrics::Registry mMetrics;
  Recipient mRecipient;
  LossyLog mLog;
  TClients mClient;
  TDecoder mDecoder;
  LoopProfile mProfile;
  Node mNode;
  /// Time between two ticks; those of a small instance are far apart.
  base::Duration mTickInterval{ 0 };
  base::TimePoint mNextTickAt;
};

using LossyInstance = BasicLossyInstance<LossyWorkerClient, FakeDecoder>;

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_LOSSY_SITE_TEST_HPP
