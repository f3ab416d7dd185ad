#ifndef SKYLARKHILL_JOURNAL_JOURNAL_SERVICE_HPP
#define SKYLARKHILL_JOURNAL_JOURNAL_SERVICE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/journal/batch_writer.hpp"
#include "skylarkhill/journal/site_record.hpp"
#include "skylarkhill/journal/site_state.hpp"
#include "skylarkhill/journal/stream_reader.hpp"
#include "skylarkhill/journal/wall_clock.hpp"
#include "skylarkhill/platform/log_service.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace skylarkhill::journal {

struct JournalServiceOptions
{
  std::string mStream = "site";
  BatchWriterOptions mWriterOptions;
  std::int64_t mMaxRecordsPerRead = 256;
  /// Pause between reads at the end of the stream.
  base::Duration mPollInterval = std::chrono::milliseconds(50);
  /// Longest delay before a failed read is retried.
  base::Duration mMaxReadRetryDelay = std::chrono::seconds(1);
  base::Duration mReadTimeout = std::chrono::seconds(2);
  base::Duration mAppendTimeout = std::chrono::seconds(2);
};

/// Counters of JournalService.
struct JournalCounts
{
  std::int64_t mAppends = 0;
  std::int64_t mAppendsFailed = 0;
  std::int64_t mAnswersLost = 0;
  std::int64_t mReads = 0;
  std::int64_t mReadsFailed = 0;
  std::int64_t mDuplicates = 0;
  std::int64_t mUndecodableBatches = 0;
  std::int64_t mGaps = 0;
};

/// Result of a submission that appended nothing, as all its records were
/// already known. Not a valid offset: a request that compares the result with
/// the offset of a claim must not match the claim of an earlier request at the
/// same instance.
inline constexpr Offset kNotAppended = -1;

/// Runs the writer and the reader of one stream of the platform's log service,
/// the journal, each in its own thread.
/// Thread-safe.
class JournalService
{
public:
  /// The references must outlive the service.
  JournalService(JournalServiceOptions aOptions,
                 platform::LogService& aLog,
                 SiteState& aState,
                 const base::Clock& aClock,
                 const WallClock& aWallClock);
  ~JournalService();
  JournalService(const JournalService&) = delete;
  JournalService& operator=(const JournalService&) = delete;

  /// Continues from a peer's state. Only before Start().
  base::Result<void> Import(const StateHeader& aHeader,
                            const std::vector<StatePage>& aPages);

  void Start();
  /// Ends both threads; pending submissions end with AnswerLost.
  void Stop();

  /// Appends the records in one batch and waits until they are read back and
  /// applied. Returns their offset. An accept or intent for an id that is
  /// already known is not appended, as it would have no effect; returns
  /// kNotAppended if nothing was appended.
  ///
  /// LogUnavailable: not written; also returned for a task whose accept record
  /// has expired and of which no snapshot has been read yet. AnswerLost: the
  /// records may take effect, or an accept or intent was read back but had no
  /// effect. Overloaded, PayloadTooLarge and ShuttingDown: not written.
  base::Result<Offset> Submit(const std::vector<SiteRecord>& aRecords,
                              base::TimePoint aDeadline);

  /// Waits until the queue of submissions is empty and no append is in
  /// progress; false if `aDeadline` passed first.
  bool Drain(base::TimePoint aDeadline);

  void SetLiveInstances(std::int64_t aCount);

  /// The header of an exported state. Must be exported before the shards.
  StateHeader ExportHeader() const;

  JournalCounts Counts() const;

private:
  void RunWriter();
  void RunReader();
  void Append(const AppendAction& aAction);
  base::Duration ReadOnce();
  void TakeResults();
  bool IsKnown(const SiteRecord& aRecord) const;
  base::Result<Offset> WaitForTicket(Ticket aTicket, base::TimePoint aDeadline);
  base::Result<Offset> WaitForEffect(const std::vector<SiteRecord>& aRecords,
                                     Offset aOffset,
                                     base::TimePoint aDeadline) const;

  JournalServiceOptions mOptions;
  platform::LogService& mLog;
  SiteState& mState;
  const base::Clock& mClock;
  const WallClock& mWallClock;

  /// Guards the reader and keeps it and the state at the same position.
  mutable std::mutex mReaderMutex;
  StreamReader mReader;
  /// Used by the reader thread only.
  base::Duration mReadPause{ 0 };

  /// Guards the members below. May be locked while mReaderMutex is held.
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  BatchWriter mWriter;
  Ticket mNextTicket = 1;
  std::map<Ticket, base::Result<Offset>> mResults;
  /// Submissions without a result, with their deadlines.
  std::map<Ticket, base::TimePoint> mWaiting;
  JournalCounts mCounts;
  bool mIsStopping = false;
  bool mIsReadDue = false;

  std::thread mWriterThread;
  std::thread mReaderThread;
};

} // namespace skylarkhill::journal

#endif // SKYLARKHILL_JOURNAL_JOURNAL_SERVICE_HPP
