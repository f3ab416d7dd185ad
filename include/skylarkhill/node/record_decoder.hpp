#ifndef SKYLARKHILL_NODE_RECORD_DECODER_HPP
#define SKYLARKHILL_NODE_RECORD_DECODER_HPP

#include "skylarkhill/dispatch/worker.hpp"
#include "skylarkhill/node/route_table.hpp"
#include "skylarkhill/node/shared_log.hpp"

#include <memory>
#include <optional>

namespace skylarkhill::node {

/// Decodes the records that the platform writes.
class RecordDecoder
{
public:
  virtual ~RecordDecoder() = default;
  /// nullptr if the record is not a configuration or is malformed. Malformed
  /// members of a route are replaced by defaults.
  virtual std::shared_ptr<const RouteTable> DecodeRoutes(
    const LogRecord& aRecord) const = 0;
  /// Empty if the record is malformed or the worker is in an unknown state.
  virtual std::optional<dispatch::WorkerEntry> DecodeWorker(
    const LogRecord& aRecord) const = 0;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_RECORD_DECODER_HPP
