#ifndef SKYLARKHILL_NODE_FAKE_LOG_RATES_TEST_HPP
#define SKYLARKHILL_NODE_FAKE_LOG_RATES_TEST_HPP

#include "skylarkhill/base/clock.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace skylarkhill::node {

enum class FakeLogCall
{
  Read,
  ReadNewest,
  Append,
};

struct FakeLogCallCounts
{
  std::int64_t mAnswered = 0;
  std::int64_t mRefused = 0;
};

/// Calls that a common log answers for all instances of a site. Reads and
/// appends have a bucket of tokens each, which the clock refills.
class FakeLogRates
{
public:
  FakeLogRates(const base::Clock& aClock,
               double aReadsPerSecond,
               double aWritesPerSecond)
    : mClock(aClock)
    , mReads{ aReadsPerSecond, aReadsPerSecond, aClock.Now() }
    , mWrites{ aWritesPerSecond, aWritesPerSecond, aClock.Now() }
  {
  }

  /// Counts a call. Returns false if the log refuses it.
  bool Take(FakeLogCall aCall, const std::string& aTopic)
  {
    Bucket& bucket = aCall == FakeLogCall::Append ? mWrites : mReads;
    FakeLogCallCounts& counts = mCounts[{ aCall, aTopic }];
    const bool isAnswered = !mIsDown && TakeToken(bucket);
    ++(isAnswered ? counts.mAnswered : counts.mRefused);
    return isAnswered;
  }

  /// All calls fail at once, including reads that wait.
  bool mIsDown = false;
  /// A read of the newest records costs a call for each page.
  std::size_t mRecordsPerPage = 500;
  /// The same by topic, instead of mRecordsPerPage.
  std::map<std::string, std::size_t> mRecordsPerPageOf;

  std::size_t RecordsPerPageOf(const std::string& aTopic) const
  {
    const auto found = mRecordsPerPageOf.find(aTopic);
    return found != mRecordsPerPageOf.end() ? found->second : mRecordsPerPage;
  }
  std::map<std::pair<FakeLogCall, std::string>, FakeLogCallCounts> mCounts;

private:
  struct Bucket
  {
    /// Also the most tokens that the bucket holds.
    double mPerSecond = 0.0;
    double mTokens = 0.0;
    base::TimePoint mFilledAt;
  };

  bool TakeToken(Bucket& aBucket) const
  {
    const base::TimePoint now = mClock.Now();
    const std::chrono::duration<double> elapsed = now - aBucket.mFilledAt;
    aBucket.mFilledAt = now;
    aBucket.mTokens =
      std::min(aBucket.mPerSecond,
               aBucket.mTokens + elapsed.count() * aBucket.mPerSecond);
    if (aBucket.mTokens < 1.0) {
      return false;
    }
    aBucket.mTokens -= 1.0;
    return true;
  }

  const base::Clock& mClock;
  Bucket mReads;
  Bucket mWrites;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_FAKE_LOG_RATES_TEST_HPP
