#ifndef SKYLARKHILL_BASE_HASH_HPP
#define SKYLARKHILL_BASE_HASH_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::base {

/// A 64-bit hash with the same value in every process and release.
std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed = 0);

/// Sorts `aMembers` by their rendezvous hash for `aKey`, the preferred one
/// first. Removing a member does not change the relative order of the others.
std::vector<std::string>
RendezvousRank(std::string_view aKey, std::vector<std::string> aMembers);

} // namespace skylarkhill::base

#endif // SKYLARKHILL_BASE_HASH_HPP
