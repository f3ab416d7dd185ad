#include "skylarkhill/node/log_budget.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace skylarkhill::node {

using base::Duration;

namespace {

/// Shares of the reads a second that the log answers. The rest is for bursts,
/// for the list of workers and for the configuration.
constexpr double kFollowerShare = 0.4;
constexpr double kCallerShare = 0.3;
constexpr double kLeaderShare = 0.1;
constexpr double kOtherLeaderShare = 0.1;
constexpr double kRetryShare = 0.75;
/// Shares of the writes a second. The rest is for submissions, cancellations
/// and renewals of leaderships.
constexpr double kFlushShare = 0.4;
/// Of the reads and of the writes.
constexpr double kAnnouncementShare = 0.05;
/// The same, for renewals of all leaderships that are requested: only for a
/// short time, at the expense of what is left for bursts.
constexpr double kRequestedRenewalShare = 0.2;
/// Calls of an instance in an announcement interval, which it shortens by up to
/// a quarter.
constexpr double kCallsPerAnnouncement = 1.15;

/// Fewer would lose a cell too easily with its followers.
constexpr double kMinFollowersPerCell = 6;

/// Pauses of sites that are far below the rates of the log. A follower reads
/// sooner if a caller asks for a job.
constexpr Duration kMinFollowerJournalPause = std::chrono::milliseconds(400);
constexpr Duration kFollowerPausePerCell = std::chrono::milliseconds(160);
/// With the wait of a read, well below the age from which on an instance is not
/// ready.
constexpr Duration kMaxFollowerPause = std::chrono::milliseconds(1500);
constexpr Duration kLeaderStreamPausePerCell = std::chrono::milliseconds(240);
/// Delays the takeover of a cell whose failure domain is lost.
constexpr Duration kMaxLeaderStreamPause = std::chrono::milliseconds(2400);
constexpr Duration kMinOtherLeaderPause = std::chrono::milliseconds(200);
constexpr Duration kMaxOtherLeaderPause = std::chrono::milliseconds(3000);
constexpr Duration kMinLeaderPause = std::chrono::milliseconds(15);
/// With a read and a start, well below the time in which a cancelled task must
/// not be started.
constexpr Duration kMaxLeaderPause = std::chrono::milliseconds(400);
constexpr Duration kMinFlushInterval = std::chrono::milliseconds(20);
constexpr Duration kMaxFlushInterval = std::chrono::milliseconds(400);
constexpr Duration kMinRenewInterval = std::chrono::milliseconds(100);
/// That of renewals without a request.
constexpr Duration kMaxRenewInterval = std::chrono::milliseconds(800);
constexpr Duration kMinRetryPause = std::chrono::milliseconds(200);
constexpr Duration kMaxRetryPause = std::chrono::milliseconds(1500);
constexpr Duration kMinStateAge = std::chrono::milliseconds(100);
constexpr Duration kMaxStateAge = std::chrono::milliseconds(1000);
constexpr Duration kMinAnnouncementInterval = std::chrono::seconds(5);
constexpr Duration kMaxAnnouncementInterval = std::chrono::seconds(60);

/// A candidate loads the list of workers before it claims. All followers of a
/// large site would do so at the same moment.
constexpr Duration kClaimDelayPerRank = std::chrono::milliseconds(100);

/// Renewals a second of a leader. Each ends the read of a follower in the
/// failure domain of the cell.
constexpr double kRenewalsPerSecond = 1.25;
/// Reads a second of an instance for the configuration.
constexpr double kConfigurationReadsPerSecond = 1.0 / 1.5;
/// Reads a second of a leader for the list of workers, at most.
constexpr double kRegistryReadsPerSecond = 4.0;

double
PerSecond(Duration aPause)
{
  return 1.0 / std::chrono::duration<double>(aPause).count();
}

/// The interval at which `aCallers` make `aRate` calls a second together.
Duration
IntervalFor(double aCallers, double aRate, Duration aMin, Duration aMax)
{
  if (aRate <= 0.0) {
    return aMin;
  }
  const std::chrono::duration<double> interval(aCallers / aRate);
  return std::clamp(
    std::chrono::duration_cast<Duration>(
      std::min<std::chrono::duration<double>>(interval, std::chrono::hours(1))),
    aMin,
    aMax);
}

} // namespace

LogBudget
PlanLogCalls(const LogRates& aRates, const SiteSize& aSize)
{
  const double cells = std::max(1, aSize.mCells);
  const double instances = std::max(1, aSize.mInstances);
  const double reads = aRates.mReadsPerSecond;
  LogBudget budget;
  budget.mFollowerJournalPause =
    std::clamp(kFollowerPausePerCell * std::max(1, aSize.mCells),
               kMinFollowerJournalPause,
               kMaxFollowerPause);
  budget.mLeaderStreamPause =
    std::min(kMaxLeaderStreamPause,
             kLeaderStreamPausePerCell * std::max(1, aSize.mCells));
  // Half of the followers are in the failure domain of the cell.
  const double readsPerLeaderStream =
    (kRenewalsPerSecond + PerSecond(budget.mLeaderStreamPause)) / 2.0;
  const double readsPerFollower =
    PerSecond(budget.mFollowerJournalPause) + readsPerLeaderStream;
  const double followers = reads <= 0.0
                             ? instances
                             : std::max(kMinFollowersPerCell,
                                        std::floor(reads * kFollowerShare /
                                                   (cells * readsPerFollower)));
  budget.mFollowersPerCell = static_cast<int>(std::min(followers, instances));
  if (budget.mFollowersPerCell < instances) {
    budget.mClaimDelayPerRank = kClaimDelayPerRank;
  }
  const double followed = budget.mFollowersPerCell * cells;
  // A leader follows all cells, see docs/log-budget.md.
  const double otherLed = cells * (cells - 1.0);
  budget.mOtherLeaderJournalPause = IntervalFor(otherLed,
                                                reads * kOtherLeaderShare,
                                                kMinOtherLeaderPause,
                                                kMaxOtherLeaderPause);
  budget.mLeaderJournalPause =
    IntervalFor(cells, reads * kLeaderShare, kMinLeaderPause, kMaxLeaderPause);
  budget.mFlushInterval = IntervalFor(cells,
                                      aRates.mWritesPerSecond * kFlushShare,
                                      kMinFlushInterval,
                                      kMaxFlushInterval);
  budget.mMinRenewInterval =
    std::max(IntervalFor(followed / 2.0,
                         reads * kRequestedRenewalShare,
                         kMinRenewInterval,
                         kMaxRenewInterval),
             IntervalFor(cells,
                         aRates.mWritesPerSecond * kRequestedRenewalShare,
                         kMinRenewInterval,
                         kMaxRenewInterval));
  budget.mMaxStateAge =
    IntervalFor(followed, reads * kCallerShare, kMinStateAge, kMaxStateAge);
  budget.mRetryPause = IntervalFor(2.0 * (followed + otherLed) + instances,
                                   reads * kRetryShare,
                                   kMinRetryPause,
                                   kMaxRetryPause);
  budget.mAnnouncementInterval =
    std::max(IntervalFor(instances * kCallsPerAnnouncement,
                         reads * kAnnouncementShare,
                         kMinAnnouncementInterval,
                         kMaxAnnouncementInterval),
             IntervalFor(instances * kCallsPerAnnouncement,
                         aRates.mWritesPerSecond * kAnnouncementShare,
                         kMinAnnouncementInterval,
                         kMaxAnnouncementInterval));
  budget.mPlannedReadsPerSecond =
    followed * readsPerFollower +
    otherLed * (PerSecond(budget.mOtherLeaderJournalPause) +
                PerSecond(budget.mLeaderStreamPause)) +
    cells * (PerSecond(budget.mLeaderJournalPause) + kRegistryReadsPerSecond) +
    instances *
      (kConfigurationReadsPerSecond +
       kCallsPerAnnouncement * PerSecond(budget.mAnnouncementInterval));
  return budget;
}

} // namespace skylarkhill::node
