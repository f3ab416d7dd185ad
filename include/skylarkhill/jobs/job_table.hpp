#ifndef SKYLARKHILL_JOBS_JOB_TABLE_HPP
#define SKYLARKHILL_JOBS_JOB_TABLE_HPP

#include "skylarkhill/jobs/job.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace skylarkhill::jobs {

enum class RecordKind;
struct RecordKey;

/// Newest record of a TaskRange.
struct StoredTaskRange
{
  /// Journal offset; older records are ignored.
  std::int64_t mOffset = -1;
  std::string mBytes;
};

/// State of one job, merged from its journal records.
struct JobEntry
{
  /// Empty until the submission record has been read.
  std::optional<Submission> mSubmission;
  bool mIsCancelled = false;
  JobProgress mProgress;
  /// Set once the job has left the cell of this journal.
  std::optional<JobTransfer> mTransfer;
  /// Journal offset of the applied progress record; older records are ignored.
  std::int64_t mProgressOffset = -1;
  /// By RecordKey::mPart.
  std::map<std::string, StoredTaskRange> mRanges;
  /// Tasks of the job that other cells run, by RecordKey::mPart.
  std::map<std::string, TaskLoan> mLoans;
  /// Tasks that this cell runs for the cell of the job, by RecordKey::mPart.
  /// The job itself is elsewhere: mSubmission is empty unless the job was
  /// transferred from here.
  std::map<std::string, BorrowedTasks> mBorrowed;

  /// The state shown to callers.
  JobState State() const;
  /// The cell runs only borrowed tasks of the job.
  bool IsBorrowed() const;
  /// The submission of the job or of tasks that the cell has borrowed; null if
  /// neither has been read.
  const Submission* KnownSubmission() const;
  /// False if nothing but a cancellation or progress has been read.
  bool IsKnown() const;
};

/// All jobs in the journal. Thread-safe; sharded by job id with one lock per
/// shard.
class JobTable
{
public:
  /// Applies one record. Records of a job may arrive in any order and more than
  /// once; those that ApplyNext or Retain has passed are ignored. Malformed
  /// records are logged and skipped.
  void Apply(std::string_view aKey,
             std::string_view aValue,
             std::int64_t aOffset);
  /// Like Apply, for the reader of the journal, which passes each record in the
  /// order of the offsets.
  void ApplyNext(std::string_view aKey,
                 std::string_view aValue,
                 std::int64_t aOffset);
  /// The journal has been loaded again: of the records below `aEnd`, only those
  /// of `aKeys` are left. To be called once these were applied.
  void Retain(const std::set<std::string>& aKeys, std::int64_t aEnd);
  /// Forgets all jobs.
  void Clear();

  std::optional<JobState> StateOf(const std::string& aJobId) const;
  /// The transfer of a job whose submission has been read, if it has left.
  std::optional<JobTransfer> TransferOf(const std::string& aJobId) const;
  /// True if the submission of the job has been read.
  bool Contains(const std::string& aJobId) const;
  std::optional<JobEntry> Find(const std::string& aJobId) const;
  /// False if no leader of the cell can have started a task of the job.
  bool MayHaveRun(const std::string& aJobId) const;
  /// The RecordKey::mPart of each TaskRange of the job.
  std::vector<std::string> ListRanges(const std::string& aJobId) const;
  /// The RecordKey::mPart of each TaskLoan of the job.
  std::vector<std::string> ListLoans(const std::string& aJobId) const;
  /// The loan, if its record has been read.
  std::optional<TaskLoan> LoanOf(const std::string& aJobId,
                                 const std::string& aPart) const;
  /// The cells that the job has moved to or that have borrowed tasks of it, by
  /// the records that have been read. A cell may be listed more than once.
  std::vector<int> ListOtherCells(const std::string& aJobId) const;
  /// Number of jobs of `aQueue` in the state Pending, without those that the
  /// journal of another cell has.
  std::size_t CountPending(std::string_view aQueue) const;
  /// Copies of all jobs whose submission has been read.
  std::vector<JobEntry> List() const;
  /// Ids of the jobs in List that are not in a final state and have not left,
  /// and of those with borrowed tasks that have not been cancelled.
  std::vector<std::string> ListOpen() const;
  /// Job id and RecordKey::mPart of the loans of which the target may lack the
  /// tasks or the end of the job.
  std::vector<std::pair<std::string, std::string>> ListLoansToRepeat() const;
  /// Ids of jobs that have left and of which the target may lack the submission
  /// or the cancellation.
  std::vector<std::string> ListTransfersToRepeat() const;
  /// Ids of jobs in a final state, or delivered to another cell, that were
  /// accepted before `aAcceptedBeforeMs`. Includes jobs with borrowed tasks,
  /// but only in a final state.
  std::vector<std::string> ListFinal(std::int64_t aAcceptedBeforeMs) const;
  /// Ids of cancelled jobs of which nothing else is known.
  std::vector<std::string> ListLoneCancellations() const;
  /// Number of jobs, including those whose submission has not been read.
  std::size_t Size() const;

private:
  /// Journal offset of the newest applied record of a job, by kind and
  /// RecordKey::mPart.
  using RecordOffsets =
    std::map<std::pair<RecordKind, std::string>, std::int64_t>;

  struct Shard
  {
    mutable std::mutex mLock;
    std::unordered_map<std::string, JobEntry> mJobs;
    /// By job id, for each of mJobs.
    std::unordered_map<std::string, RecordOffsets> mOffsets;
    /// Records with lower offsets have been applied, unless they were deleted.
    std::int64_t mReadEnd = 0;
  };

  static constexpr std::size_t kShards = 16;

  /// The job of a record that is about to be applied, or null if the record is
  /// outdated.
  static JobEntry* Touch(Shard& aShard,
                         const RecordKey& aKey,
                         std::int64_t aOffset);
  /// Forgets the records of the job for which `aIsGone`, called with kind, part
  /// and offset, returns true, and the job if none is left.
  template<typename Predicate>
  static void Forget(Shard& aShard,
                     const std::string& aJobId,
                     Predicate aIsGone);
  void ApplyDeletion(const RecordKey& aKey, std::int64_t aOffset);
  Shard& ShardOf(const std::string& aJobId);
  const Shard& ShardOf(const std::string& aJobId) const;

  std::array<Shard, kShards> mShards;
};

} // namespace skylarkhill::jobs

#endif // SKYLARKHILL_JOBS_JOB_TABLE_HPP
