#include "skylarkhill/base/msgpack.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <limits>
#include <list>
#include <tuple>
#include <utility>
#include <vector>

#include "colocation_model.hpp"
#include "pacing.hpp"
#include "placement.hpp"
#include "placement_index.hpp"
#include "state.hpp"

namespace skylarkhill::dispatch {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

/// A row of an exported model.
using EstimateRow = std::tuple<std::string, std::string, double, double>;

/// Steps, runs and workers for tests without a dispatcher.
class PlacementFixture
{
public:
  TaskState& AddTask(const jobs::Step& aSpec, int aImage)
  {
    mSpecs.push_back(aSpec);
    mJobs.emplace_back();
    mJobs.back().mSubmission.mPolicy.mPool = "pool";
    mSteps.emplace_back();
    StepState& step = mSteps.back();
    step.mJob = &mJobs.back();
    step.mSpec = &mSpecs.back();
    step.mImage = aImage;
    mTasks.emplace_back();
    mTasks.back().mStep = &step;
    return mTasks.back();
  }

  /// Adds a step with `aCount` tasks that share its load.
  StepState& AddStep(const jobs::Step& aSpec, int aImage, std::size_t aCount)
  {
    StepState& step = *AddTask(aSpec, aImage).mStep;
    step.mTasks.resize(aCount);
    for (TaskState& it : step.mTasks) {
      it.mStep = &step;
    }
    return step;
  }

  WorkerState& AddWorker(const std::string& aId)
  {
    auto& worker = mWorkers[aId];
    worker = std::make_unique<WorkerState>();
    worker->mEntry.mId = aId;
    worker->mEntry.mPool = "pool";
    worker->mEntry.mCapacity = { 16000, std::int64_t{ 1 } << 36, 0 };
    worker->mHasReported = true;
    worker->mLastReportAt = mNow;
    return *worker;
  }

  RunState& Run(TaskState& aTask,
                WorkerState& aWorker,
                std::int64_t aTailLatencyOrUse)
  {
    RunState& run = aTask.mRuns.emplace_back();
    run.mTask = &aTask;
    run.mWorker = &aWorker;
    run.mIsConfirmed = true;
    run.mConfirmedAt = mNow - std::chrono::seconds(5);
    run.mTailLatencyOrUse = aTailLatencyOrUse;
    aWorker.mRuns.insert(&run);
    const jobs::Step& step = *aTask.mStep->mSpec;
    if (!step.mIsBackfill) {
      aWorker.mUsed += step.mResources;
    }
    return run;
  }

  WorkerState* Choose(const TaskState& aTask) const
  {
    PlacementIndex index;
    for (const auto& it : mWorkers) {
      index.Update(*it.second);
    }
    return index.Choose(aTask, mModel, mNow);
  }

  PlacementIndex::PacedChoice ChoosePaced(const TaskState& aTask,
                                          bool aMayShare = false) const
  {
    PlacementIndex index;
    for (const auto& it : mWorkers) {
      index.Update(*it.second);
    }
    return index.ChoosePaced(aTask, mModel, aMayShare, mNow);
  }

  base::TimePoint mNow = base::FromMicros(100'000'000);
  ColocationModel mModel;
  WorkerMap mWorkers;

private:
  std::list<jobs::Step> mSpecs;
  std::list<ScheduledJob> mJobs;
  std::list<StepState> mSteps;
  std::list<TaskState> mTasks;
};

jobs::Step
ServiceStep()
{
  jobs::Step step;
  step.mIsService = true;
  step.mTailTargetMs = 100;
  step.mResources = { 3000, 1 << 20, 0 };
  return step;
}

jobs::Step
BackfillStep()
{
  jobs::Step step;
  step.mIsBackfill = true;
  step.mResources = { 1600, 1 << 20, 0 };
  return step;
}

} // namespace

class ColocationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ColocationTest);
  CPPUNIT_TEST(LearnsWhichImagesInterfere);
  CPPUNIT_TEST(LearnsPairsUnderVaryingServiceLoad);
  CPPUNIT_TEST(EstimatesTheBaselineAfterBackfillHasEnded);
  CPPUNIT_TEST(SlowsDownOnlyInterferingBackfill);
  CPPUNIT_TEST(SlowsDownTheMostInterferingImageFirst);
  CPPUNIT_TEST(PlacesInterferingBackfillWithTolerantServices);
  CPPUNIT_TEST(CountsBackfillThatIsNotReportedYet);
  CPPUNIT_TEST(GroupsServiceTasksOfOneImage);
  CPPUNIT_TEST(AvoidsAWorkerWithRecentFailures);
  CPPUNIT_TEST(MovesBackfillBeforeTheTailViolationLimit);
  CPPUNIT_TEST(MeasuresAViolationFromTheLastHealthyReport);
  CPPUNIT_TEST(ExportsAndImportsEstimates);
  CPPUNIT_TEST(ExportsTheLatestPairsThatFit);
  CPPUNIT_TEST(AppliesAStricterTailLimitToNonUrgentTasks);
  CPPUNIT_TEST(StartsBackfillBelowFullPaceWithinTheTailLimit);
  CPPUNIT_TEST(StartsOneRunBelowFullPaceAtATime);
  CPPUNIT_TEST(SharesAWorkerAmongStartsThatHaveWaitedForLonger);
  CPPUNIT_TEST(StartsBelowFullPaceYieldToOtherBackfill);
  CPPUNIT_TEST(LowersStartsBelowFullPaceInProportion);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mFixture = std::make_unique<PlacementFixture>();
    mSensitive = mFixture->mModel.Intern("sensitive");
    mTolerant = mFixture->mModel.Intern("tolerant");
    mInterfering = mFixture->mModel.Intern("loud");
    mMostInterfering = mFixture->mModel.Intern("louder");
    mHarmless = mFixture->mModel.Intern("quiet");
  }

  void LearnsWhichImagesInterfere()
  {
    TrainModel();
    CPPUNIT_ASSERT(mFixture->mModel.ExpectedInterference(
                     mSensitive, mInterfering, 0.1) > 0.15);
    CPPUNIT_ASSERT(
      mFixture->mModel.ExpectedInterference(mSensitive, mHarmless, 0.1) < 0.08);
    CPPUNIT_ASSERT(mFixture->mModel.ExpectedInterference(
                     mTolerant, mInterfering, 0.1) < 0.08);
  }

  // The load of a service varies by half while some of its tasks have colocated
  // backfill. The variation must not be attributed to the backfill, or hardly
  // any worker would be eligible for it.
  void LearnsPairsUnderVaryingServiceLoad()
  {
    StepState& service = mFixture->AddStep(ServiceStep(), mSensitive, 3);
    WorkerState& alone = mFixture->AddWorker("a");
    WorkerState& withInterfering = mFixture->AddWorker("b");
    WorkerState& withHarmless = mFixture->AddWorker("c");
    const std::vector<std::pair<WorkerState*, Saturation>> placements = {
      { &alone, 0.0 }, { &withInterfering, 0.2 }, { &withHarmless, 0.01 }
    };
    for (std::size_t n = 0; n < placements.size(); ++n) {
      mFixture->Run(service.mTasks[n], *placements[n].first, 50);
    }
    mFixture->Run(
      mFixture->AddTask(BackfillStep(), mInterfering), withInterfering, 1600);
    mFixture->Run(
      mFixture->AddTask(BackfillStep(), mHarmless), withHarmless, 1600);
    for (int n = 0; n < 120; ++n) {
      const Saturation load = 0.45 + 0.22 * std::sin(n * 0.157);
      for (std::size_t index = 0; index < placements.size(); ++index) {
        service.mTasks[index].mRuns.front().mTailLatencyOrUse =
          TailAt(load + placements[index].second);
        mFixture->mModel.Update(*placements[index].first, mFixture->mNow);
      }
      mFixture->mNow += milliseconds(500);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      0.2,
      mFixture->mModel.ExpectedInterference(mSensitive, mInterfering, 0.1),
      0.04);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      0.01,
      mFixture->mModel.ExpectedInterference(mSensitive, mHarmless, 0.1),
      0.02);
  }

  // Tail latencies lag behind processor use: interference by backfill that has
  // just ended must not be counted as load of the service.
  void EstimatesTheBaselineAfterBackfillHasEnded()
  {
    TrainModel();
    StepState& service = mFixture->AddStep(ServiceStep(), mSensitive, 1);
    WorkerState& worker = mFixture->AddWorker("w");
    const Saturation interference =
      mFixture->mModel.ExpectedInterference(mSensitive, mInterfering, 0.1);
    RunState& run =
      mFixture->Run(service.mTasks.front(), worker, TailAt(0.3 + interference));
    RunState& interfering = mFixture->Run(
      mFixture->AddTask(BackfillStep(), mInterfering), worker, 1600);
    mFixture->mModel.Update(worker, mFixture->mNow);
    mFixture->mModel.Update(worker, mFixture->mNow);
    worker.mRuns.erase(&interfering);
    run.mTailLatencyOrUse = TailAt(0.3 + interference / 2);
    mFixture->mModel.Update(worker, mFixture->mNow);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, BaselineOf(run), 0.05);
  }

  // Backfill of several images runs with one sensitive service. Only the
  // interfering image may be slowed down.
  void SlowsDownOnlyInterferingBackfill()
  {
    TrainModel();
    WorkerState& worker = mFixture->AddWorker("w");
    mFixture->Run(mFixture->AddTask(ServiceStep(), mSensitive), worker, 95);
    RunState& interfering = mFixture->Run(
      mFixture->AddTask(BackfillStep(), mInterfering), worker, 1600);
    RunState& harmless =
      mFixture->Run(mFixture->AddTask(BackfillStep(), mHarmless), worker, 1600);
    AdjustPace(
      worker, mFixture->mModel, std::chrono::seconds(4), mFixture->mNow);
    CPPUNIT_ASSERT(interfering.mTargetPace < 100);
    CPPUNIT_ASSERT_EQUAL(100, harmless.mTargetPace);
  }

  // Two images interfere. If slowing down the worse one is sufficient, the
  // other one must keep its pace.
  void SlowsDownTheMostInterferingImageFirst()
  {
    WorkerState& worker = mFixture->AddWorker("w");
    StepState& service = mFixture->AddStep(ServiceStep(), mSensitive, 1);
    mFixture->Run(service.mTasks.front(), worker, TailAt(0.7));
    RunState& interfering = mFixture->Run(
      mFixture->AddTask(BackfillStep(), mInterfering), worker, 1600);
    RunState& mostInterfering = mFixture->Run(
      mFixture->AddTask(BackfillStep(), mMostInterfering), worker, 1600);
    TrainPair(mInterfering, 1.0);
    TrainPair(mMostInterfering, 2.0);
    service.mBaseline = 0.6;
    AdjustPace(
      worker, mFixture->mModel, std::chrono::seconds(4), mFixture->mNow);
    CPPUNIT_ASSERT_EQUAL(100, interfering.mTargetPace);
    CPPUNIT_ASSERT(mostInterfering.mTargetPace < 100);
    CPPUNIT_ASSERT(mostInterfering.mTargetPace > 0);
  }

  void PlacesInterferingBackfillWithTolerantServices()
  {
    TrainModel();
    WorkerState& sensitive = mFixture->AddWorker("a");
    WorkerState& tolerant = mFixture->AddWorker("b");
    mFixture->Run(mFixture->AddTask(ServiceStep(), mSensitive), sensitive, 60);
    mFixture->Run(mFixture->AddTask(ServiceStep(), mTolerant), tolerant, 60);
    for (int n = 0; n < 3; ++n) {
      mFixture->Run(
        mFixture->AddTask(BackfillStep(), mHarmless), tolerant, 1600);
    }
    CPPUNIT_ASSERT_EQUAL(
      &tolerant,
      mFixture->Choose(mFixture->AddTask(BackfillStep(), mInterfering)));
  }

  // The tasks of a wide step arrive together and must not all be placed by a
  // tail latency that does not include them yet.
  void CountsBackfillThatIsNotReportedYet()
  {
    TrainModel();
    WorkerState& worker = mFixture->AddWorker("w");
    mFixture->Run(mFixture->AddTask(ServiceStep(), mSensitive), worker, 45);
    int placed = 0;
    while (placed < 6) {
      TaskState& task = mFixture->AddTask(BackfillStep(), mInterfering);
      if (mFixture->Choose(task) == nullptr) {
        break;
      }
      mFixture->Run(task, worker, -1);
      ++placed;
    }
    CPPUNIT_ASSERT(placed <= 2);
  }

  // Service tasks are placed on workers with service tasks of the same image,
  // which leaves more workers usable for each backfill image.
  void GroupsServiceTasksOfOneImage()
  {
    WorkerState& first = mFixture->AddWorker("a");
    WorkerState& second = mFixture->AddWorker("b");
    mFixture->Run(mFixture->AddTask(ServiceStep(), mSensitive), first, 50);
    mFixture->Run(mFixture->AddTask(ServiceStep(), mSensitive), first, 50);
    mFixture->Run(mFixture->AddTask(ServiceStep(), mTolerant), second, 50);
    CPPUNIT_ASSERT_EQUAL(
      &second, mFixture->Choose(mFixture->AddTask(ServiceStep(), mTolerant)));
    CPPUNIT_ASSERT_EQUAL(
      &first, mFixture->Choose(mFixture->AddTask(ServiceStep(), mSensitive)));
  }

  // A worker on which every run fails would otherwise attract tasks, because it
  // always has the most unused capacity.
  void AvoidsAWorkerWithRecentFailures()
  {
    WorkerState& failing = mFixture->AddWorker("a");
    WorkerState& healthy = mFixture->AddWorker("b");
    ChangeFailureScore(failing, 1.0, mFixture->mNow);
    for (int n = 0; n < 5; ++n) {
      mFixture->Run(
        mFixture->AddTask(BackfillStep(), mHarmless), healthy, 1600);
    }
    const TaskState& task = mFixture->AddTask(BackfillStep(), mHarmless);
    CPPUNIT_ASSERT_EQUAL(&healthy, mFixture->Choose(task));
    mFixture->mNow += std::chrono::seconds(10);
    failing.mLastReportAt = mFixture->mNow;
    healthy.mLastReportAt = mFixture->mNow;
    CPPUNIT_ASSERT_EQUAL(&failing, mFixture->Choose(task));
  }

  // Backfill must be paused and moved even if the model does not expect it to
  // interfere with the service above its target.
  void MovesBackfillBeforeTheTailViolationLimit()
  {
    WorkerState& worker = mFixture->AddWorker("w");
    mFixture->Run(mFixture->AddTask(ServiceStep(), mTolerant), worker, 120);
    RunState& backfill =
      mFixture->Run(mFixture->AddTask(BackfillStep(), mHarmless), worker, 1600);
    const auto limit = std::chrono::seconds(4);
    for (int n = 0; n < 6; ++n) {
      AdjustPace(worker, mFixture->mModel, limit, mFixture->mNow);
      mFixture->mNow += milliseconds(300);
    }
    CPPUNIT_ASSERT_EQUAL(0, backfill.mTargetPace);
    mFixture->mNow += milliseconds(1000);
    AdjustPace(worker, mFixture->mModel, limit, mFixture->mNow);
    CPPUNIT_ASSERT(backfill.mMustMove);
  }

  // Backfill is placed on a worker while a long poll is pending. The violation
  // must be timed from the previous report, not from the delayed one.
  void MeasuresAViolationFromTheLastHealthyReport()
  {
    WorkerState& worker = mFixture->AddWorker("w");
    RunState& service =
      mFixture->Run(mFixture->AddTask(ServiceStep(), mTolerant), worker, 45);
    const auto limit = std::chrono::seconds(4);
    AdjustPace(worker, mFixture->mModel, limit, mFixture->mNow);
    RunState& backfill =
      mFixture->Run(mFixture->AddTask(BackfillStep(), mHarmless), worker, 1600);
    service.mTailLatencyOrUse = 150;
    mFixture->mNow += milliseconds(1600);
    AdjustPace(worker, mFixture->mModel, limit, mFixture->mNow);
    CPPUNIT_ASSERT_EQUAL(0, backfill.mTargetPace);
  }

  // Otherwise services would suffer interference again after each failover,
  // while the new leader learns the same pairs.
  void ExportsAndImportsEstimates()
  {
    TrainModel();
    ColocationModel successor;
    // Image indexes differ between processes.
    const int interfering = successor.Intern("loud");
    const int sensitive = successor.Intern("sensitive");
    CPPUNIT_ASSERT(
      successor.Import(mFixture->mModel.Export(kUnlimited).mBytes));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      mFixture->mModel.ExpectedInterference(mSensitive, mInterfering, 0.1),
      successor.ExpectedInterference(sensitive, interfering, 0.1),
      1e-9);
    CPPUNIT_ASSERT(!successor.Import("garbage"));
  }

  // Otherwise a leader that knows many images writes a record that the log
  // refuses.
  void ExportsTheLatestPairsThatFit()
  {
    constexpr int kImages = 40;
    constexpr std::size_t kMaxBytes = 4096;
    std::vector<std::string> names;
    names.reserve(kImages);
    for (int n = 0; n < kImages; ++n) {
      names.push_back("registry.example/image-" + std::to_string(n));
    }
    ColocationModel model;
    std::vector<EstimateRow> rows;
    for (const auto& service : names) {
      for (const auto& backfill : names) {
        rows.emplace_back(service, backfill, 2.0, 0.1);
      }
    }
    CPPUNIT_ASSERT(model.Import(base::PackMsgpack(rows)));
    const auto record = model.Export(kMaxBytes);
    CPPUNIT_ASSERT(record.mBytes.size() <= kMaxBytes);
    CPPUNIT_ASSERT(record.mBytes.size() > kMaxBytes / 2);
    ColocationModel successor;
    CPPUNIT_ASSERT(successor.Import(record.mBytes));
    // The first rows are the latest ones.
    const auto interference = [&](const std::string& aImage) {
      const int image = successor.Intern(aImage);
      return successor.ExpectedInterference(image, image, 0.1);
    };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, interference(names.front()), 1e-9);
    CPPUNIT_ASSERT(interference(names.back()) < 0.1);
    CPPUNIT_ASSERT_EQUAL(successor.Export(kMaxBytes).mBytes, record.mBytes);
    CPPUNIT_ASSERT(record.mOmittedPairs > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         model.Export(kUnlimited).mOmittedPairs);
  }

  // Batch work with time to spare should wait rather than interfere with a
  // service near its target.
  void AppliesAStricterTailLimitToNonUrgentTasks()
  {
    TrainModel();
    int placedWithTime = 0;
    int placedUrgently = 0;
    for (int tail = 30; tail < 80; ++tail) {
      mFixture->mWorkers.clear();
      WorkerState& worker = mFixture->AddWorker("w");
      RunState& service = mFixture->Run(
        mFixture->AddTask(ServiceStep(), mSensitive), worker, tail);
      service.mTask->mStep->mBaseline = SaturationOf(tail / 100.0);
      TaskState& task = mFixture->AddTask(BackfillStep(), mInterfering);
      placedWithTime += mFixture->Choose(task) != nullptr ? 1 : 0;
      task.mStep->mIsUrgent = true;
      placedUrgently += mFixture->Choose(task) != nullptr ? 1 : 0;
    }
    CPPUNIT_ASSERT(placedWithTime > 0);
    CPPUNIT_ASSERT(placedWithTime < placedUrgently);
  }

  // Otherwise overdue backfill brings services above their targets, or holds
  // memory without any progress.
  void StartsBackfillBelowFullPaceWithinTheTailLimit()
  {
    TrainModel();
    int paced = 0;
    int refused = 0;
    for (int tail = 30; tail < 80; ++tail) {
      mFixture->mWorkers.clear();
      WorkerState& worker = mFixture->AddWorker("w");
      RunState& service = mFixture->Run(
        mFixture->AddTask(ServiceStep(), mSensitive), worker, tail);
      service.mTask->mStep->mBaseline = SaturationOf(tail / 100.0);
      TaskState& task = mFixture->AddTask(BackfillStep(), mInterfering);
      if (mFixture->Choose(task) != nullptr) {
        continue;
      }
      const auto choice = mFixture->ChoosePaced(task);
      if (choice.mWorker == nullptr) {
        ++refused;
        continue;
      }
      ++paced;
      CPPUNIT_ASSERT(choice.mPace >= 10 && choice.mPace < 100);
      CPPUNIT_ASSERT(
        BaselineOf(service) +
          mFixture->mModel.CautiousInterference(mSensitive, mInterfering, 0.1) *
            choice.mPace / 100.0 <=
        SaturationOf(0.7));
    }
    CPPUNIT_ASSERT(paced > 0);
    CPPUNIT_ASSERT(refused > 0);
  }

  // Otherwise the runs on one worker get too little to end.
  void StartsOneRunBelowFullPaceAtATime()
  {
    TrainModel();
    WorkerState& worker = mFixture->AddWorker("w");
    RunState& service =
      mFixture->Run(mFixture->AddTask(ServiceStep(), mTolerant), worker, 45);
    service.mTask->mStep->mBaseline = SaturationOf(0.45);
    TaskState& first = mFixture->AddTask(BackfillStep(), mInterfering);
    TaskState& second = mFixture->AddTask(BackfillStep(), mInterfering);
    CPPUNIT_ASSERT_EQUAL(&worker, mFixture->ChoosePaced(first).mWorker);
    RunState& run = mFixture->Run(first, worker, -1);
    run.mTargetPace = 50;
    run.mIsPacedFromStart = true;
    CPPUNIT_ASSERT(mFixture->ChoosePaced(second).mWorker == nullptr);
    run.mTargetPace = 100;
    CPPUNIT_ASSERT_EQUAL(&worker, mFixture->ChoosePaced(second).mWorker);
  }

  // Otherwise jobs wait for as long as there are more of them than workers
  // (LOST).
  void SharesAWorkerAmongStartsThatHaveWaitedForLonger()
  {
    TrainModel();
    WorkerState& worker = mFixture->AddWorker("w");
    RunState& service =
      mFixture->Run(mFixture->AddTask(ServiceStep(), mSensitive), worker, 55);
    service.mTask->mStep->mBaseline = SaturationOf(0.55);
    TaskState& first = mFixture->AddTask(BackfillStep(), mInterfering);
    const int left = mFixture->ChoosePaced(first, true).mPace;
    CPPUNIT_ASSERT(left >= 10 && left < 100);
    RunState& run = mFixture->Run(first, worker, -1);
    run.mIsPacedFromStart = true;
    run.mTargetPace = left;
    TaskState& second = mFixture->AddTask(BackfillStep(), mInterfering);
    // The first run is still at full pace.
    CPPUNIT_ASSERT(mFixture->ChoosePaced(second, true).mWorker == nullptr);
    run.mPace = left;
    CPPUNIT_ASSERT(mFixture->ChoosePaced(second, false).mWorker == nullptr);
    CPPUNIT_ASSERT_EQUAL(left / 2, mFixture->ChoosePaced(second, true).mPace);
    worker.mPacedStartAt = mFixture->mNow - milliseconds(100);
    CPPUNIT_ASSERT(mFixture->ChoosePaced(second, true).mWorker == nullptr);
  }

  // Otherwise overdue work takes the place of jobs that can be in time.
  void StartsBelowFullPaceYieldToOtherBackfill()
  {
    TrainModel();
    WorkerState& worker = mFixture->AddWorker("w");
    RunState& service =
      mFixture->Run(mFixture->AddTask(ServiceStep(), mSensitive), worker, 45);
    service.mTask->mStep->mBaseline = 0.3;
    RunState& paced = mFixture->Run(
      mFixture->AddTask(BackfillStep(), mInterfering), worker, 1600);
    paced.mIsPacedFromStart = true;
    TaskState& task = mFixture->AddTask(BackfillStep(), mInterfering);
    CPPUNIT_ASSERT_EQUAL(&worker, mFixture->Choose(task));
    RunState& run = mFixture->Run(task, worker, 1600);
    AdjustPace(
      worker, mFixture->mModel, std::chrono::seconds(4), mFixture->mNow);
    CPPUNIT_ASSERT_EQUAL(100, run.mTargetPace);
    CPPUNIT_ASSERT(paced.mTargetPace < 100);
  }

  // Otherwise one of the runs that share a worker stands still, holding memory.
  void LowersStartsBelowFullPaceInProportion()
  {
    TrainModel();
    WorkerState& worker = mFixture->AddWorker("w");
    RunState& service =
      mFixture->Run(mFixture->AddTask(ServiceStep(), mSensitive), worker, 55);
    service.mTask->mStep->mBaseline = SaturationOf(0.55);
    std::vector<RunState*> runs;
    for (int n = 0; n < 3; ++n) {
      runs.push_back(&mFixture->Run(
        mFixture->AddTask(BackfillStep(), mInterfering), worker, 1600));
      runs.back()->mIsPacedFromStart = true;
    }
    AdjustPace(
      worker, mFixture->mModel, std::chrono::seconds(4), mFixture->mNow);
    for (const RunState* it : runs) {
      CPPUNIT_ASSERT(it->mTargetPace > 0 && it->mTargetPace < 50);
    }
  }

private:
  /// Returns the tail latency in ms of a service task at `aSaturation`.
  static std::int64_t TailAt(Saturation aSaturation)
  {
    return std::lround(static_cast<double>(ServiceStep().mTailTargetMs) * 0.2 /
                       (1.0 - aSaturation));
  }

  /// Trains the model with reports in which `aImage` interferes with the
  /// sensitive service by `aPerShare` per processor share.
  void TrainPair(int aImage, double aPerShare)
  {
    for (int n = 0; n < 60; ++n) {
      StepState& service = mFixture->AddStep(ServiceStep(), mSensitive, 2);
      WorkerState& alone = mFixture->AddWorker("alone");
      WorkerState& colocated = mFixture->AddWorker("beside");
      mFixture->Run(service.mTasks[0], alone, TailAt(0.3));
      mFixture->Run(
        service.mTasks[1], colocated, TailAt(0.3 + 0.1 * aPerShare));
      mFixture->Run(mFixture->AddTask(BackfillStep(), aImage), colocated, 1600);
      mFixture->mModel.Update(alone, mFixture->mNow);
      colocated.mBackfillShares = { { aImage, 0.1 } };
      mFixture->mModel.Update(colocated, mFixture->mNow);
      mFixture->mWorkers.erase("alone");
      mFixture->mWorkers.erase("beside");
    }
  }

  /// Trains the model with a few seconds of reports in which only one pair
  /// interferes.
  void TrainModel()
  {
    for (int n = 0; n < 40; ++n) {
      for (const int service : { mSensitive, mTolerant }) {
        for (const int image : { mInterfering, mHarmless }) {
          WorkerState& worker = mFixture->AddWorker("teacher");
          const bool isInterfering =
            service == mSensitive && image == mInterfering;
          mFixture->Run(mFixture->AddTask(ServiceStep(), service),
                        worker,
                        isInterfering ? 160 : 42);
          mFixture->Run(mFixture->AddTask(BackfillStep(), image), worker, 1600);
          worker.mBackfillShares = { { image, 0.1 } };
          mFixture->mModel.Update(worker, mFixture->mNow);
        }
      }
    }
    mFixture->mWorkers.clear();
  }

  std::unique_ptr<PlacementFixture> mFixture;
  int mSensitive = 0;
  int mTolerant = 0;
  int mInterfering = 0;
  int mMostInterfering = 0;
  int mHarmless = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColocationTest);

} // namespace skylarkhill::dispatch
