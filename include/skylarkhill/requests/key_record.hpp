#ifndef SKYLARKHILL_REQUESTS_KEY_RECORD_HPP
#define SKYLARKHILL_REQUESTS_KEY_RECORD_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/id.hpp"

#include <string>
#include <variant>

namespace skylarkhill::requests {

/// Outcome of a request, as reported to its caller.
enum class Outcome
{
  Completed,
  NotRun,
  Unknown,
};

/// Claims an idempotency key for one entry instance. Only the first intent of
/// a key in the log takes effect.
struct IntentRecord
{
  base::RequestId mKey;
  base::InstanceId mInstance;
};

/// The outcome of a claimed key. Only the first valid one in the log takes
/// effect.
struct OutcomeRecord
{
  base::RequestId mKey;
  base::InstanceId mInstance;
  Outcome mOutcome = Outcome::Unknown;
  /// Unused if the outcome is Completed.
  base::ErrorKind mErrorKind = base::ErrorKind::OutcomeUnknown;
  /// The response; empty if it is too large to be recorded.
  std::string mBody;
  bool mBodyOmitted = false;
};

using KeyRecord = std::variant<IntentRecord, OutcomeRecord>;

} // namespace skylarkhill::requests

#endif // SKYLARKHILL_REQUESTS_KEY_RECORD_HPP
