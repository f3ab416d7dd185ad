#ifndef SKYLARKHILL_NODE_SUCCESSOR_RANKING_HPP
#define SKYLARKHILL_NODE_SUCCESSOR_RANKING_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/node/instance_directory.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace skylarkhill::node {

/// Time after a resignation in which other leaders may resign, as in planned
/// work on the instances of a site.
inline constexpr base::Duration kSeriesTime = std::chrono::seconds(10);

/// An instance that could lead a cell next.
struct SuccessorCandidate
{
  InstanceEntry mEntry;
  bool mIsInDomain = true;
  /// Other cells that the instance leads.
  int mLedCells = 0;
  /// The instance has restarted in a series in which others may still stop.
  bool mHasRestarted = false;
};

/// What a leader that resigns knows about who could lead next.
class SuccessorSource
{
public:
  virtual ~SuccessorSource() = default;
  /// Ids of the processes that should claim the cell, in this order; empty if
  /// none is known.
  virtual std::vector<std::string> SuccessorsOf(int aCell) const = 0;
};

/// Names of the instances that have started in the current series of restarts;
/// empty if there is none. `aNowMs` is Unix time.
std::set<std::string>
RestartedInSeries(const std::map<std::string, InstanceEntry>& aInstances,
                  std::int64_t aNowMs);

/// Ids of the best candidates, the best first. Candidates that are equally good
/// keep their order.
std::vector<std::string>
RankSuccessors(std::vector<SuccessorCandidate> aCandidates);

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_SUCCESSOR_RANKING_HPP
