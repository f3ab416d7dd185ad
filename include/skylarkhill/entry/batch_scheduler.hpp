#ifndef SKYLARKHILL_ENTRY_BATCH_SCHEDULER_HPP
#define SKYLARKHILL_ENTRY_BATCH_SCHEDULER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/entry/config_service.hpp"
#include "skylarkhill/entry/instruments.hpp"
#include "skylarkhill/entry/peer_network.hpp"
#include "skylarkhill/entry/record_appender.hpp"
#include "skylarkhill/entry/worker_manager.hpp"
#include "skylarkhill/journal/site_state.hpp"
#include "skylarkhill/policy/profiles.hpp"
#include "skylarkhill/policy/quarantine.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace skylarkhill::entry {

struct BatchSchedulerOptions
{
  base::InstanceId mInstance;
  base::DomainId mDomain;
  /// Longest lease of a task on a worker.
  base::Duration mTaskLease = std::chrono::seconds(10);
  /// Wait beyond the task lease before the attempts of a lost worker are ended.
  base::Duration mLossMargin = std::chrono::seconds(2);
};

/// Grants queued tasks to workers that this instance holds, throttles or evicts
/// tasks that slow services down, and ends the attempts of lost workers.
/// Thread-safe.
class BatchScheduler
{
public:
  /// The references must outlive the scheduler.
  BatchScheduler(BatchSchedulerOptions aOptions,
                 const base::Clock& aClock,
                 WorkerManager& aWorkers,
                 const ConfigService& aConfig,
                 const journal::SiteState& aState,
                 PeerNetwork& aPeers,
                 RecordAppender& aRecordAppender,
                 const Instruments& aInstruments);
  ~BatchScheduler();
  BatchScheduler(const BatchScheduler&) = delete;
  BatchScheduler& operator=(const BatchScheduler&) = delete;

  void Start();
  void Stop();

  /// Updates the placement policy from a report of a held worker.
  void OnReport(const WorkerStatus& aStatus);
  /// Updates the run statistics and the quarantine after an attempt on
  /// `aAgent`'s worker has ended.
  void OnAttemptEnded(WorkerAgent& aAgent, const tasks::EndRecord& aRecord);

  /// The attempts that are granted to the worker according to the log.
  std::vector<holder::GrantedAttempt> LiveAttemptsOn(
    const base::WorkerId& aWorker) const;

private:
  struct PendingGrant
  {
    base::WorkerId mWorker;
    std::int64_t mAttempt = 0;
  };

  void Run();
  void RunOnce();
  void SelectPolicies(const ConfigView& aConfig);
  void GrantQueuedTasks(const ConfigView& aConfig);
  void GrantTask(const tasks::QueuedTask& aTask,
                 const ConfigView& aConfig,
                 std::vector<policy::WorkerView>& aViews);
  std::vector<policy::WorkerView> MakeWorkerViews(
    const ConfigView& aConfig) const;
  bool MayGrantNow(const tasks::QueuedTask& aTask, base::TimePoint aNow);
  policy::TeamUsageMap TeamUsages(const ConfigView& aConfig) const;
  void FinishGrant(const base::TaskId& aTask, const PendingGrant& aPending);
  void ProtectServices(const ConfigView& aConfig);
  /// Largest interference that one task of the class is expected to cause to
  /// any service on the worker. Requires mMutex.
  double MaxExpectedInterference(const ConfigView& aConfig,
                                 const WorkerLocation& aLocation,
                                 const std::string& aBatchClass) const;
  void ProtectServicesOn(WorkerAgent& aAgent, const ConfigView& aConfig);
  void EndAbsentWorkerAttempts();
  void RecordEvent(timeline::EventKind aKind,
                   const base::TaskId& aTask,
                   std::int64_t aAttempt,
                   const base::WorkerId& aWorker,
                   std::string aDetail);

  const BatchSchedulerOptions mOptions;
  const base::Clock& mClock;
  WorkerManager& mWorkers;
  const ConfigService& mConfig;
  const journal::SiteState& mState;
  PeerNetwork& mPeers;
  RecordAppender& mRecordAppender;
  const Instruments mInstruments;

  /// Guards the policies and the members up to mStopping.
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  /// Selected by the preset of the catalog's profile; Baseline without one.
  policy::Profile mProfile = policy::Profile::Baseline;
  std::unique_ptr<policy::PlacementPolicy> mPlacement;
  std::unique_ptr<policy::QueuePolicy> mQueue;
  std::unique_ptr<policy::ProtectionPolicy> mProtection;
  policy::Quarantine mQuarantine;
  std::map<base::TaskId, PendingGrant> mPendingGrants;
  /// When this instance first saw the task of an attempt in the queue.
  std::map<worker::AttemptKey, base::TimePoint> mFirstSeenAt;
  /// When this instance first saw an attempt running. Only for attempts whose
  /// batch class has an eviction policy of a kind other than `None`; the queue
  /// policy learns the run times of these alone.
  std::map<worker::AttemptKey, base::TimePoint> mRunningSince;
  /// Lost attempts whose end record is being appended.
  std::set<worker::AttemptKey> mEndingAttempts;
  bool mStopping = false;

  std::thread mThread;
};

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_BATCH_SCHEDULER_HPP
