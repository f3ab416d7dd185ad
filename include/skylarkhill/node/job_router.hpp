#ifndef SKYLARKHILL_NODE_JOB_ROUTER_HPP
#define SKYLARKHILL_NODE_JOB_ROUTER_HPP

#include "skylarkhill/cells/cell_map.hpp"
#include "skylarkhill/node/job_service.hpp"
#include "skylarkhill/node/route_table.hpp"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::node {

/// Serves the callers of this instance: passes each call to the cell of the
/// job. Errors are those of JobService; LogUnavailable while the cells are not
/// known. Thread-safe.
class JobRouter
{
public:
  void SetRoutes(std::shared_ptr<const RouteTable> aRoutes);
  std::shared_ptr<const RouteTable> Routes() const;

  /// Sets the services of all cells, which must outlive the calls.
  void SetCells(cells::CellMap aMap, std::vector<JobService*> aServices);

  base::Result<void> Submit(const jobs::QueuePolicy& aPolicy,
                            const std::string& aJobId,
                            jobs::JobRequest aRequest,
                            base::TimePoint aDeadline);
  base::Result<void> Cancel(const std::string& aJobId,
                            base::TimePoint aDeadline);
  base::Result<jobs::JobState> StateOf(const std::string& aJobId,
                                       base::TimePoint aDeadline);
  base::Result<std::size_t> CountPending(std::string_view aQueue,
                                         base::TimePoint aDeadline);

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
  };

  std::shared_ptr<const Cells> GetCells() const;
  /// Stores the cancellation, which the first cell has, in the journals of all
  /// other cells that may run tasks of the job. OutcomeUnknown: not in all.
  static base::Result<void> CancelInOtherCells(const Cells& aCells,
                                               const std::string& aJobId,
                                               int aFirstCell,
                                               base::TimePoint aDeadline);
  /// Looks for the job in what this instance knows.
  static std::optional<Location> FindKnown(const Cells& aCells,
                                           const std::string& aJobId);
  /// Reads the journals if the job is not known. NotFound: no cell has it.
  static base::Result<Location> Find(const Cells& aCells,
                                     const std::string& aJobId,
                                     base::TimePoint aDeadline);

  mutable std::mutex mLock;
  std::shared_ptr<const RouteTable> mRoutes;
  std::shared_ptr<const Cells> mCells;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_JOB_ROUTER_HPP
