#ifndef SKYLARKHILL_NODE_LOG_STREAM_READER_HPP
#define SKYLARKHILL_NODE_LOG_STREAM_READER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/node/shared_log.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <vector>

namespace skylarkhill::node {

/// How long a read waits for a record. An overdue response reveals a dead
/// connection, so this also bounds the time until one is noticed.
inline constexpr base::Duration kReadWait = std::chrono::milliseconds(1500);

/// Default pause after a failed read.
inline constexpr base::Duration kReadRetryPause =
  std::chrono::milliseconds(200);
/// Maximum pause, without its spread, after reads that the log refuses because
/// of its rate.
inline constexpr base::Duration kMaxRateLimitPause =
  std::chrono::milliseconds(1600);
/// The same for streams of which few are read and on which promises depend.
inline constexpr base::Duration kMaxUrgentRateLimitPause =
  std::chrono::milliseconds(400);

/// Callbacks of a LogStreamReader.
struct LogStreamHandlers
{
  std::function<void(const LogRecord&)> mOnRecord;
  /// Receives the newest record of every key, after the start and whenever
  /// records expired before they were read. If empty, each of these records is
  /// passed to mOnRecord.
  std::function<void(const std::vector<LogRecord>&)> mOnSnapshot;
};

/// Reads a stream continuously. Not thread-safe: used on the call loop's thread
/// only.
class LogStreamReader
{
public:
  LogStreamReader(AsyncLog& aLog,
                  const base::Clock& aClock,
                  LogStream aStream,
                  LogStreamHandlers aHandlers);

  /// Starts a read unless one is in progress or the pause has not passed.
  void Tick();
  /// Reads again at the next Tick, without waiting for a record. A read in
  /// progress is abandoned.
  void Restart();
  /// Stops reading. A read in progress is abandoned.
  void Stop();
  /// Starts again after Stop, with the newest record of every key.
  void Resume();
  bool IsStopped() const { return mIsStopped; }
  /// Pause between the end of a read that delivered records and the next one.
  void SetPause(base::Duration aPause) { mPause = aPause; }
  /// Pause after a failed read. It doubles with each further read in a row that
  /// the log refuses because of its rate, up to kMaxRateLimitPause or `aPause`
  /// if that is longer; up to half of the pause is added to it.
  void SetRetryPause(base::Duration aPause) { mRetryPause = aPause; }
  /// kMaxRateLimitPause by default.
  void SetMaxRateLimitPause(base::Duration aPause)
  {
    mMaxRateLimitPause = aPause;
  }
  /// Seed of the spread of these pauses; must differ by instance. Unless it is
  /// 0, up to a quarter is added to the pause after other failures.
  void SetRetrySeed(std::uint64_t aSeed) { mRetrySeed = aSeed; }
  /// How long the next reads wait for a record.
  void SetWait(base::Duration aWait) { mWait = aWait; }
  /// Makes the next Tick read without waiting for the end of the pause, except
  /// for that after a failed read.
  void SkipPause();

  /// True once the newest record of every key has been delivered.
  bool IsLoaded() const { return mIsLoaded; }
  /// When the last read that reached the end of the stream was sent: all
  /// records stored before that time have been delivered.
  base::TimePoint UpToDateAt() const { return mUpToDateAt; }
  /// When the first successful read since the last failed one was sent.
  base::TimePoint ReachableSince() const { return mReachableSince; }
  /// When the last failed read was sent.
  base::TimePoint FailedReadSentAt() const { return mFailedReadSentAt; }
  /// Offset of the next record to deliver.
  std::int64_t NextOffset() const { return mNextOffset; }
  /// When Tick is due; never while a read is in progress.
  base::TimePoint NextTickAt() const
  {
    return mIsReading || mIsStopped ? base::kNoDeadline : mNextReadAt;
  }
  /// True if the last read was refused because of the log's rate.
  bool IsRateLimited() const { return mRateLimitedInARow > 0; }
  /// Failed reads since the last successful one.
  int ConsecutiveFailures() const { return mConsecutiveFailures; }

private:
  void OnNewest(const ReadResult& aResult, base::TimePoint aSentAt);
  void OnRead(const ReadResult& aResult, base::TimePoint aSentAt);
  void Deliver(const std::vector<LogRecord>& aRecords);
  void OnFailure(const ReadResult& aResult, base::TimePoint aSentAt);
  void OnSuccess(base::TimePoint aSentAt, bool aIsAtEnd);
  base::Duration PauseAfterFailure() const;
  /// A time from 0 to `aLimit` that differs by instance, stream and failure.
  base::Duration Spread(base::Duration aLimit) const;

  AsyncLog& mLog;
  const base::Clock& mClock;
  const LogStream mStream;
  const LogStreamHandlers mHandlers;
  base::Duration mPause{ 0 };
  base::Duration mWait = kReadWait;
  base::Duration mRetryPause = kReadRetryPause;
  base::Duration mMaxRateLimitPause = kMaxRateLimitPause;
  std::uint64_t mRetrySeed = 0;
  bool mIsLoaded = false;
  bool mIsReading = false;
  bool mIsStopped = false;
  /// Reads do not wait for a record until one succeeds.
  bool mIsRestarted = false;
  /// Changes when a read in progress is abandoned; its result is dropped.
  int mGeneration = 0;
  bool mIsReachable = false;
  int mConsecutiveFailures = 0;
  /// Those of mConsecutiveFailures that were refused because of the rate.
  int mRateLimitedReads = 0;
  /// The last failed reads in a row that were refused because of the rate.
  int mRateLimitedInARow = 0;
  std::atomic<std::int64_t> mNextOffset{ 0 };
  base::TimePoint mUpToDateAt;
  base::TimePoint mReachableSince;
  base::TimePoint mFailedReadSentAt;
  base::TimePoint mNextReadAt;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_LOG_STREAM_READER_HPP
