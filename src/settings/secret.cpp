#include "skylarkhill/settings/secret.hpp"

#include <utility>

namespace skylarkhill::settings {

Secret::Secret(std::string aText)
  : mText(std::move(aText))
{
}

// Compares all bytes: if the comparison stopped at the first difference, a
// caller could guess the secret byte by byte from the response time.
bool
Secret::Matches(std::string_view aCandidate) const
{
  if (mText.empty()) {
    return false;
  }
  unsigned difference = mText.size() == aCandidate.size() ? 0U : 1U;
  for (std::size_t i = 0; i < aCandidate.size(); ++i) {
    const auto expected = static_cast<unsigned char>(mText[i % mText.size()]);
    const auto candidate = static_cast<unsigned char>(aCandidate[i]);
    difference |= static_cast<unsigned>(expected ^ candidate);
  }
  return difference == 0;
}

std::ostream&
operator<<(std::ostream& aOut, const Secret& aSecret)
{
  return aOut << (aSecret.IsEmpty() ? "" : "[secret]");
}

} // namespace skylarkhill::settings
