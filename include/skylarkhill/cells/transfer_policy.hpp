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
  /// The job lasts, and another cell has much more room.
  Balance,
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
  /// A step runs until the job is cancelled.
  bool mIsService = false;
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

/// Lasting tasks without a place in their cell.
struct LoanDemand
{
  std::string mPool;
  /// The label that the tasks require; empty for any worker.
  std::string mLabel;
  /// Thousandths of a processor of one task.
  std::int64_t mProcessors = 0;
  int mCount = 0;
  /// The lender has a worker for a task, but for tasks that end.
  bool mMayGetRoom = false;
};

/// A cell that may run some of the tasks.
struct LoanTarget
{
  int mTarget = 0;
  /// Number of the tasks, at least 1.
  int mCount = 0;
};

/// Decides whether tasks that have waited for `aWaited` are lent, and where to.
/// `aLender` is the cell that has them; those in `aExcluded` may not run them.
std::optional<LoanTarget>
ChooseLoan(const std::string& aJobId,
           const LoanDemand& aDemand,
           int aLender,
           const std::set<int>& aExcluded,
           const std::vector<std::optional<CellLoad>>& aLoads,
           base::Duration aWaited);

/// Takes the room for the tasks of a loan off a load, like the function below.
void
Reserve(CellLoad& aLoad, const LoanDemand& aDemand, int aShares);

/// Takes the room for a job off a load, until a new load is known. `aShares` is
/// the number of cells that use the same room at the same time.
void
Reserve(CellLoad& aLoad, const JobDemand& aDemand, int aShares);

} // namespace skylarkhill::cells

#endif // SKYLARKHILL_CELLS_TRANSFER_POLICY_HPP
