#ifndef SKYLARKHILL_DISPATCH_SUMMARY_HPP
#define SKYLARKHILL_DISPATCH_SUMMARY_HPP

#include <cstddef>
#include <vector>

#include "placement.hpp"
#include "state.hpp"

namespace skylarkhill::dispatch {

/// Writes one line on what waits, runs, is slowed down and is disturbed.
void
LogDispatchSummary(std::size_t aJobCount,
                   const std::vector<StepState*>& aReadySteps,
                   const WorkerMap& aWorkers);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_SUMMARY_HPP
