#include "skylarkhill/testing/bench_decisions.hpp"

#include "skylarkhill/base/random.hpp"
#include "skylarkhill/testing/bench_metrics.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace skylarkhill::testing {

namespace {

constexpr std::size_t kBatchClasses = 5;
constexpr std::int64_t kGiB = std::int64_t{ 1 } << 30;

std::string
BatchClassName(std::size_t aIndex)
{
  return "class" + std::to_string(aIndex);
}

std::vector<policy::WorkerView>
MakeWorkerViews(std::size_t aWorkers, base::Random& aRandom)
{
  std::vector<policy::WorkerView> views;
  for (std::size_t n = 0; n < aWorkers; ++n) {
    policy::WorkerView view;
    view.mWorker = { "worker" + std::to_string(n) };
    view.mCapacity = { 16'000, 60 * kGiB, 0 };
    view.mFree = { static_cast<std::int64_t>(aRandom.Below(16'000)),
                   static_cast<std::int64_t>(aRandom.Below(60)) * kGiB,
                   0 };
    view.mServices = { "service0", "service1" };
    for (std::size_t it = 0; it < kBatchClasses; ++it) {
      view.mBatchTasks[BatchClassName(it)] = 1;
    }
    views.push_back(std::move(view));
  }
  return views;
}

void
RecordReports(policy::PlacementPolicy& aPolicy,
              const std::vector<policy::WorkerView>& aViews)
{
  for (const auto& view : aViews) {
    for (const auto& service : view.mServices) {
      aPolicy.RecordReport({ view.mWorker,
                             service,
                             view.mBatchTasks,
                             120,
                             base::TimePoint(std::chrono::seconds(1)) });
    }
  }
}

} // namespace

DecisionLatency
MeasureDecisionLatency(policy::Profile aProfile,
                       std::size_t aWorkers,
                       std::size_t aDecisions)
{
  const auto random = base::CreateSeededRandom(1);
  const auto policy = policy::CreatePlacementPolicy(aProfile);
  const auto views = MakeWorkerViews(aWorkers, *random);
  RecordReports(*policy, views);
  std::vector<double> micros;
  for (std::size_t n = 0; n < aDecisions; ++n) {
    const policy::TaskDemand demand{ { "task" + std::to_string(n) },
                                     BatchClassName(n % kBatchClasses),
                                     { 1'000, 4 * kGiB, 0 },
                                     false };
    const auto before = std::chrono::steady_clock::now();
    const auto chosen = policy->Choose(demand, views);
    const auto after = std::chrono::steady_clock::now();
    if (chosen && *chosen >= views.size()) {
      break;
    }
    micros.push_back(
      std::chrono::duration<double, std::micro>(after - before).count());
  }
  return { PercentileOf(micros, 50.0), PercentileOf(micros, 99.0) };
}

} // namespace skylarkhill::testing
