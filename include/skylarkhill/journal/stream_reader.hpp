#ifndef SKYLARKHILL_JOURNAL_STREAM_READER_HPP
#define SKYLARKHILL_JOURNAL_STREAM_READER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/journal/site_record.hpp"
#include "skylarkhill/platform/log_service.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace skylarkhill::journal {

/// A batch with the offset it was read at.
struct ReadBatch
{
  Offset mOffset = 0;
  Batch mBatch;
};

/// What one page of the stream means to the state.
struct PageResult
{
  /// Records expired before they were read; the state has to be cleared
  /// before the batches are applied.
  bool mIsGap = false;
  /// The reader starts with this page, at the first retained offset.
  bool mIsFirst = false;
  /// Oldest offset that the service still keeps.
  Offset mFirstRetained = 0;
  /// Offset of the next record to read, after the batches.
  Offset mPosition = 0;
  /// Without duplicates and undecodable records.
  std::vector<ReadBatch> mBatches;
};

/// Where a reader is, for an instance that continues from a peer's state.
struct ReaderState
{
  Offset mPosition = 0;
  Offset mStart = 0;
  /// Newest sequence number read per writer, with its offset.
  std::map<std::string, std::pair<std::int64_t, Offset>> mSequences;
};

/// Follows one stream in order. Not thread-safe.
class StreamReader
{
public:
  /// Offset of the next record to read.
  Offset Position() const { return mState.mPosition; }
  /// First offset of the contiguous part that was read; nothing before the
  /// first page.
  std::optional<Offset> Start() const;

  /// Takes the answer to a read from Position() that was issued at
  /// `aIssuedAt`.
  PageResult OnPage(const platform::LogPage& aPage, base::TimePoint aIssuedAt);

  /// The newest time such that everything appended before it has been read;
  /// TimePoint::min() before the first end was reached or after a gap.
  base::TimePoint CaughtUpAsOf() const { return mCaughtUpAsOf; }

  /// Continues from the state of a peer.
  void Import(ReaderState aState);
  const ReaderState& Export() const { return mState; }

  std::int64_t Duplicates() const { return mDuplicates; }
  std::int64_t Undecodable() const { return mUndecodable; }
  std::int64_t Gaps() const { return mGaps; }

private:
  void Restart(Offset aFirstRetained);
  void ProcessRecord(const platform::LogRecord& aRecord, PageResult& aResult);
  void DiscardExpiredWriters(Offset aFirstRetained);
  void UpdateCaughtUp(Offset aEnd, base::TimePoint aIssuedAt);

  ReaderState mState;
  bool mHasStarted = false;
  base::TimePoint mCaughtUpAsOf = base::TimePoint::min();
  /// End that has to be reached to be caught up as of a time.
  std::optional<std::pair<Offset, base::TimePoint>> mPendingEnd;
  std::int64_t mDuplicates = 0;
  std::int64_t mUndecodable = 0;
  std::int64_t mGaps = 0;
};

} // namespace skylarkhill::journal

#endif // SKYLARKHILL_JOURNAL_STREAM_READER_HPP
