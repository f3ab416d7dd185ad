#ifndef SKYLARKHILL_BASE_ERROR_HPP
#define SKYLARKHILL_BASE_ERROR_HPP

#include <boost/outcome.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace skylarkhill::base {

/// The error kinds of all modules and HTTP interfaces.
enum class ErrorKind
{
  InvalidArgument,
  InvalidJson,
  InvalidSettings,
  /// A configuration set, or a change to one, is invalid.
  InvalidSet,
  PayloadTooLarge,
  UnsupportedFraming,
  Unauthorized,
  NotFound,
  AlreadyExists,
  VersionConflict,
  /// No worker is large enough for the task.
  Infeasible,
  QuotaExceeded,
  Overloaded,
  NoCapacity,
  /// The deadline passed before the work started. HTTP clients also return it
  /// if the response is late; the work may then have run.
  DeadlineExceeded,
  /// A log append wrote nothing, or data of the platform could not be read.
  LogUnavailable,
  /// Whether an append took effect is unknown, e.g. its response was lost.
  AnswerLost,
  WorkerUnavailable,
  /// The worker received the command and rejected it.
  WorkerRefused,
  /// The connection failed after the request may have been sent.
  ConnectionLost,
  /// The instance holds no lease that allows it to use a suitable worker.
  NotHolder,
  /// The worker rejected a command whose time limit or lease has passed.
  StaleCommand,
  Cancelled,
  ShuttingDown,
  /// The caller cannot tell whether the request has run.
  OutcomeUnknown,
  Internal,
};

/// What a caller should do after an error.
enum class RetryAdvice
{
  /// Repeating the same request cannot succeed.
  Never,
  /// Retry after a delay.
  Later,
  /// Retry at once, through another entry instance.
  Elsewhere,
  /// Query the outcome before a retry.
  CheckFirst,
};

/// Whether the work of a failed request may have run.
enum class Execution
{
  NotRun,
  MayHaveRun,
};

/// Properties of one error kind.
struct ErrorInfo
{
  ErrorKind mKind;
  std::string_view mName;
  int mHttpStatus;
  RetryAdvice mRetryAdvice;
  Execution mExecution;
};

/// An error kind with a human-readable detail. The detail is sent to callers
/// and must not contain secrets.
struct Error
{
  ErrorKind mKind = ErrorKind::Internal;
  std::string mDetail;
};

/// A value or an Error.
template<typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
  result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// The properties of `aKind`.
const ErrorInfo&
GetErrorInfo(ErrorKind aKind);

/// The name of `aKind` on the wire and in logs, e.g. "log_unavailable".
std::string_view
NameOf(ErrorKind aKind);

/// The name of `aAdvice` on the wire, e.g. "later".
std::string_view
NameOf(RetryAdvice aAdvice);

/// The kind named `aName`, or nothing.
std::optional<ErrorKind>
ParseErrorKind(std::string_view aName);

/// Makes an Error, which converts implicitly to a failed Result.
Error
MakeError(ErrorKind aKind, std::string aDetail = {});

} // namespace skylarkhill::base

#endif // SKYLARKHILL_BASE_ERROR_HPP
