#ifndef SKYLARKHILL_TESTING_FAKE_LOG_HPP
#define SKYLARKHILL_TESTING_FAKE_LOG_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/platform/log_service.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace skylarkhill::testing {

/// Limits beyond which records of a stream expire; 0 means no limit.
struct RetentionLimits
{
  std::int64_t mMaxRecords = 0;
  base::Duration mMaxAge{ 0 };
};

/// An in-memory log with injected clock and faults. Never blocks: a call whose
/// answer would arrive after its deadline fails immediately.
class FakeLog : public platform::LogService
{
public:
  explicit FakeLog(const base::Clock& aClock, RetentionLimits aLimits = {});

  base::Result<platform::Offset> Append(std::string_view aStream,
                                        std::string_view aPayload,
                                        base::TimePoint aDeadline) override;
  base::Result<platform::LogPage> Read(std::string_view aStream,
                                       platform::Offset aFrom,
                                       std::int64_t aMaxRecords,
                                       base::TimePoint aDeadline) override;

  /// While down, every call fails with LogUnavailable and has no effect.
  void SetDown(bool aDown);
  /// Delays every answer by `aDelay`. An append whose answer misses the
  /// deadline takes effect and fails with AnswerLost.
  void SetAnswerDelay(base::Duration aDelay);
  /// The next `aCount` appends take effect and fail with AnswerLost.
  void LoseNextAnswers(std::int64_t aCount);
  /// The next `aCount` appends have no effect and fail with AnswerLost.
  void LoseNextAppends(std::int64_t aCount);
  /// Expires all records of `aStream` before `aOffset`.
  void ExpireBefore(std::string_view aStream, platform::Offset aOffset);

  /// Offset of the next record of `aStream`.
  platform::Offset EndOffset(std::string_view aStream) const;
  base::Duration AnswerDelay() const;

private:
  struct StoredRecord
  {
    base::TimePoint mAppendedAt;
    std::string mPayload;
  };
  struct Stream
  {
    platform::Offset mFirstRetained = 0;
    std::deque<StoredRecord> mRecords;
  };

  void ExpireRecords(Stream& aStream);
  static void DropFirstRecord(Stream& aStream);

  const base::Clock& mClock;
  const RetentionLimits mLimits;
  mutable std::mutex mMutex;
  std::map<std::string, Stream, std::less<>> mStreams;
  bool mDown = false;
  base::Duration mAnswerDelay{ 0 };
  std::int64_t mAnswersToLose = 0;
  std::int64_t mAppendsToLose = 0;
};

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_FAKE_LOG_HPP
