#include "skylarkhill/node/successor_ranking.hpp"

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <utility>

namespace skylarkhill::node {

namespace {

/// The other candidates wait for each name, so more would delay a change if
/// none of the named instances claims.
constexpr std::size_t kMaxSuccessors = 3;

} // namespace

std::set<std::string>
RestartedInSeries(const std::map<std::string, InstanceEntry>& aInstances,
                  std::int64_t aNowMs)
{
  const std::int64_t seriesMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(kSeriesTime).count();
  // Clocks of instances may run ahead a little. A start that is far in the
  // future tells nothing.
  std::vector<std::pair<std::int64_t, std::string>> starts;
  for (const auto& [name, entry] : aInstances) {
    if (entry.mStartedMs > 0 && entry.mStartedMs <= aNowMs + seriesMs) {
      starts.emplace_back(entry.mStartedMs, name);
    }
  }
  std::sort(starts.rbegin(), starts.rend());
  std::set<std::string> names;
  std::int64_t laterMs = aNowMs;
  for (const auto& [startedMs, name] : starts) {
    if (startedMs < laterMs - seriesMs) {
      break;
    }
    laterMs = startedMs;
    names.insert(name);
  }
  return names;
}

std::vector<std::string>
RankSuccessors(std::vector<SuccessorCandidate> aCandidates)
{
  std::stable_sort(
    aCandidates.begin(),
    aCandidates.end(),
    [](const SuccessorCandidate& aLeft, const SuccessorCandidate& aRight) {
      // In a series, the others stop next, and their terms start little.
      // Instances of other failure domains read a resignation later.
      return std::make_tuple(aLeft.mLedCells,
                             !aLeft.mHasRestarted,
                             !aLeft.mIsInDomain,
                             -aLeft.mEntry.mProcessors) <
             std::make_tuple(aRight.mLedCells,
                             !aRight.mHasRestarted,
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
