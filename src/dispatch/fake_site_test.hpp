#ifndef SKYLARKHILL_DISPATCH_FAKE_SITE_TEST_HPP
#define SKYLARKHILL_DISPATCH_FAKE_SITE_TEST_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/dispatch/dispatcher.hpp"
#include "skylarkhill/jobs/job_table.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace skylarkhill::dispatch {

/// A worker that keeps fencing tokens, leases and lists of ends as the
/// platform's workers do.
class FakeWorker
{
public:
  struct Run
  {
    TaskId mTask;
    int mNumber = 0;
    base::TimePoint mEndsAt;
    bool mFails = false;
  };

  FakeWorker(std::string aId, std::int64_t aMilliProcessors);

  WorkerEntry Entry() const;
  /// Everything that runs is lost; the same id, another birth.
  void Restart();

  std::string mId;
  std::int64_t mMilliProcessors = 0;
  std::int64_t mIncarnationStartMs = 1;
  std::int64_t mFencingToken = 0;
  base::TimePoint mLeaseUntil;
  std::vector<Run> mRuns;
  std::vector<EndedRun> mEndedRuns;
  std::int64_t mNextSequence = 1;
  std::int64_t mAcknowledgedSequence = 0;
  /// Highest run of a task that was stopped or has ended.
  std::map<std::string, int> mHighestEndedRuns;
  /// Reported for every service run.
  std::int64_t mReportedMeasurement = 20;
  bool mIsDraining = false;
};

/// Workers, and any number of leaders that see some of them.
class FakeSite
{
public:
  /// One dispatcher and its links.
  class Leader : public CallSink
  {
  public:
    Leader(FakeSite& aSite, const Term& aTerm);

    Dispatcher& Get() { return *mDispatcher; }
    void Poll(const PollCall& aCall) override;
    void Start(const StartCall& aCall) override;
    void Stop(const StopCall& aCall) override;
    void Pace(const PaceCall& aCall) override;
    void Advise(const AdviceCall& aCall) override;

    /// Workers that this leader cannot reach.
    std::set<std::string> mUnreachableWorkers;
    /// By worker, how much later than usual its answers to polls come.
    std::map<std::string, base::Duration> mDelays;
    /// Its leadership is confirmed all the time.
    bool mIsConfirmed = true;
    /// Its progress records become durable.
    bool mCanStore = true;
    /// Progress records are on their way and not answered.
    bool mIsStoreSilent = false;
    std::vector<StartCall> mStarts;
    std::vector<PaceCall> mPaces;
    /// Workers that the advice service permits.
    std::set<std::string> mPermittedWorkerIds;
    int mAdviceCalls = 0;
    std::map<std::string, jobs::JobProgress> mStored;

  private:
    friend class FakeSite;
    void Step();

    FakeSite& mSite;
    const std::int64_t mEpoch;
    metrics::Registry mMetrics;
    std::unique_ptr<Dispatcher> mDispatcher;
    std::deque<std::pair<base::TimePoint, std::function<void()>>>
      mPendingAnswers;
    base::TimePoint mConfirmedAt;
  };

  FakeWorker& AddWorker(const std::string& aId,
                        std::int64_t aMilliProcessors = 16000);
  FakeWorker& Worker(const std::string& aId) { return *mWorkers.at(aId); }
  Leader& AddLeader(std::int64_t aEpoch,
                    base::TimePoint aPreviousLeasesEndAt = {});
  /// Stops `aLeader` as a crash does.
  void Kill(Leader& aLeader);
  void Advance(std::chrono::milliseconds aTime);
  base::TimePoint Now() const { return mClock.Now(); }

  /// Run time of a task; the default is 300 ms. Tasks of services run on.
  std::function<base::Duration(const TaskId&)> mRunTime;
  std::function<bool(const TaskId&, int aRun)> mFails;
  /// Tasks that ran twice at once or again after a noted success.
  std::vector<std::string> mViolations;
  /// Starts by task.
  std::map<std::string, int> mStartCounts;

private:
  void StepWorker(FakeWorker& aWorker);
  void RecordStart(const FakeWorker& aWorker, const TaskId& aTask);

  base::ManualClock mClock;
  std::map<std::string, std::unique_ptr<FakeWorker>> mWorkers;
  std::vector<std::unique_ptr<Leader>> mLeaders;
  /// Tasks whose success has been acknowledged.
  std::set<std::string> mAcknowledgedTasks;
};

/// A job with one step per entry of `aCounts`, each after the one before.
jobs::JobRecord
MakeJob(const std::string& aId,
        const std::vector<int>& aCounts,
        std::int64_t aMilliProcessors = 1000);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_FAKE_SITE_TEST_HPP
