#ifndef SKYLARKHILL_PEER_CLOCK_BOUND_HPP
#define SKYLARKHILL_PEER_CLOCK_BOUND_HPP

#include "skylarkhill/base/clock.hpp"

#include <cstdint>
#include <optional>

namespace skylarkhill::peer {

/// Minimum over a sliding window of 10 to 20 s.
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

/// Bounds of a peer's clock relative to the own one. Not thread-safe.
class ClockBound
{
public:
  /// A frame that was sent at `aSentMicros` on the peer's clock arrived.
  void RecordArrival(std::int64_t aSentMicros, base::TimePoint aNow);
  /// The peer saw this smallest difference between arrival on its clock and
  /// sending on the own clock.
  void RecordEcho(std::int64_t aDifferenceMicros, base::TimePoint aNow);

  /// Smallest difference between arrival here and sending at the peer.
  std::optional<std::int64_t> MinDifference(base::TimePoint aNow) const;
  /// The latest own time that is certainly not after `aPeerMicros` on the
  /// peer's clock; nothing before an echo has arrived.
  std::optional<base::TimePoint> ToEarliestLocalTime(
    std::int64_t aPeerMicros,
    base::TimePoint aNow) const;

private:
  WindowedMinimum mArrivals;
  WindowedMinimum mEchoes;
};

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_PEER_CLOCK_BOUND_HPP
