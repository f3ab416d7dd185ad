#ifndef SKYLARKHILL_CELLS_CELL_MAP_HPP
#define SKYLARKHILL_CELLS_CELL_MAP_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/jobs/job.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::cells {

/// Where a worker is.
struct WorkerLocation
{
  std::string mDomain;
  std::string mRack;
};

/// Bounds of the division of a site.
struct CellLimits
{
  /// Each cell has its own partition of the journal.
  int mMaxCells = 24;
  /// Number of workers that one leader is meant for. A site with less than
  /// twice as many is one cell.
  int mWorkersPerCell = 200;
};

/// Division of a site into cells, which are numbered from 0. A cell has a part
/// of the workers and a part of the jobs and its own leader. The division is
/// stored once and never changes, so that all instances agree on it.
struct CellMap
{
  int mCount = 1;
  /// Cells by failure domain.
  std::map<std::string, std::vector<int>> mCellsByDomain;
  /// Cells by rack, for the racks known when the site was divided.
  std::map<std::string, int> mCellByRack;
};

/// Divides a site by failure domain, and large failure domains by rack. Small
/// failure domains share a cell with another one.
CellMap
DivideSite(const std::vector<WorkerLocation>& aWorkers,
           const CellLimits& aLimits);

/// The cell whose leader uses the worker.
int
CellOfWorker(const CellMap& aMap, const WorkerLocation& aLocation);

/// The cell that accepts the job. Depends only on the id and on the racks that
/// the job prefers, so that a repeated submission has the same home.
int
HomeOfJob(const CellMap& aMap,
          const std::string& aJobId,
          const jobs::JobRequest& aRequest);

/// True if workers of `aDomain` belong to the cell.
bool
IsInDomain(const CellMap& aMap, int aCell, const std::string& aDomain);

std::string
EncodeCellMap(const CellMap& aMap);

/// InvalidArgument if the bytes are malformed or name a cell out of range.
base::Result<CellMap>
DecodeCellMap(std::string_view aBytes);

} // namespace skylarkhill::cells

#endif // SKYLARKHILL_CELLS_CELL_MAP_HPP
