#ifndef SKYLARKHILL_TESTING_BENCH_DECISIONS_HPP
#define SKYLARKHILL_TESTING_BENCH_DECISIONS_HPP

#include "skylarkhill/policy/profiles.hpp"

#include <cstddef>

namespace skylarkhill::testing {

/// Percentiles of the duration of a placement decision, in microseconds.
struct DecisionLatency
{
  double mP50 = 0.0;
  double mP99 = 0.0;
};

/// Measures `aDecisions` placement decisions over `aWorkers` workers with the
/// steady clock.
DecisionLatency
MeasureDecisionLatency(policy::Profile aProfile,
                       std::size_t aWorkers,
                       std::size_t aDecisions);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_BENCH_DECISIONS_HPP
