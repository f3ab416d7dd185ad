#include "skylarkhill/testing/line_fit.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::testing {

namespace {

class LineFitTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LineFitTest);
  CPPUNIT_TEST(FindsSlopeAndIntercept);
  CPPUNIT_TEST(AcceptsEqualSizes);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a fixed cost that is counted as cost per unit.
  void FindsSlopeAndIntercept()
  {
    const FittedLine line =
      FitLine({ { 10.0, 120.0 }, { 20.0, 140.0 }, { 40.0, 180.0 } });
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, line.mSlope, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, line.mIntercept, 1e-9);
  }

  // Guards against a division by zero.
  void AcceptsEqualSizes()
  {
    const FittedLine line = FitLine({ { 5.0, 1.0 }, { 5.0, 3.0 } });
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, line.mSlope, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, line.mIntercept, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, FitLine({}).mSlope, 1e-9);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineFitTest);

} // namespace

} // namespace skylarkhill::testing
