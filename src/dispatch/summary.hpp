#ifndef SKYLARKHILL_DISPATCH_SUMMARY_HPP
#define SKYLARKHILL_DISPATCH_SUMMARY_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/cells/cell_load.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

#include "placement.hpp"
#include "state.hpp"

namespace skylarkhill::dispatch {

/// Work of the dispatcher since the last summary.
struct DispatchWork
{
  std::int64_t mReports = 0;
  std::int64_t mStarts = 0;
  /// First starts of runs of lasting tasks, and those among them of tasks that
  /// have had a run before.
  std::int64_t mLastingStarts = 0;
  std::int64_t mLastingRestarts = 0;
  /// First starts of backfill runs.
  std::int64_t mBackfillStarts = 0;
  std::int64_t mStops = 0;
  std::int64_t mPlacementRounds = 0;
  /// Workers that were considered for a task, over all tasks.
  std::int64_t mCandidates = 0;
};

/// Returns room and demand of each pool.
cells::CellLoad
MeasureLoad(const std::vector<StepState*>& aReadySteps,
            const WorkerMap& aWorkers,
            base::TimePoint aNow);

/// Logs the numbers of waiting and running tasks, of tasks below full pace and
/// of service tasks above their tail latency target, how long backfill and
/// lasting tasks have waited, and what is left on workers that accept starts.
/// `aAreReportsMissing`: tasks with earlier runs are held back.
void
LogDispatchSummary(std::size_t aJobCount,
                   const std::vector<StepState*>& aReadySteps,
                   const WorkerMap& aWorkers,
                   bool aAreReportsMissing,
                   base::TimePoint aNow);

/// Logs the work since the last summary and the age of the oldest report of a
/// registered worker.
void
LogDispatchWork(const DispatchWork& aWork,
                const WorkerMap& aWorkers,
                base::TimePoint aNow);

/// Logs the worker without a report whose lease from an earlier leader ends
/// last: tasks of earlier terms wait for it.
void
LogMissingReports(const WorkerMap& aWorkers, base::TimePoint aNow);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_SUMMARY_HPP
