#include "skylarkhill/peer/cell_query_codec.hpp"

#include "skylarkhill/base/json.hpp"
#include "skylarkhill/base/msgpack.hpp"
#include "skylarkhill/base/name_table.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <tuple>
#include <utility>

namespace skylarkhill::peer {

using base::ErrorKind;
using base::MakeError;
using jobs::JobState;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kPathPrefix = "/cells/";
/// Far above the number of cells of a site.
constexpr int kMaxCells = 1024;
constexpr std::size_t kMaxSubjectBytes = 4096;
constexpr milliseconds kMaxRemaining{ 5000 };

constexpr base::NameTable<CellQuestionKind, 3> kKindNames{ {
  { CellQuestionKind::Job, "job" },
  { CellQuestionKind::OtherCells, "other-cells" },
  { CellQuestionKind::Pending, "pending" },
} };

enum class AnswerKind
{
  Found,
  NotFound,
};

constexpr base::NameTable<AnswerKind, 2> kAnswerNames{ {
  { AnswerKind::Found, "found" },
  { AnswerKind::NotFound, "not_found" },
} };

/// Remaining milliseconds and subject.
using QuestionFields = std::tuple<std::int64_t, std::string>;
// Decoding ignores further fields and leaves missing ones as they are. A field
// that must be present is therefore optional here and checked: a missing list
// must not be taken for an empty one.
using NotFoundFields = std::tuple<std::string>;
/// Name of the AnswerKind, name of the state, cell that the job has moved to.
using JobFields =
  std::tuple<std::string, std::optional<std::string>, std::optional<int>>;
using OtherCellsFields =
  std::tuple<std::string, std::optional<std::vector<int>>>;
using PendingFields = std::tuple<std::string, std::optional<std::uint64_t>>;

bool
IsCell(int aNumber)
{
  return aNumber >= 0 && aNumber < kMaxCells;
}

std::optional<int>
ParseCell(std::string_view aText)
{
  int cell = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), cell);
  if (!IsCell(cell) || std::to_string(cell) != aText) {
    return std::nullopt;
  }
  return cell;
}

std::optional<JobState>
ParseJobState(std::string_view aName)
{
  for (const JobState it : { JobState::Pending,
                             JobState::Running,
                             JobState::Completed,
                             JobState::Failed,
                             JobState::Cancelled }) {
    if (jobs::NameOf(it) == aName) {
      return it;
    }
  }
  return std::nullopt;
}

std::string
FoundName()
{
  return std::string(base::FindName(kAnswerNames, AnswerKind::Found));
}

base::Error
MakeAnswerError(const std::string& aDetail)
{
  return MakeError(ErrorKind::InvalidArgument, "invalid answer: " + aDetail);
}

/// The fields of an answer of the kind Found.
template<typename Fields>
base::Result<Fields>
DecodeFound(std::string_view aBytes)
{
  auto fields = base::UnpackMsgpack<Fields>(aBytes);
  if (!fields) {
    return MakeAnswerError(fields.error().mDetail);
  }
  const auto kind = base::FindValue(kAnswerNames, std::get<0>(fields.value()));
  if (!kind) {
    return MakeAnswerError("unknown kind");
  }
  if (*kind == AnswerKind::NotFound) {
    return MakeError(ErrorKind::NotFound, "no such job");
  }
  return fields;
}

} // namespace

std::string
FormatCellQuestionPath(const CellQuestionTarget& aTarget)
{
  return std::string(kPathPrefix) + std::to_string(aTarget.mCell) + "/" +
         std::string(base::FindName(kKindNames, aTarget.mKind));
}

base::Result<CellQuestionTarget>
ParseCellQuestionPath(std::string_view aPath)
{
  const auto unknown = MakeError(ErrorKind::NotFound, "unknown path");
  if (aPath.substr(0, kPathPrefix.size()) != kPathPrefix) {
    return unknown;
  }
  const std::string_view rest = aPath.substr(kPathPrefix.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string_view::npos) {
    return unknown;
  }
  const auto kind = base::FindValue(kKindNames, rest.substr(slash + 1));
  if (!kind) {
    return unknown;
  }
  const auto cell = ParseCell(rest.substr(0, slash));
  if (!cell) {
    return MakeError(ErrorKind::InvalidArgument,
                     "not the number of a cell, from 0 to " +
                       std::to_string(kMaxCells - 1));
  }
  return CellQuestionTarget{ *kind, *cell };
}

std::string
EncodeCellQuestion(const CellQuestion& aQuestion)
{
  const auto remaining =
    std::max(std::chrono::duration_cast<milliseconds>(aQuestion.mRemaining),
             milliseconds(1));
  return base::PackMsgpack(
    QuestionFields(remaining.count(), aQuestion.mSubject));
}

base::Result<CellQuestion>
DecodeCellQuestion(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, base::UnpackMsgpack<QuestionFields>(aBytes));
  auto& [remainingMs, subject] = fields;
  if (remainingMs <= 0) {
    return MakeError(ErrorKind::InvalidArgument,
                     "remaining time of " + std::to_string(remainingMs) +
                       " ms");
  }
  if (subject.empty() || subject.size() > kMaxSubjectBytes ||
      !base::IsUtf8(subject)) {
    return MakeError(ErrorKind::InvalidArgument,
                     "the subject must be UTF-8 of 1 to " +
                       std::to_string(kMaxSubjectBytes) + " bytes");
  }
  return CellQuestion{ std::move(subject),
                       milliseconds(
                         std::min(remainingMs, kMaxRemaining.count())) };
}

std::string
EncodeNotFoundAnswer()
{
  return base::PackMsgpack(NotFoundFields(
    std::string(base::FindName(kAnswerNames, AnswerKind::NotFound))));
}

std::string
EncodeAnswer(const node::JobView& aJob)
{
  return base::PackMsgpack(JobFields(
    FoundName(), std::string(jobs::NameOf(aJob.mState)), aJob.mTarget));
}

std::string
EncodeAnswer(const std::vector<int>& aCells)
{
  return base::PackMsgpack(OtherCellsFields(FoundName(), aCells));
}

std::string
EncodeAnswer(std::size_t aCount)
{
  return base::PackMsgpack(PendingFields(FoundName(), aCount));
}

base::Result<node::JobView>
DecodeJobAnswer(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, DecodeFound<JobFields>(aBytes));
  const auto& [kind, stateName, target] = fields;
  const auto state = stateName ? ParseJobState(*stateName) : std::nullopt;
  if (!state) {
    return MakeAnswerError("unknown state of the job");
  }
  if (target && !IsCell(*target)) {
    return MakeAnswerError("the job has moved to cell " +
                           std::to_string(*target));
  }
  return node::JobView{ *state, target };
}

base::Result<std::vector<int>>
DecodeOtherCellsAnswer(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, DecodeFound<OtherCellsFields>(aBytes));
  auto& cells = std::get<1>(fields);
  if (!cells) {
    return MakeAnswerError("no list of cells");
  }
  if (!std::all_of(cells->begin(), cells->end(), IsCell)) {
    return MakeAnswerError("the list of cells has a number that is none");
  }
  return std::move(*cells);
}

base::Result<std::size_t>
DecodePendingAnswer(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(fields, DecodeFound<PendingFields>(aBytes));
  const auto& count = std::get<1>(fields);
  if (!count) {
    return MakeAnswerError("no number of jobs");
  }
  return static_cast<std::size_t>(*count);
}

} // namespace skylarkhill::peer
