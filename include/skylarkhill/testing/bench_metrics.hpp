#ifndef SKYLARKHILL_TESTING_BENCH_METRICS_HPP
#define SKYLARKHILL_TESTING_BENCH_METRICS_HPP

#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

namespace skylarkhill::testing {

/// Metrics of one benchmark run.
enum class BenchMetric
{
  /// Latency of answered service requests in milliseconds.
  LatencyP50,
  LatencyP99,
  LatencyP999,
  /// Percentage of requests answered by their deadline; an unanswered
  /// request counts as late.
  InTime,
  /// The same for requests that arrived while demand was at its peak.
  InTimeAtPeak,
  /// Processor seconds of batch progress per second, minus lost progress.
  BatchWork,
  TasksCompleted,
  Evictions,
  /// Processor seconds of progress lost to evictions.
  EvictionLoss,
  /// Processor seconds of progress lost to worker failures.
  FailureLoss,
  /// Queueing time of short tasks before their first start, in seconds.
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

/// All metrics in the order of the enumerators.
const std::array<BenchMetricInfo, kBenchMetricCount>&
BenchMetricTable();

/// The value of `aMetric`.
double
ValueOf(const BenchMetrics& aMetrics, BenchMetric aMetric);

/// Mean, minimum and maximum of one metric over several runs.
struct BenchSummary
{
  double mMean = 0.0;
  double mMin = 0.0;
  double mMax = 0.0;
};

BenchSummary
SummarizeRuns(const std::vector<BenchMetrics>& aRuns, BenchMetric aMetric);

/// The `aPercent` percentile of `aValues`; 0 if there are no values.
double
PercentileOf(std::vector<double> aValues, double aPercent);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_BENCH_METRICS_HPP
