#ifndef SKYLARKHILL_PEER_CELL_QUERY_CODEC_HPP
#define SKYLARKHILL_PEER_CELL_QUERY_CODEC_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/node/cell_queries.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::peer {

/// The questions of node::CellQueries.
enum class CellQuestionKind
{
  Job,
  OtherCells,
  Pending,
};

/// Where a question is sent to.
struct CellQuestionTarget
{
  CellQuestionKind mKind = CellQuestionKind::Job;
  int mCell = 0;
};

/// What a question asks for.
struct CellQuestion
{
  /// The id of the job, or the queue.
  std::string mSubject;
  /// Time until the answer must be ready. No deadline, because the clocks of
  /// two instances differ.
  base::Duration mRemaining{};
};

/// The path "/cells/N/NAME".
std::string
FormatCellQuestionPath(const CellQuestionTarget& aTarget);

/// NotFound: no such path. InvalidArgument: not the number of a cell.
base::Result<CellQuestionTarget>
ParseCellQuestionPath(std::string_view aPath);

/// The remaining time is rounded down to milliseconds, but at least 1 ms.
std::string
EncodeCellQuestion(const CellQuestion& aQuestion);

/// InvalidArgument: malformed, an empty or very long subject, or no remaining
/// time. A very long time is shortened.
base::Result<CellQuestion>
DecodeCellQuestion(std::string_view aBytes);

/// The answer that the cell has no such job.
std::string
EncodeNotFoundAnswer();

std::string
EncodeAnswer(const node::JobView& aJob);

std::string
EncodeAnswer(const std::vector<int>& aCells);

std::string
EncodeAnswer(std::size_t aCount);

/// NotFound: the answer is that the cell has no such job. InvalidArgument: no
/// such answer, or one with values that this version does not know.
base::Result<node::JobView>
DecodeJobAnswer(std::string_view aBytes);

/// Errors are those of DecodeJobAnswer.
base::Result<std::vector<int>>
DecodeOtherCellsAnswer(std::string_view aBytes);

/// Errors are those of DecodeJobAnswer.
base::Result<std::size_t>
DecodePendingAnswer(std::string_view aBytes);

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_PEER_CELL_QUERY_CODEC_HPP
