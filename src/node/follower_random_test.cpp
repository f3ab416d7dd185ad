#include "skylarkhill/base/random.hpp"
#include "skylarkhill/cells/cell_map.hpp"
#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/node/job_router.hpp"
#include "skylarkhill/node/log_budget.hpp"
#include "skylarkhill/node/node.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cell_instance_test.hpp"
#include "cell_site_test.hpp"
#include "fake_shared_log_test.hpp"
#include "fake_worker_client_test.hpp"

namespace skylarkhill::node {

using base::ErrorKind;
using std::chrono::milliseconds;

namespace {

/// Seeds in a usual run; SKYLARKHILL_FOLLOWER_SEEDS overrides it, and
/// SKYLARKHILL_FOLLOWER_FIRST_SEED the first one.
constexpr int kSeeds = 30;
constexpr int kInstances = 14;
constexpr int kFollowers = 6;
/// Instances beyond kFollowers that may follow a cell: one that followed it
/// already, and the leaders of all cells.
constexpr int kMaxMoreFollowers = 1 + kDomains;
constexpr double kReadsPerSecond = 150.0;
constexpr int kJobs = 50;
constexpr std::int64_t kTaskMilliProcessors = 500;
constexpr milliseconds kStep{ 20 };
constexpr milliseconds kStartTime{ 12'000 };
constexpr milliseconds kSeedTime{ 40'000 };
/// Longer than the time after which a lost instance is left out.
constexpr milliseconds kRecoveryTime{ 30'000 };
constexpr milliseconds kCallerTimeout{ 700 };
constexpr milliseconds kCountInterval{ 500 };
/// Age from which on replaced and deleted records of a journal are gone. Longer
/// than the faults of an instance that follows the journal.
constexpr milliseconds kRecordRetention{ 15'000 };
/// Time between the resignation and the end of an instance.
constexpr milliseconds kResignationTime{ 600 };
/// The bound of a start after the acknowledgement of a cancellation.
constexpr milliseconds kMaxCancellationDelay{ 3000 };
/// RULES, "In touch": a disruption counts for this long after its end.
constexpr milliseconds kContactTime{ 3000 };
/// Time after which an accepted job must be known to all callers.
constexpr milliseconds kMaxTimeToKnow{ 3000 };
/// Mean number of steps that a batch task runs.
constexpr int kMeanRunSteps = 60;
constexpr int kMeanOldRunSteps = 300;
/// Longer than the retention of final jobs.
constexpr std::int64_t kOldJobAgeMs = 500'000;
/// One question in this many gets no answer.
constexpr int kQuestionsPerLoss = 8;
constexpr int kMaxAskedFollowers = 3;

/// How many cases a test has covered.
struct Coverage
{
  int mCompleted = 0;
  int mCancelled = 0;
  int mTransfers = 0;
  /// Old jobs whose records were removed.
  int mRemoved = 0;
  /// Questions that a follower answered.
  int mAnswers = 0;
  /// Questions to instances that did not follow the cell any more or yet.
  int mUnfollowed = 0;
  /// Changes of the followers that an instance knows.
  int mFollowerChanges = 0;
};

std::string
ToText(const Coverage& aCoverage)
{
  std::string text;
  const auto add = [&](const char* aName, int aNumber) {
    text += std::string(aName) + "=" + std::to_string(aNumber) + " ";
  };
  add("completed", aCoverage.mCompleted);
  add("cancelled", aCoverage.mCancelled);
  add("transfers", aCoverage.mTransfers);
  add("removed", aCoverage.mRemoved);
  add("answers", aCoverage.mAnswers);
  add("unfollowed", aCoverage.mUnfollowed);
  add("follower_changes", aCoverage.mFollowerChanges);
  return text;
}

/// Puts the questions of one instance to random followers, some of which do not
/// answer.
class RandomFollowers : public CellQueries
{
public:
  /// Returns null if the address cannot be reached.
  using Connect = std::function<JobRouter*(const std::string&)>;

  RandomFollowers(const CellFollowers& aFollowers,
                  base::Random& aRandom,
                  Coverage& aCoverage,
                  Connect aConnect)
    : mFollowers(aFollowers)
    , mRandom(aRandom)
    , mCoverage(aCoverage)
    , mConnect(std::move(aConnect))
  {
  }

  base::Result<JobView> FindJob(int aCell,
                                const std::string& aJobId,
                                base::TimePoint aDeadline) override
  {
    return Ask<JobView>(aCell, [&](JobRouter& aRouter) {
      return aRouter.FindJob(aCell, aJobId, aDeadline);
    });
  }

  base::Result<std::vector<int>> ListOtherCells(
    int aCell,
    const std::string& aJobId,
    base::TimePoint aDeadline) override
  {
    return Ask<std::vector<int>>(aCell, [&](JobRouter& aRouter) {
      return aRouter.ListOtherCells(aCell, aJobId, aDeadline);
    });
  }

  base::Result<std::size_t> CountPending(int aCell,
                                         std::string_view aQueue,
                                         base::TimePoint aDeadline) override
  {
    return Ask<std::size_t>(aCell, [&](JobRouter& aRouter) {
      return aRouter.CountPending(aCell, aQueue, aDeadline);
    });
  }

  bool mLosesQuestions = true;

private:
  template<typename TAnswer>
  base::Result<TAnswer> Ask(
    int aCell,
    const std::function<base::Result<TAnswer>(JobRouter&)>& aCall)
  {
    std::vector<std::string> followers = mFollowers.FollowersOf(aCell);
    for (int n = 0; n < kMaxAskedFollowers && !followers.empty(); ++n) {
      const auto it = followers.begin() + static_cast<std::ptrdiff_t>(
                                            mRandom.Below(followers.size()));
      JobRouter* const router = mConnect(*it);
      followers.erase(it);
      if (router == nullptr ||
          (mLosesQuestions && mRandom.Below(kQuestionsPerLoss) == 0)) {
        continue;
      }
      auto answer = aCall(*router);
      if (answer || answer.error().mKind != ErrorKind::LogUnavailable) {
        ++mCoverage.mAnswers;
        return answer;
      }
      mCoverage.mUnfollowed +=
        answer.error().mDetail.find("not followed") != std::string::npos ? 1
                                                                         : 0;
    }
    return base::MakeError(ErrorKind::LogUnavailable, "no follower answers");
  }

  const CellFollowers& mFollowers;
  base::Random& mRandom;
  Coverage& mCoverage;
  const Connect mConnect;
};

/// An instance that follows some of the cells.
struct FollowerInstance : CellInstance
{
  using CellInstance::CellInstance;

  std::string mName;
  std::unique_ptr<RandomFollowers> mQueries;
  /// When the faults of its calls end.
  base::TimePoint mFaultsEndAt;
  /// No other instance reaches it, nor it others.
  bool mIsCutOff = false;
  /// When it was last paused or cut off from the whole log.
  std::optional<base::TimePoint> mDisturbedAt;
  std::optional<base::TimePoint> mResignedAt;
  /// By cell, as of the last count.
  std::vector<std::vector<std::string>> mFollowers;
};

/// A place of the site, with an instance or without.
struct Slot
{
  std::unique_ptr<FollowerInstance> mInstance;
  std::string mName;
  base::TimePoint mBackAt;
};

/// Many instances each of which follows some of the cells, with faults that
/// follow from a seed.
class FollowerSimulation
{
public:
  FollowerSimulation(int aSeed, Coverage& aCoverage)
    : mCoverage(aCoverage)
    , mRandom(base::CreateSeededRandom(static_cast<std::uint64_t>(aSeed)))
  {
    for (int n = 0; n < kDomains * kWorkersPerDomain; ++n) {
      auto& records = mState.mStreams["workers"];
      records.push_back({ "d" + std::to_string(n % kDomains) + "w" +
                            std::to_string(n / kDomains),
                          "1",
                          n });
    }
    mSlots.resize(kInstances);
    for (auto& it : mSlots) {
      it.mName = NewName();
    }
  }

  /// Returns what was wrong, or an empty string.
  std::string Run()
  {
    Advance(kStartTime);
    CheckFollowers();
    const base::TimePoint end = mClock.Now() + kSeedTime;
    while (mClock.Now() < end && mProblem.empty()) {
      Disturb();
      Advance(kStep * (1 + Draw(10)));
    }
    EndDisturbances();
    Advance(kRecoveryTime);
    if (mProblem.empty()) {
      CheckFollowers();
      CheckOutcome();
    }
    return mProblem;
  }

private:
  struct Job
  {
    jobs::JobRequest mRequest;
    std::optional<base::TimePoint> mAcceptedAt;
    std::optional<base::TimePoint> mCancelledAt;
    /// When a cancellation was answered with NotFound; the job is cancelled if
    /// it is accepted later.
    std::optional<base::TimePoint> mUnknownAt;
    bool mMayBeCancelled = false;
    /// Its records are removed once it is completed.
    bool mIsOld = false;

    bool IsService() const { return mRequest.mSteps[0].mIsService; }
    std::optional<base::TimePoint> AcknowledgedAt() const
    {
      return mCancelledAt ? mCancelledAt : mUnknownAt;
    }
  };

  int Draw(int aBound)
  {
    return static_cast<int>(mRandom->Below(static_cast<std::uint64_t>(aBound)));
  }

  base::TimePoint Deadline() const { return mClock.Now() + kCallerTimeout; }

  void SetProblem(std::string aProblem)
  {
    if (mProblem.empty()) {
      mProblem = std::move(aProblem);
    }
  }

  // Instances.

  std::string NewName() { return "node" + std::to_string(mNameCount++); }

  std::unique_ptr<FollowerInstance> CreateInstance(const std::string& aName,
                                                   int aNumber)
  {
    NodeOptions options =
      MakeCellOptions(aName + "/" + std::to_string(++mStartCount), aNumber);
    options.mStreams.mInstances = { "instances", 0 };
    options.mName = aName;
    options.mQueryAddress = aName + ":1";
    options.mLogRates.mReadsPerSecond = kReadsPerSecond;
    options.mMaxCancellationDelay = kMaxCancellationDelay;
    auto instance =
      std::make_unique<FollowerInstance>(mState, mWorkers, mClock, options);
    instance->mName = aName;
    instance->mQueries = std::make_unique<RandomFollowers>(
      instance->mNode.Followers(),
      *mRandom,
      mCoverage,
      [this, asker = instance.get()](const std::string& aAddress) {
        return Connect(*asker, aAddress);
      });
    instance->mNode.GetJobRouter().SetQueries(*instance->mQueries);
    return instance;
  }

  JobRouter* Connect(const FollowerInstance& aAsker,
                     const std::string& aAddress)
  {
    for (const auto& it : mSlots) {
      if (it.mName + ":1" != aAddress) {
        continue;
      }
      const bool isReached = it.mInstance != nullptr && !aAsker.mIsCutOff &&
                             !it.mInstance->mIsCutOff &&
                             !IsPaused(*it.mInstance);
      return isReached ? &it.mInstance->mNode.GetJobRouter() : nullptr;
    }
    return nullptr;
  }

  bool IsPaused(const FollowerInstance& aInstance) const
  {
    return mClock.Now() < aInstance.mPausedUntil;
  }

  /// An instance that runs and can serve a caller.
  FollowerInstance* AnyInstance()
  {
    FollowerInstance* const instance =
      mSlots[static_cast<std::size_t>(Draw(kInstances))].mInstance.get();
    return instance != nullptr && !IsPaused(*instance) ? instance : nullptr;
  }

  /// The appends of an ended process may still be carried out.
  void End(Slot& aSlot, base::Duration aTimeUntilBack)
  {
    if (aSlot.mInstance != nullptr) {
      aSlot.mInstance->mLog.CarryOutLostAppends();
      aSlot.mInstance.reset();
    }
    aSlot.mBackAt = mClock.Now() + aTimeUntilBack;
  }

  void UpdateInstances()
  {
    const base::TimePoint now = mClock.Now();
    for (std::size_t n = 0; n < mSlots.size(); ++n) {
      Slot& slot = mSlots[n];
      if (slot.mInstance == nullptr && now >= slot.mBackAt) {
        slot.mInstance = CreateInstance(slot.mName, static_cast<int>(n));
      }
      if (slot.mInstance == nullptr) {
        continue;
      }
      if (IsPaused(*slot.mInstance) || slot.mInstance->mLog.mIsUnreachable) {
        slot.mInstance->mDisturbedAt = now;
      }
      if (now >= slot.mInstance->mFaultsEndAt) {
        EndFaults(*slot.mInstance);
      }
      const auto resignedAt = slot.mInstance->mResignedAt;
      if (resignedAt && now >= *resignedAt + kResignationTime) {
        End(slot, kStep * Draw(150));
      }
    }
  }

  static void EndFaults(FollowerInstance& aInstance)
  {
    aInstance.mIsCutOff = false;
    aInstance.mLog.mIsUnreachable = false;
    aInstance.mLog.mDropsResponses = false;
    aInstance.mLog.mUnreadableTopics.clear();
    aInstance.mLog.mUnwritableTopics.clear();
  }

  void EndDisturbances()
  {
    mMeanOldRunSteps = kMeanRunSteps;
    for (auto& it : mSlots) {
      it.mBackAt = {};
      if (it.mInstance != nullptr) {
        EndFaults(*it.mInstance);
        it.mInstance->mPausedUntil = {};
        it.mInstance->mLog.CarryOutLostAppends();
      }
    }
  }

  // Disturbances.

  base::TimePoint FaultsEnd(int aMaxSteps)
  {
    return mClock.Now() + milliseconds(1000) + kStep * Draw(aMaxSteps);
  }

  void Disturb()
  {
    constexpr int kActions = 100;
    const int action = Draw(kActions);
    if (action < 9) {
      DisturbInstance(mSlots[static_cast<std::size_t>(Draw(kInstances))]);
    } else if (action < 11) {
      DisturbSite();
    } else if (action < 20) {
      Cancel();
    } else if (action < 55) {
      AskState();
    } else if (action < 60) {
      CountPending();
    } else if (action < 63) {
      StoreOldJob();
    } else {
      Submit();
    }
  }

  void DisturbInstance(Slot& aSlot)
  {
    FollowerInstance* const instance = aSlot.mInstance.get();
    if (instance == nullptr) {
      return;
    }
    switch (Draw(9)) {
      case 0:
        instance->mLog.mIsUnreachable = true;
        instance->mIsCutOff = Draw(2) == 0;
        instance->mFaultsEndAt = FaultsEnd(350);
        break;
      case 1:
        instance->mLog.mDropsResponses = true;
        instance->mFaultsEndAt = FaultsEnd(150);
        break;
      case 2:
        instance->mPausedUntil = mClock.Now() + milliseconds(1000 * Draw(6));
        break;
      case 3:
        instance->mLog.CarryOutLostAppends();
        break;
      case 4:
        if (!instance->mResignedAt) {
          instance->mNode.Resign();
          instance->mResignedAt = mClock.Now();
        }
        break;
      case 5:
        End(aSlot, base::Duration::zero());
        break;
      case 6:
        End(aSlot, kStep * Draw(150));
        break;
      case 7:
        End(aSlot, kStep * Draw(150));
        aSlot.mName = NewName();
        break;
      default:
        // Long enough for the others to leave it out.
        End(aSlot, milliseconds(16'000) + kStep * Draw(200));
        break;
    }
  }

  void DisturbSite()
  {
    const int kind = Draw(5);
    const int domain = Draw(kDomains);
    const base::TimePoint end =
      kind == 0 || kind == 3 ? FaultsEnd(150) : FaultsEnd(700);
    for (std::size_t n = 0; n < mSlots.size(); ++n) {
      FollowerInstance* const instance = mSlots[n].mInstance.get();
      if (instance == nullptr) {
        continue;
      }
      FakeSharedLog& log = instance->mLog;
      if (kind == 0) {
        log.mIsUnreachable = true;
      } else if (kind == 1) {
        log.mUnreadableTopics = { "instances" };
      } else if (kind == 2 && Draw(2) == 0) {
        // Some instances leave others out, and some do not.
        log.mUnreadableTopics = { "instances" };
        log.mUnwritableTopics = { "instances" };
      } else if (kind == 3 && static_cast<int>(n) % kDomains == domain) {
        log.mIsUnreachable = true;
        instance->mIsCutOff = true;
      } else if (kind == 4 && Draw(2) == 0) {
        log.mUnwritableTopics = { "instances" };
      } else {
        continue;
      }
      instance->mFaultsEndAt = end;
    }
  }

  // Callers.

  std::string RandomJobId() { return "job" + std::to_string(Draw(kJobs)); }

  jobs::JobRequest MakeRequest()
  {
    jobs::Step step;
    step.mIsService = Draw(2) == 0;
    step.mCount = 1 + Draw(2);
    step.mResources.mMilliProcessors = kTaskMilliProcessors;
    // Half of the jobs have their home in the first cell, which has no worker
    // for some of these.
    step.mPreferredRack = Draw(2) == 0 ? "d0rack" : "";
    step.mRequiredLabel = Draw(4) == 0 ? "odd" : "";
    jobs::JobRequest request;
    request.mSteps.push_back(step);
    return request;
  }

  void Submit()
  {
    FollowerInstance* const instance = AnyInstance();
    if (instance == nullptr) {
      return;
    }
    const std::string id = RandomJobId();
    Job& job = mJobs[id];
    if (job.mRequest.mSteps.empty()) {
      job.mRequest = MakeRequest();
    }
    const auto result = instance->mNode.GetJobRouter().Submit(
      MakePolicy(), id, job.mRequest, Deadline());
    if (result && !job.mAcceptedAt) {
      job.mAcceptedAt = mClock.Now();
    }
  }

  /// A batch job that was accepted long ago.
  void StoreOldJob()
  {
    jobs::Submission job;
    job.mId = "old" + std::to_string(mOldJobCount++);
    job.mAcceptedMs = SimulatedWallClock(mClock).NowMs() - kOldJobAgeMs;
    job.mPolicy = MakePolicy();
    job.mRequest = MakeRequest();
    job.mRequest.mSteps[0].mIsService = false;
    mJobs[job.mId].mRequest = job.mRequest;
    mJobs[job.mId].mIsOld = true;
    const auto map =
      cells::DecodeCellMap(mState.mStreams["cells"].back().mValue);
    auto& records = mState.mStreams[JournalOf(
      cells::HomeOfJob(map.value(), job.mId, job.mRequest))];
    records.push_back(
      { jobs::FormatRecordKey(jobs::RecordKind::Submission, job.mId),
        jobs::EncodeSubmission(job),
        static_cast<std::int64_t>(records.size()) });
  }

  void Cancel()
  {
    FollowerInstance* const instance = AnyInstance();
    const std::string id = RandomJobId();
    const auto job = mJobs.find(id);
    if (instance == nullptr || job == mJobs.end()) {
      return;
    }
    const base::TimePoint askedAt = mClock.Now();
    const auto result = instance->mNode.GetJobRouter().Cancel(id, Deadline());
    if (!result) {
      CheckError(*instance, id, askedAt, result.error().mKind);
      job->second.mMayBeCancelled =
        job->second.mMayBeCancelled ||
        result.error().mKind == ErrorKind::OutcomeUnknown;
      if (result.error().mKind == ErrorKind::NotFound &&
          !job->second.mUnknownAt) {
        job->second.mUnknownAt = mClock.Now();
      }
    } else if (!job->second.mCancelledAt) {
      job->second.mCancelledAt = mClock.Now();
    }
  }

  void AskState()
  {
    FollowerInstance* const instance = AnyInstance();
    const std::string id = RandomJobId();
    if (instance == nullptr || mJobs.count(id) == 0) {
      return;
    }
    const base::TimePoint askedAt = mClock.Now();
    const auto state = instance->mNode.GetJobRouter().StateOf(id, Deadline());
    if (!state) {
      CheckError(*instance, id, askedAt, state.error().mKind);
    }
  }

  void CountPending()
  {
    if (FollowerInstance* const instance = AnyInstance()) {
      const auto count =
        instance->mNode.GetJobRouter().CountPending("queue", Deadline());
      if (!count && count.error().mKind != ErrorKind::LogUnavailable) {
        SetProblem(instance->mName + " does not count the pending jobs");
      }
    }
  }

  void CheckError(const FollowerInstance& aInstance,
                  const std::string& aJobId,
                  base::TimePoint aAskedAt,
                  ErrorKind aError)
  {
    const auto acceptedAt = mJobs[aJobId].mAcceptedAt;
    if (aError == ErrorKind::NotFound && acceptedAt &&
        aAskedAt >= *acceptedAt + kMaxTimeToKnow) {
      SetProblem(aJobId + " was accepted and " + aInstance.mName +
                 " does not find it");
    }
  }

  // Time.

  void Advance(base::Duration aTime)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end && mProblem.empty()) {
      mClock.Advance(kStep);
      UpdateInstances();
      for (const auto& it : mSlots) {
        if (it.mInstance != nullptr && !IsPaused(*it.mInstance)) {
          it.mInstance->mNode.Tick();
          it.mInstance->mLog.Deliver();
          it.mInstance->mClients.Deliver();
          CheckStarts(*it.mInstance);
        }
      }
      EndRuns();
      CheckRuns();
      if (mClock.Now() >= mNextCountAt) {
        mNextCountAt = mClock.Now() + kCountInterval;
        CountFollowerChanges();
        ExpireRecords();
      }
    }
  }

  void ExpireRecords()
  {
    std::map<std::string, std::int64_t> ends;
    for (int cell = 0; cell < kDomains; ++cell) {
      const std::string journal = JournalOf(cell);
      ends[journal] =
        static_cast<std::int64_t>(mState.mStreams[journal].size());
    }
    mJournalEnds.emplace_back(mClock.Now(), std::move(ends));
    while (mJournalEnds.front().first + kRecordRetention < mClock.Now()) {
      for (const auto& [journal, end] : mJournalEnds.front().second) {
        mState.mFirstOffsets[journal] = end;
      }
      mJournalEnds.pop_front();
    }
  }

  /// Runs end with the lease of their worker, and batch tasks are done at
  /// random times.
  void EndRuns()
  {
    const std::int64_t now = base::ToMicros(mClock.Now()) / 1000;
    for (auto& [id, worker] : mWorkers) {
      const bool isExpired = worker.mLeaseEndMs < now;
      for (auto it = worker.mRuns.begin(); it != worker.mRuns.end();) {
        const auto job = mJobs.find(it->mTask.mJobId);
        const bool isDone =
          !isExpired && job != mJobs.end() && !job->second.IsService() &&
          Draw(job->second.mIsOld ? mMeanOldRunSteps : kMeanRunSteps) == 0;
        if (!isDone && !isExpired) {
          ++it;
          continue;
        }
        if (isDone) {
          mDoneTasks.insert(dispatch::ToText(it->mTask));
        }
        worker.mEndedRuns.push_back({ ++worker.mLastSequence,
                                      it->mTask,
                                      it->mRunNumber,
                                      isDone
                                        ? dispatch::RunOutcome::Done
                                        : dispatch::RunOutcome::LeaseExpired,
                                      "" });
        it = worker.mRuns.erase(it);
      }
    }
  }

  // Checks.

  /// The bound of a start holds for instances in touch (RULES).
  bool IsDisturbed(const FollowerInstance& aInstance) const
  {
    return aInstance.mDisturbedAt &&
           mClock.Now() <= *aInstance.mDisturbedAt + kContactTime;
  }

  void CheckStarts(FollowerInstance& aInstance)
  {
    for (const auto& [cell, client] : aInstance.mClients.mClients) {
      for (const auto& it : client->mStarts) {
        const auto job = mJobs.find(it.mTask.mJobId);
        const std::string task = dispatch::ToText(it.mTask);
        if (job == mJobs.end()) {
          SetProblem(task + " was not submitted");
          continue;
        }
        if (mDoneTasks.count(task) != 0) {
          SetProblem(task + " starts after it was done");
        }
        const auto cancelledAt = job->second.AcknowledgedAt();
        if (cancelledAt && !IsDisturbed(aInstance) &&
            mClock.Now() > *cancelledAt + kMaxCancellationDelay) {
          const auto age = std::chrono::duration_cast<milliseconds>(
            mClock.Now() - *cancelledAt);
          SetProblem(aInstance.mName + " starts " + task + " " +
                     std::to_string(age.count()) +
                     " ms after the cancellation");
        }
      }
      client->mStarts.clear();
    }
  }

  void CheckRuns()
  {
    std::set<std::string> running;
    for (const auto& [id, worker] : mWorkers) {
      for (const auto& it : worker.mRuns) {
        const std::string task = dispatch::ToText(it.mTask);
        if (!running.insert(task).second) {
          SetProblem(task + " runs twice");
        }
      }
    }
  }

  void CountFollowerChanges()
  {
    for (const auto& it : mSlots) {
      if (it.mInstance == nullptr) {
        continue;
      }
      std::vector<std::vector<std::string>> followers;
      followers.reserve(kDomains);
      for (int cell = 0; cell < kDomains; ++cell) {
        followers.push_back(it.mInstance->mNode.Followers().FollowersOf(cell));
      }
      mCoverage.mFollowerChanges +=
        followers != it.mInstance->mFollowers ? 1 : 0;
      it.mInstance->mFollowers = std::move(followers);
    }
  }

  /// Each cell has one leader and about kFollowers followers.
  void CheckFollowers()
  {
    for (int cell = 0; cell < kDomains && mProblem.empty(); ++cell) {
      const std::string name = "cell " + std::to_string(cell) + " has ";
      int leaders = 0;
      int followers = 0;
      for (const auto& it : mSlots) {
        const auto led = it.mInstance->mNode.LedCells();
        leaders += static_cast<int>(std::count(led.begin(), led.end(), cell));
        const auto count = it.mInstance->mNode.GetJobRouter().CountPending(
          cell, "queue", Deadline());
        followers += count ? 1 : 0;
      }
      if (leaders != 1) {
        SetProblem(name + std::to_string(leaders) + " leaders");
      }
      if (followers < kFollowers ||
          followers > kFollowers + kMaxMoreFollowers) {
        SetProblem(name + std::to_string(followers) + " followers");
      }
    }
  }

  void CheckOutcome()
  {
    std::map<std::string, int> runs;
    for (const auto& [id, worker] : mWorkers) {
      for (const auto& it : worker.mRuns) {
        ++runs[it.mTask.mJobId];
      }
    }
    for (const auto& [id, job] : mJobs) {
      const int count = job.mRequest.mSteps[0].mCount;
      const bool mayBeCancelled = job.AcknowledgedAt() || job.mMayBeCancelled;
      if (job.AcknowledgedAt() && runs[id] != 0) {
        SetProblem(id + " was cancelled and runs");
      }
      if ((job.mAcceptedAt || job.mIsOld) && !mayBeCancelled &&
          runs[id] != (job.IsService() ? count : 0)) {
        SetProblem(id + " has " + std::to_string(runs[id]) + " runs");
      }
      for (const auto& it : mSlots) {
        CheckState(*it.mInstance, id, job);
      }
      if (!mProblem.empty()) {
        return;
      }
      mCoverage.mCancelled += job.mCancelledAt ? 1 : 0;
      mCoverage.mCompleted +=
        job.mAcceptedAt && !mayBeCancelled && !job.IsService() ? 1 : 0;
    }
    for (const auto& it : mSlots) {
      const auto pending =
        it.mInstance->mNode.GetJobRouter().CountPending("queue", Deadline());
      if (!pending || pending.value() != 0) {
        SetProblem(it.mInstance->mName + " counts pending jobs");
      }
    }
    for (const auto& [name, records] : mState.mStreams) {
      mCoverage.mTransfers += static_cast<int>(
        std::count_if(records.begin(), records.end(), [](const auto& aRecord) {
          return aRecord.mKey.substr(0, 2) == "t/";
        }));
    }
  }

  /// Each instance shows the final state, or that the lasting tasks run.
  void CheckState(FollowerInstance& aInstance,
                  const std::string& aJobId,
                  const Job& aJob)
  {
    aInstance.mQueries->mLosesQuestions = false;
    const auto state =
      aInstance.mNode.GetJobRouter().StateOf(aJobId, Deadline());
    if (!aJob.mAcceptedAt && !aJob.mCancelledAt && !aJob.mIsOld) {
      return;
    }
    if (aJob.mIsOld && !state && state.error().mKind == ErrorKind::NotFound) {
      ++mCoverage.mRemoved;
      return;
    }
    if (!state) {
      SetProblem(aJobId + " was accepted and " + aInstance.mName + " answers " +
                 std::string(base::NameOf(state.error().mKind)));
      return;
    }
    const bool wasCancelled = aJob.AcknowledgedAt().has_value();
    const bool mayBeCancelled = wasCancelled || aJob.mMayBeCancelled;
    const auto lastState =
      aJob.IsService() ? jobs::JobState::Running : jobs::JobState::Completed;
    const bool isCancelled = state.value() == jobs::JobState::Cancelled;
    const bool isLast = state.value() == lastState;
    // A batch job may be done before its cancellation.
    const bool mayBeLast = !wasCancelled || !aJob.IsService();
    if (!(isCancelled && mayBeCancelled) && !(isLast && mayBeLast)) {
      SetProblem(aJobId + (wasCancelled ? ", cancelled," : "") +
                 " is shown as " + std::string(jobs::NameOf(state.value())) +
                 " by " + aInstance.mName);
    }
  }

  Coverage& mCoverage;
  std::unique_ptr<base::Random> mRandom;
  base::ManualClock mClock;
  FakeLogState mState;
  FakeWorkers mWorkers;
  std::vector<Slot> mSlots;
  int mNameCount = 0;
  int mStartCount = 0;
  int mOldJobCount = 0;
  int mMeanOldRunSteps = kMeanOldRunSteps;
  base::TimePoint mNextCountAt;
  std::map<std::string, Job> mJobs;
  /// Batch tasks whose run has ended.
  std::set<std::string> mDoneTasks;
  /// Ends of the journals by name, and when they had these.
  std::deque<std::pair<base::TimePoint, std::map<std::string, std::int64_t>>>
    mJournalEnds;
  std::string mProblem;
};

int
NumberFromEnvironment(const char* aName, int aDefault)
{
  const char* text = std::getenv(aName);
  return text != nullptr ? std::atoi(text) : aDefault;
}

} // namespace

/// Instances start and stop following cells, while instances, the log and the
/// list of instances fail.
class FollowerRandomTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FollowerRandomTest);
  CPPUNIT_TEST(KeepsJobsWhileFollowersChange);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against tasks that run twice, accepted jobs that are not found, not
  // run or never shown as done, cancelled jobs whose tasks start or run on, and
  // cells without a leader or followers.
  void KeepsJobsWhileFollowersChange()
  {
    CPPUNIT_ASSERT_EQUAL(
      kFollowers,
      PlanLogCalls({ kReadsPerSecond, 0.0 }, { kInstances, kDomains })
        .mFollowersPerCell);
    const int seeds =
      NumberFromEnvironment("SKYLARKHILL_FOLLOWER_SEEDS", kSeeds);
    const int first =
      NumberFromEnvironment("SKYLARKHILL_FOLLOWER_FIRST_SEED", 1);
    Coverage coverage;
    std::string problems;
    for (int seed = first; seed < first + seeds; ++seed) {
      const std::string problem = FollowerSimulation(seed, coverage).Run();
      if (!problem.empty()) {
        problems += "seed " + std::to_string(seed) + ": " + problem + "\n";
      }
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(ToText(coverage), std::string(), problems);
    if (seeds >= kSeeds) {
      CPPUNIT_ASSERT_MESSAGE(ToText(coverage), coverage.mTransfers > 0);
      CPPUNIT_ASSERT_MESSAGE(ToText(coverage), coverage.mUnfollowed > 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowerRandomTest);

} // namespace skylarkhill::node
