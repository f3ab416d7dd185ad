#include "skylarkhill/testing/fake_log.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::testing {

using base::ErrorKind;
using base::MakeError;
using platform::LogPage;
using platform::Offset;

FakeLog::FakeLog(const base::Clock& aClock, RetentionLimits aLimits)
  : mClock(aClock)
  , mLimits(aLimits)
{
}

base::Result<Offset>
FakeLog::Append(std::string_view aStream,
                std::string_view aPayload,
                base::TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  const base::TimePoint now = mClock.Now();
  if (mDown) {
    return MakeError(ErrorKind::LogUnavailable, "the log is down");
  }
  if (now >= aDeadline) {
    return MakeError(ErrorKind::LogUnavailable, "the deadline has passed");
  }
  if (mAppendsToLose > 0) {
    --mAppendsToLose;
    return MakeError(ErrorKind::AnswerLost, "the request was lost");
  }
  Stream& stream = mStreams[std::string(aStream)];
  const Offset offset =
    stream.mFirstRetained + static_cast<Offset>(stream.mRecords.size());
  stream.mRecords.push_back({ now, std::string(aPayload) });
  ExpireRecords(stream);
  if (mAnswersToLose > 0) {
    --mAnswersToLose;
    return MakeError(ErrorKind::AnswerLost, "the answer was lost");
  }
  if (mAnswerDelay >= base::Remaining(now, aDeadline)) {
    return MakeError(ErrorKind::AnswerLost, "the answer is late");
  }
  return offset;
}

base::Result<LogPage>
FakeLog::Read(std::string_view aStream,
              Offset aFrom,
              std::int64_t aMaxRecords,
              base::TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  if (mDown) {
    return MakeError(ErrorKind::LogUnavailable, "the log is down");
  }
  if (mAnswerDelay >= base::Remaining(mClock.Now(), aDeadline)) {
    return MakeError(ErrorKind::LogUnavailable, "no answer by the deadline");
  }
  LogPage page;
  const auto found = mStreams.find(aStream);
  if (found == mStreams.end()) {
    return page;
  }
  Stream& stream = found->second;
  ExpireRecords(stream);
  page.mFirstRetained = stream.mFirstRetained;
  page.mEnd =
    stream.mFirstRetained + static_cast<Offset>(stream.mRecords.size());
  Offset offset = std::max(aFrom, page.mFirstRetained);
  while (offset < page.mEnd &&
         static_cast<std::int64_t>(page.mRecords.size()) < aMaxRecords) {
    const auto index = static_cast<std::size_t>(offset - page.mFirstRetained);
    page.mRecords.push_back({ offset, stream.mRecords[index].mPayload });
    ++offset;
  }
  return page;
}

void
FakeLog::SetDown(bool aDown)
{
  const std::lock_guard lock(mMutex);
  mDown = aDown;
}

void
FakeLog::SetAnswerDelay(base::Duration aDelay)
{
  const std::lock_guard lock(mMutex);
  mAnswerDelay = aDelay;
}

void
FakeLog::LoseNextAnswers(std::int64_t aCount)
{
  const std::lock_guard lock(mMutex);
  mAnswersToLose = aCount;
}

void
FakeLog::LoseNextAppends(std::int64_t aCount)
{
  const std::lock_guard lock(mMutex);
  mAppendsToLose = aCount;
}

void
FakeLog::ExpireBefore(std::string_view aStream, Offset aOffset)
{
  const std::lock_guard lock(mMutex);
  const auto found = mStreams.find(aStream);
  if (found == mStreams.end()) {
    return;
  }
  Stream& stream = found->second;
  while (!stream.mRecords.empty() && stream.mFirstRetained < aOffset) {
    DropFirstRecord(stream);
  }
}

Offset
FakeLog::EndOffset(std::string_view aStream) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mStreams.find(aStream);
  if (found == mStreams.end()) {
    return 0;
  }
  return found->second.mFirstRetained +
         static_cast<Offset>(found->second.mRecords.size());
}

base::Duration
FakeLog::AnswerDelay() const
{
  const std::lock_guard lock(mMutex);
  return mAnswerDelay;
}

void
FakeLog::ExpireRecords(Stream& aStream)
{
  const base::TimePoint now = mClock.Now();
  const auto maxRecords = static_cast<std::size_t>(mLimits.mMaxRecords);
  while (maxRecords > 0 && aStream.mRecords.size() > maxRecords) {
    DropFirstRecord(aStream);
  }
  while (mLimits.mMaxAge.count() > 0 && !aStream.mRecords.empty() &&
         aStream.mRecords.front().mAppendedAt + mLimits.mMaxAge <= now) {
    DropFirstRecord(aStream);
  }
}

void
FakeLog::DropFirstRecord(Stream& aStream)
{
  aStream.mRecords.pop_front();
  ++aStream.mFirstRetained;
}

} // namespace skylarkhill::testing
