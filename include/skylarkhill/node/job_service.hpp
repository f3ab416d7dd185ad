#ifndef SKYLARKHILL_NODE_JOB_SERVICE_HPP
#define SKYLARKHILL_NODE_JOB_SERVICE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/jobs/job_table.hpp"
#include "skylarkhill/journal/wall_clock.hpp"
#include "skylarkhill/metrics/registry.hpp"
#include "skylarkhill/node/route_table.hpp"
#include "skylarkhill/node/shared_log.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace skylarkhill::node {

/// What the front knows about its access to the log. Thread-safe.
class LogHealth
{
public:
  /// A call was answered.
  void SetReachable(base::TimePoint aNow);
  /// A call was refused or not answered.
  void SetUnreachable(base::TimePoint aNow);
  /// True while calls are expected to fail.
  bool IsUnreachable(base::TimePoint aNow) const;

private:
  std::atomic<std::int64_t> mReachableAt{ 0 };
  std::atomic<std::int64_t> mUnreachableAt{ 0 };
};

/// The offset of a journal that has not been read yet.
inline constexpr std::int64_t kJournalNotLoaded = -1;

/// Serves the callers of this node. Thread-safe.
class JobService
{
public:
  JobService(jobs::JobTable& aJobs,
             BlockingLog& aLog,
             LogStream aJournal,
             const std::atomic<std::int64_t>& aNextJournalOffset,
             const base::Clock& aClock,
             const journal::WallClock& aWallClock,
             metrics::Registry& aMetrics);

  void SetRoutes(std::shared_ptr<const RouteTable> aRoutes);
  std::shared_ptr<const RouteTable> Routes() const;
  LogHealth& Health() { return mHealth; }

  /// Stores a job. NotFound: no such queue. LogUnavailable: not accepted.
  /// OutcomeUnknown: the job may be accepted later.
  base::Result<void> Submit(const jobs::QueuePolicy& aPolicy,
                            const std::string& aJobId,
                            jobs::JobRequest aRequest,
                            base::TimePoint aDeadline);
  /// Cancels a job. NotFound: no such job; otherwise as Submit.
  base::Result<void> Cancel(const std::string& aJobId,
                            base::TimePoint aDeadline);
  /// NotFound: no such job. LogUnavailable: not known here and the log cannot
  /// be asked.
  base::Result<jobs::JobState> StateOf(const std::string& aJobId,
                                       base::TimePoint aDeadline);
  /// Jobs of the queue that wait for their first task.
  std::size_t CountPending(std::string_view aQueue) const;

private:
  /// Repeats an append that is not answered. `aIsStored` tells whether its
  /// record was read back. LogUnavailable: nothing was stored.
  /// OutcomeUnknown: it may have been.
  base::Result<void> Append(std::string aKey,
                            std::string aValue,
                            base::TimePoint aDeadline,
                            const std::function<bool()>& aIsStored);
  /// Applies the journal up to its current end.
  base::Result<void> CatchUp(base::TimePoint aDeadline);

  jobs::JobTable& mJobs;
  BlockingLog& mLog;
  const LogStream mJournal;
  const std::atomic<std::int64_t>& mNextJournalOffset;
  const base::Clock& mClock;
  const journal::WallClock& mWallClock;
  metrics::Counter& mAccepted;
  metrics::Counter& mRefused;
  metrics::Counter& mUnknown;
  metrics::Counter& mCancelled;
  metrics::Distribution& mAppendSeconds;
  LogHealth mHealth;
  mutable std::mutex mRoutesLock;
  std::shared_ptr<const RouteTable> mRoutes;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_JOB_SERVICE_HPP
