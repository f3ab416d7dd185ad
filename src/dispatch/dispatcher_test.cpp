#include "skylarkhill/base/random.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdlib>
#include <functional>
#include <malloc.h>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "fake_site_test.hpp"

namespace skylarkhill::dispatch {

using std::chrono::milliseconds;

namespace {

/// A lasting task may be without a run for this long.
constexpr milliseconds kMaxAbsence{ 9000 };

jobs::JobEntry
MakeService(const std::string& aId, int aCount, const std::string& aImage)
{
  jobs::JobEntry job = MakeJob(aId, { aCount }, 2000);
  jobs::Step& step = job.mSubmission->mRequest.mSteps.front();
  step.mIsService = true;
  step.mImage = aImage;
  step.mTailTargetMs = 50;
  return job;
}

jobs::JobEntry
MakeBackfill(const std::string& aId, int aCount, const std::string& aImage)
{
  jobs::JobEntry job = MakeJob(aId, { aCount }, 2000);
  jobs::Step& step = job.mSubmission->mRequest.mSteps.front();
  step.mIsBackfill = true;
  step.mSavesProgress = true;
  step.mImage = aImage;
  return job;
}

/// Returns the job as the next leader reads it from the journal.
jobs::JobEntry
Stored(const FakeSite::Leader& aLeader, jobs::JobEntry aJob)
{
  const auto found = aLeader.mStored.find(aJob.mSubmission->mId);
  if (found != aLeader.mStored.end()) {
    aJob.mProgress = found->second;
  }
  return aJob;
}

/// Lends the lasting tasks for which the leader finds no worker. Returns them
/// as the borrower reads them.
jobs::BorrowedTasks
Lend(FakeSite& aSite, FakeSite::Leader& aLeader, const jobs::JobEntry& aJob)
{
  jobs::BorrowedTasks lent{ *aJob.mSubmission, {}, {} };
  for (const auto& it : aLeader.GetDispatcher().ListUnplaced(
         aSite.Now() - milliseconds(500), aSite.Now())) {
    lent.mSteps.push_back(aLeader.GetDispatcher().LendTasks(it, it.mCount));
  }
  return lent;
}

/// The job as the borrower of the tasks at the indexes reads it. Each task is
/// lent by itself.
jobs::JobEntry
Borrowed(const jobs::JobEntry& aJob, const std::vector<int>& aIndexes)
{
  jobs::JobEntry entry;
  for (const int it : aIndexes) {
    jobs::StepProgress step;
    step.mTasks.push_back({ it, false, {}, 4, "point" });
    entry.mBorrowed["1." + std::to_string(it)] = { *aJob.mSubmission,
                                                   { step },
                                                   { 1 } };
  }
  return entry;
}

base::Duration
OneMinuteRunTime(const TaskId&)
{
  return std::chrono::minutes(1);
}

/// Runs `aJob` under a first leader for `aTime` and kills the leader. Returns
/// the job as the next leader reads it.
jobs::JobEntry
RunUntilKilled(FakeSite& aSite, const jobs::JobEntry& aJob, milliseconds aTime)
{
  auto& leader = aSite.AddLeader(1);
  leader.GetDispatcher().AddJob(aJob, false, aSite.Now());
  aSite.Advance(aTime);
  jobs::JobEntry stored = Stored(leader, aJob);
  aSite.Kill(leader);
  return stored;
}

/// Keeps the polls and the start and stop calls of a dispatcher; the test
/// passes the results.
class RecordingSink : public CallSink
{
public:
  void Poll(const PollCall& aCall) override { mPolls.push_back(aCall); }
  void Start(const StartCall& aCall) override { mStarts.push_back(aCall); }
  void Stop(const StopCall& aCall) override { mStops.push_back(aCall); }
  void Pace(const PaceCall&) override {}
  void Advise(const AdviceCall&) override {}

  std::vector<PollCall> mPolls;
  std::vector<StartCall> mStarts;
  std::vector<StopCall> mStops;
};

/// A leader whose starts get no answer, with at most one run per worker.
class UnansweredStarts
{
public:
  explicit UnansweredStarts(int aCount)
    : UnansweredStarts(aCount, aCount)
  {
  }

  UnansweredStarts(int aWorkers, int aTasks)
  {
    for (int n = 0; n < aWorkers; ++n) {
      const FakeWorker worker("w" + std::to_string(n), 16000);
      mDispatcher->SetWorker(worker.Entry(), mClock.Now());
    }
    Tick(milliseconds(10));
    Tick(milliseconds(10));
    for (int n = 0; n < aWorkers; ++n) {
      mDispatcher->OnReport(
        "w" + std::to_string(n), { 1, 1, {}, {} }, mClock.Now(), mClock.Now());
    }
    jobs::JobEntry job = MakeJob("a", { aTasks });
    job.mSubmission->mRequest.mSteps.front().mMaxPerWorker = 1;
    mDispatcher->AddJob(job, false, mClock.Now());
    for (int n = 0; n < 10; ++n) {
      Tick(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(aTasks),
                         mSink.mStarts.size());
  }

  void Tick(milliseconds aTime)
  {
    mClock.Advance(aTime);
    mDispatcher->SetLeaderLease(mClock.Now(),
                                mClock.Now() + std::chrono::seconds(9));
    mDispatcher->Tick(mClock.Now(), base::ToMicros(mClock.Now()) / 1000);
    mDispatcher->OnDurable(mDispatcher->TakeDirty().first, mClock.Now());
  }

  /// A report of the incarnation without any runs.
  void Report(const std::string& aWorkerId, std::int64_t aIncarnationStartMs)
  {
    mDispatcher->OnReport(aWorkerId,
                          { 1, aIncarnationStartMs, {}, {} },
                          mClock.Now(),
                          mClock.Now());
  }

  /// Ends all start calls since the last FailStarts without a response.
  void FailStarts()
  {
    for (; mFailedStarts < mSink.mStarts.size(); ++mFailedStarts) {
      mDispatcher->OnStartResult(
        mSink.mStarts[mFailedStarts], { StartOutcome::Unknown }, mClock.Now());
    }
  }

  base::ManualClock mClock;
  metrics::Registry mMetrics;
  RecordingSink mSink;
  std::unique_ptr<Dispatcher> mDispatcher =
    CreateDispatcher({}, {}, mSink, mMetrics);

private:
  std::size_t mFailedStarts = 0;
};

/// The worker of an UnansweredStarts whose task has been started. It takes no
/// new connections, so that only one call at a time reaches it.
class WorkerWithOneConnection
{
public:
  explicit WorkerWithOneConnection(UnansweredStarts& aSite)
    : mSite(aSite)
    , mStart(aSite.mSink.mStarts.back())
  {
    mSite.mDispatcher->OnStartResult(
      mStart, { StartOutcome::Started }, mSite.mClock.Now());
    Report();
    mPolls = mSite.mSink.mPolls.size();
  }

  void Advance(milliseconds aTime)
  {
    constexpr milliseconds kStep{ 5 };
    for (milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      const auto due = std::exchange(mRefusals, {});
      for (const auto& it : due) {
        it();
      }
      if (mIsStopCarriedOut && !mIsStopped) {
        mIsStopped = true;
        mSite.mDispatcher->OnStopResult(
          mSite.mSink.mStops.back(), CallOutcome::Accepted, Now());
      }
      if (mPollEndsAt && *mPollEndsAt <= Now()) {
        mPollEndsAt.reset();
        Report();
      }
      mSite.Tick(kStep);
      ReceiveStops();
      ReceivePolls();
    }
  }

  bool IsStopped() const { return mIsStopped; }

private:
  base::TimePoint Now() const { return mSite.mClock.Now(); }

  void Report()
  {
    WorkerReport report{ base::ToMicros(Now()) / 1000, 1, {}, {} };
    if (!mIsStopped) {
      report.mActiveRuns.push_back(
        { mStart.mTask, mStart.mRunNumber, "", 10, -1 });
    }
    mSite.mDispatcher->OnReport("w0", report, Now(), Now());
  }

  void ReceiveStops()
  {
    const auto& stops = mSite.mSink.mStops;
    for (; mStops < stops.size(); ++mStops) {
      if (!mPollEndsAt && !mIsStopCarriedOut) {
        mIsStopCarriedOut = true;
        continue;
      }
      mRefusals.push_back([this, stop = stops[mStops]] {
        mSite.mDispatcher->OnStopResult(stop, CallOutcome::Unknown, Now());
      });
    }
  }

  void ReceivePolls()
  {
    const auto& polls = mSite.mSink.mPolls;
    for (; mPolls < polls.size(); ++mPolls) {
      if (mIsStopCarriedOut && !mIsStopped) {
        mRefusals.push_back(
          [this] { mSite.mDispatcher->OnPollFailed("w0", Now()); });
        continue;
      }
      mPollEndsAt = Now() + milliseconds(polls[mPolls].mWaitMs);
    }
  }

  UnansweredStarts& mSite;
  const StartCall mStart;
  /// Calls received.
  std::size_t mPolls = 0;
  std::size_t mStops = 0;
  std::optional<base::TimePoint> mPollEndsAt;
  std::vector<std::function<void()>> mRefusals;
  bool mIsStopCarriedOut = false;
  bool mIsStopped = false;
};

/// The worker of an UnansweredStarts with one job more than `aMoreJobs` has
/// names. It takes no new connections: a call that comes while another one uses
/// the connection ends without an answer after `aRefusalTime`.
class CrowdedConnection
{
public:
  CrowdedConnection(UnansweredStarts& aSite,
                    const std::vector<std::string>& aMoreJobs,
                    milliseconds aRefusalTime,
                    milliseconds aAnswerTime)
    : mSite(aSite)
    , mRefusalTime(aRefusalTime)
    , mAnswerTime(aAnswerTime)
  {
    for (const auto& it : aMoreJobs) {
      mSite.mDispatcher->AddJob(MakeJob(it, { 1 }), false, Now());
    }
    for (int n = 0; n < 20; ++n) {
      mSite.Tick(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(aMoreJobs.size() + 1, mSite.mSink.mStarts.size());
    for (const auto& it : mSite.mSink.mStarts) {
      mSite.mDispatcher->OnStartResult(it, { StartOutcome::Started }, Now());
      mRuns.push_back({ it.mTask, it.mRunNumber, {}, {} });
    }
    Report();
    mPolls = mSite.mSink.mPolls.size();
  }

  /// Adds a run that no job knows and whose stop is accepted and takes `aTime`.
  void AddUnwantedRun(milliseconds aTime)
  {
    mRuns.push_back({ { "unknown", 0, 0, 0 }, 1, {}, {} });
    mRuns.back().mStopTime = aTime;
  }

  void Advance(milliseconds aTime)
  {
    constexpr milliseconds kStep{ 5 };
    for (milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      const auto due = std::exchange(mEvents, {});
      for (const auto& [at, event] : due) {
        if (at <= Now()) {
          event();
        } else {
          mEvents.emplace_back(at, event);
        }
      }
      EndRuns();
      mSite.Tick(kStep);
      ReceiveStops();
      ReceivePolls();
    }
  }

  /// Returns the time until no run is left, or `aLimit`.
  milliseconds TimeUntilStopped(milliseconds aLimit)
  {
    constexpr milliseconds kStep{ 5 };
    milliseconds time{ 0 };
    for (; !mRuns.empty() && time < aLimit; time += kStep) {
      Advance(kStep);
    }
    return time;
  }

private:
  struct Run
  {
    TaskId mTask;
    int mNumber = 0;
    milliseconds mStopTime{ 0 };
    std::optional<base::TimePoint> mEndsAt;
  };

  base::TimePoint Now() const { return mSite.mClock.Now(); }

  void Report()
  {
    WorkerReport report{ base::ToMicros(Now()) / 1000, 1, {}, {} };
    for (const auto& it : mRuns) {
      report.mActiveRuns.push_back({ it.mTask, it.mNumber, "", 10, -1 });
    }
    mSite.mDispatcher->OnReport("w0", report, Now(), Now());
  }

  /// A poll ends early if a run ends.
  void EndRuns()
  {
    const auto ended =
      std::remove_if(mRuns.begin(), mRuns.end(), [this](const Run& aRun) {
        return aRun.mEndsAt && *aRun.mEndsAt <= Now();
      });
    const bool hasEnded = ended != mRuns.end();
    mRuns.erase(ended, mRuns.end());
    if (mPollEndsAt && (hasEnded || *mPollEndsAt <= Now())) {
      mPollEndsAt.reset();
      mEvents.emplace_back(Now() + mAnswerTime, [this] {
        mIsBusy = false;
        Report();
      });
    }
  }

  void ReceiveStops()
  {
    // The result of a call may cause the next one.
    for (; mStops < mSite.mSink.mStops.size(); ++mStops) {
      const StopCall stop = mSite.mSink.mStops[mStops];
      const bool isRefused = std::exchange(mIsBusy, true);
      mEvents.emplace_back(Now() + (isRefused ? mRefusalTime : mAnswerTime),
                           [this, stop, isRefused] {
                             if (!isRefused) {
                               mIsBusy = false;
                               Stop(stop);
                             }
                             mSite.mDispatcher->OnStopResult(
                               stop,
                               isRefused ? CallOutcome::Unknown
                                         : CallOutcome::Accepted,
                               Now());
                           });
    }
  }

  void Stop(const StopCall& aStop)
  {
    for (auto& it : mRuns) {
      if (it.mTask == aStop.mTask && !it.mEndsAt) {
        it.mEndsAt = Now() + it.mStopTime;
      }
    }
  }

  void ReceivePolls()
  {
    for (; mPolls < mSite.mSink.mPolls.size(); ++mPolls) {
      if (std::exchange(mIsBusy, true)) {
        mEvents.emplace_back(Now() + mRefusalTime, [this] {
          mSite.mDispatcher->OnPollFailed("w0", Now());
        });
        continue;
      }
      mPollEndsAt = Now() + milliseconds(mSite.mSink.mPolls[mPolls].mWaitMs);
    }
  }

  UnansweredStarts& mSite;
  const milliseconds mRefusalTime;
  const milliseconds mAnswerTime;
  std::vector<Run> mRuns;
  /// Calls received.
  std::size_t mPolls = 0;
  std::size_t mStops = 0;
  std::vector<std::pair<base::TimePoint, std::function<void()>>> mEvents;
  std::optional<base::TimePoint> mPollEndsAt;
  bool mIsBusy = false;
};

/// Outcomes that deny the last copy of a start.
constexpr std::array kDenials{
  StartOutcome::NoRoom,        StartOutcome::TooLate,
  StartOutcome::TicketInvalid, StartOutcome::Unhealthy,
  StartOutcome::Rejected,      StartOutcome::DeadlinePassed,
  StartOutcome::NotSent,       StartOutcome::OtherIncarnation,
};

/// Workers and starts per second of the target.
constexpr int kTargetWorkers = 7900;
constexpr int kTargetStarts = 470;
/// Workers that a leader may consider in one second for one purpose: 2.8% of a
/// core at 0.08 us for a worker that is not in the processor cache.
constexpr auto kMaxCandidatesPerSecond =
  static_cast<std::int64_t>(0.028 / 0.08e-6);

/// A leader of kTargetWorkers workers that has sent a first poll to each. A
/// worker answers a poll when its wait ends, and the leader ticks after each
/// answer.
class LargeSite
{
public:
  LargeSite()
  {
    for (int n = 0; n < kTargetWorkers; ++n) {
      const FakeWorker worker("w" + std::to_string(n), 16000);
      mDispatcher->SetWorker(worker.Entry(), mClock.Now());
    }
    while (mSink.mPolls.size() < kTargetWorkers) {
      Tick();
    }
  }

  void AnswerFirstPolls()
  {
    mPending.clear();
    for (const PollCall& it : mSink.mPolls) {
      Report(it.mWorkerId, {});
    }
    mSink.mPolls.clear();
  }

  void Report(const std::string& aWorkerId,
              const std::vector<EndedRun>& aEndedRuns)
  {
    mDispatcher->OnReport(
      aWorkerId, { 1, 1, {}, aEndedRuns }, mClock.Now(), mClock.Now());
  }

  /// Each change of the progress of jobs becomes durable at once.
  void Tick()
  {
    const std::size_t before = mSink.mPolls.size();
    mDispatcher->SetLeaderLease(mClock.Now(),
                                mClock.Now() + std::chrono::seconds(9));
    mDispatcher->Tick(mClock.Now(), base::ToMicros(mClock.Now()) / 1000);
    if (mDispatcher->IsDirty()) {
      mDispatcher->OnDurable(mDispatcher->TakeDirty().first, mClock.Now());
    }
    for (std::size_t n = before; n < mSink.mPolls.size(); ++n) {
      const milliseconds wait(mSink.mPolls[n].mWaitMs);
      mPending.emplace(mClock.Now() + wait, mSink.mPolls[n].mWorkerId);
    }
  }

  void Advance(base::Duration aTime)
  {
    mClock.Advance(aTime);
    while (!mPending.empty() && mPending.begin()->first <= mClock.Now()) {
      Report(mPending.begin()->second, {});
      mPending.erase(mPending.begin());
      Tick();
    }
    Tick();
  }

  std::int64_t Counter(const std::string& aName)
  {
    return mMetrics.GetCounter(aName, "").Value();
  }

  base::ManualClock mClock;
  metrics::Registry mMetrics;
  RecordingSink mSink;
  std::unique_ptr<Dispatcher> mDispatcher =
    CreateDispatcher({}, {}, mSink, mMetrics);

private:
  /// By time of the answer: workers with a poll in flight.
  std::multimap<base::TimePoint, std::string> mPending;
};

void
AssertCandidates(std::int64_t aCount)
{
  CPPUNIT_ASSERT_MESSAGE(std::to_string(aCount) + " candidates, limit " +
                           std::to_string(kMaxCandidatesPerSecond),
                         aCount <= kMaxCandidatesPerSecond);
}

/// Adds a leader whose predecessor may just have extended leases, which end
/// within 12 s: longer than any lease of the program.
FakeSite::Leader&
AddSuccessor(FakeSite& aSite, std::int64_t aEpoch)
{
  return aSite.AddLeader(aEpoch, aSite.Now() + std::chrono::seconds(12));
}

/// Adds a first leader of a site whose workers check tickets. The advice
/// service permits worker w2 only.
FakeSite::Leader&
AddLeaderWithTickets(FakeSite& aSite)
{
  auto& leader = aSite.AddLeader(1);
  leader.mPermittedWorkerIds = { "w2" };
  leader.mAreTicketsChecked = true;
  return leader;
}

/// Like AddLeaderWithTickets, for a site of `aWorkers` new workers that the
/// advice service permits.
FakeSite::Leader&
AddLeaderWithTickets(FakeSite& aSite, int aWorkers)
{
  std::set<std::string> ids;
  for (int n = 0; n < aWorkers; ++n) {
    ids.insert(aSite.AddWorker("w" + std::to_string(n)).mId);
  }
  auto& leader = AddLeaderWithTickets(aSite);
  leader.mPermittedWorkerIds = std::move(ids);
  return leader;
}

/// A job of three tasks in a queue that needs tickets.
jobs::JobEntry
MakeJobWithTickets()
{
  jobs::JobEntry job = MakeJob("a", { 3 });
  job.mSubmission->mPolicy.mNeedsTicket = true;
  return job;
}

/// Number of workers that `aLeader` has considered for tasks so far.
std::int64_t
CandidatesOf(FakeSite::Leader& aLeader)
{
  return aLeader.GetMetrics()
    .GetCounter("skylarkhill_placement_candidates_total", "")
    .Value();
}

/// Creates a job that fits on no worker on which a service task runs. Odd
/// numbers are backfill that needs nearly all memory of a worker.
jobs::JobEntry
MakeUnplaceableJob(int aNumber)
{
  const std::string id = "backlog-" + std::to_string(aNumber);
  const std::string image = "image-" + std::to_string(aNumber % 18);
  if (aNumber % 2 == 0) {
    return MakeJob(id, { 20 }, 14500 + aNumber * 7 % 1500);
  }
  jobs::JobEntry job = MakeBackfill(id, 20, image);
  job.mSubmission->mRequest.mSteps.front().mResources.mMemoryBytes =
    (std::int64_t{ 1 } << 36) - aNumber;
  return job;
}

} // namespace

class DispatcherTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(RunsTheStepsOfAJobInOrder);
  CPPUNIT_TEST(RecordsAJobDurablyBeforeItsFirstStart);
  CPPUNIT_TEST(AcknowledgesSuccessOnlyWhenItIsDurable);
  CPPUNIT_TEST(KeepsAnEndedJobUntilItsEndIsDurable);
  CPPUNIT_TEST(FailsAJobAtItsAttemptLimit);
  CPPUNIT_TEST(CountsFailuresReportedOutOfOrder);
  CPPUNIT_TEST(RestartsAServiceTaskAfterFailures);
  CPPUNIT_TEST(StopsTheRunsOfACancelledJob);
  CPPUNIT_TEST(StopsARunWhoseWorkerTakesNoNewConnections);
  CPPUNIT_TEST(StopsARunWhoseWorkerDropsNewConnections);
  CPPUNIT_TEST(StopsSeveralRunsOfAWorkerWithOneConnection);
  CPPUNIT_TEST(StopsARunBesideAnUnwantedOneOnOneConnection);
  CPPUNIT_TEST(CountsRunsThatGoOnWhenTheyAreToBeStopped);
  CPPUNIT_TEST(StopsACancelledRunWhoseRepeatedStartIsRefused);
  CPPUNIT_TEST(StopsARunIfTheSecondCopyOfItsStartIsRefused);
  CPPUNIT_TEST(KeepsAReportedRunWhoseRepeatedStartIsRefused);
  CPPUNIT_TEST(RepeatsNoStartOnADrainingWorker);
  CPPUNIT_TEST(StopsARunWithAnOpenStartIfItsWorkerRestarts);
  CPPUNIT_TEST(StopsARunWhoseStartMayHaveReachedTheNextIncarnation);
  CPPUNIT_TEST(StopsARunAgainAtOnceIfItsWorkerRestarts);
  CPPUNIT_TEST(MovesARunAtOnceIfNoCopyOfItsStartWasSent);
  CPPUNIT_TEST(RepeatsAStopThatAFormerIncarnationMayHaveAnswered);
  CPPUNIT_TEST(KeepsARunThatARestartedWorkerHasAccepted);
  CPPUNIT_TEST(StopsARunThatARestartedWorkerMayHaveAccepted);
  CPPUNIT_TEST(MovesARunAtOnceIfItsWorkerHasLeft);
  CPPUNIT_TEST(NeverExceedsTheCapacityOfAWorker);
  CPPUNIT_TEST(RestartsTasksOfASilentWorkerAfterItsLease);
  CPPUNIT_TEST(GivesUpAStartWithoutAnAnswerInTime);
  CPPUNIT_TEST(RestartsTasksAtOnceAfterAWorkerRestart);
  CPPUNIT_TEST(CountsTheLongestLeaseOfARestartedWorker);
  CPPUNIT_TEST(StopsAStartThatOutlivesItsRunInTheNextIncarnation);
  CPPUNIT_TEST(StopsAStartThatOutlivesItsRunInAFurtherIncarnation);
  CPPUNIT_TEST(StopsAStartThatOutlivesItsRunOnAWorkerThatWasDropped);
  CPPUNIT_TEST(ForgetsAStartThatIsAnsweredAfterItsRun);
  CPPUNIT_TEST(StopsAnOpenStartOnceARestartedWorkerIsBack);
  CPPUNIT_TEST(RepeatsAStartThatAFormerIncarnationHasAccepted);
  CPPUNIT_TEST(WaitsForWorkersThatHaveNotAnsweredANewLeader);
  CPPUNIT_TEST(KeepsAnAdoptedRunForAFullLease);
  CPPUNIT_TEST(KeepsRunsWhileLeadershipIsUnconfirmed);
  CPPUNIT_TEST(WaitsForConfirmationAfterTheLeasesOfEarlierLeaders);
  CPPUNIT_TEST(KeepsUnregisteredWorkersWhileLeadershipIsUnconfirmed);
  CPPUNIT_TEST(StopsSchedulingOnceFenced);
  CPPUNIT_TEST(WaitsForReportsBeforeStartingInheritedTasks);
  CPPUNIT_TEST(StartsNoLentTaskAgain);
  CPPUNIT_TEST(LendsOnlyTasksThatNoWorkerCanHave);
  CPPUNIT_TEST(StartsOnlyTheBorrowedTasksOfAJob);
  CPPUNIT_TEST(StartsNoBorrowedTaskThatItHasLentOn);
  CPPUNIT_TEST(CountsNoUnplaceableTasksAsNew);
  CPPUNIT_TEST(LendsTasksOfAnUnstartedJob);
  CPPUNIT_TEST(WaitsForReportsBeforeStartingTasksBorrowedLater);
  CPPUNIT_TEST(StartsNewJobsAfterATakeoverWithoutWaiting);
  CPPUNIT_TEST(PlacesOnTimeJobsBeforeLateJobs);
  CPPUNIT_TEST(StartsATaskBehindManyThatDoNotFit);
  CPPUNIT_TEST(GivesFreedRoomToTheFirstOfManyJobs);
  CPPUNIT_TEST(StartsTasksWhileManyWorkersAreUnreachable);
  CPPUNIT_TEST(WaitsBetweenTicksWhileStartsAreHeld);
  CPPUNIT_TEST(StopsUnansweredRunsWhileStartsAreHeld);
  CPPUNIT_TEST(MovesServiceTasksOffADrainingWorker);
  CPPUNIT_TEST(PausesBackfillBeforeTheTailViolationLimit);
  CPPUNIT_TEST(StartsOverdueBackfillBelowFullPace);
  CPPUNIT_TEST(PlacesJobsWithoutValueAndWithoutRunsFirst);
  CPPUNIT_TEST(SendsThePaceOfAdoptedBackfill);
  CPPUNIT_TEST(RaisesThePaceOfAdoptedBackfillInSteps);
  CPPUNIT_TEST(KeepsRunsThatAFullListOfEndedRunsOmits);
  CPPUNIT_TEST(WaitsForOmittedEndedRunsOfEarlierLeaders);
  CPPUNIT_TEST(ReadsTheEndedRunsOfARestartedWorker);
  CPPUNIT_TEST(CountsEndedRunsThatNoReportHasListed);
  CPPUNIT_TEST(StopsRunsWhoseStartMayReachARestartedWorker);
  CPPUNIT_TEST(StartsOnlyWhereTheAdviceServicePermits);
  CPPUNIT_TEST(AsksForNewTicketsOfARestartedWorker);
  CPPUNIT_TEST(AsksAgainAfterARefusedTicket);
  CPPUNIT_TEST(UsesTicketsOfAShortValidity);
  CPPUNIT_TEST(AsksAboutMoreWorkersUntilAllTasksRun);
  CPPUNIT_TEST(AsksAboutWorkersWithTheRequiredLabel);
  CPPUNIT_TEST(LimitsThePlacementWorkOfABacklog);
  CPPUNIT_TEST(LimitsTheWorkOfPollsInALargeSite);
  CPPUNIT_TEST(LimitsTheWorkOfAcknowledgementsInALargeSite);
  CPPUNIT_TEST(LimitsThePlacementWorkOfBackfillInAnIdleSite);
  CPPUNIT_TEST(LimitsTheWorkOfATakeoverInALargeSite);
  CPPUNIT_TEST(LimitsTheMemoryOfJobsWithManyOccurrences);
  CPPUNIT_TEST(PollsAllWorkersAtTheLimitOfPolls);
  CPPUNIT_TEST(RequestsATickForADelayedPlacementRound);
  CPPUNIT_TEST(PlacesAnUrgentJobDespiteABacklogWithoutDelay);
  CPPUNIT_TEST(RunsNoTaskTwiceUnderRandomPartitionsAndFailovers);
  CPPUNIT_TEST(RunsEveryTaskOnceUnderRandomRestartsAndOutages);
  CPPUNIT_TEST(RunsEveryTaskOnceUnderRandomRestartsBeforeCuts);
  CPPUNIT_TEST(RunsEveryTaskOnceWhileStartsReachTheNextIncarnation);
  CPPUNIT_TEST_SUITE_END();

public:
  void RunsTheStepsOfAJobInOrder()
  {
    FakeSite site;
    site.AddWorker("w1");
    site.AddWorker("w2");
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(MakeJob("a", { 4, 2 }), false, site.Now());
    site.Advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, leader.mStarts.size());
    site.Advance(milliseconds(800));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, leader.mStarts.size());
    CPPUNIT_ASSERT_EQUAL(1, leader.mStarts.back().mTask.mStep);
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Completed);
  }

  // Otherwise the next leader would not know that the job may have runs.
  void RecordsAJobDurablyBeforeItsFirstStart()
  {
    FakeSite site;
    site.AddWorker("w1");
    auto& leader = site.AddLeader(1);
    leader.mCanStore = false;
    leader.GetDispatcher().AddJob(MakeJob("a", { 1 }), false, site.Now());
    site.Advance(milliseconds(300));
    CPPUNIT_ASSERT(leader.mStarts.empty());
    leader.mCanStore = true;
    site.Advance(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, leader.mStarts.size());
    CPPUNIT_ASSERT(leader.mStored.at("a").mMayHaveStarted);
  }

  // Otherwise a success could be dropped by the worker and lost with the
  // leader.
  void AcknowledgesSuccessOnlyWhenItIsDurable()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(MakeJob("a", { 1 }), false, site.Now());
    site.Advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, worker.mRuns.size());
    leader.mCanStore = false;
    site.Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, worker.mEndedRuns.size());
    leader.mCanStore = true;
    site.Advance(milliseconds(500));
    CPPUNIT_ASSERT(worker.mEndedRuns.empty());
  }

  // A submission that is repeated while the write of the job's end is pending
  // must not run the job again.
  void KeepsAnEndedJobUntilItsEndIsDurable()
  {
    FakeSite site;
    site.AddWorker("w1");
    auto& leader = site.AddLeader(1);
    const jobs::JobEntry job = MakeJob("a", { 1 });
    leader.GetDispatcher().AddJob(job, false, site.Now());
    site.Advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(1, site.mStartCounts.at("a.0.0.0"));
    leader.mIsStoreUnresponsive = true;
    site.Advance(milliseconds(1000));
    leader.GetDispatcher().AddJob(Stored(leader, job), false, site.Now());
    leader.mIsStoreUnresponsive = false;
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(1, site.mStartCounts.at("a.0.0.0"));
  }

  void FailsAJobAtItsAttemptLimit()
  {
    FakeSite site;
    site.AddWorker("w1");
    site.AddWorker("w2");
    site.mDecideFailure = [](const TaskId&, int) { return true; };
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(MakeJob("a", { 1 }), false, site.Now());
    site.Advance(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(3, site.mStartCounts.at("a.0.0.0"));
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Failed);
  }

  // A new leader may learn of the third failure before the first two. It must
  // not start a fourth run.
  void CountsFailuresReportedOutOfOrder()
  {
    FakeSite site;
    const TaskId task{ "a", 0, 0, 0 };
    int number = 3;
    for (const char* id : { "w1", "w2", "w3" }) {
      FakeWorker& worker = site.AddWorker(id);
      worker.mEndedRuns.push_back({ 1, task, number, RunOutcome::Failed, "" });
      worker.mHighestEndedRuns[ToText(task)] = number--;
    }
    auto& leader = AddSuccessor(site, 2);
    jobs::JobEntry job = MakeJob("a", { 1 });
    job.mProgress.mMayHaveStarted = true;
    leader.GetDispatcher().AddJob(job, true, site.Now());
    site.Advance(milliseconds(2000));
    CPPUNIT_ASSERT(leader.mStarts.empty());
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Failed);
  }

  // Otherwise accepted jobs take the leader, and each successor, over the
  // memory of an instance.
  void LimitsTheMemoryOfJobsWithManyOccurrences()
  {
    constexpr int kJobs = 160;
    constexpr std::size_t kMaxBytes = std::size_t{ 256 } << 20;
    FakeSite site;
    site.AddWorker("w1");
    auto& leader = site.AddLeader(1);
    const auto allocated = [] {
      const auto info = mallinfo2();
      return info.uordblks + info.hblkhd;
    };
    const std::size_t before = allocated();
    for (int n = 0; n < kJobs; ++n) {
      jobs::JobEntry job = MakeJob("job-" + std::to_string(n), { 8, 8 });
      job.mSubmission->mRequest.mOccurrences = 720;
      leader.GetDispatcher().AddJob(job, false, site.Now());
    }
    CPPUNIT_ASSERT(allocated() - before < kMaxBytes);
  }

  void RestartsAServiceTaskAfterFailures()
  {
    FakeSite site;
    site.AddWorker("w1");
    site.mDecideFailure = [](const TaskId&, int) { return true; };
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(MakeService("a", 1, "x"), false, site.Now());
    site.Advance(milliseconds(4000));
    CPPUNIT_ASSERT(site.mStartCounts.at("a.0.0.0") >= 6);
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Running);
  }

  void StopsTheRunsOfACancelledJob()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    site.mRunTime = OneMinuteRunTime;
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(MakeJob("a", { 3 }), false, site.Now());
    site.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, worker.mRuns.size());
    leader.GetDispatcher().CancelJob("a", site.Now());
    site.Advance(milliseconds(300));
    CPPUNIT_ASSERT(worker.mRuns.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, leader.mStarts.size());
  }

  // Guards against a run of a cancelled job that goes on because its worker
  // refuses new connections: each poll extends the lease on the only one, and
  // the stops come due while a poll is using it.
  void StopsARunWhoseWorkerTakesNoNewConnections()
  {
    for (int phase = 0; phase < 800; phase += 40) {
      UnansweredStarts site(1, 1);
      WorkerWithOneConnection worker(site);
      worker.Advance(milliseconds(2000 + phase));
      site.mDispatcher->CancelJob("a", site.mClock.Now());
      worker.Advance(milliseconds(2000));
      CPPUNIT_ASSERT_MESSAGE("cancelled after " + std::to_string(2000 + phase) +
                               " ms",
                             worker.IsStopped());
    }
  }

  // Guards against a run of a cancelled job that goes on because its worker
  // drops new connections: the stop is still waiting for one whenever a poll
  // leaves the only connection idle.
  void StopsARunWhoseWorkerDropsNewConnections()
  {
    std::string late;
    for (int answerMs = 10; answerMs <= 200; answerMs += 10) {
      milliseconds longest{ 0 };
      for (int phase = 0; phase < 1000; phase += 50) {
        UnansweredStarts site(1, 1);
        CrowdedConnection worker(
          site, {}, milliseconds(600), milliseconds(answerMs));
        worker.Advance(milliseconds(2000 + phase));
        site.mDispatcher->CancelJob("a", site.mClock.Now());
        longest =
          std::max(longest, worker.TimeUntilStopped(milliseconds(15000)));
      }
      if (longest > milliseconds(5000)) {
        late += " " + std::to_string(answerMs) + ":" +
                std::to_string(longest.count());
      }
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "answer time and longest time to the stop, ms", std::string(), late);
  }

  // Guards against runs that go on because the stops of the other runs of their
  // worker use its only connection.
  void StopsSeveralRunsOfAWorkerWithOneConnection()
  {
    for (int phase = 0; phase < 800; phase += 40) {
      UnansweredStarts site(1, 1);
      CrowdedConnection worker(
        site, { "b", "c", "d" }, milliseconds(5), milliseconds(20));
      worker.Advance(milliseconds(2000 + phase));
      for (const char* id : { "a", "b", "c", "d" }) {
        site.mDispatcher->CancelJob(id, site.mClock.Now());
      }
      const milliseconds time = worker.TimeUntilStopped(milliseconds(15000));
      CPPUNIT_ASSERT_MESSAGE("phase " + std::to_string(phase) +
                               ": stopped after " +
                               std::to_string(time.count()) + " ms",
                             time <= milliseconds(5000));
    }
  }

  // Guards against a run that goes on because each report repeats the stop of
  // an unwanted run, which uses the only connection to the worker first.
  void StopsARunBesideAnUnwantedOneOnOneConnection()
  {
    for (int phase = 0; phase < 800; phase += 40) {
      UnansweredStarts site(1, 1);
      CrowdedConnection worker(site, {}, milliseconds(5), milliseconds(5));
      worker.AddUnwantedRun(milliseconds(4000));
      worker.Advance(milliseconds(500 + phase));
      site.mDispatcher->CancelJob("a", site.mClock.Now());
      const milliseconds time = worker.TimeUntilStopped(milliseconds(15000));
      CPPUNIT_ASSERT_MESSAGE("phase " + std::to_string(phase) +
                               ": stopped after " +
                               std::to_string(time.count()) + " ms",
                             time <= milliseconds(5000));
    }
  }

  // Guards against a run that goes on although it is to be stopped, while
  // nobody notices: no stop was sent, no stop was answered, or the worker has
  // accepted one.
  void CountsRunsThatGoOnWhenTheyAreToBeStopped()
  {
    // Without an outcome, a start in flight holds up the stop.
    const std::array<std::optional<CallOutcome>, 3> outcomes{
      std::nullopt, CallOutcome::Unknown, CallOutcome::Accepted
    };
    for (const auto& outcome : outcomes) {
      UnansweredStarts site(1, 1);
      if (outcome) {
        site.FailStarts();
      }
      const StartCall start = site.mSink.mStarts.back();
      const auto report = [&] {
        const ActiveRun run{ start.mTask, start.mRunNumber, "", 10, -1 };
        site.mDispatcher->OnReport(
          "w0", { 400, 1, { run }, {} }, site.mClock.Now(), site.mClock.Now());
        return site.mMetrics.GetCounter("skylarkhill_stops_overdue_total", "")
          .Value();
      };
      report();
      site.mDispatcher->CancelJob("a", site.mClock.Now());
      std::size_t answered = 0;
      for (int n = 0; n < 20; ++n) {
        CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, report());
        site.Tick(milliseconds(100));
        for (; answered < site.mSink.mStops.size(); ++answered) {
          site.mDispatcher->OnStopResult(
            site.mSink.mStops[answered], *outcome, site.mClock.Now());
        }
      }
      // Each run counts once.
      for (int n = 0; n < 20; ++n) {
        site.Tick(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, report());
      }
      CPPUNIT_ASSERT_EQUAL(outcome.has_value(), !site.mSink.mStops.empty());
    }
  }

  // Guards against a task that runs twice: the worker has carried out the first
  // copy of a start, and the answer is the refusal of the second one.
  void StopsARunIfTheSecondCopyOfItsStartIsRefused()
  {
    for (const StartOutcome it : kDenials) {
      UnansweredStarts site(2, 1);
      const StartCall start = site.mSink.mStarts.back();
      site.mDispatcher->OnStartResult(start, { it, true }, site.mClock.Now());
      site.Tick(milliseconds(300));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.mSink.mStarts.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.mSink.mStops.size());
      // The worker has never had the run.
      site.mDispatcher->OnStopResult(
        site.mSink.mStops.back(), CallOutcome::Accepted, site.mClock.Now());
      site.Tick(milliseconds(10));
      site.mDispatcher->OnReport(start.mWorkerId,
                                 { 400, 1, {}, {} },
                                 site.mClock.Now(),
                                 site.mClock.Now());
      site.Tick(milliseconds(10));
      site.Tick(milliseconds(10));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.mSink.mStarts.size());
      CPPUNIT_ASSERT(site.mSink.mStarts.back().mRunNumber > start.mRunNumber);
    }
  }

  // Guards against a task that runs twice: the worker has reported the run of
  // an unanswered start, and a refusal of the repeated start ended it here.
  void KeepsAReportedRunWhoseRepeatedStartIsRefused()
  {
    for (const StartOutcome it : kDenials) {
      UnansweredStarts site(2, 1);
      const StartCall start = site.mSink.mStarts.back();
      site.FailStarts();
      site.Tick(milliseconds(300));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.mSink.mStarts.size());
      const ActiveRun run{ start.mTask, start.mRunNumber, "", 10, -1 };
      site.mDispatcher->OnReport(start.mWorkerId,
                                 { 400, 1, { run }, {} },
                                 site.mClock.Now(),
                                 site.mClock.Now());
      site.mDispatcher->OnStartResult(
        site.mSink.mStarts.back(), { it }, site.mClock.Now());
      for (int n = 0; n < 10; ++n) {
        site.Tick(milliseconds(100));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.mSink.mStarts.size());
      CPPUNIT_ASSERT(site.mSink.mStops.empty());
    }
  }

  // Guards against a task that starts on a draining worker, because its
  // unanswered start is repeated there.
  void RepeatsNoStartOnADrainingWorker()
  {
    UnansweredStarts site(2, 1);
    const StartCall start = site.mSink.mStarts.back();
    site.FailStarts();
    FakeWorker worker(start.mWorkerId, 16000);
    worker.mIsDraining = true;
    site.mDispatcher->SetWorker(worker.Entry(), site.mClock.Now());
    site.Tick(milliseconds(300));
    site.Tick(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.mSink.mStarts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.mSink.mStops.size());
  }

  // Guards against a task that runs twice: the connection of a start is closed
  // by the restart of the worker, and the new incarnation gets the second copy
  // after its first report.
  void StopsARunWithAnOpenStartIfItsWorkerRestarts()
  {
    for (const bool isAnswered : { false, true }) {
      UnansweredStarts site(2, 1);
      const StartCall start = site.mSink.mStarts.back();
      const ActiveRun run{ start.mTask, start.mRunNumber, "", 10, -1 };
      site.mDispatcher->OnReport(start.mWorkerId,
                                 { 100, 1, { run }, {} },
                                 site.mClock.Now(),
                                 site.mClock.Now());
      if (isAnswered) {
        site.FailStarts();
      }
      site.mDispatcher->OnReport(start.mWorkerId,
                                 { 1, 2, {}, {} },
                                 site.mClock.Now(),
                                 site.mClock.Now());
      site.FailStarts();
      site.Tick(milliseconds(300));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.mSink.mStarts.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.mSink.mStops.size());
    }
  }

  // Guards against a task that runs twice: the next incarnation of the worker
  // carries out a start that gets no answer, and the repeated start, which is
  // not sent to it, is taken for the fate of the run.
  void StopsARunWhoseStartMayHaveReachedTheNextIncarnation()
  {
    UnansweredStarts site(2, 1);
    const StartCall start = site.mSink.mStarts.back();
    site.FailStarts();
    site.Tick(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.mSink.mStarts.size());
    site.mDispatcher->OnStartResult(site.mSink.mStarts.back(),
                                    { StartOutcome::OtherIncarnation },
                                    site.mClock.Now());
    site.Tick(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.mSink.mStarts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.mSink.mStops.size());
    // The new incarnation has ended the run before the stop.
    site.mDispatcher->OnStopResult(
      site.mSink.mStops.back(), CallOutcome::Accepted, site.mClock.Now());
    const EndedRun done{
      1, start.mTask, start.mRunNumber, RunOutcome::Done, ""
    };
    site.Tick(milliseconds(10));
    site.mDispatcher->OnReport(start.mWorkerId,
                               { 400, 2, {}, { done } },
                               site.mClock.Now(),
                               site.mClock.Now());
    for (int n = 0; n < 10; ++n) {
      site.Tick(milliseconds(300));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.mSink.mStarts.size());
  }

  // The stop may have been accepted by the former incarnation. Guards against a
  // task that waits for a second until the new one is told.
  void StopsARunAgainAtOnceIfItsWorkerRestarts()
  {
    UnansweredStarts site(2, 1);
    const StartCall start = site.mSink.mStarts.back();
    site.mDispatcher->OnStartResult(
      start, { StartOutcome::OtherIncarnation, true }, site.mClock.Now());
    site.Tick(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.mSink.mStops.size());
    for (std::size_t stops = 1; stops <= 2; ++stops) {
      site.mDispatcher->OnStopResult(
        site.mSink.mStops.back(), CallOutcome::Accepted, site.mClock.Now());
      site.Tick(milliseconds(10));
      site.mDispatcher->OnReport(start.mWorkerId,
                                 { 400, 2, {}, {} },
                                 site.mClock.Now(),
                                 site.mClock.Now());
      site.Tick(milliseconds(10));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.mSink.mStops.size());
    }
    site.Tick(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.mSink.mStarts.size());
  }

  // Guards against a task that waits for a stop although no copy of its start
  // has left the leader.
  void MovesARunAtOnceIfNoCopyOfItsStartWasSent()
  {
    for (const StartOutcome it :
         { StartOutcome::NotSent, StartOutcome::OtherIncarnation }) {
      UnansweredStarts site(2, 1);
      const StartCall start = site.mSink.mStarts.back();
      site.mDispatcher->OnStartResult(start, { it }, site.mClock.Now());
      site.Tick(milliseconds(10));
      site.Tick(milliseconds(10));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.mSink.mStarts.size());
      CPPUNIT_ASSERT(site.mSink.mStarts.back().mWorkerId != start.mWorkerId);
      CPPUNIT_ASSERT(site.mSink.mStops.empty());
    }
  }

  // The report of the next incarnation arrives before the answer of the former
  // one to a stop. Guards against a task that runs twice, because this answer
  // is taken for one of the next incarnation, which can still get a start.
  void RepeatsAStopThatAFormerIncarnationMayHaveAnswered()
  {
    UnansweredStarts site(2, 1);
    const StartCall start = site.mSink.mStarts.back();
    site.mDispatcher->OnStartResult(
      start, { StartOutcome::OtherIncarnation, true }, site.mClock.Now());
    site.Tick(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.mSink.mStops.size());
    const auto report = [&] {
      site.mDispatcher->OnReport(start.mWorkerId,
                                 { 400, 2, {}, {} },
                                 site.mClock.Now(),
                                 site.mClock.Now());
    };
    report();
    site.mDispatcher->OnStopResult(
      site.mSink.mStops.back(), CallOutcome::Accepted, site.mClock.Now());
    site.Tick(milliseconds(20));
    report();
    site.Tick(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.mSink.mStarts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.mSink.mStops.size());
  }

  // Guards against a task that runs twice: a worker has restarted unnoticed and
  // accepted a start, and the report of the new incarnation, which was made
  // before, arrives after that.
  void KeepsARunThatARestartedWorkerHasAccepted()
  {
    UnansweredStarts site(2, 1);
    const StartCall start = site.mSink.mStarts.back();
    const base::TimePoint pollSentAt = site.mClock.Now();
    site.Tick(milliseconds(10));
    site.mDispatcher->OnStartResult(
      start, { StartOutcome::Started }, site.mClock.Now());
    site.mDispatcher->OnReport(
      start.mWorkerId, { 1, 2, {}, {} }, pollSentAt, site.mClock.Now());
    for (int n = 0; n < 10; ++n) {
      site.Tick(milliseconds(100));
    }
    for (const auto& it : site.mSink.mStarts) {
      CPPUNIT_ASSERT_EQUAL(start.mRunNumber, it.mRunNumber);
    }
  }

  // As before, and the repeated start is refused or not sent. Guards against a
  // task that runs twice, because this answer is taken for the fate of the run
  // that the first call has started.
  void StopsARunThatARestartedWorkerMayHaveAccepted()
  {
    for (const StartOutcome it : kDenials) {
      UnansweredStarts site(2, 1);
      const StartCall start = site.mSink.mStarts.back();
      const base::TimePoint pollSentAt = site.mClock.Now();
      site.Tick(milliseconds(10));
      site.mDispatcher->OnStartResult(
        start, { StartOutcome::Started }, site.mClock.Now());
      site.mDispatcher->OnReport(
        start.mWorkerId, { 1, 2, {}, {} }, pollSentAt, site.mClock.Now());
      for (int n = 0; n < 10 && site.mSink.mStarts.size() < 2; ++n) {
        site.Tick(milliseconds(100));
      }
      CPPUNIT_ASSERT_EQUAL(start.mRunNumber,
                           site.mSink.mStarts.back().mRunNumber);
      site.mDispatcher->OnStartResult(
        site.mSink.mStarts.back(), { it }, site.mClock.Now());
      site.Tick(milliseconds(10));
      site.Tick(milliseconds(10));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.mSink.mStarts.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.mSink.mStops.size());
    }
  }

  // Guards against a task that waits for the lease of a worker that has left,
  // because a stop at its address is refused again and again.
  void MovesARunAtOnceIfItsWorkerHasLeft()
  {
    UnansweredStarts site(2, 1);
    const StartCall start = site.mSink.mStarts.back();
    site.mDispatcher->OnStartResult(
      start, { StartOutcome::OtherWorker, true }, site.mClock.Now());
    site.Tick(milliseconds(10));
    site.Tick(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.mSink.mStarts.size());
    CPPUNIT_ASSERT(site.mSink.mStarts.back().mWorkerId != start.mWorkerId);
    CPPUNIT_ASSERT(site.mSink.mStops.empty());
  }

  // An unanswered start can still take effect after a repeated one was refused.
  // Guards against forgetting the run, which would start after the
  // cancellation.
  void StopsACancelledRunWhoseRepeatedStartIsRefused()
  {
    base::ManualClock clock;
    metrics::Registry metrics;
    RecordingSink sink;
    const auto dispatcher = CreateDispatcher({}, {}, sink, metrics);
    const auto tick = [&](milliseconds aTime) {
      clock.Advance(aTime);
      dispatcher->SetLeaderLease(clock.Now(),
                                 clock.Now() + std::chrono::seconds(9));
      dispatcher->Tick(clock.Now(), base::ToMicros(clock.Now()) / 1000);
      dispatcher->OnDurable(dispatcher->TakeDirty().first, clock.Now());
    };
    dispatcher->SetWorker(FakeWorker("w1", 16000).Entry(), clock.Now());
    tick(milliseconds(10));
    dispatcher->OnReport("w1", { 1, 1, {}, {} }, clock.Now(), clock.Now());
    dispatcher->AddJob(MakeJob("a", { 1 }), false, clock.Now());
    tick(milliseconds(10));
    tick(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, sink.mStarts.size());
    dispatcher->OnStartResult(
      sink.mStarts.back(), { StartOutcome::Unknown }, clock.Now());
    tick(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, sink.mStarts.size());
    dispatcher->CancelJob("a", clock.Now());
    dispatcher->OnStartResult(
      sink.mStarts.back(), { StartOutcome::NoRoom }, clock.Now());
    tick(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, sink.mStops.size());
    CPPUNIT_ASSERT_EQUAL(sink.mStarts.back().mRunNumber,
                         sink.mStops.back().mRunNumber);
  }

  void NeverExceedsTheCapacityOfAWorker()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1", 4000);
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(
      MakeJob("a", { 10 }, 1500), false, site.Now());
    for (int n = 0; n < 600; ++n) {
      site.Advance(milliseconds(5));
      CPPUNIT_ASSERT(worker.mRuns.size() <= 2);
    }
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Completed);
  }

  // Polls must not extend the lease of a worker that does not answer, or its
  // tasks would never run again.
  void RestartsTasksOfASilentWorkerAfterItsLease()
  {
    FakeSite site;
    FakeWorker& silent = site.AddWorker("w1", 4000);
    site.mRunTime = OneMinuteRunTime;
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(MakeService("a", 1, "x"), false, site.Now());
    site.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, silent.mRuns.size());
    leader.GetDispatcher().SetWorker(site.AddWorker("w2", 4000).Entry(),
                                     site.Now());
    leader.mUnreachableWorkers.insert("w1");
    site.Advance(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(1, site.mStartCounts.at("a.0.0.0"));
    site.Advance(milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(2, site.mStartCounts.at("a.0.0.0"));
    CPPUNIT_ASSERT(site.mDoubleRuns.empty());
  }

  // A worker dies, and a task is started on it before its polls fail. Guards
  // against a lasting task that waits for too long, because each repeated start
  // asks for a later end of the lease (LOST).
  void GivesUpAStartWithoutAnAnswerInTime()
  {
    FakeSite site;
    site.mRunTime = [](const TaskId&) { return std::chrono::hours(1); };
    site.AddWorker("w1");
    auto& leader = site.AddLeader(1);
    site.Advance(milliseconds(1000));
    leader.mUnreachableWorkers.insert("w1");
    leader.GetDispatcher().AddJob(
      MakeService("a", 1, "image"), false, site.Now());
    site.Advance(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, leader.mStarts.size());
    site.AddWorker("w2");
    leader.GetDispatcher().SetWorker(site.Worker("w2").Entry(), site.Now());
    site.Advance(kMaxAbsence - milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.Worker("w2").mRuns.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, site.mDoubleRuns.size());
  }

  void RestartsTasksAtOnceAfterAWorkerRestart()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    site.mRunTime = OneMinuteRunTime;
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(MakeService("a", 1, "x"), false, site.Now());
    site.Advance(milliseconds(300));
    worker.Restart();
    site.Advance(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(2, site.mStartCounts.at("a.0.0.0"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, worker.mRuns.size());
  }

  // A worker restarts, gets a poll that was meant for the former incarnation,
  // whose clock was ahead, and is cut off. Guards against a task that runs
  // twice, because the lease of that poll is the longest that workers accept
  // (TWICE).
  void CountsTheLongestLeaseOfARestartedWorker()
  {
    FakeSite site;
    site.mMaxLease = milliseconds(10000);
    site.mRunTime = [](const TaskId&) { return milliseconds(30000); };
    auto& worker = site.AddWorker("w1");
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(MakeJob("a", { 1 }), false, site.Now());
    site.Advance(milliseconds(1000));
    worker.Restart(-milliseconds(20000));
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, worker.mRuns.size());
    site.AddWorker("w2");
    leader.GetDispatcher().SetWorker(site.Worker("w2").Entry(), site.Now());
    leader.mUnreachableWorkers.insert("w1");
    site.Advance(milliseconds(20000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, site.mDoubleRuns.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.Worker("w2").mRuns.size());
  }

  // The first start of a task gets no answer, the repeated one is carried out,
  // and the run ends done. The worker restarts and then gets the first start.
  // Guards against a second run of a task that is done (TWICE).
  void StopsAStartThatOutlivesItsRunInTheNextIncarnation()
  {
    FakeSite site;
    auto& leader = RunWithALateStart(site);
    site.Worker("w1").Restart(-milliseconds(20000));
    site.Advance(milliseconds(10000));
    CPPUNIT_ASSERT_EQUAL(1, site.mStartCounts.at("a.0.0.0"));
    CPPUNIT_ASSERT(site.mDoubleRuns.empty());
    CPPUNIT_ASSERT(!leader.GetDispatcher().HasJob("a"));
  }

  // As above, but the worker restarts once more. Guards against a stop that
  // only the first of the next incarnations gets (TWICE).
  void StopsAStartThatOutlivesItsRunInAFurtherIncarnation()
  {
    FakeSite site;
    RunWithALateStart(site);
    for (int n = 0; n < 2; ++n) {
      site.Worker("w1").Restart(-milliseconds(20000));
      site.Advance(milliseconds(1000));
    }
    site.Advance(milliseconds(10000));
    CPPUNIT_ASSERT_EQUAL(1, site.mStartCounts.at("a.0.0.0"));
    CPPUNIT_ASSERT(site.mDoubleRuns.empty());
  }

  // As above, but the worker is silent until it has been removed, and returns.
  // Guards against a start that is forgotten with its worker (TWICE).
  void StopsAStartThatOutlivesItsRunOnAWorkerThatWasDropped()
  {
    FakeSite site;
    auto& leader = RunWithALateStart(site, milliseconds(20000));
    leader.mUnreachableWorkers.insert("w1");
    leader.GetDispatcher().OnWorkerUnregistered("w1", site.Now());
    site.Advance(milliseconds(9000));
    CPPUNIT_ASSERT(!leader.GetDispatcher().HasWorker("w1"));
    site.Worker("w1").Restart(-milliseconds(20000));
    leader.mUnreachableWorkers.clear();
    leader.GetDispatcher().SetWorker(site.Worker("w1").Entry(), site.Now());
    site.Advance(milliseconds(20000));
    CPPUNIT_ASSERT_EQUAL(1, site.mStartCounts.at("a.0.0.0"));
    CPPUNIT_ASSERT(site.mDoubleRuns.empty());
  }

  // The answer to a start comes after the end of its run. Guards against stops
  // of starts that cannot be carried out any more.
  void ForgetsAStartThatIsAnsweredAfterItsRun()
  {
    FakeSite site;
    auto& leader = RunWithALateStart(site);
    const StartCall start = leader.mStarts.front();
    leader.GetDispatcher().OnStartResult(
      start, { StartOutcome::OldRun }, site.Now());
    const std::int64_t stops = CountStops(leader);
    site.Worker("w1").Restart();
    site.Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(stops, CountStops(leader));
  }

  // After a long outage of the log, a new leader takes over when all earlier
  // leases have ended. A task whose success a worker has yet to report must not
  // run again.
  void WaitsForReportsBeforeStartingInheritedTasks()
  {
    FakeSite site;
    site.AddWorker("w1");
    site.AddWorker("w2");
    site.mRunTime = [](const TaskId&) { return milliseconds(800); };
    const jobs::JobEntry stored =
      RunUntilKilled(site, MakeJob("a", { 1 }), milliseconds(300));
    const std::string busy = site.Worker("w1").mRuns.empty() ? "w2" : "w1";
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.Worker(busy).mEndedRuns.size());
    auto& second = site.AddLeader(2, site.Now());
    second.mDelays[busy] = milliseconds(200);
    second.GetDispatcher().AddJob(stored, true, site.Now());
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT(second.mStarts.empty());
    CPPUNIT_ASSERT(second.mStored.at("a").mState == jobs::JobState::Completed);
  }

  // Another cell runs the lent task. Guards against a second run by the leader
  // that has lent it, by its successor, and by one of a version without loans,
  // which reads the progress of the job only.
  void StartsNoLentTaskAgain()
  {
    FakeSite site;
    site.mRunTime = OneMinuteRunTime;
    site.AddWorker("w1", 4000);
    auto& leader = site.AddLeader(1);
    const jobs::JobEntry job = MakeService("a", 3, "x");
    leader.GetDispatcher().AddJob(job, false, site.Now());
    site.Advance(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, leader.mStarts.size());
    const jobs::BorrowedTasks lent = Lend(site, leader, job);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, lent.mSteps.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, lent.mSteps[0].mTasks.size());
    site.AddWorker("w2", 4000);
    leader.GetDispatcher().SetWorker(site.Worker("w2").Entry(), site.Now());
    site.Advance(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, leader.mStarts.size());
    jobs::JobEntry stored = Stored(leader, job);
    site.Kill(leader);
    const jobs::JobEntry former = stored;
    stored.mLoans["1"] = { 1, true, lent.mSteps, {} };
    std::int64_t epoch = 1;
    for (const auto& it : { stored, former }) {
      auto& successor = AddSuccessor(site, ++epoch);
      successor.GetDispatcher().AddJob(it, true, site.Now());
      site.Advance(milliseconds(15'000));
      CPPUNIT_ASSERT(successor.mStarts.empty());
      CPPUNIT_ASSERT(successor.mStored.count("a") == 0 ||
                     !jobs::IsFinal(successor.mStored.at("a").mState));
      site.Kill(successor);
    }
  }

  // The worker with the run is silent. Guards against a loan of a task that may
  // still run.
  void LendsOnlyTasksThatNoWorkerCanHave()
  {
    FakeSite site;
    site.mRunTime = OneMinuteRunTime;
    site.AddWorker("w1", 2000);
    auto& leader = site.AddLeader(1);
    const jobs::JobEntry job = MakeService("a", 1, "x");
    leader.GetDispatcher().AddJob(job, false, site.Now());
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.Worker("w1").mRuns.size());
    leader.mUnreachableWorkers.insert("w1");
    site.Advance(milliseconds(5000));
    CPPUNIT_ASSERT(!site.Worker("w1").mRuns.empty());
    CPPUNIT_ASSERT(Lend(site, leader, job).mSteps.empty());
    site.Advance(milliseconds(5000));
    CPPUNIT_ASSERT(site.Worker("w1").mRuns.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         Lend(site, leader, job).mSteps.size());
  }

  // Guards against a borrower that runs the tasks that the lender has kept, or
  // uses a run number again.
  void StartsOnlyTheBorrowedTasksOfAJob()
  {
    FakeSite site;
    site.mRunTime = OneMinuteRunTime;
    site.AddWorker("w1");
    auto& leader = site.AddLeader(1);
    const jobs::JobEntry job = MakeService("a", 4, "x");
    leader.GetDispatcher().AddJob(Borrowed(job, { 2 }), false, site.Now());
    site.Advance(milliseconds(1000));
    leader.GetDispatcher().AddJob(Borrowed(job, { 1, 2 }), false, site.Now());
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, leader.mStarts.size());
    CPPUNIT_ASSERT_EQUAL(2, leader.mStarts[0].mTask.mIndex);
    CPPUNIT_ASSERT(leader.mStarts[0].mRunNumber > 4);
    CPPUNIT_ASSERT_EQUAL(std::string("point"), leader.mStarts[0].mCheckpoint);
    CPPUNIT_ASSERT_EQUAL(1, leader.mStarts[1].mTask.mIndex);
    CPPUNIT_ASSERT(leader.GetDispatcher().ListUnstarted().empty());
    leader.GetDispatcher().CancelJob("a", site.Now());
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT(site.Worker("w1").mRuns.empty());
  }

  // A borrower without room lends a task on, and reads its own loan and a late
  // copy of the first one. Guards against a second run beside that of the next
  // borrower.
  void StartsNoBorrowedTaskThatItHasLentOn()
  {
    FakeSite site;
    site.mRunTime = OneMinuteRunTime;
    site.AddWorker("w1", 1000);
    auto& leader = site.AddLeader(1);
    const jobs::JobEntry job = MakeService("a", 4, "x");
    jobs::JobEntry borrowed = Borrowed(job, { 2 });
    leader.GetDispatcher().AddJob(borrowed, false, site.Now());
    site.Advance(milliseconds(1500));
    const jobs::BorrowedTasks lent = Lend(site, leader, job);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, lent.mSteps.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, lent.mSteps[0].mTasks.size());
    const jobs::TaskProgress& task = lent.mSteps[0].mTasks[0];
    CPPUNIT_ASSERT_EQUAL(2, task.mIndex);
    CPPUNIT_ASSERT(task.mLastRun >= 4);
    CPPUNIT_ASSERT_EQUAL(std::string("point"), task.mCheckpoint);
    leader.GetDispatcher().AddJob(borrowed, false, site.Now());
    site.AddWorker("w2");
    leader.GetDispatcher().SetWorker(site.Worker("w2").Entry(), site.Now());
    site.Advance(milliseconds(1500));
    CPPUNIT_ASSERT(leader.mStarts.empty());
    site.Kill(leader);
    borrowed.mLoans["1"] = { 2, true, lent.mSteps, {} };
    auto& successor = AddSuccessor(site, 2);
    successor.GetDispatcher().AddJob(borrowed, true, site.Now());
    site.Advance(milliseconds(15'000));
    CPPUNIT_ASSERT(successor.mStarts.empty());
  }

  // No worker can have a lasting job, which is never started. Guards against a
  // load that says for ever that these tasks will use the room (LOST).
  void CountsNoUnplaceableTasksAsNew()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    auto& leader = site.AddLeader(1);
    jobs::JobEntry job = MakeService("a", 8, "x");
    job.mSubmission->mRequest.mSteps.front().mResources.mMilliProcessors = 5000;
    leader.GetDispatcher().AddJob(job, false, site.Now());
    site.Advance(milliseconds(2000));
    CPPUNIT_ASSERT(leader.mStarts.empty());
    const auto load = leader.GetDispatcher().Load(site.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         load.mPools.at(0).mLastingRooms.size());
    CPPUNIT_ASSERT_EQUAL(0, load.mPools.at(0).mNewLastingTasks);
  }

  // A job waits without a start, and no cell has room for all of it. Guards
  // against tasks that no cell gets (LOST), and against a transfer of the whole
  // job beside the loan, by this leader or by one that has only read the loan.
  void LendsTasksOfAnUnstartedJob()
  {
    FakeSite site;
    site.mRunTime = OneMinuteRunTime;
    site.AddWorker("w1", 1000);
    auto& leader = site.AddLeader(1);
    jobs::JobEntry job = MakeService("a", 2, "x");
    leader.GetDispatcher().AddJob(job, false, site.Now());
    site.Advance(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         leader.GetDispatcher().ListUnstarted().size());
    const jobs::BorrowedTasks lent = Lend(site, leader, job);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, lent.mSteps.size());
    CPPUNIT_ASSERT(leader.GetDispatcher().ListUnstarted().empty());
    CPPUNIT_ASSERT(!leader.GetDispatcher().ReleaseJob("a"));
    site.Advance(milliseconds(500));
    CPPUNIT_ASSERT(leader.mStored.at("a").mMayHaveStarted);
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Running);
    site.Kill(leader);
    job.mLoans["1"] = { 1, false, lent.mSteps, {} };
    auto& successor = AddSuccessor(site, 2);
    successor.GetDispatcher().AddJob(job, true, site.Now());
    CPPUNIT_ASSERT(successor.GetDispatcher().ListUnstarted().empty());
    CPPUNIT_ASSERT(!successor.GetDispatcher().ReleaseJob("a"));
  }

  // An earlier leader of the borrower may have read the second loan and started
  // its task without a record, because the start of the job is recorded. Guards
  // against a second run of that task.
  void WaitsForReportsBeforeStartingTasksBorrowedLater()
  {
    FakeSite site;
    site.mRunTime = OneMinuteRunTime;
    site.AddWorker("w1", 4000);
    const jobs::JobEntry job = MakeService("a", 2, "x");
    jobs::JobEntry stored = Borrowed(job, { 0 });
    auto& first = site.AddLeader(1);
    first.GetDispatcher().AddJob(stored, false, site.Now());
    site.Advance(milliseconds(300));
    stored.mProgress = first.mStored.at("a");
    CPPUNIT_ASSERT(stored.mProgress.mMayHaveStarted);
    const jobs::JobEntry both = Borrowed(job, { 0, 1 });
    first.GetDispatcher().AddJob(both, false, site.Now());
    site.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.Worker("w1").mRuns.size());
    site.Kill(first);
    site.AddWorker("w2", 4000);
    auto& second = AddSuccessor(site, 2);
    second.mUnreachableWorkers.insert("w1");
    second.GetDispatcher().AddJob(stored, true, site.Now());
    site.Advance(milliseconds(200));
    stored.mBorrowed = both.mBorrowed;
    second.GetDispatcher().AddJob(stored, false, site.Now());
    site.Advance(milliseconds(4800));
    CPPUNIT_ASSERT(!site.Worker("w1").mRuns.empty());
    CPPUNIT_ASSERT(second.mStarts.empty());
    site.Advance(milliseconds(8500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, second.mStarts.size());
    CPPUNIT_ASSERT(site.mDoubleRuns.empty());
  }

  // A task must not run again while its worker has not answered the new leader,
  // even if the worker is no longer in the registry.
  void WaitsForWorkersThatHaveNotAnsweredANewLeader()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    site.mRunTime = OneMinuteRunTime;
    const jobs::JobEntry stored =
      RunUntilKilled(site, MakeService("a", 1, "x"), milliseconds(300));
    site.AddWorker("w2", 4000);
    auto& second = AddSuccessor(site, 2);
    second.mUnreachableWorkers.insert("w1");
    second.GetDispatcher().OnWorkerUnregistered("w1", site.Now());
    second.GetDispatcher().AddJob(stored, true, site.Now());
    site.Advance(milliseconds(5500));
    CPPUNIT_ASSERT(second.mStarts.empty());
    site.Advance(milliseconds(7500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, second.mStarts.size());
    CPPUNIT_ASSERT(site.mDoubleRuns.empty());
  }

  // If a worker stops answering after its first report, its runs must be kept
  // until the lease of the earlier leader has ended.
  void KeepsAnAdoptedRunForAFullLease()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    site.mRunTime = OneMinuteRunTime;
    const jobs::JobEntry stored =
      RunUntilKilled(site, MakeService("a", 1, "x"), milliseconds(300));
    site.AddWorker("w2", 4000);
    auto& second = AddSuccessor(site, 2);
    second.GetDispatcher().AddJob(stored, true, site.Now());
    site.Advance(milliseconds(5));
    second.mUnreachableWorkers.insert("w1");
    site.Advance(milliseconds(10000));
    CPPUNIT_ASSERT(site.mDoubleRuns.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, second.mStarts.size());
  }

  // A partitioned leader must not restart tasks of workers that its successor
  // has taken over.
  void KeepsRunsWhileLeadershipIsUnconfirmed()
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    site.mRunTime = OneMinuteRunTime;
    auto& first = site.AddLeader(1);
    const jobs::JobEntry job = MakeService("a", 1, "x");
    first.GetDispatcher().AddJob(job, false, site.Now());
    site.Advance(milliseconds(300));
    site.AddWorker("w2", 4000);
    first.GetDispatcher().SetWorker(site.Worker("w2").Entry(), site.Now());
    site.Advance(milliseconds(100));
    first.mUnreachableWorkers.insert("w1");
    first.mIsConfirmed = false;
    auto& second = AddSuccessor(site, 2);
    second.mUnreachableWorkers.insert("w2");
    second.GetDispatcher().AddJob(Stored(first, job), true, site.Now());
    site.Advance(milliseconds(11000));
    CPPUNIT_ASSERT(site.mDoubleRuns.empty());
    CPPUNIT_ASSERT_EQUAL(1, site.mStartCounts.at("a.0.0.0"));
  }

  // A leader that is cut off from the log must not take the end of the leases
  // of earlier leaders for the end of runs that its successor has adopted.
  void WaitsForConfirmationAfterTheLeasesOfEarlierLeaders()
  {
    RunLeaderThatIsCutOff(true);
  }

  // The same for a worker that such a leader has lost from its registry.
  void KeepsUnregisteredWorkersWhileLeadershipIsUnconfirmed()
  {
    RunLeaderThatIsCutOff(false);
  }

  void StopsSchedulingOnceFenced()
  {
    FakeSite site;
    site.AddWorker("w1");
    auto& first = site.AddLeader(1);
    site.Advance(milliseconds(100));
    site.AddLeader(2);
    site.Advance(milliseconds(100));
    CPPUNIT_ASSERT(first.GetDispatcher().IsFenced());
    first.GetDispatcher().AddJob(MakeJob("a", { 1 }), false, site.Now());
    site.Advance(milliseconds(200));
    CPPUNIT_ASSERT(first.mStarts.empty());
  }

  // Jobs without earlier starts need not wait for a worker that does not
  // answer.
  void StartsNewJobsAfterATakeoverWithoutWaiting()
  {
    FakeSite site;
    site.AddWorker("w1");
    site.AddWorker("w2");
    auto& leader = AddSuccessor(site, 2);
    leader.mUnreachableWorkers.insert("w1");
    leader.GetDispatcher().AddJob(MakeJob("a", { 1 }), true, site.Now());
    site.Advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, leader.mStarts.size());
  }

  // In a burst beyond the capacity, placing the oldest jobs first would make
  // every job late.
  void PlacesOnTimeJobsBeforeLateJobs()
  {
    FakeSite site;
    site.AddWorker("w1", 1000);
    site.mRunTime = [](const TaskId&) { return milliseconds(800); };
    auto& leader = site.AddLeader(1);
    jobs::JobEntry late = MakeJob("late", { 1 });
    late.mSubmission->mAcceptedMs = base::ToMicros(site.Now()) / 1000 - 1500;
    jobs::JobEntry fresh = MakeJob("fresh", { 1 });
    fresh.mSubmission->mAcceptedMs = base::ToMicros(site.Now()) / 1000;
    leader.GetDispatcher().AddJob(late, false, site.Now());
    leader.GetDispatcher().AddJob(fresh, false, site.Now());
    site.Advance(milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(std::string("fresh"),
                         leader.mStarts.front().mTask.mJobId);
    CPPUNIT_ASSERT(leader.mStored.at("late").mState ==
                   jobs::JobState::Completed);
  }

  // Guards against ticks that spend all their searches on the same tasks.
  void StartsATaskBehindManyThatDoNotFit()
  {
    FakeSite site;
    site.AddWorker("w1");
    auto& leader = site.AddLeader(1);
    for (int n = 0; n < 400; ++n) {
      leader.GetDispatcher().AddJob(
        MakeJob("a" + std::to_string(n), { 1 }, 32000), false, site.Now());
    }
    leader.GetDispatcher().AddJob(MakeJob("b", { 1 }), false, site.Now());
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, leader.mStarts.size());
  }

  // Guards against a loss of precedence if a tick can't try all waiting jobs.
  void GivesFreedRoomToTheFirstOfManyJobs()
  {
    FakeSite site;
    site.AddWorker("w1", 1000);
    site.mRunTime = [](const TaskId&) { return milliseconds(100); };
    auto& leader = site.AddLeader(1);
    for (int n = 100; n < 500; ++n) {
      leader.GetDispatcher().AddJob(
        MakeJob("a" + std::to_string(n), { 1 }), false, site.Now());
    }
    site.Advance(milliseconds(5000));
    CPPUNIT_ASSERT(leader.mStarts.size() > 20);
    for (std::size_t n = 0; n < leader.mStarts.size(); ++n) {
      CPPUNIT_ASSERT_EQUAL("a" + std::to_string(100 + n),
                           leader.mStarts[n].mTask.mJobId);
    }
  }

  // Guards against new starts that wait for starts repeated without an answer.
  void StartsTasksWhileManyWorkersAreUnreachable()
  {
    FakeSite site;
    site.mRunTime = OneMinuteRunTime;
    for (int n = 0; n < 30; ++n) {
      site.AddWorker("w" + std::to_string(n));
    }
    auto& leader = site.AddLeader(1);
    site.Advance(milliseconds(200));
    for (int n = 0; n < 20; ++n) {
      leader.mUnreachableWorkers.insert("w" + std::to_string(n));
    }
    leader.GetDispatcher().AddJob(MakeJob("a", { 400 }), false, site.Now());
    site.Advance(milliseconds(1000));
    leader.GetDispatcher().AddJob(MakeJob("b", { 20 }), false, site.Now());
    site.Advance(milliseconds(200));
    const auto starts = std::count_if(
      leader.mStarts.begin(), leader.mStarts.end(), [](const StartCall& aCall) {
        return aCall.mTask.mJobId == "b";
      });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 20 }, starts);
  }

  // Guards against a leader that ticks without pause while many unanswered
  // starts are due that it must not repeat.
  void WaitsBetweenTicksWhileStartsAreHeld()
  {
    constexpr milliseconds kTickInterval(100);
    UnansweredStarts site(120);
    site.FailStarts();
    site.mDispatcher->SetMayStart(false);
    site.Tick(milliseconds(300));
    const base::TimePoint end = site.mClock.Now() + 5 * kTickInterval;
    int ticks = 0;
    while (site.mClock.Now() < end) {
      CPPUNIT_ASSERT(ticks++ < 5);
      site.mClock.Set(
        std::max(site.mClock.Now(), site.mDispatcher->NextTickAt()));
      site.Tick({});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 120 }, site.mSink.mStarts.size());
    site.mDispatcher->SetMayStart(true);
    for (int n = 0; n < 3; ++n) {
      site.Tick(milliseconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 240 }, site.mSink.mStarts.size());
  }

  // Guards against runs that are kept on unreachable workers for as long as
  // starts are held.
  void StopsUnansweredRunsWhileStartsAreHeld()
  {
    UnansweredStarts site(1);
    for (int n = 0; n < 3; ++n) {
      site.FailStarts();
      site.Tick(milliseconds(300));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, site.mSink.mStarts.size());
    site.FailStarts();
    site.mDispatcher->SetMayStart(false);
    site.Tick(milliseconds(300));
    site.Tick(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.mSink.mStops.size());
  }

  void MovesServiceTasksOffADrainingWorker()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    site.mRunTime = OneMinuteRunTime;
    auto& leader = site.AddLeader(1);
    jobs::JobEntry job = MakeService("a", 3, "x");
    job.mSubmission->mRequest.mSteps.front().mMaxUnavailable = 1;
    leader.GetDispatcher().AddJob(job, false, site.Now());
    site.Advance(milliseconds(300));
    FakeWorker& other = site.AddWorker("w2");
    leader.GetDispatcher().SetWorker(other.Entry(), site.Now());
    worker.mIsDraining = true;
    WorkerEntry entry = worker.Entry();
    entry.mRemainingMs = 4000;
    leader.GetDispatcher().SetWorker(entry, site.Now());
    site.Advance(milliseconds(4000));
    CPPUNIT_ASSERT(worker.mRuns.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, other.mRuns.size());
    CPPUNIT_ASSERT(site.mDoubleRuns.empty());
  }

  // Backfill must be paused while the tail latency of a colocated service
  // exceeds its target.
  void PausesBackfillBeforeTheTailViolationLimit()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    site.mRunTime = OneMinuteRunTime;
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(MakeService("s", 1, "x"), false, site.Now());
    leader.GetDispatcher().AddJob(MakeBackfill("b", 1, "y"), false, site.Now());
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, worker.mRuns.size());
    worker.mReportedTailLatencyOrUse = 80;
    site.Advance(milliseconds(2500));
    CPPUNIT_ASSERT(!leader.mPaces.empty());
    CPPUNIT_ASSERT(std::any_of(
      leader.mPaces.begin(), leader.mPaces.end(), [](const auto& aEntry) {
        return aEntry.mPacePercent == 0;
      }));
  }

  // Otherwise backfill waits for as long as its interference at full pace
  // exceeds the limit of each worker, although pacing could bound it.
  void StartsOverdueBackfillBelowFullPace()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    site.mRunTime = OneMinuteRunTime;
    worker.mReportedTailLatencyOrUse = 25;
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(MakeService("s", 1, "x"), false, site.Now());
    site.Advance(milliseconds(2000));
    jobs::JobEntry late = MakeBackfill("b", 1, "y");
    late.mSubmission->mAcceptedMs -= 60000;
    leader.GetDispatcher().AddJob(late, false, site.Now());
    site.Advance(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, worker.mRuns.size());
    site.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, worker.mRuns.size());
    CPPUNIT_ASSERT(!leader.mPaces.empty());
    CPPUNIT_ASSERT(leader.mPaces.front().mPacePercent >= 10);
    CPPUNIT_ASSERT(leader.mPaces.front().mPacePercent < 100);
    // Above the limit of pacing, but no violation: a move would end in the same
    // wait.
    worker.mReportedTailLatencyOrUse = 44;
    site.Advance(milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, leader.mStarts.size());
    CPPUNIT_ASSERT(leader.mPaces.back().mPacePercent < 50);
  }

  // Otherwise jobs without value wait one after the other, for as long as the
  // oldest of them have tasks left.
  void PlacesJobsWithoutValueAndWithoutRunsFirst()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    site.mRunTime = [](const TaskId& aTask) {
      return aTask.mJobId == "a" ? milliseconds(500 + 50 * (aTask.mIndex % 8))
                                 : milliseconds(60000);
    };
    auto& leader = site.AddLeader(1);
    for (const auto& [id, age] : std::vector<std::pair<std::string, int>>{
           { "a", 90000 }, { "b", 60000 } }) {
      jobs::JobEntry job = MakeJob(id, { id == "a" ? 40 : 1 }, 2000);
      job.mSubmission->mAcceptedMs -= age;
      leader.GetDispatcher().AddJob(job, false, site.Now());
    }
    site.Advance(milliseconds(1300));
    CPPUNIT_ASSERT(std::any_of(
      worker.mRuns.begin(), worker.mRuns.end(), [](const auto& aRun) {
        return aRun.mTask.mJobId == "b";
      }));
  }

  // After a failover, paused backfill must not resume at full pace at once, and
  // must not stay paused for ever.
  void RaisesThePaceOfAdoptedBackfillInSteps()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    site.mRunTime = OneMinuteRunTime;
    const jobs::JobEntry stored =
      RunUntilKilled(site, MakeBackfill("b", 1, "y"), milliseconds(500));
    // For a backfill run, this is the reported processor use.
    worker.mReportedTailLatencyOrUse = 0;
    auto& second = AddSuccessor(site, 2);
    second.GetDispatcher().AddJob(stored, true, site.Now());
    site.Advance(milliseconds(400));
    CPPUNIT_ASSERT(second.mPaces.empty() ||
                   second.mPaces.front().mPacePercent <= 25);
    site.Advance(milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(100, second.mPaces.back().mPacePercent);
  }

  // The new leader does not know the pace that its predecessor has set.
  void SendsThePaceOfAdoptedBackfill()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    site.mRunTime = OneMinuteRunTime;
    const jobs::JobEntry stored =
      RunUntilKilled(site, MakeBackfill("b", 1, "y"), milliseconds(500));
    worker.mReportedTailLatencyOrUse = 1990;
    auto& second = AddSuccessor(site, 2);
    second.GetDispatcher().AddJob(stored, true, site.Now());
    site.Advance(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, second.mPaces.size());
    CPPUNIT_ASSERT_EQUAL(100, second.mPaces.front().mPacePercent);
  }

  // While nothing becomes durable, a worker lists only the oldest of its ended
  // runs. Otherwise the tasks of the others run again and again.
  void KeepsRunsThatAFullListOfEndedRunsOmits()
  {
    constexpr int kTasks = 3000;
    FakeSite site;
    site.AddWorker("w1");
    site.mRunTime = [](const TaskId&) { return milliseconds(50); };
    auto& leader = site.AddLeader(1);
    leader.GetDispatcher().AddJob(
      MakeJob("a", { kTasks }, 100), false, site.Now());
    site.Advance(milliseconds(500));
    leader.mCanStore = false;
    site.Advance(milliseconds(4500));
    leader.mCanStore = true;
    site.Advance(milliseconds(15000));
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Completed);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(kTasks),
                         leader.mStarts.size());
  }

  // Otherwise a new leader starts done tasks again that the first report of a
  // worker does not list.
  void WaitsForOmittedEndedRunsOfEarlierLeaders()
  {
    constexpr int kTasks = 1200;
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    for (int n = 0; n < kTasks; ++n) {
      const TaskId task{ "a", 0, 0, n };
      worker.mEndedRuns.push_back(
        { worker.mNextSequence++, task, 1, RunOutcome::Done, "" });
      worker.mHighestEndedRuns[ToText(task)] = 1;
    }
    auto& leader = AddSuccessor(site, 2);
    jobs::JobEntry job = MakeJob("a", { kTasks });
    job.mProgress.mMayHaveStarted = true;
    leader.GetDispatcher().AddJob(job, true, site.Now());
    site.Advance(milliseconds(3000));
    CPPUNIT_ASSERT(leader.mStarts.empty());
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Completed);
  }

  // An acknowledgement for the previous incarnation must not remove ended runs
  // of the new one. Otherwise these tasks run again.
  void ReadsTheEndedRunsOfARestartedWorker()
  {
    constexpr int kTasks = 12;
    for (milliseconds silence{ 600 }; silence < milliseconds(1800);
         silence += milliseconds(50)) {
      FakeSite site;
      FakeWorker& worker = site.AddWorker("w1");
      auto& leader = site.AddLeader(1);
      leader.GetDispatcher().AddJob(
        MakeJob("a", { kTasks }), false, site.Now());
      site.Advance(milliseconds(1500));
      CPPUNIT_ASSERT(worker.mAcknowledgedSequence >= kTasks);
      site.mRunTime = [](const TaskId&) { return milliseconds(10); };
      leader.mUnreachableWorkers = { worker.mId };
      leader.GetDispatcher().AddJob(
        MakeJob("b", { kTasks }), false, site.Now());
      site.Advance(silence);
      worker.Restart();
      leader.mUnreachableWorkers.clear();
      site.Advance(milliseconds(4000));
      CPPUNIT_ASSERT(leader.mStored.at("b").mState ==
                     jobs::JobState::Completed);
      for (int n = 0; n < kTasks; ++n) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          std::to_string(silence.count()) + " ms",
          1,
          site.mStartCounts["b.0.0." + std::to_string(n)]);
      }
    }
  }

  // Guards against a worker that forgets ended runs before the leader has read
  // them, and nobody notices.
  void CountsEndedRunsThatNoReportHasListed()
  {
    UnansweredStarts site(1, 0);
    const auto report = [&](std::int64_t aIncarnation, std::int64_t aSequence) {
      const EndedRun ended{ aSequence, { "b" }, 1, RunOutcome::Done, "" };
      site.mDispatcher->OnReport("w0",
                                 { 400, aIncarnation, {}, { ended } },
                                 site.mClock.Now(),
                                 site.mClock.Now());
      return site.mMetrics
        .GetCounter("skylarkhill_ended_runs_missing_total", "")
        .Value();
    };
    // An earlier leader may have acknowledged the first ones.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, report(1, 5));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, report(1, 6));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, report(1, 8));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, report(2, 3));
  }

  // One of two starts was answered, and the other may reach the worker after
  // its restart. Otherwise it may run beside the next run.
  void StopsRunsWhoseStartMayReachARestartedWorker()
  {
    FakeSite site;
    FakeWorker& worker = site.AddWorker("w1");
    site.mRunTime = OneMinuteRunTime;
    auto& leader = site.AddLeader(1);
    leader.mAreStartsLost = true;
    leader.GetDispatcher().AddJob(MakeJob("a", { 1 }), false, site.Now());
    site.Advance(milliseconds(500));
    leader.mAreStartsLost = false;
    site.Advance(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, leader.mStarts.size());
    worker.Restart();
    site.Advance(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, leader.mStarts.size());
    CPPUNIT_ASSERT_EQUAL(1, worker.mHighestEndedRuns["a.0.0.0"]);
  }

  void StartsOnlyWhereTheAdviceServicePermits()
  {
    FakeSite site;
    site.AddWorker("w1");
    site.AddWorker("w2");
    auto& leader = site.AddLeader(1);
    leader.mPermittedWorkerIds = { "w2" };
    jobs::JobEntry job = MakeJob("a", { 3 });
    job.mSubmission->mPolicy.mNeedsTicket = true;
    leader.GetDispatcher().AddJob(job, false, site.Now());
    site.Advance(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, leader.mStarts.size());
    for (const auto& it : leader.mStarts) {
      CPPUNIT_ASSERT_EQUAL(std::string("ticket-w2"), it.mTicket);
    }
    CPPUNIT_ASSERT(leader.mAdviceCalls <= 2);
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Completed);
  }

  // Otherwise a job whose only permitted worker restarts never runs again.
  void AsksForNewTicketsOfARestartedWorker()
  {
    FakeSite site;
    site.AddWorker("w1");
    FakeWorker& permitted = site.AddWorker("w2");
    site.mRunTime = [](const TaskId&) { return milliseconds(1000); };
    auto& leader = AddLeaderWithTickets(site);
    leader.mTicketValidity = milliseconds(10000);
    leader.GetDispatcher().AddJob(MakeJobWithTickets(), false, site.Now());
    site.Advance(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, leader.mStarts.size());
    permitted.Restart();
    site.Advance(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(0, leader.mRefusedTickets);
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Completed);
  }

  // Otherwise a worker on which a ticket was used too late is lost to the step.
  void AsksAgainAfterARefusedTicket()
  {
    FakeSite site;
    site.AddWorker("w2");
    auto& leader = AddLeaderWithTickets(site);
    leader.mTicketValidity = milliseconds(400);
    leader.mAreStartsLost = true;
    leader.GetDispatcher().AddJob(MakeJobWithTickets(), false, site.Now());
    site.Advance(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, leader.mStarts.size());
    // The starts are repeated after the tickets have expired.
    leader.mAreStartsLost = false;
    site.Advance(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(3, leader.mRefusedTickets);
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Completed);
    CPPUNIT_ASSERT(site.mDoubleRuns.empty());
  }

  // Otherwise a queue whose tickets are valid for less than the margin of the
  // leader runs nothing.
  void UsesTicketsOfAShortValidity()
  {
    FakeSite site;
    site.AddWorker("w2");
    auto& leader = AddLeaderWithTickets(site);
    leader.mTicketValidity = milliseconds(150);
    leader.GetDispatcher().AddJob(MakeJobWithTickets(), false, site.Now());
    site.Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(0, leader.mRefusedTickets);
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Completed);
  }

  // Workers with tickets that run as many tasks as the step permits must not
  // count as usable. Otherwise the other tasks never run.
  void AsksAboutMoreWorkersUntilAllTasksRun()
  {
    constexpr int kWorkers = 100;
    FakeSite site;
    site.mRunTime = OneMinuteRunTime;
    auto& leader = AddLeaderWithTickets(site, kWorkers);
    jobs::JobEntry job = MakeService("a", kWorkers, "image");
    job.mSubmission->mPolicy.mNeedsTicket = true;
    job.mSubmission->mRequest.mSteps.front().mMaxPerWorker = 1;
    leader.GetDispatcher().AddJob(job, false, site.Now());
    site.Advance(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(kWorkers),
                         leader.mStarts.size());
  }

  // Tickets for workers without the label must not count as usable. Otherwise
  // the job never runs.
  void AsksAboutWorkersWithTheRequiredLabel()
  {
    constexpr int kWorkers = 100;
    for (int special = 0; special < kWorkers; special += 10) {
      FakeSite site;
      auto& leader = AddLeaderWithTickets(site, kWorkers);
      const std::string id = "w" + std::to_string(special);
      WorkerEntry entry = site.Worker(id).Entry();
      entry.mLabels.emplace_back("special");
      leader.GetDispatcher().SetWorker(entry, site.Now());
      jobs::JobEntry job = MakeJobWithTickets();
      job.mSubmission->mRequest.mSteps.front().mRequiredLabel = "special";
      leader.GetDispatcher().AddJob(job, false, site.Now());
      site.Advance(milliseconds(1000));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, leader.mStarts.size());
      CPPUNIT_ASSERT_EQUAL(1, leader.mAdviceCalls);
    }
  }

  // Otherwise every event costs the leader one look at each worker for each
  // waiting step, and it does not recover from a backlog. The site has the size
  // and the starts of one of the 23 failure domains of the target (7,900
  // workers, 470 starts a second), for which 2.8% of a core is available at
  // 0.24 us a candidate.
  void LimitsThePlacementWorkOfABacklog()
  {
    constexpr int kWorkers = 7900 / 23;
    constexpr int kBacklog = 600;
    constexpr int kSeconds = 2;
    constexpr milliseconds kStartInterval{ 1000 * 23 / 470 };
    constexpr auto kMaxCandidates =
      static_cast<std::int64_t>(kSeconds * 0.028 / 0.24e-6);
    FakeSite site;
    for (int n = 0; n < kWorkers; ++n) {
      site.AddWorker("w" + std::to_string(n));
    }
    site.mRunTime = [](const TaskId& aTask) -> base::Duration {
      return aTask.mJobId == "service" ? std::chrono::minutes(1)
                                       : milliseconds(300);
    };
    auto& leader = site.AddLeader(1);
    auto& dispatcher = leader.GetDispatcher();
    jobs::JobEntry service = MakeService("service", kWorkers, "image-0");
    service.mSubmission->mRequest.mSteps.front().mMaxPerWorker = 1;
    dispatcher.AddJob(service, false, site.Now());
    site.Advance(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(kWorkers),
                         leader.mStarts.size());
    for (int n = 0; n < kBacklog; ++n) {
      dispatcher.AddJob(MakeUnplaceableJob(n), false, site.Now());
    }
    site.Advance(milliseconds(500));
    const std::int64_t before = CandidatesOf(leader);
    int jobs = 0;
    for (milliseconds time{ 0 }; time < std::chrono::seconds(kSeconds);
         time += kStartInterval) {
      dispatcher.AddJob(
        MakeJob("job-" + std::to_string(jobs++), { 1 }), false, site.Now());
      site.Advance(kStartInterval);
    }
    const std::int64_t candidates = CandidatesOf(leader) - before;
    site.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(kWorkers + jobs),
                         leader.mStarts.size());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(candidates) + " candidates, limit " +
                             std::to_string(kMaxCandidates),
                           candidates <= kMaxCandidates);
  }

  // Otherwise every event costs the leader one look at each worker of the site.
  void LimitsTheWorkOfPollsInALargeSite()
  {
    constexpr base::Duration kStep =
      base::Duration(std::chrono::seconds(1)) / kTargetStarts;
    LargeSite site;
    site.AnswerFirstPolls();
    for (int n = 0; n < kTargetStarts; ++n) {
      site.Advance(kStep);
    }
    const std::int64_t before =
      site.Counter("skylarkhill_poll_candidates_total");
    const std::size_t polls = site.mSink.mPolls.size();
    for (int n = 0; n < kTargetStarts; ++n) {
      site.Advance(kStep);
    }
    CPPUNIT_ASSERT(site.mSink.mPolls.size() - polls >= kTargetWorkers);
    AssertCandidates(site.Counter("skylarkhill_poll_candidates_total") -
                     before);
  }

  // Otherwise every batch costs the leader one look at each worker of the site.
  void LimitsTheWorkOfAcknowledgementsInALargeSite()
  {
    LargeSite site;
    site.AnswerFirstPolls();
    jobs::JobEntry job = MakeJob("a", { kTargetStarts });
    job.mSubmission->mRequest.mSteps.front().mMaxPerWorker = 1;
    site.mDispatcher->AddJob(job, false, site.mClock.Now());
    for (int n = 0; n < 100; ++n) {
      site.mClock.Advance(milliseconds(2));
      site.Tick();
    }
    const std::vector<StartCall> starts = site.mSink.mStarts;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kTargetStarts }, starts.size());
    const std::int64_t before =
      site.Counter("skylarkhill_acknowledgement_candidates_total");
    site.mSink.mPolls.clear();
    for (const StartCall& it : starts) {
      site.mClock.Advance(milliseconds(2));
      site.Report(it.mWorkerId,
                  { { 1, it.mTask, it.mRunNumber, RunOutcome::Done, "" } });
      site.Tick();
    }
    AssertCandidates(
      site.Counter("skylarkhill_acknowledgement_candidates_total") - before);
    site.Tick();
    const auto acknowledged = std::count_if(
      site.mSink.mPolls.begin(),
      site.mSink.mPolls.end(),
      [](const PollCall& aCall) { return aCall.mAcknowledgedSequence == 1; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ kTargetStarts }, acknowledged);
  }

  // Otherwise each backfill task costs the leader one look at each idle worker.
  void LimitsThePlacementWorkOfBackfillInAnIdleSite()
  {
    LargeSite site;
    site.AnswerFirstPolls();
    site.mDispatcher->AddJob(
      MakeBackfill("a", kTargetStarts, "image"), false, site.mClock.Now());
    for (int n = 0; n < kTargetStarts; ++n) {
      site.mClock.Advance(milliseconds(2));
      site.Tick();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kTargetStarts },
                         site.mSink.mStarts.size());
    AssertCandidates(site.Counter("skylarkhill_placement_candidates_total"));
  }

  // Otherwise each first report to a new leader costs one look at each worker.
  void LimitsTheWorkOfATakeoverInALargeSite()
  {
    LargeSite site;
    const std::int64_t before = site.Counter("skylarkhill_worker_checks_total");
    site.Advance(milliseconds(1));
    AssertCandidates(site.Counter("skylarkhill_worker_checks_total") - before);
  }

  // Workers whose polls are due early in each tick must not keep the others
  // from being polled when more polls are due than a tick may send.
  void PollsAllWorkersAtTheLimitOfPolls()
  {
    LargeSite site;
    site.AnswerFirstPolls();
    std::map<std::string, int> counts;
    for (int n = 0; n < 5 * kTargetWorkers / 100; ++n) {
      site.mClock.Advance(milliseconds(20));
      site.Tick();
      const std::vector<PollCall> polls = std::move(site.mSink.mPolls);
      site.mSink.mPolls.clear();
      CPPUNIT_ASSERT(polls.size() <= 100);
      for (const PollCall& it : polls) {
        ++counts[it.mWorkerId];
        site.Report(it.mWorkerId, {});
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kTargetWorkers }, counts.size());
    for (const auto& [id, count] : counts) {
      CPPUNIT_ASSERT_MESSAGE(id + " polled " + std::to_string(count) + " times",
                             count >= 4);
    }
  }

  // Otherwise a round that is delayed because of a backlog would wait for the
  // next event.
  void RequestsATickForADelayedPlacementRound()
  {
    FakeSite site;
    site.AddWorker("w1");
    auto& leader = site.AddLeader(1);
    auto& dispatcher = leader.GetDispatcher();
    dispatcher.AddJob(MakeJob("backlog", { 1 }, 20000), false, site.Now());
    site.Advance(milliseconds(300));
    for (int n = 0; n < 30; ++n) {
      const std::size_t starts = leader.mStarts.size();
      dispatcher.AddJob(
        MakeJob("job-" + std::to_string(n), { 1 }, 100), false, site.Now());
      // One round requests the start record, the next one places the task.
      const base::TimePoint latest = site.Now() + milliseconds(60);
      while (leader.mStarts.size() == starts) {
        CPPUNIT_ASSERT(dispatcher.NextTickAt() <=
                       site.Now() + milliseconds(20));
        CPPUNIT_ASSERT(site.Now() < latest);
        site.Advance(milliseconds(5));
      }
      site.Advance(milliseconds(35));
    }
  }

  // An urgent job must not pay for a backlog that cannot be placed.
  void PlacesAnUrgentJobDespiteABacklogWithoutDelay()
  {
    FakeSite site;
    site.AddWorker("w1");
    auto& leader = site.AddLeader(1);
    auto& dispatcher = leader.GetDispatcher();
    dispatcher.AddJob(MakeJob("backlog", { 1 }, 20000), false, site.Now());
    site.Advance(milliseconds(300));
    for (int n = 0; n < 30; ++n) {
      const std::size_t starts = leader.mStarts.size();
      jobs::JobEntry job = MakeJob("job-" + std::to_string(n), { 1 }, 100);
      job.mSubmission->mPolicy.mTargetLatencyMs = 100;
      job.mSubmission->mAcceptedMs = base::ToMicros(site.Now()) / 1000;
      dispatcher.AddJob(job, false, site.Now());
      // One time step for the start record and one for the start.
      site.Advance(milliseconds(10));
      CPPUNIT_ASSERT_EQUAL(starts + 1, leader.mStarts.size());
      site.Advance(milliseconds(35));
    }
  }

  void RunsNoTaskTwiceUnderRandomPartitionsAndFailovers()
  {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      RunRandomScenario(seed);
    }
  }

  // Workers restart under their ids, starts are carried out late, the log is
  // away, lists of ended runs are short, and tickets end, all at random.
  // SKYLARKHILL_DISPATCH_SEEDS overrides the number of seeds.
  void RunsEveryTaskOnceUnderRandomRestartsAndOutages()
  {
    for (int seed = 1; seed <= CountSeeds(); ++seed) {
      RunRandomRestarts(static_cast<std::uint64_t>(seed));
    }
  }

  // Workers restart under their ids, with clocks that are ahead or behind, and
  // are cut off while long tasks run; leaders change meanwhile. Guards against
  // a task that runs twice because a lease is longer than leaders count
  // (TWICE).
  void RunsEveryTaskOnceUnderRandomRestartsBeforeCuts()
  {
    for (int seed = 1; seed <= CountSeeds(); ++seed) {
      RunRandomCuts(static_cast<std::uint64_t>(seed));
    }
  }

  // Guards against tasks that run twice, or never, if workers restart in series
  // and carry out some of the starts that were meant for their former
  // incarnation, with or without an answer.
  void RunsEveryTaskOnceWhileStartsReachTheNextIncarnation()
  {
    for (int seed = 1; seed <= CountSeeds(); ++seed) {
      RunMisdirectedStarts(static_cast<std::uint64_t>(seed));
    }
  }

private:
  static int CountSeeds()
  {
    constexpr int kSeeds = 30;
    const char* text = std::getenv("SKYLARKHILL_DISPATCH_SEEDS");
    return text != nullptr ? std::atoi(text) : kSeeds;
  }

  // A worker restarts while a start has no answer, and is then silent until its
  // lease has ended. Guards against a start that it carries out once it is back
  // (TWICE).
  void StopsAnOpenStartOnceARestartedWorkerIsBack()
  {
    UnansweredStarts site(1);
    site.FailStarts();
    site.Report("w0", 2);
    for (int n = 0; n < 120; ++n) {
      site.mDispatcher->OnPollFailed("w0", site.mClock.Now());
      site.Tick(milliseconds(100));
    }
    CPPUNIT_ASSERT(site.mSink.mStops.empty());
    site.Report("w0", 2);
    site.Tick(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, site.mSink.mStops.size());
    CPPUNIT_ASSERT_EQUAL(site.mSink.mStarts.front().mRunNumber,
                         site.mSink.mStops.front().mRunNumber);
  }

  // A start is accepted by an incarnation that has restarted since. Guards
  // against taking the run for known to the present one, so that an earlier
  // copy of the start is forgotten (TWICE).
  void RepeatsAStartThatAFormerIncarnationHasAccepted()
  {
    UnansweredStarts site(1);
    site.FailStarts();
    site.Tick(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, site.mSink.mStarts.size());
    const StartCall call = site.mSink.mStarts.back();
    site.Report("w0", 2);
    site.mDispatcher->OnStartResult(
      call, { StartOutcome::Started }, site.mClock.Now());
    for (int n = 0; n < 20; ++n) {
      site.Tick(milliseconds(50));
      site.Report("w0", 2);
    }
    for (const StartCall& it : site.mSink.mStarts) {
      CPPUNIT_ASSERT_EQUAL(call.mRunNumber, it.mRunNumber);
    }
  }

  static std::int64_t CountStops(FakeSite::Leader& aLeader)
  {
    return aLeader.GetMetrics()
      .GetCounter("skylarkhill_stops_total", "")
      .Value();
  }

  /// Runs a job of one task, of which the first start gets no answer and is
  /// carried out after `aDelay` by the incarnation that lives then.
  static FakeSite::Leader& RunWithALateStart(
    FakeSite& aSite,
    milliseconds aDelay = milliseconds(8000))
  {
    aSite.AddWorker("w1");
    auto& leader = aSite.AddLeader(1);
    leader.mDoLateStartsOutliveWorkers = true;
    leader.mStartDelay = [&leader, aDelay](const StartCall&) -> base::Duration {
      return leader.mStarts.size() == 1 ? aDelay : milliseconds(0);
    };
    aSite.Advance(milliseconds(1000));
    leader.GetDispatcher().AddJob(MakeJob("a", { 1 }), false, aSite.Now());
    aSite.Advance(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, leader.mStarts.size());
    CPPUNIT_ASSERT(leader.mStored.at("a").mState == jobs::JobState::Completed);
    return leader;
  }

  static void RunMisdirectedStarts(std::uint64_t aSeed)
  {
    constexpr int kWorkers = 8;
    constexpr int kRounds = 20;
    FakeSite site;
    site.mAreCallsBound = true;
    // No run counts as stalled.
    site.mReportedPercent = 0;
    const auto random = base::CreateSeededRandom(aSeed);
    for (int n = 0; n < kWorkers; ++n) {
      site.AddWorker("w" + std::to_string(n), 6000);
    }
    site.mRunTime = [&](const TaskId&) {
      return milliseconds(20 + random->Below(3000));
    };
    auto& leader = site.AddLeader(1);
    leader.mIsMisdirected = [&](const StartCall&) {
      return random->Below(3) == 0;
    };
    leader.mIsMisdirectedAnswered = [&] { return random->Below(2) == 0; };
    std::vector<std::string> ids;
    for (int n = 0; n < kRounds; ++n) {
      for (int k = 0; k < 3; ++k) {
        ids.push_back("j" + std::to_string(ids.size()));
        jobs::JobEntry job = MakeJob(ids.back(), { 6, 3 }, 500);
        for (jobs::Step& it : job.mSubmission->mRequest.mSteps) {
          it.mEstimateMs = 60000;
        }
        leader.GetDispatcher().AddJob(job, false, site.Now());
      }
      // The polls under way get late answers, as if the workers died silently.
      std::vector<std::string> restarted;
      for (int k = 0; k < kWorkers; ++k) {
        if (random->Below(5) != 0) {
          restarted.push_back("w" + std::to_string(k));
          leader.mDelays[restarted.back()] = milliseconds(1300);
        }
      }
      site.Advance(milliseconds(random->Below(700)));
      for (const auto& id : restarted) {
        const auto step = static_cast<int>(random->Below(40000)) - 20000;
        site.Worker(id).Restart(milliseconds(step));
      }
      leader.mDelays.clear();
      site.Advance(milliseconds(random->Below(2500)));
    }
    site.Advance(milliseconds(90000));
    const std::string seed = "seed " + std::to_string(aSeed) + ": ";
    CPPUNIT_ASSERT_MESSAGE(seed + (site.mDoubleRuns.empty()
                                     ? std::string()
                                     : site.mDoubleRuns.front()),
                           site.mDoubleRuns.empty());
    for (const auto& id : ids) {
      CPPUNIT_ASSERT_MESSAGE(
        seed + id, leader.mStored[id].mState == jobs::JobState::Completed);
    }
  }

  /// The second of three leaders cannot reach the worker of a lasting task, and
  /// loses the log while the third one extends the lease of that worker.
  static void RunLeaderThatIsCutOff(bool aIsRegistered)
  {
    FakeSite site;
    site.AddWorker("w1", 4000);
    site.mRunTime = OneMinuteRunTime;
    const jobs::JobEntry stored =
      RunUntilKilled(site, MakeService("a", 1, "x"), milliseconds(300));
    site.AddWorker("w2", 4000);
    auto& second = AddSuccessor(site, 2);
    second.mUnreachableWorkers.insert("w1");
    if (!aIsRegistered) {
      second.GetDispatcher().OnWorkerUnregistered("w1", site.Now());
    }
    second.GetDispatcher().AddJob(stored, true, site.Now());
    site.Advance(milliseconds(4000));
    second.mIsConfirmed = false;
    auto& third = AddSuccessor(site, 3);
    third.mUnreachableWorkers.insert("w2");
    third.GetDispatcher().AddJob(stored, true, site.Now());
    site.Advance(milliseconds(11500));
    CPPUNIT_ASSERT(site.mDoubleRuns.empty());
    CPPUNIT_ASSERT_EQUAL(1, site.mStartCounts.at("a.0.0.0"));
  }

  static void RunRandomCuts(std::uint64_t aSeed)
  {
    constexpr int kWorkers = 6;
    constexpr int kRounds = 30;
    FakeSite site;
    site.mMaxLease = milliseconds(10000);
    // Calls that are carried out late may reach another incarnation, too.
    site.mAreCallsBound = aSeed % 2 == 0;
    // No run counts as stalled.
    site.mReportedPercent = 0;
    const auto random = base::CreateSeededRandom(aSeed);
    for (int n = 0; n < kWorkers; ++n) {
      site.AddWorker("w" + std::to_string(n), 6000);
    }
    site.mRunTime = [&](const TaskId&) {
      return milliseconds(100 + random->Below(12000));
    };
    std::int64_t epoch = 1;
    FakeSite::Leader* leader = &site.AddLeader(epoch);
    std::map<std::string, jobs::JobEntry> entries;
    for (int n = 0; n < kRounds; ++n) {
      const std::string id = "j" + std::to_string(n);
      entries[id] = MakeJob(id, { 4, 2 }, 500);
      for (jobs::Step& it : entries[id].mSubmission->mRequest.mSteps) {
        it.mEstimateMs = 60000;
      }
      leader->GetDispatcher().AddJob(entries[id], false, site.Now());
      site.Advance(milliseconds(random->Below(1500)));
      const std::string worker = "w" + std::to_string(random->Below(kWorkers));
      if (random->Below(2) == 0) {
        const auto step = static_cast<int>(random->Below(40000)) - 20000;
        site.Worker(worker).Restart(milliseconds(step));
        site.Advance(milliseconds(random->Below(2500)));
      }
      if (random->Below(3) != 0) {
        leader->mUnreachableWorkers.insert(worker);
      } else {
        leader->mUnreachableWorkers.erase(worker);
      }
      if (random->Below(8) == 0) {
        const std::set<std::string> cut = leader->mUnreachableWorkers;
        const auto stored = leader->mStored;
        site.Kill(*leader);
        leader = &AddSuccessor(site, ++epoch);
        leader->mUnreachableWorkers = cut;
        leader->mStored = stored;
        for (auto& [job, entry] : entries) {
          const auto found = stored.find(job);
          if (found != stored.end()) {
            entry.mProgress = found->second;
          }
          leader->GetDispatcher().AddJob(entry, true, site.Now());
        }
      }
    }
    leader->mUnreachableWorkers.clear();
    site.Advance(milliseconds(120000));
    const std::string seed = "seed " + std::to_string(aSeed) + ": ";
    CPPUNIT_ASSERT_MESSAGE(seed + (site.mDoubleRuns.empty()
                                     ? std::string()
                                     : site.mDoubleRuns.front()),
                           site.mDoubleRuns.empty());
    for (const auto& [job, entry] : entries) {
      CPPUNIT_ASSERT_MESSAGE(
        seed + job, leader->mStored[job].mState == jobs::JobState::Completed);
    }
  }

  static void RunRandomRestarts(std::uint64_t aSeed)
  {
    constexpr int kWorkers = 4;
    constexpr int kRounds = 25;
    FakeSite site;
    site.mMaxListedEndedRuns = 5;
    const auto random = base::CreateSeededRandom(aSeed);
    for (int n = 0; n < kWorkers; ++n) {
      site.AddWorker("w" + std::to_string(n), 6000);
    }
    site.mRunTime = [&](const TaskId&) {
      return milliseconds(20 + random->Below(1500));
    };
    auto& leader = site.AddLeader(1);
    leader.mAreTicketsChecked = random->Below(2) == 0;
    leader.mPermittedWorkerIds = { "w1", "w2" };
    leader.mTicketValidity = milliseconds(800);
    leader.mStartDelay = [&](const StartCall&) -> base::Duration {
      return milliseconds(random->Below(6) == 0 ? 100 + random->Below(2500)
                                                : 0);
    };
    std::vector<std::string> ids;
    for (int n = 0; n < kRounds; ++n) {
      const std::string id = "w" + std::to_string(random->Below(kWorkers));
      const auto fault = random->Below(4);
      if (fault == 0) {
        leader.mUnreachableWorkers.insert(id);
      } else if (fault == 1) {
        leader.mCanStore = false;
      }
      for (int k = 0; k < 2; ++k) {
        ids.push_back("j" + std::to_string(ids.size()));
        jobs::JobEntry job = MakeJob(ids.back(), { 6, 3 }, 500);
        job.mSubmission->mPolicy.mNeedsTicket = leader.mAreTicketsChecked;
        leader.GetDispatcher().AddJob(job, false, site.Now());
      }
      site.Advance(milliseconds(random->Below(2500)));
      if (fault == 0 && random->Below(2) == 0) {
        site.Worker(id).Restart();
      }
      leader.mUnreachableWorkers.clear();
      leader.mCanStore = true;
      site.Advance(milliseconds(random->Below(1500)));
    }
    site.Advance(milliseconds(60000));
    const std::string seed = "seed " + std::to_string(aSeed) + ": ";
    CPPUNIT_ASSERT_MESSAGE(seed + (site.mDoubleRuns.empty()
                                     ? std::string()
                                     : site.mDoubleRuns.front()),
                           site.mDoubleRuns.empty());
    for (const auto& it : ids) {
      CPPUNIT_ASSERT_MESSAGE(
        seed + it, leader.mStored[it].mState == jobs::JobState::Completed);
    }
  }

  static void RunRandomScenario(std::uint64_t aSeed)
  {
    FakeSite site;
    const auto random = base::CreateSeededRandom(aSeed);
    for (int n = 0; n < 6; ++n) {
      site.AddWorker("w" + std::to_string(n), 6000);
    }
    site.mRunTime = [&](const TaskId&) {
      return milliseconds(200 + random->Below(3000));
    };
    site.mDecideFailure = [&](const TaskId&, int) {
      return random->Below(20) == 0;
    };
    std::vector<jobs::JobEntry> submitted;
    std::map<std::string, jobs::JobProgress> stored;
    std::int64_t epoch = 0;
    FakeSite::Leader* old = nullptr;
    FakeSite::Leader* leader = nullptr;
    for (int n = 0; n < 12; ++n) {
      // The previous leader continues without access to the log; the one before
      // it is removed.
      if (leader != nullptr) {
        stored = leader->mStored;
        if (old != nullptr) {
          site.Kill(*old);
        }
        old = leader;
        old->mIsConfirmed = false;
        old->mCanStore = false;
      }
      std::set<std::string> unreachable;
      for (int w = 0; w < 6; ++w) {
        const std::string id = "w" + std::to_string(w);
        if (random->Below(3) == 0) {
          unreachable.insert(id);
        } else if (old != nullptr && random->Below(2) == 0) {
          old->mUnreachableWorkers.insert(id);
        }
      }
      leader = &AddSuccessor(site, ++epoch);
      leader->mUnreachableWorkers = unreachable;
      leader->mStored = stored;
      for (auto job : submitted) {
        const auto found = stored.find(job.mSubmission->mId);
        if (found != stored.end()) {
          job.mProgress = found->second;
        }
        leader->GetDispatcher().AddJob(job, true, site.Now());
      }
      for (int k = 0; k < 4; ++k) {
        submitted.push_back(
          MakeJob("j" + std::to_string(submitted.size()), { 3, 2 }));
        leader->GetDispatcher().AddJob(submitted.back(), false, site.Now());
      }
      site.Advance(milliseconds(500 + random->Below(4000)));
      leader->mUnreachableWorkers.clear();
      site.Advance(milliseconds(random->Below(4000)));
    }
    CPPUNIT_ASSERT_MESSAGE(
      "seed " + std::to_string(aSeed) + ": " +
        (site.mDoubleRuns.empty() ? std::string() : site.mDoubleRuns.front()),
      site.mDoubleRuns.empty());
    site.Advance(milliseconds(30000));
    for (const auto& it : submitted) {
      CPPUNIT_ASSERT_MESSAGE(
        "seed " + std::to_string(aSeed) + ": " + it.mSubmission->mId,
        jobs::IsFinal(leader->mStored[it.mSubmission->mId].mState));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

} // namespace skylarkhill::dispatch
