#include "skylarkhill/http/error_body.hpp"

#include "skylarkhill/base/json.hpp"

namespace skylarkhill::http {

std::string
FormatErrorBody(const base::Error& aError)
{
  const base::ErrorInfo& info = base::GetErrorInfo(aError.mKind);
  base::JsonValue body = base::MakeJsonObject();
  body.addMember("error") <<= std::string(info.mName);
  body.addMember("detail") <<=
    base::IsUtf8(aError.mDetail) ? aError.mDetail : std::string();
  body.addMember("retry") <<= std::string(base::NameOf(info.mRetryAdvice));
  body.addMember("may_have_run") <<=
    info.mExecution == base::Execution::MayHaveRun;
  return base::FormatJson(body);
}

std::optional<base::Error>
ParseErrorBody(std::string_view aBody)
{
  const auto json = base::ParseJson(aBody);
  if (!json) {
    return std::nullopt;
  }
  base::JsonReader reader(json.value());
  const std::string name = reader.GetString("error");
  const std::string detail = reader.GetString("detail", "");
  const auto kind = base::ParseErrorKind(name);
  if (!reader.Check() || !kind) {
    return std::nullopt;
  }
  return base::MakeError(*kind, detail);
}

Response
MakeErrorResponse(const base::Error& aError)
{
  Response response;
  response.mStatus = base::GetErrorInfo(aError.mKind).mHttpStatus;
  response.mBody = FormatErrorBody(aError);
  return response;
}

base::Error
ParseErrorResponse(const Response& aResponse)
{
  auto error = ParseErrorBody(aResponse.mBody);
  if (error) {
    return *error;
  }
  return base::MakeError(base::ErrorKind::Internal,
                         "unexpected HTTP status " +
                           std::to_string(aResponse.mStatus));
}

} // namespace skylarkhill::http
