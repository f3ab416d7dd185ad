#ifndef SKYLARKHILL_TIMELINE_HYBRID_LOGICAL_CLOCK_HPP
#define SKYLARKHILL_TIMELINE_HYBRID_LOGICAL_CLOCK_HPP

#include "skylarkhill/base/clock.hpp"

#include <cstdint>
#include <mutex>

namespace skylarkhill::timeline {

/// A time of the hybrid logical clock. If one event can have caused another,
/// its time is the smaller one.
struct HybridTimestamp
{
  /// Microseconds since 1970 (UTC), at least those of the instance's clock.
  std::int64_t mWallMicros = 0;
  /// Orders the events of one microsecond.
  std::int64_t mLogical = 0;
};

bool
operator==(const HybridTimestamp& aLeft, const HybridTimestamp& aRight);
bool
operator<(const HybridTimestamp& aLeft, const HybridTimestamp& aRight);

/// The time of the boot since 1970 (UTC) according to the system's clock.
base::Duration
ReadBootTime(const base::Clock& aClock);

/// A hybrid logical clock. Thread-safe.
class HybridLogicalClock
{
public:
  /// `aBootTime` is the boot of `aClock` since 1970 (UTC). It is read once, so
  /// that steps of the system's clock do not matter.
  HybridLogicalClock(const base::Clock& aClock, base::Duration aBootTime);

  /// The time of a new event, larger than all before; to be sent along with
  /// messages.
  HybridTimestamp Tick();

  /// Takes note of the time in a received message: later events are larger.
  void Observe(const HybridTimestamp& aRemote);

private:
  std::int64_t ReadWallMicros() const;

  const base::Clock& mClock;
  const base::Duration mBootTime;
  std::mutex mLock;
  HybridTimestamp mLast;
};

} // namespace skylarkhill::timeline

#endif // SKYLARKHILL_TIMELINE_HYBRID_LOGICAL_CLOCK_HPP
