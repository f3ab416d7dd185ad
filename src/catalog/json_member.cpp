#include "skylarkhill/catalog/json_member.hpp"

namespace skylarkhill::catalog {

// The swap also replaces the key of the member, so the key is set afterwards.
void
AddMember(base::JsonValue& aObject, const char* aKey, base::JsonValue aMember)
{
  base::JsonValue& member = aObject.addMember();
  member.swap(aMember);
  member.setName(aKey);
}

} // namespace skylarkhill::catalog
