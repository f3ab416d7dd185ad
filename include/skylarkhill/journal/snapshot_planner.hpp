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

struct SnapshotPlannerSettings
{
  base::InstanceId mSelf;
  /// How long the platform keeps records, in milliseconds.
  std::int64_t mRetentionMs = 24LL * 3600 * 1000;
  /// Most snapshots in one plan.
  std::size_t mMaxPerPlan = 200;
  /// Most live tasks and keys looked at per shard and plan.
  std::size_t mMaxCandidates = 10'000;
};

/// Age at which `aSelf` appends a snapshot of `aId`, in milliseconds. Between
/// a half and seven eighths of the retention; the preferred instance by
/// rendezvous hash comes first, the others only if it does not.
std::int64_t
SnapshotAgeMs(std::string_view aId,
              const base::InstanceId& aSelf,
              const std::vector<base::InstanceId>& aLive,
              std::int64_t aRetentionMs);

/// Decides which live tasks and claimed keys this instance appends again. Not
/// thread-safe.
class SnapshotPlanner
{
public:
  explicit SnapshotPlanner(SnapshotPlannerSettings aSettings);

  /// Snapshots to append now; to be called at least every 128th of the
  /// retention, e.g. every 11 minutes for a day. A snapshot that was planned is
  /// not planned again until an eighth of the retention has passed.
  std::vector<SiteRecord> Plan(const SiteState& aState,
                               const std::vector<base::InstanceId>& aLive,
                               std::int64_t aNowMs);

private:
  bool MarkIfDue(const std::string& aId,
                 std::int64_t aAgeMs,
                 const std::vector<base::InstanceId>& aLive,
                 std::int64_t aNowMs);

  SnapshotPlannerSettings mSettings;
  /// When a snapshot was planned, per id.
  std::unordered_map<std::string, std::int64_t> mPlannedAtMs;
};

} // namespace skylarkhill::journal

#endif // SKYLARKHILL_JOURNAL_SNAPSHOT_PLANNER_HPP
