#ifndef SKYLARKHILL_SRC_PEER_NNG_SOCKET_HPP
#define SKYLARKHILL_SRC_PEER_NNG_SOCKET_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/peer/address.hpp"

#include <nng/nng.h>

#include <cstdint>
#include <string>

namespace skylarkhill::peer {

/// ConnectionLost with nng's error message if the nng call `aOperation`
/// returned an error.
base::Result<void>
CheckNng(int aCode, const char* aOperation);

/// The nng URL of `aAddress`.
std::string
FormatUrl(const PeerAddress& aAddress);

/// IP address of the remote end of `aPipe`; empty if unknown.
std::string
GetRemoteIp(nng_pipe aPipe);

/// Starts listening; returns the bound port.
base::Result<std::uint16_t>
ListenOn(nng_socket aSocket, const PeerAddress& aAddress);

/// Opens a push socket without a send buffer.
base::Result<nng_socket>
OpenPushSocket();

/// Connects `aSocket` from `aSourceIp` to `aPeer` in the background and
/// reconnects after every failure.
base::Result<void>
StartDialer(nng_socket aSocket,
            const PeerAddress& aPeer,
            const std::string& aSourceIp);

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_SRC_PEER_NNG_SOCKET_HPP
