#include "skylarkhill/holder/lease_machine.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::holder {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::InstanceId kSelf{ "entry-1" };
const worker::HolderToken kOther{ { "entry-2" }, 7 };

class LeaseMachineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaseMachineTest);
  CPPUNIT_TEST(HoldsOnlyAfterVerification);
  CPPUNIT_TEST(BacksOffAfterCollision);
  CPPUNIT_TEST(WaitsForTheTakeoverDelay);
  CPPUNIT_TEST(DeadlineCountsFromSendTime);
  CPPUNIT_TEST(PauseBeyondTheDeadlineLosesTheLease);
  CPPUNIT_TEST(NewHolderReleasesDuringItsQuietPeriod);
  CPPUNIT_TEST(UnlistedLeaseIsLost);
  CPPUNIT_TEST(ReleaseIsFinal);
  CPPUNIT_TEST(ConvertedTimeIsNeverTooLate);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mRandom = base::CreateSeededRandom(1);
    mNow = base::FromMicros(1'000'000'000);
    mMachine = std::make_unique<LeaseMachine>(kSelf, mOptions, *mRandom);
  }

  void HoldsOnlyAfterVerification()
  {
    mMachine->SetPreferred(true);
    Answer(NextAction<ReadHolders>(), {});
    const auto set = NextAction<SetLease>();
    Answer(set, { set.mToken });
    CPPUNIT_ASSERT(!mMachine->MaySendCommands(mNow));
    Answer(NextAction<ReadHolders>(), { set.mToken });
    CPPUNIT_ASSERT(mMachine->MaySendCommands(mNow));
    CPPUNIT_ASSERT(mMachine->QuietPeriodEnd() == mNow + mOptions.mQuietPeriod);
  }

  // Guards against two instances that both hold the worker after they placed
  // their leases at the same time.
  void BacksOffAfterCollision()
  {
    mMachine->SetPreferred(true);
    Answer(NextAction<ReadHolders>(), {});
    const auto set = NextAction<SetLease>();
    Answer(set, { set.mToken, kOther });
    Answer(NextAction<ReadHolders>(), { set.mToken, kOther });
    const auto remove = NextAction<RemoveLease>();
    CPPUNIT_ASSERT(remove.mToken == set.mToken);
    mMachine->OnRemoved(remove.mRequest, mNow);
    CPPUNIT_ASSERT(mMachine->Step(mNow).empty());
    mNow += mOptions.mBackoffHigh;
    Answer(NextAction<ReadHolders>(), {});
    CPPUNIT_ASSERT(NextAction<SetLease>().mToken.mEpoch > kOther.mEpoch);
  }

  // Guards against non-preferred instances that place a lease before the
  // preferred holder can.
  void WaitsForTheTakeoverDelay()
  {
    Answer(NextAction<ReadHolders>(), { kOther });
    mNow += mOptions.mScanInterval;
    Answer(NextAction<ReadHolders>(), {});
    mNow += mOptions.mScanInterval;
    Answer(NextAction<ReadHolders>(), {});
    CPPUNIT_ASSERT(mMachine->State() == LeaseState::NotHeld);
    mNow += mOptions.mScanInterval;
    Answer(NextAction<ReadHolders>(), {});
    CPPUNIT_ASSERT(mMachine->State() == LeaseState::Placing);
  }

  // Guards against a deadline that counts from the receipt of the answer, and
  // against one that unanswered renewals extend.
  void DeadlineCountsFromSendTime()
  {
    AcquireLease();
    const auto renewal = NextAction<SetLease>();
    const base::TimePoint sent = mNow;
    mNow += milliseconds(900);
    Answer(renewal, { renewal.mToken });
    const base::TimePoint end =
      sent + mOptions.mLeaseDuration - mOptions.mClockMargin;
    CPPUNIT_ASSERT(mMachine->Deadline() == end);
    while (mNow < end - milliseconds(50)) {
      mNow += milliseconds(50);
      mMachine->Step(mNow);
    }
    CPPUNIT_ASSERT(mMachine->MaySendCommands(end - milliseconds(1)));
    CPPUNIT_ASSERT(!mMachine->MaySendCommands(end));
  }

  // Guards against a paused process that extends its expired lease when it
  // handles an old answer after the pause.
  void PauseBeyondTheDeadlineLosesTheLease()
  {
    AcquireLease();
    const auto renewal = NextAction<SetLease>();
    mNow += seconds(20);
    CPPUNIT_ASSERT(!mMachine->MaySendCommands(mNow));
    Answer(renewal, { renewal.mToken });
    CPPUNIT_ASSERT(mMachine->State() == LeaseState::Lost);
    const auto actions = mMachine->Step(mNow);
    CPPUNIT_ASSERT(std::holds_alternative<LeaseEnded>(actions.at(0)));
    CPPUNIT_ASSERT(std::holds_alternative<RemoveLease>(actions.at(1)));
    mNow += seconds(2);
    Answer(NextAction<ReadHolders>(), {});
    CPPUNIT_ASSERT(NextAction<SetLease>().mToken.mEpoch >
                   renewal.mToken.mEpoch);
  }

  // Guards against two holders of a worker that lost the first lease in a
  // restart.
  void NewHolderReleasesDuringItsQuietPeriod()
  {
    AcquireLease();
    const auto first = NextAction<SetLease>();
    mNow += mOptions.mQuietPeriod;
    Answer(first, { first.mToken, kOther });
    CPPUNIT_ASSERT(mMachine->State() == LeaseState::Releasing);
    mNow += seconds(2);
    AcquireLease();
    Answer(NextAction<SetLease>(), { mMachine->Token() });
    mNow += mOptions.mQuietPeriod;
    Answer(NextAction<SetLease>(), { mMachine->Token() });
    mNow += mOptions.mRenewInterval;
    Answer(NextAction<SetLease>(), { mMachine->Token(), kOther });
    CPPUNIT_ASSERT(mMachine->MaySendCommands(mNow));
  }

  // Guards against a holder that continues although the worker's holder list no
  // longer contains its lease.
  void UnlistedLeaseIsLost()
  {
    AcquireLease();
    Answer(NextAction<SetLease>(), { kOther });
    CPPUNIT_ASSERT(mMachine->State() == LeaseState::Lost);
    CPPUNIT_ASSERT(!mMachine->MaySendCommands(mNow));
  }

  void ReleaseIsFinal()
  {
    AcquireLease();
    NextAction<SetLease>();
    mMachine->Release(mNow);
    CPPUNIT_ASSERT(!mMachine->MaySendCommands(mNow));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), mMachine->Step(mNow).size());
    for (int n = 0; n < 100; ++n) {
      mNow += milliseconds(200);
      CPPUNIT_ASSERT(mMachine->Step(mNow).empty());
    }
  }

  // Guards against a not_after that the worker's clock reaches after the
  // deadline. Here, this clock is 500 s ahead and 1% fast.
  void ConvertedTimeIsNeverTooLate()
  {
    const auto workerTime = [](base::TimePoint aTime) {
      return 500'000'000 + base::ToMicros(aTime) * 101 / 100;
    };
    WorkerClock clock(20'000);
    for (int n = 0; n < 50; ++n) {
      const base::TimePoint sent = mNow;
      const base::TimePoint made = sent + milliseconds(n * 7 % 40);
      mNow = made + milliseconds(n * 11 % 60);
      clock.Observe(workerTime(made), sent, mNow);
      const base::TimePoint end = mNow + seconds(1);
      CPPUNIT_ASSERT(clock.ToEarliestWorkerTime(end) <= workerTime(end));
      CPPUNIT_ASSERT(clock.ToEarliestWorkerTime(end) + 300'000 >
                     workerTime(end));
      CPPUNIT_ASSERT(clock.ToLatestLocalTime(workerTime(end)) >= end);
      mNow += seconds(1);
    }
  }

private:
  template<typename Action>
  Action NextAction()
  {
    const auto actions = mMachine->Step(mNow);
    CPPUNIT_ASSERT(!actions.empty());
    const auto* action = std::get_if<Action>(&actions.back());
    CPPUNIT_ASSERT(action);
    return *action;
  }

  template<typename Action>
  void Answer(const Action& aAction,
              const std::vector<worker::HolderToken>& aHolders)
  {
    worker::WorkerReport report;
    report.mNow = base::ToMicros(mNow);
    for (const auto& it : aHolders) {
      report.mHolders.push_back({ it, report.mNow + 1'000'000 });
    }
    mMachine->OnReport(aAction.mRequest, report, mNow);
  }

  void AcquireLease()
  {
    mMachine->SetPreferred(true);
    Answer(NextAction<ReadHolders>(), {});
    const auto set = NextAction<SetLease>();
    Answer(set, { set.mToken });
    Answer(NextAction<ReadHolders>(), { set.mToken });
    CPPUNIT_ASSERT(mMachine->State() == LeaseState::Held);
  }

  LeaseOptions mOptions;
  base::TimePoint mNow;
  std::unique_ptr<base::Random> mRandom;
  std::unique_ptr<LeaseMachine> mMachine;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseMachineTest);

} // namespace

} // namespace skylarkhill::holder
