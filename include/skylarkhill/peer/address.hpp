#ifndef SKYLARKHILL_PEER_ADDRESS_HPP
#define SKYLARKHILL_PEER_ADDRESS_HPP

#include <cstdint>
#include <string>
#include <tuple>

namespace skylarkhill::peer {

/// Address at which an entry instance accepts messages from its peers.
struct PeerAddress
{
  /// IP address in its canonical text form.
  std::string mIp;
  std::uint16_t mPort = 0;

  friend bool operator==(const PeerAddress& aLeft, const PeerAddress& aRight)
  {
    return aLeft.mIp == aRight.mIp && aLeft.mPort == aRight.mPort;
  }
  friend bool operator<(const PeerAddress& aLeft, const PeerAddress& aRight)
  {
    return std::tie(aLeft.mIp, aLeft.mPort) <
           std::tie(aRight.mIp, aRight.mPort);
  }
};

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_PEER_ADDRESS_HPP
