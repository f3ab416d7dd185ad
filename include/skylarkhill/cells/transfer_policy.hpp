#ifndef SKYLARKHILL_CELLS_TRANSFER_POLICY_HPP
#define SKYLARKHILL_CELLS_TRANSFER_POLICY_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/cells/cell_load.hpp"
#include "skylarkhill/jobs/job.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::cells {

/// Why a job leaves its home.
enum class TransferReason
{
  /// No worker of the home has the pool and the labels that the job requires.
  Incompatible,
  /// The home has no room for the first steps of the job, another cell has.
  NoRoom,
};

/// The stable name of `aReason`.
std::string_view
NameOf(TransferReason aReason);

/// What a job needs of a cell.
struct JobDemand
{
  std::string mPool;
  /// Labels that its steps require.
  std::set<std::string> mLabels;
  /// Thousandths of a processor of the steps without dependencies, backfill
  /// apart.
  std::int64_t mProcessors = 0;
  std::int64_t mBackfill = 0;
  /// Some data of the job is on a rack.
  bool mPrefersRack = false;
  /// The job starts at a given time.
  bool mIsTimed = false;
};

JobDemand
DemandOf(const jobs::Submission& aSubmission);

struct Transfer
{
  int mTarget = 0;
  TransferReason mReason = TransferReason::NoRoom;
};

/// Decides whether a job of which no task may have started moves to another
/// cell. `aLoads` has an entry for each cell, empty if its load is not known.
/// `aWaited` is the time that the home has had to place the job.
std::optional<Transfer>
ChooseTransfer(const std::string& aJobId,
               int aHome,
               const JobDemand& aDemand,
               const std::vector<std::optional<CellLoad>>& aLoads,
               base::Duration aWaited);

/// Takes the room for a transferred job off the load of its target, until the
/// target publishes a new load.
void
Reserve(CellLoad& aLoad, const JobDemand& aDemand);

} // namespace skylarkhill::cells

#endif // SKYLARKHILL_CELLS_TRANSFER_POLICY_HPP
