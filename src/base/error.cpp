#include "skylarkhill/base/error.hpp"

#include "skylarkhill/base/name_table.hpp"

#include <array>
#include <utility>

namespace skylarkhill::base {

namespace {

constexpr auto kNever = RetryAdvice::Never;
constexpr auto kLater = RetryAdvice::Later;
constexpr auto kElsewhere = RetryAdvice::Elsewhere;
constexpr auto kCheckFirst = RetryAdvice::CheckFirst;
constexpr auto kNotRun = Execution::NotRun;
constexpr auto kMayHaveRun = Execution::MayHaveRun;

// One row per kind, in the order of the enumerators, since GetErrorInfo uses
// the enumerator as index.
constexpr std::array<ErrorInfo, 26> kErrorTable{ {
  { ErrorKind::InvalidArgument, "invalid_argument", 400, kNever, kNotRun },
  { ErrorKind::InvalidJson, "invalid_json", 400, kNever, kNotRun },
  { ErrorKind::InvalidSettings, "invalid_settings", 400, kNever, kNotRun },
  { ErrorKind::InvalidSet, "invalid_set", 422, kNever, kNotRun },
  { ErrorKind::PayloadTooLarge, "payload_too_large", 413, kNever, kNotRun },
  { ErrorKind::UnsupportedFraming,
    "unsupported_framing",
    400,
    kNever,
    kNotRun },
  { ErrorKind::Unauthorized, "unauthorized", 401, kNever, kNotRun },
  { ErrorKind::NotFound, "not_found", 404, kNever, kNotRun },
  { ErrorKind::AlreadyExists, "already_exists", 409, kNever, kNotRun },
  { ErrorKind::VersionConflict, "version_conflict", 409, kCheckFirst, kNotRun },
  { ErrorKind::Infeasible, "infeasible", 422, kNever, kNotRun },
  { ErrorKind::QuotaExceeded, "quota_exceeded", 429, kLater, kNotRun },
  { ErrorKind::Overloaded, "overloaded", 503, kLater, kNotRun },
  { ErrorKind::NoCapacity, "no_capacity", 503, kLater, kNotRun },
  { ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, kLater, kNotRun },
  { ErrorKind::LogUnavailable, "log_unavailable", 503, kLater, kNotRun },
  { ErrorKind::AnswerLost, "answer_lost", 504, kCheckFirst, kMayHaveRun },
  { ErrorKind::WorkerUnavailable, "worker_unavailable", 503, kLater, kNotRun },
  { ErrorKind::WorkerRefused, "worker_refused", 503, kLater, kNotRun },
  { ErrorKind::ConnectionLost,
    "connection_lost",
    502,
    kCheckFirst,
    kMayHaveRun },
  { ErrorKind::NotHolder, "not_holder", 503, kElsewhere, kNotRun },
  { ErrorKind::StaleCommand, "stale_command", 409, kNever, kNotRun },
  { ErrorKind::Cancelled, "cancelled", 409, kNever, kNotRun },
  { ErrorKind::ShuttingDown, "shutting_down", 503, kElsewhere, kNotRun },
  { ErrorKind::OutcomeUnknown,
    "outcome_unknown",
    504,
    kCheckFirst,
    kMayHaveRun },
  { ErrorKind::Internal, "internal", 500, kCheckFirst, kMayHaveRun },
} };

constexpr NameTable<RetryAdvice, 4> kRetryAdviceNames{ {
  { kNever, "never" },
  { kLater, "later" },
  { kElsewhere, "elsewhere" },
  { kCheckFirst, "check_first" },
} };

} // namespace

const ErrorInfo&
GetErrorInfo(ErrorKind aKind)
{
  return kErrorTable.at(static_cast<std::size_t>(aKind));
}

std::string_view
NameOf(ErrorKind aKind)
{
  return GetErrorInfo(aKind).mName;
}

std::string_view
NameOf(RetryAdvice aAdvice)
{
  return FindName(kRetryAdviceNames, aAdvice);
}

std::optional<ErrorKind>
ParseErrorKind(std::string_view aName)
{
  for (const auto& it : kErrorTable) {
    if (it.mName == aName) {
      return it.mKind;
    }
  }
  return std::nullopt;
}

Error
MakeError(ErrorKind aKind, std::string aDetail)
{
  return Error{ aKind, std::move(aDetail) };
}

} // namespace skylarkhill::base
