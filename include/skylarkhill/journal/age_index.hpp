#ifndef SKYLARKHILL_JOURNAL_AGE_INDEX_HPP
#define SKYLARKHILL_JOURNAL_AGE_INDEX_HPP

#include "skylarkhill/platform/log_service.hpp"

#include <cstdint>
#include <deque>
#include <utility>

namespace skylarkhill::journal {

/// Estimates the age of log offsets from the wall clock times that the writers
/// put into their batches. Holds at most one sample per time step. Not
/// thread-safe.
class AgeIndex
{
public:
  struct Sample
  {
    platform::Offset mOffset = 0;
    std::int64_t mWrittenAtMs = 0;
  };

  explicit AgeIndex(std::int64_t aStepMs);

  /// Adds a sample for the record at `aOffset`, which was written at
  /// `aWrittenAtMs` by its writer's clock and read at `aNowMs`, unless the last
  /// sample is less than one step older.
  void AddSample(platform::Offset aOffset,
                 std::int64_t aWrittenAtMs,
                 std::int64_t aNowMs);
  void DiscardBefore(platform::Offset aFirstRetained);
  void Clear();

  /// Milliseconds since `aOffset` was written; 0 if there are no samples.
  std::int64_t AgeOf(platform::Offset aOffset, std::int64_t aNowMs) const;
  /// All offsets before the result are at least `aAgeMs` old.
  platform::Offset FirstYoungerThan(std::int64_t aAgeMs,
                                    std::int64_t aNowMs) const;

  /// Sorted by offset and by time.
  const std::deque<Sample>& Samples() const { return mSamples; }
  void Restore(std::deque<Sample> aSamples) { mSamples = std::move(aSamples); }

private:
  std::int64_t mStepMs;
  std::deque<Sample> mSamples;
};

} // namespace skylarkhill::journal

#endif // SKYLARKHILL_JOURNAL_AGE_INDEX_HPP
