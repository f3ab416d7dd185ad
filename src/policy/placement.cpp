#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/policy/interference.hpp"
#include "skylarkhill/policy/profiles.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace skylarkhill::policy {

namespace {

/// Chooses the first worker with enough free resources.
class FirstFitPlacement : public PlacementPolicy
{
public:
  std::optional<std::size_t> Choose(
    const TaskDemand& aTask,
    const std::vector<WorkerView>& aWorkers) const override
  {
    for (std::size_t n = 0; n < aWorkers.size(); ++n) {
      if (base::Fits(aTask.mNeed, aWorkers[n].mFree)) {
        return n;
      }
    }
    return std::nullopt;
  }

  void RecordPlacement(const TaskDemand&,
                       const base::WorkerId&,
                       base::TimePoint) override
  {
  }

  void RecordReport(const InterferenceReport&) override {}
};

struct PlacementWeights
{
  /// Cost of one percentage point of expected slowdown.
  double mInterference;
  /// Cost of one percentage point of unused capacity.
  double mUnused;
  /// Expected slowdown, in percentage points, above which a worker is not
  /// chosen for a task that is not urgent.
  double mMaxSlowdownPercent;
};

constexpr PlacementWeights kThroughputWeights{ 0.5, 1.0, 150.0 };
constexpr PlacementWeights kTailWeights{ 2.0, 0.5, 70.0 };

/// Smaller of the free fractions of processors and memory, in percent.
double
UnusedPercent(const base::Resources& aFree, const base::Resources& aCapacity)
{
  const auto share = [](std::int64_t aPart, std::int64_t aWhole) {
    return aWhole <= 0
             ? 100.0
             : 100.0 * static_cast<double>(aPart) / static_cast<double>(aWhole);
  };
  return std::min(share(aFree.mMilliProcessors, aCapacity.mMilliProcessors),
                  share(aFree.mMemoryBytes, aCapacity.mMemoryBytes));
}

/// Caches the estimates of one decision: computing the decay is expensive, and
/// most workers need the same few pairs.
class EstimateCache
{
public:
  EstimateCache(const InterferenceModel& aModel, base::TimePoint aNow)
    : mModel(aModel)
    , mNow(aNow)
  {
  }

  using Row = std::unordered_map<std::string_view, double>;

  /// The estimates for one service; valid as long as the cache.
  Row& RowOf(const std::string& aService) { return mRows[aService]; }

  double Find(Row& aRow, const std::string& aService, const std::string& aClass)
  {
    const auto [it, isNew] = aRow.try_emplace(aClass, 0.0);
    if (isNew) {
      it->second = mModel.Estimate(aService, aClass, mNow);
    }
    return it->second;
  }

private:
  const InterferenceModel& mModel;
  base::TimePoint mNow;
  std::unordered_map<std::string_view, Row> mRows;
};

/// Minimizes a weighted sum of estimated interference and unused capacity.
class InterferenceAwarePlacement : public PlacementPolicy
{
public:
  explicit InterferenceAwarePlacement(const PlacementWeights& aWeights)
    : mWeights(aWeights)
  {
  }

  std::optional<std::size_t> Choose(
    const TaskDemand& aTask,
    const std::vector<WorkerView>& aWorkers) const override
  {
    std::optional<std::size_t> best;
    double bestCost = 0.0;
    EstimateCache cache(mModel, mNow);
    for (std::size_t n = 0; n < aWorkers.size(); ++n) {
      const WorkerView& worker = aWorkers[n];
      if (!base::Fits(aTask.mNeed, worker.mFree)) {
        continue;
      }
      const double slowdown = ExpectedSlowdown(aTask, worker, cache);
      if (!aTask.mUrgent && slowdown > mWeights.mMaxSlowdownPercent) {
        continue;
      }
      const double cost = Cost(aTask, worker, slowdown);
      if (!best || cost < bestCost) {
        best = n;
        bestCost = cost;
      }
    }
    return best;
  }

  void RecordPlacement(const TaskDemand&,
                       const base::WorkerId&,
                       base::TimePoint aNow) override
  {
    mNow = std::max(mNow, aNow);
  }

  void RecordReport(const InterferenceReport& aReport) override
  {
    mNow = std::max(mNow, aReport.mMeasuredAt);
    mModel.Record(aReport);
  }

  double ExpectedInterference(const std::string& aService,
                              const std::string& aBatchClass) const override
  {
    return mModel.Estimate(aService, aBatchClass, mNow);
  }

private:
  // Slowdown of the most affected service, in percentage points. The task
  // counts include grants that no report includes yet, so a worker that was
  // just chosen counts as loaded.
  static double ExpectedSlowdown(const TaskDemand& aTask,
                                 const WorkerView& aWorker,
                                 EstimateCache& aCache)
  {
    double worst = 0.0;
    for (const auto& service : aWorker.mServices) {
      auto& row = aCache.RowOf(service);
      double sum = aCache.Find(row, service, aTask.mBatchClass);
      for (const auto& it : aWorker.mBatchTasks) {
        sum +=
          static_cast<double>(it.second) * aCache.Find(row, service, it.first);
      }
      worst = std::max(worst, sum);
    }
    return worst;
  }

  double Cost(const TaskDemand& aTask,
              const WorkerView& aWorker,
              double aSlowdown) const
  {
    const double unused =
      UnusedPercent(aWorker.mFree - aTask.mNeed, aWorker.mCapacity);
    // A hash of task and worker adds up to 1 to the cost, so that instances
    // with equal views spread their tasks over workers of nearly equal cost.
    const std::uint64_t tie = base::StableHash(
      aWorker.mWorker.mValue, base::StableHash(aTask.mTask.mValue));
    return mWeights.mInterference * aSlowdown + mWeights.mUnused * unused +
           static_cast<double>(tie % 1024) / 1024.0;
  }

  PlacementWeights mWeights;
  InterferenceModel mModel;
  base::TimePoint mNow;
};

} // namespace

double
PlacementPolicy::ExpectedInterference(const std::string&,
                                      const std::string&) const
{
  return 0.0;
}

std::unique_ptr<PlacementPolicy>
CreatePlacementPolicy(Profile aProfile)
{
  switch (aProfile) {
    case Profile::Throughput:
      return std::make_unique<InterferenceAwarePlacement>(kThroughputWeights);
    case Profile::Tail:
      return std::make_unique<InterferenceAwarePlacement>(kTailWeights);
    case Profile::Baseline:
      break;
  }
  return std::make_unique<FirstFitPlacement>();
}

} // namespace skylarkhill::policy
