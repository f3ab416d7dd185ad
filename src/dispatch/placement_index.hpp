#ifndef SKYLARKHILL_DISPATCH_PLACEMENT_INDEX_HPP
#define SKYLARKHILL_DISPATCH_PLACEMENT_INDEX_HPP

#include "skylarkhill/base/clock.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "colocation_model.hpp"
#include "failed_demands.hpp"
#include "state.hpp"

namespace skylarkhill::dispatch {

/// Finds workers for tasks without a scan of all workers. Holds pointers to the
/// workers; each must be removed before it is destroyed.
class PlacementIndex
{
public:
  /// Adds `aWorker`, or updates its position after a change of its entry or of
  /// its runs.
  void Update(WorkerState& aWorker);
  void Remove(const WorkerState& aWorker);

  /// A worker that was ineligible for some steps may have become eligible. Must
  /// follow each change other than a start that can have this effect within
  /// the time between two calls of ForgetFailures.
  void OnAvailable(WorkerState& aWorker);

  /// Makes the next choices consider workers that have become eligible without
  /// a call of OnAvailable, for instance with time or with better estimates.
  void ForgetFailures();

  /// Returns the eligible worker with the lowest cost for `aTask`, or null.
  /// Equal costs are ordered by a hash of the worker's id.
  WorkerState* Choose(const TaskState& aTask,
                      const ColocationModel& aModel,
                      base::TimePoint aNow);

  struct PacedChoice
  {
    WorkerState* mWorker = nullptr;
    /// In percent of full speed.
    int mPace = 0;
  };

  /// Returns the best worker with service tasks on which `aTask` can start
  /// below full pace, see kMinStartPace; with `aMayShare` also beside runs that
  /// have started so, see kMinSharedPace. A search without result is not
  /// repeated before the next ForgetFailures.
  PacedChoice ChoosePaced(const TaskState& aTask,
                          const ColocationModel& aModel,
                          bool aMayShare,
                          base::TimePoint aNow);

  /// Number of workers considered so far, over all choices.
  std::int64_t ConsideredCount() const { return mConsideredCount; }

private:
  struct Rank
  {
    /// Lower values come first. A worker's cost without penalties is its value
    /// less a constant of the task.
    std::int64_t mValue = 0;
    std::size_t mIdHash = 0;
    WorkerState* mWorker = nullptr;
  };

  struct IsBefore
  {
    bool operator()(const Rank& aLeft, const Rank& aRight) const;
  };

  using Ranking = std::set<Rank, IsBefore>;

  struct Pool
  {
    /// By free reserved processors.
    Ranking mByFree;
    /// Workers with service tasks by processors left for backfill, most first;
    /// the values are negative.
    Ranking mWithServices;
    /// The same for workers without service tasks.
    Ranking mWithoutServices;
    /// Lower bound of the processors of a worker.
    std::int64_t mMinCapacity = 0;
    FailedDemands mFailedDemands;
    /// The same for ChoosePaced, without and with sharing.
    FailedDemands mFailedPacedDemands;
    FailedDemands mFailedSharedDemands;
    /// Workers that have become available since the last ForgetFailures.
    std::vector<WorkerState*> mAvailable;
  };

  struct Ranks
  {
    std::string mPool;
    Rank mFree;
    Rank mUnused;
    bool mHasServices = false;
  };

  class Search;

  static Ranking& UnusedRanking(Pool& aPool, const Ranks& aRanks);
  /// Considers the workers of `aRanking` that have at least `aMinLeft`
  /// processors left for backfill, as long as one may be the best. Their costs
  /// without penalties are their values plus `aCost`.
  static void SearchForBackfill(const Ranking& aRanking,
                                double aMinLeft,
                                double aCost,
                                Search& aSearch);
  void RemoveFromPool(const Ranks& aRanks);

  std::unordered_map<std::string, Pool> mPools;
  std::unordered_map<const WorkerState*, Ranks> mRanks;
  std::int64_t mConsideredCount = 0;
};

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_PLACEMENT_INDEX_HPP
