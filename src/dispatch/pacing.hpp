#ifndef SKYLARKHILL_DISPATCH_PACING_HPP
#define SKYLARKHILL_DISPATCH_PACING_HPP

#include "skylarkhill/base/clock.hpp"

#include "colocation_model.hpp"
#include "state.hpp"

namespace skylarkhill::dispatch {

/// Sets the wanted pace of the backfill runs on `aWorker` by the tail latencies
/// that its service tasks have just reported. Runs that raise no tail keep
/// their pace.
void
AdjustPace(WorkerState& aWorker,
           const ColocationModel& aModel,
           base::Duration aMaxTailViolation,
           base::TimePoint aNow);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_PACING_HPP
