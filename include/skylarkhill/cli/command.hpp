#ifndef SKYLARKHILL_CLI_COMMAND_HPP
#define SKYLARKHILL_CLI_COMMAND_HPP

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::cli {

/// Exit codes of every subcommand.
enum class ExitCode
{
  Success = 0,
  /// The command failed or the request was refused.
  Failure = 1,
  /// The command line is invalid.
  UsageError = 2,
};

/// One subcommand.
class Command
{
public:
  virtual ~Command() = default;
  virtual std::string_view Name() const = 0;
  /// One line for the list of subcommands.
  virtual std::string_view Summary() const = 0;
  /// Adds the options of this subcommand.
  virtual void AddOptions(
    boost::program_options::options_description& aOptions,
    boost::program_options::positional_options_description& aPositional)
    const = 0;
  virtual ExitCode Run(
    const boost::program_options::variables_map& aOptions) const = 0;
};

std::unique_ptr<Command>
CreateEntryCommand();
std::unique_ptr<Command>
CreateNodeCommand();
std::unique_ptr<Command>
CreateCheckCommand();
std::unique_ptr<Command>
CreatePublishCommand();
std::unique_ptr<Command>
CreateSubmitCommand();
std::unique_ptr<Command>
CreateCancelCommand();
std::unique_ptr<Command>
CreateStatusCommand();
std::unique_ptr<Command>
CreateTimelineCommand();

/// All subcommands, in the order in which they are listed.
std::vector<std::unique_ptr<Command>>
CreateCommands();

/// Parses the command line and runs the subcommand that it names.
ExitCode
RunCommandLine(const std::vector<std::string>& aArguments);

} // namespace skylarkhill::cli

#endif // SKYLARKHILL_CLI_COMMAND_HPP
