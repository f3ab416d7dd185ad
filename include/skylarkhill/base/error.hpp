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
  InvalidSet,
  PayloadTooLarge,
  UnsupportedFraming,
  Unauthorized,
  NotFound,
  AlreadyExists,
  VersionConflict,
  Infeasible,
  QuotaExceeded,
  Overloaded,
  NoCapacity,
  DeadlineExceeded,
  LogUnavailable,
  AnswerLost,
  WorkerUnavailable,
  WorkerRefused,
  ConnectionLost,
  NotHolder,
  StaleCommand,
  Cancelled,
  ShuttingDown,
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
