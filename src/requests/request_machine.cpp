#include "skylarkhill/requests/request_machine.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::requests {

using base::Error;
using base::ErrorKind;
using base::MakeError;

namespace {

// Hedge delay divided by its maximum jitter. Without jitter, the hedges of
// requests that arrived together would load the same workers at once.
constexpr std::int64_t kHedgeJitterDivisor = 10;
// A hedge refused by the retry budget is tried again after this time while an
// attempt is in flight, since the budget refills.
constexpr base::Duration kHedgeRetryDelay = std::chrono::milliseconds(200);

} // namespace

RequestMachine::RequestMachine(Request aRequest,
                               const RequestMachineOptions& aOptions,
                               RetryBudget& aBudget,
                               const base::Clock& aClock,
                               base::Random& aRandom)
  : mRequest(std::move(aRequest))
  , mOptions(aOptions)
  , mBudget(aBudget)
  , mClock(aClock)
  , mRandom(aRandom)
{
}

RequestActions
RequestMachine::Start()
{
  RequestActions actions;
  mStarted = true;
  if (mClock.Now() >= mRequest.mDeadline) {
    FinishAtDeadline(actions);
    return actions;
  }
  if (mRequest.mIdempotent) {
    AskForTarget(actions);
    return actions;
  }
  mClaim = OwnClaim::Pending;
  actions.push_back(AppendIntent{});
  return actions;
}

RequestActions
RequestMachine::Handle(const RequestEvent& aEvent)
{
  RequestActions actions;
  if (!mStarted) {
    return actions;
  }
  std::visit([&](const auto& aConcreteEvent) { On(aConcreteEvent, actions); },
             aEvent);
  return actions;
}

base::TimePoint
RequestMachine::NextWakeUp() const
{
  if (mFinished) {
    return base::kNoDeadline;
  }
  base::TimePoint due = std::min(mRequest.mDeadline, mHedgeAt);
  for (const Attempt& it : mAttempts) {
    if (it.mState == AttemptState::InFlight) {
      due = std::min(due, it.mDeadline);
    }
  }
  return due;
}

void
RequestMachine::On(const TargetOffered& aEvent, RequestActions& aActions)
{
  if (mFinished || !mTargetPending) {
    return;
  }
  mTargetPending = false;
  if (mClock.Now() >= mRequest.mDeadline) {
    FinishAtDeadline(aActions);
    return;
  }
  const bool repeated = mTried.count(aEvent.mTarget) != 0;
  const bool allowed = CanSendAgain() && !repeated;
  // The budget limits the extra load on workers. While no attempt may have run,
  // there is none, so another attempt takes no token.
  const bool isExempt = !MayHaveRun();
  if (allowed && (isExempt || mBudget.TryTake(mClock.Now()))) {
    Send(aEvent.mTarget, aActions);
    return;
  }
  if (allowed && HasState(AttemptState::InFlight)) {
    mHedgeAt = mClock.Now() + kHedgeRetryDelay;
  }
  StopRetrying(aActions);
}

void
RequestMachine::On(const TargetUnavailable&, RequestActions& aActions)
{
  if (mFinished || !mTargetPending) {
    return;
  }
  mTargetPending = false;
  if (mAttempts.empty()) {
    mLastError = MakeError(ErrorKind::NoCapacity,
                           "no worker or peer is available for the service");
  }
  StopRetrying(aActions);
}

void
RequestMachine::On(const IntentWon&, RequestActions& aActions)
{
  if (mClaim != OwnClaim::Pending) {
    return;
  }
  mClaim = OwnClaim::Won;
  if (mFinished) {
    // The deadline passed before the intent was read back, so the caller was
    // told Unknown. No attempt was sent: NotRun is recorded for later requests
    // with this key.
    const Error error = MakeError(ErrorKind::DeadlineExceeded);
    aActions.push_back(AppendOutcome{ MakeNotRun(error) });
    return;
  }
  if (mCancelled) {
    FinishWith(MakeNotRun(MakeError(ErrorKind::Cancelled)), aActions);
    return;
  }
  if (mClock.Now() >= mRequest.mDeadline) {
    FinishAtDeadline(aActions);
    return;
  }
  AskForTarget(aActions);
}

void
RequestMachine::On(const KeyClaimedByOther& aEvent, RequestActions& aActions)
{
  if (mClaim != OwnClaim::Pending && mClaim != OwnClaim::Lost) {
    return;
  }
  mClaim = OwnClaim::Lost;
  if (mFinished || aEvent.mState == OtherClaimState::InProgress) {
    return;
  }
  if (aEvent.mState == OtherClaimState::Abandoned) {
    FinishWith(
      MakeUnknown(MakeError(ErrorKind::OutcomeUnknown,
                            "the instance that claimed the key is gone")),
      aActions);
    return;
  }
  const OutcomeRecord& record = aEvent.mRecord;
  if (record.mOutcome == Outcome::Completed) {
    RequestResult result = MakeCompleted(record.mBody);
    result.mBodyOmitted = record.mBodyOmitted;
    FinishWith(std::move(result), aActions);
    return;
  }
  const Error error = MakeError(
    record.mErrorKind, "the first request with this key ended with this error");
  const bool notRun = record.mOutcome == Outcome::NotRun;
  FinishWith(notRun ? MakeNotRun(error) : MakeUnknown(error), aActions);
}

void
RequestMachine::On(const LogUnavailable&, RequestActions& aActions)
{
  if (mClaim != OwnClaim::Pending) {
    return;
  }
  mClaim = OwnClaim::Lost;
  if (!mFinished) {
    FinishWith(MakeNotRun(MakeError(ErrorKind::LogUnavailable)), aActions);
  }
}

void
RequestMachine::On(const AttemptAnswered& aEvent, RequestActions& aActions)
{
  Attempt* attempt = MatchResult(aEvent.mRequest, aEvent.mAttempt);
  if (attempt == nullptr) {
    return;
  }
  attempt->mState = AttemptState::Ended;
  FinishWith(MakeCompleted(aEvent.mBody), aActions);
}

void
RequestMachine::On(const AttemptFailed& aEvent, RequestActions& aActions)
{
  Attempt* attempt = MatchResult(aEvent.mRequest, aEvent.mAttempt);
  if (attempt == nullptr) {
    return;
  }
  const bool mayHaveRun = !ProvesNotRun(aEvent.mError.mKind);
  EndAttempt(*attempt, mayHaveRun, aEvent.mError, aActions);
}

void
RequestMachine::On(const PeerAnswered& aEvent, RequestActions& aActions)
{
  Attempt* attempt = MatchResult(aEvent.mRequest, aEvent.mAttempt);
  if (attempt == nullptr) {
    return;
  }
  if (aEvent.mResult.mOutcome == Outcome::Completed) {
    attempt->mState = AttemptState::Ended;
    FinishWith(MakeCompleted(aEvent.mResult.mBody), aActions);
    return;
  }
  const bool mayHaveRun = aEvent.mResult.mOutcome != Outcome::NotRun;
  EndAttempt(*attempt, mayHaveRun, aEvent.mResult.mError, aActions);
}

void
RequestMachine::On(const CancelRequested&, RequestActions& aActions)
{
  if (mFinished) {
    return;
  }
  mCancelled = true;
  mHedgeAt = base::kNoDeadline;
  // Without a won claim another instance may be running the request, and an
  // attempt in flight cannot be revoked; the outcome depends on them.
  const bool mayRunElsewhere =
    mClaim == OwnClaim::Pending || mClaim == OwnClaim::Lost;
  if (!mayRunElsewhere && !HasState(AttemptState::InFlight)) {
    FinishWithoutAnswer(aActions);
  }
}

void
RequestMachine::On(const TimerFired&, RequestActions& aActions)
{
  if (mFinished) {
    return;
  }
  const base::TimePoint now = mClock.Now();
  if (now >= mRequest.mDeadline) {
    FinishAtDeadline(aActions);
    return;
  }
  ExpireAttempts(aActions);
  if (mFinished || now < mHedgeAt) {
    return;
  }
  mHedgeAt = base::kNoDeadline;
  if (!mTargetPending && CanSendAgain()) {
    AskForTarget(aActions);
  }
}

bool
RequestMachine::HasState(AttemptState aState) const
{
  return std::any_of(
    mAttempts.begin(), mAttempts.end(), [&](const Attempt& aAttempt) {
      return aAttempt.mState == aState;
    });
}

bool
RequestMachine::MayHaveRun() const
{
  return std::any_of(
    mAttempts.begin(), mAttempts.end(), [](const Attempt& aAttempt) {
      return aAttempt.mMayHaveRun;
    });
}

bool
RequestMachine::CanSendAgain() const
{
  const auto sent = static_cast<std::int64_t>(mAttempts.size());
  if (mCancelled || sent - mCapacityRefusals >= mOptions.mMaxAttempts) {
    return false;
  }
  if (mRequest.mIdempotent) {
    return true;
  }
  return mClaim == OwnClaim::Won && !MayHaveRun();
}

RequestMachine::Attempt*
RequestMachine::MatchResult(const base::RequestId& aRequest,
                            std::int64_t aAttempt)
{
  const auto sent = static_cast<std::int64_t>(mAttempts.size());
  if (aRequest != mRequest.mId || aAttempt < 1 || aAttempt > sent) {
    ++mDropped.mMismatched;
    return nullptr;
  }
  Attempt& attempt = mAttempts[static_cast<std::size_t>(aAttempt - 1)];
  if (attempt.mState == AttemptState::Ended) {
    ++mDropped.mDuplicate;
    return nullptr;
  }
  if (mFinished) {
    attempt.mState = AttemptState::Ended;
    ++mDropped.mLate;
    return nullptr;
  }
  return &attempt;
}

void
RequestMachine::EndAttempt(Attempt& aAttempt,
                           bool aMayHaveRun,
                           const Error& aError,
                           RequestActions& aActions)
{
  const bool expected = aAttempt.mState == AttemptState::InFlight;
  aAttempt.mState = AttemptState::Ended;
  aAttempt.mMayHaveRun = aMayHaveRun;
  if (!aMayHaveRun && aError.mKind == ErrorKind::NoCapacity) {
    // The target works and only its reported free slots were out of date.
    mTried.erase(aAttempt.mTarget);
    mRefusedAt[aAttempt.mTarget] = mClock.Now();
    ++mCapacityRefusals;
  }
  if (expected) {
    mLastError = aError;
  }
  RetryOrFinish(aActions);
}

void
RequestMachine::ExpireAttempts(RequestActions& aActions)
{
  bool expired = false;
  for (Attempt& it : mAttempts) {
    if (it.mState == AttemptState::InFlight && mClock.Now() >= it.mDeadline) {
      it.mState = AttemptState::TimedOut;
      expired = true;
    }
  }
  if (expired) {
    mLastError = MakeError(ErrorKind::OutcomeUnknown, "attempt timed out");
    RetryOrFinish(aActions);
  }
}

void
RequestMachine::RetryOrFinish(RequestActions& aActions)
{
  if (HasState(AttemptState::InFlight) || mTargetPending) {
    return;
  }
  if (mClock.Now() >= mRequest.mDeadline) {
    FinishAtDeadline(aActions);
    return;
  }
  if (CanSendAgain()) {
    AskForTarget(aActions);
    return;
  }
  StopRetrying(aActions);
}

void
RequestMachine::StopRetrying(RequestActions& aActions)
{
  // An attempt of an idempotent request that timed out may still be answered.
  const bool mayAnswer =
    mRequest.mIdempotent && !mCancelled && HasState(AttemptState::TimedOut);
  if (!HasState(AttemptState::InFlight) && !mayAnswer) {
    FinishWithoutAnswer(aActions);
  }
}

void
RequestMachine::AskForTarget(RequestActions& aActions)
{
  mTargetPending = true;
  aActions.push_back(PickTarget{ mTried, mRefusedAt, !MayHaveRun() });
}

void
RequestMachine::Send(const Target& aTarget, RequestActions& aActions)
{
  const base::TimePoint now = mClock.Now();
  const bool first = mAttempts.empty();
  base::TimePoint deadline = mRequest.mDeadline;
  if (mRequest.mIdempotent && mOptions.mAttemptTimeout.count() > 0) {
    deadline = std::min(deadline, now + mOptions.mAttemptTimeout);
  }
  mAttempts.push_back(Attempt{ aTarget, deadline });
  mTried.insert(aTarget);
  if (first) {
    mBudget.RecordFirstAttempt();
  }
  if (mRequest.mIdempotent && mOptions.mHedgeDelay.count() > 0) {
    const base::Duration jitter = mOptions.mHedgeDelay / kHedgeJitterDivisor;
    mHedgeAt = now + mOptions.mHedgeDelay +
               mRandom.Between(base::Duration::zero(), jitter);
  }
  const auto number = static_cast<std::int64_t>(mAttempts.size());
  aActions.push_back(SendAttempt{ aTarget, number, deadline });
}

void
RequestMachine::FinishWithoutAnswer(RequestActions& aActions)
{
  if (MayHaveRun()) {
    FinishWith(MakeUnknown(mLastError), aActions);
    return;
  }
  const Error cancelled = MakeError(ErrorKind::Cancelled);
  FinishWith(MakeNotRun(mCancelled ? cancelled : mLastError), aActions);
}

void
RequestMachine::FinishAtDeadline(RequestActions& aActions)
{
  // Without a won claim, another request with this key may have run.
  const bool mayRunElsewhere =
    mClaim == OwnClaim::Pending || mClaim == OwnClaim::Lost;
  if (mayRunElsewhere || MayHaveRun()) {
    FinishWith(MakeUnknown(MakeError(ErrorKind::OutcomeUnknown,
                                     "deadline passed without an answer")),
               aActions);
    return;
  }
  FinishWith(MakeNotRun(MakeError(ErrorKind::DeadlineExceeded)), aActions);
}

void
RequestMachine::FinishWith(RequestResult aResult, RequestActions& aActions)
{
  mFinished = true;
  if (mClaim == OwnClaim::Won) {
    aActions.push_back(AppendOutcome{ aResult });
  }
  aActions.push_back(Finish{ std::move(aResult) });
}

} // namespace skylarkhill::requests
