#include "skylarkhill/policy/profiles.hpp"

#include "skylarkhill/base/name_table.hpp"

namespace skylarkhill::policy {

namespace {

constexpr base::NameTable<Profile, 3> kProfileNames{ {
  { Profile::Baseline, "baseline" },
  { Profile::Throughput, "throughput" },
  { Profile::Tail, "tail" },
} };

} // namespace

std::string_view
NameOf(Profile aProfile)
{
  return base::FindName(kProfileNames, aProfile);
}

std::optional<Profile>
ParseProfile(std::string_view aName)
{
  return base::FindValue(kProfileNames, aName);
}

} // namespace skylarkhill::policy
