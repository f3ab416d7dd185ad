#include "colocation_model.hpp"

#include "skylarkhill/base/msgpack.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "state.hpp"

namespace skylarkhill::dispatch {

namespace {

/// Baseline of a service without reports: a typical load with a margin for its
/// variation.
constexpr Saturation kDefaultBaseline = 0.55;

/// Bounds of a baseline. A higher saturation is attributed to interference that
/// the model does not know yet.
constexpr Saturation kMinBaseline = 0.1;
constexpr Saturation kMaxBaseline = 0.8;

/// Older reports are not used to estimate a baseline: the load of a service may
/// change by half within ten seconds.
constexpr base::Duration kMaxBaselineAge = std::chrono::milliseconds(1200);

/// A task may exceed the baseline of its service by this much before its own
/// baseline is used, for example on a worker that has become slow.
constexpr Saturation kBaselineTolerance = 0.15;

/// Variance of the difference in saturation between two tasks of a service,
/// both without colocated backfill: the upper end of usual deviations, 0.05 to
/// 0.1.
constexpr double kBaselineVariance = 0.01;
/// Variance if all other reporting tasks have colocated backfill.
constexpr double kColocatedBaselineVariance = 0.03;
/// Variance if no other task has reported.
constexpr double kDefaultBaselineVariance = 0.06;

/// Tail ratio of an idle service task: assumes a target of five times the idle
/// tail latency.
constexpr TailRatio kIdleRatio = 0.2;

constexpr double kPercent = 100.0;

/// Largest header of a msgpack array or string.
constexpr std::size_t kMaxMsgpackHeaderBytes = 5;
/// Size of a serialised estimate without the names: the header of the row,
/// those of the names, and two numbers.
constexpr std::size_t kMaxRowOverheadBytes =
  1 + 2 * kMaxMsgpackHeaderBytes + 2 * (1 + sizeof(double));

/// Serialised estimate: service image, backfill image, mean, variance.
using EstimateFields = std::tuple<std::string, std::string, double, double>;

/// Baseline of a service and the variance of the estimate.
struct BaselineEstimate
{
  Saturation mBaseline = kDefaultBaseline;
  double mVariance = kDefaultBaselineVariance;
};

/// Median baseline of the tasks of a service, without the run `aExcept`.
BaselineEstimate
EstimateBaseline(const StepState& aService,
                 const RunState* aExcept,
                 base::TimePoint aNow)
{
  std::vector<double> isolated;
  std::vector<double> colocated;
  for (const TaskState& task : aService.mTasks) {
    for (const RunState& it : task.mRuns) {
      if (&it != aExcept && it.mTailLatencyOrUse > 0 &&
          it.mBaselineAt + kMaxBaselineAge > aNow) {
        (it.mIsColocated ? colocated : isolated).push_back(it.mBaseline);
      }
    }
  }
  std::vector<double>& baselines = isolated.empty() ? colocated : isolated;
  if (baselines.empty()) {
    return {};
  }
  const auto middle =
    baselines.begin() + static_cast<std::ptrdiff_t>((baselines.size() - 1) / 2);
  std::nth_element(baselines.begin(), middle, baselines.end());
  return { *middle,
           isolated.empty() ? kColocatedBaselineVariance : kBaselineVariance };
}

/// By backfill image: share of the worker's processors at the last report.
std::map<int, double>
SumBackfillShares(const WorkerState& aWorker)
{
  std::map<int, double> shares;
  for (const RunState* it : aWorker.mRuns) {
    const StepState& step = *it->mTask->mStep;
    if (step.mSpec->mIsBackfill && it->mTailLatencyOrUse > 0) {
      shares[step.mImage] += ShareOf(it->mTailLatencyOrUse, aWorker);
    }
  }
  return shares;
}

/// Averages the processor shares of two reports: tail latencies lag behind
/// processor use, so the previous report counts as much as the newest one.
std::vector<BackfillUsage>
AverageBackfillShares(const std::map<int, double>& aPrevious,
                      const std::map<int, double>& aNewest)
{
  std::map<int, double> sums = aPrevious;
  for (const auto& [image, share] : aNewest) {
    sums[image] += share;
  }
  std::vector<BackfillUsage> backfill;
  backfill.reserve(sums.size());
  for (const auto& [image, share] : sums) {
    backfill.push_back({ image, share / 2 });
  }
  return backfill;
}

} // namespace

Saturation
SaturationOf(TailRatio aRatio)
{
  return 1.0 - kIdleRatio / std::max(aRatio, kIdleRatio / 2);
}

int
ColocationModel::Intern(const std::string& aImage)
{
  const auto [it, isNew] =
    mImageIndexes.emplace(aImage, static_cast<int>(mImageNames.size()));
  if (isNew) {
    mImageNames.push_back(aImage);
  }
  return it->second;
}

void
ColocationModel::Update(WorkerState& aWorker, base::TimePoint aNow)
{
  std::vector<RunState*> services;
  for (RunState* it : aWorker.mRuns) {
    const jobs::Step& step = *it->mTask->mStep->mSpec;
    if (step.mIsService && step.mTailTargetMs > 0 &&
        it->mTailLatencyOrUse > 0) {
      services.push_back(it);
    }
  }
  std::map<int, double> shares = SumBackfillShares(aWorker);
  const std::vector<BackfillUsage> backfill =
    AverageBackfillShares(aWorker.mBackfillShares, shares);
  aWorker.mBackfillShares = std::move(shares);
  for (RunState* it : services) {
    Saturation interference = 0.0;
    for (const BackfillUsage& other : backfill) {
      interference += ExpectedInterference(
        it->mTask->mStep->mImage, other.mImage, other.mShare);
    }
    it->mBaseline = std::clamp(SaturationOf(TailRatioOf(*it)) - interference,
                               kMinBaseline,
                               kMaxBaseline);
    it->mBaselineAt = aNow;
    it->mIsColocated = !backfill.empty();
  }
  for (RunState* it : services) {
    StepState& step = *it->mTask->mStep;
    step.mBaseline = EstimateBaseline(step, nullptr, aNow).mBaseline;
    if (!backfill.empty()) {
      const BaselineEstimate others = EstimateBaseline(step, it, aNow);
      mEstimator.Update(step.mImage,
                        backfill,
                        SaturationOf(TailRatioOf(*it)) - others.mBaseline,
                        others.mVariance);
    }
  }
}

Saturation
ColocationModel::ExpectedInterference(int aServiceImage,
                                      int aBackfillImage,
                                      double aShare) const
{
  return mEstimator.Estimate(aServiceImage, aBackfillImage).mMean * aShare;
}

Saturation
ColocationModel::CautiousInterference(int aServiceImage,
                                      int aBackfillImage,
                                      double aShare) const
{
  const PairEstimate estimate =
    mEstimator.Estimate(aServiceImage, aBackfillImage);
  return (estimate.mMean + std::sqrt(estimate.mVariance)) * aShare;
}

Saturation
ColocationModel::InterferenceBetween(const RunState& aService,
                                     const RunState& aBackfill) const
{
  return ExpectedInterference(aService.mTask->mStep->mImage,
                              aBackfill.mTask->mStep->mImage,
                              BackfillShareOf(aBackfill));
}

Saturation
ColocationModel::TotalInterference(const RunState& aService,
                                   bool aCountsPacedStarts) const
{
  Saturation interference = 0.0;
  for (const RunState* it : aService.mWorker->mRuns) {
    if (it->mTask->mStep->mSpec->mIsBackfill && !it->mIsStopping &&
        (aCountsPacedStarts || !it->mIsPacedFromStart)) {
      interference +=
        InterferenceBetween(aService, *it) * it->mTargetPace / kPercent;
    }
  }
  return interference;
}

ColocationModel::Record
ColocationModel::Export(std::size_t aMaxBytes) const
{
  Record record;
  std::vector<EstimateFields> rows;
  std::size_t bytes = kMaxMsgpackHeaderBytes;
  for (const auto& it : mEstimator.ListByRecency()) {
    const auto nameOf = [&](int aImage) -> const std::string& {
      return mImageNames[static_cast<std::size_t>(aImage)];
    };
    const std::string& service = nameOf(it.mServiceImage);
    const std::string& backfill = nameOf(it.mBackfillImage);
    const std::size_t rowBytes =
      kMaxRowOverheadBytes + service.size() + backfill.size();
    if (bytes + rowBytes > aMaxBytes) {
      ++record.mOmittedPairs;
      continue;
    }
    bytes += rowBytes;
    rows.emplace_back(
      service, backfill, it.mEstimate.mMean, it.mEstimate.mVariance);
  }
  record.mBytes = base::PackMsgpack(rows);
  return record;
}

base::Result<void>
ColocationModel::Import(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(rows,
                    base::UnpackMsgpack<std::vector<EstimateFields>>(aBytes));
  // The last updated pair comes first.
  for (auto it = rows.rbegin(); it != rows.rend(); ++it) {
    const auto& [service, backfill, mean, variance] = *it;
    mEstimator.Set(Intern(service), Intern(backfill), { mean, variance });
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

TailRatio
TailRatioOf(const RunState& aRun)
{
  const auto target = aRun.mTask->mStep->mSpec->mTailTargetMs;
  return aRun.mTailLatencyOrUse > 0 && target > 0
           ? static_cast<double>(aRun.mTailLatencyOrUse) /
               static_cast<double>(target)
           : kIdleRatio / (1.0 - kDefaultBaseline);
}

Saturation
BaselineOf(const RunState& aService)
{
  return std::max(aService.mTask->mStep->mBaseline.value_or(kDefaultBaseline),
                  aService.mBaseline - kBaselineTolerance);
}

double
ShareOf(std::int64_t aMilliProcessors, const WorkerState& aWorker)
{
  return static_cast<double>(aMilliProcessors) /
         static_cast<double>(std::max<std::int64_t>(
           1, aWorker.mEntry.mCapacity.mMilliProcessors));
}

double
BackfillShareOf(const RunState& aRun)
{
  return ShareOf(aRun.mTask->mStep->mSpec->mResources.mMilliProcessors,
                 *aRun.mWorker);
}

} // namespace skylarkhill::dispatch
