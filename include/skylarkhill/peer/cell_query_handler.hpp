#ifndef SKYLARKHILL_PEER_CELL_QUERY_HANDLER_HPP
#define SKYLARKHILL_PEER_CELL_QUERY_HANDLER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/http/server.hpp"
#include "skylarkhill/node/cell_queries.hpp"

#include <memory>

namespace skylarkhill::peer {

/// Serves the questions of other instances about the cells that this instance
/// follows. `aLocal` must answer without asking other instances; it is also
/// asked about cells that do not exist. Both arguments must outlive the result.
std::unique_ptr<http::Handler>
CreateCellQueryHandler(node::CellQueries& aLocal, const base::Clock& aClock);

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_PEER_CELL_QUERY_HANDLER_HPP
