#ifndef SKYLARKHILL_TESTING_SCENARIO_RUNNER_HPP
#define SKYLARKHILL_TESTING_SCENARIO_RUNNER_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkhill::testing {

struct ScenarioOptions
{
  std::string mName;
  /// Holds scenarios/<name>.lua and scenarios/lib/site.lua.
  std::string mSourceDirectory;
  /// Holds the programs and receives the logs of the processes.
  std::string mBinaryDirectory;
  /// Third octet of the scenario's loopback addresses: 127.3.<network>.x.
  int mNetwork = 1;
  std::uint64_t mSeed = 1;
};

struct ScenarioResult
{
  /// Empty if the scenario passed.
  std::string mFailure;
  /// Lines that the script passed to native.report.
  std::vector<std::string> mReports;
};

/// The names of all scenarios below `aSourceDirectory`, sorted.
std::vector<std::string>
ListScenarios(const std::string& aSourceDirectory);

/// Runs one scenario with real processes that communicate over loopback, and
/// kills the processes at its end.
ScenarioResult
RunScenario(const ScenarioOptions& aOptions);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_SCENARIO_RUNNER_HPP
