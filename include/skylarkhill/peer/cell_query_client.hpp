#ifndef SKYLARKHILL_PEER_CELL_QUERY_CLIENT_HPP
#define SKYLARKHILL_PEER_CELL_QUERY_CLIENT_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/metrics/registry.hpp"
#include "skylarkhill/node/cell_queries.hpp"

#include <memory>

namespace skylarkhill::peer {

/// Asks the instances that follow a cell, one after the other, until one
/// answers. All arguments must outlive the result.
std::unique_ptr<node::CellQueries>
CreateCellQueryClient(const node::CellFollowers& aFollowers,
                      const base::Clock& aClock,
                      metrics::Registry& aMetrics);

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_PEER_CELL_QUERY_CLIENT_HPP
