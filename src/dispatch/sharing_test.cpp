#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <list>
#include <utility>
#include <vector>

#include "pacing.hpp"
#include "placement.hpp"
#include "sharing.hpp"
#include "state.hpp"

namespace skylarkhill::dispatch {

using std::chrono::milliseconds;

namespace {

/// Steps and workers without a dispatcher around them.
class Stage
{
public:
  TaskState& AddTask(const jobs::Step& aSpec, int aImage)
  {
    mSpecs.push_back(aSpec);
    mJobs.emplace_back();
    mJobs.back().mSubmission.mPolicy.mService = "pool";
    mSteps.emplace_back();
    StepState& step = mSteps.back();
    step.mJob = &mJobs.back();
    step.mSpec = &mSpecs.back();
    step.mImage = aImage;
    mTasks.emplace_back();
    mTasks.back().mStep = &step;
    return mTasks.back();
  }

  /// A step whose tasks share their load.
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
    worker->mEntry.mService = "pool";
    worker->mEntry.mCapacity = { 16000, std::int64_t{ 1 } << 36, 0 };
    worker->mIsKnown = true;
    worker->mLastReportAt = mNow;
    return *worker;
  }

  RunState& Run(TaskState& aTask, WorkerState& aWorker, std::int64_t aUsage)
  {
    RunState& run = aTask.mRuns.emplace_back();
    run.mTask = &aTask;
    run.mWorker = &aWorker;
    run.mIsConfirmed = true;
    run.mConfirmedAt = mNow - std::chrono::seconds(5);
    run.mUsage = aUsage;
    aWorker.mRuns.insert(&run);
    const jobs::Step& step = *aTask.mStep->mSpec;
    if (step.mIsBackfill) {
      aWorker.mBackfillDemand += step.mNeed.mMilliProcessors;
    } else {
      aWorker.mUsed += step.mNeed;
    }
    return run;
  }

  WorkerState* Choose(const TaskState& aTask) const
  {
    return ChooseWorker(aTask, mWorkers, mModel, mNow);
  }

  base::TimePoint mNow = base::FromMicros(100'000'000);
  SharingModel mModel;
  WorkerMap mWorkers;

private:
  std::list<jobs::Step> mSpecs;
  std::list<JobState> mJobs;
  std::list<StepState> mSteps;
  std::list<TaskState> mTasks;
};

jobs::Step
ServiceStep()
{
  jobs::Step step;
  step.mIsService = true;
  step.mTailTargetMs = 100;
  step.mNeed = { 3000, 1 << 20, 0 };
  return step;
}

jobs::Step
BackfillStep()
{
  jobs::Step step;
  step.mIsBackfill = true;
  step.mNeed = { 1600, 1 << 20, 0 };
  return step;
}

} // namespace

class SharingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SharingTest);
  CPPUNIT_TEST(LearnsWhichImagesDisturbEachOther);
  CPPUNIT_TEST(LearnsPairsWhileTheLoadOfTheServiceSwings);
  CPPUNIT_TEST(KnowsTheLoadOfAServiceAmidBackfillThatHasLeft);
  CPPUNIT_TEST(SlowsDownOnlyTheBackfillThatDisturbs);
  CPPUNIT_TEST(SlowsDownFirstWhatDisturbsMost);
  CPPUNIT_TEST(PlacesDisturbingBackfillElsewhere);
  CPPUNIT_TEST(CountsBackfillThatNoReportCoversYet);
  CPPUNIT_TEST(GroupsServiceTasksOfOneImage);
  CPPUNIT_TEST(AvoidsAWorkerThatFailsWhatItStarts);
  CPPUNIT_TEST(MovesBackfillAfterHalfOfTheBound);
  CPPUNIT_TEST(CountsHarmFromTheLastCalmReport);
  CPPUNIT_TEST(HandsItsEstimatesOver);
  CPPUNIT_TEST(KeepsMoreDistanceWhileThereIsTime);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mStage = std::make_unique<Stage>();
    mSensitive = mStage->mModel.Intern("sensitive");
    mTolerant = mStage->mModel.Intern("tolerant");
    mLoud = mStage->mModel.Intern("loud");
    mLouder = mStage->mModel.Intern("louder");
    mQuiet = mStage->mModel.Intern("quiet");
  }

  void LearnsWhichImagesDisturbEachOther()
  {
    Learn();
    CPPUNIT_ASSERT(mStage->mModel.Rise(mSensitive, mLoud, 0.1) > 0.15);
    CPPUNIT_ASSERT(mStage->mModel.Rise(mSensitive, mQuiet, 0.1) < 0.08);
    CPPUNIT_ASSERT(mStage->mModel.Rise(mTolerant, mLoud, 0.1) < 0.08);
  }

  // Load pattern: services whose load swings by half of itself, with small
  // backfill tasks beside some of their tasks. Guards against the swing being
  // taken for an effect of the backfill, which closes most workers to it.
  void LearnsPairsWhileTheLoadOfTheServiceSwings()
  {
    StepState& service = mStage->AddStep(ServiceStep(), mSensitive, 3);
    WorkerState& alone = mStage->AddWorker("a");
    WorkerState& besideLoud = mStage->AddWorker("b");
    WorkerState& besideQuiet = mStage->AddWorker("c");
    const std::vector<std::pair<WorkerState*, Pressure>> sites = {
      { &alone, 0.0 }, { &besideLoud, 0.2 }, { &besideQuiet, 0.01 }
    };
    for (std::size_t n = 0; n < sites.size(); ++n) {
      mStage->Run(service.mTasks[n], *sites[n].first, 50);
    }
    mStage->Run(mStage->AddTask(BackfillStep(), mLoud), besideLoud, 1600);
    mStage->Run(mStage->AddTask(BackfillStep(), mQuiet), besideQuiet, 1600);
    for (int n = 0; n < 120; ++n) {
      const Pressure load = 0.45 + 0.22 * std::sin(n * 0.157);
      for (std::size_t index = 0; index < sites.size(); ++index) {
        service.mTasks[index].mRuns.front().mUsage =
          TailAt(load + sites[index].second);
        mStage->mModel.Record(*sites[index].first, mStage->mNow);
      }
      mStage->mNow += milliseconds(500);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      0.2, mStage->mModel.Rise(mSensitive, mLoud, 0.1), 0.04);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      0.01, mStage->mModel.Rise(mSensitive, mQuiet, 0.1), 0.02);
  }

  // Guards against backfill that has just left being counted as load of the
  // service, because tails lag behind the use of processors.
  void KnowsTheLoadOfAServiceAmidBackfillThatHasLeft()
  {
    Learn();
    StepState& service = mStage->AddStep(ServiceStep(), mSensitive, 1);
    WorkerState& worker = mStage->AddWorker("w");
    const Pressure rise = mStage->mModel.Rise(mSensitive, mLoud, 0.1);
    RunState& run =
      mStage->Run(service.mTasks.front(), worker, TailAt(0.3 + rise));
    RunState& loud =
      mStage->Run(mStage->AddTask(BackfillStep(), mLoud), worker, 1600);
    mStage->mModel.Record(worker, mStage->mNow);
    mStage->mModel.Record(worker, mStage->mNow);
    worker.mRuns.erase(&loud);
    run.mUsage = TailAt(0.3 + rise / 2);
    mStage->mModel.Record(worker, mStage->mNow);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, LoadOf(run), 0.05);
  }

  // Load pattern: batch tasks of many images beside one sensitive service.
  // Guards against all of them paying for the one that disturbs.
  void SlowsDownOnlyTheBackfillThatDisturbs()
  {
    Learn();
    WorkerState& worker = mStage->AddWorker("w");
    mStage->Run(mStage->AddTask(ServiceStep(), mSensitive), worker, 95);
    RunState& loud =
      mStage->Run(mStage->AddTask(BackfillStep(), mLoud), worker, 1600);
    RunState& quiet =
      mStage->Run(mStage->AddTask(BackfillStep(), mQuiet), worker, 1600);
    AdjustPace(worker, mStage->mModel, std::chrono::seconds(4), mStage->mNow);
    CPPUNIT_ASSERT(loud.mWantedPace < 100);
    CPPUNIT_ASSERT_EQUAL(100, quiet.mWantedPace);
  }

  // Load pattern: the same, with two images that disturb. Guards against work
  // that waits although a lower pace of the other image is enough.
  void SlowsDownFirstWhatDisturbsMost()
  {
    WorkerState& worker = mStage->AddWorker("w");
    StepState& service = mStage->AddStep(ServiceStep(), mSensitive, 1);
    mStage->Run(service.mTasks.front(), worker, TailAt(0.7));
    RunState& loud =
      mStage->Run(mStage->AddTask(BackfillStep(), mLoud), worker, 1600);
    RunState& louder =
      mStage->Run(mStage->AddTask(BackfillStep(), mLouder), worker, 1600);
    Teach(mLoud, 1.0);
    Teach(mLouder, 2.0);
    service.mLoad = 0.6;
    AdjustPace(worker, mStage->mModel, std::chrono::seconds(4), mStage->mNow);
    CPPUNIT_ASSERT_EQUAL(100, loud.mWantedPace);
    CPPUNIT_ASSERT(louder.mWantedPace < 100);
    CPPUNIT_ASSERT(louder.mWantedPace > 0);
  }

  void PlacesDisturbingBackfillElsewhere()
  {
    Learn();
    WorkerState& sensitive = mStage->AddWorker("a");
    WorkerState& tolerant = mStage->AddWorker("b");
    mStage->Run(mStage->AddTask(ServiceStep(), mSensitive), sensitive, 60);
    mStage->Run(mStage->AddTask(ServiceStep(), mTolerant), tolerant, 60);
    for (int n = 0; n < 3; ++n) {
      mStage->Run(mStage->AddTask(BackfillStep(), mQuiet), tolerant, 1600);
    }
    CPPUNIT_ASSERT_EQUAL(
      &tolerant, mStage->Choose(mStage->AddTask(BackfillStep(), mLoud)));
  }

  // Load pattern: a wide batch step that arrives at once. Guards against all
  // its tasks being placed by the same outdated tail.
  void CountsBackfillThatNoReportCoversYet()
  {
    Learn();
    WorkerState& worker = mStage->AddWorker("w");
    mStage->Run(mStage->AddTask(ServiceStep(), mSensitive), worker, 45);
    int placed = 0;
    while (placed < 6) {
      TaskState& task = mStage->AddTask(BackfillStep(), mLoud);
      if (mStage->Choose(task) == nullptr) {
        break;
      }
      mStage->Run(task, worker, -1);
      ++placed;
    }
    CPPUNIT_ASSERT(placed <= 2);
  }

  // Load pattern: standing services of several images that fill the pool.
  void GroupsServiceTasksOfOneImage()
  {
    WorkerState& first = mStage->AddWorker("a");
    WorkerState& second = mStage->AddWorker("b");
    mStage->Run(mStage->AddTask(ServiceStep(), mSensitive), first, 50);
    mStage->Run(mStage->AddTask(ServiceStep(), mSensitive), first, 50);
    mStage->Run(mStage->AddTask(ServiceStep(), mTolerant), second, 50);
    CPPUNIT_ASSERT_EQUAL(
      &second, mStage->Choose(mStage->AddTask(ServiceStep(), mTolerant)));
    CPPUNIT_ASSERT_EQUAL(
      &first, mStage->Choose(mStage->AddTask(ServiceStep(), mSensitive)));
  }

  // Load pattern: a worker that fails all that it starts, and so is always
  // the emptiest one.
  void AvoidsAWorkerThatFailsWhatItStarts()
  {
    WorkerState& failing = mStage->AddWorker("a");
    WorkerState& sound = mStage->AddWorker("b");
    AddFailure(failing, 1.0, mStage->mNow);
    for (int n = 0; n < 5; ++n) {
      mStage->Run(mStage->AddTask(BackfillStep(), mQuiet), sound, 1600);
    }
    const TaskState& task = mStage->AddTask(BackfillStep(), mQuiet);
    CPPUNIT_ASSERT_EQUAL(&sound, mStage->Choose(task));
    mStage->mNow += std::chrono::seconds(10);
    failing.mLastReportAt = mStage->mNow;
    sound.mLastReportAt = mStage->mNow;
    CPPUNIT_ASSERT_EQUAL(&failing, mStage->Choose(task));
  }

  // Guards against backfill that works on beside a service above its target
  // because the model does not know that it is the cause.
  void MovesBackfillAfterHalfOfTheBound()
  {
    WorkerState& worker = mStage->AddWorker("w");
    mStage->Run(mStage->AddTask(ServiceStep(), mTolerant), worker, 120);
    RunState& backfill =
      mStage->Run(mStage->AddTask(BackfillStep(), mQuiet), worker, 1600);
    const auto bound = std::chrono::seconds(4);
    for (int n = 0; n < 6; ++n) {
      AdjustPace(worker, mStage->mModel, bound, mStage->mNow);
      mStage->mNow += milliseconds(300);
    }
    CPPUNIT_ASSERT_EQUAL(0, backfill.mWantedPace);
    mStage->mNow += milliseconds(1000);
    AdjustPace(worker, mStage->mModel, bound, mStage->mNow);
    CPPUNIT_ASSERT(backfill.mMustMove);
  }

  // Load pattern: a burst of backfill on a worker that had none, while a long
  // poll is under way. Guards against a reaction that starts to count only
  // with the late report.
  void CountsHarmFromTheLastCalmReport()
  {
    WorkerState& worker = mStage->AddWorker("w");
    RunState& service =
      mStage->Run(mStage->AddTask(ServiceStep(), mTolerant), worker, 45);
    const auto bound = std::chrono::seconds(4);
    AdjustPace(worker, mStage->mModel, bound, mStage->mNow);
    RunState& backfill =
      mStage->Run(mStage->AddTask(BackfillStep(), mQuiet), worker, 1600);
    service.mUsage = 150;
    mStage->mNow += milliseconds(1600);
    AdjustPace(worker, mStage->mModel, bound, mStage->mNow);
    CPPUNIT_ASSERT_EQUAL(0, backfill.mWantedPace);
  }

  // Load pattern: a change of the leader under full load. Guards against a
  // second round of harm while the successor learns the same pairs again.
  void HandsItsEstimatesOver()
  {
    Learn();
    SharingModel successor;
    // The numbers of the images differ between processes.
    const int loud = successor.Intern("loud");
    const int sensitive = successor.Intern("sensitive");
    CPPUNIT_ASSERT(successor.Import(mStage->mModel.Export()));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(mStage->mModel.Rise(mSensitive, mLoud, 0.1),
                                 successor.Rise(sensitive, loud, 0.1),
                                 1e-9);
    CPPUNIT_ASSERT(!successor.Import("garbage"));
  }

  // Load pattern: batch work with time to spare beside sensitive services.
  // Guards against harm that a short wait would have avoided.
  void KeepsMoreDistanceWhileThereIsTime()
  {
    Learn();
    int placedWithTime = 0;
    int placedUrgently = 0;
    for (int tail = 30; tail < 80; ++tail) {
      mStage->mWorkers.clear();
      WorkerState& worker = mStage->AddWorker("w");
      RunState& service =
        mStage->Run(mStage->AddTask(ServiceStep(), mSensitive), worker, tail);
      service.mTask->mStep->mLoad = PressureOf(tail / 100.0);
      TaskState& task = mStage->AddTask(BackfillStep(), mLoud);
      placedWithTime += mStage->Choose(task) != nullptr ? 1 : 0;
      task.mStep->mIsUrgent = true;
      placedUrgently += mStage->Choose(task) != nullptr ? 1 : 0;
    }
    CPPUNIT_ASSERT(placedWithTime > 0);
    CPPUNIT_ASSERT(placedWithTime < placedUrgently);
  }

private:
  /// The tail, in milliseconds, of a service task under `aPressure`.
  static std::int64_t TailAt(Pressure aPressure)
  {
    return std::lround(static_cast<double>(ServiceStep().mTailTargetMs) * 0.2 /
                       (1.0 - aPressure));
  }

  /// Shows the model reports by which `aImage` disturbs the sensitive service
  /// by `aPerShare`.
  void Teach(int aImage, double aPerShare)
  {
    for (int n = 0; n < 60; ++n) {
      StepState& service = mStage->AddStep(ServiceStep(), mSensitive, 2);
      WorkerState& alone = mStage->AddWorker("alone");
      WorkerState& beside = mStage->AddWorker("beside");
      mStage->Run(service.mTasks[0], alone, TailAt(0.3));
      mStage->Run(service.mTasks[1], beside, TailAt(0.3 + 0.1 * aPerShare));
      mStage->Run(mStage->AddTask(BackfillStep(), aImage), beside, 1600);
      mStage->mModel.Record(alone, mStage->mNow);
      beside.mBackfillShares = { { aImage, 0.1 } };
      mStage->mModel.Record(beside, mStage->mNow);
      mStage->mWorkers.erase("alone");
      mStage->mWorkers.erase("beside");
    }
  }

  /// Shows the model a few seconds of reports: only one pair disturbs.
  void Learn()
  {
    for (int n = 0; n < 40; ++n) {
      for (const int service : { mSensitive, mTolerant }) {
        for (const int image : { mLoud, mQuiet }) {
          WorkerState& worker = mStage->AddWorker("teacher");
          const bool isDisturbed = service == mSensitive && image == mLoud;
          mStage->Run(mStage->AddTask(ServiceStep(), service),
                      worker,
                      isDisturbed ? 160 : 42);
          mStage->Run(mStage->AddTask(BackfillStep(), image), worker, 1600);
          worker.mBackfillShares = { { image, 0.1 } };
          mStage->mModel.Record(worker, mStage->mNow);
        }
      }
    }
    mStage->mWorkers.clear();
  }

  std::unique_ptr<Stage> mStage;
  int mSensitive = 0;
  int mTolerant = 0;
  int mLoud = 0;
  int mLouder = 0;
  int mQuiet = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharingTest);

} // namespace skylarkhill::dispatch
