#include "skylarkhill/node/follower_ranking.hpp"

#include "skylarkhill/base/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace skylarkhill::node {

namespace {

struct Candidate
{
  double mProcessors = 0.0;
  std::uint64_t mHash = 0;
  std::string mName;
};

} // namespace

std::vector<std::string>
RankFollowers(const cells::CellMap& aMap,
              int aCell,
              const std::map<std::string, InstanceEntry>& aInstances)
{
  std::vector<Candidate> inDomain;
  std::vector<Candidate> others;
  for (const auto& [name, entry] : aInstances) {
    const bool isInDomain = cells::IsInDomain(aMap, aCell, entry.mDomain);
    (isInDomain ? inDomain : others)
      .push_back({ isInDomain ? entry.mProcessors : 0.0,
                   base::StableHash(name, static_cast<std::uint64_t>(aCell)),
                   name });
  }
  const auto isBefore = [](const Candidate& aLeft, const Candidate& aRight) {
    return std::tie(aRight.mProcessors, aLeft.mHash, aLeft.mName) <
           std::tie(aLeft.mProcessors, aRight.mHash, aRight.mName);
  };
  std::sort(inDomain.begin(), inDomain.end(), isBefore);
  std::sort(others.begin(), others.end(), isBefore);
  std::vector<std::string> ranked;
  ranked.reserve(aInstances.size());
  for (std::size_t n = 0; n < std::max(inDomain.size(), others.size()); ++n) {
    if (n < inDomain.size()) {
      ranked.push_back(std::move(inDomain[n].mName));
    }
    if (n < others.size()) {
      ranked.push_back(std::move(others[n].mName));
    }
  }
  return ranked;
}

} // namespace skylarkhill::node
