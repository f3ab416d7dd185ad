#include "skylarkhill/requests/concurrency_limit.hpp"

#include <algorithm>

namespace skylarkhill::requests {

namespace {

constexpr double kDecreaseFactor = 0.9;
// Service times vary widely between requests of one service, so the mean of
// about the last 30, not a single latency, is compared with the baseline.
constexpr double kSampleWeight = 0.03;
// Relative growth of the baseline latency per sample. Without it, a service
// that has become slower permanently would stay limited.
constexpr double kBaselineRisePerSample = 0.001;
// With fewer requests in flight than this fraction of the limit, the latency
// does not show whether a higher limit is safe.
constexpr double kMinUtilization = 0.8;

class FixedLimit : public ConcurrencyLimit
{
public:
  void SetCapacity(std::int64_t aSlots) override { mCapacity = aSlots; }
  void Observe(const LatencySample&, base::TimePoint) override {}
  std::int64_t Limit() const override { return mCapacity; }

private:
  std::int64_t mCapacity = 0;
};

class AdaptiveLimit : public ConcurrencyLimit
{
public:
  explicit AdaptiveLimit(const ConcurrencyLimitOptions& aOptions)
    : mTolerance(static_cast<double>(aOptions.mTolerancePercent) / 100.0)
  {
  }

  // The limit scales with the capacity: new workers are used at once, and when
  // workers are lost, the limit falls at once instead of when the latency
  // rises.
  void SetCapacity(std::int64_t aSlots) override
  {
    const auto slots = static_cast<double>(std::max<std::int64_t>(aSlots, 0));
    mLimit = mCapacity > 0 ? mLimit * slots / mCapacity : slots;
    mCapacity = slots;
  }

  void Observe(const LatencySample& aSample, base::TimePoint aNow) override
  {
    const auto latency = static_cast<double>(aSample.mLatency.count());
    if (!aSample.mOverloaded) {
      UpdateMean(latency);
      UpdateBaseline();
    }
    if (aSample.mOverloaded || mMean > mTolerance * mBaseline) {
      Decrease(aSample.mLatency, aNow);
      return;
    }
    // The integer limit is compared: with mLimit = 1.9, 1 request is the most
    // that can be in flight.
    const auto usable = static_cast<double>(Limit());
    if (static_cast<double>(aSample.mInFlight) >= kMinUtilization * usable) {
      mLimit = std::min(mCapacity, mLimit + 1.0 / std::max(mLimit, 1.0));
    }
  }

  std::int64_t Limit() const override
  {
    if (mCapacity < 1.0) {
      return 0;
    }
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(mLimit));
  }

private:
  void UpdateMean(double aLatency)
  {
    ++mSamples;
    const double weight = std::max(kSampleWeight, 1.0 / mSamples);
    mMean += weight * (aLatency - mMean);
  }

  void UpdateBaseline()
  {
    const double risen = mBaseline * (1.0 + kBaselineRisePerSample);
    mBaseline = mBaseline <= 0 ? mMean : std::min(mMean, risen);
  }

  // Requests in flight at a decrease still reflect the old load, so the next
  // decrease is allowed only after the duration of that latency.
  void Decrease(base::Duration aLatency, base::TimePoint aNow)
  {
    if (aNow < mDecreaseAllowedAt) {
      return;
    }
    mLimit = std::max(1.0, mLimit * kDecreaseFactor);
    mDecreaseAllowedAt = aNow + aLatency;
  }

  double mTolerance;
  double mCapacity = 0.0;
  double mLimit = 0.0;
  double mSamples = 0.0;
  double mMean = 0.0;
  double mBaseline = 0.0;
  base::TimePoint mDecreaseAllowedAt;
};

} // namespace

std::unique_ptr<ConcurrencyLimit>
CreateFixedConcurrencyLimit()
{
  return std::make_unique<FixedLimit>();
}

std::unique_ptr<ConcurrencyLimit>
CreateAdaptiveConcurrencyLimit(const ConcurrencyLimitOptions& aOptions)
{
  return std::make_unique<AdaptiveLimit>(aOptions);
}

} // namespace skylarkhill::requests
