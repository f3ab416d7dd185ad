#include "skylarkhill/testing/standin.hpp"

#include <csignal>
#include <iostream>

namespace skylarkhill::testing {

int
RunStandin(const http::ServerOptions& aOptions,
           http::Handler& aHandler,
           const std::function<void()>& aBeforeStop)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  auto server = http::CreateServer(aOptions, aHandler);
  if (server.has_error()) {
    std::cerr << server.error().mDetail << std::endl;
    return 1;
  }
  std::cout << "listening " << server.value()->Port() << std::endl;
  int number = 0;
  sigwait(&signals, &number);
  aBeforeStop();
  server.value()->Stop();
  return 0;
}

} // namespace skylarkhill::testing
