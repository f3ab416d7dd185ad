#include "skylarkhill/journal/record_codec.hpp"

#include <cxxtools/base64codec.h>
#include <msgpack.hpp>

#include <cstddef>
#include <exception>
#include <limits>
#include <utility>

namespace skylarkhill::journal {

namespace {

// Batches are msgpack, because decoding JSON (29 to 46 microseconds per
// record) is too slow for a replay of the whole log. The prefix identifies the
// format.
constexpr std::string_view kBatchPrefix = "sh1:";
constexpr std::size_t kMaxDepth = 8;
constexpr std::size_t kMaxPayloadBytes = std::size_t{ 64 } * 1024 * 1024;

/// Base64 without the line breaks that cxxtools inserts by default.
class SingleLineCodec : public cxxtools::Base64Codec
{
public:
  SingleLineCodec() { maxcol(std::numeric_limits<unsigned>::max()); }
};

/// Identifies the type of a record in the log; never reused.
enum class RecordType : std::uint8_t
{
  Accept = 1,
  Grant = 2,
  Started = 3,
  End = 4,
  Cancel = 5,
  Quarantine = 6,
  Intent = 7,
  Outcome = 8,
  TaskSnapshot = 9,
  KeySnapshot = 10,
};

/// Writes the fields of a record to one flat msgpack array. Enumerations are
/// written as numbers, so new enumerators must be added at the end.
class RecordWriter
{
public:
  RecordWriter(RecordType aType, std::uint32_t aFields)
    : mPacker(mBuffer)
  {
    mPacker.pack_array(aFields + 1);
    Put(aType);
  }

  template<typename T>
  void Put(const T& aValue)
  {
    if constexpr (std::is_enum_v<T>) {
      mPacker.pack(static_cast<std::int64_t>(aValue));
    } else {
      mPacker.pack(aValue);
    }
  }

  template<typename Tag>
  void Put(const base::Id<Tag>& aId)
  {
    mPacker.pack(aId.mValue);
  }

  void Put(const base::Resources& aResources)
  {
    mPacker.pack_array(3);
    Put(aResources.mMilliProcessors);
    Put(aResources.mMemoryBytes);
    Put(aResources.mAccelerators);
  }

  void Put(const std::vector<base::WorkerId>& aWorkers)
  {
    mPacker.pack_array(static_cast<std::uint32_t>(aWorkers.size()));
    for (const auto& it : aWorkers) {
      Put(it);
    }
  }

  std::string Take() const { return { mBuffer.data(), mBuffer.size() }; }

private:
  msgpack::sbuffer mBuffer;
  msgpack::packer<msgpack::sbuffer> mPacker;
};

/// Reads the fields of one flat msgpack array in order. A missing field or one
/// of the wrong type makes the reader invalid and leaves the target at its
/// default.
class RecordReader
{
public:
  explicit RecordReader(const msgpack::object& aObject)
  {
    if (aObject.type == msgpack::type::ARRAY) {
      mBegin = aObject.via.array.ptr;
      mCount = aObject.via.array.size;
    }
  }

  bool IsValid() const { return mIsValid; }

  void Get(std::string& aValue)
  {
    const msgpack::object* object = Next(msgpack::type::STR);
    if (object != nullptr) {
      aValue.assign(object->via.str.ptr, object->via.str.size);
    }
  }

  template<typename Tag>
  void Get(base::Id<Tag>& aId)
  {
    Get(aId.mValue);
  }

  void Get(bool& aValue)
  {
    const msgpack::object* object = Next(msgpack::type::BOOLEAN);
    if (object != nullptr) {
      aValue = object->via.boolean;
    }
  }

  void Get(std::int64_t& aValue)
  {
    if (mNext >= mCount) {
      mIsValid = false;
      return;
    }
    const msgpack::object& object = mBegin[mNext++];
    constexpr auto kMax =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (object.type == msgpack::type::NEGATIVE_INTEGER) {
      aValue = object.via.i64;
    } else if (object.type == msgpack::type::POSITIVE_INTEGER &&
               object.via.u64 <= kMax) {
      aValue = static_cast<std::int64_t>(object.via.u64);
    } else {
      mIsValid = false;
    }
  }

  /// Rejects numbers above `aLast`, e.g. from a newer release.
  template<typename Enum>
  void GetEnum(Enum& aValue, Enum aLast)
  {
    std::int64_t n = -1;
    Get(n);
    if (n < 0 || n > static_cast<std::int64_t>(aLast)) {
      mIsValid = false;
      return;
    }
    aValue = static_cast<Enum>(n);
  }

  void Get(base::Resources& aResources)
  {
    const msgpack::object* object = Next(msgpack::type::ARRAY);
    if (object == nullptr) {
      return;
    }
    RecordReader reader(*object);
    reader.Get(aResources.mMilliProcessors);
    reader.Get(aResources.mMemoryBytes);
    reader.Get(aResources.mAccelerators);
    mIsValid = mIsValid && reader.IsValid();
  }

  void Get(std::vector<base::WorkerId>& aWorkers)
  {
    const msgpack::object* object = Next(msgpack::type::ARRAY);
    if (object == nullptr) {
      return;
    }
    RecordReader reader(*object);
    aWorkers.resize(object->via.array.size);
    for (auto& it : aWorkers) {
      reader.Get(it);
    }
    mIsValid = mIsValid && reader.IsValid();
  }

private:
  const msgpack::object* Next(msgpack::type::object_type aType)
  {
    if (mNext >= mCount || mBegin[mNext].type != aType) {
      mIsValid = false;
      return nullptr;
    }
    return &mBegin[mNext++];
  }

  const msgpack::object* mBegin = nullptr;
  std::uint32_t mCount = 0;
  std::uint32_t mNext = 0;
  bool mIsValid = true;
};

constexpr std::uint32_t kSpecFields = 10;
constexpr std::uint32_t kOutcomeFields = 6;

void
PutSpec(RecordWriter& aWriter, const tasks::TaskSpec& aSpec)
{
  aWriter.Put(aSpec.mTask);
  aWriter.Put(aSpec.mJob);
  aWriter.Put(aSpec.mTeam);
  aWriter.Put(aSpec.mBatchClass);
  aWriter.Put(aSpec.mPool);
  aWriter.Put(aSpec.mCaller);
  aWriter.Put(aSpec.mDeclared);
  aWriter.Put(aSpec.mDeclaredRunSeconds);
  aWriter.Put(aSpec.mUrgent);
  aWriter.Put(aSpec.mPayload);
}

void
GetSpec(RecordReader& aReader, tasks::TaskSpec& aSpec)
{
  aReader.Get(aSpec.mTask);
  aReader.Get(aSpec.mJob);
  aReader.Get(aSpec.mTeam);
  aReader.Get(aSpec.mBatchClass);
  aReader.Get(aSpec.mPool);
  aReader.Get(aSpec.mCaller);
  aReader.Get(aSpec.mDeclared);
  aReader.Get(aSpec.mDeclaredRunSeconds);
  aReader.Get(aSpec.mUrgent);
  aReader.Get(aSpec.mPayload);
}

void
PutOutcome(RecordWriter& aWriter, const requests::OutcomeRecord& aOutcome)
{
  aWriter.Put(aOutcome.mKey);
  aWriter.Put(aOutcome.mInstance);
  aWriter.Put(aOutcome.mOutcome);
  // Error kinds are written by name, as new ones are not always added at the
  // end.
  aWriter.Put(std::string(base::NameOf(aOutcome.mErrorKind)));
  aWriter.Put(aOutcome.mBody);
  aWriter.Put(aOutcome.mBodyOmitted);
}

void
GetOutcome(RecordReader& aReader, requests::OutcomeRecord& aOutcome)
{
  std::string kind;
  aReader.Get(aOutcome.mKey);
  aReader.Get(aOutcome.mInstance);
  aReader.GetEnum(aOutcome.mOutcome, requests::Outcome::Unknown);
  aReader.Get(kind);
  aReader.Get(aOutcome.mBody);
  aReader.Get(aOutcome.mBodyOmitted);
  aOutcome.mErrorKind =
    base::ParseErrorKind(kind).value_or(base::ErrorKind::OutcomeUnknown);
}

struct Encoder
{
  std::string operator()(const tasks::TaskRecord& aRecord) const
  {
    return std::visit(*this, aRecord);
  }

  std::string operator()(const requests::KeyRecord& aRecord) const
  {
    return std::visit(*this, aRecord);
  }

  std::string operator()(const tasks::AcceptRecord& aRecord) const
  {
    RecordWriter writer(RecordType::Accept, kSpecFields);
    PutSpec(writer, aRecord.mSpec);
    return writer.Take();
  }

  std::string operator()(const tasks::GrantRecord& aRecord) const
  {
    RecordWriter writer(RecordType::Grant, 3);
    writer.Put(aRecord.mTask);
    writer.Put(aRecord.mAttempt);
    writer.Put(aRecord.mWorker);
    return writer.Take();
  }

  std::string operator()(const tasks::StartedRecord& aRecord) const
  {
    RecordWriter writer(RecordType::Started, 2);
    writer.Put(aRecord.mTask);
    writer.Put(aRecord.mAttempt);
    return writer.Take();
  }

  std::string operator()(const tasks::EndRecord& aRecord) const
  {
    RecordWriter writer(RecordType::End, 5);
    writer.Put(aRecord.mTask);
    writer.Put(aRecord.mAttempt);
    writer.Put(aRecord.mOutcome);
    writer.Put(aRecord.mCheckpoint);
    writer.Put(aRecord.mDetail);
    return writer.Take();
  }

  std::string operator()(const tasks::CancelRecord& aRecord) const
  {
    RecordWriter writer(RecordType::Cancel, 2);
    writer.Put(aRecord.mTask);
    writer.Put(aRecord.mCaller);
    return writer.Take();
  }

  std::string operator()(const tasks::QuarantineRecord& aRecord) const
  {
    RecordWriter writer(RecordType::Quarantine, 2);
    writer.Put(aRecord.mTask);
    writer.Put(aRecord.mReason);
    return writer.Take();
  }

  std::string operator()(const requests::IntentRecord& aRecord) const
  {
    RecordWriter writer(RecordType::Intent, 2);
    writer.Put(aRecord.mKey);
    writer.Put(aRecord.mInstance);
    return writer.Take();
  }

  std::string operator()(const requests::OutcomeRecord& aRecord) const
  {
    RecordWriter writer(RecordType::Outcome, kOutcomeFields);
    PutOutcome(writer, aRecord);
    return writer.Take();
  }

  std::string operator()(const TaskSnapshotRecord& aRecord) const
  {
    const tasks::TaskSnapshot& task = aRecord.mTask;
    RecordWriter writer(RecordType::TaskSnapshot, kSpecFields + 14);
    writer.Put(aRecord.mAsOf);
    PutSpec(writer, task.mSpec);
    writer.Put(task.mState);
    writer.Put(task.mAcceptedOffset);
    writer.Put(task.mLastRecordOffset);
    writer.Put(task.mLastAttempt);
    writer.Put(task.mGrantedOffset);
    writer.Put(task.mWorker);
    writer.Put(task.mCheckpoint);
    writer.Put(task.mDetail);
    writer.Put(task.mEvictions);
    writer.Put(task.mFailures);
    writer.Put(task.mFailedWorkers);
    writer.Put(task.mCancelRequested);
    writer.Put(task.mQuarantineRequested);
    return writer.Take();
  }

  std::string operator()(const KeySnapshotRecord& aRecord) const
  {
    const requests::KeySnapshot& key = aRecord.mKey;
    const bool hasOutcome = key.mOutcome.has_value();
    RecordWriter writer(RecordType::KeySnapshot,
                        hasOutcome ? 7 + kOutcomeFields : 7);
    writer.Put(aRecord.mAsOf);
    writer.Put(key.mKey);
    writer.Put(key.mState);
    writer.Put(key.mClaimant);
    writer.Put(key.mClaimedOffset);
    writer.Put(key.mLastRecordOffset);
    writer.Put(hasOutcome);
    if (hasOutcome) {
      PutOutcome(writer, *key.mOutcome);
    }
    return writer.Take();
  }
};

TaskSnapshotRecord
GetTaskSnapshot(RecordReader& aReader)
{
  TaskSnapshotRecord record;
  tasks::TaskSnapshot& task = record.mTask;
  aReader.Get(record.mAsOf);
  GetSpec(aReader, task.mSpec);
  aReader.GetEnum(task.mState, tasks::TaskState::Quarantined);
  aReader.Get(task.mAcceptedOffset);
  aReader.Get(task.mLastRecordOffset);
  aReader.Get(task.mLastAttempt);
  aReader.Get(task.mGrantedOffset);
  aReader.Get(task.mWorker);
  aReader.Get(task.mCheckpoint);
  aReader.Get(task.mDetail);
  aReader.Get(task.mEvictions);
  aReader.Get(task.mFailures);
  aReader.Get(task.mFailedWorkers);
  aReader.Get(task.mCancelRequested);
  aReader.Get(task.mQuarantineRequested);
  return record;
}

KeySnapshotRecord
GetKeySnapshot(RecordReader& aReader)
{
  KeySnapshotRecord record;
  requests::KeySnapshot& key = record.mKey;
  bool hasOutcome = false;
  aReader.Get(record.mAsOf);
  aReader.Get(key.mKey);
  aReader.GetEnum(key.mState, requests::KeyState::Finished);
  aReader.Get(key.mClaimant);
  aReader.Get(key.mClaimedOffset);
  aReader.Get(key.mLastRecordOffset);
  aReader.Get(hasOutcome);
  if (hasOutcome) {
    GetOutcome(aReader, key.mOutcome.emplace());
  }
  return record;
}

tasks::EndRecord
GetEnd(RecordReader& aReader)
{
  tasks::EndRecord record;
  aReader.Get(record.mTask);
  aReader.Get(record.mAttempt);
  aReader.GetEnum(record.mOutcome, tasks::AttemptOutcome::Released);
  aReader.Get(record.mCheckpoint);
  aReader.Get(record.mDetail);
  return record;
}

tasks::GrantRecord
GetGrant(RecordReader& aReader)
{
  tasks::GrantRecord record;
  aReader.Get(record.mTask);
  aReader.Get(record.mAttempt);
  aReader.Get(record.mWorker);
  return record;
}

template<typename Record, typename First, typename Second>
Record
GetTwoFields(RecordReader& aReader,
             First Record::*aFirst,
             Second Record::*aSecond)
{
  Record record;
  aReader.Get(record.*aFirst);
  aReader.Get(record.*aSecond);
  return record;
}

SiteRecord
GetRecordOfType(RecordReader& aReader, RecordType aType)
{
  switch (aType) {
    case RecordType::Accept: {
      tasks::AcceptRecord record;
      GetSpec(aReader, record.mSpec);
      return tasks::TaskRecord(std::move(record));
    }
    case RecordType::Grant:
      return tasks::TaskRecord(GetGrant(aReader));
    case RecordType::Started:
      return tasks::TaskRecord(GetTwoFields(aReader,
                                            &tasks::StartedRecord::mTask,
                                            &tasks::StartedRecord::mAttempt));
    case RecordType::End:
      return tasks::TaskRecord(GetEnd(aReader));
    case RecordType::Cancel:
      return tasks::TaskRecord(GetTwoFields(
        aReader, &tasks::CancelRecord::mTask, &tasks::CancelRecord::mCaller));
    case RecordType::Quarantine:
      return tasks::TaskRecord(GetTwoFields(aReader,
                                            &tasks::QuarantineRecord::mTask,
                                            &tasks::QuarantineRecord::mReason));
    case RecordType::Intent:
      return requests::KeyRecord(
        GetTwoFields(aReader,
                     &requests::IntentRecord::mKey,
                     &requests::IntentRecord::mInstance));
    case RecordType::Outcome: {
      requests::OutcomeRecord record;
      GetOutcome(aReader, record);
      return requests::KeyRecord(std::move(record));
    }
    case RecordType::TaskSnapshot:
      return GetTaskSnapshot(aReader);
    case RecordType::KeySnapshot:
      return GetKeySnapshot(aReader);
  }
  return {};
}

base::Error
MakeCodecError(const char* aDetail)
{
  return base::MakeError(base::ErrorKind::InvalidArgument, aDetail);
}

msgpack::unpack_limit
GetLimits(std::size_t aBytes)
{
  // No value can have more elements or bytes than the input.
  return { aBytes, aBytes, aBytes, aBytes, aBytes, kMaxDepth };
}

bool
ReferenceInput(msgpack::type::object_type /*aType*/,
               std::size_t /*aBytes*/,
               void* /*aContext*/)
{
  return true;
}

/// Strings in the result point into `aBytes`.
base::Result<msgpack::object_handle>
Unpack(std::string_view aBytes)
{
  try {
    return msgpack::unpack(aBytes.data(),
                           aBytes.size(),
                           ReferenceInput,
                           nullptr,
                           GetLimits(aBytes.size()));
  } catch (const std::exception&) {
    return MakeCodecError("malformed msgpack");
  }
}

} // namespace

std::string
EncodeRecord(const SiteRecord& aRecord)
{
  return std::visit(Encoder{}, aRecord);
}

base::Result<SiteRecord>
DecodeRecord(std::string_view aBytes)
{
  const auto handle = Unpack(aBytes);
  if (!handle) {
    return handle.error();
  }
  RecordReader reader(handle.value().get());
  auto type = RecordType::Accept;
  reader.GetEnum(type, RecordType::KeySnapshot);
  if (!reader.IsValid() || type < RecordType::Accept) {
    return MakeCodecError("unknown record type");
  }
  SiteRecord record = GetRecordOfType(reader, type);
  if (!reader.IsValid()) {
    return MakeCodecError("malformed record");
  }
  return record;
}

std::string
EncodeBatch(const Batch& aBatch)
{
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(6);
  packer.pack(aBatch.mWriter);
  packer.pack(aBatch.mSequence);
  packer.pack(aBatch.mPosition.mAppliedThrough);
  packer.pack(aBatch.mPosition.mFirstRetained);
  packer.pack(aBatch.mWrittenAtMs);
  packer.pack(aBatch.mRecords);
  std::string payload(kBatchPrefix);
  payload += cxxtools::encode<SingleLineCodec>(
    buffer.data(), static_cast<unsigned>(buffer.size()));
  return payload;
}

base::Result<Batch>
DecodeBatch(std::string_view aPayload)
{
  if (aPayload.substr(0, kBatchPrefix.size()) != kBatchPrefix ||
      aPayload.size() > kMaxPayloadBytes) {
    return MakeCodecError("not a batch");
  }
  const std::string_view text = aPayload.substr(kBatchPrefix.size());
  std::string bytes;
  try {
    bytes = cxxtools::Base64Codec::decode(text.data(),
                                          static_cast<unsigned>(text.size()));
  } catch (const std::exception&) {
    return MakeCodecError("malformed base64");
  }
  const auto handle = Unpack(bytes);
  if (!handle) {
    return handle.error();
  }
  const msgpack::object& object = handle.value().get();
  RecordReader reader(object);
  Batch batch;
  reader.Get(batch.mWriter);
  reader.Get(batch.mSequence);
  reader.Get(batch.mPosition.mAppliedThrough);
  reader.Get(batch.mPosition.mFirstRetained);
  reader.Get(batch.mWrittenAtMs);
  if (!reader.IsValid() || object.via.array.size < 6) {
    return MakeCodecError("malformed batch header");
  }
  try {
    object.via.array.ptr[5].convert(batch.mRecords);
  } catch (const std::exception&) {
    return MakeCodecError("malformed record list");
  }
  return batch;
}

} // namespace skylarkhill::journal
