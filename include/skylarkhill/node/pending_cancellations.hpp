#ifndef SKYLARKHILL_NODE_PENDING_CANCELLATIONS_HPP
#define SKYLARKHILL_NODE_PENDING_CANCELLATIONS_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/journal/wall_clock.hpp"
#include "skylarkhill/metrics/registry.hpp"
#include "skylarkhill/node/shared_log.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace skylarkhill::node {

/// Appends without an answer are carried out within less than this.
inline constexpr base::Duration kMaxLateAppend = std::chrono::seconds(60);
/// Cancellations without a submission are kept for this time. A submission that
/// was under way may come until the longest deadline of a caller (60 s) and
/// kMaxLateAppend have passed.
inline constexpr base::Duration kLoneCancellationRetention =
  kMaxLateAppend + std::chrono::seconds(120);

/// Cancellations that some journals may lack although their callers have got an
/// answer. Goes on storing them there, for kLoneCancellationRetention, because
/// a caller may not ask again. Add is thread-safe; the other functions are used
/// on the call loop's thread only.
class PendingCancellations
{
public:
  /// Maximum number of jobs; further ones are dropped with a log line.
  static constexpr std::size_t kMaxCount = 1000;

  /// `aJournal` is the journal of cell 0; those of the other cells are the
  /// partitions after it. The references must outlive this object.
  PendingCancellations(AsyncLog& aLog,
                       const base::Clock& aClock,
                       const journal::WallClock& aWallClock,
                       LogStream aJournal,
                       metrics::Registry& aMetrics);

  /// The journals of `aCells` may lack the cancellation of the job.
  void Add(const std::string& aJobId, const std::vector<int>& aCells);
  /// Sends the appends that are due.
  void Tick();
  /// When to call Tick next if nothing is added before.
  base::TimePoint NextTickAt() const;

private:
  struct Entry
  {
    /// Cells that lack the cancellation.
    std::set<int> mCells;
    /// Cells among these whose append is under way.
    std::set<int> mInFlight;
    base::TimePoint mAddedAt;
  };

  /// Takes over what other threads have added.
  void TakeAdded();
  void DropOld();
  void Send(const std::string& aJobId, int aCell);
  void OnStored(const std::string& aJobId,
                int aCell,
                const AppendResult& aResult);

  AsyncLog& mLog;
  const base::Clock& mClock;
  const journal::WallClock& mWallClock;
  const LogStream mJournal;
  metrics::Gauge& mCount;
  metrics::Counter& mDropped;

  mutable std::mutex mLock;
  /// Guarded by mLock.
  std::deque<std::pair<std::string, std::vector<int>>> mAdded;

  std::map<std::string, Entry> mEntries;
  /// By cell: no append before this time, because one has failed.
  std::map<int, base::TimePoint> mPausedUntil;
  std::size_t mInFlight = 0;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_PENDING_CANCELLATIONS_HPP
