#include "skylarkhill/journal/journal_service.hpp"

#include "skylarkhill/journal/record_codec.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::journal {

namespace {

// Limits one wait, as an injected clock can change without a notification.
constexpr base::Duration kMaxWait = std::chrono::milliseconds(20);

const tasks::AcceptRecord*
FindAccept(const SiteRecord& aRecord)
{
  const auto* task = std::get_if<tasks::TaskRecord>(&aRecord);
  return task == nullptr ? nullptr : std::get_if<tasks::AcceptRecord>(task);
}

const requests::IntentRecord*
FindIntent(const SiteRecord& aRecord)
{
  const auto* key = std::get_if<requests::KeyRecord>(&aRecord);
  return key == nullptr ? nullptr : std::get_if<requests::IntentRecord>(key);
}

} // namespace

JournalService::JournalService(JournalServiceOptions aOptions,
                               platform::LogService& aLog,
                               SiteState& aState,
                               const base::Clock& aClock,
                               const WallClock& aWallClock)
  : mOptions(std::move(aOptions))
  , mLog(aLog)
  , mState(aState)
  , mClock(aClock)
  , mWallClock(aWallClock)
  , mWriter(mOptions.mWriterOptions)
{
}

JournalService::~JournalService()
{
  Stop();
}

base::Result<void>
JournalService::Import(const StateHeader& aHeader,
                       const std::vector<StatePage>& aPages)
{
  const std::lock_guard<std::mutex> lock(mReaderMutex);
  auto result = mState.Import(aHeader, aPages);
  if (result) {
    mReader.Import(aHeader.mReader);
  }
  return result;
}

void
JournalService::Start()
{
  mWriterThread = std::thread([this] { RunWriter(); });
  mReaderThread = std::thread([this] { RunReader(); });
}

void
JournalService::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsStopping = true;
    mChanged.notify_all();
  }
  if (mWriterThread.joinable()) {
    mWriterThread.join();
  }
  if (mReaderThread.joinable()) {
    mReaderThread.join();
  }
}

bool
JournalService::IsKnown(const SiteRecord& aRecord) const
{
  if (const auto* accept = FindAccept(aRecord)) {
    return mState.FindTask(accept->mSpec.mTask).has_value();
  }
  if (const auto* intent = FindIntent(aRecord)) {
    return mState.FindKey(intent->mKey).mState != requests::KeyState::Unclaimed;
  }
  return false;
}

base::Result<Offset>
JournalService::Submit(const std::vector<SiteRecord>& aRecords,
                       base::TimePoint aDeadline)
{
  // The position is read before the state, so that it is not newer than the
  // state that the checks below use.
  const WriterPosition position = mState.GetWriterPosition();
  std::vector<std::string> encoded;
  for (const auto& it : aRecords) {
    if (IsKnown(it)) {
      continue;
    }
    const auto* accept = FindAccept(it);
    if (accept != nullptr && mState.IsTaskKnown(accept->mSpec.mTask)) {
      return base::MakeError(
        base::ErrorKind::LogUnavailable,
        "the task id is in use, but no snapshot of the task has been read yet");
    }
    encoded.push_back(EncodeRecord(it));
  }
  if (encoded.empty()) {
    return kNotAppended;
  }
  Ticket ticket = 0;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mIsStopping) {
      return base::MakeError(base::ErrorKind::ShuttingDown);
    }
    ticket = mNextTicket++;
    auto added = mWriter.Add(ticket, std::move(encoded), position, aDeadline);
    if (!added) {
      return added.error();
    }
    mWaiting.emplace(ticket, aDeadline);
    mChanged.notify_all();
  }
  auto offset = WaitForTicket(ticket, aDeadline);
  if (!offset) {
    return offset;
  }
  return WaitForEffect(aRecords, offset.value(), aDeadline);
}

base::Result<Offset>
JournalService::WaitForTicket(Ticket aTicket, base::TimePoint aDeadline)
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (mResults.count(aTicket) == 0) {
    const auto remaining = base::Remaining(mClock.Now(), aDeadline);
    if (mIsStopping || remaining == base::Duration(0)) {
      mWriter.Expire(mClock.Now());
      TakeResults();
      break;
    }
    mChanged.wait_for(lock, std::min(remaining, kMaxWait));
  }
  mWaiting.erase(aTicket);
  const auto node = mResults.extract(aTicket);
  if (node.empty()) {
    return base::MakeError(
      base::ErrorKind::AnswerLost,
      "append was still in progress at the deadline or shutdown");
  }
  return node.mapped();
}

base::Result<Offset>
JournalService::WaitForEffect(const std::vector<SiteRecord>& aRecords,
                              Offset aOffset,
                              base::TimePoint aDeadline) const
{
  if (!mState.WaitUntilApplied(aOffset, mClock, aDeadline)) {
    return base::MakeError(base::ErrorKind::AnswerLost,
                           "record was not read back in time");
  }
  const bool isEffective =
    std::all_of(aRecords.begin(), aRecords.end(), [&](const auto& aEach) {
      const bool isCreation =
        FindAccept(aEach) != nullptr || FindIntent(aEach) != nullptr;
      return !isCreation || IsKnown(aEach);
    });
  if (!isEffective) {
    return base::MakeError(base::ErrorKind::AnswerLost,
                           "accept or intent had no effect, because this "
                           "instance was too far behind the log");
  }
  return aOffset;
}

// mMutex must be locked.
void
JournalService::TakeResults()
{
  for (auto& it : mWriter.TakeResults()) {
    if (mWaiting.count(it.mTicket) != 0) {
      mResults.emplace(it.mTicket, std::move(it.mOffset));
    }
  }
  mChanged.notify_all();
}

void
JournalService::Append(const AppendAction& aAction)
{
  const base::TimePoint deadline =
    std::min(aAction.mDeadline, mClock.Now() + mOptions.mAppendTimeout);
  const auto offset = mLog.Append(mOptions.mStream, aAction.mPayload, deadline);
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mCounts.mAppends;
  mIsReadDue = true;
  if (offset) {
    mWriter.OnAppended(offset.value());
  } else if (offset.error().mKind == base::ErrorKind::LogUnavailable) {
    ++mCounts.mAppendsFailed;
    mIsReadDue = false;
    mWriter.OnUnavailable(mClock.Now());
  } else {
    ++mCounts.mAnswersLost;
    mWriter.OnAnswerLost(mClock.Now());
  }
  TakeResults();
}

void
JournalService::RunWriter()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mIsStopping) {
    const auto action = mWriter.StartAppend(mClock.Now(), mWallClock.NowMs());
    TakeResults();
    if (action) {
      lock.unlock();
      Append(*action);
      lock.lock();
      continue;
    }
    const auto remaining = base::Remaining(mClock.Now(), mWriter.NextWakeUp());
    mChanged.wait_for(lock, std::min(remaining, kMaxWait));
  }
}

base::Duration
JournalService::ReadOnce()
{
  const base::TimePoint issuedAt = mClock.Now();
  const auto page = mLog.Read(mOptions.mStream,
                              mReader.NextOffset(),
                              mOptions.mMaxRecordsPerRead,
                              issuedAt + mOptions.mReadTimeout);
  if (!page) {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mCounts.mReads;
    ++mCounts.mReadsFailed;
    mReadPause = std::min(std::max(mOptions.mPollInterval, mReadPause * 2),
                          mOptions.mMaxReadRetryDelay);
    return mReadPause;
  }
  mReadPause = base::Duration(0);
  const std::lock_guard<std::mutex> readerLock(mReaderMutex);
  const PageResult result = mReader.OnPage(page.value(), issuedAt);
  mState.ApplyPage(result, mWallClock.NowMs());
  mState.SetCaughtUp(mReader.CaughtUpTime());
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mCounts.mReads;
  mCounts.mDuplicates = mReader.Duplicates();
  mCounts.mUndecodableBatches = mReader.Undecodable();
  mCounts.mGaps = mReader.Gaps();
  for (const auto& it : result.mBatches) {
    if (it.mBatch.mWriter == mOptions.mWriterOptions.mWriter) {
      mWriter.OnRead(it.mBatch.mSequence, it.mOffset);
    }
  }
  mWriter.OnCaughtUp(mReader.CaughtUpTime());
  TakeResults();
  const bool isAtEnd = mReader.NextOffset() >= page.value().mEnd;
  return isAtEnd ? mOptions.mPollInterval : base::Duration(0);
}

void
JournalService::RunReader()
{
  while (true) {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mIsReadDue = false;
    }
    const base::Duration pause = ReadOnce();
    const base::TimePoint until = mClock.Now() + pause;
    std::unique_lock<std::mutex> lock(mMutex);
    while (!mIsStopping && !mIsReadDue && mClock.Now() < until) {
      const auto remaining = base::Remaining(mClock.Now(), until);
      mChanged.wait_for(lock, std::min(remaining, kMaxWait));
    }
    if (mIsStopping) {
      return;
    }
  }
}

bool
JournalService::Drain(base::TimePoint aDeadline)
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mWriter.IsIdle()) {
    const auto remaining = base::Remaining(mClock.Now(), aDeadline);
    if (mIsStopping || remaining == base::Duration(0)) {
      return false;
    }
    mChanged.wait_for(lock, std::min(remaining, kMaxWait));
  }
  return true;
}

void
JournalService::SetLiveInstances(std::int64_t aCount)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mWriter.SetLiveInstances(aCount);
}

StateHeader
JournalService::ExportHeader() const
{
  const std::lock_guard<std::mutex> lock(mReaderMutex);
  return mState.ExportHeader(mReader.Export());
}

JournalCounts
JournalService::Counts() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mCounts;
}

} // namespace skylarkhill::journal
