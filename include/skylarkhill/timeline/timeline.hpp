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

/// Events that one instance has recorded.
struct TimelineExport
{
  base::InstanceId mInstance;
  /// Number of old events that have been overwritten.
  std::int64_t mDropped = 0;
  /// In the order of `Event::mTime`.
  std::vector<Event> mEvents;
};

/// Ring buffer with the most recent events of this instance. Thread-safe.
class Timeline
{
public:
  /// `aCapacity` is the largest number of events that are kept.
  Timeline(base::InstanceId aInstance,
           std::size_t aCapacity,
           HybridLogicalClock& aClock);

  /// Sets the timestamp of the event and adds the event. Overwrites the oldest
  /// event if the buffer is full.
  void Record(Event aEvent);

  /// Copies the events that match `aFilter`.
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

/// Parses the text of an export. InvalidJson if it is not JSON, InvalidArgument
/// if fields are missing or invalid.
base::Result<TimelineExport>
ParseExport(std::string_view aText);

} // namespace skylarkhill::timeline

#endif // SKYLARKHILL_TIMELINE_TIMELINE_HPP
