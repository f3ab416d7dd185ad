#include "skylarkhill/tasks/task_table.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/tasks/task_names.hpp"

#include <algorithm>

namespace skylarkhill::tasks {

namespace {

// Bounds the memory of a task that fails on every worker; quarantine needs
// fewer distinct workers.
constexpr std::size_t kMaxFailedWorkers = 16;

std::uint64_t
Combine(std::uint64_t aDigest, std::string_view aText)
{
  return base::StableHash(aText, aDigest);
}

std::uint64_t
Combine(std::uint64_t aDigest, std::int64_t aNumber)
{
  return base::StableHash(std::to_string(aNumber), aDigest);
}

} // namespace

struct TaskTable::Entry
{
  std::string mTask;
  std::string mJob;
  std::string mPayload;
  std::string mCheckpoint;
  std::string mDetail;
  std::vector<StringPool::Handle> mFailedWorkers;
  base::Resources mDeclared;
  std::int64_t mDeclaredRunSeconds = 0;
  Offset mAcceptedOffset = 0;
  Offset mLastRecordOffset = 0;
  Offset mReplayFrom = 0;
  std::int64_t mLastAttempt = 0;
  Offset mGrantedOffset = 0;
  StringPool::Handle mTeam = StringPool::kEmpty;
  StringPool::Handle mBatchClass = StringPool::kEmpty;
  StringPool::Handle mPool = StringPool::kEmpty;
  StringPool::Handle mCaller = StringPool::kEmpty;
  StringPool::Handle mWorker = StringPool::kEmpty;
  std::int32_t mEvictions = 0;
  std::int32_t mFailures = 0;
  TaskState mState = TaskState::Queued;
  bool mUrgent = false;
  bool mCancelRequested = false;
  bool mQuarantineRequested = false;

  void Finish(TaskState aState)
  {
    mState = aState;
    mPayload = {};
    mCheckpoint = {};
    mPayload.shrink_to_fit();
    mCheckpoint.shrink_to_fit();
  }

  bool Grant(StringPool::Handle aWorker, std::int64_t aAttempt)
  {
    const bool isWaiting =
      mState == TaskState::Queued || mState == TaskState::Evicted;
    if (!isWaiting || aAttempt != mLastAttempt + 1) {
      return false;
    }
    mState = TaskState::Granted;
    mLastAttempt = aAttempt;
    mWorker = aWorker;
    return true;
  }

  bool Start(std::int64_t aAttempt)
  {
    if (mState != TaskState::Granted || aAttempt != mLastAttempt) {
      return false;
    }
    mState = TaskState::Running;
    return true;
  }

  // The outcomes Completed and Cancelled determine the state. After any other
  // one, a cancellation or quarantine requested while the attempt was live
  // takes effect; an attempt that failed after a requested cancellation fails
  // the task.
  TaskState StateAfter(AttemptOutcome aOutcome) const
  {
    if (aOutcome == AttemptOutcome::Completed) {
      return TaskState::Completed;
    }
    if (aOutcome == AttemptOutcome::Cancelled) {
      return TaskState::Cancelled;
    }
    if (mCancelRequested) {
      return aOutcome == AttemptOutcome::Failed ? TaskState::Failed
                                                : TaskState::Cancelled;
    }
    if (mQuarantineRequested) {
      return TaskState::Quarantined;
    }
    return aOutcome == AttemptOutcome::Evicted ? TaskState::Evicted
                                               : TaskState::Queued;
  }

  void CountFailure()
  {
    ++mFailures;
    const bool isListed =
      std::find(mFailedWorkers.begin(), mFailedWorkers.end(), mWorker) !=
      mFailedWorkers.end();
    if (!isListed && mFailedWorkers.size() < kMaxFailedWorkers) {
      mFailedWorkers.push_back(mWorker);
    }
  }

  bool End(const EndRecord& aRecord)
  {
    if (!HasLiveAttempt(mState) || aRecord.mAttempt != mLastAttempt) {
      return false;
    }
    if (aRecord.mOutcome == AttemptOutcome::Failed) {
      CountFailure();
    }
    if (aRecord.mOutcome == AttemptOutcome::Evicted) {
      ++mEvictions;
    }
    // If the attempt ended without a new checkpoint, e.g. because its worker
    // was lost, the checkpoint from which it started is kept.
    if (!aRecord.mCheckpoint.empty()) {
      mCheckpoint = aRecord.mCheckpoint;
    }
    const bool isDone = aRecord.mOutcome == AttemptOutcome::Completed;
    if (isDone || (!mQuarantineRequested && !aRecord.mDetail.empty())) {
      mDetail = aRecord.mDetail;
    }
    mWorker = StringPool::kEmpty;
    const TaskState state = StateAfter(aRecord.mOutcome);
    if (IsEnded(state)) {
      Finish(state);
    } else {
      mState = state;
    }
    return true;
  }

  bool Cancel()
  {
    if (IsEnded(mState) || mCancelRequested) {
      return false;
    }
    mCancelRequested = true;
    if (!HasLiveAttempt(mState)) {
      Finish(TaskState::Cancelled);
    }
    return true;
  }

  bool Quarantine(const std::string& aReason)
  {
    if (IsEnded(mState) || mQuarantineRequested) {
      return false;
    }
    mQuarantineRequested = true;
    mDetail = aReason;
    if (!HasLiveAttempt(mState)) {
      Finish(TaskState::Quarantined);
    }
    return true;
  }
};

bool
TaskTable::ByAcceptance::operator()(const Entry* aLeft,
                                    const Entry* aRight) const
{
  if (aLeft->mAcceptedOffset != aRight->mAcceptedOffset) {
    return aLeft->mAcceptedOffset < aRight->mAcceptedOffset;
  }
  return aLeft->mTask < aRight->mTask;
}

bool
TaskTable::ByQueueOrder::operator()(const Entry* aLeft,
                                    const Entry* aRight) const
{
  if (aLeft->mUrgent != aRight->mUrgent) {
    return aLeft->mUrgent;
  }
  return ByAcceptance()(aLeft, aRight);
}

bool
TaskTable::ByReplayOffset::operator()(const Entry* aLeft,
                                      const Entry* aRight) const
{
  if (aLeft->mReplayFrom != aRight->mReplayFrom) {
    return aLeft->mReplayFrom < aRight->mReplayFrom;
  }
  return aLeft->mTask < aRight->mTask;
}

bool
TaskTable::ByLastRecord::operator()(const Entry* aLeft,
                                    const Entry* aRight) const
{
  if (aLeft->mLastRecordOffset != aRight->mLastRecordOffset) {
    return aLeft->mLastRecordOffset < aRight->mLastRecordOffset;
  }
  return aLeft->mTask < aRight->mTask;
}

TaskTable::TaskTable() = default;
TaskTable::~TaskTable() = default;

const base::TaskId&
TaskOf(const TaskRecord& aRecord)
{
  struct Visitor
  {
    const base::TaskId& operator()(const AcceptRecord& aAccept) const
    {
      return aAccept.mSpec.mTask;
    }
    const base::TaskId& operator()(const GrantRecord& aGrant) const
    {
      return aGrant.mTask;
    }
    const base::TaskId& operator()(const StartedRecord& aStarted) const
    {
      return aStarted.mTask;
    }
    const base::TaskId& operator()(const EndRecord& aEnd) const
    {
      return aEnd.mTask;
    }
    const base::TaskId& operator()(const CancelRecord& aCancel) const
    {
      return aCancel.mTask;
    }
    const base::TaskId& operator()(const QuarantineRecord& aQuarantine) const
    {
      return aQuarantine.mTask;
    }
  };
  return std::visit(Visitor{}, aRecord);
}

TaskTable::Entry*
TaskTable::FindEntry(const base::TaskId& aTask) const
{
  const auto found = mEntries.find(aTask.mValue);
  return found == mEntries.end() ? nullptr : found->second.get();
}

TaskTable::Entry&
TaskTable::AddEntry(const TaskSpec& aSpec)
{
  auto entry = std::make_unique<Entry>();
  entry->mTask = aSpec.mTask.mValue;
  entry->mJob = aSpec.mJob.mValue;
  entry->mPayload = aSpec.mPayload;
  entry->mDeclared = aSpec.mDeclared;
  entry->mDeclaredRunSeconds = aSpec.mDeclaredRunSeconds;
  entry->mTeam = mPool.Intern(aSpec.mTeam);
  entry->mBatchClass = mPool.Intern(aSpec.mBatchClass);
  entry->mPool = mPool.Intern(aSpec.mPool);
  entry->mCaller = mPool.Intern(aSpec.mCaller);
  entry->mUrgent = aSpec.mUrgent;
  Entry& result = *entry;
  mEntries.emplace(result.mTask, std::move(entry));
  return result;
}

TaskTable::Entry&
TaskTable::AddEntry(const TaskSnapshot& aSnapshot, Offset aReplayFrom)
{
  Entry& entry = AddEntry(aSnapshot.mSpec);
  entry.mState = aSnapshot.mState;
  entry.mAcceptedOffset = aSnapshot.mAcceptedOffset;
  entry.mLastRecordOffset = aSnapshot.mLastRecordOffset;
  entry.mReplayFrom = aReplayFrom;
  entry.mLastAttempt = aSnapshot.mLastAttempt;
  entry.mGrantedOffset = aSnapshot.mGrantedOffset;
  entry.mWorker = mPool.Intern(aSnapshot.mWorker.mValue);
  entry.mCheckpoint = aSnapshot.mCheckpoint;
  entry.mDetail = aSnapshot.mDetail;
  entry.mEvictions = static_cast<std::int32_t>(aSnapshot.mEvictions);
  entry.mFailures = static_cast<std::int32_t>(aSnapshot.mFailures);
  for (const auto& it : aSnapshot.mFailedWorkers) {
    entry.mFailedWorkers.push_back(mPool.Intern(it.mValue));
  }
  entry.mCancelRequested = aSnapshot.mCancelRequested;
  entry.mQuarantineRequested = aSnapshot.mQuarantineRequested;
  AddToIndexes(entry);
  return entry;
}

void
TaskTable::RemoveEntry(Entry& aEntry)
{
  RemoveFromIndexes(aEntry);
  mEntries.erase(mEntries.find(aEntry.mTask));
}

void
TaskTable::AddToIndexes(Entry& aEntry)
{
  if (IsEnded(aEntry.mState)) {
    mEnded.insert(&aEntry);
    return;
  }
  mByReplayOffset.insert(&aEntry);
  if (!HasLiveAttempt(aEntry.mState)) {
    mQueued.insert(&aEntry);
    return;
  }
  mByWorker[aEntry.mWorker].insert(&aEntry);
  TeamCommitment& use = mTeamCommitments[aEntry.mTeam];
  use.mCommitted += aEntry.mDeclared;
  ++use.mLiveAttempts;
}

void
TaskTable::RemoveFromIndexes(Entry& aEntry)
{
  if (IsEnded(aEntry.mState)) {
    mEnded.erase(&aEntry);
    return;
  }
  mByReplayOffset.erase(&aEntry);
  if (!HasLiveAttempt(aEntry.mState)) {
    mQueued.erase(&aEntry);
    return;
  }
  const auto worker = mByWorker.find(aEntry.mWorker);
  worker->second.erase(&aEntry);
  if (worker->second.empty()) {
    mByWorker.erase(worker);
  }
  TeamCommitment& use = mTeamCommitments[aEntry.mTeam];
  use.mCommitted -= aEntry.mDeclared;
  --use.mLiveAttempts;
}

void
TaskTable::Accept(Offset aOffset,
                  const AcceptRecord& aRecord,
                  Offset aReplayFrom)
{
  // A task with unmatched records was accepted before the first record applied
  // to this table, so this record is a duplicate of an expired accept record.
  if (IsKnown(aRecord.mSpec.mTask)) {
    RegisterIgnored(aOffset, aRecord);
    return;
  }
  Entry& entry = AddEntry(aRecord.mSpec);
  entry.mAcceptedOffset = aOffset;
  entry.mLastRecordOffset = aOffset;
  entry.mReplayFrom = aReplayFrom;
  AddToIndexes(entry);
}

void
TaskTable::RegisterIgnored(Offset aOffset, const TaskRecord& aRecord)
{
  ++mIgnoredRecords;
  const base::TaskId& task = TaskOf(aRecord);
  Entry* entry = FindEntry(task);
  if (entry == nullptr) {
    mUnmatched[task].emplace_back(aOffset, aRecord);
    return;
  }
  RemoveFromIndexes(*entry);
  entry->mLastRecordOffset = std::max(entry->mLastRecordOffset, aOffset);
  AddToIndexes(*entry);
}

bool
TaskTable::Update(StringPool& aPool, Entry& aEntry, const TaskRecord& aRecord)
{
  struct Visitor
  {
    StringPool& mPool;
    Entry& mEntry;

    bool operator()(const AcceptRecord& /*aAccept*/) const { return false; }
    bool operator()(const GrantRecord& aGrant) const
    {
      return mEntry.Grant(mPool.Intern(aGrant.mWorker.mValue), aGrant.mAttempt);
    }
    bool operator()(const StartedRecord& aStarted) const
    {
      return mEntry.Start(aStarted.mAttempt);
    }
    bool operator()(const EndRecord& aEnd) const { return mEntry.End(aEnd); }
    bool operator()(const CancelRecord& /*aCancel*/) const
    {
      return mEntry.Cancel();
    }
    bool operator()(const QuarantineRecord& aQuarantine) const
    {
      return mEntry.Quarantine(aQuarantine.mReason);
    }
  };
  return std::visit(Visitor{ aPool, aEntry }, aRecord);
}

void
TaskTable::ApplyKnown(Offset aOffset, const TaskRecord& aRecord)
{
  Entry& entry = *FindEntry(TaskOf(aRecord));
  RemoveFromIndexes(entry);
  // Ignored records count as well: a reader that starts later and reads only
  // that record must keep the task id reserved for the same time.
  entry.mLastRecordOffset = std::max(entry.mLastRecordOffset, aOffset);
  if (!Update(mPool, entry, aRecord)) {
    ++mIgnoredRecords;
  } else if (std::holds_alternative<GrantRecord>(aRecord)) {
    entry.mGrantedOffset = aOffset;
  }
  AddToIndexes(entry);
}

void
TaskTable::Apply(Offset aOffset, const TaskRecord& aRecord)
{
  Apply(aOffset, aRecord, aOffset);
}

void
TaskTable::Apply(Offset aOffset, const TaskRecord& aRecord, Offset aReplayFrom)
{
  if (const auto* accept = std::get_if<AcceptRecord>(&aRecord)) {
    Accept(aOffset, *accept, aReplayFrom);
  } else if (FindEntry(TaskOf(aRecord)) == nullptr) {
    RegisterIgnored(aOffset, aRecord);
  } else {
    ApplyKnown(aOffset, aRecord);
  }
}

void
TaskTable::ApplySnapshot(Offset aAsOf, const TaskSnapshot& aSnapshot)
{
  Entry* known = FindEntry(aSnapshot.mSpec.mTask);
  if (known != nullptr) {
    RemoveFromIndexes(*known);
    known->mReplayFrom = std::max(known->mReplayFrom, aAsOf + 1);
    AddToIndexes(*known);
    return;
  }
  AddEntry(aSnapshot, aAsOf + 1);
  const auto node = mUnmatched.extract(aSnapshot.mSpec.mTask);
  if (node.empty()) {
    return;
  }
  for (const auto& [offset, record] : node.mapped()) {
    if (offset > aAsOf) {
      ApplyKnown(offset, record);
    }
  }
}

void
TaskTable::Restore(const TaskSnapshot& aSnapshot, Offset aReplayFrom)
{
  if (FindEntry(aSnapshot.mSpec.mTask) == nullptr) {
    AddEntry(aSnapshot, aReplayFrom);
  }
}

void
TaskTable::RemoveTombstone(const base::TaskId& aTask, Offset aFirstRetained)
{
  Entry* entry = FindEntry(aTask);
  if (entry != nullptr && IsEnded(entry->mState) &&
      entry->mLastRecordOffset < aFirstRetained) {
    RemoveEntry(*entry);
  }
  const auto unmatched = mUnmatched.find(aTask);
  if (unmatched != mUnmatched.end() &&
      unmatched->second.back().first < aFirstRetained) {
    mUnmatched.erase(unmatched);
  }
}

void
TaskTable::Purge(Offset aFirstRetained)
{
  while (!mEnded.empty() &&
         (*mEnded.begin())->mLastRecordOffset < aFirstRetained) {
    RemoveEntry(**mEnded.begin());
  }
  for (auto it = mUnmatched.begin(); it != mUnmatched.end();) {
    const bool isExpired = it->second.back().first < aFirstRetained;
    it = isExpired ? mUnmatched.erase(it) : std::next(it);
  }
}

TaskSnapshot
TaskTable::ToSnapshot(const Entry& aEntry) const
{
  TaskSnapshot result;
  result.mSpec.mTask.mValue = aEntry.mTask;
  result.mSpec.mJob.mValue = aEntry.mJob;
  result.mSpec.mTeam = mPool.Get(aEntry.mTeam);
  result.mSpec.mBatchClass = mPool.Get(aEntry.mBatchClass);
  result.mSpec.mPool = mPool.Get(aEntry.mPool);
  result.mSpec.mCaller = mPool.Get(aEntry.mCaller);
  result.mSpec.mDeclared = aEntry.mDeclared;
  result.mSpec.mDeclaredRunSeconds = aEntry.mDeclaredRunSeconds;
  result.mSpec.mUrgent = aEntry.mUrgent;
  result.mSpec.mPayload = aEntry.mPayload;
  result.mState = aEntry.mState;
  result.mAcceptedOffset = aEntry.mAcceptedOffset;
  result.mLastRecordOffset = aEntry.mLastRecordOffset;
  result.mLastAttempt = aEntry.mLastAttempt;
  result.mGrantedOffset = aEntry.mGrantedOffset;
  result.mWorker.mValue = mPool.Get(aEntry.mWorker);
  result.mCheckpoint = aEntry.mCheckpoint;
  result.mDetail = aEntry.mDetail;
  result.mEvictions = aEntry.mEvictions;
  result.mFailures = aEntry.mFailures;
  for (const auto it : aEntry.mFailedWorkers) {
    result.mFailedWorkers.push_back({ mPool.Get(it) });
  }
  result.mCancelRequested = aEntry.mCancelRequested;
  result.mQuarantineRequested = aEntry.mQuarantineRequested;
  return result;
}

bool
TaskTable::IsKnown(const base::TaskId& aTask) const
{
  return FindEntry(aTask) != nullptr || mUnmatched.count(aTask) != 0;
}

std::optional<TaskSnapshot>
TaskTable::Find(const base::TaskId& aTask) const
{
  const Entry* entry = FindEntry(aTask);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return ToSnapshot(*entry);
}

std::optional<Offset>
TaskTable::FindReplayOffset(const base::TaskId& aTask) const
{
  const Entry* entry = FindEntry(aTask);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return entry->mReplayFrom;
}

std::vector<QueuedTask>
TaskTable::Queued(std::size_t aLimit) const
{
  std::vector<QueuedTask> result;
  result.reserve(std::min(aLimit, mQueued.size()));
  for (const Entry* it : mQueued) {
    if (result.size() >= aLimit) {
      break;
    }
    QueuedTask task;
    task.mTask.mValue = it->mTask;
    task.mTeam = mPool.Get(it->mTeam);
    task.mBatchClass = mPool.Get(it->mBatchClass);
    task.mPool = mPool.Get(it->mPool);
    task.mDeclared = it->mDeclared;
    task.mDeclaredRunSeconds = it->mDeclaredRunSeconds;
    task.mAcceptedOffset = it->mAcceptedOffset;
    task.mNextAttempt = it->mLastAttempt + 1;
    task.mEvictions = it->mEvictions;
    task.mUrgent = it->mUrgent;
    for (const auto failed : it->mFailedWorkers) {
      task.mFailedWorkers.push_back({ mPool.Get(failed) });
    }
    result.push_back(std::move(task));
  }
  return result;
}

std::vector<LiveAttempt>
TaskTable::LiveAttemptsOn(const base::WorkerId& aWorker) const
{
  std::vector<LiveAttempt> result;
  const auto found = mByWorker.find(mPool.Find(aWorker.mValue));
  if (found == mByWorker.end()) {
    return result;
  }
  for (const Entry* it : found->second) {
    result.push_back({ { it->mTask },
                       it->mLastAttempt,
                       it->mState,
                       it->mCancelRequested,
                       it->mGrantedOffset });
  }
  return result;
}

std::map<std::string, TeamCommitment>
TaskTable::TeamCommitments() const
{
  std::map<std::string, TeamCommitment> result;
  for (const auto& [team, use] : mTeamCommitments) {
    if (use.mLiveAttempts > 0) {
      result.emplace(mPool.Get(team), use);
    }
  }
  return result;
}

std::vector<base::WorkerId>
TaskTable::WorkersWithLiveAttempts() const
{
  std::vector<base::WorkerId> result;
  result.reserve(mByWorker.size());
  for (const auto& it : mByWorker) {
    result.push_back({ mPool.Get(it.first) });
  }
  std::sort(result.begin(), result.end());
  return result;
}

std::vector<std::pair<Offset, TaskRecord>>
TaskTable::UnmatchedRecords() const
{
  std::vector<std::pair<Offset, TaskRecord>> result;
  for (const auto& it : mUnmatched) {
    result.insert(result.end(), it.second.begin(), it.second.end());
  }
  return result;
}

std::vector<TaskReplayOffset>
TaskTable::OldestReplayOffsets(Offset aBefore, std::size_t aLimit) const
{
  std::vector<TaskReplayOffset> result;
  for (const Entry* entry : mByReplayOffset) {
    if (entry->mReplayFrom >= aBefore || result.size() >= aLimit) {
      break;
    }
    result.push_back({ { entry->mTask }, entry->mReplayFrom });
  }
  return result;
}

std::vector<base::TaskId>
TaskTable::All() const
{
  std::vector<Entry*> entries;
  entries.reserve(mEntries.size());
  for (const auto& it : mEntries) {
    entries.push_back(it.second.get());
  }
  std::sort(entries.begin(), entries.end(), ByAcceptance{});
  std::vector<base::TaskId> result;
  result.reserve(entries.size());
  for (const Entry* it : entries) {
    result.push_back({ it->mTask });
  }
  return result;
}

std::uint64_t
TaskTable::DigestOf(const Entry& aEntry) const
{
  std::uint64_t digest = base::StableHash(aEntry.mTask);
  digest = Combine(digest, aEntry.mJob);
  digest = Combine(digest, mPool.Get(aEntry.mTeam));
  digest = Combine(digest, mPool.Get(aEntry.mWorker));
  digest = Combine(digest, aEntry.mPayload);
  digest = Combine(digest, aEntry.mCheckpoint);
  digest = Combine(digest, aEntry.mDetail);
  digest = Combine(digest, NameOf(aEntry.mState));
  digest = Combine(digest, aEntry.mAcceptedOffset);
  digest = Combine(digest, aEntry.mLastAttempt);
  digest = Combine(digest, std::int64_t{ aEntry.mEvictions });
  digest = Combine(digest, std::int64_t{ aEntry.mFailures });
  digest = Combine(digest, std::int64_t{ aEntry.mCancelRequested });
  digest = Combine(digest, std::int64_t{ aEntry.mQuarantineRequested });
  for (const auto it : aEntry.mFailedWorkers) {
    digest = Combine(digest, mPool.Get(it));
  }
  return digest;
}

std::uint64_t
TaskTable::UnfinishedDigest() const
{
  std::uint64_t digest = 0;
  for (const Entry* it : mByReplayOffset) {
    digest += DigestOf(*it);
  }
  return digest;
}

std::uint64_t
TaskTable::Digest() const
{
  std::uint64_t digest = UnfinishedDigest();
  for (const Entry* it : mEnded) {
    digest += DigestOf(*it);
  }
  return digest;
}

} // namespace skylarkhill::tasks
