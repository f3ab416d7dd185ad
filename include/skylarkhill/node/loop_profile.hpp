#ifndef SKYLARKHILL_NODE_LOOP_PROFILE_HPP
#define SKYLARKHILL_NODE_LOOP_PROFILE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/metrics/registry.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace skylarkhill::node {

/// Parts of the work of the call loop's thread.
enum class LoopPhase
{
  /// Reads of the log's streams and the records that they delivered.
  Streams,
  Leadership,
  /// Decoding and handling of worker reports.
  Reports,
  /// Dispatcher::Tick: checks, placement and calls.
  Dispatch,
  /// Encoding of progress records.
  Flush,
};

inline constexpr std::size_t kLoopPhases = 5;

/// The stable name of `aPhase`.
std::string_view
NameOf(LoopPhase aPhase);

/// Measures what the call loop's thread spends its time on. Not thread-safe:
/// used on that thread only.
class LoopProfile
{
public:
  LoopProfile(const base::Clock& aClock, metrics::Registry& aMetrics);

  /// Adds the time from its construction to its destruction to a phase.
  class Timer
  {
  public:
    Timer(LoopProfile& aProfile, LoopPhase aPhase);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

  private:
    LoopProfile& mProfile;
    const LoopPhase mPhase;
    const base::TimePoint mStartedAt;
  };

  /// A turn of the loop has begun. `aBehind` is how long after it was due.
  void CountTurn(base::Duration aBehind);
  /// Logs what was measured since the last call of this or of Reset.
  void LogSummary();
  /// Begins a new period without logging the last one.
  void Reset();

private:
  friend class Timer;

  struct Entry
  {
    metrics::Counter* mMicros = nullptr;
    base::Duration mSinceSummary{ 0 };
    base::Duration mLongest{ 0 };
  };

  const base::Clock& mClock;
  std::array<Entry, kLoopPhases> mEntries;
  std::int64_t mTurns = 0;
  base::Duration mMostBehind{ 0 };
  base::Duration mProcessorTimeAtSummary{ 0 };
  base::TimePoint mSummaryAt;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_LOOP_PROFILE_HPP
