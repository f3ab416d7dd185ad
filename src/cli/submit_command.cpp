#include "skylarkhill/cli/api_client.hpp"
#include "skylarkhill/cli/command.hpp"

#include <iostream>

namespace skylarkhill::cli {

namespace {

namespace po = boost::program_options;

class SubmitCommand : public Command
{
public:
  std::string_view Name() const override { return "submit"; }
  std::string_view Summary() const override
  {
    return "send a request to a service, or submit a batch task";
  }
  void AddOptions(po::options_description& aOptions,
                  po::positional_options_description&) const override
  {
    AddClientOptions(aOptions);
    auto add = aOptions.add_options();
    add(
      "service", po::value<std::string>(), "service that handles the request");
    add("class", po::value<std::string>(), "batch class of the task");
    add("key", po::value<std::string>(), "idempotency key");
    add("body",
        po::value<std::string>()->default_value("{}"),
        "body of the request, or payload of the task");
    add("idempotent",
        po::value<bool>(),
        "whether the request may run more than once");
    add("first-send", "assert that no request with this key was sent before");
    add("deadline-ms",
        po::value<std::int64_t>(),
        "deadline of the request, in milliseconds from now");
    add("team", po::value<std::string>(), "team that owns the task");
    add("caller",
        po::value<std::string>()->default_value(""),
        "identity that submits the task and may cancel it");
    add("urgent", "start the task before tasks that are not urgent");
    add("milli-processors",
        po::value<std::int64_t>(),
        "processors of the task, in thousandths");
    add("memory-bytes",
        po::value<std::int64_t>(),
        "memory of the task, in bytes");
    add("accelerators", po::value<std::int64_t>(), "accelerators of the task");
    add("run-seconds",
        po::value<std::int64_t>(),
        "declared run time of the task, in seconds");
  }

  ExitCode Run(const po::variables_map& aOptions) const override
  {
    const bool isRequest = aOptions.count("service") != 0;
    if (isRequest == (aOptions.count("class") != 0)) {
      std::cerr << "skylarkhill submit: specify either --service or --class\n";
      return ExitCode::UsageError;
    }
    http::ClientRequest request;
    request.mMethod = "POST";
    request.mTarget = isRequest ? "/v1/requests" : "/v1/tasks";
    request.mBody = base::FormatJson(isRequest ? MakeRequestBody(aOptions)
                                               : MakeTaskBody(aOptions));
    return PrintResponse(aOptions, CallEntry(aOptions, request));
  }

private:
  template<typename T>
  static void CopyOption(const po::variables_map& aOptions,
                         const std::string& aOption,
                         const std::string& aMember,
                         base::JsonValue& aValue)
  {
    if (aOptions.count(aOption) != 0) {
      aValue.addMember(aMember) <<= aOptions[aOption].as<T>();
    }
  }

  static base::JsonValue MakeRequestBody(const po::variables_map& aOptions)
  {
    base::JsonValue value = base::MakeJsonObject();
    CopyOption<std::string>(aOptions, "service", "service", value);
    CopyOption<std::string>(aOptions, "key", "key", value);
    CopyOption<std::string>(aOptions, "body", "body", value);
    CopyOption<bool>(aOptions, "idempotent", "idempotent", value);
    CopyOption<std::int64_t>(aOptions, "deadline-ms", "deadline_ms", value);
    value.addMember("first_send") <<= (aOptions.count("first-send") != 0);
    return value;
  }

  static base::JsonValue MakeTaskBody(const po::variables_map& aOptions)
  {
    base::JsonValue value = base::MakeJsonObject();
    CopyOption<std::string>(aOptions, "class", "class", value);
    CopyOption<std::string>(aOptions, "key", "key", value);
    CopyOption<std::string>(aOptions, "body", "payload", value);
    CopyOption<std::string>(aOptions, "team", "team", value);
    CopyOption<std::string>(aOptions, "caller", "caller", value);
    CopyOption<std::int64_t>(
      aOptions, "milli-processors", "milli_processors", value);
    CopyOption<std::int64_t>(aOptions, "memory-bytes", "memory_bytes", value);
    CopyOption<std::int64_t>(aOptions, "accelerators", "accelerators", value);
    CopyOption<std::int64_t>(aOptions, "run-seconds", "run_seconds", value);
    value.addMember("urgent") <<= (aOptions.count("urgent") != 0);
    return value;
  }
};

} // namespace

std::unique_ptr<Command>
CreateSubmitCommand()
{
  return std::make_unique<SubmitCommand>();
}

} // namespace skylarkhill::cli
