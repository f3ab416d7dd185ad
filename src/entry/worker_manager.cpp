#include "skylarkhill/entry/worker_manager.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::entry {

namespace {

// holder::LeaseMachine and holder::TaskRunner must be stepped at least every
// 50 ms; the rest is for the step itself.
constexpr base::Duration kStepInterval = std::chrono::milliseconds(40);

} // namespace

WorkerManager::WorkerManager(const base::Clock& aClock,
                             std::function<void(WorkerAgent&)> aBeforeStep)
  : mClock(aClock)
  , mBeforeStep(std::move(aBeforeStep))
{
}

WorkerManager::~WorkerManager()
{
  Stop();
}

void
WorkerManager::Start(std::size_t aThreads)
{
  for (std::size_t n = 0; n < aThreads; ++n) {
    mThreads.emplace_back([this] { Run(); });
  }
}

void
WorkerManager::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  for (auto& it : mThreads) {
    it.join();
  }
  mThreads.clear();
}

void
WorkerManager::Add(AgentPtr aAgent)
{
  const std::lock_guard lock(mMutex);
  const base::WorkerId worker = aAgent->Location().mWorker;
  auto scheduled = std::make_shared<ScheduledAgent>();
  scheduled->mAgent = std::move(aAgent);
  scheduled->mDueAt = mClock.Now();
  mScheduledAgents[worker] = std::move(scheduled);
  mChanged.notify_one();
}

void
WorkerManager::Remove(const base::WorkerId& aWorker)
{
  const std::lock_guard lock(mMutex);
  mScheduledAgents.erase(aWorker);
}

WorkerManager::AgentPtr
WorkerManager::Find(const base::WorkerId& aWorker) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mScheduledAgents.find(aWorker);
  return it == mScheduledAgents.end() ? nullptr : it->second->mAgent;
}

std::vector<WorkerManager::AgentPtr>
WorkerManager::All() const
{
  const std::lock_guard lock(mMutex);
  std::vector<AgentPtr> agents;
  agents.reserve(mScheduledAgents.size());
  for (const auto& it : mScheduledAgents) {
    agents.push_back(it.second->mAgent);
  }
  return agents;
}

WorkerManager::ScheduledAgent*
WorkerManager::NextAgent()
{
  ScheduledAgent* next = nullptr;
  for (const auto& it : mScheduledAgents) {
    ScheduledAgent& scheduled = *it.second;
    if (!scheduled.mBusy &&
        (next == nullptr || scheduled.mDueAt < next->mDueAt)) {
      next = &scheduled;
    }
  }
  return next;
}

void
WorkerManager::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    ScheduledAgent* next = NextAgent();
    const base::TimePoint now = mClock.Now();
    if (next == nullptr || next->mDueAt > now) {
      const base::Duration pause =
        next == nullptr
          ? kStepInterval
          : std::min<base::Duration>(kStepInterval, next->mDueAt - now);
      mChanged.wait_for(lock, pause);
      continue;
    }
    const auto scheduled =
      mScheduledAgents.at(next->mAgent->Location().mWorker);
    scheduled->mBusy = true;
    lock.unlock();
    mBeforeStep(*scheduled->mAgent);
    scheduled->mAgent->Step();
    lock.lock();
    scheduled->mBusy = false;
    scheduled->mDueAt = mClock.Now() + kStepInterval;
  }
}

} // namespace skylarkhill::entry
