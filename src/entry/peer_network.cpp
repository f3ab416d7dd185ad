#include "skylarkhill/entry/peer_network.hpp"

#include "skylarkhill/logging/logging.hpp"
#include "skylarkhill/peer/codec.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace skylarkhill::entry {

using base::ErrorKind;
using base::MakeError;
using requests::Candidate;
using timeline::EventKind;

namespace {

constexpr const char* kConfigStream = "config";
constexpr std::size_t kStatePageBytes = std::size_t{ 256 } << 10U;
constexpr base::Duration kMessageTimeout = std::chrono::seconds(5);
/// Low bits of a packed timestamp that hold the logical counter.
constexpr unsigned kLogicalBits = 12;

std::uint64_t
PackTimestamp(const timeline::HybridTimestamp& aTime)
{
  constexpr std::int64_t kMaxLogical = (1 << kLogicalBits) - 1;
  const auto logical = std::min(aTime.mLogical, kMaxLogical);
  return (static_cast<std::uint64_t>(aTime.mWallMicros) << kLogicalBits) |
         static_cast<std::uint64_t>(logical);
}

timeline::HybridTimestamp
UnpackTimestamp(std::uint64_t aPacked)
{
  constexpr std::uint64_t kMask = (1U << kLogicalBits) - 1;
  return { static_cast<std::int64_t>(aPacked >> kLogicalBits),
           static_cast<std::int64_t>(aPacked & kMask) };
}

peer::Heartbeat
ToMessage(const membership::Heartbeat& aHeartbeat)
{
  peer::Heartbeat message;
  message.mInstance = aHeartbeat.mInstance;
  message.mIncarnation = aHeartbeat.mIncarnation;
  message.mDomain = aHeartbeat.mDomain;
  message.mAddress = aHeartbeat.mAddress;
  message.mPeerPort = aHeartbeat.mPeerPort;
  message.mConfigVersion = aHeartbeat.mConfigVersion;
  for (const auto& it : aHeartbeat.mLeaving) {
    message.mLeaving.push_back(
      { it.mName, it.mIncarnation, it.mRemaining.count() });
  }
  for (const auto& it : aHeartbeat.mFreeSlots) {
    message.mFreeSlots.push_back({ it.first, it.second });
  }
  message.mHeldWorkers = aHeartbeat.mHeldWorkers;
  return message;
}

membership::Heartbeat
FromMessage(const peer::Heartbeat& aMessage)
{
  membership::Heartbeat heartbeat;
  heartbeat.mInstance = aMessage.mInstance;
  heartbeat.mIncarnation = aMessage.mIncarnation;
  heartbeat.mDomain = aMessage.mDomain;
  heartbeat.mAddress = aMessage.mAddress;
  heartbeat.mPeerPort = aMessage.mPeerPort;
  heartbeat.mConfigVersion = aMessage.mConfigVersion;
  for (const auto& it : aMessage.mLeaving) {
    heartbeat.mLeaving.push_back(
      { it.mName, it.mIncarnation, base::Duration(it.mRemainingMicros) });
  }
  for (const auto& it : aMessage.mFreeSlots) {
    heartbeat.mFreeSlots[it.mService] = it.mFreeSlots;
  }
  heartbeat.mHeldWorkers = aMessage.mHeldWorkers;
  return heartbeat;
}

} // namespace

PeerNetwork::PeerNetwork(PeerNetworkOptions aOptions,
                         platform::InstanceList& aInstanceList,
                         const base::Clock& aClock,
                         ConfigService& aConfig,
                         const Instruments& aInstruments)
  : mOptions(std::move(aOptions))
  , mInstanceList(aInstanceList)
  , mClock(aClock)
  , mConfig(aConfig)
  , mInstruments(aInstruments)
  , mView(mOptions.mSelf, mOptions.mView)
{
}

PeerNetwork::~PeerNetwork()
{
  Stop();
}

base::Result<void>
PeerNetwork::Start(RequestService& aRequests,
                   std::function<LocalStatus()> aGetLocalStatus)
{
  mRequests = &aRequests;
  mGetLocalStatus = std::move(aGetLocalStatus);
  BOOST_OUTCOME_TRY(
    transport, peer::CreateNngTransport(mOptions.mTransport, *this, mClock));
  mTransport = std::move(transport);
  UpdateAllowedPeers();
  mThreads.emplace_back([this] { RunHeartbeats(); });
  mThreads.emplace_back([this] { RunListFetches(); });
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void
PeerNetwork::Stop()
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
  if (mTransport != nullptr) {
    mTransport->Stop();
  }
}

bool
PeerNetwork::SleepUnlessStopping(base::Duration aTime)
{
  std::unique_lock lock(mMutex);
  mChanged.wait_for(lock, aTime, [this] { return mStopping; });
  return !mStopping;
}

void
PeerNetwork::RunHeartbeats()
{
  do {
    SendHeartbeats();
  } while (SleepUnlessStopping(mOptions.mView.mHeartbeatInterval));
}

void
PeerNetwork::RunListFetches()
{
  do {
    FetchInstanceList();
  } while (SleepUnlessStopping(mOptions.mListInterval));
}

void
PeerNetwork::FetchInstanceList()
{
  const base::TimePoint sentAt = mClock.Now();
  auto list = mInstanceList.Fetch(sentAt + mOptions.mListTimeout);
  if (!list) {
    mInstruments.mMetrics
      .GetCounter("skylarkhill_list_failures_total",
                  "Fetches of the platform's instance list that failed.")
      .Add();
    return;
  }
  {
    const std::lock_guard lock(mMutex);
    mListedInstances = std::move(list.value());
    mListReadAt = sentAt;
    mView.OnList(mListedInstances, mClock.Now());
    mView.Prune(mClock.Now());
  }
  UpdateAllowedPeers();
}

void
PeerNetwork::UpdateAllowedPeers()
{
  std::set<peer::PeerAddress> allowed = mOptions.mConfiguredPeers;
  {
    const std::lock_guard lock(mMutex);
    for (const auto& it : mListedInstances) {
      if (it.mRole == platform::InstanceRole::Entry &&
          it.mName != mOptions.mSelf.mInstance.mValue) {
        allowed.insert({ it.mAddress, it.mPeerPort });
      }
    }
  }
  allowed.erase({ mOptions.mSelf.mAddress, mOptions.mSelf.mPeerPort });
  mTransport->SetAllowedPeers(allowed);
}

void
PeerNetwork::SendHeartbeats()
{
  const LocalStatus status = mGetLocalStatus();
  membership::Heartbeat heartbeat;
  heartbeat.mInstance = mOptions.mSelf.mInstance;
  heartbeat.mIncarnation = mOptions.mSelf.mIncarnation;
  heartbeat.mDomain = mOptions.mSelf.mDomain;
  heartbeat.mAddress = mOptions.mSelf.mAddress;
  heartbeat.mPeerPort = mOptions.mSelf.mPeerPort;
  heartbeat.mConfigVersion = mConfig.Current().mVersion;
  heartbeat.mFreeSlots = status.mFreeSlots;
  heartbeat.mHeldWorkers = status.mHeldWorkers;
  std::set<peer::PeerAddress> peers = mOptions.mConfiguredPeers;
  {
    const std::lock_guard lock(mMutex);
    heartbeat.mLeaving = mView.LeavingNotices(mClock.Now());
    for (const auto& it : mListedInstances) {
      if (it.mRole == platform::InstanceRole::Entry) {
        peers.insert({ it.mAddress, it.mPeerPort });
      }
    }
  }
  peers.erase({ mOptions.mSelf.mAddress, mOptions.mSelf.mPeerPort });
  peer::Heartbeat message = ToMessage(heartbeat);
  message.mHybridTimestamp = PackTimestamp(mInstruments.mHybridClock.Tick());
  const base::TimePoint deadline =
    mClock.Now() + 2 * mOptions.mView.mHeartbeatInterval;
  for (const auto& it : peers) {
    const auto sent =
      Send(it, message, deadline, peer::AgePolicy::AllowUnknown);
    static_cast<void>(sent);
  }
}

base::Result<void>
PeerNetwork::Send(const peer::PeerAddress& aPeer,
                  const peer::Message& aMessage,
                  base::TimePoint aDeadline,
                  peer::AgePolicy aAgePolicy)
{
  BOOST_OUTCOME_TRY(payload, peer::EncodeMessage(aMessage));
  return mTransport->Send(aPeer, std::move(payload), aDeadline, aAgePolicy);
}

void
PeerNetwork::OnMessage(peer::ReceivedMessage aMessage)
{
  const auto message = peer::DecodeMessage(aMessage.mPayload);
  if (!message) {
    mInstruments.mMetrics
      .GetCounter("skylarkhill_peer_messages_refused_total",
                  "Messages of peers that could not be decoded.")
      .Add();
    return;
  }
  std::visit(
    [&](const auto& aContent) {
      mInstruments.mHybridClock.Observe(
        UnpackTimestamp(aContent.mHybridTimestamp));
      Handle(aContent, aMessage);
    },
    message.value());
}

void
PeerNetwork::Handle(const peer::Heartbeat& aMessage,
                    const peer::ReceivedMessage& aReceived)
{
  const base::TimePoint now = mClock.Now();
  {
    const std::lock_guard lock(mMutex);
    mView.OnHeartbeat(FromMessage(aMessage), now);
    mLastHeartbeatAt[aMessage.mInstance] = now;
    if (mAppearedPeers.insert(aMessage.mInstance).second) {
      timeline::Event event;
      event.mKind = EventKind::MemberAppeared;
      event.mDomain = aMessage.mDomain;
      event.mDetail = aMessage.mInstance.mValue;
      mInstruments.mTimeline.Record(std::move(event));
    }
  }
  FetchConfigIfNewer(aMessage, aReceived.mFrom);
}

// A newer set normally arrives through the log; a peer is asked only while its
// version is newer than the one read by this instance.
void
PeerNetwork::FetchConfigIfNewer(const peer::Heartbeat& aHeartbeat,
                                const peer::PeerAddress& aPeer)
{
  if (aHeartbeat.mConfigVersion <= mConfig.Current().mVersion) {
    return;
  }
  peer::StateFetch fetch;
  {
    const std::lock_guard lock(mMutex);
    fetch.mFetchId = ++mConfigFetchId;
    mConfigPages.clear();
    mNextConfigPage = 0;
  }
  fetch.mStream = kConfigStream;
  fetch.mHybridTimestamp = PackTimestamp(mInstruments.mHybridClock.Tick());
  const auto sent = Send(aPeer,
                         fetch,
                         mClock.Now() + kMessageTimeout,
                         peer::AgePolicy::RequireKnown);
  static_cast<void>(sent);
}

void
PeerNetwork::Handle(const peer::StateFetch& aMessage,
                    const peer::ReceivedMessage& aReceived)
{
  if (aMessage.mStream != kConfigStream) {
    return;
  }
  const auto text = mConfig.Export();
  if (!text) {
    return;
  }
  const std::size_t size = text.value().size();
  for (std::size_t begin = 0; begin < size; begin += kStatePageBytes) {
    peer::StatePage page;
    page.mFetchId = aMessage.mFetchId;
    page.mStream = kConfigStream;
    page.mPageIndex = static_cast<std::int64_t>(begin / kStatePageBytes);
    page.mIsLast = begin + kStatePageBytes >= size;
    page.mPayload = text.value().substr(begin, kStatePageBytes);
    page.mHybridTimestamp = PackTimestamp(mInstruments.mHybridClock.Tick());
    const auto sent = Send(aReceived.mFrom,
                           page,
                           mClock.Now() + kMessageTimeout,
                           peer::AgePolicy::RequireKnown);
    if (!sent) {
      return;
    }
  }
}

void
PeerNetwork::Handle(const peer::StatePage& aMessage,
                    const peer::ReceivedMessage&)
{
  std::string text;
  {
    const std::lock_guard lock(mMutex);
    if (aMessage.mFetchId != mConfigFetchId ||
        aMessage.mPageIndex != mNextConfigPage) {
      return;
    }
    mConfigPages += aMessage.mPayload;
    ++mNextConfigPage;
    if (!aMessage.mIsLast) {
      return;
    }
    text = std::move(mConfigPages);
    mConfigPages.clear();
  }
  const auto imported = mConfig.Import(text);
  if (!imported) {
    logging::Write(logging::Level::Warning,
                   "peer_config_refused",
                   { { "detail", imported.error().mDetail } });
  }
}

void
PeerNetwork::Handle(const peer::ForwardRequest& aMessage,
                    const peer::ReceivedMessage& aReceived)
{
  requests::ForwardedAttempt attempt;
  attempt.mOrigin = aMessage.mOrigin;
  attempt.mOriginIncarnation = aMessage.mOriginIncarnation;
  attempt.mAttempt = aMessage.mAttempt;
  attempt.mRequest.mId = aMessage.mRequest;
  attempt.mRequest.mService = aMessage.mService;
  attempt.mRequest.mIdempotent = aMessage.mIdempotent;
  attempt.mRequest.mImportance = aMessage.mImportance;
  attempt.mRequest.mBody = aMessage.mBody;
  attempt.mRequest.mDeadline = aReceived.mDeadline;
  mRequests->OnForwarded(attempt);
}

void
PeerNetwork::Handle(const peer::ForwardResponse& aMessage,
                    const peer::ReceivedMessage&)
{
  requests::PeerAnswered answer;
  answer.mRequest = aMessage.mRequest;
  answer.mAttempt = aMessage.mAttempt;
  const base::Error error = MakeError(aMessage.mErrorKind, aMessage.mDetail);
  switch (aMessage.mOutcome) {
    case requests::Outcome::Completed:
      answer.mResult = requests::MakeCompleted(aMessage.mBody);
      break;
    case requests::Outcome::NotRun:
      answer.mResult = requests::MakeNotRun(error);
      break;
    case requests::Outcome::Unknown:
      answer.mResult = requests::MakeUnknown(error);
      break;
  }
  mRequests->OnPeerAnswered(answer);
}

std::optional<peer::PeerAddress>
PeerNetwork::AddressOf(const base::InstanceId& aInstance) const
{
  const std::lock_guard lock(mMutex);
  const auto* heartbeat = mView.FindPeer(aInstance);
  if (heartbeat == nullptr) {
    return std::nullopt;
  }
  return peer::PeerAddress{ heartbeat->mAddress, heartbeat->mPeerPort };
}

std::vector<Candidate>
PeerNetwork::Candidates(const std::string& aService) const
{
  const std::lock_guard lock(mMutex);
  const base::TimePoint now = mClock.Now();
  std::vector<Candidate> candidates;
  for (const auto& it : mLastHeartbeatAt) {
    const auto* heartbeat = mView.FindPeer(it.first);
    if (heartbeat == nullptr || !mView.IsLive(it.first, now)) {
      continue;
    }
    const auto slots = heartbeat->mFreeSlots.find(aService);
    if (slots == heartbeat->mFreeSlots.end()) {
      continue;
    }
    Candidate candidate;
    candidate.mTarget = { requests::TargetKind::Peer, it.first.mValue };
    candidate.mFreeSlots = slots->second;
    candidate.mReportedAt = it.second;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

base::Result<void>
PeerNetwork::Forward(const base::InstanceId& aPeer,
                     const requests::Request& aRequest,
                     std::int64_t aAttempt,
                     base::TimePoint aDeadline)
{
  const auto address = AddressOf(aPeer);
  if (!address) {
    return MakeError(ErrorKind::WorkerUnavailable,
                     "the address of the peer is unknown");
  }
  peer::ForwardRequest message;
  message.mOrigin = mOptions.mSelf.mInstance;
  message.mOriginIncarnation = mOptions.mSelf.mIncarnation;
  message.mRequest = aRequest.mId;
  message.mAttempt = aAttempt;
  message.mService = aRequest.mService;
  message.mIdempotent = aRequest.mIdempotent;
  message.mImportance = aRequest.mImportance;
  message.mBody = aRequest.mBody;
  message.mHybridTimestamp = PackTimestamp(mInstruments.mHybridClock.Tick());
  return Send(*address, message, aDeadline, peer::AgePolicy::RequireKnown);
}

void
PeerNetwork::SendResponse(const base::InstanceId& aPeer,
                          const base::RequestId& aRequest,
                          std::int64_t aAttempt,
                          const requests::RequestResult& aResult)
{
  const auto address = AddressOf(aPeer);
  if (!address) {
    return;
  }
  peer::ForwardResponse message;
  message.mRequest = aRequest;
  message.mAttempt = aAttempt;
  message.mOutcome = aResult.mOutcome;
  message.mErrorKind = aResult.mError.mKind;
  message.mDetail = aResult.mError.mDetail;
  message.mBody = aResult.mBody;
  message.mHybridTimestamp = PackTimestamp(mInstruments.mHybridClock.Tick());
  const auto sent = Send(*address,
                         message,
                         mClock.Now() + kMessageTimeout,
                         peer::AgePolicy::RequireKnown);
  static_cast<void>(sent);
}

// A claimant has the form "name/incarnation"; a restarted process has a new
// incarnation.
bool
PeerNetwork::IsAlive(const base::InstanceId& aClaimant) const
{
  const std::size_t slash = aClaimant.mValue.rfind('/');
  const base::InstanceId name{ aClaimant.mValue.substr(0, slash) };
  const std::string incarnation =
    slash == std::string::npos ? "" : aClaimant.mValue.substr(slash + 1);
  if (name == mOptions.mSelf.mInstance) {
    return incarnation == std::to_string(mOptions.mSelf.mIncarnation);
  }
  const std::lock_guard lock(mMutex);
  const auto* heartbeat = mView.FindPeer(name);
  return heartbeat != nullptr && mView.IsLive(name, mClock.Now()) &&
         std::to_string(heartbeat->mIncarnation) == incarnation;
}

void
PeerNetwork::AnnounceLeaving()
{
  {
    const std::lock_guard lock(mMutex);
    mView.MarkSelfLeaving(mClock.Now());
  }
  SendHeartbeats();
}

void
PeerNetwork::OnWorkerPolled(const base::WorkerId& aWorker, bool aLeaving)
{
  const std::lock_guard lock(mMutex);
  mView.OnWorkerPolled(aWorker, mOptions.mSelf.mDomain, aLeaving, mClock.Now());
}

std::vector<platform::InstanceInfo>
PeerNetwork::ListedInstances() const
{
  const std::lock_guard lock(mMutex);
  return mListedInstances;
}

bool
PeerNetwork::MayReceiveWork(const base::WorkerId& aWorker) const
{
  const std::lock_guard lock(mMutex);
  return mView.IsEligible(aWorker, mClock.Now());
}

bool
PeerNetwork::IsPreferredHolder(const base::WorkerId& aWorker) const
{
  const std::lock_guard lock(mMutex);
  const auto preferred = mView.PreferredHolder(aWorker, mClock.Now());
  return preferred && *preferred == mOptions.mSelf.mInstance;
}

std::vector<base::InstanceId>
PeerNetwork::LiveEntryInstances() const
{
  const std::lock_guard lock(mMutex);
  const base::TimePoint now = mClock.Now();
  std::vector<base::InstanceId> live{ mOptions.mSelf.mInstance };
  for (const auto& it : mLastHeartbeatAt) {
    if (mView.IsLive(it.first, now)) {
      live.push_back(it.first);
    }
  }
  return live;
}

std::optional<base::TimePoint>
PeerNetwork::AbsentSince(const base::WorkerId& aWorker) const
{
  const std::lock_guard lock(mMutex);
  return mView.AbsentSince(aWorker);
}

base::TimePoint
PeerNetwork::ListReadAt() const
{
  const std::lock_guard lock(mMutex);
  return mListReadAt;
}

std::optional<base::TimePoint>
PeerNetwork::LastSeen(const base::WorkerId& aWorker) const
{
  const std::lock_guard lock(mMutex);
  return mView.LastSeen(aWorker);
}

} // namespace skylarkhill::entry
