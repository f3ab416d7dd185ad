#include "poll_queue.hpp"

#include <tuple>

namespace skylarkhill::dispatch {

bool
PollQueue::IsBefore::operator()(const WorkerState* aLeft,
                                const WorkerState* aRight) const
{
  return std::tie(aLeft->mNextPollAt, aLeft->mEntry.mId) <
         std::tie(aRight->mNextPollAt, aRight->mEntry.mId);
}

void
PollQueue::Schedule(WorkerState& aWorker, base::TimePoint aTime)
{
  mWorkers.erase(&aWorker);
  aWorker.mNextPollAt = aTime;
  mWorkers.insert(&aWorker);
}

void
PollQueue::Advance(WorkerState& aWorker, base::TimePoint aTime)
{
  if (!aWorker.mIsPollInFlight && aTime < aWorker.mNextPollAt) {
    Schedule(aWorker, aTime);
  }
}

void
PollQueue::Remove(WorkerState& aWorker)
{
  mWorkers.erase(&aWorker);
}

WorkerState*
PollQueue::First() const
{
  return mWorkers.empty() ? nullptr : *mWorkers.begin();
}

} // namespace skylarkhill::dispatch
