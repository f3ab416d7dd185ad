#include "skylarkhill/requests/admission_queue.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <set>
#include <utility>

namespace skylarkhill::requests {

using base::ErrorKind;
using base::MakeError;

namespace {

// Weight of the newest sample in the moving average of service times. About the
// last 20 requests count, since demand and interference change within seconds.
constexpr double kServiceTimeWeight = 0.05;

struct SequencedEntry
{
  QueueEntry mEntry;
  std::uint64_t mSequence = 0;
};

/// Order of arrival.
struct ArrivalOrder
{
  bool operator()(const SequencedEntry& aLeft,
                  const SequencedEntry& aRight) const
  {
    return aLeft.mSequence < aRight.mSequence;
  }
};

/// More important first, then earlier deadline, then order of arrival.
struct ImportanceOrder
{
  bool operator()(const SequencedEntry& aLeft,
                  const SequencedEntry& aRight) const
  {
    const QueueEntry& left = aLeft.mEntry;
    const QueueEntry& right = aRight.mEntry;
    if (left.mImportance != right.mImportance) {
      return left.mImportance > right.mImportance;
    }
    if (left.mDeadline != right.mDeadline) {
      return left.mDeadline < right.mDeadline;
    }
    return aLeft.mSequence < aRight.mSequence;
  }
};

/// Queue with the entries in `Order`. If `aShedsLoad`, it refuses entries that
/// would wait past their deadline, and when full drops less important ones.
template<typename Order>
class OrderedQueue : public AdmissionQueue
{
public:
  OrderedQueue(const AdmissionQueueOptions& aOptions, bool aShedsLoad)
    : mOptions(aOptions)
    , mShedsLoad(aShedsLoad)
  {
  }

  base::Result<void> Offer(const QueueEntry& aEntry,
                           base::TimePoint aNow) override
  {
    if (aEntry.mDeadline <= aNow) {
      return MakeError(ErrorKind::DeadlineExceeded);
    }
    if (aEntry.mStanding && mStanding >= mOptions.mMaxStanding) {
      return MakeError(ErrorKind::Overloaded, "too many standing requests");
    }
    Expire(aNow);
    const SequencedEntry queued{ aEntry, mNextSequence };
    if (mShedsLoad && ExpectedWait(CountAhead(queued)) >
                        base::Remaining(aNow, aEntry.mDeadline)) {
      return MakeError(ErrorKind::Overloaded, "expected wait is too long");
    }
    if (mEntries.size() >= mOptions.mMaxEntries && !CanShedFor(aEntry)) {
      return MakeError(ErrorKind::Overloaded, "queue is full");
    }
    if (mEntries.size() >= mOptions.mMaxEntries) {
      Drop(
        std::prev(mEntries.end()),
        MakeError(ErrorKind::Overloaded, "shed for a more important request"));
    }
    ++mNextSequence;
    mStanding += aEntry.mStanding ? 1 : 0;
    mEntries.insert(queued);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  std::optional<QueueEntry> Take(base::TimePoint aNow) override
  {
    Expire(aNow);
    if (mEntries.empty()) {
      return std::nullopt;
    }
    const QueueEntry entry = mEntries.begin()->mEntry;
    mEntries.erase(mEntries.begin());
    return entry;
  }

  bool Remove(const base::RequestId& aRequest) override
  {
    const auto found =
      std::find_if(mEntries.begin(), mEntries.end(), [&](const auto& aQueued) {
        return aQueued.mEntry.mRequest == aRequest;
      });
    if (found == mEntries.end()) {
      return false;
    }
    mStanding -= found->mEntry.mStanding ? 1 : 0;
    mEntries.erase(found);
    return true;
  }

  void Expire(base::TimePoint aNow) override
  {
    for (auto it = mEntries.begin(); it != mEntries.end();) {
      const auto next = std::next(it);
      if (it->mEntry.mDeadline <= aNow) {
        Drop(it,
             MakeError(ErrorKind::DeadlineExceeded,
                       "deadline passed in the queue"));
      }
      it = next;
    }
  }

  std::vector<DroppedEntry> TakeDropped() override
  {
    return std::exchange(mDropped, {});
  }

  void SetConcurrency(double aSlots) override
  {
    mSlots = std::max(aSlots, 1.0);
  }

  void RecordServiceTime(base::Duration aServiceTime) override
  {
    const auto micros = static_cast<double>(aServiceTime.count());
    if (mServiceMicros <= 0) {
      mServiceMicros = micros;
      return;
    }
    mServiceMicros += kServiceTimeWeight * (micros - mServiceMicros);
  }

  void ReleaseStanding() override { mStanding -= mStanding > 0 ? 1 : 0; }

  std::size_t Size() const override { return mEntries.size(); }

  // The service rate is the number of slots per mean service time. The
  // completion rate would be too low whenever demand, not capacity, limits it.
  base::Duration ExpectedWait(std::size_t aAhead) const override
  {
    const double micros = static_cast<double>(aAhead) * mServiceMicros / mSlots;
    return base::Duration(static_cast<std::int64_t>(micros));
  }

private:
  using Entries = std::set<SequencedEntry, Order>;

  std::size_t CountAhead(const SequencedEntry& aQueued) const
  {
    const auto position = mEntries.lower_bound(aQueued);
    return static_cast<std::size_t>(std::distance(mEntries.begin(), position));
  }

  /// Entries of equal importance are not shed, since that would only refuse
  /// one request instead of another.
  bool CanShedFor(const QueueEntry& aEntry) const
  {
    return mShedsLoad && !mEntries.empty() &&
           mEntries.rbegin()->mEntry.mImportance < aEntry.mImportance;
  }

  void Drop(typename Entries::iterator aEntry, base::Error aError)
  {
    mStanding -= aEntry->mEntry.mStanding ? 1 : 0;
    mDropped.push_back(DroppedEntry{ aEntry->mEntry, std::move(aError) });
    mEntries.erase(aEntry);
  }

  AdmissionQueueOptions mOptions;
  bool mShedsLoad;
  Entries mEntries;
  std::vector<DroppedEntry> mDropped;
  std::uint64_t mNextSequence = 0;
  std::size_t mStanding = 0;
  double mSlots = 1.0;
  double mServiceMicros = 0.0;
};

} // namespace

std::unique_ptr<AdmissionQueue>
CreateFifoAdmissionQueue(const AdmissionQueueOptions& aOptions)
{
  return std::make_unique<OrderedQueue<ArrivalOrder>>(aOptions, false);
}

std::unique_ptr<AdmissionQueue>
CreateDeadlineAdmissionQueue(const AdmissionQueueOptions& aOptions)
{
  return std::make_unique<OrderedQueue<ImportanceOrder>>(aOptions, true);
}

} // namespace skylarkhill::requests
