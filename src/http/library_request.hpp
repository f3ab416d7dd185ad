#ifndef SKYLARKHILL_HTTP_LIBRARY_REQUEST_HPP
#define SKYLARKHILL_HTTP_LIBRARY_REQUEST_HPP

#include "skylarkhill/http/client.hpp"

#include <cxxtools/http/request.h>

namespace skylarkhill::http {

/// Converts `aRequest` to a request of cxxtools.
cxxtools::http::Request
ToLibraryRequest(const ClientRequest& aRequest);

} // namespace skylarkhill::http

#endif // SKYLARKHILL_HTTP_LIBRARY_REQUEST_HPP
