#include "failed_demands.hpp"

#include <algorithm>

namespace skylarkhill::dispatch {

namespace {

constexpr int kAnyImage = -1;

/// Upper bound of the demands kept under one key. A demand that was dropped is
/// searched for again.
constexpr std::size_t kMaxDemands = 32;

} // namespace

FailedDemands::Key
FailedDemands::KeyOf(const StepState& aStep, bool aDependsOnImage)
{
  return { aStep.mSpec->mRequiredLabel,
           aStep.mSpec->mIsBackfill,
           aDependsOnImage ? aStep.mImage : kAnyImage,
           aDependsOnImage && aStep.mIsUrgent };
}

std::optional<FailedDemands::Demand>
FailedDemands::Find(const StepState& aStep) const
{
  std::optional<Demand> latest;
  for (const bool dependsOnImage : { false, true }) {
    const auto found = mDemands.find(KeyOf(aStep, dependsOnImage));
    if (found == mDemands.end()) {
      continue;
    }
    for (const auto& it : found->second) {
      if (base::Fits(it.mResources, aStep.mSpec->mResources) &&
          (!latest || latest->mPosition < it.mPosition)) {
        latest = it;
      }
    }
  }
  return latest;
}

void
FailedDemands::Add(const StepState& aStep, const Demand& aDemand)
{
  auto& demands = mDemands[KeyOf(aStep, aDemand.mDependsOnImage)];
  demands.erase(std::remove_if(demands.begin(),
                               demands.end(),
                               [&](const Demand& aEntry) {
                                 return base::Fits(aDemand.mResources,
                                                   aEntry.mResources);
                               }),
                demands.end());
  if (demands.size() == kMaxDemands) {
    demands.erase(demands.begin());
  }
  demands.push_back(aDemand);
}

} // namespace skylarkhill::dispatch
