#ifndef SKYLARKHILL_HOLDER_ABSENT_WORKER_HPP
#define SKYLARKHILL_HOLDER_ABSENT_WORKER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/holder/granted_attempt.hpp"
#include "skylarkhill/tasks/task_record.hpp"

#include <vector>

namespace skylarkhill::holder {

/// A worker that is absent from the platform's list.
struct AbsentWorker
{
  /// Start of the uninterrupted absence of the worker from the platform's list.
  base::TimePoint mAbsentSince;
  /// Last sign that the worker was running: an answered poll of this instance,
  /// or a peer's heartbeat that lists the worker as held.
  base::TimePoint mLastSeen;
  /// The attempts on the worker that have a grant record and no end record.
  std::vector<GrantedAttempt> mGrants;
  /// When the newest list was asked for, which lacks the worker.
  base::TimePoint mListReadAt;
};

/// Returns Lost end records for all attempts in `aWorker.mGrants`, or nothing
/// before `aLongestTaskLease` and `aMargin` have passed since both the start of
/// the absence and `mLastSeen`, or unless a list that was asked for after that
/// lacks the worker, too. Called only by instances in the worker's failure
/// domain: to instances outside, workers of a partitioned domain look absent
/// although they run.
std::vector<tasks::EndRecord>
EndAbsentWorkerAttempts(const AbsentWorker& aWorker,
                        base::Duration aLongestTaskLease,
                        base::Duration aMargin);

} // namespace skylarkhill::holder

#endif // SKYLARKHILL_HOLDER_ABSENT_WORKER_HPP
