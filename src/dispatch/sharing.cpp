#include "sharing.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <cmath>
#include <exception>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "state.hpp"

namespace skylarkhill::dispatch {

namespace {

/// Pressure of a service whose load is not known: the load of the sites' usual
/// services, with a part of its swing.
constexpr Pressure kUsualLoad = 0.55;

/// Bounds of a load: a higher pressure is taken for the effect of something
/// that the model does not know yet.
constexpr Pressure kLowestLoad = 0.1;
constexpr Pressure kHighestLoad = 0.8;

/// Reports of other tasks of a service tell its load for this long; the load
/// swings by half of itself within ten seconds.
constexpr base::Duration kLoadAge = std::chrono::milliseconds(1200);

/// A task is taken to have a higher load than the others of its service from
/// this difference on, for example on a worker that has become slow.
constexpr Pressure kLoadTolerance = 0.15;

/// Variance of the difference between the pressures of two tasks of a service,
/// neither beside backfill; deviations of 0.05 to 0.1 were measured.
constexpr double kLoadNoise = 0.01;
/// The same if only tasks beside backfill tell the load.
constexpr double kDisturbedLoadNoise = 0.03;
/// The same if no other task tells the load.
constexpr double kUnknownLoadNoise = 0.06;

/// Tail ratio of an idle service task: sites set the target to five times the
/// tail at rest.
constexpr TailRatio kIdleRatio = 0.2;

constexpr double kPercent = 100.0;

/// Service image, backfill image, mean, variance.
using EstimateFields = std::tuple<std::string, std::string, double, double>;

/// What the tasks of a service except `aExcept` tell about its load.
struct LoadReport
{
  Pressure mLoad = kUsualLoad;
  double mNoise = kUnknownLoadNoise;
};

LoadReport
ReadLoad(const StepState& aService,
         const RunState* aExcept,
         base::TimePoint aNow)
{
  std::vector<double> free;
  std::vector<double> beside;
  for (const TaskState& task : aService.mTasks) {
    for (const RunState& it : task.mRuns) {
      if (&it != aExcept && it.mUsage > 0 && it.mLoadAt + kLoadAge > aNow) {
        (it.mIsBesideBackfill ? beside : free).push_back(it.mLoad);
      }
    }
  }
  std::vector<double>& loads = free.empty() ? beside : free;
  if (loads.empty()) {
    return {};
  }
  const auto middle =
    loads.begin() + static_cast<std::ptrdiff_t>((loads.size() - 1) / 2);
  std::nth_element(loads.begin(), middle, loads.end());
  return { *middle, free.empty() ? kDisturbedLoadNoise : kLoadNoise };
}

/// Share of the processors that each backfill image used by the last report.
std::map<int, double>
ReadBackfillShares(const WorkerState& aWorker)
{
  std::map<int, double> shares;
  for (const RunState* it : aWorker.mRuns) {
    const StepState& step = *it->mTask->mStep;
    if (step.mSpec->mIsBackfill && it->mUsage > 0) {
      shares[step.mImage] += ShareOf(it->mUsage, aWorker);
    }
  }
  return shares;
}

/// The backfill that shows in the tails of the newest report. They lag behind
/// the use of processors, which is why the report before counts as much.
std::vector<Presence>
Average(const std::map<int, double>& aPrevious,
        const std::map<int, double>& aNewest)
{
  std::map<int, double> sums = aPrevious;
  for (const auto& [image, share] : aNewest) {
    sums[image] += share;
  }
  std::vector<Presence> backfill;
  backfill.reserve(sums.size());
  for (const auto& [image, share] : sums) {
    backfill.push_back({ image, share / 2 });
  }
  return backfill;
}

} // namespace

Pressure
PressureOf(TailRatio aRatio)
{
  return 1.0 - kIdleRatio / std::max(aRatio, kIdleRatio / 2);
}

int
SharingModel::Intern(const std::string& aImage)
{
  const auto [it, isNew] =
    mNumbers.emplace(aImage, static_cast<int>(mNames.size()));
  if (isNew) {
    mNames.push_back(aImage);
  }
  return it->second;
}

void
SharingModel::Record(WorkerState& aWorker, base::TimePoint aNow)
{
  std::vector<RunState*> services;
  for (RunState* it : aWorker.mRuns) {
    const jobs::Step& step = *it->mTask->mStep->mSpec;
    if (step.mIsService && step.mTailTargetMs > 0 && it->mUsage > 0) {
      services.push_back(it);
    }
  }
  std::map<int, double> shares = ReadBackfillShares(aWorker);
  const std::vector<Presence> backfill =
    Average(aWorker.mBackfillShares, shares);
  aWorker.mBackfillShares = std::move(shares);
  for (RunState* it : services) {
    Pressure rise = 0.0;
    for (const Presence& other : backfill) {
      rise += Rise(it->mTask->mStep->mImage, other.mImage, other.mShare);
    }
    it->mLoad = std::clamp(
      PressureOf(TailRatioOf(*it)) - rise, kLowestLoad, kHighestLoad);
    it->mLoadAt = aNow;
    it->mIsBesideBackfill = !backfill.empty();
  }
  for (RunState* it : services) {
    StepState& step = *it->mTask->mStep;
    step.mLoad = ReadLoad(step, nullptr, aNow).mLoad;
    if (!backfill.empty()) {
      const LoadReport others = ReadLoad(step, it, aNow);
      mModel.Record(step.mImage,
                    backfill,
                    PressureOf(TailRatioOf(*it)) - others.mLoad,
                    others.mNoise);
    }
  }
}

Pressure
SharingModel::Rise(int aServiceImage, int aBackfillImage, double aShare) const
{
  return mModel.Estimate(aServiceImage, aBackfillImage).mMean * aShare;
}

Pressure
SharingModel::RiseAtMost(int aServiceImage,
                         int aBackfillImage,
                         double aShare) const
{
  const PairEstimate estimate = mModel.Estimate(aServiceImage, aBackfillImage);
  return (estimate.mMean + std::sqrt(estimate.mVariance)) * aShare;
}

Pressure
SharingModel::RiseBetween(const RunState& aService,
                          const RunState& aBackfill) const
{
  return Rise(aService.mTask->mStep->mImage,
              aBackfill.mTask->mStep->mImage,
              BackfillShareOf(aBackfill));
}

Pressure
SharingModel::ExpectedRise(const RunState& aService) const
{
  Pressure rise = 0.0;
  for (const RunState* it : aService.mWorker->mRuns) {
    if (it->mTask->mStep->mSpec->mIsBackfill && !it->mIsStopping) {
      rise += RiseBetween(aService, *it) * it->mWantedPace / kPercent;
    }
  }
  return rise;
}

std::string
SharingModel::Export() const
{
  std::vector<EstimateFields> rows;
  const int count = static_cast<int>(mNames.size());
  for (int service = 0; service < count; ++service) {
    for (int image = 0; image < count; ++image) {
      if (mModel.Knows(service, image)) {
        const PairEstimate estimate = mModel.Estimate(service, image);
        rows.emplace_back(mNames[static_cast<std::size_t>(service)],
                          mNames[static_cast<std::size_t>(image)],
                          estimate.mMean,
                          estimate.mVariance);
      }
    }
  }
  msgpack::sbuffer buf;
  msgpack::pack(buf, rows);
  return { buf.data(), buf.size() };
}

base::Result<void>
SharingModel::Import(std::string_view aBytes)
{
  std::vector<EstimateFields> rows;
  try {
    const auto handle = msgpack::unpack(aBytes.data(), aBytes.size());
    rows = handle.get().as<std::vector<EstimateFields>>();
  } catch (const std::exception& e) {
    return base::MakeError(base::ErrorKind::InvalidArgument, e.what());
  }
  for (const auto& [service, image, mean, variance] : rows) {
    mModel.Set(Intern(service), Intern(image), { mean, variance });
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

TailRatio
TailRatioOf(const RunState& aRun)
{
  const auto target = aRun.mTask->mStep->mSpec->mTailTargetMs;
  return aRun.mUsage > 0 && target > 0
           ? static_cast<double>(aRun.mUsage) / static_cast<double>(target)
           : kIdleRatio / (1.0 - kUsualLoad);
}

Pressure
LoadOf(const RunState& aService)
{
  return std::max(aService.mTask->mStep->mLoad.value_or(kUsualLoad),
                  aService.mLoad - kLoadTolerance);
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
  return ShareOf(aRun.mTask->mStep->mSpec->mNeed.mMilliProcessors,
                 *aRun.mWorker);
}

} // namespace skylarkhill::dispatch
