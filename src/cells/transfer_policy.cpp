#include "skylarkhill/cells/transfer_policy.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/base/name_table.hpp"

#include <algorithm>
#include <cstdint>

namespace skylarkhill::cells {

namespace {

/// Time in which the home places a job that it has room for.
constexpr base::Duration kPlacementTime = std::chrono::milliseconds(300);
/// The same for a job that prefers a rack: elsewhere its tasks take a multiple
/// of their time.
constexpr base::Duration kPlacementTimeBesideData =
  std::chrono::milliseconds(2000);

constexpr base::NameTable<TransferReason, 2> kReasonNames{ {
  { TransferReason::Incompatible, "incompatible" },
  { TransferReason::NoRoom, "no_room" },
} };

/// True if the cell has a worker for each step of the job.
bool
IsCompatible(const CellLoad& aLoad, const JobDemand& aDemand)
{
  const PoolLoad* pool = FindPool(aLoad, aDemand.mPool);
  return pool != nullptr && std::includes(pool->mLabels.begin(),
                                          pool->mLabels.end(),
                                          aDemand.mLabels.begin(),
                                          aDemand.mLabels.end());
}

/// True if the cell has room for the first steps of the job besides what waits
/// there.
bool
HasRoom(const CellLoad& aLoad, const JobDemand& aDemand)
{
  const PoolLoad* pool = FindPool(aLoad, aDemand.mPool);
  return pool != nullptr &&
         pool->mFree - pool->mWaiting >= aDemand.mProcessors &&
         pool->mFreeForBackfill - pool->mWaitingBackfill >= aDemand.mBackfill;
}

} // namespace

std::string_view
NameOf(TransferReason aReason)
{
  return base::FindName(kReasonNames, aReason);
}

JobDemand
DemandOf(const jobs::Submission& aSubmission)
{
  JobDemand demand;
  demand.mPool = aSubmission.mPolicy.mPool;
  demand.mIsTimed = aSubmission.mRequest.mOccurrences > 0;
  for (const jobs::Step& it : aSubmission.mRequest.mSteps) {
    if (!it.mRequiredLabel.empty()) {
      demand.mLabels.insert(it.mRequiredLabel);
    }
    demand.mPrefersRack = demand.mPrefersRack || !it.mPreferredRack.empty();
    if (it.mDependsOn.empty()) {
      (it.mIsBackfill ? demand.mBackfill : demand.mProcessors) +=
        it.mCount * it.mResources.mMilliProcessors;
    }
  }
  return demand;
}

std::optional<Transfer>
ChooseTransfer(const std::string& aJobId,
               int aHome,
               const JobDemand& aDemand,
               const std::vector<std::optional<CellLoad>>& aLoads,
               base::Duration aWaited)
{
  const auto& home = aLoads[static_cast<std::size_t>(aHome)];
  if (!home) {
    return std::nullopt;
  }
  const bool isIncompatible = !IsCompatible(*home, aDemand);
  const base::Duration patience =
    aDemand.mPrefersRack ? kPlacementTimeBesideData : kPlacementTime;
  // A timed job starts nothing now.
  const bool isOverloaded =
    aWaited >= patience && !aDemand.mIsTimed && !HasRoom(*home, aDemand);
  if (!isIncompatible && !isOverloaded) {
    return std::nullopt;
  }
  // All homes see the same loads, so the hash spreads what they move at the
  // same time over the cells with room.
  std::optional<int> target;
  std::uint64_t best = 0;
  for (int cell = 0; cell < static_cast<int>(aLoads.size()); ++cell) {
    const auto& load = aLoads[static_cast<std::size_t>(cell)];
    if (cell == aHome || !load || !IsCompatible(*load, aDemand) ||
        (!isIncompatible && !HasRoom(*load, aDemand))) {
      continue;
    }
    const std::uint64_t rank =
      base::StableHash(aJobId, static_cast<std::uint64_t>(cell));
    if (!target || rank > best) {
      target = cell;
      best = rank;
    }
  }
  if (!target) {
    return std::nullopt;
  }
  return Transfer{ *target,
                   isIncompatible ? TransferReason::Incompatible
                                  : TransferReason::NoRoom };
}

void
Reserve(CellLoad& aLoad, const JobDemand& aDemand)
{
  for (PoolLoad& it : aLoad.mPools) {
    if (it.mPool == aDemand.mPool) {
      it.mWaiting += aDemand.mProcessors;
      it.mWaitingBackfill += aDemand.mBackfill;
    }
  }
}

} // namespace skylarkhill::cells
