#ifndef SKYLARKHILL_POLICY_QUARANTINE_HPP
#define SKYLARKHILL_POLICY_QUARANTINE_HPP

#include "skylarkhill/base/id.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhill::policy {

/// A task that is to be quarantined.
struct QuarantineDecision
{
  base::TaskId mTask;
  std::string mReason;
  /// Workers whose breakers take the failures of the task back.
  std::vector<base::WorkerId> mWorkers;
};

/// Finds tasks that fail because of themselves and not of their workers. Not
/// thread-safe.
class Quarantine
{
public:
  /// `aMinWorkers`: distinct workers on which a task has to fail.
  explicit Quarantine(std::size_t aMinWorkers = 3);

  /// The task failed on a worker. `aBreakerClosed`: the worker's breaker was
  /// closed before this failure; other failures say nothing about the task.
  void OnFailure(const base::TaskId& aTask,
                 const base::WorkerId& aWorker,
                 bool aBreakerClosed,
                 const std::string& aReason);
  /// The task ended in another way, or was quarantined.
  void Forget(const base::TaskId& aTask);

  /// The decision about the task, if it has failed on enough workers.
  std::optional<QuarantineDecision> Find(const base::TaskId& aTask) const;

private:
  struct Failure
  {
    base::WorkerId mWorker;
    std::string mReason;
  };

  std::size_t mMinWorkers;
  std::map<base::TaskId, std::vector<Failure>> mFailures;
};

} // namespace skylarkhill::policy

#endif // SKYLARKHILL_POLICY_QUARANTINE_HPP
