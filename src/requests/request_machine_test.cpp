#include "skylarkhill/requests/request_machine.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace skylarkhill::requests {

namespace {

using base::ErrorKind;
using base::MakeError;
using std::chrono::milliseconds;

const base::RequestId kId{ "request-1" };

RequestMachineOptions
MakeOptions(std::int64_t aMaxAttempts)
{
  RequestMachineOptions options;
  options.mMaxAttempts = aMaxAttempts;
  options.mHedgeDelay = milliseconds(20);
  options.mAttemptTimeout = milliseconds(200);
  return options;
}

/// A RequestMachine with its dependencies and the actions emitted so far.
struct Harness
{
  explicit Harness(bool aIdempotent, std::uint64_t aSeed = 1)
    : mRandom(base::CreateSeededRandom(aSeed))
    , mBudget({ 100, 100.0, 100.0 }, mClock.Now())
  {
    Request request;
    request.mId = kId;
    request.mService = "lookup";
    request.mIdempotent = aIdempotent;
    request.mDeadline = mClock.Now() + milliseconds(1000);
    mMachine = std::make_unique<RequestMachine>(
      request, MakeOptions(3), mBudget, mClock, *mRandom);
    Collect(mMachine->Start());
  }
  void Collect(const RequestActions& aActions)
  {
    for (const RequestAction& it : aActions) {
      if (const auto* send = std::get_if<SendAttempt>(&it)) {
        mSends.push_back(*send);
      } else if (const auto* finish = std::get_if<Finish>(&it)) {
        CPPUNIT_ASSERT(!mResult);
        mResult = finish->mResult;
      } else if (const auto* outcome = std::get_if<AppendOutcome>(&it)) {
        mRecorded.push_back(outcome->mResult);
      } else if (const auto* pick = std::get_if<PickTarget>(&it)) {
        mLastPick = *pick;
        ++mPicks;
      } else {
        ++mIntents;
      }
    }
  }
  void Handle(const RequestEvent& aEvent) { Collect(mMachine->Handle(aEvent)); }
  void Offer(const char* aName)
  {
    Handle(TargetOffered{ { TargetKind::HeldWorker, aName } });
  }
  void Fail(std::int64_t aAttempt, ErrorKind aKind)
  {
    Handle(AttemptFailed{ kId, aAttempt, MakeError(aKind) });
  }
  void AdvanceClock(milliseconds aTime)
  {
    mClock.Advance(aTime);
    Handle(TimerFired{});
  }
  bool Ended(Outcome aOutcome, ErrorKind aKind) const
  {
    return mResult && mResult->mOutcome == aOutcome &&
           mResult->mError.mKind == aKind;
  }

  base::ManualClock mClock;
  std::unique_ptr<base::Random> mRandom;
  RetryBudget mBudget;
  std::unique_ptr<RequestMachine> mMachine;
  std::vector<SendAttempt> mSends;
  std::optional<RequestResult> mResult;
  std::vector<RequestResult> mRecorded;
  PickTarget mLastPick;
  int mPicks = 0;
  int mIntents = 0;
};

/// Sends random events to a RequestMachine and checks the invariants after
/// each.
class RandomRun
{
public:
  RandomRun(bool aIdempotent, std::uint64_t aSeed)
    : mIdempotent(aIdempotent)
    , mHarness(aIdempotent, aSeed)
    , mChoice(base::CreateSeededRandom(aSeed + 1000000))
    , mTrace("seed " + std::to_string(aSeed) + ":")
  {
    Check();
  }

  void Run()
  {
    for (int n = 0; n < 60 && !mHarness.mMachine->IsSettled(); ++n) {
      Step();
      Check();
    }
    mHarness.mClock.Advance(milliseconds(2000));
    mHarness.Handle(TimerFired{});
    Require(mHarness.mResult.has_value(), "no result after the deadline");
  }

private:
  void Step()
  {
    const std::uint64_t choice = mChoice->Below(14);
    mTrace += " " + std::to_string(choice);
    if (choice < 4) {
      const auto name = "w" + std::to_string(mChoice->Below(6));
      mHarness.Offer(name.c_str());
    } else if (choice == 4) {
      mHarness.Handle(TargetUnavailable{});
    } else if (choice == 5) {
      mWon = mWon || !mNotWon;
      mHarness.Handle(IntentWon{});
    } else if (choice == 6) {
      FailClaim();
    } else if (choice < 9) {
      Answer();
    } else if (choice < 11) {
      FailAttempt();
    } else if (choice == 11 && mChoice->Below(4) == 0) {
      mHarness.Handle(CancelRequested{});
    } else {
      Advance();
    }
  }
  /// Often advances exactly to the next timer, where races are likely.
  void Advance()
  {
    const base::TimePoint due = mHarness.mMachine->NextWakeUp();
    if (mChoice->Below(2) == 0 && due != base::kNoDeadline) {
      mHarness.mClock.Set(std::max(due, mHarness.mClock.Now()));
    } else {
      mHarness.mClock.Advance(milliseconds(mChoice->Below(60)));
    }
    mHarness.Handle(TimerFired{});
  }
  void FailClaim()
  {
    if (mWon) {
      return;
    }
    mNotWon = true;
    if (mChoice->Below(2) == 0) {
      mHarness.Handle(LogUnavailable{});
      return;
    }
    mHarness.Handle(KeyClaimedByOther{ mChoice->Below(2) == 0
                                         ? OtherClaimState::InProgress
                                         : OtherClaimState::Abandoned,
                                       {} });
  }
  void Answer()
  {
    const auto attempt =
      static_cast<std::int64_t>(mChoice->Below(1 + MaxAttemptNumber()));
    const bool own = mChoice->Below(4) != 0;
    const base::RequestId id = own ? kId : base::RequestId{ "other" };
    mHarness.Handle(AttemptAnswered{
      id, attempt, id.mValue + "#" + std::to_string(attempt) });
  }
  void FailAttempt()
  {
    const auto attempt =
      1 + static_cast<std::int64_t>(mChoice->Below(MaxAttemptNumber()));
    const bool sent =
      attempt <= static_cast<std::int64_t>(mHarness.mSends.size());
    const bool notRun = mChoice->Below(2) == 0;
    const bool isFirstResult =
      sent && !mHarness.mResult && mNotRun.emplace(attempt, notRun).second;
    if (mChoice->Below(2) == 0) {
      const ErrorKind unknown = mChoice->Below(2) == 0
                                  ? ErrorKind::ConnectionLost
                                  : ErrorKind::DeadlineExceeded;
      mHarness.Fail(attempt, notRun ? ErrorKind::WorkerRefused : unknown);
      return;
    }
    const base::Error error = MakeError(ErrorKind::NoCapacity);
    if (isFirstResult && notRun) {
      mCapacityRefusals.insert(attempt);
    }
    mHarness.Handle(PeerAnswered{
      kId, attempt, notRun ? MakeNotRun(error) : MakeUnknown(error) });
  }

  std::size_t MaxAttemptNumber() const
  {
    return std::max(std::size_t{ 3 }, mHarness.mSends.size());
  }
  bool IsNotRun(std::size_t aAttempt) const
  {
    const auto found = mNotRun.find(static_cast<std::int64_t>(aAttempt));
    return found != mNotRun.end() && found->second;
  }
  void Check()
  {
    const std::size_t sends = mHarness.mSends.size();
    for (std::size_t n = 1; !mIdempotent && n < sends; ++n) {
      Require(IsNotRun(n),
              "non-idempotent request was sent again although it may have run");
    }
    Require(mIdempotent || sends == 0 || mWon,
            "non-idempotent request was sent without a won claim");
    Require(sends - mCapacityRefusals.size() <= 3,
            "more attempts than mMaxAttempts");
    if (!mHarness.mResult) {
      Require(mHarness.mMachine->NextWakeUp() <=
                mHarness.mMachine->GetRequest().mDeadline,
              "no timer is set for the deadline");
      return;
    }
    const RequestResult& result = *mHarness.mResult;
    for (std::size_t n = 1; n <= sends; ++n) {
      Require(result.mOutcome != Outcome::NotRun || IsNotRun(n),
              "result is NotRun although an attempt may have run");
    }
    if (result.mOutcome == Outcome::Completed) {
      const std::string attempt =
        result.mBody.substr(result.mBody.find('#') + 1);
      Require(result.mBody.rfind(kId.mValue + "#", 0) == 0 &&
                std::stoul(attempt) >= 1 && std::stoul(attempt) <= sends,
              "answer does not belong to the request");
      return;
    }
    const bool kindImpliesNotRun =
      base::GetErrorInfo(result.mError.mKind).mExecution ==
      base::Execution::NotRun;
    Require(kindImpliesNotRun == (result.mOutcome == Outcome::NotRun),
            "error kind does not match the outcome");
    Require(mHarness.mRecorded.size() <= 1,
            "more than one outcome recorded for the key");
  }
  void Require(bool aCondition, const char* aRule) const
  {
    CPPUNIT_ASSERT_MESSAGE(std::string(aRule) + ", " + mTrace, aCondition);
  }

  bool mIdempotent;
  Harness mHarness;
  std::unique_ptr<base::Random> mChoice;
  std::string mTrace;
  bool mWon = false;
  bool mNotWon = false;
  /// For each failed attempt, whether its first result proves that it did not
  /// run.
  std::map<std::int64_t, bool> mNotRun;
  /// Attempts whose first result is a refusal for lack of capacity, which do
  /// not count towards mMaxAttempts.
  std::set<std::int64_t> mCapacityRefusals;
};

class RequestMachineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestMachineTest);
  CPPUNIT_TEST(RandomEventOrdersKeepTheInvariants);
  CPPUNIT_TEST(NonIdempotentIsSentAfterItsIntentHasWon);
  CPPUNIT_TEST(NonIdempotentIsNotSentAgainAfterAnUnknownResult);
  CPPUNIT_TEST(RefusedAttemptGoesToAnotherTarget);
  CPPUNIT_TEST(RequestRefusedForCapacityGoesToTheSamePeerAgain);
  CPPUNIT_TEST(ClaimedKeyGetsTheRecordedOutcome);
  CPPUNIT_TEST(CancelDuringOpenClaimWaitsForTheClaim);
  CPPUNIT_TEST(RequestWithLateClaimIsRecordedAsNotRun);
  CPPUNIT_TEST(HedgeRespectsBudgetAndFirstAnswerWins);
  CPPUNIT_TEST(TimedOutAttemptMayStillAnswer);
  CPPUNIT_TEST(UnmatchedAnswersAreDroppedAndCounted);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against wrong or repeated results, NotRun for a request that may
  // have run, and double execution of a non-idempotent request, for random
  // orders of answers, failures, timers, cancellations and claims.
  void RandomEventOrdersKeepTheInvariants()
  {
    for (std::uint64_t seed = 1; seed <= 20000; ++seed) {
      RandomRun(seed % 2 == 0, seed).Run();
    }
  }

  // Guards against running a key that another instance has claimed.
  void NonIdempotentIsSentAfterItsIntentHasWon()
  {
    Harness harness(false);
    CPPUNIT_ASSERT_EQUAL(1, harness.mIntents);
    harness.Offer("w1");
    CPPUNIT_ASSERT(harness.mSends.empty());
    harness.Handle(IntentWon{});
    harness.Offer("w1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, harness.mSends.size());
    harness.AdvanceClock(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(1, harness.mPicks);
    harness.Handle(AttemptAnswered{ kId, 1, "done" });
    CPPUNIT_ASSERT_EQUAL(std::string("done"), harness.mResult->mBody);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, harness.mRecorded.size());
  }

  void NonIdempotentIsNotSentAgainAfterAnUnknownResult()
  {
    Harness harness(false);
    harness.Handle(IntentWon{});
    harness.Offer("w1");
    // DeadlineExceeded from a worker does not rule out execution.
    harness.Fail(1, ErrorKind::DeadlineExceeded);
    CPPUNIT_ASSERT(harness.Ended(Outcome::Unknown, ErrorKind::OutcomeUnknown));
    CPPUNIT_ASSERT_EQUAL(1, harness.mPicks);
    CPPUNIT_ASSERT(harness.mRecorded.at(0).mOutcome == Outcome::Unknown);
  }

  // Guards against a failed request although a retry is safe, since the attempt
  // certainly did not run.
  void RefusedAttemptGoesToAnotherTarget()
  {
    Harness harness(false);
    harness.Handle(IntentWon{});
    harness.Offer("w1");
    harness.Fail(1, ErrorKind::WorkerRefused);
    harness.Offer("w2");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, harness.mSends.size());
    harness.Fail(2, ErrorKind::StaleCommand);
    harness.Handle(TargetUnavailable{});
    CPPUNIT_ASSERT(harness.Ended(Outcome::NotRun, ErrorKind::StaleCommand));
  }

  // Guards against telling the caller that a request found no capacity while
  // its deadline is far away, because peers with outdated free slots refused it
  // as often as it may be attempted.
  void RequestRefusedForCapacityGoesToTheSamePeerAgain()
  {
    for (const bool isIdempotent : { true, false }) {
      Harness harness(isIdempotent);
      harness.Handle(IntentWon{});
      const RequestResult refusal =
        MakeNotRun(MakeError(ErrorKind::NoCapacity));
      for (std::int64_t attempt = 1; attempt <= 5; ++attempt) {
        harness.Handle(TargetOffered{ { TargetKind::Peer, "peer" } });
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(attempt),
                             harness.mSends.size());
        harness.mClock.Advance(milliseconds(10));
        harness.Handle(PeerAnswered{ kId, attempt, refusal });
        CPPUNIT_ASSERT(!harness.mResult);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(attempt) + 1, harness.mPicks);
      }
      const PickTarget& pick = harness.mLastPick;
      CPPUNIT_ASSERT(pick.mTried.empty() && pick.mMayWait);
      CPPUNIT_ASSERT(pick.mRefusedAt.at({ TargetKind::Peer, "peer" }) ==
                     harness.mClock.Now());
      harness.Offer("w1");
      harness.Handle(AttemptAnswered{ kId, 6, "done" });
      CPPUNIT_ASSERT_EQUAL(std::string("done"), harness.mResult->mBody);
    }
  }

  // Guards against a repeated request that gets another result than the first
  // one.
  void ClaimedKeyGetsTheRecordedOutcome()
  {
    Harness harness(false);
    harness.Handle(KeyClaimedByOther{ OtherClaimState::InProgress, {} });
    CPPUNIT_ASSERT(!harness.mResult);
    OutcomeRecord record;
    record.mOutcome = Outcome::Completed;
    record.mBody = "kept";
    harness.Handle(KeyClaimedByOther{ OtherClaimState::Finished, record });
    CPPUNIT_ASSERT_EQUAL(std::string("kept"), harness.mResult->mBody);
    CPPUNIT_ASSERT(harness.mRecorded.empty());
    Harness waiting(false);
    waiting.Handle(KeyClaimedByOther{ OtherClaimState::InProgress, {} });
    waiting.AdvanceClock(milliseconds(1000));
    CPPUNIT_ASSERT(waiting.Ended(Outcome::Unknown, ErrorKind::OutcomeUnknown));
  }

  // Guards against reporting NotRun while another instance may run the key.
  void CancelDuringOpenClaimWaitsForTheClaim()
  {
    Harness harness(false);
    harness.Handle(CancelRequested{});
    CPPUNIT_ASSERT(!harness.mResult);
    harness.Handle(IntentWon{});
    CPPUNIT_ASSERT(harness.Ended(Outcome::NotRun, ErrorKind::Cancelled));
    CPPUNIT_ASSERT(harness.mRecorded.at(0).mOutcome == Outcome::NotRun);
  }

  // Guards against a claim without an outcome when the intent is read back
  // after the deadline.
  void RequestWithLateClaimIsRecordedAsNotRun()
  {
    Harness harness(false);
    harness.AdvanceClock(milliseconds(1000));
    CPPUNIT_ASSERT(harness.Ended(Outcome::Unknown, ErrorKind::OutcomeUnknown));
    CPPUNIT_ASSERT(!harness.mMachine->IsSettled());
    harness.Handle(IntentWon{});
    CPPUNIT_ASSERT(harness.mRecorded.at(0).mOutcome == Outcome::NotRun);
    CPPUNIT_ASSERT(harness.mSends.empty() && harness.mMachine->IsSettled());
  }

  // Guards against hedges that multiply the load of a slow service.
  void HedgeRespectsBudgetAndFirstAnswerWins()
  {
    Harness harness(true);
    harness.Offer("w1");
    harness.AdvanceClock(milliseconds(30));
    harness.Offer("w2");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, harness.mSends.size());
    harness.Handle(AttemptAnswered{ kId, 2, "second" });
    harness.Handle(AttemptAnswered{ kId, 1, "first" });
    CPPUNIT_ASSERT_EQUAL(std::string("second"), harness.mResult->mBody);
    Harness exhausted(true);
    exhausted.Offer("w1");
    while (exhausted.mBudget.TryTake(exhausted.mClock.Now())) {
    }
    exhausted.mClock.Advance(milliseconds(1));
    exhausted.Handle(TimerFired{});
    exhausted.Fail(1, ErrorKind::ConnectionLost);
    exhausted.Offer("w2");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, exhausted.mSends.size());
    CPPUNIT_ASSERT(
      exhausted.Ended(Outcome::Unknown, ErrorKind::ConnectionLost));
  }

  // Guards against reporting Unknown before the deadline while an answer may
  // still arrive.
  void TimedOutAttemptMayStillAnswer()
  {
    Harness harness(true);
    harness.Offer("w1");
    harness.AdvanceClock(milliseconds(250));
    harness.Handle(TargetUnavailable{});
    CPPUNIT_ASSERT(!harness.mResult);
    harness.Handle(AttemptAnswered{ kId, 1, "late" });
    CPPUNIT_ASSERT_EQUAL(std::string("late"), harness.mResult->mBody);
  }

  void UnmatchedAnswersAreDroppedAndCounted()
  {
    Harness harness(true);
    harness.Offer("w1");
    harness.Handle(AttemptAnswered{ { "other" }, 1, "x" });
    harness.Handle(AttemptAnswered{ kId, 2, "x" });
    harness.AdvanceClock(milliseconds(30));
    harness.Offer("w2");
    harness.Fail(1, ErrorKind::ConnectionLost);
    harness.Handle(AttemptAnswered{ kId, 1, "x" });
    CPPUNIT_ASSERT(!harness.mResult);
    harness.AdvanceClock(milliseconds(1000));
    harness.Handle(AttemptAnswered{ kId, 2, "x" });
    const DroppedAnswers& dropped = harness.mMachine->GetDroppedAnswers();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, dropped.mMismatched);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, dropped.mDuplicate);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, dropped.mLate);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestMachineTest);

} // namespace

} // namespace skylarkhill::requests
