#ifndef SKYLARKHILL_POLICY_INTERFERENCE_HPP
#define SKYLARKHILL_POLICY_INTERFERENCE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/policy/placement.hpp"

#include <map>
#include <string>
#include <utility>

namespace skylarkhill::policy {

/// Estimates, per pair of service and batch class, by how much one task of the
/// class slows the service down on the same worker. Learns from delayed, noisy
/// reports; estimates decay to a prior. Not thread-safe.
class InterferenceModel
{
public:
  /// Updates the estimates with one report.
  void Record(const InterferenceReport& aReport);

  /// Expected slowdown that one task of `aBatchClass` adds to `aService` at
  /// `aNow`, in percentage points of the service time without batch tasks.
  double Estimate(const std::string& aService,
                  const std::string& aBatchClass,
                  base::TimePoint aNow) const;

private:
  struct PairEstimate
  {
    double mPercentPerTask = 0.0;
    base::TimePoint mUpdatedAt;
  };

  double Decayed(const PairEstimate& aPair, base::TimePoint aNow) const;

  std::map<std::pair<std::string, std::string>, PairEstimate> mPairs;
};

} // namespace skylarkhill::policy

#endif // SKYLARKHILL_POLICY_INTERFERENCE_HPP
