#include "skylarkhill/node/pending_cancellations.hpp"

#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/logging/logging.hpp"

#include <algorithm>

namespace skylarkhill::node {

using base::TimePoint;

namespace {

constexpr base::Duration kAppendTimeout = std::chrono::milliseconds(1200);
/// Pause of a cell after a failed append.
constexpr base::Duration kRetryPause = std::chrono::milliseconds(500);
constexpr std::size_t kMaxInFlight = 10;

std::int64_t
ToMs(base::Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

PendingCancellations::PendingCancellations(AsyncLog& aLog,
                                           const base::Clock& aClock,
                                           const journal::WallClock& aWallClock,
                                           LogStream aJournal,
                                           metrics::Registry& aMetrics)
  : mLog(aLog)
  , mClock(aClock)
  , mWallClock(aWallClock)
  , mJournal(std::move(aJournal))
  , mCount(aMetrics.GetGauge("skylarkhill_cancellations_pending",
                             "Jobs whose cancellation some cells may lack."))
  , mDropped(aMetrics.GetCounter(
      "skylarkhill_cancellations_dropped_total",
      "Cancellations that could not be stored in all cells."))
{
}

void
PendingCancellations::Add(const std::string& aJobId,
                          const std::vector<int>& aCells)
{
  const std::lock_guard lock(mLock);
  if (mAdded.size() < kMaxCount) {
    mAdded.emplace_back(aJobId, aCells);
    return;
  }
  mDropped.Add();
  logging::Write(logging::Level::Warning,
                 "pending_cancellation_dropped",
                 { { "job", aJobId }, { "cause", "too many" } });
}

void
PendingCancellations::Tick()
{
  TakeAdded();
  DropOld();
  const TimePoint now = mClock.Now();
  for (const auto& [id, entry] : mEntries) {
    for (const int cell : entry.mCells) {
      if (mInFlight >= kMaxInFlight) {
        return;
      }
      if (entry.mInFlight.count(cell) == 0 && mPausedUntil[cell] <= now) {
        Send(id, cell);
      }
    }
  }
}

TimePoint
PendingCancellations::NextTickAt() const
{
  TimePoint next = base::kNoDeadline;
  if (mInFlight >= kMaxInFlight) {
    return next;
  }
  for (const auto& [id, entry] : mEntries) {
    for (const int cell : entry.mCells) {
      const auto paused = mPausedUntil.find(cell);
      if (entry.mInFlight.count(cell) == 0) {
        next = std::min(
          next, paused != mPausedUntil.end() ? paused->second : TimePoint{});
      }
    }
  }
  return next;
}

void
PendingCancellations::TakeAdded()
{
  std::deque<std::pair<std::string, std::vector<int>>> added;
  {
    const std::lock_guard lock(mLock);
    added.swap(mAdded);
  }
  for (const auto& [id, cells] : added) {
    const auto known = mEntries.find(id);
    if (known == mEntries.end() && mEntries.size() >= kMaxCount) {
      mDropped.Add();
      logging::Write(logging::Level::Warning,
                     "pending_cancellation_dropped",
                     { { "job", id }, { "cause", "too many" } });
      continue;
    }
    Entry& entry = mEntries[id];
    entry.mAddedAt = mClock.Now();
    entry.mCells.insert(cells.begin(), cells.end());
    logging::Write(
      logging::Level::Info,
      "cancellation_continued",
      { { "job", id },
        { "cells", static_cast<std::int64_t>(entry.mCells.size()) } });
  }
  mCount.Set(static_cast<std::int64_t>(mEntries.size()));
}

void
PendingCancellations::DropOld()
{
  const TimePoint oldest = mClock.Now() - kLoneCancellationRetention;
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    if (it->second.mAddedAt > oldest) {
      ++it;
      continue;
    }
    mDropped.Add();
    logging::Write(logging::Level::Warning,
                   "pending_cancellation_dropped",
                   { { "job", it->first }, { "cause", "too old" } });
    it = mEntries.erase(it);
  }
}

void
PendingCancellations::Send(const std::string& aJobId, int aCell)
{
  ++mInFlight;
  mEntries[aJobId].mInFlight.insert(aCell);
  AppendRequest request;
  request.mStream = mJournal;
  request.mStream.mPartition += aCell;
  request.mRecords.push_back(
    { jobs::FormatRecordKey(jobs::RecordKind::Cancellation, aJobId),
      jobs::EncodeCancellation(mWallClock.NowMs()),
      0 });
  mLog.Append(request,
              mClock.Now() + kAppendTimeout,
              [this, id = aJobId, aCell](const AppendResult& aResult) {
                OnStored(id, aCell, aResult);
              });
}

void
PendingCancellations::OnStored(const std::string& aJobId,
                               int aCell,
                               const AppendResult& aResult)
{
  --mInFlight;
  const TimePoint now = mClock.Now();
  if (aResult.mOutcome != LogOutcome::Done) {
    mPausedUntil[aCell] = now + kRetryPause;
  }
  const auto found = mEntries.find(aJobId);
  if (found == mEntries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.mInFlight.erase(aCell);
  if (aResult.mOutcome != LogOutcome::Done) {
    return;
  }
  entry.mCells.erase(aCell);
  if (entry.mCells.empty()) {
    logging::Write(
      logging::Level::Info,
      "cancellation_completed",
      { { "job", aJobId }, { "age_ms", ToMs(now - entry.mAddedAt) } });
    mEntries.erase(found);
  }
}

} // namespace skylarkhill::node
