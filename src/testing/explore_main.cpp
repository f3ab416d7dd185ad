#include "skylarkhill/testing/holder_simulation.hpp"
#include "skylarkhill/testing/site_simulation.hpp"

#include <boost/program_options.hpp>
#include <easylogging++.h>

#include <algorithm>
#include <cstdint>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

INITIALIZE_EASYLOGGINGPP

namespace {

namespace options = boost::program_options;
using namespace skylarkhill::testing;

/// A mechanism that --remove disables.
struct Mechanism
{
  /// Value of --remove.
  const char* mName;
  bool SiteSimulationOptions::*mMember;
  /// Only late messages cause violations without it.
  bool mNeedsLateMessages = false;
};

constexpr Mechanism kMechanisms[] = {
  { "not_after", &SiteSimulationOptions::mWorkerChecksNotAfter, true },
  { "verify", &SiteSimulationOptions::mVerifiesLease },
  { "quiet_period", &SiteSimulationOptions::mHasQuietPeriod },
  { "check_before_send", &SiteSimulationOptions::mChecksLeaseBeforeSend },
  { "read_intent_back", &SiteSimulationOptions::mReadsIntentBack },
  { "read_accept_back", &SiteSimulationOptions::mReadsAcceptBack },
  { "read_verdict_back", &SiteSimulationOptions::mReadsPublishOutcomeBack },
  { "match_answers", &SiteSimulationOptions::mMatchesRequestIds },
  { "snapshots", &SiteSimulationOptions::mWritesSnapshots },
  { "see_leaving", &SiteSimulationOptions::mObservesLeavingWorkers },
  { "release_inherited", &SiteSimulationOptions::mReleasesInheritedGrants },
};

struct Arguments
{
  std::uint64_t mSeeds = 100;
  std::uint64_t mFirstSeed = 1;
  std::string mSimulation = "site";
  std::string mRemovedMechanism;
  bool mLateMessages = false;
  bool mSkipsNotAfterCheck = false;
};

/// Sets `aOptions`; false if the mechanism to remove is unknown.
bool
ApplyArguments(const Arguments& aArguments, SiteSimulationOptions& aOptions)
{
  aOptions.mLateMessages = aArguments.mLateMessages;
  aOptions.mWorkerChecksNotAfter = !aArguments.mSkipsNotAfterCheck;
  if (aArguments.mRemovedMechanism.empty()) {
    return true;
  }
  for (const Mechanism& it : kMechanisms) {
    if (aArguments.mRemovedMechanism == it.mName) {
      aOptions.*it.mMember = false;
      aOptions.mLateMessages |= it.mNeedsLateMessages;
      return true;
    }
  }
  return false;
}

/// Prints the violation and the trace; true if there is no violation.
bool
PrintViolation(std::uint64_t aSeed,
               const std::string& aViolation,
               const std::vector<std::string>& aTrace)
{
  if (aViolation.empty()) {
    return true;
  }
  std::cout << "seed " << aSeed << ": " << aViolation << '\n';
  for (const auto& it : aTrace) {
    std::cout << "  " << it << '\n';
  }
  return false;
}

int
Explore(const Arguments& aArguments, const SiteSimulationOptions& aOptions)
{
  SiteSimulationResult sum;
  for (std::uint64_t n = 0; n < aArguments.mSeeds; ++n) {
    const std::uint64_t seed = aArguments.mFirstSeed + n;
    if (aArguments.mSimulation == "holder") {
      HolderSimulationOptions holderOptions;
      holderOptions.mLateMessages = aArguments.mLateMessages;
      holderOptions.mWorkerChecksNotAfter = !aArguments.mSkipsNotAfterCheck;
      holderOptions.mVerifiesLease = aOptions.mVerifiesLease;
      holderOptions.mChecksLeaseBeforeSend = aOptions.mChecksLeaseBeforeSend;
      const HolderSimulationResult run =
        RunHolderSimulation(seed, holderOptions);
      if (!PrintViolation(seed, run.mViolation, run.mTrace)) {
        return 1;
      }
      sum.mTasksEnded += run.mTasksEnded;
      sum.mStarts += run.mStarts;
      continue;
    }
    const SiteSimulationResult run = RunSiteSimulation(seed, aOptions);
    if (!PrintViolation(seed, run.mViolation, run.mTrace)) {
      return 1;
    }
    sum.mTasksEnded += run.mTasksEnded;
    sum.mStarts += run.mStarts;
    sum.mCompletedRequests += run.mCompletedRequests;
    sum.mExecutedKeys += run.mExecutedKeys;
    sum.mPublishOutcomes += run.mPublishOutcomes;
    sum.mSnapshots += run.mSnapshots;
  }
  std::cout << aArguments.mSeeds << " seeds from " << aArguments.mFirstSeed
            << ", simulation " << aArguments.mSimulation
            << ": no violation; tasks ended " << sum.mTasksEnded << ", starts "
            << sum.mStarts << ", requests completed " << sum.mCompletedRequests
            << ", keys executed " << sum.mExecutedKeys << ", publish outcomes "
            << sum.mPublishOutcomes << ", snapshots " << sum.mSnapshots << '\n';
  return 0;
}

int
Run(int aCount, char** aValues)
{
  Arguments arguments;
  options::options_description description(
    "Runs randomized fault simulations and checks their invariants");
  auto add = description.add_options();
  add("help", "print this text");
  add("seeds",
      options::value(&arguments.mSeeds)->default_value(100),
      "number of seeds");
  add("first",
      options::value(&arguments.mFirstSeed)->default_value(1),
      "first seed");
  add("world",
      options::value(&arguments.mSimulation)->default_value("site"),
      "simulation to run: site or holder");
  add("remove",
      options::value(&arguments.mRemovedMechanism),
      "mechanism to disable: not_after (enables late messages), verify, "
      "quiet_period, check_before_send, read_intent_back, read_accept_back, "
      "read_verdict_back, match_answers, snapshots, see_leaving or "
      "release_inherited; the holder simulation accepts only verify and "
      "check_before_send");
  add("late-messages",
      options::bool_switch(&arguments.mLateMessages),
      "messages may exceed the maximum message delay");
  add("without-guard",
      options::bool_switch(&arguments.mSkipsNotAfterCheck),
      "workers do not check not_after; does not enable late messages");
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aValues, description),
                 values);
  options::notify(values);
  if (values.count("help") != 0) {
    std::cout << description;
    return 0;
  }
  SiteSimulationOptions siteOptions;
  const bool isKnownWorld =
    arguments.mSimulation == "site" || arguments.mSimulation == "holder";
  const bool isRemovable = arguments.mRemovedMechanism.empty() ||
                           arguments.mSimulation == "site" ||
                           arguments.mRemovedMechanism == "verify" ||
                           arguments.mRemovedMechanism == "check_before_send";
  if (!isKnownWorld || !isRemovable ||
      !ApplyArguments(arguments, siteOptions)) {
    std::cerr
      << "--world is unknown, or the simulation does not support the value of "
         "--remove; see --help\n";
    return 2;
  }
  return Explore(arguments, siteOptions);
}

} // namespace

int
main(int aCount, char** aValues)
{
  try {
    return Run(aCount, aValues);
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
}
