#include "skylarkhill/metrics/registry.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace skylarkhill::metrics {

namespace {

namespace acc = boost::accumulators;

using QuantileAccumulators =
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::sum,
                                  acc::tag::max,
                                  acc::tag::extended_p_square>>;

constexpr std::array<double, 4> kQuantiles{ 0.5, 0.9, 0.99, 0.999 };
// extended_p_square estimates n quantiles from 2 * n + 3 markers. Its estimates
// are valid only after it has received a sample for each marker.
constexpr std::int64_t kMarkerCount = 2 * kQuantiles.size() + 3;

// Returns the nearest-rank quantile of sorted samples.
double
ExactQuantile(const std::vector<double>& aSorted, double aQuantile)
{
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(std::lround(aQuantile * last))];
}

} // namespace

struct Distribution::Accumulators
{
  QuantileAccumulators mSet{ acc::extended_p_square_probabilities =
                               kQuantiles };
  /// The first samples, used until the estimates are valid.
  std::vector<double> mInitialSamples;
};

Distribution::Distribution()
  : mAccumulators(std::make_unique<Accumulators>())
{
}

Distribution::~Distribution() = default;

void
Distribution::Record(double aSample)
{
  const std::lock_guard<std::mutex> guard(mLock);
  mAccumulators->mSet(aSample);
  auto& initialSamples = mAccumulators->mInitialSamples;
  if (static_cast<std::int64_t>(initialSamples.size()) < kMarkerCount) {
    initialSamples.insert(
      std::upper_bound(initialSamples.begin(), initialSamples.end(), aSample),
      aSample);
  }
}

Summary
Distribution::Read() const
{
  const std::lock_guard<std::mutex> guard(mLock);
  const auto& accumulators = mAccumulators->mSet;
  Summary summary;
  summary.mCount = static_cast<std::int64_t>(acc::count(accumulators));
  if (summary.mCount == 0) {
    return summary;
  }
  const bool isEstimated = summary.mCount > kMarkerCount;
  std::array<double, kQuantiles.size()> values{};
  auto estimate = acc::extended_p_square(accumulators).begin();
  for (std::size_t i = 0; i < values.size(); ++i, ++estimate) {
    values[i] = isEstimated ? *estimate
                            : ExactQuantile(mAccumulators->mInitialSamples,
                                            kQuantiles[i]);
  }
  summary.mSum = acc::sum(accumulators);
  summary.mMax = (acc::max)(accumulators);
  summary.mMedian = values[0];
  summary.mP90 = values[1];
  summary.mP99 = values[2];
  summary.mP999 = values[3];
  return summary;
}

} // namespace skylarkhill::metrics
