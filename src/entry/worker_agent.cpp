#include "skylarkhill/entry/worker_agent.hpp"

#include "skylarkhill/requests/request.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace skylarkhill::entry {

using base::ErrorKind;
using base::MakeError;

namespace {

// Limits the rounds of one step. An acquisition takes four: read the holders,
// set the lease, read the holders again, report the acquisition and renew.
constexpr int kMaxLeaseRounds = 6;
/// A call that exceeds its deadline counts as a fault of the worker only if it
/// was unanswered for this long.
constexpr base::Duration kUnresponsiveAfter = std::chrono::milliseconds(500);

base::TaskId
CallBreakerKey(const worker::ServiceCall& aCall)
{
  return { aCall.mRequest.mValue + "/" + std::to_string(aCall.mAttempt) };
}

} // namespace

WorkerAgent::WorkerAgent(WorkerLocation aLocation,
                         WorkerAgentOptions aOptions,
                         std::unique_ptr<worker::RemoteWorker> aRemoteWorker,
                         const base::Clock& aClock,
                         std::uint64_t aSeed,
                         WorkerListener& aListener)
  : mLocation(std::move(aLocation))
  , mOptions(std::move(aOptions))
  , mRemoteWorker(std::move(aRemoteWorker))
  , mClock(aClock)
  , mListener(aListener)
  , mRandom(base::CreateSeededRandom(aSeed))
  , mLease(mOptions.mInstance, mOptions.mLease, *mRandom)
  , mTaskBreaker(policy::BreakerOptions{})
  , mCallBreaker(policy::BreakerOptions{})
{
}

void
WorkerAgent::SetPreferred(bool aPreferred)
{
  const std::lock_guard lock(mMutex);
  mLease.SetPreferred(aPreferred);
}

void
WorkerAgent::SetServiceReserve(const base::Resources& aReserve)
{
  const std::lock_guard lock(mMutex);
  mServiceReserve = aReserve;
  if (mLedger) {
    mLedger->SetServiceReserve(aReserve);
  }
}

void
WorkerAgent::SetGrants(const std::vector<holder::GrantedAttempt>& aGrants,
                       base::TimePoint aCaughtUpTime,
                       std::int64_t aPosition)
{
  const std::lock_guard lock(mMutex);
  mGrants = aGrants;
  mGrantsChanged = true;
  if (mRunner && !mInheritedBefore && aCaughtUpTime >= mAcquiredAt) {
    mInheritedBefore = aPosition;
  }
}

void
WorkerAgent::Step()
{
  StepLease();
  StepRunner();
  StepRelease();
}

void
WorkerAgent::StepLease()
{
  for (int n = 0; n < kMaxLeaseRounds; ++n) {
    std::vector<holder::LeaseAction> actions;
    {
      const std::lock_guard lock(mMutex);
      actions = mLease.Step(mClock.Now());
    }
    if (actions.empty()) {
      return;
    }
    for (const auto& it : actions) {
      std::visit([this](const auto& aAction) { Perform(aAction); }, it);
    }
  }
}

void
WorkerAgent::Perform(const holder::SetLease& aAction)
{
  const base::TimePoint sentAt = mClock.Now();
  const auto report = mRemoteWorker->SetHolderLease(
    aAction.mToken, aAction.mDuration, aAction.mDeadline);
  HandleReport(aAction.mRequest, report, sentAt);
}

void
WorkerAgent::Perform(const holder::ReadHolders& aAction)
{
  const base::TimePoint sentAt = mClock.Now();
  HandleReport(
    aAction.mRequest, mRemoteWorker->Poll(aAction.mDeadline), sentAt);
}

void
WorkerAgent::Perform(const holder::RemoveLease& aAction)
{
  // If the removal is lost, the lease expires.
  const auto ignored =
    mRemoteWorker->RemoveHolderLease(aAction.mToken, aAction.mDeadline);
  static_cast<void>(ignored);
  const std::lock_guard lock(mMutex);
  mLease.OnRemoved(aAction.mRequest, mClock.Now());
}

void
WorkerAgent::Perform(const holder::LeaseAcquired&)
{
  {
    const std::lock_guard lock(mMutex);
    mLedger = std::make_unique<holder::Ledger>();
    mLedger->SetServiceReserve(mServiceReserve);
    mRunner =
      std::make_unique<holder::TaskRunner>(mLease, *mLedger, mOptions.mRunner);
    mAcquiredAt = mClock.Now();
    mInheritedBefore.reset();
    mGrantsChanged = true;
  }
  mListener.OnHolderChange(*this, true);
}

void
WorkerAgent::Perform(const holder::LeaseEnded&)
{
  {
    const std::lock_guard lock(mMutex);
    mRunner.reset();
    mLedger.reset();
  }
  mListener.OnHolderChange(*this, false);
}

void
WorkerAgent::HandleReport(std::uint64_t aRequest,
                          const base::Result<worker::WorkerReport>& aReport,
                          base::TimePoint aSentAt)
{
  {
    const std::lock_guard lock(mMutex);
    mLease.OnReport(aRequest, aReport, mClock.Now());
    if (aReport) {
      mReport = aReport.value();
      mReportedAt = aSentAt;
    }
    if (aReport && mRunner) {
      mRunner->OnReport({ aReport.value(), aSentAt });
    }
  }
  if (aReport) {
    mListener.OnReport(*this, aReport.value());
  }
}

void
WorkerAgent::StepRunner()
{
  holder::RunnerOutput output;
  {
    const std::lock_guard lock(mMutex);
    if (!mRunner) {
      return;
    }
    if (mGrantsChanged) {
      mRunner->SetGrants(mGrants, mInheritedBefore);
      mGrantsChanged = false;
    }
    output = mRunner->Step(mClock.Now());
  }
  for (const auto& it : output.mRecords) {
    HandleRecord(it);
  }
  for (const auto& it : output.mCommands) {
    SendCommand(it);
  }
}

void
WorkerAgent::HandleRecord(const tasks::TaskRecord& aRecord)
{
  if (const auto* end = std::get_if<tasks::EndRecord>(&aRecord)) {
    const std::lock_guard lock(mMutex);
    switch (end->mOutcome) {
      case tasks::AttemptOutcome::Completed:
        mTaskBreaker.OnSuccess(end->mTask);
        break;
      case tasks::AttemptOutcome::Failed:
        mTaskBreaker.OnFailure(end->mTask, mClock.Now());
        break;
      default:
        mTaskBreaker.OnInconclusiveEnd(end->mTask);
        break;
    }
  }
  mListener.OnRecord(*this, aRecord);
}

void
WorkerAgent::SendCommand(const holder::Command& aCommand)
{
  {
    // The holder lease is checked again right before sending, because the
    // thread may have been paused since the command was created.
    const std::lock_guard lock(mMutex);
    if (!mLease.MaySendCommands(mClock.Now()) ||
        mLease.Token() != aCommand.mHeader.mToken) {
      return;
    }
  }
  const base::Result<void> result = SendBody(aCommand);
  const std::lock_guard lock(mMutex);
  if (mRunner && mLease.Token() == aCommand.mHeader.mToken) {
    mRunner->OnResult(aCommand.mNumber, holder::ToCommandOutcome(result));
  }
}

base::Result<void>
WorkerAgent::SendBody(const holder::Command& aCommand)
{
  const auto& header = aCommand.mHeader;
  const base::TimePoint deadline = aCommand.mDeadline;
  if (const auto* it = std::get_if<worker::StartTask>(&aCommand.mBody)) {
    return mRemoteWorker->Start(header, *it, deadline);
  }
  if (const auto* it = std::get_if<holder::RenewTasks>(&aCommand.mBody)) {
    return mRemoteWorker->Renew(
      header, it->mTasks, it->mLeaseExpiresAt, deadline);
  }
  if (const auto* it = std::get_if<holder::CheckpointTask>(&aCommand.mBody)) {
    return mRemoteWorker->Checkpoint(header, it->mTask, deadline);
  }
  if (const auto* it = std::get_if<holder::ThrottleTask>(&aCommand.mBody)) {
    return mRemoteWorker->Throttle(header, it->mTask, it->mPercent, deadline);
  }
  if (const auto* it = std::get_if<holder::StopTask>(&aCommand.mBody)) {
    return mRemoteWorker->Stop(header, it->mTask, deadline);
  }
  const auto& acknowledge = std::get<holder::AcknowledgeTask>(aCommand.mBody);
  return mRemoteWorker->Acknowledge(header, acknowledge.mTask, deadline);
}

base::Result<void>
WorkerAgent::CommitGrant(const worker::AttemptKey& aKey,
                         const base::Resources& aResources)
{
  const std::lock_guard lock(mMutex);
  const base::TimePoint now = mClock.Now();
  if (!mLedger || mReleasing || !mLease.MaySendCommands(now)) {
    return MakeError(ErrorKind::NotHolder);
  }
  if (!mTaskBreaker.Admits(now)) {
    return MakeError(ErrorKind::WorkerUnavailable,
                     "the worker's circuit breaker for tasks is open");
  }
  BOOST_OUTCOME_TRYV(mLedger->CommitGrant(aKey, aResources));
  mTaskBreaker.OnPlaced(aKey.mTask, now);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void
WorkerAgent::CancelGrant(const worker::AttemptKey& aKey)
{
  const std::lock_guard lock(mMutex);
  mTaskBreaker.OnInconclusiveEnd(aKey.mTask);
  if (mLedger) {
    mLedger->CancelGrant(aKey);
  }
}

void
WorkerAgent::Evict(const worker::AttemptKey& aKey, base::TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  if (mRunner) {
    mRunner->Evict(aKey, aDeadline);
  }
}

void
WorkerAgent::Throttle(const worker::AttemptKey& aKey, std::int64_t aPercent)
{
  const std::lock_guard lock(mMutex);
  if (mRunner) {
    mRunner->Throttle(aKey, aPercent);
  }
}

void
WorkerAgent::OnEndRecordNotAppended(const worker::AttemptKey& aKey)
{
  const std::lock_guard lock(mMutex);
  if (mRunner) {
    mRunner->OnEndRecordNotAppended(aKey);
  }
}

void
WorkerAgent::RemoveFailures(const base::TaskId& aTask)
{
  const std::lock_guard lock(mMutex);
  mTaskBreaker.RemoveFailures(aTask);
}

base::Result<std::string>
WorkerAgent::Call(const worker::ServiceCall& aCall, base::TimePoint aDeadline)
{
  worker::CommandHeader header;
  holder::Ledger::CallNumber number = 0;
  {
    const std::lock_guard lock(mMutex);
    const base::TimePoint now = mClock.Now();
    if (!mRunner || mReleasing || !mRunner->MaySendCalls(now)) {
      return MakeError(ErrorKind::NotHolder);
    }
    // Only the start of a call must fall within the holder lease; a running
    // call may outlast it.
    header.mToken = mLease.Token();
    header.mNotAfter = mLease.Clock().ToEarliestWorkerTime(
      std::min(aDeadline, mLease.Deadline()));
    number = ++mLastCallNumber;
    const base::TimePoint latestArrival =
      now + mOptions.mRunner.mMaxMessageDelay;
    BOOST_OUTCOME_TRYV(
      mLedger->BeginCall(number, { header.mNotAfter, latestArrival }));
    mCallBreaker.OnPlaced(CallBreakerKey(aCall), now);
  }
  const base::TimePoint sentAt = mClock.Now();
  const auto answer = mRemoteWorker->Call(header, aCall, aDeadline);
  RecordCall(aCall, answer, number, header.mToken, sentAt);
  if (!answer) {
    return answer.error();
  }
  return answer.value().mBody;
}

void
WorkerAgent::RecordCall(const worker::ServiceCall& aCall,
                        const base::Result<worker::ServiceAnswer>& aAnswer,
                        holder::Ledger::CallNumber aNumber,
                        const worker::HolderToken& aToken,
                        base::TimePoint aSentAt)
{
  const std::lock_guard lock(mMutex);
  const bool hasEnded =
    aAnswer || requests::ProvesNotRun(aAnswer.error().mKind);
  if (mLedger && mLease.Token() == aToken) {
    if (hasEnded) {
      mLedger->EndCall(aNumber);
    } else {
      mLedger->MarkAnswerLost(aNumber);
    }
  }
  if (aAnswer) {
    mCallBreaker.OnSuccess(CallBreakerKey(aCall));
  } else if (IsWorkerFault(aAnswer.error().mKind, aSentAt)) {
    mCallBreaker.OnFailure(CallBreakerKey(aCall), mClock.Now());
  } else {
    mCallBreaker.OnInconclusiveEnd(CallBreakerKey(aCall));
  }
}

// A refusal means that the worker is full, a stale command means that the call
// reached the worker too late, and a deadline that is exceeded quickly was set
// too short by the caller. Counting these would open the breakers of all
// workers at peak load.
bool
WorkerAgent::IsWorkerFault(ErrorKind aKind, base::TimePoint aSentAt) const
{
  if (aKind == ErrorKind::WorkerRefused || aKind == ErrorKind::StaleCommand) {
    return false;
  }
  return aKind != ErrorKind::DeadlineExceeded ||
         mClock.Now() - aSentAt >= kUnresponsiveAfter;
}

void
WorkerAgent::BeginRelease()
{
  const std::lock_guard lock(mMutex);
  mReleasing = true;
  if (mRunner) {
    mRunner->BeginDrain();
  }
}

void
WorkerAgent::StepRelease()
{
  const std::lock_guard lock(mMutex);
  if (!mReleasing || mReleaseSent) {
    return;
  }
  const base::TimePoint now = mClock.Now();
  if (!mRunner || mRunner->IsDrained(now)) {
    mLease.Release(now);
    mReleaseSent = true;
  }
}

bool
WorkerAgent::IsReleased() const
{
  const std::lock_guard lock(mMutex);
  return mReleaseSent && !mRunner &&
         mLease.State() == holder::LeaseState::NotHeld;
}

bool
WorkerAgent::MaySendCommands() const
{
  const std::lock_guard lock(mMutex);
  return mLease.MaySendCommands(mClock.Now());
}

WorkerStatus
WorkerAgent::Status() const
{
  const std::lock_guard lock(mMutex);
  const base::TimePoint now = mClock.Now();
  WorkerStatus status;
  status.mLocation = mLocation;
  status.mUsable = mRunner != nullptr && mLedger->HasReport() && !mReleasing &&
                   mRunner->MaySendCalls(now);
  status.mAdmitsTasks = status.mUsable && mTaskBreaker.Admits(now);
  status.mAdmitsCalls = status.mUsable && mCallBreaker.Admits(now);
  if (mLedger) {
    status.mCapacity = mLedger->Capacity();
    status.mFree = mLedger->Capacity() - mLedger->Committed() - mServiceReserve;
    status.mFreeCalls = mLedger->FreeCallCapacity();
  }
  if (mReport) {
    status.mLeaving = mReport->mLeaving;
    status.mSlots = mReport->mSlots;
    status.mServiceSlowdownPercent = mReport->mServiceTimePercent;
    status.mReportedAt = mReportedAt;
    status.mTasks = mReport->mTasks;
  }
  return status;
}

} // namespace skylarkhill::entry
