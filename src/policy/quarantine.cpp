#include "skylarkhill/policy/quarantine.hpp"

#include <algorithm>

namespace skylarkhill::policy {

Quarantine::Quarantine(std::size_t aMinWorkers)
  : mMinWorkers(aMinWorkers)
{
}

void
Quarantine::OnFailure(const base::TaskId& aTask,
                      const base::WorkerId& aWorker,
                      bool aBreakerClosed,
                      const std::string& aReason)
{
  if (!aBreakerClosed) {
    return;
  }
  std::vector<Failure>& failures = mFailures[aTask];
  const bool known =
    std::any_of(failures.begin(), failures.end(), [&](const auto& aFailure) {
      return aFailure.mWorker == aWorker;
    });
  if (!known) {
    failures.push_back({ aWorker, aReason });
  }
}

void
Quarantine::Forget(const base::TaskId& aTask)
{
  mFailures.erase(aTask);
}

std::optional<QuarantineDecision>
Quarantine::Find(const base::TaskId& aTask) const
{
  const auto found = mFailures.find(aTask);
  if (found == mFailures.end() || found->second.size() < mMinWorkers) {
    return std::nullopt;
  }
  QuarantineDecision decision;
  decision.mTask = aTask;
  decision.mReason = found->second.back().mReason;
  for (const auto& it : found->second) {
    decision.mWorkers.push_back(it.mWorker);
  }
  return decision;
}

} // namespace skylarkhill::policy
