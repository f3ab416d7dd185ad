#ifndef SKYLARKHILL_PEER_CODEC_HPP
#define SKYLARKHILL_PEER_CODEC_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/peer/message.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkhill::peer {

/// Version of the message encoding; other versions are rejected.
inline constexpr std::uint8_t kMessageVersion = 1;
/// Longest encoded message in bytes.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{ 1 } << 20U;

/// Encodes `aMessage`. PayloadTooLarge if the result exceeds kMaxMessageBytes.
base::Result<std::string>
EncodeMessage(const Message& aMessage);

/// Decodes one complete message. InvalidArgument if it is truncated, has
/// trailing bytes, an unsupported version, an unknown type, or a field of the
/// wrong type or out of range; PayloadTooLarge if it exceeds kMaxMessageBytes.
base::Result<Message>
DecodeMessage(std::string_view aBytes);

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_PEER_CODEC_HPP
