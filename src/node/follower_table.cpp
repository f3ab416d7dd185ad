#include "skylarkhill/node/follower_table.hpp"

#include "skylarkhill/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::node {

void
FollowerTable::Set(const std::string& aOwnName,
                   const std::string& aOwnDomain,
                   std::vector<std::vector<InstanceEntry>> aFollowers)
{
  const std::uint64_t seed = base::StableHash(aOwnName);
  std::vector<std::vector<std::string>> addresses;
  for (auto& followers : aFollowers) {
    const auto keyOf = [&](const InstanceEntry& aEntry) {
      return std::make_pair(aEntry.mDomain != aOwnDomain,
                            base::StableHash(aEntry.mName, seed));
    };
    std::sort(followers.begin(),
              followers.end(),
              [&](const InstanceEntry& aLeft, const InstanceEntry& aRight) {
                return keyOf(aLeft) < keyOf(aRight);
              });
    addresses.emplace_back();
    for (const auto& it : followers) {
      addresses.back().push_back(it.mAddress);
    }
  }
  const std::lock_guard lock(mLock);
  mAddresses = std::move(addresses);
}

std::vector<std::string>
FollowerTable::FollowersOf(int aCell) const
{
  const std::lock_guard lock(mLock);
  const auto n = static_cast<std::size_t>(aCell);
  return n < mAddresses.size() ? mAddresses[n] : std::vector<std::string>();
}

} // namespace skylarkhill::node
