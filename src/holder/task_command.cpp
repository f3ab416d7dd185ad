#include "skylarkhill/holder/task_command.hpp"

namespace skylarkhill::holder {

CommandOutcome
ToCommandOutcome(const base::Result<void>& aResult)
{
  if (aResult) {
    return CommandOutcome::Ok;
  }
  // A command that was not sent or arrived too late counts as Unknown as well:
  // it is repeated as soon as a report shows that this is safe.
  return aResult.error().mKind == base::ErrorKind::WorkerRefused
           ? CommandOutcome::Refused
           : CommandOutcome::Unknown;
}

} // namespace skylarkhill::holder
