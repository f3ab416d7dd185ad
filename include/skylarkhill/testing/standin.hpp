#ifndef SKYLARKHILL_TESTING_STANDIN_HPP
#define SKYLARKHILL_TESTING_STANDIN_HPP

#include "skylarkhill/http/server.hpp"

#include <functional>

namespace skylarkhill::testing {

/// Runs a stand-in, a test program that serves a fake over HTTP.
///
/// Serves requests until SIGTERM or SIGINT, then calls `aBeforeStop` and stops
/// gracefully. Prints "listening <port>" when ready. Returns the exit code.
/// Must be called before any thread is started, since it blocks these signals.
int
RunStandin(const http::ServerOptions& aOptions,
           http::Handler& aHandler,
           const std::function<void()>& aBeforeStop);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_STANDIN_HPP
