#include "skylarkhill/cells/transfer_policy.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/base/name_table.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace skylarkhill::cells {

namespace {

/// Time in which the home may place a job that prefers a rack: elsewhere its
/// tasks take a multiple of their time.
constexpr base::Duration kPlacementTimeBesideData =
  std::chrono::milliseconds(2000);

/// A lasting job moves if the target has this many times its demand more room.
constexpr std::int64_t kMinBalanceDemands = 2;

/// A cell borrows one task, or at most one for this many that it has room for:
/// other cells lend to it at the same time, and its own tasks may need the
/// room.
constexpr std::int64_t kRoomPerBorrowedTask = 2;
/// Tasks that wait for longer are lent even if other tasks of their cell may
/// end and leave a worker to them.
constexpr base::Duration kMaxPlacementTime = std::chrono::milliseconds(2000);

constexpr base::NameTable<TransferReason, 3> kReasonNames{ {
  { TransferReason::Incompatible, "incompatible" },
  { TransferReason::NoRoom, "no_room" },
  { TransferReason::Balance, "balance" },
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

/// Processors that neither runs nor waiting tasks need.
std::int64_t
RoomOf(const PoolLoad& aPool)
{
  return aPool.mFree - aPool.mWaiting;
}

/// Number of lasting tasks that the workers of the pool have room for, besides
/// those that will be placed next.
std::int64_t
CountLastingTasks(const PoolLoad& aPool, std::int64_t aProcessors)
{
  std::int64_t n = -aPool.mNewLastingTasks;
  for (const auto& [room, workers] : aPool.mLastingRooms) {
    n += room / std::max<std::int64_t>(1, aProcessors) * workers;
  }
  return n;
}

/// True if the cell has room for the first steps of the job besides what waits
/// there. Backfill that waits shows that the services beside it bear no more,
/// whatever processors are unused.
bool
HasRoom(const CellLoad& aLoad, const JobDemand& aDemand)
{
  const PoolLoad* pool = FindPool(aLoad, aDemand.mPool);
  if (pool == nullptr) {
    return false;
  }
  const bool hasProcessors =
    aDemand.mProcessors == 0 || RoomOf(*pool) >= aDemand.mProcessors;
  const bool hasBackfillRoom =
    aDemand.mBackfill == 0 || (pool->mWaitingBackfill == 0 &&
                               pool->mFreeForBackfill >= aDemand.mBackfill);
  return hasProcessors && hasBackfillRoom;
}

/// The other cells that can run the job, in an order that differs between jobs,
/// so that homes that see the same loads do not choose the same cell.
std::vector<int>
RankCandidates(const std::string& aJobId,
               int aHome,
               const JobDemand& aDemand,
               const std::vector<std::optional<CellLoad>>& aLoads)
{
  std::vector<std::pair<std::uint64_t, int>> ranks;
  for (int cell = 0; cell < static_cast<int>(aLoads.size()); ++cell) {
    const auto& load = aLoads[static_cast<std::size_t>(cell)];
    if (cell != aHome && load && IsCompatible(*load, aDemand)) {
      ranks.emplace_back(
        base::StableHash(aJobId, static_cast<std::uint64_t>(cell)), cell);
    }
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<int> cells;
  cells.reserve(ranks.size());
  for (const auto& [rank, cell] : ranks) {
    cells.push_back(cell);
  }
  return cells;
}

/// The less loaded of the first two candidates, if it has much more room than
/// the home.
std::optional<int>
FindBalance(const CellLoad& aHome,
            const std::vector<int>& aCandidates,
            const JobDemand& aDemand,
            const std::vector<std::optional<CellLoad>>& aLoads)
{
  const auto roomOf = [&](const CellLoad& aLoad) {
    return RoomOf(*FindPool(aLoad, aDemand.mPool));
  };
  std::optional<int> target;
  std::int64_t most =
    roomOf(aHome) +
    kMinBalanceDemands * std::max<std::int64_t>(1, aDemand.mProcessors);
  for (std::size_t n = 0; n < std::min<std::size_t>(2, aCandidates.size());
       ++n) {
    const std::int64_t room =
      roomOf(*aLoads[static_cast<std::size_t>(aCandidates[n])]);
    if (room >= most) {
      most = room;
      target = aCandidates[n];
    }
  }
  return target;
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
    demand.mIsService = demand.mIsService || it.mIsService;
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
  const auto candidates = RankCandidates(aJobId, aHome, aDemand, aLoads);
  if (!IsCompatible(*home, aDemand)) {
    return candidates.empty()
             ? std::optional<Transfer>()
             : Transfer{ candidates.front(), TransferReason::Incompatible };
  }
  // A timed job starts nothing now.
  if (aDemand.mIsTimed) {
    return std::nullopt;
  }
  if (aDemand.mIsService) {
    const auto target = FindBalance(*home, candidates, aDemand, aLoads);
    if (target) {
      return Transfer{ *target, TransferReason::Balance };
    }
  }
  const bool mayMove =
    !aDemand.mPrefersRack || aWaited >= kPlacementTimeBesideData;
  if (!mayMove || HasRoom(*home, aDemand)) {
    return std::nullopt;
  }
  const auto target =
    std::find_if(candidates.begin(), candidates.end(), [&](int aCell) {
      return HasRoom(*aLoads[static_cast<std::size_t>(aCell)], aDemand);
    });
  return target == candidates.end()
           ? std::optional<Transfer>()
           : Transfer{ *target, TransferReason::NoRoom };
}

std::optional<LoanTarget>
ChooseLoan(const std::string& aJobId,
           const LoanDemand& aDemand,
           int aLender,
           const std::set<int>& aExcluded,
           const std::vector<std::optional<CellLoad>>& aLoads,
           base::Duration aWaited)
{
  const auto roomOf = [&](int aCell) -> std::int64_t {
    const auto& load = aLoads[static_cast<std::size_t>(aCell)];
    const PoolLoad* pool = load ? FindPool(*load, aDemand.mPool) : nullptr;
    const bool isCompatible =
      pool != nullptr &&
      (aDemand.mLabel.empty() || pool->mLabels.count(aDemand.mLabel) != 0);
    return isCompatible ? CountLastingTasks(*pool, aDemand.mProcessors) : 0;
  };
  // The load of the lender leaves out the room that the tasks wait for.
  if ((aDemand.mMayGetRoom || roomOf(aLender) > 0) &&
      aWaited < kMaxPlacementTime) {
    return std::nullopt;
  }
  struct Candidate
  {
    std::uint64_t mRank = 0;
    int mCell = 0;
    std::int64_t mRoom = 0;
  };
  std::vector<Candidate> candidates;
  for (int cell = 0; cell < static_cast<int>(aLoads.size()); ++cell) {
    const bool mayBorrow = cell != aLender && aExcluded.count(cell) == 0;
    const std::int64_t room = mayBorrow ? roomOf(cell) : 0;
    if (room > 0) {
      candidates.push_back(
        { base::StableHash(aJobId, static_cast<std::uint64_t>(cell)),
          cell,
          room });
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  // Lenders that see the same loads must not all choose the same cell.
  const std::size_t n = std::min<std::size_t>(2, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(n),
                    candidates.end(),
                    [](const Candidate& aLeft, const Candidate& aRight) {
                      return aLeft.mRank < aRight.mRank;
                    });
  const Candidate& best = n == 2 && candidates[1].mRoom > candidates[0].mRoom
                            ? candidates[1]
                            : candidates[0];
  const std::int64_t most =
    (best.mRoom + kRoomPerBorrowedTask - 1) / kRoomPerBorrowedTask;
  return LoanTarget{
    best.mCell, static_cast<int>(std::min<std::int64_t>(aDemand.mCount, most))
  };
}

void
Reserve(CellLoad& aLoad, const LoanDemand& aDemand, int aShares)
{
  for (PoolLoad& it : aLoad.mPools) {
    if (it.mPool == aDemand.mPool) {
      it.mNewLastingTasks += aShares * aDemand.mCount;
    }
  }
}

void
Reserve(CellLoad& aLoad, const JobDemand& aDemand, int aShares)
{
  for (PoolLoad& it : aLoad.mPools) {
    if (it.mPool == aDemand.mPool) {
      it.mFree -= aShares * aDemand.mProcessors;
      it.mFreeForBackfill -= aShares * aDemand.mBackfill;
    }
  }
}

} // namespace skylarkhill::cells
