#include "skylarkhill/testing/worker_handler.hpp"

#include "skylarkhill/base/json.hpp"
#include "skylarkhill/http/error_body.hpp"
#include "skylarkhill/worker/worker_codec.hpp"

#include <map>
#include <thread>
#include <utility>

namespace skylarkhill::testing {

using base::ErrorKind;
using base::JsonReader;
using base::JsonValue;
using base::kNoDeadline;
using base::MakeError;
using http::MakeErrorResponse;
using http::Request;
using http::Response;

namespace {

Response
MakeResponse(std::string aBody)
{
  Response response;
  response.mBody = std::move(aBody);
  return response;
}

Response
MakeDroppedResponse()
{
  Response response;
  response.mDropConnection = true;
  return response;
}

/// Drops the connection if the fake reports a lost answer.
Response
MakeFailureResponse(const base::Error& aError)
{
  return aError.mKind == ErrorKind::ConnectionLost ? MakeDroppedResponse()
                                                   : MakeErrorResponse(aError);
}

Response
MakeResultResponse(const base::Result<void>& aResult)
{
  return aResult ? MakeResponse("{}") : MakeFailureResponse(aResult.error());
}

Response
MakeResultResponse(const base::Result<worker::WorkerReport>& aResult)
{
  return aResult ? MakeResponse(worker::FormatReport(aResult.value()))
                 : MakeFailureResponse(aResult.error());
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

void
AddRunCount(JsonValue& aArray,
            const std::string& aIdName,
            const std::string& aId,
            std::int64_t aAttempt,
            std::int64_t aRuns)
{
  JsonValue& element = AddElement(aArray);
  element.addMember(aIdName) <<= aId;
  element.addMember("attempt") <<= aAttempt;
  element.addMember("runs") <<= aRuns;
}

void
AddExecution(JsonValue& aArray, const TaskExecution& aExecution)
{
  JsonValue& element = AddElement(aArray);
  element.addMember("task") <<= aExecution.mKey.mTask.mValue;
  element.addMember("attempt") <<= aExecution.mKey.mAttempt;
  element.addMember("started_at") <<= base::ToMicros(aExecution.mStartedAt);
  element.addMember("ended_at") <<= aExecution.mEndedAt
                                      ? base::ToMicros(*aExecution.mEndedAt)
                                      : std::int64_t{ -1 };
}

} // namespace

WorkerHandler::WorkerHandler(FakeWorker& aWorker, const base::Clock& aClock)
  : mWorker(aWorker)
  , mClock(aClock)
{
}

Response
WorkerHandler::Handle(const Request& aRequest)
{
  if (aRequest.mPath == "/admin") {
    return HandleAdmin(aRequest);
  }
  if (mGate.IsClosed()) {
    mGate.Wait();
    return MakeDroppedResponse();
  }
  if (aRequest.mMethod != "POST") {
    return MakeErrorResponse(MakeError(ErrorKind::NotFound, aRequest.mMethod));
  }
  return Dispatch(aRequest);
}

void
WorkerHandler::Release()
{
  mGate.SetClosed(false);
}

Response
WorkerHandler::Dispatch(const Request& aRequest)
{
  if (aRequest.mPath == "/poll") {
    return MakeResultResponse(mWorker.Poll(kNoDeadline));
  }
  if (aRequest.mPath == "/holder") {
    return SetHolder(aRequest.mBody);
  }
  if (aRequest.mPath == "/holder/remove") {
    return RemoveHolder(aRequest.mBody);
  }
  if (aRequest.mPath == "/tasks/start") {
    return Start(aRequest.mBody);
  }
  if (aRequest.mPath == "/tasks/renew") {
    return Renew(aRequest.mBody);
  }
  if (aRequest.mPath == "/call") {
    return Call(aRequest.mBody);
  }
  return DispatchTaskCommand(aRequest.mPath, aRequest.mBody);
}

Response
WorkerHandler::DispatchTaskCommand(const std::string& aPath,
                                   const std::string& aBody)
{
  const auto command = worker::ParseTaskCommand(aBody);
  if (command.has_error()) {
    return MakeErrorResponse(command.error());
  }
  const worker::CommandHeader& header = command.value().mHeader;
  const worker::AttemptKey& task = command.value().mTask;
  if (aPath == "/tasks/checkpoint") {
    return MakeResultResponse(mWorker.Checkpoint(header, task, kNoDeadline));
  }
  if (aPath == "/tasks/throttle") {
    return MakeResultResponse(
      mWorker.Throttle(header, task, command.value().mPercent, kNoDeadline));
  }
  if (aPath == "/tasks/stop") {
    return MakeResultResponse(mWorker.Stop(header, task, kNoDeadline));
  }
  if (aPath == "/tasks/ack") {
    return MakeResultResponse(mWorker.Acknowledge(header, task, kNoDeadline));
  }
  return MakeErrorResponse(MakeError(ErrorKind::NotFound, aPath));
}

Response
WorkerHandler::SetHolder(const std::string& aBody)
{
  const auto command = worker::ParseHolderCommand(aBody);
  if (command.has_error()) {
    return MakeErrorResponse(command.error());
  }
  return MakeResultResponse(mWorker.SetHolderLease(
    command.value().mToken, command.value().mLeaseDuration, kNoDeadline));
}

Response
WorkerHandler::RemoveHolder(const std::string& aBody)
{
  const auto command = worker::ParseHolderCommand(aBody);
  if (command.has_error()) {
    return MakeErrorResponse(command.error());
  }
  return MakeResultResponse(
    mWorker.RemoveHolderLease(command.value().mToken, kNoDeadline));
}

Response
WorkerHandler::Start(const std::string& aBody)
{
  const auto command = worker::ParseStartCommand(aBody);
  if (command.has_error()) {
    return MakeErrorResponse(command.error());
  }
  return MakeResultResponse(mWorker.Start(
    command.value().mHeader, command.value().mStart, kNoDeadline));
}

Response
WorkerHandler::Renew(const std::string& aBody)
{
  const auto command = worker::ParseRenewCommand(aBody);
  if (command.has_error()) {
    return MakeErrorResponse(command.error());
  }
  return MakeResultResponse(mWorker.Renew(command.value().mHeader,
                                          command.value().mTasks,
                                          command.value().mLeaseExpiresAt,
                                          kNoDeadline));
}

Response
WorkerHandler::Call(const std::string& aBody)
{
  const auto command = worker::ParseCallCommand(aBody);
  if (command.has_error()) {
    return MakeErrorResponse(command.error());
  }
  const auto admitted =
    mWorker.Admit(command.value().mHeader, command.value().mCall);
  if (admitted.has_error()) {
    return MakeFailureResponse(admitted.error());
  }
  std::this_thread::sleep_for(
    base::Remaining(mClock.Now(), admitted.value().mEndsAt));
  if (admitted.value().mIsAnswerLost) {
    return MakeDroppedResponse();
  }
  return MakeResponse(worker::FormatServiceAnswer(admitted.value().mAnswer));
}

Response
WorkerHandler::HandleAdmin(const Request& aRequest)
{
  if (aRequest.mMethod == "GET") {
    return MakeRunReport();
  }
  return MakeResultResponse(ApplyAdmin(aRequest.mBody));
}

base::Result<void>
WorkerHandler::ApplyAdmin(const std::string& aBody)
{
  BOOST_OUTCOME_TRY(json, base::ParseJson(aBody));
  JsonReader reader(json);
  const auto has = [&](std::string_view aName) {
    return reader.GetMember(aName) != nullptr;
  };
  if (has("fail_all")) {
    mWorker.SetFailNewTasks(reader.GetBool("fail_all", false));
  }
  if (has("leaving")) {
    mWorker.SetLeaving(reader.GetBool("leaving", false));
  }
  if (has("silent")) {
    mGate.SetClosed(reader.GetBool("silent", false));
  }
  if (has("lose_answers")) {
    mWorker.LoseNextAnswers(reader.GetInt("lose_answers"));
  }
  if (has("mismatch_answers")) {
    mWorker.MismatchNextAnswers(reader.GetInt("mismatch_answers"));
  }
  if (has("interference_service")) {
    mWorker.SetInterference(reader.GetString("interference_service"),
                            reader.GetString("interference_class"),
                            reader.GetInt("interference_percent"));
  }
  reader.RejectUnknown();
  return reader.Check();
}

Response
WorkerHandler::MakeRunReport()
{
  const std::vector<TaskExecution> executions = mWorker.Executions();
  std::map<worker::AttemptKey, std::int64_t> taskRuns;
  for (const auto& it : executions) {
    ++taskRuns[it.mKey];
  }
  JsonValue body = base::MakeJsonObject();
  body.addMember("worker") <<= mWorker.Name().mValue;
  body.addMember("guard_refusals") <<= mWorker.GuardRefusals();
  JsonValue& tasks = AddArray(body, "task_runs");
  for (const auto& it : taskRuns) {
    AddRunCount(
      tasks, "task", it.first.mTask.mValue, it.first.mAttempt, it.second);
  }
  JsonValue& calls = AddArray(body, "call_runs");
  for (const auto& it : mWorker.CallCounts()) {
    AddRunCount(
      calls, "request", it.first.first.mValue, it.first.second, it.second);
  }
  JsonValue& intervals = AddArray(body, "executions");
  for (const auto& it : executions) {
    AddExecution(intervals, it);
  }
  return MakeResponse(base::FormatJson(body));
}

} // namespace skylarkhill::testing
