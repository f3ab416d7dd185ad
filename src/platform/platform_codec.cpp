#include "skylarkhill/platform/platform_codec.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace skylarkhill::platform {

using base::ErrorKind;
using base::JsonReader;
using base::JsonValue;
using base::MakeError;

namespace {

JsonValue&
AddObject(JsonValue& aArray)
{
  JsonValue& element = aArray.addMember(std::string());
  element.setCategory(JsonValue::Object);
  return element;
}

/// The enumerator named `aName`. InvalidArgument if there is none.
template<typename Enum>
base::Result<Enum>
FindByName(std::initializer_list<Enum> aValues, const std::string& aName)
{
  for (const Enum it : aValues) {
    if (NameOf(it) == aName) {
      return it;
    }
  }
  return MakeError(ErrorKind::InvalidArgument, "unknown name '" + aName + "'");
}

base::Result<std::uint16_t>
ReadPort(JsonReader& aReader, std::string_view aName)
{
  const std::int64_t port = aReader.GetInt(aName, 0);
  if (port < 0 || port > std::numeric_limits<std::uint16_t>::max()) {
    return MakeError(ErrorKind::InvalidArgument,
                     "'" + std::string(aName) + "' is out of range");
  }
  return static_cast<std::uint16_t>(port);
}

void
AddInstance(JsonValue& aObject, const InstanceInfo& aInstance)
{
  aObject.addMember("name") <<= aInstance.mName;
  aObject.addMember("role") <<= std::string(NameOf(aInstance.mRole));
  aObject.addMember("state") <<= std::string(NameOf(aInstance.mState));
  aObject.addMember("domain") <<= aInstance.mDomain.mValue;
  aObject.addMember("rack") <<= aInstance.mRack;
  aObject.addMember("address") <<= aInstance.mAddress;
  aObject.addMember("port") <<= std::int64_t{ aInstance.mPort };
  aObject.addMember("peer_port") <<= std::int64_t{ aInstance.mPeerPort };
  aObject.addMember("milli_processors") <<=
    aInstance.mCapacity.mMilliProcessors;
  aObject.addMember("memory_bytes") <<= aInstance.mCapacity.mMemoryBytes;
  aObject.addMember("accelerators") <<= aInstance.mCapacity.mAccelerators;
  aObject.addMember("slots") <<= aInstance.mSlots;
  aObject.addMember("connections") <<= aInstance.mConnections;
}

} // namespace

std::string
FormatAppendRequest(std::string_view aPayload)
{
  JsonValue body = base::MakeJsonObject();
  body.addMember("payload") <<= std::string(aPayload);
  return base::FormatJson(body);
}

base::Result<std::string>
ParseAppendRequest(std::string_view aBody)
{
  BOOST_OUTCOME_TRY(json, base::ParseJson(aBody));
  JsonReader reader(json);
  std::string payload = reader.GetString("payload");
  BOOST_OUTCOME_TRYV(reader.Check());
  return payload;
}

std::string
FormatAppendResponse(Offset aOffset)
{
  JsonValue body = base::MakeJsonObject();
  body.addMember("offset") <<= aOffset;
  return base::FormatJson(body);
}

base::Result<Offset>
ParseAppendResponse(std::string_view aBody)
{
  BOOST_OUTCOME_TRY(json, base::ParseJson(aBody));
  JsonReader reader(json);
  const Offset offset = reader.GetInt("offset");
  BOOST_OUTCOME_TRYV(reader.Check());
  return offset;
}

std::string
FormatLogPage(const LogPage& aPage)
{
  JsonValue body = base::MakeJsonObject();
  body.addMember("first_retained") <<= aPage.mFirstRetained;
  body.addMember("end") <<= aPage.mEnd;
  JsonValue& records = body.addMember("records");
  records.setCategory(JsonValue::Array);
  for (const auto& it : aPage.mRecords) {
    JsonValue& element = AddObject(records);
    element.addMember("offset") <<= it.mOffset;
    element.addMember("payload") <<= it.mPayload;
  }
  return base::FormatJson(body);
}

base::Result<LogPage>
ParseLogPage(std::string_view aBody)
{
  BOOST_OUTCOME_TRY(json, base::ParseJson(aBody));
  JsonReader reader(json);
  LogPage page;
  page.mFirstRetained = reader.GetInt("first_retained");
  page.mEnd = reader.GetInt("end");
  const JsonValue* records = reader.GetMember("records");
  BOOST_OUTCOME_TRYV(reader.Check());
  if (records == nullptr || records->category() != JsonValue::Array) {
    return MakeError(ErrorKind::InvalidArgument, "'records' must be an array");
  }
  for (const auto& it : *records) {
    JsonReader element(it, "record");
    LogRecord record;
    record.mOffset = element.GetInt("offset");
    record.mPayload = element.GetString("payload");
    BOOST_OUTCOME_TRYV(element.Check());
    // A reader would not notice a record that is missing in a gap.
    if (!page.mRecords.empty() &&
        record.mOffset != page.mRecords.back().mOffset + 1) {
      return MakeError(ErrorKind::InvalidArgument,
                       "records are not contiguous");
    }
    page.mRecords.push_back(std::move(record));
  }
  return page;
}

base::Result<InstanceInfo>
ParseInstance(const JsonValue& aObject)
{
  JsonReader reader(aObject, "instance");
  InstanceInfo instance;
  instance.mName = reader.GetString("name");
  BOOST_OUTCOME_TRY(role,
                    FindByName({ InstanceRole::Entry, InstanceRole::Worker },
                               reader.GetString("role", "worker")));
  BOOST_OUTCOME_TRY(state,
                    FindByName({ InstanceState::Live, InstanceState::Leaving },
                               reader.GetString("state", "live")));
  BOOST_OUTCOME_TRY(port, ReadPort(reader, "port"));
  BOOST_OUTCOME_TRY(peerPort, ReadPort(reader, "peer_port"));
  instance.mRole = role;
  instance.mState = state;
  instance.mPort = port;
  instance.mPeerPort = peerPort;
  instance.mDomain.mValue = reader.GetString("domain", "");
  instance.mRack = reader.GetString("rack", "");
  instance.mAddress = reader.GetString("address", "");
  instance.mCapacity.mMilliProcessors = reader.GetInt("milli_processors", 0);
  instance.mCapacity.mMemoryBytes = reader.GetInt("memory_bytes", 0);
  instance.mCapacity.mAccelerators = reader.GetInt("accelerators", 0);
  instance.mSlots = reader.GetInt("slots", 0);
  instance.mConnections = reader.GetInt("connections", 0);
  BOOST_OUTCOME_TRYV(reader.Check());
  return instance;
}

std::string
FormatInstances(const std::vector<InstanceInfo>& aInstances)
{
  JsonValue body = base::MakeJsonObject();
  JsonValue& instances = body.addMember("instances");
  instances.setCategory(JsonValue::Array);
  for (const auto& it : aInstances) {
    AddInstance(AddObject(instances), it);
  }
  return base::FormatJson(body);
}

base::Result<std::vector<InstanceInfo>>
ParseInstances(std::string_view aBody)
{
  BOOST_OUTCOME_TRY(json, base::ParseJson(aBody));
  const JsonValue* array = &json;
  if (json.category() == JsonValue::Object) {
    array = json.findMember("instances");
  }
  if (array == nullptr || array->category() != JsonValue::Array) {
    return MakeError(ErrorKind::InvalidArgument,
                     "'instances' must be an array");
  }
  std::vector<InstanceInfo> instances;
  for (const auto& it : *array) {
    BOOST_OUTCOME_TRY(instance, ParseInstance(it));
    instances.push_back(std::move(instance));
  }
  return instances;
}

} // namespace skylarkhill::platform
