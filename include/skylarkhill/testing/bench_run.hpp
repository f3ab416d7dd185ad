#ifndef SKYLARKHILL_TESTING_BENCH_RUN_HPP
#define SKYLARKHILL_TESTING_BENCH_RUN_HPP

#include "skylarkhill/testing/bench_metrics.hpp"
#include "skylarkhill/testing/bench_site.hpp"

#include <cstdint>
#include <string_view>

namespace skylarkhill::testing {

/// Which policies a run uses.
enum class BenchSetup
{
  /// First fit, FIFO queues, no throttling, no eviction.
  Baseline,
  /// As the baseline, with the profile's protection that evicts the youngest
  /// task: the reference for evictions, of which the baseline has none.
  EvictYoungest,
  /// The site's profile.
  Profile,
};

/// The stable name of `aSetup`.
std::string_view
NameOf(BenchSetup aSetup);

/// One run; the same seed gives every setup the same site, demand, batch tasks
/// and failures.
BenchMetrics
RunBench(const BenchSite& aSite, BenchSetup aSetup, std::uint64_t aSeed);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_BENCH_RUN_HPP
