#ifndef SKYLARKHILL_NODE_LOG_BUDGET_HPP
#define SKYLARKHILL_NODE_LOG_BUDGET_HPP

#include "skylarkhill/base/clock.hpp"

namespace skylarkhill::node {

/// Calls a second that the log answers for all instances of the site together;
/// 0: not limited.
struct LogRates
{
  double mReadsPerSecond = 0.0;
  double mWritesPerSecond = 0.0;
};

/// Size of a site, by which the calls to the log grow.
struct SiteSize
{
  int mInstances = 1;
  int mCells = 1;
};

/// How often the instances of a site call the log, so that all of them together
/// stay below its rates. See docs/log-budget.md.
struct LogBudget
{
  /// Instances that follow the streams of a cell they do not lead.
  int mFollowersPerCell = 0;
  /// Pauses between two reads of a journal that delivered records: of a
  /// follower, of a leader of another cell, and of the leader of the cell.
  base::Duration mFollowerJournalPause{ 0 };
  base::Duration mOtherLeaderJournalPause{ 0 };
  base::Duration mLeaderJournalPause{ 0 };
  /// The same for the leader stream of a cell of another failure domain.
  base::Duration mLeaderStreamPause{ 0 };
  /// Additional claim delay of a candidate for each follower that ranks before
  /// it.
  base::Duration mClaimDelayPerRank{ 0 };
  /// Pause after a failed read.
  base::Duration mRetryPause{ 0 };
  /// Minimum time between two batches of progress records of a leader.
  base::Duration mFlushInterval{ 0 };
  /// Minimum time between two renewals of a leadership that are requested.
  base::Duration mMinRenewInterval{ 0 };
  /// Age up to which a state in a journal counts as fresh.
  base::Duration mMaxStateAge{ 0 };
  /// Time between two announcements of an instance.
  base::Duration mAnnouncementInterval{ 0 };
  /// Reads a second of the whole site, without those for callers.
  double mPlannedReadsPerSecond = 0.0;
};

LogBudget
PlanLogCalls(const LogRates& aRates, const SiteSize& aSize);

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_LOG_BUDGET_HPP
