#ifndef SKYLARKHILL_NODE_WORKER_LEASE_RECORD_HPP
#define SKYLARKHILL_NODE_WORKER_LEASE_RECORD_HPP

#include "skylarkhill/base/error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkhill::node {

/// End of the lease of a worker that does not answer its leader. No leader
/// extends the lease before it has deleted the record, so the record holds for
/// all later leaders that know this rule.
struct WorkerLeaseRecord
{
  /// Epoch of the leader.
  std::int64_t mEpoch = 0;
  /// Upper bound of the time until the end of the lease, as of the write of the
  /// record; 0 once it has ended. The clocks of instances have no common epoch.
  std::int64_t mRemainingMs = 0;
  /// WorkerReport::mIncarnationStartMs of the incarnation that owes nothing,
  /// see Dispatcher::FindIdleIncarnation; empty if none is known to.
  std::optional<std::int64_t> mIdleIncarnationStartMs;
};

std::string
EncodeWorkerLease(const WorkerLeaseRecord& aRecord);

/// InvalidArgument if the bytes are not those of EncodeWorkerLease.
base::Result<WorkerLeaseRecord>
DecodeWorkerLease(std::string_view aBytes);

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_WORKER_LEASE_RECORD_HPP
