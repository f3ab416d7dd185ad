#ifndef SKYLARKHILL_POLICY_PROTECTION_HPP
#define SKYLARKHILL_POLICY_PROTECTION_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/id.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkhill::policy {

/// State of one running batch task, as input of the protection policy.
struct RunningTask
{
  base::TaskId mTask;
  std::string mBatchClass;
  std::int64_t mMilliProcessors = 0;
  /// Run time since the last checkpoint, which an eviction would lose.
  std::int64_t mSecondsSinceCheckpoint = 0;
  std::int64_t mRestartCostSeconds = 0;
  std::int64_t mEvictions = 0;
  std::int64_t mMaxEvictions = 0;
  std::int64_t mThrottlePercent = 100;
  bool mCheckpointing = false;
  /// Expected slowdown, in percentage points, that the unthrottled task adds to
  /// the most affected service; 0 if unknown.
  double mInterferencePercent = 0.0;
};

/// State of one worker, as input of the protection policy.
struct ProtectionInput
{
  base::WorkerId mWorker;
  /// Service time in percent of that without batch tasks; a delayed
  /// measurement.
  std::int64_t mServiceTimePercent = 100;
  /// Service time that the most affected service tolerates, in percent of that
  /// without batch tasks.
  std::int64_t mToleratedPercent = 100;
  std::vector<RunningTask> mTasks;
};

enum class ProtectionKind
{
  /// Set the task's processor share to `mThrottlePercent`.
  Throttle,
  /// Checkpoint the task, then stop it.
  Evict,
};

/// One action against interference.
struct ProtectionAction
{
  ProtectionKind mKind = ProtectionKind::Throttle;
  base::TaskId mTask;
  std::int64_t mThrottlePercent = 100;
};

/// Protects services from interference by batch tasks on the same worker. Not
/// thread-safe.
class ProtectionPolicy
{
public:
  virtual ~ProtectionPolicy() = default;
  /// Actions to take now on one worker. Keeps state per worker for hysteresis.
  virtual std::vector<ProtectionAction> Decide(const ProtectionInput& aWorker,
                                               base::TimePoint aNow) = 0;
};

} // namespace skylarkhill::policy

#endif // SKYLARKHILL_POLICY_PROTECTION_HPP
