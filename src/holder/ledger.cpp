#include "skylarkhill/holder/ledger.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace skylarkhill::holder {

namespace {

bool
TakesCapacity(worker::TaskPhase aPhase)
{
  return aPhase == worker::TaskPhase::Running ||
         aPhase == worker::TaskPhase::Checkpointing;
}

base::Resources
Min(const base::Resources& aLeft, const base::Resources& aRight)
{
  // min(a, b) = a + b - max(a, b)
  return aLeft + aRight - base::Max(aLeft, aRight);
}

} // namespace

bool
IsPastExpiry(const CommandExpiry& aExpiry, const PollResult& aPoll)
{
  return aPoll.mReport.mNow > aExpiry.mNotAfter &&
         aPoll.mSentAt >= aExpiry.mLatestArrival;
}

void
Ledger::ApplyReport(const PollResult& aPoll)
{
  const worker::WorkerReport& report = aPoll.mReport;
  if (mHasReport && aPoll.mSentAt <= mLastPollSentAt) {
    return;
  }
  mHasReport = true;
  mLastPollSentAt = aPoll.mSentAt;
  mCapacity = report.mCapacity;
  mCallCapacity = { report.mSlots, report.mConnections };
  // Before this holder's first call, all busy slots are inherited. After it,
  // their number can only decrease, because only the holder starts calls.
  mInheritedBusySlots = mHasCalled
                          ? std::min(mInheritedBusySlots, report.mSlotsBusy)
                          : report.mSlotsBusy;
  ApplyTasks(aPoll);
  ApplyCalls(aPoll);
}

void
Ledger::ApplyTasks(const PollResult& aPoll)
{
  mRunning.clear();
  for (const auto& it : aPoll.mReport.mTasks) {
    const worker::AttemptKey key{ it.mTask, it.mAttempt };
    mStarts.erase(key);
    mUnstartedGrants.erase(key);
    if (TakesCapacity(it.mPhase)) {
      mRunning[key] = it.mReserved;
    }
  }
  for (auto it = mStarts.begin(); it != mStarts.end();) {
    const bool expired = IsPastExpiry(it->second.mExpiry, aPoll);
    it = expired ? mStarts.erase(it) : std::next(it);
  }
  for (auto it = mUsageEstimates.begin(); it != mUsageEstimates.end();) {
    const bool ended = mRunning.count(it->first) == 0;
    it = ended ? mUsageEstimates.erase(it) : std::next(it);
  }
}

void
Ledger::ApplyCalls(const PollResult& aPoll)
{
  std::vector<CallNumber> expired;
  for (const auto& it : mCalls) {
    if (it.second.mAnswerLost && IsPastExpiry(it.second.mExpiry, aPoll)) {
      expired.push_back(it.first);
    }
  }
  // The report contains only the number of busy slots. Each of them may belong
  // to a call without an answer, so one expired call per busy slot is kept.
  const auto busy = static_cast<std::size_t>(
    std::max<std::int64_t>(0, aPoll.mReport.mSlotsBusy));
  for (std::size_t n = busy; n < expired.size(); ++n) {
    mCalls.erase(expired[n]);
  }
}

bool
Ledger::Fits(const base::Resources& aNeed) const
{
  return mHasReport && base::Fits(aNeed, Free());
}

bool
Ledger::FitsStart(const worker::AttemptKey& aKey,
                  const base::Resources& aNeed) const
{
  const auto grant = mUnstartedGrants.find(aKey);
  const base::Resources own =
    grant == mUnstartedGrants.end() ? base::Resources{} : grant->second;
  return mHasReport && base::Fits(aNeed, Free() + own);
}

base::Result<void>
Ledger::CommitGrant(const worker::AttemptKey& aKey,
                    const base::Resources& aNeed)
{
  if (!FitsStart(aKey, aNeed)) {
    return base::MakeError(base::ErrorKind::NoCapacity);
  }
  mUnstartedGrants[aKey] = aNeed;
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void
Ledger::CancelGrant(const worker::AttemptKey& aKey)
{
  mUnstartedGrants.erase(aKey);
}

base::Result<void>
Ledger::CommitStart(const worker::AttemptKey& aKey,
                    const base::Resources& aNeed,
                    const CommandExpiry& aExpiry)
{
  if (!FitsStart(aKey, aNeed)) {
    return base::MakeError(base::ErrorKind::NoCapacity);
  }
  mUnstartedGrants.erase(aKey);
  mStarts[aKey] = Start{ aNeed, aExpiry };
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void
Ledger::SetUsageEstimate(const worker::AttemptKey& aKey,
                         const std::optional<base::Resources>& aUsage)
{
  mUsageEstimates.erase(aKey);
  if (aUsage && mRunning.count(aKey) != 0) {
    mUsageEstimates[aKey] = *aUsage;
  }
}

void
Ledger::SetServiceReserve(const base::Resources& aReserve)
{
  mServiceReserve = aReserve;
}

base::Result<void>
Ledger::BeginCall(CallNumber aCall, const CommandExpiry& aExpiry)
{
  const CallCapacity free = FreeCallCapacity();
  if (free.mSlots < 1 || free.mConnections < 1) {
    return base::MakeError(base::ErrorKind::NoCapacity);
  }
  mHasCalled = true;
  mCalls[aCall] = Call{ aExpiry, false };
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void
Ledger::EndCall(CallNumber aCall)
{
  mCalls.erase(aCall);
}

void
Ledger::MarkAnswerLost(CallNumber aCall)
{
  const auto it = mCalls.find(aCall);
  if (it != mCalls.end()) {
    it->second.mAnswerLost = true;
  }
}

base::Resources
Ledger::Committed() const
{
  const base::Resources reserved = Reserved();
  base::Resources surplus;
  for (const auto& it : mUsageEstimates) {
    const base::Resources& own = mRunning.at(it.first);
    surplus += base::Max(own, it.second) - own;
  }
  const base::Resources rest = base::Max({}, mCapacity - reserved);
  return reserved + Min(surplus, rest);
}

CallCapacity
Ledger::FreeCallCapacity() const
{
  const auto calls = static_cast<std::int64_t>(mCalls.size());
  const std::int64_t taken = calls + mInheritedBusySlots;
  return { std::max<std::int64_t>(0, mCallCapacity.mSlots - taken),
           std::max<std::int64_t>(0, mCallCapacity.mConnections - taken) };
}

bool
Ledger::IsStartInFlight(const worker::AttemptKey& aKey) const
{
  return mStarts.count(aKey) != 0;
}

base::Resources
Ledger::Reserved() const
{
  base::Resources sum;
  for (const auto& it : mRunning) {
    sum += it.second;
  }
  for (const auto& it : mStarts) {
    sum += it.second.mNeed;
  }
  for (const auto& it : mUnstartedGrants) {
    sum += it.second;
  }
  return sum;
}

base::Resources
Ledger::Free() const
{
  return mCapacity - Committed() - mServiceReserve;
}

} // namespace skylarkhill::holder
