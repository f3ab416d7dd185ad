#include "skylarkhill/node/log_stream_reader.hpp"

#include "skylarkhill/logging/logging.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::node {

namespace {

constexpr base::Duration kRetryPause = std::chrono::milliseconds(200);

} // namespace

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
  // After a failure, an answer without records must not take longer either.
  const bool mayWait = mConsecutiveFailures == 0 && !mIsRestarted;
  mIsRestarted = false;
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
    OnFailure(aSentAt);
    return;
  }
  mIsLoaded = true;
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
    OnFailure(aSentAt);
    return;
  }
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
LogStreamReader::OnFailure(base::TimePoint aSentAt)
{
  mFailedReadSentAt = aSentAt;
  if (++mConsecutiveFailures == 1) {
    logging::Write(logging::Level::Warning,
                   "stream_unreachable",
                   { { "stream", mStream.mTopic } });
  }
  mIsReachable = false;
  mNextReadAt = mClock.Now() + kRetryPause;
}

void
LogStreamReader::OnSuccess(base::TimePoint aSentAt, bool aIsAtEnd)
{
  if (mConsecutiveFailures > 0) {
    logging::Write(logging::Level::Info,
                   "stream_reachable",
                   { { "stream", mStream.mTopic },
                     { "failed_reads", mConsecutiveFailures } });
  }
  mConsecutiveFailures = 0;
  if (aIsAtEnd) {
    mUpToDateAt = aSentAt;
  }
  if (!mIsReachable) {
    mIsReachable = true;
    mReachableSince = aSentAt;
  }
}

} // namespace skylarkhill::node
