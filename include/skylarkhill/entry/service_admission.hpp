#ifndef SKYLARKHILL_ENTRY_SERVICE_ADMISSION_HPP
#define SKYLARKHILL_ENTRY_SERVICE_ADMISSION_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/requests/admission_queue.hpp"
#include "skylarkhill/requests/concurrency_limit.hpp"
#include "skylarkhill/requests/request.hpp"
#include "skylarkhill/requests/retry_budget.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace skylarkhill::entry {

struct ServiceAdmissionOptions
{
  requests::AdmissionQueueOptions mQueue;
  requests::RetryBudgetOptions mRetryBudget;
};

/// Admission control for one service on this instance: queue, concurrency limit
/// and retry budget. Thread-safe.
class ServiceAdmission
{
public:
  ServiceAdmission(const ServiceAdmissionOptions& aOptions,
                   const base::Clock& aClock);

  /// Waits until the request may run. Overloaded, DeadlineExceeded: it must not
  /// run. `aSlots`: capacity for the concurrency limit, which is all slots of
  /// the usable held workers plus the free slots of peers for the service.
  base::Result<void> Acquire(const requests::Request& aRequest,
                             bool aIsStanding,
                             std::int64_t aSlots);
  /// Must be called when an admitted request has ended, `aServiceTime` after
  /// its admission.
  void Release(bool aIsStanding, base::Duration aServiceTime, bool aCompleted);

  requests::RetryBudget& Budget() { return mBudget; }
  /// Latency after which an idempotent request is hedged; zero if unknown.
  base::Duration HedgeDelay() const;

private:
  void RecordServiceTime(base::Duration aServiceTime, bool aCompleted);
  /// Admits queued requests up to the concurrency limit.
  void AdmitQueued();

  const base::Clock& mClock;
  requests::RetryBudget mBudget;

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::unique_ptr<requests::AdmissionQueue> mQueue;
  std::unique_ptr<requests::ConcurrencyLimit> mLimit;
  std::set<base::RequestId> mAdmitted;
  std::map<base::RequestId, base::Error> mDropped;
  std::int64_t mRunning = 0;
  /// Running estimate of the 95th percentile of the service time, in
  /// microseconds.
  double mTailLatencyMicros = 0.0;
  std::int64_t mSamples = 0;
};

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_SERVICE_ADMISSION_HPP
