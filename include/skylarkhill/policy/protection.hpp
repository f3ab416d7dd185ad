#ifndef SKYLARKHILL_POLICY_PROTECTION_HPP
#define SKYLARKHILL_POLICY_PROTECTION_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/id.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkhill::policy {

/// What the protection policy sees of one running batch task.
struct RunningTask
{
  base::TaskId mTask;
  std::string mBatchClass;
  std::int64_t mMilliProcessors = 0;
  /// Work that an eviction would lose: run time since the last checkpoint.
  std::int64_t mSecondsSinceCheckpoint = 0;
  std::int64_t mRestartCostSeconds = 0;
  std::int64_t mEvictions = 0;
  std::int64_t mMaxEvictions = 0;
  std::int64_t mThrottlePercent = 100;
  bool mCheckpointing = false;
  /// Expected slowdown, in percent points, that the unthrottled task adds to
  /// the worst-hit service; 0 if unknown.
  double mInterferencePercent = 0.0;
};

/// What the protection policy sees of one worker.
struct WorkerPressure
{
  base::WorkerId mWorker;
  /// Service time in percent of an undisturbed worker's; lags.
  std::int64_t mSlowdownPercent = 100;
  /// Slowdown that the worst-hit service tolerates.
  std::int64_t mToleratedPercent = 100;
  std::vector<RunningTask> mTasks;
};

enum class ProtectionKind
{
  /// Set the task's processor share to mThrottlePercent.
  Throttle,
  /// Checkpoint, then stop.
  Evict,
};

/// One measure against interference.
struct ProtectionAction
{
  ProtectionKind mKind = ProtectionKind::Throttle;
  base::TaskId mTask;
  std::int64_t mThrottlePercent = 100;
};

/// Protects services from batch tasks on the same worker. Not thread-safe.
class ProtectionPolicy
{
public:
  virtual ~ProtectionPolicy() = default;
  /// Measures to take now for one worker. Keeps what hysteresis needs.
  virtual std::vector<ProtectionAction> Decide(const WorkerPressure& aWorker,
                                               base::TimePoint aNow) = 0;
};

} // namespace skylarkhill::policy

#endif // SKYLARKHILL_POLICY_PROTECTION_HPP
