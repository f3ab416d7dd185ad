#ifndef SKYLARKHILL_TIMELINE_EVENT_HPP
#define SKYLARKHILL_TIMELINE_EVENT_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/id.hpp"
#include "skylarkhill/base/json.hpp"
#include "skylarkhill/timeline/hybrid_logical_clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkhill::timeline {

/// The type of an event.
enum class EventKind
{
  RequestAccepted,
  RequestRefused,
  RequestForwarded,
  RequestSent,
  RequestRetried,
  RequestCompleted,
  RequestUnknown,
  ResponseDropped,
  AttemptGranted,
  AttemptStarted,
  AttemptAdopted,
  AttemptThrottled,
  AttemptCheckpointed,
  AttemptEnded,
  HolderAcquired,
  HolderReleased,
  HolderLost,
  TaskAccepted,
  TaskRefused,
  TaskEvicted,
  TaskCancelled,
  TaskCompleted,
  TaskFailed,
  TaskQuarantined,
  ConfigPublished,
  ConfigRefused,
  ConfigApplied,
  MemberAppeared,
  MemberSuspected,
  MemberLeaving,
  MemberRemoved,
  BreakerOpened,
  BreakerProbed,
  BreakerClosed,
  LogUnavailable,
  LogRecovered,
  ConnectionReplaced,
  InstanceStarted,
  InstanceReady,
  DrainStarted,
  DrainCompleted,
};

/// One event of the timeline. Ids that do not apply are empty.
struct Event
{
  EventKind mKind = EventKind::InstanceStarted;
  /// Set by Timeline::Record.
  HybridTimestamp mTime;
  base::RequestId mRequest;
  base::TaskId mTask;
  base::WorkerId mWorker;
  base::DomainId mDomain;
  /// Number of the attempt at the request or task; 0 if there is none.
  std::int64_t mAttempt = 0;
  /// Text for people; must not contain secrets.
  std::string mDetail;
};

/// Selects events. An empty id matches every event; all others must be equal.
struct EventFilter
{
  base::RequestId mRequest;
  base::TaskId mTask;
  base::WorkerId mWorker;
  base::DomainId mDomain;
};

/// The name of `aKind` in exports and in the output, e.g. "attempt_started".
std::string_view
NameOf(EventKind aKind);

std::optional<EventKind>
ParseEventKind(std::string_view aName);

bool
Matches(const EventFilter& aFilter, const Event& aEvent);

base::JsonValue
FormatEvent(const Event& aEvent);

/// InvalidArgument; the detail lists the invalid fields.
base::Result<Event>
ParseEvent(const base::JsonValue& aValue);

} // namespace skylarkhill::timeline

#endif // SKYLARKHILL_TIMELINE_EVENT_HPP
