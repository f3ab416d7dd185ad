#include "skylarkhill/cli/api_client.hpp"
#include "skylarkhill/cli/command.hpp"

#include <iostream>

namespace skylarkhill::cli {

namespace {

namespace po = boost::program_options;

class CancelCommand : public Command
{
public:
  std::string_view Name() const override { return "cancel"; }
  std::string_view Summary() const override
  {
    return "cancel a task and print its final state";
  }
  void AddOptions(
    po::options_description& aOptions,
    po::positional_options_description& aPositional) const override
  {
    AddClientOptions(aOptions);
    aOptions.add_options()(
      "task", po::value<std::string>()->required(), "id of the task")(
      "caller",
      po::value<std::string>()->default_value(""),
      "identity that submitted the task and may cancel it")(
      "credential-file",
      po::value<std::string>(),
      "file with the operator credential, "
      "to cancel another caller's task");
    aPositional.add("task", 1);
  }

  ExitCode Run(const po::variables_map& aOptions) const override
  {
    http::ClientRequest request;
    request.mMethod = "DELETE";
    request.mTarget =
      "/v1/tasks/" + http::PercentEncode(aOptions["task"].as<std::string>()) +
      "?caller=" + http::PercentEncode(aOptions["caller"].as<std::string>());
    const auto credential = AddCredential(aOptions, request);
    if (!credential) {
      return PrintError(aOptions, credential.error());
    }
    return PrintResponse(aOptions, CallEntry(aOptions, request));
  }
};

class StatusCommand : public Command
{
public:
  std::string_view Name() const override { return "status"; }
  std::string_view Summary() const override
  {
    return "print a task, a request, or by default the published configuration";
  }
  void AddOptions(po::options_description& aOptions,
                  po::positional_options_description&) const override
  {
    AddClientOptions(aOptions);
    aOptions.add_options()("task", po::value<std::string>(), "id of a task")(
      "request", po::value<std::string>(), "key of a request");
  }

  ExitCode Run(const po::variables_map& aOptions) const override
  {
    if (aOptions.count("task") + aOptions.count("request") > 1) {
      std::cerr
        << "skylarkhill status: --task and --request cannot be combined\n";
      return ExitCode::UsageError;
    }
    http::ClientRequest request;
    request.mDelivery = http::Delivery::Idempotent;
    request.mTarget = "/v1/config";
    if (aOptions.count("task") != 0) {
      request.mTarget =
        "/v1/tasks/" + http::PercentEncode(aOptions["task"].as<std::string>());
    } else if (aOptions.count("request") != 0) {
      request.mTarget =
        "/v1/requests/" +
        http::PercentEncode(aOptions["request"].as<std::string>());
    }
    return PrintResponse(aOptions, CallEntry(aOptions, request));
  }
};

} // namespace

std::unique_ptr<Command>
CreateCancelCommand()
{
  return std::make_unique<CancelCommand>();
}

std::unique_ptr<Command>
CreateStatusCommand()
{
  return std::make_unique<StatusCommand>();
}

} // namespace skylarkhill::cli
