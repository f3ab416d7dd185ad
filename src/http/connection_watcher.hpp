#ifndef SKYLARKHILL_HTTP_CONNECTION_WATCHER_HPP
#define SKYLARKHILL_HTTP_CONNECTION_WATCHER_HPP

#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/selector.h>

namespace skylarkhill::http {

/// Notices when a blocking client of cxxtools replaces its connection in the
/// middle of a call. The client reports such changes only to its selector.
class ConnectionWatcher : public cxxtools::SelectorBase
{
public:
  /// Starts a call.
  void Reset();
  /// True if the connection has been closed and opened again since Reset.
  bool WasReplaced() const { return mWasReplaced; }
  /// True if the connection is open and there is nothing to read, not even the
  /// end of the input.
  bool IsOpenAndQuiet() const;

protected:
  void onAdd(cxxtools::Selectable& aDevice) override;
  void onRemove(cxxtools::Selectable& aDevice) override;
  void onReinit(cxxtools::Selectable& aDevice) override;
  void onChanged(cxxtools::Selectable& aDevice) override;
  bool onWaitUntil(cxxtools::Timespan aTime) override;
  void onWake() override;

private:
  cxxtools::net::TcpSocket* mSocket = nullptr;
  bool mWasClosed = false;
  bool mWasReplaced = false;
};

} // namespace skylarkhill::http

#endif // SKYLARKHILL_HTTP_CONNECTION_WATCHER_HPP
