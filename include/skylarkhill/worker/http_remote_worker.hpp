#ifndef SKYLARKHILL_WORKER_HTTP_REMOTE_WORKER_HPP
#define SKYLARKHILL_WORKER_HTTP_REMOTE_WORKER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/worker/remote_worker.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace skylarkhill::worker {

/// Creates a client of the worker that listens at the IP address `aAddress`.
/// Besides the errors of RemoteWorker, Stop may return NotFound: the worker
/// does not know the attempt and will not start it any more. `aClock` must
/// outlive the result.
std::unique_ptr<RemoteWorker>
CreateHttpRemoteWorker(std::string aAddress,
                       std::uint16_t aPort,
                       const base::Clock& aClock);

} // namespace skylarkhill::worker

#endif // SKYLARKHILL_WORKER_HTTP_REMOTE_WORKER_HPP
