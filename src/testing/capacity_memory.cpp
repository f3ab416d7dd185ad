#include "skylarkhill/catalog/config_state.hpp"
#include "skylarkhill/entry/worker_agent.hpp"
#include "skylarkhill/requests/key_table.hpp"
#include "skylarkhill/tasks/task_table.hpp"
#include "skylarkhill/testing/capacity.hpp"
#include "skylarkhill/testing/capacity_samples.hpp"

#include <initializer_list>
#include <malloc.h>
#include <memory>
#include <stdexcept>

namespace skylarkhill::testing {

namespace {

using Sizes = std::initializer_list<std::int64_t>;

/// Heap memory held by the result of `aBuild` for each size.
template<typename Build>
CostSeries
MeasureBytes(std::string aName,
             std::string aSizeUnit,
             Sizes aSizes,
             Build aBuild)
{
  CostSeries series{ std::move(aName), "bytes", std::move(aSizeUnit), {} };
  for (const std::int64_t size : aSizes) {
    const double before = AllocatedBytes();
    const auto state = aBuild(size);
    const double bytes = AllocatedBytes() - before;
    series.mPoints.push_back({ static_cast<double>(size), bytes });
  }
  return series;
}

std::unique_ptr<tasks::TaskTable>
BuildLiveTasks(std::int64_t aCount)
{
  auto table = std::make_unique<tasks::TaskTable>();
  for (std::int64_t n = 0; n < aCount; ++n) {
    table->Apply(2 * n, SampleAccept(n));
    table->Apply(2 * n + 1, SampleGrant(n));
  }
  return table;
}

std::unique_ptr<tasks::TaskTable>
BuildTombstones(std::int64_t aCount)
{
  auto table = std::make_unique<tasks::TaskTable>();
  for (std::int64_t n = 0; n < aCount; ++n) {
    table->Apply(3 * n, SampleAccept(n));
    table->Apply(3 * n + 1, SampleGrant(n));
    table->Apply(3 * n + 2, SampleEnd(n));
  }
  return table;
}

std::unique_ptr<requests::KeyTable>
BuildKeys(std::int64_t aCount)
{
  auto table = std::make_unique<requests::KeyTable>();
  for (std::int64_t n = 0; n < aCount; ++n) {
    table->Apply(2 * n, SampleIntent(n));
    table->Apply(2 * n + 1, SampleOutcome(n));
  }
  return table;
}

class NullWorkerListener : public entry::WorkerListener
{
public:
  void OnHolderChange(entry::WorkerAgent&, bool) override {}
  void OnReport(entry::WorkerAgent&, const worker::WorkerReport&) override {}
  void OnRecord(entry::WorkerAgent&, const tasks::TaskRecord&) override {}
};

/// Worker agents that have acquired their workers.
struct HeldWorkers
{
  base::ManualClock mClock;
  NullWorkerListener mListener;
  std::vector<std::unique_ptr<entry::WorkerAgent>> mAgents;

  HeldWorkers(std::int64_t aWorkers, std::int64_t aTasks)
  {
    for (std::int64_t n = 0; n < aWorkers; ++n) {
      entry::WorkerLocation place{ { SampleWorkerId(n) },
                                   { "domain" },
                                   "rack" };
      entry::WorkerAgentOptions options;
      options.mInstance = { "entry-1" };
      mAgents.push_back(
        std::make_unique<entry::WorkerAgent>(place,
                                             options,
                                             CreateSampleWorker(aTasks, mClock),
                                             mClock,
                                             n + 1,
                                             mListener));
      mAgents.back()->SetPreferred(true);
    }
    // Longer than takeover delay plus quiet period, so that all workers are
    // acquired.
    constexpr int kSeconds = 10;
    for (int n = 0; n < kSeconds; ++n) {
      RunOneSecond(aTasks);
    }
    // A worker that is not held has no ledger and would be measured too small.
    for (const auto& it : mAgents) {
      if (!it->MaySendCommands()) {
        throw std::runtime_error("a sample worker was not acquired");
      }
    }
  }

  /// Runs the steps and grant refreshes of one second at the rates of the entry
  /// process.
  void RunOneSecond(std::int64_t aTasks)
  {
    constexpr int kSteps = 25;
    constexpr int kStepsPerRefresh = 5;
    const auto grants = SampleGrantedAttempts(aTasks);
    for (int n = 0; n < kSteps; ++n) {
      mClock.Advance(std::chrono::milliseconds(40));
      for (const auto& it : mAgents) {
        if (n % kStepsPerRefresh == 0) {
          it->SetGrants(grants, mClock.Now(), 1);
        }
        it->Step();
      }
    }
  }
};

} // namespace

double
AllocatedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

std::vector<CostSeries>
MeasureMemory()
{
  std::vector<CostSeries> all;
  const Sizes sizes{ 10'000, 20'000, 40'000 };
  all.push_back(
    MeasureBytes("live_task_memory", "live task", sizes, BuildLiveTasks));
  all.push_back(
    MeasureBytes("tombstone_memory", "tombstone", sizes, BuildTombstones));
  all.push_back(MeasureBytes(
    "key_memory", "finished key, 100-byte body", sizes, BuildKeys));
  all.push_back(MeasureBytes(
    "config_object_memory", "config object (team)", sizes, SampleCatalogSet));
  for (const std::int64_t tasks : { 0, 7, 14 }) {
    all.push_back(
      MeasureBytes("held_worker_memory_" + std::to_string(tasks),
                   "worker held with " + std::to_string(tasks) + " tasks",
                   { 50, 100, 200 },
                   [tasks](std::int64_t aSize) {
                     return std::make_unique<HeldWorkers>(aSize, tasks);
                   }));
  }
  for (const std::int64_t tasks : { 0, 7, 14 }) {
    CostSeries series{
      "holder_second_" + std::to_string(tasks),
      "us of processor time",
      "worker held with " + std::to_string(tasks) +
        " tasks and second (25 steps, 5 grant refreshes, polls)",
      {}
    };
    for (const std::int64_t size : { 20, 50, 100 }) {
      HeldWorkers workers(size, tasks);
      const double micros =
        MicrosPerCall(2, [&] { workers.RunOneSecond(tasks); });
      series.mPoints.push_back({ static_cast<double>(size), micros });
    }
    all.push_back(series);
  }
  return all;
}

} // namespace skylarkhill::testing
