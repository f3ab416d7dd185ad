#include "skylarkhill/entry/entry_process.hpp"

#include "skylarkhill/entry/api_handler.hpp"
#include "skylarkhill/entry/batch_scheduler.hpp"
#include "skylarkhill/entry/config_service.hpp"
#include "skylarkhill/entry/peer_network.hpp"
#include "skylarkhill/entry/pool_membership.hpp"
#include "skylarkhill/entry/record_appender.hpp"
#include "skylarkhill/entry/request_service.hpp"
#include "skylarkhill/entry/task_service.hpp"
#include "skylarkhill/entry/worker_manager.hpp"
#include "skylarkhill/journal/snapshot_planner.hpp"
#include "skylarkhill/logging/logging.hpp"
#include "skylarkhill/platform/http_platform.hpp"
#include "skylarkhill/worker/http_remote_worker.hpp"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <set>
#include <thread>
#include <utility>

namespace skylarkhill::entry {

using std::chrono::milliseconds;
using timeline::EventKind;

namespace {

constexpr std::size_t kMaxTimelineEvents = 20'000;
constexpr std::size_t kAgentThreads = 16;
constexpr base::Duration kWorkerListInterval = milliseconds(250);
constexpr base::Duration kGrantRefreshInterval = milliseconds(200);
constexpr base::Duration kSnapshotInterval = std::chrono::seconds(5);
constexpr base::Duration kSnapshotTimeout = std::chrono::seconds(10);
constexpr base::Duration kDrainCheckInterval = milliseconds(20);
constexpr base::Duration kDrainStepTimeout = std::chrono::seconds(10);

peer::PeerAddress
ParsePeerAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  std::string host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  std::from_chars(aText.data() + colon + 1, end, port);
  return { host, port };
}

std::int64_t
MakeIncarnation()
{
  return journal::GetSystemWallClock().NowMs();
}

ConfigServiceOptions
MakeConfigOptions(const settings::Settings& aSettings,
                  const std::string& aWriter)
{
  ConfigServiceOptions options;
  options.mWriter = aWriter;
  options.mAppendTimeout = milliseconds(aSettings.mLog.mAppendTimeoutMs);
  options.mSnapshotAge = std::chrono::seconds(aSettings.mLog.mRetentionS) / 2;
  return options;
}

journal::SiteStateOptions
MakeStateSettings(const settings::Settings& aSettings)
{
  journal::SiteStateOptions options;
  options.mRetentionMs = aSettings.mLog.mRetentionS * 1000;
  return options;
}

journal::JournalServiceOptions
MakeJournalSettings(const settings::Settings& aSettings,
                    const std::string& aWriter)
{
  journal::JournalServiceOptions options;
  options.mWriterOptions.mWriter = aWriter;
  options.mWriterOptions.mAppendBudgetPerSecond =
    aSettings.mLog.mAppendBudgetPerS;
  options.mAppendTimeout = milliseconds(aSettings.mLog.mAppendTimeoutMs);
  return options;
}

PeerNetworkOptions
MakePeerOptions(const settings::Settings& aSettings, std::uint64_t aIncarnation)
{
  PeerNetworkOptions options;
  options.mSelf.mInstance = { aSettings.mInstance.mName };
  options.mSelf.mIncarnation = aIncarnation;
  options.mSelf.mDomain = { aSettings.mInstance.mDomain };
  options.mSelf.mAddress = aSettings.mListen.mAddress;
  options.mSelf.mPeerPort =
    static_cast<std::uint16_t>(aSettings.mListen.mPeerPort);
  options.mTransport.mAddress = aSettings.mListen.mAddress;
  options.mTransport.mPort = options.mSelf.mPeerPort;
  for (const auto& it : aSettings.mPeers.mAddresses) {
    options.mConfiguredPeers.insert(ParsePeerAddress(it));
  }
  return options;
}

WorkerAgentOptions
MakeAgentOptions(const settings::Settings& aSettings)
{
  WorkerAgentOptions options;
  options.mInstance = { aSettings.mInstance.mName };
  const auto& holderSettings = aSettings.mHolder;
  options.mLease.mLeaseDuration = milliseconds(holderSettings.mLeaseMs);
  options.mLease.mRenewInterval = milliseconds(holderSettings.mPollMs);
  // Every instance of the failure domain scans all workers that it does not
  // hold, so scans are less frequent than the holder's polls.
  options.mLease.mScanInterval = milliseconds(holderSettings.mLeaseMs) / 2;
  options.mLease.mClockMargin = milliseconds(holderSettings.mClockMarginMs);
  // A restarted worker has forgotten its leases; a renewal by the previous
  // holder may restore one up to a lease length plus a message delay later.
  options.mLease.mQuietPeriod =
    milliseconds(holderSettings.mLeaseMs + holderSettings.mMaxMessageDelayMs);
  options.mLease.mTakeoverDelay = milliseconds(holderSettings.mTakeoverDelayMs);
  options.mLease.mRequestTimeout = milliseconds(holderSettings.mPollMs);
  options.mRunner.mMaxMessageDelay =
    milliseconds(holderSettings.mMaxMessageDelayMs);
  options.mRunner.mTaskLease = milliseconds(aSettings.mTasks.mLeaseMs);
  options.mRunner.mCommandTimeout = milliseconds(holderSettings.mPollMs);
  return options;
}

BatchSchedulerOptions
MakeSchedulerOptions(const settings::Settings& aSettings)
{
  BatchSchedulerOptions options;
  options.mInstance = { aSettings.mInstance.mName };
  options.mDomain = { aSettings.mInstance.mDomain };
  options.mTaskLease = milliseconds(aSettings.mTasks.mLeaseMs);
  return options;
}

RequestServiceOptions
MakeRequestOptions(const settings::Settings& aSettings,
                   const std::string& aWriter,
                   std::uint64_t aIncarnation)
{
  RequestServiceOptions options;
  // Includes the incarnation, so that this process does not own the claims of
  // an earlier one.
  options.mClaimant = { aWriter };
  options.mIncarnation = aIncarnation;
  options.mStandingLimit = aSettings.mRequests.mStandingLimit;
  options.mRetryBudgetPercent = aSettings.mRequests.mRetryBudgetPercent;
  options.mMaxThreads = static_cast<std::size_t>(aSettings.mListen.mThreads);
  return options;
}

class EntryProcessImpl
  : public EntryProcess
  , public WorkerListener
{
public:
  explicit EntryProcessImpl(const settings::Settings& aSettings)
    : mSettings(aSettings)
    , mClock(base::GetBootClock())
    , mIncarnation(static_cast<std::uint64_t>(MakeIncarnation()))
    , mWriter(aSettings.mInstance.mName + "/" + std::to_string(mIncarnation))
    , mHybridClock(mClock, timeline::ReadClockEpoch(mClock))
    , mTimeline({ aSettings.mInstance.mName }, kMaxTimelineEvents, mHybridClock)
    , mInstruments{ mMetrics, mTimeline, mHybridClock }
    , mLog(platform::CreateHttpLogService(PlatformAddress(),
                                          PlatformPort(),
                                          mClock))
    , mInstanceList(platform::CreateHttpInstanceList(PlatformAddress(),
                                                     PlatformPort(),
                                                     mClock))
    , mConfig(MakeConfigOptions(aSettings, mWriter),
              *mLog,
              mClock,
              mInstruments)
    , mState(MakeStateSettings(aSettings))
    , mJournal(MakeJournalSettings(aSettings, mWriter),
               *mLog,
               mState,
               mClock,
               journal::GetSystemWallClock())
    , mPeers(MakePeerOptions(aSettings, mIncarnation),
             *mInstanceList,
             mClock,
             mConfig,
             mInstruments)
    , mWorkers(mClock, [this](WorkerAgent& aAgent) { RefreshGrants(aAgent); })
    , mRequests(MakeRequestOptions(aSettings, mWriter, mIncarnation),
                mClock,
                mWorkers,
                mConfig,
                mJournal,
                mState,
                mPeers,
                mInstruments)
    , mTasks(mClock, mConfig, mJournal, mState, mInstruments)
    , mRecordAppender(mJournal, mClock)
    , mScheduler(MakeSchedulerOptions(aSettings),
                 mClock,
                 mWorkers,
                 mConfig,
                 mState,
                 mPeers,
                 mRecordAppender,
                 mInstruments)
    , mApi({ { aSettings.mInstance.mName },
             aSettings.mOperator.mCredential,
             [this] { return IsReady(); } },
           mClock,
           mRequests,
           mTasks,
           mConfig,
           mInstruments)
    , mSnapshotPlanner(MakePlannerSettings(aSettings))
  {
  }

  ~EntryProcessImpl() override { StopAll(); }

  base::Result<void> Start() override
  {
    RecordEvent(EventKind::InstanceStarted, {});
    BOOST_OUTCOME_TRYV(
      mPeers.Start(mRequests, [this] { return MakeLocalStatus(); }));
    mConfig.Start();
    mJournal.Start();
    mWorkers.Start(kAgentThreads);
    mScheduler.Start();
    mThreads.emplace_back([this] { RunWorkerUpdates(); });
    mThreads.emplace_back([this] { RunSnapshots(); });
    BOOST_OUTCOME_TRY(server, http::CreateServer(MakeServerOptions(), mApi));
    mServer = std::move(server);
    logging::Write(logging::Level::Info,
                   "instance_started",
                   { { "instance", mSettings.mInstance.mName },
                     { "domain", mSettings.mInstance.mDomain },
                     { "port", mSettings.mListen.mPort } });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void Drain() override
  {
    mDraining = true;
    RecordEvent(EventKind::DrainStarted, {});
    logging::Write(logging::Level::Info, "drain_started", {});
    const base::TimePoint deadline =
      mClock.Now() + milliseconds(mSettings.mDrain.mDeadlineMs);
    mPeers.AnnounceLeaving();
    mRequests.StopAccepting();
    // Until the load balancer notices, it still sends requests, which are
    // answered as usual.
    Sleep(milliseconds(mSettings.mDrain.mBalancerNoticeMs));
    // Requests in flight are never aborted; exceeding the deadline only logs a
    // warning.
    bool isOverdue = false;
    while (mRequests.CountInProgress() > 0) {
      if (!isOverdue && mClock.Now() >= deadline) {
        isOverdue = true;
        logging::Write(logging::Level::Warning,
                       "drain_overdue",
                       { { "requests", mRequests.CountInProgress() } });
      }
      Sleep(kDrainCheckInterval);
    }
    mServer->Stop();
    mScheduler.Stop();
    ReleaseWorkers();
    mRecordAppender.WaitUntilEmpty(mClock.Now() + kDrainStepTimeout);
    mJournal.Drain(mClock.Now() + kDrainStepTimeout);
    RecordEvent(EventKind::DrainCompleted, {});
    logging::Write(logging::Level::Info, "drain_completed", {});
    StopAll();
  }

private:
  std::string PlatformAddress() const { return mSettings.mPlatform.mAddress; }
  std::uint16_t PlatformPort() const
  {
    return static_cast<std::uint16_t>(mSettings.mPlatform.mPort);
  }

  static journal::SnapshotPlannerOptions MakePlannerSettings(
    const settings::Settings& aSettings)
  {
    journal::SnapshotPlannerOptions options;
    options.mSelf = { aSettings.mInstance.mName };
    options.mRetentionMs = aSettings.mLog.mRetentionS * 1000;
    return options;
  }

  http::ServerOptions MakeServerOptions() const
  {
    const auto& listenSettings = mSettings.mListen;
    http::ServerOptions options;
    options.mAddress = listenSettings.mAddress;
    options.mPort = static_cast<std::uint16_t>(listenSettings.mPort);
    options.mTls.mCertificateFile = listenSettings.mCertificate;
    options.mTls.mKeyFile = listenSettings.mKey;
    options.mTls.mCaFile = listenSettings.mCa;
    options.mMaxThreads = static_cast<std::size_t>(listenSettings.mThreads);
    options.mMaxRequests =
      static_cast<std::size_t>(listenSettings.mMaxRequests);
    options.mMaxBodyBytes =
      static_cast<std::size_t>(listenSettings.mMaxBodyBytes);
    return options;
  }

  bool IsReady() const
  {
    return !mDraining && mConfig.IsReady() && mState.IsReady();
  }

  static void Sleep(base::Duration aTime)
  {
    std::this_thread::sleep_for(aTime);
  }

  /// Returns false if the process is stopping.
  bool SleepUnlessStopping(base::Duration aTime)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait_for(lock, aTime, [this] { return mStopping; });
    return !mStopping;
  }

  void StopAll()
  {
    {
      const std::lock_guard lock(mMutex);
      mStopping = true;
    }
    mChanged.notify_all();
    for (auto& it : mThreads) {
      it.join();
    }
    mThreads.clear();
    if (mServer != nullptr) {
      mServer->Stop();
    }
    mScheduler.Stop();
    mWorkers.Stop();
    mPeers.Stop();
    mJournal.Stop();
    mConfig.Stop();
  }

  void ReleaseWorkers()
  {
    const base::TimePoint deadline = mClock.Now() + kDrainStepTimeout;
    const auto agents = mWorkers.All();
    for (const auto& it : agents) {
      it->BeginRelease();
    }
    const auto isReleased = [](const WorkerManager::AgentPtr& aAgent) {
      return aAgent->IsReleased();
    };
    while (!std::all_of(agents.begin(), agents.end(), isReleased) &&
           mClock.Now() < deadline) {
      Sleep(kDrainCheckInterval);
    }
  }

  LocalStatus MakeLocalStatus() const
  {
    LocalStatus status;
    status.mFreeSlots =
      mDraining ? std::map<std::string, std::int64_t>() : mRequests.FreeSlots();
    for (const auto& it : mWorkers.All()) {
      if (it->Status().mUsable) {
        status.mHeldWorkers.push_back(it->Location().mWorker);
      }
    }
    return status;
  }

  void RunWorkerUpdates()
  {
    do {
      UpdateWorkers();
      mJournal.SetLiveInstances(
        static_cast<std::int64_t>(mPeers.LiveEntryInstances().size()));
    } while (SleepUnlessStopping(kWorkerListInterval));
  }

  // Agents of workers that have left the list are kept, so that a returning
  // worker is polled again and the attempts of a lost one can be ended.
  void UpdateWorkers()
  {
    const base::DomainId domain{ mSettings.mInstance.mDomain };
    for (const auto& it : mPeers.ListedInstances()) {
      const bool isLocal =
        it.mRole == platform::InstanceRole::Worker && it.mDomain == domain;
      if (isLocal && mWorkers.Find({ it.mName }) == nullptr) {
        AddWorker(it);
      }
    }
    const ConfigView config = mConfig.Current();
    std::int64_t held = 0;
    for (const auto& it : mWorkers.All()) {
      it->SetPreferred(mPeers.IsPreferredHolder(it->Location().mWorker));
      it->SetServiceReserve(ServiceReserveOn(config, it->Location()));
      held += it->Status().mUsable ? 1 : 0;
    }
    mMetrics
      .GetGauge("skylarkhill_workers_held", "Workers that this instance holds.")
      .Set(held);
  }

  static base::Resources ServiceReserveOn(const ConfigView& aConfig,
                                          const WorkerLocation& aLocation)
  {
    base::Resources reserve;
    aConfig.mSet->ForEach<catalog::Service>(
      [&](const catalog::Service& aService) {
        if (Serves(*aConfig.mSet, aService, aLocation)) {
          reserve += aService.mReserve;
        }
      });
    return reserve;
  }

  void AddWorker(const platform::InstanceInfo& aWorker)
  {
    auto remoteWorker =
      worker::CreateHttpRemoteWorker(aWorker.mAddress, aWorker.mPort, mClock);
    const std::uint64_t seed = base::CreateSystemRandom()->Next();
    mWorkers.Add(std::make_shared<WorkerAgent>(
      WorkerLocation{ { aWorker.mName }, aWorker.mDomain, aWorker.mRack },
      MakeAgentOptions(mSettings),
      std::move(remoteWorker),
      mClock,
      seed,
      *this));
  }

  void RefreshGrants(WorkerAgent& aAgent)
  {
    const base::TimePoint now = mClock.Now();
    // Read before the grants, so that the grants are at least as new.
    const platform::Offset position = mState.NextOffset();
    const base::TimePoint caughtUpTime = mState.CaughtUpTime();
    {
      const std::lock_guard lock(mGrantRefreshMutex);
      GrantRefresh& last = mGrantRefreshes[aAgent.Location().mWorker];
      if (last.mPosition == position && now < last.mDueAt) {
        return;
      }
      last = { position, now + kGrantRefreshInterval };
    }
    aAgent.SetGrants(mScheduler.LiveAttemptsOn(aAgent.Location().mWorker),
                     caughtUpTime,
                     position);
  }

  void RunSnapshots()
  {
    while (SleepUnlessStopping(kSnapshotInterval)) {
      if (!mState.IsReady()) {
        continue;
      }
      const auto records =
        mSnapshotPlanner.Plan(mState,
                              mPeers.LiveEntryInstances(),
                              journal::GetSystemWallClock().NowMs());
      if (!records.empty()) {
        // A snapshot whose append fails is planned again later.
        const auto offset =
          mJournal.Submit(records, mClock.Now() + kSnapshotTimeout);
        static_cast<void>(offset);
      }
    }
  }

  void OnHolderChange(WorkerAgent& aAgent, bool aHeld) override
  {
    const base::WorkerId& worker = aAgent.Location().mWorker;
    RecordEvent(
      aHeld ? EventKind::HolderAcquired
            : (mDraining ? EventKind::HolderReleased : EventKind::HolderLost),
      worker);
    logging::Write(logging::Level::Info,
                   aHeld ? "holder_acquired" : "holder_ended",
                   { { "worker", worker.mValue } });
  }

  void OnReport(WorkerAgent& aAgent,
                const worker::WorkerReport& aReport) override
  {
    mPeers.OnWorkerPolled(aAgent.Location().mWorker, aReport.mLeaving);
    const WorkerStatus status = aAgent.Status();
    if (status.mUsable) {
      mScheduler.OnReport(status);
    }
  }

  void OnRecord(WorkerAgent& aAgent, const tasks::TaskRecord& aRecord) override
  {
    const base::WorkerId worker = aAgent.Location().mWorker;
    std::optional<worker::AttemptKey> ended;
    if (const auto* end = std::get_if<tasks::EndRecord>(&aRecord)) {
      ended = worker::AttemptKey{ end->mTask, end->mAttempt };
      mScheduler.OnAttemptEnded(aAgent, *end);
    } else if (const auto* started =
                 std::get_if<tasks::StartedRecord>(&aRecord)) {
      timeline::Event event;
      event.mKind = EventKind::AttemptStarted;
      event.mTask = started->mTask;
      event.mAttempt = started->mAttempt;
      event.mWorker = worker;
      mTimeline.Record(std::move(event));
    }
    mRecordAppender.Append(aRecord, [this, worker, ended](bool aAppended) {
      const auto agent = mWorkers.Find(worker);
      if (!aAppended && ended && agent != nullptr) {
        agent->OnEndRecordNotAppended(*ended);
      }
    });
  }

  void RecordEvent(EventKind aKind, const base::WorkerId& aWorker)
  {
    timeline::Event event;
    event.mKind = aKind;
    event.mWorker = aWorker;
    event.mDomain = { mSettings.mInstance.mDomain };
    mTimeline.Record(std::move(event));
  }

  struct GrantRefresh
  {
    platform::Offset mPosition = -1;
    base::TimePoint mDueAt;
  };

  const settings::Settings mSettings;
  const base::Clock& mClock;
  const std::uint64_t mIncarnation;
  const std::string mWriter;
  timeline::HybridLogicalClock mHybridClock;
  timeline::Timeline mTimeline;
  metrics::Registry mMetrics;
  const Instruments mInstruments;
  const std::unique_ptr<platform::LogService> mLog;
  const std::unique_ptr<platform::InstanceList> mInstanceList;
  ConfigService mConfig;
  journal::SiteState mState;
  journal::JournalService mJournal;
  PeerNetwork mPeers;
  WorkerManager mWorkers;
  RequestService mRequests;
  TaskService mTasks;
  RecordAppender mRecordAppender;
  BatchScheduler mScheduler;
  ApiHandler mApi;
  journal::SnapshotPlanner mSnapshotPlanner;
  std::unique_ptr<http::Server> mServer;

  std::mutex mGrantRefreshMutex;
  std::map<base::WorkerId, GrantRefresh> mGrantRefreshes;

  std::atomic<bool> mDraining{ false };
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace

std::unique_ptr<EntryProcess>
CreateEntryProcess(const settings::Settings& aSettings)
{
  return std::make_unique<EntryProcessImpl>(aSettings);
}

} // namespace skylarkhill::entry
