#include "skylarkhill/journal/record_codec.hpp"
#include "skylarkhill/journal/site_state.hpp"
#include "skylarkhill/journal/snapshot_planner.hpp"
#include "skylarkhill/tasks/task_names.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <thread>

#include "memory_log.hpp"

namespace skylarkhill::journal {

namespace {

constexpr std::int64_t kRetentionMs = 8'000;

SiteStateOptions
MakeSettings()
{
  SiteStateOptions settings;
  settings.mShards = 4;
  settings.mRetentionMs = kRetentionMs;
  settings.mRecordsPerPage = 3;
  return settings;
}

/// A stream reader and its state.
struct Replica
{
  StreamReader mReader;
  SiteState mState{ MakeSettings() };

  void ReadAll(const MemoryLog& aLog, std::int64_t aNowMs = 0)
  {
    const auto page = aLog.Page(mReader.NextOffset(), 1'000);
    mState.ApplyPage(mReader.OnPage(page, base::FromMicros(1)), aNowMs);
    mState.SetCaughtUp(mReader.CaughtUpTime());
  }
};

class SiteStateTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SiteStateTest);
  CPPUNIT_TEST(IgnoresAStaleSnapshotOfAnEndedTask);
  CPPUNIT_TEST(RestoresALiveTaskFromASnapshot);
  CPPUNIT_TEST(IgnoresAStaleRepeatOfAnExpiredAccept);
  CPPUNIT_TEST(CountsUndecodableRecords);
  CPPUNIT_TEST(RebuildsAfterAGap);
  CPPUNIT_TEST(ImportsAPeersState);
  CPPUNIT_TEST(RejectsAnIncompleteImport);
  CPPUNIT_TEST(WaitsForOffsets);
  CPPUNIT_TEST(SpreadsSnapshotsOverTimeAndInstances);
  CPPUNIT_TEST(PlansSnapshotsOfOldTasksOnly);
  CPPUNIT_TEST_SUITE_END();

public:
  void Write(const std::vector<SiteRecord>& aRecords,
             const WriterPosition& aPosition,
             std::int64_t aNowMs = 0)
  {
    Batch batch;
    batch.mWriter = "w";
    batch.mSequence = mNextSequence++;
    batch.mPosition = aPosition;
    batch.mWrittenAtMs = aNowMs;
    for (const auto& it : aRecords) {
      batch.mRecords.push_back(EncodeRecord(it));
    }
    mLog.Write(EncodeBatch(batch));
  }

  /// Writes as a writer that has read the whole stream.
  void Write(const std::vector<SiteRecord>& aRecords)
  {
    Write(aRecords, { mLog.End() - 1, mLog.Page(0, 0).mFirstRetained });
  }

  static SiteRecord Accept(const std::string& aTask)
  {
    tasks::AcceptRecord record;
    record.mSpec.mTask.mValue = aTask;
    record.mSpec.mTeam = "team";
    return tasks::TaskRecord(record);
  }
  static SiteRecord Grant(const std::string& aTask, std::int64_t aAttempt)
  {
    return tasks::TaskRecord(
      tasks::GrantRecord{ { aTask }, aAttempt, { "worker" } });
  }
  static SiteRecord End(const std::string& aTask,
                        std::int64_t aAttempt,
                        tasks::AttemptOutcome aOutcome)
  {
    return tasks::TaskRecord(
      tasks::EndRecord{ { aTask }, aAttempt, aOutcome, {}, {} });
  }
  static SiteRecord Intent(const std::string& aKey)
  {
    return requests::KeyRecord(requests::IntentRecord{ { aKey }, { "i" } });
  }

  static SiteRecord Outcome(const std::string& aKey)
  {
    requests::OutcomeRecord record;
    record.mKey.mValue = aKey;
    record.mInstance.mValue = "i";
    return requests::KeyRecord(record);
  }

  // Guards against a snapshot that revives an ended task: its writer was paused
  // before the append until the task's end record had expired.
  void IgnoresAStaleSnapshotOfAnEndedTask()
  {
    Write({ Accept("a") });
    Write({ Grant("a", 1) });
    mReplica.ReadAll(mLog);
    const auto stale = *mReplica.mState.SnapshotTask({ "a" });
    Write({ End("a", 1, tasks::AttemptOutcome::Completed) });
    Write({ Accept("other") });
    mReplica.ReadAll(mLog);
    mLog.Expire(3);
    mReplica.ReadAll(mLog);
    Write({ stale });
    Replica lateReplica;
    lateReplica.ReadAll(mLog);
    mReplica.ReadAll(mLog);
    CPPUNIT_ASSERT(!lateReplica.mState.FindTask({ "a" }).has_value());
    CPPUNIT_ASSERT(!mReplica.mState.FindTask({ "a" }).has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1),
                         lateReplica.mState.Counts().mStaleRecords);
    // Without the check for stale records, the snapshot makes the ended task
    // unfinished again.
    tasks::TaskTable table;
    table.ApplySnapshot(stale.mAsOf, stale.mTask);
    CPPUNIT_ASSERT(table.Find({ "a" })->mState == tasks::TaskState::Granted);
  }

  // Guards against the loss of an unfinished task whose accept record expired.
  void RestoresALiveTaskFromASnapshot()
  {
    Write({ Accept("a"), Intent("k") });
    mReplica.ReadAll(mLog);
    const auto task = *mReplica.mState.SnapshotTask({ "a" });
    const auto key = *mReplica.mState.SnapshotKey({ "k" });
    Write({ Grant("a", 1) });
    Write({ End("a", 1, tasks::AttemptOutcome::Evicted) });
    Write({ task, key });
    Write({ Grant("a", 2) });
    mLog.Expire(1);
    Replica lateReplica;
    lateReplica.ReadAll(mLog);
    mReplica.ReadAll(mLog);
    CPPUNIT_ASSERT_EQUAL(mReplica.mState.UnfinishedDigest(),
                         lateReplica.mState.UnfinishedDigest());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2),
                         lateReplica.mState.FindTask({ "a" })->mLastAttempt);
    CPPUNIT_ASSERT(lateReplica.mState.FindKey({ "k" }).mState ==
                   requests::KeyState::Claimed);
  }

  // Guards against a delayed duplicate of an accept that runs an ended task
  // again at instances that no longer have its records.
  void IgnoresAStaleRepeatOfAnExpiredAccept()
  {
    const WriterPosition before{ -1, 0 };
    Write({ Accept("a"), Intent("k") });
    Write({ Grant("a", 1) });
    Write({ End("a", 1, tasks::AttemptOutcome::Completed), Outcome("k") });
    mReplica.ReadAll(mLog);
    Replica laggingReplica;
    laggingReplica.ReadAll(mLog);
    mLog.Expire(3);
    mReplica.ReadAll(mLog);
    Write({ Accept("a"), Intent("k") }, before);
    Replica lateReplica;
    lateReplica.ReadAll(mLog);
    mReplica.ReadAll(mLog);
    CPPUNIT_ASSERT(!lateReplica.mState.FindTask({ "a" }).has_value());
    CPPUNIT_ASSERT(mReplica.mState.FindTask({ "a" })->mState ==
                   tasks::TaskState::Completed);
    CPPUNIT_ASSERT(lateReplica.mState.FindKey({ "k" }).mState ==
                   requests::KeyState::Claimed);
    CPPUNIT_ASSERT(
      lateReplica.mState.FindKey({ "k" }).mClaimant.mValue.empty());
    CPPUNIT_ASSERT(lateReplica.mState.IsTaskKnown({ "a" }));
    // A duplicate is ignored while any record with the id is retained.
    Write({ Accept("a") }, { 3, 3 });
    laggingReplica.ReadAll(mLog);
    mReplica.ReadAll(mLog);
    lateReplica.ReadAll(mLog);
    CPPUNIT_ASSERT(mReplica.mState.FindTask({ "a" })->mState ==
                   tasks::TaskState::Completed);
    CPPUNIT_ASSERT(!lateReplica.mState.FindTask({ "a" }).has_value());
    // Afterwards the id may be reused, also at a replica that still has the
    // tombstone.
    mLog.Expire(5);
    Write({ Accept("a") }, { 4, 5 });
    mReplica.ReadAll(mLog);
    lateReplica.ReadAll(mLog);
    laggingReplica.ReadAll(mLog);
    CPPUNIT_ASSERT(mReplica.mState.FindTask({ "a" }).has_value());
    CPPUNIT_ASSERT_EQUAL(mReplica.mState.UnfinishedDigest(),
                         laggingReplica.mState.UnfinishedDigest());
    CPPUNIT_ASSERT_EQUAL(mReplica.mState.UnfinishedDigest(),
                         lateReplica.mState.UnfinishedDigest());
  }

  // Guards against a record of a newer release that stops the reader of an
  // older one.
  void CountsUndecodableRecords()
  {
    Batch batch;
    batch.mWriter = "newer";
    batch.mSequence = 1;
    batch.mRecords = { EncodeRecord(Accept("a")),
                       "\x92\x7f\x01",
                       EncodeRecord(Accept("b")) };
    mLog.Write(EncodeBatch(batch));
    mReplica.ReadAll(mLog);
    const auto counts = mReplica.mState.Counts();
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), counts.mUndecodableRecords);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), counts.mUnfinishedTasks);
  }

  // Guards against tasks that stay unfinished because their end records expired
  // while the instance was paused.
  void RebuildsAfterAGap()
  {
    Write({ Accept("a") });
    mReplica.ReadAll(mLog);
    Write({ Grant("a", 1) });
    Write({ End("a", 1, tasks::AttemptOutcome::Completed) });
    Write({ Accept("b") });
    mLog.Expire(3);
    CPPUNIT_ASSERT(mReplica.mState.IsReady());
    mReplica.ReadAll(mLog);
    CPPUNIT_ASSERT(!mReplica.mState.FindTask({ "a" }).has_value());
    CPPUNIT_ASSERT(mReplica.mState.FindTask({ "b" }).has_value());
    CPPUNIT_ASSERT(mReplica.mState.IsReady());
  }

  // Guards against records that are applied twice or skipped after an import,
  // as the shards are exported at different offsets.
  void ImportsAPeersState()
  {
    for (int i = 0; i < 20; ++i) {
      Write({ Accept("t" + std::to_string(i)), Intent(std::to_string(i)) });
    }
    for (int i = 0; i < 20; i += 2) {
      const std::string task = "t" + std::to_string(i);
      Write({ Grant(task, 1), Grant("unknown", 1) });
      Write({ End(task, 1, tasks::AttemptOutcome::Evicted) });
    }
    mReplica.ReadAll(mLog);
    const StateHeader header =
      mReplica.mState.ExportHeader(mReplica.mReader.Export());
    std::vector<StatePage> pages;
    for (std::size_t i = 0; i < mReplica.mState.CountShards(); ++i) {
      for (auto& it : mReplica.mState.ExportShard(i)) {
        pages.push_back(std::move(it));
      }
      Write({ Grant("t0", 2) });
      Write({ Grant("t1", 1) });
      Write({ End("t1", 1, tasks::AttemptOutcome::Evicted) });
      mReplica.ReadAll(mLog);
    }
    Replica lateReplica;
    CPPUNIT_ASSERT(lateReplica.mState.Import(header, pages).has_value());
    lateReplica.mReader.Import(header.mReader);
    CPPUNIT_ASSERT(lateReplica.mState.IsReady());
    lateReplica.ReadAll(mLog);
    CPPUNIT_ASSERT_EQUAL(mReplica.mState.UnfinishedDigest(),
                         lateReplica.mState.UnfinishedDigest());
    CPPUNIT_ASSERT_EQUAL(mReplica.mState.Counts().mUnfinishedTasks,
                         lateReplica.mState.Counts().mUnfinishedTasks);
    CPPUNIT_ASSERT_EQUAL(mReplica.mState.NextOffset(),
                         lateReplica.mState.NextOffset());
  }

  void RejectsAnIncompleteImport()
  {
    Write({ Accept("a") });
    mReplica.ReadAll(mLog);
    const StateHeader header =
      mReplica.mState.ExportHeader(mReplica.mReader.Export());
    Replica lateReplica;
    CPPUNIT_ASSERT(
      lateReplica.mState.Import(header, mReplica.mState.ExportShard(0))
        .has_error());
    StatePage page;
    page.mShard = 9;
    CPPUNIT_ASSERT(lateReplica.mState.Import(header, { page }).has_error());
    page.mShard = 0;
    page.mRecords = { "junk" };
    CPPUNIT_ASSERT(lateReplica.mState.Import(header, { page }).has_error());
    CPPUNIT_ASSERT(!lateReplica.mState.IsReady());
  }

  void WaitsForOffsets()
  {
    base::ManualClock clock;
    const auto deadline = clock.Now() + std::chrono::seconds(1);
    Write({ Accept("a") });
    bool applied = false;
    bool caughtUp = false;
    std::thread waiter([&] {
      applied = mReplica.mState.WaitUntilApplied(0, clock, deadline);
      caughtUp =
        mReplica.mState.WaitUntilCaughtUp(base::FromMicros(1), clock, deadline);
    });
    mReplica.ReadAll(mLog);
    waiter.join();
    CPPUNIT_ASSERT(applied);
    CPPUNIT_ASSERT(caughtUp);
    clock.Set(deadline);
    CPPUNIT_ASSERT(!mReplica.mState.WaitUntilApplied(1, clock, deadline));
    CPPUNIT_ASSERT(
      !mReplica.mState.WaitUntilCaughtUp(base::FromMicros(2), clock, deadline));
  }

  // Guards against all instances writing the same snapshots at the same time,
  // and against a task that gets no snapshot because the preferred instance has
  // failed.
  void SpreadsSnapshotsOverTimeAndInstances()
  {
    const std::vector<base::InstanceId> live{ { "a" }, { "b" }, { "c" } };
    std::map<std::string, int> first;
    std::set<std::int64_t> ages;
    for (int i = 0; i < 300; ++i) {
      const std::string id = "t" + std::to_string(i);
      int preferred = 0;
      for (const auto& it : live) {
        const auto age = SnapshotAgeMs(id, it, live, kRetentionMs);
        CPPUNIT_ASSERT(age >= kRetentionMs / 2);
        CPPUNIT_ASSERT(age < kRetentionMs * 7 / 8);
        if (age < kRetentionMs * 5 / 8) {
          ++preferred;
          ++first[it.mValue];
          ages.insert(age);
        }
      }
      CPPUNIT_ASSERT_EQUAL(1, preferred);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), first.size());
    CPPUNIT_ASSERT(first["a"] > 60 && first["b"] > 60 && first["c"] > 60);
    CPPUNIT_ASSERT(ages.size() > 200);
  }

  void PlansSnapshotsOfOldTasksOnly()
  {
    Write({ Accept("old"), Accept("ended"), Intent("k") }, { -1, 0 }, 1'000);
    Write({ Grant("ended", 1) }, { 0, 0 }, 1'100);
    Write(
      { End("ended", 1, tasks::AttemptOutcome::Completed) }, { 1, 0 }, 1'200);
    Write({ Accept("young") }, { 2, 0 }, 3'000);
    mReplica.ReadAll(mLog, 3'000);
    SnapshotPlanner planner({ { "i" }, kRetentionMs, 10, 100 });
    CPPUNIT_ASSERT(planner.Plan(mReplica.mState, { { "i" } }, 4'900).empty());
    const auto plan = planner.Plan(mReplica.mState, { { "i" } }, 6'100);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), plan.size());
    CPPUNIT_ASSERT_EQUAL(
      std::string("old"),
      std::get<TaskSnapshotRecord>(plan[0]).mTask.mSpec.mTask.mValue);
    CPPUNIT_ASSERT_EQUAL(Offset(3), std::get<KeySnapshotRecord>(plan[1]).mAsOf);
    CPPUNIT_ASSERT_MESSAGE("already planned",
                           planner.Plan(mReplica.mState, {}, 6'200).empty());
    Write(plan, { 3, 0 }, 6'300);
    mReplica.ReadAll(mLog, 6'300);
    const auto next = planner.Plan(mReplica.mState, {}, 8'300);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), next.size());
    CPPUNIT_ASSERT_EQUAL(
      std::string("young"),
      std::get<TaskSnapshotRecord>(next[0]).mTask.mSpec.mTask.mValue);
  }

private:
  MemoryLog mLog;
  Replica mReplica;
  std::int64_t mNextSequence = 1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SiteStateTest);

} // namespace

} // namespace skylarkhill::journal
