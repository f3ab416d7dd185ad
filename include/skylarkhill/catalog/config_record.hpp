#ifndef SKYLARKHILL_CATALOG_CONFIG_RECORD_HPP
#define SKYLARKHILL_CATALOG_CONFIG_RECORD_HPP

#include "skylarkhill/catalog/delta.hpp"
#include "skylarkhill/platform/log_service.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace skylarkhill::catalog {

/// Version of a published set: the offset of its publish record.
using Version = platform::Offset;

/// The version of the empty set before the first publish.
inline constexpr Version kNoVersion = -1;

/// Identifies a record of a writer. A record that is appended again keeps its
/// identity.
struct RecordIdentity
{
  /// Instance name and incarnation.
  std::string mWriter;
  std::int64_t mSequence = 0;

  friend bool operator<(const RecordIdentity& aLeft,
                        const RecordIdentity& aRight);
};

/// A request to publish a set. It takes effect only if its base version is
/// still current.
struct PublishRecord
{
  RecordIdentity mIdentity;
  Version mBaseVersion = kNoVersion;
  SetDelta mDelta;
  /// Digest of the resulting set.
  std::string mDigest;
  /// Who published the set; shown in the timeline.
  std::string mPublisher;
};

/// A snapshot of the state that its writer has read from the stream.
struct SnapshotRecord
{
  RecordIdentity mIdentity;
  Version mVersion = kNoVersion;
  CatalogSet mSet;
  /// The last offset that the writer had read.
  platform::Offset mAsOf = -1;
};

using ConfigRecord = std::variant<PublishRecord, SnapshotRecord>;

/// Formats `aRecord` as a payload of the `config` stream.
std::string
FormatConfigRecord(const ConfigRecord& aRecord);

/// Parses a payload of the `config` stream. InvalidJson, InvalidArgument,
/// InvalidSet.
base::Result<ConfigRecord>
ParseConfigRecord(std::string_view aPayload);

} // namespace skylarkhill::catalog

#endif // SKYLARKHILL_CATALOG_CONFIG_RECORD_HPP
