#include "skylarkhill/peer/clock_bound.hpp"

#include <algorithm>

namespace skylarkhill::peer {

namespace {

constexpr std::int64_t kBucketMicros = 10'000'000;
// Two clocks whose rates differ by 100 ppm drift apart by 2 ms within the 20 s
// for which a minimum is kept.
constexpr std::int64_t kDriftMarginMicros = 2'000;

std::int64_t
BucketOf(base::TimePoint aNow)
{
  return base::ToMicros(aNow) / kBucketMicros;
}

} // namespace

void
WindowedMinimum::Add(std::int64_t aValue, base::TimePoint aNow)
{
  const std::int64_t bucket = BucketOf(aNow);
  if (bucket != mBucket) {
    mPrevious = bucket == mBucket + 1 ? mCurrent : std::nullopt;
    mCurrent.reset();
    mBucket = bucket;
  }
  mCurrent = mCurrent ? std::min(*mCurrent, aValue) : aValue;
}

std::optional<std::int64_t>
WindowedMinimum::Get(base::TimePoint aNow) const
{
  const std::int64_t age = BucketOf(aNow) - mBucket;
  if (age > 1) {
    return std::nullopt;
  }
  if (age == 1 || !mPrevious || !mCurrent) {
    return mCurrent;
  }
  return std::min(*mCurrent, *mPrevious);
}

void
ClockBound::RecordArrival(std::int64_t aSentMicros, base::TimePoint aNow)
{
  mArrivalDifferences.Add(base::ToMicros(aNow) - aSentMicros, aNow);
}

void
ClockBound::RecordEcho(std::int64_t aDifferenceMicros, base::TimePoint aNow)
{
  mEchoedDifferences.Add(aDifferenceMicros, aNow);
}

std::optional<std::int64_t>
ClockBound::MinDifference(base::TimePoint aNow) const
{
  return mArrivalDifferences.Get(aNow);
}

// The echoed difference is the offset of the peer's clock from the local clock
// plus a transit delay, which is not negative. The result is therefore early by
// that delay and never late, no matter how long the current frame was in
// transit.
std::optional<base::TimePoint>
ClockBound::ToEarliestLocalTime(std::int64_t aPeerMicros,
                                base::TimePoint aNow) const
{
  const std::optional<std::int64_t> difference = mEchoedDifferences.Get(aNow);
  if (!difference) {
    return std::nullopt;
  }
  return base::FromMicros(aPeerMicros - *difference - kDriftMarginMicros);
}

} // namespace skylarkhill::peer
