#include "skylarkhill/worker/remote_worker.hpp"

#include "skylarkhill/base/name_table.hpp"

namespace skylarkhill::worker {

namespace {

constexpr base::NameTable<TaskPhase, 5> kPhaseNames{ {
  { TaskPhase::Running, "running" },
  { TaskPhase::Checkpointing, "checkpointing" },
  { TaskPhase::Completed, "completed" },
  { TaskPhase::Failed, "failed" },
  { TaskPhase::Stopped, "stopped" },
} };

} // namespace

std::string_view
NameOf(TaskPhase aPhase)
{
  return base::FindName(kPhaseNames, aPhase);
}

std::optional<TaskPhase>
ParseTaskPhase(std::string_view aName)
{
  return base::FindValue(kPhaseNames, aName);
}

} // namespace skylarkhill::worker
