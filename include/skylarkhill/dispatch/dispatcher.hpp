#ifndef SKYLARKHILL_DISPATCH_DISPATCHER_HPP
#define SKYLARKHILL_DISPATCH_DISPATCHER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/cells/cell_load.hpp"
#include "skylarkhill/dispatch/worker.hpp"
#include "skylarkhill/jobs/idle_tasks.hpp"
#include "skylarkhill/jobs/job.hpp"
#include "skylarkhill/jobs/job_table.hpp"
#include "skylarkhill/metrics/registry.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkhill::dispatch {

/// No other instance claims the leadership sooner after a confirmed record.
inline constexpr base::Duration kMinTakeoverTime =
  std::chrono::milliseconds(2000);

/// Limits from the settings file.
struct DispatchLimits
{
  /// Longest lease that a worker accepts.
  base::Duration mMaxLease = std::chrono::milliseconds(6000);
  /// How long a service task colocated with backfill may exceed its tail
  /// latency target.
  base::Duration mMaxTailViolation = std::chrono::milliseconds(4000);
  /// Maximum number of tasks whose progress is stored in one record.
  int mMaxTasksPerRecord = 512;
};

/// The jobs of a cell of a site with several cells.
class JobDirectory
{
public:
  virtual ~JobDirectory() = default;

  /// True if a leader of the cell may have started tasks of the job.
  virtual bool MayHaveRun(const std::string& aJobId) const = 0;
};

/// Initial state of a leader's term.
struct Term
{
  /// Fencing token of this term, one above that of the previous leader.
  std::int64_t mEpoch = 1;
  /// Worker leases that earlier leaders granted end by this time.
  base::TimePoint mPreviousLeasesEndAt;
  /// Null if the site has one cell. Must outlive the dispatcher.
  const JobDirectory* mJobs = nullptr;
  /// Tasks of earlier terms that have no run.
  std::vector<jobs::IdleStep> mIdleSteps;
};

/// Id of a job and its progress that must become durable.
using DirtyJob = std::pair<std::string, jobs::JobProgress>;

/// A job that waits for its first start.
struct UnstartedJob
{
  std::string mId;
  /// When the dispatcher got the job.
  base::TimePoint mAddedAt;
};

/// Lasting tasks of one step for which no worker has room.
struct UnplacedTasks
{
  std::string mJobId;
  int mOccurrence = 0;
  int mStep = 0;
  std::string mPool;
  /// The label that a worker must have; empty for any worker.
  std::string mLabel;
  /// Thousandths of a processor that one task requests.
  std::int64_t mProcessors = 0;
  /// Number of the tasks.
  int mCount = 0;
  base::TimePoint mNoRoomSince;
  /// No task of the job can have been started, so that the whole job may move.
  bool mIsUnstarted = false;
  /// Lasting tasks leave room for one of the tasks on a worker, but for tasks
  /// that end.
  bool mMayGetRoom = false;
};

/// A worker that does not answer polls.
struct SilentWorker
{
  std::string mId;
  /// Latest time at which a lease of the worker ends.
  base::TimePoint mLeaseEndsAt;
};

/// Assigns tasks to workers. Not thread-safe; all I/O goes through the CallSink
/// and all times are passed in.
class Dispatcher
{
public:
  virtual ~Dispatcher() = default;

  /// Adds a worker or replaces its entry.
  virtual void SetWorker(const WorkerEntry& aEntry, base::TimePoint aNow) = 0;
  /// The worker is no longer in the registry. It gets no more starts and is
  /// removed once it is silent, has no runs and its lease has expired.
  virtual void OnWorkerUnregistered(const std::string& aWorkerId,
                                    base::TimePoint aNow) = 0;
  /// If false, the worker is polled, but gets no starts, and its lease is not
  /// extended: the next leader could not take it into account. True for a new
  /// worker.
  virtual void SetMayExtendLease(const std::string& aWorkerId,
                                 bool aMayExtend,
                                 base::TimePoint aNow) = 0;
  /// No lease of the worker that an earlier leader has granted ends later. By
  /// default, Term::mPreviousLeasesEndAt holds for it.
  virtual void SetEarlierLeaseEnd(const std::string& aWorkerId,
                                  base::TimePoint aEndsAt) = 0;
  /// An earlier leader knew that this incarnation of the worker owes nothing,
  /// see FindIdleIncarnation, and no leader has started anything on the worker
  /// since; empty if that is not known. AreReportsComplete does not wait for
  /// the worker unless the registry lists it. No effect once the worker has
  /// reported.
  virtual void SetIdleIncarnation(
    const std::string& aWorkerId,
    std::optional<std::int64_t> aIncarnationStartMs,
    base::TimePoint aNow) = 0;
  /// The incarnation of the worker that owes nothing: no task of this cell runs
  /// on it, no start without an answer may still be carried out, and all ends
  /// that it has listed are durable. Also one that this leader has given up: it
  /// is silent, its lease has ended, and its tasks are started elsewhere. Empty
  /// if that is not known.
  virtual std::optional<std::int64_t> FindIdleIncarnation(
    const std::string& aWorkerId,
    base::TimePoint aNow) const = 0;
  /// Workers whose last poll has failed.
  virtual std::vector<SilentWorker> ListSilent() const = 0;
  /// True if the worker has answered its last poll. False if the worker has
  /// been removed.
  virtual bool Answers(const std::string& aWorkerId) const = 0;
  /// Latest time at which a lease of any worker ends if none is extended after
  /// `aNow`; kNoDeadline if another leader may extend one.
  virtual base::TimePoint LeasesEndAt(base::TimePoint aNow) const = 0;
  /// False once the worker has been removed.
  virtual bool HasWorker(const std::string& aWorkerId) const = 0;
  /// Adds a job, or the borrowed tasks of a job of another cell. Of a job that
  /// is known, adds borrowed tasks that are new. `aIsFromEarlierTerm` is true
  /// if the job may have been accepted before this term.
  virtual void AddJob(const jobs::JobEntry& aJob,
                      bool aIsFromEarlierTerm,
                      base::TimePoint aNow) = 0;
  virtual bool HasJob(const std::string& aJobId) const = 0;
  virtual void CancelJob(const std::string& aJobId, base::TimePoint aNow) = 0;

  /// Jobs of which no task can have been started.
  virtual std::vector<UnstartedJob> ListUnstarted() const = 0;
  /// Forgets a job. Returns false, and keeps the job, if a task of it may have
  /// been started.
  virtual bool ReleaseJob(const std::string& aJobId) = 0;
  /// Lasting tasks that have found no worker since `aSince` and that no worker
  /// can have, in the order in which other cells should borrow them.
  virtual std::vector<UnplacedTasks> ListUnplaced(
    base::TimePoint aSince,
    base::TimePoint aNow) const = 0;
  /// Leaves up to `aMaxCount` of the tasks to another cell and returns them.
  /// Starts none of them again. The job counts as started from then on.
  virtual jobs::StepProgress LendTasks(const UnplacedTasks& aTasks,
                                       int aMaxCount) = 0;
  /// Waiting tasks of started jobs that cannot have a run, also not by a start
  /// without an answer. Lasting tasks come first.
  virtual std::vector<jobs::IdleStep> ListIdle(base::TimePoint aNow) const = 0;
  /// Room and demand of the workers of this dispatcher.
  virtual cells::CellLoad Load(base::TimePoint aNow) const = 0;

  /// A poll sent at `aSentAt` was answered.
  virtual void OnReport(const std::string& aWorkerId,
                        const WorkerReport& aReport,
                        base::TimePoint aSentAt,
                        base::TimePoint aNow) = 0;
  /// A poll failed or its answer was unusable.
  virtual void OnPollFailed(const std::string& aWorkerId,
                            base::TimePoint aNow) = 0;
  /// The worker refused a call because it has seen a higher fencing token.
  virtual void OnFenced(const std::string& aWorkerId) = 0;
  virtual void OnStartResult(const StartCall& aCall,
                             const StartResult& aResult,
                             base::TimePoint aNow) = 0;
  virtual void OnStopResult(const StopCall& aCall,
                            CallOutcome aOutcome,
                            base::TimePoint aNow) = 0;
  virtual void OnPaceResult(const PaceCall& aCall,
                            CallOutcome aOutcome,
                            base::TimePoint aNow) = 0;

  /// `aAdvice` is empty if the advice service gave no usable answer.
  virtual void OnAdviceResult(const AdviceCall& aCall,
                              const std::optional<Advice>& aAdvice,
                              base::TimePoint aNow) = 0;

  /// No other instance took over the leadership before `aConfirmedAt`. Calls
  /// may be sent until `aUntil`, and no lease is extended beyond it.
  virtual void SetLeaderLease(base::TimePoint aConfirmedAt,
                              base::TimePoint aUntil) = 0;
  /// When a lease ends that keeps tasks waiting until the leadership has been
  /// confirmed after its end; kNoDeadline if there is none. Updated by Tick.
  virtual base::TimePoint ConfirmationNeededAt() const = 0;
  /// If false, Tick places and starts no tasks; stops and polls go on.
  virtual void SetMayStart(bool aMayStart) = 0;
  /// Sends all calls that are due. `aUnixMs` is the Unix time.
  virtual void Tick(base::TimePoint aNow, std::int64_t aUnixMs) = 0;
  /// Time at which Tick must be called next.
  virtual base::TimePoint NextTickAt() const = 0;

  /// True if TakeDirty would return jobs.
  virtual bool IsDirty() const = 0;
  /// Returns a batch number and the jobs whose progress has changed since the
  /// last call.
  virtual std::pair<std::uint64_t, std::vector<DirtyJob>> TakeDirty() = 0;
  /// The batch is durable: ended runs that it covers may be acknowledged to
  /// their workers.
  virtual void OnDurable(std::uint64_t aBatch, base::TimePoint aNow) = 0;

  /// Serialises the interference estimates for the next leader, at most
  /// `aMaxBytes` of them.
  virtual std::string ExportModel(std::size_t aMaxBytes) const = 0;
  /// Loads estimates that ExportModel of an earlier leader returned. Malformed
  /// bytes are logged and ignored.
  virtual void ImportModel(std::string_view aBytes) = 0;

  /// True once no worker can have a run of an earlier term that it has not
  /// reported, so that the room of the workers is known.
  virtual bool AreReportsComplete() const = 0;

  /// True once a worker has refused the fencing token of this term.
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
