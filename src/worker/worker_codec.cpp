#include "skylarkhill/worker/worker_codec.hpp"

#include <utility>

namespace skylarkhill::worker {

using base::ErrorKind;
using base::JsonReader;
using base::JsonValue;
using base::MakeError;

namespace {

void
Add(JsonValue& aObject, const std::string& aName, const std::string& aValue)
{
  aObject.addMember(aName) <<= aValue;
}

void
Add(JsonValue& aObject, const std::string& aName, std::int64_t aValue)
{
  aObject.addMember(aName) <<= aValue;
}

void
AddFlag(JsonValue& aObject, const std::string& aName, bool aValue)
{
  aObject.addMember(aName) <<= aValue;
}

JsonValue&
AddArray(JsonValue& aObject, const std::string& aName)
{
  JsonValue& array = aObject.addMember(aName);
  array.setCategory(JsonValue::Array);
  return array;
}

JsonValue&
AddElement(JsonValue& aArray)
{
  JsonValue& element = aArray.addMember(std::string());
  element.setCategory(JsonValue::Object);
  return element;
}

// JSON integers are signed; the cast keeps all 64 bits of the epoch.
void
AddToken(JsonValue& aObject, const HolderToken& aToken)
{
  Add(aObject, "instance", aToken.mInstance.mValue);
  Add(aObject, "epoch", static_cast<std::int64_t>(aToken.mEpoch));
}

void
AddHeader(JsonValue& aObject, const CommandHeader& aHeader)
{
  AddToken(aObject, aHeader.mToken);
  Add(aObject, "not_after", aHeader.mNotAfter);
}

void
AddKey(JsonValue& aObject, const AttemptKey& aKey)
{
  Add(aObject, "task", aKey.mTask.mValue);
  Add(aObject, "attempt", aKey.mAttempt);
}

HolderToken
ReadToken(JsonReader& aReader)
{
  HolderToken token;
  token.mInstance.mValue = aReader.GetString("instance");
  token.mEpoch = static_cast<std::uint64_t>(aReader.GetInt("epoch"));
  return token;
}

CommandHeader
ReadHeader(JsonReader& aReader)
{
  CommandHeader header;
  header.mToken = ReadToken(aReader);
  header.mNotAfter = aReader.GetInt("not_after");
  return header;
}

AttemptKey
ReadKey(JsonReader& aReader)
{
  AttemptKey key;
  key.mTask.mValue = aReader.GetString("task");
  key.mAttempt = aReader.GetInt("attempt");
  return key;
}

/// Calls `aRead(reader)` on every element of the array `aName`.
template<typename Read>
base::Result<void>
ForEachElement(JsonReader& aReader, std::string_view aName, const Read& aRead)
{
  const JsonValue* array = aReader.GetMember(aName);
  if (array == nullptr || array->category() != JsonValue::Array) {
    return MakeError(ErrorKind::InvalidArgument,
                     "'" + std::string(aName) + "' must be an array");
  }
  for (const auto& it : *array) {
    JsonReader element(it, std::string(aName));
    aRead(element);
    BOOST_OUTCOME_TRYV(element.Check());
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// Parses `aBody` and fills a value with `aFill(reader, value)`.
template<typename T, typename Fill>
base::Result<T>
ParseWith(std::string_view aBody, const Fill& aFill)
{
  BOOST_OUTCOME_TRY(json, base::ParseJson(aBody));
  JsonReader reader(json);
  T value;
  aFill(reader, value);
  BOOST_OUTCOME_TRYV(reader.Check());
  return value;
}

void
AddTaskReport(JsonValue& aObject, const TaskReport& aTask)
{
  AddKey(aObject, { aTask.mTask, aTask.mAttempt });
  Add(aObject, "phase", std::string(NameOf(aTask.mPhase)));
  AddResources(aObject, "reserved_", aTask.mReserved);
  AddResources(aObject, "used_", aTask.mUsed);
  Add(aObject, "lease_expires_at", aTask.mLeaseExpiresAt);
  Add(aObject, "checkpoint", aTask.mCheckpoint);
  Add(aObject, "progress_percent", aTask.mProgressPercent);
  Add(aObject, "throttle_percent", aTask.mThrottlePercent);
  Add(aObject, "detail", aTask.mDetail);
}

TaskReport
ReadTaskReport(JsonReader& aReader, bool& aIsPhaseKnown)
{
  const AttemptKey key = ReadKey(aReader);
  const auto phase = ParseTaskPhase(aReader.GetString("phase"));
  aIsPhaseKnown = aIsPhaseKnown && phase.has_value();
  TaskReport task;
  task.mTask = key.mTask;
  task.mAttempt = key.mAttempt;
  task.mPhase = phase.value_or(TaskPhase::Running);
  task.mReserved = ReadResources(aReader, "reserved_");
  task.mUsed = ReadResources(aReader, "used_");
  task.mLeaseExpiresAt = aReader.GetInt("lease_expires_at");
  task.mCheckpoint = aReader.GetString("checkpoint");
  task.mProgressPercent = aReader.GetInt("progress_percent");
  task.mThrottlePercent = aReader.GetInt("throttle_percent");
  task.mDetail = aReader.GetString("detail");
  return task;
}

void
ReadReportFields(JsonReader& aReader, WorkerReport& aReport)
{
  aReport.mWorker.mValue = aReader.GetString("worker");
  aReport.mNow = aReader.GetInt("now");
  aReport.mLeaving = aReader.GetBool("leaving", false);
  aReport.mCapacity = ReadResources(aReader, "");
  aReport.mSlots = aReader.GetInt("slots");
  aReport.mConnections = aReader.GetInt("connections");
  aReport.mSlotsBusy = aReader.GetInt("slots_busy");
  aReport.mServiceTimePercent = aReader.GetInt("service_slowdown_percent");
}

} // namespace

void
AddResources(JsonValue& aObject,
             const std::string& aPrefix,
             const base::Resources& aResources)
{
  Add(aObject, aPrefix + "milli_processors", aResources.mMilliProcessors);
  Add(aObject, aPrefix + "memory_bytes", aResources.mMemoryBytes);
  Add(aObject, aPrefix + "accelerators", aResources.mAccelerators);
}

base::Resources
ReadResources(JsonReader& aReader, const std::string& aPrefix)
{
  base::Resources resources;
  resources.mMilliProcessors = aReader.GetInt(aPrefix + "milli_processors");
  resources.mMemoryBytes = aReader.GetInt(aPrefix + "memory_bytes");
  resources.mAccelerators = aReader.GetInt(aPrefix + "accelerators");
  return resources;
}

std::string
FormatReport(const WorkerReport& aReport)
{
  JsonValue body = base::MakeJsonObject();
  Add(body, "worker", aReport.mWorker.mValue);
  Add(body, "now", aReport.mNow);
  AddFlag(body, "leaving", aReport.mLeaving);
  AddResources(body, "", aReport.mCapacity);
  Add(body, "slots", aReport.mSlots);
  Add(body, "connections", aReport.mConnections);
  Add(body, "slots_busy", aReport.mSlotsBusy);
  Add(body, "service_slowdown_percent", aReport.mServiceTimePercent);
  JsonValue& holders = AddArray(body, "holders");
  for (const auto& it : aReport.mHolders) {
    JsonValue& element = AddElement(holders);
    AddToken(element, it.mToken);
    Add(element, "expires_at", it.mExpiresAt);
  }
  JsonValue& tasks = AddArray(body, "tasks");
  for (const auto& it : aReport.mTasks) {
    AddTaskReport(AddElement(tasks), it);
  }
  return base::FormatJson(body);
}

base::Result<WorkerReport>
ParseReport(std::string_view aBody)
{
  BOOST_OUTCOME_TRY(json, base::ParseJson(aBody));
  JsonReader reader(json);
  WorkerReport report;
  ReadReportFields(reader, report);
  BOOST_OUTCOME_TRYV(
    ForEachElement(reader, "holders", [&](JsonReader& aElement) {
      const HolderToken token = ReadToken(aElement);
      report.mHolders.push_back({ token, aElement.GetInt("expires_at") });
    }));
  bool isPhaseKnown = true;
  BOOST_OUTCOME_TRYV(ForEachElement(reader, "tasks", [&](JsonReader& aElement) {
    report.mTasks.push_back(ReadTaskReport(aElement, isPhaseKnown));
  }));
  if (!isPhaseKnown) {
    return MakeError(ErrorKind::InvalidArgument, "a task has an unknown phase");
  }
  BOOST_OUTCOME_TRYV(reader.Check());
  return report;
}

std::string
FormatHolderCommand(const HolderCommand& aCommand)
{
  JsonValue body = base::MakeJsonObject();
  AddToken(body, aCommand.mToken);
  Add(body, "length_us", aCommand.mLeaseDuration.count());
  return base::FormatJson(body);
}

base::Result<HolderCommand>
ParseHolderCommand(std::string_view aBody)
{
  return ParseWith<HolderCommand>(
    aBody, [](JsonReader& aReader, HolderCommand& aCommand) {
      aCommand.mToken = ReadToken(aReader);
      aCommand.mLeaseDuration = base::Duration(aReader.GetInt("length_us"));
    });
}

std::string
FormatStartCommand(const StartCommand& aCommand)
{
  JsonValue body = base::MakeJsonObject();
  AddHeader(body, aCommand.mHeader);
  AddKey(body, { aCommand.mStart.mTask, aCommand.mStart.mAttempt });
  Add(body, "batch_class", aCommand.mStart.mBatchClass);
  AddResources(body, "", aCommand.mStart.mReserved);
  Add(body, "lease_expires_at", aCommand.mStart.mLeaseExpiresAt);
  Add(body, "checkpoint", aCommand.mStart.mCheckpoint);
  Add(body, "payload", aCommand.mStart.mPayload);
  return base::FormatJson(body);
}

base::Result<StartCommand>
ParseStartCommand(std::string_view aBody)
{
  return ParseWith<StartCommand>(
    aBody, [](JsonReader& aReader, StartCommand& aCommand) {
      aCommand.mHeader = ReadHeader(aReader);
      const AttemptKey key = ReadKey(aReader);
      aCommand.mStart.mTask = key.mTask;
      aCommand.mStart.mAttempt = key.mAttempt;
      aCommand.mStart.mBatchClass = aReader.GetString("batch_class");
      aCommand.mStart.mReserved = ReadResources(aReader, "");
      aCommand.mStart.mLeaseExpiresAt = aReader.GetInt("lease_expires_at");
      aCommand.mStart.mCheckpoint = aReader.GetString("checkpoint");
      aCommand.mStart.mPayload = aReader.GetString("payload");
    });
}

std::string
FormatRenewCommand(const RenewCommand& aCommand)
{
  JsonValue body = base::MakeJsonObject();
  AddHeader(body, aCommand.mHeader);
  Add(body, "lease_expires_at", aCommand.mLeaseExpiresAt);
  JsonValue& tasks = AddArray(body, "tasks");
  for (const auto& it : aCommand.mTasks) {
    AddKey(AddElement(tasks), it);
  }
  return base::FormatJson(body);
}

base::Result<RenewCommand>
ParseRenewCommand(std::string_view aBody)
{
  BOOST_OUTCOME_TRY(json, base::ParseJson(aBody));
  JsonReader reader(json);
  RenewCommand command;
  command.mHeader = ReadHeader(reader);
  command.mLeaseExpiresAt = reader.GetInt("lease_expires_at");
  BOOST_OUTCOME_TRYV(ForEachElement(reader, "tasks", [&](JsonReader& aElement) {
    command.mTasks.push_back(ReadKey(aElement));
  }));
  BOOST_OUTCOME_TRYV(reader.Check());
  return command;
}

std::string
FormatTaskCommand(const TaskCommand& aCommand)
{
  JsonValue body = base::MakeJsonObject();
  AddHeader(body, aCommand.mHeader);
  AddKey(body, aCommand.mTask);
  Add(body, "percent", aCommand.mPercent);
  return base::FormatJson(body);
}

base::Result<TaskCommand>
ParseTaskCommand(std::string_view aBody)
{
  return ParseWith<TaskCommand>(aBody,
                                [](JsonReader& aReader, TaskCommand& aCommand) {
                                  aCommand.mHeader = ReadHeader(aReader);
                                  aCommand.mTask = ReadKey(aReader);
                                  aCommand.mPercent = aReader.GetInt("percent");
                                });
}

std::string
FormatCallCommand(const CallCommand& aCommand)
{
  JsonValue body = base::MakeJsonObject();
  AddHeader(body, aCommand.mHeader);
  Add(body, "request", aCommand.mCall.mRequest.mValue);
  Add(body, "attempt", aCommand.mCall.mAttempt);
  Add(body, "service", aCommand.mCall.mService);
  AddFlag(body, "idempotent", aCommand.mCall.mIdempotent);
  Add(body, "body", aCommand.mCall.mBody);
  return base::FormatJson(body);
}

base::Result<CallCommand>
ParseCallCommand(std::string_view aBody)
{
  return ParseWith<CallCommand>(
    aBody, [](JsonReader& aReader, CallCommand& aCommand) {
      aCommand.mHeader = ReadHeader(aReader);
      aCommand.mCall.mRequest.mValue = aReader.GetString("request");
      aCommand.mCall.mAttempt = aReader.GetInt("attempt");
      aCommand.mCall.mService = aReader.GetString("service");
      aCommand.mCall.mIdempotent = aReader.GetBool("idempotent", false);
      aCommand.mCall.mBody = aReader.GetString("body");
    });
}

std::string
FormatServiceAnswer(const ServiceAnswer& aAnswer)
{
  JsonValue body = base::MakeJsonObject();
  Add(body, "request", aAnswer.mRequest.mValue);
  Add(body, "attempt", aAnswer.mAttempt);
  Add(body, "body", aAnswer.mBody);
  return base::FormatJson(body);
}

base::Result<ServiceAnswer>
ParseServiceAnswer(std::string_view aBody)
{
  return ParseWith<ServiceAnswer>(
    aBody, [](JsonReader& aReader, ServiceAnswer& aAnswer) {
      aAnswer.mRequest.mValue = aReader.GetString("request");
      aAnswer.mAttempt = aReader.GetInt("attempt");
      aAnswer.mBody = aReader.GetString("body");
    });
}

} // namespace skylarkhill::worker
