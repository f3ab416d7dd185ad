#include "skylarkhill/base/json.hpp"
#include "skylarkhill/cli/api_client.hpp"
#include "skylarkhill/http/client.hpp"
#include "skylarkhill/worker/worker_codec.hpp"

#include <boost/program_options.hpp>
#include <easylogging++.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <thread>
#include <vector>

INITIALIZE_EASYLOGGINGPP

namespace {

namespace options = boost::program_options;
using namespace skylarkhill;

// Limits of one run. It ends after kMaxRequests requests even if its duration
// has not passed. kMaxThreads stays below the process limit of a shared
// machine.
constexpr std::int64_t kMaxSeconds = 60;
constexpr std::int64_t kMaxThreads = 256;
constexpr std::int64_t kMaxRequests = 500'000;
constexpr std::int64_t kMaxRate = 50'000;

struct Settings
{
  std::string mTarget;
  std::string mService;
  /// Sends calls to a worker instead of requests to an entry instance.
  bool mTargetsWorker = false;
  std::int64_t mThreads = 8;
  /// Requests per second of all threads together; 0 for a closed loop, in which
  /// each thread sends a request when its previous one has ended.
  std::int64_t mRate = 0;
  std::int64_t mSeconds = 5;
  std::int64_t mWorkMs = 5;
  std::int64_t mDeadlineMs = 1000;
  bool mHelp = false;
};

/// Results of one thread.
struct ThreadStats
{
  std::map<std::string, std::int64_t> mOutcomes;
  /// Latencies of completed requests in milliseconds.
  std::vector<double> mLatencies;
  std::int64_t mSent = 0;
  /// Open loop only: requests not sent, because no thread was free before their
  /// deadline.
  std::int64_t mSkipped = 0;
};

Settings
ParseCommandLine(int aCount, char** aArguments)
{
  Settings settings;
  options::options_description description(
    "Load generator for one entry instance or stand-in worker");
  auto add = description.add_options();
  add("help", "print this text");
  add("target", options::value(&settings.mTarget), "IP:PORT");
  add("service", options::value(&settings.mService), "service name");
  add("worker", "the target is a stand-in worker without guards");
  add("threads",
      options::value(&settings.mThreads),
      "threads; each sends one request at a time");
  add("rate",
      options::value(&settings.mRate),
      "requests per second; a request that would start later than its deadline "
      "is skipped; 0: closed loop");
  add("seconds", options::value(&settings.mSeconds), "duration");
  add("work-ms", options::value(&settings.mWorkMs), "service time per request");
  add("deadline-ms", options::value(&settings.mDeadlineMs), "deadline");
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aArguments, description),
                 values);
  options::notify(values);
  settings.mTargetsWorker = values.count("worker") != 0;
  settings.mHelp = values.count("help") != 0;
  if (settings.mHelp) {
    std::cout << description << std::endl;
  }
  return settings;
}

base::Result<void>
ValidateSettings(const Settings& aSettings)
{
  const bool isValid =
    aSettings.mThreads >= 1 && aSettings.mThreads <= kMaxThreads &&
    aSettings.mSeconds >= 1 && aSettings.mSeconds <= kMaxSeconds &&
    aSettings.mRate >= 0 && aSettings.mRate <= kMaxRate &&
    aSettings.mWorkMs >= 0 && aSettings.mDeadlineMs >= 1;
  if (!isValid) {
    return base::MakeError(base::ErrorKind::InvalidArgument,
                           "options out of range: threads 1 to 256, seconds 1 "
                           "to 60, rate 0 to 50000, work-ms at least 0, "
                           "deadline-ms at least 1");
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// Sends requests for the configured duration.
class Generator
{
public:
  Generator(const Settings& aSettings, const cli::EntryAddress& aAddress)
    : mSettings(aSettings)
    , mClock(base::GetBootClock())
    , mStart(mClock.Now())
    , mEnd(mStart + std::chrono::seconds(aSettings.mSeconds))
  {
    http::ClientOptions client;
    client.mAddress = aAddress.mIp;
    client.mPort = aAddress.mPort;
    client.mMaxIdleConnections = static_cast<std::size_t>(aSettings.mThreads);
    mClient = http::CreateClient(client, mClock);
  }

  std::vector<ThreadStats> Run()
  {
    std::vector<ThreadStats> stats(
      static_cast<std::size_t>(mSettings.mThreads));
    std::vector<std::thread> threads;
    threads.reserve(stats.size());
    for (auto& it : stats) {
      threads.emplace_back([this, &it] { RunThread(it); });
    }
    for (auto& it : threads) {
      it.join();
    }
    return stats;
  }

private:
  void RunThread(ThreadStats& aStats)
  {
    const auto deadline = std::chrono::milliseconds(mSettings.mDeadlineMs);
    for (;;) {
      const std::int64_t number = mNextNumber++;
      const base::TimePoint due = ScheduledTime(number);
      if (number >= kMaxRequests || std::max(due, mClock.Now()) >= mEnd) {
        return;
      }
      std::this_thread::sleep_for(base::Remaining(mClock.Now(), due));
      if (mSettings.mRate > 0 && mClock.Now() > due + deadline) {
        ++aStats.mSkipped;
        continue;
      }
      SendOne(number, aStats);
    }
  }

  base::TimePoint ScheduledTime(std::int64_t aNumber) const
  {
    if (mSettings.mRate == 0) {
      return mStart;
    }
    return mStart + base::Duration(aNumber * 1'000'000 / mSettings.mRate);
  }

  void SendOne(std::int64_t aNumber, ThreadStats& aStats)
  {
    // Response time allowed beyond the deadline, after which a request counts
    // as a client error.
    constexpr std::chrono::milliseconds kResponseMargin{ 2000 };
    http::ClientRequest request;
    request.mMethod = "POST";
    request.mTarget = mSettings.mTargetsWorker ? "/call" : "/v1/requests";
    request.mBody =
      mSettings.mTargetsWorker ? WorkerCallBody(aNumber) : EntryRequestBody();
    request.mDelivery = http::Delivery::Idempotent;
    const base::TimePoint sentAt = mClock.Now();
    const auto response =
      mClient->Call(request,
                    sentAt + std::chrono::milliseconds(mSettings.mDeadlineMs) +
                      kResponseMargin);
    const base::Duration latency = mClock.Now() - sentAt;
    ++aStats.mSent;
    const std::string outcome =
      response ? OutcomeOf(response.value())
               : "client_" + std::string(base::NameOf(response.error().mKind));
    ++aStats.mOutcomes[outcome];
    if (outcome == "completed") {
      aStats.mLatencies.push_back(static_cast<double>(latency.count()) / 1e3);
    }
  }

  std::string CallBody() const
  {
    return R"({"work_ms":)" + std::to_string(mSettings.mWorkMs) + "}";
  }

  std::string EntryRequestBody() const
  {
    base::JsonValue value = base::MakeJsonObject();
    value.addMember("service") <<= mSettings.mService;
    value.addMember("idempotent") <<= true;
    value.addMember("deadline_ms") <<= mSettings.mDeadlineMs;
    value.addMember("body") <<= CallBody();
    return base::FormatJson(value);
  }

  std::string WorkerCallBody(std::int64_t aNumber) const
  {
    worker::CallCommand command;
    command.mHeader.mToken = { { "load" }, 1 };
    command.mHeader.mNotAfter =
      base::ToMicros(mClock.Now()) + mSettings.mDeadlineMs * 1000;
    command.mCall.mRequest = { "load-" + std::to_string(aNumber) };
    command.mCall.mAttempt = 1;
    command.mCall.mService = mSettings.mService;
    command.mCall.mBody = CallBody();
    command.mCall.mIdempotent = true;
    return worker::FormatCallCommand(command);
  }

  std::string OutcomeOf(const http::Response& aResponse) const
  {
    if (mSettings.mTargetsWorker) {
      return aResponse.mStatus == 200 ? "completed"
                                      : std::to_string(aResponse.mStatus);
    }
    const auto value = base::ParseJson(aResponse.mBody);
    if (!value) {
      return "malformed";
    }
    base::JsonReader reader(value.value());
    const std::string outcome = reader.GetString("outcome", "");
    return outcome.empty() ? "status_" + std::to_string(aResponse.mStatus)
                           : outcome;
  }

  const Settings mSettings;
  const base::Clock& mClock;
  const base::TimePoint mStart;
  const base::TimePoint mEnd;
  std::unique_ptr<http::Client> mClient;
  std::atomic<std::int64_t> mNextNumber{ 0 };
};

double
Quantile(const std::vector<double>& aSorted, double aFraction)
{
  if (aSorted.empty()) {
    return 0.0;
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(aFraction * last)];
}

void
PrintSummary(const Settings& aSettings, const std::vector<ThreadStats>& aStats)
{
  ThreadStats sum;
  for (const auto& it : aStats) {
    sum.mSent += it.mSent;
    sum.mSkipped += it.mSkipped;
    sum.mLatencies.insert(
      sum.mLatencies.end(), it.mLatencies.begin(), it.mLatencies.end());
    for (const auto& outcome : it.mOutcomes) {
      sum.mOutcomes[outcome.first] += outcome.second;
    }
  }
  std::sort(sum.mLatencies.begin(), sum.mLatencies.end());
  base::JsonValue value = base::MakeJsonObject();
  value.addMember("threads") <<= aSettings.mThreads;
  value.addMember("rate") <<= aSettings.mRate;
  value.addMember("sent") <<= sum.mSent;
  value.addMember("skipped") <<= sum.mSkipped;
  for (const auto& it : sum.mOutcomes) {
    value.addMember(it.first) <<= it.second;
  }
  value.addMember("completed_per_s") <<=
    static_cast<std::int64_t>(sum.mLatencies.size()) / aSettings.mSeconds;
  value.addMember("p50_ms") <<= Quantile(sum.mLatencies, 0.50);
  value.addMember("p99_ms") <<= Quantile(sum.mLatencies, 0.99);
  std::cout << base::FormatJson(value) << std::endl;
}

int
Run(const Settings& aSettings)
{
  const auto valid = ValidateSettings(aSettings);
  const auto address = cli::ParseEntryAddress(aSettings.mTarget);
  if (!valid || !address) {
    std::cerr << (valid ? address.error() : valid.error()).mDetail << std::endl;
    return 2;
  }
  Generator generator(aSettings, address.value());
  PrintSummary(aSettings, generator.Run());
  return 0;
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
