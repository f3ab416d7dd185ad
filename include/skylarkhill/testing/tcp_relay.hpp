#ifndef SKYLARKHILL_TESTING_TCP_RELAY_HPP
#define SKYLARKHILL_TESTING_TCP_RELAY_HPP

#include "skylarkhill/base/clock.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

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

/// What becomes of one open connection. In all cases but None, data that was
/// not forwarded is lost.
enum class ConnectionFault
{
  None,
  Close,
  Reset,
  /// The target is gone without a word: the client's connection stays open, and
  /// what it sends is lost.
  Silence,
  /// The same, until the client sends something, which resets the connection.
  SilenceUntilData,
};

struct RelayEndpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/// Connections to `mListen` are forwarded to `mTarget`.
struct RelayRoute
{
  RelayEndpoint mListen;
  RelayEndpoint mTarget;
};

/// A TCP proxy that injects link faults between clients and targets.
class TcpRelay
{
public:
  /// Throws std::runtime_error if it cannot listen on `aListen`.
  TcpRelay(const RelayEndpoint& aListen, const RelayEndpoint& aTarget);
  /// The same with several routes, which have their faults in common.
  explicit TcpRelay(const std::vector<RelayRoute>& aRoutes);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  void SetMode(LinkMode aMode, base::Duration aDelay);
  /// Injects into each open connection the fault that `aChoose` returns, and
  /// returns once that is done. `aChoose` is not called after that.
  void DisturbConnections(const std::function<ConnectionFault()>& aChoose);

private:
  struct Connection;

  struct Listener
  {
    int mSocket = -1;
    RelayEndpoint mTarget;
  };

  void Listen(const RelayRoute& aRoute);
  void CloseListeners();
  void Run();
  void Accept(const Listener& aListener);
  void Forward(Connection& aConnection);
  static void DiscardInput(Connection& aConnection);
  void RemoveClosed();
  void CloseAfterCut();
  void DisturbIfRequested();

  std::vector<Listener> mListeners;
  std::atomic<LinkMode> mMode{ LinkMode::Open };
  std::atomic<std::int64_t> mDelayMicros{ 0 };
  std::atomic<bool> mStop{ false };
  /// Set while DisturbConnections waits.
  std::atomic<const std::function<ConnectionFault()>*> mChoose{ nullptr };
  /// Held by one call of DisturbConnections at a time.
  std::mutex mDisturbLock;
  bool mWasCut = false;
  std::list<Connection> mConnections;
  std::thread mThread;
};

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_TCP_RELAY_HPP
