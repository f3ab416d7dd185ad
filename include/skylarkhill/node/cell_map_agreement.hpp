#ifndef SKYLARKHILL_NODE_CELL_MAP_AGREEMENT_HPP
#define SKYLARKHILL_NODE_CELL_MAP_AGREEMENT_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/cells/cell_map.hpp"
#include "skylarkhill/node/log_stream_reader.hpp"
#include "skylarkhill/node/shared_log.hpp"
#include "skylarkhill/node/worker_registry.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace skylarkhill::node {

/// Agrees with the other instances on the division of the site: the first
/// record of its stream holds for good. Not thread-safe.
class CellMapAgreement
{
public:
  CellMapAgreement(AsyncLog& aLog,
                   const base::Clock& aClock,
                   LogStream aStream,
                   const std::string& aInstanceId,
                   cells::CellLimits aLimits);

  /// True once it is the turn of this instance to load the registry for a
  /// proposal, unless the division is known.
  bool NeedsRegistry() const;
  /// Reads the division, or proposes one once the number of workers is steady.
  void Tick(const WorkerRegistry& aRegistry);
  /// Set once the division is known.
  const std::optional<cells::CellMap>& Map() const { return mMap; }
  base::TimePoint NextTickAt() const { return mReader.NextTickAt(); }

private:
  void OnRecord(const LogRecord& aRecord);
  bool IsProposalDue(std::size_t aWorkerCount);
  void Propose(const WorkerRegistry& aRegistry);

  AsyncLog& mLog;
  const base::Clock& mClock;
  const LogStream mStream;
  const cells::CellLimits mLimits;
  LogStreamReader mReader;
  std::optional<cells::CellMap> mMap;
  std::size_t mWorkerCount = 0;
  /// Since when the number of workers has been mWorkerCount.
  base::TimePoint mSteadySince = base::kNoDeadline;
  /// When the registry was first loaded.
  base::TimePoint mLoadedAt = base::kNoDeadline;
  /// When this instance loads the registry if there is no division by then.
  base::TimePoint mTurnAt;
  bool mIsProposing = false;
  base::TimePoint mNextProposalAt;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_CELL_MAP_AGREEMENT_HPP
