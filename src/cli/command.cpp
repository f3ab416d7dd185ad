#include "skylarkhill/cli/command.hpp"

#include <boost/program_options/parsers.hpp>

#include <exception>
#include <iostream>

namespace skylarkhill::cli {

namespace {

namespace po = boost::program_options;

void
PrintOverview(std::ostream& aOut,
              const std::vector<std::unique_ptr<Command>>& aCommands)
{
  aOut << "usage: skylarkhill COMMAND [OPTION...]\n\ncommands:\n";
  for (const auto& it : aCommands) {
    aOut << "  " << it->Name() << std::string(10 - it->Name().size(), ' ')
         << it->Summary() << "\n";
  }
  aOut << "\n'skylarkhill COMMAND --help' lists the options of a command.\n";
}

void
PrintVersion()
{
  std::cout << "skylarkhill " << SKYLARKHILL_VERSION << "\n";
}

void
PrintHelp(const Command& aCommand, const po::options_description& aOptions)
{
  std::cout << "usage: skylarkhill " << aCommand.Name() << " [OPTION...]\n"
            << aCommand.Summary() << "\n\n"
            << aOptions;
}

ExitCode
RunCommand(const Command& aCommand, const std::vector<std::string>& aArguments)
{
  po::options_description options("options");
  po::positional_options_description positional;
  options.add_options()("help", "print this help and exit")(
    "version", "print the version and exit");
  aCommand.AddOptions(options, positional);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(aArguments)
                .options(options)
                .positional(positional)
                .run(),
              values);
    if (values.count("help") != 0) {
      PrintHelp(aCommand, options);
      return ExitCode::Success;
    }
    if (values.count("version") != 0) {
      PrintVersion();
      return ExitCode::Success;
    }
    po::notify(values);
  } catch (const po::error& e) {
    std::cerr << "skylarkhill " << aCommand.Name() << ": " << e.what() << "\n";
    return ExitCode::UsageError;
  }
  return aCommand.Run(values);
}

} // namespace

std::vector<std::unique_ptr<Command>>
CreateCommands()
{
  std::vector<std::unique_ptr<Command>> commands;
  commands.push_back(CreateEntryCommand());
  commands.push_back(CreateNodeCommand());
  commands.push_back(CreateCheckCommand());
  commands.push_back(CreatePublishCommand());
  commands.push_back(CreateSubmitCommand());
  commands.push_back(CreateCancelCommand());
  commands.push_back(CreateStatusCommand());
  commands.push_back(CreateTimelineCommand());
  return commands;
}

ExitCode
RunCommandLine(const std::vector<std::string>& aArguments)
{
  const auto commands = CreateCommands();
  if (aArguments.empty()) {
    PrintOverview(std::cerr, commands);
    return ExitCode::UsageError;
  }
  const std::string& name = aArguments.front();
  if (name == "--help" || name == "help") {
    PrintOverview(std::cout, commands);
    return ExitCode::Success;
  }
  if (name == "--version") {
    PrintVersion();
    return ExitCode::Success;
  }
  for (const auto& it : commands) {
    if (it->Name() == name) {
      return RunCommand(*it, { aArguments.begin() + 1, aArguments.end() });
    }
  }
  std::cerr << "skylarkhill: unknown command '" << name << "'\n";
  PrintOverview(std::cerr, commands);
  return ExitCode::UsageError;
}

} // namespace skylarkhill::cli
