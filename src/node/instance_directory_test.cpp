#include "skylarkhill/base/msgpack.hpp"
#include "skylarkhill/node/instance_directory.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "fake_shared_log_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const LogStream kStream{ "instances", 0 };
constexpr base::Duration kInterval = seconds(5);
constexpr base::Duration kStep = milliseconds(50);

InstanceEntry
MakeEntry(const std::string& aName)
{
  return { aName, "domain-1", "127.0.0.1:7000", 0.12 };
}

/// The rate of calls that the log answers for all instances together.
struct CommonRate
{
  std::size_t mCallsPerSecond = std::numeric_limits<std::size_t>::max();
  /// Times of the calls of the last second that were not refused.
  std::deque<base::TimePoint> mAccepted;
  /// Calls by time, the refused ones included.
  std::map<base::TimePoint, int> mCalls;
  std::map<base::TimePoint, int> mRefused;
};

/// Refuses the calls that exceed the common rate, and the chosen ones.
class LimitedLog : public AsyncLog
{
public:
  LimitedLog(FakeLogState& aState, const base::Clock& aClock, CommonRate& aRate)
    : mInner(aState)
    , mClock(aClock)
    , mRate(aRate)
  {
  }

  void Append(const AppendRequest& aRequest,
              base::TimePoint aDeadline,
              std::function<void(AppendResult)> aHandler) override
  {
    if (IsAccepted()) {
      mInner.Append(aRequest, aDeadline, std::move(aHandler));
      return;
    }
    AppendResult refusal;
    refusal.mOutcome = LogOutcome::Refused;
    mRefusals.emplace_back([aHandler, refusal] { aHandler(refusal); });
  }

  void Read(const LogStream&,
            std::int64_t,
            base::Duration,
            std::function<void(ReadResult)>) override
  {
    CPPUNIT_FAIL("the directory reads only the newest records");
  }

  void ReadNewest(const LogStream& aStream,
                  std::function<void(ReadResult)> aHandler) override
  {
    ++mReadCount;
    const bool isChosen = mReadCount % mReadsPerAnswer != 0;
    if (!isChosen && IsAccepted()) {
      mInner.ReadNewest(aStream, std::move(aHandler));
      return;
    }
    ReadResult refusal;
    refusal.mOutcome = LogOutcome::Refused;
    mRefusals.emplace_back([aHandler, refusal] { aHandler(refusal); });
  }

  void Deliver()
  {
    auto refusals = std::move(mRefusals);
    mRefusals.clear();
    for (const auto& it : refusals) {
      it();
    }
    mInner.Deliver();
  }

  FakeSharedLog mInner;
  int mReadCount = 0;
  /// One of so many reads is not refused.
  int mReadsPerAnswer = 1;

private:
  bool IsAccepted()
  {
    const base::TimePoint now = mClock.Now();
    auto& accepted = mRate.mAccepted;
    while (!accepted.empty() && accepted.front() <= now - seconds(1)) {
      accepted.pop_front();
    }
    ++mRate.mCalls[now];
    if (accepted.size() >= mRate.mCallsPerSecond) {
      ++mRate.mRefused[now];
      return false;
    }
    accepted.push_back(now);
    return true;
  }

  const base::Clock& mClock;
  CommonRate& mRate;
  std::deque<std::function<void()>> mRefusals;
};

/// An instance with its access to the log.
struct Member
{
  Member(FakeLogState& aState,
         const base::Clock& aClock,
         CommonRate& aRate,
         const InstanceEntry& aEntry)
    : mLog(aState, aClock, aRate)
    , mDirectory(mLog, aClock, kStream, aEntry)
  {
  }

  LimitedLog mLog;
  InstanceDirectory mDirectory;
};

/// Largest number of calls in one step at `aFrom` or later.
int
MaxCalls(const std::map<base::TimePoint, int>& aCalls, base::TimePoint aFrom)
{
  int n = 0;
  for (auto it = aCalls.lower_bound(aFrom); it != aCalls.end(); ++it) {
    n = std::max(n, it->second);
  }
  return n;
}

} // namespace

class InstanceDirectoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(InstanceDirectoryTest);
  CPPUNIT_TEST(InstancesFindEachOther);
  CPPUNIT_TEST(LeavesOutSilentInstance);
  CPPUNIT_TEST(StoppedInstanceReturnsAfterRestart);
  CPPUNIT_TEST(CountsSilenceWhileSomeReadsFail);
  CPPUNIT_TEST(OutageRemovesNobody);
  CPPUNIT_TEST(OutageOfWritesRemovesNobody);
  CPPUNIT_TEST(LateAnswerRemovesNobody);
  CPPUNIT_TEST(ManyInstancesStartTogether);
  CPPUNIT_TEST(PausesGrowWhileTheLogIsDown);
  CPPUNIT_TEST(RefreshReadsAtTheNextTick);
  CPPUNIT_TEST(WaitsForCallsInProgress);
  CPPUNIT_TEST(SetIntervalShortensPauses);
  CPPUNIT_TEST(IgnoresFieldsOfLaterVersions);
  CPPUNIT_TEST(SkipsOddEntries);
  CPPUNIT_TEST(OwnEntryIsNotReplaced);
  CPPUNIT_TEST(DeletesOldRecordsOnce);
  CPPUNIT_TEST(AnotherInstanceDeletesIfOneCannotWrite);
  CPPUNIT_TEST(StreamStaysBounded);
  CPPUNIT_TEST(DeletedEntryOfLiveInstanceStays);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against instances that don't see each other, and so follow all cells
  // or none.
  void InstancesFindEachOther()
  {
    Start("a");
    CPPUNIT_ASSERT(!DirectoryOf("a").IsLoaded());
    CPPUNIT_ASSERT(DirectoryOf("a").Instances().count("a") == 1);
    RunFor(seconds(1));
    CPPUNIT_ASSERT(DirectoryOf("a").IsLoaded());
    Start("b");
    Start("c");
    RunFor(2 * kInterval);
    for (const char* name : { "a", "b", "c" }) {
      const auto& instances = DirectoryOf(name).Instances();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, instances.size());
      CPPUNIT_ASSERT(instances.at("b") == MakeEntry("b"));
    }
    const std::int64_t version = DirectoryOf("a").Version();
    RunFor(20 * kInterval);
    CPPUNIT_ASSERT_EQUAL(version, DirectoryOf("a").Version());
  }

  // Guards against an instance that is left out too early, on which the list
  // changes with each late announcement, and one that stays for too long.
  void LeavesOutSilentInstance()
  {
    Put("b", EncodeInstanceEntry(MakeEntry("b")));
    Member& a = Start("a");
    RunFor(kStep);
    const base::TimePoint readAt = mClock.Now();
    int reads = a.mLog.mReadCount;
    bool wasLeftOut = false;
    while (mClock.Now() < readAt + 4 * kInterval) {
      a.mDirectory.Refresh();
      RunFor(kStep);
      if (a.mLog.mReadCount == reads) {
        continue;
      }
      reads = a.mLog.mReadCount;
      const bool isListed = a.mDirectory.Instances().count("b") == 1;
      CPPUNIT_ASSERT_EQUAL(mClock.Now() - readAt < kInterval * 5 / 2, isListed);
      wasLeftOut = wasLeftOut || !isListed;
    }
    CPPUNIT_ASSERT(wasLeftOut);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, a.mDirectory.Version());
  }

  // Guards against an instance that stays unknown after its restart, or that
  // the others still ask at its old address.
  void StoppedInstanceReturnsAfterRestart()
  {
    for (const char* name : { "a", "b", "c" }) {
      Start(name);
    }
    RunFor(3 * kInterval);
    Stop("b");
    RunFor(kInterval);
    CPPUNIT_ASSERT(DirectoryOf("a").Instances().count("b") == 1);
    RunFor(4 * kInterval);
    CPPUNIT_ASSERT(DirectoryOf("a").Instances().count("b") == 0);
    CPPUNIT_ASSERT(DirectoryOf("c").Instances().count("b") == 0);
    const std::int64_t version = DirectoryOf("a").Version();
    InstanceEntry entry = MakeEntry("b");
    entry.mAddress = "127.0.0.2:7001";
    Start(entry);
    RunFor(kInterval + kStep);
    CPPUNIT_ASSERT(DirectoryOf("a").Instances().at("b") == entry);
    CPPUNIT_ASSERT_EQUAL(version + 1, DirectoryOf("a").Version());
    Stop("b");
    entry.mDomain = "domain-2";
    Start(entry);
    RunFor(kInterval + kStep);
    CPPUNIT_ASSERT(DirectoryOf("a").Instances().at("b") == entry);
    CPPUNIT_ASSERT_EQUAL(version + 2, DirectoryOf("a").Version());
  }

  // Guards against an instance that is gone and stays in the list because the
  // log refuses a part of the calls.
  void CountsSilenceWhileSomeReadsFail()
  {
    Start("a").mLog.mReadsPerAnswer = 4;
    Start("b");
    RunFor(3 * kInterval);
    CPPUNIT_ASSERT(DirectoryOf("a").Instances().count("b") == 1);
    Stop("b");
    RunFor(6 * kInterval);
    CPPUNIT_ASSERT(DirectoryOf("a").Instances().count("b") == 0);
  }

  // Guards against an outage of the log, short or long, after which instances
  // take each other for gone and change the cells that they follow.
  void OutageRemovesNobody()
  {
    constexpr std::size_t kInstances = 12;
    for (std::size_t n = 0; n < kInstances; ++n) {
      Start("i" + std::to_string(n));
      RunFor(milliseconds(370));
    }
    RunFor(3 * kInterval);
    const std::int64_t version = DirectoryOf("i0").Version();
    for (const int millis : { 300,
                              1000,
                              2600,
                              3900,
                              4900,
                              5100,
                              6300,
                              7600,
                              9900,
                              12400,
                              13000,
                              17000,
                              25000,
                              31000,
                              55000,
                              90000,
                              600000 }) {
      SetUnreachable(true);
      AssertInstancesFor(milliseconds(millis), kInstances);
      SetUnreachable(false);
      AssertInstancesFor(6 * kInterval, kInstances);
    }
    CPPUNIT_ASSERT_EQUAL(version, DirectoryOf("i0").Version());
  }

  // Guards against a log that answers reads and refuses all writes, on which
  // each instance takes itself for the only one and follows all cells.
  void OutageOfWritesRemovesNobody()
  {
    constexpr std::size_t kInstances = 12;
    for (std::size_t n = 0; n < kInstances; ++n) {
      Start("i" + std::to_string(n));
      RunFor(milliseconds(370));
    }
    Start("gone");
    RunFor(3 * kInterval);
    Stop("gone");
    RunFor(6 * kInterval);
    CPPUNIT_ASSERT_EQUAL(kInstances, DirectoryOf("i0").Instances().size());
    for (const int millis :
         { 25000, 1000, 4900, 6300, 9900, 13000, 17000, 90000 }) {
      SetUnwritable(true);
      AssertInstancesFor(milliseconds(millis), kInstances);
      SetUnwritable(false);
      AssertInstancesFor(6 * kInterval, kInstances);
    }
    Stop("i1");
    RunFor(6 * kInterval);
    CPPUNIT_ASSERT_EQUAL(kInstances - 1, DirectoryOf("i0").Instances().size());
  }

  // Guards against an answer that is handled late, as on an instance that was
  // suspended, and counts as silence of all others.
  void LateAnswerRemovesNobody()
  {
    Member& a = Start("a");
    Start("b");
    RunFor(3 * kInterval);
    const std::int64_t version = a.mDirectory.Version();
    a.mLog.mInner.mHoldsResponses = true;
    RunFor(20 * kInterval);
    a.mLog.mInner.mHoldsResponses = false;
    RunFor(5 * kInterval);
    CPPUNIT_ASSERT_EQUAL(version, a.mDirectory.Version());
  }

  // Guards against instances that start at the same moment, exceed the rate of
  // the log together, come again together and so never get an answer.
  void ManyInstancesStartTogether()
  {
    constexpr int kInstances = 301;
    // They need 121 to 161 calls a second.
    mRate.mCallsPerSecond = 200;
    mStep = milliseconds(10);
    for (int n = 0; n < kInstances; ++n) {
      Start("host-" + std::to_string(n) + ".site");
    }
    const base::TimePoint startedAt = mClock.Now() + mStep;
    RunFor(6 * kInterval);
    for (const auto& [name, member] : mMembers) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name,
                                   static_cast<std::size_t>(kInstances),
                                   member->mDirectory.Instances().size());
    }
    const int together = mRate.mCalls.at(startedAt);
    CPPUNIT_ASSERT_EQUAL(2 * kInstances, together);
    CPPUNIT_ASSERT(MaxCalls(mRate.mCalls, startedAt + mStep) < together / 4);
    const base::TimePoint settledAt = mClock.Now();
    RunFor(2 * kInterval);
    CPPUNIT_ASSERT_EQUAL(0, MaxCalls(mRate.mRefused, settledAt));
    CPPUNIT_ASSERT(MaxCalls(mRate.mCalls, settledAt) < kInstances / 10);
  }

  // Guards against calls at a fixed short pause that keep a log down that is
  // over its rate, and a pause so long that instances return late.
  void PausesGrowWhileTheLogIsDown()
  {
    Member& a = Start("a");
    RunFor(kInterval);
    SetUnreachable(true);
    RunFor(10 * kInterval);
    int reads = a.mLog.mReadCount;
    RunFor(10 * kInterval);
    CPPUNIT_ASSERT(a.mLog.mReadCount - reads <= 20);
    CPPUNIT_ASSERT(a.mLog.mReadCount - reads >= 9);
    // The pauses are short again after a success.
    SetUnreachable(false);
    RunFor(2 * kInterval);
    SetUnreachable(true);
    RunFor(kInterval);
    reads = a.mLog.mReadCount;
    SetUnreachable(false);
    RunFor(kInterval);
    CPPUNIT_ASSERT(a.mLog.mReadCount > reads);
  }

  // Guards against a caller that finds an instance gone and waits for the next
  // regular read, and against refreshes that undo the pause after a failure.
  void RefreshReadsAtTheNextTick()
  {
    Member& a = Start("a");
    RunFor(kInterval);
    RunFor(kStep);
    const int reads = a.mLog.mReadCount;
    a.mDirectory.Refresh();
    CPPUNIT_ASSERT(a.mDirectory.NextTickAt() <= mClock.Now());
    a.mDirectory.Tick();
    CPPUNIT_ASSERT_EQUAL(reads + 1, a.mLog.mReadCount);
    // The read in progress may be older than what the caller knows.
    a.mDirectory.Refresh();
    a.mLog.Deliver();
    a.mDirectory.Tick();
    CPPUNIT_ASSERT_EQUAL(reads + 2, a.mLog.mReadCount);
    SetUnreachable(true);
    a.mLog.Deliver();
    a.mDirectory.Refresh();
    a.mDirectory.Tick();
    a.mLog.Deliver();
    CPPUNIT_ASSERT_EQUAL(reads + 3, a.mLog.mReadCount);
    a.mDirectory.Refresh();
    a.mDirectory.Tick();
    CPPUNIT_ASSERT_EQUAL(reads + 3, a.mLog.mReadCount);
  }

  // Guards against a loop that calls Tick without pause during a call, or sends
  // a call a second time.
  void WaitsForCallsInProgress()
  {
    Member& a = Start("a");
    CPPUNIT_ASSERT(a.mDirectory.NextTickAt() <= mClock.Now());
    a.mDirectory.Tick();
    CPPUNIT_ASSERT(a.mDirectory.NextTickAt() == base::kNoDeadline);
    mClock.Advance(10 * kInterval);
    a.mDirectory.Tick();
    CPPUNIT_ASSERT_EQUAL(1, a.mLog.mReadCount);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Records().size());
    a.mLog.Deliver();
    a.mDirectory.Tick();
    a.mLog.Deliver();
    CPPUNIT_ASSERT_EQUAL(2, a.mLog.mReadCount);
    CPPUNIT_ASSERT(a.mDirectory.NextTickAt() > mClock.Now() + kInterval / 2);
    CPPUNIT_ASSERT(a.mDirectory.NextTickAt() <= mClock.Now() + kInterval);
  }

  // Guards against an instance that keeps to the interval of a larger site and
  // is left out by the others.
  void SetIntervalShortensPauses()
  {
    Member& a = Start("a");
    a.mDirectory.SetInterval(seconds(60));
    RunFor(seconds(20));
    CPPUNIT_ASSERT_EQUAL(1, a.mLog.mReadCount);
    a.mDirectory.SetInterval(seconds(2));
    RunFor(seconds(2) + kStep);
    CPPUNIT_ASSERT_EQUAL(2, a.mLog.mReadCount);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, Records().size());
    // An interval of zero must not become a loop of calls.
    a.mDirectory.SetInterval(base::Duration::zero());
    RunFor(seconds(10));
    CPPUNIT_ASSERT(a.mLog.mReadCount < 60);
  }

  // Guards against instances that skip the entries of later versions during a
  // change of the version.
  void IgnoresFieldsOfLaterVersions()
  {
    using LaterFields = std::tuple<std::string,
                                   std::string,
                                   std::string,
                                   double,
                                   std::string,
                                   std::int64_t,
                                   std::int64_t,
                                   std::vector<std::string>>;
    InstanceEntry entry = MakeEntry("b");
    entry.mInstanceId = "b/1";
    entry.mStartedMs = 17;
    Put("b",
        base::PackMsgpack(LaterFields{ entry.mName,
                                       entry.mDomain,
                                       entry.mAddress,
                                       entry.mProcessors,
                                       entry.mInstanceId,
                                       entry.mStartedMs,
                                       7,
                                       { "x", "y" } }));
    Start("a");
    RunFor(kStep);
    CPPUNIT_ASSERT(DirectoryOf("a").Instances().at("b") == entry);
  }

  // Guards against a process that ends at the bytes of another writer, or uses
  // an entry that makes no sense.
  void SkipsOddEntries()
  {
    auto withProcessors = [](double aProcessors) {
      InstanceEntry entry = MakeEntry("odd");
      entry.mProcessors = aProcessors;
      return EncodeInstanceEntry(entry);
    };
    InstanceEntry longDomain = MakeEntry("odd");
    longDomain.mDomain.assign(100'000, 'x');
    InstanceEntry longAddress = MakeEntry("odd");
    longAddress.mAddress.assign(256, '1');
    const std::string good = EncodeInstanceEntry(MakeEntry("odd"));
    const std::vector<std::string> values{
      "x",
      std::string("\0", 1),
      std::string("\xc1", 1),
      "{\"name\":\"odd\"}",
      good.substr(0, good.size() / 2),
      // A length of 4,294,967,295 elements, and arrays in arrays.
      std::string("\xdd\xff\xff\xff\xff", 5),
      std::string(10'000, '\x91'),
      base::PackMsgpack(std::tuple<>{}),
      base::PackMsgpack(std::tuple<int, int>{ 1, 2 }),
      base::PackMsgpack(std::string("odd")),
      EncodeInstanceEntry(MakeEntry("")),
      EncodeInstanceEntry(MakeEntry("other")),
      withProcessors(-0.5),
      withProcessors(std::nan("")),
      withProcessors(std::numeric_limits<double>::infinity()),
      withProcessors(1e9),
      EncodeInstanceEntry(longDomain),
      EncodeInstanceEntry(longAddress),
    };
    Put("b", EncodeInstanceEntry(MakeEntry("b")));
    Put("", EncodeInstanceEntry(MakeEntry("")));
    Member& a = Start("a");
    for (const auto& it : values) {
      Put("odd", it);
      Put("b", EncodeInstanceEntry(MakeEntry("b")));
      a.mDirectory.Refresh();
      RunFor(kStep);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, a.mDirectory.Instances().size());
      CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, a.mDirectory.Version());
    }
    Put("odd", good);
    a.mDirectory.Refresh();
    RunFor(kStep);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, a.mDirectory.Instances().size());
    // An odd record in place of a good one ends the entry.
    Put("odd", "x");
    a.mDirectory.Refresh();
    RunFor(kStep);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, a.mDirectory.Instances().size());
  }

  // Guards against an instance that takes the entry of its previous run, or of
  // another writer, for its own.
  void OwnEntryIsNotReplaced()
  {
    InstanceEntry previous = MakeEntry("a");
    previous.mAddress = "127.0.0.9:1";
    Start("a");
    RunFor(kStep);
    Put("a", EncodeInstanceEntry(previous));
    DirectoryOf("a").Refresh();
    RunFor(kStep);
    CPPUNIT_ASSERT(DirectoryOf("a").Instances().at("a") == MakeEntry("a"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, DirectoryOf("a").Version());
  }

  // Guards against records of replaced instances that stay forever, return to
  // the list, or are deleted by all instances at once.
  void DeletesOldRecordsOnce()
  {
    constexpr std::size_t kInstances = 40;
    constexpr std::size_t kGone = 10;
    for (std::size_t n = 0; n < kGone; ++n) {
      const std::string name = "gone-" + std::to_string(n);
      Put(name, EncodeInstanceEntry(MakeEntry(name)));
    }
    Put("odd", "x");
    for (std::size_t n = 0; n < kInstances; ++n) {
      Start("i" + std::to_string(n));
    }
    RunFor(9 * kInterval);
    CPPUNIT_ASSERT(Deletions().empty());
    CPPUNIT_ASSERT_EQUAL(kInstances, DirectoryOf("i0").Instances().size());
    const std::int64_t version = DirectoryOf("i0").Version();
    for (int n = 0; n < 9; ++n) {
      RunFor(kInterval - kStep);
      // All instances read the records before one of them deletes any.
      for (const auto& [name, member] : mMembers) {
        member->mDirectory.Refresh();
      }
      RunFor(kStep);
    }
    const auto deletions = Deletions();
    CPPUNIT_ASSERT_EQUAL(kGone + 1, deletions.size());
    for (const auto& [key, count] : deletions) {
      CPPUNIT_ASSERT_MESSAGE(
        key + " deleted " + std::to_string(count) + " times", count <= 3);
    }
    RunFor(30 * kInterval);
    CPPUNIT_ASSERT(deletions == Deletions());
    CPPUNIT_ASSERT_EQUAL(version, DirectoryOf("i0").Version());
  }

  // Guards against a record that stays because the instance whose turn it is
  // can't write.
  void AnotherInstanceDeletesIfOneCannotWrite()
  {
    for (int n = 0; n < 6; ++n) {
      const std::string name = "gone-" + std::to_string(n);
      Put(name, EncodeInstanceEntry(MakeEntry(name)));
    }
    for (const char* name : { "a", "b", "c" }) {
      Start(name);
    }
    RunFor(3 * kInterval);
    mMembers.at("a")->mLog.mInner.mUnwritableTopics.insert(kStream.mTopic);
    mMembers.at("b")->mLog.mInner.mUnwritableTopics.insert(kStream.mTopic);
    RunFor(40 * kInterval);
    const auto deletions = Deletions();
    for (int n = 0; n < 6; ++n) {
      CPPUNIT_ASSERT(deletions.count("gone-" + std::to_string(n)) == 1);
    }
    // For the only one that can write, the others are gone, too.
    CPPUNIT_ASSERT(deletions.count("a") == 1);
    CPPUNIT_ASSERT(deletions.count("b") == 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, deletions.size());
  }

  // Guards against a stream that grows all day on a site whose instances are
  // replaced under new names.
  void StreamStaysBounded()
  {
    constexpr std::size_t kInstances = 8;
    constexpr std::size_t kReplaced = 200;
    constexpr int kIntervalsPerReplacement = 3;
    // Ten intervals of silence, and time for the turns of instances that have
    // not been running for as long.
    constexpr int kMaxIntervalsToDeletion = 30;
    std::size_t maxKeys = 0;
    for (std::size_t n = 0; n < kReplaced; ++n) {
      Start("i" + std::to_string(n));
      if (n >= kInstances) {
        Stop("i" + std::to_string(n - kInstances));
      }
      RunFor(kIntervalsPerReplacement * kInterval);
      maxKeys = std::max(maxKeys, CountKeys());
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(maxKeys) + " keys",
                           maxKeys <= kInstances + kMaxIntervalsToDeletion /
                                                     kIntervalsPerReplacement);
    RunFor(kMaxIntervalsToDeletion * kInterval);
    CPPUNIT_ASSERT_EQUAL(kInstances, CountKeys());
  }

  // Guards against an instance that is left out because a deletion of its old
  // record was carried out after its return.
  void DeletedEntryOfLiveInstanceStays()
  {
    Start("a");
    Start("b");
    RunFor(3 * kInterval);
    const std::int64_t version = DirectoryOf("a").Version();
    Put("b", "");
    DirectoryOf("a").Refresh();
    RunFor(kStep);
    CPPUNIT_ASSERT(DirectoryOf("a").Instances().count("b") == 1);
    RunFor(5 * kInterval);
    CPPUNIT_ASSERT_EQUAL(version, DirectoryOf("a").Version());
  }

private:
  Member& Start(const std::string& aName) { return Start(MakeEntry(aName)); }

  Member& Start(const InstanceEntry& aEntry)
  {
    auto& member = mMembers[aEntry.mName];
    member = std::make_unique<Member>(mState, mClock, mRate, aEntry);
    return *member;
  }

  void Stop(const std::string& aName) { mMembers.erase(aName); }

  InstanceDirectory& DirectoryOf(const std::string& aName)
  {
    return mMembers.at(aName)->mDirectory;
  }

  void SetUnreachable(bool aIsUnreachable)
  {
    for (const auto& [name, member] : mMembers) {
      member->mLog.mInner.mIsUnreachable = aIsUnreachable;
    }
  }

  void RunFor(base::Duration aTime)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(mStep);
      for (const auto& [name, member] : mMembers) {
        member->mDirectory.Tick();
      }
      for (const auto& [name, member] : mMembers) {
        member->mLog.Deliver();
      }
    }
  }

  void SetUnwritable(bool aIsUnwritable)
  {
    for (const auto& [name, member] : mMembers) {
      auto& topics = member->mLog.mInner.mUnwritableTopics;
      topics.clear();
      if (aIsUnwritable) {
        topics.insert(kStream.mTopic);
      }
    }
  }

  /// Runs for `aTime`, in which each list must have `aCount` entries.
  void AssertInstancesFor(base::Duration aTime, std::size_t aCount)
  {
    const base::TimePoint start = mClock.Now();
    while (mClock.Now() < start + aTime) {
      RunFor(kStep);
      for (const auto& [name, member] : mMembers) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          name + " after " + std::to_string((mClock.Now() - start).count()) +
            " of " + std::to_string(aTime.count()) + " us",
          aCount,
          member->mDirectory.Instances().size());
      }
    }
  }

  /// Stores a record of another writer.
  void Put(const std::string& aKey, const std::string& aValue)
  {
    AppendRequest request;
    request.mStream = kStream;
    request.mRecords.push_back({ aKey, aValue, 0 });
    const AppendResult result =
      FakeSharedLog(mState).Append(request, base::kNoDeadline);
    CPPUNIT_ASSERT(result.mOutcome == LogOutcome::Done);
  }

  const std::vector<LogRecord>& Records()
  {
    return mState.mStreams[NameOfStream(kStream)];
  }

  /// Number of deletion records by key.
  std::map<std::string, int> Deletions()
  {
    std::map<std::string, int> deletions;
    for (const auto& it : Records()) {
      if (it.mValue.empty()) {
        ++deletions[it.mKey];
      }
    }
    return deletions;
  }

  /// Number of keys that have a value.
  std::size_t CountKeys()
  {
    std::set<std::string> keys;
    for (const auto& it : Records()) {
      if (it.mValue.empty()) {
        keys.erase(it.mKey);
      } else {
        keys.insert(it.mKey);
      }
    }
    return keys.size();
  }

  base::ManualClock mClock;
  base::Duration mStep = kStep;
  FakeLogState mState;
  CommonRate mRate;
  std::map<std::string, std::unique_ptr<Member>> mMembers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceDirectoryTest);

} // namespace skylarkhill::node
