#include <boost/program_options.hpp>
#include <easylogging++.h>

#include <cstdint>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string>

#include "platform/testing/soak.hpp"

INITIALIZE_EASYLOGGINGPP

namespace {

namespace options = boost::program_options;
using namespace skylarkhill::adapter::testing;

struct Arguments
{
  std::uint64_t mFirstSeed = 1;
  std::uint64_t mSeeds = 1;
  int mFaultSeconds = 20;
  SoakOptions mSoak;
};

/// Runs one seed, in a directory of its own, and prints what it shows. True if
/// all promises were kept.
bool
RunSeed(const Arguments& aArguments, std::uint64_t aSeed)
{
  SoakOptions soak = aArguments.mSoak;
  soak.mSeed = aSeed;
  soak.mFaultTime = std::chrono::seconds(aArguments.mFaultSeconds);
  soak.mDirectory += "/seed-" + std::to_string(aSeed);
  std::filesystem::create_directories(soak.mDirectory);
  const SoakReport report = RunSoak(soak);
  const SoakRecord::Counts& counts = report.mCounts;
  std::cout << "seed " << aSeed << ": " << counts.mJobs << " jobs, "
            << counts.mAccepted << " accepted, " << counts.mRefused
            << " refused, " << counts.mCancelled << " cancelled, "
            << counts.mStarts << " starts, " << report.mCells << " cells, "
            << report.mFindings.size() << " findings" << std::endl;
  if (report.mFindings.empty()) {
    std::filesystem::remove_all(soak.mDirectory);
    return true;
  }
  for (const auto& it : report.mFaults) {
    std::cout << "  " << it << "\n";
  }
  for (const auto& it : report.mFindings) {
    std::cout << "  " << it << "\n";
  }
  std::cout << "  logs: " << soak.mDirectory << std::endl;
  return false;
}

bool
ParseArguments(int aCount, char** aWords, Arguments& aArguments)
{
  options::options_description description(
    "Runs real instances with random faults and checks what callers and "
    "workers see");
  auto add = description.add_options();
  add("help", "prints this text");
  add("program",
      options::value(&aArguments.mSoak.mProgram)->required(),
      "path of skylarkhill");
  add("directory",
      options::value(&aArguments.mSoak.mDirectory)->required(),
      "where the logs of seeds with findings stay");
  add("first-seed", options::value(&aArguments.mFirstSeed), "first seed");
  add("seeds", options::value(&aArguments.mSeeds), "number of seeds");
  add("fault-seconds",
      options::value(&aArguments.mFaultSeconds),
      "how long faults are injected");
  add("leader-series",
      options::value(&aArguments.mSoak.mLeaderSeries),
      "how often workers die and the leader changes in a series after that");
  add("fill",
      options::value(&aArguments.mSoak.mFill),
      "part of the processors that lasting jobs use, in percent");
  add("restarts",
      options::value(&aArguments.mSoak.mHasRestarts),
      "0: no restarts of many workers at once");
  add("instances", options::value(&aArguments.mSoak.mInstances), "instances");
  add("workers", options::value(&aArguments.mSoak.mWorkers), "workers");
  add("callers", options::value(&aArguments.mSoak.mCallers), "callers");
  add("domains",
      options::value(&aArguments.mSoak.mDomains),
      "failure domains, at most 5");
  add("workers-per-cell",
      options::value(&aArguments.mSoak.mWorkersPerCell),
      "workers that one leader is meant for; 0: the site is one cell");
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aWords, description),
                 values);
  if (values.count("help") != 0) {
    std::cout << description << std::endl;
    return false;
  }
  options::notify(values);
  return true;
}

} // namespace

/// Exit code 0: no findings, 1: findings, 2: the soak could not run.
int
main(int aCount, char** aWords)
{
  try {
    Arguments arguments;
    if (!ParseArguments(aCount, aWords, arguments)) {
      return 0;
    }
    bool isKept = true;
    for (std::uint64_t n = 0; n < arguments.mSeeds; ++n) {
      isKept = RunSeed(arguments, arguments.mFirstSeed + n) && isKept;
    }
    return isKept ? 0 : 1;
  } catch (const std::exception& e) {
    std::cerr << "soak: " << e.what() << std::endl;
    return 2;
  }
}
