#ifndef SKYLARKHILL_TESTING_BENCH_METRICS_HPP
#define SKYLARKHILL_TESTING_BENCH_METRICS_HPP

#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

namespace skylarkhill::testing {

/// What one run of the bench measures.
enum class BenchMetric
{
  /// Service latency in milliseconds, of answered requests.
  LatencyP50,
  LatencyP99,
  LatencyP999,
  /// Percent of the requests that were answered by their deadline; a refused
  /// request counts as late.
  InTime,
  /// The same for requests that arrived at the peak of a demand swing.
  InTimeAtPeak,
  /// Processor seconds of batch progress per second, less lost progress.
  BatchWork,
  TasksCompleted,
  Evictions,
  /// Processor seconds of progress that evictions lost.
  EvictionLoss,
  /// Processor seconds of progress that failed workers lost.
  FailureLoss,
  /// Seconds that short tasks waited for their first start.
  ShortWaitP50,
  ShortWaitP99,
};

constexpr std::size_t kBenchMetricCount = 12;

using BenchMetrics = std::array<double, kBenchMetricCount>;

struct BenchMetricInfo
{
  BenchMetric mMetric;
  std::string_view mName;
  bool mLowerIsBetter;
};

/// All measures in the order of the enumerators.
const std::array<BenchMetricInfo, kBenchMetricCount>&
BenchMetricTable();

/// The value of `aMetric`.
double
ValueOf(const BenchMetrics& aMetrics, BenchMetric aMetric);

/// Mean, smallest and largest value of one measure over several runs.
struct BenchSummary
{
  double mMean = 0.0;
  double mMin = 0.0;
  double mMax = 0.0;
};

BenchSummary
SummarizeRuns(const std::vector<BenchMetrics>& aRuns, BenchMetric aMetric);

/// The value below which `aPercent` of `aValues` lie; 0 if there are none.
double
PercentileOf(std::vector<double> aValues, double aPercent);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_BENCH_METRICS_HPP
