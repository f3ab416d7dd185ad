#include "skylarkhill/peer/receive_pipes.hpp"

namespace skylarkhill::peer {

ReceivePipes::ReceivePipes(base::Duration aQuietTime)
  : mQuietTime(aQuietTime)
{
}

void
ReceivePipes::RecordFrame(PipeId aPipe, bool aIsNewest, base::TimePoint aNow)
{
  if (aIsNewest && mCurrent != aPipe) {
    if (mCurrent) {
      mUnusedAt[*mCurrent] = aNow + mQuietTime;
    }
    mCurrent = aPipe;
    mUnusedAt.erase(aPipe);
  }
  if (mCurrent != aPipe) {
    mUnusedAt[aPipe] = aNow + mQuietTime;
  }
}

std::vector<ReceivePipes::PipeId>
ReceivePipes::TakeUnused(base::TimePoint aNow)
{
  std::vector<PipeId> unused;
  for (auto it = mUnusedAt.begin(); it != mUnusedAt.end();) {
    if (aNow < it->second) {
      ++it;
      continue;
    }
    unused.push_back(it->first);
    it = mUnusedAt.erase(it);
  }
  return unused;
}

} // namespace skylarkhill::peer
