#include "skylarkhill/platform/http_platform.hpp"

#include "skylarkhill/http/client.hpp"
#include "skylarkhill/http/error_body.hpp"
#include "skylarkhill/platform/platform_codec.hpp"

#include <utility>

namespace skylarkhill::platform {

using base::ErrorKind;
using base::MakeError;
using http::Delivery;

namespace {

constexpr int kStatusOk = 200;

/// Converts the error of an HTTP call to the error of the append.
base::Error
ToAppendError(base::Error aError)
{
  switch (aError.mKind) {
    case ErrorKind::InvalidArgument:
    case ErrorKind::InvalidJson:
      return MakeError(ErrorKind::InvalidArgument, std::move(aError.mDetail));
    case ErrorKind::PayloadTooLarge:
      return aError;
    // The client returns this kind only after it has sent the request.
    case ErrorKind::DeadlineExceeded:
      return MakeError(ErrorKind::AnswerLost, std::move(aError.mDetail));
    default:
      break;
  }
  const bool mayHaveRun =
    base::GetErrorInfo(aError.mKind).mExecution == base::Execution::MayHaveRun;
  return MakeError(mayHaveRun ? ErrorKind::AnswerLost
                              : ErrorKind::LogUnavailable,
                   std::move(aError.mDetail));
}

/// Returns the body of a successful GET response. Every failure is
/// LogUnavailable, also for the instance list: a GET has no side effects and
/// can be retried.
base::Result<std::string>
GetBody(http::Client& aClient, std::string aTarget, base::TimePoint aDeadline)
{
  const http::ClientRequest request{
    "GET", std::move(aTarget), "", {}, Delivery::Idempotent
  };
  auto response = aClient.Call(request, aDeadline);
  if (response.has_error()) {
    return MakeError(ErrorKind::LogUnavailable, response.error().mDetail);
  }
  if (response.value().mStatus != kStatusOk) {
    return MakeError(ErrorKind::LogUnavailable,
                     http::ParseErrorResponse(response.value()).mDetail);
  }
  return std::move(response.value().mBody);
}

template<typename T>
base::Result<T>
ReplaceErrorKind(base::Result<T> aParsed, ErrorKind aKind)
{
  if (aParsed.has_error()) {
    return MakeError(aKind, "invalid response: " + aParsed.error().mDetail);
  }
  return aParsed;
}

class HttpLogService : public LogService
{
public:
  explicit HttpLogService(std::unique_ptr<http::Client> aClient)
    : mClient(std::move(aClient))
  {
  }

  base::Result<Offset> Append(std::string_view aStream,
                              std::string_view aPayload,
                              base::TimePoint aDeadline) override
  {
    const http::ClientRequest request{ "POST",
                                       "/log/" + http::PercentEncode(aStream),
                                       FormatAppendRequest(aPayload),
                                       {},
                                       Delivery::AtMostOnce };
    auto response = mClient->Call(request, aDeadline);
    if (response.has_error()) {
      return ToAppendError(response.error());
    }
    if (response.value().mStatus != kStatusOk) {
      return ToAppendError(http::ParseErrorResponse(response.value()));
    }
    return ReplaceErrorKind(ParseAppendResponse(response.value().mBody),
                            ErrorKind::AnswerLost);
  }

  base::Result<LogPage> Read(std::string_view aStream,
                             Offset aFrom,
                             std::int64_t aMaxRecords,
                             base::TimePoint aDeadline) override
  {
    BOOST_OUTCOME_TRY(body,
                      GetBody(*mClient,
                              "/log/" + http::PercentEncode(aStream) +
                                "?from=" + std::to_string(aFrom) +
                                "&max=" + std::to_string(aMaxRecords),
                              aDeadline));
    return ReplaceErrorKind(ParseLogPage(body), ErrorKind::LogUnavailable);
  }

private:
  const std::unique_ptr<http::Client> mClient;
};

class HttpInstanceList : public InstanceList
{
public:
  explicit HttpInstanceList(std::unique_ptr<http::Client> aClient)
    : mClient(std::move(aClient))
  {
  }

  base::Result<std::vector<InstanceInfo>> Fetch(
    base::TimePoint aDeadline) override
  {
    BOOST_OUTCOME_TRY(body, GetBody(*mClient, "/instances", aDeadline));
    return ReplaceErrorKind(ParseInstances(body), ErrorKind::LogUnavailable);
  }

private:
  const std::unique_ptr<http::Client> mClient;
};

std::unique_ptr<http::Client>
MakeClient(std::string aAddress, std::uint16_t aPort, const base::Clock& aClock)
{
  http::ClientOptions options;
  options.mAddress = std::move(aAddress);
  options.mPort = aPort;
  return http::CreateClient(std::move(options), aClock);
}

} // namespace

std::unique_ptr<LogService>
CreateHttpLogService(std::string aAddress,
                     std::uint16_t aPort,
                     const base::Clock& aClock)
{
  return std::make_unique<HttpLogService>(
    MakeClient(std::move(aAddress), aPort, aClock));
}

std::unique_ptr<InstanceList>
CreateHttpInstanceList(std::string aAddress,
                       std::uint16_t aPort,
                       const base::Clock& aClock)
{
  return std::make_unique<HttpInstanceList>(
    MakeClient(std::move(aAddress), aPort, aClock));
}

} // namespace skylarkhill::platform
