#include "lasting_rooms.hpp"

#include <algorithm>

namespace skylarkhill::dispatch {

namespace {

/// True if only the resources decide whether the worker can take a task of the
/// step.
bool
IsEligible(const StepState& aStep,
           const WorkerState& aWorker,
           base::TimePoint aNow)
{
  return IsCompatible(aStep, aWorker, aNow) && !IsFull(aStep, aWorker) &&
         (!aStep.mJob->mSubmission.mPolicy.mNeedsTicket ||
          HasTicket(aStep, aWorker, aNow));
}

/// Number of tasks of the step that the limit of tasks on one worker permits
/// besides those on `aWorker`; `aMost` if there is no limit.
int
CountPermitted(const StepState& aStep, const WorkerState& aWorker, int aMost)
{
  if (aStep.mSpec->mMaxPerWorker <= 0) {
    return aMost;
  }
  const auto found = aStep.mTasksPerWorker.find(&aWorker);
  const int count = found == aStep.mTasksPerWorker.end() ? 0 : found->second;
  return std::min(aMost, aStep.mSpec->mMaxPerWorker - count);
}

bool
HasFewerProcessors(const LastingRoom& aLeft, const LastingRoom& aRight)
{
  return aLeft.mLeft.mMilliProcessors < aRight.mLeft.mMilliProcessors;
}

bool
IsWaiting(const StepState& aStep)
{
  // A gang holds nothing while it waits.
  return aStep.mSpec->mIsService && !aStep.mSpec->mIsGang &&
         aStep.mNoRoomSince && aStep.mWaitingCount > 0;
}

bool
HasNoRun(const TaskState& aTask)
{
  return !aTask.mIsDone && !aTask.mIsElsewhere && aTask.mRuns.empty();
}

} // namespace

base::TimePoint
WaitsSince(const StepState& aStep)
{
  base::TimePoint since = base::kNoDeadline;
  if (!IsWaiting(aStep)) {
    return since;
  }
  for (const TaskState& it : aStep.mTasks) {
    if (HasNoRun(it)) {
      since = std::min(since, std::max(*aStep.mNoRoomSince, it.mRunEndedAt));
    }
  }
  return since;
}

std::vector<LastingRoom>
ListLastingRooms(const WorkerMap& aWorkers, base::TimePoint aNow)
{
  std::vector<LastingRoom> rooms;
  for (const auto& [id, worker] : aWorkers) {
    if (!AcceptsStarts(*worker, aNow)) {
      continue;
    }
    LastingRoom room{ worker.get(), worker->mEntry.mCapacity };
    for (const RunState* it : worker->mServiceRuns) {
      room.mLeft -= it->mTask->mStep->mSpec->mResources;
    }
    rooms.push_back(room);
  }
  return rooms;
}

bool
HasLastingRoom(const std::vector<LastingRoom>& aRooms,
               const StepState& aStep,
               base::TimePoint aNow)
{
  return std::any_of(
    aRooms.begin(), aRooms.end(), [&](const LastingRoom& aRoom) {
      return base::Fits(aStep.mSpec->mResources, aRoom.mLeft) &&
             IsEligible(aStep, *aRoom.mWorker, aNow);
    });
}

void
TakeWaitingTasks(std::vector<LastingRoom>& aRooms,
                 const std::vector<StepState*>& aReadySteps,
                 base::TimePoint aNow)
{
  // Placement prefers the workers that a task leaves the least on.
  std::sort(aRooms.begin(), aRooms.end(), HasFewerProcessors);
  for (const StepState* step : aReadySteps) {
    if (!IsWaiting(*step)) {
      continue;
    }
    const base::Resources& demand = step->mSpec->mResources;
    int waiting = step->mWaitingCount;
    bool hasTaken = false;
    for (auto it = std::lower_bound(aRooms.begin(),
                                    aRooms.end(),
                                    LastingRoom{ nullptr, demand },
                                    HasFewerProcessors);
         it != aRooms.end() && waiting > 0;
         ++it) {
      if (!base::Fits(demand, it->mLeft) ||
          !IsEligible(*step, *it->mWorker, aNow)) {
        continue;
      }
      int permitted = CountPermitted(*step, *it->mWorker, waiting);
      while (permitted > 0 && base::Fits(demand, it->mLeft)) {
        it->mLeft -= demand;
        --permitted;
        --waiting;
        hasTaken = true;
      }
    }
    if (hasTaken) {
      std::sort(aRooms.begin(), aRooms.end(), HasFewerProcessors);
    }
  }
}

} // namespace skylarkhill::dispatch
