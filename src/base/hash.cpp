#include "skylarkhill/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace skylarkhill::base {

namespace {

// Finalizer of SplitMix64. FNV-1a alone mixes the high bits of short keys
// poorly, which would skew the rendezvous order.
std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 30U;
  aValue *= 0xbf58476d1ce4e5b9ULL;
  aValue ^= aValue >> 27U;
  aValue *= 0x94d049bb133111ebULL;
  aValue ^= aValue >> 31U;
  return aValue;
}

} // namespace

std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed)
{
  constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
  constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
  std::uint64_t n = kFnvOffset ^ Mix(aSeed);
  for (const char c : aText) {
    n ^= static_cast<unsigned char>(c);
    n *= kFnvPrime;
  }
  return Mix(n);
}

std::vector<std::string>
RendezvousRank(std::string_view aKey, std::vector<std::string> aMembers)
{
  const std::uint64_t seed = StableHash(aKey);
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(aMembers.size());
  for (auto& it : aMembers) {
    const std::uint64_t weight = StableHash(it, seed);
    ranked.emplace_back(weight, std::move(it));
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<std::string> result;
  result.reserve(ranked.size());
  for (auto& it : ranked) {
    result.push_back(std::move(it.second));
  }
  return result;
}

} // namespace skylarkhill::base
