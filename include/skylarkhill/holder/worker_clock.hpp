#ifndef SKYLARKHILL_HOLDER_WORKER_CLOCK_HPP
#define SKYLARKHILL_HOLDER_WORKER_CLOCK_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/worker/worker_port.hpp"

#include <cstdint>

namespace skylarkhill::holder {

/// Bounds on the difference between a worker's clock and the boot clock,
/// learned from the send and receive times of answered polls.
class WorkerClock
{
public:
  /// `aMaxDriftPpm`: bound on the drift between the two clocks, in parts per
  /// million.
  explicit WorkerClock(std::int64_t aMaxDriftPpm);

  /// Narrows the bounds with a report that the worker made at `aWorkerNow`.
  void Observe(worker::WorkerTime aWorkerNow,
               base::TimePoint aSentAt,
               base::TimePoint aReceivedAt);

  /// True after the first observation; the conversions need one.
  bool IsKnown() const { return mKnown; }

  /// A worker time that the worker's clock shows at `aDeadline` at the latest
  /// possible difference; never later than `aDeadline`.
  worker::WorkerTime ToEarliestWorkerTime(base::TimePoint aDeadline) const;

  /// A boot time at which the worker's clock has certainly reached `aTime`.
  base::TimePoint ToLatestBootTime(worker::WorkerTime aTime) const;

private:
  std::int64_t Drift(base::TimePoint aUntil) const;

  std::int64_t mMaxDriftPpm;
  bool mKnown = false;
  base::TimePoint mObservedAt;
  /// Worker time minus boot time, in microseconds.
  std::int64_t mLow = 0;
  std::int64_t mHigh = 0;
};

} // namespace skylarkhill::holder

#endif // SKYLARKHILL_HOLDER_WORKER_CLOCK_HPP
