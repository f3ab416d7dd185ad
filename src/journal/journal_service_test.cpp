#include "skylarkhill/journal/journal_service.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include "memory_log.hpp"

namespace skylarkhill::journal {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A journal service with its own state.
struct Instance
{
  Instance(MemoryLog& aLog, const std::string& aWriter)
    : mService(MakeSettings(aWriter),
               aLog,
               mState,
               base::GetBootClock(),
               GetSystemWallClock())
  {
  }

  static JournalServiceOptions MakeSettings(const std::string& aWriter)
  {
    JournalServiceOptions settings;
    settings.mWriterOptions.mWriter = aWriter;
    settings.mWriterOptions.mRetryDelay = milliseconds(5);
    settings.mPollInterval = milliseconds(2);
    return settings;
  }

  base::Result<Offset> Submit(const SiteRecord& aRecord,
                              base::Duration aTimeout = seconds(20))
  {
    return mService.Submit({ aRecord }, base::GetBootClock().Now() + aTimeout);
  }

  SiteState mState{ {} };
  JournalService mService;
};

SiteRecord
Accept(const std::string& aTask)
{
  tasks::AcceptRecord record;
  record.mSpec.mTask.mValue = aTask;
  return tasks::TaskRecord(record);
}

class JournalServiceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JournalServiceTest);
  CPPUNIT_TEST(SubmitsConcurrentlyFromTwoInstances);
  CPPUNIT_TEST(AppendsOnceDespiteLostAnswers);
  CPPUNIT_TEST(DoesNotAppendAnIntentForAClaimedKey);
  CPPUNIT_TEST(RefusesWhileTheLogIsDown);
  CPPUNIT_TEST(StartsFromAPeerWhileTheLogIsDown);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against missed wake-ups between the threads, and against one append
  // per record.
  void SubmitsConcurrentlyFromTwoInstances()
  {
    Instance first(mLog, "a/1");
    Instance second(mLog, "b/1");
    first.mService.SetLiveInstances(2);
    first.mService.Start();
    second.mService.Start();
    std::atomic<int> failures{ 0 };
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int i = 0; i < 8; ++i) {
      threads.emplace_back([&, i] {
        Instance& instance = i % 2 == 0 ? first : second;
        for (int n = 0; n < 20; ++n) {
          // Every id is submitted at both instances.
          const auto task = std::to_string(i / 2) + "-" + std::to_string(n);
          if (!instance.Submit(Accept(task)) ||
              !instance.mState.FindTask({ task })) {
            ++failures;
          }
        }
      });
    }
    for (auto& it : threads) {
      it.join();
    }
    CPPUNIT_ASSERT_EQUAL(0, failures.load());
    const auto deadline = base::GetBootClock().Now() + seconds(20);
    CPPUNIT_ASSERT(first.mService.Drain(deadline));
    const auto now = base::GetBootClock().Now();
    for (Instance* it : { &first, &second }) {
      CPPUNIT_ASSERT(
        it->mState.WaitUntilCaughtUp(now, base::GetBootClock(), deadline));
      CPPUNIT_ASSERT_EQUAL(std::size_t(80),
                           it->mState.Counts().mUnfinishedTasks);
    }
    CPPUNIT_ASSERT_EQUAL(first.mState.UnfinishedDigest(),
                         second.mState.UnfinishedDigest());
    CPPUNIT_ASSERT(mLog.End() < 160);
  }

  // Guards against a submission that is appended twice or never when the answer
  // to an append is lost.
  void AppendsOnceDespiteLostAnswers()
  {
    Instance instance(mLog, "a/1");
    instance.mService.Start();
    mLog.mAnswersToLose = 1;
    CPPUNIT_ASSERT(instance.Submit(Accept("written")).has_value());
    CPPUNIT_ASSERT_EQUAL(Offset(1), mLog.End());
    mLog.mAppendsToDrop = 2;
    CPPUNIT_ASSERT(instance.Submit(Accept("dropped")).has_value());
    CPPUNIT_ASSERT_EQUAL(Offset(2), mLog.End());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(3),
                         instance.mService.Counts().mAnswersLost);
  }

  // Guards against a second request that takes an earlier request's claim of
  // the key for its own and runs the work again, because that claim is the
  // newest record (explorer, site simulation, seed 11).
  void DoesNotAppendAnIntentForAClaimedKey()
  {
    Instance instance(mLog, "a/1");
    instance.mService.Start();
    const base::RequestId key{ "key" };
    const SiteRecord intent =
      requests::KeyRecord(requests::IntentRecord{ key, { "a" } });
    const auto first = instance.Submit(intent);
    CPPUNIT_ASSERT_EQUAL(instance.mState.FindKey(key).mClaimedOffset,
                         first.value());
    CPPUNIT_ASSERT_EQUAL(kNotAppended, instance.Submit(intent).value());
  }

  // Guards against a submission that is reported as not written but is appended
  // when the log is available again.
  void RefusesWhileTheLogIsDown()
  {
    Instance instance(mLog, "a/1");
    instance.mService.Start();
    mLog.mIsDown = true;
    const auto refused = instance.Submit(Accept("a"), milliseconds(60));
    CPPUNIT_ASSERT(refused.has_error());
    CPPUNIT_ASSERT(refused.error().mKind == base::ErrorKind::LogUnavailable);
    mLog.mIsDown = false;
    CPPUNIT_ASSERT(instance.Submit(Accept("b")).has_value());
    CPPUNIT_ASSERT(!instance.mState.FindTask({ "a" }).has_value());
    instance.mService.Stop();
    CPPUNIT_ASSERT(instance.Submit(Accept("c")).error().mKind ==
                   base::ErrorKind::ShuttingDown);
  }

  // Guards against an instance that cannot become ready during a log outage
  // although a peer has the state.
  void StartsFromAPeerWhileTheLogIsDown()
  {
    Instance peer(mLog, "a/1");
    peer.mService.Start();
    CPPUNIT_ASSERT(peer.Submit(Accept("a")).has_value());
    mLog.mIsDown = true;
    Instance joined(mLog, "b/1");
    const StateHeader header = peer.mService.ExportHeader();
    std::vector<StatePage> pages;
    for (std::size_t i = 0; i < peer.mState.CountShards(); ++i) {
      for (auto& it : peer.mState.ExportShard(i)) {
        pages.push_back(std::move(it));
      }
    }
    CPPUNIT_ASSERT(joined.mService.Import(header, pages).has_value());
    joined.mService.Start();
    CPPUNIT_ASSERT(joined.mState.IsReady());
    CPPUNIT_ASSERT(joined.mState.FindTask({ "a" }).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), joined.mState.Queued(10).size());
    mLog.mIsDown = false;
    CPPUNIT_ASSERT(peer.Submit(Accept("b")).has_value());
    CPPUNIT_ASSERT(joined.Submit(Accept("c")).has_value());
    CPPUNIT_ASSERT(joined.mState.FindTask({ "b" }).has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), joined.mService.Counts().mGaps);
  }

private:
  MemoryLog mLog;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalServiceTest);

} // namespace

} // namespace skylarkhill::journal
