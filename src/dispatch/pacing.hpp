#ifndef SKYLARKHILL_DISPATCH_PACING_HPP
#define SKYLARKHILL_DISPATCH_PACING_HPP

#include "state.hpp"

#include "skylarkhill/base/clock.hpp"

namespace skylarkhill::dispatch {

/// Adjusts the pace of the backfill tasks on `aWorker` to the tail latencies
/// that its service tasks have just reported.
void
AdjustPace(WorkerState& aWorker,
           base::Duration aHarmBound,
           base::TimePoint aNow);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_PACING_HPP
