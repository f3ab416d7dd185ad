#ifndef SKYLARKHILL_NODE_ROUTE_TABLE_HPP
#define SKYLARKHILL_NODE_ROUTE_TABLE_HPP

#include "skylarkhill/jobs/job.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::node {

/// Maps the requests for a host and a path prefix to a queue.
struct Route
{
  std::string mHost;
  std::string mPathPrefix;
  jobs::QueuePolicy mPolicy;
};

/// The route of a request.
struct RouteMatch
{
  const Route* mRoute = nullptr;
  /// The path after the prefix.
  std::string mPathSuffix;
};

/// The routes of one version of the configuration. Immutable.
class RouteTable
{
public:
  RouteTable(std::int64_t aVersion, std::vector<Route> aRoutes);

  std::int64_t Version() const { return mVersion; }
  std::size_t Size() const { return mCount; }
  /// The route of `aHost` with the longest prefix that matches `aPath`.
  std::optional<RouteMatch> Find(std::string_view aHost,
                                 std::string_view aPath) const;

private:
  const std::int64_t mVersion;
  const std::size_t mCount;
  /// Routes by host, sorted by descending prefix length.
  std::map<std::string, std::vector<Route>, std::less<>> mByHost;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_ROUTE_TABLE_HPP
