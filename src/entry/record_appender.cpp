#include "skylarkhill/entry/record_appender.hpp"

#include <utility>

namespace skylarkhill::entry {

namespace {

// A submission blocks until its records have been read back; with several
// threads, other records need not wait for it.
constexpr int kAppendThreads = 4;
constexpr base::Duration kSubmitTimeout = std::chrono::seconds(5);
constexpr std::size_t kMaxRecordsPerSubmission = 200;

} // namespace

RecordAppender::RecordAppender(journal::JournalService& aJournal,
                               const base::Clock& aClock)
  : mJournal(aJournal)
  , mClock(aClock)
{
  for (int n = 0; n < kAppendThreads; ++n) {
    mThreads.emplace_back([this] { Run(); });
  }
}

RecordAppender::~RecordAppender()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  for (auto& it : mThreads) {
    it.join();
  }
}

void
RecordAppender::Append(tasks::TaskRecord aRecord, Callback aCallback)
{
  const std::lock_guard lock(mMutex);
  mQueue.push_back({ std::move(aRecord), std::move(aCallback) });
  mChanged.notify_one();
}

bool
RecordAppender::WaitUntilEmpty(base::TimePoint aDeadline)
{
  std::unique_lock lock(mMutex);
  while (!mQueue.empty() || mInProgress > 0) {
    if (mClock.Now() >= aDeadline) {
      return false;
    }
    mChanged.wait_for(lock, std::chrono::milliseconds(20));
  }
  return true;
}

void
RecordAppender::Run()
{
  std::unique_lock lock(mMutex);
  while (true) {
    mChanged.wait(lock, [this] { return mStopping || !mQueue.empty(); });
    if (mStopping) {
      return;
    }
    std::vector<QueuedRecord> batch;
    std::vector<journal::SiteRecord> records;
    while (!mQueue.empty() && batch.size() < kMaxRecordsPerSubmission) {
      records.emplace_back(mQueue.front().mRecord);
      batch.push_back(std::move(mQueue.front()));
      mQueue.erase(mQueue.begin());
    }
    ++mInProgress;
    lock.unlock();
    const auto offset = mJournal.Submit(records, mClock.Now() + kSubmitTimeout);
    FinishBatch(std::move(batch), offset);
    lock.lock();
    --mInProgress;
    mChanged.notify_all();
  }
}

// If the answer was lost, the records may still be appended, so no other
// decision may be made about their attempts. Appending them again is safe: only
// the first copy of a record takes effect, and readers ignore the others.
void
RecordAppender::FinishBatch(std::vector<QueuedRecord> aBatch,
                            const base::Result<platform::Offset>& aResult)
{
  const bool isAnswerLost =
    !aResult && aResult.error().mKind == base::ErrorKind::AnswerLost;
  if (!isAnswerLost) {
    for (const auto& it : aBatch) {
      it.mCallback(aResult.has_value());
    }
    return;
  }
  const std::lock_guard lock(mMutex);
  for (auto& it : aBatch) {
    mQueue.push_back(std::move(it));
  }
  mChanged.notify_all();
}

} // namespace skylarkhill::entry
