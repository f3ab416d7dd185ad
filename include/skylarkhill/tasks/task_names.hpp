#ifndef SKYLARKHILL_TASKS_TASK_NAMES_HPP
#define SKYLARKHILL_TASKS_TASK_NAMES_HPP

#include "skylarkhill/tasks/task_record.hpp"

#include <optional>
#include <string_view>

namespace skylarkhill::tasks {

/// The stable name of `aState`.
std::string_view
NameOf(TaskState aState);

/// The stable name of `aOutcome`.
std::string_view
NameOf(AttemptOutcome aOutcome);

/// The state named `aName`, or nothing.
std::optional<TaskState>
ParseTaskState(std::string_view aName);

/// The outcome named `aName`, or nothing.
std::optional<AttemptOutcome>
ParseAttemptOutcome(std::string_view aName);

/// True for a state in which no further attempt is possible.
bool
IsEnded(TaskState aState);

/// True for a state in which an attempt is assigned to a worker.
bool
HasLiveAttempt(TaskState aState);

} // namespace skylarkhill::tasks

#endif // SKYLARKHILL_TASKS_TASK_NAMES_HPP
