#ifndef SKYLARKHILL_ENTRY_WORKER_MANAGER_HPP
#define SKYLARKHILL_ENTRY_WORKER_MANAGER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/id.hpp"
#include "skylarkhill/entry/worker_agent.hpp"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace skylarkhill::entry {

/// Steps the agents of all workers of the failure domain on several threads, so
/// that an unresponsive worker does not delay the others.
class WorkerManager
{
public:
  using AgentPtr = std::shared_ptr<WorkerAgent>;

  /// `aClock` must outlive the manager. `aBeforeStep` runs before every step of
  /// an agent, on the same thread.
  WorkerManager(const base::Clock& aClock,
                std::function<void(WorkerAgent&)> aBeforeStep);
  ~WorkerManager();
  WorkerManager(const WorkerManager&) = delete;
  WorkerManager& operator=(const WorkerManager&) = delete;

  void Start(std::size_t aThreads);
  void Stop();

  void Add(AgentPtr aAgent);
  void Remove(const base::WorkerId& aWorker);

  AgentPtr Find(const base::WorkerId& aWorker) const;
  /// All agents, sorted by worker id.
  std::vector<AgentPtr> All() const;

private:
  struct ScheduledAgent
  {
    AgentPtr mAgent;
    base::TimePoint mDueAt;
    bool mBusy = false;
  };

  void Run();
  /// The agent that is due first among those not being stepped, or null.
  ScheduledAgent* NextAgent();

  const base::Clock& mClock;
  const std::function<void(WorkerAgent&)> mBeforeStep;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<base::WorkerId, std::shared_ptr<ScheduledAgent>> mScheduledAgents;
  std::vector<std::thread> mThreads;
  bool mStopping = false;
};

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_WORKER_MANAGER_HPP
