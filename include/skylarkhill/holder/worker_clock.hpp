#ifndef SKYLARKHILL_HOLDER_WORKER_CLOCK_HPP
#define SKYLARKHILL_HOLDER_WORKER_CLOCK_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/worker/remote_worker.hpp"

#include <cstdint>

namespace skylarkhill::holder {

/// Bounds on the offset between a worker's clock and the local boot clock,
/// derived from the send and receive times of answered polls.
class WorkerClock
{
public:
  /// `aMaxDriftPpm`: upper bound on the drift between the two clocks, in parts
  /// per million.
  explicit WorkerClock(std::int64_t aMaxDriftPpm);

  /// Narrows the bounds by a report that the worker created at `aWorkerNow`.
  void Observe(worker::WorkerTime aWorkerNow,
               base::TimePoint aSentAt,
               base::TimePoint aReceivedAt);

  /// True after the first observation. The conversions require it.
  bool IsKnown() const { return mKnown; }

  /// Lower bound of the worker's clock at `aDeadline`. The worker's clock
  /// reaches it no later than `aDeadline`.
  worker::WorkerTime ToEarliestWorkerTime(base::TimePoint aDeadline) const;

  /// Upper bound of the local clock time at which the worker's clock reaches
  /// `aTime`.
  base::TimePoint ToLatestLocalTime(worker::WorkerTime aTime) const;

private:
  std::int64_t Drift(base::TimePoint aUntil) const;

  std::int64_t mMaxDriftPpm;
  bool mKnown = false;
  base::TimePoint mObservedAt;
  /// Bounds of worker time minus local time, in microseconds.
  std::int64_t mLow = 0;
  std::int64_t mHigh = 0;
};

} // namespace skylarkhill::holder

#endif // SKYLARKHILL_HOLDER_WORKER_CLOCK_HPP
