#include "skylarkhill/base/json.hpp"
#include "skylarkhill/testing/capacity.hpp"

#include <boost/program_options.hpp>
#include <easylogging++.h>

#include <cstdlib>
#include <exception>
#include <iomanip>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace {

namespace options = boost::program_options;
using namespace skylarkhill;

void
PrintText(const std::vector<testing::CostSeries>& aSeries)
{
  std::cout << std::fixed << std::setprecision(3);
  for (const auto& it : aSeries) {
    const testing::FittedLine line = testing::FitLine(it.mPoints);
    std::cout << it.mName << ": " << line.mSlope << ' ' << it.mCostUnit
              << " per " << it.mSizeUnit << " + " << line.mIntercept << " (";
    for (const auto& point : it.mPoints) {
      std::cout << ' ' << point.mSize << '=' << point.mCost;
    }
    std::cout << " )\n";
  }
}

void
PrintJson(const std::vector<testing::CostSeries>& aSeries, double aLoadAverage)
{
  base::JsonValue document = base::MakeJsonObject();
  document.addMember("load_average") <<= aLoadAverage;
  base::JsonValue& list = document.addMember("series");
  list.setCategory(base::JsonValue::Array);
  for (const auto& it : aSeries) {
    const testing::FittedLine line = testing::FitLine(it.mPoints);
    base::JsonValue& series = list.addMember("");
    series.setCategory(base::JsonValue::Object);
    series.addMember("name") <<= it.mName;
    series.addMember("unit") <<= it.mCostUnit;
    series.addMember("per") <<= it.mSizeUnit;
    series.addMember("slope") <<= line.mSlope;
    series.addMember("intercept") <<= line.mIntercept;
    base::JsonValue& points = series.addMember("points");
    points.setCategory(base::JsonValue::Array);
    for (const auto& point : it.mPoints) {
      base::JsonValue& value = points.addMember("");
      value.setCategory(base::JsonValue::Object);
      value.addMember("size") <<= point.mSize;
      value.addMember("cost") <<= point.mCost;
    }
  }
  std::cout << base::FormatJson(document) << '\n';
}

std::vector<testing::CostSeries>
MeasureAll()
{
  auto all = testing::MeasureMemory();
  for (auto& it : testing::MeasureProcessorTime()) {
    all.push_back(std::move(it));
  }
  for (auto& it : testing::MeasureEncodedSizes()) {
    all.push_back(std::move(it));
  }
  return all;
}

int
Run(const std::string& aOutput)
{
  double loadAverage = 0.0;
  getloadavg(&loadAverage, 1);
  const auto all = MeasureAll();
  if (aOutput == "json") {
    PrintJson(all, loadAverage);
  } else {
    std::cout << "load average at the start: " << loadAverage << '\n';
    PrintText(all);
  }
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    std::string output;
    options::options_description description(
      "Measures how memory, processor time and message sizes grow with input");
    auto add = description.add_options();
    add("help", "print this text");
    add(
      "output", options::value(&output)->default_value("text"), "text or json");
    options::variables_map values;
    options::store(options::parse_command_line(aCount, aArguments, description),
                   values);
    options::notify(values);
    if (values.count("help") != 0) {
      std::cout << description << std::endl;
      return 0;
    }
    if (output != "text" && output != "json") {
      std::cerr << "--output must be text or json" << std::endl;
      return 2;
    }
    return Run(output);
  } catch (const std::exception& e) {
    std::cerr << e.what() << std::endl;
    return 2;
  }
}
