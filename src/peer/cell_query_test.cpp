#include "skylarkhill/base/msgpack.hpp"
#include "skylarkhill/http/client.hpp"
#include "skylarkhill/http/endpoint.hpp"
#include "skylarkhill/http/server.hpp"
#include "skylarkhill/peer/cell_query_client.hpp"
#include "skylarkhill/peer/cell_query_handler.hpp"
#include "skylarkhill/testing/raw_connection.hpp"
#include "skylarkhill/testing/response_gate.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <limits>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <utility>

namespace skylarkhill::peer {

namespace {

using base::ErrorKind;
using base::MakeError;
using base::PackMsgpack;
using jobs::JobState;
using node::JobView;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCell = 7;
constexpr std::uint16_t kFirstPort = 28'700;
const std::string kJob = "0123456789abcdef";

std::string
LoopbackAddress(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

/// Answers as the test has set it, and records what it was asked.
class FakeQueries : public node::CellQueries
{
public:
  base::Result<JobView> FindJob(int aCell,
                                const std::string& aJobId,
                                base::TimePoint aDeadline) override
  {
    Record(aCell, aJobId, aDeadline);
    return mJob;
  }
  base::Result<std::vector<int>> ListOtherCells(
    int aCell,
    const std::string& aJobId,
    base::TimePoint aDeadline) override
  {
    Record(aCell, aJobId, aDeadline);
    return mOtherCells;
  }
  base::Result<std::size_t> CountPending(int aCell,
                                         std::string_view aQueue,
                                         base::TimePoint aDeadline) override
  {
    Record(aCell, std::string(aQueue), aDeadline);
    return mPending;
  }

  base::Result<JobView> mJob = JobView{ JobState::Running, std::nullopt };
  base::Result<std::vector<int>> mOtherCells = std::vector<int>{};
  base::Result<std::size_t> mPending = std::size_t{ 0 };
  /// Closed: accepts questions and does not answer.
  testing::ResponseGate mGate;
  std::atomic<int> mCalls{ 0 };

  std::string LastQuestion() const
  {
    const std::lock_guard lock(mLock);
    return mLastQuestion;
  }
  base::Duration LastRemaining() const
  {
    const std::lock_guard lock(mLock);
    return mLastRemaining;
  }

private:
  void Record(int aCell, const std::string& aSubject, base::TimePoint aDeadline)
  {
    ++mCalls;
    {
      const std::lock_guard lock(mLock);
      mLastQuestion = std::to_string(aCell) + " " + aSubject;
      mLastRemaining = aDeadline - base::GetBootClock().Now();
    }
    mGate.Wait();
  }

  mutable std::mutex mLock;
  std::string mLastQuestion;
  base::Duration mLastRemaining{};
};

/// Responds to every request with the same response.
class FixedHandler : public http::Handler
{
public:
  explicit FixedHandler(http::Response aResponse)
    : mResponse(std::move(aResponse))
  {
  }
  http::Response Handle(const http::Request&) override
  {
    ++mCalls;
    return mResponse;
  }

  std::atomic<int> mCalls{ 0 };

private:
  const http::Response mResponse;
};

std::unique_ptr<http::Server>
Serve(http::Handler& aHandler)
{
  http::ServerOptions options;
  options.mStopGrace = milliseconds(1);
  auto server = http::CreateServer(options, aHandler);
  CPPUNIT_ASSERT_MESSAGE(server ? "" : server.error().mDetail,
                         server.has_value());
  return std::move(server.value());
}

/// An instance that follows the cells of the test.
class Follower
{
public:
  Follower()
    : mHandler(CreateCellQueryHandler(mQueries, base::GetBootClock()))
    , mServer(Serve(*mHandler))
  {
  }
  ~Follower() { mQueries.mGate.SetClosed(false); }
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  std::string Address() const { return LoopbackAddress(mServer->Port()); }
  std::uint16_t Port() const { return mServer->Port(); }

  FakeQueries mQueries;

private:
  const std::unique_ptr<http::Handler> mHandler;
  const std::unique_ptr<http::Server> mServer;
};

/// A port that refuses connections and that nobody else can listen on.
class RefusingPort
{
public:
  RefusingPort()
    : mDescriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* const pointer = reinterpret_cast<sockaddr*>(&address);
    CPPUNIT_ASSERT_EQUAL(0, bind(mDescriptor, pointer, length));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(mDescriptor, pointer, &length));
    mPort = ntohs(address.sin_port);
  }
  ~RefusingPort() { close(mDescriptor); }
  RefusingPort(const RefusingPort&) = delete;
  RefusingPort& operator=(const RefusingPort&) = delete;

  std::uint16_t Port() const { return mPort; }
  std::string Address() const { return LoopbackAddress(mPort); }

private:
  const int mDescriptor;
  std::uint16_t mPort = 0;
};

class FakeFollowers : public node::CellFollowers
{
public:
  std::vector<std::string> FollowersOf(int aCell) const override
  {
    return mChoose ? mChoose(aCell) : mAddresses;
  }

  std::vector<std::string> mAddresses;
  /// Overrides mAddresses.
  std::function<std::vector<std::string>(int aCell)> mChoose;
};

/// Accepts one connection, answers one question and waits until the connection
/// is closed.
class OneConnectionFollower
{
public:
  OneConnectionFollower()
  {
    for (mPort = kFirstPort;; ++mPort) {
      try {
        mListener.listen("127.0.0.1", mPort);
        break;
      } catch (const std::exception&) {
        CPPUNIT_ASSERT(mPort < kFirstPort + 100);
      }
    }
    mThread = std::thread([this] { Run(); });
  }
  ~OneConnectionFollower()
  {
    mListener.terminateAccept();
    mThread.join();
  }
  OneConnectionFollower(const OneConnectionFollower&) = delete;
  OneConnectionFollower& operator=(const OneConnectionFollower&) = delete;

  std::string Address() const { return LoopbackAddress(mPort); }
  bool IsClosed() const { return mIsClosed; }

private:
  void Run()
  {
    const base::TimePoint deadline = base::GetBootClock().Now() + seconds(20);
    testing::RawConnection connection(base::GetBootClock());
    try {
      connection.Accept(mListener);
    } catch (const std::exception&) {
      return;
    }
    const std::string body = PackMsgpack(std::make_tuple("found", 5));
    if (!connection.ReadHead(10'000, deadline) ||
        !connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body,
                          deadline)) {
      return;
    }
    // The rest of the request is read as well, so the end comes last.
    while (true) {
      const auto byte = connection.ReadBody(1, deadline);
      if (!byte) {
        mIsClosed = byte.error().mKind == ErrorKind::ConnectionLost;
        return;
      }
    }
  }

  std::uint16_t mPort = 0;
  cxxtools::net::TcpServer mListener;
  std::atomic<bool> mIsClosed{ false };
  std::thread mThread;
};

template<typename T>
void
AssertKind(ErrorKind aKind, const base::Result<T>& aResult)
{
  CPPUNIT_ASSERT(aResult.has_error());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
    aResult.error().mDetail,
    std::string(base::NameOf(aKind)),
    std::string(base::NameOf(aResult.error().mKind)));
}

void
AssertContains(const std::string& aText, const std::string& aPart)
{
  CPPUNIT_ASSERT_MESSAGE(aText + " lacks " + aPart,
                         aText.find(aPart) != std::string::npos);
}

class CellQueryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CellQueryTest);
  CPPUNIT_TEST(AnswersAllQuestions);
  CPPUNIT_TEST(ShowsEveryStateOfAJob);
  CPPUNIT_TEST(NotFoundIsAnAnswer);
  CPPUNIT_TEST(AnInstanceThatRefusesConnectionsIsAskedLast);
  CPPUNIT_TEST(ASilentInstanceIsAskedLast);
  CPPUNIT_TEST(AnInstanceThatAnswersAgainIsAskedFirst);
  CPPUNIT_TEST(WaitsNoLongerThanTheDeadline);
  CPPUNIT_TEST(LogUnavailableLeadsToTheNextInstance);
  CPPUNIT_TEST(OtherErrorsComeBackAsLogUnavailable);
  CPPUNIT_TEST(AsksAtMostThreeInstances);
  CPPUNIT_TEST(ACellWithoutFollowersIsUnavailable);
  CPPUNIT_TEST(OddAddressesAreSkipped);
  CPPUNIT_TEST(OddAnswersAreNoAnswers);
  CPPUNIT_TEST(IgnoresFieldsOfNewerVersions);
  CPPUNIT_TEST(RefusesMalformedQuestions);
  CPPUNIT_TEST(RefusesUnknownPathsAndOddCells);
  CPPUNIT_TEST(BoundsTheRemainingTime);
  CPPUNIT_TEST(ServesManyThreads);
  CPPUNIT_TEST(DropsClientsOfUnusedAddresses);
  CPPUNIT_TEST_SUITE_END();

  FakeFollowers mFollowers;
  metrics::Registry mMetrics;
  /// Does not advance by itself, so that pauses do not expire on a slow
  /// machine. Timeouts of calls are unaffected.
  base::ManualClock mClock;
  std::unique_ptr<node::CellQueries> mClient;

  base::TimePoint Deadline() const { return mClock.Now() + seconds(5); }

  base::Result<JobView> FindJob()
  {
    return mClient->FindJob(kCell, kJob, Deadline());
  }

  std::int64_t CounterValue(std::string_view aName)
  {
    return mMetrics.GetCounter(aName, "").Value();
  }

  static http::Response Post(const Follower& aFollower,
                             const std::string& aPath,
                             const std::string& aBody,
                             const std::string& aMethod = "POST")
  {
    http::ClientOptions options;
    options.mAddress = "127.0.0.1";
    options.mPort = aFollower.Port();
    const auto client = http::CreateClient(options, base::GetBootClock());
    const auto response =
      client->Call({ aMethod, aPath, aBody, {}, http::Delivery::AtMostOnce },
                   base::GetBootClock().Now() + seconds(5));
    CPPUNIT_ASSERT_MESSAGE(response ? "" : response.error().mDetail,
                           response.has_value());
    return response.value();
  }

public:
  void setUp() override
  {
    mClient = CreateCellQueryClient(mFollowers, mClock, mMetrics);
  }
  /// The runner does not delete its tests.
  void tearDown() override { mClient.reset(); }

  // Guards against a question or an answer that is changed on its way.
  void AnswersAllQuestions()
  {
    Follower follower;
    mFollowers.mAddresses = { follower.Address() };
    FakeQueries& queries = follower.mQueries;
    queries.mJob = JobView{ JobState::Running, 3 };
    queries.mOtherCells = std::vector<int>{ 4, 2 };
    queries.mPending = std::size_t{ 12'345 };

    const auto job = FindJob();
    CPPUNIT_ASSERT(job && job.value().mState == JobState::Running);
    CPPUNIT_ASSERT(job.value().mTarget == 3);
    CPPUNIT_ASSERT_EQUAL("7 " + kJob, queries.LastQuestion());

    const auto cells = mClient->ListOtherCells(0, kJob, Deadline());
    CPPUNIT_ASSERT(cells && cells.value() == std::vector<int>({ 4, 2 }));
    CPPUNIT_ASSERT_EQUAL("0 " + kJob, queries.LastQuestion());

    const auto count = mClient->CountPending(23, "nightly jobs", Deadline());
    CPPUNIT_ASSERT(count && count.value() == 12'345);
    CPPUNIT_ASSERT_EQUAL(std::string("23 nightly jobs"),
                         queries.LastQuestion());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 },
                         CounterValue("skylarkhill_cell_questions_total"));
    CPPUNIT_ASSERT_EQUAL(
      std::int64_t{ 0 },
      CounterValue("skylarkhill_cell_question_attempts_failed_total"));
  }

  // Guards against a state that is lost or taken for another one.
  void ShowsEveryStateOfAJob()
  {
    for (const JobState it : { JobState::Pending,
                               JobState::Running,
                               JobState::Completed,
                               JobState::Failed,
                               JobState::Cancelled }) {
      Follower follower;
      mFollowers.mAddresses = { follower.Address() };
      follower.mQueries.mJob = JobView{ it, std::nullopt };
      const auto job = FindJob();
      CPPUNIT_ASSERT(job && job.value().mState == it);
      CPPUNIT_ASSERT(!job.value().mTarget);
    }
  }

  // Guards against a search for a missing job in all followers of the cell.
  void NotFoundIsAnAnswer()
  {
    Follower first;
    Follower second;
    mFollowers.mAddresses = { first.Address(), second.Address() };
    first.mQueries.mJob = MakeError(ErrorKind::NotFound);
    for (int n = 1; n <= 2; ++n) {
      AssertKind(ErrorKind::NotFound, FindJob());
      CPPUNIT_ASSERT_EQUAL(n, first.mQueries.mCalls.load());
    }
    CPPUNIT_ASSERT_EQUAL(0, second.mQueries.mCalls.load());
  }

  // Guards against an attempt at every question to reach an instance that is
  // gone, and against one that stays last although it is back.
  void AnInstanceThatRefusesConnectionsIsAskedLast()
  {
    const RefusingPort gone;
    Follower next;
    mFollowers.mAddresses = { gone.Address(), next.Address() };
    const std::string failed =
      "skylarkhill_cell_question_attempts_failed_total";
    CPPUNIT_ASSERT(FindJob());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, CounterValue(failed));
    CPPUNIT_ASSERT(FindJob());
    mClock.Advance(seconds(2) - milliseconds(1));
    CPPUNIT_ASSERT(FindJob());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, CounterValue(failed));
    mClock.Advance(milliseconds(1));
    CPPUNIT_ASSERT(FindJob());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, CounterValue(failed));
    CPPUNIT_ASSERT_EQUAL(4, next.mQueries.mCalls.load());
  }

  // Guards against a cut-off instance that costs every call its timeout, also
  // for other cells.
  void ASilentInstanceIsAskedLast()
  {
    Follower silent;
    Follower next;
    silent.mQueries.mGate.SetClosed(true);
    mFollowers.mAddresses = { silent.Address(), next.Address() };
    const base::TimePoint start = base::GetBootClock().Now();
    CPPUNIT_ASSERT(FindJob());
    CPPUNIT_ASSERT(base::GetBootClock().Now() - start < seconds(3));
    CPPUNIT_ASSERT_EQUAL(1, silent.mQueries.mCalls.load());
    for (int n = 2; n <= 20; ++n) {
      CPPUNIT_ASSERT(mClient->CountPending(n, "batch", Deadline()));
      CPPUNIT_ASSERT_EQUAL(n, next.mQueries.mCalls.load());
    }
    CPPUNIT_ASSERT_EQUAL(1, silent.mQueries.mCalls.load());
  }

  // Guards against an instance that answers and is passed over nevertheless.
  void AnInstanceThatAnswersAgainIsAskedFirst()
  {
    Follower first;
    Follower second;
    first.mQueries.mGate.SetClosed(true);
    mFollowers.mAddresses = { first.Address(), second.Address() };
    CPPUNIT_ASSERT(FindJob());
    first.mQueries.mGate.SetClosed(false);
    second.mQueries.mJob = MakeError(ErrorKind::LogUnavailable);
    // The second one fails, and the first one answers.
    CPPUNIT_ASSERT(FindJob());
    CPPUNIT_ASSERT_EQUAL(2, second.mQueries.mCalls.load());
    // The second one has not failed for this cell.
    CPPUNIT_ASSERT(mClient->FindJob(kCell + 1, kJob, Deadline()));
    CPPUNIT_ASSERT_EQUAL(2, second.mQueries.mCalls.load());
    CPPUNIT_ASSERT_EQUAL(3, first.mQueries.mCalls.load());
  }

  // Guards against callers and followers that wait beyond the deadline.
  void WaitsNoLongerThanTheDeadline()
  {
    constexpr milliseconds kTime(100);
    Follower silent;
    Follower next;
    silent.mQueries.mGate.SetClosed(true);
    mFollowers.mAddresses = { silent.Address(), next.Address() };
    const base::Clock& clock = base::GetBootClock();
    mClient = CreateCellQueryClient(mFollowers, clock, mMetrics);
    const base::TimePoint start = clock.Now();
    const auto job = mClient->FindJob(kCell, kJob, start + kTime);
    const base::Duration elapsed = clock.Now() - start;
    AssertKind(ErrorKind::LogUnavailable, job);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(elapsed.count()),
                           elapsed < milliseconds(400));
    CPPUNIT_ASSERT(silent.mQueries.LastRemaining() <= kTime);
    CPPUNIT_ASSERT_EQUAL(0, next.mQueries.mCalls.load());

    const auto late = mClient->FindJob(kCell, kJob, clock.Now());
    AssertKind(ErrorKind::LogUnavailable, late);
    AssertContains(late.error().mDetail, "deadline");
    CPPUNIT_ASSERT_EQUAL(0, next.mQueries.mCalls.load());
  }

  // Guards against a question that fails although another follower can read the
  // journal, and against one follower that is passed over for other cells too.
  void LogUnavailableLeadsToTheNextInstance()
  {
    Follower first;
    Follower second;
    mFollowers.mAddresses = { first.Address(), second.Address() };
    first.mQueries.mOtherCells = MakeError(ErrorKind::LogUnavailable);
    second.mQueries.mOtherCells = std::vector<int>{ 1 };
    for (int n = 1; n <= 2; ++n) {
      const auto cells = mClient->ListOtherCells(kCell, kJob, Deadline());
      CPPUNIT_ASSERT(cells && cells.value() == std::vector<int>{ 1 });
      CPPUNIT_ASSERT_EQUAL(1, first.mQueries.mCalls.load());
      CPPUNIT_ASSERT_EQUAL(n, second.mQueries.mCalls.load());
    }
    CPPUNIT_ASSERT(mClient->FindJob(kCell + 1, kJob, Deadline()));
    CPPUNIT_ASSERT_EQUAL(2, first.mQueries.mCalls.load());
  }

  // Guards against a failure of a follower that is taken for an answer.
  void OtherErrorsComeBackAsLogUnavailable()
  {
    Follower follower;
    mFollowers.mAddresses = { follower.Address() };
    for (const ErrorKind it : { ErrorKind::LogUnavailable,
                                ErrorKind::DeadlineExceeded,
                                ErrorKind::InvalidArgument,
                                ErrorKind::Internal }) {
      follower.mQueries.mJob = MakeError(it, "journal 7");
      const auto job = FindJob();
      AssertKind(ErrorKind::LogUnavailable, job);
      AssertContains(job.error().mDetail, "cell 7");
      AssertContains(job.error().mDetail, follower.Address());
      AssertContains(job.error().mDetail, "journal 7");
      const http::Response response =
        Post(follower, "/cells/7/job", PackMsgpack(std::make_tuple(100, kJob)));
      CPPUNIT_ASSERT_EQUAL(503, response.mStatus);
      AssertContains(response.mBody, "\"log_unavailable\"");
    }
  }

  // Guards against a question that goes to all followers of a cell when its
  // journal cannot be read.
  void AsksAtMostThreeInstances()
  {
    std::vector<std::unique_ptr<Follower>> followers;
    for (int n = 0; n < 4; ++n) {
      followers.push_back(std::make_unique<Follower>());
      followers.back()->mQueries.mJob =
        MakeError(ErrorKind::LogUnavailable, "journal " + std::to_string(n));
      mFollowers.mAddresses.push_back(followers.back()->Address());
    }
    const auto job = FindJob();
    AssertKind(ErrorKind::LogUnavailable, job);
    AssertContains(job.error().mDetail, "journal 2");
    for (int n = 0; n < 4; ++n) {
      CPPUNIT_ASSERT_EQUAL(n < 3 ? 1 : 0, followers[n]->mQueries.mCalls.load());
    }
    // The one that has not failed is now asked first.
    followers[3]->mQueries.mJob = JobView{};
    CPPUNIT_ASSERT(FindJob());
    CPPUNIT_ASSERT_EQUAL(1, followers[3]->mQueries.mCalls.load());
    CPPUNIT_ASSERT_EQUAL(1, followers[0]->mQueries.mCalls.load());
    CPPUNIT_ASSERT_EQUAL(
      std::int64_t{ 3 },
      CounterValue("skylarkhill_cell_question_attempts_failed_total"));
  }

  // Guards against a cell without followers whose jobs are taken for missing.
  void ACellWithoutFollowersIsUnavailable()
  {
    const auto job = FindJob();
    AssertKind(ErrorKind::LogUnavailable, job);
    AssertContains(job.error().mDetail, "cell 7");
    AssertKind(ErrorKind::LogUnavailable,
               mClient->ListOtherCells(kCell, kJob, Deadline()));
    AssertKind(ErrorKind::LogUnavailable,
               mClient->CountPending(kCell, "batch", Deadline()));
  }

  // Guards against odd addresses of other writers that use up the attempts.
  void OddAddressesAreSkipped()
  {
    Follower follower;
    mFollowers.mAddresses = {
      "", "127.0.0.1", "127.0.0.1:99999", "x:80", follower.Address()
    };
    CPPUNIT_ASSERT(FindJob());
    mFollowers.mAddresses.pop_back();
    const auto job = FindJob();
    AssertKind(ErrorKind::LogUnavailable, job);
    AssertContains(job.error().mDetail, "x:80");
  }

  // Guards against odd bytes that end the process or that are taken for an
  // answer, such as a missing list for an empty one, or the 404 of another
  // server for a missing job.
  void OddAnswersAreNoAnswers()
  {
    Follower follower;
    const auto huge = std::numeric_limits<std::uint64_t>::max();
    const std::string nested(1000, '\x91');
    std::vector<http::Response> responses;
    for (const std::string& it :
         { std::string(),
           std::string("\xC1"),
           nested,
           nested + "\x01",
           std::string("\xDD\xFF\xFF\xFF\xFF"),
           std::string("\xDB\xFF\xFF\xFF\xFF"),
           std::string("{}"),
           PackMsgpack(std::vector<int>{}),
           PackMsgpack(huge),
           PackMsgpack(std::make_tuple("found")),
           PackMsgpack(std::make_tuple("lost", "running", 1)),
           PackMsgpack(std::make_tuple("found", "paused", 1)),
           PackMsgpack(std::make_tuple("found", -1)),
           PackMsgpack(std::make_tuple("found", 1.5, 1.5)),
           PackMsgpack(std::make_tuple("found", "running", huge)),
           PackMsgpack(std::make_tuple("found", "running", -1)),
           PackMsgpack(std::make_tuple("found", std::vector<int>{ -1 })),
           PackMsgpack(std::make_tuple("found", std::vector<int>{ 1024 })),
           PackMsgpack(
             std::make_tuple("found", std::vector<std::uint64_t>{ huge })),
           PackMsgpack(std::make_tuple(1, 2, 3)) }) {
      responses.emplace_back();
      responses.back().mBody = it;
    }
    for (const char* it :
         { R"({"error":"not_found","detail":"","retry":"never"})",
           "not found",
           R"([[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[)" }) {
      responses.emplace_back();
      responses.back().mStatus = 404;
      responses.back().mBody = it;
    }
    for (const http::Response& it : responses) {
      FixedHandler handler(it);
      const auto server = Serve(handler);
      mFollowers.mAddresses = { LoopbackAddress(server->Port()),
                                follower.Address() };
      follower.mQueries.mCalls = 0;
      mClient = CreateCellQueryClient(mFollowers, mClock, mMetrics);
      // Each question for another cell, so that the odd one is asked first.
      CPPUNIT_ASSERT(mClient->FindJob(1, kJob, Deadline()));
      CPPUNIT_ASSERT(mClient->ListOtherCells(2, kJob, Deadline()));
      CPPUNIT_ASSERT(mClient->CountPending(3, "batch", Deadline()));
      CPPUNIT_ASSERT_EQUAL(3, handler.mCalls.load());
      CPPUNIT_ASSERT_EQUAL(3, follower.mQueries.mCalls.load());
    }
  }

  // Guards against a version that cannot talk to one that knows more fields.
  void IgnoresFieldsOfNewerVersions()
  {
    Follower follower;
    follower.mQueries.mPending = std::size_t{ 3 };
    const http::Response response =
      Post(follower,
           "/cells/7/pending",
           PackMsgpack(std::make_tuple(100, "batch", "new", 1)));
    CPPUNIT_ASSERT_EQUAL(200, response.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("7 batch"),
                         follower.mQueries.LastQuestion());

    http::Response answer;
    answer.mBody =
      PackMsgpack(std::make_tuple("found", "failed", 2, std::vector<int>{ 1 }));
    FixedHandler handler(answer);
    const auto server = Serve(handler);
    mFollowers.mAddresses = { LoopbackAddress(server->Port()) };
    const auto job = FindJob();
    CPPUNIT_ASSERT(job && job.value().mState == JobState::Failed);
    CPPUNIT_ASSERT(job.value().mTarget == 2);

    answer.mBody = PackMsgpack(std::make_tuple("not_found", "reason"));
    FixedHandler missing(answer);
    const auto other = Serve(missing);
    mFollowers.mAddresses = { LoopbackAddress(other->Port()) };
    AssertKind(ErrorKind::NotFound, FindJob());
  }

  // Guards against a malformed question that ends the process or reaches the
  // journal.
  void RefusesMalformedQuestions()
  {
    Follower follower;
    const std::string nested(100'000, '\x91');
    const auto huge = std::numeric_limits<std::uint64_t>::max();
    for (const std::string& it :
         { std::string(),
           std::string("\xC1"),
           std::string("{\"job\":1}"),
           nested,
           nested + "\x01",
           std::string("\xDD\xFF\xFF\xFF\xFF"),
           std::string("\x92\x01\xDB\xFF\xFF\xFF\xFF"),
           PackMsgpack(std::vector<int>{}),
           PackMsgpack(std::make_tuple(100)),
           PackMsgpack(kJob),
           PackMsgpack(std::make_tuple(huge, kJob)),
           PackMsgpack(std::make_tuple(0, kJob)),
           PackMsgpack(std::make_tuple(-1, kJob)),
           PackMsgpack(std::make_tuple(1.5, kJob)),
           PackMsgpack(std::make_tuple("100", kJob)),
           PackMsgpack(std::make_tuple(100, 5)),
           PackMsgpack(std::make_tuple(100, "")),
           PackMsgpack(std::make_tuple(100, "\xFF")),
           PackMsgpack(std::make_tuple(100, std::string(5000, 'j'))) }) {
      for (const char* path : { "job", "other-cells", "pending" }) {
        const http::Response response =
          Post(follower, std::string("/cells/7/") + path, it);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.substr(0, 20), 400, response.mStatus);
      }
    }
    CPPUNIT_ASSERT_EQUAL(0, follower.mQueries.mCalls.load());
    mFollowers.mAddresses = { follower.Address() };
    CPPUNIT_ASSERT(FindJob());
  }

  // Guards against an odd cell number that is taken for another cell.
  void RefusesUnknownPathsAndOddCells()
  {
    Follower follower;
    const std::string body = PackMsgpack(std::make_tuple(100, kJob));
    for (const char* it : { "/",
                            "/cells",
                            "/cells/",
                            "/cells/7",
                            "/cells/7/",
                            "/cells/7/jobs",
                            "/cells/7/job/",
                            "/cells/7/job/1",
                            "/cells//7/job",
                            "/CELLS/7/job",
                            "/x/cells/7/job" }) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, 404, Post(follower, it, body).mStatus);
    }
    for (const char* it : { "",
                            "-1",
                            "+7",
                            "07",
                            "-0",
                            "7x",
                            "x",
                            "%207",
                            "7%01",
                            "7.0",
                            "0x7",
                            "1024",
                            "4294967303",
                            "18446744073709551623" }) {
      const std::string path = "/cells/" + std::string(it) + "/job";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        path, 400, Post(follower, path, body).mStatus);
    }
    CPPUNIT_ASSERT_EQUAL(404,
                         Post(follower, "/cells/7/job", body, "PUT").mStatus);
    CPPUNIT_ASSERT_EQUAL(0, follower.mQueries.mCalls.load());
  }

  // Guards against a caller that keeps a thread of a follower for long, and
  // against a sum of times that overflows.
  void BoundsTheRemainingTime()
  {
    Follower follower;
    for (const std::int64_t it :
         { std::int64_t{ 6000 }, std::numeric_limits<std::int64_t>::max() }) {
      CPPUNIT_ASSERT_EQUAL(
        200,
        Post(follower, "/cells/7/job", PackMsgpack(std::make_tuple(it, kJob)))
          .mStatus);
      CPPUNIT_ASSERT(follower.mQueries.LastRemaining() <= seconds(5));
    }
    mFollowers.mAddresses = { follower.Address() };
    CPPUNIT_ASSERT(FindJob());
    CPPUNIT_ASSERT(follower.mQueries.LastRemaining() < milliseconds(400));
  }

  // Guards against data races between the threads of the server.
  void ServesManyThreads()
  {
    constexpr int kThreads = 24;
    constexpr int kQuestions = 20;
    const RefusingPort gone;
    Follower first;
    Follower second;
    first.mQueries.mJob = JobView{ JobState::Pending, 1 };
    second.mQueries.mJob = JobView{ JobState::Pending, 1 };
    mFollowers.mAddresses = { gone.Address(),
                              first.Address(),
                              second.Address() };
    std::atomic<int> answers{ 0 };
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int n = 0; n < kThreads; ++n) {
      threads.emplace_back([&, n] {
        for (int k = 0; k < kQuestions; ++k) {
          const auto job = mClient->FindJob(n, kJob, Deadline());
          answers += job && job.value().mTarget == 1 ? 1 : 0;
        }
      });
    }
    for (auto& it : threads) {
      it.join();
    }
    CPPUNIT_ASSERT_EQUAL(kThreads * kQuestions, answers.load());
  }

  // Guards against connections and memory that grow with every address that a
  // follower has ever had.
  void DropsClientsOfUnusedAddresses()
  {
    constexpr int kAddresses = 48;
    const RefusingPort gone;
    const OneConnectionFollower follower;
    mFollowers.mChoose = [&](int aCell) -> std::vector<std::string> {
      return { aCell == 0 ? follower.Address()
                          : "127.0.1." + std::to_string(aCell) + ":" +
                              std::to_string(gone.Port()) };
    };
    const auto count = mClient->CountPending(0, "batch", Deadline());
    CPPUNIT_ASSERT(count && count.value() == 5);
    for (int n = 1; n < kAddresses; ++n) {
      AssertKind(ErrorKind::LogUnavailable,
                 mClient->CountPending(n, "batch", Deadline()));
    }
    std::this_thread::sleep_for(milliseconds(50));
    CPPUNIT_ASSERT(!follower.IsClosed());
    AssertKind(ErrorKind::LogUnavailable,
               mClient->CountPending(kAddresses, "batch", Deadline()));
    const base::TimePoint end = base::GetBootClock().Now() + seconds(10);
    while (!follower.IsClosed() && base::GetBootClock().Now() < end) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    CPPUNIT_ASSERT(follower.IsClosed());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellQueryTest);

} // namespace

} // namespace skylarkhill::peer
