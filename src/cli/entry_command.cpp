#include "skylarkhill/cli/command.hpp"
#include "skylarkhill/entry/entry_process.hpp"
#include "skylarkhill/logging/logging.hpp"
#include "skylarkhill/settings/settings.hpp"

#include <csignal>
#include <iostream>

namespace skylarkhill::cli {

namespace {

namespace po = boost::program_options;

logging::Level
ToLoggingLevel(settings::LogLevel aLevel)
{
  return logging::ParseLevel(settings::NameOf(aLevel))
    .value_or(logging::Level::Info);
}

class EntryCommand : public Command
{
public:
  std::string_view Name() const override { return "entry"; }
  std::string_view Summary() const override
  {
    return "run an entry instance with a settings file until SIGTERM or SIGINT";
  }
  void AddOptions(po::options_description& aOptions,
                  po::positional_options_description&) const override
  {
    aOptions.add_options()(
      "settings", po::value<std::string>()->required(), "settings file (TOML)")(
      "check-settings", "check the settings, print them and exit");
  }

  ExitCode Run(const po::variables_map& aOptions) const override
  {
    const auto loaded =
      settings::LoadSettings(aOptions["settings"].as<std::string>());
    if (!loaded) {
      std::cerr << loaded.error().mDetail << "\n";
      return ExitCode::Failure;
    }
    if (aOptions.count("check-settings") != 0) {
      std::cout << settings::FormatSettings(loaded.value());
      return ExitCode::Success;
    }
    logging::ConfigureLogging(ToLoggingLevel(loaded.value().mLogOutput.mLevel));
    return Serve(loaded.value());
  }

private:
  static ExitCode Serve(const settings::Settings& aSettings)
  {
    // The signals are blocked before the first thread starts, so that all
    // threads inherit the mask and only sigwait receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const auto process = entry::CreateEntryProcess(aSettings);
    const auto started = process->Start();
    if (!started) {
      std::cerr << base::NameOf(started.error().mKind) << ": "
                << started.error().mDetail << "\n";
      return ExitCode::Failure;
    }
    int signalNumber = 0;
    sigwait(&signals, &signalNumber);
    process->Drain();
    return ExitCode::Success;
  }
};

} // namespace

std::unique_ptr<Command>
CreateEntryCommand()
{
  return std::make_unique<EntryCommand>();
}

} // namespace skylarkhill::cli
