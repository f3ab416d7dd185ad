#ifndef SKYLARKHILL_HTTP_SERVER_HPP
#define SKYLARKHILL_HTTP_SERVER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/http/message.hpp"
#include "skylarkhill/http/tls_options.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace skylarkhill::http {

/// Handles requests. Called concurrently from several threads.
class Handler
{
public:
  virtual ~Handler() = default;
  virtual Response Handle(const Request& aRequest) = 0;
};

/// Listening address and limits of a server.
struct ServerOptions
{
  std::string mAddress = "127.0.0.1";
  /// 0 selects a free port.
  std::uint16_t mPort = 0;
  TlsOptions mTls;
  /// Requests handled concurrently; further ones wait for a thread.
  std::size_t mMaxThreads = 64;
  /// Requests being handled or waiting for a thread; further ones fail with
  /// Overloaded.
  std::size_t mMaxRequests = 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 1 } << 20;
  /// Time from the first to the last byte of a request.
  base::Duration mReadTimeout = std::chrono::seconds(10);
  base::Duration mWriteTimeout = std::chrono::seconds(10);
  /// A connection on which no request arrives is closed after this time.
  base::Duration mIdleTimeout = std::chrono::seconds(60);
  /// How long a stopping server keeps answering requests on open connections
  /// with ShuttingDown.
  base::Duration mStopGrace = std::chrono::milliseconds(200);
};

/// Requests since the start of a server.
struct ServerCounters
{
  std::uint64_t mRequests = 0;
  /// Requests that were malformed, of unclear length or too large.
  std::uint64_t mRefusedRequests = 0;
};

/// A listening HTTP/1.1 server.
class Server
{
public:
  /// Calls Stop.
  virtual ~Server() = default;
  virtual std::uint16_t Port() const = 0;
  virtual ServerCounters Counters() const = 0;
  /// Refuses new requests with ShuttingDown and blocks until all requests in
  /// progress are answered.
  virtual void Stop() = 0;
};

/// Creates a server and starts listening. InvalidSettings if the address or a
/// TLS file cannot be used. `aHandler` must outlive the server.
base::Result<std::unique_ptr<Server>>
CreateServer(ServerOptions aOptions, Handler& aHandler);

} // namespace skylarkhill::http

#endif // SKYLARKHILL_HTTP_SERVER_HPP
