#ifndef SKYLARKHILL_TESTING_BENCH_REPORT_HPP
#define SKYLARKHILL_TESTING_BENCH_REPORT_HPP

#include "skylarkhill/testing/bench_run.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkhill::testing {

/// All runs of one setup.
struct BenchSeries
{
  BenchSetup mSetup = BenchSetup::Baseline;
  std::vector<BenchMetrics> mRuns;
};

/// All runs for one site; the first series is the baseline.
struct BenchResult
{
  std::string mSite;
  std::vector<std::uint64_t> mSeeds;
  std::vector<BenchSeries> mSeries;
};

/// A table with mean and spread per measure and setup.
std::string
FormatBenchText(const BenchResult& aResult);

std::string
FormatBenchJson(const BenchResult& aResult);

/// A bar per measure and setup, in percent of the baseline's mean, with the
/// spread over the seeds.
std::string
FormatBenchSvg(const BenchResult& aResult);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_BENCH_REPORT_HPP
