#include "skylarkhill/journal/age_index.hpp"

#include <algorithm>

namespace skylarkhill::journal {

AgeIndex::AgeIndex(std::int64_t aStepMs)
  : mStepMs(std::max<std::int64_t>(1, aStepMs))
{
}

void
AgeIndex::AddSample(platform::Offset aOffset,
                    std::int64_t aWrittenAtMs,
                    std::int64_t aNowMs)
{
  // A writer whose clock is ahead must not make later records look younger, and
  // one whose clock is behind must not make them look older.
  const std::int64_t writtenAt = std::min(aWrittenAtMs, aNowMs);
  if (mSamples.empty() || writtenAt >= mSamples.back().mWrittenAtMs + mStepMs) {
    mSamples.push_back({ aOffset, writtenAt });
  }
}

void
AgeIndex::DiscardBefore(platform::Offset aFirstRetained)
{
  // The newest sample at or before the first retained offset still gives that
  // offset's age.
  while (mSamples.size() > 1 && mSamples[1].mOffset <= aFirstRetained) {
    mSamples.pop_front();
  }
}

void
AgeIndex::Clear()
{
  mSamples.clear();
}

std::int64_t
AgeIndex::AgeOf(platform::Offset aOffset, std::int64_t aNowMs) const
{
  const auto next =
    std::upper_bound(mSamples.begin(),
                     mSamples.end(),
                     aOffset,
                     [](platform::Offset aLeft, const Sample& aRight) {
                       return aLeft < aRight.mOffset;
                     });
  if (next == mSamples.begin()) {
    return mSamples.empty() ? 0 : aNowMs - mSamples.front().mWrittenAtMs;
  }
  return aNowMs - std::prev(next)->mWrittenAtMs;
}

platform::Offset
AgeIndex::FirstYoungerThan(std::int64_t aAgeMs, std::int64_t aNowMs) const
{
  const auto firstYounger =
    std::upper_bound(mSamples.begin(),
                     mSamples.end(),
                     aNowMs - aAgeMs,
                     [](std::int64_t aLeft, const Sample& aRight) {
                       return aLeft < aRight.mWrittenAtMs;
                     });
  if (firstYounger == mSamples.begin()) {
    return 0;
  }
  // Offsets between two samples count as being as old as the earlier sample.
  return firstYounger == mSamples.end() ? std::prev(firstYounger)->mOffset + 1
                                        : firstYounger->mOffset;
}

} // namespace skylarkhill::journal
