#include "skylarkhill/entry/service_admission.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::entry {

namespace {

constexpr base::Duration kQueueCheckInterval = std::chrono::milliseconds(20);
// Size of an upward step of the latency estimate, relative to the larger of
// sample and estimate. Downward steps are 19 times smaller, so that the
// estimate settles near the 95th percentile.
constexpr double kEstimateStepRatio = 0.02;
constexpr double kUpDownRatio = 19.0;
// With a shorter delay, hedges would be sent before most answers can arrive.
constexpr base::Duration kMinHedgeDelay = std::chrono::milliseconds(10);
constexpr std::int64_t kMinHedgeSamples = 50;

} // namespace

ServiceAdmission::ServiceAdmission(const ServiceAdmissionOptions& aOptions,
                                   const base::Clock& aClock)
  : mClock(aClock)
  , mBudget(aOptions.mRetryBudget, aClock.Now())
  , mQueue(requests::CreateDeadlineAdmissionQueue(aOptions.mQueue))
  , mLimit(requests::CreateAdaptiveConcurrencyLimit({}))
{
}

base::Result<void>
ServiceAdmission::Acquire(const requests::Request& aRequest,
                          bool aIsStanding,
                          std::int64_t aSlots)
{
  std::unique_lock lock(mMutex);
  mLimit->SetCapacity(aSlots);
  mQueue->SetConcurrency(static_cast<double>(mLimit->Limit()));
  BOOST_OUTCOME_TRYV(mQueue->Offer(
    { aRequest.mId, aRequest.mImportance, aRequest.mDeadline, aIsStanding },
    mClock.Now()));
  AdmitQueued();
  while (mAdmitted.erase(aRequest.mId) == 0) {
    const auto dropped = mDropped.find(aRequest.mId);
    if (dropped != mDropped.end()) {
      const base::Error error = dropped->second;
      mDropped.erase(dropped);
      return error;
    }
    mChanged.wait_for(lock, kQueueCheckInterval);
    AdmitQueued();
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void
ServiceAdmission::AdmitQueued()
{
  const base::TimePoint now = mClock.Now();
  mQueue->Expire(now);
  const std::int64_t limit = std::max<std::int64_t>(1, mLimit->Limit());
  while (mRunning < limit) {
    const auto entry = mQueue->Take(now);
    if (!entry) {
      break;
    }
    mAdmitted.insert(entry->mRequest);
    ++mRunning;
    mChanged.notify_all();
  }
  for (auto& it : mQueue->TakeDropped()) {
    mDropped.emplace(it.mEntry.mRequest, std::move(it.mError));
    mChanged.notify_all();
  }
}

void
ServiceAdmission::Release(bool aIsStanding,
                          base::Duration aServiceTime,
                          bool aCompleted)
{
  const std::lock_guard lock(mMutex);
  if (aIsStanding) {
    mQueue->ReleaseStanding();
  } else {
    RecordServiceTime(aServiceTime, aCompleted);
  }
  --mRunning;
  AdmitQueued();
}

// Only completed requests count for the latency estimates; the concurrency
// limit observes failed ones too.
void
ServiceAdmission::RecordServiceTime(base::Duration aServiceTime,
                                    bool aCompleted)
{
  mLimit->Observe({ aServiceTime, mRunning, !aCompleted }, mClock.Now());
  if (!aCompleted) {
    return;
  }
  mQueue->RecordServiceTime(aServiceTime);
  ++mSamples;
  const auto sample = static_cast<double>(aServiceTime.count());
  const double step =
    kEstimateStepRatio * std::max(1.0, std::max(sample, mTailLatencyMicros));
  mTailLatencyMicros += sample > mTailLatencyMicros
                          ? step
                          : -std::min(mTailLatencyMicros, step / kUpDownRatio);
}

base::Duration
ServiceAdmission::HedgeDelay() const
{
  const std::lock_guard lock(mMutex);
  if (mSamples < kMinHedgeSamples) {
    return base::Duration::zero();
  }
  return std::max(
    kMinHedgeDelay,
    base::Duration(static_cast<std::int64_t>(mTailLatencyMicros)));
}

} // namespace skylarkhill::entry
