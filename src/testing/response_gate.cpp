#include "skylarkhill/testing/response_gate.hpp"

namespace skylarkhill::testing {

void
ResponseGate::SetClosed(bool aClosed)
{
  {
    const std::lock_guard lock(mMutex);
    mIsClosed = aClosed;
  }
  mChanged.notify_all();
}

bool
ResponseGate::IsClosed() const
{
  const std::lock_guard lock(mMutex);
  return mIsClosed;
}

void
ResponseGate::Wait()
{
  std::unique_lock lock(mMutex);
  mChanged.wait(lock, [this] { return !mIsClosed; });
}

} // namespace skylarkhill::testing
