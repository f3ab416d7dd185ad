#include "skylarkhill/testing/bench_decisions.hpp"
#include "skylarkhill/testing/bench_report.hpp"

#include <boost/program_options.hpp>
#include <easylogging++.h>

#include <exception>
#include <fstream>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace {

namespace options = boost::program_options;
using namespace skylarkhill;

struct Settings
{
  std::string mSite;
  std::string mOutput = "text";
  std::string mSvg;
  std::uint64_t mSeeds = 5;
  std::uint64_t mFirstSeed = 1;
  bool mMeasuresDecisions = false;
  bool mHelp = false;
};

Settings
ParseCommandLine(int aCount, char** aArguments)
{
  Settings settings;
  options::options_description description(
    "Compares the scheduling policies with the baseline by simulation");
  auto add = description.add_options();
  add("help", "print this text");
  add("site", options::value(&settings.mSite), "site: direccion or exchange");
  add("seeds", options::value(&settings.mSeeds), "number of seeds, at least 1");
  add("first-seed", options::value(&settings.mFirstSeed), "first seed");
  add("output", options::value(&settings.mOutput), "format: text or json");
  add("svg", options::value(&settings.mSvg), "file for an SVG chart");
  add("decisions",
      options::bool_switch(&settings.mMeasuresDecisions),
      "measure the latency of placement decisions instead");
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aArguments, description),
                 values);
  options::notify(values);
  settings.mHelp = values.count("help") != 0;
  if (settings.mHelp) {
    std::cout << description << std::endl;
  }
  return settings;
}

int
PrintDecisionLatencies()
{
  constexpr std::size_t kDecisions = 2000;
  std::cout << "placement decision in microseconds\n";
  for (const auto profile :
       { policy::Profile::Throughput, policy::Profile::Tail }) {
    for (const std::size_t workers : { 65, 650, 2000, 7900 }) {
      const auto time =
        testing::MeasureDecisionLatency(profile, workers, kDecisions);
      std::cout << policy::NameOf(profile) << " workers=" << workers
                << " p50=" << time.mP50 << " p99=" << time.mP99 << '\n';
    }
  }
  return 0;
}

testing::BenchResult
RunSite(const testing::BenchSite& aSite, const Settings& aSettings)
{
  using testing::BenchSetup;
  testing::BenchResult result;
  result.mSite = aSite.mName;
  for (std::uint64_t n = 0; n < aSettings.mSeeds; ++n) {
    result.mSeeds.push_back(aSettings.mFirstSeed + n);
  }
  for (const auto setup : { BenchSetup::Baseline,
                            BenchSetup::EvictYoungest,
                            BenchSetup::SiteProfile }) {
    testing::BenchSeries series;
    series.mSetup = setup;
    for (const std::uint64_t seed : result.mSeeds) {
      series.mRuns.push_back(testing::RunBench(aSite, setup, seed));
    }
    result.mSeries.push_back(std::move(series));
  }
  return result;
}

int
Run(const Settings& aSettings)
{
  const auto site = testing::FindBenchSite(aSettings.mSite);
  const bool isJson = aSettings.mOutput == "json";
  if (!site || aSettings.mSeeds == 0 ||
      (!isJson && aSettings.mOutput != "text")) {
    std::cerr << "--site must be direccion or exchange, --seeds at least 1 and "
                 "--output text or json"
              << std::endl;
    return 2;
  }
  const testing::BenchResult result = RunSite(*site, aSettings);
  std::cout << (isJson ? testing::FormatBenchJson(result)
                       : testing::FormatBenchText(result));
  if (!aSettings.mSvg.empty()) {
    std::ofstream file(aSettings.mSvg);
    file << testing::FormatBenchSvg(result);
    if (!file.flush()) {
      std::cerr << "cannot write " << aSettings.mSvg << std::endl;
      return 1;
    }
  }
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    const Settings settings = ParseCommandLine(aCount, aArguments);
    if (settings.mHelp) {
      return 0;
    }
    return settings.mMeasuresDecisions ? PrintDecisionLatencies()
                                       : Run(settings);
  } catch (const std::exception& e) {
    std::cerr << e.what() << std::endl;
    return 2;
  }
}
