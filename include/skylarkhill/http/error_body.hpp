#ifndef SKYLARKHILL_HTTP_ERROR_BODY_HPP
#define SKYLARKHILL_HTTP_ERROR_BODY_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/http/message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace skylarkhill::http {

/// The JSON body {"error", "detail", "retry", "may_have_run"} of `aError`.
std::string
FormatErrorBody(const base::Error& aError);

/// The error in a body made by FormatErrorBody, or nothing.
std::optional<base::Error>
ParseErrorBody(std::string_view aBody);

/// A response with the HTTP status of `aError` and its JSON body.
Response
MakeErrorResponse(const base::Error& aError);

/// The error in a response whose status is not 200; Internal if the body was
/// not made by FormatErrorBody.
base::Error
ParseErrorResponse(const Response& aResponse);

} // namespace skylarkhill::http

#endif // SKYLARKHILL_HTTP_ERROR_BODY_HPP
