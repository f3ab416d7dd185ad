#ifndef SKYLARKHILL_PLATFORM_LOG_SERVICE_HPP
#define SKYLARKHILL_PLATFORM_LOG_SERVICE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::platform {

/// Position of a record in a stream; grows by one per record.
using Offset = std::int64_t;

/// One record of a stream. The payload may be any UTF-8 text.
struct LogRecord
{
  Offset mOffset = 0;
  std::string mPayload;
};

/// A contiguous part of a stream.
struct LogPage
{
  /// The oldest offset that the service still retains.
  Offset mFirstRetained = 0;
  /// One past the newest offset.
  Offset mEnd = 0;
  std::vector<LogRecord> mRecords;
};

/// The platform's append-only log. Thread-safe. Calls block, at most until
/// `aDeadline`.
class LogService
{
public:
  virtual ~LogService() = default;

  /// Appends one record and returns its offset. LogUnavailable if nothing was
  /// written, AnswerLost if the record may have been written.
  virtual base::Result<Offset> Append(std::string_view aStream,
                                      std::string_view aPayload,
                                      base::TimePoint aDeadline) = 0;

  /// Reads up to `aMaxRecords` records starting at `aFrom`, or at the first
  /// retained record if `aFrom` is no longer retained. LogUnavailable if the
  /// records cannot be read by `aDeadline`.
  virtual base::Result<LogPage> Read(std::string_view aStream,
                                     Offset aFrom,
                                     std::int64_t aMaxRecords,
                                     base::TimePoint aDeadline) = 0;
};

} // namespace skylarkhill::platform

#endif // SKYLARKHILL_PLATFORM_LOG_SERVICE_HPP
