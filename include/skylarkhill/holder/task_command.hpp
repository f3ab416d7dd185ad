#ifndef SKYLARKHILL_HOLDER_TASK_COMMAND_HPP
#define SKYLARKHILL_HOLDER_TASK_COMMAND_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/worker/worker_port.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace skylarkhill::holder {

struct RenewTasks
{
  std::vector<worker::TaskKey> mTasks;
  worker::WorkerTime mLeaseExpiresAt = 0;
};

struct CheckpointTask
{
  worker::TaskKey mTask;
};

struct ThrottleTask
{
  worker::TaskKey mTask;
  std::int64_t mPercent = 100;
};

struct StopTask
{
  worker::TaskKey mTask;
};

struct AcknowledgeTask
{
  worker::TaskKey mTask;
};

using CommandBody = std::variant<worker::StartTask,
                                 RenewTasks,
                                 CheckpointTask,
                                 ThrottleTask,
                                 StopTask,
                                 AcknowledgeTask>;

/// One command to a worker. It is sent only if `LeaseMachine::MaySendCommands`
/// is true immediately before the send.
struct Command
{
  /// Names the command in its result.
  std::uint64_t mNumber = 0;
  worker::CommandHeader mHeader;
  CommandBody mBody;
  base::TimePoint mDeadline;
};

/// What is known of a command after its deadline.
enum class CommandOutcome
{
  Ok,
  /// The worker answered that it does not carry out this command.
  Refused,
  /// The command may have taken effect, or may still do so.
  Unknown,
};

/// The outcome that the result of a command shows.
CommandOutcome
ToCommandOutcome(const base::Result<void>& aResult);

} // namespace skylarkhill::holder

#endif // SKYLARKHILL_HOLDER_TASK_COMMAND_HPP
