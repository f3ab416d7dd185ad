#include "skylarkhill/node/log_stream_reader.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/logging/logging.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace skylarkhill::node {

LogStreamReader::LogStreamReader(AsyncLog& aLog,
                                 const base::Clock& aClock,
                                 LogStream aStream,
                                 LogStreamHandlers aHandlers)
  : mLog(aLog)
  , mClock(aClock)
  , mStream(std::move(aStream))
  , mHandlers(std::move(aHandlers))
{
}

void
LogStreamReader::Tick()
{
  const base::TimePoint now = mClock.Now();
  if (mIsReading || mIsStopped || now < mNextReadAt) {
    return;
  }
  mIsReading = true;
  if (!mIsLoaded) {
    mLog.ReadNewest(
      mStream,
      [this, now, generation = mGeneration](const ReadResult& aResult) {
        if (generation == mGeneration) {
          OnNewest(aResult, now);
        }
      });
    return;
  }
  // After a failure, an answer without records must not take longer either. A
  // log at its rate can be reached, and a read that returns at once would cost
  // a second one.
  const bool mayWait =
    (mConsecutiveFailures == 0 || mRateLimitedInARow > 0) && !mIsRestarted;
  mLog.Read(mStream,
            mNextOffset,
            mayWait ? mWait : base::Duration::zero(),
            [this, now, generation = mGeneration](const ReadResult& aResult) {
              if (generation == mGeneration) {
                OnRead(aResult, now);
              }
            });
}

void
LogStreamReader::Restart()
{
  // The snapshot is not asked for twice.
  if (!mIsLoaded) {
    return;
  }
  ++mGeneration;
  mIsReading = false;
  mIsRestarted = true;
  SkipPause();
}

void
LogStreamReader::Stop()
{
  ++mGeneration;
  mIsReading = false;
  mIsStopped = true;
  mIsLoaded = false;
}

void
LogStreamReader::Resume()
{
  mIsStopped = false;
  mNextReadAt = base::TimePoint{};
}

void
LogStreamReader::SkipPause()
{
  if (mConsecutiveFailures == 0) {
    mNextReadAt = base::TimePoint{};
  }
}

void
LogStreamReader::OnNewest(const ReadResult& aResult, base::TimePoint aSentAt)
{
  mIsReading = false;
  if (aResult.mOutcome != LogOutcome::Done) {
    OnFailure(aResult, aSentAt);
    return;
  }
  mIsLoaded = true;
  mIsRestarted = false;
  mNextOffset = aResult.mNextOffset;
  logging::Write(
    logging::Level::Info,
    "stream_loaded",
    { { "stream", mStream.mTopic },
      { "records", static_cast<std::int64_t>(aResult.mRecords.size()) },
      { "next", aResult.mNextOffset } });
  if (mHandlers.mOnSnapshot) {
    mHandlers.mOnSnapshot(aResult.mRecords);
  } else {
    Deliver(aResult.mRecords);
  }
  OnSuccess(aSentAt, mNextOffset >= aResult.mEnd);
}

void
LogStreamReader::OnRead(const ReadResult& aResult, base::TimePoint aSentAt)
{
  mIsReading = false;
  if (aResult.mOutcome == LogOutcome::Expired) {
    logging::Write(
      logging::Level::Info,
      "stream_expired",
      { { "stream", mStream.mTopic }, { "from", mNextOffset.load() } });
    mIsLoaded = false;
    return;
  }
  if (aResult.mOutcome != LogOutcome::Done) {
    OnFailure(aResult, aSentAt);
    return;
  }
  mIsRestarted = false;
  const bool hasRecords = !aResult.mRecords.empty();
  Deliver(aResult.mRecords);
  mNextOffset = std::max(mNextOffset.load(), aResult.mNextOffset);
  const bool isAtEnd = mNextOffset >= aResult.mEnd;
  OnSuccess(aSentAt, isAtEnd);
  if (hasRecords && isAtEnd) {
    mNextReadAt = mClock.Now() + mPause;
  }
}

void
LogStreamReader::Deliver(const std::vector<LogRecord>& aRecords)
{
  std::for_each(aRecords.begin(), aRecords.end(), mHandlers.mOnRecord);
}

void
LogStreamReader::OnFailure(const ReadResult& aResult, base::TimePoint aSentAt)
{
  mFailedReadSentAt = aSentAt;
  if (++mConsecutiveFailures == 1) {
    logging::Write(logging::Level::Warning,
                   "stream_unreachable",
                   { { "stream", mStream.mTopic },
                     { "outcome", NameOf(aResult.mOutcome) },
                     { "status", aResult.mStatus } });
  }
  mIsReachable = false;
  mRateLimitedReads += aResult.mIsRateLimited ? 1 : 0;
  mRateLimitedInARow = aResult.mIsRateLimited ? mRateLimitedInARow + 1 : 0;
  mNextReadAt = mClock.Now() + PauseAfterFailure();
}

base::Duration
LogStreamReader::PauseAfterFailure() const
{
  if (mRateLimitedInARow == 0) {
    return mRetrySeed == 0 ? mRetryPause
                           : mRetryPause + Spread(mRetryPause / 4);
  }
  base::Duration pause = mRetryPause;
  for (int n = 1; n < mRateLimitedInARow && pause < mMaxRateLimitPause; ++n) {
    pause *= 2;
  }
  pause = std::max(mRetryPause, std::min(pause, mMaxRateLimitPause));
  return pause + Spread(pause / 2);
}

base::Duration
LogStreamReader::Spread(base::Duration aLimit) const
{
  const std::string failure = mStream.mTopic + "/" +
                              std::to_string(mStream.mPartition) + "/" +
                              std::to_string(mConsecutiveFailures);
  const auto steps = static_cast<std::uint64_t>(aLimit.count()) + 1;
  return base::Duration(static_cast<base::Duration::rep>(
    base::StableHash(failure, mRetrySeed) % steps));
}

void
LogStreamReader::OnSuccess(base::TimePoint aSentAt, bool aIsAtEnd)
{
  if (mConsecutiveFailures > 0) {
    logging::Write(logging::Level::Info,
                   "stream_reachable",
                   { { "stream", mStream.mTopic },
                     { "failed_reads", mConsecutiveFailures },
                     { "rate_limited", mRateLimitedReads } });
  }
  mConsecutiveFailures = 0;
  mRateLimitedReads = 0;
  mRateLimitedInARow = 0;
  if (aIsAtEnd) {
    mUpToDateAt = aSentAt;
  }
  if (!mIsReachable) {
    mIsReachable = true;
    mReachableSince = aSentAt;
  }
}

} // namespace skylarkhill::node
