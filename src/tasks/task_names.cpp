#include "skylarkhill/tasks/task_names.hpp"

#include "skylarkhill/base/name_table.hpp"

namespace skylarkhill::tasks {

namespace {

constexpr base::NameTable<TaskState, 9> kTaskStates{ {
  { TaskState::Queued, "queued" },
  { TaskState::Granted, "granted" },
  { TaskState::Running, "running" },
  { TaskState::Checkpointing, "checkpointing" },
  { TaskState::Evicted, "evicted" },
  { TaskState::Completed, "completed" },
  { TaskState::Cancelled, "cancelled" },
  { TaskState::Failed, "failed" },
  { TaskState::Quarantined, "quarantined" },
} };

constexpr base::NameTable<AttemptOutcome, 6> kAttemptOutcomes{ {
  { AttemptOutcome::Completed, "completed" },
  { AttemptOutcome::Failed, "failed" },
  { AttemptOutcome::Evicted, "evicted" },
  { AttemptOutcome::Lost, "lost" },
  { AttemptOutcome::Cancelled, "cancelled" },
  { AttemptOutcome::Released, "released" },
} };

} // namespace

std::string_view
NameOf(TaskState aState)
{
  return base::FindName(kTaskStates, aState);
}

std::string_view
NameOf(AttemptOutcome aOutcome)
{
  return base::FindName(kAttemptOutcomes, aOutcome);
}

std::optional<TaskState>
ParseTaskState(std::string_view aName)
{
  return base::FindValue(kTaskStates, aName);
}

std::optional<AttemptOutcome>
ParseAttemptOutcome(std::string_view aName)
{
  return base::FindValue(kAttemptOutcomes, aName);
}

bool
IsEnded(TaskState aState)
{
  return aState == TaskState::Completed || aState == TaskState::Cancelled ||
         aState == TaskState::Failed || aState == TaskState::Quarantined;
}

bool
HasLiveAttempt(TaskState aState)
{
  return aState == TaskState::Granted || aState == TaskState::Running ||
         aState == TaskState::Checkpointing;
}

} // namespace skylarkhill::tasks
