#include "skylarkhill/testing/bench_run.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/base/name_table.hpp"
#include "skylarkhill/policy/placement.hpp"
#include "skylarkhill/policy/protection.hpp"
#include "skylarkhill/policy/queue.hpp"
#include "skylarkhill/requests/admission_queue.hpp"
#include "skylarkhill/requests/concurrency_limit.hpp"
#include "skylarkhill/requests/in_flight_table.hpp"
#include "skylarkhill/requests/retry_budget.hpp"
#include "skylarkhill/requests/target_picker.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <unordered_map>

namespace skylarkhill::testing {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::NameTable<BenchSetup, 3> kSetupNames{ {
  { BenchSetup::Baseline, "baseline" },
  { BenchSetup::EvictYoungest, "evict_youngest" },
  { BenchSetup::SiteProfile, "profile" },
} };

constexpr std::int64_t kGiB = std::int64_t{ 1 } << 30;
constexpr double kProcessors = 16.0;
constexpr base::Resources kCapacity{ 16'000, 60 * kGiB, 0 };
// Resources that are reserved for the services on each worker.
constexpr base::Resources kServiceResources{ 4'000, 12 * kGiB, 0 };

constexpr Duration kTickInterval = milliseconds(200);
constexpr Duration kReportInterval = seconds(1);
constexpr Duration kReportLag = milliseconds(1500);
constexpr Duration kStartDelay = milliseconds(300);
constexpr Duration kEvictionDelay = seconds(2);
constexpr Duration kOutageDuration = seconds(20);
constexpr Duration kFailureDetectionDelay = seconds(1);
/// Queued tasks considered per placement round, as in BatchScheduler.
constexpr std::size_t kMaxQueuedTasksPerRound = 1000;
/// Placement decisions per round.
constexpr std::size_t kMaxDecisionsPerRound = 40;
constexpr double kCheckpointIntervalSeconds = 20.0;
constexpr double kRestartCostSeconds = 10.0;
constexpr std::int64_t kMaxEvictions = 3;
constexpr std::int64_t kToleratedSlowdownPercent = 150;
/// Percentage of the checkpoints before an eviction that fail.
constexpr std::uint64_t kFailedCheckpointPercent = 20;
/// Arriving batch work in percent of the processors available to batch tasks;
/// above 100, so that tasks queue.
constexpr double kBatchLoadPercent = 110.0;
/// Fraction of service slots in use without interference, outside and during
/// the demand peaks.
constexpr double kBaseLoad = 0.25;
constexpr double kPeakLoad = 0.62;
constexpr double kDemandPeriodSeconds = 30.0;
constexpr double kMaxShortTaskSeconds = 8.0;

enum class EventKind
{
  Arrive,
  Forwarded,
  Finish,
  Tick,
};

struct Event
{
  TimePoint mAt;
  std::uint64_t mSequence = 0;
  EventKind mKind = EventKind::Tick;
  std::size_t mRequest = 0;
};

struct IsLater
{
  bool operator()(const Event& aLeft, const Event& aRight) const
  {
    return aLeft.mAt != aRight.mAt ? aLeft.mAt > aRight.mAt
                                   : aLeft.mSequence > aRight.mSequence;
  }
};

struct Request
{
  std::size_t mService = 0;
  std::size_t mHomeDomain = 0;
  std::size_t mDomain = 0;
  TimePoint mArrivedAt;
  double mServiceMicros = 0.0;
  bool mIsAtPeak = false;
  std::size_t mWorker = 0;
  TimePoint mStartedAt;
  std::int64_t mAttempt = 0;
};

enum class Phase
{
  Queued,
  Running,
  Checkpointing,
  Done,
};

struct Task
{
  std::size_t mBatchClassIndex = 0;
  std::string mTeam;
  base::TaskId mId;
  bool mIsUrgent = false;
  /// Run time without throttling and contention.
  double mRunSeconds = 0.0;
  /// Processors used without throttling.
  double mProcessors = 0.0;
  base::Resources mResources;
  TimePoint mAcceptedAt;
  TimePoint mStartedAt;
  bool mHasStarted = false;
  /// End of the checkpoint before an eviction.
  TimePoint mStopAt;
  Phase mPhase = Phase::Queued;
  double mDoneSeconds = 0.0;
  double mCheckpointedSeconds = 0.0;
  /// Run time of all attempts, including startup and lost progress.
  double mSpentSeconds = 0.0;
  double mStartupSecondsLeft = 0.0;
  std::int64_t mEvictions = 0;
  std::int64_t mThrottlePercent = 100;
};

struct DelayedReport
{
  TimePoint mVisibleAt;
  policy::InterferenceReport mReport;
};

struct Worker
{
  policy::WorkerView mView;
  std::size_t mDomain = 0;
  std::vector<std::size_t> mServices;
  std::vector<std::size_t> mTasks;
  std::int64_t mBusySlots = 0;
  TimePoint mDownUntil;
  std::deque<DelayedReport> mReports;
  std::int64_t mReportedSlowdownPercent = 100;
};

/// Admission state and workers of one service in one failure domain.
struct ServiceGroup
{
  std::unique_ptr<requests::AdmissionQueue> mQueue;
  std::unique_ptr<requests::ConcurrencyLimit> mLimit;
  std::unique_ptr<requests::RetryBudget> mRetryBudget;
  std::vector<requests::Candidate> mCandidates;
  std::vector<std::size_t> mWorkers;
  std::int64_t mInFlight = 0;
};

/// Delegates to another protection policy, but evicts the youngest task.
class EvictYoungest : public policy::ProtectionPolicy
{
public:
  explicit EvictYoungest(std::unique_ptr<policy::ProtectionPolicy> aPolicy)
    : mPolicy(std::move(aPolicy))
  {
  }

  std::vector<policy::ProtectionAction> Decide(
    const policy::ProtectionInput& aWorker,
    TimePoint aNow) override
  {
    auto actions = mPolicy->Decide(aWorker, aNow);
    for (auto& it : actions) {
      if (it.mKind == policy::ProtectionKind::Evict) {
        it.mTask = FindYoungest(aWorker, it.mTask);
      }
    }
    return actions;
  }

private:
  // The tasks of a worker are listed in start order.
  static base::TaskId FindYoungest(const policy::ProtectionInput& aWorker,
                                   const base::TaskId& aDefault)
  {
    for (auto it = aWorker.mTasks.rbegin(); it != aWorker.mTasks.rend(); ++it) {
      if (!it->mCheckpointing && it->mEvictions < it->mMaxEvictions) {
        return it->mTask;
      }
    }
    return aDefault;
  }

  std::unique_ptr<policy::ProtectionPolicy> mPolicy;
};

policy::Profile
SchedulingProfile(const BenchSite& aSite, BenchSetup aSetup)
{
  return aSetup == BenchSetup::SiteProfile ? aSite.mProfile
                                           : policy::Profile::Baseline;
}

std::unique_ptr<policy::ProtectionPolicy>
MakeProtection(const BenchSite& aSite, BenchSetup aSetup)
{
  if (aSetup == BenchSetup::EvictYoungest) {
    return std::make_unique<EvictYoungest>(
      policy::CreateProtectionPolicy(aSite.mProfile));
  }
  return policy::CreateProtectionPolicy(SchedulingProfile(aSite, aSetup));
}

class BenchRun
{
public:
  BenchRun(BenchSite aSite, BenchSetup aSetup, std::uint64_t aSeed)
    : mSite(std::move(aSite))
    , mUsesProfile(aSetup == BenchSetup::SiteProfile)
    , mPlacement(
        policy::CreatePlacementPolicy(SchedulingProfile(mSite, aSetup)))
    , mQueue(policy::CreateQueuePolicy(SchedulingProfile(mSite, aSetup)))
    , mProtection(MakeProtection(mSite, aSetup))
    , mPicker(mUsesProfile ? requests::CreateTwoChoicesTargetPicker()
                           : requests::CreateRandomTargetPicker())
    , mSiteRandom(base::CreateSeededRandom(aSeed * 8))
    , mRequestRandom(base::CreateSeededRandom(aSeed * 8 + 1))
    , mTaskRandom(base::CreateSeededRandom(aSeed * 8 + 2))
    , mFailureRandom(base::CreateSeededRandom(aSeed * 8 + 3))
    , mNoiseRandom(base::CreateSeededRandom(aSeed * 8 + 4))
    , mPickRandom(base::CreateSeededRandom(aSeed * 8 + 5))
  {
    DrawRandomValues(mSite, *mSiteRandom);
    MakeWorkers();
    MakeServiceGroups();
  }

  BenchMetrics Run()
  {
    Schedule(mStart, EventKind::Tick);
    ScheduleArrival(mStart);
    const TimePoint end = mStart + mSite.mDuration;
    while (!mEvents.empty() && mEvents.top().mAt <= end) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      Handle(event);
    }
    return Measure();
  }

private:
  void MakeWorkers()
  {
    for (std::size_t n = 0; n < mSite.mWorkers; ++n) {
      Worker worker;
      const std::size_t rack = n / mSite.mRackSize;
      worker.mDomain = rack % mSite.mDomainCount;
      worker.mView.mWorker = { "w" + std::to_string(n) };
      worker.mView.mDomain = { "d" + std::to_string(worker.mDomain) };
      worker.mView.mRack = "r" + std::to_string(rack);
      worker.mView.mCapacity = kCapacity - kServiceResources;
      worker.mView.mFree = worker.mView.mCapacity;
      // One third of the workers runs only the first service, one third only
      // the second, and one third both.
      for (std::size_t service = 0; service < mSite.mServices.size();
           ++service) {
        if (n % 3 == service || n % 3 == 2) {
          worker.mServices.push_back(service);
          worker.mView.mServices.push_back(mSite.mServices[service].mName);
        }
      }
      mWorkers.push_back(std::move(worker));
    }
  }

  void MakeServiceGroups()
  {
    mInFlight.resize(mSite.mDomainCount);
    mServiceGroups.resize(mSite.mDomainCount);
    for (std::size_t domain = 0; domain < mSite.mDomainCount; ++domain) {
      for (std::size_t service = 0; service < mSite.mServices.size();
           ++service) {
        mServiceGroups[domain].push_back(MakeServiceGroup(domain, service));
      }
    }
  }

  ServiceGroup MakeServiceGroup(std::size_t aDomain, std::size_t aService) const
  {
    ServiceGroup group;
    group.mQueue = mUsesProfile ? requests::CreateDeadlineAdmissionQueue({})
                                : requests::CreateFifoAdmissionQueue({});
    group.mLimit = mUsesProfile ? requests::CreateAdaptiveConcurrencyLimit({})
                                : requests::CreateFixedConcurrencyLimit();
    group.mRetryBudget = std::make_unique<requests::RetryBudget>(
      requests::RetryBudgetOptions{}, mStart);
    for (std::size_t n = 0; n < mWorkers.size(); ++n) {
      const auto& services = mWorkers[n].mServices;
      const bool serves =
        std::find(services.begin(), services.end(), aService) != services.end();
      if (mWorkers[n].mDomain == aDomain && serves) {
        requests::Candidate candidate;
        candidate.mTarget.mName = mWorkers[n].mView.mWorker.mValue;
        candidate.mFreeSlots = mSite.mSlots;
        group.mCandidates.push_back(candidate);
        group.mWorkers.push_back(n);
      }
    }
    group.mLimit->SetCapacity(static_cast<std::int64_t>(group.mWorkers.size()) *
                              mSite.mSlots);
    return group;
  }

  void Schedule(TimePoint aAt, EventKind aKind, std::size_t aRequest = 0)
  {
    mEvents.push({ aAt, mNextSequence++, aKind, aRequest });
  }

  void Handle(const Event& aEvent)
  {
    switch (aEvent.mKind) {
      case EventKind::Arrive:
        ScheduleArrival(mNow);
        Admit(aEvent.mRequest, true);
        break;
      case EventKind::Forwarded:
        Admit(aEvent.mRequest, false);
        break;
      case EventKind::Finish:
        Finish(aEvent.mRequest);
        break;
      case EventKind::Tick:
        Tick();
        break;
    }
  }

  // --- Service requests ---

  double SecondsSinceStart(TimePoint aAt) const
  {
    return std::chrono::duration<double>(aAt - mStart).count();
  }

  /// Demand as a fraction of the site's slots. In each period it rises within 2
  /// seconds, stays at the peak for 10 and falls within 3.
  static double LoadAt(double aSeconds)
  {
    const double phase = std::fmod(aSeconds, kDemandPeriodSeconds);
    const double rise = std::clamp((phase - 10.0) / 2.0, 0.0, 1.0);
    const double fall = std::clamp((phase - 22.0) / 3.0, 0.0, 1.0);
    return kBaseLoad + (kPeakLoad - kBaseLoad) * (rise - fall);
  }

  void ScheduleArrival(TimePoint aFrom)
  {
    const double load = LoadAt(SecondsSinceStart(aFrom));
    double micros = 0.0;
    for (const auto& it : mSite.mServices) {
      micros += static_cast<double>(it.mMeanServiceTime.count());
    }
    const auto slots =
      static_cast<double>(mSite.mWorkers) * static_cast<double>(mSite.mSlots);
    const double mean =
      micros / static_cast<double>(mSite.mServices.size()) / (slots * load);
    const double gap = -mean * std::log(1.0 - mRequestRandom->UniformReal());
    const TimePoint at = aFrom + Duration(1 + static_cast<std::int64_t>(gap));
    Request request;
    request.mService = mRequestRandom->Below(mSite.mServices.size());
    request.mHomeDomain = mRequestRandom->Below(mSite.mDomainCount);
    request.mDomain = request.mHomeDomain;
    request.mArrivedAt = at;
    request.mServiceMicros =
      DrawLognormal(*mRequestRandom, 0.5) *
      static_cast<double>(
        mSite.mServices[request.mService].mMeanServiceTime.count());
    request.mIsAtPeak = LoadAt(SecondsSinceStart(at)) > 0.9 * kPeakLoad;
    mRequests.push_back(request);
    Schedule(at, EventKind::Arrive, mRequests.size() - 1);
  }

  TimePoint DeadlineOf(const Request& aRequest) const
  {
    return aRequest.mArrivedAt + mSite.mServices[aRequest.mService].mDeadline;
  }

  void Admit(std::size_t aRequest, bool aMayForward)
  {
    Request& request = mRequests[aRequest];
    ServiceGroup& group = mServiceGroups[request.mDomain][request.mService];
    if (aMayForward && group.mQueue->Size() > 0 && TryForward(aRequest)) {
      return;
    }
    group.mRetryBudget->RecordFirstAttempt();
    requests::QueueEntry entry;
    entry.mRequest = { std::to_string(aRequest) };
    entry.mDeadline = DeadlineOf(request);
    if (group.mQueue->Offer(entry, mNow).has_error()) {
      CountUnanswered(request);
    }
    Dispatch(request.mDomain, request.mService);
  }

  bool TryForward(std::size_t aRequest)
  {
    Request& request = mRequests[aRequest];
    for (std::size_t n = 1; n < mSite.mDomainCount; ++n) {
      const std::size_t domain = (request.mHomeDomain + n) % mSite.mDomainCount;
      const ServiceGroup& group = mServiceGroups[domain][request.mService];
      const auto capacity =
        static_cast<std::int64_t>(group.mWorkers.size()) * mSite.mSlots;
      if (group.mQueue->Size() == 0 && group.mInFlight * 10 < capacity * 7) {
        request.mDomain = domain;
        Schedule(mNow + mSite.mDomainLatency, EventKind::Forwarded, aRequest);
        return true;
      }
    }
    return false;
  }

  void Dispatch(std::size_t aDomain, std::size_t aService)
  {
    ServiceGroup& group = mServiceGroups[aDomain][aService];
    while (group.mQueue->Size() > 0 &&
           group.mInFlight < group.mLimit->Limit()) {
      const auto target =
        mPicker->Pick(group.mCandidates, {}, mInFlight[aDomain], *mPickRandom);
      if (!target) {
        break;
      }
      const auto entry = group.mQueue->Take(mNow);
      if (!entry) {
        break;
      }
      StartRequest(std::stoul(entry->mRequest.mValue), *target);
    }
    for (const auto& it : group.mQueue->TakeDropped()) {
      CountUnanswered(mRequests[std::stoul(it.mEntry.mRequest.mValue)]);
    }
  }

  void StartRequest(std::size_t aRequest, const requests::Target& aTarget)
  {
    Request& request = mRequests[aRequest];
    ServiceGroup& group = mServiceGroups[request.mDomain][request.mService];
    request.mWorker = std::stoul(aTarget.mName.substr(1));
    request.mStartedAt = mNow;
    ++request.mAttempt;
    ++group.mInFlight;
    ++mWorkers[request.mWorker].mBusySlots;
    mInFlight[request.mDomain].Begin(
      aTarget, { std::to_string(aRequest) }, request.mAttempt, mNow);
    const double factor = Slowdown(mWorkers[request.mWorker], request.mService);
    Schedule(mNow + Duration(static_cast<std::int64_t>(request.mServiceMicros *
                                                       factor)),
             EventKind::Finish,
             aRequest);
  }

  void ReleaseSlot(std::size_t aRequest)
  {
    const Request& request = mRequests[aRequest];
    --mServiceGroups[request.mDomain][request.mService].mInFlight;
    --mWorkers[request.mWorker].mBusySlots;
    mInFlight[request.mDomain].End(
      { requests::TargetKind::HeldWorker,
        mWorkers[request.mWorker].mView.mWorker.mValue },
      { std::to_string(aRequest) },
      request.mAttempt);
  }

  void Finish(std::size_t aRequest)
  {
    Request& request = mRequests[aRequest];
    ServiceGroup& group = mServiceGroups[request.mDomain][request.mService];
    ReleaseSlot(aRequest);
    const Duration serviceTime = mNow - request.mStartedAt;
    const bool lost = mWorkers[request.mWorker].mDownUntil > mNow;
    group.mLimit->Observe({ serviceTime, group.mInFlight, lost }, mNow);
    if (lost) {
      Retry(aRequest);
    } else {
      group.mQueue->RecordServiceTime(serviceTime);
      UpdateLatency(group, request.mWorker, serviceTime);
      CountAnswered(request);
    }
    for (std::size_t service = 0; service < mSite.mServices.size(); ++service) {
      Dispatch(request.mDomain, service);
    }
  }

  static void UpdateLatency(ServiceGroup& aGroup,
                            std::size_t aWorker,
                            Duration aLatency)
  {
    const auto found =
      std::find(aGroup.mWorkers.begin(), aGroup.mWorkers.end(), aWorker);
    auto& latency =
      aGroup
        .mCandidates[static_cast<std::size_t>(found - aGroup.mWorkers.begin())]
        .mLatency;
    constexpr std::int64_t kSmoothingSamples = 10;
    latency = latency.count() == 0
                ? aLatency
                : latency + (aLatency - latency) / kSmoothingSamples;
  }

  void Retry(std::size_t aRequest)
  {
    const Request& request = mRequests[aRequest];
    ServiceGroup& group = mServiceGroups[request.mDomain][request.mService];
    requests::QueueEntry entry;
    entry.mRequest = { std::to_string(aRequest) };
    entry.mDeadline = DeadlineOf(request);
    if (!group.mRetryBudget->TryTake(mNow) ||
        group.mQueue->Offer(entry, mNow).has_error()) {
      CountUnanswered(request);
    }
  }

  void CountUnanswered(const Request& aRequest)
  {
    ++mOffered;
    mOfferedAtPeak += aRequest.mIsAtPeak ? 1 : 0;
  }

  void CountAnswered(const Request& aRequest)
  {
    Duration latency = mNow - aRequest.mArrivedAt + 2 * mSite.mClientLatency;
    if (aRequest.mDomain != aRequest.mHomeDomain) {
      latency += mSite.mDomainLatency;
    }
    const bool inTime = latency <= mSite.mServices[aRequest.mService].mDeadline;
    ++mOffered;
    mInTime += inTime ? 1 : 0;
    mOfferedAtPeak += aRequest.mIsAtPeak ? 1 : 0;
    mInTimeAtPeak += inTime && aRequest.mIsAtPeak ? 1 : 0;
    mLatencies.push_back(static_cast<double>(latency.count()) / 1000.0);
  }

  /// Factor on the service time due to interference, which grows with the load,
  /// and to processor contention.
  double Slowdown(const Worker& aWorker, std::size_t aService) const
  {
    double percent = 0.0;
    for (const std::size_t it : aWorker.mTasks) {
      const Task& task = mTasks[it];
      percent +=
        mSite.mServices[aService].mInterference[task.mBatchClassIndex] *
        static_cast<double>(task.mThrottlePercent) / 100.0;
    }
    const double load = static_cast<double>(aWorker.mBusySlots) /
                        static_cast<double>(mSite.mSlots);
    const double used =
      BatchProcessorsUsed(aWorker) + static_cast<double>(aWorker.mBusySlots);
    return (1.0 + percent / 100.0 * (0.5 + load)) *
           std::max(1.0, used / kProcessors);
  }

  double BatchProcessorsUsed(const Worker& aWorker) const
  {
    double used = 0.0;
    for (const std::size_t it : aWorker.mTasks) {
      used += mTasks[it].mProcessors *
              static_cast<double>(mTasks[it].mThrottlePercent) / 100.0;
    }
    return used;
  }

  // --- Batch tasks ---

  void Tick()
  {
    Schedule(mNow + kTickInterval, EventKind::Tick);
    SubmitTasks();
    FailRandomWorker();
    UpdateBreakers();
    for (std::size_t n = 0; n < mWorkers.size(); ++n) {
      RunTasks(n);
      ExchangeReports(n);
      Protect(n);
    }
    if (mTicks++ % 2 == 0) {
      PlaceTasks();
    }
  }

  double MeanTaskWork() const
  {
    double work = 0.0;
    for (const auto& it : mSite.mBatchClasses) {
      work += it.mArrivalShare * it.mMeanRunSeconds *
              static_cast<double>(it.mDeclared.mMilliProcessors) / 1000.0;
    }
    return work;
  }

  void SubmitTasks()
  {
    const double reservable =
      static_cast<double>((kCapacity - kServiceResources).mMilliProcessors) /
      1000.0 * static_cast<double>(mSite.mWorkers);
    const double perTick = kBatchLoadPercent / 100.0 * reservable /
                           MeanTaskWork() *
                           std::chrono::duration<double>(kTickInterval).count();
    // The run starts with a backlog, as on a site under sustained load.
    mDueArrivals +=
      perTick + (mTicks == 0 ? 2.0 * static_cast<double>(mSite.mWorkers) : 0.0);
    while (mDueArrivals >= 1.0) {
      mDueArrivals -= 1.0;
      Submit(DrawBatchClass());
    }
    // Periodic burst of the class that interferes most with the first service.
    constexpr std::int64_t kBurstTicks = 200;
    if (mTicks % kBurstTicks == kBurstTicks / 2) {
      const std::size_t interfering = MostInterferingClass();
      for (std::size_t n = 0; n < mSite.mWorkers / 2; ++n) {
        Submit(interfering);
      }
    }
  }

  std::size_t DrawBatchClass()
  {
    double remaining = mTaskRandom->UniformReal();
    for (std::size_t n = 0; n + 1 < mSite.mBatchClasses.size(); ++n) {
      remaining -= mSite.mBatchClasses[n].mArrivalShare;
      if (remaining < 0.0) {
        return n;
      }
    }
    return mSite.mBatchClasses.size() - 1;
  }

  std::size_t MostInterferingClass() const
  {
    const auto& percents = mSite.mServices.front().mInterference;
    return static_cast<std::size_t>(
      std::max_element(percents.begin(), percents.end()) - percents.begin());
  }

  void Submit(std::size_t aBatchClass)
  {
    const BenchBatchClass& batchClass = mSite.mBatchClasses[aBatchClass];
    Task task;
    task.mBatchClassIndex = aBatchClass;
    task.mId = { "t" + std::to_string(mTasks.size()) };
    task.mTeam = "team" + std::to_string(mTaskRandom->Below(3));
    task.mIsUrgent = mTaskRandom->Below(50) == 0;
    task.mRunSeconds =
      batchClass.mMeanRunSeconds * DrawLognormal(*mTaskRandom, 0.8);
    if (mTaskRandom->Below(100) < 2) {
      task.mRunSeconds *= 10.0;
    }
    task.mResources = batchClass.mDeclared;
    task.mProcessors =
      static_cast<double>(batchClass.mDeclared.mMilliProcessors) / 1000.0 *
      batchClass.mActualUseRatio * (0.8 + 0.4 * mTaskRandom->UniformReal());
    task.mAcceptedAt = mNow;
    mTasks.push_back(std::move(task));
    mQueued.push_back(mTasks.size() - 1);
  }

  void FailRandomWorker()
  {
    const auto perMinute =
      static_cast<std::uint64_t>(std::chrono::minutes(1) / kTickInterval);
    if (mFailureRandom->Below(perMinute) != 0) {
      return;
    }
    const std::size_t failed = mFailureRandom->Below(mWorkers.size());
    Worker& worker = mWorkers[failed];
    worker.mDownUntil = mNow + kOutageDuration;
    const std::vector<std::size_t> tasks = worker.mTasks;
    for (const std::size_t it : tasks) {
      mFailureLoss += DiscardProgress(mTasks[it]);
      Requeue(worker, it);
    }
  }

  // Models the circuit breakers: requests avoid a failed worker from the
  // detection of its failure until its recovery.
  void UpdateBreakers()
  {
    for (auto& groups : mServiceGroups) {
      for (auto& group : groups) {
        for (std::size_t n = 0; n < group.mWorkers.size(); ++n) {
          const TimePoint backAt = mWorkers[group.mWorkers[n]].mDownUntil;
          group.mCandidates[n].mBreakerOpen =
            mNow < backAt &&
            mNow >= backAt - kOutageDuration + kFailureDetectionDelay;
        }
      }
    }
  }

  /// Discards the progress since the last checkpoint and returns it in
  /// processor seconds.
  double DiscardProgress(Task& aTask)
  {
    const double lost =
      (aTask.mDoneSeconds - aTask.mCheckpointedSeconds) * aTask.mProcessors;
    aTask.mDoneSeconds = aTask.mCheckpointedSeconds;
    mBatchWork -= lost;
    return lost;
  }

  void Requeue(Worker& aWorker, std::size_t aTask)
  {
    Task& task = mTasks[aTask];
    task.mPhase = Phase::Queued;
    task.mThrottlePercent = 100;
    mQueue->RecordRun(
      mSite.mBatchClasses[task.mBatchClassIndex].mName,
      std::chrono::duration_cast<seconds>(mNow - task.mStartedAt).count(),
      false);
    RemoveTask(aWorker, aTask);
    mQueued.push_back(aTask);
  }

  void RemoveTask(Worker& aWorker, std::size_t aTask)
  {
    const Task& task = mTasks[aTask];
    aWorker.mTasks.erase(
      std::find(aWorker.mTasks.begin(), aWorker.mTasks.end(), aTask));
    aWorker.mView.mFree += task.mResources;
    const auto count = aWorker.mView.mBatchTasks.find(
      mSite.mBatchClasses[task.mBatchClassIndex].mName);
    if (--count->second == 0) {
      aWorker.mView.mBatchTasks.erase(count);
    }
  }

  void RunTasks(std::size_t aWorker)
  {
    Worker& worker = mWorkers[aWorker];
    const double available =
      std::max(2.0, kProcessors - static_cast<double>(worker.mBusySlots));
    const double used = BatchProcessorsUsed(worker);
    const double speed = used > available ? available / used : 1.0;
    const double tickSeconds =
      std::chrono::duration<double>(kTickInterval).count();
    const std::vector<std::size_t> tasks = worker.mTasks;
    for (const std::size_t it : tasks) {
      Task& task = mTasks[it];
      const double runSeconds = tickSeconds * speed *
                                static_cast<double>(task.mThrottlePercent) /
                                100.0;
      Advance(task, runSeconds);
      if (task.mDoneSeconds >= task.mRunSeconds) {
        Complete(worker, it);
      } else if (task.mPhase == Phase::Checkpointing && mNow >= task.mStopAt) {
        FinishEviction(worker, it);
      }
    }
  }

  void Advance(Task& aTask, double aRunSeconds)
  {
    if (aTask.mPhase == Phase::Checkpointing) {
      return;
    }
    const double startup = std::min(aTask.mStartupSecondsLeft, aRunSeconds);
    aTask.mStartupSecondsLeft -= startup;
    const double progress =
      std::min(aRunSeconds - startup, aTask.mRunSeconds - aTask.mDoneSeconds);
    aTask.mDoneSeconds += progress;
    aTask.mSpentSeconds += aRunSeconds;
    mBatchWork += progress * aTask.mProcessors;
    const bool checkpoints =
      mSite.mBatchClasses[aTask.mBatchClassIndex].mHasCheckpoints;
    if (checkpoints && aTask.mDoneSeconds - aTask.mCheckpointedSeconds >=
                         kCheckpointIntervalSeconds) {
      aTask.mCheckpointedSeconds = aTask.mDoneSeconds;
    }
  }

  void Complete(Worker& aWorker, std::size_t aTask)
  {
    Task& task = mTasks[aTask];
    task.mPhase = Phase::Done;
    ++mCompleted;
    mQueue->RecordRun(
      mSite.mBatchClasses[task.mBatchClassIndex].mName,
      std::chrono::duration_cast<seconds>(mNow - task.mStartedAt).count(),
      true);
    RemoveTask(aWorker, aTask);
  }

  void FinishEviction(Worker& aWorker, std::size_t aTask)
  {
    Task& task = mTasks[aTask];
    const bool saved =
      mSite.mBatchClasses[task.mBatchClassIndex].mHasCheckpoints &&
      base::StableHash(task.mId.mValue) % 100 >= kFailedCheckpointPercent;
    if (saved) {
      task.mCheckpointedSeconds = task.mDoneSeconds;
    }
    mEvictionLoss += DiscardProgress(task);
    ++task.mEvictions;
    ++mEvictions;
    Requeue(aWorker, aTask);
  }

  void ExchangeReports(std::size_t aWorker)
  {
    Worker& worker = mWorkers[aWorker];
    const auto ticks =
      static_cast<std::size_t>(kReportInterval / kTickInterval);
    if (static_cast<std::size_t>(mTicks) % ticks == aWorker % ticks &&
        worker.mDownUntil <= mNow) {
      SendReport(worker);
    }
    while (!worker.mReports.empty() &&
           worker.mReports.front().mVisibleAt <= mNow) {
      ReceiveReport(worker, worker.mReports.front().mReport);
      worker.mReports.pop_front();
    }
  }

  void SendReport(Worker& aWorker)
  {
    double factor = 1.0;
    for (const std::size_t it : aWorker.mServices) {
      factor = std::max(factor, Slowdown(aWorker, it));
    }
    const double noise = 0.8 + 0.4 * mNoiseRandom->UniformReal();
    const double offset = 10.0 * (mNoiseRandom->UniformReal() - 0.5);
    policy::InterferenceReport report;
    report.mWorker = aWorker.mView.mWorker;
    report.mMeasuredAt = mNow;
    report.mBatchTasks = aWorker.mView.mBatchTasks;
    report.mServiceTimePercent = static_cast<std::int64_t>(
      100.0 + (factor - 1.0) * 100.0 * noise + offset);
    aWorker.mReports.push_back({ mNow + kReportLag, std::move(report) });
  }

  // As with RemoteWorker, one slowdown value covers all services of a worker.
  void ReceiveReport(Worker& aWorker, policy::InterferenceReport aReport)
  {
    aWorker.mReportedSlowdownPercent = aReport.mServiceTimePercent;
    for (const auto& it : aWorker.mView.mServices) {
      aReport.mService = it;
      mPlacement->RecordReport(aReport);
    }
  }

  void Protect(std::size_t aWorker)
  {
    Worker& worker = mWorkers[aWorker];
    if (worker.mTasks.empty()) {
      return;
    }
    policy::ProtectionInput pressure;
    pressure.mWorker = worker.mView.mWorker;
    pressure.mServiceTimePercent = worker.mReportedSlowdownPercent;
    pressure.mToleratedPercent = kToleratedSlowdownPercent;
    std::unordered_map<base::TaskId, std::size_t> indexes;
    for (const std::size_t it : worker.mTasks) {
      pressure.mTasks.push_back(ToRunningTask(mTasks[it]));
      pressure.mTasks.back().mInterferencePercent =
        WorstInterference(worker, pressure.mTasks.back().mBatchClass);
      indexes[mTasks[it].mId] = it;
    }
    for (const auto& it : mProtection->Decide(pressure, mNow)) {
      Task& task = mTasks[indexes.at(it.mTask)];
      if (it.mKind == policy::ProtectionKind::Throttle) {
        task.mThrottlePercent = it.mThrottlePercent;
      } else if (task.mPhase == Phase::Running) {
        task.mPhase = Phase::Checkpointing;
        task.mStopAt = mNow + kEvictionDelay;
      }
    }
  }

  double WorstInterference(const Worker& aWorker,
                           const std::string& aBatchClass) const
  {
    double worst = 0.0;
    for (const auto& it : aWorker.mView.mServices) {
      worst =
        std::max(worst, mPlacement->ExpectedInterference(it, aBatchClass));
    }
    return worst;
  }

  policy::RunningTask ToRunningTask(const Task& aTask) const
  {
    policy::RunningTask running;
    running.mTask = aTask.mId;
    running.mBatchClass = mSite.mBatchClasses[aTask.mBatchClassIndex].mName;
    running.mMilliProcessors = aTask.mResources.mMilliProcessors;
    running.mSecondsSinceCheckpoint = static_cast<std::int64_t>(
      aTask.mDoneSeconds - aTask.mCheckpointedSeconds);
    running.mRestartCostSeconds =
      static_cast<std::int64_t>(kRestartCostSeconds);
    running.mEvictions = aTask.mEvictions;
    running.mMaxEvictions = kMaxEvictions;
    running.mThrottlePercent = aTask.mThrottlePercent;
    running.mCheckpointing = aTask.mPhase == Phase::Checkpointing;
    return running;
  }

  void PlaceTasks()
  {
    std::vector<policy::QueueCandidate> entries;
    const std::size_t considered =
      std::min(kMaxQueuedTasksPerRound, mQueued.size());
    entries.reserve(considered);
    for (std::size_t n = 0; n < considered; ++n) {
      const Task& task = mTasks[mQueued[n]];
      const BenchBatchClass& batchClass =
        mSite.mBatchClasses[task.mBatchClassIndex];
      entries.push_back({ task.mId,
                          task.mTeam,
                          batchClass.mName,
                          task.mResources,
                          task.mIsUrgent,
                          static_cast<std::int64_t>(mQueued[n]),
                          static_cast<std::int64_t>(task.mSpentSeconds),
                          batchClass.mDeclaredRunSeconds });
    }
    const std::vector<std::size_t> eligible = AvailableWorkers();
    std::vector<policy::WorkerView> views;
    views.reserve(eligible.size());
    for (const std::size_t it : eligible) {
      views.push_back(mWorkers[it].mView);
    }
    std::vector<bool> placed(mQueued.size(), false);
    std::size_t decisions = 0;
    for (const std::size_t n : mQueue->Order(entries, TeamUsages())) {
      if (decisions++ >= kMaxDecisionsPerRound) {
        break;
      }
      const Task& task = mTasks[mQueued[n]];
      const policy::TaskDemand demand{
        task.mId, entries[n].mBatchClass, task.mResources, task.mIsUrgent
      };
      const auto chosen = mPlacement->Choose(demand, views);
      if (chosen) {
        mPlacement->RecordPlacement(demand, views[*chosen].mWorker, mNow);
        StartTask(mWorkers[eligible[*chosen]], mQueued[n]);
        views[*chosen] = mWorkers[eligible[*chosen]].mView;
        placed[n] = true;
      }
    }
    std::deque<std::size_t> remaining;
    for (std::size_t n = 0; n < mQueued.size(); ++n) {
      if (!placed[n]) {
        remaining.push_back(mQueued[n]);
      }
    }
    mQueued.swap(remaining);
  }

  std::vector<std::size_t> AvailableWorkers() const
  {
    std::vector<std::size_t> up;
    for (std::size_t n = 0; n < mWorkers.size(); ++n) {
      if (mWorkers[n].mDownUntil <= mNow) {
        up.push_back(n);
      }
    }
    return up;
  }

  policy::TeamUsageMap TeamUsages() const
  {
    policy::TeamUsageMap usages;
    const auto workers = static_cast<std::int64_t>(mSite.mWorkers);
    const base::Resources reservable = kCapacity - kServiceResources;
    for (std::size_t n = 0; n < 3; ++n) {
      auto& quota = usages["team" + std::to_string(n)].mQuota;
      quota.mMilliProcessors = reservable.mMilliProcessors * workers / 2;
      quota.mMemoryBytes = reservable.mMemoryBytes * workers / 2;
    }
    for (const auto& worker : mWorkers) {
      for (const std::size_t it : worker.mTasks) {
        usages[mTasks[it].mTeam].mUsed += mTasks[it].mResources;
      }
    }
    return usages;
  }

  void StartTask(Worker& aWorker, std::size_t aTask)
  {
    Task& task = mTasks[aTask];
    if (!task.mHasStarted && task.mRunSeconds <= kMaxShortTaskSeconds) {
      mShortWaits.push_back(SecondsSinceStart(mNow) -
                            SecondsSinceStart(task.mAcceptedAt));
    }
    task.mStartupSecondsLeft =
      std::chrono::duration<double>(kStartDelay).count() +
      (task.mHasStarted ? kRestartCostSeconds : 0.0);
    task.mHasStarted = true;
    task.mStartedAt = mNow;
    task.mPhase = Phase::Running;
    aWorker.mTasks.push_back(aTask);
    aWorker.mView.mFree -= task.mResources;
    ++aWorker.mView
        .mBatchTasks[mSite.mBatchClasses[task.mBatchClassIndex].mName];
  }

  // --- Result ---

  BenchMetrics Measure()
  {
    // Includes short tasks that have not started, with their wait so far.
    for (const std::size_t it : mQueued) {
      const Task& task = mTasks[it];
      if (!task.mHasStarted && task.mRunSeconds <= kMaxShortTaskSeconds) {
        mShortWaits.push_back(SecondsSinceStart(mNow) -
                              SecondsSinceStart(task.mAcceptedAt));
      }
    }
    const auto percent = [](std::int64_t aPart, std::int64_t aWhole) {
      return aWhole == 0 ? 0.0
                         : 100.0 * static_cast<double>(aPart) /
                             static_cast<double>(aWhole);
    };
    const double length =
      std::chrono::duration<double>(mSite.mDuration).count();
    return { PercentileOf(mLatencies, 50.0),
             PercentileOf(mLatencies, 99.0),
             PercentileOf(mLatencies, 99.9),
             percent(mInTime, mOffered),
             percent(mInTimeAtPeak, mOfferedAtPeak),
             mBatchWork / length,
             static_cast<double>(mCompleted),
             static_cast<double>(mEvictions),
             mEvictionLoss,
             mFailureLoss,
             PercentileOf(mShortWaits, 50.0),
             PercentileOf(mShortWaits, 99.0) };
  }

  BenchSite mSite;
  bool mUsesProfile;
  std::unique_ptr<policy::PlacementPolicy> mPlacement;
  std::unique_ptr<policy::QueuePolicy> mQueue;
  std::unique_ptr<policy::ProtectionPolicy> mProtection;
  std::unique_ptr<requests::TargetPicker> mPicker;
  // One generator per purpose, so that load and failures do not depend on the
  // policies.
  std::unique_ptr<base::Random> mSiteRandom;
  std::unique_ptr<base::Random> mRequestRandom;
  std::unique_ptr<base::Random> mTaskRandom;
  std::unique_ptr<base::Random> mFailureRandom;
  std::unique_ptr<base::Random> mNoiseRandom;
  std::unique_ptr<base::Random> mPickRandom;

  const TimePoint mStart{ seconds(1000) };
  TimePoint mNow = mStart;
  std::priority_queue<Event, std::vector<Event>, IsLater> mEvents;
  std::uint64_t mNextSequence = 0;
  std::vector<Worker> mWorkers;
  std::vector<std::vector<ServiceGroup>> mServiceGroups;
  std::vector<requests::InFlightTable> mInFlight;
  std::vector<Request> mRequests;
  std::vector<Task> mTasks;
  std::deque<std::size_t> mQueued;
  std::int64_t mTicks = 0;
  double mDueArrivals = 0.0;

  std::vector<double> mLatencies;
  std::int64_t mOffered = 0;
  std::int64_t mInTime = 0;
  std::int64_t mOfferedAtPeak = 0;
  std::int64_t mInTimeAtPeak = 0;
  double mBatchWork = 0.0;
  std::int64_t mCompleted = 0;
  std::int64_t mEvictions = 0;
  double mEvictionLoss = 0.0;
  double mFailureLoss = 0.0;
  std::vector<double> mShortWaits;
};

} // namespace

std::string_view
NameOf(BenchSetup aSetup)
{
  return base::FindName(kSetupNames, aSetup);
}

BenchMetrics
RunBench(const BenchSite& aSite, BenchSetup aSetup, std::uint64_t aSeed)
{
  return BenchRun(aSite, aSetup, aSeed).Run();
}

} // namespace skylarkhill::testing
