#ifndef SKYLARKHILL_REQUESTS_REQUEST_HPP
#define SKYLARKHILL_REQUESTS_REQUEST_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/id.hpp"
#include "skylarkhill/requests/key_record.hpp"

#include <cstdint>
#include <string>

namespace skylarkhill::requests {

/// A caller's request.
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

/// Kind of receiver of an attempt.
enum class TargetKind
{
  /// A worker whose lease this instance holds.
  HeldWorker,
  /// Another entry instance, which runs the attempt on a worker it holds.
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

/// Result of a request, as reported to its caller.
struct RequestResult
{
  Outcome mOutcome = Outcome::Unknown;
  /// Unused if the outcome is Completed. Error kinds that rule out execution
  /// occur only with NotRun, all others only with Unknown.
  base::Error mError;
  std::string mBody;
  /// The request completed earlier and its response was too large to record.
  bool mBodyOmitted = false;
};

/// A NotRun result; an error kind that does not rule out execution is replaced
/// by NoCapacity.
RequestResult
MakeNotRun(base::Error aError);

/// An Unknown result; an error kind that rules out execution is replaced by
/// OutcomeUnknown.
RequestResult
MakeUnknown(base::Error aError);

/// A Completed result.
RequestResult
MakeCompleted(std::string aBody);

/// True if an attempt that failed on a worker with `aKind` certainly did not
/// run. Differs from base::GetErrorInfo, which describes errors reported to
/// callers: an attempt that a worker ends with DeadlineExceeded may have run.
bool
ProvesNotRun(base::ErrorKind aKind);

} // namespace skylarkhill::requests

#endif // SKYLARKHILL_REQUESTS_REQUEST_HPP
