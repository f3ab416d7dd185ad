#ifndef SKYLARKHILL_HOLDER_TASK_COMMAND_HPP
#define SKYLARKHILL_HOLDER_TASK_COMMAND_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/worker/remote_worker.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace skylarkhill::holder {

struct RenewTasks
{
  std::vector<worker::AttemptKey> mTasks;
  worker::WorkerTime mLeaseExpiresAt = 0;
};

struct CheckpointTask
{
  worker::AttemptKey mTask;
};

struct ThrottleTask
{
  worker::AttemptKey mTask;
  std::int64_t mPercent = 100;
};

struct StopTask
{
  worker::AttemptKey mTask;
};

struct AcknowledgeTask
{
  worker::AttemptKey mTask;
};

using CommandBody = std::variant<worker::StartTask,
                                 RenewTasks,
                                 CheckpointTask,
                                 ThrottleTask,
                                 StopTask,
                                 AcknowledgeTask>;

/// A command to a worker, as the task runner returns it; the bodies on the wire
/// are in worker_codec.hpp. Sent only if `LeaseMachine::MaySendCommands` is
/// true immediately before the send.
struct Command
{
  /// Identifies the command in `TaskRunner::OnResult`.
  std::uint64_t mNumber = 0;
  worker::CommandHeader mHeader;
  CommandBody mBody;
  base::TimePoint mDeadline;
};

/// Outcome of a command, as far as the sender knows it.
enum class CommandOutcome
{
  Ok,
  /// The worker rejected the command.
  Refused,
  /// The command may have taken effect, or may still do so.
  Unknown,
};

/// Converts the result of sending a command to its outcome.
CommandOutcome
ToCommandOutcome(const base::Result<void>& aResult);

} // namespace skylarkhill::holder

#endif // SKYLARKHILL_HOLDER_TASK_COMMAND_HPP
