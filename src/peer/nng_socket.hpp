#ifndef SKYLARKHILL_SRC_PEER_NNG_SOCKET_HPP
#define SKYLARKHILL_SRC_PEER_NNG_SOCKET_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/peer/address.hpp"

#include <nng/nng.h>

#include <cstdint>
#include <string>

namespace skylarkhill::peer {

/// ConnectionLost with nng's text if `aCode` is an error.
base::Result<void>
CheckNng(int aCode, const char* aOperation);

/// URL of `aAddress` for nng.
std::string
FormatUrl(const PeerAddress& aAddress);

/// IP address of the other end of `aPipe`; empty if it is unknown.
std::string
GetRemoteHost(nng_pipe aPipe);

/// Starts listening; returns the bound port.
base::Result<std::uint16_t>
ListenOn(nng_socket aSocket, const PeerAddress& aAddress);

/// Opens a push socket that keeps no messages.
base::Result<nng_socket>
OpenPushSocket();

/// Connects `aSocket` to `aPeer` from `aSourceHost` in the background, again
/// and again.
base::Result<void>
StartDialer(nng_socket aSocket,
            const PeerAddress& aPeer,
            const std::string& aSourceHost);

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_SRC_PEER_NNG_SOCKET_HPP
