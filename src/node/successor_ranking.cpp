#include "skylarkhill/node/successor_ranking.hpp"

#include <algorithm>
#include <cstddef>
#include <tuple>

namespace skylarkhill::node {

namespace {

/// The other candidates wait for each name, so more would delay a change if
/// none of the named instances claims.
constexpr std::size_t kMaxSuccessors = 3;

} // namespace

std::vector<std::string>
RankSuccessors(std::vector<SuccessorCandidate> aCandidates)
{
  std::stable_sort(
    aCandidates.begin(),
    aCandidates.end(),
    [](const SuccessorCandidate& aLeft, const SuccessorCandidate& aRight) {
      // Instances of other failure domains read a resignation later.
      return std::make_tuple(
               aLeft.mLedCells, !aLeft.mIsInDomain, -aLeft.mEntry.mProcessors) <
             std::make_tuple(aRight.mLedCells,
                             !aRight.mIsInDomain,
                             -aRight.mEntry.mProcessors);
    });
  std::vector<std::string> successors;
  for (auto& it : aCandidates) {
    if (successors.size() == kMaxSuccessors) {
      break;
    }
    successors.push_back(std::move(it.mEntry.mInstanceId));
  }
  return successors;
}

} // namespace skylarkhill::node
