#include "skylarkhill/base/random.hpp"
#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/node/node.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell_site_test.hpp"
#include "lossy_site_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;

namespace {

/// Seeds in a usual run; SKYLARKHILL_CANCELLATION_SEEDS overrides it, and
/// SKYLARKHILL_CANCELLATION_FIRST_SEED the first one.
constexpr int kSeeds = 120;
constexpr int kInstances = 6;
constexpr milliseconds kStep{ 20 };
constexpr milliseconds kCallerTimeout{ 1500 };
/// RULES, "In touch": a disruption counts for this long after its end.
constexpr milliseconds kContactTime{ 3000 };
constexpr milliseconds kStopTime{ 200 };
/// The bound of a start after the acknowledgement of the cancellation.
constexpr milliseconds kMaxCancellationDelay{ 3000 };
/// Time from the acknowledgement, and from the end of the last disruption,
/// until no task of a cancelled job runs.
constexpr base::Duration kMaxTimeToStop =
  kContactTime + kMaxCancellationDelay + kStopTime;
/// Longer than the leases of earlier leaders and the claim delays.
constexpr milliseconds kRecoveryTime{ 20'000 };
/// Time in which the job of a round has to reach the state in which it is
/// cancelled.
constexpr milliseconds kMaxTimeToTrigger{ 4000 };
/// Mean number of steps between two failures of the runs of a worker.
constexpr int kRunSteps = 70;
/// The same while a run is beyond the bound of a cancellation.
constexpr int kLateRunSteps = 10;

/// The worker clients of one instance, one for each cell.
class LossyCellClients : public WorkerClients
{
public:
  LossyCellClients(LossyWorkers& aWorkers,
                   LossyNetwork& aNetwork,
                   const Recipient& aRecipient)
    : mWorkers(aWorkers)
    , mNetwork(aNetwork)
    , mRecipient(aRecipient)
  {
  }

  WorkerClient& ClientOf(int aCell) override
  {
    auto& client = mClients[aCell];
    if (client == nullptr) {
      client =
        std::make_unique<LossyWorkerClient>(mWorkers, mNetwork, mRecipient);
      client->mOnStart = mOnStart;
    }
    return *client;
  }

  /// Called when a start is sent.
  std::function<void(const dispatch::StartCall&)> mOnStart;

private:
  LossyWorkers& mWorkers;
  LossyNetwork& mNetwork;
  const Recipient& mRecipient;
  std::map<int, std::unique_ptr<LossyWorkerClient>> mClients;
};

/// An instance of a site of several cells.
struct LossyCellInstance : BasicLossyInstance<LossyCellClients, DomainDecoder>
{
  using BasicLossyInstance::BasicLossyInstance;

  bool Leads(int aCell) const
  {
    const auto cells = mNode.LedCells();
    return std::find(cells.begin(), cells.end(), aCell) != cells.end();
  }

  std::string mName;
  /// When the faults of its calls to the log end.
  base::TimePoint mFaultsEndAt;
  bool mDelaysCalls = false;
  /// When it was last paused, cut off from the whole log, or had calls carried
  /// out late. A cut of one partition does not count.
  std::optional<base::TimePoint> mDisturbedAt;
  std::optional<base::TimePoint> mResignedAt;
  /// Calls of callers that it serves.
  int mServing = 0;
  /// It ends once these calls have returned.
  bool mIsEnding = false;
};

/// How many cases a test has covered.
struct Coverage
{
  int mCancelled = 0;
  int mMoved = 0;
  int mLent = 0;
  int mLentOn = 0;
  /// Cancellations while a move or a loan was stored and not copied.
  int mBeforeCopy = 0;
  /// Cancellations that precede the record of a move or a loan.
  int mBeforeRecord = 0;
  /// Cells of a cancelled job that got a leader within the bound.
  int mTakeovers = 0;
  /// Cancellations that were acknowledged while an instance was cut off from
  /// one partition only.
  int mPartitionCuts = 0;
  /// Starts of tasks of jobs that were being cancelled, within the bound.
  int mStartsInBound = 0;
};

std::string
ToText(const Coverage& aCoverage)
{
  std::string text;
  const auto add = [&](const char* aName, int aNumber) {
    text += std::string(aName) + "=" + std::to_string(aNumber) + " ";
  };
  add("cancelled", aCoverage.mCancelled);
  add("moved", aCoverage.mMoved);
  add("lent", aCoverage.mLent);
  add("lent_on", aCoverage.mLentOn);
  add("before_copy", aCoverage.mBeforeCopy);
  add("before_record", aCoverage.mBeforeRecord);
  add("takeovers", aCoverage.mTakeovers);
  add("partition_cuts", aCoverage.mPartitionCuts);
  add("starts_in_bound", aCoverage.mStartsInBound);
  return text;
}

/// The minimums hold for kSeeds.
bool
IsSufficient(const Coverage& aCoverage)
{
  return aCoverage.mCancelled >= 200 && aCoverage.mMoved >= 60 &&
         aCoverage.mLent >= 50 && aCoverage.mLentOn >= 4 &&
         aCoverage.mBeforeCopy >= 12 && aCoverage.mBeforeRecord >= 8 &&
         aCoverage.mTakeovers >= 100 && aCoverage.mPartitionCuts >= 60 &&
         aCoverage.mStartsInBound >= 10;
}

/// Callers cancel jobs that move to other cells and whose tasks are lent, while
/// instances and their calls to the log fail at times that follow from the
/// seed.
class CancellationCellsSimulation
{
public:
  CancellationCellsSimulation(int aSeed, Coverage& aCoverage)
    : mCoverage(aCoverage)
    , mRandom(base::CreateSeededRandom(static_cast<std::uint64_t>(aSeed)))
    , mNetwork(mClock, static_cast<std::uint64_t>(aSeed))
  {
    mLog.mMaxKeysPerPage = 8 + Draw(30);
    for (int n = 0; n < kDomains * kWorkersPerDomain; ++n) {
      const std::string id = WorkerName(n % kDomains, n / kDomains);
      mWorkers.emplace(id, LossyWorker(mClock));
      SetRegistered(id, true);
    }
    mInstances.resize(kInstances);
    mBackAt.resize(kInstances);
    StartInstances();
  }

  /// Returns what was wrong, or an empty string.
  std::string Run()
  {
    Advance(milliseconds(5000));
    const auto& map = mLog.mLog.mStreams["cells"];
    CPPUNIT_ASSERT(!map.empty());
    mCellMap = cells::DecodeCellMap(map.back().mValue).value();
    for (int n = 0; n < kDomains; ++n) {
      AddJob("kept", 2, kWorkerMilliProcessors / 16, n, "");
    }
    mIsFailingRuns = true;
    if (Draw(2) == 0) {
      CancelMovedJobs();
    } else {
      CancelLentJobs();
    }
    mIsFailingRuns = false;
    EndDisruptions();
    AwaitAnswers();
    if (!mProblem.empty()) {
      return mProblem;
    }
    CountCases();
    Advance(kRecoveryTime);
    CheckOpenJobs();
    return mProblem;
  }

private:
  /// The order of a record of a move or a loan and its copy.
  struct Copy
  {
    int mFrom = 0;
    int mTarget = 0;
    bool mIsLoan = false;
    /// Of the record.
    std::int64_t mOffset = 0;
    bool mIsStored = false;
  };

  struct Job
  {
    std::string mId;
    jobs::JobRequest mRequest;
    int mHome = 0;
    bool mIsAccepted = false;
    bool mIsCancelling = false;
    std::optional<base::TimePoint> mCancelledAt;
    /// By key of the copy.
    std::map<std::string, Copy> mCopies;
    /// Offset of the first cancellation by cell.
    std::map<int, std::int64_t> mCancellations;
  };

  /// What happens to a job before it is cancelled.
  enum class Trigger
  {
    Time,
    Record,
    Copy,
    Run,
  };

  int Draw(int aBound)
  {
    return static_cast<int>(mRandom->Below(static_cast<std::uint64_t>(aBound)));
  }

  milliseconds DrawTime(int aSteps) { return kStep * Draw(aSteps); }

  static std::string WorkerName(int aDomain, int aNumber)
  {
    return "d" + std::to_string(aDomain) + "w" + std::to_string(aNumber);
  }

  void Store(const std::string& aTopic, std::string aKey, std::string aValue)
  {
    auto& records = mLog.mLog.mStreams[aTopic];
    const auto offset = static_cast<std::int64_t>(records.size());
    records.push_back({ std::move(aKey), std::move(aValue), offset });
  }

  void SetRegistered(const std::string& aWorker, bool aIsRegistered)
  {
    if (mRegistered[aWorker] != aIsRegistered) {
      mRegistered[aWorker] = aIsRegistered;
      Store("workers", aWorker, aIsRegistered ? "1" : "");
    }
  }

  // Instances.

  NodeOptions MakeOptionsOf(int aNumber)
  {
    NodeOptions options = MakeCellOptions("node" + std::to_string(aNumber) +
                                            "/" + std::to_string(++mStartCount),
                                          aNumber);
    options.mMaxCancellationDelay = kMaxCancellationDelay;
    return options;
  }

  void StartInstances()
  {
    for (std::size_t n = 0; n < mInstances.size(); ++n) {
      if (mInstances[n] == nullptr && mClock.Now() >= mBackAt[n]) {
        const auto number = static_cast<int>(n);
        const NodeOptions options = MakeOptionsOf(number);
        mInstances[n] = std::make_unique<LossyCellInstance>(
          mLog,
          mWorkers,
          mNetwork,
          mClock,
          options,
          [this](base::TimePoint aUntil) { Advance(aUntil - mClock.Now()); },
          mWallClock);
        LossyCellInstance& instance = *mInstances[n];
        instance.mName = options.mInstanceId;
        instance.mLog.mDelaysBlockingCalls = true;
        instance.mClient.mOnStart =
          [this, &instance](const dispatch::StartCall& aCall) {
            CheckStart(instance, aCall);
          };
      }
    }
  }

  /// Null if the cell has no leader.
  LossyCellInstance* LeaderOf(int aCell)
  {
    const auto found = std::find_if(
      mInstances.begin(), mInstances.end(), [&](const auto& aEntry) {
        return aEntry != nullptr && !aEntry->mIsEnding && aEntry->Leads(aCell);
      });
    return found != mInstances.end() ? found->get() : nullptr;
  }

  LossyCellInstance* AnyInstance()
  {
    LossyCellInstance* instance =
      mInstances[static_cast<std::size_t>(Draw(kInstances))].get();
    return instance != nullptr && !instance->mIsEnding ? instance : nullptr;
  }

  void End(LossyCellInstance* aInstance)
  {
    if (aInstance == nullptr) {
      return;
    }
    for (std::size_t n = 0; n < mInstances.size(); ++n) {
      if (mInstances[n].get() != aInstance) {
        continue;
      }
      mBackAt[n] = mClock.Now() + DrawTime(60);
      if (aInstance->mServing > 0) {
        aInstance->mIsEnding = true;
        aInstance->mLog.mIsCut = true;
        aInstance->mRecipient.Pause(base::TimePoint{});
      } else {
        mInstances[n].reset();
      }
    }
  }

  static bool IsDisrupted(const LossyCellInstance& aInstance)
  {
    const LossyLog& log = aInstance.mLog;
    return log.mIsCut || log.mFaultPercent || !log.mAppendFates.empty() ||
           !log.mUnreadableStreams.empty() || aInstance.mResignedAt ||
           aInstance.mRecipient.IsPaused();
  }

  static void EndFaults(LossyCellInstance& aInstance)
  {
    aInstance.mLog.mIsCut = false;
    aInstance.mLog.mUnreadableStreams.clear();
    aInstance.mLog.mAppendFates.clear();
    aInstance.mLog.mFaultPercent.reset();
    aInstance.mDelaysCalls = false;
  }

  void UpdateInstances()
  {
    const base::TimePoint now = mClock.Now();
    for (auto& it : mInstances) {
      if (it == nullptr || it->mIsEnding) {
        mDisruptedAt = now;
        continue;
      }
      if (IsDisrupted(*it)) {
        mDisruptedAt = now;
      }
      if (it->mLog.mIsCut || it->mDelaysCalls || it->mRecipient.IsPaused()) {
        it->mDisturbedAt = now;
      }
      if (now >= it->mFaultsEndAt) {
        EndFaults(*it);
      }
      if (it->mResignedAt && now >= *it->mResignedAt + milliseconds(600)) {
        End(it.get());
      }
    }
    StartInstances();
  }

  // Disruptions.

  void SetFaultsEnd(LossyCellInstance& aInstance)
  {
    aInstance.mFaultsEndAt = mClock.Now() + milliseconds(500) + DrawTime(250);
  }

  /// Reads, appends or both of one partition of the journal are lost.
  void CutPartition(LossyCellInstance& aInstance, int aCell)
  {
    const int kind = Draw(3);
    if (kind != 0) {
      aInstance.mLog.mUnreadableStreams.insert(JournalOf(aCell));
    }
    if (kind != 1) {
      aInstance.mLog.mAppendFates[JournalOf(aCell)] =
        Draw(3) == 0 ? CallFate::Refused : CallFate::CallLost;
    }
    SetFaultsEnd(aInstance);
  }

  /// Appends to one partition lose their answers or are carried out late.
  void DelayAppends(LossyCellInstance& aInstance, int aCell)
  {
    const bool isLate = Draw(2) == 0;
    aInstance.mLog.mAppendFates[JournalOf(aCell)] =
      isLate ? CallFate::CarriedOutLate : CallFate::AnswerLost;
    aInstance.mDelaysCalls = aInstance.mDelaysCalls || isLate;
    SetFaultsEnd(aInstance);
  }

  /// The second cell of a job is one that has a copy or gets one, by the
  /// records.
  int SecondCellOf(const Job& aJob)
  {
    if (aJob.mCopies.empty()) {
      return (aJob.mHome + 1 + Draw(kDomains - 1)) % kDomains;
    }
    auto it = aJob.mCopies.begin();
    std::advance(it, Draw(static_cast<int>(aJob.mCopies.size())));
    return it->second.mTarget;
  }

  LossyCellInstance* ChooseInstance(int aHome, int aSecond)
  {
    switch (Draw(4)) {
      case 0:
        return LeaderOf(aHome);
      case 1:
      case 2:
        return LeaderOf(aSecond);
      default:
        return AnyInstance();
    }
  }

  void CutOnePartitionFor(const Job& aJob)
  {
    const int second = SecondCellOf(aJob);
    LossyCellInstance* instance = ChooseInstance(aJob.mHome, second);
    if (instance == nullptr) {
      return;
    }
    const int cell = Draw(2) == 0 ? aJob.mHome : second;
    if (Draw(3) == 0) {
      DelayAppends(*instance, cell);
    } else {
      CutPartition(*instance, cell);
    }
  }

  void Disrupt(const Job& aJob)
  {
    const int second = SecondCellOf(aJob);
    switch (Draw(12)) {
      case 0:
        End(LeaderOf(aJob.mHome));
        break;
      case 1:
        End(LeaderOf(second));
        break;
      case 2:
        End(LeaderOf(aJob.mHome));
        End(LeaderOf(second));
        break;
      case 3:
        for (auto& it : mInstances) {
          End(it.get());
        }
        break;
      case 4:
        Resign(LeaderOf(aJob.mHome));
        if (Draw(2) == 0) {
          Resign(LeaderOf(second));
        }
        break;
      case 5:
        if (auto* instance = ChooseInstance(aJob.mHome, second)) {
          instance->mRecipient.Pause(mClock.Now() + DrawTime(200));
        }
        break;
      case 6:
        if (auto* instance = ChooseInstance(aJob.mHome, second)) {
          instance->mLog.mIsCut = true;
          SetFaultsEnd(*instance);
        }
        break;
      case 7:
        if (auto* instance = ChooseInstance(aJob.mHome, second)) {
          instance->mLog.mFaultPercent = 20 + Draw(40);
          instance->mDelaysCalls = true;
          SetFaultsEnd(*instance);
        }
        break;
      default:
        CutOnePartitionFor(aJob);
        break;
    }
  }

  void Resign(LossyCellInstance* aInstance)
  {
    if (aInstance != nullptr && !aInstance->mResignedAt) {
      aInstance->mNode.Resign();
      aInstance->mResignedAt = mClock.Now();
    }
  }

  void EndDisruptions()
  {
    for (auto& it : mInstances) {
      if (it != nullptr) {
        EndFaults(*it);
        it->mRecipient.Pause(base::TimePoint{});
      }
    }
    std::fill(mBackAt.begin(), mBackAt.end(), base::TimePoint{});
    for (const auto& [id, worker] : mWorkers) {
      SetRegistered(id, true);
    }
    StartInstances();
  }

  // Callers.

  /// `aDomain` tells the home, `aLabel` the workers that may run the tasks.
  std::size_t AddJob(const std::string& aName,
                     int aTasks,
                     std::int64_t aMilliProcessors,
                     int aDomain,
                     const std::string& aLabel)
  {
    jobs::Step step;
    step.mIsService = true;
    step.mCount = aTasks;
    step.mResources.mMilliProcessors = aMilliProcessors;
    step.mPreferredRack = "d" + std::to_string(aDomain) + "rack";
    step.mRequiredLabel = aLabel;
    Job job;
    job.mId = aName + std::to_string(mJobs.size());
    job.mRequest.mSteps.push_back(step);
    job.mHome = cells::HomeOfJob(mCellMap, job.mId, job.mRequest);
    mJobs.push_back(std::move(job));
    const std::size_t n = mJobs.size() - 1;
    for (int attempt = 0; attempt < 5 && !mJobs[n].mIsAccepted; ++attempt) {
      Submit(mJobs[n]);
    }
    return n;
  }

  template<typename TCall>
  bool Serve(LossyCellInstance* aInstance, const TCall& aCall)
  {
    if (aInstance == nullptr || aInstance->mRecipient.IsPaused()) {
      Advance(kStep);
      return false;
    }
    ++aInstance->mServing;
    const bool isDone = aCall(aInstance->mNode.GetJobRouter());
    --aInstance->mServing;
    if (!aInstance->mIsEnding) {
      return isDone;
    }
    // The caller gets no answer.
    if (aInstance->mServing == 0) {
      for (auto& it : mInstances) {
        if (it.get() == aInstance) {
          it.reset();
        }
      }
    }
    return false;
  }

  void Submit(Job& aJob)
  {
    const bool isStored = Serve(AnyInstance(), [&](JobRouter& aRouter) {
      return static_cast<bool>(aRouter.Submit(
        MakePolicy(), aJob.mId, aJob.mRequest, mClock.Now() + kCallerTimeout));
    });
    aJob.mIsAccepted = aJob.mIsAccepted || isStored;
  }

  void Cancel(Job& aJob)
  {
    aJob.mIsCancelling = true;
    bool isBeforeCopy = HasMissingCopy(aJob);
    const bool isStored = Serve(AnyInstance(), [&](JobRouter& aRouter) {
      const auto result =
        aRouter.Cancel(aJob.mId, mClock.Now() + kCallerTimeout);
      if (!result && result.error().mKind == base::ErrorKind::NotFound) {
        SetProblem("accepted " + aJob.mId + " is not found");
      }
      return static_cast<bool>(result);
    });
    if (!isStored || aJob.mCancelledAt) {
      return;
    }
    isBeforeCopy = isBeforeCopy || HasMissingCopy(aJob);
    mCoverage.mBeforeCopy += isBeforeCopy ? 1 : 0;
    mCoverage.mPartitionCuts +=
      std::any_of(mInstances.begin(),
                  mInstances.end(),
                  [&](const auto& aEntry) {
                    return aEntry != nullptr && !IsDisturbed(*aEntry) &&
                           (!aEntry->mLog.mUnreadableStreams.empty() ||
                            !aEntry->mLog.mAppendFates.empty());
                  })
        ? 1
        : 0;
    aJob.mCancelledAt = mClock.Now();
  }

  void AwaitAnswers()
  {
    for (int n = 0; n < 500 && mProblem.empty(); ++n) {
      bool isComplete = true;
      for (Job& it : mJobs) {
        if (!it.mIsAccepted) {
          Submit(it);
        } else if (it.mIsCancelling && !it.mCancelledAt) {
          Cancel(it);
        }
        isComplete = isComplete && it.mIsAccepted &&
                     (!it.mIsCancelling || it.mCancelledAt);
      }
      if (isComplete) {
        return;
      }
      Advance(kStep * 5);
    }
    SetProblem("a caller gets no answer");
  }

  // Rounds.

  static bool HasMissingCopy(const Job& aJob)
  {
    return std::any_of(
      aJob.mCopies.begin(), aJob.mCopies.end(), [](const auto& aEntry) {
        return !aEntry.second.mIsStored;
      });
  }

  bool IsDue(const Job& aJob, Trigger aTrigger) const
  {
    switch (aTrigger) {
      case Trigger::Time:
        return true;
      case Trigger::Record:
        return HasMissingCopy(aJob);
      case Trigger::Copy:
        return std::any_of(
          aJob.mCopies.begin(), aJob.mCopies.end(), [](const auto& aEntry) {
            return aEntry.second.mIsStored;
          });
      case Trigger::Run:
        return CountRuns(aJob.mId) > 0;
    }
    return true;
  }

  /// Cancels the job in a state that follows from the seed, with disruptions
  /// around the acknowledgement.
  void CancelAmidDisruptions(std::size_t aJob, bool aIsAtOnce)
  {
    const auto trigger =
      aIsAtOnce ? Trigger::Time : static_cast<Trigger>(Draw(4));
    const base::TimePoint end = mClock.Now() + kMaxTimeToTrigger;
    while (!IsDue(mJobs[aJob], trigger) && mClock.Now() < end) {
      Advance(kStep);
    }
    switch (trigger) {
      case Trigger::Time:
        Advance(DrawTime(30));
        break;
      case Trigger::Record:
        Advance(DrawTime(3));
        break;
      case Trigger::Copy:
        Advance(DrawTime(10));
        break;
      case Trigger::Run:
        Advance(DrawTime(60));
        break;
    }
    if (!mJobs[aJob].mIsAccepted) {
      return;
    }
    if (Draw(2) == 0) {
      Disrupt(mJobs[aJob]);
    }
    // Within the call of the caller or after it.
    for (int n = Draw(3); n > 0; --n) {
      mNetwork.After(DrawTime(25), [this, aJob] { Disrupt(mJobs[aJob]); });
    }
    for (int n = 0; n < 6 && !mJobs[aJob].mCancelledAt; ++n) {
      Cancel(mJobs[aJob]);
    }
    if (Draw(2) == 0) {
      Disrupt(mJobs[aJob]);
    }
  }

  /// Waits for the bound of the last cancellation, with some disruptions.
  void PassBound(const Job& aJob)
  {
    const base::TimePoint end =
      mClock.Now() + milliseconds(3000) + DrawTime(100);
    while (mClock.Now() < end && mProblem.empty()) {
      Advance(kStep * (1 + Draw(50)));
      if (Draw(3) == 0) {
        Disrupt(aJob);
      }
    }
  }

  /// The records that the leader of the home stores next are stored late, and
  /// it does not read what the others store meanwhile.
  void DelayRecords(int aHome)
  {
    LossyCellInstance* leader = LeaderOf(aHome);
    if (leader == nullptr) {
      return;
    }
    const std::string journal = JournalOf(aHome);
    leader->mLog.mAppendFates[journal] = CallFate::CallLost;
    leader->mFaultsEndAt = mClock.Now() + milliseconds(2000) + DrawTime(150);
    const auto at = [&](base::Duration aTime, const auto& aChange) {
      mNetwork.After(aTime, [this, aChange, name = leader->mName] {
        for (auto& it : mInstances) {
          if (it != nullptr && it->mName == name) {
            aChange(it->mLog);
          }
        }
      });
    };
    at(milliseconds(100) + DrawTime(20),
       [journal](LossyLog& aLog) { aLog.mUnreadableStreams.insert(journal); });
    at(milliseconds(300) + DrawTime(60),
       [journal](LossyLog& aLog) { aLog.mAppendFates.erase(journal); });
  }

  /// Jobs move because the home lacks a label or has less room than another
  /// cell.
  void CancelMovedJobs()
  {
    for (int n = 0; n < 3 && mProblem.empty(); ++n) {
      const int home = Draw(kDomains);
      const int other = (home + 1 + Draw(kDomains - 1)) % kDomains;
      const bool delaysRecord = Draw(3) == 0;
      if (delaysRecord) {
        DelayRecords(home);
      } else if (Draw(2) == 0) {
        Job next;
        next.mHome = home;
        CutOnePartitionFor(next);
      }
      const bool hasLabel = Draw(3) != 0;
      const std::size_t job =
        AddJob("moved",
               2 + Draw(3),
               kWorkerMilliProcessors / (hasLabel ? 16 : 4),
               home,
               hasLabel ? "d" + std::to_string(other) + "rack" : "");
      if (!hasLabel) {
        AddJob("kept", 4, kWorkerMilliProcessors / 4, home, "");
      }
      CancelAmidDisruptions(job, delaysRecord);
      PassBound(mJobs[job]);
    }
  }

  /// The workers of a domain end their runs and leave.
  void RemoveWorkers(int aDomain, int aCount)
  {
    for (int n = 0; n < aCount; ++n) {
      const std::string id = WorkerName(aDomain, n);
      mWorkers.at(id).FailRuns();
      SetRegistered(id, false);
    }
  }

  /// Most workers of a cell leave after its jobs have started; then those of a
  /// borrower may leave, too.
  void CancelLentJobs()
  {
    const int domain = Draw(kDomains);
    std::vector<std::size_t> jobs(3);
    for (auto& it : jobs) {
      it = AddJob("lent", 4, kWorkerMilliProcessors / 4, domain, "");
    }
    Advance(milliseconds(1500));
    const bool delaysRecords = Draw(3) == 0;
    if (!delaysRecords && Draw(2) == 0) {
      CutOnePartitionFor(mJobs[jobs.front()]);
    }
    RemoveWorkers(domain, 2 + Draw(2));
    if (delaysRecords) {
      Advance(milliseconds(300) + DrawTime(20));
      DelayRecords(mJobs[jobs.front()].mHome);
      Advance(milliseconds(100) + DrawTime(30));
    } else if (Draw(2) == 0) {
      Advance(milliseconds(2500));
      RemoveWorkers((domain + 1 + Draw(kDomains - 1)) % kDomains, 2);
      Advance(DrawTime(50));
    }
    // One job may go on.
    const std::size_t count = jobs.size() - static_cast<std::size_t>(Draw(2));
    for (std::size_t n = 0; n < count && mProblem.empty(); ++n) {
      CancelAmidDisruptions(jobs[n], delaysRecords);
      if (!delaysRecords && Draw(2) == 0) {
        PassBound(mJobs[jobs[n]]);
      }
    }
    PassBound(mJobs[jobs.front()]);
  }

  // Time.

  void Advance(base::Duration aTime)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(kStep);
      mNetwork.RunDue();
      UpdateInstances();
      for (auto& it : mInstances) {
        if (it != nullptr && !it->mIsEnding && !it->mRecipient.IsPaused()) {
          it->mNode.Tick();
        }
      }
      for (auto& [id, worker] : mWorkers) {
        worker.ExpireLease();
        // Lasting tasks that fail are started again.
        const int interval = HasLateRuns(worker) ? kLateRunSteps : kRunSteps;
        if (mIsFailingRuns && mNetwork.Draw(interval, "runs " + id) == 0) {
          worker.FailRuns();
        }
      }
      WatchJournals();
      CheckRuns();
    }
  }

  /// True if it runs tasks of a job whose last start was due.
  bool HasLateRuns(const LossyWorker& aWorker)
  {
    const auto& runs = aWorker.Runs();
    return std::any_of(runs.begin(), runs.end(), [&](const auto& aRun) {
      const Job* job = FindJob(aRun.mTask.mJobId);
      return job != nullptr && job->mCancelledAt &&
             mClock.Now() > *job->mCancelledAt + kMaxCancellationDelay;
    });
  }

  Job* FindJob(const std::string& aId)
  {
    const auto found =
      std::find_if(mJobs.begin(), mJobs.end(), [&](const Job& aJob) {
        return aJob.mId == aId;
      });
    return found != mJobs.end() ? &*found : nullptr;
  }

  /// Follows the moves, the loans and their copies.
  void WatchJournals()
  {
    for (int cell = 0; cell < kDomains; ++cell) {
      const auto& records = mLog.mLog.mStreams[JournalOf(cell)];
      std::size_t& next = mWatched[cell];
      for (; next < records.size(); ++next) {
        WatchRecord(cell, records[next]);
      }
      const auto leader = mLog.mLog.mEpochs[JournalOf(cell)];
      if (mEpochs[cell] != leader) {
        mEpochs[cell] = leader;
        CountTakeover(cell);
      }
    }
  }

  void WatchRecord(int aCell, const LogRecord& aRecord)
  {
    const auto key = jobs::ParseRecordKey(aRecord.mKey);
    Job* job = key && !aRecord.mValue.empty() ? FindJob(key->mId) : nullptr;
    if (job == nullptr) {
      return;
    }
    const auto copyKey = [&](int aTarget, const std::string& aPart) {
      return std::to_string(aTarget) + " " + aPart;
    };
    const auto isStored = [&](const std::string& aCopy) {
      const auto found = job->mCopies.find(aCopy);
      if (found != job->mCopies.end()) {
        found->second.mIsStored = true;
      }
    };
    switch (key->mKind) {
      case jobs::RecordKind::Cancellation:
        job->mCancellations.emplace(aCell, aRecord.mOffset);
        break;
      case jobs::RecordKind::Transfer: {
        const int target = jobs::DecodeTransfer(aRecord.mValue).value().mTarget;
        job->mCopies.emplace(copyKey(target, ""),
                             Copy{ aCell, target, false, aRecord.mOffset });
        break;
      }
      case jobs::RecordKind::Loan: {
        const int target = jobs::DecodeLoan(aRecord.mValue).value().mTarget;
        job->mCopies.emplace(
          copyKey(target, std::to_string(aCell) + "." + key->mPart),
          Copy{ aCell, target, true, aRecord.mOffset });
        break;
      }
      case jobs::RecordKind::Submission:
        isStored(copyKey(aCell, ""));
        break;
      case jobs::RecordKind::Borrowed:
        isStored(copyKey(aCell, key->mPart));
        break;
      default:
        break;
    }
  }

  void CountTakeover(int aCell)
  {
    for (const Job& it : mJobs) {
      const bool concerns = it.mHome == aCell ||
                            std::any_of(it.mCopies.begin(),
                                        it.mCopies.end(),
                                        [&](const auto& aEntry) {
                                          return aEntry.second.mTarget == aCell;
                                        });
      if (concerns && !it.mCopies.empty() && it.mCancelledAt &&
          mClock.Now() <= *it.mCancelledAt + kMaxCancellationDelay) {
        ++mCoverage.mTakeovers;
      }
    }
  }

  void CountCases()
  {
    for (const Job& it : mJobs) {
      if (!it.mCancelledAt) {
        continue;
      }
      ++mCoverage.mCancelled;
      for (const auto& [key, copy] : it.mCopies) {
        ++(copy.mIsLoan ? mCoverage.mLent : mCoverage.mMoved);
        mCoverage.mLentOn += copy.mIsLoan && copy.mFrom != it.mHome ? 1 : 0;
        const auto cancelled = it.mCancellations.find(copy.mFrom);
        if (cancelled != it.mCancellations.end() &&
            cancelled->second < copy.mOffset) {
          ++mCoverage.mBeforeRecord;
        }
      }
    }
  }

  // Checks.

  void SetProblem(const std::string& aProblem)
  {
    if (mProblem.empty()) {
      mProblem = aProblem + " at " +
                 std::to_string(base::ToMicros(mClock.Now()) / 1000) + " ms";
    }
  }

  bool IsDisturbed(const LossyCellInstance& aInstance) const
  {
    return aInstance.mDisturbedAt &&
           mClock.Now() <= *aInstance.mDisturbedAt + kContactTime;
  }

  /// Judges a start when it is sent, so that calls that the network carries out
  /// late do not count. The bound holds for instances in touch (RULES): not for
  /// one that was paused, cut off from the whole log or had its calls carried
  /// out late within contact_ms, but for one that is cut off from a partition.
  void CheckStart(const LossyCellInstance& aInstance,
                  const dispatch::StartCall& aCall)
  {
    const Job* job = FindJob(aCall.mTask.mJobId);
    if (job == nullptr || !job->mCancelledAt) {
      return;
    }
    const auto age = std::chrono::duration_cast<milliseconds>(
      mClock.Now() - *job->mCancelledAt);
    if (age <= kMaxCancellationDelay) {
      ++mCoverage.mStartsInBound;
    } else if (!IsDisturbed(aInstance)) {
      SetProblem(aInstance.mName + " starts " + ToText(aCall.mTask) + " " +
                 std::to_string(age.count()) + " ms after the cancellation");
    }
  }

  int CountRuns(const std::string& aJobId) const
  {
    int n = 0;
    for (const auto& [id, worker] : mWorkers) {
      const auto& runs = worker.Runs();
      n += static_cast<int>(
        std::count_if(runs.begin(), runs.end(), [&](const auto& aRun) {
          return aRun.mTask.mJobId == aJobId;
        }));
    }
    return n;
  }

  void CheckRuns()
  {
    std::set<std::string> running;
    for (const auto& [id, worker] : mWorkers) {
      for (const auto& it : worker.Runs()) {
        const std::string task = ToText(it.mTask);
        if (!running.insert(task).second) {
          SetProblem(task + " runs twice");
        }
        const Job* job = FindJob(it.mTask.mJobId);
        if (job == nullptr) {
          SetProblem(task + " was not submitted");
        } else if (job->mCancelledAt &&
                   mClock.Now() > std::max(*job->mCancelledAt, mDisruptedAt) +
                                    kMaxTimeToStop) {
          SetProblem(task + " of a cancelled job runs");
        }
      }
    }
  }

  void CheckOpenJobs()
  {
    for (const Job& it : mJobs) {
      if (it.mIsCancelling) {
        continue;
      }
      const int runs = CountRuns(it.mId);
      if (runs != it.mRequest.mSteps.front().mCount) {
        SetProblem(it.mId + " has " + std::to_string(runs) + " runs");
      }
      const bool isKnown = Serve(AnyInstance(), [&](JobRouter& aRouter) {
        return static_cast<bool>(
          aRouter.StateOf(it.mId, mClock.Now() + kCallerTimeout));
      });
      if (!isKnown) {
        SetProblem("accepted " + it.mId + " is not known");
      }
    }
  }

  Coverage& mCoverage;
  std::unique_ptr<base::Random> mRandom;
  base::ManualClock mClock;
  SimulatedWallClock mWallClock{ mClock };
  LossyNetwork mNetwork;
  LossyLogState mLog;
  LossyWorkers mWorkers;
  std::map<std::string, bool> mRegistered;
  cells::CellMap mCellMap;
  std::vector<std::unique_ptr<LossyCellInstance>> mInstances;
  /// When an instance that has ended starts again, by its number.
  std::vector<base::TimePoint> mBackAt;
  int mStartCount = 0;
  std::vector<Job> mJobs;
  /// Next offset to watch by cell.
  std::map<int, std::size_t> mWatched;
  /// Epochs of the leaders by cell.
  std::map<int, std::int64_t> mEpochs;
  bool mIsFailingRuns = false;
  /// Last time of any disruption.
  base::TimePoint mDisruptedAt;
  std::string mProblem;
};

} // namespace

class CancellationCellsRandomTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CancellationCellsRandomTest);
  CPPUNIT_TEST(StopsCancelledJobsThatSeveralCellsRun);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against tasks of a moved or lent job that run on, or start later
  // than the bound after the cancellation of the job was acknowledged
  // (UNASKED).
  void StopsCancelledJobsThatSeveralCellsRun()
  {
    const int first =
      NumberFromEnvironment("SKYLARKHILL_CANCELLATION_FIRST_SEED", 1);
    const int count =
      NumberFromEnvironment("SKYLARKHILL_CANCELLATION_SEEDS", kSeeds);
    Coverage coverage;
    for (int seed = first; seed < first + count; ++seed) {
      CancellationCellsSimulation simulation(seed, coverage);
      const std::string problem = simulation.Run();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "seed " + std::to_string(seed), std::string(), problem);
    }
    // Few seeds need not have all cases.
    if (count >= kSeeds) {
      CPPUNIT_ASSERT_MESSAGE(ToText(coverage), IsSufficient(coverage));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CancellationCellsRandomTest);

} // namespace skylarkhill::node
