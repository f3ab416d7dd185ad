#ifndef SKYLARKHILL_CATALOG_CATALOG_SET_HPP
#define SKYLARKHILL_CATALOG_CATALOG_SET_HPP

#include "skylarkhill/catalog/object.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace skylarkhill::catalog {

/// Catalog objects indexed by name. Names are unique across all kinds. Copies
/// share the objects.
class CatalogSet
{
public:
  using Objects =
    std::map<std::string, std::shared_ptr<const Object>, std::less<>>;

  /// Adds the object or replaces the one with the same name.
  void Put(Object aObject);
  /// Removes the object if it exists.
  void Remove(std::string_view aName);

  const Objects& All() const { return mObjects; }

  /// The object with that name, or null.
  const Object* Find(std::string_view aName) const;

  /// The object with that name if it is a T, or null.
  template<typename T>
  const T* FindAs(std::string_view aName) const
  {
    const Object* object = Find(aName);
    return object == nullptr ? nullptr : std::get_if<T>(object);
  }

  /// Calls `aVisit` for every object of type T, in name order.
  template<typename T, typename Visit>
  void ForEach(Visit aVisit) const
  {
    for (const auto& it : mObjects) {
      if (const auto* object = std::get_if<T>(it.second.get())) {
        aVisit(*object);
      }
    }
  }

  /// 32 hexadecimal digits that depend only on the content, not on the order
  /// of changes.
  std::string Digest() const;

private:
  void AddHash(const Object& aObject);
  void SubtractHash(const Object& aObject);

  Objects mObjects;
  std::uint64_t mHashLow = 0;
  std::uint64_t mHashHigh = 0;
};

/// Formats the set as {"objects": [...]}, sorted by name.
base::JsonValue
FormatSet(const CatalogSet& aSet);

} // namespace skylarkhill::catalog

#endif // SKYLARKHILL_CATALOG_CATALOG_SET_HPP
