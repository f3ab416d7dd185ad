#ifndef SKYLARKHILL_CATALOG_JSON_MEMBER_HPP
#define SKYLARKHILL_CATALOG_JSON_MEMBER_HPP

#include "skylarkhill/base/json.hpp"

namespace skylarkhill::catalog {

/// Adds `aMember` to an object under the key `aKey`.
void
AddMember(base::JsonValue& aObject, const char* aKey, base::JsonValue aMember);

} // namespace skylarkhill::catalog

#endif // SKYLARKHILL_CATALOG_JSON_MEMBER_HPP
