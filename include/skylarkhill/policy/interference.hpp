#ifndef SKYLARKHILL_POLICY_INTERFERENCE_HPP
#define SKYLARKHILL_POLICY_INTERFERENCE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/policy/placement.hpp"

#include <map>
#include <string>
#include <utility>

namespace skylarkhill::policy {

/// Estimates, per pair of service and batch class, how much one task of the
/// class slows the service down. Learns from lagging, noisy reports and
/// forgets. Not thread-safe.
class InterferenceModel
{
public:
  /// Learns from one report.
  void Record(const InterferenceReport& aReport);

  /// Expected slowdown, in percent points above an undisturbed worker, that
  /// one task of `aBatchClass` adds to `aService` at `aNow`.
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
