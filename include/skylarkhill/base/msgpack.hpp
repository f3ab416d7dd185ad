#ifndef SKYLARKHILL_BASE_MSGPACK_HPP
#define SKYLARKHILL_BASE_MSGPACK_HPP

#include "skylarkhill/base/error.hpp"

#include <msgpack.hpp>

#include <cstddef>
#include <exception>
#include <string>
#include <string_view>

namespace skylarkhill::base {

/// Encodes a value that msgpack can convert, usually a tuple of fields.
template<typename T>
std::string
PackMsgpack(const T& aValue)
{
  msgpack::sbuffer buf;
  msgpack::pack(buf, aValue);
  return { buf.data(), buf.size() };
}

/// Decodes a value that PackMsgpack has encoded. InvalidArgument if the bytes
/// are malformed, nested too deeply or announce more elements than they hold.
template<typename T>
Result<T>
UnpackMsgpack(std::string_view aBytes)
{
  constexpr std::size_t kMaxDepth = 16;
  // Each element takes at least one byte. Without limits, a few bytes could
  // request memory for billions of elements.
  const std::size_t n = aBytes.size();
  const msgpack::unpack_limit limit(n, n, n, n, n, kMaxDepth);
  try {
    const auto handle =
      msgpack::unpack(aBytes.data(), aBytes.size(), nullptr, nullptr, limit);
    return handle.get().template as<T>();
  } catch (const std::exception& e) {
    return MakeError(ErrorKind::InvalidArgument, e.what());
  }
}

} // namespace skylarkhill::base

#endif // SKYLARKHILL_BASE_MSGPACK_HPP
