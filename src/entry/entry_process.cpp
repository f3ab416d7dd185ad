#include "skylarkhill/entry/entry_process.hpp"

#include "skylarkhill/entry/api_handler.hpp"
#include "skylarkhill/entry/batch_scheduler.hpp"
#include "skylarkhill/entry/config_service.hpp"
#include "skylarkhill/entry/peer_network.hpp"
#include "skylarkhill/entry/pool_membership.hpp"
#include "skylarkhill/entry/record_sender.hpp"
#include "skylarkhill/entry/request_service.hpp"
#include "skylarkhill/entry/task_service.hpp"
#include "skylarkhill/entry/worker_pool.hpp"
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

constexpr std::size_t kTimelineEvents = 20'000;
constexpr std::size_t kWorkerThreads = 16;
constexpr base::Duration kWorkerListInterval = milliseconds(250);
constexpr base::Duration kGrantRefreshInterval = milliseconds(200);
constexpr base::Duration kSnapshotInterval = std::chrono::seconds(5);
constexpr base::Duration kSnapshotTimeout = std::chrono::seconds(10);
constexpr base::Duration kDrainCheckInterval = milliseconds(20);
constexpr base::Duration kHandOverTimeout = std::chrono::seconds(10);

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
Incarnation()
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

journal::SiteStateSettings
MakeStateSettings(const settings::Settings& aSettings)
{
  journal::SiteStateSettings settings;
  settings.mRetentionMs = aSettings.mLog.mRetentionS * 1000;
  return settings;
}

journal::JournalServiceSettings
MakeJournalSettings(const settings::Settings& aSettings,
                    const std::string& aWriter)
{
  journal::JournalServiceSettings settings;
  settings.mWriter.mWriter = aWriter;
  settings.mWriter.mAppendBudgetPerSecond = aSettings.mLog.mAppendBudgetPerS;
  settings.mAppendTimeout = milliseconds(aSettings.mLog.mAppendTimeoutMs);
  return settings;
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
  const auto& from = aSettings.mHolder;
  options.mLease.mLeaseLength = milliseconds(from.mLeaseMs);
  options.mLease.mRenewInterval = milliseconds(from.mPollMs);
  // Every instance of the domain scans every worker that it does not hold, so
  // scans are rarer than the holder's polls.
  options.mLease.mScanInterval = milliseconds(from.mLeaseMs) / 2;
  options.mLease.mClockMargin = milliseconds(from.mClockMarginMs);
  // A worker that restarts forgets its leases; the old holder's renewal puts
  // its own back up to a lease length and a message delay later.
  options.mLease.mQuietPeriod =
    milliseconds(from.mLeaseMs + from.mMaxMessageDelayMs);
  options.mLease.mTakeoverDelay = milliseconds(from.mTakeoverDelayMs);
  options.mLease.mRequestTimeout = milliseconds(from.mPollMs);
  options.mRunner.mMaxMessageDelay = milliseconds(from.mMaxMessageDelayMs);
  options.mRunner.mTaskLease = milliseconds(aSettings.mTasks.mLeaseMs);
  options.mRunner.mCommandTimeout = milliseconds(from.mPollMs);
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
  // Claims of an earlier incarnation are not this one's.
  options.mInstance = { aWriter };
  options.mIncarnation = aIncarnation;
  options.mStandingLimit = aSettings.mRequests.mStandingLimit;
  options.mRetryBudgetPercent = aSettings.mRequests.mRetryBudgetPercent;
  options.mThreads = static_cast<std::size_t>(aSettings.mListen.mThreads);
  return options;
}

class EntryProcessImpl
  : public EntryProcess
  , public WorkerEvents
{
public:
  explicit EntryProcessImpl(const settings::Settings& aSettings)
    : mSettings(aSettings)
    , mClock(base::GetBootClock())
    , mIncarnation(static_cast<std::uint64_t>(Incarnation()))
    , mWriter(aSettings.mInstance.mName + "/" + std::to_string(mIncarnation))
    , mCausalClock(mClock, timeline::ReadBootTime(mClock))
    , mTimeline({ aSettings.mInstance.mName }, kTimelineEvents, mCausalClock)
    , mInstruments{ mMetrics, mTimeline, mCausalClock }
    , mLog(platform::CreateHttpLogService(PlatformAddress(),
                                          PlatformPort(),
                                          mClock))
    , mList(platform::CreateHttpInstanceList(PlatformAddress(),
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
             *mList,
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
    , mRecords(mJournal, mClock)
    , mScheduler(MakeSchedulerOptions(aSettings),
                 mClock,
                 mWorkers,
                 mConfig,
                 mState,
                 mPeers,
                 mRecords,
                 mInstruments)
    , mApi({ { aSettings.mInstance.mName },
             aSettings.mOperator.mCredential,
             [this] { return IsReady(); } },
           mClock,
           mRequests,
           mTasks,
           mConfig,
           mInstruments)
    , mPlanner(MakePlannerSettings(aSettings))
  {
  }

  ~EntryProcessImpl() override { StopAll(); }

  base::Result<void> Start() override
  {
    Record(EventKind::InstanceStarted, {});
    BOOST_OUTCOME_TRYV(
      mPeers.Start(mRequests, [this] { return MakeLocalStatus(); }));
    mConfig.Start();
    mJournal.Start();
    mWorkers.Start(kWorkerThreads);
    mScheduler.Start();
    mThreads.emplace_back([this] { RunWorkerList(); });
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
    Record(EventKind::DrainStarted, {});
    logging::Write(logging::Level::Info, "drain_started", {});
    const base::TimePoint deadline =
      mClock.Now() + milliseconds(mSettings.mDrain.mDeadlineMs);
    mPeers.LeaveSelf();
    mRequests.StopAccepting();
    // The load balancer still sends requests until it has noticed; they are
    // answered as usual.
    Sleep(milliseconds(mSettings.mDrain.mBalancerNoticeMs));
    // No request in flight is cut, however long it takes.
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
    HandOverWorkers();
    mRecords.Drain(mClock.Now() + kHandOverTimeout);
    mJournal.Drain(mClock.Now() + kHandOverTimeout);
    Record(EventKind::DrainCompleted, {});
    logging::Write(logging::Level::Info, "drain_completed", {});
    StopAll();
  }

private:
  std::string PlatformAddress() const { return mSettings.mPlatform.mAddress; }
  std::uint16_t PlatformPort() const
  {
    return static_cast<std::uint16_t>(mSettings.mPlatform.mPort);
  }

  static journal::SnapshotPlannerSettings MakePlannerSettings(
    const settings::Settings& aSettings)
  {
    journal::SnapshotPlannerSettings settings;
    settings.mSelf = { aSettings.mInstance.mName };
    settings.mRetentionMs = aSettings.mLog.mRetentionS * 1000;
    return settings;
  }

  http::ServerOptions MakeServerOptions() const
  {
    const auto& from = mSettings.mListen;
    http::ServerOptions options;
    options.mAddress = from.mAddress;
    options.mPort = static_cast<std::uint16_t>(from.mPort);
    options.mTls.mCertificateFile = from.mCertificate;
    options.mTls.mKeyFile = from.mKey;
    options.mTls.mCaFile = from.mCa;
    options.mMaxThreads = static_cast<std::size_t>(from.mThreads);
    options.mMaxRequests = static_cast<std::size_t>(from.mMaxRequests);
    options.mMaxBodyBytes = static_cast<std::size_t>(from.mMaxBodyBytes);
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

  bool Pause(base::Duration aTime)
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

  void HandOverWorkers()
  {
    const base::TimePoint deadline = mClock.Now() + kHandOverTimeout;
    const auto agents = mWorkers.All();
    for (const auto& it : agents) {
      it->BeginRelease();
    }
    const auto isReleased = [](const WorkerPool::AgentPtr& aAgent) {
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
      if (it->Status().mHeld) {
        status.mHeldWorkers.push_back(it->Place().mWorker);
      }
    }
    return status;
  }

  void RunWorkerList()
  {
    do {
      UpdateWorkers();
      mJournal.SetLiveInstances(
        static_cast<std::int64_t>(mPeers.LiveEntries().size()));
    } while (Pause(kWorkerListInterval));
  }

  // Agents of workers that left the list stay: a worker that returns is polled
  // again, and its lost attempts can be ended.
  void UpdateWorkers()
  {
    const base::DomainId domain{ mSettings.mInstance.mDomain };
    for (const auto& it : mPeers.ListedInstances()) {
      const bool isOwn =
        it.mRole == platform::InstanceRole::Worker && it.mDomain == domain;
      if (isOwn && mWorkers.Find({ it.mName }) == nullptr) {
        AddWorker(it);
      }
    }
    const ConfigView config = mConfig.Current();
    std::int64_t held = 0;
    for (const auto& it : mWorkers.All()) {
      it->SetPreferred(mPeers.IsPreferredHolder(it->Place().mWorker));
      it->SetServiceReserve(ReserveOn(config, it->Place()));
      held += it->Status().mHeld ? 1 : 0;
    }
    mMetrics
      .GetGauge("skylarkhill_workers_held", "Workers that this instance holds.")
      .Set(held);
  }

  static base::Resources ReserveOn(const ConfigView& aConfig,
                                   const WorkerPlace& aPlace)
  {
    base::Resources reserve;
    aConfig.mSet->ForEach<catalog::Service>(
      [&](const catalog::Service& aService) {
        if (Serves(*aConfig.mSet, aService, aPlace)) {
          reserve += aService.mReserve;
        }
      });
    return reserve;
  }

  void AddWorker(const platform::InstanceEntry& aEntry)
  {
    auto port =
      worker::CreateHttpRemoteWorker(aEntry.mAddress, aEntry.mPort, mClock);
    const std::uint64_t seed = base::CreateSystemRandom()->Next();
    mWorkers.Add(std::make_shared<WorkerAgent>(
      WorkerPlace{ { aEntry.mName }, aEntry.mDomain, aEntry.mRack },
      MakeAgentOptions(mSettings),
      std::move(port),
      mClock,
      seed,
      *this));
  }

  void RefreshGrants(WorkerAgent& aAgent)
  {
    const base::TimePoint now = mClock.Now();
    // Read before the grants, so that these are at least as new.
    const platform::Offset position = mState.Position();
    const base::TimePoint caughtUpAsOf = mState.CaughtUpTime();
    {
      const std::lock_guard lock(mRefreshMutex);
      Refresh& last = mRefreshes[aAgent.Place().mWorker];
      if (last.mPosition == position && now < last.mDueAt) {
        return;
      }
      last = { position, now + kGrantRefreshInterval };
    }
    aAgent.SetGrants(
      mScheduler.GrantsOn(aAgent.Place().mWorker), caughtUpAsOf, position);
  }

  void RunSnapshots()
  {
    while (Pause(kSnapshotInterval)) {
      if (!mState.IsReady()) {
        continue;
      }
      const auto records = mPlanner.Plan(
        mState, mPeers.LiveEntries(), journal::GetSystemWallClock().NowMs());
      if (!records.empty()) {
        // A snapshot that is not written is planned again later.
        const auto offset =
          mJournal.Submit(records, mClock.Now() + kSnapshotTimeout);
        static_cast<void>(offset);
      }
    }
  }

  void OnHolderChange(WorkerAgent& aAgent, bool aHeld) override
  {
    const base::WorkerId& worker = aAgent.Place().mWorker;
    Record(aHeld
             ? EventKind::HolderAcquired
             : (mDraining ? EventKind::HolderReleased : EventKind::HolderLost),
           worker);
    logging::Write(logging::Level::Info,
                   aHeld ? "holder_acquired" : "holder_ended",
                   { { "worker", worker.mValue } });
  }

  void OnReport(WorkerAgent& aAgent,
                const worker::WorkerReport& aReport) override
  {
    mPeers.OnWorkerEvidence(aAgent.Place().mWorker, aReport.mLeaving);
    const WorkerStatus status = aAgent.Status();
    if (status.mHeld) {
      mScheduler.OnReport(status);
    }
  }

  void OnRecord(WorkerAgent& aAgent, const tasks::TaskRecord& aRecord) override
  {
    const base::WorkerId worker = aAgent.Place().mWorker;
    std::optional<worker::TaskKey> ended;
    if (const auto* end = std::get_if<tasks::EndRecord>(&aRecord)) {
      ended = worker::TaskKey{ end->mTask, end->mAttempt };
      mScheduler.OnEnd(aAgent, *end);
    } else if (const auto* started =
                 std::get_if<tasks::StartedRecord>(&aRecord)) {
      timeline::Event event;
      event.mKind = EventKind::AttemptStarted;
      event.mTask = started->mTask;
      event.mAttempt = started->mAttempt;
      event.mWorker = worker;
      mTimeline.Record(std::move(event));
    }
    mRecords.Send(aRecord, [this, worker, ended](bool aAppended) {
      const auto agent = mWorkers.Find(worker);
      if (!aAppended && ended && agent != nullptr) {
        agent->OnRecordDropped(*ended);
      }
    });
  }

  void Record(EventKind aKind, const base::WorkerId& aWorker)
  {
    timeline::Event event;
    event.mKind = aKind;
    event.mWorker = aWorker;
    event.mDomain = { mSettings.mInstance.mDomain };
    mTimeline.Record(std::move(event));
  }

  struct Refresh
  {
    platform::Offset mPosition = -1;
    base::TimePoint mDueAt;
  };

  const settings::Settings mSettings;
  const base::Clock& mClock;
  const std::uint64_t mIncarnation;
  const std::string mWriter;
  timeline::HybridLogicalClock mCausalClock;
  timeline::Timeline mTimeline;
  metrics::Registry mMetrics;
  const Instruments mInstruments;
  const std::unique_ptr<platform::LogService> mLog;
  const std::unique_ptr<platform::InstanceList> mList;
  ConfigService mConfig;
  journal::SiteState mState;
  journal::JournalService mJournal;
  PeerNetwork mPeers;
  WorkerPool mWorkers;
  RequestService mRequests;
  TaskService mTasks;
  RecordSender mRecords;
  BatchScheduler mScheduler;
  ApiHandler mApi;
  journal::SnapshotPlanner mPlanner;
  std::unique_ptr<http::Server> mServer;

  std::mutex mRefreshMutex;
  std::map<base::WorkerId, Refresh> mRefreshes;

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
