#ifndef SKYLARKHILL_POLICY_SIZE_ESTIMATOR_HPP
#define SKYLARKHILL_POLICY_SIZE_ESTIMATOR_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace skylarkhill::policy {

struct SizeEstimatorOptions
{
  double mQuantile = 0.9;
  base::Duration mHalfLife = std::chrono::minutes(10);
  /// Newest observations kept per class.
  std::size_t mMaxSamples = 64;
  /// Below this number the declared size stands.
  std::size_t mMinSamples = 5;
};

/// Corrects declared sizes by a decayed quantile of the usage observed per
/// batch class. Not thread-safe.
class SizeEstimator
{
public:
  explicit SizeEstimator(const SizeEstimatorOptions& aOptions = {});

  /// One task of the class was seen to use `aUsed`.
  void Observe(const std::string& aBatchClass,
               const base::Resources& aUsed,
               base::TimePoint aNow);

  /// The larger of declared and observed size in every dimension, so that a
  /// low observation never commits a worker beyond what was declared (P1).
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

  SizeEstimatorOptions mOptions;
  std::unordered_map<std::string, std::deque<Sample>> mSamples;
};

} // namespace skylarkhill::policy

#endif // SKYLARKHILL_POLICY_SIZE_ESTIMATOR_HPP
