#ifndef SKYLARKHILL_REQUESTS_TARGET_PICKER_HPP
#define SKYLARKHILL_REQUESTS_TARGET_PICKER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/random.hpp"
#include "skylarkhill/requests/in_flight_table.hpp"
#include "skylarkhill/requests/request.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace skylarkhill::requests {

/// A possible target with the data of its latest report.
struct Candidate
{
  Target mTarget;
  std::int64_t mFreeSlots = 0;
  /// Upper bound of the time at which the report was made; kNoDeadline if
  /// `mFreeSlots` already includes all attempts of this instance.
  base::TimePoint mReportedAt;
  /// Recent latency of the service on this target; zero if unknown.
  base::Duration mLatency{ 0 };
  bool mLeaving = false;
  bool mBreakerOpen = false;
};

/// Chooses the target of the next attempt of a request.
class TargetPicker
{
public:
  virtual ~TargetPicker() = default;
  /// An eligible target that is not in `aTried`, or nothing.
  virtual std::optional<Target> Pick(const std::vector<Candidate>& aCandidates,
                                     const std::set<Target>& aTried,
                                     const InFlightTable& aInFlight,
                                     base::Random& aRandom) const = 0;
};

/// Free slots of `aCandidate` minus the attempts in flight that its report does
/// not include.
std::int64_t
EstimateFreeSlots(const Candidate& aCandidate, const InFlightTable& aInFlight);

/// True if new attempts may be sent to `aCandidate`.
bool
IsEligible(const Candidate& aCandidate,
           const std::set<Target>& aTried,
           const InFlightTable& aInFlight);

/// True if a candidate that is not in `aTried` lacks nothing but a free slot.
bool
MayGetFreeSlot(const std::vector<Candidate>& aCandidates,
               const std::set<Target>& aTried);

/// Sets the free slots of each target in `aRefusedAt` to 0 unless it has
/// reported them after the refusal.
void
ApplyRefusals(const std::map<Target, base::TimePoint>& aRefusedAt,
              std::vector<Candidate>& aCandidates);

/// Simple variant for comparison: uniformly random among all eligible targets.
std::unique_ptr<TargetPicker>
CreateRandomTargetPicker();

/// Power of two choices: the better of two random held workers by free slots
/// and latency. Picks among peers only if no held worker is eligible.
std::unique_ptr<TargetPicker>
CreateTwoChoicesTargetPicker();

} // namespace skylarkhill::requests

#endif // SKYLARKHILL_REQUESTS_TARGET_PICKER_HPP
