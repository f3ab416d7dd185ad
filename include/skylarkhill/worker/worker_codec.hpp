#ifndef SKYLARKHILL_WORKER_WORKER_CODEC_HPP
#define SKYLARKHILL_WORKER_WORKER_CODEC_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/json.hpp"
#include "skylarkhill/worker/remote_worker.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::worker {

/// JSON bodies of the worker's HTTP interface. Parse functions fail with
/// InvalidJson or InvalidArgument; the error lists all problems found.

/// Body of /holder and /holder/remove.
struct HolderCommand
{
  HolderToken mToken;
  base::Duration mLeaseDuration{ 0 };
};

/// Body of /tasks/start.
struct StartCommand
{
  CommandHeader mHeader;
  StartTask mStart;
};

/// Body of /tasks/renew.
struct RenewCommand
{
  CommandHeader mHeader;
  std::vector<AttemptKey> mTasks;
  WorkerTime mLeaseExpiresAt = 0;
};

/// Body of /tasks/checkpoint, /tasks/throttle, /tasks/stop and /tasks/ack.
struct TaskCommand
{
  CommandHeader mHeader;
  AttemptKey mTask;
  /// Used by /tasks/throttle only.
  std::int64_t mPercent = 100;
};

/// Body of /call.
struct CallCommand
{
  CommandHeader mHeader;
  ServiceCall mCall;
};

std::string
FormatReport(const WorkerReport& aReport);
base::Result<WorkerReport>
ParseReport(std::string_view aBody);

std::string
FormatHolderCommand(const HolderCommand& aCommand);
base::Result<HolderCommand>
ParseHolderCommand(std::string_view aBody);

std::string
FormatStartCommand(const StartCommand& aCommand);
base::Result<StartCommand>
ParseStartCommand(std::string_view aBody);

std::string
FormatRenewCommand(const RenewCommand& aCommand);
base::Result<RenewCommand>
ParseRenewCommand(std::string_view aBody);

std::string
FormatTaskCommand(const TaskCommand& aCommand);
base::Result<TaskCommand>
ParseTaskCommand(std::string_view aBody);

std::string
FormatCallCommand(const CallCommand& aCommand);
base::Result<CallCommand>
ParseCallCommand(std::string_view aBody);

std::string
FormatServiceAnswer(const ServiceAnswer& aAnswer);
base::Result<ServiceAnswer>
ParseServiceAnswer(std::string_view aBody);

/// Adds the members of `aResources` to `aObject`, each name after `aPrefix`.
void
AddResources(base::JsonValue& aObject,
             const std::string& aPrefix,
             const base::Resources& aResources);

/// Reads what AddResources adds.
base::Resources
ReadResources(base::JsonReader& aReader, const std::string& aPrefix);

} // namespace skylarkhill::worker

#endif // SKYLARKHILL_WORKER_WORKER_CODEC_HPP
