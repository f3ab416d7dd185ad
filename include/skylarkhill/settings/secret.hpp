#ifndef SKYLARKHILL_SETTINGS_SECRET_HPP
#define SKYLARKHILL_SETTINGS_SECRET_HPP

#include <ostream>
#include <string>
#include <string_view>

namespace skylarkhill::settings {

/// Text that prints as "[secret]".
class Secret
{
public:
  Secret() = default;
  explicit Secret(std::string aText);

  bool IsEmpty() const { return mText.empty(); }
  /// True if `aCandidate` is the secret. An empty secret matches nothing. The
  /// time depends on the length of `aCandidate` only.
  bool Matches(std::string_view aCandidate) const;
  /// The text itself, for sending it to its verifier.
  const std::string& Reveal() const { return mText; }

  friend std::ostream& operator<<(std::ostream& aOut, const Secret& aSecret);

private:
  std::string mText;
};

} // namespace skylarkhill::settings

#endif // SKYLARKHILL_SETTINGS_SECRET_HPP
