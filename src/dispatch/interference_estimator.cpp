#include "interference_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace skylarkhill::dispatch {

namespace {

/// Prior for an unknown pair: between the usual means of pairs with little
/// interference (up to 0.3) and of the others (1 to 2.5).
constexpr PairEstimate kPriorEstimate{ 0.6, 1.0 };

/// Lower bound, because the interference of a pair changes within seconds.
constexpr double kMinVariance = 0.06;
/// Far above the usual means, see kPriorEstimate.
constexpr double kMaxMean = 12.0;

} // namespace

void
InterferenceEstimator::Update(int aServiceImage,
                              const std::vector<BackfillUsage>& aBackfill,
                              Saturation aExcess,
                              double aVariance)
{
  Saturation expected = 0.0;
  double variance = aVariance;
  for (const auto& it : aBackfill) {
    const PairEstimate estimate = Estimate(aServiceImage, it.mImage);
    expected += estimate.mMean * it.mShare;
    variance += estimate.mVariance * it.mShare * it.mShare;
  }
  const double error = aExcess - expected;
  for (const auto& it : aBackfill) {
    PairEstimate estimate = Estimate(aServiceImage, it.mImage);
    const double gain = estimate.mVariance * it.mShare / variance;
    estimate.mMean = std::clamp(estimate.mMean + gain * error, 0.0, kMaxMean);
    estimate.mVariance =
      std::max(kMinVariance, estimate.mVariance * (1.0 - gain * it.mShare));
    Set(aServiceImage, it.mImage, estimate);
  }
}

PairEstimate
InterferenceEstimator::Estimate(int aServiceImage, int aBackfillImage) const
{
  return HasEstimate(aServiceImage, aBackfillImage)
           ? mPairs[static_cast<std::size_t>(aServiceImage)]
                   [static_cast<std::size_t>(aBackfillImage)]
                     .mEstimate
           : kPriorEstimate;
}

bool
InterferenceEstimator::HasEstimate(int aServiceImage, int aBackfillImage) const
{
  const auto service = static_cast<std::size_t>(aServiceImage);
  const auto backfill = static_cast<std::size_t>(aBackfillImage);
  return service < mPairs.size() && backfill < mPairs[service].size() &&
         mPairs[service][backfill].mLastUpdate != 0;
}

void
InterferenceEstimator::Set(int aServiceImage,
                           int aBackfillImage,
                           const PairEstimate& aValue)
{
  const auto service = static_cast<std::size_t>(aServiceImage);
  const auto backfill = static_cast<std::size_t>(aBackfillImage);
  if (service >= mPairs.size()) {
    mPairs.resize(service + 1);
  }
  auto& row = mPairs[service];
  if (backfill >= row.size()) {
    row.resize(backfill + 1);
  }
  row[backfill] = { aValue, ++mUpdateCount };
}

std::vector<InterferenceEstimator::KnownPair>
InterferenceEstimator::ListByRecency() const
{
  std::vector<std::pair<std::uint64_t, KnownPair>> known;
  for (std::size_t service = 0; service < mPairs.size(); ++service) {
    for (std::size_t backfill = 0; backfill < mPairs[service].size();
         ++backfill) {
      const Pair& pair = mPairs[service][backfill];
      if (pair.mLastUpdate != 0) {
        known.emplace_back(pair.mLastUpdate,
                           KnownPair{ static_cast<int>(service),
                                      static_cast<int>(backfill),
                                      pair.mEstimate });
      }
    }
  }
  std::sort(
    known.begin(), known.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
  std::vector<KnownPair> pairs;
  pairs.reserve(known.size());
  for (const auto& [update, pair] : known) {
    pairs.push_back(pair);
  }
  return pairs;
}

} // namespace skylarkhill::dispatch
