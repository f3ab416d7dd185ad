#ifndef SKYLARKHILL_DISPATCH_LASTING_ROOMS_HPP
#define SKYLARKHILL_DISPATCH_LASTING_ROOMS_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/resources.hpp"

#include <vector>

#include "placement.hpp"
#include "state.hpp"

namespace skylarkhill::dispatch {

/// What the lasting tasks of a worker leave to others of their kind. Other
/// tasks end soon, and lasting ones are placed first.
struct LastingRoom
{
  const WorkerState* mWorker = nullptr;
  base::Resources mLeft;
};

/// Returns the rooms of the workers that accept starts.
std::vector<LastingRoom>
ListLastingRooms(const WorkerMap& aWorkers, base::TimePoint aNow);

/// True if a room suffices for one task of the step.
bool
HasLastingRoom(const std::vector<LastingRoom>& aRooms,
               const StepState& aStep,
               base::TimePoint aNow);

/// Takes the resources of the lasting tasks that wait for a worker off the
/// rooms that they will get. Tasks for which no worker has been searched yet
/// and tasks that no worker can have take nothing.
void
TakeWaitingTasks(std::vector<LastingRoom>& aRooms,
                 const std::vector<StepState*>& aReadySteps,
                 base::TimePoint aNow);

/// Since when the task of the step that waits longest has had no run although
/// workers were searched; kNoDeadline if none waits.
base::TimePoint
WaitsSince(const StepState& aStep);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_LASTING_ROOMS_HPP
