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

/// Free slots for one service on the workers that the sender holds.
struct ServiceSlots
{
  std::string mService;
  std::int64_t mFreeSlots = 0;
};

/// States that one incarnation of a worker or entry instance is leaving.
struct LeavingNotice
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
  /// How much longer instances propagate the notice.
  std::int64_t mRemainingMicros = 0;
};

/// State of the sender, sent to all its peers once per heartbeat interval.
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
  /// timeline::HybridTimestamp of the sender, packed into one integer. The same
  /// in all messages.
  std::uint64_t mHybridTimestamp = 0;
};

/// Asks the receiver to run one attempt of a request. The deadline of the
/// attempt is the deadline of the message.
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
  std::uint64_t mHybridTimestamp = 0;
};

/// Outcome of a forwarded attempt.
struct ForwardResponse
{
  base::RequestId mRequest;
  std::int64_t mAttempt = 0;
  requests::Outcome mOutcome = requests::Outcome::Unknown;
  /// Meaningful unless the outcome is Completed.
  base::ErrorKind mErrorKind = base::ErrorKind::OutcomeUnknown;
  std::string mDetail;
  std::string mBody;
  std::uint64_t mHybridTimestamp = 0;
};

/// Asks for the state that the receiver has derived from one stream.
struct StateFetch
{
  std::uint64_t mFetchId = 0;
  std::string mStream;
  /// First page to send; 0 is the start.
  std::int64_t mPageIndex = 0;
  std::uint64_t mHybridTimestamp = 0;
};

/// One page of the state that the sender has derived from one stream.
struct StatePage
{
  std::uint64_t mFetchId = 0;
  std::string mStream;
  std::int64_t mPageIndex = 0;
  bool mIsLast = false;
  /// Reserved; senders leave it at 0.
  std::int64_t mAsOf = 0;
  std::string mPayload;
  std::uint64_t mHybridTimestamp = 0;
};

using Message = std::
  variant<Heartbeat, ForwardRequest, ForwardResponse, StateFetch, StatePage>;

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_PEER_MESSAGE_HPP
