#include "skylarkhill/catalog/check.hpp"
#include "skylarkhill/cli/api_client.hpp"
#include "skylarkhill/cli/command.hpp"

namespace skylarkhill::cli {

namespace {

namespace po = boost::program_options;

class PublishCommand : public Command
{
public:
  std::string_view Name() const override { return "publish"; }
  std::string_view Summary() const override
  {
    return "publish a configuration set as the next version";
  }
  void AddOptions(
    po::options_description& aOptions,
    po::positional_options_description& aPositional) const override
  {
    AddClientOptions(aOptions);
    aOptions.add_options()(
      "set", po::value<std::string>()->required(), "file with the set (JSON)")(
      "base-version",
      po::value<std::int64_t>()->required(),
      "current version, which the set replaces; -1 if there is none")(
      "publisher",
      po::value<std::string>()->default_value(""),
      "name of the publisher")("credential-file",
                               po::value<std::string>()->required(),
                               "file with the operator credential");
    aPositional.add("set", 1);
  }

  ExitCode Run(const po::variables_map& aOptions) const override
  {
    const auto response = Publish(aOptions);
    return PrintResponse(aOptions, response);
  }

private:
  static base::Result<http::Response> Publish(const po::variables_map& aOptions)
  {
    BOOST_OUTCOME_TRY(text, ReadFile(aOptions["set"].as<std::string>()));
    BOOST_OUTCOME_TRYV(catalog::ParseSet(text));
    BOOST_OUTCOME_TRY(set, base::ParseJson(text));
    base::JsonValue value = base::MakeJsonObject();
    value.addMember("base_version") <<=
      aOptions["base-version"].as<std::int64_t>();
    value.addMember("publisher") <<= aOptions["publisher"].as<std::string>();
    base::JsonValue& member = value.addMember("set");
    member = set;
    member.setName("set");
    http::ClientRequest request;
    request.mMethod = "POST";
    request.mTarget = "/v1/config";
    request.mBody = base::FormatJson(value);
    BOOST_OUTCOME_TRYV(AddCredential(aOptions, request));
    return CallEntry(aOptions, request);
  }
};

} // namespace

std::unique_ptr<Command>
CreatePublishCommand()
{
  return std::make_unique<PublishCommand>();
}

} // namespace skylarkhill::cli
