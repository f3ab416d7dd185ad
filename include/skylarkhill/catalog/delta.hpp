#ifndef SKYLARKHILL_CATALOG_DELTA_HPP
#define SKYLARKHILL_CATALOG_DELTA_HPP

#include "skylarkhill/catalog/catalog_set.hpp"

#include <string>
#include <vector>

namespace skylarkhill::catalog {

/// The difference between two sets.
struct SetDelta
{
  /// Added and replaced objects.
  std::vector<Object> mChanged;
  /// Names of removed objects.
  std::vector<std::string> mRemoved;
};

/// Computes the delta from `aBase` to `aTarget`, sorted by name.
SetDelta
Diff(const CatalogSet& aBase, const CatalogSet& aTarget);

/// Applies the delta to `aBase`. InvalidSet if the delta contains a name twice
/// or removes an object that does not exist.
base::Result<CatalogSet>
ApplyDelta(CatalogSet aBase, const SetDelta& aDelta);

base::JsonValue
FormatDelta(const SetDelta& aDelta);

/// InvalidSet with all findings.
base::Result<SetDelta>
ParseDelta(const base::JsonValue& aValue);

} // namespace skylarkhill::catalog

#endif // SKYLARKHILL_CATALOG_DELTA_HPP
