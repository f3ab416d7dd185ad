#include "skylarkhill/node/loop_profile.hpp"

#include "skylarkhill/base/name_table.hpp"
#include "skylarkhill/logging/logging.hpp"

#include <algorithm>
#include <ctime>
#include <iterator>
#include <string>

namespace skylarkhill::node {

using base::Duration;

namespace {

constexpr base::NameTable<LoopPhase, kLoopPhases> kPhaseNames{ {
  { LoopPhase::Streams, "streams" },
  { LoopPhase::Leadership, "leadership" },
  { LoopPhase::Reports, "reports" },
  { LoopPhase::Dispatch, "dispatch" },
  { LoopPhase::Flush, "flush" },
} };

std::int64_t
ToMs(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

/// Processor time of the calling thread since its start.
Duration
ThreadProcessorTime()
{
  timespec buf{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &buf);
  return std::chrono::seconds(buf.tv_sec) +
         std::chrono::microseconds(buf.tv_nsec / 1000);
}

} // namespace

std::string_view
NameOf(LoopPhase aPhase)
{
  return base::FindName(kPhaseNames, aPhase);
}

LoopProfile::LoopProfile(const base::Clock& aClock, metrics::Registry& aMetrics)
  : mClock(aClock)
  , mSummaryAt(aClock.Now())
{
  for (const auto& it : kPhaseNames) {
    mEntries[static_cast<std::size_t>(it.mValue)].mMicros =
      &aMetrics.GetCounter(
        "skylarkhill_loop_microseconds_total",
        "Time that the call loop's thread spent on each kind of work.",
        { { metrics::LabelKey::Operation, std::string(it.mName) } });
  }
}

LoopProfile::Timer::Timer(LoopProfile& aProfile, LoopPhase aPhase)
  : mProfile(aProfile)
  , mPhase(aPhase)
  , mStartedAt(aProfile.mClock.Now())
{
}

LoopProfile::Timer::~Timer()
{
  const Duration elapsed = mProfile.mClock.Now() - mStartedAt;
  Entry& entry = mProfile.mEntries[static_cast<std::size_t>(mPhase)];
  entry.mMicros->Add(elapsed.count());
  entry.mSinceSummary += elapsed;
  entry.mLongest = std::max(entry.mLongest, elapsed);
}

void
LoopProfile::CountTurn(Duration aBehind)
{
  ++mTurns;
  mMostBehind = std::max(mMostBehind, aBehind);
}

void
LoopProfile::LogSummary()
{
  const base::TimePoint now = mClock.Now();
  const Duration processorTime = ThreadProcessorTime();
  const auto spent = [this](LoopPhase aPhase) {
    return ToMs(mEntries[static_cast<std::size_t>(aPhase)].mSinceSummary);
  };
  const auto longest =
    std::max_element(mEntries.begin(),
                     mEntries.end(),
                     [](const Entry& aLeft, const Entry& aRight) {
                       return aLeft.mLongest < aRight.mLongest;
                     });
  const auto longestPhase =
    static_cast<LoopPhase>(std::distance(mEntries.begin(), longest));
  logging::Write(
    logging::Level::Info,
    "loop_summary",
    { { "elapsed_ms", ToMs(now - mSummaryAt) },
      { "processor_ms", ToMs(processorTime - mProcessorTimeAtSummary) },
      { "turns", mTurns },
      { "most_behind_ms", ToMs(mMostBehind) },
      { "longest_ms", ToMs(longest->mLongest) },
      { "longest_phase", NameOf(longestPhase) },
      { "streams_ms", spent(LoopPhase::Streams) },
      { "leadership_ms", spent(LoopPhase::Leadership) },
      { "reports_ms", spent(LoopPhase::Reports) },
      { "dispatch_ms", spent(LoopPhase::Dispatch) },
      { "flush_ms", spent(LoopPhase::Flush) } });
  Reset();
}

void
LoopProfile::Reset()
{
  mSummaryAt = mClock.Now();
  mProcessorTimeAtSummary = ThreadProcessorTime();
  mTurns = 0;
  mMostBehind = Duration::zero();
  for (Entry& it : mEntries) {
    it.mSinceSummary = Duration::zero();
    it.mLongest = Duration::zero();
  }
}

} // namespace skylarkhill::node
