#ifndef SKYLARKHILL_TESTING_LINE_FIT_HPP
#define SKYLARKHILL_TESTING_LINE_FIT_HPP

#include <string>
#include <vector>

namespace skylarkhill::testing {

/// One measured size and its cost.
struct CostPoint
{
  double mSize = 0.0;
  double mCost = 0.0;
};

/// A straight line.
struct FittedLine
{
  double mSlope = 0.0;
  double mIntercept = 0.0;
};

/// The cost of one quantity at several sizes.
struct CostSeries
{
  std::string mName;
  /// Unit of the cost, e.g. "bytes".
  std::string mCostUnit;
  /// What the size counts, e.g. "task".
  std::string mSizeUnit;
  std::vector<CostPoint> mPoints;
};

/// The least-squares line; a slope of 0 if all sizes are equal.
FittedLine
FitLine(const std::vector<CostPoint>& aPoints);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_LINE_FIT_HPP
