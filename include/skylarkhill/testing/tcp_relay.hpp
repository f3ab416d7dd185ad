#ifndef SKYLARKHILL_TESTING_TCP_RELAY_HPP
#define SKYLARKHILL_TESTING_TCP_RELAY_HPP

#include "skylarkhill/base/clock.hpp"

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <thread>

namespace skylarkhill::testing {

/// How a relay handles its connections.
enum class LinkMode
{
  /// Forwards all data after the delay.
  Open,
  /// Forwards nothing. Connections that were open meanwhile are closed when
  /// the mode is no longer Cut.
  Cut,
  /// Forwards nothing until the mode is Open again, and then all data.
  Silent,
};

struct RelayEndpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/// A TCP proxy that injects link faults between a client and `aTarget`.
class TcpRelay
{
public:
  /// Throws std::runtime_error if it cannot listen on `aListen`.
  TcpRelay(const RelayEndpoint& aListen, const RelayEndpoint& aTarget);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  void SetMode(LinkMode aMode, base::Duration aDelay);
  /// Closes all connections, as the end of the process at the target does, and
  /// returns once they are closed. Data that was not forwarded is lost.
  void CloseConnections();

private:
  struct Connection;

  void Run();
  void Accept();
  void Forward(Connection& aConnection);
  void CloseAfterCut();
  void CloseIfRequested();

  const RelayEndpoint mTarget;
  int mListener = -1;
  std::atomic<LinkMode> mMode{ LinkMode::Open };
  std::atomic<std::int64_t> mDelayMicros{ 0 };
  std::atomic<bool> mStop{ false };
  std::atomic<bool> mMustClose{ false };
  bool mWasCut = false;
  std::list<Connection> mConnections;
  std::thread mThread;
};

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_TCP_RELAY_HPP
