#ifndef SKYLARKHILL_CELLS_CELL_LOAD_HPP
#define SKYLARKHILL_CELLS_CELL_LOAD_HPP

#include "skylarkhill/base/error.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::cells {

/// Room and demand in one pool of a cell, in thousandths of a processor.
struct PoolLoad
{
  std::string mPool;
  /// Processors that are not reserved, on workers that accept starts.
  std::int64_t mFree = 0;
  /// Processors that the ready tasks without a run request.
  std::int64_t mWaiting = 0;
  /// The same for backfill, which uses what other tasks leave.
  std::int64_t mFreeForBackfill = 0;
  std::int64_t mWaitingBackfill = 0;
  /// Labels of the workers that accept starts.
  std::set<std::string> mLabels;
  /// Number of workers that accept starts, by the processors on them that
  /// lasting tasks leave, rounded down to a multiple of kLastingRoomUnit.
  /// Waiting ones for which a worker has been searched count where they fit,
  /// but what is free now is left. Other tasks end soon, and lasting ones are
  /// placed first. Empty if the load was published by a version without it.
  std::map<std::int64_t, int> mLastingRooms;
  /// Lasting tasks that wait and for which no worker has been searched yet.
  int mNewLastingTasks = 0;
  /// The load takes the records of the journal before this offset into account.
  std::int64_t mJournalOffset = 0;
};

/// Thousandths of a processor.
constexpr std::int64_t kLastingRoomUnit = 250;

/// What the leader of a cell publishes about it.
struct CellLoad
{
  std::vector<PoolLoad> mPools;
};

/// The load of `aPool`, or null if the cell has no worker of it.
const PoolLoad*
FindPool(const CellLoad& aLoad, std::string_view aPool);

std::string
EncodeCellLoad(const CellLoad& aLoad);

/// InvalidArgument if the bytes are malformed.
base::Result<CellLoad>
DecodeCellLoad(std::string_view aBytes);

} // namespace skylarkhill::cells

#endif // SKYLARKHILL_CELLS_CELL_LOAD_HPP
