#include "skylarkhill/policy/breaker.hpp"

#include "skylarkhill/base/name_table.hpp"

#include <algorithm>

namespace skylarkhill::policy {

namespace {

constexpr base::NameTable<BreakerState, 4> kBreakerStateNames{ {
  { BreakerState::Closed, "closed" },
  { BreakerState::Open, "open" },
  { BreakerState::HalfOpen, "half_open" },
  { BreakerState::Probing, "probing" },
} };

} // namespace

std::string_view
NameOf(BreakerState aState)
{
  return base::FindName(kBreakerStateNames, aState);
}

Breaker::Breaker(BreakerOptions aOptions)
  : mOptions(aOptions)
  , mCooldown(aOptions.mCooldown)
{
}

BreakerState
Breaker::State(base::TimePoint aNow) const
{
  if (!mOpen) {
    return BreakerState::Closed;
  }
  if (mProbe) {
    return BreakerState::Probing;
  }
  return aNow < mOpenUntil ? BreakerState::Open : BreakerState::HalfOpen;
}

bool
Breaker::Admits(base::TimePoint aNow) const
{
  const BreakerState state = State(aNow);
  return state == BreakerState::Closed || state == BreakerState::HalfOpen;
}

void
Breaker::OnPlaced(const base::TaskId& aTask, base::TimePoint aNow)
{
  if (State(aNow) == BreakerState::HalfOpen) {
    mProbe = aTask;
  }
}

void
Breaker::OnInconclusiveEnd(const base::TaskId& aTask)
{
  if (mProbe == aTask) {
    mProbe.reset();
  }
}

void
Breaker::OnSuccess(const base::TaskId& aTask)
{
  // Of all successes, only that of the probe closes an open breaker: the other
  // tasks were placed before the failures.
  if (!mOpen || mProbe == aTask) {
    Close();
  }
}

void
Breaker::OnFailure(const base::TaskId& aTask, base::TimePoint aNow)
{
  mFailures.push_back(aTask);
  if (mProbe == aTask) {
    mProbe.reset();
    mCooldown = std::min(mCooldown * 2, mOptions.mMaxCooldown);
    mOpenUntil = aNow + mCooldown;
    return;
  }
  if (!mOpen && mFailures.size() >= mOptions.mFailureThreshold) {
    mOpen = true;
    mOpenUntil = aNow + mCooldown;
  }
}

void
Breaker::RemoveFailures(const base::TaskId& aTask)
{
  mFailures.erase(std::remove(mFailures.begin(), mFailures.end(), aTask),
                  mFailures.end());
  const bool staysOpen = mFailures.size() >= mOptions.mFailureThreshold;
  if (!mOpen || staysOpen) {
    return;
  }
  mOpen = false;
  mProbe.reset();
  mCooldown = mOptions.mCooldown;
}

void
Breaker::Close()
{
  mOpen = false;
  mProbe.reset();
  mFailures.clear();
  mCooldown = mOptions.mCooldown;
}

} // namespace skylarkhill::policy
