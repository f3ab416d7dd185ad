#ifndef SKYLARKHILL_TIMELINE_MERGE_HPP
#define SKYLARKHILL_TIMELINE_MERGE_HPP

#include "skylarkhill/timeline/timeline.hpp"

#include <string>
#include <vector>

namespace skylarkhill::timeline {

/// An event and the instance that recorded it.
struct MergedEvent
{
  base::InstanceId mInstance;
  Event mEvent;
};

/// Merges the matching events of several instances so that every event follows
/// those that can have caused it. An event that occurs in several exports of
/// the same instance is returned once.
std::vector<MergedEvent>
Merge(const std::vector<TimelineExport>& aExports,
      const EventFilter& aFilter = {});

/// One line per event.
std::string
FormatText(const std::vector<MergedEvent>& aEvents);

/// JSON in the Chrome trace event format: one process per instance and one
/// thread per worker in it; requests and attempts are asynchronous spans, all
/// other events are instant events.
std::string
FormatChromeTrace(const std::vector<MergedEvent>& aEvents);

} // namespace skylarkhill::timeline

#endif // SKYLARKHILL_TIMELINE_MERGE_HPP
