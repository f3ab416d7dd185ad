#include "skylarkhill/node/node.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/logging/logging.hpp"
#include "skylarkhill/node/follower_ranking.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::node {

using base::Duration;
using base::TimePoint;

namespace {

/// A longer gap between two ticks means that the process was paused. Its state
/// may then be outdated, so it starts and stops no tasks until its leadership
/// is confirmed again.
constexpr Duration kMaxTickGap = std::chrono::milliseconds(900);
/// Maximum time between two ticks.
constexpr Duration kMaxTickInterval = std::chrono::milliseconds(100);
/// Pause between two summary lines of the call loop in the log.
constexpr Duration kSummaryInterval = std::chrono::seconds(2);
constexpr Duration kCountInterval = std::chrono::seconds(20);
/// Interval between two searches for cells that this instance may lead soon.
constexpr Duration kPreparationInterval = std::chrono::milliseconds(500);
/// Interval at which the list of instances is read while leaders resign, so
/// that instances that are up are named and prepare.
constexpr Duration kSeriesReadInterval = std::chrono::seconds(1);
/// Time in which the list of instances is usually read.
constexpr Duration kMaxDirectoryWait = std::chrono::seconds(5);
/// Longest pause after a failed read of the configuration, which must be in
/// force soon after the log answers again.
constexpr Duration kMaxConfigurationPause = std::chrono::milliseconds(800);

} // namespace

Node::Node(NodeOptions aOptions,
           AsyncLog& aLog,
           BlockingLog& aBlockingLog,
           WorkerClients& aWorkerClients,
           const RecordDecoder& aDecoder,
           const base::Clock& aClock,
           const journal::WallClock& aWallClock,
           LoopProfile& aProfile,
           metrics::Registry& aMetrics)
  : mOptions(std::move(aOptions))
  , mLog(aLog)
  , mBlockingLog(aBlockingLog)
  , mWorkerClients(aWorkerClients)
  , mDecoder(aDecoder)
  , mClock(aClock)
  , mWallClock(aWallClock)
  , mProfile(aProfile)
  , mMetrics(aMetrics)
  , mLeading(aMetrics.GetGauge("skylarkhill_leading",
                               "Cells that this node dispatches tasks of."))
  , mJobCount(aMetrics.GetGauge("skylarkhill_jobs", "Jobs known here."))
  , mPlannedReads(aMetrics.GetGauge(
      "skylarkhill_log_planned_reads_per_second",
      "Reads of the log by all instances, without those for callers."))
  , mConfigurationReader(
      aLog,
      aClock,
      mOptions.mStreams.mConfiguration,
      { [this](const LogRecord& aRecord) { OnConfiguration(aRecord); }, {} })
  , mRegistry(aLog,
              aClock,
              mOptions.mStreams.mWorkers,
              aDecoder,
              aProfile,
              *this)
  , mAgreement(aLog,
               aClock,
               mOptions.mStreams.mCellMap,
               mOptions.mInstanceId,
               mOptions.mCells)
  , mPendingCancellations(aLog,
                          aClock,
                          aWallClock,
                          mOptions.mStreams.mJournal,
                          aMetrics)
{
  mJobRouter.SetPendingCancellations(mPendingCancellations);
  if (!mOptions.mStreams.mInstances.mTopic.empty()) {
    mDirectory.emplace(aLog,
                       aClock,
                       mOptions.mStreams.mInstances,
                       InstanceEntry{ mOptions.mName,
                                      mOptions.mDomain,
                                      mOptions.mQueryAddress,
                                      mOptions.mProcessors,
                                      {},
                                      aWallClock.NowMs() });
  }
  const std::uint64_t seed = base::StableHash(mOptions.mInstanceId);
  mConfigurationReader.SetRetrySeed(seed);
  mRegistry.SetRetrySeed(seed);
  mRegistry.SetMaxRateLimitPause(kMaxUrgentRateLimitPause);
  mConfigurationReader.SetMaxRateLimitPause(kMaxConfigurationPause);
  mLastTickAt = aClock.Now();
  if (mOptions.mCells.mMaxCells <= 1) {
    CreateCells({});
  }
}

void
Node::Tick()
{
  const TimePoint now = mClock.Now();
  if (now - mLastTickAt > kMaxTickGap) {
    logging::Write(logging::Level::Warning,
                   "process_was_paused",
                   { { "ms",
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - mLastTickAt)
                         .count() } });
    mResumedAt = now;
  }
  mLastTickAt = now;
  mProfile.CountTurn(now - std::min(now, mTickDueAt));
  UpdateMetrics(now);
  if (mDirectory) {
    mDirectory->Tick();
    UpdateFollowers();
  }
  TickCells(now);
  PrepareToLead(now);
  mPendingCancellations.Tick();
  if (mCells.empty()) {
    TickAgreement();
  }
  UpdateRegistry();
  mRegistry.Tick();
  mConfigurationReader.Tick();
  UpdateReadiness();
  // Readers whose pause is skipped are due since the beginning of time.
  mTickDueAt = std::max(now, NextTickAt());
}

TimePoint
Node::NextTickAt() const
{
  // The wait is bounded, because not all that becomes due is among the values
  // below.
  TimePoint next = std::min({ mClock.Now() + kMaxTickInterval,
                              mConfigurationReader.NextTickAt(),
                              mRegistry.NextTickAt(),
                              mPendingCancellations.NextTickAt() });
  if (mCells.empty()) {
    next = std::min(next, mAgreement.NextTickAt());
  }
  if (mDirectory) {
    next = std::min(next, mDirectory->NextTickAt());
  }
  for (const auto& it : mCells) {
    next = std::min(next, it->NextTickAt());
  }
  return next;
}

void
Node::Resign()
{
  mIsStopping = true;
  if (mDirectory) {
    // Others stop naming this instance, and it learns who else has stopped.
    mDirectory->SetInstanceId({});
    mDirectory->Refresh();
  }
  for (const auto& it : mCells) {
    it->Resign();
  }
}

bool
Node::IsDispatching() const
{
  return std::any_of(mCells.begin(), mCells.end(), [](const auto& aCell) {
    return aCell->IsDispatching();
  });
}

std::vector<int>
Node::LedCells() const
{
  std::vector<int> led;
  for (std::size_t n = 0; n < mCells.size(); ++n) {
    if (mCells[n]->IsLeading()) {
      led.push_back(static_cast<int>(n));
    }
  }
  return led;
}

void
Node::OnConfiguration(const LogRecord& aRecord)
{
  auto routes = mDecoder.DecodeRoutes(aRecord);
  const auto current = mJobRouter.Routes();
  if (routes == nullptr ||
      (current != nullptr && current->Version() >= routes->Version())) {
    return;
  }
  logging::Write(logging::Level::Info,
                 "configuration_applied",
                 { { "version", routes->Version() },
                   { "routes", static_cast<std::int64_t>(routes->Size()) },
                   { "offset", aRecord.mOffset } });
  mJobRouter.SetRoutes(std::move(routes));
}

void
Node::CreateCells(const cells::CellMap& aMap)
{
  mCellMap = aMap;
  mLoads.resize(static_cast<std::size_t>(mCellMap.mCount));
  const CellServices services{ mLog,       mBlockingLog, mDecoder, mClock,
                               mWallClock, mProfile,     mMetrics, mRegistry,
                               mLoads,     mCellMap,     *this };
  std::vector<JobService*> jobServices;
  for (int cell = 0; cell < mCellMap.mCount; ++cell) {
    CellOptions options;
    options.mIndex = cell;
    options.mCellCount = mCellMap.mCount;
    options.mInstanceId = mOptions.mInstanceId;
    options.mProcessors = mOptions.mProcessors;
    options.mIsInDomain = cells::IsInDomain(mCellMap, cell, mOptions.mDomain);
    options.mJournal = mOptions.mStreams.mJournal;
    options.mLeader = mOptions.mStreams.mLeader;
    options.mLogLimits = mOptions.mLogLimits;
    options.mLimits = mOptions.mLimits;
    options.mMaxCancellationDelay = mOptions.mMaxCancellationDelay;
    options.mMaxDrainDelay = mOptions.mMaxDrainDelay;
    options.mFinalJobRetention = mOptions.mFinalJobRetention;
    options.mMaxCountAge = mOptions.mMaxCountAge;
    mCells.push_back(std::make_unique<Cell>(
      std::move(options), services, mWorkerClients.ClientOf(cell)));
    jobServices.push_back(&mCells.back()->GetJobService());
    mTickOrder.push_back(cell);
  }
  // The streams are loaded one after the other, in the order in which they are
  // asked for, and this instance is a candidate for these cells first.
  std::stable_partition(
    mTickOrder.begin(), mTickOrder.end(), [this](int aCell) {
      return cells::IsInDomain(mCellMap, aCell, mOptions.mDomain);
    });
  mJobRouter.SetCells(mCellMap, std::move(jobServices));
  if (mDirectory) {
    mDirectoryVersion = -1;
    mCellsCreatedAt = mClock.Now();
    mFollowAllAt = mCellsCreatedAt + kMaxDirectoryWait;
    for (const auto& it : mCells) {
      it->SetFollower(false);
    }
    // Instances that started together have announced themselves since.
    mDirectory->Refresh();
  }
  for (const auto& [id, worker] : mRegistry.Workers()) {
    OnWorker(worker);
  }
  if (mIsStopping) {
    Resign();
  }
}

void
Node::TickCells(TimePoint aNow)
{
  if (mCells.empty()) {
    return;
  }
  int led = 0;
  int claimed = 0;
  std::int64_t newestEpoch = 0;
  for (const auto& it : mCells) {
    led += it->IsLeading() ? 1 : 0;
    claimed += it->IsClaiming() ? 1 : 0;
    newestEpoch = std::max(newestEpoch, it->NewestEpoch());
  }
  for (const int it : mTickOrder) {
    Cell& cell = *mCells[static_cast<std::size_t>(it)];
    // A worker may move between cells, and it obeys only rising epochs.
    cell.SetMinEpoch(cell.NewestEpoch() < newestEpoch ? newestEpoch : 0);
    const bool isLed = cell.IsLeading();
    const bool isClaimed = cell.IsClaiming();
    cell.Tick(mResumedAt, led - (isLed ? 1 : 0), claimed - (isClaimed ? 1 : 0));
    led += (cell.IsLeading() ? 1 : 0) - (isLed ? 1 : 0);
    claimed += (cell.IsClaiming() ? 1 : 0) - (isClaimed ? 1 : 0);
    if (mDirectory && cell.IsLeading() && !isLed) {
      // A leader that resigns soon names instances that are up.
      mDirectory->Refresh();
    }
  }
  mLeading.Set(led);
  if (aNow >= mNextSummaryAt) {
    mNextSummaryAt = aNow + kSummaryInterval;
    if (IsDispatching()) {
      mProfile.LogSummary();
    }
  }
}

void
Node::UpdateFollowers()
{
  if (mCells.empty()) {
    return;
  }
  // Until then, instances that started with this one may be missing.
  if (!mDirectory->IsLoaded() || mDirectory->ReadSentAt() < mCellsCreatedAt) {
    // At its rate, the log would not bear it.
    if (mClock.Now() >= mFollowAllAt && !mDirectory->IsRateLimited()) {
      mFollowAllAt = base::kNoDeadline;
      logging::Write(logging::Level::Warning, "instances_unknown", {});
      for (const auto& it : mCells) {
        it->SetFollower(true);
      }
    }
    return;
  }
  if (mDirectory->Version() != mDirectoryVersion) {
    mDirectoryVersion = mDirectory->Version();
    FollowCells(mDirectory->Instances());
  }
}

void
Node::FollowCells(const std::map<std::string, InstanceEntry>& aInstances)
{
  const LogBudget budget =
    PlanLogCalls(mOptions.mLogRates,
                 { static_cast<int>(aInstances.size()), mCellMap.mCount });
  mDirectory->SetInterval(budget.mAnnouncementInterval);
  mConfigurationReader.SetRetryPause(
    std::min(budget.mRetryPause, kMaxConfigurationPause));
  const auto limit = static_cast<std::size_t>(budget.mFollowersPerCell);
  mFollowersPerCell = limit;
  std::vector<std::vector<InstanceEntry>> followers;
  int followed = 0;
  for (std::size_t cell = 0; cell < mCells.size(); ++cell) {
    const auto ranked =
      RankFollowers(mCellMap, static_cast<int>(cell), aInstances);
    const auto rank = static_cast<std::size_t>(
      std::find(ranked.begin(), ranked.end(), mOptions.mName) - ranked.begin());
    // An instance near the limit does not start and stop all the time.
    const bool isFollower =
      rank < limit || (mCells[cell]->IsFollower() && rank < limit + limit / 4);
    mCells[cell]->SetFollower(isFollower);
    mCells[cell]->SetRank(static_cast<int>(rank));
    mCells[cell]->SetBudget(budget);
    followed += isFollower ? 1 : 0;
    followers.emplace_back();
    for (std::size_t n = 0; n < std::min(limit, ranked.size()); ++n) {
      if (ranked[n] != mOptions.mName) {
        followers.back().push_back(aInstances.at(ranked[n]));
      }
    }
  }
  mFollowers.Set(mOptions.mName, mOptions.mDomain, std::move(followers));
  mPlannedReads.Set(static_cast<std::int64_t>(budget.mPlannedReadsPerSecond));
  logging::Write(
    logging::Level::Info,
    "log_calls_planned",
    { { "instances", static_cast<std::int64_t>(aInstances.size()) },
      { "cells", mCellMap.mCount },
      { "followers_per_cell", budget.mFollowersPerCell },
      { "followed", followed },
      { "planned_reads_per_s",
        static_cast<std::int64_t>(budget.mPlannedReadsPerSecond) },
      { "max_reads_per_s",
        static_cast<std::int64_t>(mOptions.mLogRates.mReadsPerSecond) } });
}

std::vector<std::string>
Node::SuccessorsOf(int aCell) const
{
  return SuccessorsOf(aCell, mOptions.mInstanceId);
}

std::vector<std::string>
Node::SuccessorsOf(int aCell, const std::string& aLeaderId) const
{
  if (!mDirectory || mDirectoryVersion < 0) {
    return {};
  }
  const auto& instances = mDirectory->Instances();
  const auto restarted = RestartedInSeries(instances, mWallClock.NowMs());
  auto ranked = RankFollowers(mCellMap, aCell, instances);
  ranked.resize(std::min(ranked.size(), mFollowersPerCell));
  std::vector<SuccessorCandidate> candidates;
  for (const auto& name : ranked) {
    const InstanceEntry& entry = instances.at(name);
    const bool hasLeft =
      std::any_of(mCells.begin(), mCells.end(), [&](const auto& aOther) {
        return aOther->HasLeft(entry.mInstanceId);
      });
    const auto ledCells =
      std::count_if(mCells.begin(), mCells.end(), [&](const auto& aOther) {
        return aOther->LeaderId() == entry.mInstanceId;
      });
    // Instances that start or stop, and older versions, do not tell their ids.
    if (entry.mInstanceId == aLeaderId || entry.mInstanceId.empty() ||
        (hasLeft && ledCells == 0)) {
      continue;
    }
    candidates.push_back({ entry,
                           cells::IsInDomain(mCellMap, aCell, entry.mDomain),
                           static_cast<int>(ledCells),
                           restarted.count(name) > 0 });
  }
  return RankSuccessors(std::move(candidates));
}

void
Node::PrepareToLead(TimePoint aNow)
{
  // Many instances would load a long list at the rate of the log.
  if (!mDirectory || mIsStopping || aNow < mNextPreparationAt ||
      mFollowersPerCell < mDirectory->Instances().size()) {
    return;
  }
  mNextPreparationAt = aNow + kPreparationInterval;
  TimePoint seriesUntil;
  for (const auto& it : mCells) {
    if (const auto seenAt = it->ResignationSeenAt()) {
      seriesUntil = std::max(seriesUntil, *seenAt + kSeriesTime);
    }
  }
  const bool isInSeries = aNow < seriesUntil;
  for (std::size_t n = 0; isInSeries && n < mCells.size(); ++n) {
    const auto successors =
      SuccessorsOf(static_cast<int>(n), mCells[n]->LeaderId());
    if (std::find(successors.begin(), successors.end(), mOptions.mInstanceId) !=
        successors.end()) {
      mCells[n]->PrepareToLead(seriesUntil);
    }
  }
  if (isInSeries && !mDirectory->IsReading() &&
      aNow - mDirectory->ReadSentAt() > kSeriesReadInterval) {
    mDirectory->Refresh();
  }
}

void
Node::TickAgreement()
{
  mAgreement.Tick(mRegistry);
  if (mAgreement.Map()) {
    CreateCells(*mAgreement.Map());
  }
}

void
Node::UpdateRegistry()
{
  const bool isNeeded =
    (mCells.empty() && mAgreement.NeedsRegistry()) ||
    std::any_of(mCells.begin(), mCells.end(), [](const auto& aCell) {
      return aCell->NeedsRegistry();
    });
  const bool isFollowing = !mRegistry.Reader().IsStopped();
  mRegistry.SetFollowing(isNeeded);
  if (isFollowing && !isNeeded) {
    mCellByWorker.clear();
    for (const auto& it : mCells) {
      it->ForgetRegistry();
    }
  }
}

void
Node::OnWorker(const RegisteredWorker& aWorker)
{
  if (mCells.empty()) {
    return;
  }
  const dispatch::WorkerEntry& entry = aWorker.mEntry;
  const int cell =
    cells::CellOfWorker(mCellMap, { entry.mDomain, entry.mRack });
  const auto known = mCellByWorker.emplace(entry.mId, cell).first;
  if (known->second != cell) {
    mCells[static_cast<std::size_t>(known->second)]->OnWorkerGone(entry.mId);
    known->second = cell;
  }
  mCells[static_cast<std::size_t>(cell)]->OnWorker(aWorker);
}

void
Node::OnWorkerGone(const std::string& aWorkerId)
{
  const auto known = mCellByWorker.find(aWorkerId);
  if (known != mCellByWorker.end()) {
    mCells[static_cast<std::size_t>(known->second)]->OnWorkerGone(aWorkerId);
    mCellByWorker.erase(known);
  }
}

void
Node::UpdateMetrics(TimePoint aNow)
{
  if (aNow < mNextCountAt) {
    return;
  }
  mNextCountAt = aNow + kCountInterval;
  std::size_t n = 0;
  for (const auto& it : mCells) {
    n += it->JobCount();
  }
  mJobCount.Set(static_cast<std::int64_t>(n));
}

bool
Node::IsUpToDate(const Cell& aCell) const
{
  if (aCell.IsFollower()) {
    return aCell.IsUpToDate();
  }
  // Jobs of the other cells can be submitted while the log answers.
  return mDirectory && mDirectoryVersion >= 0 &&
         mConfigurationReader.ConsecutiveFailures() < 2 &&
         mConfigurationReader.UpToDateAt() + kMaxReadAge > mClock.Now();
}

void
Node::UpdateReadiness()
{
  const auto upToDate =
    std::count_if(mCells.begin(), mCells.end(), [this](const auto& aCell) {
      return IsUpToDate(*aCell);
    });
  // The callers of a cell whose partition of the log is down are refused.
  const bool isReady = upToDate > 0 &&
                       2 * upToDate >= static_cast<int>(mCells.size()) &&
                       mJobRouter.Routes() != nullptr;
  if (isReady != mIsReady) {
    logging::Write(logging::Level::Info,
                   "readiness_changed",
                   { { "ready", isReady ? "yes" : "no" } });
    mIsReady = isReady;
  }
  if (isReady && mDirectory && !mIsAnnouncedAsReady && !mIsStopping) {
    mIsAnnouncedAsReady = true;
    mDirectory->SetInstanceId(mOptions.mInstanceId);
  }
}

} // namespace skylarkhill::node
