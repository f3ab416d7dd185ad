#include "summary.hpp"

#include "skylarkhill/logging/logging.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "colocation_model.hpp"
#include "lasting_rooms.hpp"

namespace skylarkhill::dispatch {

namespace {

/// Lasting tasks without a run.
struct LastingWait
{
  std::int64_t mTasks = 0;
  base::Duration mLongest{ 0 };
  /// Thousandths of a processor that one of the tasks requests that have waited
  /// longest.
  std::int64_t mProcessors = 0;
};

LastingWait
MeasureLastingWait(const std::vector<StepState*>& aReadySteps,
                   base::TimePoint aNow)
{
  LastingWait wait;
  for (const StepState* step : aReadySteps) {
    if (!step->mSpec->mIsService) {
      continue;
    }
    wait.mTasks += step->mWaitingCount;
    const base::TimePoint since = WaitsSince(*step);
    if (since != base::kNoDeadline && aNow - since > wait.mLongest) {
      wait.mLongest = aNow - since;
      wait.mProcessors = step->mSpec->mResources.mMilliProcessors;
    }
  }
  return wait;
}

/// Processors of the workers that accept starts, in thousandths.
struct AcceptingWorkers
{
  std::int64_t mWorkers = 0;
  std::int64_t mCapacity = 0;
  std::int64_t mReserved = 0;
  /// The most that is free on one of them.
  std::int64_t mLargestFree = 0;
};

AcceptingWorkers
MeasureAcceptingWorkers(const WorkerMap& aWorkers, base::TimePoint aNow)
{
  AcceptingWorkers accepting;
  for (const auto& [id, worker] : aWorkers) {
    if (!AcceptsStarts(*worker, aNow)) {
      continue;
    }
    const std::int64_t capacity = worker->mEntry.mCapacity.mMilliProcessors;
    const std::int64_t reserved = worker->mUsed.mMilliProcessors;
    ++accepting.mWorkers;
    accepting.mCapacity += capacity;
    accepting.mReserved += reserved;
    accepting.mLargestFree =
      std::max(accepting.mLargestFree, capacity - reserved);
  }
  return accepting;
}

std::int64_t
ToMs(base::Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

cells::CellLoad
MeasureLoad(const std::vector<StepState*>& aReadySteps,
            const WorkerMap& aWorkers,
            base::TimePoint aNow)
{
  std::map<std::string, cells::PoolLoad> pools;
  for (const auto& [id, worker] : aWorkers) {
    if (!AcceptsStarts(*worker, aNow)) {
      continue;
    }
    const WorkerEntry& entry = worker->mEntry;
    cells::PoolLoad& pool = pools[entry.mPool];
    pool.mFree +=
      entry.mCapacity.mMilliProcessors - worker->mUsed.mMilliProcessors;
    pool.mFreeForBackfill += std::max<std::int64_t>(
      0, worker->mUnusedProcessors - worker->mBackfillDemand);
    pool.mLabels.insert(entry.mLabels.begin(), entry.mLabels.end());
  }
  auto rooms = ListLastingRooms(aWorkers, aNow);
  TakeWaitingTasks(rooms, aReadySteps, aNow);
  for (const LastingRoom& it : rooms) {
    // What is free now does not suffice for the tasks that wait here.
    base::Resources free = it.mWorker->mEntry.mCapacity;
    free -= it.mWorker->mUsed;
    std::int64_t room =
      std::max(it.mLeft.mMilliProcessors, free.mMilliProcessors);
    room -= room % cells::kLastingRoomUnit;
    if (room > 0) {
      ++pools[it.mWorker->mEntry.mPool].mLastingRooms[room];
    }
  }
  for (const StepState* step : aReadySteps) {
    const auto pool = pools.find(step->mJob->mSubmission.mPolicy.mPool);
    if (pool != pools.end()) {
      (step->mSpec->mIsBackfill ? pool->second.mWaitingBackfill
                                : pool->second.mWaiting) +=
        step->mWaitingCount * step->mSpec->mResources.mMilliProcessors;
      if (step->mSpec->mIsService && !step->mNoRoomSince) {
        pool->second.mNewLastingTasks += step->mWaitingCount;
      }
    }
  }
  cells::CellLoad load;
  for (auto& [name, pool] : pools) {
    pool.mPool = name;
    load.mPools.push_back(std::move(pool));
  }
  return load;
}

void
LogDispatchSummary(std::size_t aJobCount,
                   const std::vector<StepState*>& aReadySteps,
                   const WorkerMap& aWorkers,
                   bool aAreReportsMissing,
                   base::TimePoint aNow)
{
  std::int64_t waiting = 0;
  std::int64_t waitingBackfill = 0;
  std::int64_t deferred = 0;
  base::Duration longestWait{ 0 };
  for (const StepState* step : aReadySteps) {
    (step->mSpec->mIsBackfill ? waitingBackfill : waiting) +=
      step->mWaitingCount;
    if (aAreReportsMissing) {
      deferred += std::count_if(
        step->mTasks.begin(), step->mTasks.end(), [](const TaskState& aTask) {
          return aTask.mMayHaveEarlierRun && aTask.mRuns.empty() &&
                 !aTask.mIsDone && !aTask.mIsElsewhere;
        });
    }
    if (step->mSpec->mIsBackfill && step->mNoRoomSince) {
      longestWait =
        std::max(longestWait, base::Duration(aNow - *step->mNoRoomSince));
    }
  }
  std::int64_t running = 0;
  std::int64_t backfill = 0;
  std::int64_t demand = 0;
  std::int64_t used = 0;
  std::int64_t leftover = 0;
  std::int64_t paced = 0;
  std::int64_t services = 0;
  std::int64_t aboveTarget = 0;
  std::int64_t starting = 0;
  std::int64_t reserved = 0;
  std::int64_t capacity = 0;
  for (const auto& [id, worker] : aWorkers) {
    demand += worker->mBackfillDemand;
    leftover += EstimateUnusedProcessors(*worker);
    reserved += worker->mUsed.mMilliProcessors;
    capacity += worker->mEntry.mCapacity.mMilliProcessors;
    for (const RunState* it : worker->mRuns) {
      const bool isBackfill = it->mTask->mStep->mSpec->mIsBackfill;
      ++(isBackfill ? backfill : running);
      if (it->mTask->mStep->mSpec->mIsService) {
        ++services;
        aboveTarget += TailRatioOf(*it) > 1.0 ? 1 : 0;
        starting += it->mProgressPercent < 100 ? 1 : 0;
      }
      paced += it->mTargetPace < 100 ? 1 : 0;
      used += isBackfill ? std::max<std::int64_t>(0, it->mTailLatencyOrUse) : 0;
    }
  }
  const LastingWait lasting = MeasureLastingWait(aReadySteps, aNow);
  const AcceptingWorkers accepting = MeasureAcceptingWorkers(aWorkers, aNow);
  logging::Write(logging::Level::Info,
                 "dispatch_summary",
                 { { "jobs", static_cast<std::int64_t>(aJobCount) },
                   { "waiting", waiting },
                   { "waiting_backfill", waitingBackfill },
                   { "deferred", deferred },
                   { "longest_backfill_wait_ms", ToMs(longestWait) },
                   { "waiting_lasting", lasting.mTasks },
                   { "longest_lasting_wait_ms", ToMs(lasting.mLongest) },
                   { "longest_waiting_processors", lasting.mProcessors },
                   { "running", running },
                   { "running_backfill", backfill },
                   { "backfill_demand", demand },
                   { "backfill_used", used },
                   { "leftover", leftover },
                   { "reserved", reserved },
                   { "capacity", capacity },
                   { "accepting", accepting.mWorkers },
                   { "accepting_capacity", accepting.mCapacity },
                   { "accepting_reserved", accepting.mReserved },
                   { "largest_free", accepting.mLargestFree },
                   { "paced", paced },
                   { "services", services },
                   { "harmed", aboveTarget },
                   { "starting", starting } });
}

void
LogDispatchWork(const DispatchWork& aWork,
                const WorkerMap& aWorkers,
                base::TimePoint aNow)
{
  base::Duration oldest{ 0 };
  std::int64_t unreported = 0;
  std::int64_t silent = 0;
  for (const auto& [id, worker] : aWorkers) {
    if (!worker->mIsRegistered) {
      continue;
    }
    if (!worker->mHasReported) {
      ++unreported;
      continue;
    }
    silent += worker->mFailedPolls > 0 ? 1 : 0;
    oldest = std::max(oldest, base::Duration(aNow - worker->mLastReportAt));
  }
  logging::Write(logging::Level::Info,
                 "dispatch_work",
                 { { "reports", aWork.mReports },
                   { "starts", aWork.mStarts },
                   { "lasting_starts", aWork.mLastingStarts },
                   { "lasting_restarts", aWork.mLastingRestarts },
                   { "backfill_starts", aWork.mBackfillStarts },
                   { "stops", aWork.mStops },
                   { "placement_rounds", aWork.mPlacementRounds },
                   { "candidates", aWork.mCandidates },
                   { "workers", static_cast<std::int64_t>(aWorkers.size()) },
                   { "unreported", unreported },
                   { "silent", silent },
                   { "oldest_report_ms", ToMs(oldest) } });
}

void
LogMissingReports(const WorkerMap& aWorkers, base::TimePoint aNow)
{
  std::int64_t unreported = 0;
  std::string id;
  base::TimePoint endsAt;
  for (const auto& [workerId, worker] : aWorkers) {
    if (!IsAwaited(*worker)) {
      continue;
    }
    ++unreported;
    if (id.empty() || worker->mEarlierLeaseEndsAt > endsAt) {
      id = workerId;
      endsAt = worker->mEarlierLeaseEndsAt;
    }
  }
  logging::Write(
    logging::Level::Info,
    "reports_missing",
    { { "unreported", unreported },
      { "worker", id },
      { "lease_remaining_ms", ToMs(endsAt - std::min(endsAt, aNow)) } });
}

} // namespace skylarkhill::dispatch
