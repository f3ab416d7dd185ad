#ifndef SKYLARKHILL_HTTP_CALL_LOOP_HPP
#define SKYLARKHILL_HTTP_CALL_LOOP_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/http/client.hpp"
#include "skylarkhill/http/message.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace skylarkhill::http {

/// Receives the outcome of one call: a complete response, DeadlineExceeded or
/// ConnectionLost (the server may have received the request in both cases) or
/// WorkerUnavailable (no connection could be made).
using CallHandler = std::function<void(base::Result<Response>)>;

/// Many HTTP calls at once on one thread. Every member function except Wake
/// belongs to the thread that calls Wait.
class CallLoop
{
public:
  virtual ~CallLoop() = default;
  /// Sends `aRequest` to `aAddress` ("IP:PORT") on a pooled connection. May
  /// arrive twice, so requests must be idempotent. `aHandler` is called from
  /// Wait.
  virtual void Call(const std::string& aAddress,
                    const ClientRequest& aRequest,
                    base::TimePoint aDeadline,
                    CallHandler aHandler) = 0;
  /// Handles what arrives until `aDeadline`, Wake or the first outcome.
  virtual void Wait(base::TimePoint aDeadline) = 0;
  /// Ends a Wait early. Thread-safe.
  virtual void Wake() = 0;
  /// Calls without an outcome yet.
  virtual std::size_t InFlight() const = 0;
};

/// `aClock` must outlive the loop.
std::unique_ptr<CallLoop>
CreateCallLoop(const base::Clock& aClock);

} // namespace skylarkhill::http

#endif // SKYLARKHILL_HTTP_CALL_LOOP_HPP
