#include "skylarkhill/worker/http_worker_port.hpp"

#include "skylarkhill/http/client.hpp"
#include "skylarkhill/http/error_body.hpp"
#include "skylarkhill/worker/worker_codec.hpp"

#include <utility>

namespace skylarkhill::worker {

using base::ErrorKind;
using base::MakeError;
using http::Delivery;

namespace {

constexpr int kStatusOk = 200;

/// The error of WorkerPort that a worker's error answer stands for. A refusal
/// counts as one only if its body says that nothing ran.
base::Error
ToPortError(const http::Response& aResponse)
{
  base::Error error = http::ParseErrorResponse(aResponse);
  switch (error.mKind) {
    case ErrorKind::WorkerRefused:
    case ErrorKind::StaleCommand:
    case ErrorKind::NotFound:
    case ErrorKind::DeadlineExceeded:
      return error;
    default:
      break;
  }
  std::string detail =
    std::string(base::NameOf(error.mKind)) + ": " + error.mDetail;
  const bool mayHaveRun =
    base::GetErrorInfo(error.mKind).mExecution == base::Execution::MayHaveRun;
  return MakeError(mayHaveRun ? ErrorKind::ConnectionLost
                              : ErrorKind::WorkerRefused,
                   std::move(detail));
}

class HttpWorkerPort : public WorkerPort
{
public:
  explicit HttpWorkerPort(std::unique_ptr<http::Client> aClient)
    : mClient(std::move(aClient))
  {
  }

  base::Result<WorkerReport> Poll(base::TimePoint aDeadline) override
  {
    return FetchReport("/poll", "{}", aDeadline);
  }

  base::Result<WorkerReport> PlaceHolderLease(
    const HolderToken& aToken,
    base::Duration aLength,
    base::TimePoint aDeadline) override
  {
    return FetchReport(
      "/holder", FormatHolderCommand({ aToken, aLength }), aDeadline);
  }

  base::Result<void> RemoveHolderLease(const HolderToken& aToken,
                                       base::TimePoint aDeadline) override
  {
    return Command("/holder/remove",
                   FormatHolderCommand({ aToken, base::Duration(0) }),
                   Delivery::AtMostOnce,
                   aDeadline);
  }

  base::Result<void> Start(const CommandHeader& aHeader,
                           const StartTask& aStart,
                           base::TimePoint aDeadline) override
  {
    return Command("/tasks/start",
                   FormatStartCommand({ aHeader, aStart }),
                   Delivery::AtMostOnce,
                   aDeadline);
  }

  base::Result<void> Renew(const CommandHeader& aHeader,
                           const std::vector<TaskKey>& aTasks,
                           WorkerTime aLeaseExpiresAt,
                           base::TimePoint aDeadline) override
  {
    return Command("/tasks/renew",
                   FormatRenewCommand({ aHeader, aTasks, aLeaseExpiresAt }),
                   Delivery::Idempotent,
                   aDeadline);
  }

  base::Result<void> Checkpoint(const CommandHeader& aHeader,
                                const TaskKey& aTask,
                                base::TimePoint aDeadline) override
  {
    return SendTaskCommand("/tasks/checkpoint", { aHeader, aTask }, aDeadline);
  }

  base::Result<void> Throttle(const CommandHeader& aHeader,
                              const TaskKey& aTask,
                              std::int64_t aPercent,
                              base::TimePoint aDeadline) override
  {
    return SendTaskCommand(
      "/tasks/throttle", { aHeader, aTask, aPercent }, aDeadline);
  }

  base::Result<void> Stop(const CommandHeader& aHeader,
                          const TaskKey& aTask,
                          base::TimePoint aDeadline) override
  {
    return SendTaskCommand("/tasks/stop", { aHeader, aTask }, aDeadline);
  }

  base::Result<void> Acknowledge(const CommandHeader& aHeader,
                                 const TaskKey& aTask,
                                 base::TimePoint aDeadline) override
  {
    return SendTaskCommand("/tasks/ack", { aHeader, aTask }, aDeadline);
  }

  base::Result<ServiceAnswer> Call(const CommandHeader& aHeader,
                                   const ServiceCall& aCall,
                                   base::TimePoint aDeadline) override
  {
    const http::ClientRequest request{ "POST",
                                       "/call",
                                       FormatCallCommand({ aHeader, aCall }),
                                       {},
                                       aCall.mIdempotent
                                         ? Delivery::Idempotent
                                         : Delivery::AtMostOnce };
    BOOST_OUTCOME_TRY(response, mClient->Call(request, aDeadline));
    if (response.mStatus != kStatusOk) {
      base::Error error = ToPortError(response);
      // The refused copy may be the second one; the first may have run
      // (explorer, site world, seed 83).
      return response.mIsPossiblyResent
               ? MakeError(ErrorKind::ConnectionLost, std::move(error.mDetail))
               : error;
    }
    BOOST_OUTCOME_TRY(answer, Interpret(ParseServiceAnswer(response.mBody)));
    if (answer.mRequest != aCall.mRequest ||
        answer.mAttempt != aCall.mAttempt) {
      return MakeError(ErrorKind::ConnectionLost, "answer to another request");
    }
    return std::move(answer);
  }

private:
  /// The body of a successful answer.
  base::Result<std::string> Post(std::string aTarget,
                                 std::string aBody,
                                 Delivery aDelivery,
                                 base::TimePoint aDeadline)
  {
    const http::ClientRequest request{
      "POST", std::move(aTarget), std::move(aBody), {}, aDelivery
    };
    BOOST_OUTCOME_TRY(response, mClient->Call(request, aDeadline));
    if (response.mStatus != kStatusOk) {
      return ToPortError(response);
    }
    return std::move(response.mBody);
  }

  /// An answer that cannot be parsed proves nothing about the command.
  template<typename T>
  static base::Result<T> Interpret(base::Result<T> aParsed)
  {
    if (aParsed.has_error()) {
      return MakeError(ErrorKind::ConnectionLost,
                       "invalid answer: " + aParsed.error().mDetail);
    }
    return aParsed;
  }

  base::Result<void> Command(std::string aTarget,
                             std::string aBody,
                             Delivery aDelivery,
                             base::TimePoint aDeadline)
  {
    BOOST_OUTCOME_TRYV(
      Post(std::move(aTarget), std::move(aBody), aDelivery, aDeadline));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  base::Result<void> SendTaskCommand(std::string aTarget,
                                     const TaskCommand& aCommand,
                                     base::TimePoint aDeadline)
  {
    return Command(std::move(aTarget),
                   FormatTaskCommand(aCommand),
                   Delivery::AtMostOnce,
                   aDeadline);
  }

  // Polls and lease renewals may reach the worker twice: a lease is counted
  // from a receipt, and its holder counts from the first send.
  base::Result<WorkerReport> FetchReport(std::string aTarget,
                                         std::string aBody,
                                         base::TimePoint aDeadline)
  {
    BOOST_OUTCOME_TRY(
      body,
      Post(
        std::move(aTarget), std::move(aBody), Delivery::Idempotent, aDeadline));
    return Interpret(ParseReport(body));
  }

  const std::unique_ptr<http::Client> mClient;
};

} // namespace

std::unique_ptr<WorkerPort>
CreateHttpWorkerPort(std::string aAddress,
                     std::uint16_t aPort,
                     const base::Clock& aClock)
{
  http::ClientOptions options;
  options.mAddress = std::move(aAddress);
  options.mPort = aPort;
  return std::make_unique<HttpWorkerPort>(
    http::CreateClient(std::move(options), aClock));
}

} // namespace skylarkhill::worker
