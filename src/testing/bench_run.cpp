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
  { BenchSetup::Profile, "profile" },
} };

constexpr std::int64_t kGiB = std::int64_t{ 1 } << 30;
constexpr double kProcessors = 16.0;
constexpr base::Resources kCapacity{ 16'000, 60 * kGiB, 0 };
// What the services of a worker have reserved.
constexpr base::Resources kServiceReserve{ 4'000, 12 * kGiB, 0 };

constexpr Duration kTick = milliseconds(200);
constexpr Duration kReportInterval = seconds(1);
constexpr Duration kReportLag = milliseconds(1500);
constexpr Duration kStartDelay = milliseconds(300);
constexpr Duration kEvictionTime = seconds(2);
constexpr Duration kOutage = seconds(20);
constexpr Duration kDetectionTime = seconds(1);
/// Queued tasks that one round looks at, as in the entry process.
constexpr std::size_t kMaxQueued = 1000;
/// Placement decisions in one round.
constexpr std::size_t kMaxDecisions = 40;
constexpr double kCheckpointSeconds = 20.0;
constexpr double kRestartSeconds = 10.0;
constexpr std::int64_t kMaxEvictions = 3;
constexpr std::int64_t kToleratedPercent = 150;
/// Checkpoints on eviction that fail, in percent.
constexpr std::uint64_t kFailedCheckpointPercent = 20;
/// Batch work that arrives, in percent of what the workers can reserve.
constexpr double kOfferedPercent = 110.0;
/// Slots busy on an undisturbed site between and at the peaks.
constexpr double kLowLoad = 0.25;
constexpr double kPeakLoad = 0.62;
constexpr double kSwingSeconds = 30.0;
constexpr double kShortSeconds = 8.0;

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

struct Later
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
  std::size_t mHome = 0;
  std::size_t mDomain = 0;
  TimePoint mArrived;
  double mBaseMicros = 0.0;
  bool mAtPeak = false;
  std::size_t mWorker = 0;
  TimePoint mStarted;
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
  std::size_t mClass = 0;
  std::string mTeam;
  base::TaskId mId;
  bool mUrgent = false;
  double mSeconds = 0.0;
  /// Processors it uses when it is not throttled.
  double mProcessors = 0.0;
  base::Resources mNeed;
  TimePoint mAccepted;
  TimePoint mStarted;
  bool mHasStarted = false;
  TimePoint mStopAt;
  Phase mPhase = Phase::Queued;
  double mDone = 0.0;
  double mSaved = 0.0;
  double mReceived = 0.0;
  double mStartupLeft = 0.0;
  std::int64_t mEvictions = 0;
  std::int64_t mThrottlePercent = 100;
};

struct Report
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
  std::int64_t mBusy = 0;
  TimePoint mDownUntil;
  std::deque<Report> mReports;
  std::int64_t mSeenPercent = 100;
};

/// The queue of one service in one failure domain.
struct Lane
{
  std::unique_ptr<requests::AdmissionQueue> mQueue;
  std::unique_ptr<requests::ConcurrencyLimit> mLimit;
  std::unique_ptr<requests::RetryBudget> mBudget;
  std::vector<requests::Candidate> mCandidates;
  std::vector<std::size_t> mWorkers;
  std::int64_t mInFlight = 0;
};

/// The profile's protection, with the youngest task as the victim.
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
        it.mTask = Youngest(aWorker, it.mTask);
      }
    }
    return actions;
  }

private:
  // Tasks are listed in the order of their starts.
  static base::TaskId Youngest(const policy::ProtectionInput& aWorker,
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
  return aSetup == BenchSetup::Profile ? aSite.mProfile
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
    , mUsesProfile(aSetup == BenchSetup::Profile)
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
    DrawHiddenValues(mSite, *mSiteRandom);
    MakeWorkers();
    MakeLanes();
  }

  BenchMeasures Run()
  {
    Schedule(mStart, EventKind::Tick);
    ScheduleArrival(mStart);
    const TimePoint end = mStart + mSite.mLength;
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
      worker.mDomain = rack % mSite.mDomains;
      worker.mView.mWorker = { "w" + std::to_string(n) };
      worker.mView.mDomain = { "d" + std::to_string(worker.mDomain) };
      worker.mView.mRack = "r" + std::to_string(rack);
      worker.mView.mCapacity = kCapacity - kServiceReserve;
      worker.mView.mFree = worker.mView.mCapacity;
      // A third of the workers serves the first service, a third the second,
      // and a third both.
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

  void MakeLanes()
  {
    mInFlight.resize(mSite.mDomains);
    mLanes.resize(mSite.mDomains);
    for (std::size_t domain = 0; domain < mSite.mDomains; ++domain) {
      for (std::size_t service = 0; service < mSite.mServices.size();
           ++service) {
        mLanes[domain].push_back(MakeLane(domain, service));
      }
    }
  }

  Lane MakeLane(std::size_t aDomain, std::size_t aService) const
  {
    Lane lane;
    lane.mQueue = mUsesProfile ? requests::CreateDeadlineAdmissionQueue({})
                               : requests::CreateFifoAdmissionQueue({});
    lane.mLimit = mUsesProfile ? requests::CreateAdaptiveConcurrencyLimit({})
                               : requests::CreateFixedConcurrencyLimit();
    lane.mBudget = std::make_unique<requests::RetryBudget>(
      requests::RetryBudgetOptions{}, mStart);
    for (std::size_t n = 0; n < mWorkers.size(); ++n) {
      const auto& services = mWorkers[n].mServices;
      const bool serves =
        std::find(services.begin(), services.end(), aService) != services.end();
      if (mWorkers[n].mDomain == aDomain && serves) {
        requests::Candidate candidate;
        candidate.mTarget.mName = mWorkers[n].mView.mWorker.mValue;
        candidate.mFreeSlots = mSite.mSlots;
        lane.mCandidates.push_back(candidate);
        lane.mWorkers.push_back(n);
      }
    }
    lane.mLimit->SetCapacity(static_cast<std::int64_t>(lane.mWorkers.size()) *
                             mSite.mSlots);
    return lane;
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

  double Seconds(TimePoint aAt) const
  {
    return std::chrono::duration<double>(aAt - mStart).count();
  }

  /// Demand as a share of the site's slots: a swing within two seconds, a
  /// plateau, and a fall.
  static double LoadAt(double aSeconds)
  {
    const double phase = std::fmod(aSeconds, kSwingSeconds);
    const double rise = std::clamp((phase - 10.0) / 2.0, 0.0, 1.0);
    const double fall = std::clamp((phase - 22.0) / 3.0, 0.0, 1.0);
    return kLowLoad + (kPeakLoad - kLowLoad) * (rise - fall);
  }

  void ScheduleArrival(TimePoint aFrom)
  {
    const double load = LoadAt(Seconds(aFrom));
    double micros = 0.0;
    for (const auto& it : mSite.mServices) {
      micros += static_cast<double>(it.mMeanTime.count());
    }
    const auto slots =
      static_cast<double>(mSite.mWorkers) * static_cast<double>(mSite.mSlots);
    const double mean =
      micros / static_cast<double>(mSite.mServices.size()) / (slots * load);
    const double gap = -mean * std::log(1.0 - mRequestRandom->UniformReal());
    const TimePoint at = aFrom + Duration(1 + static_cast<std::int64_t>(gap));
    Request request;
    request.mService = mRequestRandom->Below(mSite.mServices.size());
    request.mHome = mRequestRandom->Below(mSite.mDomains);
    request.mDomain = request.mHome;
    request.mArrived = at;
    request.mBaseMicros =
      DrawLognormal(*mRequestRandom, 0.5) *
      static_cast<double>(mSite.mServices[request.mService].mMeanTime.count());
    request.mAtPeak = LoadAt(Seconds(at)) > 0.9 * kPeakLoad;
    mRequests.push_back(request);
    Schedule(at, EventKind::Arrive, mRequests.size() - 1);
  }

  TimePoint DeadlineOf(const Request& aRequest) const
  {
    return aRequest.mArrived + mSite.mServices[aRequest.mService].mDeadline;
  }

  void Admit(std::size_t aRequest, bool aMayForward)
  {
    Request& request = mRequests[aRequest];
    Lane& lane = mLanes[request.mDomain][request.mService];
    if (aMayForward && lane.mQueue->Size() > 0 && Forward(aRequest)) {
      return;
    }
    lane.mBudget->RecordFirstAttempt();
    requests::QueueEntry entry;
    entry.mRequest = { std::to_string(aRequest) };
    entry.mDeadline = DeadlineOf(request);
    if (lane.mQueue->Offer(entry, mNow).has_error()) {
      CountMissed(request);
    }
    Dispatch(request.mDomain, request.mService);
  }

  bool Forward(std::size_t aRequest)
  {
    Request& request = mRequests[aRequest];
    for (std::size_t n = 1; n < mSite.mDomains; ++n) {
      const std::size_t domain = (request.mHome + n) % mSite.mDomains;
      const Lane& lane = mLanes[domain][request.mService];
      const auto capacity =
        static_cast<std::int64_t>(lane.mWorkers.size()) * mSite.mSlots;
      if (lane.mQueue->Size() == 0 && lane.mInFlight * 10 < capacity * 7) {
        request.mDomain = domain;
        Schedule(mNow + mSite.mDomainLatency, EventKind::Forwarded, aRequest);
        return true;
      }
    }
    return false;
  }

  void Dispatch(std::size_t aDomain, std::size_t aService)
  {
    Lane& lane = mLanes[aDomain][aService];
    while (lane.mQueue->Size() > 0 && lane.mInFlight < lane.mLimit->Limit()) {
      const auto target =
        mPicker->Pick(lane.mCandidates, {}, mInFlight[aDomain], *mPickRandom);
      if (!target) {
        break;
      }
      const auto entry = lane.mQueue->Take(mNow);
      if (!entry) {
        break;
      }
      StartRequest(std::stoul(entry->mRequest.mValue), *target);
    }
    for (const auto& it : lane.mQueue->TakeDropped()) {
      CountMissed(mRequests[std::stoul(it.mEntry.mRequest.mValue)]);
    }
  }

  void StartRequest(std::size_t aRequest, const requests::Target& aTarget)
  {
    Request& request = mRequests[aRequest];
    Lane& lane = mLanes[request.mDomain][request.mService];
    request.mWorker = std::stoul(aTarget.mName.substr(1));
    request.mStarted = mNow;
    ++request.mAttempt;
    ++lane.mInFlight;
    ++mWorkers[request.mWorker].mBusy;
    mInFlight[request.mDomain].Begin(
      aTarget, { std::to_string(aRequest) }, request.mAttempt, mNow);
    const double factor = Slowdown(mWorkers[request.mWorker], request.mService);
    Schedule(
      mNow + Duration(static_cast<std::int64_t>(request.mBaseMicros * factor)),
      EventKind::Finish,
      aRequest);
  }

  void ReleaseSlot(std::size_t aRequest)
  {
    const Request& request = mRequests[aRequest];
    --mLanes[request.mDomain][request.mService].mInFlight;
    --mWorkers[request.mWorker].mBusy;
    mInFlight[request.mDomain].End(
      { requests::TargetKind::HeldWorker,
        mWorkers[request.mWorker].mView.mWorker.mValue },
      { std::to_string(aRequest) },
      request.mAttempt);
  }

  void Finish(std::size_t aRequest)
  {
    Request& request = mRequests[aRequest];
    Lane& lane = mLanes[request.mDomain][request.mService];
    ReleaseSlot(aRequest);
    const Duration took = mNow - request.mStarted;
    const bool lost = mWorkers[request.mWorker].mDownUntil > mNow;
    lane.mLimit->Observe({ took, lane.mInFlight, lost }, mNow);
    if (lost) {
      Retry(aRequest);
    } else {
      lane.mQueue->RecordServiceTime(took);
      LearnLatency(lane, request.mWorker, took);
      CountAnswered(request);
    }
    for (std::size_t service = 0; service < mSite.mServices.size(); ++service) {
      Dispatch(request.mDomain, service);
    }
  }

  static void LearnLatency(Lane& aLane, std::size_t aWorker, Duration aTook)
  {
    const auto found =
      std::find(aLane.mWorkers.begin(), aLane.mWorkers.end(), aWorker);
    auto& latency =
      aLane
        .mCandidates[static_cast<std::size_t>(found - aLane.mWorkers.begin())]
        .mLatency;
    constexpr std::int64_t kSamples = 10;
    latency =
      latency.count() == 0 ? aTook : latency + (aTook - latency) / kSamples;
  }

  void Retry(std::size_t aRequest)
  {
    const Request& request = mRequests[aRequest];
    Lane& lane = mLanes[request.mDomain][request.mService];
    requests::QueueEntry entry;
    entry.mRequest = { std::to_string(aRequest) };
    entry.mDeadline = DeadlineOf(request);
    if (!lane.mBudget->TryTake(mNow) ||
        lane.mQueue->Offer(entry, mNow).has_error()) {
      CountMissed(request);
    }
  }

  void CountMissed(const Request& aRequest)
  {
    ++mOffered;
    mOfferedAtPeak += aRequest.mAtPeak ? 1 : 0;
  }

  void CountAnswered(const Request& aRequest)
  {
    Duration latency = mNow - aRequest.mArrived + 2 * mSite.mClientLatency;
    if (aRequest.mDomain != aRequest.mHome) {
      latency += mSite.mDomainLatency;
    }
    const bool inTime = latency <= mSite.mServices[aRequest.mService].mDeadline;
    ++mOffered;
    mInTime += inTime ? 1 : 0;
    mOfferedAtPeak += aRequest.mAtPeak ? 1 : 0;
    mInTimeAtPeak += inTime && aRequest.mAtPeak ? 1 : 0;
    mLatencies.push_back(static_cast<double>(latency.count()) / 1000.0);
  }

  /// Factor on the service time: interference that grows with the load, and
  /// contention for processors.
  double Slowdown(const Worker& aWorker, std::size_t aService) const
  {
    double percent = 0.0;
    for (const std::size_t it : aWorker.mTasks) {
      const Task& task = mTasks[it];
      percent += mSite.mServices[aService].mInterference[task.mClass] *
                 static_cast<double>(task.mThrottlePercent) / 100.0;
    }
    const double load =
      static_cast<double>(aWorker.mBusy) / static_cast<double>(mSite.mSlots);
    const double used = BatchUse(aWorker) + static_cast<double>(aWorker.mBusy);
    return (1.0 + percent / 100.0 * (0.5 + load)) *
           std::max(1.0, used / kProcessors);
  }

  double BatchUse(const Worker& aWorker) const
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
    Schedule(mNow + kTick, EventKind::Tick);
    SubmitTasks();
    FailWorkers();
    OpenBreakers();
    for (std::size_t n = 0; n < mWorkers.size(); ++n) {
      RunTasks(n);
      Observe(n);
      Protect(n);
    }
    if (mTicks++ % 2 == 0) {
      PlaceTasks();
    }
  }

  double MeanTaskWork() const
  {
    double work = 0.0;
    for (const auto& it : mSite.mClasses) {
      work += it.mShare * it.mMeanSeconds *
              static_cast<double>(it.mDeclared.mMilliProcessors) / 1000.0;
    }
    return work;
  }

  void SubmitTasks()
  {
    const double reservable =
      static_cast<double>((kCapacity - kServiceReserve).mMilliProcessors) /
      1000.0 * static_cast<double>(mSite.mWorkers);
    const double perTick = kOfferedPercent / 100.0 * reservable /
                           MeanTaskWork() *
                           std::chrono::duration<double>(kTick).count();
    // A backlog at the start, as on a site that has been busy for a while.
    mDueTasks +=
      perTick + (mTicks == 0 ? 2.0 * static_cast<double>(mSite.mWorkers) : 0.0);
    while (mDueTasks >= 1.0) {
      mDueTasks -= 1.0;
      Submit(DrawClass());
    }
    // Noisy tasks of one class arrive in a burst.
    constexpr std::int64_t kBurstTicks = 200;
    if (mTicks % kBurstTicks == kBurstTicks / 2) {
      const std::size_t noisy = NoisiestClass();
      for (std::size_t n = 0; n < mSite.mWorkers / 2; ++n) {
        Submit(noisy);
      }
    }
  }

  std::size_t DrawClass()
  {
    double left = mTaskRandom->UniformReal();
    for (std::size_t n = 0; n + 1 < mSite.mClasses.size(); ++n) {
      left -= mSite.mClasses[n].mShare;
      if (left < 0.0) {
        return n;
      }
    }
    return mSite.mClasses.size() - 1;
  }

  std::size_t NoisiestClass() const
  {
    const auto& percents = mSite.mServices.front().mInterference;
    return static_cast<std::size_t>(
      std::max_element(percents.begin(), percents.end()) - percents.begin());
  }

  void Submit(std::size_t aClass)
  {
    const BenchClass& type = mSite.mClasses[aClass];
    Task task;
    task.mClass = aClass;
    task.mId = { "t" + std::to_string(mTasks.size()) };
    task.mTeam = "team" + std::to_string(mTaskRandom->Below(3));
    task.mUrgent = mTaskRandom->Below(50) == 0;
    task.mSeconds = type.mMeanSeconds * DrawLognormal(*mTaskRandom, 0.8);
    if (mTaskRandom->Below(100) < 2) {
      task.mSeconds *= 10.0;
    }
    task.mNeed = type.mDeclared;
    task.mProcessors = static_cast<double>(type.mDeclared.mMilliProcessors) /
                       1000.0 * type.mActualShare *
                       (0.8 + 0.4 * mTaskRandom->UniformReal());
    task.mAccepted = mNow;
    mTasks.push_back(std::move(task));
    mQueued.push_back(mTasks.size() - 1);
  }

  void FailWorkers()
  {
    const auto perMinute =
      static_cast<std::uint64_t>(std::chrono::minutes(1) / kTick);
    if (mFailureRandom->Below(perMinute) != 0) {
      return;
    }
    const std::size_t failed = mFailureRandom->Below(mWorkers.size());
    Worker& worker = mWorkers[failed];
    worker.mDownUntil = mNow + kOutage;
    const std::vector<std::size_t> tasks = worker.mTasks;
    for (const std::size_t it : tasks) {
      mFailureLoss += LoseProgress(mTasks[it]);
      Requeue(worker, it);
    }
  }

  // Stands for the breakers: requests avoid a failed worker from the detection
  // of its failure until it is back.
  void OpenBreakers()
  {
    for (auto& lanes : mLanes) {
      for (auto& lane : lanes) {
        for (std::size_t n = 0; n < lane.mWorkers.size(); ++n) {
          const TimePoint backAt = mWorkers[lane.mWorkers[n]].mDownUntil;
          lane.mCandidates[n].mBreakerOpen =
            mNow < backAt && mNow >= backAt - kOutage + kDetectionTime;
        }
      }
    }
  }

  /// Takes the progress since the last checkpoint back.
  double LoseProgress(Task& aTask)
  {
    const double lost = (aTask.mDone - aTask.mSaved) * aTask.mProcessors;
    aTask.mDone = aTask.mSaved;
    mWork -= lost;
    return lost;
  }

  void Requeue(Worker& aWorker, std::size_t aTask)
  {
    Task& task = mTasks[aTask];
    task.mPhase = Phase::Queued;
    task.mThrottlePercent = 100;
    mQueue->RecordRun(
      mSite.mClasses[task.mClass].mName,
      std::chrono::duration_cast<seconds>(mNow - task.mStarted).count(),
      false);
    Leave(aWorker, aTask);
    mQueued.push_back(aTask);
  }

  void Leave(Worker& aWorker, std::size_t aTask)
  {
    const Task& task = mTasks[aTask];
    aWorker.mTasks.erase(
      std::find(aWorker.mTasks.begin(), aWorker.mTasks.end(), aTask));
    aWorker.mView.mFree += task.mNeed;
    const auto count =
      aWorker.mView.mBatchTasks.find(mSite.mClasses[task.mClass].mName);
    if (--count->second == 0) {
      aWorker.mView.mBatchTasks.erase(count);
    }
  }

  void RunTasks(std::size_t aWorker)
  {
    Worker& worker = mWorkers[aWorker];
    const double left =
      std::max(2.0, kProcessors - static_cast<double>(worker.mBusy));
    const double used = BatchUse(worker);
    const double rate = used > left ? left / used : 1.0;
    const double step = std::chrono::duration<double>(kTick).count();
    const std::vector<std::size_t> tasks = worker.mTasks;
    for (const std::size_t it : tasks) {
      Task& task = mTasks[it];
      const double got =
        step * rate * static_cast<double>(task.mThrottlePercent) / 100.0;
      Advance(task, got);
      if (task.mDone >= task.mSeconds) {
        Complete(worker, it);
      } else if (task.mPhase == Phase::Checkpointing && mNow >= task.mStopAt) {
        StopEvicted(worker, it);
      }
    }
  }

  void Advance(Task& aTask, double aGot)
  {
    if (aTask.mPhase == Phase::Checkpointing) {
      return;
    }
    const double startup = std::min(aTask.mStartupLeft, aGot);
    aTask.mStartupLeft -= startup;
    const double progress =
      std::min(aGot - startup, aTask.mSeconds - aTask.mDone);
    aTask.mDone += progress;
    aTask.mReceived += aGot;
    mWork += progress * aTask.mProcessors;
    const bool checkpoints = mSite.mClasses[aTask.mClass].mCheckpoints;
    if (checkpoints && aTask.mDone - aTask.mSaved >= kCheckpointSeconds) {
      aTask.mSaved = aTask.mDone;
    }
  }

  void Complete(Worker& aWorker, std::size_t aTask)
  {
    Task& task = mTasks[aTask];
    task.mPhase = Phase::Done;
    ++mCompleted;
    mQueue->RecordRun(
      mSite.mClasses[task.mClass].mName,
      std::chrono::duration_cast<seconds>(mNow - task.mStarted).count(),
      true);
    Leave(aWorker, aTask);
  }

  void StopEvicted(Worker& aWorker, std::size_t aTask)
  {
    Task& task = mTasks[aTask];
    const bool saved =
      mSite.mClasses[task.mClass].mCheckpoints &&
      base::StableHash(task.mId.mValue) % 100 >= kFailedCheckpointPercent;
    if (saved) {
      task.mSaved = task.mDone;
    }
    mEvictionLoss += LoseProgress(task);
    ++task.mEvictions;
    ++mEvictions;
    Requeue(aWorker, aTask);
  }

  void Observe(std::size_t aWorker)
  {
    Worker& worker = mWorkers[aWorker];
    const auto ticks = static_cast<std::size_t>(kReportInterval / kTick);
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

  // A worker reports one slowdown for all of its services, as RemoteWorker
  // does.
  void ReceiveReport(Worker& aWorker, policy::InterferenceReport aReport)
  {
    aWorker.mSeenPercent = aReport.mServiceTimePercent;
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
    pressure.mServiceTimePercent = worker.mSeenPercent;
    pressure.mToleratedPercent = kToleratedPercent;
    std::unordered_map<base::TaskId, std::size_t> indexes;
    for (const std::size_t it : worker.mTasks) {
      pressure.mTasks.push_back(Describe(mTasks[it]));
      pressure.mTasks.back().mInterferencePercent =
        Disturbance(worker, pressure.mTasks.back().mBatchClass);
      indexes[mTasks[it].mId] = it;
    }
    for (const auto& it : mProtection->Decide(pressure, mNow)) {
      Task& task = mTasks[indexes.at(it.mTask)];
      if (it.mKind == policy::ProtectionKind::Throttle) {
        task.mThrottlePercent = it.mThrottlePercent;
      } else if (task.mPhase == Phase::Running) {
        task.mPhase = Phase::Checkpointing;
        task.mStopAt = mNow + kEvictionTime;
      }
    }
  }

  double Disturbance(const Worker& aWorker, const std::string& aClass) const
  {
    double worst = 0.0;
    for (const auto& it : aWorker.mView.mServices) {
      worst = std::max(worst, mPlacement->ExpectedInterference(it, aClass));
    }
    return worst;
  }

  policy::RunningTask Describe(const Task& aTask) const
  {
    policy::RunningTask running;
    running.mTask = aTask.mId;
    running.mBatchClass = mSite.mClasses[aTask.mClass].mName;
    running.mMilliProcessors = aTask.mNeed.mMilliProcessors;
    running.mSecondsSinceCheckpoint =
      static_cast<std::int64_t>(aTask.mDone - aTask.mSaved);
    running.mRestartCostSeconds = static_cast<std::int64_t>(kRestartSeconds);
    running.mEvictions = aTask.mEvictions;
    running.mMaxEvictions = kMaxEvictions;
    running.mThrottlePercent = aTask.mThrottlePercent;
    running.mCheckpointing = aTask.mPhase == Phase::Checkpointing;
    return running;
  }

  void PlaceTasks()
  {
    std::vector<policy::QueueCandidate> entries;
    const std::size_t looked = std::min(kMaxQueued, mQueued.size());
    entries.reserve(looked);
    for (std::size_t n = 0; n < looked; ++n) {
      const Task& task = mTasks[mQueued[n]];
      const BenchClass& type = mSite.mClasses[task.mClass];
      entries.push_back({ task.mId,
                          task.mTeam,
                          type.mName,
                          task.mNeed,
                          task.mUrgent,
                          static_cast<std::int64_t>(mQueued[n]),
                          static_cast<std::int64_t>(task.mReceived),
                          type.mDeclaredRunSeconds });
    }
    const std::vector<std::size_t> eligible = UpWorkers();
    std::vector<policy::WorkerView> views;
    views.reserve(eligible.size());
    for (const std::size_t it : eligible) {
      views.push_back(mWorkers[it].mView);
    }
    std::vector<bool> placed(mQueued.size(), false);
    std::size_t decisions = 0;
    for (const std::size_t n : mQueue->Order(entries, Usages())) {
      if (decisions++ >= kMaxDecisions) {
        break;
      }
      const Task& task = mTasks[mQueued[n]];
      const policy::TaskDemand demand{
        task.mId, entries[n].mBatchClass, task.mNeed, task.mUrgent
      };
      const auto chosen = mPlacement->Choose(demand, views);
      if (chosen) {
        mPlacement->RecordPlacement(demand, views[*chosen].mWorker, mNow);
        StartTask(mWorkers[eligible[*chosen]], mQueued[n]);
        views[*chosen] = mWorkers[eligible[*chosen]].mView;
        placed[n] = true;
      }
    }
    std::deque<std::size_t> rest;
    for (std::size_t n = 0; n < mQueued.size(); ++n) {
      if (!placed[n]) {
        rest.push_back(mQueued[n]);
      }
    }
    mQueued.swap(rest);
  }

  std::vector<std::size_t> UpWorkers() const
  {
    std::vector<std::size_t> up;
    for (std::size_t n = 0; n < mWorkers.size(); ++n) {
      if (mWorkers[n].mDownUntil <= mNow) {
        up.push_back(n);
      }
    }
    return up;
  }

  policy::TeamUsageMap Usages() const
  {
    policy::TeamUsageMap usages;
    const auto workers = static_cast<std::int64_t>(mSite.mWorkers);
    const base::Resources reservable = kCapacity - kServiceReserve;
    for (std::size_t n = 0; n < 3; ++n) {
      auto& quota = usages["team" + std::to_string(n)].mQuota;
      quota.mMilliProcessors = reservable.mMilliProcessors * workers / 2;
      quota.mMemoryBytes = reservable.mMemoryBytes * workers / 2;
    }
    for (const auto& worker : mWorkers) {
      for (const std::size_t it : worker.mTasks) {
        usages[mTasks[it].mTeam].mUsed += mTasks[it].mNeed;
      }
    }
    return usages;
  }

  void StartTask(Worker& aWorker, std::size_t aTask)
  {
    Task& task = mTasks[aTask];
    if (!task.mHasStarted && task.mSeconds <= kShortSeconds) {
      mShortWaits.push_back(Seconds(mNow) - Seconds(task.mAccepted));
    }
    task.mStartupLeft = std::chrono::duration<double>(kStartDelay).count() +
                        (task.mHasStarted ? kRestartSeconds : 0.0);
    task.mHasStarted = true;
    task.mStarted = mNow;
    task.mPhase = Phase::Running;
    aWorker.mTasks.push_back(aTask);
    aWorker.mView.mFree -= task.mNeed;
    ++aWorker.mView.mBatchTasks[mSite.mClasses[task.mClass].mName];
  }

  // --- Result ---

  BenchMeasures Measure()
  {
    // Short tasks that never started have waited at least until now.
    for (const std::size_t it : mQueued) {
      const Task& task = mTasks[it];
      if (!task.mHasStarted && task.mSeconds <= kShortSeconds) {
        mShortWaits.push_back(Seconds(mNow) - Seconds(task.mAccepted));
      }
    }
    const auto percent = [](std::int64_t aPart, std::int64_t aWhole) {
      return aWhole == 0 ? 0.0
                         : 100.0 * static_cast<double>(aPart) /
                             static_cast<double>(aWhole);
    };
    const double length = std::chrono::duration<double>(mSite.mLength).count();
    return { PercentileOf(mLatencies, 50.0),
             PercentileOf(mLatencies, 99.0),
             PercentileOf(mLatencies, 99.9),
             percent(mInTime, mOffered),
             percent(mInTimeAtPeak, mOfferedAtPeak),
             mWork / length,
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
  // One generator per cause, so that the load does not depend on the policy.
  std::unique_ptr<base::Random> mSiteRandom;
  std::unique_ptr<base::Random> mRequestRandom;
  std::unique_ptr<base::Random> mTaskRandom;
  std::unique_ptr<base::Random> mFailureRandom;
  std::unique_ptr<base::Random> mNoiseRandom;
  std::unique_ptr<base::Random> mPickRandom;

  const TimePoint mStart{ seconds(1000) };
  TimePoint mNow = mStart;
  std::priority_queue<Event, std::vector<Event>, Later> mEvents;
  std::uint64_t mNextSequence = 0;
  std::vector<Worker> mWorkers;
  std::vector<std::vector<Lane>> mLanes;
  std::vector<requests::InFlightTable> mInFlight;
  std::vector<Request> mRequests;
  std::vector<Task> mTasks;
  std::deque<std::size_t> mQueued;
  std::int64_t mTicks = 0;
  double mDueTasks = 0.0;

  std::vector<double> mLatencies;
  std::int64_t mOffered = 0;
  std::int64_t mInTime = 0;
  std::int64_t mOfferedAtPeak = 0;
  std::int64_t mInTimeAtPeak = 0;
  double mWork = 0.0;
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

BenchMeasures
RunBench(const BenchSite& aSite, BenchSetup aSetup, std::uint64_t aSeed)
{
  return BenchRun(aSite, aSetup, aSeed).Run();
}

} // namespace skylarkhill::testing
