#ifndef SKYLARKHILL_BASE_JSON_HPP
#define SKYLARKHILL_BASE_JSON_HPP

#include "skylarkhill/base/error.hpp"

#include <cxxtools/serializationinfo.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::base {

/// A parsed JSON value.
using JsonValue = cxxtools::SerializationInfo;

/// Parses one JSON document. InvalidJson if the text is malformed or not UTF-8,
/// has duplicate keys or trailing text, or is nested deeper than 64 levels.
Result<JsonValue>
ParseJson(std::string_view aText);

/// Formats `aValue` as compact JSON text.
std::string
FormatJson(const JsonValue& aValue);

/// True if `aText` is well-formed UTF-8.
bool
IsUtf8(std::string_view aText);

/// An empty JSON object.
JsonValue
MakeJsonObject();

/// Typed access to the members of one JSON object. Errors are collected as
/// findings, so that all of them can be reported at once.
class JsonReader
{
public:
  /// `aContext` prefixes every finding, e.g. "service counter".
  explicit JsonReader(const JsonValue& aObject, std::string aContext = {});

  std::string GetString(std::string_view aKey);
  std::string GetString(std::string_view aKey, std::string aDefault);
  std::int64_t GetInt(std::string_view aKey);
  std::int64_t GetInt(std::string_view aKey, std::int64_t aDefault);
  /// Like GetInt; a value below 0 or above `aMax` is a finding and read as
  /// `aDefault`.
  std::int64_t GetIntUpTo(std::string_view aKey,
                          std::int64_t aMax,
                          std::int64_t aDefault);
  double GetDouble(std::string_view aKey, double aDefault);
  bool GetBool(std::string_view aKey, bool aDefault);
  std::vector<std::string> GetStrings(std::string_view aKey);
  /// The member, or null if it is absent.
  const JsonValue* GetMember(std::string_view aKey);

  /// Adds a finding for every member that no getter has been called for.
  void RejectUnknown();
  const std::vector<std::string>& Findings() const { return mFindings; }
  /// InvalidArgument with all findings joined, if there are any.
  Result<void> Check() const;

private:
  void AddFinding(std::string_view aKey, std::string_view aProblem);

  const JsonValue& mObject;
  std::string mContext;
  std::vector<std::string> mRequestedKeys;
  std::vector<std::string> mFindings;
};

} // namespace skylarkhill::base

#endif // SKYLARKHILL_BASE_JSON_HPP
