#ifndef SKYLARKHILL_DISPATCH_DISPATCHER_HPP
#define SKYLARKHILL_DISPATCH_DISPATCHER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/dispatch/worker.hpp"
#include "skylarkhill/jobs/job.hpp"
#include "skylarkhill/jobs/job_table.hpp"
#include "skylarkhill/metrics/registry.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkhill::dispatch {

/// Bounds that the site sets.
struct DispatchLimits
{
  /// Longest lease that a worker grants.
  base::Duration mMaxLease = std::chrono::milliseconds(6000);
  /// How long a service task may exceed its tail target beside backfill.
  base::Duration mMaxTailViolation = std::chrono::milliseconds(4000);
};

/// How a dispatcher begins its term as the leader.
struct Term
{
  /// Highest fencing token that any leader has used before is one less.
  std::int64_t mEpoch = 1;
  /// No earlier leader extends the lease of any worker beyond this time.
  base::TimePoint mPreviousLeasesEndAt;
};

/// Progress of one job that has to become durable.
using DirtyJob = std::pair<std::string, jobs::JobProgress>;

/// Decides which worker runs which task. Belongs to one thread; has no socket
/// and no clock of its own.
class Dispatcher
{
public:
  virtual ~Dispatcher() = default;

  /// Adds a worker or replaces its entry.
  virtual void SetWorker(const WorkerEntry& aEntry, base::TimePoint aNow) = 0;
  /// The registry lists this worker no longer.
  virtual void RemoveWorker(const std::string& aWorkerId,
                            base::TimePoint aNow) = 0;
  /// Adds a job. `aIsInherited`: an earlier leader may have started its tasks.
  virtual void AddJob(const jobs::JobRecord& aJob,
                      bool aIsInherited,
                      base::TimePoint aNow) = 0;
  virtual void CancelJob(const std::string& aJobId, base::TimePoint aNow) = 0;

  virtual void OnReport(const std::string& aWorkerId,
                        const WorkerReport& aReport,
                        base::TimePoint aSentAt,
                        base::TimePoint aNow) = 0;
  /// A poll got no usable answer.
  virtual void OnPollFailed(const std::string& aWorkerId,
                            base::TimePoint aNow) = 0;
  /// The worker has seen a later term and refused a call for that reason.
  virtual void OnFenced(const std::string& aWorkerId) = 0;
  virtual void OnStartResult(const StartCall& aCall,
                             StartOutcome aOutcome,
                             base::TimePoint aNow) = 0;
  virtual void OnStopResult(const StopCall& aCall,
                            CallOutcome aOutcome,
                            base::TimePoint aNow) = 0;
  virtual void OnPaceResult(const PaceCall& aCall,
                            CallOutcome aOutcome,
                            base::TimePoint aNow) = 0;

  /// Nothing: the advice service has not answered.
  virtual void OnAdviceResult(const AdviceCall& aCall,
                              const std::optional<Advice>& aAdvice,
                              base::TimePoint aNow) = 0;

  /// No other node has led before `aConfirmedAt`; orders may be given and
  /// leases extended until `aUntil`.
  virtual void SetLeadershipLease(base::TimePoint aConfirmedAt,
                                  base::TimePoint aUntil) = 0;
  /// Gives all orders that are due. `aUnixMs` is the time of day.
  virtual void Tick(base::TimePoint aNow, std::int64_t aUnixMs) = 0;
  /// The time of the next Tick without an event before it.
  virtual base::TimePoint NextTick() const = 0;

  /// True if TakeDirty has jobs to return.
  virtual bool IsDirty() const = 0;
  /// Jobs whose progress changed since the last call, and the number of this
  /// batch. Empty: nothing has changed.
  virtual std::pair<std::uint64_t, std::vector<DirtyJob>> TakeDirty() = 0;
  /// The batch is durable, so that the ends in it may be acknowledged.
  virtual void OnDurable(std::uint64_t aBatch, base::TimePoint aNow) = 0;

  /// What has been learned about images that share workers, for a successor.
  virtual std::string ExportModel() const = 0;
  /// Takes over what ExportModel of an earlier leader has returned. Other
  /// bytes are skipped with a log line.
  virtual void ImportModel(std::string_view aBytes) = 0;

  /// True once a worker has refused an call of this term.
  virtual bool IsFenced() const = 0;
};

/// `aSink` must outlive the dispatcher.
std::unique_ptr<Dispatcher>
CreateDispatcher(const DispatchLimits& aLimits,
                 const Term& aTerm,
                 CallSink& aSink,
                 metrics::Registry& aMetrics);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_DISPATCHER_HPP
