#include "skylarkhill/testing/tcp_relay.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <deque>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace skylarkhill::testing {

namespace {

constexpr int kPollIntervalMs = 5;
constexpr std::size_t kReadSize = std::size_t{ 64 } << 10;
constexpr std::size_t kMaxQueuedChunks = 64;

sockaddr_in
MakeAddress(const RelayEndpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.mPort);
  inet_pton(AF_INET, aEndpoint.mAddress.c_str(), &address.sin_addr);
  return address;
}

int
MakeSocket()
{
  return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
}

/// Makes a later close of the socket a reset.
void
PrepareReset(int aSocket)
{
  const linger noLinger{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
}

} // namespace

struct TcpRelay::Connection
{
  struct Chunk
  {
    base::TimePoint mForwardAt;
    std::string mData;
  };
  /// One direction. Its output is shut down after the input has ended and all
  /// chunks are sent.
  struct Flow
  {
    int mInput = -1;
    int mOutput = -1;
    std::deque<Chunk> mChunks;
    bool mInputEnded = false;
    bool mOutputClosed = false;
  };

  Flow mToTarget;
  Flow mFromTarget;
  bool mClosed = false;
  /// None, Silence or SilenceUntilData. If not None, the connection to the
  /// target is closed.
  ConnectionFault mSilence = ConnectionFault::None;

  void Silence(ConnectionFault aFault)
  {
    if (mSilence == ConnectionFault::None) {
      close(mToTarget.mOutput);
      mToTarget.mOutput = -1;
      mFromTarget.mInput = -1;
    }
    mSilence = aFault;
  }
};

TcpRelay::TcpRelay(const RelayEndpoint& aListen, const RelayEndpoint& aTarget)
  : TcpRelay(std::vector<RelayRoute>{ { aListen, aTarget } })
{
}

TcpRelay::TcpRelay(const std::vector<RelayRoute>& aRoutes)
{
  try {
    for (const auto& it : aRoutes) {
      Listen(it);
    }
  } catch (...) {
    CloseListeners();
    throw;
  }
  mThread = std::thread([this] { Run(); });
}

TcpRelay::~TcpRelay()
{
  mStop = true;
  mThread.join();
  for (const auto& it : mConnections) {
    close(it.mToTarget.mInput);
    close(it.mToTarget.mOutput);
  }
  CloseListeners();
}

void
TcpRelay::Listen(const RelayRoute& aRoute)
{
  const int listener = MakeSocket();
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = MakeAddress(aRoute.mListen);
  if (bind(listener,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(listener, SOMAXCONN) != 0) {
    close(listener);
    throw std::runtime_error("relay cannot listen on " +
                             aRoute.mListen.mAddress);
  }
  mListeners.push_back({ listener, aRoute.mTarget });
}

void
TcpRelay::CloseListeners()
{
  for (const auto& it : mListeners) {
    close(it.mSocket);
  }
}

void
TcpRelay::SetMode(LinkMode aMode, base::Duration aDelay)
{
  mDelayMicros = aDelay.count();
  mMode = aMode;
}

void
TcpRelay::DisturbConnections(const std::function<ConnectionFault()>& aChoose)
{
  const std::lock_guard lock(mDisturbLock);
  mChoose = &aChoose;
  while (mChoose != nullptr) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void
TcpRelay::Run()
{
  while (!mStop) {
    std::vector<pollfd> descriptors;
    for (const auto& it : mListeners) {
      descriptors.push_back({ it.mSocket, POLLIN, 0 });
    }
    if (mMode == LinkMode::Open) {
      for (const auto& it : mConnections) {
        descriptors.push_back({ it.mToTarget.mInput, POLLIN, 0 });
        descriptors.push_back({ it.mToTarget.mOutput, POLLIN, 0 });
      }
    }
    poll(descriptors.data(), descriptors.size(), kPollIntervalMs);
    CloseAfterCut();
    DisturbIfRequested();
    for (const auto& it : mListeners) {
      Accept(it);
    }
    for (auto& it : mConnections) {
      Forward(it);
    }
    RemoveClosed();
  }
}

void
TcpRelay::RemoveClosed()
{
  for (auto it = mConnections.begin(); it != mConnections.end();) {
    if (it->mClosed) {
      close(it->mToTarget.mInput);
      close(it->mToTarget.mOutput);
      it = mConnections.erase(it);
    } else {
      ++it;
    }
  }
}

/// Closes the connections that were open during a cut: their data is lost.
void
TcpRelay::CloseAfterCut()
{
  const bool isCut = mMode == LinkMode::Cut;
  for (auto& it : mConnections) {
    it.mClosed = it.mClosed || (mWasCut && !isCut);
  }
  mWasCut = isCut;
}

void
TcpRelay::DisturbIfRequested()
{
  const auto* choose = mChoose.load();
  if (choose == nullptr) {
    return;
  }
  for (auto& it : mConnections) {
    const ConnectionFault fault = (*choose)();
    switch (fault) {
      case ConnectionFault::None:
        break;
      case ConnectionFault::Reset:
        PrepareReset(it.mToTarget.mInput);
        PrepareReset(it.mToTarget.mOutput);
        it.mClosed = true;
        break;
      case ConnectionFault::Close:
        it.mClosed = true;
        break;
      case ConnectionFault::Silence:
      case ConnectionFault::SilenceUntilData:
        it.Silence(fault);
        break;
    }
  }
  RemoveClosed();
  mChoose = nullptr;
}

/// Receives what the client of a silent connection sends, or its end.
void
TcpRelay::DiscardInput(Connection& aConnection)
{
  std::array<char, kReadSize> buf{};
  const int client = aConnection.mToTarget.mInput;
  const ssize_t n = recv(client, buf.data(), buf.size(), 0);
  if (n > 0 && aConnection.mSilence == ConnectionFault::SilenceUntilData) {
    PrepareReset(client);
    aConnection.mClosed = true;
  }
  const bool hasNone = n < 0 && (errno == EAGAIN || errno == EINTR);
  aConnection.mClosed = aConnection.mClosed || (n <= 0 && !hasNone);
}

void
TcpRelay::Accept(const Listener& aListener)
{
  for (;;) {
    const int client = accept4(
      aListener.mSocket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
      return;
    }
    const int target = MakeSocket();
    const sockaddr_in address = MakeAddress(aListener.mTarget);
    if (connect(target,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0 &&
        errno != EINPROGRESS) {
      close(client);
      close(target);
      continue;
    }
    Connection connection;
    connection.mToTarget.mInput = client;
    connection.mToTarget.mOutput = target;
    connection.mFromTarget.mInput = target;
    connection.mFromTarget.mOutput = client;
    mConnections.push_back(std::move(connection));
  }
}

void
TcpRelay::Forward(Connection& aConnection)
{
  if (aConnection.mClosed || mMode != LinkMode::Open) {
    return;
  }
  if (aConnection.mSilence != ConnectionFault::None) {
    DiscardInput(aConnection);
    return;
  }
  const base::TimePoint now = base::GetBootClock().Now();
  for (auto* flow : { &aConnection.mToTarget, &aConnection.mFromTarget }) {
    std::array<char, kReadSize> buf{};
    errno = EAGAIN;
    const ssize_t n =
      flow->mInputEnded || flow->mChunks.size() >= kMaxQueuedChunks
        ? -1
        : recv(flow->mInput, buf.data(), buf.size(), 0);
    if (n > 0) {
      flow->mChunks.push_back(
        { now + base::Duration(mDelayMicros.load()),
          std::string(buf.data(), static_cast<std::size_t>(n)) });
    } else if (n == 0) {
      flow->mInputEnded = true;
    } else if (errno == ECONNRESET || errno == ECONNREFUSED) {
      aConnection.mClosed = true;
      return;
    }
    while (!flow->mChunks.empty() && flow->mChunks.front().mForwardAt <= now) {
      std::string& data = flow->mChunks.front().mData;
      const ssize_t sent =
        send(flow->mOutput, data.data(), data.size(), MSG_NOSIGNAL);
      if (sent < 0) {
        const bool wouldBlock =
          errno == EAGAIN || errno == ENOTCONN || errno == EINPROGRESS;
        aConnection.mClosed = !wouldBlock;
        break;
      }
      data.erase(0, static_cast<std::size_t>(sent));
      if (data.empty()) {
        flow->mChunks.pop_front();
      }
    }
    if (flow->mInputEnded && flow->mChunks.empty() && !flow->mOutputClosed) {
      flow->mOutputClosed = true;
      shutdown(flow->mOutput, SHUT_WR);
    }
  }
  if (aConnection.mToTarget.mOutputClosed &&
      aConnection.mFromTarget.mOutputClosed) {
    aConnection.mClosed = true;
  }
}

} // namespace skylarkhill::testing
