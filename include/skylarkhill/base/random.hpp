#ifndef SKYLARKHILL_BASE_RANDOM_HPP
#define SKYLARKHILL_BASE_RANDOM_HPP

#include "skylarkhill/base/clock.hpp"

#include <cstdint>
#include <memory>

namespace skylarkhill::base {

/// Random number generator. Not thread-safe; use one per thread.
class Random
{
public:
  virtual ~Random() = default;
  /// Uniform over all 64-bit values.
  virtual std::uint64_t Next() = 0;

  /// Uniform over [0, aBound); 0 if `aBound` is 0.
  std::uint64_t Below(std::uint64_t aBound);
  /// Uniform over [0, 1).
  double UniformReal();
  /// Uniform over [aLow, aHigh).
  Duration Between(Duration aLow, Duration aHigh);
};

/// A generator whose sequence depends on `aSeed` only.
std::unique_ptr<Random>
CreateSeededRandom(std::uint64_t aSeed);

/// A generator seeded by the operating system.
std::unique_ptr<Random>
CreateSystemRandom();

} // namespace skylarkhill::base

#endif // SKYLARKHILL_BASE_RANDOM_HPP
