#include "skylarkhill/http/target.hpp"

#include "skylarkhill/base/json.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace skylarkhill::http {

using base::ErrorKind;
using base::MakeError;

namespace {

int
HexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const char lower = static_cast<char>(aDigit | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::optional<std::string>
PercentDecode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t n = 0; n < aText.size(); ++n) {
    if (aText[n] == '+') {
      decoded += ' ';
      continue;
    }
    if (aText[n] != '%') {
      decoded += aText[n];
      continue;
    }
    if (n + 2 >= aText.size() || HexValue(aText[n + 1]) < 0 ||
        HexValue(aText[n + 2]) < 0) {
      return std::nullopt;
    }
    decoded +=
      static_cast<char>(HexValue(aText[n + 1]) * 16 + HexValue(aText[n + 2]));
    n += 2;
  }
  const bool isText =
    decoded.find('\0') == std::string::npos && base::IsUtf8(decoded);
  return isText ? std::make_optional(std::move(decoded)) : std::nullopt;
}

base::Result<std::vector<Field>>
ParseQuery(std::string_view aText)
{
  std::vector<Field> query;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find('&'), aText.size());
    const std::string_view pair = aText.substr(0, end);
    aText.remove_prefix(std::min(end + 1, aText.size()));
    const std::size_t equals = std::min(pair.find('='), pair.size());
    auto name = PercentDecode(pair.substr(0, equals));
    auto value = PercentDecode(pair.substr(std::min(equals + 1, pair.size())));
    if (!name || !value || name->empty()) {
      return MakeError(
        ErrorKind::InvalidArgument,
        "query has a parameter without a name or with a malformed encoding");
    }
    if (FindField(query, *name) != nullptr) {
      return MakeError(ErrorKind::InvalidArgument, "repeated query parameter");
    }
    query.push_back({ std::move(*name), std::move(*value) });
  }
  return query;
}

} // namespace

base::Result<void>
ParseTarget(std::string_view aPath, std::string_view aQuery, Request& aRequest)
{
  if (aPath.empty() || aPath.front() != '/') {
    return MakeError(ErrorKind::InvalidArgument, "target is not a path");
  }
  if (aPath.find('\0') != std::string_view::npos || !base::IsUtf8(aPath)) {
    return MakeError(ErrorKind::InvalidArgument,
                     "path contains a NUL byte or is not UTF-8");
  }
  aRequest.mPath = aPath;
  BOOST_OUTCOME_TRY(query, ParseQuery(aQuery));
  aRequest.mQuery = std::move(query);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace skylarkhill::http
