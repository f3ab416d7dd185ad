#ifndef SKYLARKHILL_DISPATCH_POLL_QUEUE_HPP
#define SKYLARKHILL_DISPATCH_POLL_QUEUE_HPP

#include "skylarkhill/base/clock.hpp"

#include <set>

#include "state.hpp"

namespace skylarkhill::dispatch {

/// Orders the workers without a poll in flight by WorkerState::mNextPollAt,
/// which only this class changes. Holds pointers to the workers; each must be
/// removed before it is destroyed.
class PollQueue
{
public:
  /// The next poll of `aWorker`, which has none in flight, is due at `aTime`.
  void Schedule(WorkerState& aWorker, base::TimePoint aTime);

  /// The next poll of `aWorker` is due at `aTime` unless it is due earlier.
  /// Without effect while a poll is in flight.
  void Advance(WorkerState& aWorker, base::TimePoint aTime);

  /// Removes `aWorker` until the next Schedule.
  void Remove(WorkerState& aWorker);

  /// Returns the worker whose poll is due first, or null if there is none.
  WorkerState* First() const;

private:
  struct IsBefore
  {
    bool operator()(const WorkerState* aLeft, const WorkerState* aRight) const;
  };

  std::set<WorkerState*, IsBefore> mWorkers;
};

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_POLL_QUEUE_HPP
