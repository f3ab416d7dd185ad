#ifndef SKYLARKHILL_REQUESTS_REQUEST_HPP
#define SKYLARKHILL_REQUESTS_REQUEST_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/id.hpp"
#include "skylarkhill/requests/key_record.hpp"

#include <cstdint>
#include <string>

namespace skylarkhill::requests {

/// One request of a caller.
struct Request
{
  base::RequestId mId;
  std::string mService;
  bool mIdempotent = false;
  /// Larger is more important.
  std::int64_t mImportance = 0;
  base::TimePoint mDeadline;
  std::string mBody;
};

/// Who runs an attempt.
enum class TargetKind
{
  /// A worker that this instance holds.
  HeldWorker,
  /// Another entry instance that holds workers.
  Peer,
};

/// Where an attempt is sent; `mName` is a worker id or an instance id.
struct Target
{
  TargetKind mKind = TargetKind::HeldWorker;
  std::string mName;

  friend bool operator==(const Target& aLeft, const Target& aRight)
  {
    return aLeft.mKind == aRight.mKind && aLeft.mName == aRight.mName;
  }
  friend bool operator<(const Target& aLeft, const Target& aRight)
  {
    return aLeft.mKind != aRight.mKind ? aLeft.mKind < aRight.mKind
                                       : aLeft.mName < aRight.mName;
  }
};

/// What the caller is told.
struct RequestResult
{
  Outcome mOutcome = Outcome::Unknown;
  /// Meaningful unless the outcome is Completed. Its kind agrees with the
  /// outcome: kinds that exclude execution only with NotRun.
  base::Error mError;
  std::string mBody;
  /// Completed earlier, but the response was too large to be recorded.
  bool mBodyOmitted = false;
};

/// A NotRun result; a kind that admits execution becomes NoCapacity.
RequestResult
MakeNotRun(base::Error aError);

/// An Unknown result; a kind that excludes execution becomes OutcomeUnknown.
RequestResult
MakeUnknown(base::Error aError);

/// A Completed result.
RequestResult
MakeCompleted(std::string aBody);

/// True if a failure that a worker attempt ended with proves that the attempt
/// did not run. The table of error kinds describes what callers are told and
/// is not used here: DeadlineExceeded from a worker may have run.
bool
ProvesNotRun(base::ErrorKind aKind);

} // namespace skylarkhill::requests

#endif // SKYLARKHILL_REQUESTS_REQUEST_HPP
