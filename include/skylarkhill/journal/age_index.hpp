#ifndef SKYLARKHILL_JOURNAL_AGE_INDEX_HPP
#define SKYLARKHILL_JOURNAL_AGE_INDEX_HPP

#include "skylarkhill/platform/log_service.hpp"

#include <cstdint>
#include <deque>
#include <utility>

namespace skylarkhill::journal {

/// Estimates the age of offsets from the wall clocks of the writers. Holds at
/// most one mark per step of time. Not thread-safe.
class AgeIndex
{
public:
  struct Sample
  {
    platform::Offset mOffset = 0;
    std::int64_t mWrittenAtMs = 0;
  };

  explicit AgeIndex(std::int64_t aStepMs);

  /// A record at `aOffset` was written at `aWrittenAtMs` and read at `aNowMs`.
  void AddSample(platform::Offset aOffset,
                 std::int64_t aWrittenAtMs,
                 std::int64_t aNowMs);
  void DiscardBefore(platform::Offset aFirstRetained);
  void Clear();

  /// Milliseconds since `aOffset` was written; 0 if nothing is known.
  std::int64_t AgeOf(platform::Offset aOffset, std::int64_t aNowMs) const;
  /// All offsets before the result are at least `aAgeMs` old.
  platform::Offset FirstYoungerThan(std::int64_t aAgeMs,
                                    std::int64_t aNowMs) const;

  /// In order of offset and of time.
  const std::deque<Sample>& Samples() const { return mSamples; }
  void Restore(std::deque<Sample> aSamples) { mSamples = std::move(aSamples); }

private:
  std::int64_t mStepMs;
  std::deque<Sample> mSamples;
};

} // namespace skylarkhill::journal

#endif // SKYLARKHILL_JOURNAL_AGE_INDEX_HPP
