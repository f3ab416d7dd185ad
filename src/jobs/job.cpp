#include "skylarkhill/jobs/job.hpp"

#include "skylarkhill/base/name_table.hpp"

namespace skylarkhill::jobs {

namespace {

constexpr base::NameTable<JobState, 5> kStateNames{ {
  { JobState::Pending, "pending" },
  { JobState::Running, "running" },
  { JobState::Completed, "completed" },
  { JobState::Failed, "failed" },
  { JobState::Cancelled, "cancelled" },
} };

} // namespace

std::string_view
NameOf(JobState aState)
{
  return base::FindName(kStateNames, aState);
}

bool
IsFinal(JobState aState)
{
  return aState != JobState::Pending && aState != JobState::Running;
}

} // namespace skylarkhill::jobs
