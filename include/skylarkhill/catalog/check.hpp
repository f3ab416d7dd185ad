#ifndef SKYLARKHILL_CATALOG_CHECK_HPP
#define SKYLARKHILL_CATALOG_CHECK_HPP

#include "skylarkhill/catalog/catalog_set.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace skylarkhill::catalog {

/// A set read from a document together with all its problems.
struct SetReadResult
{
  CatalogSet mSet;
  std::vector<Finding> mFindings;
};

/// An eviction policy with everything inherited filled in.
struct EvictionRules
{
  EvictionKind mKind = EvictionKind::None;
  std::int64_t mThrottlePercent = 120;
  std::int64_t mEvictPercent = 150;
  std::int64_t mHysteresisPercent = 20;
};

/// All problems between the objects: references, cycles, promises, classes that
/// no worker can hold. Values of single objects are checked when read.
std::vector<Finding>
CheckSet(const CatalogSet& aSet);

/// Reads and checks a whole document. InvalidJson if it is no JSON object.
base::Result<SetReadResult>
ReadSet(std::string_view aText);

/// Like ReadSet, on parsed JSON. Never fails: problems become findings.
SetReadResult
ReadSet(const base::JsonValue& aDocument);

/// The set of a document without problems. InvalidJson, InvalidSet with all
/// findings.
base::Result<CatalogSet>
ParseSet(std::string_view aText);

/// Like ParseSet, on parsed JSON. InvalidSet.
base::Result<CatalogSet>
ParseSet(const base::JsonValue& aDocument);

/// The set of a document whose objects are valid by themselves; relations
/// between them are not checked. InvalidSet.
base::Result<CatalogSet>
ParseUncheckedSet(const base::JsonValue& aDocument);

/// The rules of a policy of a checked set; the rules of no policy if it does
/// not exist.
EvictionRules
ResolveEvictionRules(const CatalogSet& aSet, std::string_view aPolicy);

/// What batch tasks can use at most of one worker of the pool: its capacity
/// less the reserves of the pool's services. Zero if there is no such pool.
base::Resources
BatchCapacityPerWorker(const CatalogSet& aSet, std::string_view aPool);

} // namespace skylarkhill::catalog

#endif // SKYLARKHILL_CATALOG_CHECK_HPP
