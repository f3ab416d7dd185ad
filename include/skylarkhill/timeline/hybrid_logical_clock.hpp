#ifndef SKYLARKHILL_TIMELINE_HYBRID_LOGICAL_CLOCK_HPP
#define SKYLARKHILL_TIMELINE_HYBRID_LOGICAL_CLOCK_HPP

#include "skylarkhill/base/clock.hpp"

#include <cstdint>
#include <mutex>

namespace skylarkhill::timeline {

/// A timestamp of a hybrid logical clock. If event A can have caused event B,
/// the timestamp of A is smaller than that of B.
struct HybridTimestamp
{
  /// Microseconds since 1970 (UTC). Ahead of the instance's own clock if a
  /// message from another instance carried a later timestamp.
  std::int64_t mWallMicros = 0;
  /// Orders events with equal `mWallMicros`.
  std::int64_t mLogical = 0;
};

bool
operator==(const HybridTimestamp& aLeft, const HybridTimestamp& aRight);
bool
operator<(const HybridTimestamp& aLeft, const HybridTimestamp& aRight);

/// The UTC time, since 1970, of the zero point of `aClock`, calculated from the
/// current time of the system clock.
base::Duration
ReadClockEpoch(const base::Clock& aClock);

/// A hybrid logical clock. Thread-safe.
class HybridLogicalClock
{
public:
  /// `aClockEpoch` is the UTC time, since 1970, of the zero point of `aClock`.
  /// It stays fixed, so that steps of the system clock have no effect.
  HybridLogicalClock(const base::Clock& aClock, base::Duration aClockEpoch);

  /// Returns the timestamp of a new event or of an outgoing message. It is
  /// larger than all timestamps returned or observed before.
  HybridTimestamp Tick();

  /// Advances the clock to the timestamp of a received message. Timestamps
  /// returned afterwards are larger than `aRemote`.
  void Observe(const HybridTimestamp& aRemote);

private:
  std::int64_t ReadWallMicros() const;

  const base::Clock& mClock;
  const base::Duration mClockEpoch;
  std::mutex mLock;
  HybridTimestamp mLast;
};

} // namespace skylarkhill::timeline

#endif // SKYLARKHILL_TIMELINE_HYBRID_LOGICAL_CLOCK_HPP
