#include "skylarkhill/base/clock.hpp"

#include <algorithm>
#include <ctime>
#include <thread>

namespace skylarkhill::base {

namespace {

class SystemBootClock : public Clock
{
public:
  // CLOCK_BOOTTIME includes suspended time, so that a lease that expired while
  // the machine was suspended counts as expired.
  TimePoint Now() const override
  {
    timespec buf{};
    clock_gettime(CLOCK_BOOTTIME, &buf);
    return TimePoint(std::chrono::seconds(buf.tv_sec) +
                     std::chrono::microseconds(buf.tv_nsec / 1000));
  }
};

} // namespace

const Clock&
GetBootClock()
{
  static const SystemBootClock clock;
  return clock;
}

void
Clock::SleepUntil(TimePoint aTime) const
{
  for (TimePoint now = Now(); now < aTime; now = Now()) {
    std::this_thread::sleep_for(aTime - now);
  }
}

TimePoint
ManualClock::Now() const
{
  return FromMicros(mMicros.load());
}

void
ManualClock::SleepUntil(TimePoint aTime) const
{
  mMicros = std::max(mMicros.load(), ToMicros(aTime));
}

void
ManualClock::Advance(Duration aStep)
{
  mMicros += aStep.count();
}

void
ManualClock::Set(TimePoint aNow)
{
  mMicros = ToMicros(aNow);
}

std::int64_t
ToMicros(TimePoint aTime)
{
  return aTime.time_since_epoch().count();
}

TimePoint
FromMicros(std::int64_t aMicros)
{
  return TimePoint(Duration(aMicros));
}

Duration
Remaining(TimePoint aNow, TimePoint aDeadline)
{
  return std::max(Duration::zero(), Duration(aDeadline - aNow));
}

} // namespace skylarkhill::base
