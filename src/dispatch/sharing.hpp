#ifndef SKYLARKHILL_DISPATCH_SHARING_HPP
#define SKYLARKHILL_DISPATCH_SHARING_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/policy/interference.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkhill::dispatch {

struct RunState;
struct WorkerState;

/// Tail latency of a service task relative to its target.
using TailRatio = double;

/// Natural logarithm of the factor by which a tail grows. Effects of several
/// tasks multiply, so that their logarithms add up.
using LogRise = double;

/// Learns by how much backfill tasks raise the tail latency of service tasks
/// beside them, per pair of images.
class SharingModel
{
public:
  /// A small number for `aImage`, the same for equal names.
  int Intern(const std::string& aImage);

  /// Learns from the tails that the service tasks on `aWorker` have just
  /// reported.
  void Record(WorkerState& aWorker, base::TimePoint aNow);

  /// The rise of the tail of a service task by a backfill task that uses the
  /// share `aShare` (0 to 1) of the worker's processors.
  LogRise Rise(int aServiceImage, int aBackfillImage, double aShare) const;

  /// The rise of the tail of `aService` by `aBackfill` at full pace on the
  /// worker of both.
  LogRise RiseBetween(const RunState& aService, const RunState& aBackfill) const;

  /// The rise of the tail of `aService` by all backfill beside it at the paces
  /// that are wanted, also of runs that no report covers yet.
  LogRise ExpectedRise(const RunState& aService) const;

private:
  void RecordUndisturbed(RunState& aService) const;
  double& Cell(int aServiceImage, int aBackfillImage);

  policy::InterferenceModel mModel;
  std::unordered_map<std::string, int> mNumbers;
  std::vector<std::string> mNames;
  /// Estimates of mModel by service and backfill image, in percent points per
  /// percent of the worker's processors.
  std::vector<std::vector<double>> mEstimates;
};

/// The last reported tail of a service run relative to its target; a typical
/// value while none has been reported.
TailRatio
TailRatioOf(const RunState& aRun);

/// The expected logarithm of the tail ratio of a service run without backfill.
double
UndisturbedLogOf(const RunState& aService);

/// The share of its worker's processors that a backfill run uses at full
/// pace.
double
BackfillShareOf(const RunState& aRun);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_SHARING_HPP
