#include "skylarkhill/base/random.hpp"

#include <random>

namespace skylarkhill::base {

namespace {

class MersenneRandom : public Random
{
public:
  explicit MersenneRandom(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  std::uint64_t Next() override { return mEngine(); }

private:
  std::mt19937_64 mEngine;
};

} // namespace

std::uint64_t
Random::Below(std::uint64_t aBound)
{
  return aBound == 0 ? 0 : Next() % aBound;
}

double
Random::UniformReal()
{
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(Next() >> 11U) * kScale;
}

Duration
Random::Between(Duration aLow, Duration aHigh)
{
  if (aHigh <= aLow) {
    return aLow;
  }
  const auto span = static_cast<std::uint64_t>((aHigh - aLow).count());
  return aLow + Duration(static_cast<std::int64_t>(Below(span)));
}

std::unique_ptr<Random>
CreateSeededRandom(std::uint64_t aSeed)
{
  return std::make_unique<MersenneRandom>(aSeed);
}

std::unique_ptr<Random>
CreateSystemRandom()
{
  std::random_device device;
  const auto high = static_cast<std::uint64_t>(device()) << 32U;
  return std::make_unique<MersenneRandom>(high | device());
}

} // namespace skylarkhill::base
