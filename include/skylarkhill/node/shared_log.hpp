#ifndef SKYLARKHILL_NODE_SHARED_LOG_HPP
#define SKYLARKHILL_NODE_SHARED_LOG_HPP

#include "skylarkhill/base/clock.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhill::node {

/// One ordered sequence of keyed records in the platform's log. The newest
/// record of a key is kept for ever, older ones for a limited time.
struct LogStream
{
  std::string mTopic;
  int mPartition = 0;
};

/// A record without a value removes its key.
struct LogRecord
{
  std::string mKey;
  std::string mValue;
  std::int64_t mOffset = 0;
};

/// Identifies one append of a writer, so that a repeat has no effect and a
/// writer with a lower epoch is refused.
struct WriterStamp
{
  std::string mWriter;
  std::int64_t mEpoch = 0;
  std::int64_t mSequence = 0;
};

struct AppendRequest
{
  LogStream mStream;
  /// Empty: only the epoch of the stamp takes effect.
  std::vector<LogRecord> mRecords;
  /// The append is refused unless the stream ends here.
  std::optional<std::int64_t> mExpectedEnd;
  std::optional<WriterStamp> mStamp;
};

enum class LogOutcome
{
  Done,
  /// The stream does not end where the append expected.
  EndMoved,
  /// Another writer has used a higher epoch.
  Fenced,
  /// The sequence number does not follow the last one.
  OutOfSequence,
  /// The records asked for have been deleted.
  Expired,
  /// Nothing was done; the log refuses calls at the moment.
  Refused,
  /// No answer: the call may take effect later.
  Unknown,
};

/// The stable name of `aOutcome`.
std::string_view
NameOf(LogOutcome aOutcome);

struct AppendResult
{
  LogOutcome mOutcome = LogOutcome::Unknown;
  /// Offset of the first record that was appended.
  std::int64_t mOffset = 0;
  /// End of the stream, where the answer told it.
  std::int64_t mEnd = 0;
};

struct ReadResult
{
  LogOutcome mOutcome = LogOutcome::Unknown;
  std::vector<LogRecord> mRecords;
  /// Where the next read continues.
  std::int64_t mNextOffset = 0;
};

/// Access to the log from the thread of a call loop.
class SharedLog
{
public:
  virtual ~SharedLog() = default;
  virtual void Append(const AppendRequest& aRequest,
                      base::TimePoint aDeadline,
                      std::function<void(AppendResult)> aHandler) = 0;
  /// Records from offset `aFrom` on; waits up to `aWait` for the first one.
  virtual void Read(const LogStream& aStream,
                    std::int64_t aFrom,
                    base::Duration aWait,
                    std::function<void(ReadResult)> aHandler) = 0;
  /// The newest record of every key. mNextOffset is the offset from which later
  /// records have to be read.
  virtual void ReadNewest(const LogStream& aStream,
                          std::function<void(ReadResult)> aHandler) = 0;
};

/// Access to the log from any thread; blocks until the answer or the deadline.
class BlockingLog
{
public:
  virtual ~BlockingLog() = default;
  virtual AppendResult Append(const AppendRequest& aRequest,
                              base::TimePoint aDeadline) = 0;
  virtual ReadResult Read(const LogStream& aStream,
                          std::int64_t aFrom,
                          base::TimePoint aDeadline) = 0;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_SHARED_LOG_HPP
