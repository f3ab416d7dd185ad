#include "skylarkhill/policy/resource_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace skylarkhill::policy {

ResourceEstimator::ResourceEstimator(const ResourceEstimatorOptions& aOptions)
  : mOptions(aOptions)
{
}

void
ResourceEstimator::Observe(const std::string& aBatchClass,
                           const base::Resources& aUsed,
                           base::TimePoint aNow)
{
  auto& samples = mSamples[aBatchClass];
  samples.push_back({ aUsed, aNow });
  if (samples.size() > mOptions.mMaxSamples) {
    samples.pop_front();
  }
}

base::Resources
ResourceEstimator::Estimate(const std::string& aBatchClass,
                            const base::Resources& aDeclared,
                            base::TimePoint aNow) const
{
  const auto found = mSamples.find(aBatchClass);
  if (found == mSamples.end() || found->second.size() < mOptions.mMinSamples) {
    return aDeclared;
  }
  const auto& samples = found->second;
  const base::Resources observed{
    Quantile(samples, &base::Resources::mMilliProcessors, aNow),
    Quantile(samples, &base::Resources::mMemoryBytes, aNow),
    Quantile(samples, &base::Resources::mAccelerators, aNow)
  };
  return base::Max(aDeclared, observed);
}

std::int64_t
ResourceEstimator::Quantile(const std::deque<Sample>& aSamples,
                            std::int64_t base::Resources::*aDimension,
                            base::TimePoint aNow) const
{
  // Ages are relative to the newest sample; otherwise all weights of a class
  // without recent samples would round to zero.
  const base::TimePoint newest = std::min(aNow, aSamples.back().mObservedAt);
  std::vector<std::pair<std::int64_t, double>> weighted;
  double total = 0.0;
  for (const auto& it : aSamples) {
    const auto age = static_cast<double>((newest - it.mObservedAt).count());
    const double weight = std::exp2(
      -std::max(age, 0.0) / static_cast<double>(mOptions.mHalfLife.count()));
    weighted.emplace_back(it.mUsed.*aDimension, weight);
    total += weight;
  }
  std::sort(weighted.begin(), weighted.end());
  double below = 0.0;
  for (const auto& it : weighted) {
    below += it.second;
    if (below >= mOptions.mQuantile * total) {
      return it.first;
    }
  }
  return weighted.back().first;
}

} // namespace skylarkhill::policy
