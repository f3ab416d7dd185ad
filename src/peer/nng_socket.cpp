#include "nng_socket.hpp"

#include <nng/protocol/pipeline0/push.h>

#include <arpa/inet.h>
#include <array>
#include <cstdint>
#include <cstring>
#include <netinet/in.h>

namespace skylarkhill::peer {

using base::ErrorKind;
using base::MakeError;

namespace {

// The connection to a restarted peer is restored within one heartbeat interval;
// an unreachable peer causes at most two connection attempts per second.
constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 500;

} // namespace

base::Result<void>
CheckNng(int aCode, const char* aOperation)
{
  if (aCode == 0) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  return MakeError(ErrorKind::ConnectionLost,
                   std::string(aOperation) + ": " + nng_strerror(aCode));
}

std::string
FormatUrl(const PeerAddress& aAddress)
{
  const bool isV6 = aAddress.mIp.find(':') != std::string::npos;
  const std::string host = isV6 ? "[" + aAddress.mIp + "]" : aAddress.mIp;
  return "tcp://" + host + ":" + std::to_string(aAddress.mPort);
}

std::string
GetRemoteIp(nng_pipe aPipe)
{
  nng_sockaddr remote{};
  if (nng_pipe_get_addr(aPipe, NNG_OPT_REMADDR, &remote) != 0) {
    return {};
  }
  std::array<char, INET6_ADDRSTRLEN> text{};
  const char* shown = nullptr;
  if (remote.s_family == NNG_AF_INET) {
    shown = inet_ntop(AF_INET, &remote.s_in.sa_addr, text.data(), text.size());
  } else if (remote.s_family == NNG_AF_INET6) {
    shown = inet_ntop(AF_INET6, remote.s_in6.sa_addr, text.data(), text.size());
  }
  return shown == nullptr ? std::string() : std::string(shown);
}

base::Result<std::uint16_t>
ListenOn(nng_socket aSocket, const PeerAddress& aAddress)
{
  nng_listener listener = NNG_LISTENER_INITIALIZER;
  BOOST_OUTCOME_TRYV(CheckNng(
    nng_listen(aSocket, FormatUrl(aAddress).c_str(), &listener, 0), "listen"));
  int port = 0;
  BOOST_OUTCOME_TRYV(CheckNng(
    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port), "port"));
  return static_cast<std::uint16_t>(port);
}

base::Result<nng_socket>
OpenPushSocket()
{
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  BOOST_OUTCOME_TRYV(CheckNng(nng_push0_open(&socket), "open"));
  // With a send buffer, nng would keep messages for a disconnected peer and
  // deliver them after their deadline to the process that replaces it.
  nng_socket_set_int(socket, NNG_OPT_SENDBUF, 0);
  return socket;
}

base::Result<void>
StartDialer(nng_socket aSocket,
            const PeerAddress& aPeer,
            const std::string& aSourceIp)
{
  nng_dialer dialer = NNG_DIALER_INITIALIZER;
  BOOST_OUTCOME_TRYV(CheckNng(
    nng_dialer_create(&dialer, aSocket, FormatUrl(aPeer).c_str()), "dialer"));
  nng_sockaddr source{};
  if (inet_pton(AF_INET, aSourceIp.c_str(), &source.s_in.sa_addr) == 1) {
    source.s_in.sa_family = NNG_AF_INET;
  } else if (inet_pton(AF_INET6, aSourceIp.c_str(), source.s_in6.sa_addr) ==
             1) {
    source.s_in6.sa_family = NNG_AF_INET6;
  }
  BOOST_OUTCOME_TRYV(
    CheckNng(nng_dialer_set_addr(dialer, NNG_OPT_LOCADDR, &source), "source"));
  nng_dialer_set_ms(dialer, NNG_OPT_RECONNMINT, kReconnectMinMs);
  nng_dialer_set_ms(dialer, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
  return CheckNng(nng_dialer_start(dialer, NNG_FLAG_NONBLOCK), "dial");
}

} // namespace skylarkhill::peer
