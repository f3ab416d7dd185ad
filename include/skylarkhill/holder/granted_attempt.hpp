#ifndef SKYLARKHILL_HOLDER_GRANTED_ATTEMPT_HPP
#define SKYLARKHILL_HOLDER_GRANTED_ATTEMPT_HPP

#include "skylarkhill/base/id.hpp"
#include "skylarkhill/base/resources.hpp"

#include <cstdint>
#include <string>

namespace skylarkhill::holder {

/// A task attempt that has a grant record and no end record.
struct GrantedAttempt
{
  base::TaskId mTask;
  std::int64_t mAttempt = 0;
  std::string mBatchClass;
  std::string mPayload;
  /// Resources to reserve on the worker.
  base::Resources mReserved;
  /// Checkpoint to resume from; empty for a fresh start.
  std::string mCheckpoint;
  bool mCancelRequested = false;
  /// The log contains a StartedRecord for this attempt.
  bool mStarted = false;
  /// Log offset of the grant record, even if the task table restored the grant
  /// from a later snapshot record.
  std::int64_t mGrantedOffset = 0;
};

} // namespace skylarkhill::holder

#endif // SKYLARKHILL_HOLDER_GRANTED_ATTEMPT_HPP
