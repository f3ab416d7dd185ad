#ifndef SKYLARKHILL_DISPATCH_INTERFERENCE_ESTIMATOR_HPP
#define SKYLARKHILL_DISPATCH_INTERFERENCE_ESTIMATOR_HPP

#include <cstdint>
#include <vector>

namespace skylarkhill::dispatch {

/// Saturation of a service task, derived from its tail latency: 0 at the idle
/// latency, negative below it, approaching 1 as the tail latency grows without
/// bound. Like the utilisation of a queue, contributions of several sources add
/// up.
using Saturation = double;

/// Saturation that a backfill image using all processors of a worker adds to a
/// task of a service image. Extrapolated from smaller shares, so the mean may
/// exceed 1.
struct PairEstimate
{
  double mMean = 0.0;
  double mVariance = 0.0;
};

/// Processor use of one backfill image on a worker in the period that a report
/// covers.
struct BackfillUsage
{
  int mImage = 0;
  /// Share of the worker's processors in use, 0 to 1.
  double mShare = 0.0;
};

/// Estimates the interference for each pair of a service image and a backfill
/// image, with one Kalman filter per service image. Covariances are ignored.
class InterferenceEstimator
{
public:
  /// Updates the estimates with one report. `aExcess` is the saturation above
  /// the baseline of the service, with the variance `aVariance`.
  void Update(int aServiceImage,
              const std::vector<BackfillUsage>& aBackfill,
              Saturation aExcess,
              double aVariance);

  /// Returns the estimate for a pair, or the prior if there is none.
  PairEstimate Estimate(int aServiceImage, int aBackfillImage) const;

  /// True if Update or Set has stored an estimate for the pair.
  bool HasEstimate(int aServiceImage, int aBackfillImage) const;

  /// Replaces the estimate for a pair.
  void Set(int aServiceImage, int aBackfillImage, const PairEstimate& aValue);

  /// A pair with an estimate.
  struct KnownPair
  {
    int mServiceImage = 0;
    int mBackfillImage = 0;
    PairEstimate mEstimate;
  };
  /// All pairs with an estimate, the last updated one first.
  std::vector<KnownPair> ListByRecency() const;

private:
  struct Pair
  {
    PairEstimate mEstimate;
    /// Number of the last update, from 1; 0 if there is no estimate.
    std::uint64_t mLastUpdate = 0;
  };

  std::vector<std::vector<Pair>> mPairs;
  std::uint64_t mUpdateCount = 0;
};

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_INTERFERENCE_ESTIMATOR_HPP
