#include "skylarkhill/catalog/config_record.hpp"

#include "skylarkhill/catalog/check.hpp"
#include "skylarkhill/catalog/json_member.hpp"

#include <tuple>
#include <utility>

namespace skylarkhill::catalog {

namespace {

constexpr std::string_view kPublishType = "publish";
constexpr std::string_view kSnapshotType = "snapshot";

base::JsonValue
MakeRecord(std::string_view aType, const RecordIdentity& aIdentity)
{
  base::JsonValue value = base::MakeJsonObject();
  value.addMember("type") <<= std::string(aType);
  value.addMember("writer") <<= aIdentity.mWriter;
  value.addMember("sequence") <<= aIdentity.mSequence;
  return value;
}

base::JsonValue
Format(const PublishRecord& aRecord)
{
  base::JsonValue value = MakeRecord(kPublishType, aRecord.mIdentity);
  value.addMember("base_version") <<= aRecord.mBaseVersion;
  AddMember(value, "delta", FormatDelta(aRecord.mDelta));
  value.addMember("digest") <<= aRecord.mDigest;
  value.addMember("publisher") <<= aRecord.mPublisher;
  return value;
}

base::JsonValue
Format(const SnapshotRecord& aRecord)
{
  base::JsonValue value = MakeRecord(kSnapshotType, aRecord.mIdentity);
  value.addMember("version") <<= aRecord.mVersion;
  value.addMember("as_of") <<= aRecord.mAsOf;
  AddMember(value, "set", FormatSet(aRecord.mSet));
  return value;
}

base::Result<ConfigRecord>
ParsePublish(base::JsonReader& aReader, RecordIdentity aIdentity)
{
  PublishRecord record;
  record.mIdentity = std::move(aIdentity);
  record.mBaseVersion = aReader.GetInt("base_version");
  record.mDigest = aReader.GetString("digest");
  record.mPublisher = aReader.GetString("publisher");
  const base::JsonValue* delta = aReader.GetMember("delta");
  aReader.RejectUnknown();
  BOOST_OUTCOME_TRYV(aReader.Check());
  if (delta == nullptr) {
    return base::MakeError(base::ErrorKind::InvalidArgument,
                           "'delta' is missing");
  }
  auto parsed = ParseDelta(*delta);
  if (parsed.has_error()) {
    return parsed.error();
  }
  record.mDelta = std::move(parsed.value());
  return ConfigRecord(std::move(record));
}

base::Result<ConfigRecord>
ParseSnapshot(base::JsonReader& aReader, RecordIdentity aIdentity)
{
  SnapshotRecord record;
  record.mIdentity = std::move(aIdentity);
  record.mVersion = aReader.GetInt("version");
  record.mAsOf = aReader.GetInt("as_of");
  const base::JsonValue* set = aReader.GetMember("set");
  aReader.RejectUnknown();
  BOOST_OUTCOME_TRYV(aReader.Check());
  if (set == nullptr) {
    return base::MakeError(base::ErrorKind::InvalidArgument,
                           "'set' is missing");
  }
  auto parsed = ParseSetWithoutRelationChecks(*set);
  if (parsed.has_error()) {
    return parsed.error();
  }
  record.mSet = std::move(parsed.value());
  return ConfigRecord(std::move(record));
}

} // namespace

bool
operator<(const RecordIdentity& aLeft, const RecordIdentity& aRight)
{
  return std::tie(aLeft.mWriter, aLeft.mSequence) <
         std::tie(aRight.mWriter, aRight.mSequence);
}

std::string
FormatConfigRecord(const ConfigRecord& aRecord)
{
  return std::visit(
    [](const auto& aAlternative) {
      return base::FormatJson(Format(aAlternative));
    },
    aRecord);
}

base::Result<ConfigRecord>
ParseConfigRecord(std::string_view aPayload)
{
  const auto value = base::ParseJson(aPayload);
  if (value.has_error()) {
    return value.error();
  }
  base::JsonReader reader(value.value(), "record");
  const std::string type = reader.GetString("type");
  RecordIdentity identity;
  identity.mWriter = reader.GetString("writer");
  identity.mSequence = reader.GetInt("sequence");
  if (type == kPublishType) {
    return ParsePublish(reader, std::move(identity));
  }
  if (type == kSnapshotType) {
    return ParseSnapshot(reader, std::move(identity));
  }
  return base::MakeError(base::ErrorKind::InvalidArgument,
                         "unknown record type '" + type + "'");
}

} // namespace skylarkhill::catalog
