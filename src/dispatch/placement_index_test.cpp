#include "skylarkhill/base/random.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <msgpack.hpp>

#include <functional>
#include <iterator>
#include <list>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "job_state.hpp"
#include "placement.hpp"
#include "placement_index.hpp"
#include "state.hpp"

namespace skylarkhill::dispatch {

namespace {

constexpr std::int64_t kGigabyte = std::int64_t{ 1 } << 30;
constexpr int kImages = 4;

/// A small site with random workers, on which random tasks start and end.
class RandomSite
{
public:
  /// `aIsColocated` is true if most tasks are services or backfill.
  RandomSite(std::uint64_t aSeed, bool aIsColocated)
    : mRandom(base::CreateSeededRandom(aSeed))
    , mIsColocated(aIsColocated)
  {
    SetRandomEstimates();
    const int workers = 2 + Below(14);
    for (int n = 0; n < workers; ++n) {
      auto& worker = mWorkers["w" + std::to_string(n)];
      worker = std::make_unique<WorkerState>();
      worker->mEntry.mId = "w" + std::to_string(n);
      SetRandomEntry(*worker);
      worker->mHasReported = Below(8) != 0;
      worker->mLastReportAt = mNow;
      mIndex.Update(*worker);
    }
  }

  /// Changes one worker or the time as the dispatcher would.
  void ChangeWorker()
  {
    WorkerState& worker = AnyWorker();
    switch (Below(5)) {
      case 0:
        SetRandomEntry(worker);
        mIndex.Update(worker);
        mIndex.OnAvailable(worker);
        break;
      case 1:
        ChangeFailureScore(worker, 1.0, mNow);
        break;
      case 2:
        worker.mHasReported = true;
        worker.mLastReportAt = mNow;
        mIndex.OnAvailable(worker);
        break;
      case 3:
        worker.mNoStartsUntil = mNow + std::chrono::milliseconds(300);
        break;
      default:
        mNow += std::chrono::milliseconds(Below(200));
        mIndex.ForgetFailures();
    }
  }

  void EndAnyRun()
  {
    if (mPlaced.empty()) {
      return;
    }
    const auto it =
      std::next(mPlaced.begin(), Below(static_cast<int>(mPlaced.size())));
    RunState& run = **it;
    mPlaced.erase(it);
    WorkerState& worker = *run.mWorker;
    const jobs::Step& step = *run.mTask->mStep->mSpec;
    worker.mRuns.erase(&run);
    worker.mUsed -= ReservedResources(step);
    --run.mTask->mStep->mTasksPerWorker[&worker];
    run.mTask->mRuns.clear();
    mIndex.Update(worker);
    mIndex.OnAvailable(worker);
  }

  /// Adds a task of a new step or of one that exists.
  TaskState& AddTask()
  {
    StepState& step =
      mSteps.empty() || Below(2) == 0
        ? AddStep()
        : *std::next(mSteps.begin(), Below(static_cast<int>(mSteps.size())));
    TaskState& task = mTasks.emplace_back();
    task.mStep = &step;
    if (Below(6) == 0) {
      task.mAvoidedWorkerId = AnyWorker().mEntry.mId;
    }
    return task;
  }

  /// A task that has a run, for which a duplicate may be placed.
  TaskState* AnyRunningTask()
  {
    return mPlaced.empty()
             ? nullptr
             : (*std::next(mPlaced.begin(),
                           Below(static_cast<int>(mPlaced.size()))))
                 ->mTask;
  }

  void Place(TaskState& aTask, WorkerState& aWorker)
  {
    const jobs::Step& step = *aTask.mStep->mSpec;
    RunState& run = aTask.mRuns.emplace_back();
    run.mTask = &aTask;
    run.mWorker = &aWorker;
    aWorker.mRuns.insert(&run);
    aWorker.mUsed += ReservedResources(step);
    ++aTask.mStep->mTasksPerWorker[&aWorker];
    mPlaced.push_back(&run);
    mIndex.Update(aWorker);
  }

  WorkerState* Choose(const TaskState& aTask)
  {
    return mIndex.Choose(aTask, mModel, mNow);
  }

  /// Considers every worker.
  WorkerState* Scan(const TaskState& aTask) const
  {
    using Cost = std::tuple<double, std::size_t, std::string>;
    WorkerState* best = nullptr;
    Cost bestCost;
    for (const auto& [id, worker] : mWorkers) {
      const StepState& step = *aTask.mStep;
      CPPUNIT_ASSERT_EQUAL(EstimateUnusedProcessors(*worker),
                           worker->mUnusedProcessors);
      if (!IsCompatible(step, *worker, mNow) || !HasRoom(step, *worker, mNow) ||
          RunsOn(aTask, *worker) ||
          (step.mSpec->mIsBackfill &&
           WouldExceedMaxTailRatio(step, *worker, mModel))) {
        continue;
      }
      const Cost cost{ PlacementCost(aTask, *worker, mModel, mNow),
                       std::hash<std::string>()(id),
                       id };
      if (best == nullptr || cost < bestCost) {
        best = worker.get();
        bestCost = cost;
      }
    }
    return best;
  }

  int Below(int aLimit) { return static_cast<int>(mRandom->Below(aLimit)); }

private:
  /// Makes the interference depend on the images.
  void SetRandomEstimates()
  {
    std::vector<std::tuple<std::string, std::string, double, double>> rows;
    for (int service = 0; service < kImages; ++service) {
      for (int backfill = 0; backfill < kImages; ++backfill) {
        rows.emplace_back("image-" + std::to_string(service),
                          "image-" + std::to_string(backfill),
                          Below(2) * 2.5,
                          0.06);
      }
    }
    msgpack::sbuffer buf;
    msgpack::pack(buf, rows);
    const auto imported = mModel.Import({ buf.data(), buf.size() });
    CPPUNIT_ASSERT(imported.has_value());
  }

  void SetRandomEntry(WorkerState& aWorker)
  {
    WorkerEntry& entry = aWorker.mEntry;
    entry.mPool = Below(6) == 0 ? "other" : "pool";
    entry.mCapacity = { std::int64_t{ 4000 } * (1 + Below(4)),
                        kGigabyte * (4 + Below(12)),
                        Below(3) };
    entry.mLabels = { Below(2) == 0 ? "a" : "b",
                      "rack-" + std::to_string(Below(3)) };
    entry.mIsDraining = Below(8) == 0;
  }

  WorkerState& AnyWorker()
  {
    return *mWorkers.at(
      "w" + std::to_string(Below(static_cast<int>(mWorkers.size()))));
  }

  StepState& AddStep()
  {
    jobs::Step& spec = mSpecs.emplace_back();
    spec.mResources = { std::int64_t{ 500 } * (1 + Below(16)),
                        kGigabyte * (mIsColocated ? 1 : 1 + Below(6)),
                        Below(5) == 0 ? 1 : 0 };
    const int kind = Below(mIsColocated ? 3 : 5);
    spec.mIsService = kind == 0;
    spec.mIsBackfill = kind == 1 || (kind == 2 && mIsColocated);
    spec.mTailTargetMs = spec.mIsService ? 100 : 0;
    spec.mRequiredLabel = Below(4) == 0 ? "a" : "";
    spec.mPreferredRack = Below(4) == 0 ? "rack-1" : "";
    spec.mMaxPerWorker = Below(5) == 0 ? 1 : 0;
    ScheduledJob& job = mJobs.emplace_back();
    job.mSubmission.mPolicy.mPool = "pool";
    job.mSubmission.mPolicy.mNeedsTicket = Below(6) == 0;
    StepState& step = mSteps.emplace_back();
    step.mJob = &job;
    step.mSpec = &spec;
    step.mImage = mModel.Intern("image-" + std::to_string(Below(kImages)));
    step.mIsUrgent = Below(3) == 0;
    // Some services leave room for urgent backfill only.
    if (Below(3) != 0) {
      step.mBaseline = Below(2) == 0 ? 0.7 : 0.1 * Below(8);
    }
    for (const auto& it : mWorkers) {
      if (Below(3) == 0) {
        step.mTickets[it.first] = { "ticket", mNow + std::chrono::hours(1) };
      }
    }
    return step;
  }

  std::unique_ptr<base::Random> mRandom;
  const bool mIsColocated;
  base::TimePoint mNow = base::FromMicros(100'000'000);
  ColocationModel mModel;
  WorkerMap mWorkers;
  PlacementIndex mIndex;
  std::list<jobs::Step> mSpecs;
  std::list<ScheduledJob> mJobs;
  std::list<StepState> mSteps;
  std::list<TaskState> mTasks;
  std::vector<RunState*> mPlaced;
};

} // namespace

class PlacementIndexTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlacementIndexTest);
  CPPUNIT_TEST(ChoosesTheSameWorkerAsAFullScan);
  CPPUNIT_TEST_SUITE_END();

public:
  // An early end of the search, or a failed demand that is remembered for too
  // long, must not change where a task goes or whether it starts.
  void ChoosesTheSameWorkerAsAFullScan()
  {
    constexpr std::uint64_t kSeeds = 1000;
    constexpr int kChoices = 300;
    int found = 0;
    int notFound = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RandomSite site(seed, seed % 2 == 0);
      for (int n = 0; n < kChoices; ++n) {
        TaskState* running =
          site.Below(10) == 0 ? site.AnyRunningTask() : nullptr;
        TaskState& task = running != nullptr ? *running : site.AddTask();
        WorkerState* expected = site.Scan(task);
        WorkerState* chosen = site.Choose(task);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          "seed " + std::to_string(seed) + ", choice " + std::to_string(n),
          expected != nullptr ? expected->mEntry.mId : std::string("none"),
          chosen != nullptr ? chosen->mEntry.mId : std::string("none"));
        if (chosen != nullptr && running == nullptr) {
          site.Place(task, *chosen);
        }
        found += chosen != nullptr ? 1 : 0;
        notFound += chosen == nullptr ? 1 : 0;
        if (site.Below(4) == 0) {
          site.EndAnyRun();
        }
        if (site.Below(6) == 0) {
          site.ChangeWorker();
        }
      }
    }
    CPPUNIT_ASSERT(found > 1000);
    CPPUNIT_ASSERT(notFound > 1000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementIndexTest);

} // namespace skylarkhill::dispatch
