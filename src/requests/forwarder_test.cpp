#include "skylarkhill/requests/forwarder.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace skylarkhill::requests {

namespace {

using base::ErrorKind;
using base::MakeError;
using std::chrono::milliseconds;

class ForwarderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ForwarderTest);
  CPPUNIT_TEST(RunsOnHeldWorkersOnly);
  CPPUNIT_TEST(AnswerTellsWhetherItRan);
  CPPUNIT_TEST(DuplicateAttemptDoesNotRun);
  CPPUNIT_TEST(DeadlineEndsARunningAttemptAsUnknown);
  CPPUNIT_TEST(RefusesWhileStopping);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests that are forwarded more than once.
  void RunsOnHeldWorkersOnly()
  {
    const Candidate peer = MakeCandidate(TargetKind::Peer, 9);
    CPPUNIT_ASSERT(Refusal(Offer(1, { peer })) == ErrorKind::NotHolder);
    const Candidate full = MakeCandidate(TargetKind::HeldWorker, 0);
    CPPUNIT_ASSERT(Refusal(Offer(2, { peer, full })) == ErrorKind::NoCapacity);
    const Candidate free = MakeCandidate(TargetKind::HeldWorker, 1);
    const ForwardActions actions = Offer(3, { peer, free });
    CPPUNIT_ASSERT_EQUAL(std::string("w"),
                         std::get<RunOnWorker>(actions.at(0)).mWorker.mValue);
  }

  // Guards against an origin that resends a request that may have run.
  void AnswerTellsWhetherItRan()
  {
    CPPUNIT_ASSERT(Finish(1, std::string("done")) == Outcome::Completed);
    CPPUNIT_ASSERT(Finish(2, MakeError(ErrorKind::WorkerRefused)) ==
                   Outcome::NotRun);
    CPPUNIT_ASSERT(Finish(3, MakeError(ErrorKind::WorkerUnavailable)) ==
                   Outcome::NotRun);
    CPPUNIT_ASSERT(Finish(4, MakeError(ErrorKind::ConnectionLost)) ==
                   Outcome::Unknown);
    CPPUNIT_ASSERT(Finish(5, MakeError(ErrorKind::DeadlineExceeded)) ==
                   Outcome::Unknown);
  }

  // Guards against running an attempt twice because its message arrives twice,
  // also after the attempt was refused, answered or removed.
  void DuplicateAttemptDoesNotRun()
  {
    const Candidate free = MakeCandidate(TargetKind::HeldWorker, 1);
    CPPUNIT_ASSERT(Refusal(Offer(1, {})) == ErrorKind::NotHolder);
    CPPUNIT_ASSERT(Offer(1, { free }).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Offer(2, { free }).size());
    CPPUNIT_ASSERT(Offer(2, { free }).empty());
    mForwarder.OnAttemptFinished({ { "origin" }, 1, { "key" }, 2, "done" });
    CPPUNIT_ASSERT(Offer(2, { free }).empty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, mForwarder.CountDuplicates());
    mClock.Advance(milliseconds(100));
    mForwarder.OnTimer();
    CPPUNIT_ASSERT(Offer(2, { free }).empty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, mForwarder.CountExpired());
  }

  void DeadlineEndsARunningAttemptAsUnknown()
  {
    Offer(1, { MakeCandidate(TargetKind::HeldWorker, 1) });
    CPPUNIT_ASSERT(mForwarder.NextWakeUp() == mDeadline);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, mForwarder.CountRunning());
    mClock.Advance(milliseconds(100));
    const ForwardActions actions = mForwarder.OnTimer();
    CPPUNIT_ASSERT(std::get<AnswerOrigin>(actions.at(0)).mResult.mOutcome ==
                   Outcome::Unknown);
    CPPUNIT_ASSERT(
      mForwarder.OnAttemptFinished({ { "origin" }, 1, { "key" }, 1, "x" })
        .empty());
  }

  void RefusesWhileStopping()
  {
    mForwarder.StopAccepting();
    const Candidate free = MakeCandidate(TargetKind::HeldWorker, 1);
    CPPUNIT_ASSERT(Refusal(Offer(1, { free })) == ErrorKind::ShuttingDown);
  }

private:
  static Candidate MakeCandidate(TargetKind aKind, std::int64_t aFreeSlots)
  {
    Candidate candidate;
    candidate.mTarget = { aKind, "w" };
    candidate.mFreeSlots = aFreeSlots;
    return candidate;
  }
  ForwardActions Offer(std::int64_t aAttempt,
                       const std::vector<Candidate>& aCandidates)
  {
    ForwardedAttempt attempt;
    attempt.mOrigin = { "origin" };
    attempt.mOriginIncarnation = 1;
    attempt.mAttempt = aAttempt;
    attempt.mRequest.mId = { "key" };
    attempt.mRequest.mDeadline = mDeadline;
    return mForwarder.OnAttempt(attempt, aCandidates);
  }
  static ErrorKind Refusal(const ForwardActions& aActions)
  {
    const RequestResult& result =
      std::get<AnswerOrigin>(aActions.at(0)).mResult;
    CPPUNIT_ASSERT(result.mOutcome == Outcome::NotRun);
    return result.mError.mKind;
  }
  Outcome Finish(std::int64_t aAttempt, base::Result<std::string> aBody)
  {
    Offer(aAttempt, { MakeCandidate(TargetKind::HeldWorker, 1) });
    const ForwardActions actions = mForwarder.OnAttemptFinished(
      { { "origin" }, 1, { "key" }, aAttempt, std::move(aBody) });
    return std::get<AnswerOrigin>(actions.at(0)).mResult.mOutcome;
  }

  base::ManualClock mClock;
  base::TimePoint mDeadline = mClock.Now() + milliseconds(100);
  std::unique_ptr<base::Random> mRandom = base::CreateSeededRandom(4);
  std::unique_ptr<TargetPicker> mPicker = CreateTwoChoicesTargetPicker();
  InFlightTable mInFlight;
  Forwarder mForwarder{ *mPicker, mInFlight, mClock, *mRandom };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderTest);

} // namespace

} // namespace skylarkhill::requests
