#ifndef SKYLARKHILL_SRC_JOURNAL_MEMORY_LOG_HPP
#define SKYLARKHILL_SRC_JOURNAL_MEMORY_LOG_HPP

#include "skylarkhill/journal/wall_clock.hpp"
#include "skylarkhill/platform/log_service.hpp"

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>

namespace skylarkhill::journal {

/// Log service with one stream in memory and injected faults, for tests.
class MemoryLog : public platform::LogService
{
public:
  base::Result<platform::Offset> Append(std::string_view /*aStream*/,
                                        std::string_view aPayload,
                                        base::TimePoint /*aDeadline*/) override
  {
    if (mIsDown) {
      return base::MakeError(base::ErrorKind::LogUnavailable);
    }
    if (mAppendsToDrop > 0) {
      --mAppendsToDrop;
      return base::MakeError(base::ErrorKind::AnswerLost);
    }
    const platform::Offset offset = Write(aPayload);
    if (mAnswersToLose > 0) {
      --mAnswersToLose;
      return base::MakeError(base::ErrorKind::AnswerLost);
    }
    return offset;
  }

  base::Result<platform::LogPage> Read(std::string_view /*aStream*/,
                                       platform::Offset aFrom,
                                       std::int64_t aMaxRecords,
                                       base::TimePoint /*aDeadline*/) override
  {
    if (mIsDown) {
      return base::MakeError(base::ErrorKind::LogUnavailable);
    }
    return Page(aFrom, aMaxRecords);
  }

  platform::Offset Write(std::string_view aPayload)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mRecords.push_back({ mEnd, std::string(aPayload) });
    return mEnd++;
  }

  platform::LogPage Page(platform::Offset aFrom, std::int64_t aMaxRecords) const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    platform::LogPage page;
    page.mEnd = mEnd;
    page.mFirstRetained = mEnd - static_cast<platform::Offset>(mRecords.size());
    const auto from = std::max(aFrom, page.mFirstRetained);
    const auto to = std::min(from + aMaxRecords, mEnd);
    for (auto offset = from; offset < to; ++offset) {
      page.mRecords.push_back(
        mRecords[static_cast<std::size_t>(offset - page.mFirstRetained)]);
    }
    return page;
  }

  /// Removes all records before `aFirstRetained`.
  void Expire(platform::Offset aFirstRetained)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    while (!mRecords.empty() && mRecords.front().mOffset < aFirstRetained) {
      mRecords.pop_front();
    }
  }

  platform::Offset End() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mEnd;
  }

  std::atomic<bool> mIsDown{ false };
  /// Number of appends to drop before the write, with AnswerLost.
  std::atomic<int> mAppendsToDrop{ 0 };
  /// Number of appends to write but answer with AnswerLost.
  std::atomic<int> mAnswersToLose{ 0 };

private:
  mutable std::mutex mMutex;
  std::deque<platform::LogRecord> mRecords;
  platform::Offset mEnd = 0;
};

/// Wall clock that tests set. Thread-safe.
class ManualWallClock : public WallClock
{
public:
  std::int64_t NowMs() const override { return mNowMs; }

  std::atomic<std::int64_t> mNowMs{ 1'000'000 };
};

} // namespace skylarkhill::journal

#endif // SKYLARKHILL_SRC_JOURNAL_MEMORY_LOG_HPP
