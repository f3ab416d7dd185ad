#include "skylarkhill/testing/site_simulation.hpp"

#include "skylarkhill/base/random.hpp"
#include "skylarkhill/catalog/config_state.hpp"
#include "skylarkhill/holder/task_runner.hpp"
#include "skylarkhill/journal/batch_writer.hpp"
#include "skylarkhill/journal/journal_service.hpp"
#include "skylarkhill/journal/record_codec.hpp"
#include "skylarkhill/journal/site_state.hpp"
#include "skylarkhill/journal/snapshot_planner.hpp"
#include "skylarkhill/journal/stream_reader.hpp"
#include "skylarkhill/requests/request_machine.hpp"
#include "skylarkhill/tasks/task_names.hpp"
#include "skylarkhill/testing/fake_log.hpp"
#include "skylarkhill/testing/fake_worker.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <tuple>

namespace skylarkhill::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulated time is in microseconds.
constexpr std::int64_t kMillisecond = 1000;
constexpr std::int64_t kSecond = 1000 * kMillisecond;
constexpr std::int64_t kFaultsEnd = 30 * kSecond;
constexpr std::int64_t kMaxRunLength = 90 * kSecond;
constexpr std::int64_t kRetentionMs = 20'000;
constexpr std::int64_t kMaxOutage = 3 * kSecond;
constexpr std::int64_t kAppendTimeout = 500 * kMillisecond;
/// Time for which new work may still reach a leaving worker. A holder whose
/// polls fail learns of the departure only when its 2 s lease ends; 1 s more
/// covers messages in flight.
constexpr std::int64_t kLeavingGrace = 3 * kSecond;
constexpr std::size_t kInstances = 3;
constexpr std::size_t kWorkers = 2;
constexpr base::Resources kCapacity{ 4000, 4000, 1 };

/// An instance's clock, which differs from simulated time in offset and rate.
class SkewedClock : public base::Clock
{
public:
  SkewedClock(const std::int64_t& aTime, std::int64_t aOffset, double aRate)
    : mTime(aTime)
    , mOffset(aOffset)
    , mRate(aRate)
  {
  }

  base::TimePoint Now() const override
  {
    return base::FromMicros(
      mOffset + static_cast<std::int64_t>(mRate * static_cast<double>(mTime)));
  }

private:
  const std::int64_t& mTime;
  std::int64_t mOffset;
  double mRate;
};

/// An instance's state for one worker.
struct Agent
{
  std::unique_ptr<holder::LeaseMachine> mLease;
  std::unique_ptr<holder::Ledger> mLedger;
  std::unique_ptr<holder::TaskRunner> mRunner;
  base::TimePoint mAcquiredAt;
  std::map<std::uint64_t, base::TimePoint> mSentAt;
  /// Simulated time until which the instance and the worker are disconnected.
  std::int64_t mUnreachableUntil = 0;
};

/// A request that an instance handles for a caller.
struct Session
{
  std::uint64_t mNumber = 0;
  std::unique_ptr<requests::RequestMachine> mMachine;
  /// Another session has claimed the key.
  bool mAwaitsKeyOutcome = false;
  std::optional<requests::RequestResult> mResult;
};

using SubmitCallback =
  std::function<void(const base::Result<platform::Offset>&)>;

/// Records that wait to be appended or, once appended, to be read back.
struct Submission
{
  std::vector<journal::SiteRecord> mRecords;
  base::TimePoint mDeadline;
  /// Set once appended.
  std::optional<platform::Offset> mOffset;
  SubmitCallback mCallback;
};

/// A configuration change whose outcome is not known yet.
struct PendingPublish
{
  catalog::RecordIdentity mIdentity;
  std::string mPayload;
  int mRemainingSends = 20;
};

struct Instance
{
  Instance(std::string aName, std::unique_ptr<SkewedClock> aClock)
    : mId{ aName }
    , mClock(std::move(aClock))
    , mWriter({ aName, 300, 500, 16'384 })
    , mState({ 3, kRetentionMs, 20 })
    , mPlanner({ { aName }, kRetentionMs, 50, 200 })
    , mBudget({}, mClock->Now())
  {
  }

  base::TimePoint Now() const { return mClock->Now(); }

  base::InstanceId mId;
  std::unique_ptr<SkewedClock> mClock;
  std::int64_t mPausedUntil = 0;
  /// Simulated time until which the instance and the log are disconnected.
  std::int64_t mLogUnreachableUntil = 0;
  std::array<Agent, kWorkers> mAgents;

  journal::BatchWriter mWriter;
  journal::StreamReader mReader;
  journal::SiteState mState;
  journal::SnapshotPlanner mPlanner;
  std::uint64_t mAppendNumber = 0;
  bool mIsAppending = false;
  std::uint64_t mReadNumber = 0;
  journal::Ticket mNextTicket = 1;
  std::map<journal::Ticket, Submission> mSubmissions;
  std::set<base::TaskId> mPendingGrants;

  requests::RetryBudget mBudget;
  std::map<std::uint64_t, Session> mSessions;

  catalog::ConfigState mConfig;
  std::int64_t mConfigSequence = 0;
  std::vector<PendingPublish> mPendingPublishes;
};

/// Discrete-event simulation of all instances, workers and log streams.
class Simulation
{
public:
  Simulation(std::uint64_t aSeed, const SiteSimulationOptions& aOptions)
    : mRandom(base::CreateSeededRandom(aSeed))
    , mOptions(aOptions)
    , mLog(mClock, { 0, milliseconds(kRetentionMs) })
    , mOracle({ 3, kRetentionMs, 20 })
  {
    SetTime(0);
    for (std::size_t n = 0; n < kWorkers; ++n) {
      FakeWorkerConfig config;
      config.mWorker = { "worker-" + std::to_string(n) };
      config.mCapacity = kCapacity;
      config.mSlots = 4;
      config.mConnections = 16;
      config.mClockOffset = base::Duration(RandomBelow(1000 * kSecond));
      config.mHasGuards = false;
      mWorkers.push_back(std::make_unique<FakeWorker>(mClock, config));
    }
    for (std::size_t n = 0; n < kInstances; ++n) {
      mInstances.push_back(CreateInstance());
    }
    Schedule(200 * kMillisecond, [this] { GenerateLoad(); });
    Schedule(kSecond, [this] { InjectRandomFault(); });
    Schedule(kFaultsEnd, [this] { StopFaults(); });
  }

  SiteSimulationResult Run()
  {
    while (mResult.mViolation.empty() && mTime < kMaxRunLength &&
           !IsFinished()) {
      const Event event = mEvents.top();
      mEvents.pop();
      SetTime(event.mTime);
      event.mAction();
      CheckSingleHolder();
      CheckConfig();
    }
    if (mResult.mViolation.empty() && !IsFinished()) {
      ReportViolation("not finished: " + FirstUnfinished());
    }
    mResult.mTrace.assign(mTrace.begin(), mTrace.end());
    for (const auto& it : mKeyExecutions) {
      mResult.mExecutedKeys += it.second > 0 ? 1 : 0;
    }
    return mResult;
  }

private:
  struct Event
  {
    std::int64_t mTime = 0;
    std::uint64_t mSequence = 0;
    std::function<void()> mAction;

    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mTime, aOther.mSequence) <
             std::tie(mTime, mSequence);
    }
  };
  using InstanceRef = std::weak_ptr<Instance>;

  std::int64_t RandomBelow(std::int64_t aBound)
  {
    return static_cast<std::int64_t>(
      mRandom->Below(static_cast<std::uint64_t>(aBound)));
  }

  bool Chance(int aPercent) { return RandomBelow(100) < aPercent; }
  bool AreFaultsEnabled() const { return mTime < kFaultsEnd; }
  bool FaultOccurs(int aPercent)
  {
    return AreFaultsEnabled() && Chance(aPercent);
  }

  void SetTime(std::int64_t aTime)
  {
    mTime = aTime;
    mClock.Set(base::FromMicros(kSecond + aTime));
  }

  // Slow messages stay below the maximum message delay of 300 ms as measured by
  // the fastest clock.
  std::int64_t MessageDelay()
  {
    return FaultOccurs(15)
             ? 280 * kMillisecond - RandomBelow(150 * kMillisecond)
             : 200 + RandomBelow(5'000);
  }

  void ReportViolation(const std::string& aText)
  {
    if (mResult.mViolation.empty()) {
      mResult.mViolation = aText;
    }
    Trace("violation: " + aText);
  }

  void Trace(const std::string& aText)
  {
    constexpr std::size_t kMaxTrace = 80;
    mTrace.push_back(std::to_string(mTime / kMillisecond) + " ms " + aText);
    if (mTrace.size() > kMaxTrace) {
      mTrace.pop_front();
    }
  }

  void Schedule(std::int64_t aDelay, std::function<void()> aAction)
  {
    mEvents.push({ mTime + aDelay, mNextEvent++, std::move(aAction) });
  }

  /// Runs `aAction` after `aDelay`, or when the instance resumes if it is
  /// paused then. An instance that has crashed by then never runs it.
  void ScheduleAtInstance(const InstanceRef& aRef,
                          std::int64_t aDelay,
                          std::function<void(Instance&)> aAction)
  {
    Schedule(aDelay, [this, aRef, action = std::move(aAction)] {
      const auto instance = aRef.lock();
      if (!instance) {
        return;
      }
      if (mTime < instance->mPausedUntil) {
        ScheduleAtInstance(aRef, instance->mPausedUntil - mTime, action);
        return;
      }
      action(*instance);
    });
  }

  std::shared_ptr<Instance> CreateInstance()
  {
    // Clocks are up to 1% fast or slow, so two of them drift apart by up to
    // 40 ms during a lease of 2 s; the margin is 100 ms.
    auto clock = std::make_unique<SkewedClock>(
      mTime,
      1000 * kSecond + RandomBelow(1000 * kSecond),
      1 + static_cast<double>(RandomBelow(20'001) - 10'000) / 1e6);
    const std::string name = "entry-" + std::to_string(mNextInstance++);
    auto instance = std::make_shared<Instance>(name, std::move(clock));
    instance->mWriter.SetLiveInstances(kInstances);
    holder::LeaseOptions options;
    options.mLeaseDuration = seconds(2);
    options.mRenewInterval = milliseconds(300);
    options.mClockMargin = milliseconds(100);
    // A restarted worker no longer knows its holder, so a new holder waits
    // longer than the lease length plus the message delay.
    options.mQuietPeriod = milliseconds(mOptions.mHasQuietPeriod ? 2500 : 0);
    options.mRequestTimeout = milliseconds(600);
    options.mTakeoverDelay = milliseconds(500);
    options.mScanInterval = milliseconds(100);
    for (auto& it : instance->mAgents) {
      it.mLease = std::make_unique<holder::LeaseMachine>(
        instance->mId, options, *mRandom);
    }
    const InstanceRef ref = instance;
    ScheduleAtInstance(
      ref, RandomBelow(20'000), [this, ref](Instance&) { StepInstance(ref); });
    ScheduleAtInstance(ref, RandomBelow(20'000), [this, ref](Instance&) {
      ReadSiteStream(ref);
    });
    ScheduleAtInstance(
      ref, RandomBelow(20'000), [this, ref](Instance&) { ReadConfig(ref); });
    return instance;
  }

  void StepInstance(const InstanceRef& aRef)
  {
    Instance& instance = *aRef.lock();
    StepJournal(aRef);
    for (std::size_t n = 0; n < kWorkers; ++n) {
      instance.mAgents[n].mLease->SetPreferred(
        Chance(AreFaultsEnabled() ? 60 : 100));
      StepAgent(aRef, n);
    }
    GrantQueuedTask(aRef);
    StepSessions(aRef);
    StepPublishes(aRef);
    if (mOptions.mWritesSnapshots && instance.mState.IsReady() && Chance(20)) {
      PlanSnapshots(aRef);
    }
    ScheduleAtInstance(aRef,
                       20'000 + RandomBelow(25'000),
                       [this, aRef](Instance&) { StepInstance(aRef); });
  }

  // The log and its readers.

  bool IsLogReachable(const Instance& aInstance) const
  {
    return mTime >= aInstance.mLogUnreachableUntil;
  }

  bool IsLogDown() const { return mTime < mLogDownUntil; }

  void StepJournal(const InstanceRef& aRef)
  {
    Instance& instance = *aRef.lock();
    instance.mWriter.Expire(instance.Now());
    if (!instance.mIsAppending) {
      const auto wallMs = kRetentionMs + mTime / kMillisecond;
      if (const auto action =
            instance.mWriter.StartAppend(instance.Now(), wallMs)) {
        SendAppend(aRef, *action);
      }
    }
    CompleteSubmissions(instance);
  }

  void SendAppend(const InstanceRef& aRef, const journal::AppendAction& aAction)
  {
    Instance& instance = *aRef.lock();
    const std::uint64_t number = ++instance.mAppendNumber;
    instance.mIsAppending = true;
    ScheduleAtInstance(aRef, kAppendTimeout, [number](Instance& aInstance) {
      if (aInstance.mIsAppending && aInstance.mAppendNumber == number) {
        aInstance.mIsAppending = false;
        aInstance.mWriter.OnAnswerLost(aInstance.Now());
      }
    });
    if (!IsLogReachable(instance) || FaultOccurs(3)) {
      return;
    }
    const int copies = FaultOccurs(3) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      const std::int64_t delay =
        FaultOccurs(4) ? RandomBelow(3 * kSecond) : MessageDelay();
      Schedule(delay, [=] { DeliverAppend(aRef, number, aAction.mPayload); });
    }
  }

  void DeliverAppend(const InstanceRef& aRef,
                     std::uint64_t aNumber,
                     const std::string& aPayload)
  {
    const auto offset =
      mLog.Append("site", aPayload, mClock.Now() + seconds(1));
    if (offset) {
      ApplyToOracle(aPayload);
    }
    if (FaultOccurs(5)) {
      return;
    }
    ScheduleAtInstance(aRef, MessageDelay(), [=](Instance& aInstance) {
      if (!aInstance.mIsAppending || aInstance.mAppendNumber != aNumber ||
          !IsLogReachable(aInstance)) {
        return;
      }
      aInstance.mIsAppending = false;
      if (offset) {
        aInstance.mWriter.OnAppended(offset.value());
      } else {
        aInstance.mWriter.OnUnavailable(aInstance.Now());
      }
      CompleteSubmissions(aInstance);
    });
  }

  void ReadSiteStream(const InstanceRef& aRef)
  {
    Instance& instance = *aRef.lock();
    const std::uint64_t number = ++instance.mReadNumber;
    const base::TimePoint sentAt = instance.Now();
    const platform::Offset from = instance.mReader.NextOffset();
    if (IsLogReachable(instance) && !FaultOccurs(3)) {
      Schedule(MessageDelay(), [=] {
        auto page = mLog.Read(
          "site", from, 1 + RandomBelow(60), mClock.Now() + seconds(1));
        if (!page) {
          return;
        }
        ScheduleAtInstance(aRef, MessageDelay(), [=](Instance& aInstance) {
          // Drops the response to a read that a later one replaced.
          if (aInstance.mReadNumber == number && IsLogReachable(aInstance)) {
            ++aInstance.mReadNumber;
            ApplyPage(aInstance, page.value(), sentAt);
          }
        });
      });
    }
    const std::int64_t pause = AreFaultsEnabled() ? 100'000 : 30'000;
    ScheduleAtInstance(aRef,
                       15'000 + RandomBelow(pause),
                       [this, aRef](Instance&) { ReadSiteStream(aRef); });
  }

  void ApplyPage(Instance& aInstance,
                 const platform::LogPage& aPage,
                 base::TimePoint aIssuedAt)
  {
    const auto result = aInstance.mReader.OnPage(aPage, aIssuedAt);
    aInstance.mState.ApplyPage(result, kRetentionMs + mTime / kMillisecond);
    aInstance.mState.SetCaughtUp(aInstance.mReader.CaughtUpTime());
    for (const auto& it : result.mBatches) {
      if (it.mBatch.mWriter == aInstance.mId.mValue) {
        aInstance.mWriter.OnRead(it.mBatch.mSequence, it.mOffset);
      }
    }
    aInstance.mWriter.OnCaughtUp(aInstance.mReader.CaughtUpTime());
    CompleteSubmissions(aInstance);
  }

  bool IsAlreadyRecorded(const Instance& aInstance,
                         const journal::SiteRecord& aRecord) const
  {
    if (const auto* task = std::get_if<tasks::TaskRecord>(&aRecord)) {
      const auto* accept = std::get_if<tasks::AcceptRecord>(task);
      return accept != nullptr &&
             aInstance.mState.IsTaskKnown(accept->mSpec.mTask);
    }
    const auto* key = std::get_if<requests::KeyRecord>(&aRecord);
    const auto* intent =
      key != nullptr ? std::get_if<requests::IntentRecord>(key) : nullptr;
    return intent != nullptr && aInstance.mState.FindKey(intent->mKey).mState !=
                                  requests::KeyState::Unclaimed;
  }

  /// Like JournalService::Submit, but passes the result to `aCallback`.
  void Submit(Instance& aInstance,
              const std::vector<journal::SiteRecord>& aRecords,
              base::TimePoint aDeadline,
              const SubmitCallback& aCallback)
  {
    const auto position = aInstance.mState.GetWriterPosition();
    if (!aInstance.mState.IsReady()) {
      aCallback(base::MakeError(base::ErrorKind::LogUnavailable));
      return;
    }
    if (aRecords.size() == 1 &&
        IsAlreadyRecorded(aInstance, aRecords.front())) {
      aCallback(journal::kNotAppended);
      return;
    }
    std::vector<std::string> encoded;
    encoded.reserve(aRecords.size());
    for (const auto& it : aRecords) {
      encoded.push_back(journal::EncodeRecord(it));
    }
    const journal::Ticket ticket = aInstance.mNextTicket++;
    const auto added =
      aInstance.mWriter.Add(ticket, std::move(encoded), position, aDeadline);
    if (!added) {
      aCallback(added.error());
      return;
    }
    aInstance.mSubmissions[ticket] = { aRecords, aDeadline, {}, aCallback };
  }

  void CompleteSubmissions(Instance& aInstance)
  {
    std::vector<std::pair<SubmitCallback, base::Result<platform::Offset>>>
      ended;
    for (const auto& it : aInstance.mWriter.TakeResults()) {
      const auto found = aInstance.mSubmissions.find(it.mTicket);
      if (found == aInstance.mSubmissions.end()) {
        continue;
      }
      if (it.mOffset) {
        found->second.mOffset = it.mOffset.value();
      } else {
        ended.emplace_back(found->second.mCallback, it.mOffset);
        aInstance.mSubmissions.erase(found);
      }
    }
    for (auto it = aInstance.mSubmissions.begin();
         it != aInstance.mSubmissions.end();) {
      const Submission& each = it->second;
      if (each.mOffset && aInstance.mState.NextOffset() > *each.mOffset) {
        ended.emplace_back(each.mCallback, *each.mOffset);
      } else if (aInstance.Now() >= each.mDeadline + seconds(1)) {
        ended.emplace_back(each.mCallback,
                           base::MakeError(base::ErrorKind::AnswerLost));
      } else {
        ++it;
        continue;
      }
      it = aInstance.mSubmissions.erase(it);
    }
    for (const auto& it : ended) {
      it.first(it.second);
    }
  }

  void PlanSnapshots(const InstanceRef& aRef)
  {
    Instance& instance = *aRef.lock();
    std::vector<base::InstanceId> live;
    for (const auto& it : mInstances) {
      live.push_back(it->mId);
    }
    const auto plan = instance.mPlanner.Plan(
      instance.mState, live, kRetentionMs + mTime / kMillisecond);
    if (!plan.empty()) {
      mResult.mSnapshots += plan.size();
      Submit(instance, plan, instance.Now() + seconds(2), [](const auto&) {});
    }
  }

  // The oracle applies each record as soon as it is appended.
  void ApplyToOracle(const std::string& aPayload)
  {
    const auto batch = journal::DecodeBatch(aPayload);
    for (const auto& bytes : batch.value().mRecords) {
      CheckEndRecord(journal::DecodeRecord(bytes).value());
    }
    bool isAtEnd = false;
    while (!isAtEnd) {
      const auto page = mLog.Read(
        "site", mOracleReader.NextOffset(), 100, mClock.Now() + seconds(1));
      const auto result = mOracleReader.OnPage(page.value(), mClock.Now());
      mOracle.ApplyPage(result, kRetentionMs + mTime / kMillisecond);
      mOracle.SetCaughtUp(mOracleReader.CaughtUpTime());
      isAtEnd = mOracleReader.NextOffset() >= page.value().mEnd;
    }
    for (const auto& bytes : batch.value().mRecords) {
      const auto record = journal::DecodeRecord(bytes);
      if (const auto* it = std::get_if<tasks::TaskRecord>(&record.value())) {
        CheckTask(tasks::TaskOf(*it));
      } else if (const auto* snapshot =
                   std::get_if<journal::TaskSnapshotRecord>(&record.value())) {
        CheckTask(snapshot->mTask.mSpec.mTask);
      } else if (const auto* key =
                   std::get_if<requests::KeyRecord>(&record.value())) {
        CheckKey(requests::KeyOf(*key));
      }
    }
  }

  std::vector<worker::TaskReport> TasksOf(FakeWorker& aWorker)
  {
    auto report = aWorker.Poll(mClock.Now() + seconds(1));
    if (!report) {
      return {};
    }
    return report.value().mTasks;
  }

  static bool IsRunning(const worker::TaskReport& aTask)
  {
    return aTask.mPhase == worker::TaskPhase::Running ||
           aTask.mPhase == worker::TaskPhase::Checkpointing;
  }

  /// An end record must not take effect while its attempt still runs.
  void CheckEndRecord(const journal::SiteRecord& aRecord)
  {
    const auto* record = std::get_if<tasks::TaskRecord>(&aRecord);
    const auto* end =
      record != nullptr ? std::get_if<tasks::EndRecord>(record) : nullptr;
    if (end == nullptr) {
      return;
    }
    const auto task = mOracle.FindTask(end->mTask);
    if (!task || !tasks::HasLiveAttempt(task->mState) ||
        task->mLastAttempt != end->mAttempt) {
      return;
    }
    Trace("end of " + end->mTask.mValue + "/" + std::to_string(end->mAttempt) +
          ": " + std::string(tasks::NameOf(end->mOutcome)));
    for (const auto& worker : mWorkers) {
      for (const auto& it : TasksOf(*worker)) {
        if (it.mTask == end->mTask && it.mAttempt == end->mAttempt &&
            IsRunning(it)) {
          ReportViolation("end record takes effect while the attempt runs");
        }
      }
    }
  }

  void CheckTask(const base::TaskId& aTask)
  {
    const auto task = mOracle.FindTask(aTask);
    const bool hasEnded = mEndedTasks.count(aTask) != 0;
    if (!task) {
      if (mAcceptedTasks.count(aTask) != 0 && !hasEnded) {
        ReportViolation("accepted task " + aTask.mValue + " is missing");
      }
      return;
    }
    if (tasks::IsEnded(task->mState)) {
      mEndedTasks.insert(aTask);
    } else if (hasEnded) {
      ReportViolation("ended task " + aTask.mValue + " is active again");
    }
    std::int64_t& newest = mLatestAttempts[aTask];
    if (task->mLastAttempt < newest) {
      ReportViolation("attempt number of " + aTask.mValue + " decreased");
    }
    newest = std::max(newest, task->mLastAttempt);
  }

  void CheckKey(const base::RequestId& aKey)
  {
    const auto key = mOracle.FindKey(aKey);
    if (key.mState == requests::KeyState::Finished &&
        key.mOutcome->mOutcome == requests::Outcome::NotRun) {
      mNotRunKeys.insert(aKey);
      if (mKeyExecutions[aKey] > 0) {
        ReportViolation("key " + aKey.mValue +
                        " is recorded as not_run, but it ran");
      }
    }
  }

  // Workers and tasks.

  void StepAgent(const InstanceRef& aRef, std::size_t aWorkerIndex)
  {
    Instance& instance = *aRef.lock();
    Agent& agent = instance.mAgents[aWorkerIndex];
    for (const auto& it : agent.mLease->Step(instance.Now())) {
      PerformLeaseAction(aRef, aWorkerIndex, it);
    }
    if (!agent.mRunner) {
      return;
    }
    if (instance.mState.IsReady()) {
      std::optional<std::int64_t> inheritedBefore;
      if (instance.mState.CaughtUpTime() >= agent.mAcquiredAt) {
        inheritedBefore =
          mOptions.mReleasesInheritedGrants ? instance.mState.NextOffset() : 0;
      }
      agent.mRunner->SetGrants(LiveAttemptsOn(instance, aWorkerIndex),
                               inheritedBefore);
    }
    const holder::RunnerOutput output = agent.mRunner->Step(instance.Now());
    for (const auto& it : output.mRecords) {
      SendRecord(aRef, it);
    }
    for (const auto& it : output.mCommands) {
      // Simulates commands that wait for a free connection.
      const std::int64_t wait =
        FaultOccurs(10) ? 200 * kMillisecond : kMillisecond;
      ScheduleAtInstance(
        aRef, RandomBelow(wait), [this, aRef, aWorkerIndex, it](Instance&) {
          SendCommand(aRef, aWorkerIndex, it);
        });
    }
  }

  std::vector<holder::GrantedAttempt> LiveAttemptsOn(
    const Instance& aInstance,
    std::size_t aWorkerIndex) const
  {
    std::vector<holder::GrantedAttempt> result;
    for (const auto& it :
         aInstance.mState.LiveAttemptsOn(mWorkers[aWorkerIndex]->Name())) {
      const auto task = aInstance.mState.FindTask(it.mTask);
      result.push_back({ it.mTask,
                         it.mAttempt,
                         task->mSpec.mBatchClass,
                         task->mSpec.mPayload,
                         task->mSpec.mDeclared,
                         task->mCheckpoint,
                         it.mCancelRequested,
                         it.mState != tasks::TaskState::Granted,
                         it.mGrantedOffset });
    }
    return result;
  }

  /// Retries until the record was appended. The retries are safe, since a
  /// record from the task runner stays valid.
  void SendRecord(const InstanceRef& aRef, const tasks::TaskRecord& aRecord)
  {
    Instance& instance = *aRef.lock();
    Submit(instance,
           { aRecord },
           instance.Now() + seconds(2),
           [this, aRef, aRecord](const auto& aOffset) {
             if (!aOffset) {
               ScheduleAtInstance(
                 aRef, 100'000, [this, aRef, aRecord](Instance&) {
                   SendRecord(aRef, aRecord);
                 });
             }
           });
  }

  bool IsUnreachable(const Agent& aAgent) const
  {
    return mTime < aAgent.mUnreachableUntil;
  }

  void PerformLeaseAction(const InstanceRef& aRef,
                          std::size_t aWorkerIndex,
                          const holder::LeaseAction& aAction)
  {
    Instance& instance = *aRef.lock();
    Agent& agent = instance.mAgents[aWorkerIndex];
    const base::TimePoint deadline = mClock.Now() + seconds(60);
    FakeWorker& worker = *mWorkers[aWorkerIndex];
    if (const auto* it = std::get_if<holder::SetLease>(&aAction)) {
      agent.mSentAt[it->mRequest] = instance.Now();
      SendToWorker(agent,
                   true,
                   [this, aRef, aWorkerIndex, deadline, &worker, place = *it] {
                     DeliverReport(aRef,
                                   aWorkerIndex,
                                   place.mRequest,
                                   worker.SetHolderLease(
                                     place.mToken, place.mDuration, deadline));
                   });
    } else if (const auto* it = std::get_if<holder::ReadHolders>(&aAction)) {
      agent.mSentAt[it->mRequest] = instance.Now();
      SendToWorker(
        agent,
        true,
        [this, aRef, aWorkerIndex, deadline, &worker, number = it->mRequest] {
          DeliverReport(aRef, aWorkerIndex, number, worker.Poll(deadline));
        });
    } else if (const auto* it = std::get_if<holder::RemoveLease>(&aAction)) {
      SendToWorker(
        agent,
        true,
        [this, aRef, aWorkerIndex, deadline, &worker, remove = *it] {
          static_cast<void>(worker.RemoveHolderLease(remove.mToken, deadline));
          ScheduleAtInstance(
            aRef, MessageDelay(), [aWorkerIndex, remove](Instance& aInstance) {
              aInstance.mAgents[aWorkerIndex].mLease->OnRemoved(
                remove.mRequest, aInstance.Now());
            });
        });
    } else if (const auto* it = std::get_if<holder::LeaseAcquired>(&aAction)) {
      Trace(it->mToken.mInstance.mValue + " holds " + worker.Name().mValue);
      holder::TaskRunnerOptions options;
      options.mTaskLease = seconds(8);
      options.mCommandTimeout = milliseconds(600);
      options.mMaxMessageDelay = milliseconds(300);
      options.mReleaseAfter = seconds(2);
      agent.mAcquiredAt = instance.Now();
      agent.mLedger = std::make_unique<holder::Ledger>();
      agent.mRunner = std::make_unique<holder::TaskRunner>(
        *agent.mLease, *agent.mLedger, options);
    } else {
      Trace(instance.mId.mValue + " no longer holds " + worker.Name().mValue);
      agent.mRunner.reset();
      agent.mLedger.reset();
    }
  }

  void SendToWorker(const Agent& aAgent,
                    bool aMayDuplicate,
                    const std::function<void()>& aAction)
  {
    const int copies = aMayDuplicate && FaultOccurs(3) ? 2 : 1;
    for (int n = 0; n < copies && !IsUnreachable(aAgent); ++n) {
      if (FaultOccurs(4)) {
        continue;
      }
      const bool isLate = mOptions.mLateMessages && FaultOccurs(5);
      Schedule(isLate ? RandomBelow(6 * kSecond) : MessageDelay(), aAction);
    }
  }

  void DeliverReport(const InstanceRef& aRef,
                     std::size_t aWorkerIndex,
                     std::uint64_t aRequest,
                     base::Result<worker::WorkerReport> aReport)
  {
    if (!aReport || FaultOccurs(4)) {
      return;
    }
    ScheduleAtInstance(
      aRef,
      MessageDelay(),
      [=, report = aReport.value()](Instance& aInstance) mutable {
        Agent& agent = aInstance.mAgents[aWorkerIndex];
        if (IsUnreachable(agent)) {
          return;
        }
        report.mLeaving = report.mLeaving && mOptions.mObservesLeavingWorkers;
        worker::WorkerReport leaseReport = report;
        const auto state = agent.mLease->State();
        if (!mOptions.mVerifiesLease &&
            state == holder::LeaseState::Verifying) {
          leaseReport.mHolders = { { agent.mLease->Token(), 0 } };
        }
        agent.mLease->OnReport(aRequest, leaseReport, aInstance.Now());
        if (agent.mRunner && agent.mLease->MaySendCommands(aInstance.Now())) {
          agent.mRunner->OnReport({ report, agent.mSentAt[aRequest] });
        }
        StepAgent(aRef, aWorkerIndex);
      });
  }

  void SendCommand(const InstanceRef& aRef,
                   std::size_t aWorkerIndex,
                   const holder::Command& aCommand)
  {
    Instance& instance = *aRef.lock();
    const Agent& agent = instance.mAgents[aWorkerIndex];
    const base::TimePoint now = instance.Now();
    const bool isAllowed = agent.mLease->Token() == aCommand.mHeader.mToken &&
                           agent.mLease->MaySendCommands(now) &&
                           now < aCommand.mDeadline;
    if (mOptions.mChecksLeaseBeforeSend && !isAllowed) {
      return;
    }
    // The transport never resends a start.
    const bool isStart =
      std::holds_alternative<worker::StartTask>(aCommand.mBody);
    SendToWorker(agent, !isStart, [=] {
      const auto outcome =
        holder::ToCommandOutcome(Execute(*mWorkers[aWorkerIndex], aCommand));
      if (FaultOccurs(8)) {
        return;
      }
      ScheduleAtInstance(aRef, MessageDelay(), [=](Instance& aInstance) {
        Agent& target = aInstance.mAgents[aWorkerIndex];
        if (target.mRunner && !IsUnreachable(target) &&
            target.mLease->Token() == aCommand.mHeader.mToken) {
          target.mRunner->OnResult(aCommand.mNumber, outcome);
        }
      });
    });
  }

  base::Result<void> Execute(FakeWorker& aWorker,
                             const holder::Command& aCommand)
  {
    const worker::CommandHeader& header = aCommand.mHeader;
    const base::TimePoint deadline = mClock.Now() + seconds(60);
    if (mOptions.mWorkerChecksNotAfter && aWorker.Now() > header.mNotAfter) {
      return base::MakeError(base::ErrorKind::StaleCommand);
    }
    if (const auto* it = std::get_if<worker::StartTask>(&aCommand.mBody)) {
      auto result = aWorker.Start(header, *it, deadline);
      if (result) {
        CheckStart(aWorker, header, *it);
      }
      CheckLeaving(aWorker, "start");
      return result;
    }
    if (const auto* it = std::get_if<holder::RenewTasks>(&aCommand.mBody)) {
      return aWorker.Renew(header, it->mTasks, it->mLeaseExpiresAt, deadline);
    }
    if (const auto* it = std::get_if<holder::CheckpointTask>(&aCommand.mBody)) {
      return aWorker.Checkpoint(header, it->mTask, deadline);
    }
    if (const auto* it = std::get_if<holder::ThrottleTask>(&aCommand.mBody)) {
      return aWorker.Throttle(header, it->mTask, it->mPercent, deadline);
    }
    if (const auto* it = std::get_if<holder::StopTask>(&aCommand.mBody)) {
      return aWorker.Stop(header, it->mTask, deadline);
    }
    return aWorker.Acknowledge(
      header,
      std::get<holder::AcknowledgeTask>(aCommand.mBody).mTask,
      deadline);
  }

  void CheckLeaving(const FakeWorker& aWorker, const std::string& aWhat)
  {
    const auto it = mLeavingSince.find(aWorker.Name());
    if (it != mLeavingSince.end() && mTime > it->second + kLeavingGrace) {
      ReportViolation("a " + aWhat + " reached a leaving worker");
    }
  }

  void CheckStart(FakeWorker& aWorker,
                  const worker::CommandHeader& aHeader,
                  const worker::StartTask& aStart)
  {
    ++mResult.mStarts;
    const worker::AttemptKey key{ aStart.mTask, aStart.mAttempt };
    const std::string name =
      aStart.mTask.mValue + "/" + std::to_string(aStart.mAttempt);
    Trace(aHeader.mToken.mInstance.mValue + " starts " + name + " on " +
          aWorker.Name().mValue);
    if (!mStartedAttempts.insert(key).second) {
      ReportViolation("attempt " + name + " started twice");
    }
    const auto task = mOracle.FindTask(aStart.mTask);
    if (!task || !tasks::HasLiveAttempt(task->mState) ||
        task->mLastAttempt != aStart.mAttempt ||
        task->mWorker != aWorker.Name()) {
      ReportViolation("attempt " + name + " started without a live grant");
      return;
    }
    if (task->mCheckpoint != aStart.mCheckpoint) {
      ReportViolation("attempt " + name + " resumed from the wrong checkpoint");
    }
    base::Resources sum;
    for (const auto& other : mWorkers) {
      for (const auto& it : TasksOf(*other)) {
        const bool isSelf =
          other.get() == &aWorker && it.mAttempt == aStart.mAttempt;
        if (it.mTask == aStart.mTask && IsRunning(it) && !isSelf) {
          ReportViolation("attempt " + name + " overlaps another attempt");
        }
        if (other.get() == &aWorker && IsRunning(it)) {
          sum += it.mReserved;
        }
      }
    }
    if (!base::Fits(sum, kCapacity)) {
      ReportViolation("capacity of " + aWorker.Name().mValue + " exceeded");
    }
  }

  void GrantQueuedTask(const InstanceRef& aRef)
  {
    Instance& instance = *aRef.lock();
    const auto n = static_cast<std::size_t>(RandomBelow(kWorkers));
    const Agent& agent = instance.mAgents[n];
    if (!instance.mState.IsReady() || !agent.mLedger || !Chance(40)) {
      return;
    }
    for (const auto& it : instance.mState.Queued(20)) {
      const worker::AttemptKey key{ it.mTask, it.mNextAttempt };
      if (instance.mPendingGrants.count(it.mTask) != 0 ||
          !agent.mLedger->CommitGrant(key, it.mDeclared)) {
        continue;
      }
      instance.mPendingGrants.insert(it.mTask);
      const tasks::GrantRecord grant{ it.mTask,
                                      it.mNextAttempt,
                                      mWorkers[n]->Name() };
      Submit(
        instance,
        { tasks::TaskRecord(grant) },
        instance.Now() + seconds(2),
        [this, aRef, n, grant](const auto&) { OnGranted(aRef, n, grant); });
      return;
    }
  }

  void OnGranted(const InstanceRef& aRef,
                 std::size_t aWorkerIndex,
                 const tasks::GrantRecord& aGrant)
  {
    Instance& instance = *aRef.lock();
    instance.mPendingGrants.erase(aGrant.mTask);
    const auto task = instance.mState.FindTask(aGrant.mTask);
    const bool tookEffect = task && tasks::HasLiveAttempt(task->mState) &&
                            task->mLastAttempt == aGrant.mAttempt &&
                            task->mWorker == aGrant.mWorker;
    if (!tookEffect && instance.mAgents[aWorkerIndex].mLedger) {
      instance.mAgents[aWorkerIndex].mLedger->CancelGrant(
        { aGrant.mTask, aGrant.mAttempt });
    }
  }

  // Requests.

  void BeginRequest(const InstanceRef& aRef, const requests::Request& aRequest)
  {
    Instance& instance = *aRef.lock();
    // As in RequestService, a repeated request joins the session of the first
    // one and starts none.
    const bool isRepeat = std::any_of(
      instance.mSessions.begin(),
      instance.mSessions.end(),
      [&](const auto& aEach) {
        return !aEach.second.mResult &&
               aEach.second.mMachine->GetRequest().mId == aRequest.mId;
      });
    if (!instance.mState.IsReady() || isRepeat) {
      return;
    }
    requests::Request request = aRequest;
    request.mDeadline = instance.Now() + milliseconds(500 + RandomBelow(3000));
    requests::RequestMachineOptions options;
    options.mAttemptTimeout = milliseconds(700);
    options.mHedgeDelay = milliseconds(Chance(50) ? 200 : 0);
    const std::uint64_t number = mNextSessionNumber++;
    Session& session = instance.mSessions[number];
    session.mNumber = number;
    session.mMachine = std::make_unique<requests::RequestMachine>(
      request, options, instance.mBudget, *instance.mClock, *mRandom);
    PerformRequestActions(aRef, number, session.mMachine->Start());
  }

  void PostEvent(const InstanceRef& aRef,
                 std::uint64_t aSession,
                 const requests::RequestEvent& aEvent)
  {
    Instance& instance = *aRef.lock();
    const auto it = instance.mSessions.find(aSession);
    if (it != instance.mSessions.end()) {
      PerformRequestActions(
        aRef, aSession, it->second.mMachine->Handle(aEvent));
    }
  }

  void PostEventLater(const InstanceRef& aRef,
                      std::int64_t aDelay,
                      std::uint64_t aSession,
                      const requests::RequestEvent& aEvent)
  {
    ScheduleAtInstance(
      aRef, aDelay, [=](Instance&) { PostEvent(aRef, aSession, aEvent); });
  }

  void PerformRequestActions(const InstanceRef& aRef,
                             std::uint64_t aSession,
                             const requests::RequestActions& aActions)
  {
    for (const auto& it : aActions) {
      PerformRequestAction(aRef, aSession, it);
    }
  }

  void PerformRequestAction(const InstanceRef& aRef,
                            std::uint64_t aSession,
                            const requests::RequestAction& aAction)
  {
    Instance& instance = *aRef.lock();
    Session& session = instance.mSessions[aSession];
    const requests::Request& request = session.mMachine->GetRequest();
    if (const auto* pick = std::get_if<requests::PickTarget>(&aAction)) {
      PostEventLater(
        aRef, RandomBelow(5'000), aSession, Route(instance, *pick));
    } else if (const auto* send =
                 std::get_if<requests::SendAttempt>(&aAction)) {
      SendAttempt(aRef, aSession, request, *send);
    } else if (std::holds_alternative<requests::AppendIntent>(aAction)) {
      AppendIntent(aRef, aSession, request);
    } else if (const auto* end =
                 std::get_if<requests::AppendOutcome>(&aAction)) {
      requests::OutcomeRecord record{
        request.mId,           instance.mId,
        end->mResult.mOutcome, end->mResult.mError.mKind,
        end->mResult.mBody,    false
      };
      Submit(instance,
             { requests::KeyRecord(record) },
             instance.Now() + seconds(2),
             [](const auto&) {});
    } else {
      OnFinish(session, std::get<requests::Finish>(aAction).mResult);
    }
  }

  requests::RequestEvent Route(const Instance& aInstance,
                               const requests::PickTarget& aPick)
  {
    const auto first = static_cast<std::size_t>(RandomBelow(kWorkers));
    for (std::size_t n = 0; n < kWorkers; ++n) {
      const std::size_t index = (first + n) % kWorkers;
      const Agent& agent = aInstance.mAgents[index];
      const requests::Target target{ requests::TargetKind::HeldWorker,
                                     mWorkers[index]->Name().mValue };
      if (agent.mRunner && agent.mRunner->MaySendCalls(aInstance.Now()) &&
          aPick.mTried.count(target) == 0 &&
          agent.mLedger->FreeCallCapacity().mSlots > 0) {
        return requests::TargetOffered{ target };
      }
    }
    return requests::TargetUnavailable{};
  }

  void SendAttempt(const InstanceRef& aRef,
                   std::uint64_t aSession,
                   const requests::Request& aRequest,
                   const requests::SendAttempt& aSend)
  {
    Instance& instance = *aRef.lock();
    const std::size_t index =
      aSend.mTarget.mName == mWorkers[0]->Name().mValue ? 0 : 1;
    const Agent& agent = instance.mAgents[index];
    const auto fail = [&](base::ErrorKind aKind) {
      PostEventLater(aRef,
                     RandomBelow(2'000),
                     aSession,
                     requests::AttemptFailed{
                       aRequest.mId, aSend.mAttempt, base::MakeError(aKind) });
    };
    const base::TimePoint now = instance.Now();
    const std::uint64_t call = ++mLastCallNumber;
    if (now >= aSend.mDeadline || !agent.mRunner ||
        !agent.mRunner->MaySendCalls(now)) {
      fail(base::ErrorKind::WorkerUnavailable);
      return;
    }
    const auto notAfter = agent.mLease->Clock().ToEarliestWorkerTime(
      std::min(aSend.mDeadline, agent.mLease->Deadline()));
    if (!agent.mLedger->BeginCall(call,
                                  { notAfter, now + milliseconds(300) })) {
      fail(base::ErrorKind::NoCapacity);
      return;
    }
    // After its timeout a call still occupies its slot until a report shows
    // that it has ended.
    const auto token = agent.mLease->Token();
    ScheduleAtInstance(aRef, 700'000, [=](Instance& aInstance) {
      Agent& own = aInstance.mAgents[index];
      if (own.mLedger && own.mLease->Token() == token) {
        own.mLedger->MarkAnswerLost(call);
      }
    });
    SendToWorker(agent, aRequest.mIdempotent, [=] {
      ExecuteCall(aRef, aSession, index, { token, notAfter }, aRequest, aSend);
    });
  }

  void ExecuteCall(const InstanceRef& aRef,
                   std::uint64_t aSession,
                   std::size_t aWorkerIndex,
                   const worker::CommandHeader& aHeader,
                   const requests::Request& aRequest,
                   const requests::SendAttempt& aSend)
  {
    FakeWorker& worker = *mWorkers[aWorkerIndex];
    const bool isStale =
      mOptions.mWorkerChecksNotAfter && worker.Now() > aHeader.mNotAfter;
    if (!isStale) {
      CheckLeaving(worker, "request");
    }
    const auto admitted = isStale || mDownWorkers.count(aWorkerIndex) != 0
                            ? base::Result<AdmittedCall>(
                                base::MakeError(base::ErrorKind::StaleCommand))
                            : worker.Admit(aHeader,
                                           { aRequest.mId,
                                             aSend.mAttempt,
                                             "service",
                                             aRequest.mBody,
                                             aRequest.mIdempotent });
    if (!admitted) {
      // As in HttpRemoteWorker: an idempotent call may be sent twice, and the
      // refusal of one copy does not show that the other did not run.
      const base::Error error =
        aRequest.mIdempotent ? base::MakeError(base::ErrorKind::ConnectionLost)
                             : admitted.error();
      if (mDownWorkers.count(aWorkerIndex) == 0) {
        PostEventLater(
          aRef,
          MessageDelay(),
          aSession,
          requests::AttemptFailed{ aRequest.mId, aSend.mAttempt, error });
      }
      return;
    }
    RecordExecution(aSession, aRequest);
    if (FaultOccurs(8)) {
      return;
    }
    const auto& answer = admitted.value().mAnswer;
    const requests::AttemptAnswered event{ answer.mRequest,
                                           answer.mAttempt,
                                           answer.mBody };
    const std::int64_t end = (admitted.value().mEndsAt - mClock.Now()).count();
    ScheduleAtInstance(aRef, end + MessageDelay(), [=](Instance& aInstance) {
      DeliverAnswer(aRef, aInstance, aSession, event);
    });
    if (FaultOccurs(5)) {
      PostEventLater(aRef, end + MessageDelay(), aSession, event);
    }
  }

  /// Delivers some answers to the wrong session of the instance.
  void DeliverAnswer(const InstanceRef& aRef,
                     Instance& aInstance,
                     std::uint64_t aSession,
                     requests::AttemptAnswered aAnswer)
  {
    std::uint64_t target = aSession;
    if (FaultOccurs(6) && !aInstance.mSessions.empty()) {
      auto it = aInstance.mSessions.begin();
      std::advance(
        it, RandomBelow(static_cast<std::int64_t>(aInstance.mSessions.size())));
      target = it->first;
      if (!mOptions.mMatchesRequestIds) {
        aAnswer.mRequest = it->second.mMachine->GetRequest().mId;
      }
    }
    PostEvent(aRef, target, aAnswer);
  }

  void RecordExecution(std::uint64_t aSession,
                       const requests::Request& aRequest)
  {
    mExecutedSessions.insert(aSession);
    if (mNotRunSessions.count(aSession) != 0) {
      ReportViolation("request " + aRequest.mId.mValue +
                      " ran after the caller received not_run");
    }
    const int runs = ++mKeyExecutions[aRequest.mId];
    if (aRequest.mIdempotent) {
      return;
    }
    Trace("execution of " + aRequest.mId.mValue);
    if (runs > 1) {
      ReportViolation("request " + aRequest.mId.mValue + " ran twice");
    }
    if (mNotRunKeys.count(aRequest.mId) != 0) {
      ReportViolation("request " + aRequest.mId.mValue +
                      " ran after it was recorded as not_run");
    }
  }

  void OnFinish(Session& aSession, const requests::RequestResult& aResult)
  {
    const requests::Request& request = aSession.mMachine->GetRequest();
    if (aSession.mResult) {
      ReportViolation("request " + request.mId.mValue + " was answered twice");
    }
    aSession.mResult = aResult;
    if (aResult.mOutcome == requests::Outcome::NotRun) {
      mNotRunSessions.insert(aSession.mNumber);
      if (mExecutedSessions.count(aSession.mNumber) != 0) {
        ReportViolation("request " + request.mId.mValue +
                        " ran, but the caller received not_run");
      }
    } else if (aResult.mOutcome == requests::Outcome::Completed) {
      ++mResult.mCompletedRequests;
      if (aResult.mBody != request.mBody) {
        ReportViolation("request " + request.mId.mValue +
                        " got the answer of another request");
      }
      if (mKeyExecutions[request.mId] == 0) {
        ReportViolation("request " + request.mId.mValue +
                        " completed but never ran");
      }
    }
  }

  void AppendIntent(const InstanceRef& aRef,
                    std::uint64_t aSession,
                    const requests::Request& aRequest)
  {
    Instance& instance = *aRef.lock();
    const requests::IntentRecord intent{ aRequest.mId, instance.mId };
    const auto callback = [this, aRef, aSession, key = aRequest.mId](
                            const base::Result<platform::Offset>& aOffset) {
      Instance& self = *aRef.lock();
      const auto known = self.mState.FindKey(key);
      Trace("session " + std::to_string(aSession) + " of " + key.mValue + ": " +
            (aOffset ? "offset " + std::to_string(aOffset.value())
                     : std::string(base::NameOf(aOffset.error().mKind))) +
            ", claimed at " + std::to_string(known.mClaimedOffset) + " by " +
            known.mClaimant.mValue);
      if (!mOptions.mReadsIntentBack && aOffset) {
        PostEventLater(aRef, 0, aSession, requests::IntentWon{});
        return;
      }
      if (known.mState == requests::KeyState::Unclaimed) {
        if (!aOffset && aOffset.error().mKind != base::ErrorKind::AnswerLost) {
          PostEventLater(aRef, 0, aSession, requests::LogUnavailable{});
        }
        return;
      }
      if (aOffset && known.mState == requests::KeyState::Claimed &&
          known.mClaimant == self.mId &&
          known.mClaimedOffset == aOffset.value()) {
        PostEventLater(aRef, 0, aSession, requests::IntentWon{});
        return;
      }
      const auto it = self.mSessions.find(aSession);
      if (it != self.mSessions.end()) {
        it->second.mAwaitsKeyOutcome = true;
      }
    };
    Submit(
      instance, { requests::KeyRecord(intent) }, aRequest.mDeadline, callback);
  }

  bool IsAlive(const base::InstanceId& aInstance) const
  {
    return std::any_of(
      mInstances.begin(), mInstances.end(), [&](const auto& aEach) {
        return aEach->mId == aInstance && mTime >= aEach->mPausedUntil;
      });
  }

  void StepSessions(const InstanceRef& aRef)
  {
    Instance& instance = *aRef.lock();
    std::vector<std::pair<std::uint64_t, requests::RequestEvent>> events;
    for (auto it = instance.mSessions.begin();
         it != instance.mSessions.end();) {
      Session& session = it->second;
      const auto& request = session.mMachine->GetRequest();
      const bool isOver =
        session.mResult && instance.Now() > request.mDeadline + seconds(5);
      if (isOver) {
        it = instance.mSessions.erase(it);
        continue;
      }
      const auto key = instance.mState.FindKey(request.mId);
      if (session.mAwaitsKeyOutcome &&
          key.mState == requests::KeyState::Finished) {
        session.mAwaitsKeyOutcome = false;
        events.emplace_back(
          it->first,
          requests::KeyClaimedByOther{ requests::OtherClaimState::Finished,
                                       *key.mOutcome });
      } else if (session.mAwaitsKeyOutcome && !IsAlive(key.mClaimant)) {
        session.mAwaitsKeyOutcome = false;
        events.emplace_back(it->first,
                            requests::KeyClaimedByOther{
                              requests::OtherClaimState::Abandoned, {} });
      } else if (instance.Now() >= session.mMachine->NextWakeUp()) {
        events.emplace_back(it->first, requests::TimerFired{});
      } else if (FaultOccurs(1) && Chance(30)) {
        events.emplace_back(it->first, requests::CancelRequested{});
      }
      ++it;
    }
    for (const auto& it : events) {
      PostEvent(aRef, it.first, it.second);
    }
  }

  // Configuration.

  void ReadConfig(const InstanceRef& aRef)
  {
    Instance& instance = *aRef.lock();
    const platform::Offset from = instance.mConfig.NextOffset();
    if (IsLogReachable(instance) && !FaultOccurs(5)) {
      Schedule(MessageDelay(), [=] {
        const auto page = mLog.Read(
          "config", from, 1 + RandomBelow(10), mClock.Now() + seconds(1));
        if (!page) {
          return;
        }
        ScheduleAtInstance(aRef, MessageDelay(), [=](Instance& aInstance) {
          aInstance.mConfig.UpdateFirstRetained(page.value().mFirstRetained);
          for (const auto& it : page.value().mRecords) {
            aInstance.mConfig.Apply(
              it.mOffset, it.mPayload, page.value().mFirstRetained);
          }
        });
      });
    } else if (Chance(10)) {
      ImportConfig(aRef);
    }
    ScheduleAtInstance(aRef,
                       50'000 + RandomBelow(100'000),
                       [this, aRef](Instance&) { ReadConfig(aRef); });
  }

  /// Copies the configuration from a peer while the log is unreachable.
  void ImportConfig(const InstanceRef& aRef)
  {
    const auto peer =
      mInstances[static_cast<std::size_t>(RandomBelow(kInstances))];
    const auto text = peer->mConfig.Export();
    if (!text || peer == aRef.lock() || mTime < peer->mPausedUntil) {
      return;
    }
    ScheduleAtInstance(
      aRef, MessageDelay(), [this, text = text.value()](Instance& aInstance) {
        if (!aInstance.mConfig.Import(text)) {
          ReportViolation("import of a peer's configuration failed");
        }
      });
  }

  void BeginPublish(Instance& aInstance)
  {
    if (!aInstance.mConfig.IsComplete()) {
      return;
    }
    catalog::Profile profile;
    profile.mName = "profile-" + std::to_string(RandomBelow(4));
    profile.mPreset =
      Chance(50) ? catalog::Preset::Throughput : catalog::Preset::Tail;
    catalog::PublishRecord record;
    record.mIdentity = { aInstance.mId.mValue, ++aInstance.mConfigSequence };
    record.mBaseVersion = aInstance.mConfig.CurrentVersion();
    record.mDelta.mChanged.emplace_back(profile);
    record.mDigest =
      catalog::ApplyDelta(*aInstance.mConfig.CurrentSet(), record.mDelta)
        .value()
        .Digest();
    aInstance.mPendingPublishes.push_back(
      { record.mIdentity, catalog::FormatConfigRecord(record) });
  }

  /// Lets new readers restore the configuration after its records have expired.
  void AppendConfigSnapshot(Instance& aInstance)
  {
    const auto snapshot = aInstance.mConfig.MakeSnapshot(
      { aInstance.mId.mValue, ++aInstance.mConfigSequence });
    if (snapshot) {
      AppendConfig(aInstance, catalog::FormatConfigRecord(snapshot.value()));
    }
  }

  bool AppendConfig(const Instance& aInstance, const std::string& aPayload)
  {
    if (!IsLogReachable(aInstance) || FaultOccurs(10)) {
      return false;
    }
    const int copies = FaultOccurs(5) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      Schedule(FaultOccurs(5) ? RandomBelow(2 * kSecond) : MessageDelay(),
               [this, aPayload] {
                 const auto offset =
                   mLog.Append("config", aPayload, mClock.Now() + seconds(1));
                 if (offset) {
                   const auto page = mLog.Read(
                     "config", offset.value(), 1, mClock.Now() + seconds(1));
                   mConfigOracle.Apply(
                     offset.value(), aPayload, page.value().mFirstRetained);
                 }
               });
    }
    return true;
  }

  void StepPublishes(const InstanceRef& aRef)
  {
    Instance& instance = *aRef.lock();
    // Snapshots are appended so often that the retained log holds one even if
    // some appends are lost.
    if (RandomBelow(60) == 0) {
      AppendConfigSnapshot(instance);
    }
    for (auto it = instance.mPendingPublishes.begin();
         it != instance.mPendingPublishes.end();) {
      const auto& identity = it->mIdentity;
      const auto outcome = instance.mConfig.FindPublishOutcome(
        identity.mWriter, identity.mSequence);
      if (outcome) {
        CheckPublishOutcome(identity, outcome->mResult);
        it = instance.mPendingPublishes.erase(it);
        continue;
      }
      if (it->mRemainingSends > 0 && Chance(10)) {
        --it->mRemainingSends;
        const bool sent = AppendConfig(instance, it->mPayload);
        if (sent && !mOptions.mReadsPublishOutcomeBack) {
          ScheduleAtInstance(aRef, 2 * kSecond, [this, identity](Instance&) {
            CheckPublishOutcome(identity, catalog::ApplyResult::Published);
          });
        }
      }
      ++it;
    }
  }

  void CheckPublishOutcome(const catalog::RecordIdentity& aIdentity,
                           catalog::ApplyResult aReported)
  {
    ++mResult.mPublishOutcomes;
    const auto expected =
      mConfigOracle.FindPublishOutcome(aIdentity.mWriter, aIdentity.mSequence);
    if (!expected || expected->mResult != aReported) {
      ReportViolation(
        "a publisher received an outcome that differs from the log");
    }
  }

  void CheckConfig()
  {
    for (const auto& it : mInstances) {
      const catalog::Version version = it->mConfig.CurrentVersion();
      catalog::Version& newest =
        mConfigVersions.emplace(it->mId, catalog::kNoVersion).first->second;
      if (version < newest) {
        ReportViolation("configuration version of " + it->mId.mValue +
                        " decreased");
      }
      if (version == newest) {
        continue;
      }
      newest = version;
      const std::string digest = it->mConfig.CurrentSet()->Digest();
      if (mConfigDigests.emplace(version, digest).first->second != digest) {
        ReportViolation("two instances differ in one configuration version");
      }
    }
  }

  // Callers and faults.

  std::shared_ptr<Instance> RandomInstance()
  {
    return mInstances[static_cast<std::size_t>(RandomBelow(kInstances))];
  }

  void GenerateLoad()
  {
    if (!AreFaultsEnabled()) {
      return;
    }
    const auto instance = RandomInstance();
    if (mTime >= instance->mPausedUntil) {
      StartRandomOperation(instance);
    }
    Schedule(RandomBelow(120 * kMillisecond), [this] { GenerateLoad(); });
  }

  void StartRandomOperation(const std::shared_ptr<Instance>& aInstance)
  {
    const std::int64_t kind = RandomBelow(20);
    if (kind < 4) {
      SubmitTask(aInstance);
    } else if (kind < 5) {
      SubmitCancellation(*aInstance);
    } else if (kind < 6) {
      BeginPublish(*aInstance);
    } else {
      const bool isIdempotent = kind < 12;
      // Non-idempotent requests are repeated with the same key, also at other
      // instances.
      mLastRequestNumber += isIdempotent || Chance(40) ? 1 : 0;
      requests::Request request;
      request.mId = { (isIdempotent ? "request-" : "key-") +
                      std::to_string(mLastRequestNumber -
                                     (isIdempotent ? 0 : RandomBelow(3))) };
      request.mService = "service";
      request.mIdempotent = isIdempotent;
      request.mBody = R"({"id":")" + request.mId.mValue + R"(","work_ms":)" +
                      std::to_string(RandomBelow(5) * 100) + "}";
      // A repeated request has the same body.
      request.mBody =
        mRequestBodies.emplace(request.mId, request.mBody).first->second;
      BeginRequest(aInstance, request);
    }
  }

  void SubmitTask(const std::shared_ptr<Instance>& aInstance)
  {
    tasks::AcceptRecord accept;
    // Sometimes repeats the previous submission, as after a lost answer.
    mLastTaskNumber += Chance(70) ? 1 : 0;
    accept.mSpec.mTask = { "task-" + std::to_string(mLastTaskNumber) };
    accept.mSpec.mCaller = "caller";
    accept.mSpec.mDeclared = { 300 + 100 * (mLastTaskNumber % 16),
                               300 + 100 * (mLastTaskNumber % 7),
                               mLastTaskNumber % 5 == 0 ? 1 : 0 };
    accept.mSpec.mPayload =
      R"({"run_ms":)" + std::to_string(100 + mLastTaskNumber % 9 * 400) +
      R"(,"checkpoint_ms":)" + std::to_string(mLastTaskNumber % 3 * 100) + "}";
    const base::TaskId task = accept.mSpec.mTask;
    const InstanceRef ref = aInstance;
    Submit(*aInstance,
           { tasks::TaskRecord(accept) },
           aInstance->Now() + seconds(2),
           [this, ref, task](const base::Result<platform::Offset>& aOffset) {
             const bool isApplied =
               ref.lock()->mState.FindTask(task).has_value();
             if (aOffset && isApplied) {
               Trace("accepted " + task.mValue);
               mAcceptedTasks.insert(task);
             }
           });
    if (!mOptions.mReadsAcceptBack) {
      mAcceptedTasks.insert(task);
    }
  }

  void SubmitCancellation(Instance& aInstance)
  {
    if (mLastTaskNumber == 0) {
      return;
    }
    const std::int64_t number =
      std::max<std::int64_t>(1, mLastTaskNumber - RandomBelow(10));
    const base::TaskId task{ "task-" + std::to_string(number) };
    if (aInstance.mState.FindTask(task)) {
      Trace("cancel " + task.mValue);
      Submit(aInstance,
             { tasks::TaskRecord(tasks::CancelRecord{ task, "caller" }) },
             aInstance.Now() + seconds(2),
             [](const auto&) {});
    }
  }

  void InjectRandomFault()
  {
    if (!AreFaultsEnabled()) {
      return;
    }
    const auto n = static_cast<std::size_t>(RandomBelow(kInstances));
    const auto w = static_cast<std::size_t>(RandomBelow(kWorkers));
    Instance& instance = *mInstances[n];
    switch (RandomBelow(12)) {
      case 0:
      case 1:
        instance.mPausedUntil = mTime + RandomBelow(5 * kSecond);
        Trace(instance.mId.mValue + " paused");
        break;
      case 2:
        Trace(instance.mId.mValue + " crashed");
        mInstances[n] = CreateInstance();
        break;
      case 3:
        StartLogOutage();
        break;
      case 4:
        instance.mLogUnreachableUntil = mTime + RandomBelow(5 * kSecond);
        Trace(instance.mId.mValue + " disconnected from the log");
        break;
      case 5:
      case 6:
        instance.mAgents[w].mUnreachableUntil =
          mTime + RandomBelow(5 * kSecond);
        Trace(instance.mId.mValue + " disconnected from worker " +
              std::to_string(w));
        break;
      case 7:
        RestartWorker(w);
        break;
      case 8:
        mWorkers[w]->SetFailNewTasks(true);
        Schedule(RandomBelow(2 * kSecond),
                 [this, w] { mWorkers[w]->SetFailNewTasks(false); });
        break;
      case 9:
        StartWorkerShutdown(w);
        break;
      default:
        EvictTask(instance, w);
        break;
    }
    Schedule(100 * kMillisecond + RandomBelow(kSecond),
             [this] { InjectRandomFault(); });
  }

  // Starts no outage within 3 s after the previous one, so that snapshots are
  // written before the records that they replace expire.
  void StartLogOutage()
  {
    if (mTime < mLogDownUntil + 3 * kSecond) {
      return;
    }
    const std::int64_t length = RandomBelow(kMaxOutage);
    mLogDownUntil = mTime + length;
    mLog.SetDown(true);
    Trace("log down");
    Schedule(length, [this] { mLog.SetDown(false); });
  }

  void RestartWorker(std::size_t aWorker)
  {
    FakeWorker& worker = *mWorkers[aWorker];
    Trace("restart of " + worker.Name().mValue);
    // The restarted worker does not report the attempts that it killed, so they
    // may be started again.
    for (const auto& it : TasksOf(worker)) {
      mStartedAttempts.erase({ it.mTask, it.mAttempt });
    }
    mLeavingSince.erase(worker.Name());
    mDownWorkers.insert(aWorker);
    worker.Crash();
    worker.SetLeaving(false);
    Schedule(RandomBelow(kSecond), [this, aWorker] {
      mDownWorkers.erase(aWorker);
      mWorkers[aWorker]->Restart();
    });
  }

  void StartWorkerShutdown(std::size_t aWorker)
  {
    FakeWorker& worker = *mWorkers[aWorker];
    if (mDownWorkers.count(aWorker) != 0) {
      return;
    }
    Trace(worker.Name().mValue + " is leaving");
    mLeavingSince.emplace(worker.Name(), mTime);
    worker.SetLeaving(true);
    Schedule(3 * kSecond + RandomBelow(4 * kSecond),
             [this, aWorker] { RestartWorker(aWorker); });
  }

  void EvictTask(Instance& aInstance, std::size_t aWorkerIndex)
  {
    const auto running = TasksOf(*mWorkers[aWorkerIndex]);
    if (!aInstance.mAgents[aWorkerIndex].mRunner || running.empty()) {
      return;
    }
    const auto& task = running[static_cast<std::size_t>(
      RandomBelow(static_cast<std::int64_t>(running.size())))];
    aInstance.mAgents[aWorkerIndex].mRunner->Evict(
      { task.mTask, task.mAttempt },
      aInstance.Now() + milliseconds(300 + RandomBelow(700)));
  }

  void StopFaults()
  {
    Trace("faults end");
    for (const auto& it : mInstances) {
      it->mPausedUntil = std::min(it->mPausedUntil, mTime);
      it->mLogUnreachableUntil = 0;
      for (auto& agent : it->mAgents) {
        agent.mUnreachableUntil = 0;
      }
    }
  }

  // Checks.

  void CheckSingleHolder()
  {
    for (std::size_t n = 0; n < kWorkers; ++n) {
      const auto holders = std::count_if(
        mInstances.begin(), mInstances.end(), [&](const auto& aItem) {
          const Agent& agent = aItem->mAgents[n];
          return agent.mRunner && agent.mRunner->MaySendCalls(aItem->Now());
        });
      if (holders > 1) {
        ReportViolation("two active holders of " + mWorkers[n]->Name().mValue);
      }
    }
  }

  std::string FirstUnfinished() const
  {
    for (const auto& it : mAcceptedTasks) {
      if (mEndedTasks.count(it) == 0) {
        const auto task = mOracle.FindTask(it);
        return it.mValue + " is " +
               (task ? std::string(tasks::NameOf(task->mState)) : "lost");
      }
    }
    for (const auto& instance : mInstances) {
      for (const auto& it : instance->mSessions) {
        if (!it.second.mResult) {
          return it.second.mMachine->GetRequest().mId.mValue;
        }
      }
      if (instance->mConfig.CurrentVersion() !=
          mConfigOracle.CurrentVersion()) {
        return "configuration is not current at " + instance->mId.mValue;
      }
    }
    return {};
  }

  bool IsFinished()
  {
    // Messages that faults delayed may arrive up to 6 s later.
    if (mTime < kFaultsEnd + 8 * kSecond || !FirstUnfinished().empty()) {
      return false;
    }
    mResult.mTasksEnded = mEndedTasks.size();
    return true;
  }

  std::unique_ptr<base::Random> mRandom;
  SiteSimulationOptions mOptions;
  std::int64_t mTime = 0;
  base::ManualClock mClock;
  std::uint64_t mNextEvent = 0;
  std::priority_queue<Event> mEvents;
  FakeLog mLog;
  std::int64_t mLogDownUntil = 0;
  std::vector<std::unique_ptr<FakeWorker>> mWorkers;
  std::set<std::size_t> mDownWorkers;
  std::map<base::WorkerId, std::int64_t> mLeavingSince;
  std::vector<std::shared_ptr<Instance>> mInstances;
  int mNextInstance = 0;
  std::int64_t mLastTaskNumber = 0;
  std::int64_t mLastRequestNumber = 3;
  std::uint64_t mNextSessionNumber = 1;
  std::uint64_t mLastCallNumber = 0;
  std::map<base::RequestId, std::string> mRequestBodies;

  journal::SiteState mOracle;
  journal::StreamReader mOracleReader;
  catalog::ConfigState mConfigOracle;
  std::set<base::TaskId> mAcceptedTasks;
  std::set<base::TaskId> mEndedTasks;
  std::map<base::TaskId, std::int64_t> mLatestAttempts;
  std::set<worker::AttemptKey> mStartedAttempts;
  std::map<base::RequestId, int> mKeyExecutions;
  std::set<base::RequestId> mNotRunKeys;
  std::set<std::uint64_t> mExecutedSessions;
  std::set<std::uint64_t> mNotRunSessions;
  std::map<base::InstanceId, catalog::Version> mConfigVersions;
  std::map<catalog::Version, std::string> mConfigDigests;
  std::deque<std::string> mTrace;
  SiteSimulationResult mResult;
};

} // namespace

SiteSimulationResult
RunSiteSimulation(std::uint64_t aSeed, const SiteSimulationOptions& aOptions)
{
  return Simulation(aSeed, aOptions).Run();
}

} // namespace skylarkhill::testing
