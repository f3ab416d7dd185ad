#include "skylarkhill/dispatch/worker.hpp"

#include "skylarkhill/base/name_table.hpp"

namespace skylarkhill::dispatch {

namespace {

constexpr base::NameTable<RunOutcome, 6> kRunOutcomeNames{ {
  { RunOutcome::Done, "done" },
  { RunOutcome::Failed, "failed" },
  { RunOutcome::Stopped, "stopped" },
  { RunOutcome::LeaseExpired, "lease_expired" },
  { RunOutcome::GangBroken, "gang_broken" },
  { RunOutcome::GangIncomplete, "gang_incomplete" },
} };

constexpr base::NameTable<StartOutcome, 13> kStartOutcomeNames{ {
  { StartOutcome::Started, "started" },
  { StartOutcome::NoRoom, "no_room" },
  { StartOutcome::OldRun, "old_run" },
  { StartOutcome::TooLate, "too_late" },
  { StartOutcome::Fenced, "fenced" },
  { StartOutcome::TicketInvalid, "ticket_invalid" },
  { StartOutcome::Unhealthy, "unhealthy" },
  { StartOutcome::Rejected, "rejected" },
  { StartOutcome::OtherWorker, "other_worker" },
  { StartOutcome::OtherIncarnation, "other_incarnation" },
  { StartOutcome::DeadlinePassed, "deadline_passed" },
  { StartOutcome::NotSent, "not_sent" },
  { StartOutcome::Unknown, "unknown" },
} };

constexpr base::NameTable<CallOutcome, 4> kCallOutcomeNames{ {
  { CallOutcome::Accepted, "accepted" },
  { CallOutcome::Fenced, "fenced" },
  { CallOutcome::Refused, "refused" },
  { CallOutcome::Unknown, "unknown" },
} };

} // namespace

std::string
ToText(const TaskId& aTask)
{
  return aTask.mJobId + "." + std::to_string(aTask.mOccurrence) + "." +
         std::to_string(aTask.mStep) + "." + std::to_string(aTask.mIndex);
}

std::string_view
NameOf(RunOutcome aOutcome)
{
  return base::FindName(kRunOutcomeNames, aOutcome);
}

std::string_view
NameOf(StartOutcome aOutcome)
{
  return base::FindName(kStartOutcomeNames, aOutcome);
}

std::string_view
NameOf(CallOutcome aOutcome)
{
  return base::FindName(kCallOutcomeNames, aOutcome);
}

} // namespace skylarkhill::dispatch
