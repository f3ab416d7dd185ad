#ifndef SKYLARKHILL_TESTING_SITE_SIMULATION_HPP
#define SKYLARKHILL_TESTING_SITE_SIMULATION_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkhill::testing {

/// Faults to add and mechanisms to disable. A mechanism is disabled in the
/// simulation; the simulated classes are unchanged.
struct SiteSimulationOptions
{
  /// Messages to workers may exceed the maximum message delay.
  bool mLateMessages = false;
  /// Workers refuse commands that arrive after their not_after time.
  bool mWorkerChecksNotAfter = true;
  /// After placing its lease, an instance checks that the worker lists no other
  /// holder.
  bool mVerifiesLease = true;
  /// A new holder starts nothing while commands of previous holders may arrive.
  bool mHasQuietPeriod = true;
  /// The lease is checked again just before a command is sent.
  bool mChecksLeaseBeforeSend = true;
  /// A request runs only after its intent record was read back from the log
  /// and is the one that claimed the key.
  bool mReadsIntentBack = true;
  /// A task is reported as accepted only after its record was read back.
  bool mReadsAcceptBack = true;
  /// A publisher is told the outcome that was read back from the log, not just
  /// that the append succeeded.
  bool mReadsPublishOutcomeBack = true;
  /// Answers with another request's id are dropped.
  bool mMatchesRequestIds = true;
  /// Instances append snapshots of tasks and keys before their records expire.
  bool mWritesSnapshots = true;
  /// Instances see in reports that a worker is leaving.
  bool mObservesLeavingWorkers = true;
  /// A new holder releases the grants of previous holders that do not run.
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
  /// Distinct request keys that ran at least once.
  std::size_t mExecutedKeys = 0;
  /// Publishes whose outcome was reported to the publisher.
  std::size_t mPublishOutcomes = 0;
  std::size_t mSnapshots = 0;
};

/// Simulates three entry instances, two fake workers and a fake log: 30 s of
/// simulated time with faults, then without faults until all accepted work has
/// ended, at most 90 s in total. Stops at the first violated invariant. The
/// same arguments always give the same run.
SiteSimulationResult
RunSiteSimulation(std::uint64_t aSeed, const SiteSimulationOptions& aOptions);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_SITE_SIMULATION_HPP
