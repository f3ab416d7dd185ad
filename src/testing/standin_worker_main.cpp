#include "skylarkhill/testing/standin.hpp"
#include "skylarkhill/testing/worker_handler.hpp"

#include <boost/program_options.hpp>
#include <easylogging++.h>

#include <exception>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace {

namespace options = boost::program_options;
using namespace skylarkhill;

/// Threads for commands and /admin, in addition to one per service connection.
constexpr std::size_t kCommandThreads = 64;
constexpr std::int64_t kMilli = 1000;
constexpr std::int64_t kGiB = std::int64_t{ 1 } << 30;

struct Settings
{
  http::ServerOptions mServer;
  testing::FakeWorkerConfig mWorker;
  std::string mDomain;
  std::string mRack;
  std::int64_t mProcessors = 16;
  std::int64_t mMemoryGb = 60;
  std::int64_t mUsageLagMs = 0;
  std::int64_t mClockOffsetMs = 0;
  bool mHelp = false;
};

options::options_description
DescribeOptions(Settings& aSettings)
{
  options::options_description description("Fake worker for tests");
  auto add = description.add_options();
  add("help", "print this text");
  add("listen", options::value(&aSettings.mServer.mAddress), "IP address");
  add("port", options::value(&aSettings.mServer.mPort), "0: any free port");
  add("name", options::value(&aSettings.mWorker.mWorker.mValue), "worker id");
  // Accepted but unused: the instance list provides both to the entry
  // instances.
  add("domain", options::value(&aSettings.mDomain), "failure domain");
  add("rack", options::value(&aSettings.mRack), "rack");
  add("processors", options::value(&aSettings.mProcessors), "processors");
  add("memory-gb", options::value(&aSettings.mMemoryGb), "memory in GiB");
  add("accelerators",
      options::value(&aSettings.mWorker.mCapacity.mAccelerators),
      "accelerators");
  add(
    "slots", options::value(&aSettings.mWorker.mSlots), "concurrent requests");
  add("connections",
      options::value(&aSettings.mWorker.mConnections),
      "maximum of running and waiting requests");
  add("usage-lag-ms",
      options::value(&aSettings.mUsageLagMs),
      "age of reported usage");
  add("clock-offset-ms",
      options::value(&aSettings.mClockOffsetMs),
      "offset of the worker's clock from the boot clock");
  add("no-guards", "accept late, duplicate and unauthorized commands");
  return description;
}

Settings
ParseCommandLine(int aCount, char** aArguments)
{
  Settings settings;
  const options::options_description description = DescribeOptions(settings);
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aArguments, description),
                 values);
  options::notify(values);
  settings.mHelp = values.count("help") != 0;
  if (settings.mHelp) {
    std::cout << description << std::endl;
  }
  settings.mWorker.mHasGuards = values.count("no-guards") == 0;
  settings.mWorker.mCapacity.mMilliProcessors = settings.mProcessors * kMilli;
  settings.mWorker.mCapacity.mMemoryBytes = settings.mMemoryGb * kGiB;
  settings.mWorker.mUsageLag = std::chrono::milliseconds(settings.mUsageLagMs);
  settings.mWorker.mClockOffset =
    std::chrono::milliseconds(settings.mClockOffsetMs);
  settings.mServer.mMaxThreads =
    static_cast<std::size_t>(settings.mWorker.mConnections) + kCommandThreads;
  return settings;
}

int
Run(const Settings& aSettings)
{
  testing::FakeWorker target(base::GetBootClock(), aSettings.mWorker);
  testing::WorkerHandler handler(target, base::GetBootClock());
  return testing::RunStandin(aSettings.mServer, handler, [&] {
    target.SetLeaving(true);
    handler.Release();
  });
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
