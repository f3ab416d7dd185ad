#ifndef SKYLARKHILL_DISPATCH_PACING_HPP
#define SKYLARKHILL_DISPATCH_PACING_HPP

#include "skylarkhill/base/clock.hpp"

#include "colocation_model.hpp"
#include "state.hpp"

namespace skylarkhill::dispatch {

/// Sets the target paces of the backfill runs on `aWorker` according to the
/// tail latencies in its latest report. Only runs with significant interference
/// are slowed down, unless a tail violation persists.
void
AdjustPace(WorkerState& aWorker,
           const ColocationModel& aModel,
           base::Duration aMaxTailViolation,
           base::TimePoint aNow);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_PACING_HPP
