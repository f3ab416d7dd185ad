#ifndef SKYLARKHILL_POLICY_QUEUE_HPP
#define SKYLARKHILL_POLICY_QUEUE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/id.hpp"
#include "skylarkhill/base/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkhill::policy {

/// One queued task, as input of the queue policy.
struct QueueCandidate
{
  base::TaskId mTask;
  std::string mTeam;
  std::string mBatchClass;
  base::Resources mNeed;
  bool mUrgent = false;
  /// Position in the order of acceptance; smaller is earlier.
  std::int64_t mAcceptedOrder = 0;
  /// Total run time of earlier attempts of the task.
  std::int64_t mPriorRunSeconds = 0;
  /// Run time declared by the submitter; can be far from the actual one.
  std::int64_t mDeclaredRunSeconds = 0;
};

/// Quota and current usage of one team.
struct TeamUsage
{
  base::Resources mQuota;
  base::Resources mUsed;
  std::int64_t mWeight = 1;
};

using TeamUsageMap = std::unordered_map<std::string, TeamUsage>;

/// Determines the order in which queued tasks start. Not thread-safe.
class QueuePolicy
{
public:
  virtual ~QueuePolicy() = default;

  /// Indexes into `aTasks` in the order in which the tasks should start; tasks
  /// that exceed the quota of their team are omitted.
  virtual std::vector<std::size_t> Order(
    const std::vector<QueueCandidate>& aTasks,
    const TeamUsageMap& aTeams) const = 0;

  /// Records the actual run time of an attempt of a task of `aBatchClass`.
  virtual void RecordRun(const std::string& aBatchClass,
                         std::int64_t aRunSeconds,
                         bool aCompleted) = 0;
};

} // namespace skylarkhill::policy

#endif // SKYLARKHILL_POLICY_QUEUE_HPP
