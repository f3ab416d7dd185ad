#ifndef SKYLARKHILL_HTTP_TLS_OPTIONS_HPP
#define SKYLARKHILL_HTTP_TLS_OPTIONS_HPP

#include <string>

namespace skylarkhill::http {

/// TLS configuration; all files are in PEM format.
struct TlsOptions
{
  /// A server uses TLS if this is set. A client presents it to the server.
  std::string mCertificateFile;
  /// Empty if the key is in the certificate file.
  std::string mKeyFile;
  /// If set, the peer must present a certificate issued by this authority.
  std::string mCaFile;
  /// Whether testing::RawConnection uses TLS; http::Client does not support it.
  bool mUseTls = false;
};

} // namespace skylarkhill::http

#endif // SKYLARKHILL_HTTP_TLS_OPTIONS_HPP
