#ifndef SKYLARKHILL_TESTING_RAW_CONNECTION_HPP
#define SKYLARKHILL_TESTING_RAW_CONNECTION_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/http/tls_options.hpp"

#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkhill::testing {

/// A TCP or TLS connection with absolute deadlines. Operations fail with
/// ConnectionLost or DeadlineExceeded unless stated otherwise. Not thread-safe.
class RawConnection
{
public:
  explicit RawConnection(const base::Clock& aClock);

  base::Result<void> Connect(const std::string& aAddress,
                             std::uint16_t aPort,
                             const http::TlsOptions& aTls,
                             base::TimePoint aDeadline);
  /// Accepts the next connection of `aServer`. Throws cxxtools' exceptions.
  void Accept(cxxtools::net::TcpServer& aServer);
  /// Performs the server side of the TLS handshake, if a certificate is set.
  base::Result<void> AcceptTls(const http::TlsOptions& aTls,
                               base::TimePoint aDeadline);

  base::Result<void> Write(std::string_view aData, base::TimePoint aDeadline);
  /// Reads up to and including the first empty line. Fails with PayloadTooLarge
  /// if that exceeds `aLimit` bytes.
  base::Result<std::string> ReadHead(std::size_t aLimit,
                                     base::TimePoint aDeadline);
  base::Result<std::string> ReadBody(std::size_t aLength,
                                     base::TimePoint aDeadline);
  /// Closes the sending direction of the connection.
  void EndWriting();
  /// Discards received input without blocking. False if the connection has been
  /// closed or has failed.
  bool DiscardInput();

  /// True if bytes after the last returned head or body have been read.
  bool HasBufferedInput() const { return !mBuffer.empty(); }
  /// True if a read would not block: input, end of input or an error.
  bool IsReadable() const;
  int Descriptor() const;
  std::string PeerAddress() const;

private:
  /// Appends at least one byte to the buffer.
  base::Result<void> FillBuffer(base::TimePoint aDeadline);
  base::Result<void> SetTimeout(base::TimePoint aDeadline);

  const base::Clock& mClock;
  cxxtools::net::TcpSocket mSocket;
  std::string mBuffer;
};

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_RAW_CONNECTION_HPP
