#include "skylarkhill/platform/instance_list.hpp"

#include "skylarkhill/base/name_table.hpp"

namespace skylarkhill::platform {

namespace {

constexpr base::NameTable<InstanceRole, 2> kRoleNames{ {
  { InstanceRole::Entry, "entry" },
  { InstanceRole::Worker, "worker" },
} };

constexpr base::NameTable<InstanceState, 2> kStateNames{ {
  { InstanceState::Live, "live" },
  { InstanceState::Leaving, "leaving" },
} };

} // namespace

std::string_view
NameOf(InstanceRole aRole)
{
  return base::FindName(kRoleNames, aRole);
}

std::string_view
NameOf(InstanceState aState)
{
  return base::FindName(kStateNames, aState);
}

} // namespace skylarkhill::platform
