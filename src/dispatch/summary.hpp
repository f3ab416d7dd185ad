#ifndef SKYLARKHILL_DISPATCH_SUMMARY_HPP
#define SKYLARKHILL_DISPATCH_SUMMARY_HPP

#include <cstddef>
#include <vector>

#include "placement.hpp"
#include "state.hpp"

namespace skylarkhill::dispatch {

/// Logs the numbers of waiting and running tasks, of tasks below full pace and
/// of service tasks above their tail latency target.
void
LogDispatchSummary(std::size_t aJobCount,
                   const std::vector<StepState*>& aReadySteps,
                   const WorkerMap& aWorkers);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_SUMMARY_HPP
