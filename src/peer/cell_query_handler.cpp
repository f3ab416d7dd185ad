#include "skylarkhill/peer/cell_query_handler.hpp"

#include "skylarkhill/http/error_body.hpp"
#include "skylarkhill/peer/cell_query_codec.hpp"

#include <string>
#include <utility>

namespace skylarkhill::peer {

using base::ErrorKind;
using base::MakeError;

namespace {

http::Response
MakeAnswer(std::string aBody)
{
  http::Response response;
  response.mContentType = "application/msgpack";
  response.mBody = std::move(aBody);
  return response;
}

// A missing job has no error status, so that the status 404 of a server without
// these paths cannot be taken for an answer.
template<typename T>
http::Response
ToResponse(const base::Result<T>& aResult)
{
  if (aResult) {
    return MakeAnswer(EncodeAnswer(aResult.value()));
  }
  if (aResult.error().mKind == ErrorKind::NotFound) {
    return MakeAnswer(EncodeNotFoundAnswer());
  }
  return http::MakeErrorResponse(
    MakeError(ErrorKind::LogUnavailable, aResult.error().mDetail));
}

class CellQueryHandler : public http::Handler
{
public:
  CellQueryHandler(node::CellQueries& aLocal, const base::Clock& aClock)
    : mLocal(aLocal)
    , mClock(aClock)
  {
  }

  http::Response Handle(const http::Request& aRequest) override
  {
    const base::TimePoint now = mClock.Now();
    if (aRequest.mMethod != "POST") {
      return http::MakeErrorResponse(
        MakeError(ErrorKind::NotFound, "only POST is served"));
    }
    const auto target = ParseCellQuestionPath(aRequest.mPath);
    if (!target) {
      return http::MakeErrorResponse(target.error());
    }
    const auto question = DecodeCellQuestion(aRequest.mBody);
    if (!question) {
      return http::MakeErrorResponse(question.error());
    }
    return Answer(target.value(),
                  question.value().mSubject,
                  now + question.value().mRemaining);
  }

private:
  http::Response Answer(const CellQuestionTarget& aTarget,
                        const std::string& aSubject,
                        base::TimePoint aDeadline)
  {
    const int cell = aTarget.mCell;
    switch (aTarget.mKind) {
      case CellQuestionKind::Job:
        return ToResponse(mLocal.FindJob(cell, aSubject, aDeadline));
      case CellQuestionKind::OtherCells:
        return ToResponse(mLocal.ListOtherCells(cell, aSubject, aDeadline));
      case CellQuestionKind::Pending:
        break;
    }
    return ToResponse(mLocal.CountPending(cell, aSubject, aDeadline));
  }

  node::CellQueries& mLocal;
  const base::Clock& mClock;
};

} // namespace

std::unique_ptr<http::Handler>
CreateCellQueryHandler(node::CellQueries& aLocal, const base::Clock& aClock)
{
  return std::make_unique<CellQueryHandler>(aLocal, aClock);
}

} // namespace skylarkhill::peer
