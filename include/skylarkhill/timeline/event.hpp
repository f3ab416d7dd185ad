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
  /// The request ended without having run.
  RequestRefused,
  RequestForwarded,
  RequestSent,
  RequestRetried,
  RequestCompleted,
  /// The request ended with an unknown outcome.
  RequestUnknown,
  ResponseDropped,
  /// The grant of a task to a worker took effect.
  AttemptGranted,
  AttemptStarted,
  AttemptAdopted,
  AttemptThrottled,
  AttemptCheckpointed,
  AttemptEnded,
  HolderAcquired,
  /// The instance no longer holds a worker and is draining.
  HolderReleased,
  /// The instance no longer holds a worker and is not draining.
  HolderLost,
  TaskAccepted,
  TaskRefused,
  TaskEvicted,
  TaskCancelled,
  TaskCompleted,
  TaskFailed,
  /// The failures on several workers are attributed to the task.
  TaskQuarantined,
  ConfigPublished,
  ConfigRefused,
  ConfigApplied,
  /// First heartbeat of a peer.
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

/// InvalidArgument if fields are invalid; the detail lists them.
base::Result<Event>
ParseEvent(const base::JsonValue& aValue);

} // namespace skylarkhill::timeline

#endif // SKYLARKHILL_TIMELINE_EVENT_HPP
