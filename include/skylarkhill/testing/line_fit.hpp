#ifndef SKYLARKHILL_TESTING_LINE_FIT_HPP
#define SKYLARKHILL_TESTING_LINE_FIT_HPP

#include <string>
#include <vector>

namespace skylarkhill::testing {

/// The measured cost at one size.
struct CostPoint
{
  double mSize = 0.0;
  double mCost = 0.0;
};

/// A straight line: cost = slope * size + intercept.
struct FittedLine
{
  double mSlope = 0.0;
  double mIntercept = 0.0;
};

/// The cost of one operation or structure, measured at several sizes.
struct CostSeries
{
  std::string mName;
  /// e.g. "bytes"
  std::string mCostUnit;
  /// e.g. "task"
  std::string mSizeUnit;
  std::vector<CostPoint> mPoints;
};

/// The least-squares line; its slope is 0 if all sizes are equal.
FittedLine
FitLine(const std::vector<CostPoint>& aPoints);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_LINE_FIT_HPP
