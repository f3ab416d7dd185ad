#include "skylarkhill/jobs/job_table.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/logging/logging.hpp"

#include <algorithm>

namespace skylarkhill::jobs {

namespace {

void
LogMalformed(std::string_view aKey, const base::Error& aError)
{
  logging::Write(logging::Level::Warning,
                 "journal_record_skipped",
                 { { "key", aKey }, { "problem", aError.mDetail } });
}

void
EraseRecord(JobEntry& aJob, RecordKind aKind, const std::string& aPart)
{
  switch (aKind) {
    case RecordKind::Submission:
      aJob.mSubmission.reset();
      break;
    case RecordKind::Cancellation:
      aJob.mIsCancelled = false;
      break;
    case RecordKind::Progress:
      aJob.mProgress = {};
      aJob.mProgressOffset = -1;
      break;
    case RecordKind::TaskRange:
      aJob.mRanges.erase(aPart);
      break;
    case RecordKind::Transfer:
      aJob.mTransfer.reset();
      break;
    case RecordKind::Loan:
      aJob.mLoans.erase(aPart);
      break;
    case RecordKind::Borrowed:
      aJob.mBorrowed.erase(aPart);
      break;
    case RecordKind::Model:
    case RecordKind::Worker:
    case RecordKind::Load:
    case RecordKind::WorkerLease:
    case RecordKind::Idle:
      break;
  }
}

} // namespace

JobState
JobEntry::State() const
{
  if (IsFinal(mProgress.mState)) {
    return mProgress.mState;
  }
  return mIsCancelled ? JobState::Cancelled : mProgress.mState;
}

bool
JobEntry::IsBorrowed() const
{
  return !mBorrowed.empty() && (!mSubmission || mTransfer);
}

const Submission*
JobEntry::KnownSubmission() const
{
  if (mSubmission) {
    return &*mSubmission;
  }
  return mBorrowed.empty() ? nullptr : &mBorrowed.begin()->second.mSubmission;
}

bool
JobEntry::IsKnown() const
{
  return KnownSubmission() != nullptr || mTransfer || !mLoans.empty();
}

void
JobTable::Apply(std::string_view aKey,
                std::string_view aValue,
                std::int64_t aOffset)
{
  const auto key = ParseRecordKey(aKey);
  if (!key) {
    LogMalformed(aKey,
                 base::MakeError(base::ErrorKind::InvalidArgument, "key"));
    return;
  }
  if (aValue.empty()) {
    ApplyDeletion(*key, aOffset);
    return;
  }
  Shard& shard = ShardOf(key->mId);
  switch (key->mKind) {
    case RecordKind::Submission: {
      auto submission = DecodeSubmission(aValue);
      if (!submission) {
        LogMalformed(aKey, submission.error());
        return;
      }
      const std::lock_guard lock(shard.mLock);
      JobEntry* job = Touch(shard, *key, aOffset);
      // A repeated submission is ignored.
      if (job == nullptr || job->mSubmission) {
        return;
      }
      job->mSubmission = std::move(submission.value());
      break;
    }
    case RecordKind::Cancellation: {
      const std::lock_guard lock(shard.mLock);
      JobEntry* job = Touch(shard, *key, aOffset);
      if (job != nullptr) {
        job->mIsCancelled = true;
      }
      break;
    }
    case RecordKind::Progress: {
      auto progress = DecodeProgress(aValue);
      if (!progress) {
        LogMalformed(aKey, progress.error());
        return;
      }
      const std::lock_guard lock(shard.mLock);
      JobEntry* job = Touch(shard, *key, aOffset);
      if (job == nullptr || aOffset <= job->mProgressOffset) {
        return;
      }
      job->mProgress = std::move(progress.value());
      job->mProgressOffset = aOffset;
      break;
    }
    case RecordKind::TaskRange: {
      const auto range = DecodeTaskRange(aValue);
      if (!range) {
        LogMalformed(aKey, range.error());
        return;
      }
      const std::lock_guard lock(shard.mLock);
      JobEntry* job = Touch(shard, *key, aOffset);
      if (job == nullptr) {
        return;
      }
      StoredTaskRange& stored = job->mRanges[key->mPart];
      if (aOffset > stored.mOffset) {
        stored = { aOffset, std::string(aValue) };
      }
      break;
    }
    case RecordKind::Transfer: {
      auto transfer = DecodeTransfer(aValue);
      if (!transfer) {
        LogMalformed(aKey, transfer.error());
        return;
      }
      const std::lock_guard lock(shard.mLock);
      JobEntry* job = Touch(shard, *key, aOffset);
      // An older record may be read after a newer one was applied.
      if (job != nullptr &&
          (!job->mTransfer || transfer.value().mIsDelivered)) {
        job->mTransfer = transfer.value();
      }
      break;
    }
    case RecordKind::Loan: {
      auto loan = DecodeLoan(aValue);
      if (!loan) {
        LogMalformed(aKey, loan.error());
        return;
      }
      const std::lock_guard lock(shard.mLock);
      JobEntry* job = Touch(shard, *key, aOffset);
      // An older record may be read after a newer one was applied.
      if (job != nullptr &&
          (job->mLoans.count(key->mPart) == 0 || loan.value().mIsDelivered)) {
        job->mLoans[key->mPart] = std::move(loan.value());
      }
      break;
    }
    case RecordKind::Borrowed: {
      auto tasks = DecodeBorrowedTasks(aValue);
      if (!tasks) {
        LogMalformed(aKey, tasks.error());
        return;
      }
      const std::lock_guard lock(shard.mLock);
      JobEntry* job = Touch(shard, *key, aOffset);
      if (job != nullptr) {
        // All copies are equal.
        job->mBorrowed.emplace(key->mPart, std::move(tasks.value()));
      }
      break;
    }
    case RecordKind::Model:
    case RecordKind::Worker:
    case RecordKind::Load:
    case RecordKind::WorkerLease:
    case RecordKind::Idle:
      break;
  }
}

void
JobTable::ApplyNext(std::string_view aKey,
                    std::string_view aValue,
                    std::int64_t aOffset)
{
  const auto key = ParseRecordKey(aKey);
  if (key) {
    // First, so that no other thread applies an older record after a deletion.
    Shard& shard = ShardOf(key->mId);
    const std::lock_guard lock(shard.mLock);
    shard.mReadEnd = std::max(shard.mReadEnd, aOffset);
  }
  Apply(aKey, aValue, aOffset);
}

void
JobTable::Retain(const std::set<std::string>& aKeys, std::int64_t aEnd)
{
  for (Shard& shard : mShards) {
    const std::lock_guard lock(shard.mLock);
    shard.mReadEnd = std::max(shard.mReadEnd, aEnd);
    std::vector<std::string> ids;
    for (const auto& [id, offsets] : shard.mOffsets) {
      ids.push_back(id);
    }
    for (const auto& id : ids) {
      Forget(
        shard,
        id,
        [&](RecordKind aKind, const std::string& aPart, std::int64_t aOffset) {
          return aOffset < aEnd &&
                 aKeys.count(aPart.empty()
                               ? FormatRecordKey(aKind, id)
                               : FormatPartKey(aKind, id, aPart)) == 0;
        });
    }
  }
}

void
JobTable::Clear()
{
  for (Shard& it : mShards) {
    const std::lock_guard lock(it.mLock);
    it.mJobs.clear();
    it.mOffsets.clear();
    it.mReadEnd = 0;
  }
}

JobEntry*
JobTable::Touch(Shard& aShard, const RecordKey& aKey, std::int64_t aOffset)
{
  if (aOffset < aShard.mReadEnd) {
    return nullptr;
  }
  std::int64_t& offset = aShard.mOffsets[aKey.mId]
                           .try_emplace({ aKey.mKind, aKey.mPart }, aOffset)
                           .first->second;
  offset = std::max(offset, aOffset);
  return &aShard.mJobs[aKey.mId];
}

template<typename Predicate>
void
JobTable::Forget(Shard& aShard, const std::string& aJobId, Predicate aIsGone)
{
  const auto found = aShard.mOffsets.find(aJobId);
  if (found == aShard.mOffsets.end()) {
    return;
  }
  RecordOffsets& offsets = found->second;
  JobEntry& job = aShard.mJobs[aJobId];
  for (auto it = offsets.begin(); it != offsets.end();) {
    const auto& [kind, part] = it->first;
    if (!aIsGone(kind, part, it->second)) {
      ++it;
      continue;
    }
    EraseRecord(job, kind, part);
    it = offsets.erase(it);
  }
  if (offsets.empty()) {
    aShard.mOffsets.erase(found);
    aShard.mJobs.erase(aJobId);
  }
}

void
JobTable::ApplyDeletion(const RecordKey& aKey, std::int64_t aOffset)
{
  // The deletion of a submission is the last one of its job.
  const bool isJob = aKey.mKind == RecordKind::Submission;
  if (!isJob && aKey.mPart.empty()) {
    return;
  }
  Shard& shard = ShardOf(aKey.mId);
  const std::lock_guard lock(shard.mLock);
  Forget(
    shard,
    aKey.mId,
    [&](RecordKind aKind, const std::string& aPart, std::int64_t aApplied) {
      const bool isMeant =
        isJob || (aKind == aKey.mKind && aPart == aKey.mPart);
      return isMeant && aApplied <= aOffset;
    });
}

std::vector<std::string>
JobTable::ListLoans(const std::string& aJobId) const
{
  const Shard& shard = ShardOf(aJobId);
  const std::lock_guard lock(shard.mLock);
  std::vector<std::string> parts;
  const auto found = shard.mJobs.find(aJobId);
  if (found != shard.mJobs.end()) {
    for (const auto& [part, loan] : found->second.mLoans) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::vector<int>
JobTable::ListOtherCells(const std::string& aJobId) const
{
  const Shard& shard = ShardOf(aJobId);
  const std::lock_guard lock(shard.mLock);
  std::vector<int> cells;
  const auto found = shard.mJobs.find(aJobId);
  if (found == shard.mJobs.end()) {
    return cells;
  }
  if (found->second.mTransfer) {
    cells.push_back(found->second.mTransfer->mTarget);
  }
  for (const auto& [part, loan] : found->second.mLoans) {
    cells.push_back(loan.mTarget);
  }
  return cells;
}

std::vector<std::string>
JobTable::ListRanges(const std::string& aJobId) const
{
  const Shard& shard = ShardOf(aJobId);
  const std::lock_guard lock(shard.mLock);
  std::vector<std::string> names;
  const auto found = shard.mJobs.find(aJobId);
  if (found != shard.mJobs.end()) {
    for (const auto& [name, range] : found->second.mRanges) {
      names.push_back(name);
    }
  }
  return names;
}

std::optional<JobState>
JobTable::StateOf(const std::string& aJobId) const
{
  const Shard& shard = ShardOf(aJobId);
  const std::lock_guard lock(shard.mLock);
  const auto found = shard.mJobs.find(aJobId);
  if (found == shard.mJobs.end() || !found->second.mSubmission) {
    return std::nullopt;
  }
  return found->second.State();
}

std::optional<JobTransfer>
JobTable::TransferOf(const std::string& aJobId) const
{
  const Shard& shard = ShardOf(aJobId);
  const std::lock_guard lock(shard.mLock);
  const auto found = shard.mJobs.find(aJobId);
  if (found == shard.mJobs.end() || !found->second.mSubmission) {
    return std::nullopt;
  }
  return found->second.mTransfer;
}

bool
JobTable::Contains(const std::string& aJobId) const
{
  return StateOf(aJobId).has_value();
}

std::optional<JobEntry>
JobTable::Find(const std::string& aJobId) const
{
  const Shard& shard = ShardOf(aJobId);
  const std::lock_guard lock(shard.mLock);
  const auto found = shard.mJobs.find(aJobId);
  if (found == shard.mJobs.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool
JobTable::MayHaveRun(const std::string& aJobId) const
{
  const Shard& shard = ShardOf(aJobId);
  const std::lock_guard lock(shard.mLock);
  const auto found = shard.mJobs.find(aJobId);
  if (found == shard.mJobs.end()) {
    return false;
  }
  const JobEntry& job = found->second;
  return (job.mSubmission && !job.mTransfer) || !job.mBorrowed.empty() ||
         !job.mLoans.empty();
}

std::size_t
JobTable::CountPending(std::string_view aQueue) const
{
  std::size_t n = 0;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mLock);
    for (const auto& [id, job] : shard.mJobs) {
      if (job.mSubmission && job.mSubmission->mPolicy.mQueue == aQueue &&
          job.State() == JobState::Pending &&
          !(job.mTransfer && job.mTransfer->mIsDelivered)) {
        ++n;
      }
    }
  }
  return n;
}

std::vector<JobEntry>
JobTable::List() const
{
  std::vector<JobEntry> jobs;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mLock);
    for (const auto& [id, job] : shard.mJobs) {
      if (job.mSubmission) {
        jobs.push_back(job);
      }
    }
  }
  return jobs;
}

std::vector<std::string>
JobTable::ListOpen() const
{
  std::vector<std::string> ids;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mLock);
    for (const auto& [id, job] : shard.mJobs) {
      const bool isHere =
        (job.mSubmission && !job.mTransfer) || job.IsBorrowed();
      if (isHere && !IsFinal(job.State())) {
        ids.push_back(id);
      }
    }
  }
  return ids;
}

std::optional<TaskLoan>
JobTable::LoanOf(const std::string& aJobId, const std::string& aPart) const
{
  const Shard& shard = ShardOf(aJobId);
  const std::lock_guard lock(shard.mLock);
  const auto found = shard.mJobs.find(aJobId);
  if (found == shard.mJobs.end()) {
    return std::nullopt;
  }
  const auto loan = found->second.mLoans.find(aPart);
  return loan == found->second.mLoans.end() ? std::optional<TaskLoan>()
                                            : loan->second;
}

std::vector<std::pair<std::string, std::string>>
JobTable::ListLoansToRepeat() const
{
  std::vector<std::pair<std::string, std::string>> loans;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mLock);
    for (const auto& [id, job] : shard.mJobs) {
      for (const auto& [part, loan] : job.mLoans) {
        if (!loan.mIsDelivered || IsFinal(job.State())) {
          loans.emplace_back(id, part);
        }
      }
    }
  }
  return loans;
}

std::vector<std::string>
JobTable::ListTransfersToRepeat() const
{
  std::vector<std::string> ids;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mLock);
    for (const auto& [id, job] : shard.mJobs) {
      if (job.mSubmission && job.mTransfer &&
          (!job.mTransfer->mIsDelivered || job.mIsCancelled)) {
        ids.push_back(id);
      }
    }
  }
  return ids;
}

std::vector<std::string>
JobTable::ListFinal(std::int64_t aAcceptedBeforeMs) const
{
  std::vector<std::string> ids;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mLock);
    for (const auto& [id, job] : shard.mJobs) {
      const bool isOver =
        IsFinal(job.State()) ||
        (job.mTransfer && job.mTransfer->mIsDelivered && !job.IsBorrowed());
      const Submission* submission = job.KnownSubmission();
      if (submission != nullptr && isOver &&
          submission->mAcceptedMs < aAcceptedBeforeMs) {
        ids.push_back(id);
      }
    }
  }
  return ids;
}

std::vector<std::string>
JobTable::ListLoneCancellations() const
{
  std::vector<std::string> cancellations;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mLock);
    for (const auto& [id, job] : shard.mJobs) {
      if (job.mIsCancelled && !job.IsKnown()) {
        cancellations.push_back(id);
      }
    }
  }
  return cancellations;
}

std::size_t
JobTable::Size() const
{
  std::size_t n = 0;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mLock);
    n += shard.mJobs.size();
  }
  return n;
}

JobTable::Shard&
JobTable::ShardOf(const std::string& aJobId)
{
  return mShards[base::StableHash(aJobId) % kShards];
}

const JobTable::Shard&
JobTable::ShardOf(const std::string& aJobId) const
{
  return mShards[base::StableHash(aJobId) % kShards];
}

} // namespace skylarkhill::jobs
