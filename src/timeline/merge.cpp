#include "skylarkhill/timeline/merge.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <map>
#include <set>
#include <sstream>
#include <tuple>
#include <utility>

namespace skylarkhill::timeline {

namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

bool
IsBefore(const MergedEvent& aLeft, const MergedEvent& aRight)
{
  return std::tie(aLeft.mEvent.mTime, aLeft.mInstance) <
         std::tie(aRight.mEvent.mTime, aRight.mInstance);
}

// The timestamps of one instance are unique, so they identify its events.
bool
IsDuplicate(const MergedEvent& aLeft, const MergedEvent& aRight)
{
  return aLeft.mInstance == aRight.mInstance &&
         aLeft.mEvent.mTime == aRight.mEvent.mTime;
}

// E.g. "2026-01-31T23:59:59.000001Z+2", which ends with mLogical.
std::string
FormatTime(const HybridTimestamp& aTime)
{
  constexpr std::size_t kMaxLength = 64;
  const std::time_t seconds = aTime.mWallMicros / kMicrosPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, kMaxLength> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, kMaxLength> fraction{};
  std::snprintf(fraction.data(),
                fraction.size(),
                ".%06dZ+%lld",
                static_cast<int>(aTime.mWallMicros % kMicrosPerSecond),
                static_cast<long long>(aTime.mLogical));
  return std::string(date.data()).append(fraction.data());
}

// Quotes and escapes the text. Control characters become spaces, so that every
// event stays on one line.
std::string
Quote(std::string_view aText)
{
  std::string text = "\"";
  for (const char c : aText) {
    if (static_cast<unsigned char>(c) < ' ') {
      text += ' ';
      continue;
    }
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += c;
  }
  return text + '"';
}

// Whether an id can be printed without quotes. Callers choose the ids of
// requests and tasks, so these may contain spaces and quotes.
bool
NeedsNoQuotes(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return aChar > ' ' && aChar != '"' && aChar != '\\' && aChar != '\x7f';
  });
}

void
PrintId(std::ostream& aOut, const char* aKey, const std::string& aValue)
{
  if (!aValue.empty()) {
    aOut << ' ' << aKey << '='
         << (NeedsNoQuotes(aValue) ? aValue : Quote(aValue));
  }
}

/// The role of an event in a Chrome trace ("ph").
enum class Phase
{
  Begin,
  End,
  Instant,
};

Phase
PhaseOf(EventKind aKind)
{
  switch (aKind) {
    case EventKind::RequestAccepted:
    case EventKind::AttemptStarted:
    case EventKind::AttemptAdopted:
      return Phase::Begin;
    case EventKind::RequestRefused:
    case EventKind::RequestCompleted:
    case EventKind::RequestUnknown:
    case EventKind::AttemptEnded:
      return Phase::End;
    default:
      return Phase::Instant;
  }
}

std::string
SpanName(const Event& aEvent)
{
  if (!aEvent.mTask.mValue.empty()) {
    return "task " + aEvent.mTask.mValue + " attempt " +
           std::to_string(aEvent.mAttempt);
  }
  return "request " + aEvent.mRequest.mValue;
}

/// Builds a Chrome trace from merged events.
class TraceBuilder
{
public:
  TraceBuilder()
  {
    mTrace = base::MakeJsonObject();
    mEvents.setCategory(base::JsonValue::Array);
  }

  void Add(const MergedEvent& aEvent)
  {
    const std::int64_t processId = ProcessIdOf(aEvent.mInstance);
    const std::int64_t threadId = ThreadIdOf(processId, aEvent.mEvent.mWorker);
    base::JsonValue& traceEvent = AddTraceEvent(processId, threadId);
    traceEvent.addMember("ts") <<= aEvent.mEvent.mTime.mWallMicros;
    AddPhase(traceEvent, aEvent.mEvent);
    base::JsonValue& arguments = traceEvent.addMember("args");
    arguments = FormatEvent(aEvent.mEvent);
    arguments.setName("args");
  }

  std::string Finish()
  {
    base::JsonValue& events = mTrace.addMember();
    events.swap(mEvents);
    events.setName("traceEvents");
    return base::FormatJson(mTrace);
  }

private:
  base::JsonValue& AddTraceEvent(std::int64_t aProcessId,
                                 std::int64_t aThreadId)
  {
    base::JsonValue& traceEvent = mEvents.addMember();
    traceEvent.setCategory(base::JsonValue::Object);
    traceEvent.addMember("pid") <<= aProcessId;
    traceEvent.addMember("tid") <<= aThreadId;
    return traceEvent;
  }

  // Spans are asynchronous events ("b" and "e"), because an attempt can begin
  // on one instance and end on another.
  static void AddPhase(base::JsonValue& aTraceEvent, const Event& aEvent)
  {
    const Phase phase = PhaseOf(aEvent.mKind);
    const bool isSpan = phase != Phase::Instant;
    const std::string name =
      isSpan ? SpanName(aEvent) : std::string(NameOf(aEvent.mKind));
    aTraceEvent.addMember("name") <<= name;
    aTraceEvent.addMember("cat") <<=
      std::string(aEvent.mTask.mValue.empty() ? "request" : "task");
    if (isSpan) {
      aTraceEvent.addMember("ph") <<=
        std::string(phase == Phase::Begin ? "b" : "e");
      aTraceEvent.addMember("id") <<= name;
    } else {
      aTraceEvent.addMember("ph") <<= std::string("i");
      aTraceEvent.addMember("s") <<= std::string("t");
    }
  }

  // Names a process or a thread; `aKey` is "process_name" or "thread_name".
  void AddMetadata(const char* aKey,
                   std::int64_t aProcessId,
                   std::int64_t aThreadId,
                   const std::string& aName)
  {
    base::JsonValue& traceEvent = AddTraceEvent(aProcessId, aThreadId);
    traceEvent.addMember("ph") <<= std::string("M");
    traceEvent.addMember("name") <<= std::string(aKey);
    base::JsonValue& arguments = traceEvent.addMember("args");
    arguments.setCategory(base::JsonValue::Object);
    arguments.addMember("name") <<= aName;
  }

  // Assigns an id to an instance at its first event.
  std::int64_t ProcessIdOf(const base::InstanceId& aInstance)
  {
    const auto newId = static_cast<std::int64_t>(mProcessIds.size()) + 1;
    const auto [it, isNew] = mProcessIds.emplace(aInstance, newId);
    if (isNew) {
      AddMetadata("process_name", newId, 0, aInstance.mValue);
    }
    return it->second;
  }

  // Assigns an id to a worker at its first event. Events without a worker are
  // on thread 0.
  std::int64_t ThreadIdOf(std::int64_t aProcessId,
                          const base::WorkerId& aWorker)
  {
    if (aWorker.mValue.empty()) {
      return 0;
    }
    const auto newId = static_cast<std::int64_t>(mThreadIds.size()) + 1;
    const std::int64_t threadId =
      mThreadIds.emplace(aWorker, newId).first->second;
    if (mNamedThreads.emplace(aProcessId, threadId).second) {
      AddMetadata("thread_name", aProcessId, threadId, aWorker.mValue);
    }
    return threadId;
  }

  base::JsonValue mTrace;
  base::JsonValue mEvents;
  std::map<base::InstanceId, std::int64_t> mProcessIds;
  std::map<base::WorkerId, std::int64_t> mThreadIds;
  std::set<std::pair<std::int64_t, std::int64_t>> mNamedThreads;
};

} // namespace

std::vector<MergedEvent>
Merge(const std::vector<TimelineExport>& aExports, const EventFilter& aFilter)
{
  std::vector<MergedEvent> merged;
  for (const auto& source : aExports) {
    for (const auto& it : source.mEvents) {
      if (Matches(aFilter, it)) {
        merged.push_back({ source.mInstance, it });
      }
    }
  }
  std::sort(merged.begin(), merged.end(), IsBefore);
  merged.erase(std::unique(merged.begin(), merged.end(), IsDuplicate),
               merged.end());
  return merged;
}

std::string
FormatText(const std::vector<MergedEvent>& aEvents)
{
  std::ostringstream out;
  for (const auto& it : aEvents) {
    const Event& event = it.mEvent;
    out << FormatTime(event.mTime) << ' ' << it.mInstance << ' '
        << NameOf(event.mKind);
    PrintId(out, "request", event.mRequest.mValue);
    PrintId(out, "task", event.mTask.mValue);
    if (event.mAttempt != 0) {
      out << " attempt=" << event.mAttempt;
    }
    PrintId(out, "worker", event.mWorker.mValue);
    PrintId(out, "domain", event.mDomain.mValue);
    if (!event.mDetail.empty()) {
      out << " detail=" << Quote(event.mDetail);
    }
    out << '\n';
  }
  return out.str();
}

std::string
FormatChromeTrace(const std::vector<MergedEvent>& aEvents)
{
  TraceBuilder builder;
  for (const auto& it : aEvents) {
    builder.Add(it);
  }
  return builder.Finish();
}

} // namespace skylarkhill::timeline
