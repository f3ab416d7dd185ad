#include "skylarkhill/policy/interference.hpp"

#include <algorithm>
#include <cmath>

namespace skylarkhill::policy {

namespace {

// Reports are noisy, so one report corrects a fifth of the prediction error.
constexpr double kLearningRate = 0.2;
constexpr std::chrono::minutes kHalfLife{ 10 };
// Prior, assumed for pairs without recent reports. It is not zero, so that
// tasks of unknown classes are not all placed beside the same service.
constexpr double kPriorPercentPerTask = 1.0;
constexpr double kMaxPercentPerTask = 400.0;

} // namespace

double
InterferenceModel::Decayed(const PairEstimate& aPair,
                           base::TimePoint aNow) const
{
  const auto age =
    std::max(base::Duration::zero(), base::Duration(aNow - aPair.mUpdatedAt));
  const double halfLives =
    static_cast<double>(age.count()) /
    static_cast<double>(base::Duration(kHalfLife).count());
  const double kept = std::exp2(-halfLives);
  return kPriorPercentPerTask +
         (aPair.mPercentPerTask - kPriorPercentPerTask) * kept;
}

double
InterferenceModel::Estimate(const std::string& aService,
                            const std::string& aBatchClass,
                            base::TimePoint aNow) const
{
  const auto it = mPairs.find({ aService, aBatchClass });
  return it == mPairs.end() ? kPriorPercentPerTask : Decayed(it->second, aNow);
}

// Normalized least mean squares: a report shows only the sum of the effects of
// all classes, so the prediction error is divided among them in proportion to
// their task counts.
void
InterferenceModel::Record(const InterferenceReport& aReport)
{
  double predicted = 0.0;
  double norm = 0.0;
  for (const auto& it : aReport.mBatchTasks) {
    const auto count = static_cast<double>(it.second);
    predicted +=
      count * Estimate(aReport.mService, it.first, aReport.mMeasuredAt);
    norm += count * count;
  }
  if (norm <= 0.0) {
    return;
  }
  const double observed =
    static_cast<double>(aReport.mServiceTimePercent) - 100.0;
  const double error = observed - predicted;
  for (const auto& it : aReport.mBatchTasks) {
    const auto count = static_cast<double>(it.second);
    const double previous =
      Estimate(aReport.mService, it.first, aReport.mMeasuredAt);
    PairEstimate& pair = mPairs[{ aReport.mService, it.first }];
    pair.mPercentPerTask = std::clamp(
      previous + kLearningRate * error * count / norm, 0.0, kMaxPercentPerTask);
    pair.mUpdatedAt = std::max(pair.mUpdatedAt, aReport.mMeasuredAt);
  }
}

} // namespace skylarkhill::policy
