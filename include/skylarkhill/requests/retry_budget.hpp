#ifndef SKYLARKHILL_REQUESTS_RETRY_BUDGET_HPP
#define SKYLARKHILL_REQUESTS_RETRY_BUDGET_HPP

#include "skylarkhill/base/clock.hpp"

#include <cstdint>
#include <mutex>

namespace skylarkhill::requests {

struct RetryBudgetOptions
{
  /// Retries and hedges earned per 100 first attempts.
  std::int64_t mRetryPercent = 10;
  /// Tokens added per second regardless of load.
  double mRefillPerSecond = 1.0;
  /// Maximum number of tokens.
  double mCapacity = 20.0;
};

/// Token bucket for the retries and hedges of one service. Thread-safe.
class RetryBudget
{
public:
  RetryBudget(const RetryBudgetOptions& aOptions, base::TimePoint aNow);

  /// Adds the fraction of a token that a first attempt earns.
  void RecordFirstAttempt();
  /// Takes one token; false if there is none. Checks and takes atomically,
  /// because requests of a service run on several threads.
  bool TryTake(base::TimePoint aNow);
  /// Tokens available at `aNow`.
  double Tokens(base::TimePoint aNow) const;

private:
  double TokensLocked(base::TimePoint aNow) const;

  RetryBudgetOptions mOptions;
  mutable std::mutex mMutex;
  double mTokens;
  base::TimePoint mUpdatedAt;
};

} // namespace skylarkhill::requests

#endif // SKYLARKHILL_REQUESTS_RETRY_BUDGET_HPP
