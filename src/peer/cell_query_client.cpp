#include "skylarkhill/peer/cell_query_client.hpp"

#include "skylarkhill/http/client.hpp"
#include "skylarkhill/http/endpoint.hpp"
#include "skylarkhill/http/error_body.hpp"
#include "skylarkhill/logging/logging.hpp"
#include "skylarkhill/peer/cell_query_codec.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkhill::peer {

using base::ErrorKind;
using base::MakeError;
using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Followers that are asked the same question.
constexpr int kMaxAsked = 3;
constexpr base::Duration kAttemptTimeout = milliseconds(400);
/// No attempt begins with less time until the deadline. The HTTP client may
/// time out slightly early, and the rest is then too short for an answer.
constexpr base::Duration kMinAttemptTime = milliseconds(10);
/// An instance that has failed to answer is asked last for this time.
constexpr base::Duration kAskLastTime = seconds(2);
/// Part of the time of an attempt that is left for the transport of the answer.
constexpr int kTransportShare = 8;
/// Addresses with a client; beyond this, the one that was unused for the
/// longest time loses it.
constexpr std::size_t kMaxClients = 48;
constexpr std::size_t kMaxIdleConnections = 4;
constexpr std::size_t kMaxAnswerBytes = std::size_t{ 64 } << 10;
constexpr std::size_t kMaxProblemBytes = 200;
/// Time between two log lines about the same cell.
constexpr base::Duration kLogInterval = seconds(1);
constexpr int kStatusOk = 200;

/// The start of `aText`, without a part of a UTF-8 character at its end.
std::string
Shorten(std::string_view aText, std::size_t aMaxBytes)
{
  if (aText.size() <= aMaxBytes) {
    return std::string(aText);
  }
  const auto isContinuation = [](char aByte) {
    return (static_cast<unsigned char>(aByte) & 0xC0U) == 0x80U;
  };
  std::size_t n = aMaxBytes;
  while (n > 0 && isContinuation(aText[n])) {
    --n;
  }
  return std::string(aText.substr(0, n));
}

/// The clients of the addresses used last. Thread-safe.
class ClientPool
{
public:
  explicit ClientPool(const base::Clock& aClock)
    : mClock(aClock)
  {
  }

  std::shared_ptr<http::Client> ClientOf(const http::Endpoint& aEndpoint)
  {
    // Closes its connections after the lock is released.
    std::shared_ptr<http::Client> dropped;
    const std::lock_guard lock(mLock);
    Entry& entry = mEntries[{ aEndpoint.mIp, aEndpoint.mPort }];
    entry.mLastUse = ++mUses;
    if (entry.mClient == nullptr) {
      entry.mClient = CreateClient(aEndpoint);
    }
    auto client = entry.mClient;
    if (mEntries.size() > kMaxClients) {
      const auto oldest = std::min_element(
        mEntries.begin(),
        mEntries.end(),
        [](const auto& aLeft, const auto& aRight) {
          return aLeft.second.mLastUse < aRight.second.mLastUse;
        });
      dropped = std::move(oldest->second.mClient);
      mEntries.erase(oldest);
    }
    return client;
  }

private:
  struct Entry
  {
    std::shared_ptr<http::Client> mClient;
    std::uint64_t mLastUse = 0;
  };

  std::shared_ptr<http::Client> CreateClient(
    const http::Endpoint& aEndpoint) const
  {
    http::ClientOptions options;
    options.mAddress = aEndpoint.mIp;
    options.mPort = aEndpoint.mPort;
    options.mMaxBodyBytes = kMaxAnswerBytes;
    options.mMaxIdleConnections = kMaxIdleConnections;
    return http::CreateClient(std::move(options), mClock);
  }

  const base::Clock& mClock;
  std::mutex mLock;
  std::uint64_t mUses = 0;
  std::map<std::pair<std::string, std::uint16_t>, Entry> mEntries;
};

/// The instances that have failed to answer recently. Thread-safe.
class RecentFailures
{
public:
  /// The instance did not answer at all.
  void Add(const std::string& aAddress, TimePoint aNow)
  {
    Add(aAddress, kAllCells, aNow);
  }
  /// The instance could not answer a question about the cell.
  void Add(const std::string& aAddress, int aCell, TimePoint aNow)
  {
    const std::lock_guard lock(mLock);
    for (auto it = mAskLastUntil.begin(); it != mAskLastUntil.end();) {
      it = it->second <= aNow ? mAskLastUntil.erase(it) : std::next(it);
    }
    mAskLastUntil[{ aAddress, aCell }] = aNow + kAskLastTime;
  }
  /// The instance has answered a question about the cell.
  void Remove(const std::string& aAddress, int aCell)
  {
    const std::lock_guard lock(mLock);
    if (!mAskLastUntil.empty()) {
      mAskLastUntil.erase({ aAddress, kAllCells });
      mAskLastUntil.erase({ aAddress, aCell });
    }
  }
  /// The addresses in the order in which to ask them: those that have failed
  /// recently are last, the one whose failure is the oldest first.
  std::vector<std::string> Sort(std::vector<std::string> aAddresses,
                                int aCell,
                                TimePoint aNow) const
  {
    const std::lock_guard lock(mLock);
    if (mAskLastUntil.empty()) {
      return aAddresses;
    }
    std::vector<std::pair<TimePoint, std::string>> ranked;
    ranked.reserve(aAddresses.size());
    for (std::string& it : aAddresses) {
      const TimePoint until = std::max(Find(it, kAllCells), Find(it, aCell));
      ranked.emplace_back(until > aNow ? until : TimePoint::min(),
                          std::move(it));
    }
    std::stable_sort(
      ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.first < aRight.first;
      });
    std::transform(ranked.begin(),
                   ranked.end(),
                   aAddresses.begin(),
                   [](auto& aEntry) { return std::move(aEntry.second); });
    return aAddresses;
  }

private:
  static constexpr int kAllCells = -1;

  TimePoint Find(const std::string& aAddress, int aCell) const
  {
    const auto it = mAskLastUntil.find({ aAddress, aCell });
    return it != mAskLastUntil.end() ? it->second : TimePoint::min();
  }

  mutable std::mutex mLock;
  /// By address and cell.
  std::map<std::pair<std::string, int>, TimePoint> mAskLastUntil;
};

/// Writes at most one line for each cell and interval. Thread-safe.
class FailureLog
{
public:
  void Write(int aCell, int aAsked, const std::string& aProblem, TimePoint aNow)
  {
    const auto failures = Count(aCell, aNow);
    if (!failures) {
      return;
    }
    logging::Write(logging::Level::Warning,
                   "cell_query_failed",
                   { { "cell", aCell },
                     { "asked", aAsked },
                     { "problem", aProblem },
                     { "failures", *failures } });
  }

private:
  struct Entry
  {
    std::int64_t mFailures = 0;
    TimePoint mNextLineAt = TimePoint::min();
  };

  /// The number of failures since the last line, if a line is due.
  std::optional<std::int64_t> Count(int aCell, TimePoint aNow)
  {
    const std::lock_guard lock(mLock);
    Entry& entry = mEntries[aCell];
    ++entry.mFailures;
    if (aNow < entry.mNextLineAt) {
      return std::nullopt;
    }
    entry.mNextLineAt = aNow + kLogInterval;
    return std::exchange(entry.mFailures, 0);
  }

  std::mutex mLock;
  std::map<int, Entry> mEntries;
};

class CellQueryClient : public node::CellQueries
{
public:
  CellQueryClient(const node::CellFollowers& aFollowers,
                  const base::Clock& aClock,
                  metrics::Registry& aMetrics)
    : mFollowers(aFollowers)
    , mClock(aClock)
    , mQuestions(
        aMetrics.GetCounter("skylarkhill_cell_questions_total",
                            "Questions about cells to other instances."))
    , mFailedAttempts(aMetrics.GetCounter(
        "skylarkhill_cell_question_attempts_failed_total",
        "Attempts at such a question that another instance did not answer."))
    , mClients(aClock)
  {
  }

  base::Result<node::JobView> FindJob(int aCell,
                                      const std::string& aJobId,
                                      TimePoint aDeadline) override
  {
    return Ask(
      { CellQuestionKind::Job, aCell }, aJobId, aDeadline, DecodeJobAnswer);
  }

  base::Result<std::vector<int>> ListOtherCells(int aCell,
                                                const std::string& aJobId,
                                                TimePoint aDeadline) override
  {
    return Ask({ CellQuestionKind::OtherCells, aCell },
               aJobId,
               aDeadline,
               DecodeOtherCellsAnswer);
  }

  base::Result<std::size_t> CountPending(int aCell,
                                         std::string_view aQueue,
                                         TimePoint aDeadline) override
  {
    return Ask({ CellQuestionKind::Pending, aCell },
               std::string(aQueue),
               aDeadline,
               DecodePendingAnswer);
  }

private:
  template<typename T>
  using Decoder = base::Result<T> (*)(std::string_view);

  template<typename T>
  base::Result<T> Ask(const CellQuestionTarget& aTarget,
                      const std::string& aSubject,
                      TimePoint aDeadline,
                      Decoder<T> aDecode)
  {
    mQuestions.Add();
    const int cell = aTarget.mCell;
    int asked = 0;
    std::string problem = "no other instance is known to follow it";
    const auto followers =
      mFailures.Sort(mFollowers.FollowersOf(cell), cell, mClock.Now());
    for (const std::string& it : followers) {
      if (asked == kMaxAsked) {
        break;
      }
      if (base::Remaining(mClock.Now(), aDeadline) < kMinAttemptTime) {
        if (asked == 0) {
          problem = "no time was left until the deadline";
        }
        break;
      }
      const auto endpoint = http::ParseEndpoint(it);
      if (!endpoint) {
        problem = endpoint.error().mDetail;
        continue;
      }
      ++asked;
      auto answer =
        AskOne(it, endpoint.value(), aTarget, aSubject, aDeadline, aDecode);
      if (answer || answer.error().mKind == ErrorKind::NotFound) {
        return answer;
      }
      mFailedAttempts.Add();
      problem = it + ": " + answer.error().mDetail;
    }
    problem = Shorten(problem, kMaxProblemBytes);
    mLog.Write(cell, asked, problem, mClock.Now());
    return MakeError(ErrorKind::LogUnavailable,
                     "no answer about cell " + std::to_string(cell) + ", " +
                       std::to_string(asked) + " asked: " + problem);
  }

  /// NotFound is an answer; any other error is none.
  template<typename T>
  base::Result<T> AskOne(const std::string& aAddress,
                         const http::Endpoint& aEndpoint,
                         const CellQuestionTarget& aTarget,
                         const std::string& aSubject,
                         TimePoint aDeadline,
                         Decoder<T> aDecode)
  {
    const TimePoint now = mClock.Now();
    const TimePoint deadline = std::min(aDeadline, now + kAttemptTimeout);
    const base::Duration remaining = base::Remaining(now, deadline);
    const http::ClientRequest request{
      "POST",
      FormatCellQuestionPath(aTarget),
      EncodeCellQuestion({ aSubject, remaining - remaining / kTransportShare }),
      { { "Content-Type", "application/msgpack" } },
      http::Delivery::Idempotent
    };
    const auto response = mClients.ClientOf(aEndpoint)->Call(request, deadline);
    if (!response) {
      mFailures.Add(aAddress, mClock.Now());
      return MakeError(ErrorKind::LogUnavailable, response.error().mDetail);
    }
    auto answer = response.value().mStatus == kStatusOk
                    ? aDecode(response.value().mBody)
                    : base::Result<T>(MakeError(
                        ErrorKind::LogUnavailable,
                        http::ParseErrorResponse(response.value()).mDetail));
    if (answer || answer.error().mKind == ErrorKind::NotFound) {
      mFailures.Remove(aAddress, aTarget.mCell);
    } else {
      mFailures.Add(aAddress, aTarget.mCell, mClock.Now());
    }
    return answer;
  }

  const node::CellFollowers& mFollowers;
  const base::Clock& mClock;
  metrics::Counter& mQuestions;
  metrics::Counter& mFailedAttempts;
  ClientPool mClients;
  RecentFailures mFailures;
  FailureLog mLog;
};

} // namespace

std::unique_ptr<node::CellQueries>
CreateCellQueryClient(const node::CellFollowers& aFollowers,
                      const base::Clock& aClock,
                      metrics::Registry& aMetrics)
{
  return std::make_unique<CellQueryClient>(aFollowers, aClock, aMetrics);
}

} // namespace skylarkhill::peer
