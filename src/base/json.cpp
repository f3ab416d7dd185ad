#include "skylarkhill/base/json.hpp"

#include <cxxtools/json.h>
#include <cxxtools/jsondeserializer.h>
#include <cxxtools/jsonserializer.h>
#include <cxxtools/utf8codec.h>

#include <algorithm>
#include <cmath>
#include <exception>
#include <initializer_list>
#include <iterator>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace skylarkhill::base {

namespace {

constexpr int kMaxNestingDepth = 64;

/// Rejects JSON text that the parser of cxxtools accepts although it has
/// duplicate keys, is nested too deeply or has text after the document.
class StructureValidator
{
public:
  explicit StructureValidator(std::string_view aText)
    : mText(aText)
  {
  }

  /// Returns an error message, or an empty string if the text is accepted.
  std::string Scan()
  {
    if (!ScanValue(0)) {
      return mError.empty() ? "truncated or malformed" : mError;
    }
    SkipSpace();
    return mPosition == mText.size() ? "" : "text after the document";
  }

private:
  bool Fail(std::string aProblem)
  {
    if (mError.empty()) {
      mError = std::move(aProblem);
    }
    return false;
  }

  void SkipSpace()
  {
    while (mPosition < mText.size() &&
           std::string_view(" \t\r\n").find(mText[mPosition]) !=
             std::string_view::npos) {
      ++mPosition;
    }
  }

  bool Accept(char aExpected)
  {
    SkipSpace();
    if (mPosition >= mText.size() || mText[mPosition] != aExpected) {
      return false;
    }
    ++mPosition;
    return true;
  }

  bool ScanString(std::string_view& aKey)
  {
    if (!Accept('"')) {
      return Fail("expected a string");
    }
    const std::size_t begin = mPosition;
    while (mPosition < mText.size() && mText[mPosition] != '"') {
      if (static_cast<unsigned char>(mText[mPosition]) < 0x20) {
        return Fail("control character in a string");
      }
      mPosition += mText[mPosition] == '\\' ? 2 : 1;
    }
    if (mPosition >= mText.size()) {
      return Fail("truncated string");
    }
    aKey = mText.substr(begin, mPosition - begin);
    ++mPosition;
    return true;
  }

  bool ScanObject(int aDepth)
  {
    std::set<std::string_view> keys;
    if (Accept('}')) {
      return true;
    }
    do {
      std::string_view key;
      if (!ScanString(key)) {
        return false;
      }
      if (!keys.insert(key).second) {
        return Fail("duplicate key '" + std::string(key) + "'");
      }
      if (!Accept(':') || !ScanValue(aDepth)) {
        return Fail("malformed object");
      }
    } while (Accept(','));
    return Accept('}') || Fail("truncated object");
  }

  bool ScanArray(int aDepth)
  {
    if (Accept(']')) {
      return true;
    }
    do {
      if (!ScanValue(aDepth)) {
        return false;
      }
    } while (Accept(','));
    return Accept(']') || Fail("truncated array");
  }

  bool ScanLiteral()
  {
    const std::size_t begin = mPosition;
    while (mPosition < mText.size() &&
           std::string_view(" \t\r\n,]}:\"[{").find(mText[mPosition]) ==
             std::string_view::npos) {
      ++mPosition;
    }
    const std::string_view literal = mText.substr(begin, mPosition - begin);
    if (literal == "true" || literal == "false" || literal == "null") {
      return true;
    }
    const bool isNumber =
      !literal.empty() &&
      literal.find_first_not_of("+-.eE0123456789") == std::string_view::npos;
    return isNumber || Fail("malformed value");
  }

  // Recursion is bounded by kMaxNestingDepth.
  // NOLINTNEXTLINE(misc-no-recursion)
  bool ScanValue(int aDepth)
  {
    if (aDepth >= kMaxNestingDepth) {
      return Fail("nested too deeply");
    }
    SkipSpace();
    if (mPosition >= mText.size()) {
      return Fail("truncated");
    }
    switch (mText[mPosition]) {
      case '{':
        ++mPosition;
        return ScanObject(aDepth + 1);
      case '[':
        ++mPosition;
        return ScanArray(aDepth + 1);
      case '"': {
        std::string_view text;
        return ScanString(text);
      }
      default:
        return ScanLiteral();
    }
  }

  std::string_view mText;
  std::size_t mPosition = 0;
  std::string mError;
};

std::size_t
Utf8SequenceLength(unsigned char aLead)
{
  if (aLead < 0x80) {
    return 1;
  }
  if (aLead >= 0xC2 && aLead <= 0xDF) {
    return 2;
  }
  if (aLead >= 0xE0 && aLead <= 0xEF) {
    return 3;
  }
  return aLead >= 0xF0 && aLead <= 0xF4 ? 4 : 0;
}

bool
IsContinuation(unsigned char aByte)
{
  return (aByte & 0xC0U) == 0x80U;
}

// cxxtools keeps parsed numbers and booleans as text; only the type name shows
// their type.
bool
HasTypeName(const JsonValue& aValue,
            std::initializer_list<std::string_view> aNames)
{
  return aValue.category() == JsonValue::Value &&
         std::find(aNames.begin(), aNames.end(), aValue.typeName()) !=
           aNames.end();
}

bool
IsInteger(const JsonValue& aValue)
{
  return HasTypeName(aValue, { "int", "long", "long long", "unsigned" });
}

bool
IsNumber(const JsonValue& aValue)
{
  return IsInteger(aValue) || HasTypeName(aValue, { "double", "float" });
}

bool
IsBoolean(const JsonValue& aValue)
{
  return HasTypeName(aValue, { "bool" });
}

bool
IsString(const JsonValue& aValue)
{
  return HasTypeName(aValue, { "string" });
}

bool
IsNull(const JsonValue& aValue)
{
  return aValue.isNull() || HasTypeName(aValue, { "null" });
}

// Rejects overlong forms, surrogates and values beyond U+10FFFF.
bool
IsSecondByteValid(unsigned char aLead, unsigned char aSecond)
{
  switch (aLead) {
    case 0xE0:
      return aSecond >= 0xA0;
    case 0xED:
      return aSecond <= 0x9F;
    case 0xF0:
      return aSecond >= 0x90;
    case 0xF4:
      return aSecond <= 0x8F;
    default:
      return true;
  }
}

/// Returns false if text follows the document.
template<typename Text>
bool
Deserialize(const Text& aText, cxxtools::JsonDeserializer& aDeserializer)
{
  aDeserializer.begin();
  for (auto it = aText.begin(); it != aText.end(); ++it) {
    const int end = aDeserializer.advance(cxxtools::Char(*it));
    if (end != 0) {
      // A negative value means that the character is not part of the document.
      return std::all_of(
        end < 0 ? it : std::next(it), aText.end(), [](auto aCharacter) {
          const auto character = cxxtools::Char(aCharacter);
          return character == ' ' || character == '\t' || character == '\r' ||
                 character == '\n';
        });
    }
  }
  aDeserializer.finish();
  return true;
}

bool
IsAscii(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aByte) {
    return static_cast<unsigned char>(aByte) < 0x80;
  });
}

// cxxtools narrows parsed strings to one byte per character when they are read
// as std::string, which turns most characters into '?'. All strings are
// therefore converted to UTF-8 after parsing.
// NOLINTNEXTLINE(misc-no-recursion): the depth is bounded by kMaxNestingDepth.
void
StoreTextAsUtf8(JsonValue& aValue)
{
  for (auto& it : aValue) {
    StoreTextAsUtf8(it);
  }
  if (IsString(aValue) && aValue.isString()) {
    cxxtools::String text;
    aValue.getValue(text);
    aValue <<= cxxtools::Utf8Codec::encode(text);
  }
}

int
HexDigit(char aDigit)
{
  const std::size_t value = std::string_view("0123456789abcdef").find(aDigit);
  return value == std::string_view::npos ? -1 : static_cast<int>(value);
}

/// The byte at the start of `aText` if it is escaped as \u00XX and not ASCII,
/// or nothing.
std::optional<char>
ParseEscapedByte(std::string_view aText)
{
  constexpr std::size_t kLength = 6;
  if (aText.substr(0, 4) != "\\u00" || aText.size() < kLength) {
    return std::nullopt;
  }
  const int high = HexDigit(aText[4]);
  const int low = HexDigit(aText[5]);
  if (high < 8 || low < 0) {
    return std::nullopt;
  }
  return static_cast<char>(high * 16 + low);
}

// The formatter of cxxtools escapes every byte of a UTF-8 sequence as a
// separate character. This function replaces these escapes by the original
// bytes.
std::string
RestoreUtf8(std::string_view aText)
{
  std::string restored;
  while (!aText.empty()) {
    const auto byte = ParseEscapedByte(aText);
    if (byte) {
      restored += *byte;
      aText.remove_prefix(6);
      continue;
    }
    const std::size_t n = aText.front() == '\\' ? 2 : 1;
    restored.append(aText.substr(0, n));
    aText.remove_prefix(std::min(n, aText.size()));
  }
  return restored;
}

} // namespace

bool
IsUtf8(std::string_view aText)
{
  std::size_t position = 0;
  while (position < aText.size()) {
    const auto lead = static_cast<unsigned char>(aText[position]);
    const std::size_t n = Utf8SequenceLength(lead);
    if (n == 0 || position + n > aText.size()) {
      return false;
    }
    for (std::size_t i = 1; i < n; ++i) {
      const auto byte = static_cast<unsigned char>(aText[position + i]);
      if (!IsContinuation(byte) || (i == 1 && !IsSecondByteValid(lead, byte))) {
        return false;
      }
    }
    position += n;
  }
  return true;
}

Result<JsonValue>
ParseJson(std::string_view aText)
{
  if (!IsUtf8(aText)) {
    return MakeError(ErrorKind::InvalidJson, "text is not UTF-8");
  }
  const std::string problem = StructureValidator(aText).Scan();
  if (!problem.empty()) {
    return MakeError(ErrorKind::InvalidJson, problem);
  }
  try {
    cxxtools::JsonDeserializer deserializer;
    const bool isAscii = IsAscii(aText);
    const bool isComplete =
      isAscii ? Deserialize(aText, deserializer)
              : Deserialize(cxxtools::Utf8Codec::decode(std::string(aText)),
                            deserializer);
    if (!isComplete) {
      return MakeError(ErrorKind::InvalidJson, "text after the document");
    }
    JsonValue value = std::move(deserializer.si());
    // Without escaped characters, the strings of an ASCII text are ASCII.
    if (!isAscii || aText.find("\\u") != std::string_view::npos) {
      StoreTextAsUtf8(value);
    }
    return value;
  } catch (const std::exception& e) {
    return MakeError(ErrorKind::InvalidJson, e.what());
  }
}

std::string
FormatJson(const JsonValue& aValue)
{
  std::ostringstream out;
  cxxtools::JsonSerializer serializer(out);
  serializer.serialize(aValue).finish();
  std::string restored = RestoreUtf8(out.str());
  return IsUtf8(restored) ? restored : out.str();
}

JsonValue
MakeJsonObject()
{
  JsonValue value;
  value.setCategory(JsonValue::Object);
  return value;
}

JsonReader::JsonReader(const JsonValue& aObject, std::string aContext)
  : mObject(aObject)
  , mContext(std::move(aContext))
{
  if (aObject.category() != JsonValue::Object) {
    mFindings.push_back((mContext.empty() ? "document" : mContext) +
                        " is not an object");
  }
}

void
JsonReader::AddFinding(std::string_view aKey, std::string_view aProblem)
{
  std::string finding = mContext.empty() ? "" : mContext + ": ";
  finding.append("'").append(aKey).append("' ").append(aProblem);
  mFindings.push_back(std::move(finding));
}

const JsonValue*
JsonReader::GetMember(std::string_view aKey)
{
  mRequestedKeys.emplace_back(aKey);
  if (mObject.category() != JsonValue::Object) {
    return nullptr;
  }
  const JsonValue* member = mObject.findMember(std::string(aKey));
  return member == nullptr || IsNull(*member) ? nullptr : member;
}

std::string
JsonReader::GetString(std::string_view aKey)
{
  const JsonValue* member = GetMember(aKey);
  if (member == nullptr) {
    AddFinding(aKey, "is missing");
    return {};
  }
  if (!IsString(*member)) {
    AddFinding(aKey, "must be a string");
    return {};
  }
  std::string value;
  member->getValue(value);
  return value;
}

std::string
JsonReader::GetString(std::string_view aKey, std::string aDefault)
{
  return GetMember(aKey) == nullptr ? std::move(aDefault) : GetString(aKey);
}

std::int64_t
JsonReader::GetInt(std::string_view aKey)
{
  const JsonValue* member = GetMember(aKey);
  if (member == nullptr) {
    AddFinding(aKey, "is missing");
    return 0;
  }
  if (!IsInteger(*member)) {
    AddFinding(aKey, "must be an integer");
    return 0;
  }
  try {
    std::int64_t value = 0;
    member->getValue(value);
    return value;
  } catch (const std::exception&) {
    AddFinding(aKey, "is out of range");
    return 0;
  }
}

std::int64_t
JsonReader::GetInt(std::string_view aKey, std::int64_t aDefault)
{
  return GetMember(aKey) == nullptr ? aDefault : GetInt(aKey);
}

std::int64_t
JsonReader::GetIntUpTo(std::string_view aKey,
                       std::int64_t aMax,
                       std::int64_t aDefault)
{
  const std::int64_t value = GetInt(aKey, aDefault);
  if (value >= 0 && value <= aMax) {
    return value;
  }
  AddFinding(aKey, "is out of range");
  return aDefault;
}

double
JsonReader::GetDouble(std::string_view aKey, double aDefault)
{
  const JsonValue* member = GetMember(aKey);
  if (member == nullptr) {
    return aDefault;
  }
  if (!IsNumber(*member)) {
    AddFinding(aKey, "must be a number");
    return aDefault;
  }
  try {
    double value = aDefault;
    member->getValue(value);
    if (std::isfinite(value)) {
      return value;
    }
  } catch (const std::exception&) {
    // The finding below covers both cases.
  }
  AddFinding(aKey, "is out of range");
  return aDefault;
}

bool
JsonReader::GetBool(std::string_view aKey, bool aDefault)
{
  const JsonValue* member = GetMember(aKey);
  if (member == nullptr) {
    return aDefault;
  }
  if (!IsBoolean(*member)) {
    AddFinding(aKey, "must be true or false");
    return aDefault;
  }
  bool value = aDefault;
  member->getValue(value);
  return value;
}

std::vector<std::string>
JsonReader::GetStrings(std::string_view aKey)
{
  std::vector<std::string> values;
  const JsonValue* member = GetMember(aKey);
  if (member == nullptr) {
    return values;
  }
  if (member->category() != JsonValue::Array) {
    AddFinding(aKey, "must be an array of strings");
    return values;
  }
  for (const auto& it : *member) {
    if (!IsString(it)) {
      AddFinding(aKey, "must be an array of strings");
      return {};
    }
    values.emplace_back();
    it.getValue(values.back());
  }
  return values;
}

void
JsonReader::RejectUnknown()
{
  if (mObject.category() != JsonValue::Object) {
    return;
  }
  for (const auto& it : mObject) {
    if (std::find(mRequestedKeys.begin(), mRequestedKeys.end(), it.name()) ==
        mRequestedKeys.end()) {
      AddFinding(it.name(), "is unknown");
    }
  }
}

Result<void>
JsonReader::Check() const
{
  if (mFindings.empty()) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  std::string detail;
  for (const auto& it : mFindings) {
    detail.append(detail.empty() ? "" : "; ").append(it);
  }
  return MakeError(ErrorKind::InvalidArgument, std::move(detail));
}

} // namespace skylarkhill::base
