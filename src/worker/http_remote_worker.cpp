#include "skylarkhill/worker/http_remote_worker.hpp"

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

/// Maps an error response of the worker to an error of RemoteWorker. Kinds that
/// RemoteWorker does not have become WorkerRefused if they say that nothing
/// ran, else ConnectionLost.
base::Error
ToWorkerError(const http::Response& aResponse)
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

class HttpRemoteWorker : public RemoteWorker
{
public:
  explicit HttpRemoteWorker(std::unique_ptr<http::Client> aClient)
    : mClient(std::move(aClient))
  {
  }

  base::Result<WorkerReport> Poll(base::TimePoint aDeadline) override
  {
    return FetchReport("/poll", "{}", aDeadline);
  }

  base::Result<WorkerReport> SetHolderLease(const HolderToken& aToken,
                                            base::Duration aDuration,
                                            base::TimePoint aDeadline) override
  {
    return FetchReport(
      "/holder", FormatHolderCommand({ aToken, aDuration }), aDeadline);
  }

  base::Result<void> RemoveHolderLease(const HolderToken& aToken,
                                       base::TimePoint aDeadline) override
  {
    return SendCommand("/holder/remove",
                       FormatHolderCommand({ aToken, base::Duration(0) }),
                       Delivery::AtMostOnce,
                       aDeadline);
  }

  base::Result<void> Start(const CommandHeader& aHeader,
                           const StartTask& aStart,
                           base::TimePoint aDeadline) override
  {
    return SendCommand("/tasks/start",
                       FormatStartCommand({ aHeader, aStart }),
                       Delivery::AtMostOnce,
                       aDeadline);
  }

  base::Result<void> Renew(const CommandHeader& aHeader,
                           const std::vector<AttemptKey>& aTasks,
                           WorkerTime aLeaseExpiresAt,
                           base::TimePoint aDeadline) override
  {
    return SendCommand("/tasks/renew",
                       FormatRenewCommand({ aHeader, aTasks, aLeaseExpiresAt }),
                       Delivery::Idempotent,
                       aDeadline);
  }

  base::Result<void> Checkpoint(const CommandHeader& aHeader,
                                const AttemptKey& aTask,
                                base::TimePoint aDeadline) override
  {
    return SendTaskCommand("/tasks/checkpoint", { aHeader, aTask }, aDeadline);
  }

  base::Result<void> Throttle(const CommandHeader& aHeader,
                              const AttemptKey& aTask,
                              std::int64_t aPercent,
                              base::TimePoint aDeadline) override
  {
    return SendTaskCommand(
      "/tasks/throttle", { aHeader, aTask, aPercent }, aDeadline);
  }

  base::Result<void> Stop(const CommandHeader& aHeader,
                          const AttemptKey& aTask,
                          base::TimePoint aDeadline) override
  {
    return SendTaskCommand("/tasks/stop", { aHeader, aTask }, aDeadline);
  }

  base::Result<void> Acknowledge(const CommandHeader& aHeader,
                                 const AttemptKey& aTask,
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
      base::Error error = ToWorkerError(response);
      // The request may have been sent twice: the second copy was refused, but
      // the first may have run
      // (explorer, site simulation, seed 83).
      return response.mIsPossiblyResent
               ? MakeError(ErrorKind::ConnectionLost, std::move(error.mDetail))
               : error;
    }
    BOOST_OUTCOME_TRY(answer,
                      MapParseError(ParseServiceAnswer(response.mBody)));
    if (answer.mRequest != aCall.mRequest ||
        answer.mAttempt != aCall.mAttempt) {
      return MakeError(ErrorKind::ConnectionLost,
                       "the answer belongs to another request or attempt");
    }
    return std::move(answer);
  }

private:
  /// Sends a POST request and returns the body of a successful response.
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
      return ToWorkerError(response);
    }
    return std::move(response.mBody);
  }

  /// After an answer that cannot be parsed, the command may have run.
  template<typename T>
  static base::Result<T> MapParseError(base::Result<T> aParsed)
  {
    if (aParsed.has_error()) {
      return MakeError(ErrorKind::ConnectionLost,
                       "invalid answer: " + aParsed.error().mDetail);
    }
    return aParsed;
  }

  base::Result<void> SendCommand(std::string aTarget,
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
    return SendCommand(std::move(aTarget),
                       FormatTaskCommand(aCommand),
                       Delivery::AtMostOnce,
                       aDeadline);
  }

  // Polls and SetHolderLease may be sent twice: the worker counts the
  // lease from the receipt, its holder from the earlier first send.
  base::Result<WorkerReport> FetchReport(std::string aTarget,
                                         std::string aBody,
                                         base::TimePoint aDeadline)
  {
    BOOST_OUTCOME_TRY(
      body,
      Post(
        std::move(aTarget), std::move(aBody), Delivery::Idempotent, aDeadline));
    return MapParseError(ParseReport(body));
  }

  const std::unique_ptr<http::Client> mClient;
};

} // namespace

std::unique_ptr<RemoteWorker>
CreateHttpRemoteWorker(std::string aAddress,
                       std::uint16_t aPort,
                       const base::Clock& aClock)
{
  http::ClientOptions options;
  options.mAddress = std::move(aAddress);
  options.mPort = aPort;
  return std::make_unique<HttpRemoteWorker>(
    http::CreateClient(std::move(options), aClock));
}

} // namespace skylarkhill::worker
