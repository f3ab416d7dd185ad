#ifndef SKYLARKHILL_JOURNAL_BATCH_WRITER_HPP
#define SKYLARKHILL_JOURNAL_BATCH_WRITER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/journal/site_record.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhill::journal {

/// Identifies one submission to a BatchWriter.
using Ticket = std::uint64_t;

struct BatchWriterOptions
{
  /// Instance and incarnation; unique to this process.
  std::string mWriter;
  /// Appends per second of all live instances together.
  std::int64_t mAppendBudgetPerSecond = 300;
  std::size_t mMaxQueuedRecords = 20'000;
  std::size_t mMaxBatchBytes = std::size_t{ 256 } * 1024;
  base::Duration mRetryDelay = std::chrono::milliseconds(50);
  base::Duration mMaxRetryDelay = std::chrono::seconds(1);
};

/// One append for the caller to perform.
struct AppendAction
{
  std::int64_t mSequence = 0;
  std::string mPayload;
  /// Latest deadline of the records in the batch.
  base::TimePoint mDeadline;
};

/// How a submission ended. The offset may be that of a duplicate; the records
/// are in the stream at or before it.
struct TicketResult
{
  Ticket mTicket = 0;
  base::Result<Offset> mOffset = Offset{ 0 };
};

/// Groups submitted records into batches and decides when to append them. At
/// most one append is in progress. Not thread-safe.
class BatchWriter
{
public:
  explicit BatchWriter(BatchWriterOptions aOptions);

  void SetLiveInstances(std::int64_t aCount);

  /// Queues encoded records that are appended together. Overloaded if the queue
  /// is full, PayloadTooLarge if they cannot fit into one batch. `aPosition` is
  /// the position of the submitter's state when it created the records.
  base::Result<void> Add(Ticket aTicket,
                         std::vector<std::string> aRecords,
                         const WriterPosition& aPosition,
                         base::TimePoint aDeadline);

  /// When StartAppend can next return an append or the next deadline passes;
  /// kNoDeadline if nothing is queued.
  base::TimePoint NextWakeUp() const;

  /// Returns the append that is due, if any. The caller performs it and reports
  /// its result to OnAppended, OnUnavailable or OnAnswerLost.
  std::optional<AppendAction> StartAppend(base::TimePoint aNow,
                                          std::int64_t aWallClockMs);

  void OnAppended(Offset aOffset);
  /// The append failed and nothing was written.
  void OnUnavailable(base::TimePoint aNow);
  /// The answer to the append was lost: the batch may have been written, or may
  /// still be written later.
  void OnAnswerLost(base::TimePoint aNow);

  /// A batch of this writer was read from the stream.
  void OnRead(std::int64_t aSequence, Offset aOffset);
  /// The stream was read up to the end that a read issued at `aIssuedAt`
  /// reported.
  void OnCaughtUp(base::TimePoint aIssuedAt);

  /// Ends the submissions whose deadline has passed.
  void Expire(base::TimePoint aNow);

  /// Removes and returns the submissions that ended since the last call.
  std::vector<TicketResult> TakeResults();

  std::size_t QueuedRecords() const { return mQueuedRecords; }
  /// True until reading shows whether a batch whose answer was lost is in the
  /// stream.
  bool IsResolving() const { return mPhase == Phase::Resolving; }
  bool IsIdle() const { return mPhase == Phase::Idle && mQueue.empty(); }

private:
  enum class Phase
  {
    Idle,
    Appending,
    /// Nothing was written; the batch will be appended again.
    Retrying,
    /// The batch may be in the stream; waits until reading shows whether it is.
    Resolving,
  };

  struct Submission
  {
    Ticket mTicket = 0;
    std::vector<std::string> mRecords;
    WriterPosition mPosition;
    std::size_t mBytes = 0;
    base::TimePoint mDeadline;
  };

  base::Duration AppendInterval() const;
  void FillBatch();
  void EncodePayload(std::int64_t aWallClockMs);
  void FinishBatch(Offset aOffset);
  void ResetBatch();
  void ExpireBatch(base::TimePoint aNow);
  void ExpireQueue(base::TimePoint aNow);
  bool FinishBatchIfRead();
  void EndSubmission(const Submission& aSubmission,
                     base::Result<Offset> aResult);

  BatchWriterOptions mOptions;
  std::int64_t mLiveInstances = 1;
  Phase mPhase = Phase::Idle;
  std::deque<Submission> mQueue;
  std::size_t mQueuedRecords = 0;
  /// Submissions of the current batch.
  std::vector<Submission> mBatch;
  /// Encoded current batch, reused by retries.
  std::string mPayload;
  std::int64_t mSequence = 0;
  /// True if an earlier answer for the current batch was lost, so that a
  /// delayed copy of it may still reach the stream.
  bool mMayBeWritten = false;
  /// Newest batch of this writer that was read, with its offset.
  std::int64_t mReadSequence = 0;
  Offset mReadOffset = 0;
  base::TimePoint mNextAppendAt = base::TimePoint::min();
  base::TimePoint mRetryAt = base::TimePoint::min();
  base::Duration mRetryDelay{ 0 };
  base::TimePoint mAnswerLostAt = base::TimePoint::min();
  std::vector<TicketResult> mResults;
};

} // namespace skylarkhill::journal

#endif // SKYLARKHILL_JOURNAL_BATCH_WRITER_HPP
