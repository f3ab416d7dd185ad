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

/// What the queue policy sees of one queued task.
struct QueuedTask
{
  base::TaskId mTask;
  std::string mTeam;
  std::string mBatchClass;
  base::Resources mNeed;
  bool mUrgent = false;
  /// Order of acceptance; smaller is earlier.
  std::int64_t mAcceptedOrder = 0;
  /// Run time that earlier attempts of the task received.
  std::int64_t mPriorRunSeconds = 0;
  /// Declared run time; can be far off.
  std::int64_t mDeclaredRunSeconds = 0;
};

/// A team's quota and what it uses now.
struct TeamUsage
{
  base::Resources mQuota;
  base::Resources mUsed;
  std::int64_t mWeight = 1;
};

using TeamUsageMap = std::unordered_map<std::string, TeamUsage>;

/// Orders the queued tasks. Not thread-safe.
class QueuePolicy
{
public:
  virtual ~QueuePolicy() = default;

  /// Indexes into `aTasks` in the order in which they should start; tasks
  /// whose team is at its quota are left out.
  virtual std::vector<std::size_t> Order(const std::vector<QueuedTask>& aTasks,
                                         const TeamUsageMap& aTeams) const = 0;

  /// Learns how long an attempt of a class really ran.
  virtual void RecordRun(const std::string& aBatchClass,
                         std::int64_t aRunSeconds,
                         bool aCompleted) = 0;
};

} // namespace skylarkhill::policy

#endif // SKYLARKHILL_POLICY_QUEUE_HPP
