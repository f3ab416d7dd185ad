#include "sharing.hpp"

#include "state.hpp"

#include <algorithm>
#include <cmath>

namespace skylarkhill::dispatch {

namespace {

/// Tail ratio of a service task that nothing disturbs; sites set the target to
/// five times the usual tail, which doubles at the height of the load.
constexpr TailRatio kUndisturbedRatio = 0.45;

/// A run that has worked for less is not yet part of a reported tail.
constexpr base::Duration kReportWindow = std::chrono::milliseconds(600);

constexpr double kPercent = 100.0;

} // namespace

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
SharingModel::Record(const WorkerState& aWorker, base::TimePoint aNow)
{
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
      kPercent + kPercent * (TailRatioOf(*it) - kUndisturbedRatio);
    mModel.Record(report);
    for (const auto& [image, share] : shares) {
      Cell(step.mImage, image) =
        mModel.Estimate(report.mService,
                        mNames[static_cast<std::size_t>(image)],
                        aNow);
    }
  }
}

TailRatio
SharingModel::Rise(int aServiceImage, int aBackfillImage, double aShare) const
{
  const auto service = static_cast<std::size_t>(aServiceImage);
  const auto backfill = static_cast<std::size_t>(aBackfillImage);
  if (service >= mEstimates.size() ||
      backfill >= mEstimates[service].size()) {
    return 0.0;
  }
  return mEstimates[service][backfill] * aShare;
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

double
BackfillShareOf(const RunState& aRun)
{
  return static_cast<double>(
           aRun.mTask->mStep->mSpec->mNeed.mMilliProcessors) /
         static_cast<double>(
           std::max<std::int64_t>(
             1, aRun.mWorker->mEntry.mCapacity.mMilliProcessors));
}

} // namespace skylarkhill::dispatch
