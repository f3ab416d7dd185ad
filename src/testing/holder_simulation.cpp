#include "skylarkhill/testing/holder_simulation.hpp"

#include "skylarkhill/base/random.hpp"
#include "skylarkhill/holder/task_runner.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <tuple>

namespace skylarkhill::testing {

using namespace holder;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulated time is in microseconds.
constexpr std::int64_t kMillisecond = 1000;
constexpr std::int64_t kSecond = 1000 * kMillisecond;
constexpr std::int64_t kRunLength = 90 * kSecond;
constexpr int kTasks = 100;
constexpr base::Resources kCapacity{ 4000, 4000, 1 };

/// A task and its latest attempt.
struct SimulatedTask
{
  base::Resources mDeclared;
  std::int64_t mAttempt = 0;
  std::int64_t mGrantedOffset = 0;
  /// Worker of the latest attempt; empty if that has ended.
  std::optional<base::WorkerId> mLiveWorker;
  bool mStarted = false;
  bool mCancelRequested = false;
  bool mHasEnded = false;
  std::string mCheckpoint;
};

/// Task state that results from the log, reduced to what holders depend on.
struct TaskLogState
{
  std::map<base::TaskId, SimulatedTask> mTasks;

  void Apply(const tasks::TaskRecord& aRecord, std::int64_t aOffset)
  {
    if (const auto* it = std::get_if<tasks::GrantRecord>(&aRecord)) {
      SimulatedTask& task = mTasks[it->mTask];
      if (!task.mHasEnded && !task.mLiveWorker &&
          it->mAttempt == task.mAttempt + 1) {
        task.mAttempt = it->mAttempt;
        task.mLiveWorker = it->mWorker;
        task.mStarted = false;
        task.mGrantedOffset = aOffset;
      }
    } else if (const auto* it = std::get_if<tasks::StartedRecord>(&aRecord)) {
      SimulatedTask& task = mTasks[it->mTask];
      task.mStarted = task.mStarted || task.mAttempt == it->mAttempt;
    } else if (const auto* it = std::get_if<tasks::EndRecord>(&aRecord)) {
      if (!IsLiveAttempt(*it)) {
        return;
      }
      SimulatedTask& task = mTasks[it->mTask];
      task.mLiveWorker.reset();
      task.mCheckpoint = it->mCheckpoint;
      task.mHasEnded = task.mCancelRequested ||
                       it->mOutcome == tasks::AttemptOutcome::Completed ||
                       it->mOutcome == tasks::AttemptOutcome::Cancelled;
    } else if (const auto* it = std::get_if<tasks::CancelRecord>(&aRecord)) {
      SimulatedTask& task = mTasks[it->mTask];
      task.mCancelRequested = true;
      task.mHasEnded = task.mHasEnded || !task.mLiveWorker;
    }
  }

  bool IsLiveAttempt(const tasks::EndRecord& aEnd) const
  {
    const SimulatedTask& task = mTasks.at(aEnd.mTask);
    return task.mLiveWorker && task.mAttempt == aEnd.mAttempt;
  }

  std::vector<GrantedAttempt> LiveAttemptsOn(
    const base::WorkerId& aWorker) const
  {
    std::vector<GrantedAttempt> result;
    for (const auto& it : mTasks) {
      const SimulatedTask& task = it.second;
      if (task.mLiveWorker == aWorker) {
        result.push_back({ it.first,
                           task.mAttempt,
                           "class",
                           "",
                           task.mDeclared,
                           task.mCheckpoint,
                           task.mCancelRequested,
                           task.mStarted,
                           task.mGrantedOffset });
      }
    }
    return result;
  }
};

/// Offset and rate of a clock relative to simulated time.
struct ClockSkew
{
  std::int64_t mOffset = 0;
  double mRate = 1;

  std::int64_t LocalTime(std::int64_t aTime) const
  {
    return mOffset + static_cast<std::int64_t>(mRate * double(aTime));
  }
};

/// A worker that checks nothing itself. Simulation::Execute checks the
/// not_after time of its commands.
struct MinimalWorker
{
  struct Task
  {
    worker::TaskReport mReport;
    worker::WorkerTime mEndsAt = 0;
    worker::WorkerTime mCheckpointAt = 0;
  };

  base::WorkerId mId;
  ClockSkew mClock;
  base::Resources mCapacity = kCapacity;
  std::vector<worker::HolderLease> mHolders;
  std::map<worker::AttemptKey, Task> mTasks;
  /// Number of the latest acquisition whose holder has started a task here.
  std::uint64_t mLatestStartAcquisition = 0;

  static bool IsRunning(const Task& aTask)
  {
    return aTask.mReport.mPhase == worker::TaskPhase::Running ||
           aTask.mReport.mPhase == worker::TaskPhase::Checkpointing;
  }

  bool IsRunning(const worker::AttemptKey& aKey) const
  {
    const auto it = mTasks.find(aKey);
    return it != mTasks.end() && IsRunning(it->second);
  }

  base::Resources Reserved() const
  {
    base::Resources sum;
    for (const auto& it : mTasks) {
      sum +=
        IsRunning(it.second) ? it.second.mReport.mReserved : base::Resources{};
    }
    return sum;
  }

  void RemoveHolder(const worker::HolderToken& aToken)
  {
    const auto end =
      std::remove_if(mHolders.begin(), mHolders.end(), [&](const auto& aItem) {
        return aItem.mToken == aToken;
      });
    mHolders.erase(end, mHolders.end());
  }

  void Advance(worker::WorkerTime aNow)
  {
    const auto end =
      std::remove_if(mHolders.begin(), mHolders.end(), [&](const auto& aItem) {
        return aItem.mExpiresAt <= aNow;
      });
    mHolders.erase(end, mHolders.end());
    for (auto& it : mTasks) {
      worker::TaskReport& report = it.second.mReport;
      if (!IsRunning(it.second)) {
        continue;
      }
      if (report.mPhase == worker::TaskPhase::Checkpointing &&
          it.second.mCheckpointAt <= aNow) {
        report.mPhase = worker::TaskPhase::Running;
        report.mCheckpoint = std::to_string(it.second.mCheckpointAt);
      }
      if (report.mLeaseExpiresAt <= aNow) {
        report.mPhase = worker::TaskPhase::Stopped;
      } else if (it.second.mEndsAt <= aNow) {
        const bool hasFailed = it.second.mEndsAt % 8 == 0;
        report.mPhase =
          hasFailed ? worker::TaskPhase::Failed : worker::TaskPhase::Completed;
      }
    }
  }

  worker::WorkerReport MakeReport(worker::WorkerTime aNow) const
  {
    worker::WorkerReport report;
    report.mWorker = mId;
    report.mNow = aNow;
    report.mCapacity = mCapacity;
    report.mHolders = mHolders;
    for (const auto& it : mTasks) {
      report.mTasks.push_back(it.second.mReport);
    }
    return report;
  }
};

/// An instance's state for one worker.
struct Agent
{
  std::unique_ptr<LeaseMachine> mLease;
  std::unique_ptr<Ledger> mLedger;
  std::unique_ptr<TaskRunner> mRunner;
  base::TimePoint mAcquiredAt;
  std::map<std::uint64_t, base::TimePoint> mSentAt;
  /// Simulated time until which polls and lease requests are not delivered;
  /// commands use another connection.
  std::int64_t mPollsBlockedUntil = 0;
};

struct Instance
{
  base::InstanceId mId;
  ClockSkew mClock;
  std::int64_t mPausedUntil = 0;
  std::vector<Agent> mAgents;
  TaskLogState mLogState;
  std::int64_t mNextOffset = 0;
  /// When the latest completed read of the log was sent.
  base::TimePoint mCaughtUpTime;
  /// Attempt and worker index of grants that have not been read back yet.
  std::map<base::TaskId, std::pair<std::int64_t, std::size_t>> mPendingGrants;
};

/// Discrete-event simulation of all instances, workers and the log.
class Simulation
{
public:
  Simulation(std::uint64_t aSeed, const HolderSimulationOptions& aOptions)
    : mRandom(base::CreateSeededRandom(aSeed))
    , mOptions(aOptions)
  {
    for (int n = 0; n < kTasks; ++n) {
      mOracle.mTasks[{ "task-" + std::to_string(n) }].mDeclared = {
        100 + RandomBelow(8) * 100,
        100 + RandomBelow(8) * 100,
        RandomBelow(20) == 0 ? 1 : 0
      };
    }
    mInitialState = mOracle;
    for (int n = 0; n < 2; ++n) {
      MinimalWorker worker;
      worker.mId = { "worker-" + std::to_string(n) };
      worker.mClock = MakeClock();
      mWorkers.push_back(worker);
    }
    for (int n = 0; n < 3; ++n) {
      CreateInstance();
    }
    Schedule(kSecond, [this] { InjectRandomFault(); });
  }

  HolderSimulationResult Run()
  {
    while (mResult.mViolation.empty() && mTime < kRunLength) {
      const Event event = mEvents.top();
      mEvents.pop();
      mTime = event.mTime;
      event.mAction();
      CheckSingleHolder();
    }
    mResult.mTrace.assign(mTrace.begin(), mTrace.end());
    mResult.mAcquisitions = mAcquisitions.size();
    mResult.mStarts = mStartedAttempts.size();
    for (const auto& it : mOracle.mTasks) {
      mResult.mTasksEnded += it.second.mHasEnded ? 1 : 0;
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

  // Clocks are up to 2% fast or slow, so two of them drift apart by up to
  // 240 ms during a lease of 6 s, just below the margin of 250 ms.
  ClockSkew MakeClock()
  {
    return { RandomBelow(1000 * kSecond),
             1 + double(RandomBelow(40'001) - 20'000) / 1e6 };
  }

  std::int64_t MessageDelay(int aSlowPercent = 15)
  {
    if (mOptions.mLateMessages && Chance(5)) {
      return RandomBelow(12 * kSecond);
    }
    // Slow messages stay below the maximum message delay of 1 s as measured by
    // the fastest clock.
    return Chance(aSlowPercent)
             ? 950 * kMillisecond - RandomBelow(400 * kMillisecond)
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
    constexpr std::size_t kMaxTrace = 60;
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

  base::TimePoint Now(const Instance& aInstance) const
  {
    return base::FromMicros(aInstance.mClock.LocalTime(mTime));
  }

  void CreateInstance()
  {
    auto instance = std::make_shared<Instance>();
    instance->mId = { "entry-" + std::to_string(mNextInstance++) };
    instance->mClock = MakeClock();
    instance->mLogState = mInitialState;
    LeaseOptions options;
    options.mScanInterval = milliseconds(50);
    options.mClockMargin = milliseconds(mOptions.mHasClockMargin ? 250 : 0);
    options.mQuietPeriod = seconds(mOptions.mHasQuietPeriod ? 1 : 0);
    if (mOptions.mRestartsWorkers && mOptions.mQuietPeriodCoversLease) {
      options.mQuietPeriod += options.mLeaseDuration + milliseconds(500);
    }
    for (std::size_t n = 0; n < mWorkers.size(); ++n) {
      Agent agent;
      agent.mLease =
        std::make_unique<LeaseMachine>(instance->mId, options, *mRandom);
      instance->mAgents.push_back(std::move(agent));
    }
    mInstances.push_back(instance);
    ScheduleAtInstance(
      instance,
      RandomBelow(50'000),
      [this, ref = InstanceRef(instance)](Instance&) { StepInstance(ref); });
    ScheduleAtInstance(
      instance,
      RandomBelow(50'000),
      [this, ref = InstanceRef(instance)](Instance&) { ReadLog(ref); });
  }

  void StepInstance(const InstanceRef& aRef)
  {
    Instance& instance = *aRef.lock();
    GrantQueuedTask(aRef);
    for (std::size_t n = 0; n < mWorkers.size(); ++n) {
      instance.mAgents[n].mLease->SetPreferred(Chance(40));
      StepAgent(aRef, n);
    }
    ScheduleAtInstance(aRef,
                       20'000 + RandomBelow(30'000),
                       [this, aRef](Instance&) { StepInstance(aRef); });
  }

  void StepAgent(const InstanceRef& aRef, std::size_t aWorkerIndex)
  {
    Instance& instance = *aRef.lock();
    Agent& agent = instance.mAgents[aWorkerIndex];
    for (const auto& it : agent.mLease->Step(Now(instance))) {
      PerformLeaseAction(aRef, aWorkerIndex, it);
    }
    if (!agent.mRunner) {
      return;
    }
    std::optional<std::int64_t> inheritedBefore;
    if (instance.mCaughtUpTime >= agent.mAcquiredAt) {
      inheritedBefore =
        mOptions.mReleasesInheritedGrants ? instance.mNextOffset : 0;
    }
    agent.mRunner->SetGrants(
      instance.mLogState.LiveAttemptsOn(mWorkers[aWorkerIndex].mId),
      inheritedBefore);
    const RunnerOutput output = agent.mRunner->Step(Now(instance));
    for (const auto& it : output.mRecords) {
      AppendRecord(aRef, it);
    }
    for (const auto& it : output.mCommands) {
      // Simulates commands that wait for a free connection.
      const std::int64_t wait = Chance(10) ? 300 * kMillisecond : kMillisecond;
      ScheduleAtInstance(
        aRef, RandomBelow(wait), [this, aRef, aWorkerIndex, it](Instance&) {
          SendCommand(aRef, aWorkerIndex, it);
        });
    }
  }

  void PerformLeaseAction(const InstanceRef& aRef,
                          std::size_t aWorkerIndex,
                          const LeaseAction& aAction)
  {
    Agent& agent = aRef.lock()->mAgents[aWorkerIndex];
    const base::TimePoint now = Now(*aRef.lock());
    const bool isBlocked = mTime < agent.mPollsBlockedUntil;
    if (const auto* it = std::get_if<SetLease>(&aAction)) {
      agent.mSentAt[it->mRequest] = now;
      SendToWorker(!isBlocked, true, [this, aRef, aWorkerIndex, place = *it] {
        MinimalWorker& worker = Advance(aWorkerIndex);
        const std::int64_t end =
          worker.mClock.LocalTime(mTime) + place.mDuration.count();
        worker.RemoveHolder(place.mToken);
        worker.mHolders.push_back({ place.mToken, end });
        DeliverReport(aRef, aWorkerIndex, place.mRequest);
      });
    } else if (const auto* it = std::get_if<ReadHolders>(&aAction)) {
      agent.mSentAt[it->mRequest] = now;
      SendToWorker(
        !isBlocked, true, [this, aRef, aWorkerIndex, request = it->mRequest] {
          Advance(aWorkerIndex);
          DeliverReport(aRef, aWorkerIndex, request);
        });
    } else if (const auto* it = std::get_if<RemoveLease>(&aAction)) {
      SendToWorker(!isBlocked, true, [this, aRef, aWorkerIndex, remove = *it] {
        Advance(aWorkerIndex).RemoveHolder(remove.mToken);
        ScheduleAtInstance(aRef, MessageDelay(), [=](Instance& aInstance) {
          aInstance.mAgents[aWorkerIndex].mLease->OnRemoved(remove.mRequest,
                                                            Now(aInstance));
        });
      });
    } else if (const auto* it = std::get_if<LeaseAcquired>(&aAction)) {
      const worker::HolderToken& token = it->mToken;
      mAcquisitions[{
        token.mInstance, token.mEpoch, mWorkers[aWorkerIndex].mId }] =
        ++mLastAcquisition;
      Trace(token.mInstance.mValue + " holds " +
            mWorkers[aWorkerIndex].mId.mValue);
      TaskRunnerOptions options;
      options.mCommandTimeout = milliseconds(300);
      options.mMaxMessageDelay =
        seconds(mOptions.mWaitsForDelayedStarts ? 1 : -60);
      agent.mAcquiredAt = now;
      agent.mLedger = std::make_unique<Ledger>();
      agent.mRunner =
        std::make_unique<TaskRunner>(*agent.mLease, *agent.mLedger, options);
    } else {
      Trace(agent.mLease->Token().mInstance.mValue + " no longer holds " +
            mWorkers[aWorkerIndex].mId.mValue);
      agent.mRunner.reset();
      agent.mLedger.reset();
    }
  }

  MinimalWorker& Advance(std::size_t aWorkerIndex)
  {
    MinimalWorker& worker = mWorkers[aWorkerIndex];
    worker.Advance(worker.mClock.LocalTime(mTime));
    return worker;
  }

  void SendToWorker(bool aIsConnected,
                    bool aMayDuplicate,
                    const std::function<void()>& aAction,
                    int aSlowPercent = 15)
  {
    if (!aIsConnected) {
      return;
    }
    if (!Chance(5)) {
      Schedule(MessageDelay(aSlowPercent), aAction);
    }
    if (aMayDuplicate && Chance(3)) {
      Schedule(MessageDelay(aSlowPercent), aAction);
    }
  }

  void DeliverReport(const InstanceRef& aRef,
                     std::size_t aWorkerIndex,
                     std::uint64_t aRequest)
  {
    const MinimalWorker& worker = mWorkers[aWorkerIndex];
    if (Chance(5)) {
      return;
    }
    ScheduleAtInstance(
      aRef,
      MessageDelay(),
      [=, report = worker.MakeReport(worker.mClock.LocalTime(mTime))](
        Instance& aInstance) {
        OnReport(aInstance, aWorkerIndex, aRequest, report);
        StepAgent(aRef, aWorkerIndex);
      });
  }

  void OnReport(Instance& aInstance,
                std::size_t aWorkerIndex,
                std::uint64_t aRequest,
                worker::WorkerReport aReport)
  {
    Agent& agent = aInstance.mAgents[aWorkerIndex];
    worker::WorkerReport leaseReport = aReport;
    if (!mOptions.mVerifiesLease &&
        agent.mLease->State() == LeaseState::Verifying) {
      leaseReport.mHolders = { { agent.mLease->Token(), 0 } };
    }
    agent.mLease->OnReport(aRequest, leaseReport, Now(aInstance));
    // Together with the negative maximum message delay, makes every start seem
    // too old to arrive, so that the runner gives up attempts too early.
    if (!mOptions.mWaitsForDelayedStarts) {
      aReport.mNow += 60 * kSecond;
    }
    if (agent.mRunner && agent.mLease->MaySendCommands(Now(aInstance))) {
      agent.mRunner->OnReport({ aReport, agent.mSentAt[aRequest] });
    }
  }

  void SendCommand(const InstanceRef& aRef,
                   std::size_t aWorkerIndex,
                   const Command& aCommand)
  {
    const Instance& instance = *aRef.lock();
    const Agent& agent = instance.mAgents[aWorkerIndex];
    const bool isCurrent = agent.mLease->Token() == aCommand.mHeader.mToken;
    const base::TimePoint now = Now(instance);
    const bool isAllowed = isCurrent && agent.mLease->MaySendCommands(now) &&
                           now < aCommand.mDeadline;
    if (mOptions.mChecksLeaseBeforeSend && !isAllowed) {
      return;
    }
    // These workers do not recognize duplicate starts. The transport never
    // resends a start.
    const bool isStart =
      std::holds_alternative<worker::StartTask>(aCommand.mBody);
    const auto deliver = [=] {
      const CommandOutcome outcome = Execute(aWorkerIndex, aCommand);
      if (Chance(10)) {
        return;
      }
      ScheduleAtInstance(aRef, MessageDelay(), [=](Instance& aInstance) {
        Agent& target = aInstance.mAgents[aWorkerIndex];
        if (target.mRunner &&
            target.mLease->Token() == aCommand.mHeader.mToken) {
          target.mRunner->OnResult(aCommand.mNumber, outcome);
        }
      });
    };
    SendToWorker(true, !isStart, deliver, mOptions.mSlowCommandPercent);
  }

  CommandOutcome Execute(std::size_t aWorkerIndex, const Command& aCommand)
  {
    MinimalWorker& worker = Advance(aWorkerIndex);
    const worker::WorkerTime now = worker.mClock.LocalTime(mTime);
    if (mOptions.mWorkerChecksNotAfter && now > aCommand.mHeader.mNotAfter) {
      return CommandOutcome::Unknown;
    }
    if (const auto* it = std::get_if<worker::StartTask>(&aCommand.mBody)) {
      if (Chance(3)) {
        return CommandOutcome::Refused;
      }
      ExecuteStart(worker, aCommand.mHeader, *it);
    } else if (const auto* it = std::get_if<RenewTasks>(&aCommand.mBody)) {
      for (const auto& key : it->mTasks) {
        const auto task = worker.mTasks.find(key);
        if (task != worker.mTasks.end()) {
          task->second.mReport.mLeaseExpiresAt = it->mLeaseExpiresAt;
        }
      }
    } else if (const auto* it = std::get_if<CheckpointTask>(&aCommand.mBody)) {
      if (worker.IsRunning(it->mTask)) {
        MinimalWorker::Task& task = worker.mTasks[it->mTask];
        task.mReport.mPhase = worker::TaskPhase::Checkpointing;
        task.mCheckpointAt = now + 300 * kMillisecond;
      }
    } else if (const auto* it = std::get_if<StopTask>(&aCommand.mBody)) {
      if (worker.IsRunning(it->mTask)) {
        worker.mTasks[it->mTask].mReport.mPhase = worker::TaskPhase::Stopped;
      }
    } else if (const auto* it = std::get_if<AcknowledgeTask>(&aCommand.mBody)) {
      if (worker.IsRunning(it->mTask)) {
        ReportViolation("task acknowledged while it runs");
      }
      worker.mTasks.erase(it->mTask);
    }
    return CommandOutcome::Ok;
  }

  void ExecuteStart(MinimalWorker& aWorker,
                    const worker::CommandHeader& aHeader,
                    const worker::StartTask& aStart)
  {
    const worker::AttemptKey key{ aStart.mTask, aStart.mAttempt };
    Trace(aHeader.mToken.mInstance.mValue + " starts " + aStart.mTask.mValue +
          "/" + std::to_string(aStart.mAttempt) + " on " + aWorker.mId.mValue);
    if (!mStartedAttempts.insert(key).second) {
      ReportViolation("attempt started twice");
    }
    const SimulatedTask& expected = mOracle.mTasks.at(aStart.mTask);
    if (!expected.mLiveWorker || expected.mAttempt != aStart.mAttempt) {
      ReportViolation("attempt started without a live grant");
    }
    for (const auto& other : mWorkers) {
      for (const auto& it : other.mTasks) {
        if (it.first.mTask == aStart.mTask &&
            MinimalWorker::IsRunning(it.second)) {
          ReportViolation("attempt overlaps another attempt of its task");
        }
      }
    }
    // Epochs do not order holders that never saw each other's leases, so the
    // simulation numbers the acquisitions itself.
    const worker::HolderToken& token = aHeader.mToken;
    const std::uint64_t acquisition =
      mAcquisitions[{ token.mInstance, token.mEpoch, aWorker.mId }];
    if (acquisition < aWorker.mLatestStartAcquisition) {
      ReportViolation("start by an earlier holder");
    }
    aWorker.mLatestStartAcquisition =
      std::max(aWorker.mLatestStartAcquisition, acquisition);
    const worker::WorkerTime now = aWorker.mClock.LocalTime(mTime);
    MinimalWorker::Task task;
    task.mReport.mTask = aStart.mTask;
    task.mReport.mAttempt = aStart.mAttempt;
    task.mReport.mReserved = aStart.mReserved;
    task.mReport.mLeaseExpiresAt = aStart.mLeaseExpiresAt;
    task.mEndsAt = now + RandomBelow(15 * kSecond);
    aWorker.mTasks[key] = task;
    if (!base::Fits(aWorker.Reserved(), kCapacity)) {
      ReportViolation("capacity of the worker exceeded");
    }
  }

  void GrantQueuedTask(const InstanceRef& aRef)
  {
    // Grants rarely, so that capacity remains free and starts occur throughout
    // the run.
    if (!Chance(4)) {
      return;
    }
    Instance& instance = *aRef.lock();
    const auto workerIndex = static_cast<std::size_t>(RandomBelow(2));
    Ledger* ledger = instance.mAgents[workerIndex].mLedger.get();
    for (const auto& it : instance.mLogState.mTasks) {
      const SimulatedTask& task = it.second;
      const worker::AttemptKey key{ it.first, task.mAttempt + 1 };
      const bool canGrant = !task.mHasEnded && !task.mLiveWorker &&
                            instance.mPendingGrants.count(it.first) == 0;
      if (ledger && canGrant && ledger->CommitGrant(key, task.mDeclared)) {
        instance.mPendingGrants[it.first] = { key.mAttempt, workerIndex };
        const tasks::GrantRecord grant{ it.first,
                                        key.mAttempt,
                                        mWorkers[workerIndex].mId };
        AppendRecord(aRef, grant);
        return;
      }
    }
  }

  void AppendRecord(const InstanceRef& aRef, const tasks::TaskRecord& aRecord)
  {
    ScheduleAtInstance(aRef, RandomBelow(5'000), [=](Instance&) {
      if (mTime < mLogDownUntil) {
        Schedule(500'000, [=] { AppendRecord(aRef, aRecord); });
        return;
      }
      const bool isSlow = mOptions.mDelaysAppends && Chance(20);
      Schedule(RandomBelow(isSlow ? 15 * kSecond : 50 * kMillisecond),
               [=] { ApplyToLog(aRecord); });
    });
  }

  void ApplyToLog(const tasks::TaskRecord& aRecord)
  {
    const auto* end = std::get_if<tasks::EndRecord>(&aRecord);
    if (end && mOracle.IsLiveAttempt(*end)) {
      Trace("end of " + end->mTask.mValue + "/" +
            std::to_string(end->mAttempt) + ", outcome " +
            std::to_string(static_cast<int>(end->mOutcome)));
      for (std::size_t n = 0; n < mWorkers.size(); ++n) {
        if (Advance(n).IsRunning(
              worker::AttemptKey{ end->mTask, end->mAttempt })) {
          ReportViolation("end record takes effect while the attempt runs");
        }
      }
    }
    mOracle.Apply(aRecord, static_cast<std::int64_t>(mLog.size()));
    mLog.push_back(aRecord);
  }

  void ReadLog(const InstanceRef& aRef)
  {
    ScheduleAtInstance(
      aRef, 20'000 + RandomBelow(40'000), [=](Instance& aInstance) {
        const base::TimePoint sentAt = Now(aInstance);
        const std::size_t end = mLog.size();
        if (mTime < mLogDownUntil) {
          ReadLog(aRef);
          return;
        }
        ScheduleAtInstance(aRef, RandomBelow(10'000), [=](Instance& aReader) {
          ApplyLog(aReader, end);
          aReader.mCaughtUpTime = sentAt;
          ReadLog(aRef);
        });
      });
  }

  void ApplyLog(Instance& aInstance, std::size_t aEnd)
  {
    const auto end = static_cast<std::int64_t>(aEnd);
    for (; aInstance.mNextOffset < end; ++aInstance.mNextOffset) {
      const tasks::TaskRecord& record =
        mLog[static_cast<std::size_t>(aInstance.mNextOffset)];
      aInstance.mLogState.Apply(record, aInstance.mNextOffset);
      const auto* grant = std::get_if<tasks::GrantRecord>(&record);
      const auto own = grant ? aInstance.mPendingGrants.find(grant->mTask)
                             : aInstance.mPendingGrants.end();
      if (own == aInstance.mPendingGrants.end() ||
          own->second.first != grant->mAttempt) {
        continue;
      }
      const std::size_t workerIndex = own->second.second;
      const bool tookEffect =
        aInstance.mLogState.mTasks[grant->mTask].mLiveWorker ==
        mWorkers[workerIndex].mId;
      Ledger* ledger = aInstance.mAgents[workerIndex].mLedger.get();
      if (ledger && !tookEffect) {
        ledger->CancelGrant({ grant->mTask, grant->mAttempt });
      }
      aInstance.mPendingGrants.erase(own);
    }
  }

  void InjectRandomFault()
  {
    const auto n = static_cast<std::size_t>(RandomBelow(3));
    auto& instance = mInstances[n];
    switch (RandomBelow(10)) {
      case 0:
      case 1:
      case 2:
        instance->mPausedUntil = mTime + RandomBelow(10 * kSecond);
        Trace(instance->mId.mValue + " paused");
        break;
      case 3:
        mInstances.erase(mInstances.begin() + static_cast<std::ptrdiff_t>(n));
        CreateInstance();
        break;
      case 4:
        mLogDownUntil = mTime + RandomBelow(6 * kSecond);
        break;
      case 5:
        ApplyToLog(tasks::CancelRecord{
          { "task-" + std::to_string(RandomBelow(kTasks)) }, "caller" });
        break;
      case 6:
        mWorkers[n % 2].mCapacity.mMilliProcessors = 2000 + RandomBelow(2000);
        break;
      case 7:
      case 8:
        if (mOptions.mRestartsWorkers && Chance(40)) {
          RestartWorker(mWorkers[n % 2]);
          break;
        }
        instance->mAgents[n % 2].mPollsBlockedUntil =
          mTime + RandomBelow(12 * kSecond);
        break;
      default:
        EvictTask(*instance);
        break;
    }
    Schedule(200 * kMillisecond + RandomBelow(2 * kSecond),
             [this] { InjectRandomFault(); });
  }

  void RestartWorker(MinimalWorker& aWorker)
  {
    Trace("restart of " + aWorker.mId.mValue);
    // The restarted worker does not report the attempts that it killed, so they
    // may be started again.
    for (const auto& it : aWorker.mTasks) {
      mStartedAttempts.erase(it.first);
    }
    aWorker.mHolders.clear();
    aWorker.mTasks.clear();
  }

  void EvictTask(Instance& aInstance)
  {
    const auto workerIndex = static_cast<std::size_t>(RandomBelow(2));
    if (!aInstance.mAgents[workerIndex].mRunner ||
        mWorkers[workerIndex].mTasks.empty()) {
      return;
    }
    aInstance.mAgents[workerIndex].mRunner->Evict(
      mWorkers[workerIndex].mTasks.begin()->first,
      Now(aInstance) + milliseconds(500 + RandomBelow(1000)));
  }

  /// After a restart a worker may have two holders; the newer one may renew
  /// leases but must not send calls until its quiet period ends.
  bool MaySendTo(const Instance& aInstance, const Agent& aAgent) const
  {
    const base::TimePoint now = Now(aInstance);
    if (mOptions.mRestartsWorkers) {
      return aAgent.mRunner && aAgent.mRunner->MaySendCalls(now);
    }
    return aAgent.mLease->MaySendCommands(now);
  }

  void CheckSingleHolder()
  {
    for (std::size_t n = 0; n < mWorkers.size(); ++n) {
      const auto holders = std::count_if(
        mInstances.begin(), mInstances.end(), [&](const auto& aItem) {
          return MaySendTo(*aItem, aItem->mAgents[n]);
        });
      if (holders > 1) {
        ReportViolation("two active holders of a worker");
      }
    }
  }

  std::unique_ptr<base::Random> mRandom;
  HolderSimulationOptions mOptions;
  std::int64_t mTime = 0;
  std::uint64_t mNextEvent = 0;
  int mNextInstance = 0;
  std::int64_t mLogDownUntil = 0;
  std::priority_queue<Event> mEvents;
  std::vector<MinimalWorker> mWorkers;
  std::vector<std::shared_ptr<Instance>> mInstances;
  TaskLogState mInitialState;
  TaskLogState mOracle;
  std::deque<tasks::TaskRecord> mLog;
  std::set<worker::AttemptKey> mStartedAttempts;
  std::uint64_t mLastAcquisition = 0;
  std::map<std::tuple<base::InstanceId, std::uint64_t, base::WorkerId>,
           std::uint64_t>
    mAcquisitions;
  std::deque<std::string> mTrace;
  HolderSimulationResult mResult;
};

} // namespace

HolderSimulationResult
RunHolderSimulation(std::uint64_t aSeed,
                    const HolderSimulationOptions& aOptions)
{
  return Simulation(aSeed, aOptions).Run();
}

} // namespace skylarkhill::testing
