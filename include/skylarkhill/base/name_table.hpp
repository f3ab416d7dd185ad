#ifndef SKYLARKHILL_BASE_NAME_TABLE_HPP
#define SKYLARKHILL_BASE_NAME_TABLE_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace skylarkhill::base {

/// An enumerator and its name on the wire, in logs or in settings.
template<typename Enum>
struct NamedValue
{
  Enum mValue;
  std::string_view mName;
};

/// The names of the enumerators of an `enum class`.
template<typename Enum, std::size_t N>
using NameTable = std::array<NamedValue<Enum>, N>;

/// The name of `aValue`, or an empty view if the table lacks it.
template<typename Enum, std::size_t N>
constexpr std::string_view
FindName(const NameTable<Enum, N>& aTable, Enum aValue)
{
  for (const auto& it : aTable) {
    if (it.mValue == aValue) {
      return it.mName;
    }
  }
  return {};
}

/// The value named `aName`, or nothing.
template<typename Enum, std::size_t N>
constexpr std::optional<Enum>
FindValue(const NameTable<Enum, N>& aTable, std::string_view aName)
{
  for (const auto& it : aTable) {
    if (it.mName == aName) {
      return it.mValue;
    }
  }
  return std::nullopt;
}

} // namespace skylarkhill::base

#endif // SKYLARKHILL_BASE_NAME_TABLE_HPP
