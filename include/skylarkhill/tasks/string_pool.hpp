#ifndef SKYLARKHILL_TASKS_STRING_POOL_HPP
#define SKYLARKHILL_TASKS_STRING_POOL_HPP

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace skylarkhill::tasks {

/// Interns strings: stores each distinct string once and refers to it by a
/// handle. Strings are never removed.
class StringPool
{
public:
  using Handle = std::uint32_t;

  /// Handle of the empty string.
  static constexpr Handle kEmpty = 0;

  StringPool();
  StringPool(const StringPool&) = delete;
  StringPool& operator=(const StringPool&) = delete;

  /// Returns the handle of `aText`, which is added if it is new.
  Handle Intern(std::string_view aText);
  /// Returns the handle of `aText`, or kEmpty if it was never added.
  Handle Find(std::string_view aText) const;
  const std::string& Get(Handle aHandle) const { return mTexts[aHandle]; }

private:
  // A deque never moves its elements, so the views stay valid.
  std::deque<std::string> mTexts;
  std::unordered_map<std::string_view, Handle> mHandles;
};

} // namespace skylarkhill::tasks

#endif // SKYLARKHILL_TASKS_STRING_POOL_HPP
