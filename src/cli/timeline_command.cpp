#include "skylarkhill/cli/api_client.hpp"
#include "skylarkhill/cli/command.hpp"
#include "skylarkhill/http/error_body.hpp"
#include "skylarkhill/timeline/merge.hpp"

#include <iostream>

namespace skylarkhill::cli {

namespace {

namespace po = boost::program_options;

using StringList = std::vector<std::string>;

std::string
OptionOrEmpty(const po::variables_map& aOptions, const std::string& aName)
{
  return aOptions.count(aName) == 0 ? std::string()
                                    : aOptions[aName].as<std::string>();
}

class TimelineCommand : public Command
{
public:
  std::string_view Name() const override { return "timeline"; }
  std::string_view Summary() const override
  {
    return "merge the events of entry instances into one timeline";
  }
  void AddOptions(po::options_description& aOptions,
                  po::positional_options_description&) const override
  {
    auto add = aOptions.add_options();
    add("entry",
        po::value<StringList>()->required()->multitoken(),
        "IP:PORT of every entry instance");
    add("timeout-ms",
        po::value<std::int64_t>()->default_value(5000),
        "time limit for each instance, in milliseconds");
    add("output",
        po::value<std::string>()->default_value("text"),
        "text, or json for a trace in Chrome's format");
    add("request", po::value<std::string>(), "only events of this request");
    add("task", po::value<std::string>(), "only events of this task");
    add("worker", po::value<std::string>(), "only events of this worker");
    add(
      "domain", po::value<std::string>(), "only events of this failure domain");
  }

  ExitCode Run(const po::variables_map& aOptions) const override
  {
    std::vector<timeline::TimelineExport> exports;
    ExitCode code = ExitCode::Success;
    for (const auto& it : aOptions["entry"].as<StringList>()) {
      auto fetched = Fetch(it, aOptions["timeout-ms"].as<std::int64_t>());
      if (fetched) {
        exports.push_back(std::move(fetched.value()));
      } else {
        std::cerr << it << ": " << fetched.error().mDetail << "\n";
        code = ExitCode::Failure;
      }
    }
    timeline::EventFilter filter;
    filter.mRequest = { OptionOrEmpty(aOptions, "request") };
    filter.mTask = { OptionOrEmpty(aOptions, "task") };
    filter.mWorker = { OptionOrEmpty(aOptions, "worker") };
    filter.mDomain = { OptionOrEmpty(aOptions, "domain") };
    const auto merged = timeline::Merge(exports, filter);
    const bool isJson = aOptions["output"].as<std::string>() == "json";
    std::cout << (isJson ? timeline::FormatChromeTrace(merged)
                         : timeline::FormatText(merged));
    return code;
  }

private:
  static base::Result<timeline::TimelineExport> Fetch(const std::string& aEntry,
                                                      std::int64_t aTimeoutMs)
  {
    BOOST_OUTCOME_TRY(address, ParseEntryAddress(aEntry));
    http::ClientRequest request;
    request.mTarget = "/v1/timeline";
    request.mDelivery = http::Delivery::Idempotent;
    BOOST_OUTCOME_TRY(response, CallEntry(address, request, aTimeoutMs));
    if (response.mStatus != 200) {
      return http::ParseErrorResponse(response);
    }
    return timeline::ParseExport(response.mBody);
  }
};

} // namespace

std::unique_ptr<Command>
CreateTimelineCommand()
{
  return std::make_unique<TimelineCommand>();
}

} // namespace skylarkhill::cli
