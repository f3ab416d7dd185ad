#include "skylarkhill/cells/cell_load.hpp"

#include "skylarkhill/base/msgpack.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace skylarkhill::cells {

namespace {

using PoolFields = std::tuple<std::string,
                              std::int64_t,
                              std::int64_t,
                              std::int64_t,
                              std::int64_t,
                              std::set<std::string>,
                              std::map<std::int64_t, int>,
                              int,
                              std::int64_t>;

} // namespace

const PoolLoad*
FindPool(const CellLoad& aLoad, std::string_view aPool)
{
  const auto found =
    std::find_if(aLoad.mPools.begin(),
                 aLoad.mPools.end(),
                 [&](const PoolLoad& aEntry) { return aEntry.mPool == aPool; });
  return found == aLoad.mPools.end() ? nullptr : &*found;
}

std::string
EncodeCellLoad(const CellLoad& aLoad)
{
  std::vector<PoolFields> rows;
  for (const PoolLoad& it : aLoad.mPools) {
    rows.emplace_back(it.mPool,
                      it.mFree,
                      it.mWaiting,
                      it.mFreeForBackfill,
                      it.mWaitingBackfill,
                      it.mLabels,
                      it.mLastingRooms,
                      it.mNewLastingTasks,
                      it.mJournalOffset);
  }
  return base::PackMsgpack(rows);
}

base::Result<CellLoad>
DecodeCellLoad(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(rows, base::UnpackMsgpack<std::vector<PoolFields>>(aBytes));
  CellLoad load;
  for (auto& it : rows) {
    load.mPools.push_back({ std::move(std::get<0>(it)),
                            std::get<1>(it),
                            std::get<2>(it),
                            std::get<3>(it),
                            std::get<4>(it),
                            std::move(std::get<5>(it)),
                            std::move(std::get<6>(it)),
                            std::get<7>(it),
                            std::get<8>(it) });
  }
  return load;
}

} // namespace skylarkhill::cells
