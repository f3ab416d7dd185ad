#include "skylarkhill/base/random.hpp"
#include "skylarkhill/peer/clock_bound.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace skylarkhill::peer {

namespace {

class ClockBoundTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClockBoundTest);
  CPPUNIT_TEST(NeverConvertsToALaterTime);
  CPPUNIT_TEST(DiscardsOldDifferences);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a deadline that transit delays or clock drift extend. The
  // peer's clock has an offset and runs 100 ppm fast or slow; delays vary up to
  // one second.
  void NeverConvertsToALaterTime()
  {
    const auto random = base::CreateSeededRandom(5);
    for (const double rate : { 0.9999, 1.0001 }) {
      const auto peerTime = [&](std::int64_t aOwn) {
        return 777'000'000 +
               static_cast<std::int64_t>(static_cast<double>(aOwn) * rate);
      };
      ClockBound bound;
      std::int64_t maxError = 0;
      for (std::int64_t own = 0; own < 120'000'000; own += 500'000) {
        const std::int64_t sent = own;
        const auto delay = static_cast<std::int64_t>(
          500 + (random->Below(4) == 0 ? random->Below(1'000'000) : 0));
        const std::int64_t arrived = own + delay;
        bound.RecordEcho(peerTime(arrived) - sent, base::FromMicros(arrived));
        const std::int64_t moment = arrived + 100'000;
        const auto converted = bound.ToEarliestLocalTime(
          peerTime(moment), base::FromMicros(arrived));
        CPPUNIT_ASSERT(converted.has_value());
        const std::int64_t error = moment - base::ToMicros(*converted);
        CPPUNIT_ASSERT(error >= 0);
        maxError = own > 5'000'000 ? std::max(maxError, error) : 0;
      }
      CPPUNIT_ASSERT(maxError < 6'000);
    }
  }

  // Guards against the use of differences measured before the clocks drifted.
  void DiscardsOldDifferences()
  {
    ClockBound bound;
    bound.RecordEcho(5, base::FromMicros(1'000'000));
    CPPUNIT_ASSERT(bound.ToEarliestLocalTime(0, base::FromMicros(19'000'000)));
    CPPUNIT_ASSERT(!bound.ToEarliestLocalTime(0, base::FromMicros(30'000'000)));
    bound.RecordArrival(7, base::FromMicros(1'000'007));
    CPPUNIT_ASSERT(*bound.MinDifference(base::FromMicros(2'000'000)) ==
                   1'000'000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClockBoundTest);

} // namespace

} // namespace skylarkhill::peer
