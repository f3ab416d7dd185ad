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
    if (key->mKind == RecordKind::Submission) {
      Erase(key->mId);
    } else if (!key->mPart.empty()) {
      ErasePart(*key);
    }
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
      JobEntry& job = shard.mJobs[key->mId];
      // A repeated submission is ignored.
      if (job.mSubmission) {
        return;
      }
      job.mSubmission = std::move(submission.value());
      break;
    }
    case RecordKind::Cancellation: {
      const std::lock_guard lock(shard.mLock);
      JobEntry& job = shard.mJobs[key->mId];
      job.mIsCancelled = true;
      job.mCancelledMs =
        std::max(job.mCancelledMs, DecodeCancellationMs(aValue));
      break;
    }
    case RecordKind::Progress: {
      auto progress = DecodeProgress(aValue);
      if (!progress) {
        LogMalformed(aKey, progress.error());
        return;
      }
      const std::lock_guard lock(shard.mLock);
      JobEntry& job = shard.mJobs[key->mId];
      if (aOffset <= job.mProgressOffset) {
        return;
      }
      job.mProgress = std::move(progress.value());
      job.mProgressOffset = aOffset;
      break;
    }
    case RecordKind::TaskRange: {
      const auto range = DecodeTaskRange(aValue);
      if (!range) {
        LogMalformed(aKey, range.error());
        return;
      }
      const std::lock_guard lock(shard.mLock);
      StoredTaskRange& stored = shard.mJobs[key->mId].mRanges[key->mPart];
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
      JobEntry& job = shard.mJobs[key->mId];
      // An older record may be read after a newer one was applied.
      if (!job.mTransfer || transfer.value().mIsDelivered) {
        job.mTransfer = transfer.value();
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
      auto& loans = shard.mJobs[key->mId].mLoans;
      // An older record may be read after a newer one was applied.
      if (loans.count(key->mPart) == 0 || loan.value().mIsDelivered) {
        loans[key->mPart] = std::move(loan.value());
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
      // All copies are equal.
      shard.mJobs[key->mId].mBorrowed.emplace(key->mPart,
                                              std::move(tasks.value()));
      break;
    }
    case RecordKind::Model:
    case RecordKind::Worker:
    case RecordKind::Load:
    case RecordKind::WorkerLease:
      break;
  }
}

void
JobTable::Clear()
{
  for (Shard& it : mShards) {
    const std::lock_guard lock(it.mLock);
    it.mJobs.clear();
  }
}

void
JobTable::Erase(const std::string& aJobId)
{
  Shard& shard = ShardOf(aJobId);
  const std::lock_guard lock(shard.mLock);
  shard.mJobs.erase(aJobId);
}

void
JobTable::ErasePart(const RecordKey& aKey)
{
  Shard& shard = ShardOf(aKey.mId);
  const std::lock_guard lock(shard.mLock);
  const auto found = shard.mJobs.find(aKey.mId);
  if (found == shard.mJobs.end()) {
    return;
  }
  if (aKey.mKind == RecordKind::TaskRange) {
    found->second.mRanges.erase(aKey.mPart);
  } else if (aKey.mKind == RecordKind::Loan) {
    found->second.mLoans.erase(aKey.mPart);
  } else if (aKey.mKind == RecordKind::Borrowed) {
    found->second.mBorrowed.erase(aKey.mPart);
  }
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

std::vector<std::pair<std::string, std::int64_t>>
JobTable::ListLoneCancellations() const
{
  std::vector<std::pair<std::string, std::int64_t>> cancellations;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mLock);
    for (const auto& [id, job] : shard.mJobs) {
      if (job.mIsCancelled && !job.IsKnown()) {
        cancellations.emplace_back(id, job.mCancelledMs);
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
