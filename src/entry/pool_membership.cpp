#include "skylarkhill/entry/pool_membership.hpp"

namespace skylarkhill::entry {

bool
IsInPool(const catalog::Pool& aPool, const WorkerLocation& aLocation)
{
  return aPool.mDomains.Contains(aLocation.mDomain.mValue) &&
         aPool.mRacks.Contains(aLocation.mRack);
}

bool
Serves(const catalog::CatalogSet& aSet,
       const catalog::Service& aService,
       const WorkerLocation& aLocation)
{
  const auto* pool = aSet.FindAs<catalog::Pool>(aService.mPool);
  return pool != nullptr && IsInPool(*pool, aLocation);
}

} // namespace skylarkhill::entry
