#include "skylarkhill/requests/retry_budget.hpp"

#include <algorithm>
#include <chrono>

namespace skylarkhill::requests {

RetryBudget::RetryBudget(const RetryBudgetOptions& aOptions,
                         base::TimePoint aNow)
  : mOptions(aOptions)
  , mTokens(std::min(aOptions.mRefillPerSecond, aOptions.mCapacity))
  , mUpdatedAt(aNow)
{
}

void
RetryBudget::RecordFirstAttempt()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const double share = static_cast<double>(mOptions.mRetryPercent) / 100.0;
  mTokens = std::min(mOptions.mCapacity, mTokens + share);
}

bool
RetryBudget::TryTake(base::TimePoint aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mTokens = TokensLocked(aNow);
  mUpdatedAt = std::max(mUpdatedAt, aNow);
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

double
RetryBudget::Tokens(base::TimePoint aNow) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return TokensLocked(aNow);
}

double
RetryBudget::TokensLocked(base::TimePoint aNow) const
{
  const base::Duration elapsed = base::Remaining(mUpdatedAt, aNow);
  const double seconds = std::chrono::duration<double>(elapsed).count();
  return std::min(mOptions.mCapacity,
                  mTokens + seconds * mOptions.mRefillPerSecond);
}

} // namespace skylarkhill::requests
