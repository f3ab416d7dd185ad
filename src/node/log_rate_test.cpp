#include "skylarkhill/cells/cell_map.hpp"
#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/node/node.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "cell_site_test.hpp"
#include "fake_log_rates_test.hpp"
#include "fake_shared_log_test.hpp"
#include "fake_worker_client_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;

namespace {

constexpr int kInstances = 301;
constexpr int kRacksPerDomain = 5;
constexpr int kCells = kDomains * kRacksPerDomain;
constexpr int kWorkersPerCell = 4;
/// The registry has as many pages as one of 3,000 workers in the log.
constexpr std::size_t kRecordsPerPage = 10;
constexpr const char* kInstanceTopic = "instances";
/// An entry of the list of instances is small.
constexpr std::size_t kInstancesPerPage = 500;
constexpr double kReadsPerSecond = 2000.0;
constexpr double kWritesPerSecond = 600.0;

constexpr milliseconds kStep{ 20 };
/// Steps between two records that callers store in each journal.
constexpr int kStepsPerCallerRecord = 5;
/// The cancellation of a job that no journal has.
const std::string kCallerKey =
  jobs::FormatRecordKey(jobs::RecordKind::Cancellation, "unknown");
/// Instances between the first ones of two steps, so that none has an advantage
/// over the others.
constexpr std::size_t kOrderStride = 97;
/// From the start to a division of the site and leaders.
constexpr milliseconds kStartTime{ 15'000 };
/// From a stored configuration to the time when all instances apply it.
constexpr milliseconds kMaxConfigurationDelay{ 2000 };
/// Time in which a lasting task without a run must start.
constexpr milliseconds kMaxTimeWithoutRun{ 9000 };
constexpr milliseconds kOutageTime{ 4000 };
/// From the end of an outage to the usual state.
constexpr milliseconds kRecoveryTime{ 5000 };
/// Time in which calls are counted.
constexpr milliseconds kCountingTime{ 10'000 };
constexpr double kMaxRefusedShare = 0.01;

/// "d1w7" is worker 7 of failure domain "d1". The value of a configuration is
/// its version.
class SiteDecoder : public RecordDecoder
{
public:
  std::shared_ptr<const RouteTable> DecodeRoutes(
    const LogRecord& aRecord) const override
  {
    return std::make_shared<RouteTable>(std::stoll(aRecord.mValue),
                                        std::vector<Route>());
  }

  std::optional<dispatch::WorkerEntry> DecodeWorker(
    const LogRecord& aRecord) const override
  {
    constexpr std::size_t kNumberStart = 3;
    const int number = std::stoi(aRecord.mKey.substr(kNumberStart));
    dispatch::WorkerEntry entry;
    entry.mId = aRecord.mKey;
    entry.mPool = "pool";
    entry.mAddress = aRecord.mKey + ":1";
    entry.mDomain = aRecord.mKey.substr(0, 2);
    entry.mRack =
      entry.mDomain + "rack" + std::to_string(number % kRacksPerDomain);
    entry.mCapacity = { kWorkerMilliProcessors, std::int64_t{ 1 } << 36, 0 };
    return entry;
  }
};

/// Options of the instance with the number, which tells its failure domain.
NodeOptions
MakeSiteOptions(int aNumber)
{
  NodeOptions options =
    MakeCellOptions("node" + std::to_string(aNumber), aNumber);
  options.mCells.mMaxCells = kCells;
  options.mCells.mWorkersPerCell = kWorkersPerCell;
  options.mStreams.mInstances.mTopic = kInstanceTopic;
  options.mName = options.mInstanceId;
  options.mQueryAddress = options.mInstanceId + ":1";
  options.mLogRates = { kReadsPerSecond, kWritesPerSecond };
  return options;
}

struct SiteInstance
{
  SiteInstance(FakeLogState& aState,
               FakeWorkers& aWorkers,
               const base::Clock& aClock,
               const NodeOptions& aOptions)
    : mWallClock(aClock)
    , mLog(aState)
    , mClients(aWorkers, aClock)
    , mProfile(aClock, mMetrics)
    , mNode(aOptions,
            mLog,
            mLog,
            mClients,
            mDecoder,
            aClock,
            mWallClock,
            mProfile,
            mMetrics)
  {
    mLog.mClock = &aClock;
  }

  metrics::Registry mMetrics;
  SimulatedWallClock mWallClock;
  FakeSharedLog mLog;
  FakeWorkerClients mClients;
  SiteDecoder mDecoder;
  LoopProfile mProfile;
  Node mNode;
  /// When the call loop wakes up unless an answer arrives before.
  base::TimePoint mTickDueAt;
};

std::string
NameOf(FakeLogCall aCall)
{
  switch (aCall) {
    case FakeLogCall::Read:
      return "read";
    case FakeLogCall::ReadNewest:
      return "newest";
    case FakeLogCall::Append:
      return "append";
  }
  return "";
}

} // namespace

/// Guards against a large site whose instances call the log more often than it
/// answers for all of them together.
class LogRateTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogRateTest);
  CPPUNIT_TEST(BringsAConfigurationToAllInstancesWithinTheRates);
  CPPUNIT_TEST(StartsLastingTasksOfAllCellsWithinTheRates);
  CPPUNIT_TEST(KeepsTheLeadersOfAllCellsWithinTheRates);
  CPPUNIT_TEST(StaysWithinTheRatesOfTheLog);
  CPPUNIT_TEST(RecoversWithinTheRatesAfterAnOutage);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mRates.mRecordsPerPage = kRecordsPerPage;
    mRates.mRecordsPerPageOf[kInstanceTopic] = kInstancesPerPage;
    mState.mRates = &mRates;
    Store("configuration", "configuration", "1");
    for (int n = 0; n < kCells * kWorkersPerCell; ++n) {
      Store("workers",
            "d" + std::to_string(n % kDomains) + "w" +
              std::to_string(n / kDomains),
            "1");
    }
    for (int n = 0; n < kInstances; ++n) {
      mInstances.push_back(std::make_unique<SiteInstance>(
        mState, mWorkers, mClock, MakeSiteOptions(n)));
    }
    Advance(kStartTime);
  }

  // Otherwise instances serve callers by routes that no longer hold.
  void BringsAConfigurationToAllInstancesWithinTheRates()
  {
    CheckConfiguration(2);
  }

  // Otherwise cells have no leader, or leaders that cannot read their journals.
  void StartsLastingTasksOfAllCellsWithinTheRates()
  {
    SubmitLastingJobs();
    Advance(kMaxTimeWithoutRun);
    CheckLeaders();
    CheckRuns();
  }

  // Otherwise leaders that cannot read their streams hand over again and again.
  void KeepsTheLeadersOfAllCellsWithinTheRates()
  {
    StartCounting();
    const auto epochs = ListNewestEpochs();
    Advance(kCountingTime);
    CheckLeaders();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "newest epochs by cell, " + DescribeCalls(), epochs, ListNewestEpochs());
  }

  // Otherwise a little more load or a disturbance exhausts the rates.
  void StaysWithinTheRatesOfTheLog()
  {
    SubmitLastingJobs();
    Advance(kMaxTimeWithoutRun);
    CheckCalls();
  }

  // Otherwise the calls of instances that read again keep the rates exhausted.
  void RecoversWithinTheRatesAfterAnOutage()
  {
    SubmitLastingJobs();
    Advance(kMaxTimeWithoutRun);
    mRates.mIsDown = true;
    Advance(kOutageTime);
    mRates.mIsDown = false;
    StartCounting();
    Advance(kRecoveryTime);
    CheckConfiguration(2);
    CheckLeaders();
    CheckRuns();
    CheckCalls();
  }

private:
  void Store(const std::string& aStream, std::string aKey, std::string aValue)
  {
    auto& records = mState.mStreams[aStream];
    const auto offset = static_cast<std::int64_t>(records.size());
    records.push_back({ std::move(aKey), std::move(aValue), offset });
  }

  /// One record in each journal, as far as the log takes them.
  void StoreCallerRecords()
  {
    for (int cell = 0; cell < kCells; ++cell) {
      if (mRates.Take(FakeLogCall::Append, "journal")) {
        Store(JournalOf(cell), kCallerKey, "1");
      }
    }
  }

  void Advance(base::Duration aTime)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(kStep);
      if (++mSteps % kStepsPerCallerRecord == 0) {
        StoreCallerRecords();
      }
      const std::size_t first = mSteps * kOrderStride;
      for (std::size_t n = 0; n < mInstances.size(); ++n) {
        AdvanceInstance(*mInstances[(first + n) % mInstances.size()]);
      }
    }
  }

  void AdvanceInstance(SiteInstance& aInstance)
  {
    const base::TimePoint now = mClock.Now();
    const bool isLeading = !aInstance.mNode.LedCells().empty();
    if (isLeading || now >= aInstance.mTickDueAt) {
      aInstance.mNode.Tick();
      aInstance.mTickDueAt = aInstance.mNode.NextTickAt();
    }
    if (aInstance.mLog.Deliver()) {
      aInstance.mTickDueAt = now;
    }
    if (isLeading) {
      aInstance.mClients.Deliver();
    }
  }

  /// Stores a configuration and checks that all instances apply it in time.
  void CheckConfiguration(std::int64_t aVersion)
  {
    StartCounting();
    Store("configuration", "configuration", std::to_string(aVersion));
    Advance(kMaxConfigurationDelay);
    const auto n = std::count_if(
      mInstances.begin(), mInstances.end(), [&](const auto& aInstance) {
        const auto routes = aInstance->mNode.GetJobRouter().Routes();
        return routes != nullptr && routes->Version() >= aVersion;
      });
    CPPUNIT_ASSERT_EQUAL_MESSAGE("instances with the configuration, " +
                                   DescribeCalls(),
                                 kInstances,
                                 static_cast<int>(n));
  }

  /// Stores a job with one task that runs until it is stopped in each journal.
  void SubmitLastingJobs()
  {
    StartCounting();
    const auto& maps = mState.mStreams["cells"];
    CPPUNIT_ASSERT_MESSAGE("no division, " + DescribeCalls(), !maps.empty());
    const auto map = cells::DecodeCellMap(maps.front().mValue);
    CPPUNIT_ASSERT(map);
    CPPUNIT_ASSERT_EQUAL(kCells, map.value().mCount);
    jobs::Step step;
    step.mIsService = true;
    step.mCount = 1;
    step.mResources.mMilliProcessors = 1000;
    jobs::Submission submission;
    submission.mAcceptedMs = SimulatedWallClock(mClock).NowMs();
    submission.mPolicy = MakePolicy();
    submission.mRequest.mSteps = { step };
    for (int n = 0; static_cast<int>(mJobIds.size()) < kCells; ++n) {
      submission.mId = "job" + std::to_string(n);
      const int home =
        cells::HomeOfJob(map.value(), submission.mId, submission.mRequest);
      if (mJobIds.emplace(home, submission.mId).second) {
        Store(
          JournalOf(home),
          jobs::FormatRecordKey(jobs::RecordKind::Submission, submission.mId),
          jobs::EncodeSubmission(submission));
      }
    }
  }

  /// The newest epoch of each cell; 0 without one.
  std::string ListNewestEpochs()
  {
    std::string epochs;
    for (int cell = 0; cell < kCells; ++cell) {
      const auto& records = mState.mStreams[NameOfStream({ "leaders", cell })];
      const std::int64_t epoch =
        records.empty()
          ? 0
          : DecodeLeaderRecord(records.back().mValue).value().mEpoch;
      epochs += std::to_string(epoch) + " ";
    }
    return epochs;
  }

  void CheckLeaders()
  {
    std::map<int, int> leaders;
    for (const auto& it : mInstances) {
      for (const int cell : it->mNode.LedCells()) {
        ++leaders[cell];
      }
    }
    const auto n =
      std::count_if(leaders.begin(), leaders.end(), [](const auto& aEntry) {
        return aEntry.second == 1;
      });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "cells with one leader, " + DescribeCalls(), kCells, static_cast<int>(n));
  }

  void CheckRuns()
  {
    std::map<std::string, int> runs;
    for (const auto& [id, worker] : mWorkers) {
      for (const auto& it : worker.mRuns) {
        ++runs[it.mTask.mJobId];
      }
    }
    const auto n =
      std::count_if(mJobIds.begin(), mJobIds.end(), [&](const auto& aEntry) {
        return runs[aEntry.second] == 1;
      });
    CPPUNIT_ASSERT_EQUAL_MESSAGE("lasting tasks with one run, " +
                                   DescribeCalls(),
                                 kCells,
                                 static_cast<int>(n));
  }

  /// Checks that the log answers nearly all calls and has calls to spare.
  void CheckCalls()
  {
    StartCounting();
    Advance(kCountingTime);
    double reads = 0.0;
    double appends = 0.0;
    double refused = 0.0;
    for (const auto& [call, counts] : mRates.mCounts) {
      const auto answered = static_cast<double>(counts.mAnswered);
      (call.first == FakeLogCall::Append ? appends : reads) += answered;
      refused += static_cast<double>(counts.mRefused);
    }
    const double seconds = SecondsCounted();
    const std::string calls = DescribeCalls();
    CPPUNIT_ASSERT_MESSAGE("refused calls, " + calls,
                           refused <
                             kMaxRefusedShare * (reads + appends + refused));
    CPPUNIT_ASSERT_MESSAGE("reads, " + calls,
                           reads < kReadsPerSecond * seconds);
    CPPUNIT_ASSERT_MESSAGE("appends, " + calls,
                           appends < kWritesPerSecond * seconds);
  }

  void StartCounting()
  {
    mRates.mCounts.clear();
    mCountedSince = mClock.Now();
  }

  double SecondsCounted() const
  {
    return std::chrono::duration<double>(mClock.Now() - mCountedSince).count();
  }

  /// Answered and refused calls a second since StartCounting.
  std::string DescribeCalls() const
  {
    const double seconds = std::max(SecondsCounted(), 0.001);
    std::ostringstream text;
    text.precision(1);
    text << std::fixed << "calls a second, answered + refused:";
    double answered = 0.0;
    double refused = 0.0;
    for (const auto& [call, counts] : mRates.mCounts) {
      const auto answeredCalls = static_cast<double>(counts.mAnswered);
      const auto refusedCalls = static_cast<double>(counts.mRefused);
      answered += answeredCalls;
      refused += refusedCalls;
      text << " " << NameOf(call.first) << " " << call.second << " "
           << answeredCalls / seconds << " + " << refusedCalls / seconds << ",";
    }
    text << " all " << answered / seconds << " + " << refused / seconds;
    return text.str();
  }

  base::ManualClock mClock;
  FakeLogRates mRates{ mClock, kReadsPerSecond, kWritesPerSecond };
  FakeLogState mState;
  FakeWorkers mWorkers;
  std::vector<std::unique_ptr<SiteInstance>> mInstances;
  /// The lasting jobs by cell.
  std::map<int, std::string> mJobIds;
  std::size_t mSteps = 0;
  base::TimePoint mCountedSince;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogRateTest);

} // namespace skylarkhill::node
