#ifndef SKYLARKHILL_NODE_FOLLOWER_TABLE_HPP
#define SKYLARKHILL_NODE_FOLLOWER_TABLE_HPP

#include "skylarkhill/node/cell_queries.hpp"
#include "skylarkhill/node/instance_directory.hpp"

#include <mutex>
#include <string>
#include <vector>

namespace skylarkhill::node {

/// The followers of each cell as one instance prefers them: those of its own
/// failure domain first, in an order that differs between instances.
class FollowerTable : public CellFollowers
{
public:
  /// `aFollowers` has the other instances that follow each cell.
  void Set(const std::string& aOwnName,
           const std::string& aOwnDomain,
           std::vector<std::vector<InstanceEntry>> aFollowers);
  std::vector<std::string> FollowersOf(int aCell) const override;

private:
  mutable std::mutex mLock;
  std::vector<std::vector<std::string>> mAddresses;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_FOLLOWER_TABLE_HPP
