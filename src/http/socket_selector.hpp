#ifndef SKYLARKHILL_HTTP_SOCKET_SELECTOR_HPP
#define SKYLARKHILL_HTTP_SOCKET_SELECTOR_HPP

#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/selector.h>

#include <cstdint>
#include <unordered_map>
#include <unordered_set>

namespace skylarkhill::http {

/// Learns what becomes of a socket. Must not destroy it when called.
class SocketObserver
{
public:
  virtual ~SocketObserver() = default;
  /// The socket was closed, or opened again.
  virtual void OnReopened() = 0;
  /// True if the owner of the socket must not learn that the peer has closed
  /// it, because it would open it again. If it does so nevertheless, the socket
  /// is closed before it can send.
  virtual bool MustNotReopen() const = 0;
  /// Called instead: the peer has closed the socket, and nothing is left to
  /// read.
  virtual void OnClosedByPeer() = 0;
};

/// A selector for TCP sockets on epoll. In contrast to cxxtools::Selector, a
/// wait does not visit the sockets without activity. Handlers must not destroy
/// the socket that they are called for.
class SocketSelector : public cxxtools::SelectorBase
{
public:
  /// Throws std::system_error if the process is out of descriptors.
  SocketSelector();
  ~SocketSelector() override;

  /// Reports on the socket that was added last, unless it is observed already,
  /// until Forget is called.
  void ObserveNewest(SocketObserver& aObserver);
  /// Must be called before `aObserver` is destroyed.
  void Forget(const SocketObserver& aObserver);
  /// Closes the socket of `aObserver`, if any. Must not be called by a handler
  /// of that socket.
  void Close(const SocketObserver& aObserver);
  /// True if the socket of `aObserver` is open and has nothing to read, not
  /// even the end of the input.
  bool IsOpenAndQuiet(const SocketObserver& aObserver) const;
  /// Number of sockets visited since the start.
  std::uint64_t VisitedSockets() const { return mVisitedSockets; }

protected:
  void onAdd(cxxtools::Selectable& aDevice) override;
  void onRemove(cxxtools::Selectable& aDevice) override;
  void onReinit(cxxtools::Selectable& aDevice) override;
  void onChanged(cxxtools::Selectable& aDevice) override;
  bool onWaitUntil(cxxtools::Timespan aTime) override;
  void onWake() override;

private:
  /// Handles the events of one socket at a time.
  class Visitor : public cxxtools::Selector
  {
  public:
    bool mWasReopened = false;
    /// Observes the visited socket; may be null.
    SocketObserver* mObserver = nullptr;

  protected:
    void onReinit(cxxtools::Selectable& aDevice) override;
    void onChanged(cxxtools::Selectable& aDevice) override;
  };

  struct Registration
  {
    cxxtools::net::TcpSocket* mSocket = nullptr;
    /// The registered descriptor, or -1.
    int mDescriptor = -1;
    SocketObserver* mObserver = nullptr;
  };

  void Register(Registration& aRegistration);
  void Unregister(Registration& aRegistration);
  /// Returns true if events arrived or Wake was called.
  bool CollectEvents(int aTimeoutMs);
  bool VisitDueSockets();
  /// Calls SocketObserver::OnClosedByPeer and returns true if it is due.
  static bool ReportClosedByPeer(const Registration& aRegistration);
  /// Returns true if the socket had an event.
  bool Visit(cxxtools::Selectable& aDevice);

  Visitor mVisitor;
  /// The socket that is lent to mVisitor, or null.
  cxxtools::Selectable* mVisited = nullptr;
  int mEpoll = -1;
  int mWakeEvent = -1;
  std::unordered_map<cxxtools::Selectable*, Registration> mRegistrations;
  cxxtools::Selectable* mNewest = nullptr;
  std::unordered_map<const SocketObserver*, cxxtools::net::TcpSocket*>
    mObserved;
  /// The reverse of mObserved; also holds sockets that were removed.
  std::unordered_map<cxxtools::Selectable*, SocketObserver*> mObservers;
  /// Sockets that may have input or whose state has changed.
  std::unordered_set<cxxtools::Selectable*> mDue;
  std::uint64_t mVisitedSockets = 0;
};

} // namespace skylarkhill::http

#endif // SKYLARKHILL_HTTP_SOCKET_SELECTOR_HPP
