#ifndef SKYLARKHILL_JOBS_JOB_TABLE_HPP
#define SKYLARKHILL_JOBS_JOB_TABLE_HPP

#include "skylarkhill/jobs/job.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkhill::jobs {

/// All that the journal tells about one job.
struct JobRecord
{
  /// Nothing while only a cancellation or a progress record has been read.
  std::optional<Submission> mSubmission;
  bool mIsCancelled = false;
  JobProgress mProgress;
  /// Offset of the progress record; older ones are ignored.
  std::int64_t mProgressOffset = -1;

  /// The state that a caller sees.
  JobState State() const;
};

/// Every job of the journal. Thread-safe: sharded by job, each shard under its
/// own lock.
class JobTable
{
public:
  /// Applies one record; records of a job may come in any order and more than
  /// once. Malformed records are skipped with a log line.
  void Apply(std::string_view aKey,
             std::string_view aValue,
             std::int64_t aOffset);
  /// Removes a job.
  void Erase(const std::string& aJobId);

  std::optional<JobState> StateOf(const std::string& aJobId) const;
  /// True if the submission itself is known.
  bool Contains(const std::string& aJobId) const;
  std::optional<JobRecord> Find(const std::string& aJobId) const;
  /// Jobs of `aQueue` that are pending.
  std::size_t CountPending(std::string_view aQueue) const;
  /// Copies of all jobs whose submission is known.
  std::vector<JobRecord> List() const;
  /// Ids of jobs in a final state that were accepted before `aAcceptedMs`.
  std::vector<std::string> ListFinal(std::int64_t aAcceptedBeforeMs) const;
  std::size_t Size() const;

private:
  struct Shard
  {
    mutable std::mutex mLock;
    std::unordered_map<std::string, JobRecord> mJobs;
  };

  static constexpr std::size_t kShards = 16;

  Shard& ShardOf(const std::string& aJobId);
  const Shard& ShardOf(const std::string& aJobId) const;

  std::array<Shard, kShards> mShards;
};

} // namespace skylarkhill::jobs

#endif // SKYLARKHILL_JOBS_JOB_TABLE_HPP
