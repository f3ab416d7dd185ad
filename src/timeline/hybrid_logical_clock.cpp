#include "skylarkhill/timeline/hybrid_logical_clock.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace skylarkhill::timeline {

bool
operator==(const HybridTimestamp& aLeft, const HybridTimestamp& aRight)
{
  return aLeft.mWallMicros == aRight.mWallMicros &&
         aLeft.mLogical == aRight.mLogical;
}

bool
operator<(const HybridTimestamp& aLeft, const HybridTimestamp& aRight)
{
  return std::tie(aLeft.mWallMicros, aLeft.mLogical) <
         std::tie(aRight.mWallMicros, aRight.mLogical);
}

base::Duration
ReadClockEpoch(const base::Clock& aClock)
{
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<base::Duration>(wall) -
         aClock.Now().time_since_epoch();
}

HybridLogicalClock::HybridLogicalClock(const base::Clock& aClock,
                                       base::Duration aClockEpoch)
  : mClock(aClock)
  , mClockEpoch(aClockEpoch)
{
}

std::int64_t
HybridLogicalClock::ReadWallMicros() const
{
  return base::ToMicros(mClock.Now()) + mClockEpoch.count();
}

HybridTimestamp
HybridLogicalClock::Tick()
{
  const std::int64_t wall = ReadWallMicros();
  const std::lock_guard<std::mutex> guard(mLock);
  if (wall > mLast.mWallMicros) {
    mLast = { wall, 0 };
  } else {
    ++mLast.mLogical;
  }
  return mLast;
}

// Tick() returns a timestamp larger than mLast, so keeping the maximum is
// enough.
void
HybridLogicalClock::Observe(const HybridTimestamp& aRemote)
{
  const std::lock_guard<std::mutex> guard(mLock);
  mLast = std::max(mLast, aRemote);
}

} // namespace skylarkhill::timeline
