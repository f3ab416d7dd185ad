#ifndef SKYLARKHILL_HTTP_ENDPOINT_HPP
#define SKYLARKHILL_HTTP_ENDPOINT_HPP

#include "skylarkhill/base/error.hpp"

#include <cstdint>
#include <string>

namespace skylarkhill::http {

/// IP address and port of a server.
struct Endpoint
{
  std::string mIp;
  std::uint16_t mPort = 0;
};

/// Parses "IP:PORT". InvalidArgument unless the address is one of IPv4 and the
/// port is from 1 to 65535.
base::Result<Endpoint>
ParseEndpoint(const std::string& aText);

} // namespace skylarkhill::http

#endif // SKYLARKHILL_HTTP_ENDPOINT_HPP
