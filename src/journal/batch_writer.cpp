#include "skylarkhill/journal/batch_writer.hpp"

#include "skylarkhill/journal/record_codec.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::journal {

namespace {

std::size_t
TotalBytes(const std::vector<std::string>& aRecords)
{
  std::size_t n = 0;
  for (const auto& it : aRecords) {
    n += it.size();
  }
  return n;
}

} // namespace

BatchWriter::BatchWriter(BatchWriterOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void
BatchWriter::SetLiveInstances(std::int64_t aCount)
{
  mLiveInstances = std::max<std::int64_t>(1, aCount);
}

// With at most one append per interval and instance, all instances together
// stay within the append budget.
base::Duration
BatchWriter::AppendInterval() const
{
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  const std::int64_t budget =
    std::max<std::int64_t>(1, mOptions.mAppendBudgetPerSecond);
  return base::Duration(mLiveInstances * kMicrosPerSecond / budget);
}

base::Result<void>
BatchWriter::Add(Ticket aTicket,
                 std::vector<std::string> aRecords,
                 const WriterPosition& aPosition,
                 base::TimePoint aDeadline)
{
  const std::size_t bytes = TotalBytes(aRecords);
  if (bytes > mOptions.mMaxBatchBytes) {
    return base::MakeError(base::ErrorKind::PayloadTooLarge,
                           "records exceed the maximum batch size");
  }
  if (mQueuedRecords + aRecords.size() > mOptions.mMaxQueuedRecords) {
    return base::MakeError(base::ErrorKind::Overloaded,
                           "queue of the log writer is full");
  }
  mQueuedRecords += aRecords.size();
  mQueue.push_back(
    { aTicket, std::move(aRecords), aPosition, bytes, aDeadline });
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

base::TimePoint
BatchWriter::NextWakeUp() const
{
  base::TimePoint wakeUp = base::kNoDeadline;
  for (const auto& it : mQueue) {
    wakeUp = std::min(wakeUp, it.mDeadline);
  }
  for (const auto& it : mBatch) {
    wakeUp = std::min(wakeUp, it.mDeadline);
  }
  if (mPhase == Phase::Idle && !mQueue.empty()) {
    wakeUp = std::min(wakeUp, mNextAppendAt);
  }
  if (mPhase == Phase::Retrying) {
    wakeUp = std::min(wakeUp, mRetryAt);
  }
  return wakeUp;
}

void
BatchWriter::FillBatch()
{
  std::size_t bytes = 0;
  while (!mQueue.empty()) {
    bytes += mQueue.front().mBytes;
    if (!mBatch.empty() && bytes > mOptions.mMaxBatchBytes) {
      return;
    }
    mBatch.push_back(std::move(mQueue.front()));
    mQueue.pop_front();
  }
}

void
BatchWriter::EncodePayload(std::int64_t aWallClockMs)
{
  Batch batch;
  batch.mWriter = mOptions.mWriter;
  batch.mSequence = mSequence;
  batch.mWrittenAtMs = aWallClockMs;
  // The position of the batch must hold for each of its submissions, so it is
  // the minimum of their positions.
  batch.mPosition = mBatch.front().mPosition;
  for (const auto& it : mBatch) {
    batch.mPosition.mAppliedThrough =
      std::min(batch.mPosition.mAppliedThrough, it.mPosition.mAppliedThrough);
    batch.mPosition.mFirstRetained =
      std::min(batch.mPosition.mFirstRetained, it.mPosition.mFirstRetained);
    batch.mRecords.insert(
      batch.mRecords.end(), it.mRecords.begin(), it.mRecords.end());
  }
  mPayload = EncodeBatch(batch);
}

std::optional<AppendAction>
BatchWriter::StartAppend(base::TimePoint aNow, std::int64_t aWallClockMs)
{
  Expire(aNow);
  const bool isNew =
    mPhase == Phase::Idle && !mQueue.empty() && aNow >= mNextAppendAt;
  const bool isRetry = mPhase == Phase::Retrying && aNow >= mRetryAt;
  if (!isNew && !isRetry) {
    return std::nullopt;
  }
  if (isNew) {
    FillBatch();
    ++mSequence;
  }
  if (mPayload.empty()) {
    EncodePayload(aWallClockMs);
  }
  mPhase = Phase::Appending;
  mNextAppendAt = aNow + AppendInterval();
  AppendAction action;
  action.mSequence = mSequence;
  action.mPayload = mPayload;
  action.mDeadline = base::TimePoint::min();
  for (const auto& it : mBatch) {
    action.mDeadline = std::max(action.mDeadline, it.mDeadline);
  }
  return action;
}

void
BatchWriter::EndSubmission(const Submission& aSubmission,
                           base::Result<Offset> aResult)
{
  mQueuedRecords -= aSubmission.mRecords.size();
  mResults.push_back({ aSubmission.mTicket, std::move(aResult) });
}

void
BatchWriter::ResetBatch()
{
  mBatch.clear();
  mPayload.clear();
  mMayBeWritten = false;
  mRetryDelay = base::Duration(0);
  mPhase = Phase::Idle;
}

void
BatchWriter::FinishBatch(Offset aOffset)
{
  for (const auto& it : mBatch) {
    EndSubmission(it, aOffset);
  }
  ResetBatch();
}

void
BatchWriter::OnAppended(Offset aOffset)
{
  if (mPhase == Phase::Appending) {
    FinishBatch(aOffset);
  }
}

// An earlier copy of the batch may have been read while this append was in
// progress.
bool
BatchWriter::FinishBatchIfRead()
{
  if (mReadSequence != mSequence) {
    return false;
  }
  FinishBatch(mReadOffset);
  return true;
}

void
BatchWriter::OnUnavailable(base::TimePoint aNow)
{
  if (mPhase != Phase::Appending || FinishBatchIfRead()) {
    return;
  }
  mPhase = Phase::Retrying;
  mRetryDelay = std::min(std::max(mOptions.mRetryDelay, mRetryDelay * 2),
                         mOptions.mMaxRetryDelay);
  mRetryAt = std::max(aNow + mRetryDelay, mNextAppendAt);
  Expire(aNow);
}

void
BatchWriter::OnAnswerLost(base::TimePoint aNow)
{
  if (mPhase != Phase::Appending || FinishBatchIfRead()) {
    return;
  }
  mPhase = Phase::Resolving;
  mMayBeWritten = true;
  mAnswerLostAt = aNow;
  Expire(aNow);
}

void
BatchWriter::OnRead(std::int64_t aSequence, Offset aOffset)
{
  mReadSequence = aSequence;
  mReadOffset = aOffset;
  if (mPhase == Phase::Resolving || mPhase == Phase::Retrying) {
    FinishBatchIfRead();
  }
}

void
BatchWriter::OnCaughtUp(base::TimePoint aIssuedAt)
{
  // A read issued before the answer was lost may have missed the batch.
  if (mPhase != Phase::Resolving || aIssuedAt <= mAnswerLostAt) {
    return;
  }
  if (mBatch.empty()) {
    ResetBatch();
    return;
  }
  mPhase = Phase::Retrying;
  mRetryAt = std::max(aIssuedAt, mNextAppendAt);
}

void
BatchWriter::ExpireBatch(base::TimePoint aNow)
{
  // A delayed copy of a batch whose answer was lost may still reach the stream,
  // so its records must not be reported as not written.
  const auto kind = mMayBeWritten ? base::ErrorKind::AnswerLost
                                  : base::ErrorKind::LogUnavailable;
  std::vector<Submission> remaining;
  for (auto& it : mBatch) {
    if (it.mDeadline <= aNow) {
      EndSubmission(it,
                    base::MakeError(
                      kind, "deadline passed before the append was confirmed"));
    } else {
      remaining.push_back(std::move(it));
    }
  }
  if (remaining.size() == mBatch.size()) {
    mBatch = std::move(remaining);
    return;
  }
  mBatch = std::move(remaining);
  if (!mMayBeWritten) {
    // This batch was never written, so its payload may change.
    mPayload.clear();
  }
  if (mBatch.empty() && mPhase == Phase::Retrying) {
    ResetBatch();
  }
}

void
BatchWriter::Expire(base::TimePoint aNow)
{
  if (mPhase == Phase::Retrying || mPhase == Phase::Resolving) {
    ExpireBatch(aNow);
  }
  ExpireQueue(aNow);
}

void
BatchWriter::ExpireQueue(base::TimePoint aNow)
{
  const auto isExpired = [aNow](const Submission& aSubmission) {
    return aSubmission.mDeadline <= aNow;
  };
  if (std::none_of(mQueue.begin(), mQueue.end(), isExpired)) {
    return;
  }
  std::deque<Submission> remaining;
  for (auto& it : mQueue) {
    if (isExpired(it)) {
      EndSubmission(it,
                    base::MakeError(base::ErrorKind::LogUnavailable,
                                    "deadline passed before the append"));
    } else {
      remaining.push_back(std::move(it));
    }
  }
  mQueue = std::move(remaining);
}

std::vector<TicketResult>
BatchWriter::TakeResults()
{
  return std::exchange(mResults, {});
}

} // namespace skylarkhill::journal
