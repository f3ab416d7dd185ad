#include "skylarkhill/dispatch/worker.hpp"

#include "skylarkhill/base/name_table.hpp"

namespace skylarkhill::dispatch {

namespace {

constexpr base::NameTable<RunEnd, 6> kEndNames{ {
  { RunEnd::Done, "done" },
  { RunEnd::Failed, "failed" },
  { RunEnd::Stopped, "stopped" },
  { RunEnd::LeaseExpired, "lease_expired" },
  { RunEnd::GangBroken, "gang_broken" },
  { RunEnd::GangIncomplete, "gang_incomplete" },
} };

constexpr base::NameTable<StartOutcome, 10> kOutcomeNames{ {
  { StartOutcome::Started, "started" },
  { StartOutcome::NoRoom, "no_room" },
  { StartOutcome::OldRun, "old_run" },
  { StartOutcome::TooLate, "too_late" },
  { StartOutcome::Fenced, "fenced" },
  { StartOutcome::TicketInvalid, "ticket_invalid" },
  { StartOutcome::Unhealthy, "unhealthy" },
  { StartOutcome::Rejected, "rejected" },
  { StartOutcome::OtherIncarnation, "other_incarnation" },
  { StartOutcome::Unknown, "unknown" },
} };

} // namespace

std::string
ToText(const TaskId& aTask)
{
  return aTask.mJobId + "." + std::to_string(aTask.mOccurrence) + "." +
         std::to_string(aTask.mStep) + "." + std::to_string(aTask.mIndex);
}

std::string_view
NameOf(RunEnd aEnd)
{
  return base::FindName(kEndNames, aEnd);
}

std::string_view
NameOf(StartOutcome aOutcome)
{
  return base::FindName(kOutcomeNames, aOutcome);
}

} // namespace skylarkhill::dispatch
