#include "skylarkhill/node/log_stream_reader.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_shared_log_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;

namespace {

const LogStream kStream{ "journal", 0 };

ReadResult
MakeFailure(LogOutcome aOutcome, int aStatus)
{
  ReadResult result;
  result.mOutcome = aOutcome;
  result.mStatus = aStatus;
  result.mIsRateLimited = aStatus == 429;
  return result;
}

const ReadResult kRateLimited = MakeFailure(LogOutcome::Refused, 429);
const ReadResult kUnavailable = MakeFailure(LogOutcome::Refused, 503);
const ReadResult kNoAnswer = MakeFailure(LogOutcome::Unknown, 0);

/// A log that answers each read at once: with an empty stream, or with
/// mFailures in their order and all further reads like the last.
class ScriptedReads : public AsyncLog
{
public:
  struct Call
  {
    base::TimePoint mSentAt;
    base::Duration mWait;
  };

  explicit ScriptedReads(const base::Clock& aClock)
    : mClock(aClock)
  {
  }

  void Append(const AppendRequest&,
              base::TimePoint,
              std::function<void(AppendResult)> aHandler) override
  {
    aHandler({});
  }

  void Read(const LogStream&,
            std::int64_t,
            base::Duration aWait,
            std::function<void(ReadResult)> aHandler) override
  {
    mCalls.push_back({ mClock.Now(), aWait });
    aHandler(NextResult());
  }

  void ReadNewest(const LogStream& aStream,
                  std::function<void(ReadResult)> aHandler) override
  {
    Read(aStream, 0, base::Duration::zero(), std::move(aHandler));
  }

  std::vector<ReadResult> mFailures;
  std::vector<Call> mCalls;

private:
  ReadResult NextResult()
  {
    ReadResult result;
    result.mOutcome = LogOutcome::Done;
    if (!mFailures.empty()) {
      result = mFailures.front();
      if (mFailures.size() > 1) {
        mFailures.erase(mFailures.begin());
      }
    }
    return result;
  }

  const base::Clock& mClock;
};

/// An instance that reads a partition of a topic.
class Reading
{
public:
  explicit Reading(std::uint64_t aSeed = 0, int aPartition = 0)
    : mReader(mLog,
              mClock,
              { "journal", aPartition },
              { [](const LogRecord&) {}, {} })
  {
    mReader.SetRetrySeed(aSeed);
  }

  /// Reads the newest records, which are none.
  void Load()
  {
    mReader.Tick();
    mLog.mCalls.clear();
  }

  /// Makes all reads that are due within `aTime`.
  void Run(base::Duration aTime)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mReader.NextTickAt() < end) {
      mClock.SleepUntil(mReader.NextTickAt());
      mReader.Tick();
    }
  }

  /// Makes the next read.
  void ReadNext()
  {
    mClock.SleepUntil(mReader.NextTickAt());
    mReader.Tick();
  }

  /// Times between the reads.
  std::vector<base::Duration> Gaps() const
  {
    std::vector<base::Duration> gaps;
    for (std::size_t n = 1; n < mLog.mCalls.size(); ++n) {
      gaps.push_back(mLog.mCalls[n].mSentAt - mLog.mCalls[n - 1].mSentAt);
    }
    return gaps;
  }

  base::ManualClock mClock;
  ScriptedReads mLog{ mClock };
  LogStreamReader mReader;
};

void
AssertIsWithin(base::Duration aLow, base::Duration aHigh, base::Duration aValue)
{
  CPPUNIT_ASSERT_MESSAGE(std::to_string(aValue.count()) + " us",
                         aLow <= aValue && aValue <= aHigh);
}

} // namespace

class LogStreamReaderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogStreamReaderTest);
  CPPUNIT_TEST(IsUpToDateOnlyAtTheEndOfTheStream);
  CPPUNIT_TEST(ReadsLessAndLessOftenWhileTheLogIsAtItsRate);
  CPPUNIT_TEST(LoadsLessAndLessOftenWhileTheLogIsAtItsRate);
  CPPUNIT_TEST(StreamsRefusedTogetherAreNotReadAgainTogether);
  CPPUNIT_TEST(ReadsAgainAfterTheRetryPauseIfAReadGetsNoAnswer);
  CPPUNIT_TEST(SpreadsTheRetryPauseOnlyWithASeed);
  CPPUNIT_TEST(ReturnsToTheRetryPauseAfterASuccess);
  CPPUNIT_TEST(KeepsALongRetryPauseAtTheRate);
  CPPUNIT_TEST(WaitsForRecordsAfterAReadRefusedForTheRate);
  CPPUNIT_TEST(DoesNotWaitAfterARestartUntilAReadSucceeds);
  CPPUNIT_TEST(KeepsThePauseAfterAReadRefusedForTheRate);
  CPPUNIT_TEST_SUITE_END();

public:
  // A read returns a limited number of bytes. Guards against a new leader that
  // takes the first part of a backlog for the whole journal and starts tasks of
  // jobs whose cancellation is in the rest.
  void IsUpToDateOnlyAtTheEndOfTheStream()
  {
    mLog.mMaxRecordsPerRead = 2;
    ReadOnce();
    const base::TimePoint loadedAt = mReader.UpToDateAt();
    for (const char* key : { "a", "b", "c" }) {
      mState.mStreams["journal"].push_back({ key, "1", 0 });
    }
    ReadOnce();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, mReader.NextOffset());
    CPPUNIT_ASSERT(mReader.UpToDateAt() == loadedAt);
    const base::TimePoint sentAt = mClock.Now() + milliseconds(20);
    ReadOnce();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, mReader.NextOffset());
    CPPUNIT_ASSERT(mReader.UpToDateAt() == sentAt);
  }

  // Guards against reads after a refusal that keep the log at its rate on their
  // own, so that no stream is ever read again.
  void ReadsLessAndLessOftenWhileTheLogIsAtItsRate()
  {
    Reading reading;
    reading.Load();
    AssertReadsLessAndLessOften(reading);
  }

  // Guards against the same at the start of all instances.
  void LoadsLessAndLessOftenWhileTheLogIsAtItsRate()
  {
    Reading reading;
    AssertReadsLessAndLessOften(reading);
  }

  // Guards against streams that all come again in the same moment and get most
  // of their reads refused, although there are few enough of them a second.
  void StreamsRefusedTogetherAreNotReadAgainTogether()
  {
    constexpr int kInstances = 20;
    constexpr int kPartitions = 5;
    std::vector<std::vector<base::TimePoint>> moments;
    for (int n = 0; n < kInstances * kPartitions; ++n) {
      Reading reading(static_cast<std::uint64_t>(1 + n / kPartitions),
                      n % kPartitions);
      reading.Load();
      reading.mLog.mFailures = { kRateLimited };
      reading.Run(std::chrono::seconds(10));
      moments.emplace_back();
      for (const auto& it : reading.mLog.mCalls) {
        moments.back().push_back(it.mSentAt);
      }
    }
    constexpr std::size_t kAttempts = 5;
    for (std::size_t attempt = 1; attempt <= kAttempts; ++attempt) {
      std::set<base::TimePoint> distinct;
      for (const auto& it : moments) {
        distinct.insert(it.at(attempt));
      }
      // Of 100 times in 100 ms, few fall into the same microsecond.
      CPPUNIT_ASSERT_MESSAGE(std::to_string(distinct.size()),
                             distinct.size() > moments.size() * 9 / 10);
      for (const auto& it : distinct) {
        const auto together = std::count_if(
          distinct.lower_bound(it), distinct.end(), [&](base::TimePoint aTime) {
            return aTime < it + milliseconds(20);
          });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(together),
                               together <= kInstances * kPartitions / 2);
      }
    }
    // Two streams of an instance, and a stream of two instances.
    for (std::size_t attempt = 1; attempt <= kAttempts; ++attempt) {
      CPPUNIT_ASSERT(moments[0].at(attempt) != moments[1].at(attempt));
      CPPUNIT_ASSERT(moments[0].at(attempt) !=
                     moments[kPartitions].at(attempt));
    }
  }

  // Guards against an instance that learns late that an outage of the log has
  // ended.
  void ReadsAgainAfterTheRetryPauseIfAReadGetsNoAnswer()
  {
    for (const auto& it : { kNoAnswer, kUnavailable }) {
      Reading reading;
      reading.Load();
      // The refusals before do not make the pause longer.
      reading.mLog.mFailures = { kRateLimited, kRateLimited, kRateLimited, it };
      reading.Run(std::chrono::seconds(10));
      const auto gaps = reading.Gaps();
      CPPUNIT_ASSERT(gaps.size() > 10);
      for (std::size_t n = 3; n < gaps.size(); ++n) {
        AssertIsWithin(kReadRetryPause, kReadRetryPause, gaps[n]);
      }
    }
  }

  // Guards against instances that all read at once after an outage, and against
  // a pause that is longer than the callers of the log expect.
  void SpreadsTheRetryPauseOnlyWithASeed()
  {
    constexpr base::Duration kPause = milliseconds(500);
    for (const std::uint64_t seed : { 0U, 7U }) {
      Reading reading(seed);
      reading.Load();
      reading.mReader.SetRetryPause(kPause);
      reading.mLog.mFailures = { kNoAnswer };
      reading.Run(std::chrono::seconds(10));
      const auto gaps = reading.Gaps();
      CPPUNIT_ASSERT(gaps.size() > 10);
      for (const auto it : gaps) {
        AssertIsWithin(kPause, seed == 0 ? kPause : kPause * 5 / 4, it);
      }
      const std::set<base::Duration> distinct(gaps.begin(), gaps.end());
      CPPUNIT_ASSERT_EQUAL(seed == 0, distinct.size() == 1);
    }
  }

  // Guards against a stream that stays seconds behind after one refusal,
  // because an earlier time at the rate still counts.
  void ReturnsToTheRetryPauseAfterASuccess()
  {
    Reading reading;
    reading.Load();
    reading.mLog.mFailures = { kRateLimited };
    reading.Run(std::chrono::seconds(10));
    reading.mLog.mFailures.clear();
    reading.ReadNext();
    CPPUNIT_ASSERT_EQUAL(0, reading.mReader.ConsecutiveFailures());
    reading.mLog.mFailures = { kRateLimited };
    reading.mLog.mCalls.clear();
    reading.ReadNext();
    reading.ReadNext();
    AssertIsWithin(
      kReadRetryPause, kReadRetryPause * 3 / 2, reading.Gaps().front());
  }

  // Guards against reads that come again sooner after a refusal for the rate
  // than after any other failure, on a site whose size needs long pauses.
  void KeepsALongRetryPauseAtTheRate()
  {
    constexpr base::Duration kPause = kMaxRateLimitPause * 2;
    Reading reading;
    reading.Load();
    reading.mReader.SetRetryPause(kPause);
    reading.mLog.mFailures = { kRateLimited };
    reading.Run(kPause * 6);
    CPPUNIT_ASSERT(reading.Gaps().size() > 2);
    for (const auto it : reading.Gaps()) {
      AssertIsWithin(kPause, kPause * 3 / 2, it);
    }
  }

  // Guards against a second call for each read that succeeds after a refusal
  // for the rate, and against an instance that waits for a record before it
  // learns that an outage has ended.
  void WaitsForRecordsAfterAReadRefusedForTheRate()
  {
    Reading reading;
    reading.Load();
    reading.mLog.mFailures = { kRateLimited, kNoAnswer, kRateLimited };
    for (int n = 0; n < 4; ++n) {
      reading.ReadNext();
    }
    const auto& calls = reading.mLog.mCalls;
    CPPUNIT_ASSERT(calls.at(1).mWait == kReadWait);
    CPPUNIT_ASSERT(calls.at(2).mWait == base::Duration::zero());
    CPPUNIT_ASSERT(calls.at(3).mWait == kReadWait);
  }

  // Guards against a new leader that waits for a record before it knows that it
  // has read its journal to the end.
  void DoesNotWaitAfterARestartUntilAReadSucceeds()
  {
    Reading reading;
    reading.Load();
    reading.mReader.Restart();
    reading.mLog.mFailures = { kRateLimited };
    reading.ReadNext();
    reading.ReadNext();
    reading.mLog.mFailures.clear();
    reading.ReadNext();
    reading.ReadNext();
    const auto& calls = reading.mLog.mCalls;
    for (std::size_t n = 0; n < 3; ++n) {
      CPPUNIT_ASSERT(calls.at(n).mWait == base::Duration::zero());
    }
    CPPUNIT_ASSERT(calls.at(3).mWait == kReadWait);
  }

  // Guards against requests to read at once that make the reads of a log at its
  // rate more frequent.
  void KeepsThePauseAfterAReadRefusedForTheRate()
  {
    Reading reading;
    reading.Load();
    reading.mLog.mFailures = { kRateLimited };
    reading.ReadNext();
    const base::TimePoint next = reading.mReader.NextTickAt();
    reading.mReader.SkipPause();
    CPPUNIT_ASSERT(reading.mReader.NextTickAt() == next);
    reading.mReader.Restart();
    CPPUNIT_ASSERT(reading.mReader.NextTickAt() == next);
    CPPUNIT_ASSERT(next >= reading.mClock.Now() + kReadRetryPause);
  }

private:
  /// Lets the log refuse all reads for its rate for 10 s.
  static void AssertReadsLessAndLessOften(Reading& aReading)
  {
    aReading.mLog.mFailures = { kRateLimited };
    aReading.Run(std::chrono::seconds(10));
    const auto gaps = aReading.Gaps();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(gaps.size()),
                           gaps.size() >= 5 && gaps.size() <= 10);
    base::Duration pause = kReadRetryPause;
    for (const auto it : gaps) {
      AssertIsWithin(pause, pause * 3 / 2, it);
      pause = std::min(pause * 2, kMaxRateLimitPause);
    }
  }

  void ReadOnce()
  {
    mClock.Advance(milliseconds(20));
    mReader.Tick();
    mLog.Deliver();
  }

  base::ManualClock mClock;
  FakeLogState mState;
  FakeSharedLog mLog{ mState };
  LogStreamReader mReader{ mLog,
                           mClock,
                           kStream,
                           { [](const LogRecord&) {}, {} } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStreamReaderTest);

} // namespace skylarkhill::node
