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

/// A TCP or TLS connection with absolute deadlines. Every failure is
/// ConnectionLost or DeadlineExceeded; what it means is the caller's matter.
/// Not thread-safe.
class RawConnection
{
public:
  explicit RawConnection(const base::Clock& aClock);

  base::Result<void> Connect(const std::string& aAddress,
                             std::uint16_t aPort,
                             const http::TlsOptions& aTls,
                             base::TimePoint aDeadline);
  /// Takes the next connection of `aServer`; throws like cxxtools.
  void Accept(cxxtools::net::TcpServer& aServer);
  /// TLS handshake of the accepting side; does nothing without a certificate.
  base::Result<void> AcceptTls(const http::TlsOptions& aTls,
                               base::TimePoint aDeadline);

  base::Result<void> Write(std::string_view aData, base::TimePoint aDeadline);
  /// Reads up to and including the first empty line. PayloadTooLarge after
  /// `aLimit` bytes.
  base::Result<std::string> ReadHead(std::size_t aLimit,
                                     base::TimePoint aDeadline);
  base::Result<std::string> ReadBody(std::size_t aLength,
                                     base::TimePoint aDeadline);
  /// Tells the peer that no more bytes follow.
  void EndWriting();
  /// Discards the input that has arrived, without waiting. False when the peer
  /// has closed.
  bool DiscardInput();

  /// True if bytes were read that belong to the next message.
  bool HasBufferedInput() const { return !mBuffer.empty(); }
  /// True if a read would not block: input, end or failure.
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
