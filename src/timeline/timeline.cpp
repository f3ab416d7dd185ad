#include "skylarkhill/timeline/timeline.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace skylarkhill::timeline {

Timeline::Timeline(base::InstanceId aInstance,
                   std::size_t aCapacity,
                   HybridLogicalClock& aClock)
  : mInstance(std::move(aInstance))
  , mClock(aClock)
  , mEvents(aCapacity)
{
}

// The timestamp is taken under the lock so that the buffer is in the order of
// timestamps.
void
Timeline::Record(Event aEvent)
{
  const std::lock_guard<std::mutex> guard(mLock);
  aEvent.mTime = mClock.Tick();
  if (mEvents.full()) {
    ++mDropped;
  }
  mEvents.push_back(std::move(aEvent));
}

TimelineExport
Timeline::Export(const EventFilter& aFilter) const
{
  TimelineExport result;
  result.mInstance = mInstance;
  const std::lock_guard<std::mutex> guard(mLock);
  result.mDropped = mDropped;
  std::copy_if(
    mEvents.begin(),
    mEvents.end(),
    std::back_inserter(result.mEvents),
    [&aFilter](const Event& aEvent) { return Matches(aFilter, aEvent); });
  return result;
}

std::string
FormatExport(const TimelineExport& aExport)
{
  base::JsonValue value = base::MakeJsonObject();
  value.addMember("instance") <<= aExport.mInstance.mValue;
  value.addMember("dropped") <<= aExport.mDropped;
  base::JsonValue& events = value.addMember("events");
  events.setCategory(base::JsonValue::Array);
  for (const auto& it : aExport.mEvents) {
    FormatEvent(it).swap(events.addMember());
  }
  return base::FormatJson(value);
}

base::Result<TimelineExport>
ParseExport(std::string_view aText)
{
  const auto value = base::ParseJson(aText);
  if (value.has_error()) {
    return value.error();
  }
  TimelineExport result;
  base::JsonReader reader(value.value(), "timeline");
  result.mInstance.mValue = reader.GetString("instance");
  result.mDropped = reader.GetInt("dropped");
  const base::JsonValue* events = reader.GetMember("events");
  reader.RejectUnknown();
  BOOST_OUTCOME_TRYV(reader.Check());
  if (events == nullptr || events->category() != base::JsonValue::Array) {
    return base::MakeError(base::ErrorKind::InvalidArgument,
                           "timeline: 'events' must be an array");
  }
  for (const auto& it : *events) {
    auto event = ParseEvent(it);
    if (event.has_error()) {
      return event.error();
    }
    result.mEvents.push_back(std::move(event.value()));
  }
  return result;
}

} // namespace skylarkhill::timeline
