#include "sharing.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <cmath>
#include <exception>
#include <tuple>

#include "state.hpp"

namespace skylarkhill::dispatch {

namespace {

/// Tail ratio of a service task that nothing disturbs; sites set the target to
/// five times the usual tail, which doubles at the height of the load.
constexpr TailRatio kUndisturbedRatio = 0.45;

/// Bounds of what counts as undisturbed: a higher tail is taken for the effect
/// of something that the model does not know yet.
constexpr TailRatio kLowestUndisturbedRatio = 0.2;
constexpr TailRatio kHighestUndisturbedRatio = 0.9;

/// Weight of one report.
constexpr double kSmoothing = 0.4;

/// A run that has worked for less is not yet part of a reported tail.
constexpr base::Duration kReportWindow = std::chrono::milliseconds(600);

/// Tail ratio of an idle service task, far below any that is reported.
constexpr TailRatio kIdleRatio = 0.25;

constexpr double kPercent = 100.0;

/// Service image, backfill image, estimate.
using EstimateFields = std::tuple<std::string, std::string, double>;

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
  for (RunState* it : aWorker.mRuns) {
    if (it->mTask->mStep->mSpec->mIsService && it->mUsage > 0) {
      RecordUndisturbed(*it);
    }
  }
  std::map<int, double> shares;
  for (const RunState* it : aWorker.mRuns) {
    const StepState& step = *it->mTask->mStep;
    if (step.mSpec->mIsBackfill && it->mUsage > 0 &&
        it->mConfirmedAt + kReportWindow < aNow) {
      shares[step.mImage] +=
        kPercent * static_cast<double>(it->mUsage) /
        static_cast<double>(aWorker.mEntry.mCapacity.mMilliProcessors);
    }
  }
  if (shares.empty()) {
    return;
  }
  policy::InterferenceReport report;
  report.mMeasuredAt = aNow;
  for (const auto& [image, share] : shares) {
    report.mBatchTasks[mNames[static_cast<std::size_t>(image)]] =
      std::max(1, static_cast<int>(std::lround(share)));
  }
  for (const RunState* it : aWorker.mRuns) {
    const StepState& step = *it->mTask->mStep;
    if (!step.mSpec->mIsService || it->mUsage <= 0 ||
        step.mSpec->mTailTargetMs <= 0) {
      continue;
    }
    report.mService = mNames[static_cast<std::size_t>(step.mImage)];
    report.mSlowdownPercent =
      std::lround(kPercent + kPercent * (PressureOf(TailRatioOf(*it)) -
                                         PressureOf(kUndisturbedRatio)));
    mModel.Record(report);
    for (const auto& [image, share] : shares) {
      Cell(step.mImage, image) = mModel.Estimate(
        report.mService, mNames[static_cast<std::size_t>(image)], aNow);
    }
  }
}

Pressure
SharingModel::Rise(int aServiceImage, int aBackfillImage, double aShare) const
{
  const auto service = static_cast<std::size_t>(aServiceImage);
  const auto backfill = static_cast<std::size_t>(aBackfillImage);
  if (service >= mEstimates.size() || backfill >= mEstimates[service].size()) {
    return 0.0;
  }
  return mEstimates[service][backfill] * aShare;
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
  for (std::size_t service = 0; service < mEstimates.size(); ++service) {
    for (std::size_t image = 0; image < mEstimates[service].size(); ++image) {
      if (mEstimates[service][image] > 0.0) {
        rows.emplace_back(
          mNames[service], mNames[image], mEstimates[service][image]);
      }
    }
  }
  msgpack::sbuffer buf;
  msgpack::pack(buf, rows);
  return { buf.data(), buf.size() };
}

base::Result<void>
SharingModel::Import(std::string_view aBytes, base::TimePoint aNow)
{
  std::vector<EstimateFields> rows;
  try {
    const auto handle = msgpack::unpack(aBytes.data(), aBytes.size());
    rows = handle.get().as<std::vector<EstimateFields>>();
  } catch (const std::exception& e) {
    return base::MakeError(base::ErrorKind::InvalidArgument, e.what());
  }
  for (const auto& [service, image, estimate] : rows) {
    mModel.SetEstimate(service, image, estimate, aNow);
    Cell(Intern(service), Intern(image)) = estimate;
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void
SharingModel::RecordUndisturbed(RunState& aService) const
{
  Pressure rise = 0.0;
  for (const RunState* it : aService.mWorker->mRuns) {
    const jobs::Step& step = *it->mTask->mStep->mSpec;
    if (step.mIsBackfill && it->mUsage > 0) {
      const double used = static_cast<double>(it->mUsage) /
                          static_cast<double>(step.mNeed.mMilliProcessors);
      rise += RiseBetween(aService, *it) * std::min(1.0, used);
    }
  }
  const double observed = std::clamp(PressureOf(TailRatioOf(aService)) - rise,
                                     PressureOf(kLowestUndisturbedRatio),
                                     PressureOf(kHighestUndisturbedRatio));
  aService.mUndisturbed = aService.mUndisturbed
                            ? *aService.mUndisturbed +
                                kSmoothing * (observed - *aService.mUndisturbed)
                            : observed;
}

double&
SharingModel::Cell(int aServiceImage, int aBackfillImage)
{
  const auto service = static_cast<std::size_t>(aServiceImage);
  const auto backfill = static_cast<std::size_t>(aBackfillImage);
  if (service >= mEstimates.size()) {
    mEstimates.resize(service + 1);
  }
  auto& row = mEstimates[service];
  if (backfill >= row.size()) {
    row.resize(backfill + 1, 0.0);
  }
  return row[backfill];
}

TailRatio
TailRatioOf(const RunState& aRun)
{
  const auto target = aRun.mTask->mStep->mSpec->mTailTargetMs;
  return aRun.mUsage > 0 && target > 0
           ? static_cast<double>(aRun.mUsage) / static_cast<double>(target)
           : kUndisturbedRatio;
}

Pressure
UndisturbedPressureOf(const RunState& aService)
{
  return aService.mUndisturbed.value_or(PressureOf(kUndisturbedRatio));
}

double
BackfillShareOf(const RunState& aRun)
{
  return static_cast<double>(aRun.mTask->mStep->mSpec->mNeed.mMilliProcessors) /
         static_cast<double>(std::max<std::int64_t>(
           1, aRun.mWorker->mEntry.mCapacity.mMilliProcessors));
}

} // namespace skylarkhill::dispatch
