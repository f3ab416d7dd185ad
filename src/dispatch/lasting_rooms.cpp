#include "lasting_rooms.hpp"

#include <algorithm>
#include <string>
#include <tuple>
#include <unordered_map>

namespace skylarkhill::dispatch {

namespace {

/// Time after which a worker is kept for a lasting task. Before that, another
/// cell may borrow the task.
constexpr base::Duration kMinWaitForRoom = std::chrono::milliseconds(1500);
/// One of so many workers that accept starts may be kept: its processors are
/// idle until enough of them are free.
constexpr std::size_t kWorkersPerKeptRoom = 8;

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

/// Number of tasks that have waited since `aTime` or longer.
int
CountWaitingSince(const StepState& aStep, base::TimePoint aTime)
{
  if (!IsWaiting(aStep) || *aStep.mNoRoomSince > aTime) {
    return 0;
  }
  return static_cast<int>(std::count_if(
    aStep.mTasks.begin(), aStep.mTasks.end(), [&](const TaskState& aTask) {
      return HasNoRun(aTask) && aTask.mRunEndedAt <= aTime;
    }));
}

/// How far a worker is from having room for a task. The lowest is chosen.
struct RoomDistance
{
  /// Processors that lasting tasks must leave, in thousandths.
  std::int64_t mLasting = 0;
  /// Processors that tasks of any kind must leave.
  std::int64_t mAny = 0;
  std::string mWorkerId;
};

bool
operator<(const RoomDistance& aLeft, const RoomDistance& aRight)
{
  return std::tie(aLeft.mLasting, aLeft.mAny, aLeft.mWorkerId) <
         std::tie(aRight.mLasting, aRight.mAny, aRight.mWorkerId);
}

RoomDistance
DistanceOf(const LastingRoom& aRoom, const base::Resources& aDemand)
{
  const WorkerState& worker = *aRoom.mWorker;
  const std::int64_t free =
    worker.mEntry.mCapacity.mMilliProcessors - worker.mUsed.mMilliProcessors;
  return { std::max<std::int64_t>(
             0, aDemand.mMilliProcessors - aRoom.mLeft.mMilliProcessors),
           std::max<std::int64_t>(0, aDemand.mMilliProcessors - free),
           worker.mEntry.mId };
}

/// True if the worker has room for a task of the step once others have ended.
bool
MayGetRoom(const StepState& aStep,
           const WorkerState& aWorker,
           base::TimePoint aNow)
{
  return base::Fits(aStep.mSpec->mResources, aWorker.mEntry.mCapacity) &&
         IsEligible(aStep, aWorker, aNow);
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

base::Resources
LeftByLastingTasks(const WorkerState& aWorker)
{
  base::Resources left = aWorker.mEntry.mCapacity;
  for (const RunState* it : aWorker.mServiceRuns) {
    left -= it->mTask->mStep->mSpec->mResources;
  }
  return left;
}

std::vector<LastingRoom>
ListLastingRooms(const WorkerMap& aWorkers, base::TimePoint aNow)
{
  std::vector<LastingRoom> rooms;
  for (const auto& [id, worker] : aWorkers) {
    if (!AcceptsStarts(*worker, aNow)) {
      continue;
    }
    rooms.push_back({ worker.get(), LeftByLastingTasks(*worker) });
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

void
KeepRooms(const WorkerMap& aWorkers,
          const std::vector<StepState*>& aWaiting,
          base::TimePoint aNow)
{
  std::unordered_map<const StepState*, std::vector<WorkerState*>> earlier;
  for (const auto& [id, worker] : aWorkers) {
    if (worker->mKeptFor != nullptr) {
      earlier[worker->mKeptFor].push_back(worker.get());
      ReleaseRoom(*worker);
    }
  }
  std::vector<LastingRoom> rooms;
  std::size_t left = 0;
  for (StepState* step : aWaiting) {
    step->mHasKeptRoom = false;
    int waiting = CountWaitingSince(*step, aNow - kMinWaitForRoom);
    if (waiting == 0) {
      continue;
    }
    if (rooms.empty()) {
      rooms = ListLastingRooms(aWorkers, aNow);
      left = (rooms.size() + kWorkersPerKeptRoom - 1) / kWorkersPerKeptRoom;
    }
    const auto keep = [&](WorkerState& aWorker) {
      aWorker.mKeptFor = step;
      aWorker.mKept = step->mSpec->mResources;
      step->mHasKeptRoom = true;
      --left;
    };
    for (WorkerState* it : earlier[step]) {
      if (waiting > 0 && left > 0 && MayGetRoom(*step, *it, aNow)) {
        keep(*it);
        --waiting;
      }
    }
    for (; waiting > 0 && left > 0; --waiting) {
      WorkerState* nearest = nullptr;
      RoomDistance distance;
      for (const LastingRoom& it : rooms) {
        WorkerState& worker = *aWorkers.at(it.mWorker->mEntry.mId);
        if (worker.mKeptFor != nullptr || !MayGetRoom(*step, worker, aNow)) {
          continue;
        }
        const RoomDistance other = DistanceOf(it, step->mSpec->mResources);
        if (nearest == nullptr || other < distance) {
          nearest = &worker;
          distance = other;
        }
      }
      if (nearest == nullptr) {
        break;
      }
      keep(*nearest);
    }
  }
}

void
ReleaseRoom(WorkerState& aWorker)
{
  aWorker.mKeptFor = nullptr;
  aWorker.mKept = {};
}

} // namespace skylarkhill::dispatch
