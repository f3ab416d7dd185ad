#ifndef SKYLARKHILL_TESTING_SITE_SIMULATION_HPP
#define SKYLARKHILL_TESTING_SITE_SIMULATION_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkhill::testing {

/// Mechanisms of the program; false removes one by falsified inputs.
struct SiteSimulationOptions
{
  /// Messages to workers may take longer than the maximum message delay.
  bool mLateMessages = false;
  bool mWorkerChecksNotAfter = true;
  bool mVerifiesLease = true;
  bool mHasQuietPeriod = true;
  bool mChecksLeaseBeforeSend = true;
  bool mReadsIntentBack = true;
  bool mReadsAcceptBack = true;
  bool mReadsPublishOutcomeBack = true;
  bool mMatchesRequestIds = true;
  bool mWritesSnapshots = true;
  bool mObservesLeavingWorkers = true;
  bool mReleasesInheritedGrants = true;
};

struct SiteSimulationResult
{
  /// The first violated invariant; empty if there is none.
  std::string mViolation;
  /// The last events before the end of the run.
  std::vector<std::string> mTrace;
  std::size_t mTasksEnded = 0;
  std::size_t mStarts = 0;
  std::size_t mCompletedRequests = 0;
  std::size_t mExecutedKeys = 0;
  std::size_t mPublishOutcomes = 0;
  std::size_t mSnapshots = 0;
};

/// Runs the decision logic of three entry instances against two workers and a
/// log: 30 simulated seconds with faults, then without until everything that
/// was accepted has finished. Checks the invariants after every event. The run
/// depends on the arguments only.
SiteSimulationResult
RunSiteSimulation(std::uint64_t aSeed, const SiteSimulationOptions& aOptions);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_SITE_SIMULATION_HPP
