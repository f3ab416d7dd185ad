#include "skylarkhill/node/route_table.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::node {

RouteTable::RouteTable(std::int64_t aVersion, std::vector<Route> aRoutes)
  : mVersion(aVersion)
  , mCount(aRoutes.size())
{
  for (auto& it : aRoutes) {
    auto& routes = mByHost[it.mHost];
    routes.push_back(std::move(it));
  }
  for (auto& [host, routes] : mByHost) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const Route& aLeft, const Route& aRight) {
                       return aLeft.mPathPrefix.size() >
                              aRight.mPathPrefix.size();
                     });
  }
}

std::optional<RouteMatch>
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  // The Host field may contain a port.
  const auto found = mByHost.find(aHost.substr(0, aHost.find(':')));
  if (found == mByHost.end()) {
    return std::nullopt;
  }
  for (const Route& it : found->second) {
    if (aPath.substr(0, it.mPathPrefix.size()) == it.mPathPrefix) {
      return RouteMatch{ &it,
                         std::string(aPath.substr(it.mPathPrefix.size())) };
    }
  }
  return std::nullopt;
}

} // namespace skylarkhill::node
