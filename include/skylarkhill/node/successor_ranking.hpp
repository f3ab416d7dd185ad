#ifndef SKYLARKHILL_NODE_SUCCESSOR_RANKING_HPP
#define SKYLARKHILL_NODE_SUCCESSOR_RANKING_HPP

#include "skylarkhill/node/instance_directory.hpp"

#include <string>
#include <vector>

namespace skylarkhill::node {

/// An instance that could lead a cell next.
struct SuccessorCandidate
{
  InstanceEntry mEntry;
  bool mIsInDomain = true;
  /// Other cells that the instance leads.
  int mLedCells = 0;
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

/// Ids of the best candidates, the best first. Candidates that are equally good
/// keep their order.
std::vector<std::string>
RankSuccessors(std::vector<SuccessorCandidate> aCandidates);

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_SUCCESSOR_RANKING_HPP
