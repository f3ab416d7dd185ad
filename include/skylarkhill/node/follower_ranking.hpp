#ifndef SKYLARKHILL_NODE_FOLLOWER_RANKING_HPP
#define SKYLARKHILL_NODE_FOLLOWER_RANKING_HPP

#include "skylarkhill/cells/cell_map.hpp"
#include "skylarkhill/node/instance_directory.hpp"

#include <map>
#include <string>
#include <vector>

namespace skylarkhill::node {

/// Names of the instances in the order in which they follow the cell. Instances
/// of the failure domain of the cell alternate with others, so that some are
/// left if a failure domain is lost; those with the most processors come first
/// among the former, because they are the first to lead. All instances with the
/// same list compute the same order, and an instance that comes or goes moves
/// few others.
std::vector<std::string>
RankFollowers(const cells::CellMap& aMap,
              int aCell,
              const std::map<std::string, InstanceEntry>& aInstances);

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_FOLLOWER_RANKING_HPP
