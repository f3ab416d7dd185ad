#include "skylarkhill/http/endpoint.hpp"

#include <cstdlib>

namespace skylarkhill::http {

base::Result<Endpoint>
ParseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  const auto port = colon == std::string::npos
                      ? 0
                      : std::strtoul(aText.c_str() + colon + 1, nullptr, 10);
  if (port == 0 || port > 65535) {
    return base::MakeError(base::ErrorKind::InvalidArgument,
                           "'" + aText + "' is not IP:PORT");
  }
  return Endpoint{ aText.substr(0, colon), static_cast<std::uint16_t>(port) };
}

} // namespace skylarkhill::http
