#include "skylarkhill/http/message.hpp"

#include <algorithm>

namespace skylarkhill::http {

namespace {

char
ToLower(char aLetter)
{
  return aLetter >= 'A' && aLetter <= 'Z' ? static_cast<char>(aLetter | 0x20)
                                          : aLetter;
}

bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [](char aOne, char aTwo) { return ToLower(aOne) == ToLower(aTwo); });
}

bool
IsUnreserved(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= '0' && aByte <= '9') ||
         std::string_view("-._~").find(aByte) != std::string_view::npos;
}

} // namespace

const std::string*
FindField(const std::vector<Field>& aFields, std::string_view aName)
{
  const auto found =
    std::find_if(aFields.begin(), aFields.end(), [&](const Field& aField) {
      return EqualsIgnoringCase(aField.mName, aName);
    });
  return found == aFields.end() ? nullptr : &found->mValue;
}

std::string
PercentEncode(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char it : aText) {
    if (IsUnreserved(it)) {
      encoded += it;
      continue;
    }
    const auto byte = static_cast<unsigned char>(it);
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 0x0FU];
  }
  return encoded;
}

} // namespace skylarkhill::http
