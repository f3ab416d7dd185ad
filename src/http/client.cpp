#include "skylarkhill/http/client.hpp"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>

#include <algorithm>
#include <deque>
#include <exception>
#include <mutex>
#include <string_view>
#include <utility>

#include "connection_watcher.hpp"
#include "library_request.hpp"

namespace skylarkhill::http {

using base::ErrorKind;
using base::MakeError;
using base::TimePoint;

namespace {

cxxtools::Milliseconds
ToMilliseconds(base::Duration aTime)
{
  return { std::chrono::duration<double, std::milli>(aTime).count() };
}

/// True if `aException` means that no connection was established. cxxtools has
/// no exception type for this case.
bool
IsConnectFailure(const std::exception& aException)
{
  const std::string_view text = aException.what();
  return text.find("failed to connect") != std::string_view::npos;
}

/// True if `aText` cannot terminate a request line or header.
bool
HasNoControlCharacters(std::string_view aText)
{
  return std::none_of(aText.begin(), aText.end(), [](char aByte) {
    return static_cast<unsigned char>(aByte) < 0x20;
  });
}

bool
IsWellFormed(const ClientRequest& aRequest)
{
  return HasNoControlCharacters(aRequest.mMethod) &&
         HasNoControlCharacters(aRequest.mTarget) &&
         aRequest.mTarget.find(' ') == std::string::npos &&
         std::all_of(aRequest.mHeaders.begin(),
                     aRequest.mHeaders.end(),
                     [](const Field& aField) {
                       return HasNoControlCharacters(aField.mName) &&
                              HasNoControlCharacters(aField.mValue);
                     });
}

class CxxtoolsClient : public Client
{
public:
  CxxtoolsClient(ClientOptions aOptions, const base::Clock& aClock)
    : mOptions(std::move(aOptions))
    , mClock(aClock)
  {
  }

  base::Result<Response> Call(const ClientRequest& aRequest,
                              TimePoint aDeadline) override
  {
    if (mClock.Now() >= aDeadline) {
      return MakeError(ErrorKind::WorkerUnavailable,
                       "deadline had passed before the call");
    }
    if (!IsWellFormed(aRequest)) {
      return MakeError(
        ErrorKind::InvalidArgument,
        "request has a control character, or a space in its target");
    }
    const bool isPooled = aRequest.mDelivery == Delivery::Idempotent;
    ConnectionPtr connection = isPooled ? TakeIdle() : nullptr;
    const bool isReused = connection != nullptr;
    if (connection == nullptr) {
      connection = CreateUnconnectedClient();
    }
    connection->mWatcher.Reset();
    auto response = Execute(connection->mClient, aRequest, aDeadline);
    if (isReused && response) {
      response.value().mIsPossiblyResent = connection->mWatcher.WasReplaced();
    }
    // The library may have sent the request on the pooled connection before the
    // connection attempt that failed.
    if (isReused && !response &&
        response.error().mKind == ErrorKind::WorkerUnavailable) {
      response = MakeError(ErrorKind::ConnectionLost,
                           std::move(response.error().mDetail));
    }
    if (response && isPooled) {
      ReturnIdle(std::move(connection));
    }
    return response;
  }

private:
  struct Connection
  {
    /// Outlives the client, which refers to it.
    ConnectionWatcher mWatcher;
    cxxtools::http::Client mClient{ mWatcher };
    TimePoint mReusableUntil;
  };
  using ConnectionPtr = std::unique_ptr<Connection>;

  // cxxtools::http::Client resends a request if its connection turns out to be
  // closed, even a POST that the server has received. It does so on a reused
  // connection and after connect(), but not if execute() itself opens the
  // connection. A request that must not arrive twice therefore gets a new
  // client that is not connected yet.
  ConnectionPtr CreateUnconnectedClient() const
  {
    auto connection = std::make_unique<Connection>();
    connection->mClient.prepareConnect(mOptions.mAddress, mOptions.mPort);
    return connection;
  }

  ConnectionPtr TakeIdle()
  {
    const std::lock_guard lock(mMutex);
    const TimePoint now = mClock.Now();
    while (!mIdle.empty() && mIdle.front()->mReusableUntil <= now) {
      mIdle.pop_front();
    }
    while (!mIdle.empty()) {
      ConnectionPtr connection = std::move(mIdle.back());
      mIdle.pop_back();
      // A request that is sent to a closed connection would be sent again, and
      // its response would not prove that it had no effect.
      if (connection->mWatcher.IsOpenAndQuiet()) {
        return connection;
      }
    }
    return nullptr;
  }

  void ReturnIdle(ConnectionPtr aConnection)
  {
    const std::lock_guard lock(mMutex);
    aConnection->mReusableUntil = mClock.Now() + mOptions.mMaxIdleTime;
    mIdle.push_back(std::move(aConnection));
    if (mIdle.size() > mOptions.mMaxIdleConnections) {
      mIdle.pop_front();
    }
  }

  base::Result<Response> Execute(cxxtools::http::Client& aClient,
                                 const ClientRequest& aRequest,
                                 TimePoint aDeadline) const
  {
    try {
      const auto timeout =
        ToMilliseconds(base::Remaining(mClock.Now(), aDeadline));
      aClient.execute(ToLibraryRequest(aRequest), timeout, timeout);
      BOOST_OUTCOME_TRYV(CheckFraming(aClient.header()));
      aClient.readBody();
      return ToResponse(aClient, aDeadline);
    } catch (const std::exception& e) {
      return ToError(e, aDeadline);
    }
  }

  base::Result<void> CheckFraming(
    const cxxtools::http::ReplyHeader& aHeader) const
  {
    const char* length = aHeader.getHeader("Content-Length");
    if (length == nullptr || aHeader.hasHeader("Transfer-Encoding")) {
      return MakeError(ErrorKind::ConnectionLost,
                       "response without Content-Length");
    }
    if (std::strtoull(length, nullptr, 10) > mOptions.mMaxBodyBytes) {
      return MakeError(ErrorKind::ConnectionLost,
                       "response body exceeds the size limit");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  base::Result<Response> ToResponse(const cxxtools::http::Client& aClient,
                                    TimePoint aDeadline) const
  {
    // The library applies the timeout to each read, so a response that arrives
    // in small parts can end after the deadline.
    if (mClock.Now() > aDeadline) {
      return MakeError(ErrorKind::DeadlineExceeded,
                       "response ended after the deadline");
    }
    const auto& header = aClient.header();
    Response response;
    response.mStatus = static_cast<int>(header.httpReturnCode());
    response.mBody = aClient.body();
    for (auto it = header.begin(); it != header.end(); ++it) {
      response.mHeaders.push_back({ it->first, it->second });
    }
    if (const auto* type = header.getHeader("Content-Type")) {
      response.mContentType = type;
    }
    return response;
  }

  base::Error ToError(const std::exception& aException,
                      TimePoint aDeadline) const
  {
    if (IsConnectFailure(aException)) {
      return MakeError(ErrorKind::WorkerUnavailable, aException.what());
    }
    // The library's timeout may expire slightly early.
    constexpr base::Duration kTimeoutTolerance = std::chrono::milliseconds(5);
    const bool isTimeout = mClock.Now() + kTimeoutTolerance >= aDeadline;
    return MakeError(isTimeout ? ErrorKind::DeadlineExceeded
                               : ErrorKind::ConnectionLost,
                     aException.what());
  }

  const ClientOptions mOptions;
  const base::Clock& mClock;
  std::mutex mMutex;
  std::deque<ConnectionPtr> mIdle;
};

} // namespace

std::unique_ptr<Client>
CreateClient(ClientOptions aOptions, const base::Clock& aClock)
{
  return std::make_unique<CxxtoolsClient>(std::move(aOptions), aClock);
}

} // namespace skylarkhill::http
