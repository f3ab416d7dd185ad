#ifndef SKYLARKHILL_POLICY_PROFILES_HPP
#define SKYLARKHILL_POLICY_PROFILES_HPP

#include "skylarkhill/policy/placement.hpp"
#include "skylarkhill/policy/protection.hpp"
#include "skylarkhill/policy/queue.hpp"

#include <memory>
#include <optional>
#include <string_view>

namespace skylarkhill::policy {

/// Preset of the scheduling policies, named after what a site optimizes for.
enum class Profile
{
  /// First-fit placement, FIFO queue, no protection of services.
  Baseline,
  /// High batch throughput and few evictions.
  Throughput,
  /// Low tail latency, also at demand peaks.
  Tail,
};

/// The stable name of `aProfile`.
std::string_view
NameOf(Profile aProfile);

/// The profile named `aName`, or nothing.
std::optional<Profile>
ParseProfile(std::string_view aName);

/// The placement policy of `aProfile`.
std::unique_ptr<PlacementPolicy>
CreatePlacementPolicy(Profile aProfile);

/// The queue policy of `aProfile`.
std::unique_ptr<QueuePolicy>
CreateQueuePolicy(Profile aProfile);

/// The protection policy of `aProfile`.
std::unique_ptr<ProtectionPolicy>
CreateProtectionPolicy(Profile aProfile);

} // namespace skylarkhill::policy

#endif // SKYLARKHILL_POLICY_PROFILES_HPP
