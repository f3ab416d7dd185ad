#include "skylarkhill/node/stream_tail.hpp"

#include "skylarkhill/logging/logging.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::node {

namespace {

/// How long a read waits for a record. An overdue response reveals a dead
/// connection, so this also bounds the time until one is noticed.
constexpr base::Duration kReadWait = std::chrono::milliseconds(1500);
constexpr base::Duration kRetryPause = std::chrono::milliseconds(200);

} // namespace

StreamTail::StreamTail(SharedLog& aLog,
                       const base::Clock& aClock,
                       LogStream aStream,
                       TailHandlers aHandlers)
  : mLog(aLog)
  , mClock(aClock)
  , mStream(std::move(aStream))
  , mHandlers(std::move(aHandlers))
{
}

void
StreamTail::Poll()
{
  const base::TimePoint now = mClock.Now();
  if (mIsReading || now < mNextPollAt) {
    return;
  }
  mIsReading = true;
  if (!mIsLoaded) {
    mLog.ReadNewest(mStream, [this, now](const ReadResult& aResult) {
      OnNewest(aResult, now);
    });
    return;
  }
  mLog.Read(mStream,
            mNextOffset,
            kReadWait,
            [this, now](const ReadResult& aResult) { OnRead(aResult, now); });
}

void
StreamTail::SkipPause()
{
  mNextPollAt = base::TimePoint{};
}

void
StreamTail::OnNewest(const ReadResult& aResult, base::TimePoint aSentAt)
{
  mIsReading = false;
  if (aResult.mOutcome != LogOutcome::Done) {
    OnFailure();
    return;
  }
  mIsLoaded = true;
  mNextOffset = aResult.mNextOffset;
  if (mHandlers.mOnSnapshot) {
    mHandlers.mOnSnapshot(aResult.mRecords);
  } else {
    Deliver(aResult.mRecords);
  }
  OnSuccess(aSentAt);
}

void
StreamTail::OnRead(const ReadResult& aResult, base::TimePoint aSentAt)
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
    OnFailure();
    return;
  }
  const bool hasRecords = !aResult.mRecords.empty();
  Deliver(aResult.mRecords);
  mNextOffset = std::max(mNextOffset.load(), aResult.mNextOffset);
  OnSuccess(aSentAt);
  if (hasRecords) {
    mNextPollAt = mClock.Now() + mPause;
  }
}

void
StreamTail::Deliver(const std::vector<LogRecord>& aRecords)
{
  std::for_each(aRecords.begin(), aRecords.end(), mHandlers.mOnRecord);
}

void
StreamTail::OnFailure()
{
  if (++mConsecutiveFailures == 1) {
    logging::Write(logging::Level::Warning,
                   "stream_unreachable",
                   { { "stream", mStream.mTopic } });
  }
  mIsReachable = false;
  mNextPollAt = mClock.Now() + kRetryPause;
}

void
StreamTail::OnSuccess(base::TimePoint aSentAt)
{
  if (mConsecutiveFailures > 0) {
    logging::Write(logging::Level::Info,
                   "stream_reachable",
                   { { "stream", mStream.mTopic },
                     { "failed_reads", mConsecutiveFailures } });
  }
  mConsecutiveFailures = 0;
  mUpToDateAt = aSentAt;
  if (!mIsReachable) {
    mIsReachable = true;
    mReachableSince = aSentAt;
  }
}

} // namespace skylarkhill::node
