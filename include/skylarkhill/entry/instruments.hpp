#ifndef SKYLARKHILL_ENTRY_INSTRUMENTS_HPP
#define SKYLARKHILL_ENTRY_INSTRUMENTS_HPP

#include "skylarkhill/metrics/registry.hpp"
#include "skylarkhill/timeline/timeline.hpp"

namespace skylarkhill::entry {

/// Metrics, timeline and clock shared by the parts of an entry process.
/// Thread-safe.
struct Instruments
{
  metrics::Registry& mMetrics;
  timeline::Timeline& mTimeline;
  timeline::HybridLogicalClock& mHybridClock;
};

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_INSTRUMENTS_HPP
