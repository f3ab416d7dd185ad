#ifndef SKYLARKHILL_NODE_JOB_ROUTER_HPP
#define SKYLARKHILL_NODE_JOB_ROUTER_HPP

#include "skylarkhill/cells/cell_map.hpp"
#include "skylarkhill/node/cell_queries.hpp"
#include "skylarkhill/node/job_service.hpp"
#include "skylarkhill/node/pending_cancellations.hpp"
#include "skylarkhill/node/route_table.hpp"

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkhill::node {

/// The cells in which jobs were seen that this instance does not follow, for a
/// bounded number of jobs. Thread-safe.
class JobLocations
{
public:
  void Remember(const std::string& aJobId, int aCell);
  std::optional<int> Find(const std::string& aJobId) const;

private:
  mutable std::mutex mLock;
  std::unordered_map<std::string, int> mCells;
  /// Ids in the order in which they were added.
  std::deque<std::string> mOrder;
};

/// Serves the callers of this instance: passes each call to the cell of the
/// job. Errors are those of JobService; LogUnavailable while the cells are not
/// known. Answers CellQueries of other instances about the cells that this
/// instance follows, LogUnavailable about others. Thread-safe.
class JobRouter : public CellQueries
{
public:
  /// Answers questions about cells that this instance does not follow; must
  /// outlive the calls.
  void SetQueries(CellQueries& aQueries) { mQueries = &aQueries; }

  /// Goes on storing cancellations whose outcome callers are told to be
  /// unknown; must outlive the calls.
  void SetPendingCancellations(PendingCancellations& aPending)
  {
    mPendingCancellations = &aPending;
  }

  void SetRoutes(std::shared_ptr<const RouteTable> aRoutes);
  std::shared_ptr<const RouteTable> Routes() const;

  /// Sets the services of all cells, which must outlive the calls.
  void SetCells(cells::CellMap aMap, std::vector<JobService*> aServices);

  base::Result<void> Submit(const jobs::QueuePolicy& aPolicy,
                            const std::string& aJobId,
                            jobs::JobRequest aRequest,
                            base::TimePoint aDeadline);
  /// NotFound: no cell has the job, and each has its cancellation.
  base::Result<void> Cancel(const std::string& aJobId,
                            base::TimePoint aDeadline);
  base::Result<jobs::JobState> StateOf(const std::string& aJobId,
                                       base::TimePoint aDeadline);
  base::Result<std::size_t> CountPending(std::string_view aQueue,
                                         base::TimePoint aDeadline);

  base::Result<JobView> FindJob(int aCell,
                                const std::string& aJobId,
                                base::TimePoint aDeadline) override;
  base::Result<std::vector<int>> ListOtherCells(
    int aCell,
    const std::string& aJobId,
    base::TimePoint aDeadline) override;
  base::Result<std::size_t> CountPending(int aCell,
                                         std::string_view aQueue,
                                         base::TimePoint aDeadline) override;

private:
  struct Cells
  {
    cells::CellMap mMap;
    std::vector<JobService*> mServices;
  };

  /// Where a job is.
  struct Location
  {
    int mCell = 0;
    jobs::JobState mState = jobs::JobState::Pending;
    /// The job as another instance has just shown it.
    std::optional<JobView> mView;
  };

  std::shared_ptr<const Cells> GetCells() const;
  /// The service of a cell whose jobs this instance knows; otherwise null.
  static JobService* FindFollowed(const Cells& aCells, int aCell);
  JobService* FindFollowed(int aCell) const;
  /// The job in a cell, asked for elsewhere if this instance does not follow
  /// the cell.
  base::Result<JobView> ViewJob(const Cells& aCells,
                                int aCell,
                                const std::string& aJobId,
                                base::TimePoint aDeadline);
  /// Like CellQueries::ListOtherCells, for any cell.
  base::Result<std::vector<int>> ListCellsOf(const Cells& aCells,
                                             int aCell,
                                             const std::string& aJobId,
                                             base::TimePoint aDeadline);
  /// Stores the cancellation of a job that no cell has in the journals of all
  /// cells. NotFound: it is stored there; other errors as for
  /// JobService::Submit.
  base::Result<void> CancelUnknown(const Cells& aCells,
                                   const std::string& aJobId,
                                   base::TimePoint aDeadline);
  /// Stores the cancellation, which the first cell has, in the journals of all
  /// other cells that may run tasks of the job. OutcomeUnknown: not in all.
  base::Result<void> CancelInOtherCells(const Cells& aCells,
                                        const std::string& aJobId,
                                        int aFirstCell,
                                        base::TimePoint aDeadline);
  /// Looks for the job in what this instance knows.
  static std::optional<Location> FindKnown(const Cells& aCells,
                                           const std::string& aJobId);
  /// Reads the journals, and asks about cells that are not followed, if the job
  /// is not known. NotFound: no cell has it.
  base::Result<Location> Find(const Cells& aCells,
                              const std::string& aJobId,
                              base::TimePoint aDeadline);

  /// The cells may lack the cancellation, of which the caller is not sure.
  void ContinueCancellation(const std::string& aJobId,
                            const std::vector<int>& aCells);

  CellQueries* mQueries = nullptr;
  PendingCancellations* mPendingCancellations = nullptr;
  JobLocations mLocations;
  mutable std::mutex mLock;
  std::shared_ptr<const RouteTable> mRoutes;
  std::shared_ptr<const Cells> mCells;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_JOB_ROUTER_HPP
