#ifndef SKYLARKHILL_JOBS_IDLE_TASKS_HPP
#define SKYLARKHILL_JOBS_IDLE_TASKS_HPP

#include "skylarkhill/base/error.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::jobs {

/// A waiting task that cannot have a run anywhere.
struct IdleTask
{
  int mIndex = 0;
  /// Highest run number that was used; later runs get higher numbers.
  int mLastRun = 0;
};

/// Idle tasks of one step of one occurrence of a job.
struct IdleStep
{
  std::string mJobId;
  int mOccurrence = 0;
  int mStep = 0;
  /// How long no worker has had room for the tasks.
  std::int64_t mWaitedMs = 0;
  std::vector<IdleTask> mTasks;
};

/// What a leader that resigns tells its successor. Holds only until another
/// leader starts tasks.
struct IdleTasks
{
  /// Epoch of the leader.
  std::int64_t mEpoch = 0;
  std::vector<IdleStep> mSteps;
};

/// Leaves out the last steps as far as the bytes would exceed `aMaxBytes`.
std::string
EncodeIdleTasks(const IdleTasks& aTasks, std::size_t aMaxBytes);

/// InvalidArgument if the bytes are not those of EncodeIdleTasks.
base::Result<IdleTasks>
DecodeIdleTasks(std::string_view aBytes);

} // namespace skylarkhill::jobs

#endif // SKYLARKHILL_JOBS_IDLE_TASKS_HPP
