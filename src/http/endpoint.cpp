#include "skylarkhill/http/endpoint.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace skylarkhill::http {

namespace {

bool
IsIpv4Address(const std::string& aText)
{
  in_addr address{};
  return inet_pton(AF_INET, aText.c_str(), &address) == 1;
}

} // namespace

base::Result<Endpoint>
ParseEndpoint(const std::string& aText)
{
  Endpoint endpoint;
  const auto colon = aText.rfind(':');
  if (colon != std::string::npos) {
    endpoint.mIp = aText.substr(0, colon);
    const char* const end = aText.data() + aText.size();
    const auto parsed =
      std::from_chars(aText.data() + colon + 1, end, endpoint.mPort);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      endpoint.mPort = 0;
    }
  }
  if (endpoint.mPort == 0 || !IsIpv4Address(endpoint.mIp)) {
    return base::MakeError(base::ErrorKind::InvalidArgument,
                           "'" + aText + "' is not IP:PORT");
  }
  return endpoint;
}

} // namespace skylarkhill::http
