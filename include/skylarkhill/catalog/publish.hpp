#ifndef SKYLARKHILL_CATALOG_PUBLISH_HPP
#define SKYLARKHILL_CATALOG_PUBLISH_HPP

#include "skylarkhill/catalog/config_state.hpp"

#include <string>

namespace skylarkhill::catalog {

/// Creates a record that publishes the current set with `aDelta` applied. The
/// caller sets its identity. VersionConflict if `aBaseVersion` is not current
/// or the state is not complete; InvalidSet with all findings if the delta
/// cannot be applied or the resulting set is inconsistent.
base::Result<PublishRecord>
PreparePublish(const ConfigState& aState,
               Version aBaseVersion,
               SetDelta aDelta,
               std::string aPublisher);

} // namespace skylarkhill::catalog

#endif // SKYLARKHILL_CATALOG_PUBLISH_HPP
