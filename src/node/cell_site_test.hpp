#ifndef SKYLARKHILL_NODE_CELL_SITE_TEST_HPP
#define SKYLARKHILL_NODE_CELL_SITE_TEST_HPP

#include "skylarkhill/journal/wall_clock.hpp"
#include "skylarkhill/node/node.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "node_site_test.hpp"

namespace skylarkhill::node {

/// A site of several cells, one failure domain each.
inline constexpr int kDomains = 3;
inline constexpr int kWorkersPerDomain = 3;
inline constexpr std::int64_t kWorkerMilliProcessors = 8000;

/// "d1w2" is worker 2 of failure domain "d1". Workers of one failure domain
/// have the label "odd" or "even" of the domain.
class DomainDecoder : public RecordDecoder
{
public:
  std::shared_ptr<const RouteTable> DecodeRoutes(
    const LogRecord&) const override
  {
    return std::make_shared<RouteTable>(1, std::vector<Route>());
  }

  std::optional<dispatch::WorkerEntry> DecodeWorker(
    const LogRecord& aRecord) const override
  {
    dispatch::WorkerEntry entry;
    entry.mId = aRecord.mKey;
    entry.mPool = "pool";
    entry.mAddress = aRecord.mKey + ":1";
    // A value of two characters is the failure domain that the worker moved to.
    entry.mDomain =
      aRecord.mValue.size() == 2 ? aRecord.mValue : aRecord.mKey.substr(0, 2);
    // Any other value is the incarnation.
    entry.mIncarnationStartMs =
      aRecord.mValue.size() == 1 ? aRecord.mValue.front() - '0' : 0;
    entry.mRack = entry.mDomain + "rack";
    entry.mLabels = { entry.mDomain == "d1" ? "odd" : "even", entry.mRack };
    entry.mCapacity = { kWorkerMilliProcessors, std::int64_t{ 1 } << 36, 0 };
    return entry;
  }
};

/// Unix time that advances with the clock of the simulation.
class SimulatedWallClock : public journal::WallClock
{
public:
  explicit SimulatedWallClock(const base::Clock& aClock)
    : mClock(aClock)
  {
  }

  std::int64_t NowMs() const override
  {
    return 1'700'000'000'000 + base::ToMicros(mClock.Now()) / 1000 + mAheadMs;
  }

  /// Error of the clock.
  std::int64_t mAheadMs = 0;

private:
  const base::Clock& mClock;
};

inline std::string
JournalOf(int aCell)
{
  return aCell == 0 ? "journal" : "journal/" + std::to_string(aCell);
}

inline jobs::QueuePolicy
MakePolicy()
{
  jobs::QueuePolicy policy;
  policy.mQueue = "queue";
  policy.mPool = "pool";
  policy.mMaxFailedRuns = 3;
  return policy;
}

/// Options of the instance with the number, which tells its failure domain.
inline NodeOptions
MakeCellOptions(const std::string& aId, int aNumber)
{
  NodeOptions options = MakeOptions(aId);
  options.mDomain = "d" + std::to_string(aNumber % kDomains);
  options.mCells.mMaxCells = kDomains;
  options.mCells.mWorkersPerCell = kWorkersPerDomain;
  return options;
}

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_CELL_SITE_TEST_HPP
