#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/catalog/publish.hpp"
#include "skylarkhill/journal/record_codec.hpp"
#include "skylarkhill/journal/site_state.hpp"
#include "skylarkhill/peer/codec.hpp"
#include "skylarkhill/policy/profiles.hpp"
#include "skylarkhill/testing/capacity.hpp"
#include "skylarkhill/testing/capacity_samples.hpp"

#include <algorithm>
#include <ctime>
#include <initializer_list>
#include <limits>

namespace skylarkhill::testing {

namespace {

using Sizes = std::initializer_list<std::int64_t>;

double
ProcessorMicros()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

template<typename Measure>
CostSeries
MeasureSeries(std::string aName,
              std::string aCostUnit,
              std::string aSizeUnit,
              Sizes aSizes,
              Measure aMeasure)
{
  CostSeries series{
    std::move(aName), std::move(aCostUnit), std::move(aSizeUnit), {}
  };
  for (const std::int64_t size : aSizes) {
    series.mPoints.push_back({ static_cast<double>(size), aMeasure(size) });
  }
  return series;
}

/// One accept, grant, started and end record for each of `aTasks` tasks.
std::vector<journal::SiteRecord>
SampleRecords(std::int64_t aTasks)
{
  std::vector<journal::SiteRecord> records;
  for (std::int64_t n = 0; n < aTasks; ++n) {
    records.emplace_back(tasks::TaskRecord(SampleAccept(n)));
    records.emplace_back(tasks::TaskRecord(SampleGrant(n)));
    records.emplace_back(tasks::TaskRecord(SampleStarted(n)));
    records.emplace_back(tasks::TaskRecord(SampleEnd(n)));
  }
  return records;
}

std::vector<std::string>
EncodeAll(const std::vector<journal::SiteRecord>& aRecords)
{
  std::vector<std::string> encoded;
  encoded.reserve(aRecords.size());
  for (const auto& it : aRecords) {
    encoded.push_back(journal::EncodeRecord(it));
  }
  return encoded;
}

/// A page with the records of `aTasks` tasks, 100 tasks per batch.
journal::PageResult
SamplePage(std::int64_t aTasks)
{
  constexpr std::size_t kRecordsPerBatch = 400;
  const auto encoded = EncodeAll(SampleRecords(aTasks));
  journal::PageResult page;
  page.mIsFirst = true;
  for (std::size_t n = 0; n < encoded.size(); n += kRecordsPerBatch) {
    const auto begin = encoded.begin() + static_cast<std::ptrdiff_t>(n);
    const std::size_t count = std::min(kRecordsPerBatch, encoded.size() - n);
    journal::ReadBatch read;
    read.mOffset = page.mNextOffset++;
    read.mBatch.mWriter = "entry-1.1";
    read.mBatch.mSequence = read.mOffset + 1;
    read.mBatch.mPosition.mAppliedThrough = read.mOffset - 1;
    read.mBatch.mRecords.assign(begin,
                                begin + static_cast<std::ptrdiff_t>(count));
    page.mBatches.push_back(read);
  }
  return page;
}

double
MeasureRecordApply(std::int64_t aTasks)
{
  const auto page = SamplePage(aTasks);
  return MicrosPerCall(1, [&] {
    journal::SiteState state{ {} };
    state.ApplyPage(page, 0);
  });
}

double
MeasureExport(std::int64_t aTasks)
{
  journal::SiteState state{ {} };
  state.ApplyPage(SamplePage(aTasks), 0);
  return MicrosPerCall(1, [&] {
    for (std::size_t n = 0; n < state.CountShards(); ++n) {
      state.ExportShard(n);
    }
  });
}

void
AddRecordSeries(std::vector<CostSeries>& aAll)
{
  const Sizes sizes{ 1000, 2000, 4000 };
  const std::string micros = "us of processor time";
  aAll.push_back(MeasureSeries(
    "task_encode", micros, "task (4 records)", sizes, [](std::int64_t aSize) {
      const auto records = SampleRecords(aSize);
      return MicrosPerCall(1, [&] { EncodeAll(records); });
    }));
  aAll.push_back(MeasureSeries(
    "task_decode", micros, "task (4 records)", sizes, [](std::int64_t aSize) {
      const auto encoded = EncodeAll(SampleRecords(aSize));
      return MicrosPerCall(1, [&] {
        for (const auto& it : encoded) {
          static_cast<void>(journal::DecodeRecord(it));
        }
      });
    }));
  aAll.push_back(MeasureSeries("task_decode_and_apply",
                               micros,
                               "task (4 records, 16 shards)",
                               sizes,
                               MeasureRecordApply));
  aAll.push_back(MeasureSeries("state_export",
                               micros,
                               "exported task (500 on a page)",
                               { 4000, 8000, 16'000 },
                               MeasureExport));
}

double
MeasurePlacement(std::int64_t aWorkers, policy::Profile aProfile)
{
  std::vector<policy::WorkerView> views;
  for (std::int64_t n = 0; n < aWorkers; ++n) {
    policy::WorkerView view;
    view.mWorker = { SampleWorkerId(n) };
    view.mRack = "rack-" + std::to_string(n / 10);
    view.mCapacity = { 16'000, std::int64_t{ 60 } << 30, 0 };
    view.mFree = { 4000, std::int64_t{ 20 } << 30, 0 };
    view.mServices = { "twist-lot-confirmation", "inventory" };
    view.mBatchTasks = { { "tar-and-strand", 3 }, { "other", 2 } };
    views.push_back(view);
  }
  const auto policy = policy::CreatePlacementPolicy(aProfile);
  policy::TaskDemand task;
  task.mTask = { SampleTaskId(1) };
  task.mBatchClass = "tar-and-strand";
  task.mNeed = { 1000, std::int64_t{ 2 } << 30, 0 };
  return MicrosPerCall(20, [&] { policy->Choose(task, views); });
}

double
MeasureQueueOrder(std::int64_t aTasks, policy::Profile aProfile)
{
  std::vector<policy::QueueCandidate> queued;
  policy::TeamUsageMap teams;
  for (std::int64_t n = 0; n < aTasks; ++n) {
    policy::QueueCandidate task;
    task.mTask = { SampleTaskId(n) };
    task.mTeam = "team-" + std::to_string(n % 470);
    task.mBatchClass = "tar-and-strand";
    task.mNeed = { 1000, std::int64_t{ 2 } << 30, 0 };
    task.mUrgent = n % 10 == 0;
    task.mAcceptedOrder = n;
    task.mDeclaredRunSeconds = 600;
    teams[task.mTeam].mQuota = { 1'000'000, std::int64_t{ 1 } << 50, 100 };
    queued.push_back(task);
  }
  const auto policy = policy::CreateQueuePolicy(aProfile);
  return MicrosPerCall(1, [&] { policy->Order(queued, teams); });
}

void
AddPolicySeries(std::vector<CostSeries>& aAll)
{
  const std::string micros = "us of processor time";
  for (const auto profile :
       { policy::Profile::Throughput, policy::Profile::Tail }) {
    const std::string name(policy::NameOf(profile));
    aAll.push_back(MeasureSeries("placement_" + name,
                                 micros,
                                 "worker considered",
                                 { 65, 650, 7900 },
                                 [profile](std::int64_t aSize) {
                                   return MeasurePlacement(aSize, profile);
                                 }));
    aAll.push_back(MeasureSeries("queue_order_" + name,
                                 micros,
                                 "queued task",
                                 { 100, 1000, 10'000 },
                                 [profile](std::int64_t aSize) {
                                   return MeasureQueueOrder(aSize, profile);
                                 }));
  }
}

/// Time to look up the grants of one worker in the site's state.
double
MeasureGrantRefresh(std::int64_t aTasksPerWorker)
{
  constexpr std::int64_t kWorkers = 200;
  journal::SiteState state{ {} };
  journal::PageResult page;
  page.mIsFirst = true;
  page.mNextOffset = 1;
  journal::ReadBatch read;
  read.mBatch.mWriter = "entry-1.1";
  read.mBatch.mSequence = 1;
  for (std::int64_t n = 0; n < kWorkers * aTasksPerWorker; ++n) {
    const tasks::GrantRecord grant{ { SampleTaskId(n) },
                                    1,
                                    { SampleWorkerId(n % kWorkers) } };
    read.mBatch.mRecords.push_back(
      journal::EncodeRecord(tasks::TaskRecord(SampleAccept(n))));
    read.mBatch.mRecords.push_back(
      journal::EncodeRecord(tasks::TaskRecord(grant)));
  }
  page.mBatches.push_back(read);
  state.ApplyPage(page, 0);
  return MicrosPerCall(100, [&] {
    for (const auto& it : state.LiveAttemptsOn({ SampleWorkerId(1) })) {
      state.FindTask(it.mTask);
    }
  });
}

/// Time to rank the instances that may grant one task.
double
MeasureGrantTurn(std::int64_t aInstances)
{
  std::vector<std::string> members;
  for (std::int64_t n = 0; n < aInstances; ++n) {
    members.push_back("entry-" + std::to_string(n));
  }
  const std::string task = SampleTaskId(1);
  return MicrosPerCall(100, [&] { base::RendezvousRank(task, members); });
}

void
AddSchedulerSeries(std::vector<CostSeries>& aAll)
{
  const std::string micros = "us of processor time";
  aAll.push_back(MeasureSeries("grant_refresh",
                               micros,
                               "task on the worker, 16 shards",
                               { 1, 7, 14 },
                               MeasureGrantRefresh));
  aAll.push_back(MeasureSeries("grant_turn",
                               micros,
                               "live entry instance and queued task",
                               { 7, 70, 161 },
                               MeasureGrantTurn));
}

catalog::PublishRecord
PrepareInitialPublish(const catalog::ConfigState& aState, std::int64_t aObjects)
{
  auto record =
    catalog::PreparePublish(
      aState,
      catalog::kNoVersion,
      catalog::Diff(catalog::CatalogSet(), SampleCatalogSet(aObjects)),
      "operator")
      .value();
  record.mIdentity = { "entry-1.1", 1 };
  return record;
}

catalog::SetDelta
SingleTeamChange()
{
  catalog::SetDelta delta;
  catalog::Team team = SampleTeam(3);
  team.mWeight = 2;
  delta.mChanged.emplace_back(team);
  return delta;
}

double
MeasurePublishPreparation(std::int64_t aObjects)
{
  catalog::ConfigState state;
  state.Apply(
    0, catalog::FormatConfigRecord(PrepareInitialPublish(state, aObjects)), 0);
  return MicrosPerCall(1, [&] {
    static_cast<void>(
      catalog::PreparePublish(state, 0, SingleTeamChange(), "operator"));
  });
}

double
MeasureConfigApply(std::int64_t aObjects)
{
  catalog::ConfigState first;
  first.Apply(
    0, catalog::FormatConfigRecord(PrepareInitialPublish(first, aObjects)), 0);
  auto change =
    catalog::PreparePublish(first, 0, SingleTeamChange(), "operator").value();
  change.mIdentity = { "entry-1.1", 2 };
  const std::string payload = catalog::FormatConfigRecord(change);
  return MicrosPerCall(1, [&] {
    // The measured time includes this copy, which is cheap, since copies share
    // the objects.
    catalog::ConfigState state(first);
    state.Apply(1, payload, 0);
  });
}

void
AddConfigSeries(std::vector<CostSeries>& aAll)
{
  const Sizes sizes{ 100, 1000, 10'000 };
  const std::string micros = "us of processor time";
  aAll.push_back(MeasureSeries("config_prepare",
                               micros,
                               "object in the set, one changed",
                               sizes,
                               MeasurePublishPreparation));
  aAll.push_back(MeasureSeries("config_apply",
                               micros,
                               "object in the set, one changed",
                               sizes,
                               MeasureConfigApply));
}

double
MeasureHeartbeatCodec(std::int64_t aWorkers, std::int64_t aServices)
{
  const peer::Message message = SampleHeartbeat(aWorkers, aServices);
  return MicrosPerCall(20, [&] {
    static_cast<void>(
      peer::DecodeMessage(peer::EncodeMessage(message).value()));
  });
}

void
AddHeartbeatSeries(std::vector<CostSeries>& aAll)
{
  const std::string micros = "us of processor time";
  aAll.push_back(MeasureSeries(
    "heartbeat_workers",
    micros,
    "worker held, encoded and decoded",
    { 10, 100, 1000 },
    [](std::int64_t aSize) { return MeasureHeartbeatCodec(aSize, 3); }));
  aAll.push_back(MeasureSeries(
    "heartbeat_services",
    micros,
    "service, encoded and decoded",
    { 5, 50, 500 },
    [](std::int64_t aSize) { return MeasureHeartbeatCodec(10, aSize); }));
}

} // namespace

double
MicrosPerCall(int aCalls, const std::function<void()>& aFunction)
{
  // The minimum of several runs is least affected by other processes.
  constexpr int kRuns = 5;
  double least = std::numeric_limits<double>::max();
  for (int run = 0; run < kRuns; ++run) {
    const double before = ProcessorMicros();
    for (int n = 0; n < aCalls; ++n) {
      aFunction();
    }
    least = std::min(least, (ProcessorMicros() - before) / aCalls);
  }
  return least;
}

std::vector<CostSeries>
MeasureProcessorTime()
{
  std::vector<CostSeries> all;
  AddRecordSeries(all);
  AddPolicySeries(all);
  AddSchedulerSeries(all);
  AddConfigSeries(all);
  AddHeartbeatSeries(all);
  return all;
}

} // namespace skylarkhill::testing
