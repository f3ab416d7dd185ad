#ifndef SKYLARKHILL_JOBS_JOB_CODEC_HPP
#define SKYLARKHILL_JOBS_JOB_CODEC_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/jobs/job.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace skylarkhill::jobs {

/// What a record of the job journal tells.
enum class RecordKind
{
  Submission,
  Cancellation,
  Progress,
  /// What a leader has learned about images; not about one job.
  Model,
  /// A worker that a leader has used; its key names the worker, not a job.
  Worker,
};

/// The key of a journal record.
struct RecordKey
{
  RecordKind mKind = RecordKind::Submission;
  std::string mJobId;
};

std::string
FormatRecordKey(RecordKind aKind, std::string_view aJobId);

/// Nothing if the key has another form.
std::optional<RecordKey>
ParseRecordKey(std::string_view aKey);

std::string
EncodeSubmission(const Submission& aSubmission);

/// InvalidArgument if the bytes are not those of EncodeSubmission.
base::Result<Submission>
DecodeSubmission(std::string_view aBytes);

std::string
EncodeProgress(const JobProgress& aProgress);

/// InvalidArgument if the bytes are not those of EncodeProgress.
base::Result<JobProgress>
DecodeProgress(std::string_view aBytes);

} // namespace skylarkhill::jobs

#endif // SKYLARKHILL_JOBS_JOB_CODEC_HPP
