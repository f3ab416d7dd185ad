#ifndef SKYLARKHILL_DISPATCH_INTERFERENCE_ESTIMATOR_HPP
#define SKYLARKHILL_DISPATCH_INTERFERENCE_ESTIMATOR_HPP

#include <vector>

namespace skylarkhill::dispatch {

/// How close a service task is to saturation: 0 at its lowest tail, towards 1
/// as the tail grows without bound. Like utilisation in a queue, the pressures
/// of several tasks add up.
using Saturation = double;

/// Saturation of a backfill image that uses all processors of a worker on a
/// service image.
struct PairEstimate
{
  double mMean = 0.0;
  double mVariance = 0.0;
};

/// Backfill beside a service task during a report.
struct BackfillUsage
{
  int mImage = 0;
  /// Used share of the worker's processors, 0 to 1.
  double mShare = 0.0;
};

/// Estimates the pressure per pair of a service image and a backfill image: a
/// Kalman filter per service image that leaves out the covariances.
class InterferenceEstimator
{
public:
  /// Learns from one report: `aExcess` is the pressure beyond that of the
  /// service's own load, with the variance `aNoise`.
  void Record(int aServiceImage,
              const std::vector<BackfillUsage>& aBackfill,
              Saturation aExcess,
              double aNoise);

  /// The estimate for a pair, or what is assumed of an unknown one.
  PairEstimate Estimate(int aServiceImage, int aBackfillImage) const;

  /// True if reports, or another process, have told about the pair.
  bool HasEstimate(int aServiceImage, int aBackfillImage) const;

  /// Starts from an estimate that was made elsewhere.
  void Set(int aServiceImage, int aBackfillImage, const PairEstimate& aValue);

private:
  struct Pair
  {
    PairEstimate mEstimate;
    bool mIsKnown = false;
  };

  std::vector<std::vector<Pair>> mPairs;
};

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_INTERFERENCE_ESTIMATOR_HPP
