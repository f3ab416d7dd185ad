#ifndef SKYLARKHILL_NODE_STREAM_TAIL_HPP
#define SKYLARKHILL_NODE_STREAM_TAIL_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/node/shared_log.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <vector>

namespace skylarkhill::node {

/// What a tail delivers.
struct TailHandlers
{
  std::function<void(const LogRecord&)> mOnRecord;
  /// All current records, at the start and after older records have expired;
  /// without it each of them goes to mOnRecord.
  std::function<void(const std::vector<LogRecord>&)> mOnSnapshot;
};

/// Follows one stream. Belongs to the thread of the call loop.
class StreamTail
{
public:
  StreamTail(SharedLog& aLog,
             const base::Clock& aClock,
             LogStream aStream,
             TailHandlers aHandlers);

  /// Reads if the last read has ended and the pause has passed.
  void Poll();
  /// Pause between the end of a read that delivered records and the next one.
  void SetPause(base::Duration aPause) { mPause = aPause; }
  /// Ends the current pause.
  void SkipPause();

  bool IsLoaded() const { return mIsLoaded; }
  /// When the last answered read was sent; the records that were acknowledged
  /// before that time have been delivered.
  base::TimePoint UpToDateAt() const { return mUpToDateAt; }
  /// When the answered reads began that no failed read has interrupted.
  base::TimePoint ReachableSince() const { return mReachableSince; }
  /// Offset of the first record that has not been delivered.
  std::int64_t NextOffset() const { return mNextOffset; }
  /// When Poll is due; never while a read is in progress.
  base::TimePoint NextPollAt() const
  {
    return mIsReading ? base::kNoDeadline : mNextPollAt;
  }
  int ConsecutiveFailures() const { return mConsecutiveFailures; }

private:
  void OnNewest(const ReadResult& aResult, base::TimePoint aSentAt);
  void OnRead(const ReadResult& aResult, base::TimePoint aSentAt);
  void Deliver(const std::vector<LogRecord>& aRecords);
  void OnFailure();
  void OnSuccess(base::TimePoint aSentAt);

  SharedLog& mLog;
  const base::Clock& mClock;
  const LogStream mStream;
  const TailHandlers mHandlers;
  base::Duration mPause{ 0 };
  bool mIsLoaded = false;
  bool mIsReading = false;
  bool mIsReachable = false;
  int mConsecutiveFailures = 0;
  std::atomic<std::int64_t> mNextOffset{ 0 };
  base::TimePoint mUpToDateAt;
  base::TimePoint mReachableSince;
  base::TimePoint mNextPollAt;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_STREAM_TAIL_HPP
