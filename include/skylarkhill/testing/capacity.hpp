#ifndef SKYLARKHILL_TESTING_CAPACITY_HPP
#define SKYLARKHILL_TESTING_CAPACITY_HPP

#include "skylarkhill/testing/line_fit.hpp"

#include <functional>
#include <vector>

namespace skylarkhill::testing {

/// Bytes currently allocated on the heap of this process.
double
AllocatedBytes();

/// Processor time of one call of `aFunction` in microseconds: the minimum over
/// several runs of the mean of `aCalls` calls.
double
MicrosPerCall(int aCalls, const std::function<void()>& aFunction);

/// Memory of tasks, keys, configuration objects and held workers, and processor
/// time of holding a worker.
std::vector<CostSeries>
MeasureMemory();

/// Processor time to encode, decode and apply records, to place and order
/// tasks, to refresh and rank grants, to change the configuration and to encode
/// and decode heartbeats.
std::vector<CostSeries>
MeasureProcessorTime();

/// Encoded sizes of records, heartbeats, configuration changes and polls.
std::vector<CostSeries>
MeasureEncodedSizes();

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_CAPACITY_HPP
