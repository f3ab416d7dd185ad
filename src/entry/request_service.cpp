#include "skylarkhill/entry/request_service.hpp"

#include "skylarkhill/entry/pool_membership.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace skylarkhill::entry {

using base::ErrorKind;
using base::MakeError;
using base::TimePoint;
using requests::Candidate;
using requests::Outcome;
using requests::RequestResult;
using requests::TargetKind;
using timeline::EventKind;

namespace {

// A request whose deadline is further away than this counts as a standing
// request.
constexpr base::Duration kStandingThreshold = std::chrono::seconds(30);
// Three poll intervals at the default of 500 ms. A worker without a report for
// this long gets no new requests, well before the holder lease ends.
constexpr base::Duration kMaxReportAge = std::chrono::milliseconds(1500);
constexpr base::Duration kSlotCheckInterval = std::chrono::milliseconds(5);
// While the latency of a service is unknown, a hedge is sent after a third of
// the time to the deadline; without one, an unresponsive worker would use up
// all of it.
constexpr int kHedgeDeadlineDivisor = 3;
constexpr base::Duration kClaimCheckInterval = std::chrono::milliseconds(50);
constexpr base::Duration kCatchUpTimeout = std::chrono::milliseconds(250);
constexpr base::Duration kOutcomeAppendTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxInlineBodyBytes = 4096;

// NotHolder and NoCapacity are errors of this process: nothing was sent to the
// worker.
base::Error
ToAttemptError(const base::Error& aError)
{
  const bool isLocal = aError.mKind == ErrorKind::NotHolder ||
                       aError.mKind == ErrorKind::NoCapacity;
  return isLocal ? MakeError(ErrorKind::WorkerUnavailable,
                             std::string(base::NameOf(aError.mKind)))
                 : aError;
}

RequestResult
ToResult(const requests::OutcomeRecord& aRecord)
{
  if (aRecord.mOutcome == Outcome::Completed) {
    RequestResult result = requests::MakeCompleted(aRecord.mBody);
    result.mBodyOmitted = aRecord.mBodyOmitted;
    return result;
  }
  const base::Error error = MakeError(
    aRecord.mErrorKind, "recorded outcome of an earlier request with this key");
  return aRecord.mOutcome == Outcome::NotRun ? requests::MakeNotRun(error)
                                             : requests::MakeUnknown(error);
}

} // namespace

/// One request in progress. The thread that runs it processes its events.
struct RequestService::ActiveRequest
{
  ActiveRequest(requests::Request aRequest,
                const requests::RequestMachineOptions& aOptions,
                requests::RetryBudget& aBudget,
                const base::Clock& aClock,
                std::uint64_t aSeed)
    : mRandom(base::CreateSeededRandom(aSeed))
    , mMachine(std::move(aRequest), aOptions, aBudget, aClock, *mRandom)
  {
  }

  /// Queues an event for the thread that runs the request; false if the request
  /// has ended.
  bool Post(requests::RequestEvent aEvent)
  {
    const std::lock_guard lock(mMutex);
    mEvents.push_back(std::move(aEvent));
    mChanged.notify_all();
    return !mFinalResult;
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<requests::RequestEvent> mEvents;
  std::unique_ptr<base::Random> mRandom;
  requests::RequestMachine mMachine;
  /// The result of the state machine, set when it has finished.
  std::optional<RequestResult> mMachineResult;
  /// Targets of the attempts that count as in flight, by attempt number.
  std::map<std::int64_t, requests::Target> mTargets;
  /// The result returned to the caller; other requests with the same key wait
  /// for it.
  std::optional<RequestResult> mFinalResult;
};

RequestService::RequestService(RequestServiceOptions aOptions,
                               const base::Clock& aClock,
                               WorkerManager& aWorkers,
                               const ConfigService& aConfig,
                               journal::JournalService& aJournal,
                               const journal::SiteState& aState,
                               PeerClient& aPeers,
                               const Instruments& aInstruments)
  : mOptions(std::move(aOptions))
  , mClock(aClock)
  , mWorkers(aWorkers)
  , mConfig(aConfig)
  , mJournal(aJournal)
  , mState(aState)
  , mPeers(aPeers)
  , mInstruments(aInstruments)
  , mTargetPicker(requests::CreateTwoChoicesTargetPicker())
  , mRandom(base::CreateSystemRandom())
  , mForwarder(*mTargetPicker, mInFlight, aClock, *mRandom)
  , mSeedSource(base::CreateSystemRandom())
  , mThreadPool(mOptions.mMaxThreads)
{
}

RequestService::~RequestService() = default;

const catalog::Service*
RequestService::FindService(const ConfigView& aConfig,
                            const std::string& aName) const
{
  return aConfig.mSet->FindAs<catalog::Service>(aName);
}

ServiceAdmission&
RequestService::AdmissionFor(const std::string& aService)
{
  const std::lock_guard lock(mAdmissionsMutex);
  auto& admission = mAdmissions[aService];
  if (admission == nullptr) {
    ServiceAdmissionOptions options;
    options.mQueue.mMaxStanding =
      static_cast<std::size_t>(mOptions.mStandingLimit);
    const ConfigView config = mConfig.Current();
    if (const auto* service = FindService(config, aService)) {
      options.mQueue.mMaxEntries =
        static_cast<std::size_t>(service->mQueueLimit);
    }
    options.mRetryBudget.mRetryPercent = mOptions.mRetryBudgetPercent;
    admission = std::make_unique<ServiceAdmission>(options, mClock);
  }
  return *admission;
}

std::vector<Candidate>
RequestService::HeldWorkerCandidates(const std::string& aService) const
{
  const ConfigView config = mConfig.Current();
  const auto* service = FindService(config, aService);
  std::vector<Candidate> candidates;
  if (service == nullptr) {
    return candidates;
  }
  for (const auto& it : mWorkers.All()) {
    const WorkerStatus status = it->Status();
    if (!status.mUsable || !Serves(*config.mSet, *service, status.mLocation)) {
      continue;
    }
    Candidate candidate;
    candidate.mTarget = { TargetKind::HeldWorker,
                          status.mLocation.mWorker.mValue };
    candidate.mFreeSlots =
      std::min(status.mFreeCalls.mSlots, status.mFreeCalls.mConnections);
    // kNoDeadline: the free slots are never out of date, because the ledger
    // already counts the calls in flight.
    candidate.mReportedAt = base::kNoDeadline;
    // The platform's list or a peer may know that the worker is leaving before
    // the worker reports it.
    candidate.mLeaving =
      status.mLeaving || !mPeers.MayReceiveWork(status.mLocation.mWorker);
    const bool hasStaleReport =
      mClock.Now() - status.mReportedAt > kMaxReportAge;
    candidate.mBreakerOpen = !status.mAdmitsCalls || hasStaleReport;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

std::map<std::string, std::int64_t>
RequestService::FreeSlots() const
{
  std::map<std::string, std::int64_t> slots;
  const ConfigView config = mConfig.Current();
  config.mSet->ForEach<catalog::Service>([&](const catalog::Service& aService) {
    for (const auto& it : HeldWorkerCandidates(aService.mName)) {
      if (!it.mLeaving && !it.mBreakerOpen) {
        slots[aService.mName] += std::max<std::int64_t>(0, it.mFreeSlots);
      }
    }
  });
  return slots;
}

std::int64_t
RequestService::CountInProgress() const
{
  std::int64_t forwarded = 0;
  {
    const std::lock_guard lock(mForwardMutex);
    forwarded = mForwarder.CountRunning();
  }
  const std::lock_guard lock(mActiveRequestsMutex);
  return forwarded + static_cast<std::int64_t>(mActiveRequests.size());
}

void
RequestService::StopAccepting()
{
  const std::lock_guard lock(mForwardMutex);
  mForwarder.StopAccepting();
}

std::int64_t
RequestService::ReachableSlots(const std::string& aService) const
{
  std::int64_t slots = 0;
  for (const auto& it : mWorkers.All()) {
    const WorkerStatus status = it->Status();
    slots += status.mUsable ? status.mSlots : 0;
  }
  for (const auto& it : mPeers.Candidates(aService)) {
    slots += std::max<std::int64_t>(0, it.mFreeSlots);
  }
  return std::max<std::int64_t>(1, slots);
}

RequestResult
RequestService::Run(const requests::Request& aRequest, bool aIsFirstSend)
{
  const TimePoint startedAt = mClock.Now();
  const ConfigView config = mConfig.Current();
  const auto* service = FindService(config, aRequest.mService);
  if (service == nullptr) {
    return requests::MakeNotRun(
      MakeError(ErrorKind::NotFound, "no service '" + aRequest.mService + "'"));
  }
  ServiceAdmission& admission = AdmissionFor(aRequest.mService);
  requests::RequestMachineOptions options;
  options.mMaxAttempts = service->mMaxAttempts;
  options.mHedgeDelay = admission.HedgeDelay();
  if (options.mHedgeDelay.count() == 0) {
    options.mHedgeDelay =
      (aRequest.mDeadline - startedAt) / kHedgeDeadlineDivisor;
  }
  ActiveRequestPtr active;
  ActiveRequestPtr existing;
  {
    const std::lock_guard lock(mActiveRequestsMutex);
    ActiveRequestPtr& stored = mActiveRequests[aRequest.mId];
    existing = stored;
    if (existing == nullptr) {
      stored = std::make_shared<ActiveRequest>(
        aRequest, options, admission.Budget(), mClock, mSeedSource->Next());
      active = stored;
    }
  }
  if (existing != nullptr) {
    return AwaitResult(existing, aRequest.mDeadline);
  }
  RequestResult result = RunActiveRequest(active, startedAt);
  // If an earlier request with the key may have run, refusing this one must not
  // be reported as "not run".
  if (!aRequest.mIdempotent && !aIsFirstSend &&
      result.mOutcome == Outcome::NotRun &&
      !IsKnownNotRun(aRequest.mId, startedAt)) {
    result = requests::MakeUnknown(
      MakeError(ErrorKind::OutcomeUnknown,
                "refused before the key could be looked up: " +
                  std::string(base::NameOf(result.mError.mKind))));
  }
  {
    const std::lock_guard lock(active->mMutex);
    active->mFinalResult = result;
    active->mChanged.notify_all();
  }
  {
    const std::lock_guard lock(mActiveRequestsMutex);
    mActiveRequests.erase(aRequest.mId);
  }
  RecordResult(aRequest, result, startedAt);
  return result;
}

RequestResult
RequestService::RunActiveRequest(const ActiveRequestPtr& aActive,
                                 TimePoint aArrivedAt)
{
  const requests::Request& request = aActive->mMachine.GetRequest();
  const bool isStanding = request.mDeadline - aArrivedAt > kStandingThreshold;
  ServiceAdmission& admission = AdmissionFor(request.mService);
  const auto admitted =
    admission.Acquire(request, isStanding, ReachableSlots(request.mService));
  if (!admitted) {
    return requests::MakeNotRun(admitted.error());
  }
  const TimePoint admittedAt = mClock.Now();
  RequestResult result = ProcessEvents(aActive);
  admission.Release(isStanding,
                    mClock.Now() - admittedAt,
                    result.mOutcome == Outcome::Completed);
  const std::lock_guard lock(mForwardMutex);
  const std::lock_guard activeLock(aActive->mMutex);
  for (const auto& it : aActive->mTargets) {
    mInFlight.End(it.second, request.mId, it.first);
  }
  return result;
}

RequestResult
RequestService::AwaitResult(const ActiveRequestPtr& aActive,
                            TimePoint aDeadline) const
{
  std::unique_lock lock(aActive->mMutex);
  while (!aActive->mFinalResult && mClock.Now() < aDeadline) {
    aActive->mChanged.wait_for(lock, kClaimCheckInterval);
  }
  return aActive->mFinalResult
           ? *aActive->mFinalResult
           : requests::MakeUnknown(MakeError(ErrorKind::OutcomeUnknown));
}

// True if no request with the key can have run: either its recorded outcome
// says so, or no other instance claimed the key in any record appended before
// the request arrived.
bool
RequestService::IsKnownNotRun(const base::RequestId& aKey,
                              TimePoint aArrivedAt) const
{
  const requests::KeySnapshot key = mState.FindKey(aKey);
  if (key.mState == requests::KeyState::Finished) {
    return key.mOutcome->mOutcome == Outcome::NotRun;
  }
  const bool isOwnClaim = key.mClaimant == mOptions.mClaimant;
  const bool isUnclaimedByOthers =
    key.mState == requests::KeyState::Unclaimed || isOwnClaim;
  return isUnclaimedByOthers &&
         mState.WaitUntilCaughtUp(
           aArrivedAt, mClock, mClock.Now() + kCatchUpTimeout);
}

RequestResult
RequestService::ProcessEvents(const ActiveRequestPtr& aActive)
{
  requests::RequestActions actions = aActive->mMachine.Start();
  while (true) {
    for (const auto& it : actions) {
      Perform(aActive, it);
    }
    if (aActive->mMachine.IsFinished()) {
      break;
    }
    std::optional<requests::RequestEvent> event;
    {
      std::unique_lock lock(aActive->mMutex);
      const TimePoint now = mClock.Now();
      const TimePoint due = aActive->mMachine.NextWakeUp();
      if (aActive->mEvents.empty() && due > now) {
        aActive->mChanged.wait_for(
          lock, std::min<base::Duration>(std::chrono::seconds(1), due - now));
      }
      if (!aActive->mEvents.empty()) {
        event = std::move(aActive->mEvents.front());
        aActive->mEvents.pop_front();
      }
    }
    if (event) {
      actions = aActive->mMachine.Handle(*event);
    } else if (mClock.Now() >= aActive->mMachine.NextWakeUp()) {
      actions = aActive->mMachine.Handle(requests::TimerFired{});
    } else {
      actions.clear();
    }
  }
  const auto& dropped = aActive->mMachine.GetDroppedAnswers();
  mInstruments.mMetrics
    .GetCounter("skylarkhill_answers_dropped_total",
                "Late, duplicate or mismatched answers.")
    .Add(dropped.mLate + dropped.mDuplicate + dropped.mMismatched);
  return *aActive->mMachineResult;
}

void
RequestService::Perform(const ActiveRequestPtr& aActive,
                        const requests::RequestAction& aAction)
{
  if (const auto* pick = std::get_if<requests::PickTarget>(&aAction)) {
    PickTarget(aActive, *pick);
  } else if (const auto* send = std::get_if<requests::SendAttempt>(&aAction)) {
    SendAttempt(aActive, *send);
  } else if (std::holds_alternative<requests::AppendIntent>(aAction)) {
    const bool isSubmitted =
      mThreadPool.TrySubmit([this, aActive] { AppendIntent(aActive); });
    if (!isSubmitted) {
      aActive->Post(requests::LogUnavailable{});
    }
  } else if (const auto* outcome =
               std::get_if<requests::AppendOutcome>(&aAction)) {
    AppendOutcome(aActive->mMachine.GetRequest(), outcome->mResult);
  } else {
    aActive->mMachineResult = std::get<requests::Finish>(aAction).mResult;
  }
}

// While no attempt may have run, the request waits for a free slot; the
// admission queue limits how many requests wait. Otherwise it does not wait,
// because an earlier attempt may still answer.
void
RequestService::PickTarget(const ActiveRequestPtr& aActive,
                           const requests::PickTarget& aAction)
{
  const requests::Request& request = aActive->mMachine.GetRequest();
  while (true) {
    std::vector<Candidate> candidates = HeldWorkerCandidates(request.mService);
    for (auto& it : mPeers.Candidates(request.mService)) {
      candidates.push_back(std::move(it));
    }
    requests::ApplyRefusals(aAction.mRefusedAt, candidates);
    std::optional<requests::Target> target;
    {
      const std::lock_guard lock(mForwardMutex);
      target =
        mTargetPicker->Pick(candidates, aAction.mTried, mInFlight, *mRandom);
    }
    if (target) {
      aActive->Post(requests::TargetOffered{ *target });
      return;
    }
    const bool hasTarget =
      aAction.mTried.empty()
        ? !candidates.empty()
        : requests::MayGetFreeSlot(candidates, aAction.mTried);
    const bool mayWait = aAction.mMayWait && hasTarget;
    if (!mayWait || mClock.Now() + kSlotCheckInterval >= request.mDeadline) {
      aActive->Post(requests::TargetUnavailable{});
      return;
    }
    std::this_thread::sleep_for(kSlotCheckInterval);
  }
}

void
RequestService::SendAttempt(const ActiveRequestPtr& aActive,
                            const requests::SendAttempt& aAction)
{
  const requests::Request& request = aActive->mMachine.GetRequest();
  const bool isPeer = aAction.mTarget.mKind == TargetKind::Peer;
  const auto kind = isPeer ? EventKind::RequestForwarded
                           : (aAction.mAttempt > 1 ? EventKind::RequestRetried
                                                   : EventKind::RequestSent);
  timeline::Event event;
  event.mKind = kind;
  event.mRequest = request.mId;
  event.mAttempt = aAction.mAttempt;
  if (isPeer) {
    event.mDetail = aAction.mTarget.mName;
  } else {
    event.mWorker = { aAction.mTarget.mName };
  }
  mInstruments.mTimeline.Record(std::move(event));
  {
    const std::lock_guard lock(mForwardMutex);
    mInFlight.Begin(
      aAction.mTarget, request.mId, aAction.mAttempt, mClock.Now());
    const std::lock_guard activeLock(aActive->mMutex);
    aActive->mTargets[aAction.mAttempt] = aAction.mTarget;
  }
  if (isPeer) {
    ForwardToPeer(aActive, aAction);
    return;
  }
  const bool isSubmitted = mThreadPool.TrySubmit(
    [this, aActive, aAction] { CallWorker(aActive, aAction); });
  if (!isSubmitted) {
    {
      const std::lock_guard lock(mForwardMutex);
      EndInFlight(aActive, aAction.mAttempt);
    }
    aActive->Post(requests::AttemptFailed{
      request.mId,
      aAction.mAttempt,
      MakeError(
        ErrorKind::WorkerUnavailable,
        "all threads for worker calls are busy (setting 'listen.threads')") });
  }
}

void
RequestService::EndInFlight(const ActiveRequestPtr& aActive,
                            std::int64_t aAttempt)
{
  const std::lock_guard lock(aActive->mMutex);
  const auto it = aActive->mTargets.find(aAttempt);
  if (it != aActive->mTargets.end()) {
    mInFlight.End(it->second, aActive->mMachine.GetRequest().mId, aAttempt);
    aActive->mTargets.erase(it);
  }
}

// Another call may take the last slot after the worker was chosen. In that case
// nothing was sent, and the attempt waits for the next free slot.
base::Result<std::string>
RequestService::CallWhenSlotFree(WorkerAgent& aAgent,
                                 const requests::Request& aRequest,
                                 std::int64_t aAttempt,
                                 TimePoint aDeadline) const
{
  while (true) {
    auto body = aAgent.Call({ aRequest.mId,
                              aAttempt,
                              aRequest.mService,
                              aRequest.mBody,
                              aRequest.mIdempotent },
                            aDeadline);
    const bool hasNoSlot = !body && body.error().mKind == ErrorKind::NoCapacity;
    if (!hasNoSlot || mClock.Now() + kSlotCheckInterval >= aDeadline) {
      return body;
    }
    std::this_thread::sleep_for(kSlotCheckInterval);
  }
}

void
RequestService::CallWorker(const ActiveRequestPtr& aActive,
                           const requests::SendAttempt& aAction)
{
  const requests::Request& request = aActive->mMachine.GetRequest();
  base::Result<std::string> body =
    MakeError(ErrorKind::WorkerUnavailable, "the worker is no longer known");
  if (const auto agent = mWorkers.Find({ aAction.mTarget.mName })) {
    body =
      CallWhenSlotFree(*agent, request, aAction.mAttempt, aAction.mDeadline);
  }
  {
    const std::lock_guard lock(mForwardMutex);
    EndInFlight(aActive, aAction.mAttempt);
  }
  if (body) {
    aActive->Post(requests::AttemptAnswered{
      request.mId, aAction.mAttempt, std::move(body.value()) });
  } else {
    aActive->Post(requests::AttemptFailed{
      request.mId, aAction.mAttempt, ToAttemptError(body.error()) });
  }
}

void
RequestService::ForwardToPeer(const ActiveRequestPtr& aActive,
                              const requests::SendAttempt& aAction)
{
  const requests::Request& request = aActive->mMachine.GetRequest();
  const auto sent = mPeers.Forward(
    { aAction.mTarget.mName }, request, aAction.mAttempt, aAction.mDeadline);
  if (sent) {
    return;
  }
  {
    const std::lock_guard lock(mForwardMutex);
    EndInFlight(aActive, aAction.mAttempt);
  }
  aActive->Post(requests::PeerAnswered{
    request.mId, aAction.mAttempt, requests::MakeNotRun(sent.error()) });
}

void
RequestService::OnPeerAnswered(const requests::PeerAnswered& aAnswer)
{
  ActiveRequestPtr active;
  {
    const std::lock_guard lock(mActiveRequestsMutex);
    const auto it = mActiveRequests.find(aAnswer.mRequest);
    if (it != mActiveRequests.end()) {
      active = it->second;
    }
  }
  if (active == nullptr) {
    mInstruments.mMetrics
      .GetCounter("skylarkhill_answers_dropped_total",
                  "Late, duplicate or mismatched answers.")
      .Add();
    return;
  }
  {
    const std::lock_guard lock(mForwardMutex);
    EndInFlight(active, aAnswer.mAttempt);
  }
  active->Post(aAnswer);
}

// Claims the key of the request by appending an intent record.
void
RequestService::AppendIntent(const ActiveRequestPtr& aActive)
{
  const requests::Request& request = aActive->mMachine.GetRequest();
  const requests::IntentRecord intent{ request.mId, mOptions.mClaimant };
  const auto offset =
    mJournal.Submit({ requests::KeyRecord{ intent } }, request.mDeadline);
  const requests::KeySnapshot key = mState.FindKey(request.mId);
  if (key.mState != requests::KeyState::Unclaimed) {
    if (offset && key.mState == requests::KeyState::Claimed &&
        key.mClaimant == mOptions.mClaimant &&
        key.mClaimedOffset == offset.value()) {
      if (!aActive->Post(requests::IntentWon{})) {
        // The caller already got Unknown at its deadline. Nothing was sent to a
        // worker, so NotRun is recorded for later lookups of the key.
        AppendOutcome(
          request,
          requests::MakeNotRun(MakeError(ErrorKind::DeadlineExceeded)));
      }
      return;
    }
    WatchClaim(aActive);
    return;
  }
  // If the answer was lost, the intent may still take effect; the request
  // machine then ends the request as unknown at its deadline.
  if (!offset && offset.error().mKind != ErrorKind::AnswerLost) {
    aActive->Post(requests::LogUnavailable{});
  }
}

// Waits until the request of another instance that claimed the key has
// finished, that instance is no longer live, or the deadline has passed.
void
RequestService::WatchClaim(const ActiveRequestPtr& aActive)
{
  const requests::Request& request = aActive->mMachine.GetRequest();
  while (mClock.Now() < request.mDeadline) {
    const requests::KeySnapshot key = mState.FindKey(request.mId);
    if (key.mState == requests::KeyState::Finished) {
      aActive->Post(requests::KeyClaimedByOther{
        requests::OtherClaimState::Finished, *key.mOutcome });
      return;
    }
    if (!mPeers.IsAlive(key.mClaimant)) {
      aActive->Post(requests::KeyClaimedByOther{
        requests::OtherClaimState::Abandoned, {} });
      return;
    }
    std::this_thread::sleep_for(kClaimCheckInterval);
  }
}

// The caller is answered before the outcome is in the log: the intent alone
// prevents another run of the key.
void
RequestService::AppendOutcome(const requests::Request& aRequest,
                              const RequestResult& aResult)
{
  requests::OutcomeRecord record;
  record.mKey = aRequest.mId;
  record.mInstance = mOptions.mClaimant;
  record.mOutcome = aResult.mOutcome;
  record.mErrorKind = aResult.mError.mKind;
  record.mBodyOmitted = aResult.mBody.size() > kMaxInlineBodyBytes;
  if (!record.mBodyOmitted) {
    record.mBody = aResult.mBody;
  }
  const bool isSubmitted = mThreadPool.TrySubmit([this, record] {
    const auto offset = mJournal.Submit({ requests::KeyRecord{ record } },
                                        mClock.Now() + kOutcomeAppendTimeout);
    mInstruments.mMetrics
      .GetCounter(
        "skylarkhill_outcomes_total",
        "Outcome records by whether they reached the log.",
        { { metrics::LabelKey::Outcome, offset ? "appended" : "failed" } })
      .Add();
  });
  static_cast<void>(isSubmitted);
}

base::Result<std::optional<RequestResult>>
RequestService::Lookup(const base::RequestId& aKey) const
{
  const requests::KeySnapshot key = mState.FindKey(aKey);
  switch (key.mState) {
    case requests::KeyState::Finished:
      return std::optional<RequestResult>(ToResult(*key.mOutcome));
    case requests::KeyState::Claimed:
      if (!mPeers.IsAlive(key.mClaimant)) {
        return std::optional<RequestResult>(requests::MakeUnknown(
          MakeError(ErrorKind::OutcomeUnknown,
                    "the instance that claimed the key is no longer live")));
      }
      return std::optional<RequestResult>();
    case requests::KeyState::Unclaimed:
      break;
  }
  return MakeError(ErrorKind::NotFound, "no request with this key");
}

void
RequestService::OnForwarded(const requests::ForwardedAttempt& aAttempt)
{
  const auto candidates = HeldWorkerCandidates(aAttempt.mRequest.mService);
  requests::ForwardActions actions;
  {
    const std::lock_guard lock(mForwardMutex);
    actions = mForwarder.OnAttempt(aAttempt, candidates);
    for (auto& it : mForwarder.OnTimer()) {
      actions.push_back(std::move(it));
    }
  }
  PerformForwardActions(actions);
}

void
RequestService::PerformForwardActions(const requests::ForwardActions& aActions)
{
  for (const auto& it : aActions) {
    if (const auto* answer = std::get_if<requests::AnswerOrigin>(&it)) {
      mPeers.SendResponse(
        answer->mOrigin, answer->mRequest, answer->mAttempt, answer->mResult);
      continue;
    }
    const auto& run = std::get<requests::RunOnWorker>(it);
    if (!mThreadPool.TrySubmit([this, run] { RunForwarded(run); })) {
      const auto& attempt = run.mAttempt;
      requests::ForwardActions actions;
      {
        const std::lock_guard lock(mForwardMutex);
        actions = mForwarder.OnAttemptFinished(
          { attempt.mOrigin,
            attempt.mOriginIncarnation,
            attempt.mRequest.mId,
            attempt.mAttempt,
            MakeError(ErrorKind::WorkerUnavailable,
                      "all threads for worker calls are busy (setting "
                      "'listen.threads')") });
      }
      PerformForwardActions(actions);
    }
  }
}

void
RequestService::RunForwarded(const requests::RunOnWorker& aAction)
{
  const requests::ForwardedAttempt& attempt = aAction.mAttempt;
  const requests::Request& request = attempt.mRequest;
  requests::AttemptFinished finished{
    attempt.mOrigin,
    attempt.mOriginIncarnation,
    request.mId,
    attempt.mAttempt,
    MakeError(ErrorKind::WorkerUnavailable, "the worker is no longer known")
  };
  if (const auto agent = mWorkers.Find(aAction.mWorker)) {
    auto body =
      CallWhenSlotFree(*agent, request, attempt.mAttempt, request.mDeadline);
    if (body) {
      finished.mBody = std::move(body.value());
    } else {
      finished.mBody = ToAttemptError(body.error());
    }
  }
  requests::ForwardActions actions;
  {
    const std::lock_guard lock(mForwardMutex);
    actions = mForwarder.OnAttemptFinished(finished);
  }
  PerformForwardActions(actions);
}

void
RequestService::RecordResult(const requests::Request& aRequest,
                             const RequestResult& aResult,
                             TimePoint aStartedAt)
{
  const std::string outcome(requests::NameOf(aResult.mOutcome));
  mInstruments.mMetrics
    .GetCounter("skylarkhill_requests_total",
                "Requests of callers by what the caller was told.",
                { { metrics::LabelKey::Service, aRequest.mService },
                  { metrics::LabelKey::Outcome, outcome } })
    .Add();
  mInstruments.mMetrics
    .GetDistribution("skylarkhill_request_seconds",
                     "Time from the arrival of a request to its answer.",
                     { { metrics::LabelKey::Service, aRequest.mService } })
    .Record(std::chrono::duration<double>(mClock.Now() - aStartedAt).count());
  timeline::Event event;
  event.mRequest = aRequest.mId;
  switch (aResult.mOutcome) {
    case Outcome::Completed:
      event.mKind = EventKind::RequestCompleted;
      break;
    case Outcome::NotRun:
      event.mKind = EventKind::RequestRefused;
      break;
    case Outcome::Unknown:
      event.mKind = EventKind::RequestUnknown;
      break;
  }
  if (aResult.mOutcome != Outcome::Completed) {
    event.mDetail = base::NameOf(aResult.mError.mKind);
  }
  mInstruments.mTimeline.Record(std::move(event));
}

} // namespace skylarkhill::entry
