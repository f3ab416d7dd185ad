#ifndef SKYLARKHILL_PEER_CLOCK_BOUND_HPP
#define SKYLARKHILL_PEER_CLOCK_BOUND_HPP

#include "skylarkhill/base/clock.hpp"

#include <cstdint>
#include <optional>

namespace skylarkhill::peer {

/// Minimum over a sliding window of 10 to 20 s, kept in two buckets.
class WindowedMinimum
{
public:
  void Add(std::int64_t aValue, base::TimePoint aNow);
  std::optional<std::int64_t> Get(base::TimePoint aNow) const;

private:
  std::int64_t mBucket = 0;
  std::optional<std::int64_t> mCurrent;
  std::optional<std::int64_t> mPrevious;
};

/// Bounds the offset between a peer's clock and the local clock. Not
/// thread-safe.
class ClockBound
{
public:
  /// Records the arrival of a frame that the peer sent at `aSentMicros` on its
  /// clock.
  void RecordArrival(std::int64_t aSentMicros, base::TimePoint aNow);
  /// Records the smallest difference, as measured by the peer, between the
  /// arrival of a frame on its clock and the send time on the local clock.
  void RecordEcho(std::int64_t aDifferenceMicros, base::TimePoint aNow);

  /// Smallest difference between the arrival of a frame on the local clock and
  /// the send time on the peer's clock.
  std::optional<std::int64_t> MinDifference(base::TimePoint aNow) const;
  /// Lower bound of the local time at which the peer's clock shows
  /// `aPeerMicros`; nothing without an echo within the window.
  std::optional<base::TimePoint> ToEarliestLocalTime(
    std::int64_t aPeerMicros,
    base::TimePoint aNow) const;

private:
  WindowedMinimum mArrivalDifferences;
  WindowedMinimum mEchoedDifferences;
};

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_PEER_CLOCK_BOUND_HPP
