#include "skylarkhill/testing/line_fit.hpp"

namespace skylarkhill::testing {

FittedLine
FitLine(const std::vector<CostPoint>& aPoints)
{
  if (aPoints.empty()) {
    return {};
  }
  const auto count = static_cast<double>(aPoints.size());
  double meanSize = 0.0;
  double meanCost = 0.0;
  for (const auto& it : aPoints) {
    meanSize += it.mSize / count;
    meanCost += it.mCost / count;
  }
  double covariance = 0.0;
  double variance = 0.0;
  for (const auto& it : aPoints) {
    covariance += (it.mSize - meanSize) * (it.mCost - meanCost);
    variance += (it.mSize - meanSize) * (it.mSize - meanSize);
  }
  FittedLine line;
  line.mSlope = variance > 0.0 ? covariance / variance : 0.0;
  line.mIntercept = meanCost - line.mSlope * meanSize;
  return line;
}

} // namespace skylarkhill::testing
