#ifndef SKYLARKHILL_TESTING_BENCH_RUN_HPP
#define SKYLARKHILL_TESTING_BENCH_RUN_HPP

#include "skylarkhill/testing/bench_metrics.hpp"
#include "skylarkhill/testing/bench_site.hpp"

#include <cstdint>
#include <string_view>

namespace skylarkhill::testing {

/// The scheduling policies of a run.
enum class BenchSetup
{
  /// First fit, FIFO queues, no throttling, no eviction.
  Baseline,
  /// The baseline with the profile's protection policy, changed to evict the
  /// youngest task. Reference for the eviction metrics, as the baseline never
  /// evicts.
  EvictYoungest,
  /// The policies of the site's profile.
  SiteProfile,
};

/// The stable name of `aSetup`.
std::string_view
NameOf(BenchSetup aSetup);

/// Simulates one run. Runs with the same seed have the same site, demand, batch
/// tasks and failures in every setup.
BenchMetrics
RunBench(const BenchSite& aSite, BenchSetup aSetup, std::uint64_t aSeed);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_BENCH_RUN_HPP
