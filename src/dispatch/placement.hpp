#ifndef SKYLARKHILL_DISPATCH_PLACEMENT_HPP
#define SKYLARKHILL_DISPATCH_PLACEMENT_HPP

#include "skylarkhill/base/clock.hpp"

#include <unordered_map>

#include "colocation_model.hpp"
#include "state.hpp"

namespace skylarkhill::dispatch {

using WorkerMap = std::unordered_map<std::string, std::unique_ptr<WorkerState>>;

/// Half-life of a worker's failure score.
inline constexpr base::Duration kFailureHalfLife = std::chrono::seconds(3);

/// Returns the decayed failure score of `aWorker` at `aNow`.
double
FailureScore(const WorkerState& aWorker, base::TimePoint aNow);

/// Adds `aChange` to the failure score of `aWorker`; negative after a success.
void
ChangeFailureScore(WorkerState& aWorker, double aChange, base::TimePoint aNow);

/// Estimates the processors of `aWorker`, in thousandths, that tasks other than
/// backfill leave unused.
std::int64_t
EstimateUnusedProcessors(const WorkerState& aWorker);

/// True if `aWorker` is in a state in which it may be sent starts.
bool
AcceptsStarts(const WorkerState& aWorker, base::TimePoint aNow);

/// True if there is a ticket for the step on `aWorker` that is valid at `aNow`.
bool
HasTicket(const StepState& aStep,
          const WorkerState& aWorker,
          base::TimePoint aNow);

/// True if one more task of `aStep` may be placed on `aWorker`.
bool
IsEligible(const StepState& aStep,
           const WorkerState& aWorker,
           const ColocationModel& aModel,
           base::TimePoint aNow);

/// Returns the eligible worker with the lowest cost for `aTask`, or null.
WorkerState*
ChooseWorker(const TaskState& aTask,
             const WorkerMap& aWorkers,
             const ColocationModel& aModel,
             base::TimePoint aNow);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_PLACEMENT_HPP
