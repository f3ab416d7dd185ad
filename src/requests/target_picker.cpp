#include "skylarkhill/requests/target_picker.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace skylarkhill::requests {

namespace {

using Eligible = std::vector<const Candidate*>;

Eligible
SelectEligible(const std::vector<Candidate>& aCandidates,
               const std::set<Target>& aTried,
               const InFlightTable& aInFlight)
{
  Eligible eligible;
  for (const Candidate& it : aCandidates) {
    if (IsEligible(it, aTried, aInFlight)) {
      eligible.push_back(&it);
    }
  }
  return eligible;
}

Eligible
FilterByKind(const Eligible& aEligible, TargetKind aKind)
{
  Eligible selected;
  std::copy_if(aEligible.begin(),
               aEligible.end(),
               std::back_inserter(selected),
               [&](const Candidate* aCandidate) {
                 return aCandidate->mTarget.mKind == aKind;
               });
  return selected;
}

/// Microseconds of latency per free slot; lower is better. A target of unknown
/// latency counts as fast, so that its latency gets measured.
double
Cost(const Candidate& aCandidate, const InFlightTable& aInFlight)
{
  const auto free =
    static_cast<double>(EstimateFreeSlots(aCandidate, aInFlight));
  const auto micros = static_cast<double>(aCandidate.mLatency.count());
  return std::max(micros, 1.0) / free;
}

class RandomPicker : public TargetPicker
{
public:
  std::optional<Target> Pick(const std::vector<Candidate>& aCandidates,
                             const std::set<Target>& aTried,
                             const InFlightTable& aInFlight,
                             base::Random& aRandom) const override
  {
    const Eligible all = SelectEligible(aCandidates, aTried, aInFlight);
    if (all.empty()) {
      return std::nullopt;
    }
    return all[aRandom.Below(all.size())]->mTarget;
  }
};

class TwoChoicesPicker : public TargetPicker
{
public:
  std::optional<Target> Pick(const std::vector<Candidate>& aCandidates,
                             const std::set<Target>& aTried,
                             const InFlightTable& aInFlight,
                             base::Random& aRandom) const override
  {
    const Eligible all = SelectEligible(aCandidates, aTried, aInFlight);
    const Eligible workers = FilterByKind(all, TargetKind::HeldWorker);
    if (!workers.empty()) {
      return PickBetterOfTwo(workers, aInFlight, aRandom);
    }
    const Eligible peers = FilterByKind(all, TargetKind::Peer);
    if (!peers.empty()) {
      return PickBetterOfTwo(peers, aInFlight, aRandom);
    }
    return std::nullopt;
  }

private:
  static Target PickBetterOfTwo(const Eligible& aEligible,
                                const InFlightTable& aInFlight,
                                base::Random& aRandom)
  {
    const std::size_t first = aRandom.Below(aEligible.size());
    if (aEligible.size() == 1) {
      return aEligible[first]->mTarget;
    }
    const std::size_t step = 1 + aRandom.Below(aEligible.size() - 1);
    const std::size_t second = (first + step) % aEligible.size();
    const Candidate& left = *aEligible[first];
    const Candidate& right = *aEligible[second];
    const bool better = Cost(right, aInFlight) < Cost(left, aInFlight);
    return better ? right.mTarget : left.mTarget;
  }
};

} // namespace

std::int64_t
EstimateFreeSlots(const Candidate& aCandidate, const InFlightTable& aInFlight)
{
  const std::int64_t unreported =
    aInFlight.CountSince(aCandidate.mTarget, aCandidate.mReportedAt);
  return aCandidate.mFreeSlots - unreported;
}

bool
IsEligible(const Candidate& aCandidate,
           const std::set<Target>& aTried,
           const InFlightTable& aInFlight)
{
  if (aCandidate.mLeaving || aCandidate.mBreakerOpen) {
    return false;
  }
  if (aTried.count(aCandidate.mTarget) != 0) {
    return false;
  }
  return EstimateFreeSlots(aCandidate, aInFlight) > 0;
}

bool
MayGetFreeSlot(const std::vector<Candidate>& aCandidates,
               const std::set<Target>& aTried)
{
  return std::any_of(
    aCandidates.begin(), aCandidates.end(), [&](const Candidate& aCandidate) {
      return !aCandidate.mLeaving && !aCandidate.mBreakerOpen &&
             aTried.count(aCandidate.mTarget) == 0;
    });
}

void
ApplyRefusals(const std::map<Target, base::TimePoint>& aRefusedAt,
              std::vector<Candidate>& aCandidates)
{
  for (Candidate& it : aCandidates) {
    const auto refused = aRefusedAt.find(it.mTarget);
    if (refused != aRefusedAt.end() && it.mReportedAt <= refused->second) {
      it.mFreeSlots = 0;
    }
  }
}

std::unique_ptr<TargetPicker>
CreateRandomTargetPicker()
{
  return std::make_unique<RandomPicker>();
}

std::unique_ptr<TargetPicker>
CreateTwoChoicesTargetPicker()
{
  return std::make_unique<TwoChoicesPicker>();
}

} // namespace skylarkhill::requests
