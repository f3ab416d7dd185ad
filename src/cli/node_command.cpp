#include "skylarkhill/cells/cell_map.hpp"
#include "skylarkhill/cli/command.hpp"
#include "skylarkhill/logging/logging.hpp"

#include <csignal>
#include <iostream>

#include "platform/instance.hpp"
#include "platform/settings.hpp"

namespace skylarkhill::cli {

namespace {

namespace po = boost::program_options;

class NodeCommand : public Command
{
public:
  std::string_view Name() const override { return "node"; }
  std::string_view Summary() const override
  {
    return "run an entry instance with SKYLARKHILL_SETTINGS until SIGTERM or "
           "SIGINT";
  }
  void AddOptions(po::options_description& aOptions,
                  po::positional_options_description&) const override
  {
    aOptions.add_options()("metrics-port",
                           po::value<std::uint16_t>()->default_value(0),
                           "port that serves metrics, or 0 for none")(
      "log-level",
      po::value<std::string>()->default_value("info"),
      "debug, info, warning or error")(
      "workers-per-cell",
      po::value<int>()->default_value(cells::CellLimits{}.mWorkersPerCell),
      "workers that one leader is meant for, at least 1")(
      "check-settings", "check the settings and exit");
  }

  ExitCode Run(const po::variables_map& aOptions) const override
  {
    const auto level =
      logging::ParseLevel(aOptions["log-level"].as<std::string>());
    if (!level) {
      std::cerr << "unknown log level; use debug, info, warning or error\n";
      return ExitCode::UsageError;
    }
    const int workersPerCell = aOptions["workers-per-cell"].as<int>();
    if (workersPerCell < 1) {
      std::cerr << "--workers-per-cell must be at least 1\n";
      return ExitCode::UsageError;
    }
    auto settings = adapter::LoadInstanceSettings();
    if (!settings) {
      std::cerr << settings.error().mDetail << "\n";
      return ExitCode::Failure;
    }
    if (aOptions.count("check-settings") != 0) {
      std::cout << "the settings are valid\n";
      return ExitCode::Success;
    }
    settings.value().mWorkersPerCell = workersPerCell;
    logging::ConfigureLogging(*level);
    return Serve(settings.value(),
                 aOptions["metrics-port"].as<std::uint16_t>());
  }

private:
  static ExitCode Serve(const adapter::PlatformInstanceSettings& aSettings,
                        std::uint16_t aMetricsPort)
  {
    // The signals are blocked before the first thread starts, so that all
    // threads inherit the mask and only sigwait receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const auto instance = adapter::CreateInstance(aSettings, aMetricsPort);
    const auto started = instance->Start();
    if (!started) {
      std::cerr << base::NameOf(started.error().mKind) << ": "
                << started.error().mDetail << "\n";
      return ExitCode::Failure;
    }
    int signalNumber = SIGHUP;
    while (signalNumber == SIGHUP) {
      sigwait(&signals, &signalNumber);
      if (signalNumber == SIGHUP) {
        // Only logged: the settings are read at the start.
        logging::Write(logging::Level::Info, "settings_reload_requested", {});
      }
    }
    instance->Drain();
    return ExitCode::Success;
  }
};

} // namespace

std::unique_ptr<Command>
CreateNodeCommand()
{
  return std::make_unique<NodeCommand>();
}

} // namespace skylarkhill::cli
