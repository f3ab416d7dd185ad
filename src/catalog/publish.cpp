#include "skylarkhill/catalog/publish.hpp"

#include "skylarkhill/catalog/check.hpp"

#include <utility>

namespace skylarkhill::catalog {

base::Result<PublishRecord>
PreparePublish(const ConfigState& aState,
               Version aBaseVersion,
               SetDelta aDelta,
               std::string aPublisher)
{
  const Version current = aState.CurrentVersion();
  if (!aState.IsComplete() || aBaseVersion != current) {
    return base::MakeError(
      base::ErrorKind::VersionConflict,
      "the config state is incomplete, or the base version is "
      "not the current version " +
        std::to_string(current));
  }
  const auto target = ApplyDelta(*aState.CurrentSet(), aDelta);
  if (target.has_error()) {
    return target.error();
  }
  const std::vector<Finding> findings = CheckSet(target.value());
  if (!findings.empty()) {
    return base::MakeError(base::ErrorKind::InvalidSet, JoinFindings(findings));
  }
  PublishRecord record;
  record.mBaseVersion = aBaseVersion;
  record.mDelta = std::move(aDelta);
  record.mDigest = target.value().Digest();
  record.mPublisher = std::move(aPublisher);
  return record;
}

} // namespace skylarkhill::catalog
