#ifndef SKYLARKHILL_ENTRY_RECORD_APPENDER_HPP
#define SKYLARKHILL_ENTRY_RECORD_APPENDER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/journal/journal_service.hpp"
#include "skylarkhill/tasks/task_record.hpp"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace skylarkhill::entry {

/// Appends task records to the log in the background. Records that are
/// queued at the same time share one submission. Thread-safe.
class RecordAppender
{
public:
  /// Receives true once the record has been read back from the log, or false if
  /// it was definitely not appended.
  using Callback = std::function<void(bool aAppended)>;

  /// The references must outlive the appender.
  RecordAppender(journal::JournalService& aJournal, const base::Clock& aClock);
  ~RecordAppender();
  RecordAppender(const RecordAppender&) = delete;
  RecordAppender& operator=(const RecordAppender&) = delete;

  /// Queues a record. If the answer to its append is lost, it is appended
  /// again, unchanged, until one copy has been read back from the log.
  void Append(tasks::TaskRecord aRecord, Callback aCallback);
  /// Waits until no record is queued or in progress; false if `aDeadline`
  /// passes first.
  bool WaitUntilEmpty(base::TimePoint aDeadline);

private:
  struct QueuedRecord
  {
    tasks::TaskRecord mRecord;
    Callback mCallback;
  };

  void Run();
  void FinishBatch(std::vector<QueuedRecord> aBatch,
                   const base::Result<platform::Offset>& aResult);

  journal::JournalService& mJournal;
  const base::Clock& mClock;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::vector<QueuedRecord> mQueue;
  std::size_t mInProgress = 0;
  bool mStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_RECORD_APPENDER_HPP
