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
  /// Failed reads since the last successful one.
  int ConsecutiveFailures() const { return mConsecutiveFailures; }

private:
  void OnNewest(const ReadResult& aResult, base::TimePoint aSentAt);
  void OnRead(const ReadResult& aResult, base::TimePoint aSentAt);
  void Deliver(const std::vector<LogRecord>& aRecords);
  void OnFailure(base::TimePoint aSentAt);
  void OnSuccess(base::TimePoint aSentAt, bool aIsAtEnd);

  AsyncLog& mLog;
  const base::Clock& mClock;
  const LogStream mStream;
  const LogStreamHandlers mHandlers;
  base::Duration mPause{ 0 };
  base::Duration mWait = kReadWait;
  bool mIsLoaded = false;
  bool mIsReading = false;
  bool mIsStopped = false;
  /// The next read does not wait for a record.
  bool mIsRestarted = false;
  /// Changes when a read in progress is abandoned; its result is dropped.
  int mGeneration = 0;
  bool mIsReachable = false;
  int mConsecutiveFailures = 0;
  std::atomic<std::int64_t> mNextOffset{ 0 };
  base::TimePoint mUpToDateAt;
  base::TimePoint mReachableSince;
  base::TimePoint mFailedReadSentAt;
  base::TimePoint mNextReadAt;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_LOG_STREAM_READER_HPP
