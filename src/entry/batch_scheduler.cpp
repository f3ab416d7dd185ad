#include "skylarkhill/entry/batch_scheduler.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/catalog/check.hpp"
#include "skylarkhill/entry/pool_membership.hpp"
#include "skylarkhill/holder/absent_worker.hpp"
#include "skylarkhill/tasks/task_names.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace skylarkhill::entry {

using timeline::EventKind;

namespace {

constexpr base::Duration kRoundInterval = std::chrono::milliseconds(50);
constexpr std::size_t kMaxQueuedTasksPerRound = 1000;
constexpr std::size_t kMaxGrantsPerRound = 100;
// Each instance waits according to its rank in the task's rendezvous order, so
// that two instances rarely grant the same task.
constexpr base::Duration kGrantDelayPerRank = std::chrono::milliseconds(100);
constexpr base::Duration kUrgentGrantDelayPerRank =
  std::chrono::milliseconds(30);
// Higher ranks wait no longer, so that on a large site urgent tasks do not wait
// for the last rank.
constexpr std::ptrdiff_t kMaxRank = 8;
constexpr base::Duration kEvictionTimeout = std::chrono::seconds(5);
constexpr std::int64_t kRestartCostSeconds = 10;

policy::Profile
ProfileOf(const ConfigView& aConfig)
{
  policy::Profile profile = policy::Profile::Baseline;
  aConfig.mSet->ForEach<catalog::Profile>([&](const catalog::Profile& aObject) {
    profile = aObject.mPreset == catalog::Preset::Tail
                ? policy::Profile::Tail
                : policy::Profile::Throughput;
  });
  return profile;
}

} // namespace

BatchScheduler::BatchScheduler(BatchSchedulerOptions aOptions,
                               const base::Clock& aClock,
                               WorkerManager& aWorkers,
                               const ConfigService& aConfig,
                               const journal::SiteState& aState,
                               PeerNetwork& aPeers,
                               RecordAppender& aRecordAppender,
                               const Instruments& aInstruments)
  : mOptions(std::move(aOptions))
  , mClock(aClock)
  , mWorkers(aWorkers)
  , mConfig(aConfig)
  , mState(aState)
  , mPeers(aPeers)
  , mRecordAppender(aRecordAppender)
  , mInstruments(aInstruments)
  , mPlacement(policy::CreatePlacementPolicy(mProfile))
  , mQueue(policy::CreateQueuePolicy(mProfile))
  , mProtection(policy::CreateProtectionPolicy(mProfile))
{
}

BatchScheduler::~BatchScheduler()
{
  Stop();
}

void
BatchScheduler::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
BatchScheduler::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
BatchScheduler::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    lock.unlock();
    RunOnce();
    lock.lock();
    mChanged.wait_for(lock, kRoundInterval, [this] { return mStopping; });
  }
}

void
BatchScheduler::RunOnce()
{
  if (!mState.IsReady() || !mConfig.IsReady()) {
    return;
  }
  const ConfigView config = mConfig.Current();
  SelectPolicies(config);
  GrantQueuedTasks(config);
  ProtectServices(config);
  EndAbsentWorkerAttempts();
}

void
BatchScheduler::SelectPolicies(const ConfigView& aConfig)
{
  const policy::Profile profile = ProfileOf(aConfig);
  const std::lock_guard lock(mMutex);
  if (profile == mProfile) {
    return;
  }
  mProfile = profile;
  mPlacement = policy::CreatePlacementPolicy(profile);
  mQueue = policy::CreateQueuePolicy(profile);
  mProtection = policy::CreateProtectionPolicy(profile);
}

std::vector<policy::WorkerView>
BatchScheduler::MakeWorkerViews(const ConfigView& aConfig) const
{
  std::vector<policy::WorkerView> views;
  for (const auto& it : mWorkers.All()) {
    const WorkerStatus status = it->Status();
    const bool isUsable = status.mUsable && status.mAdmitsTasks &&
                          !status.mLeaving &&
                          mPeers.MayReceiveWork(status.mLocation.mWorker);
    if (!isUsable) {
      continue;
    }
    policy::WorkerView view;
    view.mWorker = status.mLocation.mWorker;
    view.mDomain = status.mLocation.mDomain;
    view.mRack = status.mLocation.mRack;
    view.mCapacity = status.mCapacity;
    view.mFree = status.mFree;
    aConfig.mSet->ForEach<catalog::Service>(
      [&](const catalog::Service& aService) {
        if (Serves(*aConfig.mSet, aService, status.mLocation)) {
          view.mServices.push_back(aService.mName);
        }
      });
    for (const auto& grant : mState.LiveAttemptsOn(view.mWorker)) {
      if (const auto task = mState.FindTask(grant.mTask)) {
        ++view.mBatchTasks[task->mSpec.mBatchClass];
      }
    }
    views.push_back(std::move(view));
  }
  return views;
}

policy::TeamUsageMap
BatchScheduler::TeamUsages(const ConfigView& aConfig) const
{
  policy::TeamUsageMap usages;
  aConfig.mSet->ForEach<catalog::Team>([&](const catalog::Team& aTeam) {
    usages[aTeam.mName] = { aTeam.mQuota, {}, aTeam.mWeight };
  });
  for (const auto& it : mState.TeamCommitments()) {
    const auto found = usages.find(it.first);
    if (found != usages.end()) {
      found->second.mUsed = it.second.mCommitted;
    }
  }
  return usages;
}

bool
BatchScheduler::MayGrantNow(const tasks::QueuedTask& aTask,
                            base::TimePoint aNow)
{
  const worker::AttemptKey key{ aTask.mTask, aTask.mNextAttempt };
  const base::TimePoint seenAt = mFirstSeenAt.emplace(key, aNow).first->second;
  std::vector<std::string> instances;
  for (const auto& it : mPeers.LiveEntryInstances()) {
    instances.push_back(it.mValue);
  }
  const auto ranked = base::RendezvousRank(aTask.mTask.mValue, instances);
  const auto found =
    std::find(ranked.begin(), ranked.end(), mOptions.mInstance.mValue);
  const auto rank = std::min(kMaxRank, found - ranked.begin());
  const base::Duration delayPerRank =
    aTask.mUrgent ? kUrgentGrantDelayPerRank : kGrantDelayPerRank;
  return aNow >= seenAt + rank * delayPerRank;
}

void
BatchScheduler::GrantQueuedTasks(const ConfigView& aConfig)
{
  const std::vector<tasks::QueuedTask> queued =
    mState.Queued(kMaxQueuedTasksPerRound);
  mInstruments.mMetrics
    .GetGauge("skylarkhill_tasks_queued", "Tasks that wait for a worker.")
    .Set(static_cast<std::int64_t>(queued.size()));
  const std::lock_guard lock(mMutex);
  if (queued.empty()) {
    mFirstSeenAt.clear();
    return;
  }
  std::vector<policy::QueueCandidate> entries;
  entries.reserve(queued.size());
  for (const auto& it : queued) {
    entries.push_back({ it.mTask,
                        it.mTeam,
                        it.mBatchClass,
                        it.mDeclared,
                        it.mUrgent,
                        it.mAcceptedOffset,
                        0,
                        it.mDeclaredRunSeconds });
  }
  std::vector<policy::WorkerView> views = MakeWorkerViews(aConfig);
  const auto order = mQueue->Order(entries, TeamUsages(aConfig));
  const base::TimePoint now = mClock.Now();
  std::size_t granted = 0;
  for (const std::size_t n : order) {
    const tasks::QueuedTask& task = queued[n];
    if (granted >= kMaxGrantsPerRound || views.empty()) {
      break;
    }
    if (mPendingGrants.count(task.mTask) == 0 && MayGrantNow(task, now)) {
      GrantTask(task, aConfig, views);
      ++granted;
    }
  }
}

void
BatchScheduler::GrantTask(const tasks::QueuedTask& aTask,
                          const ConfigView& aConfig,
                          std::vector<policy::WorkerView>& aViews)
{
  const auto* pool = aConfig.mSet->FindAs<catalog::Pool>(aTask.mPool);
  if (pool == nullptr) {
    return;
  }
  std::vector<policy::WorkerView> candidates;
  for (const auto& it : aViews) {
    const bool hasFailed = std::find(aTask.mFailedWorkers.begin(),
                                     aTask.mFailedWorkers.end(),
                                     it.mWorker) != aTask.mFailedWorkers.end();
    if (IsInPool(*pool, { it.mWorker, it.mDomain, it.mRack }) && !hasFailed) {
      candidates.push_back(it);
    }
  }
  const policy::TaskDemand demand{
    aTask.mTask, aTask.mBatchClass, aTask.mDeclared, aTask.mUrgent
  };
  const auto chosen = mPlacement->Choose(demand, candidates);
  if (!chosen) {
    return;
  }
  const base::WorkerId worker = candidates[*chosen].mWorker;
  const auto agent = mWorkers.Find(worker);
  const worker::AttemptKey key{ aTask.mTask, aTask.mNextAttempt };
  if (agent == nullptr || !agent->CommitGrant(key, aTask.mDeclared)) {
    return;
  }
  mPlacement->RecordPlacement(demand, worker, mClock.Now());
  for (auto& it : aViews) {
    if (it.mWorker == worker) {
      it.mFree -= aTask.mDeclared;
      ++it.mBatchTasks[aTask.mBatchClass];
    }
  }
  const PendingGrant pending{ worker, key.mAttempt };
  mPendingGrants[aTask.mTask] = pending;
  mRecordAppender.Append(
    tasks::GrantRecord{ aTask.mTask, key.mAttempt, worker },
    [this, task = aTask.mTask, pending](bool) { FinishGrant(task, pending); });
}

// The task table decides which grant took effect, whatever the append returned.
// If this grant takes effect only later, the task runner releases the attempt
// if it cannot start it.
void
BatchScheduler::FinishGrant(const base::TaskId& aTask,
                            const PendingGrant& aPending)
{
  const auto task = mState.FindTask(aTask);
  const bool isEffective = task && task->mWorker == aPending.mWorker &&
                           task->mLastAttempt == aPending.mAttempt;
  if (!isEffective) {
    if (const auto agent = mWorkers.Find(aPending.mWorker)) {
      agent->CancelGrant({ aTask, aPending.mAttempt });
    }
  } else {
    RecordEvent(EventKind::AttemptGranted,
                aTask,
                aPending.mAttempt,
                aPending.mWorker,
                {});
  }
  mInstruments.mMetrics
    .GetCounter(
      "skylarkhill_grants_total",
      "Grants by whether they took effect.",
      { { metrics::LabelKey::Outcome, isEffective ? "won" : "lost" } })
    .Add();
  const std::lock_guard lock(mMutex);
  mPendingGrants.erase(aTask);
  mFirstSeenAt.erase({ aTask, aPending.mAttempt });
}

std::vector<holder::GrantedAttempt>
BatchScheduler::LiveAttemptsOn(const base::WorkerId& aWorker) const
{
  std::vector<holder::GrantedAttempt> grants;
  for (const auto& it : mState.LiveAttemptsOn(aWorker)) {
    const auto task = mState.FindTask(it.mTask);
    if (!task || task->mLastAttempt != it.mAttempt) {
      continue;
    }
    holder::GrantedAttempt grant;
    grant.mTask = it.mTask;
    grant.mAttempt = it.mAttempt;
    grant.mBatchClass = task->mSpec.mBatchClass;
    grant.mPayload = task->mSpec.mPayload;
    grant.mReserved = task->mSpec.mDeclared;
    grant.mCheckpoint = task->mCheckpoint;
    grant.mCancelRequested = it.mCancelRequested;
    grant.mStarted = it.mState != tasks::TaskState::Granted;
    grant.mGrantedOffset = it.mGrantedOffset;
    grants.push_back(std::move(grant));
  }
  return grants;
}

void
BatchScheduler::OnReport(const WorkerStatus& aStatus)
{
  const ConfigView config = mConfig.Current();
  policy::InterferenceReport report;
  report.mWorker = aStatus.mLocation.mWorker;
  report.mServiceTimePercent = aStatus.mServiceSlowdownPercent;
  report.mMeasuredAt = aStatus.mReportedAt;
  for (const auto& it : aStatus.mTasks) {
    if (const auto task = mState.FindTask(it.mTask)) {
      ++report.mBatchTasks[task->mSpec.mBatchClass];
    }
  }
  const std::lock_guard lock(mMutex);
  config.mSet->ForEach<catalog::Service>([&](const catalog::Service& aService) {
    if (Serves(*config.mSet, aService, aStatus.mLocation)) {
      report.mService = aService.mName;
      mPlacement->RecordReport(report);
    }
  });
}

void
BatchScheduler::OnAttemptEnded(WorkerAgent& aAgent,
                               const tasks::EndRecord& aRecord)
{
  const base::WorkerId worker = aAgent.Location().mWorker;
  RecordEvent(EventKind::AttemptEnded,
              aRecord.mTask,
              aRecord.mAttempt,
              worker,
              std::string(tasks::NameOf(aRecord.mOutcome)));
  mInstruments.mMetrics
    .GetCounter("skylarkhill_attempts_total",
                "Ended task attempts by outcome.",
                { { metrics::LabelKey::Outcome,
                    std::string(tasks::NameOf(aRecord.mOutcome)) } })
    .Add();
  std::optional<policy::QuarantineDecision> decision;
  const auto task = mState.FindTask(aRecord.mTask);
  {
    const std::lock_guard lock(mMutex);
    const worker::AttemptKey key{ aRecord.mTask, aRecord.mAttempt };
    const auto since = mRunningSince.find(key);
    if (since != mRunningSince.end() && task) {
      const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
        mClock.Now() - since->second);
      mQueue->RecordRun(task->mSpec.mBatchClass,
                        seconds.count(),
                        aRecord.mOutcome == tasks::AttemptOutcome::Completed);
      mRunningSince.erase(since);
    }
    if (aRecord.mOutcome != tasks::AttemptOutcome::Failed) {
      mQuarantine.Forget(aRecord.mTask);
      return;
    }
    // Earlier attempts may have failed under other instances; the log has all
    // failures.
    if (task) {
      for (const auto& it : task->mFailedWorkers) {
        mQuarantine.OnFailure(aRecord.mTask, it, true, task->mDetail);
      }
    }
    mQuarantine.OnFailure(
      aRecord.mTask, worker, aAgent.Status().mAdmitsTasks, aRecord.mDetail);
    decision = mQuarantine.Find(aRecord.mTask);
    if (decision) {
      mQuarantine.Forget(aRecord.mTask);
    }
  }
  if (!decision) {
    return;
  }
  for (const auto& it : decision->mWorkers) {
    if (const auto agent = mWorkers.Find(it)) {
      agent->RemoveFailures(aRecord.mTask);
    }
  }
  RecordEvent(EventKind::TaskQuarantined,
              aRecord.mTask,
              aRecord.mAttempt,
              worker,
              decision->mReason);
  mRecordAppender.Append(
    tasks::QuarantineRecord{ aRecord.mTask, decision->mReason }, [](bool) {});
}

void
BatchScheduler::ProtectServices(const ConfigView& aConfig)
{
  for (const auto& it : mWorkers.All()) {
    ProtectServicesOn(*it, aConfig);
  }
}

double
BatchScheduler::MaxExpectedInterference(const ConfigView& aConfig,
                                        const WorkerLocation& aLocation,
                                        const std::string& aBatchClass) const
{
  double worst = 0.0;
  aConfig.mSet->ForEach<catalog::Service>(
    [&](const catalog::Service& aService) {
      if (Serves(*aConfig.mSet, aService, aLocation)) {
        worst = std::max(
          worst, mPlacement->ExpectedInterference(aService.mName, aBatchClass));
      }
    });
  return worst;
}

void
BatchScheduler::ProtectServicesOn(WorkerAgent& aAgent,
                                  const ConfigView& aConfig)
{
  const WorkerStatus status = aAgent.Status();
  if (!status.mUsable || status.mTasks.empty()) {
    return;
  }
  policy::ProtectionInput pressure;
  pressure.mWorker = status.mLocation.mWorker;
  pressure.mServiceTimePercent = status.mServiceSlowdownPercent;
  pressure.mToleratedPercent = std::numeric_limits<std::int64_t>::max() / 2;
  const base::TimePoint now = mClock.Now();
  const std::lock_guard lock(mMutex);
  std::map<base::TaskId, std::int64_t> attempts;
  for (const auto& it : status.mTasks) {
    const auto task = mState.FindTask(it.mTask);
    const auto* batchClass =
      task ? aConfig.mSet->FindAs<catalog::BatchClass>(task->mSpec.mBatchClass)
           : nullptr;
    if (batchClass == nullptr || batchClass->mEvictionPolicy.empty()) {
      continue;
    }
    const catalog::EvictionRules rules =
      catalog::ResolveEvictionRules(*aConfig.mSet, batchClass->mEvictionPolicy);
    if (rules.mKind == catalog::EvictionKind::None) {
      continue;
    }
    pressure.mToleratedPercent =
      std::min(pressure.mToleratedPercent, rules.mThrottlePercent);
    const worker::AttemptKey key{ it.mTask, it.mAttempt };
    const base::TimePoint since = mRunningSince.emplace(key, now).first->second;
    policy::RunningTask running;
    running.mTask = it.mTask;
    running.mBatchClass = task->mSpec.mBatchClass;
    running.mMilliProcessors = it.mReserved.mMilliProcessors;
    // Counted from the first time that this instance saw the attempt running;
    // checkpoints do not reset it.
    running.mSecondsSinceCheckpoint =
      std::chrono::duration_cast<std::chrono::seconds>(now - since).count();
    running.mRestartCostSeconds = kRestartCostSeconds;
    running.mEvictions = task->mEvictions;
    running.mMaxEvictions = batchClass->mMaxEvictions;
    running.mThrottlePercent = it.mThrottlePercent;
    running.mCheckpointing = it.mPhase == worker::TaskPhase::Checkpointing;
    running.mInterferencePercent =
      MaxExpectedInterference(aConfig, status.mLocation, running.mBatchClass);
    pressure.mTasks.push_back(std::move(running));
    attempts[it.mTask] = it.mAttempt;
  }
  for (const auto& it : mProtection->Decide(pressure, now)) {
    const worker::AttemptKey key{ it.mTask, attempts[it.mTask] };
    if (it.mKind == policy::ProtectionKind::Evict) {
      aAgent.Evict(key, now + kEvictionTimeout);
      RecordEvent(
        EventKind::TaskEvicted, key.mTask, key.mAttempt, pressure.mWorker, {});
    } else {
      aAgent.Throttle(key, it.mThrottlePercent);
      RecordEvent(EventKind::AttemptThrottled,
                  key.mTask,
                  key.mAttempt,
                  pressure.mWorker,
                  std::to_string(it.mThrottlePercent));
    }
  }
}

void
BatchScheduler::EndAbsentWorkerAttempts()
{
  for (const auto& worker : mState.WorkersWithLiveAttempts()) {
    // Before the absence, which a list that arrives meanwhile may end.
    const base::TimePoint listReadAt = mPeers.ListReadAt();
    // Only workers of this instance's failure domain have an agent.
    const auto absentSince = mPeers.AbsentSince(worker);
    if (!absentSince || mWorkers.Find(worker) == nullptr) {
      continue;
    }
    holder::AbsentWorker lost;
    lost.mAbsentSince = *absentSince;
    lost.mLastSeen = mPeers.LastSeen(worker).value_or(*absentSince);
    lost.mGrants = LiveAttemptsOn(worker);
    lost.mListReadAt = listReadAt;
    const auto ends = holder::EndAbsentWorkerAttempts(
      lost, mOptions.mTaskLease, mOptions.mLossMargin);
    for (const auto& it : ends) {
      const worker::AttemptKey key{ it.mTask, it.mAttempt };
      {
        const std::lock_guard lock(mMutex);
        if (!mEndingAttempts.insert(key).second) {
          continue;
        }
      }
      RecordEvent(
        EventKind::AttemptEnded, it.mTask, it.mAttempt, worker, "lost");
      mRecordAppender.Append(it, [this, key](bool) {
        const std::lock_guard lock(mMutex);
        mEndingAttempts.erase(key);
      });
    }
  }
}

void
BatchScheduler::RecordEvent(EventKind aKind,
                            const base::TaskId& aTask,
                            std::int64_t aAttempt,
                            const base::WorkerId& aWorker,
                            std::string aDetail)
{
  timeline::Event event;
  event.mKind = aKind;
  event.mTask = aTask;
  event.mAttempt = aAttempt;
  event.mWorker = aWorker;
  event.mDomain = mOptions.mDomain;
  event.mDetail = std::move(aDetail);
  mInstruments.mTimeline.Record(std::move(event));
}

} // namespace skylarkhill::entry
