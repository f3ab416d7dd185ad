#ifndef SKYLARKHILL_TESTING_HOLDER_SIMULATION_HPP
#define SKYLARKHILL_TESTING_HOLDER_SIMULATION_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkhill::testing {

/// Faults to add and mechanisms to disable.
struct HolderSimulationOptions
{
  /// Messages may exceed the maximum message delay.
  bool mLateMessages = false;
  /// Some appends to the log take effect up to 15 s later.
  bool mDelaysAppends = false;
  /// Percentage of commands with almost the maximum message delay.
  int mSlowCommandPercent = 15;
  /// Workers restart and lose their tasks and leases.
  bool mRestartsWorkers = false;
  /// Workers refuse commands that arrive after their not_after time; they check
  /// nothing else.
  bool mWorkerChecksNotAfter = true;
  /// After placing its lease, an instance checks that the worker lists no other
  /// holder.
  bool mVerifiesLease = true;
  /// Lease deadlines leave a margin for clock drift.
  bool mHasClockMargin = true;
  /// A new holder starts nothing while commands of previous holders may arrive.
  bool mHasQuietPeriod = true;
  /// An attempt is given up only when its start can no longer arrive.
  bool mWaitsForDelayedStarts = true;
  /// The lease is checked again just before a command is sent.
  bool mChecksLeaseBeforeSend = true;
  /// A new holder releases the grants of previous holders that do not run.
  bool mReleasesInheritedGrants = true;
  /// With restarts: the quiet period also covers a lease that a worker lost.
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

/// Simulates the lease machines, ledgers and task runners of three entry
/// instances, two workers and a log for 90 s of simulated time. Messages are
/// lost, duplicated and delayed; instances crash and pause; connections block;
/// clocks drift; the log fails; tasks are evicted and cancelled. Stops at the
/// first violated invariant. The same arguments always give the same run.
HolderSimulationResult
RunHolderSimulation(std::uint64_t aSeed,
                    const HolderSimulationOptions& aOptions);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_HOLDER_SIMULATION_HPP
