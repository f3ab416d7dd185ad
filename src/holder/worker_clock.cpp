#include "skylarkhill/holder/worker_clock.hpp"

#include <algorithm>

namespace skylarkhill::holder {

namespace {

constexpr std::int64_t kMillion = 1'000'000;

} // namespace

WorkerClock::WorkerClock(std::int64_t aMaxDriftPpm)
  : mMaxDriftPpm(aMaxDriftPpm)
{
}

void
WorkerClock::Observe(worker::WorkerTime aWorkerNow,
                     base::TimePoint aSentAt,
                     base::TimePoint aReceivedAt)
{
  const std::int64_t low = aWorkerNow - base::ToMicros(aReceivedAt);
  const std::int64_t high = aWorkerNow - base::ToMicros(aSentAt);
  const std::int64_t drift = Drift(aReceivedAt);
  const std::int64_t oldLow = mLow - drift;
  const std::int64_t oldHigh = mHigh + drift;
  // If the bounds do not overlap, the worker's clock was adjusted.
  const bool disjoint = low > oldHigh || high < oldLow;
  const bool replace = !mKnown || disjoint;
  mLow = replace ? low : std::max(low, oldLow);
  mHigh = replace ? high : std::min(high, oldHigh);
  mObservedAt = aReceivedAt;
  mKnown = true;
}

worker::WorkerTime
WorkerClock::ToEarliestWorkerTime(base::TimePoint aDeadline) const
{
  return base::ToMicros(aDeadline) + mLow - Drift(aDeadline);
}

base::TimePoint
WorkerClock::ToLatestLocalTime(worker::WorkerTime aTime) const
{
  const base::TimePoint estimate = base::FromMicros(aTime - mLow);
  return base::FromMicros(aTime - mLow + Drift(estimate));
}

std::int64_t
WorkerClock::Drift(base::TimePoint aUntil) const
{
  const std::int64_t age =
    std::max<std::int64_t>(0, (aUntil - mObservedAt).count());
  return age * mMaxDriftPpm / kMillion;
}

} // namespace skylarkhill::holder
