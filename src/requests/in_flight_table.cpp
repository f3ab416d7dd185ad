#include "skylarkhill/requests/in_flight_table.hpp"

#include <algorithm>

namespace skylarkhill::requests {

void
InFlightTable::Begin(const Target& aTarget,
                     const base::RequestId& aRequest,
                     std::int64_t aAttempt,
                     base::TimePoint aNow)
{
  mTargets[aTarget][AttemptKey(aRequest, aAttempt)] = aNow;
}

void
InFlightTable::End(const Target& aTarget,
                   const base::RequestId& aRequest,
                   std::int64_t aAttempt)
{
  const auto found = mTargets.find(aTarget);
  if (found == mTargets.end()) {
    return;
  }
  found->second.erase(AttemptKey(aRequest, aAttempt));
  if (found->second.empty()) {
    mTargets.erase(found);
  }
}

std::int64_t
InFlightTable::Count(const Target& aTarget) const
{
  return CountSince(aTarget, base::TimePoint::min());
}

std::int64_t
InFlightTable::CountSince(const Target& aTarget, base::TimePoint aSince) const
{
  const auto found = mTargets.find(aTarget);
  if (found == mTargets.end()) {
    return 0;
  }
  return std::count_if(
    found->second.begin(), found->second.end(), [&](const auto& aAttempt) {
      return aAttempt.second >= aSince;
    });
}

} // namespace skylarkhill::requests
