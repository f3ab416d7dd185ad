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

/// State of one worker, as input of the placement policy.
struct WorkerView
{
  base::WorkerId mWorker;
  base::DomainId mDomain;
  std::string mRack;
  base::Resources mCapacity;
  /// Resources that are not committed.
  base::Resources mFree;
  /// Services that run on this worker.
  std::vector<std::string> mServices;
  /// Batch class -> number of its tasks that run here or are granted.
  std::map<std::string, std::int64_t> mBatchTasks;
};

/// Demand of one task, as input of the placement policy.
struct TaskDemand
{
  base::TaskId mTask;
  std::string mBatchClass;
  base::Resources mNeed;
  bool mUrgent = false;
};

/// A delayed measurement of the interference of batch tasks with a service on
/// one worker.
struct InterferenceReport
{
  base::WorkerId mWorker;
  std::string mService;
  /// Batch class -> number of its tasks at the time of the measurement.
  std::map<std::string, std::int64_t> mBatchTasks;
  /// Service time in percent of that without batch tasks.
  std::int64_t mServiceTimePercent = 100;
  base::TimePoint mMeasuredAt;
};

/// Chooses the worker for a task. Not thread-safe.
class PlacementPolicy
{
public:
  virtual ~PlacementPolicy() = default;

  /// The index of the chosen worker, or nothing if none should run the task
  /// now. The task always fits into the free resources of the chosen worker.
  virtual std::optional<std::size_t> Choose(
    const TaskDemand& aTask,
    const std::vector<WorkerView>& aWorkers) const = 0;

  /// Tells the policy the time of a placement. The placement itself takes
  /// effect through `WorkerView::mBatchTasks`.
  virtual void RecordPlacement(const TaskDemand& aTask,
                               const base::WorkerId& aWorker,
                               base::TimePoint aNow) = 0;

  /// Updates the interference estimates with one report.
  virtual void RecordReport(const InterferenceReport& aReport) = 0;

  /// Expected slowdown, in percentage points, that one task of `aBatchClass`
  /// adds to `aService`; 0 if the policy does not estimate it.
  virtual double ExpectedInterference(const std::string& aService,
                                      const std::string& aBatchClass) const;
};

} // namespace skylarkhill::policy

#endif // SKYLARKHILL_POLICY_PLACEMENT_HPP
