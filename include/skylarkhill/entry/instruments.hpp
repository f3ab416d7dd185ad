#ifndef SKYLARKHILL_ENTRY_INSTRUMENTS_HPP
#define SKYLARKHILL_ENTRY_INSTRUMENTS_HPP

#include "skylarkhill/metrics/registry.hpp"
#include "skylarkhill/timeline/timeline.hpp"

namespace skylarkhill::entry {

/// Where an entry process reports what it does. Thread-safe.
struct Instruments
{
  metrics::Registry& mMetrics;
  timeline::Timeline& mTimeline;
  timeline::HybridLogicalClock& mCausalClock;
};

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_INSTRUMENTS_HPP
