#ifndef SKYLARKHILL_POLICY_RESOURCE_ESTIMATOR_HPP
#define SKYLARKHILL_POLICY_RESOURCE_ESTIMATOR_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace skylarkhill::policy {

struct ResourceEstimatorOptions
{
  double mQuantile = 0.9;
  base::Duration mHalfLife = std::chrono::minutes(10);
  /// Number of observations kept per class; older ones are discarded.
  std::size_t mMaxSamples = 64;
  /// With fewer observations the declared resources are used.
  std::size_t mMinSamples = 5;
};

/// Corrects the declared resources of tasks by a quantile of the usage observed
/// for their batch class, weighted by age. Not thread-safe.
class ResourceEstimator
{
public:
  explicit ResourceEstimator(const ResourceEstimatorOptions& aOptions = {});

  /// Records that a task of the class uses `aUsed`.
  void Observe(const std::string& aBatchClass,
               const base::Resources& aUsed,
               base::TimePoint aNow);

  /// The larger of the declared and the observed amount of each resource, so
  /// that a low observation never leads to overcommitment of a worker.
  base::Resources Estimate(const std::string& aBatchClass,
                           const base::Resources& aDeclared,
                           base::TimePoint aNow) const;

private:
  struct Sample
  {
    base::Resources mUsed;
    base::TimePoint mObservedAt;
  };

  std::int64_t Quantile(const std::deque<Sample>& aSamples,
                        std::int64_t base::Resources::*aDimension,
                        base::TimePoint aNow) const;

  ResourceEstimatorOptions mOptions;
  std::unordered_map<std::string, std::deque<Sample>> mSamples;
};

} // namespace skylarkhill::policy

#endif // SKYLARKHILL_POLICY_RESOURCE_ESTIMATOR_HPP
