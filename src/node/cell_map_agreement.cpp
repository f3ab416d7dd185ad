#include "skylarkhill/node/cell_map_agreement.hpp"

#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/logging/logging.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace skylarkhill::node {

using base::Duration;
using base::TimePoint;

namespace {

constexpr std::string_view kMapKey = "map";

/// Time without a change of the number of workers before a proposal. Workers
/// register at their start and about every second after that.
constexpr Duration kSteadyTime = std::chrono::milliseconds(1200);
/// Time after which a proposal is made although the number changes.
constexpr Duration kMaxSteadyWait = std::chrono::milliseconds(5000);
/// Time after which a site without workers becomes one cell.
constexpr Duration kMaxEmptyWait = std::chrono::milliseconds(8000);
/// Latest turn of an instance.
constexpr Duration kMaxTurn = std::chrono::milliseconds(5000);
constexpr Duration kAppendTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRetryPause = std::chrono::milliseconds(250);

/// Time until the turn of an instance. All instances of a site start together,
/// and the registry of a large site is too long for all of them to load. The
/// density of the turns rises with the time, so that the first few come early
/// in sites of any size.
Duration
TurnOf(const std::string& aInstanceId)
{
  constexpr double kScale = 1e6;
  constexpr double kExponent = 0.25;
  const double uniform =
    static_cast<double>(base::StableHash(aInstanceId) %
                        static_cast<std::uint64_t>(kScale)) /
    kScale;
  return Duration(static_cast<Duration::rep>(
    std::pow(uniform, kExponent) * static_cast<double>(kMaxTurn.count())));
}

} // namespace

CellMapAgreement::CellMapAgreement(AsyncLog& aLog,
                                   const base::Clock& aClock,
                                   LogStream aStream,
                                   const std::string& aInstanceId,
                                   cells::CellLimits aLimits)
  : mLog(aLog)
  , mClock(aClock)
  , mStream(std::move(aStream))
  , mLimits(aLimits)
  , mReader(aLog,
            aClock,
            mStream,
            { [this](const LogRecord& aRecord) { OnRecord(aRecord); }, {} })
  , mTurnAt(aClock.Now() + TurnOf(aInstanceId))
{
  mReader.SetRetrySeed(base::StableHash(aInstanceId));
}

bool
CellMapAgreement::NeedsRegistry() const
{
  return !mMap && mClock.Now() >= mTurnAt;
}

void
CellMapAgreement::Tick(const WorkerRegistry& aRegistry)
{
  if (mMap) {
    return;
  }
  mReader.Tick();
  if (!mIsProposing && aRegistry.Reader().IsLoaded() && mReader.IsLoaded() &&
      mReader.ConsecutiveFailures() == 0 &&
      IsProposalDue(aRegistry.Workers().size())) {
    Propose(aRegistry);
  }
}

bool
CellMapAgreement::IsProposalDue(std::size_t aWorkerCount)
{
  const TimePoint now = mClock.Now();
  mLoadedAt = std::min(mLoadedAt, now);
  if (aWorkerCount != mWorkerCount || mSteadySince == base::kNoDeadline) {
    mWorkerCount = aWorkerCount;
    mSteadySince = now;
  }
  const TimePoint dueAt =
    aWorkerCount == 0
      ? mLoadedAt + kMaxEmptyWait
      : std::min(mSteadySince + kSteadyTime, mLoadedAt + kMaxSteadyWait);
  return now >= dueAt && now >= mNextProposalAt;
}

void
CellMapAgreement::Propose(const WorkerRegistry& aRegistry)
{
  mIsProposing = true;
  std::vector<cells::WorkerLocation> workers;
  for (const auto& [id, worker] : aRegistry.Workers()) {
    workers.push_back({ worker.mEntry.mDomain, worker.mEntry.mRack });
  }
  AppendRequest request;
  request.mStream = mStream;
  request.mRecords.push_back(
    { std::string(kMapKey),
      cells::EncodeCellMap(cells::DivideSite(workers, mLimits)),
      0 });
  // Only the first record of the stream is stored.
  request.mExpectedEnd = 0;
  mLog.Append(request,
              mClock.Now() + kAppendTimeout,
              [this](const AppendResult& aResult) {
                logging::Write(logging::Level::Info,
                               "cell_map_proposed",
                               { { "outcome", NameOf(aResult.mOutcome) } });
                mIsProposing = false;
                mNextProposalAt = mClock.Now() + kRetryPause;
                mReader.Restart();
              });
}

void
CellMapAgreement::OnRecord(const LogRecord& aRecord)
{
  if (mMap || aRecord.mKey != kMapKey || aRecord.mValue.empty()) {
    return;
  }
  auto map = cells::DecodeCellMap(aRecord.mValue);
  if (!map) {
    logging::Write(
      logging::Level::Error,
      "cell_map_skipped",
      { { "offset", aRecord.mOffset }, { "problem", map.error().mDetail } });
    return;
  }
  mMap = std::move(map.value());
  logging::Write(logging::Level::Info,
                 "cell_map_read",
                 { { "cells", mMap->mCount }, { "offset", aRecord.mOffset } });
}

} // namespace skylarkhill::node
