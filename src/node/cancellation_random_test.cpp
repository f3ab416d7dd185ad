#include "skylarkhill/base/random.hpp"
#include "skylarkhill/node/node.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lossy_site_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;

namespace {

/// Seeds in a usual run; SKYLARKHILL_CANCELLATION_SEEDS overrides it, and
/// SKYLARKHILL_CANCELLATION_FIRST_SEED the first one.
constexpr int kSeeds = 40;
constexpr int kCrashSeeds = 60;
constexpr int kSmallSeeds = 40;
constexpr int kInstances = 3;
constexpr int kWorkers = 5;
constexpr int kFirstJobs = 8;
constexpr milliseconds kStep{ 20 };
constexpr milliseconds kSeedTime{ 20'000 };
constexpr milliseconds kShortSeedTime{ 6'000 };
/// Time after the last disruption until tasks of cancelled jobs have stopped:
/// until the instances count as undisturbed, and the bounds of a cancellation
/// and of a stop.
constexpr milliseconds kStoppedTime{ 3000 + 3000 + 200 };
/// Longer than the leases of earlier leaders.
constexpr milliseconds kRecoveryTime{ 25'000 };
constexpr milliseconds kCallerTimeout{ 1500 };
/// Time between two steps of a worker that goes down and up.
constexpr milliseconds kFlapTime{ 1400 };
/// Jobs that are cancelled at once on a site of small instances, whose stops
/// exceed what a leader sends in one tick.
constexpr int kMaxCancelledAtOnce = 12;
constexpr int kMaxCancelledAtEnd = 60;

/// How a simulated day ends.
enum class DayEnd
{
  /// One of several ways, by the seed.
  Drawn,
  /// All instances end at most 400 ms after an acknowledgement, while calls are
  /// lost and late.
  CrashAmidFaults,
};

struct SiteShape
{
  int mWorkers = kWorkers;
  int mTasksPerJob = 2;
  /// Ticks of an instance are far apart and its link is slow. Workers go down
  /// and up, and many of them are not heard for long.
  bool mHasSmallInstances = false;
};

constexpr SiteShape kSmallInstances{ 40, 14, true };

/// Callers submit and cancel jobs with lasting tasks while instances, the log
/// and workers fail at times that follow from the seed.
class CancellationSimulation
{
public:
  explicit CancellationSimulation(int aSeed, const SiteShape& aShape = {})
    : mShape(aShape)
    , mName("seed " + std::to_string(aSeed))
    , mRandom(base::CreateSeededRandom(static_cast<std::uint64_t>(aSeed)))
    , mNetwork(mClock, static_cast<std::uint64_t>(aSeed))
  {
    // A page with few keys after another would take a small instance longer
    // than the log lets it take.
    mLog.mMaxKeysPerPage =
      mShape.mHasSmallInstances ? 100 + Draw(200) : 1 + Draw(12);
    for (int n = 0; n < mShape.mWorkers; ++n) {
      mWorkers.emplace(WorkerName(n), LossyWorker(mClock));
      SetRegistered(n, true);
    }
    AddInstances(kInstances);
  }

  void Run(DayEnd aEnd)
  {
    Advance(milliseconds(4000));
    for (int n = 0; n < kFirstJobs; ++n) {
      AddJob();
    }
    const base::TimePoint end =
      mClock.Now() + (aEnd == DayEnd::Drawn ? kSeedTime : kShortSeedTime);
    while (mClock.Now() < end) {
      Advance(kStep * (1 + Draw(25)));
      if (Draw(3) == 0) {
        DisruptSite();
      } else {
        ActAsCaller();
      }
    }
    EndDisruptions();
    AwaitAnswers();
    if (aEnd == DayEnd::Drawn) {
      EndDay();
    } else {
      // Tasks that disruptions have ended start again.
      Advance(kStep * Draw(150));
      CancelAndCrashAmidFaults();
    }
    EndDisruptions();
    AwaitAnswers();
    Advance(kStoppedTime);
    CheckNoCancelledRuns();
    const base::TimePoint recoveredAt = mClock.Now() + kRecoveryTime;
    while (mClock.Now() < recoveredAt) {
      Advance(kStep);
      CheckNoCancelledRuns();
    }
    CheckOpenJobsRun();
  }

  int mCancelled = 0;
  /// Those of jobs that no journal had.
  int mUnknown = 0;
  int mCrashes = 0;
  /// Crashes amid faults at which a task of the cancelled job was running.
  int mCrashesBesideRuns = 0;

private:
  struct Job
  {
    std::string mId;
    bool mIsAccepted = false;
    bool mIsCancelling = false;
    bool mIsCancelled = false;
  };

  int Draw(int aBound)
  {
    return static_cast<int>(mRandom->Below(static_cast<std::uint64_t>(aBound)));
  }

  static std::string WorkerName(int aNumber)
  {
    return "w" + std::to_string(aNumber);
  }

  void Store(const std::string& aTopic, std::string aKey, std::string aValue)
  {
    auto& records = mLog.mLog.mStreams[aTopic];
    const auto offset = static_cast<std::int64_t>(records.size());
    records.push_back({ std::move(aKey), std::move(aValue), offset });
  }

  void SetRegistered(int aWorker, bool aIsRegistered)
  {
    if (mRegistered[aWorker] != aIsRegistered) {
      mRegistered[aWorker] = aIsRegistered;
      Store("workers", WorkerName(aWorker), aIsRegistered ? "1" : "");
    }
  }

  void AddInstances(int aCount)
  {
    for (int n = 0; n < aCount; ++n) {
      mInstances.push_back(std::make_unique<LossyInstance>(
        mLog,
        mWorkers,
        mNetwork,
        mClock,
        MakeOptions("node" + std::to_string(mInstanceCount++)),
        [this](base::TimePoint aUntil) { Advance(aUntil - mClock.Now()); }));
      if (mShape.mHasSmallInstances) {
        SetSpeed(*mInstances.back(), kTickMs, kAnswerMs);
      }
    }
  }

  /// Draws the speed of an instance up to the limits.
  void SetSpeed(LossyInstance& aInstance, int aMaxTickMs, int aMaxAnswerMs)
  {
    aInstance.mTickInterval = milliseconds(Draw(aMaxTickMs));
    aInstance.mLog.mAnswerTime = milliseconds(Draw(aMaxAnswerMs));
  }

  /// Lets workers go down and up. Some of them lose their runs each time.
  void FlapWorkers()
  {
    if (mFlapping.empty() || mClock.Now() < mNextFlapAt) {
      return;
    }
    mNextFlapAt = mClock.Now() + kFlapTime;
    for (const auto& it : mFlapping) {
      if (mNetwork.mDownWorkers.insert(it).second) {
        continue;
      }
      mNetwork.mDownWorkers.erase(it);
      if (Draw(2) == 0) {
        mWorkers.at(it).Restart();
      }
    }
  }

  std::set<std::string> DrawWorkers(int aOneIn)
  {
    std::set<std::string> drawn;
    for (const auto& [id, worker] : mWorkers) {
      if (Draw(aOneIn) == 0) {
        drawn.insert(id);
      }
    }
    return drawn;
  }

  void DisruptSite()
  {
    if (!mShape.mHasSmallInstances || mInstances.empty()) {
      Disrupt();
      return;
    }
    switch (Draw(10)) {
      case 0:
        mFlapping = DrawWorkers(6);
        break;
      case 1:
        mNetwork.mUnheardWorkers = DrawWorkers(4);
        break;
      case 2:
        mNetwork.mUnheardWorkers.clear();
        mNetwork.mDownWorkers.clear();
        mFlapping.clear();
        break;
      case 3:
        SetSpeed(*mInstances[LeaderIndex()], 900, 1600);
        break;
      case 4:
        for (auto& it : mInstances) {
          SetSpeed(*it, 600, 1600);
        }
        break;
      case 5: {
        // One instance is left for some seconds.
        const auto kept =
          static_cast<std::size_t>(Draw(static_cast<int>(mInstances.size())));
        std::swap(mInstances.front(), mInstances[kept]);
        mInstances.resize(1);
        mInstancesBackAt = mClock.Now() + kStep * Draw(400);
        break;
      }
      case 6:
        // The log forgets cancellations that the leader has not read yet.
        SetSpeed(*mInstances[LeaderIndex()], 200, 800);
        CancelMany(1 + Draw(3));
        ExpireRecords(Draw(3));
        break;
      default:
        Disrupt();
        break;
    }
  }

  /// Cancels many jobs; their callers try again if it fails.
  void CancelMany(int aCount)
  {
    for (int n = aCount; n > 0; --n) {
      Job& job = ChooseJob();
      if (job.mIsAccepted) {
        Cancel(job);
      }
    }
  }

  void Advance(base::Duration aTime, milliseconds aStep = kStep)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(aStep);
      mNetwork.RunDue();
      for (auto& it : mInstances) {
        if (!it->mRecipient.IsPaused() && mClock.Now() >= it->mNextTickAt) {
          it->mNextTickAt = mClock.Now() + it->mTickInterval;
          it->mNode.Tick();
        }
      }
      FlapWorkers();
      for (auto& [id, worker] : mWorkers) {
        worker.ExpireLease();
      }
      if (mInstances.size() < kInstances && mClock.Now() >= mInstancesBackAt) {
        AddInstances(kInstances - static_cast<int>(mInstances.size()));
      }
    }
  }

  /// Null if no instance answers callers.
  LossyInstance* ChooseInstance()
  {
    if (mInstances.empty()) {
      return nullptr;
    }
    LossyInstance* chosen = mInstances[static_cast<std::size_t>(Draw(
                                         static_cast<int>(mInstances.size())))]
                              .get();
    return chosen->mRecipient.IsPaused() ? nullptr : chosen;
  }

  void AddJob()
  {
    mJobs.push_back({ "job" + std::to_string(mJobs.size()) });
    Submit(mJobs.back());
  }

  void Submit(Job& aJob)
  {
    LossyInstance* instance = ChooseInstance();
    if (instance == nullptr) {
      return;
    }
    jobs::QueuePolicy policy;
    policy.mPool = "pool";
    policy.mMaxFailedRuns = 3;
    jobs::JobRequest request;
    request.mSteps.resize(1);
    request.mSteps[0].mIsService = true;
    request.mSteps[0].mCount = mShape.mTasksPerJob;
    request.mSteps[0].mMaxPerWorker = 1;
    request.mSteps[0].mResources.mMilliProcessors = 100;
    const auto result = instance->mNode.GetJobRouter().Submit(
      policy, aJob.mId, request, mClock.Now() + kCallerTimeout);
    aJob.mIsAccepted = aJob.mIsAccepted || result;
    // The caller leaves, and the log may carry out the append after that.
    if (!aJob.mIsAccepted && Draw(2) == 0) {
      Cancel(aJob);
    }
  }

  /// Returns true once the cancellation is acknowledged.
  bool Cancel(Job& aJob)
  {
    aJob.mIsCancelling = true;
    LossyInstance* instance = ChooseInstance();
    if (instance == nullptr) {
      return false;
    }
    const auto result = instance->mNode.GetJobRouter().Cancel(
      aJob.mId, mClock.Now() + kCallerTimeout);
    const bool isUnknown =
      !result && result.error().mKind == base::ErrorKind::NotFound;
    CPPUNIT_ASSERT_MESSAGE(mName + ": accepted " + aJob.mId + " is not found",
                           !aJob.mIsAccepted || !isUnknown);
    if (isUnknown && !aJob.mIsCancelled) {
      ++mUnknown;
    }
    if ((result || isUnknown) && !aJob.mIsCancelled) {
      aJob.mIsCancelled = true;
      ++mCancelled;
    }
    return aJob.mIsCancelled;
  }

  Job& ChooseJob()
  {
    return mJobs[static_cast<std::size_t>(
      Draw(static_cast<int>(mJobs.size())))];
  }

  void ActAsCaller()
  {
    if (mShape.mHasSmallInstances && Draw(8) == 0) {
      CancelMany(Draw(kMaxCancelledAtOnce));
      return;
    }
    Job& job = ChooseJob();
    switch (Draw(6)) {
      case 0:
        if (mJobs.size() < (mShape.mHasSmallInstances ? 60 : 25)) {
          AddJob();
        }
        break;
      case 1:
        // Accepted submissions may arrive again.
        Submit(job);
        break;
      case 2:
        if (job.mIsAccepted && Cancel(job) && Draw(2) == 0) {
          Disrupt();
        }
        break;
      case 3:
        for (auto& [id, worker] : mWorkers) {
          if (Draw(4) == 0) {
            worker.FailRuns();
          }
        }
        break;
      default:
        RetryCalls();
        break;
    }
  }

  void RetryCalls()
  {
    for (std::size_t n = 0; n < mJobs.size(); ++n) {
      if (mJobs[n].mIsCancelled) {
        continue;
      }
      if (mJobs[n].mIsCancelling) {
        Cancel(mJobs[n]);
      } else if (!mJobs[n].mIsAccepted) {
        Submit(mJobs[n]);
      }
    }
  }

  bool AreCallersAnswered() const
  {
    return std::all_of(mJobs.begin(), mJobs.end(), [](const Job& aJob) {
      return aJob.mIsCancelled || (aJob.mIsAccepted && !aJob.mIsCancelling);
    });
  }

  void AwaitAnswers()
  {
    while (!AreCallersAnswered()) {
      RetryCalls();
      Advance(kStep * 5);
    }
  }

  /// Null if all jobs are cancelled.
  Job* FindOpenJob()
  {
    const auto found =
      std::find_if(mJobs.begin(), mJobs.end(), [](const Job& aJob) {
        return !aJob.mIsCancelled;
      });
    return found != mJobs.end() ? &*found : nullptr;
  }

  void EndDay()
  {
    if (mShape.mHasSmallInstances) {
      SetSpeed(*mInstances[LeaderIndex()], 400, 600);
      CancelMany(Draw(kMaxCancelledAtEnd));
    }
    switch (Draw(3)) {
      case 0:
        CancelAndCrash();
        break;
      case 1:
        CancelAmidFaults();
        break;
      default:
        break;
    }
  }

  /// All instances end right after an acknowledgement.
  void CancelAndCrash()
  {
    Job* job = FindOpenJob();
    if (job != nullptr && Cancel(*job)) {
      CrashAll();
    }
  }

  /// The instances go on, but their calls are lost, late or reordered.
  void CancelAmidFaults()
  {
    const int cancelled = mCancelled;
    for (int n = 0; n < 40 && mCancelled < cancelled + 3; ++n) {
      mNetwork.mFaultPercent = 20 + Draw(40);
      mNetwork.mMaxDelayMs = 20 + Draw(500);
      Job* job = FindOpenJob();
      if (job == nullptr) {
        break;
      }
      Cancel(*job);
      Advance(kStep * (1 + Draw(25)));
    }
    EndFaults();
    AwaitAnswers();
  }

  void StartFaults()
  {
    mNetwork.mFaultPercent = Draw(60);
    mNetwork.mMaxDelayMs = 20 + Draw(600);
  }

  void CutLogOf(std::size_t aInstance)
  {
    if (aInstance < mInstances.size()) {
      mInstances[aInstance]->mLog.mIsCut = true;
    }
  }

  bool HasRuns(const Job& aJob) const
  {
    return std::any_of(
      mWorkers.begin(), mWorkers.end(), [&](const auto& aEntry) {
        const auto& runs = aEntry.second.Runs();
        return std::any_of(runs.begin(), runs.end(), [&](const auto& aRun) {
          return aRun.mTask.mJobId == aJob.mId;
        });
      });
  }

  /// All instances end 5 to 400 ms after an acknowledgement, and the next ones
  /// start, and may end again, amid the same faults. Polls, starts and appends
  /// of the former ones are still in flight.
  void CancelAndCrashAmidFaults()
  {
    Job* job = FindOpenJob();
    if (job == nullptr) {
      return;
    }
    StartFaults();
    if (Draw(2) == 0) {
      // The leader does not read the cancellation.
      CutLogOf(LeaderIndex());
    }
    for (int n = 0; n < 40 && !job->mIsCancelled; ++n) {
      if (Draw(4) == 0) {
        Submit(*job);
      }
      if (!Cancel(*job)) {
        Advance(kStep * (1 + Draw(10)));
      }
    }
    if (Draw(2) == 0) {
      Disrupt();
    }
    Advance(milliseconds(5 * (1 + Draw(80))), milliseconds(5));
    mCrashesBesideRuns += job->mIsCancelled && HasRuns(*job) ? 1 : 0;
    if (Draw(2) == 0) {
      ExpireRecords();
    }
    if (Draw(3) == 0) {
      // The next leader knows the worker by the journal only.
      SetRegistered(Draw(mShape.mWorkers), false);
    }
    CrashAll();
    for (int n = Draw(3); n > 0; --n) {
      Advance(kStep * Draw(200));
      CrashAll();
    }
    Advance(kStep * Draw(100));
    StartFaults();
    CutLogOf(static_cast<std::size_t>(Draw(2 * kInstances)));
    Advance(kStep * Draw(150));
    EndDisruptions();
    AwaitAnswers();
  }

  void CrashAll()
  {
    ++mCrashes;
    mInstances.clear();
    mInstancesBackAt = mClock.Now() + kStep * Draw(60);
  }

  std::size_t LeaderIndex()
  {
    for (std::size_t n = 0; n < mInstances.size(); ++n) {
      if (mInstances[n]->mNode.IsDispatching()) {
        return n;
      }
    }
    return static_cast<std::size_t>(Draw(static_cast<int>(mInstances.size())));
  }

  /// Keeps up to `aMaxKept` records of each stream.
  void ExpireRecords(int aMaxKept = 40)
  {
    for (const auto& [stream, records] : mLog.mLog.mStreams) {
      const auto end = static_cast<int>(records.size());
      auto& first = mLog.mFirst[stream];
      first =
        std::max<std::int64_t>(first, end - Draw(std::min(end, aMaxKept) + 1));
    }
  }

  void Disrupt()
  {
    const int kind = Draw(13);
    if (kind >= 10) {
      EndFaults();
      return;
    }
    if (mInstances.empty()) {
      return;
    }
    const auto leader = static_cast<std::ptrdiff_t>(LeaderIndex());
    LossyInstance& instance = *mInstances[static_cast<std::size_t>(
      Draw(static_cast<int>(mInstances.size())))];
    switch (kind) {
      case 0:
        CrashAll();
        break;
      case 1:
        mInstances.erase(mInstances.begin() + leader);
        mInstancesBackAt = mClock.Now() + kStep * Draw(60);
        break;
      case 2:
        mInstances[static_cast<std::size_t>(leader)]->mNode.Resign();
        Advance(kStep * Draw(10));
        if (static_cast<std::size_t>(leader) < mInstances.size()) {
          mInstances.erase(mInstances.begin() + leader);
        }
        break;
      case 3:
        mInstances[static_cast<std::size_t>(leader)]->mLog.mIsCut = true;
        break;
      case 4:
        instance.mLog.mIsCut = true;
        break;
      case 5:
        mInstances[static_cast<std::size_t>(leader)]->mRecipient.Pause(
          mClock.Now() + kStep * Draw(250));
        break;
      case 6:
        mNetwork.mFaultPercent = Draw(50);
        mNetwork.mMaxDelayMs = 20 + Draw(500);
        break;
      case 7:
        ExpireRecords();
        break;
      case 8: {
        const int worker = Draw(mShape.mWorkers);
        if (Draw(2) == 0) {
          mWorkers.at(WorkerName(worker)).Restart();
        } else {
          SetRegistered(worker, Draw(2) == 0);
        }
        break;
      }
      default:
        for (auto& it : mInstances) {
          if (Draw(2) == 0) {
            it->mClient.mCutWorkers.insert(WorkerName(Draw(mShape.mWorkers)));
          }
        }
        break;
    }
  }

  void EndFaults()
  {
    mNetwork.mFaultPercent = 0;
    mNetwork.mMaxDelayMs = 60;
    for (auto& it : mInstances) {
      it->mLog.mIsCut = false;
      it->mClient.mCutWorkers.clear();
    }
  }

  void EndDisruptions()
  {
    EndFaults();
    mFlapping.clear();
    mNetwork.mDownWorkers.clear();
    mNetwork.mUnheardWorkers.clear();
    for (auto& it : mInstances) {
      it->mRecipient.Pause(base::TimePoint{});
      if (mShape.mHasSmallInstances) {
        SetSpeed(*it, kTickMs, kAnswerMs);
      }
    }
    for (int n = 0; n < mShape.mWorkers; ++n) {
      SetRegistered(n, true);
    }
    if (mInstances.size() < kInstances) {
      AddInstances(kInstances - static_cast<int>(mInstances.size()));
    }
  }

  bool IsCancelled(const std::string& aJobId) const
  {
    return std::any_of(mJobs.begin(), mJobs.end(), [&](const Job& aJob) {
      return aJob.mId == aJobId && aJob.mIsCancelled;
    });
  }

  void CheckNoCancelledRuns() const
  {
    for (const auto& [id, worker] : mWorkers) {
      for (const auto& it : worker.Runs()) {
        CPPUNIT_ASSERT_MESSAGE(mName + ": " + ToText(it.mTask) +
                                 " of a cancelled job runs on " + id,
                               !IsCancelled(it.mTask.mJobId));
      }
    }
  }

  void CheckOpenJobsRun() const
  {
    std::map<std::string, int> runs;
    for (const auto& [id, worker] : mWorkers) {
      for (const auto& it : worker.Runs()) {
        ++runs[it.mTask.mJobId];
      }
    }
    for (const Job& it : mJobs) {
      if (!it.mIsCancelled) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          mName + ": runs of " + it.mId, mShape.mTasksPerJob, runs[it.mId]);
      }
    }
  }

  /// Limits of the speed of a small instance without a disruption.
  static constexpr int kTickMs = 120;
  static constexpr int kAnswerMs = 300;

  const SiteShape mShape;
  const std::string mName;
  std::unique_ptr<base::Random> mRandom;
  base::ManualClock mClock;
  LossyNetwork mNetwork;
  LossyLogState mLog;
  LossyWorkers mWorkers;
  std::map<int, bool> mRegistered;
  std::vector<std::unique_ptr<LossyInstance>> mInstances;
  base::TimePoint mInstancesBackAt;
  /// Workers that go down and up.
  std::set<std::string> mFlapping;
  base::TimePoint mNextFlapAt;
  std::vector<Job> mJobs;
  /// Includes instances that have been removed.
  int mInstanceCount = 0;
};

} // namespace

class CancellationRandomTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CancellationRandomTest);
  CPPUNIT_TEST(StopsCancelledJobsWhileInstancesAndTheLogFail);
  CPPUNIT_TEST(StopsACancelledJobIfAllInstancesCrashAfterTheAcknowledgement);
  CPPUNIT_TEST(StopsCancelledJobsOnASiteOfSmallInstances);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against tasks that run on, or start, after the cancellation of their
  // job was acknowledged, and against telling a caller that an accepted job
  // does not exist.
  void StopsCancelledJobsWhileInstancesAndTheLogFail()
  {
    const int first =
      NumberFromEnvironment("SKYLARKHILL_CANCELLATION_FIRST_SEED", 1);
    const int count =
      NumberFromEnvironment("SKYLARKHILL_CANCELLATION_SEEDS", kSeeds);
    int cancelled = 0;
    int unknown = 0;
    int crashes = 0;
    for (int seed = first; seed < first + count; ++seed) {
      CancellationSimulation simulation(seed);
      simulation.Run(DayEnd::Drawn);
      cancelled += simulation.mCancelled;
      unknown += simulation.mUnknown;
      crashes += simulation.mCrashes;
    }
    CPPUNIT_ASSERT(cancelled >= count);
    // Few seeds need not have one.
    CPPUNIT_ASSERT(unknown > 0 || count < kSeeds);
    CPPUNIT_ASSERT(crashes >= count / 2);
  }

  // Guards against a run of a cancelled job that goes on because all instances
  // crash in the moment after the acknowledgement, while the log and the
  // workers lose and delay calls.
  void StopsACancelledJobIfAllInstancesCrashAfterTheAcknowledgement()
  {
    const int first =
      NumberFromEnvironment("SKYLARKHILL_CANCELLATION_FIRST_SEED", 1);
    const int count =
      NumberFromEnvironment("SKYLARKHILL_CANCELLATION_SEEDS", kCrashSeeds);
    int crashes = 0;
    for (int seed = first; seed < first + count; ++seed) {
      CancellationSimulation simulation(seed);
      simulation.Run(DayEnd::CrashAmidFaults);
      crashes += simulation.mCrashesBesideRuns;
    }
    CPPUNIT_ASSERT(crashes >= count / 4);
  }

  // Guards against runs of cancelled jobs that go on because the leader is a
  // small instance with more workers and stops than it handles in one tick,
  // because reads of the journal lag, or because polls extend the leases of
  // workers that come and go or are not heard.
  void StopsCancelledJobsOnASiteOfSmallInstances()
  {
    const int first =
      NumberFromEnvironment("SKYLARKHILL_CANCELLATION_FIRST_SEED", 1);
    const int count =
      NumberFromEnvironment("SKYLARKHILL_CANCELLATION_SEEDS", kSmallSeeds);
    int cancelled = 0;
    for (int seed = first; seed < first + count; ++seed) {
      CancellationSimulation simulation(seed, kSmallInstances);
      simulation.Run(DayEnd::Drawn);
      cancelled += simulation.mCancelled;
    }
    CPPUNIT_ASSERT(cancelled >= 4 * count);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CancellationRandomTest);

} // namespace skylarkhill::node
