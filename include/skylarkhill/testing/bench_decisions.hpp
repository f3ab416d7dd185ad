#ifndef SKYLARKHILL_TESTING_BENCH_DECISIONS_HPP
#define SKYLARKHILL_TESTING_BENCH_DECISIONS_HPP

#include "skylarkhill/policy/profiles.hpp"

#include <cstddef>

namespace skylarkhill::testing {

/// Time of one placement decision in microseconds.
struct DecisionLatency
{
  double mP50 = 0.0;
  double mP99 = 0.0;
};

/// Times `aDecisions` placement decisions over `aWorkers` workers, with the
/// boot clock of this machine.
DecisionLatency
MeasureDecisionLatency(policy::Profile aProfile,
                       std::size_t aWorkers,
                       std::size_t aDecisions);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_BENCH_DECISIONS_HPP
