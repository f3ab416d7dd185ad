#include "skylarkhill/node/shared_log.hpp"

#include "skylarkhill/base/name_table.hpp"

namespace skylarkhill::node {

namespace {

constexpr base::NameTable<LogOutcome, 7> kOutcomeNames{ {
  { LogOutcome::Done, "done" },
  { LogOutcome::EndMoved, "end_moved" },
  { LogOutcome::Fenced, "fenced" },
  { LogOutcome::OutOfSequence, "out_of_sequence" },
  { LogOutcome::Expired, "expired" },
  { LogOutcome::Refused, "refused" },
  { LogOutcome::Unknown, "unknown" },
} };

} // namespace

std::string_view
NameOf(LogOutcome aOutcome)
{
  return base::FindName(kOutcomeNames, aOutcome);
}

} // namespace skylarkhill::node
