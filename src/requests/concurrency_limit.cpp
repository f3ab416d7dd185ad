#include "skylarkhill/requests/concurrency_limit.hpp"

#include <algorithm>

namespace skylarkhill::requests {

namespace {

constexpr double kDecreaseFactor = 0.9;
// Service times vary several times over between requests of one service, so the
// mean of about the last 30 is compared, never a single one.
constexpr double kSampleWeight = 0.03;
// The undisturbed latency rises by this share per sample, so that a service
// that has become slower for good is not limited for ever.
constexpr double kBaselineRisePerSample = 0.001;
// Below this share of the limit, latency says nothing about a higher limit.
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

  // The limit scales with the capacity: new workers are used at once, and lost
  // ones are not overcommitted until latency shows it.
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
    // Only whole requests run: 1 in flight is all that a limit of 1.9 allows.
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

  // Requests in flight at a decrease still show the old load, so the next
  // decrease waits for one latency.
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
