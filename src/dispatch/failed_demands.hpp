#ifndef SKYLARKHILL_DISPATCH_FAILED_DEMANDS_HPP
#define SKYLARKHILL_DISPATCH_FAILED_DEMANDS_HPP

#include "skylarkhill/base/resources.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "state.hpp"

namespace skylarkhill::dispatch {

/// Demands for which no worker of a pool was eligible. Positions count the
/// workers that have become available since, see PlacementIndex.
class FailedDemands
{
public:
  struct Demand
  {
    base::Resources mResources;
    /// Workers from this position on have not been considered.
    std::size_t mPosition = 0;
    /// The image or the urgency of the step has excluded workers.
    bool mDependsOnImage = false;
  };

  /// Returns the latest failed demand that is at most that of `aStep`, if any.
  std::optional<Demand> Find(const StepState& aStep) const;

  /// Records that no worker before `aDemand.mPosition` is eligible for a step
  /// like `aStep` that requires at least `aDemand.mResources`.
  void Add(const StepState& aStep, const Demand& aDemand);

  void Clear() { mDemands.clear(); }

private:
  /// What restricts a step besides its resources: required label, whether it is
  /// backfill, image (kAnyImage if none) and urgency.
  using Key = std::tuple<std::string, bool, int, bool>;

  static Key KeyOf(const StepState& aStep, bool aDependsOnImage);

  std::map<Key, std::vector<Demand>> mDemands;
};

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_FAILED_DEMANDS_HPP
