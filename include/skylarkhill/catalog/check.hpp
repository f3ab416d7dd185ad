#ifndef SKYLARKHILL_CATALOG_CHECK_HPP
#define SKYLARKHILL_CATALOG_CHECK_HPP

#include "skylarkhill/catalog/catalog_set.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace skylarkhill::catalog {

/// A set read from a document, with all problems that were found.
struct SetReadResult
{
  CatalogSet mSet;
  std::vector<Finding> mFindings;
};

/// An eviction policy with inherited and default values resolved.
struct EvictionRules
{
  EvictionKind mKind = EvictionKind::None;
  std::int64_t mThrottlePercent = 120;
  std::int64_t mEvictPercent = 150;
  std::int64_t mHysteresisPercent = 20;
};

/// Checks the relations between objects: references, inheritance cycles,
/// capacity guarantees, and batch classes that fit on no worker. Values of
/// single objects are checked when they are read.
std::vector<Finding>
CheckSet(const CatalogSet& aSet);

/// Reads and checks a whole document. InvalidJson if it is not valid JSON.
base::Result<SetReadResult>
ReadSet(std::string_view aText);

/// Like ReadSet, for parsed JSON. Never fails; all problems are findings.
SetReadResult
ReadSet(const base::JsonValue& aDocument);

/// Reads and checks a document that must have no findings. InvalidJson;
/// InvalidSet with all findings.
base::Result<CatalogSet>
ParseSet(std::string_view aText);

/// Like ParseSet, for parsed JSON. Errors: InvalidSet.
base::Result<CatalogSet>
ParseSet(const base::JsonValue& aDocument);

/// Reads a document and checks each object alone, but not the relations
/// between objects. Errors: InvalidSet.
base::Result<CatalogSet>
ParseSetWithoutRelationChecks(const base::JsonValue& aDocument);

/// Resolves a policy of a checked set. Returns the defaults if the policy does
/// not exist.
EvictionRules
ResolveEvictionRules(const CatalogSet& aSet, std::string_view aPolicy);

/// The most that batch tasks can use on one worker of the pool: its capacity
/// minus the reserves of the pool's services. Zero if the pool does not exist.
base::Resources
BatchCapacityPerWorker(const CatalogSet& aSet, std::string_view aPool);

} // namespace skylarkhill::catalog

#endif // SKYLARKHILL_CATALOG_CHECK_HPP
