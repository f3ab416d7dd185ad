#ifndef SKYLARKHILL_BASE_CLOCK_HPP
#define SKYLARKHILL_BASE_CLOCK_HPP

#include <atomic>
#include <chrono>
#include <cstdint>

namespace skylarkhill::base {

using Duration = std::chrono::microseconds;

/// Time since boot, including time during which the machine was suspended.
/// Monotonic.
struct BootClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): named by the standard.
  static constexpr bool is_steady = true;
};

/// A point in time or a deadline on the boot clock.
using TimePoint = BootClock::time_point;

/// A deadline that never passes.
inline constexpr TimePoint kNoDeadline = TimePoint::max();

/// Source of the current time; an interface, so that tests can control the
/// time.
class Clock
{
public:
  virtual ~Clock() = default;
  /// The current time of this clock. Thread-safe.
  virtual TimePoint Now() const = 0;
  /// Blocks the calling thread until `aTime`.
  virtual void SleepUntil(TimePoint aTime) const;
};

/// The process-wide boot clock.
const Clock&
GetBootClock();

/// A clock that changes only when it is set or advanced. Thread-safe.
class ManualClock : public Clock
{
public:
  TimePoint Now() const override;
  /// Advances the time to `aTime` unless it is later already; never blocks.
  void SleepUntil(TimePoint aTime) const override;
  void Advance(Duration aStep);
  void Set(TimePoint aNow);

private:
  mutable std::atomic<std::int64_t> mMicros{ 1'000'000'000 };
};

/// `aTime` in microseconds since the epoch of the boot clock.
std::int64_t
ToMicros(TimePoint aTime);

/// The time `aMicros` microseconds after the epoch of the boot clock.
TimePoint
FromMicros(std::int64_t aMicros);

/// Time from `aNow` until `aDeadline`; never negative.
Duration
Remaining(TimePoint aNow, TimePoint aDeadline);

} // namespace skylarkhill::base

#endif // SKYLARKHILL_BASE_CLOCK_HPP
