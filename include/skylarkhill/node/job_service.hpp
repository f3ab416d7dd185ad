#ifndef SKYLARKHILL_NODE_JOB_SERVICE_HPP
#define SKYLARKHILL_NODE_JOB_SERVICE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/jobs/job_table.hpp"
#include "skylarkhill/journal/wall_clock.hpp"
#include "skylarkhill/metrics/registry.hpp"
#include "skylarkhill/node/cell_queries.hpp"
#include "skylarkhill/node/shared_log.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::node {

/// Tracks whether the log is reachable from this instance. Thread-safe.
class LogHealth
{
public:
  /// Records that a call succeeded.
  void SetReachable(base::TimePoint aNow);
  /// Records that an append or a read of the journal failed.
  void SetUnreachable(base::TimePoint aNow);
  /// True for a short time after a failed call unless one has succeeded since.
  bool IsUnreachable(base::TimePoint aNow) const;

private:
  std::atomic<std::int64_t> mReachableAt{ 0 };
  std::atomic<std::int64_t> mUnreachableAt{ 0 };
};

/// Next offset of a journal that has not been loaded yet.
inline constexpr std::int64_t kJournalNotLoaded = -1;

/// Submits, cancels and queries the jobs of one cell for the callers of this
/// instance. Thread-safe.
class JobService
{
public:
  JobService(jobs::JobTable& aJobs,
             BlockingLog& aLog,
             LogStream aJournal,
             const LogLimits& aLogLimits,
             const std::atomic<std::int64_t>& aNextJournalOffset,
             const base::Clock& aClock,
             const journal::WallClock& aWallClock,
             metrics::Registry& aMetrics);

  LogHealth& Health() { return mHealth; }
  /// False while this instance does not follow the journal: jobs can be
  /// submitted, but nothing is known about them.
  bool IsFollowed() const { return mIsFollowed; }
  /// To be called before the jobs are cleared, so that no answer is taken from
  /// a table that lacks what the journal has.
  void SetFollowed(bool aIsFollowed);
  /// Present time of the clock of the deadlines.
  base::TimePoint Now() const { return mClock.Now(); }
  /// True if the jobs of the journal are known.
  bool IsLoaded() const
  {
    return mIsFollowed && mNextJournalOffset != kJournalNotLoaded;
  }
  /// Age up to which a state in the journal counts as fresh.
  void SetMaxStateAge(base::Duration aAge)
  {
    mMaxStateAgeMicros =
      std::chrono::duration_cast<std::chrono::microseconds>(aAge).count();
  }
  /// Maximum age of the journal for a count of pending jobs.
  void SetMaxCountAge(base::Duration aAge)
  {
    mMaxCountAgeMicros =
      std::chrono::duration_cast<std::chrono::microseconds>(aAge).count();
  }
  const jobs::JobTable& Jobs() const { return mJobs; }

  /// Appends a job to the journal; succeeds if it is already there.
  /// InvalidArgument: the log cannot store the job. LogUnavailable: not
  /// accepted. OutcomeUnknown: the job may still be accepted.
  base::Result<void> Submit(const jobs::QueuePolicy& aPolicy,
                            const std::string& aJobId,
                            jobs::JobRequest aRequest,
                            base::TimePoint aDeadline);
  /// Cancels a job. NotFound: the cancellation is stored, but the journal has
  /// no such job; other errors as for Submit.
  base::Result<void> Cancel(const std::string& aJobId,
                            base::TimePoint aDeadline);
  /// Like Cancel, for a job that is known to be in the journal.
  base::Result<void> CancelKnown(const std::string& aJobId,
                                 base::TimePoint aDeadline);
  /// Appends the cancellation of a job that this cell may not know yet. Errors
  /// as for Submit.
  base::Result<void> StoreCancellation(const std::string& aJobId,
                                       base::TimePoint aDeadline);
  /// Reads and applies the journal records up to the current end; repeats reads
  /// that fail. LogUnavailable: the journal could not be read in time.
  base::Result<void> ReadToEnd(base::TimePoint aDeadline);
  /// State of a job; reads the journal if the job is not known yet, or not in a
  /// final state. Without access to the journal, the last known state.
  /// NotFound: no such job. LogUnavailable: the journal could not be read.
  base::Result<jobs::JobState> StateOf(const std::string& aJobId,
                                       base::TimePoint aDeadline);
  /// Like StateOf, with the cell that the job has moved to.
  base::Result<JobView> View(const std::string& aJobId,
                             base::TimePoint aDeadline);
  /// Reads the journal like ReadToEnd; the cells that the job has moved to or
  /// that have borrowed tasks of it. NotFound: the journal has neither the job
  /// nor tasks of it.
  base::Result<std::vector<int>> ListOtherCells(const std::string& aJobId,
                                                base::TimePoint aDeadline);
  /// Number of jobs of `aQueue` in the state Pending; reads the journal if it
  /// has not been read recently. LogUnavailable: the journal could not be read.
  base::Result<std::size_t> CountPending(std::string_view aQueue,
                                         base::TimePoint aDeadline);

private:
  /// Appends one record, retries on timeouts and returns its offset, or -1 if
  /// no append was answered. `aIsStored` returns true if the record has been
  /// read from the journal. InvalidArgument: the log cannot store the record.
  /// LogUnavailable: not stored. OutcomeUnknown: the record may have been or
  /// may still be stored.
  base::Result<std::int64_t> Append(std::string aKey,
                                    std::string aValue,
                                    base::TimePoint aDeadline,
                                    const std::function<bool()>& aIsStored);
  /// Reads and applies the journal records up to the current end.
  /// LogUnavailable: the journal could not be read.
  base::Result<void> CatchUp(base::TimePoint aDeadline);
  /// LogUnavailable if the instance has started or stopped following the
  /// journal since mGeneration had the value: the jobs may have been cleared.
  base::Result<void> CheckGeneration(std::uint64_t aGeneration) const;
  /// Like CatchUp, also if the log seems to be unreachable.
  base::Result<void> ReadOnce(base::TimePoint aDeadline);

  jobs::JobTable& mJobs;
  BlockingLog& mLog;
  const LogStream mJournal;
  const LogLimits mLogLimits;
  const std::atomic<std::int64_t>& mNextJournalOffset;
  const base::Clock& mClock;
  const journal::WallClock& mWallClock;
  metrics::Counter& mAccepted;
  metrics::Counter& mRefused;
  metrics::Counter& mUnknown;
  metrics::Counter& mCancelled;
  metrics::Distribution& mAppendSeconds;
  LogHealth mHealth;
  std::atomic<bool> mIsFollowed{ true };
  std::atomic<std::uint64_t> mGeneration{ 0 };
  std::atomic<std::int64_t> mMaxStateAgeMicros{ 100'000 };
  std::atomic<std::int64_t> mMaxCountAgeMicros{ 4'000'000 };
  /// Until then, mJobs is recent enough to be counted.
  std::atomic<std::int64_t> mCountableUntil{ 0 };
  /// Until then, the states in mJobs are recent enough to be shown.
  std::atomic<std::int64_t> mFreshUntil{ 0 };
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_JOB_SERVICE_HPP
