#ifndef SKYLARKHILL_TESTING_BENCH_REPORT_HPP
#define SKYLARKHILL_TESTING_BENCH_REPORT_HPP

#include "skylarkhill/testing/bench_run.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkhill::testing {

/// The runs of one setup, one per seed.
struct BenchSeries
{
  BenchSetup mSetup = BenchSetup::Baseline;
  std::vector<BenchMetrics> mRuns;
};

/// The runs of all setups for one site; the first series is the baseline.
struct BenchResult
{
  std::string mSite;
  std::vector<std::uint64_t> mSeeds;
  std::vector<BenchSeries> mSeries;
};

/// A table of mean, minimum and maximum per metric and setup.
std::string
FormatBenchText(const BenchResult& aResult);

std::string
FormatBenchJson(const BenchResult& aResult);

/// A bar chart of the means per metric and setup, with a line from minimum to
/// maximum, in percent of the mean of the first setup whose mean is not zero.
std::string
FormatBenchSvg(const BenchResult& aResult);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_BENCH_REPORT_HPP
