#ifndef SKYLARKHILL_HTTP_TARGET_HPP
#define SKYLARKHILL_HTTP_TARGET_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/http/message.hpp"

#include <string_view>

namespace skylarkhill::http {

/// Sets the path and the query of `aRequest`. `aPath` is already decoded by
/// cxxtools, `aQuery` is as received. InvalidArgument if either is malformed or
/// not UTF-8, or if a query parameter is repeated.
base::Result<void>
ParseTarget(std::string_view aPath, std::string_view aQuery, Request& aRequest);

} // namespace skylarkhill::http

#endif // SKYLARKHILL_HTTP_TARGET_HPP
