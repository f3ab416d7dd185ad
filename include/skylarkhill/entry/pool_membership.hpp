#ifndef SKYLARKHILL_ENTRY_POOL_MEMBERSHIP_HPP
#define SKYLARKHILL_ENTRY_POOL_MEMBERSHIP_HPP

#include "skylarkhill/catalog/catalog_set.hpp"
#include "skylarkhill/entry/worker_agent.hpp"

namespace skylarkhill::entry {

/// True if the pool covers the worker's failure domain and rack.
bool
IsInPool(const catalog::Pool& aPool, const WorkerLocation& aLocation);

/// True if the worker belongs to the pool of the service.
bool
Serves(const catalog::CatalogSet& aSet,
       const catalog::Service& aService,
       const WorkerLocation& aLocation);

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_POOL_MEMBERSHIP_HPP
