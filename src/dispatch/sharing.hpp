#ifndef SKYLARKHILL_DISPATCH_SHARING_HPP
#define SKYLARKHILL_DISPATCH_SHARING_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/policy/interference.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkhill::dispatch {

struct RunState;
struct WorkerState;

/// Tail latency of a service task relative to its target.
using TailRatio = double;

/// How close a service task is to saturation: 0 at its lowest tail, towards 1
/// as the tail grows without bound. Like utilisation in a queue, the pressures
/// of several tasks add up.
using Pressure = double;

/// The pressure that shows as `aRatio`.
Pressure
PressureOf(TailRatio aRatio);

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

  /// The pressure on a service task by a backfill task that uses the share
  /// `aShare` (0 to 1) of the worker's processors.
  Pressure Rise(int aServiceImage, int aBackfillImage, double aShare) const;

  /// The pressure of `aBackfill` at full pace on `aService`, both on one
  /// worker.
  Pressure RiseBetween(const RunState& aService,
                       const RunState& aBackfill) const;

  /// The pressure of all backfill beside `aService` at the paces that are
  /// wanted, also of runs that no report covers yet.
  Pressure ExpectedRise(const RunState& aService) const;

  /// The estimates, for another process.
  std::string Export() const;
  /// Starts from the estimates of Export. InvalidArgument if the bytes are not
  /// those of Export.
  base::Result<void> Import(std::string_view aBytes, base::TimePoint aNow);

private:
  void RecordUndisturbed(RunState& aService) const;
  double& Cell(int aServiceImage, int aBackfillImage);

  // An estimate that is too low costs the callers of a service, one that is
  // too high only the choice among workers.
  policy::InterferenceModel mModel{ { 0.5, 0.06 } };
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

/// The expected pressure on a service run without backfill.
Pressure
UndisturbedPressureOf(const RunState& aService);

/// The share of its worker's processors that a backfill run uses at full
/// pace.
double
BackfillShareOf(const RunState& aRun);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_SHARING_HPP
