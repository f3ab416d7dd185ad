#ifndef SKYLARKHILL_PEER_MESSAGE_HPP
#define SKYLARKHILL_PEER_MESSAGE_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/id.hpp"
#include "skylarkhill/requests/key_record.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace skylarkhill::peer {

/// Free slots for one service on the sender's workers.
struct ServiceSlots
{
  std::string mService;
  std::int64_t mFreeSlots = 0;
};

/// A worker or entry instance that is leaving in its incarnation.
struct LeavingNotice
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
  /// How much longer the mark is passed on.
  std::int64_t mRemainingMicros = 0;
};

struct Heartbeat
{
  base::InstanceId mInstance;
  std::uint64_t mIncarnation = 0;
  base::DomainId mDomain;
  /// IP address and port for messages between entry instances.
  std::string mAddress;
  std::uint16_t mPeerPort = 0;
  std::int64_t mConfigVersion = 0;
  std::vector<LeavingNotice> mLeaving;
  std::vector<ServiceSlots> mFreeSlots;
  std::vector<base::WorkerId> mHeldWorkers;
  std::uint64_t mCausalClock = 0;
};

/// Asks the receiver to run one attempt; the deadline is the message's own.
struct ForwardRequest
{
  base::InstanceId mOrigin;
  std::uint64_t mOriginIncarnation = 0;
  base::RequestId mRequest;
  std::int64_t mAttempt = 0;
  std::string mService;
  bool mIdempotent = false;
  std::int64_t mImportance = 0;
  std::string mBody;
  std::uint64_t mCausalClock = 0;
};

/// How a forwarded attempt ended.
struct ForwardResponse
{
  base::RequestId mRequest;
  std::int64_t mAttempt = 0;
  requests::Outcome mOutcome = requests::Outcome::Unknown;
  /// Meaningful unless the outcome is Completed.
  base::ErrorKind mErrorKind = base::ErrorKind::OutcomeUnknown;
  std::string mDetail;
  std::string mBody;
  std::uint64_t mCausalClock = 0;
};

/// Asks for the state derived from one stream.
struct StateFetch
{
  std::uint64_t mFetchId = 0;
  std::string mStream;
  /// Page to start with; 0 for the first one.
  std::int64_t mPageIndex = 0;
  std::uint64_t mCausalClock = 0;
};

/// A part of the state derived from one stream.
struct StatePage
{
  std::uint64_t mFetchId = 0;
  std::string mStream;
  std::int64_t mPageIndex = 0;
  bool mIsLast = false;
  /// Offset up to which the sender has read the stream.
  std::int64_t mAsOf = 0;
  std::string mPayload;
  std::uint64_t mCausalClock = 0;
};

using Message = std::
  variant<Heartbeat, ForwardRequest, ForwardResponse, StateFetch, StatePage>;

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_PEER_MESSAGE_HPP
