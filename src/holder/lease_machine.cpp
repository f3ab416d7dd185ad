#include "skylarkhill/holder/lease_machine.hpp"

#include "skylarkhill/base/name_table.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::holder {

namespace {

constexpr base::NameTable<LeaseState, 6> kLeaseStateNames{ {
  { LeaseState::NotHeld, "not_held" },
  { LeaseState::Placing, "placing" },
  { LeaseState::Verifying, "verifying" },
  { LeaseState::Held, "held" },
  { LeaseState::Lost, "lost" },
  { LeaseState::Releasing, "releasing" },
} };

// A failed renewal is retried after a fraction of the renew interval, so that
// one lost message does not use up most of the lease.
constexpr int kRetriesPerRenewInterval = 4;

// The clock margin is the maximum drift during one lease, which gives the
// maximum drift rate.
std::int64_t
MaxDriftPpm(const LeaseOptions& aOptions)
{
  constexpr std::int64_t kMillion = 1'000'000;
  return aOptions.mClockMargin.count() * kMillion /
         aOptions.mLeaseDuration.count();
}

} // namespace

std::string_view
NameOf(LeaseState aState)
{
  return base::FindName(kLeaseStateNames, aState);
}

LeaseMachine::LeaseMachine(base::InstanceId aInstance,
                           LeaseOptions aOptions,
                           base::Random& aRandom)
  : mInstance(std::move(aInstance))
  , mOptions(aOptions)
  , mRandom(aRandom)
  , mClock(MaxDriftPpm(aOptions))
{
  mToken.mInstance = mInstance;
}

void
LeaseMachine::SetPreferred(bool aPreferred)
{
  mPreferred = aPreferred;
}

bool
LeaseMachine::MaySendCommands(base::TimePoint aNow) const
{
  return mState == LeaseState::Held && aNow < mDeadline;
}

bool
LeaseMachine::IsLeaseExpired(base::TimePoint aNow) const
{
  return mState == LeaseState::Held && aNow >= mDeadline;
}

void
LeaseMachine::OnReport(std::uint64_t aRequest,
                       const base::Result<worker::WorkerReport>& aReport,
                       base::TimePoint aNow)
{
  // An answer handled after the deadline must not extend the lease, because
  // another instance may have held the worker in the meantime.
  if (IsLeaseExpired(aNow)) {
    EndLease(LeaseState::Lost, aNow);
    return;
  }
  if (!mOutstanding || mOutstanding->mNumber != aRequest) {
    return;
  }
  const Request request = *mOutstanding;
  mOutstanding.reset();
  if (!aReport) {
    HandleEndWithoutReport(aNow);
    return;
  }
  UpdateFromReport(aReport.value(), request, aNow);
  HandleReport(aReport.value(), request, aNow);
}

void
LeaseMachine::OnRemoved(std::uint64_t aRequest, base::TimePoint aNow)
{
  if (mOutstanding && mOutstanding->mNumber == aRequest) {
    mOutstanding.reset();
    HandleEndWithoutReport(aNow);
  }
}

void
LeaseMachine::Release(base::TimePoint aNow)
{
  mReleased = true;
  const bool isLeaseSet = mState == LeaseState::Placing ||
                          mState == LeaseState::Verifying ||
                          mState == LeaseState::Held;
  if (isLeaseSet) {
    EndLease(LeaseState::Releasing, aNow);
  }
}

std::vector<LeaseAction>
LeaseMachine::Step(base::TimePoint aNow)
{
  if (IsLeaseExpired(aNow)) {
    EndLease(LeaseState::Lost, aNow);
  }
  if (mOutstanding && aNow >= mOutstanding->mDeadline) {
    mOutstanding.reset();
    HandleEndWithoutReport(aNow);
  }
  const bool due = !mOutstanding && aNow >= mNextSend;
  if (due && mState == LeaseState::NotHeld && !mReleased) {
    SendReadHolders(aNow);
  }
  if (due && mState == LeaseState::Held) {
    SendSetLease(aNow);
  }
  return std::exchange(mActions, {});
}

bool
LeaseMachine::IsOwnLeaseIn(const worker::WorkerReport& aReport) const
{
  return std::any_of(
    aReport.mHolders.begin(),
    aReport.mHolders.end(),
    [this](const auto& aLease) { return aLease.mToken == mToken; });
}

bool
LeaseMachine::IsOtherLeaseIn(const worker::WorkerReport& aReport) const
{
  // Older leases of this instance do not count: their epochs are never reused,
  // and commands sent under them arrive before the quiet period ends.
  return std::any_of(aReport.mHolders.begin(),
                     aReport.mHolders.end(),
                     [this](const auto& aLease) {
                       return aLease.mToken.mInstance != mInstance;
                     });
}

void
LeaseMachine::UpdateFromReport(const worker::WorkerReport& aReport,
                               const Request& aRequest,
                               base::TimePoint aNow)
{
  mClock.Observe(aReport.mNow, aRequest.mSentAt, aNow);
  for (const auto& it : aReport.mHolders) {
    mLargestEpoch = std::max(mLargestEpoch, it.mToken.mEpoch);
  }
}

void
LeaseMachine::HandleReport(const worker::WorkerReport& aReport,
                           const Request& aRequest,
                           base::TimePoint aNow)
{
  switch (mState) {
    case LeaseState::NotHeld:
      HandleScan(aReport, aNow);
      break;
    case LeaseState::Placing:
      mState = LeaseState::Verifying;
      SendReadHolders(aNow);
      break;
    case LeaseState::Verifying:
      HandleVerification(aReport, aNow);
      break;
    case LeaseState::Held:
      HandleRenewal(aReport, aRequest, aNow);
      break;
    case LeaseState::Lost:
    case LeaseState::Releasing:
      break;
  }
}

void
LeaseMachine::HandleEndWithoutReport(base::TimePoint aNow)
{
  switch (mState) {
    case LeaseState::NotHeld:
      mUnheldSince.reset();
      mNextSend = aNow + mOptions.mScanInterval;
      break;
    case LeaseState::Placing:
    case LeaseState::Verifying:
      EndLease(LeaseState::Releasing, aNow);
      break;
    case LeaseState::Held:
      mNextSend = aNow + mOptions.mRenewInterval / kRetriesPerRenewInterval;
      break;
    case LeaseState::Lost:
    case LeaseState::Releasing:
      mState = LeaseState::NotHeld;
      break;
  }
}

void
LeaseMachine::HandleScan(const worker::WorkerReport& aReport,
                         base::TimePoint aNow)
{
  if (IsOtherLeaseIn(aReport)) {
    mUnheldSince.reset();
    mNextSend = aNow + mOptions.mScanInterval;
    return;
  }
  mUnheldSince = mUnheldSince.value_or(aNow);
  const base::TimePoint takeoverAt = *mUnheldSince + mOptions.mTakeoverDelay;
  if (!mPreferred && aNow < takeoverAt) {
    mNextSend = std::min(aNow + mOptions.mScanInterval, takeoverAt);
    return;
  }
  mUnheldSince.reset();
  ++mLargestEpoch;
  mToken.mEpoch = mLargestEpoch;
  mState = LeaseState::Placing;
  // Counted from the send time. The worker counts from the later receive time,
  // so that the lease ends here before it expires on the worker.
  mDeadline = aNow + mOptions.mLeaseDuration - mOptions.mClockMargin;
  SendSetLease(aNow);
}

void
LeaseMachine::HandleVerification(const worker::WorkerReport& aReport,
                                 base::TimePoint aNow)
{
  const bool exclusive = IsOwnLeaseIn(aReport) && !IsOtherLeaseIn(aReport);
  if (!exclusive || aNow >= mDeadline) {
    EndLease(LeaseState::Releasing, aNow);
    return;
  }
  mState = LeaseState::Held;
  // The leases of previous holders had expired when the worker created this
  // list, so they send nothing more. Commands sent earlier may still arrive.
  mQuietPeriodEnd = aNow + mOptions.mQuietPeriod;
  mConfirmed = false;
  mNextSend = aNow;
  mActions.emplace_back(LeaseAcquired{ mToken });
}

void
LeaseMachine::HandleRenewal(const worker::WorkerReport& aReport,
                            const Request& aRequest,
                            base::TimePoint aNow)
{
  if (!IsOwnLeaseIn(aReport)) {
    EndLease(LeaseState::Lost, aNow);
    return;
  }
  // A restarted worker has lost the lease of its holder until that holder's
  // next renewal restores it. If a second holder acquired the worker in
  // between, it is still in its quiet period and has started nothing, so it
  // releases its lease.
  if (!mConfirmed && IsOtherLeaseIn(aReport)) {
    EndLease(LeaseState::Releasing, aNow);
    return;
  }
  mConfirmed = mConfirmed || aRequest.mSentAt >= mQuietPeriodEnd;
  mDeadline =
    aRequest.mSentAt + mOptions.mLeaseDuration - mOptions.mClockMargin;
  mNextSend = aRequest.mSentAt + mOptions.mRenewInterval;
}

void
LeaseMachine::SendReadHolders(base::TimePoint aNow)
{
  StartRequest(aNow);
  mActions.emplace_back(
    ReadHolders{ mOutstanding->mNumber, mOutstanding->mDeadline });
}

void
LeaseMachine::SendSetLease(base::TimePoint aNow)
{
  StartRequest(aNow);
  mActions.emplace_back(SetLease{ mOutstanding->mNumber,
                                  mToken,
                                  mOptions.mLeaseDuration,
                                  mOutstanding->mDeadline });
}

void
LeaseMachine::EndLease(LeaseState aState, base::TimePoint aNow)
{
  if (mState == LeaseState::Held) {
    mActions.emplace_back(LeaseEnded{ mToken });
  }
  mState = aState;
  mUnheldSince.reset();
  // Random backoff, so that instances that collided do not collide again.
  mNextSend =
    aNow + mRandom.Between(mOptions.mBackoffLow, mOptions.mBackoffHigh);
  StartRequest(aNow);
  mActions.emplace_back(
    RemoveLease{ mOutstanding->mNumber, mToken, mOutstanding->mDeadline });
}

void
LeaseMachine::StartRequest(base::TimePoint aNow)
{
  ++mLastRequest;
  mOutstanding = Request{ mLastRequest, aNow, aNow + mOptions.mRequestTimeout };
}

} // namespace skylarkhill::holder
