#ifndef SKYLARKHILL_HTTP_CALL_LOOP_HPP
#define SKYLARKHILL_HTTP_CALL_LOOP_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/http/client.hpp"
#include "skylarkhill/http/message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace skylarkhill::http {

/// Receives the result of one call: a complete response, DeadlineExceeded or
/// ConnectionLost (in both cases the server may have received the request), or
/// WorkerUnavailable (no connection was established).
using CallHandler = std::function<void(base::Result<Response>)>;

/// Event loop for concurrent HTTP calls on one thread. Only Wake may be called
/// from other threads than the one that calls Wait.
class CallLoop
{
public:
  virtual ~CallLoop() = default;
  /// Sends `aRequest` to `aEndpoint` ("IP:PORT") on a pooled connection. The
  /// request may arrive twice, so it must be idempotent; the response then has
  /// mIsPossiblyResent set. `aHandler` is called from Wait.
  virtual void Call(const std::string& aEndpoint,
                    const ClientRequest& aRequest,
                    base::TimePoint aDeadline,
                    CallHandler aHandler) = 0;
  /// Sends `aRequest` once, on a pooled connection with the mark `aMark` that
  /// has stayed open since it was marked, so that only the process that has
  /// accepted the connection can receive it. Returns false, and calls no
  /// handler, if there is no such connection. The result is ConnectionLost if
  /// the connection is closed meanwhile.
  virtual bool CallMarked(const std::string& aEndpoint,
                          std::int64_t aMark,
                          const ClientRequest& aRequest,
                          base::TimePoint aDeadline,
                          CallHandler aHandler) = 0;
  /// Called by a handler: marks the connection of its response, which is pooled
  /// already.
  virtual void MarkConnection(std::int64_t aMark) = 0;
  /// Handles input until `aDeadline`, a call of Wake, or the first completed
  /// call, whichever comes first. May return earlier.
  virtual void Wait(base::TimePoint aDeadline) = 0;
  /// Ends a Wait early. Thread-safe.
  virtual void Wake() = 0;
  /// Number of calls that have not completed.
  virtual std::size_t InFlight() const = 0;
};

/// `aClock` must outlive the loop.
std::unique_ptr<CallLoop>
CreateCallLoop(const base::Clock& aClock);

} // namespace skylarkhill::http

#endif // SKYLARKHILL_HTTP_CALL_LOOP_HPP
