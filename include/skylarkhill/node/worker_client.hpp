#ifndef SKYLARKHILL_NODE_WORKER_CLIENT_HPP
#define SKYLARKHILL_NODE_WORKER_CLIENT_HPP

#include "skylarkhill/dispatch/dispatcher.hpp"
#include "skylarkhill/dispatch/worker.hpp"

#include <cstdint>

namespace skylarkhill::node {

/// Makes the dispatcher's calls to workers, with the epoch of the current term
/// as the fencing token. Not thread-safe: used on the call loop's thread only.
class WorkerClient : public dispatch::CallSink
{
public:
  /// Called at the end of a term; the outcomes of calls in flight are dropped.
  virtual void ClearDispatcher() = 0;
  /// Called when the dispatcher of a term starts; outcomes are passed to it.
  virtual void SetDispatcher(std::int64_t aEpoch,
                             dispatch::Dispatcher& aDispatcher) = 0;
};

/// The worker clients of an instance, one for each cell.
class WorkerClients
{
public:
  virtual ~WorkerClients() = default;
  /// The client stays valid for the lifetime of this object.
  virtual WorkerClient& ClientOf(int aCell) = 0;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_WORKER_CLIENT_HPP
