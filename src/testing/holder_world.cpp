#include "skylarkhill/testing/holder_world.hpp"

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

constexpr std::int64_t kMillisecond = 1000;
constexpr std::int64_t kSecond = 1000 * kMillisecond;
constexpr std::int64_t kRunLength = 90 * kSecond;
constexpr int kTasks = 100;
constexpr base::Resources kCapacity{ 4000, 4000, 1 };

struct TaskRow
{
  base::Resources mNeed;
  std::int64_t mAttempt = 0;
  std::int64_t mGrantedOffset = 0;
  std::optional<base::WorkerId> mLive;
  bool mStarted = false;
  bool mCancel = false;
  bool mDone = false;
  std::string mCheckpoint;
};

/// The rules of section 2.3 of the design that matter to a holder.
struct Table
{
  std::map<base::TaskId, TaskRow> mRows;

  void Apply(const tasks::TaskRecord& aRecord, std::int64_t aOffset)
  {
    if (const auto* it = std::get_if<tasks::GrantRecord>(&aRecord)) {
      TaskRow& row = mRows[it->mTask];
      if (!row.mDone && !row.mLive && it->mAttempt == row.mAttempt + 1) {
        row.mAttempt = it->mAttempt;
        row.mLive = it->mWorker;
        row.mStarted = false;
        row.mGrantedOffset = aOffset;
      }
    } else if (const auto* it = std::get_if<tasks::StartedRecord>(&aRecord)) {
      TaskRow& row = mRows[it->mTask];
      row.mStarted = row.mStarted || row.mAttempt == it->mAttempt;
    } else if (const auto* it = std::get_if<tasks::EndRecord>(&aRecord)) {
      if (!IsLive(*it)) {
        return;
      }
      TaskRow& row = mRows[it->mTask];
      row.mLive.reset();
      row.mCheckpoint = it->mCheckpoint;
      row.mDone = row.mCancel ||
                  it->mOutcome == tasks::AttemptOutcome::Completed ||
                  it->mOutcome == tasks::AttemptOutcome::Cancelled;
    } else if (const auto* it = std::get_if<tasks::CancelRecord>(&aRecord)) {
      TaskRow& row = mRows[it->mTask];
      row.mCancel = true;
      row.mDone = row.mDone || !row.mLive;
    }
  }

  bool IsLive(const tasks::EndRecord& aEnd) const
  {
    const TaskRow& row = mRows.at(aEnd.mTask);
    return row.mLive && row.mAttempt == aEnd.mAttempt;
  }

  std::vector<GrantedAttempt> Grants(const base::WorkerId& aWorker) const
  {
    std::vector<GrantedAttempt> result;
    for (const auto& it : mRows) {
      const TaskRow& row = it.second;
      if (row.mLive == aWorker) {
        result.push_back({ it.first,
                           row.mAttempt,
                           "class",
                           "",
                           row.mNeed,
                           row.mCheckpoint,
                           row.mCancel,
                           row.mStarted,
                           row.mGrantedOffset });
      }
    }
    return result;
  }
};

/// A clock with its own zero point and rate.
struct SkewedClock
{
  std::int64_t mOffset = 0;
  double mRate = 1;

  std::int64_t At(std::int64_t aTime) const
  {
    return mOffset + static_cast<std::int64_t>(mRate * double(aTime));
  }
};

/// A worker that refuses nothing but commands that are past not_after.
struct SmallWorker
{
  struct Task
  {
    worker::TaskReport mReport;
    worker::WorkerTime mEndsAt = 0;
    worker::WorkerTime mCheckpointAt = 0;
  };

  base::WorkerId mId;
  SkewedClock mClock;
  base::Resources mCapacity = kCapacity;
  std::vector<worker::HolderLease> mHolders;
  std::map<worker::AttemptKey, Task> mTasks;
  /// Number of the newest acquisition that has started a task.
  std::uint64_t mNewestStarter = 0;

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
        const bool fails = it.second.mEndsAt % 8 == 0;
        report.mPhase =
          fails ? worker::TaskPhase::Failed : worker::TaskPhase::Completed;
      }
    }
  }

  worker::WorkerReport Report(worker::WorkerTime aNow) const
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

struct Site
{
  std::unique_ptr<LeaseMachine> mLease;
  std::unique_ptr<Ledger> mLedger;
  std::unique_ptr<TaskRunner> mRunner;
  base::TimePoint mAcquiredAt;
  std::map<std::uint64_t, base::TimePoint> mSentAt;
  /// Until then the connection for polls and lease requests delivers nothing,
  /// while that for commands works.
  std::int64_t mPollsStuckUntil = 0;
};

struct Instance
{
  base::InstanceId mId;
  SkewedClock mClock;
  std::int64_t mPausedUntil = 0;
  std::vector<Site> mSites;
  Table mTable;
  std::int64_t mRead = 0;
  /// Send time of the read that observed the end up to which it has read.
  base::TimePoint mReadAt;
  /// Grants that are not read back yet.
  std::map<base::TaskId, std::pair<std::int64_t, std::size_t>> mGranting;
};

/// Several instances, workers and a log on one simulated time line.
class World
{
public:
  World(std::uint64_t aSeed, const HolderVariant& aVariant)
    : mRandom(base::CreateSeededRandom(aSeed))
    , mVariant(aVariant)
  {
    for (int n = 0; n < kTasks; ++n) {
      mTruth.mRows[{ "task-" + std::to_string(n) }].mNeed = {
        100 + Pick(8) * 100, 100 + Pick(8) * 100, Pick(20) == 0 ? 1 : 0
      };
    }
    mInitial = mTruth;
    for (int n = 0; n < 2; ++n) {
      SmallWorker worker;
      worker.mId = { "worker-" + std::to_string(n) };
      worker.mClock = MakeClock();
      mWorkers.push_back(worker);
    }
    for (int n = 0; n < 3; ++n) {
      AddInstance();
    }
    At(kSecond, [this] { Disturb(); });
  }

  HolderRun Run()
  {
    while (mRun.mViolation.empty() && mTime < kRunLength) {
      const Event event = mEvents.top();
      mEvents.pop();
      mTime = event.mTime;
      event.mRun();
      CheckHolders();
    }
    mRun.mTrace.assign(mTrace.begin(), mTrace.end());
    mRun.mAcquisitions = mAcquisitions.size();
    mRun.mStarts = mStarted.size();
    for (const auto& it : mTruth.mRows) {
      mRun.mTasksDone += it.second.mDone ? 1 : 0;
    }
    return mRun;
  }

private:
  struct Event
  {
    std::int64_t mTime = 0;
    std::uint64_t mNumber = 0;
    std::function<void()> mRun;

    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mTime, aOther.mNumber) < std::tie(mTime, mNumber);
    }
  };
  using InstanceRef = std::weak_ptr<Instance>;

  std::int64_t Pick(std::int64_t aBound)
  {
    return static_cast<std::int64_t>(
      mRandom->Below(static_cast<std::uint64_t>(aBound)));
  }

  bool Chance(int aPercent) { return Pick(100) < aPercent; }

  // Rates of up to 2% make two clocks drift apart by up to 240 ms during a
  // lease of 6 s, just below the margin of 250 ms.
  SkewedClock MakeClock()
  {
    return { Pick(1000 * kSecond), 1 + double(Pick(40'001) - 20'000) / 1e6 };
  }

  std::int64_t Delay(int aSlowPercent = 15)
  {
    if (mVariant.mLateMessages && Chance(5)) {
      return Pick(12 * kSecond);
    }
    // Just below the maximum message delay, less the largest clock rate.
    return Chance(aSlowPercent) ? 950 * kMillisecond - Pick(400 * kMillisecond)
                                : 200 + Pick(5'000);
  }

  void Fail(const std::string& aText)
  {
    if (mRun.mViolation.empty()) {
      mRun.mViolation = aText;
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

  void At(std::int64_t aDelay, std::function<void()> aRun)
  {
    mEvents.push({ mTime + aDelay, mNextEvent++, std::move(aRun) });
  }

  /// Runs at the instance, after its pause if it is paused.
  void AtInstance(const InstanceRef& aRef,
                  std::int64_t aDelay,
                  std::function<void(Instance&)> aRun)
  {
    At(aDelay, [this, aRef, run = std::move(aRun)] {
      const auto instance = aRef.lock();
      if (!instance) {
        return;
      }
      if (mTime < instance->mPausedUntil) {
        AtInstance(aRef, instance->mPausedUntil - mTime, run);
        return;
      }
      run(*instance);
    });
  }

  base::TimePoint Now(const Instance& aInstance) const
  {
    return base::FromMicros(aInstance.mClock.At(mTime));
  }

  void AddInstance()
  {
    auto instance = std::make_shared<Instance>();
    instance->mId = { "entry-" + std::to_string(mNextInstance++) };
    instance->mClock = MakeClock();
    instance->mTable = mInitial;
    LeaseOptions options;
    options.mScanInterval = milliseconds(50);
    options.mClockMargin = milliseconds(mVariant.mMargin ? 250 : 0);
    options.mQuietPeriod = seconds(mVariant.mQuietPeriod ? 1 : 0);
    if (mVariant.mWorkersForget && mVariant.mLongQuietPeriod) {
      options.mQuietPeriod += options.mLeaseDuration + milliseconds(500);
    }
    for (std::size_t n = 0; n < mWorkers.size(); ++n) {
      Site site;
      site.mLease =
        std::make_unique<LeaseMachine>(instance->mId, options, *mRandom);
      instance->mSites.push_back(std::move(site));
    }
    mInstances.push_back(instance);
    AtInstance(instance,
               Pick(50'000),
               [this, ref = InstanceRef(instance)](Instance&) { Tick(ref); });
    AtInstance(
      instance, Pick(50'000), [this, ref = InstanceRef(instance)](Instance&) {
        ReadLog(ref);
      });
  }

  void Tick(const InstanceRef& aRef)
  {
    Instance& instance = *aRef.lock();
    Grant(aRef);
    for (std::size_t n = 0; n < mWorkers.size(); ++n) {
      instance.mSites[n].mLease->SetPreferred(Chance(40));
      StepSite(aRef, n);
    }
    AtInstance(
      aRef, 20'000 + Pick(30'000), [this, aRef](Instance&) { Tick(aRef); });
  }

  void StepSite(const InstanceRef& aRef, std::size_t aSite)
  {
    Instance& instance = *aRef.lock();
    Site& site = instance.mSites[aSite];
    for (const auto& it : site.mLease->Step(Now(instance))) {
      Perform(aRef, aSite, it);
    }
    if (!site.mRunner) {
      return;
    }
    std::optional<std::int64_t> inheritedBefore;
    if (instance.mReadAt >= site.mAcquiredAt) {
      inheritedBefore = mVariant.mReleaseInherited ? instance.mRead : 0;
    }
    site.mRunner->SetGrants(instance.mTable.Grants(mWorkers[aSite].mId),
                            inheritedBefore);
    const RunnerOutput output = site.mRunner->Step(Now(instance));
    for (const auto& it : output.mRecords) {
      Append(aRef, it);
    }
    for (const auto& it : output.mCommands) {
      // Some commands wait for a connection.
      const std::int64_t wait = Chance(10) ? 300 * kMillisecond : kMillisecond;
      AtInstance(aRef, Pick(wait), [this, aRef, aSite, it](Instance&) {
        SendCommand(aRef, aSite, it);
      });
    }
  }

  void Perform(const InstanceRef& aRef,
               std::size_t aSite,
               const LeaseAction& aAction)
  {
    Site& site = aRef.lock()->mSites[aSite];
    const base::TimePoint now = Now(*aRef.lock());
    const bool stuck = mTime < site.mPollsStuckUntil;
    if (const auto* it = std::get_if<SetLease>(&aAction)) {
      site.mSentAt[it->mRequest] = now;
      ToWorker(!stuck, true, [this, aRef, aSite, place = *it] {
        SmallWorker& worker = Advance(aSite);
        const std::int64_t end =
          worker.mClock.At(mTime) + place.mDuration.count();
        worker.RemoveHolder(place.mToken);
        worker.mHolders.push_back({ place.mToken, end });
        Report(aRef, aSite, place.mRequest);
      });
    } else if (const auto* it = std::get_if<ReadHolders>(&aAction)) {
      site.mSentAt[it->mRequest] = now;
      ToWorker(!stuck, true, [this, aRef, aSite, request = it->mRequest] {
        Advance(aSite);
        Report(aRef, aSite, request);
      });
    } else if (const auto* it = std::get_if<RemoveLease>(&aAction)) {
      ToWorker(!stuck, true, [this, aRef, aSite, remove = *it] {
        Advance(aSite).RemoveHolder(remove.mToken);
        AtInstance(aRef, Delay(), [=](Instance& aInstance) {
          aInstance.mSites[aSite].mLease->OnRemoved(remove.mRequest,
                                                    Now(aInstance));
        });
      });
    } else if (const auto* it = std::get_if<LeaseAcquired>(&aAction)) {
      const worker::HolderToken& token = it->mToken;
      mAcquisitions[{ token.mInstance, token.mEpoch, mWorkers[aSite].mId }] =
        ++mLastAcquisition;
      Trace(token.mInstance.mValue + " holds " + mWorkers[aSite].mId.mValue);
      TaskRunnerOptions options;
      options.mCommandTimeout = milliseconds(300);
      options.mMaxMessageDelay = seconds(mVariant.mStartOnce ? 1 : -60);
      site.mAcquiredAt = now;
      site.mLedger = std::make_unique<Ledger>();
      site.mRunner =
        std::make_unique<TaskRunner>(*site.mLease, *site.mLedger, options);
    } else {
      Trace(site.mLease->Token().mInstance.mValue + " ends hold of " +
            mWorkers[aSite].mId.mValue);
      site.mRunner.reset();
      site.mLedger.reset();
    }
  }

  SmallWorker& Advance(std::size_t aSite)
  {
    SmallWorker& worker = mWorkers[aSite];
    worker.Advance(worker.mClock.At(mTime));
    return worker;
  }

  void ToWorker(bool aConnected,
                bool aDuplicable,
                const std::function<void()>& aRun,
                int aSlowPercent = 15)
  {
    if (!aConnected) {
      return;
    }
    if (!Chance(5)) {
      At(Delay(aSlowPercent), aRun);
    }
    if (aDuplicable && Chance(3)) {
      At(Delay(aSlowPercent), aRun);
    }
  }

  void Report(const InstanceRef& aRef,
              std::size_t aSite,
              std::uint64_t aRequest)
  {
    const SmallWorker& worker = mWorkers[aSite];
    if (Chance(5)) {
      return;
    }
    AtInstance(aRef,
               Delay(),
               [=, report = worker.Report(worker.mClock.At(mTime))](
                 Instance& aInstance) {
                 OnReport(aInstance, aSite, aRequest, report);
                 StepSite(aRef, aSite);
               });
  }

  void OnReport(Instance& aInstance,
                std::size_t aSite,
                std::uint64_t aRequest,
                worker::WorkerReport aReport)
  {
    Site& site = aInstance.mSites[aSite];
    worker::WorkerReport seen = aReport;
    if (!mVariant.mVerify && site.mLease->State() == LeaseState::Verifying) {
      seen.mHolders = { { site.mLease->Token(), 0 } };
    }
    site.mLease->OnReport(aRequest, seen, Now(aInstance));
    if (!mVariant.mStartOnce) {
      aReport.mNow += 60 * kSecond;
    }
    if (site.mRunner && site.mLease->MaySendCommands(Now(aInstance))) {
      site.mRunner->OnReport({ aReport, site.mSentAt[aRequest] });
    }
  }

  void SendCommand(const InstanceRef& aRef,
                   std::size_t aSite,
                   const Command& aCommand)
  {
    const Instance& instance = *aRef.lock();
    const Site& site = instance.mSites[aSite];
    const bool current = site.mLease->Token() == aCommand.mHeader.mToken;
    const base::TimePoint now = Now(instance);
    const bool allowed =
      current && site.mLease->MaySendCommands(now) && now < aCommand.mDeadline;
    if (mVariant.mCheckBeforeSend && !allowed) {
      return;
    }
    // A worker without its guard for duplicate ids would run a duplicated
    // start twice; the transport never repeats a start.
    const bool start =
      std::holds_alternative<worker::StartTask>(aCommand.mBody);
    const auto deliver = [=] {
      const CommandOutcome outcome = Execute(aSite, aCommand);
      if (Chance(10)) {
        return;
      }
      AtInstance(aRef, Delay(), [=](Instance& aInstance) {
        Site& target = aInstance.mSites[aSite];
        if (target.mRunner &&
            target.mLease->Token() == aCommand.mHeader.mToken) {
          target.mRunner->OnResult(aCommand.mNumber, outcome);
        }
      });
    };
    ToWorker(true, !start, deliver, mVariant.mSlowCommandPercent);
  }

  CommandOutcome Execute(std::size_t aSite, const Command& aCommand)
  {
    SmallWorker& worker = Advance(aSite);
    const worker::WorkerTime now = worker.mClock.At(mTime);
    if (mVariant.mWorkerChecksNotAfter && now > aCommand.mHeader.mNotAfter) {
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
        SmallWorker::Task& task = worker.mTasks[it->mTask];
        task.mReport.mPhase = worker::TaskPhase::Checkpointing;
        task.mCheckpointAt = now + 300 * kMillisecond;
      }
    } else if (const auto* it = std::get_if<StopTask>(&aCommand.mBody)) {
      if (worker.IsRunning(it->mTask)) {
        worker.mTasks[it->mTask].mReport.mPhase = worker::TaskPhase::Stopped;
      }
    } else if (const auto* it = std::get_if<AcknowledgeTask>(&aCommand.mBody)) {
      if (worker.IsRunning(it->mTask)) {
        Fail("acknowledged while running");
      }
      worker.mTasks.erase(it->mTask);
    }
    return CommandOutcome::Ok;
  }

  void ExecuteStart(SmallWorker& aWorker,
                    const worker::CommandHeader& aHeader,
                    const worker::StartTask& aStart)
  {
    const worker::AttemptKey key{ aStart.mTask, aStart.mAttempt };
    Trace(aHeader.mToken.mInstance.mValue + " starts " + aStart.mTask.mValue +
          "/" + std::to_string(aStart.mAttempt) + " on " + aWorker.mId.mValue);
    if (!mStarted.insert(key).second) {
      Fail("attempt started twice");
    }
    const TaskRow& row = mTruth.mRows.at(aStart.mTask);
    if (!row.mLive || row.mAttempt != aStart.mAttempt) {
      Fail("started after the end record");
    }
    for (const auto& other : mWorkers) {
      for (const auto& it : other.mTasks) {
        if (it.first.mTask == aStart.mTask &&
            SmallWorker::IsRunning(it.second)) {
          Fail("task runs twice");
        }
      }
    }
    // Epochs grow only between holders that see each other's leases, so the
    // order of the acquisitions is recorded here.
    const worker::HolderToken& token = aHeader.mToken;
    const std::uint64_t starter =
      mAcquisitions[{ token.mInstance, token.mEpoch, aWorker.mId }];
    if (starter < aWorker.mNewestStarter) {
      Fail("start of an earlier holder");
    }
    aWorker.mNewestStarter = std::max(aWorker.mNewestStarter, starter);
    const worker::WorkerTime now = aWorker.mClock.At(mTime);
    SmallWorker::Task task;
    task.mReport.mTask = aStart.mTask;
    task.mReport.mAttempt = aStart.mAttempt;
    task.mReport.mReserved = aStart.mReserved;
    task.mReport.mLeaseExpiresAt = aStart.mLeaseExpiresAt;
    task.mEndsAt = now + Pick(15 * kSecond);
    aWorker.mTasks[key] = task;
    if (!base::Fits(aWorker.Reserved(), kCapacity)) {
      Fail("capacity exceeded");
    }
  }

  void Grant(const InstanceRef& aRef)
  {
    // Slow enough to leave capacity free, so that starts are in flight at all
    // times.
    if (!Chance(4)) {
      return;
    }
    Instance& instance = *aRef.lock();
    const auto site = static_cast<std::size_t>(Pick(2));
    Ledger* ledger = instance.mSites[site].mLedger.get();
    for (const auto& it : instance.mTable.mRows) {
      const TaskRow& row = it.second;
      const worker::AttemptKey key{ it.first, row.mAttempt + 1 };
      const bool open =
        !row.mDone && !row.mLive && instance.mGranting.count(it.first) == 0;
      if (ledger && open && ledger->CommitGrant(key, row.mNeed)) {
        instance.mGranting[it.first] = { key.mAttempt, site };
        const tasks::GrantRecord grant{ it.first,
                                        key.mAttempt,
                                        mWorkers[site].mId };
        Append(aRef, grant);
        return;
      }
    }
  }

  void Append(const InstanceRef& aRef, const tasks::TaskRecord& aRecord)
  {
    AtInstance(aRef, Pick(5'000), [=](Instance&) {
      if (mTime < mLogDownUntil) {
        At(500'000, [=] { Append(aRef, aRecord); });
        return;
      }
      const bool slow = mVariant.mSlowLog && Chance(20);
      At(Pick(slow ? 15 * kSecond : 50 * kMillisecond),
         [=] { ApplyToLog(aRecord); });
    });
  }

  void ApplyToLog(const tasks::TaskRecord& aRecord)
  {
    const auto* end = std::get_if<tasks::EndRecord>(&aRecord);
    if (end && mTruth.IsLive(*end)) {
      Trace("end of " + end->mTask.mValue + "/" +
            std::to_string(end->mAttempt) + ", outcome " +
            std::to_string(static_cast<int>(end->mOutcome)));
      for (std::size_t n = 0; n < mWorkers.size(); ++n) {
        if (Advance(n).IsRunning(
              worker::AttemptKey{ end->mTask, end->mAttempt })) {
          Fail("end record of a running attempt");
        }
      }
    }
    mTruth.Apply(aRecord, static_cast<std::int64_t>(mLog.size()));
    mLog.push_back(aRecord);
  }

  void ReadLog(const InstanceRef& aRef)
  {
    AtInstance(aRef, 20'000 + Pick(40'000), [=](Instance& aInstance) {
      const base::TimePoint sentAt = Now(aInstance);
      const std::size_t end = mLog.size();
      if (mTime < mLogDownUntil) {
        ReadLog(aRef);
        return;
      }
      AtInstance(aRef, Pick(10'000), [=](Instance& aReader) {
        ApplyLog(aReader, end);
        aReader.mReadAt = sentAt;
        ReadLog(aRef);
      });
    });
  }

  void ApplyLog(Instance& aInstance, std::size_t aEnd)
  {
    const auto end = static_cast<std::int64_t>(aEnd);
    for (; aInstance.mRead < end; ++aInstance.mRead) {
      const tasks::TaskRecord& record =
        mLog[static_cast<std::size_t>(aInstance.mRead)];
      aInstance.mTable.Apply(record, aInstance.mRead);
      const auto* grant = std::get_if<tasks::GrantRecord>(&record);
      const auto own = grant ? aInstance.mGranting.find(grant->mTask)
                             : aInstance.mGranting.end();
      if (own == aInstance.mGranting.end() ||
          own->second.first != grant->mAttempt) {
        continue;
      }
      const std::size_t site = own->second.second;
      const bool won =
        aInstance.mTable.mRows[grant->mTask].mLive == mWorkers[site].mId;
      Ledger* ledger = aInstance.mSites[site].mLedger.get();
      if (ledger && !won) {
        ledger->CancelGrant({ grant->mTask, grant->mAttempt });
      }
      aInstance.mGranting.erase(own);
    }
  }

  void Disturb()
  {
    const auto n = static_cast<std::size_t>(Pick(3));
    auto& instance = mInstances[n];
    switch (Pick(10)) {
      case 0:
      case 1:
      case 2:
        instance->mPausedUntil = mTime + Pick(10 * kSecond);
        Trace(instance->mId.mValue + " paused");
        break;
      case 3:
        mInstances.erase(mInstances.begin() + static_cast<std::ptrdiff_t>(n));
        AddInstance();
        break;
      case 4:
        mLogDownUntil = mTime + Pick(6 * kSecond);
        break;
      case 5:
        ApplyToLog(tasks::CancelRecord{
          { "task-" + std::to_string(Pick(kTasks)) }, "caller" });
        break;
      case 6:
        mWorkers[n % 2].mCapacity.mMilliProcessors = 2000 + Pick(2000);
        break;
      case 7:
      case 8:
        if (mVariant.mWorkersForget && Chance(40)) {
          Restart(mWorkers[n % 2]);
          break;
        }
        instance->mSites[n % 2].mPollsStuckUntil = mTime + Pick(12 * kSecond);
        break;
      default:
        Evict(*instance);
        break;
    }
    At(200 * kMillisecond + Pick(2 * kSecond), [this] { Disturb(); });
  }

  void Restart(SmallWorker& aWorker)
  {
    Trace("restart of " + aWorker.mId.mValue);
    // What the restart killed without a trace may be started once more.
    for (const auto& it : aWorker.mTasks) {
      mStarted.erase(it.first);
    }
    aWorker.mHolders.clear();
    aWorker.mTasks.clear();
  }

  void Evict(Instance& aInstance)
  {
    const auto site = static_cast<std::size_t>(Pick(2));
    if (!aInstance.mSites[site].mRunner || mWorkers[site].mTasks.empty()) {
      return;
    }
    aInstance.mSites[site].mRunner->Evict(mWorkers[site].mTasks.begin()->first,
                                          Now(aInstance) +
                                            milliseconds(500 + Pick(1000)));
  }

  /// While a worker that forgot its holder has two, the newer one may renew
  /// but not start anything.
  bool MayActOn(const Instance& aInstance, const Site& aSite) const
  {
    const base::TimePoint now = Now(aInstance);
    if (mVariant.mWorkersForget) {
      return aSite.mRunner && aSite.mRunner->MaySendCalls(now);
    }
    return aSite.mLease->MaySendCommands(now);
  }

  void CheckHolders()
  {
    for (std::size_t n = 0; n < mWorkers.size(); ++n) {
      const auto holders = std::count_if(
        mInstances.begin(), mInstances.end(), [&](const auto& aItem) {
          return MayActOn(*aItem, aItem->mSites[n]);
        });
      if (holders > 1) {
        Fail("two instances may commit");
      }
    }
  }

  std::unique_ptr<base::Random> mRandom;
  HolderVariant mVariant;
  std::int64_t mTime = 0;
  std::uint64_t mNextEvent = 0;
  int mNextInstance = 0;
  std::int64_t mLogDownUntil = 0;
  std::priority_queue<Event> mEvents;
  std::vector<SmallWorker> mWorkers;
  std::vector<std::shared_ptr<Instance>> mInstances;
  Table mInitial;
  Table mTruth;
  std::deque<tasks::TaskRecord> mLog;
  std::set<worker::AttemptKey> mStarted;
  std::uint64_t mLastAcquisition = 0;
  std::map<std::tuple<base::InstanceId, std::uint64_t, base::WorkerId>,
           std::uint64_t>
    mAcquisitions;
  std::deque<std::string> mTrace;
  HolderRun mRun;
};

} // namespace

HolderRun
RunHolderWorld(std::uint64_t aSeed, const HolderVariant& aVariant)
{
  return World(aSeed, aVariant).Run();
}

} // namespace skylarkhill::testing
