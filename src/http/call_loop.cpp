#include "skylarkhill/http/call_loop.hpp"

#include "skylarkhill/http/endpoint.hpp"
#include "skylarkhill/logging/logging.hpp"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <exception>
#include <list>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "library_request.hpp"
#include "socket_selector.hpp"

namespace skylarkhill::http {

using base::ErrorKind;
using base::MakeError;
using base::TimePoint;

namespace {

/// An idle connection is closed after this time. Below the idle timeout of the
/// platform's servers, which is 15 s.
constexpr base::Duration kMaxIdleTime = std::chrono::seconds(8);

/// Longest time that one Wait blocks, even if all deadlines are later.
constexpr base::Duration kMaxWait = std::chrono::milliseconds(500);

/// Maximum number of idle connections closed in one Wait.
constexpr int kMaxClosesPerWait = 100;

/// Maximum number of reads per connection before expired calls are ended.
/// Bounds the time spent on a response without end.
constexpr int kMaxLateReads = 256;

/// Number of times that a request may be sent.
enum class Copies
{
  /// Again on a new connection if the one in use is closed.
  Any,
  One,
};

/// One connection; carries at most one call at a time.
class Connection
  : public cxxtools::Connectable
  , public SocketObserver
{
public:
  /// Each finished call is appended to `aFinished`, which must outlive the
  /// connection.
  Connection(SocketSelector& aSelector,
             std::string aEndpoint,
             std::vector<Connection*>& aFinished)
    : mEndpoint(std::move(aEndpoint))
    , mFinished(aFinished)
    , mSelector(aSelector)
    , mClient(aSelector)
  {
    const auto endpoint = ParseEndpoint(mEndpoint);
    if (endpoint) {
      mClient.prepareConnect(endpoint.value().mIp, endpoint.value().mPort);
    }
    cxxtools::connect(
      mClient.bodyAvailable, *this, &Connection::ReadAvailableBody);
    cxxtools::connect(mClient.replyFinished, *this, &Connection::OnFinished);
    cxxtools::connect(mClient.requestSent, *this, &Connection::OnSent);
  }

  ~Connection() override { mSelector.Forget(*this); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  Connection(Connection&&) = delete;
  Connection& operator=(Connection&&) = delete;

  void StartCall(const ClientRequest& aRequest,
                 Copies aCopies,
                 TimePoint aDeadline,
                 CallHandler aHandler)
  {
    mRequest = ToLibraryRequest(aRequest);
    mCopies = aCopies;
    mBody.clear();
    mDeadline = aDeadline;
    mHandler = std::move(aHandler);
    mIsFinished = false;
    mError.reset();
    mSentCopies = 0;
    try {
      mClient.beginExecute(mRequest);
    } catch (const std::exception& e) {
      // A part of the request may have been sent on a connection in use.
      mError = MakeError(mWasUsed ? ErrorKind::ConnectionLost
                                  : ErrorKind::WorkerUnavailable,
                         e.what());
      Finish();
    }
    if (!mWasUsed) {
      // The library adds its socket with the first call.
      mSelector.ObserveNewest(*this);
    }
    mWasUsed = true;
    if (mIsFinished && mCopies == Copies::One) {
      // The library has opened the socket again to send the request.
      mSelector.Close(*this);
    }
  }

  const std::string& GetEndpoint() const { return mEndpoint; }
  bool IsFinished() const { return mIsFinished; }
  bool IsBroken() const { return mError.has_value() || mMustClose; }
  TimePoint Deadline() const { return mDeadline; }
  TimePoint ReusableUntil() const { return mReusableUntil; }
  void SetReusableUntil(TimePoint aTime) { mReusableUntil = aTime; }
  const std::optional<std::int64_t>& Mark() const { return mMark; }
  void SetMark(std::int64_t aMark) { mMark = aMark; }

  void Expire()
  {
    mError =
      MakeError(ErrorKind::DeadlineExceeded, "no response before the deadline");
    Finish();
  }

  void OnReopened() override
  {
    mMark.reset();
    LoseSingleCopy();
  }

  bool MustNotReopen() const override
  {
    return mCopies == Copies::One && mHandler != nullptr;
  }

  void OnClosedByPeer() override { LoseSingleCopy(); }

  CallHandler TakeHandler() { return std::exchange(mHandler, nullptr); }

  base::Result<Response> TakeResult()
  {
    if (mError) {
      return *mError;
    }
    return std::move(mResponse);
  }

private:
  std::size_t ReadAvailableBody(cxxtools::http::Client& aClient)
  {
    std::size_t total = 0;
    auto* source = aClient.in().rdbuf();
    for (auto n = source->in_avail(); n > 0; n = source->in_avail()) {
      const std::size_t old = mBody.size();
      mBody.resize(old + static_cast<std::size_t>(n));
      source->sgetn(&mBody[old], n);
      total += static_cast<std::size_t>(n);
    }
    return total;
  }

  void Finish()
  {
    if (!mIsFinished) {
      mIsFinished = true;
      mFinished.push_back(this);
    }
  }

  /// Ends a call whose request must not be sent again.
  void LoseSingleCopy()
  {
    if (MustNotReopen() && !mIsFinished) {
      mError = MakeError(ErrorKind::ConnectionLost,
                         "the connection was closed before the response");
      Finish();
    }
  }

  void OnSent(cxxtools::http::Client&)
  {
    ++mSentCopies;
    if (mCopies == Copies::One && mSentCopies > 1) {
      logging::Write(
        logging::Level::Warning,
        "marked_call_sent_twice",
        { { "endpoint", mEndpoint }, { "target", mRequest.url() } });
    }
  }

  void OnFinished(cxxtools::http::Client& aClient)
  {
    Finish();
    try {
      aClient.endExecute();
      const auto& header = aClient.header();
      mResponse = Response{};
      mResponse.mStatus = static_cast<int>(header.httpReturnCode());
      mResponse.mBody = std::move(mBody);
      // The library sends the request again if the connection is closed before
      // the response.
      mResponse.mIsPossiblyResent = mSentCopies > 1;
      mBody.clear();
      // Searches "lose" to match both "close" and "Close".
      const char* connection = header.getHeader("Connection");
      mMustClose =
        connection != nullptr &&
        std::string_view(connection).find("lose") != std::string_view::npos;
      for (auto it = header.begin(); it != header.end(); ++it) {
        mResponse.mHeaders.push_back({ it->first, it->second });
      }
    } catch (const std::exception& e) {
      mError = MakeError(ErrorKind::ConnectionLost, e.what());
    }
  }

  const std::string mEndpoint;
  std::vector<Connection*>& mFinished;
  SocketSelector& mSelector;
  cxxtools::http::Client mClient;
  cxxtools::http::Request mRequest;
  std::string mBody;
  Response mResponse;
  CallHandler mHandler;
  TimePoint mDeadline;
  TimePoint mReusableUntil;
  Copies mCopies = Copies::Any;
  /// See CallLoop::MarkConnection; empty since the socket was opened again.
  std::optional<std::int64_t> mMark;
  std::optional<base::Error> mError;
  /// How often the request has been sent completely.
  int mSentCopies = 0;
  /// The connection has carried a call before the current one.
  bool mWasUsed = false;
  bool mIsFinished = false;
  bool mMustClose = false;
};

class CxxtoolsCallLoop : public CallLoop
{
public:
  explicit CxxtoolsCallLoop(const base::Clock& aClock)
    : mClock(aClock)
  {
  }

  void Call(const std::string& aEndpoint,
            const ClientRequest& aRequest,
            TimePoint aDeadline,
            CallHandler aHandler) override
  {
    auto connection = TakeIdle(aEndpoint);
    if (connection == nullptr) {
      connection =
        std::make_unique<Connection>(mSelector, aEndpoint, mFinished);
    }
    StartCall(std::move(connection),
              aRequest,
              Copies::Any,
              aDeadline,
              std::move(aHandler));
  }

  bool CallMarked(const std::string& aEndpoint,
                  std::int64_t aMark,
                  const ClientRequest& aRequest,
                  TimePoint aDeadline,
                  CallHandler aHandler) override
  {
    auto connection = TakeMarked(aEndpoint, aMark);
    if (connection == nullptr) {
      return false;
    }
    StartCall(std::move(connection),
              aRequest,
              Copies::One,
              aDeadline,
              std::move(aHandler));
    return true;
  }

  void MarkConnection(std::int64_t aMark) override
  {
    // The peer may have closed the connection since the response.
    if (mHandled != nullptr && mSelector.IsOpenAndQuiet(*mHandled)) {
      mHandled->SetMark(aMark);
    }
  }

  void Wait(TimePoint aDeadline) override
  {
    const TimePoint now = mClock.Now();
    CloseIdle(now);
    TimePoint until = std::min(aDeadline, now + kMaxWait);
    if (!mFinished.empty() || HasExpiredIdle(now)) {
      until = now;
    } else if (!mActive.empty()) {
      until = std::min(until, mActive.begin()->first.first);
    }
    HandleInput(base::Remaining(now, until));
    ExpireCalls();
    CompleteCalls();
  }

  void Wake() override { mSelector.wake(); }

  std::size_t InFlight() const override { return mActive.size(); }

private:
  using ConnectionPtr = std::unique_ptr<Connection>;
  /// The deadline of a call and its connection.
  using ActiveKey = std::pair<TimePoint, Connection*>;

  /// Ordered by ReusableUntil.
  using IdleQueue = std::list<ConnectionPtr>;

  void StartCall(ConnectionPtr aConnection,
                 const ClientRequest& aRequest,
                 Copies aCopies,
                 TimePoint aDeadline,
                 CallHandler aHandler)
  {
    Connection& connection = *aConnection;
    mActive.emplace(ActiveKey(aDeadline, &connection), std::move(aConnection));
    connection.StartCall(aRequest, aCopies, aDeadline, std::move(aHandler));
  }

  /// Returns null if no connection to the endpoint can be reused.
  ConnectionPtr TakeIdle(const std::string& aEndpoint)
  {
    return TakeIdleIf(aEndpoint, [](const Connection&) { return true; });
  }

  /// Returns null if there is no open connection with the mark.
  ConnectionPtr TakeMarked(const std::string& aEndpoint, std::int64_t aMark)
  {
    return TakeIdleIf(aEndpoint, [&](const Connection& aConnection) {
      return aConnection.Mark() == aMark &&
             mSelector.IsOpenAndQuiet(aConnection);
    });
  }

  template<typename Condition>
  ConnectionPtr TakeIdleIf(const std::string& aEndpoint,
                           const Condition& aCondition)
  {
    const auto found = mIdleByEndpoint.find(aEndpoint);
    if (found == mIdleByEndpoint.end()) {
      return nullptr;
    }
    const TimePoint now = mClock.Now();
    auto& idle = found->second;
    // The last one has been idle for the shortest time.
    const auto last = std::find_if(
      idle.rbegin(), idle.rend(), [&](const IdleQueue::iterator& aEntry) {
        return (*aEntry)->ReusableUntil() > now && aCondition(**aEntry);
      });
    if (last == idle.rend()) {
      return nullptr;
    }
    ConnectionPtr connection = std::move(**last);
    mIdle.erase(*last);
    idle.erase(std::prev(last.base()));
    if (idle.empty()) {
      mIdleByEndpoint.erase(found);
    }
    return connection;
  }

  void AddIdle(ConnectionPtr aConnection, TimePoint aNow)
  {
    aConnection->SetReusableUntil(aNow + kMaxIdleTime);
    auto& sameEndpoint = mIdleByEndpoint[aConnection->GetEndpoint()];
    sameEndpoint.push_back(mIdle.insert(mIdle.end(), std::move(aConnection)));
  }

  bool HasExpiredIdle(TimePoint aNow) const
  {
    return !mIdle.empty() && mIdle.front()->ReusableUntil() <= aNow;
  }

  /// Closes a limited number of connections that can no longer be reused.
  void CloseIdle(TimePoint aNow)
  {
    for (int n = 0; n < kMaxClosesPerWait && HasExpiredIdle(aNow); ++n) {
      const auto found = mIdleByEndpoint.find(mIdle.front()->GetEndpoint());
      found->second.pop_front();
      if (found->second.empty()) {
        mIdleByEndpoint.erase(found);
      }
      mIdle.pop_front();
    }
  }

  /// Waits up to `aTime` for input and handles a limited number of reads per
  /// connection. Returns false if there was no input.
  bool HandleInput(base::Duration aTime)
  {
    try {
      return mSelector.wait(cxxtools::Milliseconds(
        std::chrono::duration<double, std::milli>(aTime).count()));
    } catch (const std::exception& e) {
      // The call on the failed socket ends at its deadline.
      logging::Write(logging::Level::Warning,
                     "call_loop_wait_failed",
                     { { "problem", e.what() } });
      // The failure has ended the reads of the other sockets early.
      return true;
    }
  }

  /// Ends the calls whose deadline has passed, after the input that has arrived
  /// by now.
  void ExpireCalls()
  {
    const TimePoint now = mClock.Now();
    // If this thread was late, complete responses may wait in the sockets.
    for (int n = 0; n < kMaxLateReads && !FindExpired(now).empty(); ++n) {
      if (!HandleInput(base::Duration::zero())) {
        break;
      }
    }
    for (Connection* it : FindExpired(now)) {
      it->Expire();
    }
  }

  /// The connections of unfinished calls whose deadline is at or before `aNow`.
  std::vector<Connection*> FindExpired(TimePoint aNow) const
  {
    std::vector<Connection*> expired;
    for (auto it = mActive.begin();
         it != mActive.end() && it->first.first <= aNow;
         ++it) {
      if (!it->second->IsFinished()) {
        expired.push_back(it->first.second);
      }
    }
    return expired;
  }

  void CompleteCalls()
  {
    const TimePoint now = mClock.Now();
    std::vector<ConnectionPtr> finished;
    for (Connection* it : mFinished) {
      const auto found = mActive.find(ActiveKey(it->Deadline(), it));
      finished.push_back(std::move(found->second));
      mActive.erase(found);
    }
    mFinished.clear();
    // A handler may start calls and thereby change the list of active ones,
    // also on its own connection.
    for (auto& it : finished) {
      const CallHandler handler = it->TakeHandler();
      base::Result<Response> result = it->TakeResult();
      if (!it->IsBroken()) {
        mHandled = it.get();
        AddIdle(std::move(it), now);
      }
      handler(std::move(result));
      mHandled = nullptr;
    }
  }

  const base::Clock& mClock;
  SocketSelector mSelector;
  /// Connections whose call has finished and whose handler is still to be
  /// called.
  std::vector<Connection*> mFinished;
  /// The connection whose handler is being called; null if it is not pooled.
  Connection* mHandled = nullptr;
  std::map<ActiveKey, ConnectionPtr> mActive;
  IdleQueue mIdle;
  /// The connections in mIdle, in the same order. No entry is empty.
  std::map<std::string, std::deque<IdleQueue::iterator>> mIdleByEndpoint;
};

} // namespace

std::unique_ptr<CallLoop>
CreateCallLoop(const base::Clock& aClock)
{
  return std::make_unique<CxxtoolsCallLoop>(aClock);
}

} // namespace skylarkhill::http
