#include "skylarkhill/platform/platform_codec.hpp"
#include "skylarkhill/testing/platform_handler.hpp"
#include "skylarkhill/testing/standin.hpp"

#include <boost/program_options.hpp>
#include <easylogging++.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

INITIALIZE_EASYLOGGINGPP

namespace {

namespace options = boost::program_options;
using namespace skylarkhill;

constexpr std::size_t kMaxThreads = 256;
constexpr std::size_t kMaxBodyBytes = std::size_t{ 16 } << 20;

struct Settings
{
  http::ServerOptions mServer;
  std::string mInstancesFile;
  testing::RetentionLimits mRetention;
  std::int64_t mRetentionSeconds = 0;
  std::int64_t mLagMs = 0;
  bool mHelp = false;
};

Settings
ParseCommandLine(int aCount, char** aArguments)
{
  Settings settings;
  options::options_description description("Fake platform for tests");
  auto add = description.add_options();
  add("help", "print this text");
  add("listen", options::value(&settings.mServer.mAddress), "IP address");
  add("port", options::value(&settings.mServer.mPort), "0: any free port");
  add("instances",
      options::value(&settings.mInstancesFile),
      "JSON file with a list of instances");
  add("retention-records",
      options::value(&settings.mRetention.mMaxRecords),
      "maximum of records kept per stream; 0: no limit");
  add("retention-seconds",
      options::value(&settings.mRetentionSeconds),
      "maximum age of records; 0: no limit");
  add("lag-ms",
      options::value(&settings.mLagMs),
      "time until a change of the instance list is visible");
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aArguments, description),
                 values);
  options::notify(values);
  settings.mRetention.mMaxAge =
    std::chrono::seconds(settings.mRetentionSeconds);
  settings.mHelp = values.count("help") != 0;
  if (settings.mHelp) {
    std::cout << description << std::endl;
  }
  settings.mServer.mMaxThreads = kMaxThreads;
  settings.mServer.mMaxBodyBytes = kMaxBodyBytes;
  return settings;
}

base::Result<void>
LoadInstances(const std::string& aFile, testing::FakeInstanceList& aList)
{
  if (aFile.empty()) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  std::ifstream file(aFile);
  if (!file) {
    return base::MakeError(base::ErrorKind::InvalidSettings,
                           "cannot read " + aFile);
  }
  std::ostringstream text;
  text << file.rdbuf();
  BOOST_OUTCOME_TRY(instances, platform::ParseInstances(text.str()));
  for (auto& it : instances) {
    aList.Put(std::move(it));
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

int
Run(const Settings& aSettings)
{
  testing::FakeLog log(base::GetBootClock(), aSettings.mRetention);
  testing::FakeInstanceList instances(base::GetBootClock());
  const auto loaded = LoadInstances(aSettings.mInstancesFile, instances);
  if (loaded.has_error()) {
    std::cerr << loaded.error().mDetail << std::endl;
    return 1;
  }
  instances.SetLag(std::chrono::milliseconds(aSettings.mLagMs));
  testing::PlatformHandler handler(log, instances);
  return testing::RunStandin(
    aSettings.mServer, handler, [&] { handler.Release(); });
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    const Settings settings = ParseCommandLine(aCount, aArguments);
    return settings.mHelp ? 0 : Run(settings);
  } catch (const std::exception& e) {
    std::cerr << e.what() << std::endl;
    return 2;
  }
}
