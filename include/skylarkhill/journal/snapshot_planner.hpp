#ifndef SKYLARKHILL_JOURNAL_SNAPSHOT_PLANNER_HPP
#define SKYLARKHILL_JOURNAL_SNAPSHOT_PLANNER_HPP

#include "skylarkhill/base/id.hpp"
#include "skylarkhill/journal/site_record.hpp"
#include "skylarkhill/journal/site_state.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkhill::journal {

struct SnapshotPlannerOptions
{
  base::InstanceId mSelf;
  /// How long the platform retains records, in milliseconds.
  std::int64_t mRetentionMs = 24LL * 3600 * 1000;
  /// Maximum number of snapshots in one plan.
  std::size_t mMaxPerPlan = 200;
  /// Maximum number of unfinished tasks, and of claimed keys, examined per
  /// shard and plan.
  std::size_t mMaxCandidates = 10'000;
};

/// Age at which `aSelf` appends a snapshot of `aId`, in milliseconds. Between
/// 1/2 and 7/8 of the retention: lowest for the instance that rendezvous
/// hashing ranks first, so that the others write the snapshot only if it does
/// not.
std::int64_t
SnapshotAgeMs(std::string_view aId,
              const base::InstanceId& aSelf,
              const std::vector<base::InstanceId>& aLive,
              std::int64_t aRetentionMs);

/// Decides for which unfinished tasks and claimed keys this instance appends
/// snapshots before their records expire. Not thread-safe.
class SnapshotPlanner
{
public:
  explicit SnapshotPlanner(SnapshotPlannerOptions aOptions);

  /// Returns the snapshots to append now. Call it at least once per age sample
  /// of SiteState, 1/128 of the retention, e.g. every 11 minutes for a day. A
  /// planned snapshot is not planned again for 1/8 of the retention.
  std::vector<SiteRecord> Plan(const SiteState& aState,
                               const std::vector<base::InstanceId>& aLive,
                               std::int64_t aNowMs);

private:
  bool MarkIfDue(const std::string& aId,
                 std::int64_t aAgeMs,
                 const std::vector<base::InstanceId>& aLive,
                 std::int64_t aNowMs);

  SnapshotPlannerOptions mOptions;
  /// When the last snapshot was planned, per id.
  std::unordered_map<std::string, std::int64_t> mPlannedAtMs;
};

} // namespace skylarkhill::journal

#endif // SKYLARKHILL_JOURNAL_SNAPSHOT_PLANNER_HPP
