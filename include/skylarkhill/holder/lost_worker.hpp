#ifndef SKYLARKHILL_HOLDER_LOST_WORKER_HPP
#define SKYLARKHILL_HOLDER_LOST_WORKER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/holder/granted_attempt.hpp"
#include "skylarkhill/tasks/task_record.hpp"

#include <vector>

namespace skylarkhill::holder {

/// What is known of a worker that nobody can reach.
struct LostWorker
{
  /// Since when the platform's list has not shown the worker, without
  /// interruption.
  base::TimePoint mAbsentSince;
  /// Last direct evidence of the worker: an answered poll of this instance,
  /// or a peer's heartbeat that names it as held.
  base::TimePoint mLastContact;
  /// The attempts that the log grants to the worker.
  std::vector<GrantedAttempt> mGrants;
};

/// The End records that are proved by the loss of the worker: empty until the
/// longest task lease and the margin have passed since both the absence and
/// the last evidence. Applied only by instances of the worker's own failure
/// domain: from outside, a domain that is cut off looks lost while it runs.
std::vector<tasks::EndRecord>
EndLostAttempts(const LostWorker& aWorker,
                base::Duration aLongestTaskLease,
                base::Duration aMargin,
                base::TimePoint aNow);

} // namespace skylarkhill::holder

#endif // SKYLARKHILL_HOLDER_LOST_WORKER_HPP
