#ifndef SKYLARKHILL_TESTING_CAPACITY_HPP
#define SKYLARKHILL_TESTING_CAPACITY_HPP

#include "skylarkhill/testing/line_fit.hpp"

#include <functional>
#include <vector>

namespace skylarkhill::testing {

/// Bytes that are allocated on the heap of this process.
double
AllocatedBytes();

/// Processor time in microseconds that one call of `aFunction` takes in this
/// process: the smallest of several runs of `aCalls` calls.
double
MicrosPerCall(int aCalls, const std::function<void()>& aFunction);

/// Memory of tasks, keys, configuration objects and workers.
std::vector<CostSeries>
MeasureMemory();

/// Processor time of records, policies, configuration and peer messages.
std::vector<CostSeries>
MeasureProcessorTime();

/// Bytes of records, batches, heartbeats, config changes and polls.
std::vector<CostSeries>
MeasureEncodedSizes();

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_CAPACITY_HPP
