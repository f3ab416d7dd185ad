#include "skylarkhill/policy/resource_estimator.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::policy {

namespace {

using std::chrono::seconds;

class ResourceEstimatorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ResourceEstimatorTest);
  CPPUNIT_TEST(NeverBelowTheDeclaredResources);
  CPPUNIT_TEST(IgnoresASingleOutlier);
  CPPUNIT_TEST(ForgetsOldUsage);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against overcommitment by a class that was idle when observed.
  void NeverBelowTheDeclaredResources()
  {
    Observe(20, 100, 0);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1000 }, Processors(20));
  }

  // Guards against a single wrong report that makes a class too large for any
  // worker.
  void IgnoresASingleOutlier()
  {
    Observe(4, 3000, 0);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1000 }, Processors(4));
    Observe(20, 2000, 5);
    Observe(1, 900'000, 30);
    CPPUNIT_ASSERT(Processors(31) >= 2000);
    CPPUNIT_ASSERT(Processors(31) <= 3000);
  }

  // Guards against a correction that remains after usage has fallen.
  void ForgetsOldUsage()
  {
    Observe(20, 5000, 0);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5000 }, Processors(20));
    Observe(20, 2000, 3 * 3600);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2000 }, Processors(3 * 3600 + 20));
  }

private:
  static base::TimePoint At(int aSeconds)
  {
    return base::TimePoint(seconds(1000 + aSeconds));
  }

  void Observe(int aCount, std::int64_t aProcessors, int aFrom)
  {
    for (int n = 0; n < aCount; ++n) {
      mEstimator.Observe("c", { aProcessors, 0, 0 }, At(aFrom + n));
    }
  }

  std::int64_t Processors(int aSeconds) const
  {
    return mEstimator.Estimate("c", { 1000, 0, 0 }, At(aSeconds))
      .mMilliProcessors;
  }

  ResourceEstimator mEstimator;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResourceEstimatorTest);

} // namespace

} // namespace skylarkhill::policy
