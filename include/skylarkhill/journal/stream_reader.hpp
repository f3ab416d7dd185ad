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

/// Result of processing one page of the stream.
struct PageResult
{
  /// Records expired before they were read; the state must be cleared before
  /// the batches are applied.
  bool mIsGap = false;
  /// The first page of this reader, from the first retained offset.
  bool mIsFirst = false;
  /// Oldest offset that the log service still retains.
  Offset mFirstRetained = 0;
  /// Offset of the next record to read, after the batches.
  Offset mNextOffset = 0;
  /// Without duplicates and undecodable records.
  std::vector<ReadBatch> mBatches;
};

/// Position of a reader, from which another instance can continue.
struct ReaderState
{
  Offset mNextOffset = 0;
  Offset mStart = 0;
  /// Newest sequence number read per writer, with its offset.
  std::map<std::string, std::pair<std::int64_t, Offset>> mSequences;
};

/// Reads one stream in order and drops duplicate batches. Not thread-safe.
class StreamReader
{
public:
  /// Offset of the next record to read.
  Offset NextOffset() const { return mState.mNextOffset; }
  /// First offset of the contiguous part that was read; nullopt before the
  /// first page.
  std::optional<Offset> FirstOffset() const;

  /// Processes the answer to a read from NextOffset() that was issued at
  /// `aIssuedAt`.
  PageResult OnPage(const platform::LogPage& aPage, base::TimePoint aIssuedAt);

  /// The newest time such that everything appended before it has been read;
  /// TimePoint::min() until the end is first reached, also after a gap.
  base::TimePoint CaughtUpTime() const { return mCaughtUpTime; }

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
  base::TimePoint mCaughtUpTime = base::TimePoint::min();
  /// An end of the stream and the time when the read that reported it was
  /// issued; the reader is caught up as of that time once it reaches the end.
  std::optional<std::pair<Offset, base::TimePoint>> mPendingEnd;
  std::int64_t mDuplicates = 0;
  std::int64_t mUndecodable = 0;
  std::int64_t mGaps = 0;
};

} // namespace skylarkhill::journal

#endif // SKYLARKHILL_JOURNAL_STREAM_READER_HPP
