#include "skylarkhill/testing/raw_connection.hpp"

#include <cxxtools/ioerror.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <exception>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace skylarkhill::testing {

using base::ErrorKind;
using base::MakeError;

namespace {

// The maximum size of a TLS record. A read of this size leaves no decrypted
// data in the TLS layer, so polling the descriptor is sufficient.
constexpr std::size_t kReadSize = std::size_t{ 16 } << 10;
constexpr std::string_view kHeadTerminator = "\r\n\r\n";
constexpr int kVerifyPeer = 2;
constexpr std::int64_t kMaxTimeoutMs = 86'400'000;

base::Result<void>
Success()
{
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// Runs `aOperation` and converts its exceptions to errors.
template<typename Operation>
base::Result<void>
ConvertExceptions(const Operation& aOperation)
{
  try {
    aOperation();
    return Success();
  } catch (const cxxtools::IOTimeout&) {
    return MakeError(ErrorKind::DeadlineExceeded,
                     "no progress by the deadline");
  } catch (const std::exception& e) {
    return MakeError(ErrorKind::ConnectionLost, e.what());
  }
}

} // namespace

RawConnection::RawConnection(const base::Clock& aClock)
  : mClock(aClock)
{
}

base::Result<void>
RawConnection::SetTimeout(base::TimePoint aDeadline)
{
  const base::Duration remaining = base::Remaining(mClock.Now(), aDeadline);
  if (remaining.count() <= 0) {
    return MakeError(ErrorKind::DeadlineExceeded, "the deadline has passed");
  }
  // Rounded up, as a timeout of 0 ms would fail at once.
  const std::int64_t ms =
    std::min((remaining.count() + 999) / 1000, kMaxTimeoutMs);
  mSocket.setTimeout(cxxtools::Milliseconds(static_cast<long>(ms)));
  return Success();
}

base::Result<void>
RawConnection::Connect(const std::string& aAddress,
                       std::uint16_t aPort,
                       const http::TlsOptions& aTls,
                       base::TimePoint aDeadline)
{
  BOOST_OUTCOME_TRYV(SetTimeout(aDeadline));
  BOOST_OUTCOME_TRYV(
    ConvertExceptions([&] { mSocket.connect(aAddress, aPort); }));
  if (!aTls.mUseTls) {
    return Success();
  }
  BOOST_OUTCOME_TRYV(SetTimeout(aDeadline));
  return ConvertExceptions([&] {
    if (!aTls.mCertificateFile.empty()) {
      mSocket.loadSslCertificateFile(aTls.mCertificateFile, aTls.mKeyFile);
    }
    if (!aTls.mCaFile.empty()) {
      mSocket.setSslVerify(kVerifyPeer, aTls.mCaFile);
    }
    mSocket.sslConnect();
  });
}

void
RawConnection::Accept(cxxtools::net::TcpServer& aServer)
{
  mSocket.accept(aServer);
}

base::Result<void>
RawConnection::AcceptTls(const http::TlsOptions& aTls,
                         base::TimePoint aDeadline)
{
  if (aTls.mCertificateFile.empty()) {
    return Success();
  }
  BOOST_OUTCOME_TRYV(SetTimeout(aDeadline));
  return ConvertExceptions([&] {
    mSocket.loadSslCertificateFile(aTls.mCertificateFile, aTls.mKeyFile);
    if (!aTls.mCaFile.empty()) {
      mSocket.setSslVerify(kVerifyPeer, aTls.mCaFile);
    }
    mSocket.sslAccept();
  });
}

base::Result<void>
RawConnection::Write(std::string_view aData, base::TimePoint aDeadline)
{
  while (!aData.empty()) {
    BOOST_OUTCOME_TRYV(SetTimeout(aDeadline));
    std::size_t written = 0;
    BOOST_OUTCOME_TRYV(ConvertExceptions(
      [&] { written = mSocket.write(aData.data(), aData.size()); }));
    aData.remove_prefix(std::min(written, aData.size()));
  }
  return Success();
}

base::Result<void>
RawConnection::FillBuffer(base::TimePoint aDeadline)
{
  BOOST_OUTCOME_TRYV(SetTimeout(aDeadline));
  std::array<char, kReadSize> buf{};
  std::size_t n = 0;
  BOOST_OUTCOME_TRYV(
    ConvertExceptions([&] { n = mSocket.read(buf.data(), buf.size()); }));
  if (n == 0) {
    return MakeError(ErrorKind::ConnectionLost, "closed by the peer");
  }
  mBuffer.append(buf.data(), n);
  return Success();
}

base::Result<std::string>
RawConnection::ReadHead(std::size_t aLimit, base::TimePoint aDeadline)
{
  std::size_t searched = 0;
  while (true) {
    const std::size_t end = mBuffer.find(kHeadTerminator, searched);
    const std::size_t size =
      end == std::string::npos ? mBuffer.size() : end + kHeadTerminator.size();
    if (size > aLimit) {
      return MakeError(ErrorKind::PayloadTooLarge,
                       "the header exceeds " + std::to_string(aLimit) +
                         " bytes");
    }
    if (end != std::string::npos) {
      std::string head = mBuffer.substr(0, size);
      mBuffer.erase(0, size);
      return head;
    }
    searched =
      mBuffer.size() - std::min(mBuffer.size(), kHeadTerminator.size() - 1);
    BOOST_OUTCOME_TRYV(FillBuffer(aDeadline));
  }
}

base::Result<std::string>
RawConnection::ReadBody(std::size_t aLength, base::TimePoint aDeadline)
{
  while (mBuffer.size() < aLength) {
    BOOST_OUTCOME_TRYV(FillBuffer(aDeadline));
  }
  std::string body = mBuffer.substr(0, aLength);
  mBuffer.erase(0, aLength);
  return body;
}

void
RawConnection::EndWriting()
{
  shutdown(Descriptor(), SHUT_WR);
}

bool
RawConnection::DiscardInput()
{
  std::array<char, kReadSize> buf{};
  ssize_t n = 0;
  do {
    n = recv(Descriptor(), buf.data(), buf.size(), MSG_DONTWAIT);
  } while (n > 0);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool
RawConnection::IsReadable() const
{
  pollfd entry{ Descriptor(), POLLIN, 0 };
  return poll(&entry, 1, 0) != 0;
}

int
RawConnection::Descriptor() const
{
  return mSocket.getFd();
}

std::string
RawConnection::PeerAddress() const
{
  return mSocket.getPeerAddr();
}

} // namespace skylarkhill::testing
