#ifndef SKYLARKHILL_PEER_FRAME_HPP
#define SKYLARKHILL_PEER_FRAME_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/peer/address.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkhill::peer {

/// Longest encoded frame in bytes: a message and its envelope.
inline constexpr std::size_t kMaxFrameBytes = (std::size_t{ 1 } << 20U) + 1024;

/// What a sender last saw of the receiver. All zero if it saw nothing.
struct FrameEcho
{
  /// The receiver's life that the other fields are about; 0 is none.
  std::uint64_t mSessionId = 0;
  /// Send time of the receiver's newest frame, on the receiver's clock.
  std::int64_t mNewestSentMicros = 0;
  /// Smallest difference between arrival on the sender's clock and sending on
  /// the receiver's clock.
  std::int64_t mMinDifferenceMicros = 0;
};

/// Envelope of one message between transports.
struct Frame
{
  PeerAddress mSender;
  /// Random number of the sending transport; not zero.
  std::uint64_t mSessionId = 0;
  /// Send time on the sender's clock.
  std::int64_t mSentMicros = 0;
  /// Time that remained until the deadline at the send time.
  std::int64_t mRemainingMicros = 0;
  /// The message is still of use if its age cannot be determined.
  bool mAcceptsUnknownAge = false;
  FrameEcho mEcho;
  std::string mPayload;
};

/// The wire form of `aFrame`. PayloadTooLarge.
base::Result<std::string>
EncodeFrame(const Frame& aFrame);

/// Parses a whole frame. InvalidArgument, PayloadTooLarge.
base::Result<Frame>
DecodeFrame(std::string_view aBytes);

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_PEER_FRAME_HPP
