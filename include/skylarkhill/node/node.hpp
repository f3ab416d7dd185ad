#ifndef SKYLARKHILL_NODE_NODE_HPP
#define SKYLARKHILL_NODE_NODE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/cells/cell_map.hpp"
#include "skylarkhill/dispatch/dispatcher.hpp"
#include "skylarkhill/journal/wall_clock.hpp"
#include "skylarkhill/metrics/registry.hpp"
#include "skylarkhill/node/cell.hpp"
#include "skylarkhill/node/cell_map_agreement.hpp"
#include "skylarkhill/node/follower_table.hpp"
#include "skylarkhill/node/instance_directory.hpp"
#include "skylarkhill/node/job_router.hpp"
#include "skylarkhill/node/log_budget.hpp"
#include "skylarkhill/node/log_stream_reader.hpp"
#include "skylarkhill/node/loop_profile.hpp"
#include "skylarkhill/node/pending_cancellations.hpp"
#include "skylarkhill/node/record_decoder.hpp"
#include "skylarkhill/node/shared_log.hpp"
#include "skylarkhill/node/successor_ranking.hpp"
#include "skylarkhill/node/worker_client.hpp"
#include "skylarkhill/node/worker_registry.hpp"

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhill::node {

/// Streams that a node follows. The platform writes the first two. Each cell
/// has a partition of mJournal and of mLeader, from the given one on.
struct NodeStreams
{
  LogStream mConfiguration;
  LogStream mWorkers;
  LogStream mJournal;
  LogStream mLeader;
  LogStream mCellMap;
  /// Entries of the instances; without a topic, every instance follows all
  /// cells.
  LogStream mInstances{};
};

struct NodeOptions
{
  /// Differs between instances and between restarts of one instance.
  std::string mInstanceId;
  /// Failure domain of this instance.
  std::string mDomain;
  /// Processors that this process may use; may be a fraction.
  double mProcessors = 1.0;
  NodeStreams mStreams;
  LogLimits mLogLimits;
  LogRates mLogRates;
  /// Name of this instance, which stays the same after a restart, and where it
  /// answers CellQueries.
  std::string mName;
  std::string mQueryAddress;
  dispatch::DispatchLimits mLimits;
  /// With at most one cell, there is no agreement on the division of the site.
  cells::CellLimits mCells{ 1, 1 };
  /// Time after an acknowledged cancellation from which no task of the job may
  /// be started.
  base::Duration mMaxCancellationDelay = std::chrono::milliseconds(3000);
  /// Time after a worker's entry shows that it drains from which no task may be
  /// started there.
  base::Duration mMaxDrainDelay = std::chrono::milliseconds(2000);
  /// How long callers may ask for the state of a job after its end.
  base::Duration mFinalJobRetention = std::chrono::seconds(120);
  /// Maximum age of the journal for a count of pending jobs.
  base::Duration mMaxCountAge = std::chrono::milliseconds(4000);
};

/// The part of an entry instance that follows the log and dispatches the tasks
/// of the cells that the instance leads. Not thread-safe: used on the call
/// loop's thread only, except for the functions marked as thread-safe.
class Node
  : private WorkerListener
  , private SuccessorSource
{
public:
  Node(NodeOptions aOptions,
       AsyncLog& aLog,
       BlockingLog& aBlockingLog,
       WorkerClients& aWorkerClients,
       const RecordDecoder& aDecoder,
       const base::Clock& aClock,
       const journal::WallClock& aWallClock,
       LoopProfile& aProfile,
       metrics::Registry& aMetrics);

  /// Runs all work that is due.
  void Tick();
  /// When to call Tick next if no event arrives before.
  base::TimePoint NextTickAt() const;
  /// Gives up the leadership before the process stops: at once if another
  /// instance may lead or it is not known which ones there are, otherwise when
  /// one may, or at `aLeadUntil`.
  void Resign(base::TimePoint aLeadUntil = {});

  JobRouter& GetJobRouter() { return mJobRouter; }
  /// The other instances that follow each cell. Thread-safe.
  const CellFollowers& Followers() const { return mFollowers; }
  /// True if this instance can serve callers. Thread-safe.
  bool IsReady() const { return mIsReady; }
  /// True if a dispatcher of this instance knows all open jobs of its cell.
  bool IsDispatching() const;
  /// The cells that this instance leads.
  std::vector<int> LedCells() const;

private:
  void OnWorker(const RegisteredWorker& aWorker) override;
  void OnWorkerGone(const std::string& aWorkerId) override;
  std::vector<std::string> SuccessorsOf(int aCell) const override;
  bool AreInstancesKnown() const override;
  /// Ids of the processes that should lead the cell after `aLeaderId`.
  std::vector<std::string> SuccessorsOf(int aCell,
                                        const std::string& aLeaderId) const;
  /// Reads the list of instances while this one waits for a successor.
  void FindSuccessors(base::TimePoint aNow);
  /// Follows the registry while leaders resign and this instance may be next.
  void PrepareToLead(base::TimePoint aNow);
  void OnConfiguration(const LogRecord& aRecord);
  void CreateCells(const cells::CellMap& aMap);
  void TickCells(base::TimePoint aNow);
  void TickAgreement();
  /// Follows the registry only while a cell or the agreement needs it.
  void UpdateRegistry();
  void UpdateMetrics(base::TimePoint aNow);
  void UpdateReadiness();
  /// Decides which cells this instance follows and how often it calls the log,
  /// if the instances of the site have changed.
  void UpdateFollowers();
  void FollowCells(const std::map<std::string, InstanceEntry>& aInstances);
  bool IsUpToDate(const Cell& aCell) const;

  const NodeOptions mOptions;
  AsyncLog& mLog;
  BlockingLog& mBlockingLog;
  WorkerClients& mWorkerClients;
  const RecordDecoder& mDecoder;
  const base::Clock& mClock;
  const journal::WallClock& mWallClock;
  LoopProfile& mProfile;
  metrics::Registry& mMetrics;
  metrics::Gauge& mLeading;
  metrics::Gauge& mJobCount;
  metrics::Gauge& mPlannedReads;

  LogStreamReader mConfigurationReader;
  WorkerRegistry mRegistry;
  CellMapAgreement mAgreement;
  cells::CellMap mCellMap;
  CellLoads mLoads;
  std::vector<std::unique_ptr<Cell>> mCells;
  /// The cells, those of the own failure domain first.
  std::vector<int> mTickOrder;
  /// Cells of the registered workers by id.
  std::map<std::string, int> mCellByWorker;
  std::optional<InstanceDirectory> mDirectory;
  /// InstanceDirectory::Version for which the followers were chosen.
  std::int64_t mDirectoryVersion = -1;
  base::TimePoint mCellsCreatedAt;
  /// LogBudget::mFollowersPerCell of that version.
  std::size_t mFollowersPerCell = 0;
  base::TimePoint mNextPreparationAt;
  /// When all cells are followed although the instances are not known.
  base::TimePoint mFollowAllAt = base::kNoDeadline;
  FollowerTable mFollowers;
  PendingCancellations mPendingCancellations;
  JobRouter mJobRouter;
  std::atomic<bool> mIsReady{ false };
  /// Resign was called.
  bool mIsStopping = false;
  /// Argument of Resign.
  base::TimePoint mLeadUntil;
  /// The list of instances tells that this one may lead.
  bool mIsAnnouncedAsReady = false;
  base::TimePoint mLastTickAt;
  /// NextTickAt at the end of the last Tick.
  base::TimePoint mTickDueAt = base::kNoDeadline;
  base::TimePoint mNextSummaryAt;
  base::TimePoint mNextCountAt;
  /// When this process last resumed after a pause.
  base::TimePoint mResumedAt;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_NODE_HPP
