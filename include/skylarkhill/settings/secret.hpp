#ifndef SKYLARKHILL_SETTINGS_SECRET_HPP
#define SKYLARKHILL_SETTINGS_SECRET_HPP

#include <ostream>
#include <string>
#include <string_view>

namespace skylarkhill::settings {

/// A text that is printed as "[secret]".
class Secret
{
public:
  Secret() = default;
  explicit Secret(std::string aText);

  bool IsEmpty() const { return mText.empty(); }
  /// True if `aCandidate` equals the secret. An empty secret matches nothing.
  /// The comparison takes a time that depends only on the length of
  /// `aCandidate`.
  bool Matches(std::string_view aCandidate) const;
  /// The plain text, for sending it to the party that verifies it.
  const std::string& Reveal() const { return mText; }

  friend std::ostream& operator<<(std::ostream& aOut, const Secret& aSecret);

private:
  std::string mText;
};

} // namespace skylarkhill::settings

#endif // SKYLARKHILL_SETTINGS_SECRET_HPP
