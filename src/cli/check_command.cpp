#include "skylarkhill/catalog/check.hpp"
#include "skylarkhill/cli/api_client.hpp"
#include "skylarkhill/cli/command.hpp"

#include <iostream>

namespace skylarkhill::cli {

namespace {

namespace po = boost::program_options;

class CheckCommand : public Command
{
public:
  std::string_view Name() const override { return "check"; }
  std::string_view Summary() const override
  {
    return "check a configuration set without publishing it";
  }
  void AddOptions(
    po::options_description& aOptions,
    po::positional_options_description& aPositional) const override
  {
    aOptions.add_options()(
      "set", po::value<std::string>()->required(), "file with the set (JSON)")(
      "output",
      po::value<std::string>()->default_value("text"),
      "text or json");
    aPositional.add("set", 1);
  }

  ExitCode Run(const po::variables_map& aOptions) const override
  {
    const auto text = ReadFile(aOptions["set"].as<std::string>());
    if (!text) {
      return PrintError(aOptions, text.error());
    }
    const auto result = catalog::ReadSet(text.value());
    if (!result) {
      return PrintError(aOptions, result.error());
    }
    Print(aOptions["output"].as<std::string>() == "json", result.value());
    return result.value().mFindings.empty() ? ExitCode::Success
                                            : ExitCode::Failure;
  }

private:
  static void Print(bool aAsJson, const catalog::SetReadResult& aResult)
  {
    if (!aAsJson) {
      std::cout << catalog::JoinFindings(aResult.mFindings);
      std::cout << (aResult.mFindings.empty() ? "" : "\n")
                << aResult.mSet.All().size() << " objects, "
                << aResult.mFindings.size() << " findings\n";
      return;
    }
    base::JsonValue value = base::MakeJsonObject();
    value.addMember("objects") <<=
      static_cast<std::int64_t>(aResult.mSet.All().size());
    base::JsonValue& findings = value.addMember("findings");
    findings.setCategory(base::JsonValue::Array);
    for (const auto& it : aResult.mFindings) {
      base::JsonValue& finding = findings.addMember();
      finding.setCategory(base::JsonValue::Object);
      finding.addMember("object") <<= it.mObject;
      finding.addMember("problem") <<= it.mProblem;
    }
    std::cout << base::FormatJson(value) << "\n";
  }
};

} // namespace

std::unique_ptr<Command>
CreateCheckCommand()
{
  return std::make_unique<CheckCommand>();
}

} // namespace skylarkhill::cli
