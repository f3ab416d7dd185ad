#include "skylarkhill/requests/request.hpp"

#include <utility>

namespace skylarkhill::requests {

RequestResult
MakeNotRun(base::Error aError)
{
  if (base::GetErrorInfo(aError.mKind).mExecution != base::Execution::NotRun) {
    aError.mKind = base::ErrorKind::NoCapacity;
  }
  return RequestResult{ Outcome::NotRun, std::move(aError), {}, false };
}

RequestResult
MakeUnknown(base::Error aError)
{
  if (base::GetErrorInfo(aError.mKind).mExecution == base::Execution::NotRun) {
    aError.mKind = base::ErrorKind::OutcomeUnknown;
  }
  return RequestResult{ Outcome::Unknown, std::move(aError), {}, false };
}

RequestResult
MakeCompleted(std::string aBody)
{
  return RequestResult{ Outcome::Completed, {}, std::move(aBody), false };
}

bool
ProvesNotRun(base::ErrorKind aKind)
{
  return aKind == base::ErrorKind::WorkerUnavailable ||
         aKind == base::ErrorKind::WorkerRefused ||
         aKind == base::ErrorKind::StaleCommand;
}

} // namespace skylarkhill::requests
