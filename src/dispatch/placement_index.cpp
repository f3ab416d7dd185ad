#include "placement_index.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>

#include "job_state.hpp"
#include "placement.hpp"

namespace skylarkhill::dispatch {

namespace {

/// Placement cost of each percent below full pace, in thousandths of a
/// processor.
constexpr double kPaceCost = 200.0;
/// Placement cost of each run that is held below full pace since its start.
constexpr double kPacedStartCost = 20000.0;
constexpr int kFullPace = 100;
/// Minimum time between two starts below full pace on a worker.
constexpr base::Duration kMinPacedStartInterval =
  std::chrono::milliseconds(600);

std::int64_t
CountPacedStarts(const WorkerState& aWorker)
{
  return std::count_if(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [](const RunState* aRun) {
      return aRun->mIsPacedFromStart && aRun->mTargetPace < kFullPace;
    });
}

/// True if a run on the worker that is to be held below full pace may still be
/// at a higher one.
bool
IsPaceCallOpen(const WorkerState& aWorker)
{
  return std::any_of(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [](const RunState* aRun) {
      return aRun->mIsPacedFromStart && aRun->mTargetPace < aRun->mPace;
    });
}

/// Other steps may find workers that limits of the step of `aTask` exclude.
bool
IsLimitedByDemandOnly(const TaskState& aTask)
{
  const StepState& step = *aTask.mStep;
  return step.mSpec->mMaxPerWorker == 0 && aTask.mRuns.empty() &&
         !step.mJob->mSubmission.mPolicy.mNeedsTicket;
}

} // namespace

bool
PlacementIndex::IsBefore::operator()(const Rank& aLeft,
                                     const Rank& aRight) const
{
  if (aLeft.mValue != aRight.mValue) {
    return aLeft.mValue < aRight.mValue;
  }
  if (aLeft.mIdHash != aRight.mIdHash) {
    return aLeft.mIdHash < aRight.mIdHash;
  }
  if (aLeft.mWorker == nullptr || aRight.mWorker == nullptr) {
    return aLeft.mWorker == nullptr && aRight.mWorker != nullptr;
  }
  return aLeft.mWorker->mEntry.mId < aRight.mWorker->mEntry.mId;
}

/// One choice: the best worker so far and why others were excluded.
class PlacementIndex::Search
{
public:
  Search(const TaskState& aTask,
         const ColocationModel& aModel,
         base::TimePoint aNow)
    : mTask(aTask)
    , mModel(aModel)
    , mNow(aNow)
  {
  }

  void Consider(WorkerState& aWorker, std::size_t aIdHash)
  {
    ++mCount;
    const StepState& step = *mTask.mStep;
    if (!IsCompatible(step, aWorker, mNow)) {
      return;
    }
    mMostFree = base::Max(mMostFree, aWorker.mEntry.mCapacity - aWorker.mUsed);
    if (!HasRoom(step, aWorker, mNow)) {
      return;
    }
    // The cost takes less work than the checks that follow.
    const double cost = PlacementCost(mTask, aWorker, mModel, mNow);
    if (!IsBetter(cost, aIdHash, aWorker)) {
      return;
    }
    if (step.mSpec->mIsBackfill &&
        WouldExceedMaxTailRatio(step, aWorker, mModel)) {
      mDependsOnImage = true;
      return;
    }
    if (RunsOn(mTask, aWorker)) {
      return;
    }
    mBest = &aWorker;
    mCost = cost;
    mIdHash = aIdHash;
  }

  /// True if a worker with a cost of at least `aMinCost` may be chosen.
  bool IsBetter(double aMinCost,
                std::size_t aIdHash,
                const WorkerState& aWorker) const
  {
    return mBest == nullptr || std::tie(aMinCost, aIdHash, aWorker.mEntry.mId) <
                                 std::tie(mCost, mIdHash, mBest->mEntry.mId);
  }

  /// After a search without result: the least demand, with the processors of
  /// the step, for which none of the considered workers is eligible.
  base::Resources FailedDemand() const
  {
    base::Resources demand = mTask.mStep->mSpec->mResources;
    demand.mMemoryBytes =
      std::min(demand.mMemoryBytes, mMostFree.mMemoryBytes + 1);
    return demand;
  }

  WorkerState* Best() const { return mBest; }
  /// After a search without result: the image or the urgency of the step has
  /// excluded a worker.
  bool DependsOnImage() const { return mDependsOnImage; }
  std::int64_t Count() const { return mCount; }

private:
  const TaskState& mTask;
  const ColocationModel& mModel;
  const base::TimePoint mNow;
  WorkerState* mBest = nullptr;
  double mCost = 0.0;
  std::size_t mIdHash = 0;
  bool mDependsOnImage = false;
  /// Most free resources of the considered workers, in each dimension.
  base::Resources mMostFree;
  std::int64_t mCount = 0;
};

void
PlacementIndex::Update(WorkerState& aWorker)
{
  aWorker.mServiceRuns.clear();
  std::copy_if(
    aWorker.mRuns.begin(),
    aWorker.mRuns.end(),
    std::back_inserter(aWorker.mServiceRuns),
    [](const RunState* aRun) { return aRun->mTask->mStep->mSpec->mIsService; });
  aWorker.mBackfillDemand = 0;
  aWorker.mHasBackfill = false;
  std::int64_t paced = 0;
  for (const RunState* it : aWorker.mRuns) {
    const jobs::Step& step = *it->mTask->mStep->mSpec;
    if (!step.mIsBackfill) {
      continue;
    }
    aWorker.mHasBackfill = true;
    if (it->mIsPacedFromStart && it->mTargetPace < kFullPace) {
      paced = std::max(paced, step.mResources.mMilliProcessors);
    } else {
      aWorker.mBackfillDemand += step.mResources.mMilliProcessors;
    }
  }
  aWorker.mBackfillDemand += paced;
  Ranks ranks;
  ranks.mPool = aWorker.mEntry.mPool;
  const std::size_t hash = std::hash<std::string>()(aWorker.mEntry.mId);
  const std::int64_t capacity = aWorker.mEntry.mCapacity.mMilliProcessors;
  aWorker.mUnusedProcessors = EstimateUnusedProcessors(aWorker);
  ranks.mFree = { capacity - aWorker.mUsed.mMilliProcessors, hash, &aWorker };
  ranks.mUnused = { aWorker.mBackfillDemand - aWorker.mUnusedProcessors,
                    hash,
                    &aWorker };
  ranks.mHasServices = !aWorker.mServiceRuns.empty();
  auto& current = mRanks[&aWorker];
  if (current.mFree.mWorker != nullptr) {
    RemoveFromPool(current);
  }
  Pool& pool = mPools[ranks.mPool];
  pool.mMinCapacity =
    pool.mByFree.empty() ? capacity : std::min(pool.mMinCapacity, capacity);
  pool.mByFree.insert(ranks.mFree);
  UnusedRanking(pool, ranks).insert(ranks.mUnused);
  current = std::move(ranks);
}

void
PlacementIndex::Remove(const WorkerState& aWorker)
{
  const auto found = mRanks.find(&aWorker);
  if (found == mRanks.end()) {
    return;
  }
  RemoveFromPool(found->second);
  mRanks.erase(found);
  // The worker may be among the available workers of several pools.
  ForgetFailures();
}

void
PlacementIndex::RemoveFromPool(const Ranks& aRanks)
{
  const auto pool = mPools.find(aRanks.mPool);
  if (pool != mPools.end()) {
    pool->second.mByFree.erase(aRanks.mFree);
    UnusedRanking(pool->second, aRanks).erase(aRanks.mUnused);
  }
}

PlacementIndex::Ranking&
PlacementIndex::UnusedRanking(Pool& aPool, const Ranks& aRanks)
{
  return aRanks.mHasServices ? aPool.mWithServices : aPool.mWithoutServices;
}

void
PlacementIndex::OnAvailable(WorkerState& aWorker)
{
  mPools[aWorker.mEntry.mPool].mAvailable.push_back(&aWorker);
}

void
PlacementIndex::ForgetFailures()
{
  for (auto& [name, pool] : mPools) {
    pool.mFailedDemands.Clear();
    pool.mFailedPacedDemands.Clear();
    pool.mFailedSharedDemands.Clear();
    pool.mAvailable.clear();
  }
}

void
PlacementIndex::SearchForBackfill(const Ranking& aRanking,
                                  double aMinLeft,
                                  double aCost,
                                  Search& aSearch)
{
  for (const Rank& it : aRanking) {
    const auto value = static_cast<double>(it.mValue);
    if (-value < aMinLeft ||
        !aSearch.IsBetter(value + aCost, it.mIdHash, *it.mWorker)) {
      return;
    }
    aSearch.Consider(*it.mWorker, it.mIdHash);
  }
}

WorkerState*
PlacementIndex::Choose(const TaskState& aTask,
                       const ColocationModel& aModel,
                       base::TimePoint aNow)
{
  const StepState& step = *aTask.mStep;
  const auto found = mPools.find(step.mJob->mSubmission.mPolicy.mPool);
  if (found == mPools.end()) {
    return nullptr;
  }
  Pool& pool = found->second;
  Search search(aTask, aModel, aNow);
  const std::int64_t requested = step.mSpec->mResources.mMilliProcessors;
  const auto failed = pool.mFailedDemands.Find(step);
  if (failed) {
    for (std::size_t n = failed->mPosition; n < pool.mAvailable.size(); ++n) {
      const auto ranks = mRanks.find(pool.mAvailable[n]);
      search.Consider(*pool.mAvailable[n], ranks->second.mFree.mIdHash);
    }
  } else if (step.mSpec->mIsBackfill) {
    const double minLeft =
      MinProcessorsForBackfill(std::min(requested, pool.mMinCapacity));
    SearchForBackfill(pool.mWithServices, minLeft, 0.0, search);
    SearchForBackfill(pool.mWithoutServices, minLeft, kNoServiceCost, search);
  } else {
    for (auto it = pool.mByFree.lower_bound({ requested, 0, nullptr });
         it != pool.mByFree.end();
         ++it) {
      const auto minCost = static_cast<double>(it->mValue - requested);
      if (!search.IsBetter(minCost, it->mIdHash, *it->mWorker)) {
        break;
      }
      search.Consider(*it->mWorker, it->mIdHash);
    }
  }
  mConsideredCount += search.Count();
  if (search.Best() == nullptr && IsLimitedByDemandOnly(aTask)) {
    FailedDemands::Demand demand{ search.FailedDemand(),
                                  pool.mAvailable.size(),
                                  search.DependsOnImage() };
    if (failed) {
      // It applies to the workers that this search has not considered.
      demand.mResources = base::Max(demand.mResources, failed->mResources);
      demand.mDependsOnImage =
        demand.mDependsOnImage || failed->mDependsOnImage;
    }
    pool.mFailedDemands.Add(step, demand);
  }
  return search.Best();
}

PlacementIndex::PacedChoice
PlacementIndex::ChoosePaced(const TaskState& aTask,
                            const ColocationModel& aModel,
                            bool aMayShare,
                            base::TimePoint aNow)
{
  const StepState& step = *aTask.mStep;
  const auto found = mPools.find(step.mJob->mSubmission.mPolicy.mPool);
  if (found == mPools.end()) {
    return {};
  }
  Pool& pool = found->second;
  FailedDemands& failedDemands =
    aMayShare ? pool.mFailedSharedDemands : pool.mFailedPacedDemands;
  if (failedDemands.Find(step)) {
    return {};
  }
  const double minLeft = MinProcessorsForBackfill(
    std::min(step.mSpec->mResources.mMilliProcessors, pool.mMinCapacity));
  PacedChoice best;
  double bestCost = 0.0;
  for (const Rank& it : pool.mWithServices) {
    if (static_cast<double>(-it.mValue) < minLeft) {
      break;
    }
    ++mConsideredCount;
    WorkerState& worker = *it.mWorker;
    if (!IsCompatible(step, worker, aNow) || !HasRoom(step, worker, aNow) ||
        RunsOn(aTask, worker)) {
      continue;
    }
    const auto others = static_cast<int>(CountPacedStarts(worker));
    // Each start runs at full pace until its pace call is answered, and the
    // next report shows what it does to the services.
    if ((others > 0 && !aMayShare) || IsPaceCallOpen(worker) ||
        worker.mPacedStartAt + kMinPacedStartInterval > aNow) {
      continue;
    }
    const int left = HarmlessPace(step, worker, aModel, false);
    const int pace = others == 0 ? HarmlessPace(step, worker, aModel, true)
                                 : left / (others + 1);
    if (others == 0 ? left < kMinStartPace : pace < kMinSharedPace) {
      continue;
    }
    const double cost = PlacementCost(aTask, worker, aModel, aNow) +
                        kPaceCost * (kFullPace - pace) +
                        kPacedStartCost * static_cast<double>(others);
    if (best.mWorker == nullptr || cost < bestCost) {
      best = { &worker, pace };
      bestCost = cost;
    }
  }
  if (best.mWorker == nullptr && IsLimitedByDemandOnly(aTask)) {
    failedDemands.Add(step, { step.mSpec->mResources, 0, true });
  }
  return best;
}

} // namespace skylarkhill::dispatch
