#include "skylarkhill/testing/bench_metrics.hpp"

#include <algorithm>

namespace skylarkhill::testing {

const std::array<BenchMetricInfo, kBenchMetricCount>&
BenchMetricTable()
{
  static constexpr std::array<BenchMetricInfo, kBenchMetricCount> kTable{ {
    { BenchMetric::LatencyP50, "latency_p50_ms", true },
    { BenchMetric::LatencyP99, "latency_p99_ms", true },
    { BenchMetric::LatencyP999, "latency_p999_ms", true },
    { BenchMetric::InTime, "in_time_percent", false },
    { BenchMetric::InTimeAtPeak, "in_time_at_peak_percent", false },
    { BenchMetric::BatchWork, "batch_work_per_s", false },
    { BenchMetric::TasksCompleted, "tasks_completed", false },
    { BenchMetric::Evictions, "evictions", true },
    { BenchMetric::EvictionLoss, "eviction_loss_processor_s", true },
    { BenchMetric::FailureLoss, "failure_loss_processor_s", true },
    { BenchMetric::ShortWaitP50, "short_wait_p50_s", true },
    { BenchMetric::ShortWaitP99, "short_wait_p99_s", true },
  } };
  return kTable;
}

double
ValueOf(const BenchMetrics& aMetrics, BenchMetric aMetric)
{
  return aMetrics.at(static_cast<std::size_t>(aMetric));
}

BenchSummary
SummarizeRuns(const std::vector<BenchMetrics>& aRuns, BenchMetric aMetric)
{
  BenchSummary summary;
  if (aRuns.empty()) {
    return summary;
  }
  summary.mMin = ValueOf(aRuns.front(), aMetric);
  summary.mMax = summary.mMin;
  for (const auto& it : aRuns) {
    const double value = ValueOf(it, aMetric);
    summary.mMean += value / static_cast<double>(aRuns.size());
    summary.mMin = std::min(summary.mMin, value);
    summary.mMax = std::max(summary.mMax, value);
  }
  return summary;
}

double
PercentileOf(std::vector<double> aValues, double aPercent)
{
  if (aValues.empty()) {
    return 0.0;
  }
  const double rank =
    aPercent / 100.0 * static_cast<double>(aValues.size() - 1);
  const auto nth = aValues.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(aValues.begin(), nth, aValues.end());
  return *nth;
}

} // namespace skylarkhill::testing
