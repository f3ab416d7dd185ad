#ifndef SKYLARKHILL_DISPATCH_COLOCATION_MODEL_HPP
#define SKYLARKHILL_DISPATCH_COLOCATION_MODEL_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"

#include <cstddef>
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

/// Ratio of the tail latency of a service task to its target.
using TailRatio = double;

/// Returns the saturation that corresponds to a tail latency of `aRatio`.
Saturation
SaturationOf(TailRatio aRatio);

/// Learns how much backfill raises the tail latency of service tasks on the
/// same worker, for each pair of images.
class ColocationModel
{
public:
  /// Returns a dense index for `aImage`, the same for equal names.
  int Intern(const std::string& aImage);

  /// Updates the estimates with the latest report of `aWorker`.
  void Update(WorkerState& aWorker, base::TimePoint aNow);

  /// Returns the expected interference of a backfill task that uses `aShare`
  /// (0 to 1) of the worker's processors.
  Saturation ExpectedInterference(int aServiceImage,
                                  int aBackfillImage,
                                  double aShare) const;

  /// Returns the expected interference plus one standard deviation.
  Saturation CautiousInterference(int aServiceImage,
                                  int aBackfillImage,
                                  double aShare) const;

  /// Returns the expected interference of `aBackfill` at full pace with
  /// `aService` on the same worker.
  Saturation InterferenceBetween(const RunState& aService,
                                 const RunState& aBackfill) const;

  /// Returns the expected interference of all backfill on the worker of
  /// `aService` at the target paces, including runs not reported yet. Leaves
  /// out RunState::mIsPacedFromStart unless `aCountsPacedStarts`.
  Saturation TotalInterference(const RunState& aService,
                               bool aCountsPacedStarts) const;

  /// Serialised estimates.
  struct Record
  {
    std::string mBytes;
    /// Number of estimates that did not fit.
    std::size_t mOmittedPairs = 0;
  };
  /// Serialises the estimates, at most `aMaxBytes` of them. The pairs that have
  /// not been observed for longest are omitted first.
  Record Export(std::size_t aMaxBytes) const;
  /// Loads estimates written by Export. InvalidArgument if the bytes are
  /// malformed.
  base::Result<void> Import(std::string_view aBytes);

private:
  InterferenceEstimator mEstimator;
  std::unordered_map<std::string, int> mImageIndexes;
  std::vector<std::string> mImageNames;
};

/// Returns the tail ratio of a service run at its last report, or a typical
/// value before the first report.
TailRatio
TailRatioOf(const RunState& aRun);

/// Returns the saturation of a service run without interference. The tasks of a
/// service share its load, so the estimate is taken from tasks without
/// colocated backfill if there are any, or from the run itself if its own
/// baseline is clearly higher.
Saturation
BaselineOf(const RunState& aService);

/// Returns `aMilliProcessors` as a share, 0 to 1, of the worker's processors.
double
ShareOf(std::int64_t aMilliProcessors, const WorkerState& aWorker);

/// Returns the share of its worker's processors that a backfill run uses at
/// full pace.
double
BackfillShareOf(const RunState& aRun);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_COLOCATION_MODEL_HPP
