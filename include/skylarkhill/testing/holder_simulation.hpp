#ifndef SKYLARKHILL_TESTING_HOLDER_SIMULATION_HPP
#define SKYLARKHILL_TESTING_HOLDER_SIMULATION_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkhill::testing {

/// What one run does differently from the correct program and network.
struct HolderSimulationOptions
{
  /// Messages may take longer than the maximum message delay.
  bool mLateMessages = false;
  /// Appends to the log may take effect seconds later.
  bool mDelaysAppends = false;
  /// Share of commands that take almost the maximum message delay.
  int mSlowCommandPercent = 15;
  /// Workers restart and forget tasks and leases.
  bool mRestartsWorkers = false;
  /// The only guard that the workers may have.
  bool mWorkerChecksNotAfter = true;
  /// Mechanisms of the program; false removes one.
  bool mVerifiesLease = true;
  bool mHasClockMargin = true;
  bool mHasQuietPeriod = true;
  bool mPreventsRepeatedStarts = true;
  bool mChecksLeaseBeforeSend = true;
  bool mReleasesInheritedGrants = true;
  bool mQuietPeriodCoversLease = true;
};

struct HolderSimulationResult
{
  /// The first violated invariant; empty if there is none.
  std::string mViolation;
  /// The last events before the end of the run.
  std::vector<std::string> mTrace;
  std::size_t mTasksEnded = 0;
  std::size_t mAcquisitions = 0;
  std::size_t mStarts = 0;
};

/// Runs lease machines, ledgers and task runners of three entry instances
/// against two workers and a log for 90 simulated seconds, with message loss,
/// duplication and delay, crashes, pauses, stuck connections, skewed clocks,
/// log outages, evictions and cancellations. Checks the invariants after every
/// event. The run depends on the arguments only.
HolderSimulationResult
RunHolderSimulation(std::uint64_t aSeed,
                    const HolderSimulationOptions& aOptions);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_HOLDER_SIMULATION_HPP
