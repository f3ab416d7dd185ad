#ifndef SKYLARKHILL_POLICY_QUARANTINE_HPP
#define SKYLARKHILL_POLICY_QUARANTINE_HPP

#include "skylarkhill/base/id.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhill::policy {

/// A task to quarantine.
struct QuarantineDecision
{
  base::TaskId mTask;
  std::string mReason;
  /// Workers whose breakers must discard the failures of the task.
  std::vector<base::WorkerId> mWorkers;
};

/// Finds tasks whose failures are caused by the task and not by its workers.
/// Not thread-safe.
class Quarantine
{
public:
  /// `aMinWorkers`: number of distinct workers on which a task must have failed
  /// to be quarantined.
  explicit Quarantine(std::size_t aMinWorkers = 3);

  /// The task failed on a worker. `aBreakerClosed`: the worker's breaker was
  /// closed before this failure; otherwise the worker may be at fault and the
  /// failure is ignored.
  void OnFailure(const base::TaskId& aTask,
                 const base::WorkerId& aWorker,
                 bool aBreakerClosed,
                 const std::string& aReason);
  /// Must be called when the task ended otherwise or was quarantined.
  void Forget(const base::TaskId& aTask);

  /// The decision to quarantine the task; nothing if it has not failed on
  /// enough workers.
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
