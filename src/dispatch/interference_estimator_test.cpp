#include <cppunit/extensions/HelperMacros.h>

#include "interference_estimator.hpp"

namespace skylarkhill::dispatch {

class InterferenceEstimatorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(InterferenceEstimatorTest);
  CPPUNIT_TEST(AssumesSomeInterferenceForUnknownPairs);
  CPPUNIT_TEST(SeparatesTwoImagesOfOneReport);
  CPPUNIT_TEST(AdaptsToAChangingPair);
  CPPUNIT_TEST_SUITE_END();

public:
  // Otherwise many backfill tasks of unknown images would be colocated with one
  // service at once.
  void AssumesSomeInterferenceForUnknownPairs()
  {
    const InterferenceEstimator model;
    CPPUNIT_ASSERT(!model.HasEstimate(0, 1));
    CPPUNIT_ASSERT(model.Estimate(0, 1).mMean > 0.3);
    CPPUNIT_ASSERT(model.Estimate(0, 1).mVariance > 0.5);
  }

  // The interference of an image must not be attributed to another image that
  // is reported together with it half of the time.
  void SeparatesTwoImagesOfOneReport()
  {
    InterferenceEstimator model;
    for (int n = 0; n < 100; ++n) {
      model.Update(0, { { 1, 0.1 }, { 2, 0.1 } }, 0.2, 0.01);
      model.Update(0, { { 2, 0.1 } }, 0.0, 0.01);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, model.Estimate(0, 1).mMean, 0.2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, model.Estimate(0, 2).mMean, 0.2);
    CPPUNIT_ASSERT(model.Estimate(0, 1).mVariance < 0.5);
    CPPUNIT_ASSERT(!model.HasEstimate(1, 2));
  }

  // Many consistent reports must not keep the estimate from following a change.
  void AdaptsToAChangingPair()
  {
    InterferenceEstimator model;
    for (int n = 0; n < 200; ++n) {
      model.Update(0, { { 1, 0.1 } }, 0.0, 0.01);
    }
    for (int n = 0; n < 60; ++n) {
      model.Update(0, { { 1, 0.1 } }, 0.2, 0.01);
    }
    CPPUNIT_ASSERT(model.Estimate(0, 1).mMean > 1.5);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InterferenceEstimatorTest);

} // namespace skylarkhill::dispatch
