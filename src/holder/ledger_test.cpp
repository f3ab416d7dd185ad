#include "skylarkhill/holder/ledger.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::holder {

namespace {

const worker::AttemptKey kTask{ { "a" }, 1 };
const worker::AttemptKey kOther{ { "b" }, 1 };

class LedgerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LedgerTest);
  CPPUNIT_TEST(NothingFitsBeforeTheFirstReport);
  CPPUNIT_TEST(UnknownStartIsCountedUntilItExpires);
  CPPUNIT_TEST(ShrunkCapacityAdmitsNothingNew);
  CPPUNIT_TEST(UsageEstimateIsCappedByCapacity);
  CPPUNIT_TEST(GrantIsReplacedByItsStart);
  CPPUNIT_TEST(CallWithLostAnswerKeepsItsSlot);
  CPPUNIT_TEST(InheritedCallsKeepTheirSlots);
  CPPUNIT_TEST_SUITE_END();

public:
  void NothingFitsBeforeTheFirstReport()
  {
    Ledger ledger;
    CPPUNIT_ASSERT(!ledger.Fits({}));
    CPPUNIT_ASSERT(!ledger.BeginCall(1, {}));
  }

  // Guards against overcommitment after the answer to a start was lost.
  void UnknownStartIsCountedUntilItExpires()
  {
    Ledger ledger;
    ledger.ApplyReport(MakePoll(10, {}));
    CPPUNIT_ASSERT(
      ledger.CommitStart(kTask, { 600, 0, 0 }, MakeExpiry(20, 30)));
    ledger.ApplyReport(MakePoll(20, {}));
    CPPUNIT_ASSERT(!ledger.Fits({ 600, 0, 0 }));
    ledger.ApplyReport(MakePoll(29, {}));
    CPPUNIT_ASSERT(ledger.IsStartInFlight(kTask));
    ledger.ApplyReport(MakePoll(30, {}));
    CPPUNIT_ASSERT(ledger.Fits({ 600, 0, 0 }));
    ledger.ApplyReport(MakePoll(31, { MakeTask(kTask, 600) }));
    CPPUNIT_ASSERT(!ledger.Fits({ 600, 0, 0 }));
    ledger.ApplyReport(MakePoll(30, {}));
    CPPUNIT_ASSERT(!ledger.Fits({ 600, 0, 0 }));
  }

  void ShrunkCapacityAdmitsNothingNew()
  {
    Ledger ledger;
    PollResult poll = MakePoll(10, { MakeTask(kTask, 600) });
    poll.mReport.mCapacity = { 500, 100, 0 };
    ledger.ApplyReport(poll);
    CPPUNIT_ASSERT(!ledger.Fits({ 0, 10, 0 }));
    CPPUNIT_ASSERT(
      !ledger.CommitStart(kOther, { 1, 1, 0 }, MakeExpiry(20, 20)));
    CPPUNIT_ASSERT(ledger.Committed() == (base::Resources{ 600, 0, 0 }));
  }

  // Guards against a committed capacity above the worker's capacity because of
  // an estimate that is too high.
  void UsageEstimateIsCappedByCapacity()
  {
    Ledger ledger;
    ledger.ApplyReport(
      MakePoll(10, { MakeTask(kTask, 300), MakeTask(kOther, 300) }));
    ledger.SetUsageEstimate(kTask, base::Resources{ 500, 20, 0 });
    CPPUNIT_ASSERT(ledger.Committed() == (base::Resources{ 800, 20, 0 }));
    ledger.SetUsageEstimate(kTask, base::Resources{ 5000, 20, 0 });
    CPPUNIT_ASSERT(ledger.Committed() == (base::Resources{ 1000, 20, 0 }));
    ledger.SetUsageEstimate(kTask, base::Resources{ 100, 0, 0 });
    CPPUNIT_ASSERT(ledger.Committed() == (base::Resources{ 600, 0, 0 }));
  }

  void GrantIsReplacedByItsStart()
  {
    Ledger ledger;
    ledger.ApplyReport(MakePoll(10, {}));
    ledger.SetServiceReserve({ 200, 0, 0 });
    CPPUNIT_ASSERT(ledger.CommitGrant(kTask, { 800, 0, 0 }));
    CPPUNIT_ASSERT(!ledger.CommitGrant(kOther, { 1, 0, 0 }));
    CPPUNIT_ASSERT(
      ledger.CommitStart(kTask, { 800, 0, 0 }, MakeExpiry(20, 20)));
    ledger.CancelGrant(kTask);
    CPPUNIT_ASSERT(!ledger.Fits({ 1, 0, 0 }));
  }

  // Guards against a second call in a slot that a call whose answer was lost
  // still occupies.
  void CallWithLostAnswerKeepsItsSlot()
  {
    Ledger ledger;
    ledger.ApplyReport(MakePoll(10, {}));
    CPPUNIT_ASSERT(ledger.BeginCall(1, MakeExpiry(20, 20)));
    CPPUNIT_ASSERT(ledger.BeginCall(2, MakeExpiry(20, 20)));
    CPPUNIT_ASSERT(!ledger.BeginCall(3, MakeExpiry(20, 20)));
    ledger.EndCall(1);
    ledger.MarkAnswerLost(2);
    ledger.ApplyReport(MakePoll(15, {}));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), ledger.FreeCallCapacity().mSlots);
    PollResult busy = MakePoll(25, {});
    busy.mReport.mSlotsBusy = 1;
    ledger.ApplyReport(busy);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), ledger.FreeCallCapacity().mSlots);
    ledger.ApplyReport(MakePoll(26, {}));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), ledger.FreeCallCapacity().mSlots);
  }

  // Guards against double use of slots after a change of holder.
  void InheritedCallsKeepTheirSlots()
  {
    Ledger ledger;
    ledger.ApplyReport(MakePoll(9, {}));
    // Calls sent by the previous holder that arrived after the first report.
    PollResult busy = MakePoll(10, {});
    busy.mReport.mSlotsBusy = 2;
    ledger.ApplyReport(busy);
    CPPUNIT_ASSERT(!ledger.BeginCall(1, MakeExpiry(20, 20)));
    busy = MakePoll(11, {});
    busy.mReport.mSlotsBusy = 1;
    ledger.ApplyReport(busy);
    CPPUNIT_ASSERT(ledger.BeginCall(1, MakeExpiry(20, 20)));
    CPPUNIT_ASSERT(!ledger.BeginCall(2, MakeExpiry(20, 20)));
  }

private:
  static CommandExpiry MakeExpiry(worker::WorkerTime aNotAfter,
                                  int aLatestArrival)
  {
    return { aNotAfter, base::FromMicros(aLatestArrival) };
  }

  static worker::TaskReport MakeTask(const worker::AttemptKey& aKey,
                                     int aReserved)
  {
    worker::TaskReport report;
    report.mTask = aKey.mTask;
    report.mAttempt = aKey.mAttempt;
    report.mReserved = { aReserved, 0, 0 };
    return report;
  }

  static PollResult MakePoll(int aTime, std::vector<worker::TaskReport> aTasks)
  {
    PollResult poll;
    poll.mSentAt = base::FromMicros(aTime);
    poll.mReport.mNow = aTime;
    poll.mReport.mCapacity = { 1000, 100, 0 };
    poll.mReport.mSlots = 2;
    poll.mReport.mConnections = 64;
    poll.mReport.mTasks = std::move(aTasks);
    return poll;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

} // namespace

} // namespace skylarkhill::holder
