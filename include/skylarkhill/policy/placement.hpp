#ifndef SKYLARKHILL_POLICY_PLACEMENT_HPP
#define SKYLARKHILL_POLICY_PLACEMENT_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/id.hpp"
#include "skylarkhill/base/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhill::policy {

/// What the placement policy sees of one worker.
struct WorkerView
{
  base::WorkerId mWorker;
  base::DomainId mDomain;
  std::string mRack;
  base::Resources mCapacity;
  /// Uncommitted resources.
  base::Resources mFree;
  /// Services that are served on this worker.
  std::vector<std::string> mServices;
  /// Batch class -> number of its tasks that run or are granted here.
  std::map<std::string, std::int64_t> mBatchTasks;
};

/// What the placement policy sees of one task.
struct TaskDemand
{
  base::TaskId mTask;
  std::string mBatchClass;
  base::Resources mNeed;
  bool mUrgent = false;
};

/// A lagging measurement of how batch tasks disturb a service on a worker.
struct InterferenceReport
{
  base::WorkerId mWorker;
  std::string mService;
  /// Batch class -> number of its tasks at the time of the measurement.
  std::map<std::string, std::int64_t> mBatchTasks;
  /// Service time in percent of an undisturbed worker's.
  std::int64_t mSlowdownPercent = 100;
  base::TimePoint mMeasuredAt;
};

/// Chooses the worker for a task. Not thread-safe.
class PlacementPolicy
{
public:
  virtual ~PlacementPolicy() = default;

  /// The index of the chosen worker, or nothing if none should take the task
  /// now. Never an index whose free resources do not hold the task.
  virtual std::optional<std::size_t> Choose(
    const TaskDemand& aTask,
    const std::vector<WorkerView>& aWorkers) const = 0;

  /// Takes a placement into account before reports show it.
  virtual void RecordPlacement(const TaskDemand& aTask,
                               const base::WorkerId& aWorker,
                               base::TimePoint aNow) = 0;

  /// Learns from one report.
  virtual void RecordReport(const InterferenceReport& aReport) = 0;

  /// Expected slowdown, in percent points, that one task of `aBatchClass` adds
  /// to `aService`; 0 if the policy does not learn it.
  virtual double ExpectedInterference(const std::string& aService,
                                      const std::string& aBatchClass) const;
};

} // namespace skylarkhill::policy

#endif // SKYLARKHILL_POLICY_PLACEMENT_HPP
