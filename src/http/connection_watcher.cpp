#include "connection_watcher.hpp"

#include <poll.h>

namespace skylarkhill::http {

void
ConnectionWatcher::Reset()
{
  mWasClosed = false;
  mWasReplaced = false;
}

bool
ConnectionWatcher::IsOpenAndQuiet() const
{
  if (mSocket == nullptr || !mSocket->enabled()) {
    return false;
  }
  pollfd entry{ mSocket->getFd(), POLLIN, 0 };
  return poll(&entry, 1, 0) == 0;
}

void
ConnectionWatcher::onAdd(cxxtools::Selectable& aDevice)
{
  mSocket = dynamic_cast<cxxtools::net::TcpSocket*>(&aDevice);
  mWasReplaced = mWasReplaced || mWasClosed;
}

void
ConnectionWatcher::onRemove(cxxtools::Selectable&)
{
  mSocket = nullptr;
  mWasClosed = true;
}

void
ConnectionWatcher::onReinit(cxxtools::Selectable&)
{
}

void
ConnectionWatcher::onChanged(cxxtools::Selectable& aDevice)
{
  if (aDevice.enabled()) {
    mWasReplaced = mWasReplaced || mWasClosed;
  } else {
    mWasClosed = true;
  }
}

bool
ConnectionWatcher::onWaitUntil(cxxtools::Timespan)
{
  // Blocking calls wait for the socket itself.
  return false;
}

void
ConnectionWatcher::onWake()
{
}

} // namespace skylarkhill::http
