#ifndef SKYLARKHILL_JOBS_JOB_CODEC_HPP
#define SKYLARKHILL_JOBS_JOB_CODEC_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/jobs/job.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkhill::jobs {

/// Kind of a record in the job journal.
enum class RecordKind
{
  Submission,
  Cancellation,
  Progress,
  /// Progress of some tasks of a job.
  TaskRange,
  /// Interference estimates of a leader.
  Model,
  /// Registry entry of a worker, for a leader that starts while the registry is
  /// incomplete.
  Worker,
  /// Move of a job to another cell, before any start.
  Transfer,
  /// Load of the cell, published by its leader.
  Load,
  /// End of the lease of a worker that does not answer the leader.
  WorkerLease,
  /// Tasks that another cell runs.
  Loan,
  /// Tasks of a RecordKind::Loan, in the journal of the cell that runs them.
  Borrowed,
  /// IdleTasks of the leader that has resigned last.
  Idle,
};

/// The key of a journal record.
struct RecordKey
{
  RecordKind mKind = RecordKind::Submission;
  /// Job id; the worker id for RecordKind::Worker and RecordKind::WorkerLease,
  /// a constant for RecordKind::Model, RecordKind::Load and RecordKind::Idle.
  std::string mId;
  /// Tells apart the records of one kind of a job, empty for kinds with one
  /// record: "OCCURRENCE.STEP.FIRST" of a RecordKind::TaskRange, "NUMBER" of a
  /// RecordKind::Loan, "CELL.NUMBER" of a RecordKind::Borrowed, where CELL has
  /// lent the tasks.
  std::string mPart;
};

std::string
FormatRecordKey(RecordKind aKind, std::string_view aId);

std::string
FormatTaskRangeKey(std::string_view aJobId, std::string_view aRange);

/// The key of a record with RecordKey::mPart.
std::string
FormatPartKey(RecordKind aKind,
              std::string_view aJobId,
              std::string_view aPart);

/// The value of RecordKey::mPart for `aRange`.
std::string
NameOf(const TaskRange& aRange);

/// Returns nothing if the key is malformed.
std::optional<RecordKey>
ParseRecordKey(std::string_view aKey);

std::string
EncodeSubmission(const Submission& aSubmission);

/// InvalidArgument if the bytes are malformed.
base::Result<Submission>
DecodeSubmission(std::string_view aBytes);

/// `aUnixMs` is the time at which the record is written, for versions that
/// remove old ones by it. Any value that is not empty is a cancellation.
std::string
EncodeCancellation(std::int64_t aUnixMs);

std::string
EncodeProgress(const JobProgress& aProgress);

/// InvalidArgument if the bytes are malformed.
base::Result<JobProgress>
DecodeProgress(std::string_view aBytes);

std::string
EncodeTaskRange(const TaskRange& aRange);

/// InvalidArgument if the bytes are malformed.
base::Result<TaskRange>
DecodeTaskRange(std::string_view aBytes);

std::string
EncodeTransfer(const JobTransfer& aTransfer);

/// InvalidArgument if the bytes are malformed.
base::Result<JobTransfer>
DecodeTransfer(std::string_view aBytes);

std::string
EncodeLoan(const TaskLoan& aLoan);

/// InvalidArgument if the bytes are malformed.
base::Result<TaskLoan>
DecodeLoan(std::string_view aBytes);

std::string
EncodeBorrowedTasks(const BorrowedTasks& aTasks);

/// InvalidArgument if the bytes are malformed.
base::Result<BorrowedTasks>
DecodeBorrowedTasks(std::string_view aBytes);

} // namespace skylarkhill::jobs

#endif // SKYLARKHILL_JOBS_JOB_CODEC_HPP
