#ifndef SKYLARKHILL_REQUESTS_ADMISSION_QUEUE_HPP
#define SKYLARKHILL_REQUESTS_ADMISSION_QUEUE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/id.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace skylarkhill::requests {

struct AdmissionQueueOptions
{
  std::size_t mMaxEntries = 256;
  /// Limit for long-lived (standing) requests, queued and running ones
  /// together.
  std::size_t mMaxStanding = 32;
};

/// A request that waits for a free slot.
struct QueueEntry
{
  base::RequestId mRequest;
  /// Larger is more important.
  std::int64_t mImportance = 0;
  base::TimePoint mDeadline;
  /// A long-lived request; excluded from the mean service time.
  bool mStanding = false;
};

/// An entry that was removed without being taken; its request has not run.
struct DroppedEntry
{
  QueueEntry mEntry;
  base::Error mError;
};

/// Waiting requests of one service. Not thread-safe; the owner holds one lock
/// per service.
class AdmissionQueue
{
public:
  virtual ~AdmissionQueue() = default;

  /// Adds an entry. Overloaded if the queue is full, the limit for standing
  /// requests is reached or the expected wait ends after the deadline;
  /// DeadlineExceeded if the deadline has passed.
  virtual base::Result<void> Offer(const QueueEntry& aEntry,
                                   base::TimePoint aNow) = 0;
  /// Removes and returns the next entry to run; expired entries are dropped.
  virtual std::optional<QueueEntry> Take(base::TimePoint aNow) = 0;
  /// Removes the entry of a cancelled request; false if it is not queued.
  virtual bool Remove(const base::RequestId& aRequest) = 0;
  /// Drops expired entries.
  virtual void Expire(base::TimePoint aNow) = 0;
  /// Returns the entries that were dropped since the last call, because they
  /// expired or were shed.
  virtual std::vector<DroppedEntry> TakeDropped() = 0;

  /// Sets the number of requests that may run at the same time.
  virtual void SetConcurrency(double aSlots) = 0;
  /// Records the time for which a request that is not standing held its slot.
  virtual void RecordServiceTime(base::Duration aServiceTime) = 0;
  /// Must be called when a standing request that was taken has ended.
  virtual void ReleaseStanding() = 0;

  virtual std::size_t Size() const = 0;
  /// Expected wait of an entry behind `aAhead` others; zero while no service
  /// time is known.
  virtual base::Duration ExpectedWait(std::size_t aAhead) const = 0;
};

/// Simple variant for comparison: in order of arrival; refuses entries only
/// when full.
std::unique_ptr<AdmissionQueue>
CreateFifoAdmissionQueue(const AdmissionQueueOptions& aOptions);

/// Ordered by importance, then deadline. Refuses entries that cannot start
/// before their deadline and sheds the least important entry when full.
std::unique_ptr<AdmissionQueue>
CreateDeadlineAdmissionQueue(const AdmissionQueueOptions& aOptions);

} // namespace skylarkhill::requests

#endif // SKYLARKHILL_REQUESTS_ADMISSION_QUEUE_HPP
