#include "socket_selector.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <exception>
#include <limits>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <vector>

namespace skylarkhill::http {

namespace {

constexpr std::size_t kMaxEvents = 256;
/// Maximum number of visits of one socket in one wait. A visit reads 8 KB, so
/// this bounds the time that a wait spends on long responses.
constexpr int kMaxVisitsPerWait = 16;
constexpr std::int64_t kMicrosPerMs = 1000;

[[noreturn]] void
ThrowSystemError(const char* aCall)
{
  throw std::system_error(errno, std::generic_category(), aCall);
}

int
ToTimeoutMs(cxxtools::Timespan aTime)
{
  if (aTime < cxxtools::Timespan(0)) {
    return -1;
  }
  const std::int64_t left =
    (aTime - cxxtools::Timespan::gettimeofday()).totalUSecs();
  // Rounded up, because a wait that ends early would be repeated at once.
  const std::int64_t ms = (left + kMicrosPerMs - 1) / kMicrosPerMs;
  return static_cast<int>(std::clamp<std::int64_t>(
    left <= 0 ? 0 : ms, 0, std::numeric_limits<int>::max()));
}

enum class SocketInput
{
  None,
  Available,
  /// The peer has closed the connection, and all input has been read.
  Closed,
};

SocketInput
PeekInput(int aDescriptor)
{
  char byte = 0;
  const auto n =
    recv(aDescriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    return SocketInput::Available;
  }
  const bool isOpen = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK ||
                                errno == EINTR || errno == ENOTCONN);
  return isOpen ? SocketInput::None : SocketInput::Closed;
}

void
NotifyReopened(SocketObserver* aObserver)
{
  if (aObserver != nullptr) {
    aObserver->OnReopened();
  }
}

} // namespace

void
SocketSelector::Visitor::onReinit(cxxtools::Selectable& aDevice)
{
  mWasReopened = true;
  NotifyReopened(mObserver);
  cxxtools::Selector::onReinit(aDevice);
}

void
SocketSelector::Visitor::onChanged(cxxtools::Selectable& aDevice)
{
  if (!aDevice.enabled()) {
    mWasReopened = true;
    NotifyReopened(mObserver);
  }
  cxxtools::Selector::onChanged(aDevice);
}

SocketSelector::SocketSelector()
  : mEpoll(epoll_create1(EPOLL_CLOEXEC))
  , mWakeEvent(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  epoll_event event{};
  event.events = EPOLLIN;
  if (mEpoll < 0 || mWakeEvent < 0 ||
      epoll_ctl(mEpoll, EPOLL_CTL_ADD, mWakeEvent, &event) < 0) {
    ThrowSystemError("epoll");
  }
}

SocketSelector::~SocketSelector()
{
  close(mWakeEvent);
  close(mEpoll);
}

void
SocketSelector::onAdd(cxxtools::Selectable& aDevice)
{
  if (&aDevice == mVisited) {
    return;
  }
  auto* socket = dynamic_cast<cxxtools::net::TcpSocket*>(&aDevice);
  if (socket != nullptr) {
    // The HTTP library adds a socket again to open it again.
    Registration& registration = mRegistrations[&aDevice];
    Unregister(registration);
    registration.mSocket = socket;
    const auto observer = mObservers.find(&aDevice);
    if (observer != mObservers.end()) {
      registration.mObserver = observer->second;
      NotifyReopened(registration.mObserver);
    }
    Register(registration);
    mDue.insert(&aDevice);
    mNewest = &aDevice;
  }
}

void
SocketSelector::ObserveNewest(SocketObserver& aObserver)
{
  const auto found = mRegistrations.find(mNewest);
  if (found != mRegistrations.end() && found->second.mObserver == nullptr) {
    found->second.mObserver = &aObserver;
    mObserved[&aObserver] = found->second.mSocket;
    mObservers[mNewest] = &aObserver;
  }
}

void
SocketSelector::Forget(const SocketObserver& aObserver)
{
  const auto observed = mObserved.find(&aObserver);
  if (observed == mObserved.end()) {
    return;
  }
  const auto registered = mRegistrations.find(observed->second);
  if (registered != mRegistrations.end()) {
    registered->second.mObserver = nullptr;
  }
  mObservers.erase(observed->second);
  mObserved.erase(observed);
}

void
SocketSelector::Close(const SocketObserver& aObserver)
{
  const auto found = mObserved.find(&aObserver);
  if (found != mObserved.end()) {
    found->second->close();
  }
}

bool
SocketSelector::IsOpenAndQuiet(const SocketObserver& aObserver) const
{
  const auto found = mObserved.find(&aObserver);
  return found != mObserved.end() && found->second->enabled() &&
         PeekInput(found->second->getFd()) == SocketInput::None;
}

void
SocketSelector::onRemove(cxxtools::Selectable& aDevice)
{
  if (&aDevice == mVisited) {
    return;
  }
  // The device may be in its destructor, so its socket is not used here.
  const auto found = mRegistrations.find(&aDevice);
  if (found != mRegistrations.end()) {
    // The observer is kept until Forget, because the socket may be added again.
    Unregister(found->second);
    mRegistrations.erase(found);
    mNewest = mNewest == &aDevice ? nullptr : mNewest;
  }
  mDue.erase(&aDevice);
}

void
SocketSelector::onReinit(cxxtools::Selectable& aDevice)
{
  // A reopened socket may have the number of the closed one.
  const auto found = mRegistrations.find(&aDevice);
  if (found != mRegistrations.end()) {
    Unregister(found->second);
    NotifyReopened(found->second.mObserver);
  }
  onChanged(aDevice);
}

void
SocketSelector::onChanged(cxxtools::Selectable& aDevice)
{
  const auto found = mRegistrations.find(&aDevice);
  if (found == mRegistrations.end()) {
    return;
  }
  if (!aDevice.enabled()) {
    Unregister(found->second);
    NotifyReopened(found->second.mObserver);
    mDue.erase(&aDevice);
    return;
  }
  Register(found->second);
  mDue.insert(&aDevice);
}

void
SocketSelector::Register(Registration& aRegistration)
{
  const int descriptor =
    aRegistration.mSocket->enabled() ? aRegistration.mSocket->getFd() : -1;
  if (descriptor == aRegistration.mDescriptor) {
    return;
  }
  Unregister(aRegistration);
  if (descriptor < 0) {
    return;
  }
  // Edge-triggered, so that the events of interest never change. A socket stays
  // in mDue until a visit finds nothing to do.
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = static_cast<cxxtools::Selectable*>(aRegistration.mSocket);
  if (epoll_ctl(mEpoll, EPOLL_CTL_ADD, descriptor, &event) < 0) {
    ThrowSystemError("epoll_ctl");
  }
  aRegistration.mDescriptor = descriptor;
}

void
SocketSelector::Unregister(Registration& aRegistration)
{
  if (aRegistration.mDescriptor >= 0) {
    // Fails if the socket has been closed, which has removed it already.
    epoll_ctl(mEpoll, EPOLL_CTL_DEL, aRegistration.mDescriptor, nullptr);
    aRegistration.mDescriptor = -1;
  }
}

bool
SocketSelector::onWaitUntil(cxxtools::Timespan aTime)
{
  const int timeoutMs = ToTimeoutMs(aTime);
  // Sockets whose state has changed may have input that raised no event since.
  bool hasHandledInput = VisitDueSockets();
  const bool hasEvents =
    CollectEvents(hasHandledInput || !mDue.empty() ? 0 : timeoutMs);
  for (int n = 0; n < kMaxVisitsPerWait && !mDue.empty(); ++n) {
    hasHandledInput = VisitDueSockets() || hasHandledInput;
  }
  return hasEvents || hasHandledInput;
}

bool
SocketSelector::CollectEvents(int aTimeoutMs)
{
  std::array<epoll_event, kMaxEvents> events;
  const int n = epoll_wait(
    mEpoll, events.data(), static_cast<int>(events.size()), aTimeoutMs);
  for (int i = 0; i < n; ++i) {
    auto* device = static_cast<cxxtools::Selectable*>(events.at(i).data.ptr);
    if (device != nullptr) {
      mDue.insert(device);
      continue;
    }
    eventfd_t count = 0;
    eventfd_read(mWakeEvent, &count);
  }
  return n > 0;
}

bool
SocketSelector::VisitDueSockets()
{
  // A handler may change, add or remove sockets.
  const std::vector<cxxtools::Selectable*> due(mDue.begin(), mDue.end());
  mDue.clear();
  bool hasHandledInput = false;
  std::exception_ptr problem;
  for (auto* it : due) {
    if (mRegistrations.count(it) == 0 || !it->enabled()) {
      continue;
    }
    ++mVisitedSockets;
    if (ReportClosedByPeer(mRegistrations[it])) {
      continue;
    }
    try {
      const bool hadInput = Visit(*it);
      hasHandledInput = hasHandledInput || hadInput;
      if (hadInput && (it->busy() || it->avail())) {
        mDue.insert(it);
      }
    } catch (...) {
      // The other sockets raise no further event for the same input.
      problem = std::current_exception();
    }
  }
  if (problem) {
    std::rethrow_exception(problem);
  }
  return hasHandledInput;
}

bool
SocketSelector::ReportClosedByPeer(const Registration& aRegistration)
{
  SocketObserver* observer = aRegistration.mObserver;
  if (observer == nullptr || !observer->MustNotReopen() ||
      aRegistration.mDescriptor < 0 ||
      PeekInput(aRegistration.mDescriptor) != SocketInput::Closed) {
    return false;
  }
  observer->OnClosedByPeer();
  return true;
}

bool
SocketSelector::Visit(cxxtools::Selectable& aDevice)
{
  // Selectable::wait would close a socket that its handler has reopened after a
  // reset by the peer.
  mVisitor.mWasReopened = false;
  SocketObserver* observer = mRegistrations[&aDevice].mObserver;
  mVisitor.mObserver = observer;
  mVisited = &aDevice;
  bool hadEvent = false;
  std::exception_ptr problem;
  aDevice.setSelector(mVisitor);
  try {
    hadEvent = mVisitor.wait(0);
  } catch (...) {
    problem = std::current_exception();
  }
  aDevice.setSelector(this);
  mVisited = nullptr;
  mVisitor.mObserver = nullptr;
  if (mVisitor.mWasReopened) {
    onReinit(aDevice);
    if (observer != nullptr && observer->MustNotReopen()) {
      Close(*observer);
    }
  }
  if (problem) {
    std::rethrow_exception(problem);
  }
  return hadEvent;
}

void
SocketSelector::onWake()
{
  eventfd_write(mWakeEvent, 1);
}

} // namespace skylarkhill::http
