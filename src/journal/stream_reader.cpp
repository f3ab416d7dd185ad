#include "skylarkhill/journal/stream_reader.hpp"

#include "skylarkhill/journal/record_codec.hpp"

#include <algorithm>
#include <iterator>

namespace skylarkhill::journal {

std::optional<Offset>
StreamReader::FirstOffset() const
{
  if (!mHasStarted) {
    return std::nullopt;
  }
  return mState.mStart;
}

void
StreamReader::Restart(Offset aFirstRetained)
{
  mState.mNextOffset = aFirstRetained;
  mState.mStart = aFirstRetained;
  mState.mSequences.clear();
  mCaughtUpTime = base::TimePoint::min();
  mPendingEnd.reset();
}

void
StreamReader::ProcessRecord(const platform::LogRecord& aRecord,
                            PageResult& aResult)
{
  mState.mNextOffset = aRecord.mOffset + 1;
  auto batch = DecodeBatch(aRecord.mPayload);
  if (!batch) {
    ++mUndecodable;
    return;
  }
  // Writers append in the order of their sequence numbers, so every batch that
  // is not newer than the last one is a duplicate.
  auto& [sequence, offset] = mState.mSequences[batch.value().mWriter];
  offset = aRecord.mOffset;
  if (batch.value().mSequence <= sequence) {
    ++mDuplicates;
    return;
  }
  sequence = batch.value().mSequence;
  aResult.mBatches.push_back({ aRecord.mOffset, std::move(batch.value()) });
}

// A writer is kept as long as one of its records is retained, so that readers
// that started at different times discard it at the same offset.
void
StreamReader::DiscardExpiredWriters(Offset aFirstRetained)
{
  for (auto it = mState.mSequences.begin(); it != mState.mSequences.end();) {
    const bool isExpired = it->second.second < aFirstRetained;
    it = isExpired ? mState.mSequences.erase(it) : std::next(it);
  }
}

void
StreamReader::UpdateCaughtUp(Offset aEnd, base::TimePoint aIssuedAt)
{
  if (!mPendingEnd) {
    mPendingEnd.emplace(aEnd, aIssuedAt);
  }
  if (mState.mNextOffset >= mPendingEnd->first) {
    mCaughtUpTime = std::max(mCaughtUpTime, mPendingEnd->second);
    mPendingEnd.reset();
  }
  if (mState.mNextOffset >= aEnd) {
    mCaughtUpTime = std::max(mCaughtUpTime, aIssuedAt);
  }
}

PageResult
StreamReader::OnPage(const platform::LogPage& aPage, base::TimePoint aIssuedAt)
{
  PageResult result;
  result.mFirstRetained = aPage.mFirstRetained;
  const bool isBehind = mState.mNextOffset < aPage.mFirstRetained;
  if (isBehind && mHasStarted) {
    result.mIsGap = true;
    ++mGaps;
  }
  if (isBehind || !mHasStarted) {
    Restart(std::max(mState.mNextOffset, aPage.mFirstRetained));
    result.mIsFirst = !result.mIsGap;
    mHasStarted = true;
  }
  for (const auto& it : aPage.mRecords) {
    // The page may begin before the requested offset.
    if (it.mOffset >= mState.mNextOffset) {
      ProcessRecord(it, result);
    }
  }
  DiscardExpiredWriters(aPage.mFirstRetained);
  UpdateCaughtUp(aPage.mEnd, aIssuedAt);
  result.mNextOffset = mState.mNextOffset;
  return result;
}

void
StreamReader::Import(ReaderState aState)
{
  mState = std::move(aState);
  mHasStarted = true;
  mCaughtUpTime = base::TimePoint::min();
  mPendingEnd.reset();
}

} // namespace skylarkhill::journal
