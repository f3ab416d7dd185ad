#include "skylarkhill/policy/breaker.hpp"
#include "skylarkhill/policy/quarantine.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::policy {

namespace {

using std::chrono::seconds;

const base::TaskId kTaskA{ "a" };
const base::TaskId kTaskB{ "b" };

class BreakerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BreakerTest);
  CPPUNIT_TEST(AdmitsOneProbeAfterTheCooldown);
  CPPUNIT_TEST(FailedProbeDoublesTheCooldownUpToTheCap);
  CPPUNIT_TEST(QuarantineRemovesFailuresFromTheBreaker);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a faulty worker on which task after task fails.
  void AdmitsOneProbeAfterTheCooldown()
  {
    Breaker breaker = MakeOpen();
    CPPUNIT_ASSERT(!breaker.Admits(At(9)));
    CPPUNIT_ASSERT(breaker.Admits(At(10)));
    breaker.OnPlaced(kTaskA, At(10));
    CPPUNIT_ASSERT(!breaker.Admits(At(11)));
    breaker.OnSuccess(kTaskB);
    CPPUNIT_ASSERT(!breaker.Admits(At(11)));
    breaker.OnInconclusiveEnd(kTaskA);
    CPPUNIT_ASSERT(breaker.Admits(At(11)));
    breaker.OnPlaced(kTaskB, At(11));
    breaker.OnSuccess(kTaskB);
    CPPUNIT_ASSERT(breaker.State(At(11)) == BreakerState::Closed);
  }

  // Guards against a cooldown that does not grow or grows without limit.
  void FailedProbeDoublesTheCooldownUpToTheCap()
  {
    Breaker breaker = MakeOpen();
    base::TimePoint now = At(10);
    for (const int cooldown : { 20, 30, 30 }) {
      CPPUNIT_ASSERT(breaker.Admits(now));
      breaker.OnPlaced(kTaskA, now);
      breaker.OnFailure(kTaskA, now);
      CPPUNIT_ASSERT(!breaker.Admits(now + seconds(cooldown - 1)));
      now += seconds(cooldown);
    }
    CPPUNIT_ASSERT(breaker.Admits(now));
  }

  // Guards against healthy workers that get no tasks because of a faulty task.
  void QuarantineRemovesFailuresFromTheBreaker()
  {
    Quarantine quarantine;
    Breaker breaker = MakeOpen();
    const auto fail = [&](const char* aWorker, bool aClosed) {
      quarantine.OnFailure(kTaskA, { aWorker }, aClosed, "exit 1");
      return quarantine.Find(kTaskA).has_value();
    };
    CPPUNIT_ASSERT(!fail("w1", true));
    CPPUNIT_ASSERT(!fail("w1", true));
    CPPUNIT_ASSERT(!fail("w2", true));
    CPPUNIT_ASSERT(!fail("w3", false));
    CPPUNIT_ASSERT(fail("w4", true));
    const auto decision = quarantine.Find(kTaskA);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), decision->mWorkers.size());
    breaker.RemoveFailures(kTaskA);
    CPPUNIT_ASSERT(breaker.State(At(1)) == BreakerState::Closed);
    breaker.OnFailure(kTaskB, At(1));
    CPPUNIT_ASSERT(breaker.State(At(1)) == BreakerState::Closed);
  }

private:
  static base::TimePoint At(int aSeconds)
  {
    return base::FromMicros(0) + seconds(aSeconds);
  }

  static Breaker MakeOpen()
  {
    Breaker breaker({ 3, seconds(10), seconds(30) });
    breaker.OnFailure(kTaskA, At(0));
    breaker.OnFailure(kTaskB, At(0));
    CPPUNIT_ASSERT(breaker.State(At(0)) == BreakerState::Closed);
    breaker.OnFailure(kTaskA, At(0));
    CPPUNIT_ASSERT(breaker.State(At(0)) == BreakerState::Open);
    return breaker;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BreakerTest);

} // namespace

} // namespace skylarkhill::policy
