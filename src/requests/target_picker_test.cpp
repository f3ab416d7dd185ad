#include "skylarkhill/requests/concurrency_limit.hpp"
#include "skylarkhill/requests/retry_budget.hpp"
#include "skylarkhill/requests/target_picker.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>

namespace skylarkhill::requests {

namespace {

using std::chrono::milliseconds;

Candidate
MakeCandidate(TargetKind aKind, const char* aName, std::int64_t aFreeSlots)
{
  Candidate candidate;
  candidate.mTarget = { aKind, aName };
  candidate.mFreeSlots = aFreeSlots;
  candidate.mReportedAt = base::FromMicros(100);
  candidate.mLatency = milliseconds(10);
  return candidate;
}

Candidate
Worker(const char* aName, std::int64_t aFreeSlots)
{
  return MakeCandidate(TargetKind::HeldWorker, aName, aFreeSlots);
}

class TargetPickerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetPickerTest);
  CPPUNIT_TEST(PicksOnlyEligibleTargets);
  CPPUNIT_TEST(PrefersHeldWorkers);
  CPPUNIT_TEST(RefusedTargetIsPickedAfterItsNextReport);
  CPPUNIT_TEST(WaitsOnlyForTargetsThatLackNothingElse);
  CPPUNIT_TEST(CountsAttemptsMissingFromTheReport);
  CPPUNIT_TEST(PrefersFreeAndFastTargets);
  CPPUNIT_TEST(SpreadsABurstBetweenReports);
  CPPUNIT_TEST(RetryBudgetRefillsByShareAndTime);
  CPPUNIT_TEST(ConcurrencyLimitFollowsCapacityAndLatency);
  CPPUNIT_TEST(ConcurrencyLimitRecoversFromItsMinimum);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against new work for leaving workers, and against retries on a
  // target that was already tried.
  void PicksOnlyEligibleTargets()
  {
    Candidate leaving = Worker("leaving", 9);
    leaving.mLeaving = true;
    Candidate broken = Worker("broken", 9);
    broken.mBreakerOpen = true;
    const std::vector<Candidate> all{
      leaving, broken, Worker("full", 0), Worker("tried", 9), Worker("good", 1)
    };
    const std::set<Target> tried{ { TargetKind::HeldWorker, "tried" } };
    for (const auto* it : { mRandomPicker.get(), mTwoChoices.get() }) {
      for (int n = 0; n < 100; ++n) {
        const auto picked = it->Pick(all, tried, mInFlight, *mRandom);
        CPPUNIT_ASSERT_EQUAL(std::string("good"), picked->mName);
      }
      CPPUNIT_ASSERT(!it->Pick({}, {}, mInFlight, *mRandom));
    }
  }

  void PrefersHeldWorkers()
  {
    const Candidate peer = MakeCandidate(TargetKind::Peer, "peer", 100);
    const auto own =
      mTwoChoices->Pick({ peer, Worker("own", 1) }, {}, mInFlight, *mRandom);
    CPPUNIT_ASSERT_EQUAL(std::string("own"), own->mName);
    const auto other =
      mTwoChoices->Pick({ peer, Worker("own", 0) }, {}, mInFlight, *mRandom);
    CPPUNIT_ASSERT_EQUAL(std::string("peer"), other->mName);
  }

  // Guards against sending attempts in a loop to a peer whose last report shows
  // free slots that it no longer has.
  void RefusedTargetIsPickedAfterItsNextReport()
  {
    Candidate peer = MakeCandidate(TargetKind::Peer, "peer", 3);
    const std::map<Target, base::TimePoint> refusedAt{ { peer.mTarget,
                                                         peer.mReportedAt } };
    std::vector<Candidate> candidates{ peer };
    ApplyRefusals(refusedAt, candidates);
    CPPUNIT_ASSERT(!mTwoChoices->Pick(candidates, {}, mInFlight, *mRandom));
    peer.mReportedAt += base::Duration(1);
    candidates = { peer };
    ApplyRefusals(refusedAt, candidates);
    CPPUNIT_ASSERT(mTwoChoices->Pick(candidates, {}, mInFlight, *mRandom));
  }

  // Guards against a request that waits until its deadline although no target
  // is left that could run it.
  void WaitsOnlyForTargetsThatLackNothingElse()
  {
    Candidate leaving = Worker("leaving", 9);
    leaving.mLeaving = true;
    Candidate broken = Worker("broken", 9);
    broken.mBreakerOpen = true;
    const std::set<Target> tried{ { TargetKind::HeldWorker, "tried" } };
    std::vector<Candidate> candidates{ leaving, broken, Worker("tried", 9) };
    CPPUNIT_ASSERT(!MayGetFreeSlot(candidates, tried));
    candidates.push_back(Worker("full", 0));
    CPPUNIT_ASSERT(MayGetFreeSlot(candidates, tried));
  }

  // Guards against sending more attempts to a target than it has free slots.
  void CountsAttemptsMissingFromTheReport()
  {
    const Candidate worker = Worker("w", 2);
    mInFlight.Begin(worker.mTarget, { "old" }, 1, base::FromMicros(99));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 },
                         EstimateFreeSlots(worker, mInFlight));
    mInFlight.Begin(worker.mTarget, { "a" }, 1, base::FromMicros(100));
    mInFlight.Begin(worker.mTarget, { "b" }, 1, base::FromMicros(101));
    CPPUNIT_ASSERT(!IsEligible(worker, {}, mInFlight));
    mInFlight.End(worker.mTarget, { "a" }, 1);
    CPPUNIT_ASSERT(IsEligible(worker, {}, mInFlight));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, mInFlight.Count(worker.mTarget));
  }

  void PrefersFreeAndFastTargets()
  {
    Candidate slow = Worker("slow", 4);
    slow.mLatency = milliseconds(100);
    std::map<std::string, int> picks;
    for (int n = 0; n < 300; ++n) {
      const auto picked =
        mTwoChoices->Pick({ slow, Worker("fast", 4), Worker("busy", 1) },
                          {},
                          mInFlight,
                          *mRandom);
      ++picks[picked->mName];
    }
    CPPUNIT_ASSERT(picks["fast"] > picks["busy"]);
    CPPUNIT_ASSERT_EQUAL(0, picks["slow"]);
  }

  // Guards against herding: if attempts in flight were not counted, a burst
  // would all go to the targets that were best in the last report.
  void SpreadsABurstBetweenReports()
  {
    std::vector<Candidate> all;
    for (const char* it : { "a", "b", "c", "d" }) {
      all.push_back(Worker(it, 8));
    }
    std::map<std::string, int> load;
    for (int n = 0; n < 32; ++n) {
      const auto picked = mTwoChoices->Pick(all, {}, mInFlight, *mRandom);
      CPPUNIT_ASSERT(picked.has_value());
      mInFlight.Begin(*picked, { std::to_string(n) }, 1, base::FromMicros(200));
      ++load[picked->mName];
    }
    for (const auto& it : load) {
      CPPUNIT_ASSERT_EQUAL(8, it.second);
    }
    CPPUNIT_ASSERT(!mTwoChoices->Pick(all, {}, mInFlight, *mRandom));
  }

  // Guards against retry storms: 100 first attempts earn 10 retries.
  void RetryBudgetRefillsByShareAndTime()
  {
    RetryBudget budget({ 10, 1.0, 20.0 }, base::FromMicros(0));
    CPPUNIT_ASSERT(budget.TryTake(base::FromMicros(0)));
    CPPUNIT_ASSERT(!budget.TryTake(base::FromMicros(0)));
    for (int n = 0; n < 101; ++n) {
      budget.RecordFirstAttempt();
    }
    int taken = 0;
    while (budget.TryTake(base::FromMicros(0))) {
      ++taken;
    }
    CPPUNIT_ASSERT_EQUAL(10, taken);
    CPPUNIT_ASSERT(budget.TryTake(base::FromMicros(1'000'000)));
    CPPUNIT_ASSERT(budget.Tokens(base::FromMicros(3'600'000'000)) <= 20.0);
  }

  // Guards against a limit that stays at 1 or 2 of 48 slots after a period of
  // high latency, because the requests in flight never reach its fractional
  // value.
  void ConcurrencyLimitRecoversFromItsMinimum()
  {
    const auto limit = CreateAdaptiveConcurrencyLimit({ 200 });
    limit->SetCapacity(48);
    base::TimePoint now;
    const base::Duration baseline = std::chrono::milliseconds(5);
    limit->Observe({ baseline, 1, false }, now);
    for (int n = 0; n < 100; ++n) {
      now += 4 * baseline;
      limit->Observe({ 3 * baseline, limit->Limit(), false }, now);
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, limit->Limit());
    for (int n = 0; n < 2000; ++n) {
      now += baseline;
      limit->Observe({ baseline, limit->Limit(), false }, now);
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 48 }, limit->Limit());
  }

  // Guards against a limit that ignores lost workers or rising latency.
  void ConcurrencyLimitFollowsCapacityAndLatency()
  {
    const auto limit = CreateAdaptiveConcurrencyLimit({ 200 });
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, limit->Limit());
    limit->SetCapacity(100);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 100 }, limit->Limit());
    base::TimePoint now = base::FromMicros(0);
    limit->Observe({ milliseconds(10), 100, false }, now);
    for (int n = 0; n < 10; ++n) {
      now += milliseconds(50);
      limit->Observe({ milliseconds(50), 100, false }, now);
    }
    const std::int64_t lowered = limit->Limit();
    CPPUNIT_ASSERT(lowered < 50 && lowered > 25);
    limit->SetCapacity(50);
    CPPUNIT_ASSERT(limit->Limit() <= lowered / 2 + 1);
    for (int n = 0; n < 5000; ++n) {
      now += milliseconds(10);
      limit->Observe({ milliseconds(10), 100, false }, now);
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 50 }, limit->Limit());
  }

private:
  std::unique_ptr<TargetPicker> mRandomPicker = CreateRandomTargetPicker();
  std::unique_ptr<TargetPicker> mTwoChoices = CreateTwoChoicesTargetPicker();
  std::unique_ptr<base::Random> mRandom = base::CreateSeededRandom(3);
  InFlightTable mInFlight;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPickerTest);

} // namespace

} // namespace skylarkhill::requests
