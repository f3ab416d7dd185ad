#include "skylarkhill/journal/site_state.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/journal/record_codec.hpp"
#include "skylarkhill/tasks/task_names.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace skylarkhill::journal {

namespace {

constexpr std::int64_t kAgeSamplesPerRetention = 128;

// Limits one wait, as an injected clock can change without a notification.
constexpr std::chrono::milliseconds kMaxWait{ 20 };

template<typename... Functions>
struct OverloadSet : Functions...
{
  using Functions::operator()...;
};
template<typename... Functions>
OverloadSet(Functions...) -> OverloadSet<Functions...>;

const std::string&
IdOf(const SiteRecord& aRecord)
{
  return std::visit(
    OverloadSet{ [](const tasks::TaskRecord& aEach) -> const std::string& {
                  return tasks::TaskOf(aEach).mValue;
                },
                 [](const requests::KeyRecord& aEach) -> const std::string& {
                   return requests::KeyOf(aEach).mValue;
                 },
                 [](const TaskSnapshotRecord& aEach) -> const std::string& {
                   return aEach.mTask.mSpec.mTask.mValue;
                 },
                 [](const KeySnapshotRecord& aEach) -> const std::string& {
                   return aEach.mKey.mKey.mValue;
                 } },
    aRecord);
}

bool
IsCreationRecord(const SiteRecord& aRecord)
{
  const auto* task = std::get_if<tasks::TaskRecord>(&aRecord);
  const auto* key = std::get_if<requests::KeyRecord>(&aRecord);
  return (task != nullptr &&
          std::holds_alternative<tasks::AcceptRecord>(*task)) ||
         (key != nullptr &&
          std::holds_alternative<requests::IntentRecord>(*key));
}

/// Distributes records over pages with a limited number of records each.
class PageBuilder
{
public:
  PageBuilder(std::int64_t aShard, Offset aAppliedThrough, std::size_t aLimit)
    : mLimit(std::max<std::size_t>(1, aLimit))
  {
    mEmpty.mShard = aShard;
    mEmpty.mAppliedThrough = aAppliedThrough;
    mPages.push_back(mEmpty);
  }

  void Add(const SiteRecord& aRecord)
  {
    if (mPages.back().mRecords.size() >= mLimit) {
      mPages.push_back(mEmpty);
    }
    mPages.back().mRecords.push_back(EncodeRecord(aRecord));
  }

  void AddUnmatched(Offset aOffset, const SiteRecord& aRecord)
  {
    if (mPages.back().mUnmatched.size() >= mLimit) {
      mPages.push_back(mEmpty);
    }
    mPages.back().mUnmatched.emplace_back(aOffset, EncodeRecord(aRecord));
  }

  std::vector<StatePage> Take() { return std::move(mPages); }

private:
  std::size_t mLimit;
  StatePage mEmpty;
  std::vector<StatePage> mPages;
};

} // namespace

SiteState::SiteState(SiteStateOptions aOptions)
  : mOptions(aOptions)
  , mAgeIndex(aOptions.mRetentionMs / kAgeSamplesPerRetention)
{
  const std::size_t n = std::max<std::size_t>(1, mOptions.mShards);
  for (std::size_t i = 0; i < n; ++i) {
    mShards.push_back(std::make_unique<Shard>());
  }
}

std::size_t
SiteState::ShardIndexFor(std::string_view aId) const
{
  return base::StableHash(aId) % mShards.size();
}

const SiteState::Shard&
SiteState::ShardOf(std::string_view aId) const
{
  return *mShards[ShardIndexFor(aId)];
}

template<typename Function>
void
SiteState::ForEachShard(Function aFunction) const
{
  for (const auto& it : mShards) {
    const std::lock_guard<std::mutex> lock(it->mMutex);
    aFunction(*it->mTables);
  }
}

void
SiteState::Clear(Offset aFirstOffset)
{
  for (const auto& it : mShards) {
    const std::lock_guard<std::mutex> lock(it->mMutex);
    it->mTables = std::make_unique<Tables>();
    it->mAppliedThrough = -1;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mHorizon = aFirstOffset;
  mNextOffset = aFirstOffset;
  mFirstRetained = aFirstOffset;
  mCaughtUpTime = base::TimePoint::min();
  mIsReady = false;
  mAgeIndex.Clear();
}

// A record that creates or restores a task or key is applied only if this
// reader has every record that follows its writer's position. Otherwise the end
// record may have expired unread, and an ended task or finished key would
// become unfinished again.
bool
SiteState::IsStale(const Batch& aBatch,
                   Offset aOffset,
                   const SiteRecord& aRecord) const
{
  Offset asOf = aBatch.mPosition.mAppliedThrough;
  if (const auto* task = std::get_if<TaskSnapshotRecord>(&aRecord)) {
    asOf = task->mAsOf;
  } else if (const auto* key = std::get_if<KeySnapshotRecord>(&aRecord)) {
    asOf = key->mAsOf;
  } else if (!IsCreationRecord(aRecord)) {
    return false;
  }

  return asOf + 1 < mHorizon || asOf >= aOffset;
}

void
SiteState::ApplyToShard(Shard& aShard,
                        const ReadBatch& aBatch,
                        const std::vector<SiteRecord>& aRecords)
{
  const std::lock_guard<std::mutex> lock(aShard.mMutex);
  if (aBatch.mOffset <= aShard.mAppliedThrough) {
    return;
  }
  aShard.mAppliedThrough = aBatch.mOffset;
  for (const auto& it : aRecords) {
    if (IsStale(aBatch.mBatch, aBatch.mOffset, it)) {
      ++mStaleRecords;
      ApplyStaleRecord(*aShard.mTables, aBatch.mOffset, it);
    } else {
      ++mAppliedRecords;
      ApplyRecord(*aShard.mTables, aBatch, it);
    }
  }
}

void
SiteState::ApplyRecord(Tables& aTables,
                       const ReadBatch& aBatch,
                       const SiteRecord& aRecord) const
{
  const Offset replayFrom = aBatch.mBatch.mPosition.mAppliedThrough + 1;
  std::visit(
    OverloadSet{
      [&](const tasks::TaskRecord& aEach) {
        if (IsCreationRecord(aRecord)) {
          aTables.mTasks.RemoveTombstone(tasks::TaskOf(aEach), mHorizon);
        }
        aTables.mTasks.Apply(aBatch.mOffset, aEach, replayFrom);
      },
      [&](const requests::KeyRecord& aEach) {
        if (IsCreationRecord(aRecord)) {
          aTables.mKeys.RemoveTombstone(requests::KeyOf(aEach), mHorizon);
        }
        aTables.mKeys.Apply(aBatch.mOffset, aEach, replayFrom);
      },
      [&](const TaskSnapshotRecord& aEach) {
        aTables.mTasks.ApplySnapshot(aEach.mAsOf, aEach.mTask);
      },
      [&](const KeySnapshotRecord& aEach) {
        aTables.mKeys.ApplySnapshot(aEach.mAsOf, aEach.mKey);
      } },
    aRecord);
}

// A stale accept or intent still shows that its id was used, so that later ones
// are recognized as duplicates.
void
SiteState::ApplyStaleRecord(Tables& aTables,
                            Offset aOffset,
                            const SiteRecord& aRecord)
{
  if (const auto* task = std::get_if<tasks::TaskRecord>(&aRecord)) {
    aTables.mTasks.RegisterIgnored(aOffset, *task);
  } else if (const auto* key = std::get_if<requests::KeyRecord>(&aRecord)) {
    aTables.mKeys.RegisterIgnored(aOffset, *key);
  }
}

void
SiteState::RaiseHorizon(Offset aHorizon)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mHorizon = std::max(mHorizon, aHorizon);
}

void
SiteState::ApplyBatch(const ReadBatch& aBatch)
{
  // Taken from the batch and not from the page, so that all readers ignore the
  // same stale records and remove the same tombstones at this offset.
  RaiseHorizon(
    std::min(aBatch.mBatch.mPosition.mFirstRetained, aBatch.mOffset));
  std::map<std::size_t, std::vector<SiteRecord>> perShard;
  for (const auto& it : aBatch.mBatch.mRecords) {
    auto record = DecodeRecord(it);
    if (!record) {
      ++mUndecodableRecords;
      continue;
    }

    const std::size_t shard = ShardIndexFor(IdOf(record.value()));
    perShard[shard].push_back(std::move(record.value()));
  }
  for (const auto& [shard, records] : perShard) {
    ApplyToShard(*mShards[shard], aBatch, records);
  }
}

void
SiteState::ApplyPage(const PageResult& aPage, std::int64_t aNowMs)
{
  if (aPage.mIsGap) {
    Clear(aPage.mFirstRetained);
  }
  if (aPage.mIsFirst) {
    RaiseHorizon(aPage.mFirstRetained);
  }
  const Offset horizon = mHorizon;
  for (const auto& it : aPage.mBatches) {
    ApplyBatch(it);
  }
  if (mHorizon > horizon) {
    ForEachShard([&](Tables& aTables) {
      aTables.mTasks.Purge(mHorizon);
      aTables.mKeys.Purge(mHorizon);
    });
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& it : aPage.mBatches) {
    mAgeIndex.AddSample(it.mOffset, it.mBatch.mWrittenAtMs, aNowMs);
  }
  mAgeIndex.DiscardBefore(aPage.mFirstRetained);
  mFirstRetained = std::max(mFirstRetained, aPage.mFirstRetained);
  mNextOffset = aPage.mNextOffset;
  mChanged.notify_all();
}

void
SiteState::SetCaughtUp(base::TimePoint aCaughtUpTime)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mCaughtUpTime = aCaughtUpTime;
  mIsReady = mIsReady || aCaughtUpTime != base::TimePoint::min();
  mChanged.notify_all();
}

Offset
SiteState::NextOffset() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mNextOffset;
}

WriterPosition
SiteState::GetWriterPosition() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return { mNextOffset - 1, mFirstRetained };
}

base::TimePoint
SiteState::CaughtUpTime() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mCaughtUpTime;
}

bool
SiteState::IsReady() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mIsReady;
}

template<typename Ready>
bool
SiteState::WaitUntil(Ready aReady,
                     const base::Clock& aClock,
                     base::TimePoint aDeadline) const
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!aReady()) {
    const base::Duration remaining = base::Remaining(aClock.Now(), aDeadline);
    if (remaining == base::Duration(0)) {
      return false;
    }
    mChanged.wait_for(lock, std::min<base::Duration>(remaining, kMaxWait));
  }
  return true;
}

bool
SiteState::WaitUntilApplied(Offset aOffset,
                            const base::Clock& aClock,
                            base::TimePoint aDeadline) const
{
  return WaitUntil([&] { return mNextOffset > aOffset; }, aClock, aDeadline);
}

bool
SiteState::WaitUntilCaughtUp(base::TimePoint aCaughtUpTime,
                             const base::Clock& aClock,
                             base::TimePoint aDeadline) const
{
  return WaitUntil(
    [&] { return mCaughtUpTime >= aCaughtUpTime; }, aClock, aDeadline);
}

bool
SiteState::IsTaskKnown(const base::TaskId& aTask) const
{
  const Shard& shard = ShardOf(aTask.mValue);
  const std::lock_guard<std::mutex> lock(shard.mMutex);
  return shard.mTables->mTasks.IsKnown(aTask);
}

std::optional<tasks::TaskSnapshot>
SiteState::FindTask(const base::TaskId& aTask) const
{
  const Shard& shard = ShardOf(aTask.mValue);
  const std::lock_guard<std::mutex> lock(shard.mMutex);
  return shard.mTables->mTasks.Find(aTask);
}

std::vector<tasks::QueuedTask>
SiteState::Queued(std::size_t aLimit) const
{
  std::vector<tasks::QueuedTask> result;
  ForEachShard([&](const Tables& aTables) {
    for (auto& it : aTables.mTasks.Queued(aLimit)) {
      result.push_back(std::move(it));
    }
  });
  std::sort(
    result.begin(),
    result.end(),
    [](const tasks::QueuedTask& aLeft, const tasks::QueuedTask& aRight) {
      const auto key = [](const tasks::QueuedTask& aTask) {
        return std::tie(aTask.mAcceptedOffset, aTask.mTask);
      };
      return aLeft.mUrgent != aRight.mUrgent ? aLeft.mUrgent
                                             : key(aLeft) < key(aRight);
    });
  if (result.size() > aLimit) {
    result.resize(aLimit);
  }
  return result;
}

std::vector<tasks::LiveAttempt>
SiteState::LiveAttemptsOn(const base::WorkerId& aWorker) const
{
  std::vector<tasks::LiveAttempt> result;
  ForEachShard([&](const Tables& aTables) {
    for (auto& it : aTables.mTasks.LiveAttemptsOn(aWorker)) {
      result.push_back(std::move(it));
    }
  });
  std::sort(
    result.begin(),
    result.end(),
    [](const tasks::LiveAttempt& aLeft, const tasks::LiveAttempt& aRight) {
      return aLeft.mTask < aRight.mTask;
    });
  return result;
}

std::vector<base::WorkerId>
SiteState::WorkersWithLiveAttempts() const
{
  std::vector<base::WorkerId> result;
  ForEachShard([&](const Tables& aTables) {
    for (auto& it : aTables.mTasks.WorkersWithLiveAttempts()) {
      result.push_back(std::move(it));
    }
  });
  std::sort(result.begin(), result.end());
  result.erase(std::unique(result.begin(), result.end()), result.end());
  return result;
}

std::map<std::string, tasks::TeamCommitment>
SiteState::TeamCommitments() const
{
  std::map<std::string, tasks::TeamCommitment> result;
  ForEachShard([&](const Tables& aTables) {
    for (const auto& [team, use] : aTables.mTasks.TeamCommitments()) {
      result[team].mCommitted += use.mCommitted;
      result[team].mLiveAttempts += use.mLiveAttempts;
    }
  });
  return result;
}

requests::KeySnapshot
SiteState::FindKey(const base::RequestId& aKey) const
{
  const Shard& shard = ShardOf(aKey.mValue);
  const std::lock_guard<std::mutex> lock(shard.mMutex);
  return shard.mTables->mKeys.Find(aKey);
}

std::vector<base::RequestId>
SiteState::ClaimedBy(const base::InstanceId& aInstance) const
{
  std::vector<base::RequestId> result;
  ForEachShard([&](const Tables& aTables) {
    for (auto& it : aTables.mKeys.ClaimedBy(aInstance)) {
      result.push_back(std::move(it));
    }
  });
  std::sort(result.begin(), result.end());
  return result;
}

SiteStateCounts
SiteState::Counts() const
{
  SiteStateCounts counts;
  counts.mAppliedRecords = mAppliedRecords;
  counts.mUndecodableRecords = mUndecodableRecords;
  counts.mStaleRecords = mStaleRecords;
  ForEachShard([&](const Tables& aTables) {
    counts.mUnfinishedTasks += aTables.mTasks.CountUnfinished();
    counts.mQueuedTasks += aTables.mTasks.CountQueued();
    counts.mEndedTasks += aTables.mTasks.CountEnded();
    counts.mClaimedKeys += aTables.mKeys.CountClaimed();
    counts.mFinishedKeys += aTables.mKeys.CountFinished();
  });
  return counts;
}

std::uint64_t
SiteState::UnfinishedDigest() const
{
  std::uint64_t digest = 0;
  ForEachShard([&](const Tables& aTables) {
    digest +=
      aTables.mTasks.UnfinishedDigest() + aTables.mKeys.UnfinishedDigest();
  });
  return digest;
}

std::vector<tasks::TaskReplayOffset>
SiteState::TasksToSnapshot(std::int64_t aAgeMs,
                           std::int64_t aNowMs,
                           std::size_t aLimit) const
{
  Offset before = 0;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    before = mAgeIndex.FirstYoungerThan(aAgeMs, aNowMs);
  }
  std::vector<tasks::TaskReplayOffset> result;
  ForEachShard([&](const Tables& aTables) {
    for (auto& it : aTables.mTasks.OldestReplayOffsets(before, aLimit)) {
      result.push_back(std::move(it));
    }
  });
  return result;
}

std::vector<requests::KeyReplayOffset>
SiteState::KeysToSnapshot(std::int64_t aAgeMs,
                          std::int64_t aNowMs,
                          std::size_t aLimit) const
{
  Offset before = 0;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    before = mAgeIndex.FirstYoungerThan(aAgeMs, aNowMs);
  }
  std::vector<requests::KeyReplayOffset> result;
  ForEachShard([&](const Tables& aTables) {
    for (auto& it : aTables.mKeys.OldestReplayOffsets(before, aLimit)) {
      result.push_back(std::move(it));
    }
  });
  return result;
}

std::int64_t
SiteState::AgeOf(Offset aOffset, std::int64_t aNowMs) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mAgeIndex.AgeOf(aOffset, aNowMs);
}

// The offset is read before the shard is locked: the shard then reflects
// exactly the records up to the larger of the two offsets.
std::optional<TaskSnapshotRecord>
SiteState::SnapshotTask(const base::TaskId& aTask) const
{
  const Offset applied = NextOffset() - 1;
  const Shard& shard = ShardOf(aTask.mValue);
  const std::lock_guard<std::mutex> lock(shard.mMutex);
  auto task = shard.mTables->mTasks.Find(aTask);
  if (!task || tasks::IsEnded(task->mState)) {
    return std::nullopt;
  }
  return TaskSnapshotRecord{ std::max(applied, shard.mAppliedThrough),
                             std::move(*task) };
}

std::optional<KeySnapshotRecord>
SiteState::SnapshotKey(const base::RequestId& aKey) const
{
  const Offset applied = NextOffset() - 1;
  const Shard& shard = ShardOf(aKey.mValue);
  const std::lock_guard<std::mutex> lock(shard.mMutex);
  auto key = shard.mTables->mKeys.Find(aKey);
  if (key.mState != requests::KeyState::Claimed) {
    return std::nullopt;
  }
  return KeySnapshotRecord{ std::max(applied, shard.mAppliedThrough),
                            std::move(key) };
}

StateHeader
SiteState::ExportHeader(ReaderState aReader) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return { static_cast<std::int64_t>(mShards.size()),
           mHorizon,
           mFirstRetained,
           std::move(aReader),
           mAgeIndex.Samples() };
}

std::vector<StatePage>
SiteState::ExportShard(std::size_t aShard) const
{
  const Offset applied = NextOffset() - 1;

  const Shard& shard = *mShards[aShard];
  const std::lock_guard<std::mutex> lock(shard.mMutex);
  PageBuilder builder(static_cast<std::int64_t>(aShard),
                      std::max(applied, shard.mAppliedThrough),
                      mOptions.mRecordsPerPage);
  const tasks::TaskTable& tasks = shard.mTables->mTasks;
  const requests::KeyTable& keys = shard.mTables->mKeys;
  for (const auto& it : tasks.All()) {
    builder.Add(
      TaskSnapshotRecord{ *tasks.FindReplayOffset(it) - 1, *tasks.Find(it) });
  }
  for (const auto& it : keys.All()) {
    builder.Add(
      KeySnapshotRecord{ *keys.FindReplayOffset(it) - 1, keys.Find(it) });
  }
  for (const auto& [offset, record] : tasks.UnmatchedRecords()) {
    builder.AddUnmatched(offset, record);
  }
  for (const auto& [offset, record] : keys.UnmatchedRecords()) {
    builder.AddUnmatched(offset, record);
  }
  return builder.Take();
}

base::Result<void>
SiteState::ImportPage(const StatePage& aPage)
{
  const auto malformed =
    base::MakeError(base::ErrorKind::InvalidArgument, "malformed state page");
  if (aPage.mShard < 0 ||
      aPage.mShard >= static_cast<std::int64_t>(mShards.size())) {
    return malformed;
  }
  Shard& shard = *mShards[static_cast<std::size_t>(aPage.mShard)];
  const std::lock_guard<std::mutex> lock(shard.mMutex);
  shard.mAppliedThrough = aPage.mAppliedThrough;
  for (const auto& it : aPage.mRecords) {
    const auto record = DecodeRecord(it);
    if (!record) {
      return malformed;
    }
    if (const auto* task = std::get_if<TaskSnapshotRecord>(&record.value())) {
      shard.mTables->mTasks.Restore(task->mTask, task->mAsOf + 1);
    } else if (const auto* key =
                 std::get_if<KeySnapshotRecord>(&record.value())) {
      shard.mTables->mKeys.Restore(key->mKey, key->mAsOf + 1);
    }
  }
  for (const auto& [offset, bytes] : aPage.mUnmatched) {
    const auto record = DecodeRecord(bytes);
    if (!record) {
      return malformed;
    }
    if (const auto* task = std::get_if<tasks::TaskRecord>(&record.value())) {
      shard.mTables->mTasks.RegisterIgnored(offset, *task);
    } else if (const auto* key =
                 std::get_if<requests::KeyRecord>(&record.value())) {
      shard.mTables->mKeys.RegisterIgnored(offset, *key);
    }
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

base::Result<void>
SiteState::Import(const StateHeader& aHeader,
                  const std::vector<StatePage>& aPages)
{
  Clear(aHeader.mHorizon);
  std::vector<bool> present(mShards.size(), false);
  base::Result<void> result = BOOST_OUTCOME_V2_NAMESPACE::success();
  if (aHeader.mShards != static_cast<std::int64_t>(mShards.size())) {
    return base::MakeError(base::ErrorKind::InvalidArgument,
                           "peer has a different number of shards");
  }
  for (const auto& it : aPages) {
    result = ImportPage(it);
    if (!result) {
      Clear(0);
      return result;
    }
    present[static_cast<std::size_t>(it.mShard)] = true;
  }
  if (std::find(present.begin(), present.end(), false) != present.end()) {
    Clear(0);
    return base::MakeError(base::ErrorKind::InvalidArgument,
                           "state pages are missing");
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mNextOffset = aHeader.mReader.mNextOffset;
  mFirstRetained = aHeader.mFirstRetained;
  mAgeIndex.Restore(aHeader.mAgeSamples);
  mIsReady = true;
  mChanged.notify_all();
  return result;
}

} // namespace skylarkhill::journal
