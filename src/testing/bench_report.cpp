#include "skylarkhill/testing/bench_report.hpp"

#include "skylarkhill/base/json.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace skylarkhill::testing {

namespace {

constexpr int kNameWidth = 26;
constexpr int kColumnWidth = 30;

std::string
FormatSummary(const BenchSummary& aSummary)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << aSummary.mMean << " ("
      << aSummary.mMin << ".." << aSummary.mMax << ")";
  return out.str();
}

double
PercentOf(double aValue, double aWhole)
{
  return aWhole == 0.0 ? 0.0 : 100.0 * aValue / aWhole;
}

} // namespace

std::string
FormatBenchText(const BenchResult& aResult)
{
  std::ostringstream out;
  out << "site " << aResult.mSite << ", seeds " << aResult.mSeeds.front()
      << ".." << aResult.mSeeds.back() << ", mean (lowest..highest)\n";
  out << std::left << std::setw(kNameWidth) << "";
  for (const auto& it : aResult.mSeries) {
    out << std::setw(kColumnWidth) << NameOf(it.mSetup);
  }
  out << '\n';
  for (const auto& info : BenchMetricTable()) {
    out << std::setw(kNameWidth) << info.mName;
    for (const auto& it : aResult.mSeries) {
      out << std::setw(kColumnWidth)
          << FormatSummary(SummarizeRuns(it.mRuns, info.mMetric));
    }
    out << '\n';
  }
  return out.str();
}

std::string
FormatBenchJson(const BenchResult& aResult)
{
  base::JsonValue root;
  root.addMember("site") <<= aResult.mSite;
  root.addMember("seeds") <<= aResult.mSeeds;
  auto& setups = root.addMember("setups");
  for (const auto& series : aResult.mSeries) {
    auto& setup = setups.addMember(std::string(NameOf(series.mSetup)));
    for (const auto& info : BenchMetricTable()) {
      const BenchSummary summary = SummarizeRuns(series.mRuns, info.mMetric);
      auto& measure = setup.addMember(std::string(info.mName));
      measure.addMember("mean") <<= summary.mMean;
      measure.addMember("low") <<= summary.mMin;
      measure.addMember("high") <<= summary.mMax;
    }
  }
  return base::FormatJson(root) + "\n";
}

std::string
FormatBenchSvg(const BenchResult& aResult)
{
  constexpr double kBarHeight = 12.0;
  constexpr double kPlotLeft = 220.0;
  constexpr double kPixelsPerPercent = 2.0;
  constexpr double kMaxPercent = 250.0;
  const std::vector<std::string> colors{ "#888888", "#d08a2e", "#2e6fd0" };
  const double groupHeight =
    kBarHeight * static_cast<double>(aResult.mSeries.size()) + 10.0;
  const double height =
    50.0 + groupHeight * static_cast<double>(kBenchMetricCount);
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"760\" height=\""
      << height << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
      << "<text x=\"8\" y=\"18\">" << aResult.mSite
      << ": percent of the first nonzero mean;";
  for (std::size_t n = 0; n < aResult.mSeries.size(); ++n) {
    out << " <tspan fill=\"" << colors.at(n) << "\">"
        << NameOf(aResult.mSeries[n].mSetup) << "</tspan>";
  }
  out << "</text>\n";
  double top = 34.0;
  const auto toPixels = [&](double aPercent) {
    return kPlotLeft + std::min(aPercent, kMaxPercent) * kPixelsPerPercent;
  };
  for (const auto& info : BenchMetricTable()) {
    out << "<text x=\"8\" y=\"" << top + kBarHeight << "\">" << info.mName
        << "</text>\n";
    // Percentages refer to the first setup with a nonzero mean, since the
    // baseline has no evictions.
    double reference = 0.0;
    for (const auto& it : aResult.mSeries) {
      reference = reference != 0.0
                    ? reference
                    : SummarizeRuns(it.mRuns, info.mMetric).mMean;
    }
    for (std::size_t n = 0; n < aResult.mSeries.size(); ++n) {
      const BenchSummary summary =
        SummarizeRuns(aResult.mSeries[n].mRuns, info.mMetric);
      const double y = top + kBarHeight * static_cast<double>(n);
      out << "<rect x=\"" << kPlotLeft << "\" y=\"" << y << "\" width=\""
          << toPixels(PercentOf(summary.mMean, reference)) - kPlotLeft
          << "\" height=\"" << kBarHeight - 2.0 << "\" fill=\"" << colors.at(n)
          << "\"/>\n"
          << "<line x1=\"" << toPixels(PercentOf(summary.mMin, reference))
          << "\" x2=\"" << toPixels(PercentOf(summary.mMax, reference))
          << "\" y1=\"" << y + kBarHeight / 2.0 << "\" y2=\""
          << y + kBarHeight / 2.0 << "\" stroke=\"black\"/>\n";
    }
    top += groupHeight;
  }
  out << "</svg>\n";
  return out.str();
}

} // namespace skylarkhill::testing
