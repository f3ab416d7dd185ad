#include "library_request.hpp"

#include <algorithm>

namespace skylarkhill::http {

cxxtools::http::Request
ToLibraryRequest(const ClientRequest& aRequest)
{
  // cxxtools sends query parameters only with GET; for other methods the query
  // stays part of the path.
  const std::size_t end = aRequest.mTarget.size();
  const std::size_t queryStart =
    aRequest.mMethod == "GET" ? std::min(aRequest.mTarget.find('?'), end) : end;
  cxxtools::http::Request request(aRequest.mTarget.substr(0, queryStart));
  if (queryStart < aRequest.mTarget.size()) {
    request.qparams(aRequest.mTarget.substr(queryStart + 1));
  }
  request.method(aRequest.mMethod);
  for (const auto& it : aRequest.mHeaders) {
    request.setHeader(it.mName.c_str(), it.mValue.c_str());
  }
  request.body() << aRequest.mBody;
  return request;
}

} // namespace skylarkhill::http
