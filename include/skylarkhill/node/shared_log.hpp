#ifndef SKYLARKHILL_NODE_SHARED_LOG_HPP
#define SKYLARKHILL_NODE_SHARED_LOG_HPP

#include "skylarkhill/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhill::node {

/// A partition of a topic in the platform's log. The newest record of each key
/// is kept forever, older ones for a limited time.
struct LogStream
{
  std::string mTopic;
  int mPartition = 0;
};

/// A keyed record; an empty value deletes the key.
struct LogRecord
{
  std::string mKey;
  std::string mValue;
  std::int64_t mOffset = 0;
};

/// Limits of the log on the size of records and appends.
struct LogLimits
{
  /// Maximum SizeOf a record.
  std::size_t mMaxRecordBytes = std::size_t{ 256 } << 10;
  /// Maximum size of an append: SizeOf each record and kRecordLengthBytes.
  std::size_t mMaxAppendBytes = std::size_t{ 2 } << 20;
};

/// Size of the length field that precedes each record of an append.
inline constexpr std::size_t kRecordLengthBytes = 4;
/// The length of a key is stored in one byte.
inline constexpr std::size_t kMaxKeyBytes = 255;

/// Size of the record in the log.
std::size_t
SizeOf(const LogRecord& aRecord);

/// True if the log can store the record.
bool
IsStorable(const LogRecord& aRecord, const LogLimits& aLimits);

/// Identifies an append. The log ignores an append that it has already stored
/// and refuses writers with an outdated epoch.
struct WriterStamp
{
  std::string mWriter;
  std::int64_t mEpoch = 0;
  std::int64_t mSequence = 0;
};

struct AppendRequest
{
  LogStream mStream;
  /// May be empty: the log then only records the epoch of the stamp.
  std::vector<LogRecord> mRecords;
  /// The append fails unless the stream ends at this offset.
  std::optional<std::int64_t> mExpectedEnd;
  std::optional<WriterStamp> mStamp;
};

enum class LogOutcome
{
  Done,
  /// The stream does not end at AppendRequest::mExpectedEnd.
  EndMoved,
  /// Another writer has used a higher epoch.
  Fenced,
  /// The sequence number does not follow the last one.
  OutOfSequence,
  /// The requested records have been deleted.
  Expired,
  /// The call had no effect: it was refused or not sent.
  Refused,
  /// The log refuses the content of the append and would do so again. It had no
  /// effect.
  Invalid,
  /// No response, an unexpected status, or a refusal of a second copy of the
  /// call: the call may have taken effect or may still do so.
  Unknown,
};

/// The stable name of `aOutcome`.
std::string_view
NameOf(LogOutcome aOutcome);

struct AppendResult
{
  LogOutcome mOutcome = LogOutcome::Unknown;
  /// The call was sent again because its connection was closed, and the answer
  /// is that to the second copy.
  bool mIsPossiblyResent = false;
  /// Status code of the answer, or 0 without one. For log lines only.
  int mStatus = 0;
  /// Offset of the first appended record.
  std::int64_t mOffset = 0;
  /// End of the stream; 0 if the response does not contain it.
  std::int64_t mEnd = 0;
};

struct ReadResult
{
  LogOutcome mOutcome = LogOutcome::Unknown;
  /// The log refused the call because all instances together make too many.
  bool mIsRateLimited = false;
  /// Status code of the answer, or 0 without one. For log lines only.
  int mStatus = 0;
  std::vector<LogRecord> mRecords;
  /// Offset at which the next read continues.
  std::int64_t mNextOffset = 0;
  /// End of the stream when the read was answered. The records are incomplete
  /// if mNextOffset is lower.
  std::int64_t mEnd = 0;
};

/// Asynchronous access to the log; handlers run on the call loop's thread.
class AsyncLog
{
public:
  virtual ~AsyncLog() = default;
  virtual void Append(const AppendRequest& aRequest,
                      base::TimePoint aDeadline,
                      std::function<void(AppendResult)> aHandler) = 0;
  /// Reads records from offset `aFrom` on; waits up to `aWait` for the first.
  virtual void Read(const LogStream& aStream,
                    std::int64_t aFrom,
                    base::Duration aWait,
                    std::function<void(ReadResult)> aHandler) = 0;
  /// Reads the newest record of every key. Changes after this snapshot start
  /// at ReadResult::mNextOffset.
  virtual void ReadNewest(const LogStream& aStream,
                          std::function<void(ReadResult)> aHandler) = 0;
};

/// Synchronous access to the log. Thread-safe; blocks until the response or the
/// deadline.
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
