#ifndef SKYLARKHILL_PEER_FRAME_HPP
#define SKYLARKHILL_PEER_FRAME_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/peer/address.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkhill::peer {

/// Longest encoded frame in bytes: a message and its header fields.
inline constexpr std::size_t kMaxFrameBytes = (std::size_t{ 1 } << 20U) + 1024;

/// Timestamps of the receiver's frames, echoed by the sender to bound the clock
/// offset. All zero if the sender has received no frame within the last 10 to
/// 20 s.
struct FrameEcho
{
  /// Session of the receiver that the other fields refer to; 0 means none.
  std::uint64_t mSessionId = 0;
  /// Latest send time among the receiver's frames, on the receiver's clock.
  std::int64_t mNewestSentMicros = 0;
  /// Smallest difference between the arrival of a frame on the sender's clock
  /// and its send time on the receiver's clock.
  std::int64_t mMinDifferenceMicros = 0;
};

/// One message with the header fields that transports exchange.
struct Frame
{
  PeerAddress mSender;
  /// Random identifier of the sending transport object; not zero.
  std::uint64_t mSessionId = 0;
  /// Send time on the sender's clock.
  std::int64_t mSentMicros = 0;
  /// Time from the send time to the deadline.
  std::int64_t mRemainingMicros = 0;
  /// The receiver delivers the message even if its age cannot be determined.
  bool mAcceptsUnknownAge = false;
  FrameEcho mEcho;
  std::string mPayload;
};

/// Encodes `aFrame`. PayloadTooLarge if the result exceeds kMaxFrameBytes.
base::Result<std::string>
EncodeFrame(const Frame& aFrame);

/// Decodes one complete frame. InvalidArgument if it is malformed,
/// PayloadTooLarge if it exceeds kMaxFrameBytes.
base::Result<Frame>
DecodeFrame(std::string_view aBytes);

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_PEER_FRAME_HPP
