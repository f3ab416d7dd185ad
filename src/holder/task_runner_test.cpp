#include "skylarkhill/holder/absent_worker.hpp"
#include "skylarkhill/holder/task_runner.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::holder {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using tasks::AttemptOutcome;
using worker::TaskPhase;

const worker::AttemptKey kTask{ { "a" }, 1 };
// End offset of the log, observed after the lease was acquired.
constexpr std::int64_t kLogEnd = 100;

class TaskRunnerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TaskRunnerTest);
  CPPUNIT_TEST(StartsNothingInTheQuietPeriod);
  CPPUNIT_TEST(AdoptsButStartsNothingBeforeTheLogIsRead);
  CPPUNIT_TEST(ReleasesInheritedGrants);
  CPPUNIT_TEST(UnknownStartIsRepeatedOnlyAfterItExpires);
  CPPUNIT_TEST(RefusedStartReleasesTheGrant);
  CPPUNIT_TEST(StopsTasksWithoutAGrant);
  CPPUNIT_TEST(EvictsAfterACompleteCheckpoint);
  CPPUNIT_TEST(EvictionStopsAtItsDeadline);
  CPPUNIT_TEST(RepeatsAThrottleUntilItIsReported);
  CPPUNIT_TEST(CompletionWinsOverCancellation);
  CPPUNIT_TEST(CancelsUnstartedAttempts);
  CPPUNIT_TEST(AcknowledgesOnlyLoggedEnds);
  CPPUNIT_TEST(RestartedWorkerLosesItsTasks);
  CPPUNIT_TEST(ReleasesGrantsOnLeavingOrFullWorkers);
  CPPUNIT_TEST(DrainKeepsTasksRunning);
  CPPUNIT_TEST(ExpiredTaskLeaseEndsTheAttempt);
  CPPUNIT_TEST(AttemptsOfAbsentWorkerEndAfterTheTaskLease);
  CPPUNIT_TEST(AttemptsOfAbsentWorkerLastWhileTheListCannotBeRead);
  CPPUNIT_TEST(AttemptsOfAbsentWorkerLastWhileAHolderRenewsThem);
  CPPUNIT_TEST(ExpiredHolderSendsNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mRandom = base::CreateSeededRandom(1);
    mNow = base::FromMicros(1'000'000'000);
    mReport = {};
    mReport.mCapacity = { 1000, 1000, 0 };
    mLease = std::make_unique<LeaseMachine>(
      base::InstanceId{ "e" }, mLeaseOptions, *mRandom);
    mLease->SetPreferred(true);
    for (int n = 0; n < 4; ++n) {
      StepLease();
    }
    CPPUNIT_ASSERT(mLease->MaySendCommands(mNow));
    mLedger = std::make_unique<Ledger>();
    mRunner = std::make_unique<TaskRunner>(*mLease, *mLedger, mOptions);
  }

  // Guards against two runs of a task because a start command of the previous
  // holder arrives late.
  void StartsNothingInTheQuietPeriod()
  {
    mRunner->SetGrants({ Grant() }, kLogEnd);
    CPPUNIT_ASSERT(Poll().mCommands.empty());
    mNow += milliseconds(900);
    CPPUNIT_ASSERT(Poll().mCommands.empty());
    mNow += milliseconds(200);
    CPPUNIT_ASSERT(mRunner->Step(mNow).mCommands.empty());
    CPPUNIT_ASSERT(!mRunner->MaySendCalls(mNow));
    const RunnerOutput output = Poll();
    const auto& start = FirstCommand<worker::StartTask>(output);
    CPPUNIT_ASSERT_EQUAL(std::string("c0"), start.mCheckpoint);
    CPPUNIT_ASSERT(mRunner->MaySendCalls(mNow));
    CPPUNIT_ASSERT(output.mCommands.front().mHeader.mToken == mLease->Token());
    CPPUNIT_ASSERT(Poll().mCommands.empty());
  }

  // Guards against a start of an attempt for which the previous holder has
  // appended an end record.
  void AdoptsButStartsNothingBeforeTheLogIsRead()
  {
    EndQuietPeriod();
    GrantedAttempt other = Grant();
    other.mTask = { "b" };
    ReportTask(kTask, TaskPhase::Running);
    mRunner->SetGrants({ other }, std::nullopt);
    const RunnerOutput output = Poll();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), output.mCommands.size());
    CPPUNIT_ASSERT(FirstCommand<RenewTasks>(output).mTasks.front() == kTask);
  }

  // Guards against a start of an attempt for which the log later appends an end
  // record of the previous holder.
  void ReleasesInheritedGrants()
  {
    EndQuietPeriod();
    GrantedAttempt grant = Grant();
    grant.mGrantedOffset = kLogEnd - 1;
    mRunner->SetGrants({ grant }, kLogEnd);
    const RunnerOutput output = Poll();
    CPPUNIT_ASSERT(output.mCommands.empty());
    ExpectEnd(output, AttemptOutcome::Released);
  }

  void UnknownStartIsRepeatedOnlyAfterItExpires()
  {
    const std::uint64_t start = Start();
    mRunner->OnResult(start, CommandOutcome::Unknown);
    for (int n = 0; n < 9; ++n) {
      mNow += milliseconds(200);
      CPPUNIT_ASSERT(Poll().mCommands.empty());
    }
    mNow += milliseconds(200);
    CPPUNIT_ASSERT(
      !FirstCommand<worker::StartTask>(Poll()).mTask.mValue.empty());
  }

  void RefusedStartReleasesTheGrant()
  {
    mRunner->OnResult(Start(), CommandOutcome::Refused);
    CPPUNIT_ASSERT(Poll().mRecords.empty());
    mNow += seconds(3);
    ExpectEnd(Poll(), AttemptOutcome::Released);
    CPPUNIT_ASSERT(Poll().mRecords.empty());
    mRunner->OnEndRecordNotAppended(kTask);
    ExpectEnd(Poll(), AttemptOutcome::Released);
  }

  // Guards against an attempt that continues to run although it has ended in
  // the log or was never granted.
  void StopsTasksWithoutAGrant()
  {
    EndQuietPeriod();
    mRunner->SetGrants({}, kLogEnd);
    ReportTask(kTask, TaskPhase::Running);
    RunnerOutput output = Poll();
    CPPUNIT_ASSERT(FirstCommand<StopTask>(output).mTask == kTask);
    CPPUNIT_ASSERT(output.mRecords.empty());
    CPPUNIT_ASSERT(Poll().mCommands.empty());
    mRunner->OnResult(output.mCommands.front().mNumber, CommandOutcome::Ok);
    ReportTask(kTask, TaskPhase::Stopped);
    output = Poll();
    CPPUNIT_ASSERT(FirstCommand<AcknowledgeTask>(output).mTask == kTask);
  }

  // Guards against a stop before the checkpoint is complete.
  void EvictsAfterACompleteCheckpoint()
  {
    Run();
    mRunner->Evict(kTask, mNow + seconds(3));
    AnswerOk(FindCommand<CheckpointTask>(Poll()));
    ReportTask(kTask, TaskPhase::Checkpointing);
    CPPUNIT_ASSERT(!FindCommand<StopTask>(Poll()));
    ReportTask(kTask, TaskPhase::Running, "c1");
    AnswerOk(FindCommand<StopTask>(Poll()));
    CPPUNIT_ASSERT(Poll().mRecords.empty());
    ReportTask(kTask, TaskPhase::Stopped, "c1");
    const auto end = ExpectEnd(Poll(), AttemptOutcome::Evicted);
    CPPUNIT_ASSERT_EQUAL(std::string("c1"), end.mCheckpoint);
  }

  void EvictionStopsAtItsDeadline()
  {
    Run();
    mRunner->Evict(kTask, mNow + seconds(1));
    AnswerOk(FindCommand<CheckpointTask>(Poll()));
    mNow += seconds(1);
    AnswerOk(FindCommand<StopTask>(Poll()));
    ReportTask(kTask, TaskPhase::Stopped);
    const auto end = ExpectEnd(Poll(), AttemptOutcome::Evicted);
    CPPUNIT_ASSERT_EQUAL(std::string("c0"), end.mCheckpoint);
  }

  void RepeatsAThrottleUntilItIsReported()
  {
    Run();
    mRunner->Throttle(kTask, 40);
    AnswerOk(FindCommand<ThrottleTask>(Poll()));
    AnswerOk(FindCommand<ThrottleTask>(Poll()));
    mReport.mTasks.front().mThrottlePercent = 40;
    CPPUNIT_ASSERT(!FindCommand<ThrottleTask>(Poll()));
  }

  void CompletionWinsOverCancellation()
  {
    Run();
    GrantedAttempt grant = Grant();
    grant.mCancelRequested = true;
    mRunner->SetGrants({ grant }, kLogEnd);
    AnswerOk(FindCommand<StopTask>(Poll()));
    ReportTask(kTask, TaskPhase::Completed);
    ExpectEnd(Poll(), AttemptOutcome::Completed);
  }

  void CancelsUnstartedAttempts()
  {
    GrantedAttempt grant = Grant();
    grant.mCancelRequested = true;
    mRunner->SetGrants({ grant }, kLogEnd);
    CPPUNIT_ASSERT(Poll().mRecords.empty());
    EndQuietPeriod();
    ExpectEnd(Poll(), AttemptOutcome::Cancelled);
  }

  // Guards against the loss of a result that the worker discards before the log
  // contains it.
  void AcknowledgesOnlyLoggedEnds()
  {
    Run();
    ReportTask(kTask, TaskPhase::Completed);
    const RunnerOutput output = Poll();
    ExpectEnd(output, AttemptOutcome::Completed);
    CPPUNIT_ASSERT(output.mCommands.empty());
    mRunner->SetGrants({}, kLogEnd);
    mNow += seconds(3);
    CPPUNIT_ASSERT(FindCommand<AcknowledgeTask>(Poll()));
  }

  void RestartedWorkerLosesItsTasks()
  {
    Run();
    mReport.mTasks.clear();
    mNow += seconds(3);
    const auto end = ExpectEnd(Poll(), AttemptOutcome::Lost);
    CPPUNIT_ASSERT_EQUAL(std::string("c0"), end.mCheckpoint);
  }

  void ReleasesGrantsOnLeavingOrFullWorkers()
  {
    EndQuietPeriod();
    GrantedAttempt grant = Grant();
    grant.mReserved = { 2000, 0, 0 };
    mRunner->SetGrants({ grant }, kLogEnd);
    CPPUNIT_ASSERT(Poll().mRecords.empty());
    mNow += mOptions.mReleaseAfter;
    ExpectEnd(Poll(), AttemptOutcome::Released);
    mReport.mLeaving = true;
    grant.mTask = { "b" };
    mRunner->SetGrants({ grant }, kLogEnd);
    ExpectEnd(Poll(), AttemptOutcome::Released);
  }

  // Guards against a planned stop of an instance that interrupts batch work.
  void DrainKeepsTasksRunning()
  {
    Run();
    GrantedAttempt other = Grant();
    other.mTask = { "b" };
    mRunner->SetGrants({ Grant(), other }, kLogEnd);
    mRunner->BeginDrain();
    const RunnerOutput output = Poll();
    CPPUNIT_ASSERT(!FindCommand<worker::StartTask>(output));
    CPPUNIT_ASSERT(!mRunner->IsDrained(mNow));
    AnswerOk(FindCommand<RenewTasks>(output));
    CPPUNIT_ASSERT(mRunner->IsDrained(mNow));
  }

  // Guards against an attempt that never ends although its task lease expired
  // while the worker was held. With the default options the holder lease
  // expires first.
  void ExpiredTaskLeaseEndsTheAttempt()
  {
    Run();
    mReport.mTasks.front().mLeaseExpiresAt = base::ToMicros(mNow);
    mOptions.mTaskLease = milliseconds(100);
    mRunner = std::make_unique<TaskRunner>(*mLease, *mLedger, mOptions);
    mRunner->SetGrants({ Grant() }, kLogEnd);
    Poll();
    CPPUNIT_ASSERT(mRunner->Step(mNow + milliseconds(300)).mRecords.empty());
    ExpectEnd(mRunner->Step(mNow + milliseconds(500)), AttemptOutcome::Lost);
  }

  // Guards against a second run of tasks while their worker is only
  // unreachable.
  void AttemptsOfAbsentWorkerEndAfterTheTaskLease()
  {
    AbsentWorker absent{ mNow, mNow + seconds(5), { Grant() }, mNow };
    const auto count = [&](int aSeconds) {
      absent.mListReadAt = mNow + seconds(aSeconds);
      return EndAbsentWorkerAttempts(absent, seconds(30), seconds(1)).size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(35));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(36));
  }

  // Guards against a second run of tasks of a worker that one list lacked for a
  // moment, because the instance that ends them cannot read the list again.
  void AttemptsOfAbsentWorkerLastWhileTheListCannotBeRead()
  {
    AbsentWorker absent{ mNow, mNow, { Grant() }, mNow + seconds(2) };
    mNow += seconds(60);
    CPPUNIT_ASSERT(
      EndAbsentWorkerAttempts(absent, seconds(30), seconds(1)).empty());
    absent.mListReadAt = mNow;
    CPPUNIT_ASSERT_EQUAL(
      std::size_t(1),
      EndAbsentWorkerAttempts(absent, seconds(30), seconds(1)).size());
  }

  // The list has lost a worker whose holder is cut off from the log and from
  // its peers, but not from the worker. Guards against a peer that ends the
  // attempt while the holder renews its lease, so that the task is granted a
  // second time (TWICE).
  void AttemptsOfAbsentWorkerLastWhileAHolderRenewsThem()
  {
    constexpr seconds kLossMargin{ 2 };
    Run();
    const base::TimePoint cutAt = mNow;
    AbsentWorker absent{ cutAt, cutAt, { Grant() }, cutAt };
    for (int n = 0; n < 60; ++n) {
      mNow += seconds(1);
      const RunnerOutput output = Poll();
      for (const auto& it : output.mCommands) {
        if (const auto* renewal = std::get_if<RenewTasks>(&it.mBody)) {
          mReport.mTasks.front().mLeaseExpiresAt = renewal->mLeaseExpiresAt;
          mRunner->OnResult(it.mNumber, CommandOutcome::Ok);
        }
      }
      const bool isRunning =
        mReport.mTasks.front().mLeaseExpiresAt > base::ToMicros(mNow);
      absent.mListReadAt = mNow;
      CPPUNIT_ASSERT(!isRunning || EndAbsentWorkerAttempts(
                                     absent, mOptions.mTaskLease, kLossMargin)
                                     .empty());
    }
  }

  void ExpiredHolderSendsNothing()
  {
    Run();
    mRunner->SetGrants({}, kLogEnd);
    mNow = mLease->Deadline();
    CPPUNIT_ASSERT(mRunner->Step(mNow).mCommands.empty());
  }

private:
  static GrantedAttempt Grant()
  {
    GrantedAttempt grant;
    grant.mTask = kTask.mTask;
    grant.mAttempt = kTask.mAttempt;
    grant.mReserved = { 500, 500, 0 };
    grant.mCheckpoint = "c0";
    grant.mGrantedOffset = kLogEnd;
    return grant;
  }

  void ReportTask(const worker::AttemptKey& aKey,
                  TaskPhase aPhase,
                  const std::string& aCheckpoint = {})
  {
    worker::TaskReport task;
    task.mTask = aKey.mTask;
    task.mAttempt = aKey.mAttempt;
    task.mPhase = aPhase;
    task.mReserved = { 500, 500, 0 };
    task.mLeaseExpiresAt = base::ToMicros(mNow + seconds(30));
    task.mCheckpoint = aCheckpoint;
    mReport.mTasks = { task };
  }

  /// Executes the lease machine's requests on a simulated worker without delay.
  void StepLease()
  {
    for (const auto& it : mLease->Step(mNow)) {
      std::uint64_t request = 0;
      if (const auto* place = std::get_if<SetLease>(&it)) {
        mReport.mHolders = { { place->mToken, 0 } };
        request = place->mRequest;
      } else if (const auto* read = std::get_if<ReadHolders>(&it)) {
        request = read->mRequest;
      }
      mReport.mNow = base::ToMicros(mNow);
      mLease->OnReport(request, mReport, mNow);
    }
  }

  /// Renews the lease, delivers a new report and returns the runner's output.
  RunnerOutput Poll()
  {
    mNow += milliseconds(1);
    StepLease();
    mReport.mNow = base::ToMicros(mNow);
    mRunner->OnReport({ mReport, mNow });
    return mRunner->Step(mNow);
  }

  void EndQuietPeriod()
  {
    mNow += mLeaseOptions.mQuietPeriod;
    StepLease();
  }

  std::uint64_t Start()
  {
    EndQuietPeriod();
    mRunner->SetGrants({ Grant() }, kLogEnd);
    const RunnerOutput output = Poll();
    FirstCommand<worker::StartTask>(output);
    return output.mCommands.front().mNumber;
  }

  void Run()
  {
    mRunner->OnResult(Start(), CommandOutcome::Ok);
    ReportTask(kTask, TaskPhase::Running);
    const RunnerOutput output = Poll();
    CPPUNIT_ASSERT(
      std::holds_alternative<tasks::StartedRecord>(output.mRecords.at(0)));
    AnswerOk(FindCommand<RenewTasks>(output));
  }

  void AnswerOk(const std::optional<std::uint64_t>& aNumber)
  {
    CPPUNIT_ASSERT(aNumber.has_value());
    mRunner->OnResult(*aNumber, CommandOutcome::Ok);
  }

  /// The number of the first command of this type.
  template<typename T>
  static std::optional<std::uint64_t> FindCommand(const RunnerOutput& aOutput)
  {
    for (const auto& it : aOutput.mCommands) {
      if (std::holds_alternative<T>(it.mBody)) {
        return it.mNumber;
      }
    }
    return std::nullopt;
  }

  template<typename T>
  static T FirstCommand(const RunnerOutput& aOutput)
  {
    CPPUNIT_ASSERT(!aOutput.mCommands.empty());
    const auto* body = std::get_if<T>(&aOutput.mCommands.front().mBody);
    CPPUNIT_ASSERT(body);
    return *body;
  }

  static tasks::EndRecord ExpectEnd(const RunnerOutput& aOutput,
                                    AttemptOutcome aOutcome)
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), aOutput.mRecords.size());
    const auto* end = std::get_if<tasks::EndRecord>(&aOutput.mRecords.front());
    CPPUNIT_ASSERT(end && end->mOutcome == aOutcome);
    return *end;
  }

  LeaseOptions mLeaseOptions;
  TaskRunnerOptions mOptions;
  base::TimePoint mNow;
  worker::WorkerReport mReport;
  std::unique_ptr<base::Random> mRandom;
  std::unique_ptr<LeaseMachine> mLease;
  std::unique_ptr<Ledger> mLedger;
  std::unique_ptr<TaskRunner> mRunner;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskRunnerTest);

} // namespace

} // namespace skylarkhill::holder
