#include "skylarkhill/node/record_batch.hpp"

#include "skylarkhill/logging/logging.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

namespace skylarkhill::node {

RecordBatch::RecordBatch(const LogLimits& aLimits,
                         std::size_t aTargetBytes,
                         metrics::Registry& aMetrics)
  : mLimits(aLimits)
  , mTargetBytes(std::min(aTargetBytes, aLimits.mMaxAppendBytes))
  , mDropped(
      aMetrics.GetCounter("skylarkhill_records_dropped_total",
                          "Records that the log cannot store, by a leader."))
{
}

bool
RecordBatch::Add(LogRecord aRecord)
{
  if (!IsStorable(aRecord, mLimits)) {
    Drop(aRecord);
    return false;
  }
  const std::size_t bytes = kRecordLengthBytes + SizeOf(aRecord);
  if (mAppends.empty() || mLastBytes + bytes > mTargetBytes) {
    mAppends.emplace_back();
    mLastBytes = 0;
  }
  mLastBytes += bytes;
  mAppends.back().push_back(std::move(aRecord));
  return true;
}

void
RecordBatch::DivideNext()
{
  std::vector<LogRecord> records = std::move(mAppends.front());
  mAppends.pop_front();
  if (records.size() == 1) {
    Drop(records.front());
    return;
  }
  const auto middle =
    records.begin() + static_cast<std::ptrdiff_t>(records.size() / 2);
  mAppends.emplace_front(std::make_move_iterator(middle),
                         std::make_move_iterator(records.end()));
  records.erase(middle, records.end());
  mAppends.push_front(std::move(records));
}

void
RecordBatch::Drop(const LogRecord& aRecord)
{
  mDropped.Add();
  logging::Write(
    logging::Level::Error,
    "record_dropped",
    { { "key", aRecord.mKey },
      { "bytes", static_cast<std::int64_t>(SizeOf(aRecord)) },
      { "limit_bytes", static_cast<std::int64_t>(mLimits.mMaxRecordBytes) } });
}

} // namespace skylarkhill::node
