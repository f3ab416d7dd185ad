#ifndef SKYLARKHILL_HTTP_CLIENT_HPP
#define SKYLARKHILL_HTTP_CLIENT_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/http/message.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace skylarkhill::http {

/// How often a request may reach the server.
enum class Delivery
{
  /// For requests that may run twice: uses pooled connections and sends the
  /// request again if a pooled connection turns out to be closed.
  Idempotent,
  /// Sends the request once, on a new connection that is not reused.
  AtMostOnce,
};

/// One call to a server.
struct ClientRequest
{
  std::string mMethod = "GET";
  /// Path and query, percent-encoded.
  std::string mTarget = "/";
  std::string mBody;
  std::vector<Field> mHeaders;
  Delivery mDelivery = Delivery::AtMostOnce;
};

/// Calls one server. Thread-safe.
class Client
{
public:
  virtual ~Client() = default;
  /// The complete response, whatever its status. InvalidArgument (malformed
  /// request) or WorkerUnavailable (no connection, or the deadline had passed
  /// before the call): nothing was sent. ConnectionLost or DeadlineExceeded:
  /// the server may have received the request.
  /// A response has mIsPossiblyResent set if a pooled connection was closed and
  /// the request sent again.
  virtual base::Result<Response> Call(const ClientRequest& aRequest,
                                      base::TimePoint aDeadline) = 0;
};

/// Server address and limits of a client. TLS is not supported: the HTTP client
/// of cxxtools 3.0.0 fails every handshake because of a missing key file.
struct ClientOptions
{
  /// IP address.
  std::string mAddress;
  std::uint16_t mPort = 0;
  std::size_t mMaxHeadBytes = std::size_t{ 16 } << 10;
  std::size_t mMaxBodyBytes = std::size_t{ 64 } << 20;
  /// Idle connections kept in the pool; further ones are closed.
  std::size_t mMaxIdleConnections = 8;
  /// A pooled connection that was idle for this long is not reused. Must be
  /// well below the idle timeout of the server.
  base::Duration mMaxIdleTime = std::chrono::seconds(5);
};

/// Connects on the first call. `aClock` must outlive the client.
std::unique_ptr<Client>
CreateClient(ClientOptions aOptions, const base::Clock& aClock);

} // namespace skylarkhill::http

#endif // SKYLARKHILL_HTTP_CLIENT_HPP
