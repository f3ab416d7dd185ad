#ifndef SKYLARKHILL_REQUESTS_CONCURRENCY_LIMIT_HPP
#define SKYLARKHILL_REQUESTS_CONCURRENCY_LIMIT_HPP

#include "skylarkhill/base/clock.hpp"

#include <cstdint>
#include <memory>

namespace skylarkhill::requests {

/// One finished request of a service.
struct LatencySample
{
  base::Duration mLatency{ 0 };
  /// Requests of the service in flight when this one ended.
  std::int64_t mInFlight = 0;
  /// The worker refused the request, or its attempt timed out.
  bool mOverloaded = false;
};

struct ConcurrencyLimitOptions
{
  /// A mean latency above this percentage of the lowest recent one lowers the
  /// limit.
  std::int64_t mTolerancePercent = 400;
};

/// Limits how many requests of one service run at the same time. Not
/// thread-safe.
class ConcurrencyLimit
{
public:
  virtual ~ConcurrencyLimit() = default;
  /// Sets the number of slots, the upper bound of the limit.
  virtual void SetCapacity(std::int64_t aSlots) = 0;
  virtual void Observe(const LatencySample& aSample, base::TimePoint aNow) = 0;
  /// Between 1 and the capacity; 0 if there is no capacity.
  virtual std::int64_t Limit() const = 0;
};

/// Simple variant for comparison: the limit is the capacity.
std::unique_ptr<ConcurrencyLimit>
CreateFixedConcurrencyLimit();

/// Additive increase, multiplicative decrease on latency.
std::unique_ptr<ConcurrencyLimit>
CreateAdaptiveConcurrencyLimit(const ConcurrencyLimitOptions& aOptions);

} // namespace skylarkhill::requests

#endif // SKYLARKHILL_REQUESTS_CONCURRENCY_LIMIT_HPP
