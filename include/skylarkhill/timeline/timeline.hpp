#ifndef SKYLARKHILL_TIMELINE_TIMELINE_HPP
#define SKYLARKHILL_TIMELINE_TIMELINE_HPP

#include "skylarkhill/timeline/event.hpp"

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::timeline {

/// The events of one instance.
struct TimelineExport
{
  base::InstanceId mInstance;
  /// Events that the ring had no room for.
  std::int64_t mDropped = 0;
  /// In the order of their times.
  std::vector<Event> mEvents;
};

/// The most recent events of this instance. Thread-safe.
class Timeline
{
public:
  Timeline(base::InstanceId aInstance,
           std::size_t aCapacity,
           HybridLogicalClock& aClock);

  /// Sets the time of the event and keeps it; drops the oldest if the ring is
  /// full.
  void Record(Event aEvent);

  /// The events that match.
  TimelineExport Export(const EventFilter& aFilter = {}) const;

private:
  const base::InstanceId mInstance;
  HybridLogicalClock& mClock;
  mutable std::mutex mLock;
  boost::circular_buffer<Event> mEvents;
  std::int64_t mDropped = 0;
};

/// JSON text of an export.
std::string
FormatExport(const TimelineExport& aExport);

/// InvalidJson, InvalidArgument.
base::Result<TimelineExport>
ParseExport(std::string_view aText);

} // namespace skylarkhill::timeline

#endif // SKYLARKHILL_TIMELINE_TIMELINE_HPP
