#include "skylarkhill/base/random.hpp"
#include "skylarkhill/tasks/task_names.hpp"
#include "skylarkhill/tasks/task_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <malloc.h>
#include <set>

namespace skylarkhill::tasks {

namespace {

AcceptRecord
MakeAccept(const std::string& aTask, const std::string& aTeam = "team")
{
  AcceptRecord record;
  record.mSpec.mTask.mValue = aTask;
  record.mSpec.mJob.mValue = "job-of-" + aTask;
  record.mSpec.mTeam = aTeam;
  record.mSpec.mBatchClass = "tar-and-strand";
  record.mSpec.mPool = "default";
  record.mSpec.mCaller = "caller";
  record.mSpec.mDeclared = { 1000, 2048, 0 };
  record.mSpec.mPayload = std::string(100, 'p');
  return record;
}

EndRecord
MakeEnd(const std::string& aTask,
        std::int64_t aAttempt,
        AttemptOutcome aOutcome,
        const std::string& aCheckpoint = {})
{
  return { { aTask }, aAttempt, aOutcome, aCheckpoint, "detail" };
}

class TaskTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TaskTableTest);
  CPPUNIT_TEST(AppliesTheFirstAcceptOnly);
  CPPUNIT_TEST(GrantsOnlyTheNextAttemptOfAQueuedTask);
  CPPUNIT_TEST(ResumesOnceFromTheLastCheckpoint);
  CPPUNIT_TEST(CancelsAtOnceOrAtTheEndOfTheAttempt);
  CPPUNIT_TEST(QuarantineStopsFurtherGrants);
  CPPUNIT_TEST(AnswersQueriesFromIndexes);
  CPPUNIT_TEST(QueuesUrgentTasksFirst);
  CPPUNIT_TEST(KeepsTombstonesWhileARecordIsRetained);
  CPPUNIT_TEST(AppliesRecordsReadBeforeASnapshot);
  CPPUNIT_TEST(KeepsIndexesConsistentUnderRandomRecords);
  CPPUNIT_TEST(MemoryPerTaskIsBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  TaskState StateOf(const std::string& aTask) const
  {
    return mTable.Find({ aTask })->mState;
  }

  void Accept(const std::string& aTask) { Apply(MakeAccept(aTask)); }
  void Grant(const std::string& aTask,
             std::int64_t aAttempt,
             const std::string& aWorker = "w1")
  {
    Apply(GrantRecord{ { aTask }, aAttempt, { aWorker } });
  }
  void Apply(const TaskRecord& aRecord)
  {
    mTable.Apply(mNextOffset++, aRecord);
  }

  // Guards against urgent tasks that the scheduler does not see because it
  // reads only the first tasks of a long queue.
  void QueuesUrgentTasksFirst()
  {
    Accept("a");
    Accept("b");
    auto urgent = MakeAccept("z");
    urgent.mSpec.mUrgent = true;
    Apply(urgent);
    const auto queued = mTable.Queued(2);
    CPPUNIT_ASSERT_EQUAL(std::string("z"), queued.at(0).mTask.mValue);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), queued.at(1).mTask.mValue);
  }

  // Guards against a repeated submission that replaces or restarts a task.
  void AppliesTheFirstAcceptOnly()
  {
    Accept("a");
    Grant("a", 1);
    const auto digest = mTable.Digest();
    auto other = MakeAccept("a", "other-team");
    Apply(other);
    CPPUNIT_ASSERT_EQUAL(digest, mTable.Digest());
    Apply(MakeEnd("a", 1, AttemptOutcome::Completed));
    Accept("a");
    CPPUNIT_ASSERT(StateOf("a") == TaskState::Completed);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), mTable.IgnoredRecords());
  }

  // Guards against two live attempts of a task and against an attempt number
  // that is granted twice.
  void GrantsOnlyTheNextAttemptOfAQueuedTask()
  {
    Grant("a", 1);
    Accept("a");
    CPPUNIT_ASSERT_MESSAGE("duplicate of an expired accept record",
                           !mTable.Find({ "a" }).has_value());
    Accept("b");
    Grant("b", 2);
    Grant("b", 0);
    CPPUNIT_ASSERT(StateOf("b") == TaskState::Queued);
    Grant("b", 1, "w1");
    Grant("b", 1, "w2");
    Grant("b", 2, "w2");
    CPPUNIT_ASSERT_EQUAL(std::string("w1"),
                         mTable.Find({ "b" })->mWorker.mValue);
    Apply(MakeEnd("b", 2, AttemptOutcome::Completed));
    CPPUNIT_ASSERT(StateOf("b") == TaskState::Granted);
    Apply(MakeEnd("b", 1, AttemptOutcome::Lost));
    Grant("b", 1, "w2");
    CPPUNIT_ASSERT(StateOf("b") == TaskState::Queued);
    Grant("b", 2, "w2");
    CPPUNIT_ASSERT(StateOf("b") == TaskState::Granted);
  }

  // Guards against a task that loses its checkpoint or is resumed twice.
  void ResumesOnceFromTheLastCheckpoint()
  {
    Accept("a");
    Grant("a", 1);
    Apply(StartedRecord{ { "a" }, 1 });
    CPPUNIT_ASSERT(StateOf("a") == TaskState::Running);
    Apply(MakeEnd("a", 1, AttemptOutcome::Evicted, "ck-1"));
    CPPUNIT_ASSERT(StateOf("a") == TaskState::Evicted);
    Apply(MakeEnd("a", 1, AttemptOutcome::Completed));
    CPPUNIT_ASSERT(StateOf("a") == TaskState::Evicted);
    Grant("a", 2);
    Apply(MakeEnd("a", 2, AttemptOutcome::Lost));
    const auto task = *mTable.Find({ "a" });
    CPPUNIT_ASSERT_EQUAL(std::string("ck-1"), task.mCheckpoint);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), task.mEvictions);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), task.mLastAttempt);
  }

  // Guards against a cancellation that replaces the outcome of a completed or
  // failed attempt, or that leaves the task open after its attempt has ended.
  void CancelsAtOnceOrAtTheEndOfTheAttempt()
  {
    const std::vector<std::pair<AttemptOutcome, TaskState>> outcomes{
      { AttemptOutcome::Completed, TaskState::Completed },
      { AttemptOutcome::Failed, TaskState::Failed },
      { AttemptOutcome::Evicted, TaskState::Cancelled },
      { AttemptOutcome::Lost, TaskState::Cancelled },
      { AttemptOutcome::Cancelled, TaskState::Cancelled },
      { AttemptOutcome::Released, TaskState::Cancelled },
    };
    Accept("q");
    Apply(CancelRecord{ { "q" }, "caller" });
    CPPUNIT_ASSERT(StateOf("q") == TaskState::Cancelled);
    for (const auto& [outcome, state] : outcomes) {
      const std::string task(NameOf(outcome));
      Accept(task);
      Grant(task, 1);
      Apply(CancelRecord{ { task }, "caller" });
      CPPUNIT_ASSERT(StateOf(task) == TaskState::Granted);
      CPPUNIT_ASSERT(mTable.LiveAttemptsOn({ "w1" }).front().mCancelRequested);
      Apply(MakeEnd(task, 1, outcome));
      CPPUNIT_ASSERT_MESSAGE(task, StateOf(task) == state);
      Grant(task, 2);
      CPPUNIT_ASSERT_MESSAGE(task, StateOf(task) == state);
    }
  }

  // Guards against endless grants of a task that fails on every worker.
  void QuarantineStopsFurtherGrants()
  {
    Accept("a");
    for (std::int64_t k = 1; k <= 3; ++k) {
      Grant("a", k, "w" + std::to_string(k));
      Apply(MakeEnd("a", k, AttemptOutcome::Failed));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                         mTable.Find({ "a" })->mFailedWorkers.size());
    Grant("a", 4);
    Apply(QuarantineRecord{ { "a" }, "fails everywhere" });
    CPPUNIT_ASSERT(StateOf("a") == TaskState::Granted);
    Apply(MakeEnd("a", 4, AttemptOutcome::Failed));
    CPPUNIT_ASSERT(StateOf("a") == TaskState::Quarantined);
    CPPUNIT_ASSERT_EQUAL(std::string("fails everywhere"),
                         mTable.Find({ "a" })->mDetail);
    Accept("b");
    Apply(QuarantineRecord{ { "b" }, "reason" });
    Grant("b", 1);
    CPPUNIT_ASSERT(StateOf("b") == TaskState::Quarantined);
  }

  void AnswersQueriesFromIndexes()
  {
    mTable.Apply(7, MakeAccept("b", "t1"));
    mTable.Apply(7, MakeAccept("a", "t2"));
    mTable.Apply(5, MakeAccept("z", "t1"));
    const auto queued = mTable.Queued(10);
    CPPUNIT_ASSERT_EQUAL(std::string("z"), queued[0].mTask.mValue);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), queued[1].mTask.mValue);
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), queued[2].mTeam);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), mTable.Queued(2).size());
    mTable.Apply(8, GrantRecord{ { "z" }, 1, { "w1" } });
    mTable.Apply(9, GrantRecord{ { "b" }, 1, { "w1" } });
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         mTable.LiveAttemptsOn({ "w1" }).size());
    CPPUNIT_ASSERT_EQUAL(
      std::int64_t(2000),
      mTable.TeamCommitments().at("t1").mCommitted.mMilliProcessors);
    mTable.Apply(10, MakeEnd("z", 1, AttemptOutcome::Released));
    mTable.Apply(11, MakeEnd("b", 1, AttemptOutcome::Completed));
    CPPUNIT_ASSERT(mTable.LiveAttemptsOn({ "w1" }).empty());
    CPPUNIT_ASSERT(mTable.WorkersWithLiveAttempts().empty());
    CPPUNIT_ASSERT(mTable.TeamCommitments().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("z"),
                         mTable.OldestReplayOffsets(7, 9).front().mTask.mValue);
  }

  // Guards against readers that, because they started at different times,
  // disagree on whether a duplicate accept record creates a new task.
  void KeepsTombstonesWhileARecordIsRetained()
  {
    mTable.Apply(1, MakeAccept("a"));
    mTable.Apply(2, CancelRecord{ { "a" }, "caller" });
    mTable.Apply(9, MakeEnd("a", 1, AttemptOutcome::Completed));
    mTable.Purge(9);
    mTable.RemoveTombstone({ "a" }, 9);
    CPPUNIT_ASSERT(StateOf("a") == TaskState::Cancelled);
    mTable.Purge(10);
    CPPUNIT_ASSERT(!mTable.Find({ "a" }).has_value());
  }

  // Guards against the loss of records that a reader reads before the snapshot
  // of their task, because it started after the accept record had expired.
  void AppliesRecordsReadBeforeASnapshot()
  {
    mTable.Apply(1, MakeAccept("a"));
    mTable.Apply(2, GrantRecord{ { "a" }, 1, { "w1" } });
    const auto snapshot = *mTable.Find({ "a" });
    TaskTable late;
    const std::vector<std::pair<Offset, TaskRecord>> rest{
      { 2, GrantRecord{ { "a" }, 1, { "w1" } } },
      { 3, MakeEnd("a", 1, AttemptOutcome::Evicted, "ck") },
      { 4, GrantRecord{ { "a" }, 2, { "w2" } } },
    };
    for (const auto& [offset, record] : rest) {
      late.Apply(offset, record);
      if (offset > 2) {
        mTable.Apply(offset, record);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), late.UnmatchedRecords().size());
    late.ApplySnapshot(2, snapshot);
    mTable.ApplySnapshot(2, snapshot);
    CPPUNIT_ASSERT_EQUAL(mTable.Digest(), late.Digest());
    CPPUNIT_ASSERT(late.UnmatchedRecords().empty());
  }

  TaskRecord RandomRecord(base::Random& aRandom)
  {
    const std::string task = "t" + std::to_string(aRandom.Below(8));
    const auto attempt = static_cast<std::int64_t>(aRandom.Below(6));
    const std::string worker = "w" + std::to_string(aRandom.Below(3));
    switch (aRandom.Below(8)) {
      case 0:
        return MakeAccept(task);
      case 1:
        return StartedRecord{ { task }, attempt };
      case 2:
        return aRandom.Below(20) == 0
                 ? TaskRecord(CancelRecord{ { task }, "c" })
                 : TaskRecord(QuarantineRecord{ { task }, "r" });
      case 3:
      case 4:
        return MakeEnd(
          task, attempt, static_cast<AttemptOutcome>(aRandom.Below(6)));
      default:
        return GrantRecord{ { task }, attempt, { worker } };
    }
  }

  // Guards against indexes that contain wrong tasks or miss tasks after some
  // sequence of records, and against a state that depends on anything else than
  // the records.
  void KeepsIndexesConsistentUnderRandomRecords()
  {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      const auto random = base::CreateSeededRandom(seed);
      TaskTable first;
      TaskTable second;
      for (Offset offset = 0; offset < 200; ++offset) {
        const TaskRecord record = RandomRecord(*random);
        first.Apply(offset, record);
        second.Apply(offset, record);
        if (offset % 50 == 49) {
          first.Purge(offset - 40);
          second.Purge(offset - 40);
        }
        std::size_t granted = 0;
        for (const auto& worker : first.WorkersWithLiveAttempts()) {
          granted += first.LiveAttemptsOn(worker).size();
        }
        std::int64_t used = 0;
        for (const auto& it : first.TeamCommitments()) {
          used += it.second.mLiveAttempts;
        }
        CPPUNIT_ASSERT_EQUAL(first.CountUnfinished(),
                             first.CountQueued() + granted);
        CPPUNIT_ASSERT_EQUAL(static_cast<std::int64_t>(granted), used);
        CPPUNIT_ASSERT_EQUAL(first.All().size(),
                             first.CountUnfinished() + first.CountEnded());
      }
      CPPUNIT_ASSERT_EQUAL(first.Digest(), second.Digest());
    }
  }

  // Guards against a table that needs more memory than an entry instance has.
  void MemoryPerTaskIsBounded()
  {
    constexpr std::int64_t kTasks = 111'000;
    constexpr std::int64_t kMaxBytesPerTask = 1'000;
    const auto before = mallinfo2().uordblks;
    for (std::int64_t i = 0; i < kTasks; ++i) {
      const std::string task = "order-2026-12-04-" + std::to_string(i);
      mTable.Apply(i, MakeAccept(task, "team-" + std::to_string(i % 470)));
      Grant(task, 1, "worker-" + std::to_string(i % 7'900));
    }
    const auto bytes =
      static_cast<std::int64_t>(mallinfo2().uordblks - before) / kTasks;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes) + " bytes per task",
                           bytes > 0 && bytes < kMaxBytesPerTask);
  }

private:
  TaskTable mTable;
  Offset mNextOffset = 100;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskTableTest);

} // namespace

} // namespace skylarkhill::tasks
