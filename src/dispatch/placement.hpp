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

/// Placement cost of a worker without service tasks for backfill, in
/// thousandths of a processor.
inline constexpr double kNoServiceCost = 4000.0;

/// A backfill task starts below full pace only where at least this pace, in
/// percent, is left for it and its like.
inline constexpr int kMinStartPace = 10;
/// The same beside runs that have started so, with which it shares what is
/// left.
inline constexpr int kMinSharedPace = 5;

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

/// True if there is a ticket for the step on this incarnation of `aWorker` that
/// is valid at `aNow`.
bool
HasTicket(const StepState& aStep,
          const WorkerState& aWorker,
          base::TimePoint aNow);

/// Returns the unused processors, in thousandths, that a worker must have for a
/// backfill task that requests `aRequested`.
double
MinProcessorsForBackfill(std::int64_t aRequested);

/// True if `aWorker` accepts starts and has the pool and the label that the
/// step requires.
bool
IsCompatible(const StepState& aStep,
             const WorkerState& aWorker,
             base::TimePoint aNow);

/// True if `aWorker` has as many tasks of the step as jobs::Step::mMaxPerWorker
/// permits.
bool
IsFull(const StepState& aStep, const WorkerState& aWorker);

/// True if `aWorker` has the resources for one more task of the step and no
/// limit of the step excludes it. Requires an up-to-date PlacementIndex, like
/// the functions below.
bool
HasRoom(const StepState& aStep,
        const WorkerState& aWorker,
        base::TimePoint aNow);

/// True if `aTask` has a run on `aWorker`.
bool
RunsOn(const TaskState& aTask, const WorkerState& aWorker);

/// True if one more task of the backfill step would interfere significantly
/// with a service task on `aWorker` and bring it above the maximum tail ratio.
bool
WouldExceedMaxTailRatio(const StepState& aStep,
                        const WorkerState& aWorker,
                        const ColocationModel& aModel);

/// Returns the highest pace, in percent, at which one more task of the backfill
/// step would bring no service task on `aWorker` above the maximum tail ratio;
/// beside runs that have started below full pace, or without them.
int
HarmlessPace(const StepState& aStep,
             const WorkerState& aWorker,
             const ColocationModel& aModel,
             bool aCountsPacedStarts);

/// Cost of placing `aTask` on `aWorker`; lower is better. At least the
/// processors that remain free, or, for backfill, the negative number of unused
/// processors, in thousandths, plus kNoServiceCost if it applies.
double
PlacementCost(const TaskState& aTask,
              const WorkerState& aWorker,
              const ColocationModel& aModel,
              base::TimePoint aNow);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_PLACEMENT_HPP
