#include "skylarkhill/timeline/event.hpp"

#include "skylarkhill/base/name_table.hpp"

namespace skylarkhill::timeline {

namespace {

constexpr base::NameTable<EventKind, 41> kEventKindNames{ {
  { EventKind::RequestAccepted, "request_accepted" },
  { EventKind::RequestRefused, "request_refused" },
  { EventKind::RequestForwarded, "request_forwarded" },
  { EventKind::RequestSent, "request_sent" },
  { EventKind::RequestRetried, "request_retried" },
  { EventKind::RequestCompleted, "request_completed" },
  { EventKind::RequestUnknown, "request_unknown" },
  { EventKind::ResponseDropped, "response_dropped" },
  { EventKind::AttemptGranted, "attempt_granted" },
  { EventKind::AttemptStarted, "attempt_started" },
  { EventKind::AttemptAdopted, "attempt_adopted" },
  { EventKind::AttemptThrottled, "attempt_throttled" },
  { EventKind::AttemptCheckpointed, "attempt_checkpointed" },
  { EventKind::AttemptEnded, "attempt_ended" },
  { EventKind::HolderAcquired, "holder_acquired" },
  { EventKind::HolderReleased, "holder_released" },
  { EventKind::HolderLost, "holder_lost" },
  { EventKind::TaskAccepted, "task_accepted" },
  { EventKind::TaskRefused, "task_refused" },
  { EventKind::TaskEvicted, "task_evicted" },
  { EventKind::TaskCancelled, "task_cancelled" },
  { EventKind::TaskCompleted, "task_completed" },
  { EventKind::TaskFailed, "task_failed" },
  { EventKind::TaskQuarantined, "task_quarantined" },
  { EventKind::ConfigPublished, "config_published" },
  { EventKind::ConfigRefused, "config_refused" },
  { EventKind::ConfigApplied, "config_applied" },
  { EventKind::MemberAppeared, "member_appeared" },
  { EventKind::MemberSuspected, "member_suspected" },
  { EventKind::MemberLeaving, "member_leaving" },
  { EventKind::MemberRemoved, "member_removed" },
  { EventKind::BreakerOpened, "breaker_opened" },
  { EventKind::BreakerProbed, "breaker_probed" },
  { EventKind::BreakerClosed, "breaker_closed" },
  { EventKind::LogUnavailable, "log_unavailable" },
  { EventKind::LogRecovered, "log_recovered" },
  { EventKind::ConnectionReplaced, "connection_replaced" },
  { EventKind::InstanceStarted, "instance_started" },
  { EventKind::InstanceReady, "instance_ready" },
  { EventKind::DrainStarted, "drain_started" },
  { EventKind::DrainCompleted, "drain_completed" },
} };

template<typename Id>
bool
MatchesId(const Id& aFilterId, const Id& aEventId)
{
  return aFilterId.mValue.empty() || aFilterId == aEventId;
}

void
AddIfNotEmpty(base::JsonValue& aValue,
              const char* aKey,
              const std::string& aText)
{
  if (!aText.empty()) {
    aValue.addMember(aKey) <<= aText;
  }
}

} // namespace

std::string_view
NameOf(EventKind aKind)
{
  return base::FindName(kEventKindNames, aKind);
}

std::optional<EventKind>
ParseEventKind(std::string_view aName)
{
  return base::FindValue(kEventKindNames, aName);
}

bool
Matches(const EventFilter& aFilter, const Event& aEvent)
{
  return MatchesId(aFilter.mRequest, aEvent.mRequest) &&
         MatchesId(aFilter.mTask, aEvent.mTask) &&
         MatchesId(aFilter.mWorker, aEvent.mWorker) &&
         MatchesId(aFilter.mDomain, aEvent.mDomain);
}

base::JsonValue
FormatEvent(const Event& aEvent)
{
  base::JsonValue value = base::MakeJsonObject();
  value.addMember("kind") <<= std::string(NameOf(aEvent.mKind));
  value.addMember("wall_us") <<= aEvent.mTime.mWallMicros;
  value.addMember("logical") <<= aEvent.mTime.mLogical;
  AddIfNotEmpty(value, "request", aEvent.mRequest.mValue);
  AddIfNotEmpty(value, "task", aEvent.mTask.mValue);
  AddIfNotEmpty(value, "worker", aEvent.mWorker.mValue);
  AddIfNotEmpty(value, "domain", aEvent.mDomain.mValue);
  if (aEvent.mAttempt != 0) {
    value.addMember("attempt") <<= aEvent.mAttempt;
  }
  AddIfNotEmpty(value, "detail", aEvent.mDetail);
  return value;
}

base::Result<Event>
ParseEvent(const base::JsonValue& aValue)
{
  base::JsonReader reader(aValue, "event");
  Event event;
  const std::string kind = reader.GetString("kind");
  event.mTime.mWallMicros = reader.GetInt("wall_us");
  event.mTime.mLogical = reader.GetInt("logical");
  event.mRequest.mValue = reader.GetString("request", "");
  event.mTask.mValue = reader.GetString("task", "");
  event.mWorker.mValue = reader.GetString("worker", "");
  event.mDomain.mValue = reader.GetString("domain", "");
  event.mAttempt = reader.GetInt("attempt", 0);
  event.mDetail = reader.GetString("detail", "");
  reader.RejectUnknown();
  BOOST_OUTCOME_TRYV(reader.Check());
  const auto parsedKind = ParseEventKind(kind);
  if (!parsedKind) {
    return base::MakeError(base::ErrorKind::InvalidArgument,
                           "unknown event kind '" + kind + "'");
  }
  event.mKind = *parsedKind;
  return event;
}

} // namespace skylarkhill::timeline
