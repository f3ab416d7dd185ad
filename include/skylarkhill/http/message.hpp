#ifndef SKYLARKHILL_HTTP_MESSAGE_HPP
#define SKYLARKHILL_HTTP_MESSAGE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::http {

/// A named value: a header field or a query parameter.
struct Field
{
  std::string mName;
  std::string mValue;
};

/// A request as passed to a handler.
struct Request
{
  std::string mMethod;
  /// Percent-decoded, without the query; valid UTF-8.
  std::string mPath;
  /// Percent-decoded, in the order of the request.
  std::vector<Field> mQuery;
  std::vector<Field> mHeaders;
  std::string mBody;
  /// IP address of the peer.
  std::string mPeerAddress;
};

/// A response to a request.
struct Response
{
  int mStatus = 200;
  std::string mContentType = "application/json";
  std::string mBody;
  /// Additional headers, without those that determine the message length.
  std::vector<Field> mHeaders;
  /// The server closes the connection without a response. Used by test
  /// stand-ins to simulate lost responses.
  bool mDropConnection = false;
  /// Set by the client if it may have sent the request twice. An error response
  /// then does not prove that the request had no effect.
  bool mIsPossiblyResent = false;
};

/// The value of the first field named `aName`, ignoring case, or null.
const std::string*
FindField(const std::vector<Field>& aFields, std::string_view aName);

/// Percent-encodes every byte of `aText` that is not unreserved in a URL.
std::string
PercentEncode(std::string_view aText);

} // namespace skylarkhill::http

#endif // SKYLARKHILL_HTTP_MESSAGE_HPP
