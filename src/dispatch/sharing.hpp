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

/// Learns by how much backfill tasks raise the tail latency of service tasks
/// beside them, per pair of images.
class SharingModel
{
public:
  /// A small number for `aImage`, the same for equal names.
  int Intern(const std::string& aImage);

  /// Learns from the tails that the service tasks on `aWorker` have just
  /// reported.
  void Record(const WorkerState& aWorker, base::TimePoint aNow);

  /// The rise of the tail ratio of a service task by a backfill task that
  /// uses the share `aShare` (0 to 1) of the worker's processors.
  TailRatio Rise(int aServiceImage, int aBackfillImage, double aShare) const;

private:
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

/// The share of its worker's processors that a backfill run uses at full
/// pace.
double
BackfillShareOf(const RunState& aRun);

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_SHARING_HPP
