#include "skylarkhill/http/client.hpp"
#include "skylarkhill/testing/raw_connection.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <thread>

namespace skylarkhill::http {

namespace {

using base::ErrorKind;
using Connection = testing::RawConnection;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t kFirstPort = 28'100;
const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A server that counts connections and requests and passes each request to a
/// callback.
class CountingServer
{
public:
  /// Called with every complete request; false closes the connection.
  using RequestCallback = std::function<bool(Connection&, int aRequest)>;

  explicit CountingServer(RequestCallback aCallback)
    : mCallback(std::move(aCallback))
  {
    for (mPort = kFirstPort;; ++mPort) {
      try {
        mListener.listen("127.0.0.1", mPort);
        break;
      } catch (const std::exception&) {
        CPPUNIT_ASSERT(mPort < kFirstPort + 100);
      }
    }
    mThread = std::thread([this] { AcceptAll(); });
  }
  ~CountingServer()
  {
    mListener.terminateAccept();
    mThread.join();
    for (auto& it : mConnectionThreads) {
      it.join();
    }
  }

  std::uint16_t Port() const { return mPort; }
  int Requests() const { return mRequests; }
  int Connections() const { return mConnections; }

private:
  void AcceptAll()
  {
    try {
      while (true) {
        auto connection = std::make_unique<Connection>(base::GetBootClock());
        connection->Accept(mListener);
        ++mConnections;
        mConnectionThreads.emplace_back(
          [this, it = std::move(connection)] { Serve(*it); });
      }
    } catch (const std::exception&) {
      return;
    }
  }

  static std::size_t BodyLength(const std::string& aHead)
  {
    const std::string name = "Content-Length: ";
    const std::size_t found = aHead.find(name);
    return found == std::string::npos
             ? 0
             : std::stoul(aHead.substr(found + name.size()));
  }

  void Serve(Connection& aConnection)
  {
    const auto deadline = base::GetBootClock().Now() + seconds(5);
    while (true) {
      const auto text = aConnection.ReadHead(10'000, deadline);
      if (!text) {
        return;
      }
      if (!aConnection.ReadBody(BodyLength(text.value()), deadline)) {
        return;
      }
      if (!mCallback(aConnection, ++mRequests)) {
        return;
      }
    }
  }

  const RequestCallback mCallback;
  std::uint16_t mPort = 0;
  cxxtools::net::TcpServer mListener;
  std::atomic<int> mRequests{ 0 };
  std::atomic<int> mConnections{ 0 };
  std::thread mThread;
  std::vector<std::thread> mConnectionThreads;
};

bool
SendResponse(Connection& aConnection, const std::string& aText)
{
  const auto deadline = base::GetBootClock().Now() + seconds(5);
  return aConnection.Write(aText, deadline).has_value();
}

class ClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(SendsOnceIfTheServerClosesAfterReceiving);
  CPPUNIT_TEST(SendsOnceDespiteABrokenPooledConnection);
  CPPUNIT_TEST(SendsOnceIfTheServerDoesNotRespond);
  CPPUNIT_TEST(IdempotentCallsReplaceAClosedPooledConnection);
  CPPUNIT_TEST(ReplacesAClosedPooledConnectionBeforeSending);
  CPPUNIT_TEST(PooledConnectionsExpire);
  CPPUNIT_TEST(DistinguishesUnsentFromSentRequests);
  CPPUNIT_TEST(IncompleteResponsesAreErrors);
  CPPUNIT_TEST_SUITE_END();

  static std::unique_ptr<Client> MakeClient(
    const CountingServer& aServer,
    const base::Clock& aClock = base::GetBootClock())
  {
    ClientOptions options;
    options.mAddress = "127.0.0.1";
    options.mPort = aServer.Port();
    return CreateClient(options, aClock);
  }

  static base::Result<Response> Send(Client& aClient,
                                     Delivery aDelivery,
                                     base::Duration aTimeout = seconds(5))
  {
    return aClient.Call({ "POST", "/x", "body", {}, aDelivery },
                        base::GetBootClock().Now() + aTimeout);
  }

  static void AssertKind(ErrorKind aKind, const base::Result<Response>& aResult)
  {
    CPPUNIT_ASSERT(aResult.has_error());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      aResult.error().mDetail,
      std::string(base::NameOf(aKind)),
      std::string(base::NameOf(aResult.error().mKind)));
  }

public:
  // Guards against a transparent resend, which runs the request twice.
  void SendsOnceIfTheServerClosesAfterReceiving()
  {
    CountingServer server([](Connection&, int) { return false; });
    const auto client = MakeClient(server);
    AssertKind(ErrorKind::ConnectionLost, Send(*client, Delivery::AtMostOnce));
    CPPUNIT_ASSERT_EQUAL(1, server.Requests());
    CPPUNIT_ASSERT_EQUAL(1, server.Connections());
  }

  // Guards against sending on a pooled connection, which the server may be
  // about to close. The client can detect a half-closed connection before the
  // call, but not one that the server closes on receiving the request.
  void SendsOnceDespiteABrokenPooledConnection()
  {
    for (const bool isHalfClosed : { true, false }) {
      CountingServer server([&](Connection& aConnection, int aRequest) {
        if (aRequest != 1) {
          return false;
        }
        const bool isWritten = SendResponse(aConnection, kOk);
        if (isHalfClosed) {
          aConnection.EndWriting();
        }
        return isWritten;
      });
      const auto client = MakeClient(server);
      CPPUNIT_ASSERT(Send(*client, Delivery::Idempotent));
      AssertKind(ErrorKind::ConnectionLost,
                 Send(*client, Delivery::AtMostOnce));
      CPPUNIT_ASSERT_EQUAL(2, server.Requests());
      CPPUNIT_ASSERT_EQUAL(2, server.Connections());
    }
  }

  // Guards against a resend after a timeout, for example behind a middlebox
  // that has dropped its state of the connection.
  void SendsOnceIfTheServerDoesNotRespond()
  {
    CountingServer server([](Connection&, int) { return true; });
    const auto client = MakeClient(server);
    AssertKind(ErrorKind::DeadlineExceeded,
               Send(*client, Delivery::AtMostOnce, milliseconds(100)));
    CPPUNIT_ASSERT_EQUAL(1, server.Requests());
    CPPUNIT_ASSERT_EQUAL(1, server.Connections());
  }

  void IdempotentCallsReplaceAClosedPooledConnection()
  {
    CountingServer server([](Connection& aConnection, int aRequest) {
      return aRequest != 2 && SendResponse(aConnection, kOk);
    });
    const auto client = MakeClient(server);
    // Guards against treating an error response to a resent request as proof
    // that the request did not run.
    const auto first = Send(*client, Delivery::Idempotent);
    CPPUNIT_ASSERT(first && !first.value().mIsPossiblyResent);
    const auto second = Send(*client, Delivery::Idempotent);
    CPPUNIT_ASSERT(second && second.value().mIsPossiblyResent);
    // Guards against late answers to callers, because every error response on a
    // connection in use is taken for that to a second copy.
    const auto third = Send(*client, Delivery::Idempotent);
    CPPUNIT_ASSERT(third && !third.value().mIsPossiblyResent);
    CPPUNIT_ASSERT_EQUAL(4, server.Requests());
    CPPUNIT_ASSERT_EQUAL(2, server.Connections());
  }

  // Guards against a request that is sent to a connection which the server has
  // closed, and then again, so that its response proves nothing.
  void ReplacesAClosedPooledConnectionBeforeSending()
  {
    std::atomic<bool> isClosed{ false };
    CountingServer server([&](Connection& aConnection, int aRequest) {
      const bool isWritten = SendResponse(aConnection, kOk);
      if (aRequest == 1) {
        aConnection.EndWriting();
        isClosed = true;
      }
      return isWritten;
    });
    const auto client = MakeClient(server);
    CPPUNIT_ASSERT(Send(*client, Delivery::Idempotent));
    while (!isClosed) {
      std::this_thread::yield();
    }
    const auto second = Send(*client, Delivery::Idempotent);
    CPPUNIT_ASSERT(second && !second.value().mIsPossiblyResent);
    CPPUNIT_ASSERT_EQUAL(2, server.Requests());
    CPPUNIT_ASSERT_EQUAL(2, server.Connections());
  }

  void PooledConnectionsExpire()
  {
    CountingServer server([](Connection& aConnection, int) {
      return SendResponse(aConnection, kOk);
    });
    base::ManualClock clock;
    const auto client = MakeClient(server, clock);
    const ClientRequest request{ "GET", "/", "", {}, Delivery::Idempotent };
    CPPUNIT_ASSERT(client->Call(request, clock.Now() + seconds(5)));
    clock.Advance(seconds(5));
    CPPUNIT_ASSERT(client->Call(request, clock.Now() + seconds(5)));
    CPPUNIT_ASSERT_EQUAL(2, server.Connections());
  }

  void DistinguishesUnsentFromSentRequests()
  {
    std::unique_ptr<Client> client;
    {
      const CountingServer server([](Connection&, int) { return false; });
      client = MakeClient(server);
      AssertKind(ErrorKind::WorkerUnavailable,
                 Send(*client, Delivery::AtMostOnce, milliseconds(-1)));
      AssertKind(
        ErrorKind::InvalidArgument,
        client->Call(
          { "GET", "/ HTTP/1.1\r\nX: y", "", {}, Delivery::AtMostOnce },
          base::GetBootClock().Now() + seconds(5)));
      CPPUNIT_ASSERT_EQUAL(0, server.Connections());
    }
    AssertKind(ErrorKind::WorkerUnavailable,
               Send(*client, Delivery::AtMostOnce));
  }

  // Guards against returning a partial body as a complete response.
  void IncompleteResponsesAreErrors()
  {
    for (const char* it : { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
                            "HTTP/1.1 200 OK\r\n\r\nok",
                            "HTTP/1.1 200 OK\r\nContent-Le",
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n0\r\n\r\n" }) {
      CountingServer server([it](Connection& aConnection, int) {
        SendResponse(aConnection, it);
        return false;
      });
      const auto client = MakeClient(server);
      AssertKind(ErrorKind::ConnectionLost,
                 Send(*client, Delivery::AtMostOnce));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

} // namespace

} // namespace skylarkhill::http
