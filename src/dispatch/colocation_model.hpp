#ifndef SKYLARKHILL_DISPATCH_COLOCATION_MODEL_HPP
#define SKYLARKHILL_DISPATCH_COLOCATION_MODEL_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "interference_estimator.hpp"

namespace skylarkhill::dispatch {

struct RunState;
struct StepState;
struct WorkerState;

/// Tail latency of a service task relative to its target.
using TailRatio = double;

/// The pressure that shows as `aRatio`.
Saturation
SaturationOf(TailRatio aRatio);

/// Learns by how much backfill tasks raise the tail latency of service tasks
/// beside them, per pair of images.
class ColocationModel
{
public:
  /// A small number for `aImage`, the same for equal names.
  int Intern(const std::string& aImage);

  /// Learns from the tails that the service tasks on `aWorker` have just
  /// reported.
  void Record(WorkerState& aWorker, base::TimePoint aNow);

  /// The expected pressure on a service task by a backfill task that uses the
  /// share `aShare` (0 to 1) of the worker's processors.
  Saturation ExpectedInterference(int aServiceImage,
                                  int aBackfillImage,
                                  double aShare) const;

  /// The same, one standard deviation above what is expected.
  Saturation InterferenceUpperBound(int aServiceImage,
                                    int aBackfillImage,
                                    double aShare) const;

  /// The expected pressure of `aBackfill` at full pace on `aService`, both on
  /// one worker.
  Saturation InterferenceBetween(const RunState& aService,
                                 const RunState& aBackfill) const;

  /// The pressure of all backfill beside `aService` at the paces that are
  /// wanted, also of runs that no report covers yet.
  Saturation TotalInterference(const RunState& aService) const;

  /// The estimates, for another process.
  std::string Export() const;
  /// Starts from the estimates of Export. InvalidArgument if the bytes are not
  /// those of Export.
  base::Result<void> Import(std::string_view aBytes);

private:
  InterferenceEstimator mEstimator;
  std::unordered_map<std::string, int> mImageIndexes;
  std::vector<std::string> mImageNames;
};

/// The last reported tail of a service run relative to its target; a typical
/// value while none has been reported.
TailRatio
TailRatioOf(const RunState& aRun);

/// The pressure of a service's own load, on the task that `aService` runs. All
/// tasks of a service share the load, so that those without backfill beside
/// them tell it for the others.
Saturation
BaselineOf(const RunState& aService);

/// The share, 0 to 1, that `aMilliProcessors` are of the worker's processors.
double
ShareOf(std::int64_t aMilliProcessors, const WorkerState& aWorker);

/// The share of its worker's processors that a backfill run uses at full
/// pace.
double
BackfillShareOf(const RunState& aRun);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_COLOCATION_MODEL_HPP
