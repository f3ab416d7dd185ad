#include "skylarkhill/entry/api_handler.hpp"

#include "skylarkhill/catalog/check.hpp"
#include "skylarkhill/http/error_body.hpp"
#include "skylarkhill/tasks/task_names.hpp"

#include <algorithm>
#include <atomic>
#include <utility>

namespace skylarkhill::entry {

using base::ErrorKind;
using base::JsonReader;
using base::JsonValue;
using base::MakeError;
using http::Response;

namespace {

constexpr std::string_view kRequestPath = "/v1/requests/";
constexpr std::string_view kTaskPath = "/v1/tasks/";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::int64_t kMaxRequestDeadlineMs = 3'600'000;
constexpr base::Duration kSubmitTimeout = std::chrono::seconds(10);
constexpr base::Duration kPublishTimeout = std::chrono::seconds(10);

bool
StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

Response
MakeJsonResponse(const JsonValue& aValue, int aStatus = 200)
{
  Response response;
  response.mStatus = aStatus;
  response.mBody = base::FormatJson(aValue);
  return response;
}

Response
MakeTextResponse(std::string aText, int aStatus = 200)
{
  Response response;
  response.mStatus = aStatus;
  response.mContentType = "text/plain; charset=utf-8";
  response.mBody = std::move(aText);
  return response;
}

Response
ToResponse(const base::RequestId& aId, const requests::RequestResult& aResult)
{
  JsonValue value = base::MakeJsonObject();
  value.addMember("key") <<= aId.mValue;
  value.addMember("outcome") <<=
    std::string(requests::NameOf(aResult.mOutcome));
  if (aResult.mOutcome == requests::Outcome::Completed) {
    value.addMember("body") <<= aResult.mBody;
    value.addMember("body_omitted") <<= aResult.mBodyOmitted;
    return MakeJsonResponse(value);
  }
  const base::ErrorInfo& info = base::GetErrorInfo(aResult.mError.mKind);
  value.addMember("error") <<= std::string(info.mName);
  value.addMember("detail") <<= aResult.mError.mDetail;
  value.addMember("retry") <<= std::string(base::NameOf(info.mRetryAdvice));
  value.addMember("may_have_run") <<=
    (aResult.mOutcome == requests::Outcome::Unknown);
  return MakeJsonResponse(value, info.mHttpStatus);
}

Response
ToResponse(const tasks::TaskSnapshot& aTask, int aStatus = 200)
{
  JsonValue value = base::MakeJsonObject();
  value.addMember("task") <<= aTask.mSpec.mTask.mValue;
  value.addMember("state") <<= std::string(tasks::NameOf(aTask.mState));
  value.addMember("team") <<= aTask.mSpec.mTeam;
  value.addMember("class") <<= aTask.mSpec.mBatchClass;
  value.addMember("attempt") <<= aTask.mLastAttempt;
  value.addMember("worker") <<= aTask.mWorker.mValue;
  value.addMember("evictions") <<= aTask.mEvictions;
  value.addMember("failures") <<= aTask.mFailures;
  value.addMember("checkpoint") <<= aTask.mCheckpoint;
  value.addMember("detail") <<= aTask.mDetail;
  value.addMember("cancel_requested") <<= aTask.mCancelRequested;
  return MakeJsonResponse(value, aStatus);
}

/// Returns a unique id for a request without a key.
base::RequestId
MakeRequestId(const base::InstanceId& aInstance, base::TimePoint aNow)
{
  static std::atomic<std::uint64_t> counter{ 0 };
  return { aInstance.mValue + ":" + std::to_string(base::ToMicros(aNow)) + ":" +
           std::to_string(++counter) };
}

} // namespace

ApiHandler::ApiHandler(ApiOptions aOptions,
                       const base::Clock& aClock,
                       RequestService& aRequests,
                       TaskService& aTasks,
                       ConfigService& aConfig,
                       const Instruments& aInstruments)
  : mOptions(std::move(aOptions))
  , mClock(aClock)
  , mRequests(aRequests)
  , mTasks(aTasks)
  , mConfig(aConfig)
  , mInstruments(aInstruments)
{
}

Response
ApiHandler::Handle(const http::Request& aRequest)
{
  try {
    return Route(aRequest);
  } catch (const std::exception& e) {
    return http::MakeErrorResponse(MakeError(ErrorKind::Internal, e.what()));
  }
}

Response
ApiHandler::Route(const http::Request& aRequest)
{
  const std::string& path = aRequest.mPath;
  const bool isPost = aRequest.mMethod == "POST";
  const bool isGet = aRequest.mMethod == "GET";
  const bool isDelete = aRequest.mMethod == "DELETE";
  base::Result<Response> result =
    MakeError(ErrorKind::NotFound, aRequest.mMethod + " " + path);
  if (isGet && path == "/healthz") {
    return MakeTextResponse("ok\n");
  }
  if (isGet && path == "/readyz") {
    return mOptions.mIsReady() ? MakeTextResponse("ready\n")
                               : MakeTextResponse("not ready\n", 503);
  }
  if (isGet && path == "/metrics") {
    return MakeTextResponse(mInstruments.mMetrics.FormatPrometheus());
  }
  if (isPost && path == "/v1/requests") {
    result = PostRequest(aRequest);
  } else if (isGet && StartsWith(path, kRequestPath)) {
    result = GetRequest(path.substr(kRequestPath.size()));
  } else if (isPost && path == "/v1/tasks") {
    result = PostTask(aRequest);
  } else if (isGet && StartsWith(path, kTaskPath)) {
    result = GetTask(path.substr(kTaskPath.size()));
  } else if (isDelete && StartsWith(path, kTaskPath)) {
    result = DeleteTask(aRequest, path.substr(kTaskPath.size()));
  } else if (isPost && path == "/v1/config") {
    result = PostConfig(aRequest);
  } else if (isGet && path == "/v1/config") {
    result = GetConfig();
  } else if (isGet && path == "/v1/timeline") {
    result = GetTimeline(aRequest);
  }
  return result ? std::move(result.value())
                : http::MakeErrorResponse(result.error());
}

base::Result<Response>
ApiHandler::PostRequest(const http::Request& aRequest)
{
  BOOST_OUTCOME_TRY(json, base::ParseJson(aRequest.mBody));
  JsonReader reader(json, "request");
  const ConfigView config = mConfig.Current();
  requests::Request request;
  request.mService = reader.GetString("service");
  request.mBody = reader.GetString("body", "");
  const auto* service = config.mSet->FindAs<catalog::Service>(request.mService);
  request.mIdempotent =
    reader.GetBool("idempotent", service != nullptr && service->mIdempotent);
  request.mImportance =
    reader.GetInt("importance", service == nullptr ? 0 : service->mImportance);
  const std::int64_t deadlineMs = reader.GetInt(
    "deadline_ms", service == nullptr ? 1000 : service->mDefaultDeadlineMs);
  const std::string key = reader.GetString("key", "");
  const bool isFirstSend = reader.GetBool("first_send", false);
  reader.RejectUnknown();
  BOOST_OUTCOME_TRYV(reader.Check());
  if (service == nullptr) {
    return MakeError(ErrorKind::NotFound,
                     "no service '" + request.mService + "'");
  }
  if (deadlineMs <= 0 || deadlineMs > kMaxRequestDeadlineMs) {
    return MakeError(ErrorKind::InvalidArgument,
                     "the deadline ('deadline_ms', by default the service's "
                     "'default_deadline_ms') must be between 1 and 3600000 ms");
  }
  if (!request.mIdempotent && key.empty()) {
    return MakeError(ErrorKind::InvalidArgument,
                     "a non-idempotent request needs a key");
  }
  const base::TimePoint now = mClock.Now();
  request.mDeadline = now + std::chrono::milliseconds(deadlineMs);
  request.mId = key.empty() ? MakeRequestId(mOptions.mInstance, now)
                            : base::RequestId{ key };
  return ToResponse(request.mId, mRequests.Run(request, isFirstSend));
}

base::Result<Response>
ApiHandler::GetRequest(const std::string& aKey)
{
  BOOST_OUTCOME_TRY(result, mRequests.Lookup({ aKey }));
  if (result) {
    return ToResponse({ aKey }, *result);
  }
  JsonValue value = base::MakeJsonObject();
  value.addMember("key") <<= aKey;
  value.addMember("outcome") <<= std::string("in_progress");
  return MakeJsonResponse(value, 202);
}

base::Result<Response>
ApiHandler::PostTask(const http::Request& aRequest)
{
  BOOST_OUTCOME_TRY(json, base::ParseJson(aRequest.mBody));
  BOOST_OUTCOME_TRY(submission, ParseSubmission(json));
  BOOST_OUTCOME_TRY(task,
                    mTasks.Submit(submission, mClock.Now() + kSubmitTimeout));
  return ToResponse(task, 201);
}

base::Result<Response>
ApiHandler::GetTask(const std::string& aId)
{
  BOOST_OUTCOME_TRY(task, mTasks.Find({ aId }));
  return ToResponse(task);
}

base::Result<Response>
ApiHandler::DeleteTask(const http::Request& aRequest, const std::string& aId)
{
  const std::string* caller = http::FindField(aRequest.mQuery, "caller");
  BOOST_OUTCOME_TRY(task,
                    mTasks.Cancel({ aId },
                                  caller == nullptr ? "" : *caller,
                                  IsOperator(aRequest),
                                  mClock.Now() + kSubmitTimeout));
  return ToResponse(task);
}

base::Result<Response>
ApiHandler::PostConfig(const http::Request& aRequest)
{
  if (!IsOperator(aRequest)) {
    return MakeError(ErrorKind::Unauthorized,
                     "publishing needs the operator credential");
  }
  BOOST_OUTCOME_TRY(json, base::ParseJson(aRequest.mBody));
  JsonReader reader(json, "publish");
  const std::int64_t baseVersion = reader.GetInt("base_version");
  const std::string publisher = reader.GetString("publisher", "");
  const JsonValue* set = reader.GetMember("set");
  reader.RejectUnknown();
  BOOST_OUTCOME_TRYV(reader.Check());
  if (set == nullptr) {
    return MakeError(ErrorKind::InvalidArgument, "'set' is missing");
  }
  BOOST_OUTCOME_TRY(target, catalog::ParseSet(*set));
  BOOST_OUTCOME_TRY(
    version,
    mConfig.Publish(
      baseVersion, target, publisher, mClock.Now() + kPublishTimeout));
  JsonValue value = base::MakeJsonObject();
  value.addMember("version") <<= version;
  return MakeJsonResponse(value);
}

base::Result<Response>
ApiHandler::GetConfig() const
{
  const ConfigView config = mConfig.Current();
  JsonValue value = base::MakeJsonObject();
  value.addMember("version") <<= config.mVersion;
  JsonValue& set = value.addMember("set");
  set = catalog::FormatSet(*config.mSet);
  set.setName("set");
  return MakeJsonResponse(value);
}

base::Result<Response>
ApiHandler::GetTimeline(const http::Request& aRequest) const
{
  timeline::EventFilter filter;
  const auto read = [&](std::string_view aName, std::string& aTarget) {
    if (const auto* value = http::FindField(aRequest.mQuery, aName)) {
      aTarget = *value;
    }
  };
  read("request", filter.mRequest.mValue);
  read("task", filter.mTask.mValue);
  read("worker", filter.mWorker.mValue);
  read("domain", filter.mDomain.mValue);
  Response response;
  response.mBody =
    timeline::FormatExport(mInstruments.mTimeline.Export(filter));
  return response;
}

bool
ApiHandler::IsOperator(const http::Request& aRequest) const
{
  const std::string* header =
    http::FindField(aRequest.mHeaders, "Authorization");
  return header != nullptr && StartsWith(*header, kBearerPrefix) &&
         mOptions.mOperatorCredential.Matches(
           header->substr(kBearerPrefix.size()));
}

} // namespace skylarkhill::entry
