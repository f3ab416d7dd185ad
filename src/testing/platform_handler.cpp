#include "skylarkhill/testing/platform_handler.hpp"

#include "skylarkhill/base/json.hpp"
#include "skylarkhill/http/error_body.hpp"
#include "skylarkhill/platform/platform_codec.hpp"

#include <cstdlib>
#include <limits>
#include <thread>
#include <utility>

namespace skylarkhill::testing {

using base::ErrorKind;
using base::JsonReader;
using base::MakeError;
using http::MakeErrorResponse;
using http::Request;
using http::Response;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kLogPrefix = "/log/";
constexpr std::int64_t kDefaultMaxRecords = 1000;

Response
MakeResponse(std::string aBody)
{
  Response response;
  response.mBody = std::move(aBody);
  return response;
}

/// Drops the connection if the fake reports a lost answer.
Response
MakeFailureResponse(const base::Error& aError)
{
  Response response = MakeErrorResponse(aError);
  response.mDropConnection = aError.mKind == ErrorKind::AnswerLost;
  return response;
}

std::int64_t
GetQueryInt(const Request& aRequest,
            std::string_view aName,
            std::int64_t aDefault)
{
  const std::string* text = http::FindField(aRequest.mQuery, aName);
  return text == nullptr ? aDefault : std::strtoll(text->c_str(), nullptr, 10);
}

} // namespace

PlatformHandler::PlatformHandler(FakeLog& aLog, FakeInstanceList& aInstances)
  : mLog(aLog)
  , mInstances(aInstances)
{
}

Response
PlatformHandler::Handle(const Request& aRequest)
{
  if (aRequest.mPath == "/admin") {
    return HandleAdmin(aRequest);
  }
  if (mGate.IsClosed()) {
    mGate.Wait();
    Response dropped;
    dropped.mDropConnection = true;
    return dropped;
  }
  Response response = Dispatch(aRequest);
  std::this_thread::sleep_for(mLog.AnswerDelay());
  return response;
}

void
PlatformHandler::Release()
{
  mGate.SetClosed(false);
}

Response
PlatformHandler::Dispatch(const Request& aRequest)
{
  if (aRequest.mPath.compare(0, kLogPrefix.size(), kLogPrefix) == 0) {
    return HandleLog(aRequest);
  }
  if (aRequest.mPath == "/instances" && aRequest.mMethod == "GET") {
    return FetchInstances();
  }
  return MakeErrorResponse(MakeError(ErrorKind::NotFound, aRequest.mPath));
}

Response
PlatformHandler::HandleLog(const Request& aRequest)
{
  const std::string stream = aRequest.mPath.substr(kLogPrefix.size());
  if (aRequest.mMethod == "POST") {
    return Append(stream, aRequest.mBody);
  }
  if (aRequest.mMethod == "GET") {
    return Read(stream, aRequest);
  }
  return MakeErrorResponse(MakeError(ErrorKind::NotFound, aRequest.mMethod));
}

Response
PlatformHandler::Append(const std::string& aStream, const std::string& aBody)
{
  ++mAppends;
  const auto payload = platform::ParseAppendRequest(aBody);
  if (payload.has_error()) {
    return MakeErrorResponse(payload.error());
  }
  const auto offset = mLog.Append(aStream, payload.value(), base::kNoDeadline);
  return offset ? MakeResponse(platform::FormatAppendResponse(offset.value()))
                : MakeFailureResponse(offset.error());
}

Response
PlatformHandler::Read(const std::string& aStream, const Request& aRequest)
{
  ++mReads;
  const auto page = mLog.Read(aStream,
                              GetQueryInt(aRequest, "from", 0),
                              GetQueryInt(aRequest, "max", kDefaultMaxRecords),
                              base::kNoDeadline);
  return page ? MakeResponse(platform::FormatLogPage(page.value()))
              : MakeFailureResponse(page.error());
}

Response
PlatformHandler::FetchInstances()
{
  ++mFetches;
  const auto instances = mInstances.Fetch(base::kNoDeadline);
  return instances ? MakeResponse(platform::FormatInstances(instances.value()))
                   : MakeFailureResponse(instances.error());
}

Response
PlatformHandler::HandleAdmin(const Request& aRequest)
{
  if (aRequest.mMethod == "GET") {
    return MakeCounterReport();
  }
  const auto applied = ApplyAdmin(aRequest.mBody);
  return applied ? MakeResponse("{}") : MakeErrorResponse(applied.error());
}

base::Result<void>
PlatformHandler::ApplyAdmin(const std::string& aBody)
{
  BOOST_OUTCOME_TRY(json, base::ParseJson(aBody));
  JsonReader reader(json);
  const auto has = [&](std::string_view aName) {
    return reader.GetMember(aName) != nullptr;
  };
  if (has("down")) {
    const bool isDown = reader.GetBool("down", false);
    mLog.SetDown(isDown);
    mInstances.SetDown(isDown);
  }
  if (has("silent")) {
    mGate.SetClosed(reader.GetBool("silent", false));
  }
  if (has("slow_ms")) {
    mLog.SetAnswerDelay(milliseconds(reader.GetInt("slow_ms")));
  }
  if (has("lose_answers")) {
    mLog.LoseNextAnswers(reader.GetInt("lose_answers"));
  }
  if (has("lose_appends")) {
    mLog.LoseNextAppends(reader.GetInt("lose_appends"));
  }
  if (has("expire_stream")) {
    mLog.ExpireBefore(reader.GetString("expire_stream"),
                      reader.GetInt("expire_before"));
  }
  if (has("lag_ms")) {
    mInstances.SetLag(milliseconds(reader.GetInt("lag_ms")));
  }
  if (has("put")) {
    BOOST_OUTCOME_TRY(entry, platform::ParseInstance(*reader.GetMember("put")));
    mInstances.Put(std::move(entry));
  }
  if (has("leaving")) {
    mInstances.MarkLeaving(reader.GetString("leaving"));
  }
  if (has("remove")) {
    mInstances.Remove(reader.GetString("remove"));
  }
  reader.RejectUnknown();
  return reader.Check();
}

Response
PlatformHandler::MakeCounterReport() const
{
  base::JsonValue body = base::MakeJsonObject();
  body.addMember("appends") <<= mAppends.load();
  body.addMember("reads") <<= mReads.load();
  body.addMember("fetches") <<= mFetches.load();
  return MakeResponse(base::FormatJson(body));
}

} // namespace skylarkhill::testing
