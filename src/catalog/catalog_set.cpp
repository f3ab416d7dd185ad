#include "skylarkhill/catalog/catalog_set.hpp"

#include "skylarkhill/base/hash.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <utility>

namespace skylarkhill::catalog {

namespace {

constexpr std::uint64_t kHighHashSeed = 1;

} // namespace

// The digest is the sum of the hashes of the objects. It is independent of
// their order, and an update only hashes the changed objects.
void
CatalogSet::AddHash(const Object& aObject)
{
  const std::string text = base::FormatJson(FormatObject(aObject));
  mHashLow += base::StableHash(text);
  mHashHigh += base::StableHash(text, kHighHashSeed);
}

void
CatalogSet::SubtractHash(const Object& aObject)
{
  const std::string text = base::FormatJson(FormatObject(aObject));
  mHashLow -= base::StableHash(text);
  mHashHigh -= base::StableHash(text, kHighHashSeed);
}

void
CatalogSet::Put(Object aObject)
{
  Remove(NameOf(aObject));
  AddHash(aObject);
  std::string name = NameOf(aObject);
  mObjects.emplace(std::move(name),
                   std::make_shared<const Object>(std::move(aObject)));
}

void
CatalogSet::Remove(std::string_view aName)
{
  const auto it = mObjects.find(aName);
  if (it != mObjects.end()) {
    SubtractHash(*it->second);
    mObjects.erase(it);
  }
}

const Object*
CatalogSet::Find(std::string_view aName) const
{
  const auto it = mObjects.find(aName);
  return it == mObjects.end() ? nullptr : it->second.get();
}

std::string
CatalogSet::Digest() const
{
  constexpr std::size_t kDigits = 32;
  std::array<char, kDigits + 1> buf{};
  std::snprintf(
    buf.data(), buf.size(), "%016" PRIx64 "%016" PRIx64, mHashHigh, mHashLow);
  return buf.data();
}

base::JsonValue
FormatSet(const CatalogSet& aSet)
{
  base::JsonValue value = base::MakeJsonObject();
  base::JsonValue& objects = value.addMember("objects");
  objects.setCategory(base::JsonValue::Array);
  for (const auto& it : aSet.All()) {
    FormatObject(*it.second).swap(objects.addMember());
  }
  return value;
}

} // namespace skylarkhill::catalog
