#ifndef SKYLARKHILL_REQUESTS_IN_FLIGHT_TABLE_HPP
#define SKYLARKHILL_REQUESTS_IN_FLIGHT_TABLE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/id.hpp"
#include "skylarkhill/requests/request.hpp"

#include <cstdint>
#include <map>
#include <utility>

namespace skylarkhill::requests {

/// Attempts that this instance has in flight, per target. Not thread-safe.
class InFlightTable
{
public:
  void Begin(const Target& aTarget,
             const base::RequestId& aRequest,
             std::int64_t aAttempt,
             base::TimePoint aNow);
  void End(const Target& aTarget,
           const base::RequestId& aRequest,
           std::int64_t aAttempt);

  std::int64_t Count(const Target& aTarget) const;
  /// Attempts in flight that began at `aSince` or later; a report made at
  /// that time does not include them.
  std::int64_t CountSince(const Target& aTarget, base::TimePoint aSince) const;

private:
  using AttemptKey = std::pair<base::RequestId, std::int64_t>;

  std::map<Target, std::map<AttemptKey, base::TimePoint>> mTargets;
};

} // namespace skylarkhill::requests

#endif // SKYLARKHILL_REQUESTS_IN_FLIGHT_TABLE_HPP
