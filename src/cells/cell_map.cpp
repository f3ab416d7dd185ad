#include "skylarkhill/cells/cell_map.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/base/msgpack.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace skylarkhill::cells {

namespace {

using Fields = std::tuple<int,
                          std::map<std::string, std::vector<int>>,
                          std::map<std::string, int>>;

/// Number of workers by rack, for each failure domain.
using Census = std::map<std::string, std::map<std::string, int>>;

int
CountWorkers(const std::map<std::string, int>& aRacks)
{
  int n = 0;
  for (const auto& [rack, count] : aRacks) {
    n += count;
  }
  return n;
}

/// Number of cells of a failure domain; 0 if it is too small for one.
int
CellsOfDomain(int aWorkers, int aWorkersPerCell)
{
  return (2 * aWorkers + aWorkersPerCell) / (2 * aWorkersPerCell);
}

int
HashToCell(const std::string& aText, int aCount)
{
  return static_cast<int>(base::StableHash(aText) %
                          static_cast<std::uint64_t>(aCount));
}

CellMap
DivideInto(const Census& aCensus, int aWorkersPerCell)
{
  CellMap map;
  std::vector<int> sizes;
  const auto assign = [&](const std::string& aDomain,
                          const std::map<std::string, int>& aRacks,
                          const std::vector<int>& aCells) {
    map.mCellsByDomain[aDomain] = aCells;
    for (const auto& [rack, count] : aRacks) {
      const int cell = *std::min_element(
        aCells.begin(), aCells.end(), [&](int aLeft, int aRight) {
          return sizes[static_cast<std::size_t>(aLeft)] <
                 sizes[static_cast<std::size_t>(aRight)];
        });
      sizes[static_cast<std::size_t>(cell)] += count;
      map.mCellByRack.emplace(rack, cell);
    }
  };
  for (const auto& [domain, racks] : aCensus) {
    std::vector<int> cells;
    const int n = CellsOfDomain(CountWorkers(racks), aWorkersPerCell);
    for (int it = 0; it < n; ++it) {
      cells.push_back(static_cast<int>(sizes.size()));
      sizes.push_back(0);
    }
    if (!cells.empty()) {
      assign(domain, racks, cells);
    }
  }
  if (sizes.empty()) {
    sizes.push_back(0);
  }
  map.mCount = static_cast<int>(sizes.size());
  for (const auto& [domain, racks] : aCensus) {
    if (map.mCellsByDomain.count(domain) == 0) {
      const auto smallest = std::min_element(sizes.begin(), sizes.end());
      assign(domain, racks, { static_cast<int>(smallest - sizes.begin()) });
    }
  }
  return map;
}

} // namespace

CellMap
DivideSite(const std::vector<WorkerLocation>& aWorkers,
           const CellLimits& aLimits)
{
  const auto workers = static_cast<int>(aWorkers.size());
  if (workers < 2 * aLimits.mWorkersPerCell || aLimits.mMaxCells < 2) {
    return {};
  }
  Census census;
  for (const auto& it : aWorkers) {
    ++census[it.mDomain][it.mRack];
  }
  int workersPerCell = aLimits.mWorkersPerCell;
  CellMap map = DivideInto(census, workersPerCell);
  while (map.mCount > aLimits.mMaxCells) {
    workersPerCell += workersPerCell / 8 + 1;
    map = DivideInto(census, workersPerCell);
  }
  return map;
}

int
CellOfWorker(const CellMap& aMap, const WorkerLocation& aLocation)
{
  if (aMap.mCount == 1) {
    return 0;
  }
  const auto domain = aMap.mCellsByDomain.find(aLocation.mDomain);
  if (domain == aMap.mCellsByDomain.end()) {
    return HashToCell(aLocation.mDomain, aMap.mCount);
  }
  const auto& cells = domain->second;
  const auto rack = aMap.mCellByRack.find(aLocation.mRack);
  if (rack != aMap.mCellByRack.end() &&
      std::find(cells.begin(), cells.end(), rack->second) != cells.end()) {
    return rack->second;
  }
  return cells[static_cast<std::size_t>(
    HashToCell(aLocation.mRack, static_cast<int>(cells.size())))];
}

int
HomeOfJob(const CellMap& aMap,
          const std::string& aJobId,
          const jobs::JobRequest& aRequest)
{
  if (aMap.mCount == 1) {
    return 0;
  }
  // The cell of the rack that holds the data of the most work.
  std::int64_t most = -1;
  int home = HashToCell(aJobId, aMap.mCount);
  for (const jobs::Step& it : aRequest.mSteps) {
    const auto rack = aMap.mCellByRack.find(it.mPreferredRack);
    const std::int64_t work =
      it.mCount * std::max<std::int64_t>(1, it.mResources.mMilliProcessors);
    if (rack != aMap.mCellByRack.end() && work > most) {
      most = work;
      home = rack->second;
    }
  }
  return home;
}

bool
IsInDomain(const CellMap& aMap, int aCell, const std::string& aDomain)
{
  if (aMap.mCount == 1) {
    return true;
  }
  const auto found = aMap.mCellsByDomain.find(aDomain);
  return found != aMap.mCellsByDomain.end() &&
         std::find(found->second.begin(), found->second.end(), aCell) !=
           found->second.end();
}

std::string
EncodeCellMap(const CellMap& aMap)
{
  return base::PackMsgpack(
    Fields{ aMap.mCount, aMap.mCellsByDomain, aMap.mCellByRack });
}

base::Result<CellMap>
DecodeCellMap(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, base::UnpackMsgpack<Fields>(aBytes));
  CellMap map{ std::get<0>(fields),
               std::move(std::get<1>(fields)),
               std::move(std::get<2>(fields)) };
  const auto isCell = [&](int aCell) {
    return aCell >= 0 && aCell < map.mCount;
  };
  bool isValid = map.mCount >= 1;
  for (const auto& [domain, cells] : map.mCellsByDomain) {
    isValid = isValid && !cells.empty() &&
              std::all_of(cells.begin(), cells.end(), isCell);
  }
  for (const auto& [rack, cell] : map.mCellByRack) {
    isValid = isValid && isCell(cell);
  }
  if (!isValid) {
    return base::MakeError(base::ErrorKind::InvalidArgument,
                           "the map names a cell out of range");
  }
  return map;
}

} // namespace skylarkhill::cells
