#include "skylarkhill/jobs/idle_tasks.hpp"

#include "skylarkhill/base/msgpack.hpp"

#include <tuple>
#include <utility>

namespace skylarkhill::jobs {

namespace {

/// Index and last run of each task.
using TaskFields = std::vector<std::pair<int, int>>;
using StepFields = std::tuple<std::string, int, int, std::int64_t, TaskFields>;
using Fields = std::tuple<std::int64_t, std::vector<StepFields>>;

/// Upper bounds of what the epoch with the array, a step without its tasks and
/// its job id, and a task take.
constexpr std::size_t kHeaderBytes = 20;
constexpr std::size_t kStepBytes = 33;
constexpr std::size_t kTaskBytes = 11;

} // namespace

std::string
EncodeIdleTasks(const IdleTasks& aTasks, std::size_t aMaxBytes)
{
  std::vector<StepFields> steps;
  std::size_t bytes = kHeaderBytes;
  for (const IdleStep& step : aTasks.mSteps) {
    bytes += kStepBytes + step.mJobId.size() + kTaskBytes * step.mTasks.size();
    if (bytes > aMaxBytes) {
      break;
    }
    TaskFields tasks;
    for (const IdleTask& it : step.mTasks) {
      tasks.emplace_back(it.mIndex, it.mLastRun);
    }
    steps.emplace_back(step.mJobId,
                       step.mOccurrence,
                       step.mStep,
                       step.mWaitedMs,
                       std::move(tasks));
  }
  return base::PackMsgpack(Fields{ aTasks.mEpoch, std::move(steps) });
}

base::Result<IdleTasks>
DecodeIdleTasks(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, base::UnpackMsgpack<Fields>(aBytes));
  IdleTasks idle;
  idle.mEpoch = std::get<0>(fields);
  for (auto& [job, occurrence, index, waitedMs, tasks] : std::get<1>(fields)) {
    if (waitedMs < 0) {
      return base::MakeError(base::ErrorKind::InvalidArgument,
                             "negative waiting time of idle tasks");
    }
    IdleStep step{ std::move(job), occurrence, index, waitedMs, {} };
    for (const auto& [task, lastRun] : tasks) {
      if (lastRun < 0) {
        return base::MakeError(base::ErrorKind::InvalidArgument,
                               "negative run number of an idle task");
      }
      step.mTasks.push_back({ task, lastRun });
    }
    idle.mSteps.push_back(std::move(step));
  }
  return idle;
}

} // namespace skylarkhill::jobs
