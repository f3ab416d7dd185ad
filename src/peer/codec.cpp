#include "skylarkhill/peer/codec.hpp"

#include "skylarkhill/base/name_table.hpp"
#include "skylarkhill/peer/frame.hpp"

// Without this macro msgpack-cxx requires Boost.Predef.
#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include <array>
#include <exception>
#include <optional>
#include <stdexcept>
#include <utility>

namespace skylarkhill::peer {

using base::ErrorKind;
using base::MakeError;
using requests::Outcome;

namespace {

constexpr std::uint8_t kFrameVersion = 1;
// Bounds the allocation that a malicious length field can cause.
constexpr std::size_t kMaxElements = 65536;
constexpr std::size_t kMaxDepth = 8;
// About 3,000 years; sums of a few such values cannot overflow.
constexpr std::int64_t kMaxTimeMicros = 100'000'000'000'000'000;

constexpr base::NameTable<Outcome, 3> kOutcomeNames{ {
  { Outcome::Completed, "completed" },
  { Outcome::NotRun, "not_run" },
  { Outcome::Unknown, "unknown" },
} };

/// Encodes its arguments as the elements of one array.
class Writer
{
public:
  explicit Writer(msgpack::packer<msgpack::sbuffer>& aPacker)
    : mPacker(aPacker)
  {
  }

  template<typename... Fields>
  void operator()(const Fields&... aFields)
  {
    mPacker.pack_array(sizeof...(aFields));
    (Put(aFields), ...);
  }

private:
  template<typename T>
  void Put(const T& aValue)
  {
    mPacker.pack(aValue);
  }
  template<typename Tag>
  void Put(const base::Id<Tag>& aId)
  {
    mPacker.pack(aId.mValue);
  }
  template<typename T>
  void Put(const std::vector<T>& aItems)
  {
    mPacker.pack_array(static_cast<std::uint32_t>(aItems.size()));
    for (const T& it : aItems) {
      Put(it);
    }
  }
  void Put(const ServiceSlots& aSlots)
  {
    (*this)(aSlots.mService, aSlots.mFreeSlots);
  }
  void Put(const LeavingNotice& aNotice)
  {
    (*this)(aNotice.mName, aNotice.mIncarnation, aNotice.mRemainingMicros);
  }
  void Put(Outcome aOutcome)
  {
    mPacker.pack(std::string(base::FindName(kOutcomeNames, aOutcome)));
  }
  void Put(ErrorKind aKind) { mPacker.pack(std::string(base::NameOf(aKind))); }

  msgpack::packer<msgpack::sbuffer>& mPacker;
};

/// Decodes the elements of an array into its arguments. Throws if the number or
/// the types of the elements differ.
class Reader
{
public:
  explicit Reader(const msgpack::object& aObject)
    : mObject(aObject)
  {
  }

  template<typename... Fields>
  void operator()(Fields&... aFields)
  {
    const msgpack::object_array& items = GetArray(mObject);
    if (items.size != sizeof...(aFields)) {
      throw std::invalid_argument("wrong number of fields");
    }
    const msgpack::object* next = items.ptr;
    (Get(*next++, aFields), ...);
  }

private:
  static const msgpack::object_array& GetArray(const msgpack::object& aObject)
  {
    if (aObject.type != msgpack::type::ARRAY) {
      throw std::invalid_argument("array expected");
    }
    return aObject.via.array;
  }

  template<typename T>
  static void Get(const msgpack::object& aObject, T& aValue)
  {
    aObject.convert(aValue);
  }
  static void Get(const msgpack::object& aObject, std::string& aValue)
  {
    if (aObject.type != msgpack::type::STR) {
      throw std::invalid_argument("string expected");
    }
    aObject.convert(aValue);
  }
  template<typename Tag>
  static void Get(const msgpack::object& aObject, base::Id<Tag>& aId)
  {
    Get(aObject, aId.mValue);
  }
  template<typename T>
  static void Get(const msgpack::object& aObject, std::vector<T>& aItems)
  {
    const msgpack::object_array& items = GetArray(aObject);
    aItems.resize(items.size);
    for (std::uint32_t n = 0; n < items.size; ++n) {
      Get(items.ptr[n], aItems[n]);
    }
  }
  static void Get(const msgpack::object& aObject, ServiceSlots& aSlots)
  {
    Reader reader(aObject);
    reader(aSlots.mService, aSlots.mFreeSlots);
  }
  static void Get(const msgpack::object& aObject, LeavingNotice& aNotice)
  {
    Reader reader(aObject);
    reader(aNotice.mName, aNotice.mIncarnation, aNotice.mRemainingMicros);
  }
  static void Get(const msgpack::object& aObject, Outcome& aOutcome)
  {
    std::string name;
    Get(aObject, name);
    aOutcome = RequireKnownName(base::FindValue(kOutcomeNames, name));
  }
  static void Get(const msgpack::object& aObject, ErrorKind& aKind)
  {
    std::string name;
    Get(aObject, name);
    aKind = RequireKnownName(base::ParseErrorKind(name));
  }

  template<typename Enum>
  static Enum RequireKnownName(const std::optional<Enum>& aValue)
  {
    if (!aValue) {
      throw std::invalid_argument("unknown name");
    }
    return *aValue;
  }

  const msgpack::object& mObject;
};

// Encoding and decoding share one list of fields per message type.
template<typename Visitor, typename T>
void
Visit(Visitor& aVisitor, T& aMessage)
{
  using Plain = std::remove_const_t<T>;
  auto& m = aMessage;
  if constexpr (std::is_same_v<Plain, Heartbeat>) {
    aVisitor(m.mInstance,
             m.mIncarnation,
             m.mDomain,
             m.mAddress,
             m.mPeerPort,
             m.mConfigVersion,
             m.mLeaving,
             m.mFreeSlots,
             m.mHeldWorkers,
             m.mHybridTimestamp);
  } else if constexpr (std::is_same_v<Plain, ForwardRequest>) {
    aVisitor(m.mOrigin,
             m.mOriginIncarnation,
             m.mRequest,
             m.mAttempt,
             m.mService,
             m.mIdempotent,
             m.mImportance,
             m.mBody,
             m.mHybridTimestamp);
  } else if constexpr (std::is_same_v<Plain, ForwardResponse>) {
    aVisitor(m.mRequest,
             m.mAttempt,
             m.mOutcome,
             m.mErrorKind,
             m.mDetail,
             m.mBody,
             m.mHybridTimestamp);
  } else if constexpr (std::is_same_v<Plain, StateFetch>) {
    aVisitor(m.mFetchId, m.mStream, m.mPageIndex, m.mHybridTimestamp);
  } else if constexpr (std::is_same_v<Plain, StatePage>) {
    aVisitor(m.mFetchId,
             m.mStream,
             m.mPageIndex,
             m.mIsLast,
             m.mAsOf,
             m.mPayload,
             m.mHybridTimestamp);
  } else {
    aVisitor(m.mSender.mIp,
             m.mSender.mPort,
             m.mSessionId,
             m.mSentMicros,
             m.mRemainingMicros,
             m.mAcceptsUnknownAge,
             m.mEcho.mSessionId,
             m.mEcho.mNewestSentMicros,
             m.mEcho.mMinDifferenceMicros,
             m.mPayload);
  }
}

/// Calls `aRead` with the three elements of every encoding: version, type and
/// fields.
template<typename Read>
auto
Decode(std::string_view aBytes, std::size_t aMaxBytes, Read aRead)
  -> decltype(aRead(std::declval<msgpack::object_array&>()))
{
  if (aBytes.size() > aMaxBytes) {
    return MakeError(ErrorKind::PayloadTooLarge,
                     "peer message exceeds the size limit");
  }
  try {
    const msgpack::unpack_limit limit(
      kMaxElements, 0, aMaxBytes, 0, 0, kMaxDepth);
    std::size_t used = 0;
    const msgpack::object_handle handle = msgpack::unpack(
      aBytes.data(), aBytes.size(), used, nullptr, nullptr, limit);
    const msgpack::object& root = handle.get();
    if (used != aBytes.size() || root.type != msgpack::type::ARRAY ||
        root.via.array.size != 3) {
      return MakeError(ErrorKind::InvalidArgument, "malformed message");
    }
    return aRead(root.via.array);
  } catch (const std::exception& e) {
    return MakeError(ErrorKind::InvalidArgument,
                     std::string("malformed message: ") + e.what());
  }
}

template<typename T>
base::Result<std::string>
Encode(std::uint8_t aVersion,
       std::uint8_t aType,
       const T& aValue,
       std::size_t aMaxBytes)
{
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> packer(buf);
  packer.pack_array(3);
  packer.pack(aVersion);
  packer.pack(aType);
  Writer writer(packer);
  Visit(writer, aValue);
  if (buf.size() > aMaxBytes) {
    return MakeError(ErrorKind::PayloadTooLarge,
                     "peer message exceeds the size limit");
  }
  return std::string(buf.data(), buf.size());
}

template<typename T>
T
Read(const msgpack::object& aFields)
{
  T value;
  Reader reader(aFields);
  Visit(reader, value);
  return value;
}

bool
IsValidTime(std::int64_t aMicros)
{
  return aMicros >= -kMaxTimeMicros && aMicros <= kMaxTimeMicros;
}

base::Result<Frame>
CheckFrame(Frame aFrame)
{
  const bool valid = IsValidTime(aFrame.mSentMicros) &&
                     IsValidTime(aFrame.mRemainingMicros) &&
                     IsValidTime(aFrame.mEcho.mNewestSentMicros) &&
                     IsValidTime(aFrame.mEcho.mMinDifferenceMicros);
  if (!valid || aFrame.mSessionId == 0) {
    return MakeError(ErrorKind::InvalidArgument, "frame field out of range");
  }
  return aFrame;
}

base::Result<Message>
ReadMessage(std::uint8_t aType, const msgpack::object& aFields)
{
  switch (aType) {
    case 0:
      return Message(Read<Heartbeat>(aFields));
    case 1:
      return Message(Read<ForwardRequest>(aFields));
    case 2:
      return Message(Read<ForwardResponse>(aFields));
    case 3:
      return Message(Read<StateFetch>(aFields));
    case 4:
      return Message(Read<StatePage>(aFields));
    default:
      return MakeError(ErrorKind::InvalidArgument, "unknown message type");
  }
}

} // namespace

base::Result<std::string>
EncodeMessage(const Message& aMessage)
{
  const auto type = static_cast<std::uint8_t>(aMessage.index());
  return std::visit(
    [&](const auto& aTyped) {
      return Encode(kMessageVersion, type, aTyped, kMaxMessageBytes);
    },
    aMessage);
}

base::Result<Message>
DecodeMessage(std::string_view aBytes)
{
  return Decode(
    aBytes,
    kMaxMessageBytes,
    [](const msgpack::object_array& aRoot) -> base::Result<Message> {
      if (aRoot.ptr[0].as<std::uint8_t>() != kMessageVersion) {
        return MakeError(ErrorKind::InvalidArgument, "unknown message version");
      }
      return ReadMessage(aRoot.ptr[1].as<std::uint8_t>(), aRoot.ptr[2]);
    });
}

base::Result<std::string>
EncodeFrame(const Frame& aFrame)
{
  return Encode(kFrameVersion, 0, aFrame, kMaxFrameBytes);
}

base::Result<Frame>
DecodeFrame(std::string_view aBytes)
{
  return Decode(aBytes,
                kMaxFrameBytes,
                [](const msgpack::object_array& aRoot) -> base::Result<Frame> {
                  if (aRoot.ptr[0].as<std::uint8_t>() != kFrameVersion ||
                      aRoot.ptr[1].as<std::uint8_t>() != 0) {
                    return MakeError(ErrorKind::InvalidArgument,
                                     "unknown frame version");
                  }
                  return CheckFrame(Read<Frame>(aRoot.ptr[2]));
                });
}

} // namespace skylarkhill::peer
