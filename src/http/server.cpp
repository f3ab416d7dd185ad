#include "skylarkhill/http/server.hpp"

#include "skylarkhill/http/error_body.hpp"
#include "skylarkhill/http/target.hpp"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <exception>
#include <fstream>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace skylarkhill::http {

using base::ErrorKind;
using base::MakeError;

namespace {

constexpr int kMaxPortAttempts = 16;
constexpr std::size_t kMaxTargetBytes = 8192;
constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 16 } << 20;
constexpr int kDiscardTimeoutMs = 200;
constexpr auto kLoopExitTimeout = std::chrono::seconds(2);
constexpr auto kLoopExitPollInterval = std::chrono::milliseconds(5);

/// Thrown to answer a request with an error before its body is read.
class RefusedRequest : public std::exception
{
public:
  explicit RefusedRequest(base::Error aError)
    : mError(std::move(aError))
  {
  }
  const base::Error& GetError() const { return mError; }
  const char* what() const noexcept override { return mError.mDetail.c_str(); }

private:
  base::Error mError;
};

struct ServerState
{
  ServerOptions mOptions;
  Handler& mHandler;
  std::atomic<bool> mStopping{ false };
  std::atomic<std::size_t> mInProgress{ 0 };
  std::atomic<std::uint64_t> mRequests{ 0 };
  std::atomic<std::uint64_t> mRefused{ 0 };
};

bool
IsDecimal(std::string_view aText)
{
  constexpr std::size_t kMaxDigits = 18;
  return !aText.empty() && aText.size() <= kMaxDigits &&
         std::all_of(aText.begin(), aText.end(), [](char aDigit) {
           return aDigit >= '0' && aDigit <= '9';
         });
}

std::vector<Field>
CopyFields(const cxxtools::http::Request& aRequest)
{
  std::vector<Field> fields;
  const auto& header = aRequest.header();
  for (auto it = header.begin(); it != header.end(); ++it) {
    fields.push_back({ it->first, it->second });
  }
  return fields;
}

std::size_t
CountFields(const std::vector<Field>& aFields, std::string_view aName)
{
  return static_cast<std::size_t>(
    std::count_if(aFields.begin(), aFields.end(), [&](const Field& aField) {
      return FindField({ aField }, aName) != nullptr;
    }));
}

bool
HasValidName(const Field& aField)
{
  return !aField.mName.empty() &&
         std::all_of(aField.mName.begin(), aField.mName.end(), [](char aByte) {
           return aByte > ' ' && aByte < 0x7F && aByte != ':';
         });
}

/// Returns the length of the body. cxxtools would parse a chunked body as the
/// next request and ignore a negative length, so such requests are refused
/// here.
base::Result<std::size_t>
CheckFraming(const std::vector<Field>& aFields)
{
  if (!std::all_of(aFields.begin(), aFields.end(), HasValidName)) {
    return MakeError(ErrorKind::UnsupportedFraming, "malformed header name");
  }
  if (CountFields(aFields, "Transfer-Encoding") != 0) {
    return MakeError(ErrorKind::UnsupportedFraming,
                     "Transfer-Encoding is not supported");
  }
  const std::size_t lengths = CountFields(aFields, "Content-Length");
  if (lengths > 1) {
    return MakeError(ErrorKind::UnsupportedFraming, "repeated Content-Length");
  }
  if (lengths == 0) {
    return std::size_t{ 0 };
  }
  const std::string& text = *FindField(aFields, "Content-Length");
  if (!IsDecimal(text)) {
    return MakeError(ErrorKind::UnsupportedFraming, "malformed Content-Length");
  }
  return std::stoull(text);
}

/// Reads and discards further input. Closing a connection with unread input
/// resets it, and the client would lose the response.
void
DiscardInput(int aDescriptor, std::size_t aLength)
{
  std::size_t left = std::min(aLength, kMaxDiscardedBytes);
  std::array<char, 16384> buf{};
  pollfd poller{ aDescriptor, POLLIN, 0 };
  while (left > 0 && poll(&poller, 1, kDiscardTimeoutMs) > 0) {
    const ssize_t n =
      recv(aDescriptor, buf.data(), std::min(left, buf.size()), MSG_DONTWAIT);
    if (n <= 0) {
      return;
    }
    left -= static_cast<std::size_t>(n);
  }
}

/// Passes one request to the handler.
class HandlerResponder : public cxxtools::http::Responder
{
public:
  HandlerResponder(cxxtools::http::Service& aService, ServerState& aState)
    : Responder(aService)
    , mState(aState)
  {
    ++mState.mInProgress;
  }
  ~HandlerResponder() override { --mState.mInProgress; }
  HandlerResponder(const HandlerResponder&) = delete;
  HandlerResponder& operator=(const HandlerResponder&) = delete;

  void beginRequest(cxxtools::net::TcpSocket& aSocket,
                    std::istream& aIn,
                    cxxtools::http::Request& aRequest) override
  {
    mSocket = &aSocket;
    ++mState.mRequests;
    mRequest.mPeerAddress = aSocket.getPeerAddr();
    mRequest.mHeaders = CopyFields(aRequest);
    const auto length = CheckFraming(mRequest.mHeaders);
    if (!length) {
      throw RefusedRequest(length.error());
    }
    if (length.value() > mState.mOptions.mMaxBodyBytes) {
      DiscardInput(aSocket.getFd(), length.value());
      throw RefusedRequest(
        MakeError(ErrorKind::PayloadTooLarge,
                  "body exceeds " +
                    std::to_string(mState.mOptions.mMaxBodyBytes) + " bytes"));
    }
    Responder::beginRequest(aSocket, aIn, aRequest);
  }

  void reply(std::ostream& aOut,
             cxxtools::http::Request& aRequest,
             cxxtools::http::Reply& aReply) override
  {
    Write(HandleRequest(aRequest), aOut, aReply);
  }

  void replyError(std::ostream& aOut,
                  cxxtools::http::Request&,
                  cxxtools::http::Reply& aReply,
                  const std::exception& aException) override
  {
    ++mState.mRefused;
    const auto* refused = dynamic_cast<const RefusedRequest*>(&aException);
    const base::Error error =
      refused != nullptr
        ? refused->GetError()
        : MakeError(ErrorKind::UnsupportedFraming, aException.what());
    // The start of the next request is unknown.
    aReply.setHeader("Connection", "close");
    Write(MakeErrorResponse(error), aOut, aReply);
  }

private:
  Response HandleRequest(cxxtools::http::Request& aRequest)
  {
    if (mState.mStopping) {
      return MakeErrorResponse(MakeError(ErrorKind::ShuttingDown));
    }
    if (mState.mInProgress > mState.mOptions.mMaxRequests) {
      return MakeErrorResponse(
        MakeError(ErrorKind::Overloaded, "too many requests in progress"));
    }
    mRequest.mMethod = aRequest.method();
    mRequest.mBody = aRequest.bodyStr();
    if (aRequest.url().size() + aRequest.qparams().size() > kMaxTargetBytes) {
      return MakeErrorResponse(
        MakeError(ErrorKind::PayloadTooLarge, "request target is too long"));
    }
    const auto parsed =
      ParseTarget(aRequest.url(), aRequest.qparams(), mRequest);
    return parsed ? mState.mHandler.Handle(mRequest)
                  : MakeErrorResponse(parsed.error());
  }

  void Write(const Response& aResponse,
             std::ostream& aOut,
             cxxtools::http::Reply& aReply)
  {
    if (aResponse.mDropConnection) {
      ::shutdown(mSocket->getFd(), SHUT_RDWR);
      return;
    }
    aReply.httpReturn(static_cast<unsigned>(aResponse.mStatus), "");
    aReply.setHeader("Content-Type", aResponse.mContentType.c_str());
    for (const auto& it : aResponse.mHeaders) {
      aReply.setHeader(it.mName.c_str(), it.mValue.c_str());
    }
    if (mState.mStopping) {
      aReply.setHeader("Connection", "close");
    }
    aOut << aResponse.mBody;
  }

  ServerState& mState;
  cxxtools::net::TcpSocket* mSocket = nullptr;
  Request mRequest;
};

class HandlerService : public cxxtools::http::Service
{
public:
  explicit HandlerService(ServerState& aState)
    : mState(aState)
  {
  }

protected:
  cxxtools::http::Responder* createResponder(
    const cxxtools::http::Request&) override
  {
    return new HandlerResponder(*this, mState);
  }
  void releaseResponder(cxxtools::http::Responder* aResponder) override
  {
    delete aResponder;
  }

private:
  ServerState& mState;
};

/// A port of `aAddress` that was free at the time of the call; 0 on failure.
std::uint16_t
FindFreePort(const std::string& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr) != 1) {
    return 0;
  }
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  socklen_t length = sizeof(address);
  auto* socketAddress = reinterpret_cast<sockaddr*>(&address);
  const bool isBound = bind(descriptor, socketAddress, length) == 0 &&
                       getsockname(descriptor, socketAddress, &length) == 0;
  close(descriptor);
  return isBound ? ntohs(address.sin_port) : 0;
}

base::Result<void>
CheckReadable(const std::string& aFile)
{
  if (aFile.empty() || std::ifstream(aFile).good()) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  return MakeError(ErrorKind::InvalidSettings, "cannot read " + aFile);
}

/// All objects that threads of cxxtools use.
struct LibraryState
{
  LibraryState(ServerOptions aOptions, Handler& aHandler)
    : mState{ std::move(aOptions), aHandler }
    , mService(mState)
    , mServer(mLoop)
  {
  }

  ServerState mState;
  HandlerService mService;
  cxxtools::EventLoop mLoop;
  cxxtools::http::Server mServer;
  std::atomic<bool> mLoopHasExited{ false };
};

class CxxtoolsServer : public Server
{
public:
  CxxtoolsServer(ServerOptions aOptions, Handler& aHandler)
    : mLibrary(new LibraryState(std::move(aOptions), aHandler))
    , mState(mLibrary->mState)
    , mServer(mLibrary->mServer)
  {
    const auto toMillis = [](base::Duration aTime) {
      return cxxtools::Milliseconds(
        std::chrono::duration<double, std::milli>(aTime).count());
    };
    mServer.readTimeout(toMillis(mState.mOptions.mReadTimeout));
    mServer.writeTimeout(toMillis(mState.mOptions.mWriteTimeout));
    mServer.keepAliveTimeout(toMillis(mState.mOptions.mIdleTimeout));
    mServer.maxThreads(static_cast<unsigned>(mState.mOptions.mMaxThreads));
    mServer.addService(cxxtools::Regex(".*"), mLibrary->mService);
  }

  ~CxxtoolsServer() override
  {
    CxxtoolsServer::Stop();
    if (!mIsLibraryLeaked) {
      delete mLibrary;
    }
  }
  CxxtoolsServer(const CxxtoolsServer&) = delete;
  CxxtoolsServer& operator=(const CxxtoolsServer&) = delete;

  base::Result<void> Start()
  {
    const TlsOptions& tls = mState.mOptions.mTls;
    for (const auto& it : { tls.mCertificateFile, tls.mKeyFile, tls.mCaFile }) {
      BOOST_OUTCOME_TRYV(CheckReadable(it));
    }
    BOOST_OUTCOME_TRYV(Listen());
    mThread = std::thread([library = mLibrary] {
      library->mLoop.run();
      library->mLoopHasExited = true;
    });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  std::uint16_t Port() const override { return mPort; }

  ServerCounters Counters() const override
  {
    return { mState.mRequests, mState.mRefused };
  }

  void Stop() override
  {
    if (!mThread.joinable()) {
      return;
    }
    mState.mStopping = true;
    mLibrary->mService.waitIdle();
    // During this time, requests on open connections get a response, not a
    // reset.
    std::this_thread::sleep_for(mState.mOptions.mStopGrace);
    mLibrary->mService.waitIdle();
    mLibrary->mLoop.exit();
    if (WaitForLoopExit()) {
      mThread.join();
      return;
    }
    // cxxtools joins all its threads, but if two of them wait in accept, one
    // can miss the wake-up and block forever, most often after a failed TLS
    // handshake. All requests are answered by now and no handler is called any
    // more, so the library's objects are deliberately leaked.
    mThread.detach();
    mIsLibraryLeaked = true;
  }

private:
  base::Result<void> Listen()
  {
    std::string error;
    const bool isAnyPort = mState.mOptions.mPort == 0;
    for (int n = 0; n < (isAnyPort ? kMaxPortAttempts : 1); ++n) {
      mPort = isAnyPort ? FindFreePort(mState.mOptions.mAddress)
                        : mState.mOptions.mPort;
      try {
        ListenOn(mPort);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
      } catch (const std::exception& e) {
        error = e.what();
      }
    }
    return MakeError(ErrorKind::InvalidSettings, error);
  }

  void ListenOn(std::uint16_t aPort)
  {
    constexpr int kVerifyPeer = 2;
    const TlsOptions& tls = mState.mOptions.mTls;
    if (tls.mCertificateFile.empty()) {
      mServer.listen(mState.mOptions.mAddress, aPort);
      return;
    }
    const std::string& key =
      tls.mKeyFile.empty() ? tls.mCertificateFile : tls.mKeyFile;
    mServer.listen(mState.mOptions.mAddress,
                   aPort,
                   tls.mCertificateFile,
                   key,
                   tls.mCaFile.empty() ? 0 : kVerifyPeer,
                   tls.mCaFile);
  }

  bool WaitForLoopExit() const
  {
    const auto deadline = std::chrono::steady_clock::now() + kLoopExitTimeout;
    while (!mLibrary->mLoopHasExited &&
           std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(kLoopExitPollInterval);
    }
    return mLibrary->mLoopHasExited;
  }

  LibraryState* const mLibrary;
  ServerState& mState;
  cxxtools::http::Server& mServer;
  std::uint16_t mPort = 0;
  std::thread mThread;
  bool mIsLibraryLeaked = false;
};

} // namespace

base::Result<std::unique_ptr<Server>>
CreateServer(ServerOptions aOptions, Handler& aHandler)
{
  auto server = std::make_unique<CxxtoolsServer>(std::move(aOptions), aHandler);
  BOOST_OUTCOME_TRYV(server->Start());
  return std::unique_ptr<Server>(std::move(server));
}

} // namespace skylarkhill::http
