#ifndef SKYLARKHILL_POLICY_BREAKER_HPP
#define SKYLARKHILL_POLICY_BREAKER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/id.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace skylarkhill::policy {

enum class BreakerState
{
  Closed,
  /// Nothing is admitted until the cooldown is over.
  Open,
  /// The cooldown is over; one task is admitted as the probe.
  HalfOpen,
  /// The probe is running.
  Probing,
};

/// The stable name of `aState`.
std::string_view
NameOf(BreakerState aState);

struct BreakerOptions
{
  /// Consecutive failures that open the breaker.
  std::size_t mFailureThreshold = 3;
  base::Duration mCooldown = std::chrono::seconds(10);
  base::Duration mMaxCooldown = std::chrono::minutes(10);
};

/// Circuit breaker of one worker, for tasks or for service calls; a call is
/// identified by a task id of its own. Not thread-safe.
class Breaker
{
public:
  explicit Breaker(BreakerOptions aOptions);

  BreakerState State(base::TimePoint aNow) const;
  /// True if a task may be sent to the worker.
  bool Admits(base::TimePoint aNow) const;

  /// A task was placed on the worker; it becomes the probe if the cooldown is
  /// over.
  void OnPlaced(const base::TaskId& aTask, base::TimePoint aNow);
  /// The task ended or was cancelled without showing whether the worker works.
  void OnInconclusiveEnd(const base::TaskId& aTask);
  void OnSuccess(const base::TaskId& aTask);
  void OnFailure(const base::TaskId& aTask, base::TimePoint aNow);
  /// Discards the failures of a quarantined task; closes the breaker if fewer
  /// than the threshold remain.
  void RemoveFailures(const base::TaskId& aTask);

private:
  void Close();

  BreakerOptions mOptions;
  /// Failures since the last success.
  std::vector<base::TaskId> mFailures;
  bool mOpen = false;
  base::Duration mCooldown;
  base::TimePoint mOpenUntil;
  std::optional<base::TaskId> mProbe;
};

} // namespace skylarkhill::policy

#endif // SKYLARKHILL_POLICY_BREAKER_HPP
