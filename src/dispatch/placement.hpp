#ifndef SKYLARKHILL_DISPATCH_PLACEMENT_HPP
#define SKYLARKHILL_DISPATCH_PLACEMENT_HPP

#include "skylarkhill/base/clock.hpp"

#include <unordered_map>

#include "colocation_model.hpp"
#include "state.hpp"

namespace skylarkhill::dispatch {

using WorkerMap = std::unordered_map<std::string, std::unique_ptr<WorkerState>>;

/// Failures of a worker count half after this time.
inline constexpr base::Duration kFailureHalfLife = std::chrono::seconds(3);

/// `aWorker`'s failure score at `aNow`.
double
FailureScore(const WorkerState& aWorker, base::TimePoint aNow);

/// Adds `aWeight` to the failure score of `aWorker`.
void
AddFailure(WorkerState& aWorker, double aWeight, base::TimePoint aNow);

/// Processors, in thousandths, that tasks other than backfill leave unused on
/// `aWorker`.
std::int64_t
EstimateLeftover(const WorkerState& aWorker);

/// True if a start may be sent to `aWorker` at all.
bool
AcceptsStarts(const WorkerState& aWorker, base::TimePoint aNow);

/// True if the advice service permits the step on `aWorker` at `aNow`.
bool
HasTicket(const StepState& aStep,
          const WorkerState& aWorker,
          base::TimePoint aNow);

/// True if one task of `aStep` may run on `aWorker` beside what runs there.
bool
IsEligible(const StepState& aStep,
           const WorkerState& aWorker,
           const ColocationModel& aModel,
           base::TimePoint aNow);

/// The best worker for `aTask`, or null if none can take it now.
WorkerState*
ChooseWorker(const TaskState& aTask,
             const WorkerMap& aWorkers,
             const ColocationModel& aModel,
             base::TimePoint aNow);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_PLACEMENT_HPP
