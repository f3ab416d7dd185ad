#include "skylarkhill/base/random.hpp"
#include "skylarkhill/peer/codec.hpp"
#include "skylarkhill/peer/frame.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <vector>

namespace skylarkhill::peer {

namespace {

using base::ErrorKind;

Heartbeat
MakeHeartbeat()
{
  Heartbeat heartbeat;
  heartbeat.mInstance = { "entry-1" };
  heartbeat.mIncarnation = ~std::uint64_t{ 0 };
  heartbeat.mDomain = { "kochi" };
  heartbeat.mAddress = "127.0.0.1";
  heartbeat.mPeerPort = 65535;
  heartbeat.mConfigVersion = -1;
  heartbeat.mLeaving = { { "worker-3", 7, 1000 } };
  heartbeat.mFreeSlots = { { "lookup", 12 }, { "match", 0 } };
  heartbeat.mHeldWorkers = { { "worker-1" }, { "worker-2" } };
  heartbeat.mHybridTimestamp = 99;
  return heartbeat;
}

std::vector<Message>
MakeMessages()
{
  ForwardRequest request;
  request.mRequest = { "key" };
  request.mIdempotent = true;
  request.mBody = std::string("\0\xff", 2);
  ForwardResponse response;
  response.mOutcome = requests::Outcome::NotRun;
  response.mErrorKind = ErrorKind::NotHolder;
  StateFetch fetch;
  fetch.mStream = "site";
  StatePage page;
  page.mPayload = std::string(70000, 'x');
  page.mIsLast = true;
  return { MakeHeartbeat(), request, response, fetch, page };
}

class CodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(RoundTripsEveryField);
  CPPUNIT_TEST(RefusesTruncatedAndTrailingBytes);
  CPPUNIT_TEST(RefusesWrongVersionTypeAndRange);
  CPPUNIT_TEST(RefusesOversizedMessages);
  CPPUNIT_TEST(NeverThrowsOnCorruptedBytes);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a field that the codec omits. Re-encoding the decoded
  // message does not reveal it, so the fields of a heartbeat are also compared
  // directly.
  void RoundTripsEveryField()
  {
    for (const Message& it : MakeMessages()) {
      const std::string bytes = EncodeMessage(it).value();
      const Message copy = DecodeMessage(bytes).value();
      CPPUNIT_ASSERT_EQUAL(it.index(), copy.index());
      CPPUNIT_ASSERT(EncodeMessage(copy).value() == bytes);
    }
    const std::string bytes = EncodeMessage(MakeHeartbeat()).value();
    const Message copy = DecodeMessage(bytes).value();
    const auto& heartbeat = std::get<Heartbeat>(copy);
    CPPUNIT_ASSERT(heartbeat.mIncarnation == ~std::uint64_t{ 0 });
    CPPUNIT_ASSERT(heartbeat.mPeerPort == 65535 &&
                   heartbeat.mConfigVersion == -1);
    CPPUNIT_ASSERT_EQUAL(std::string("worker-3"),
                         heartbeat.mLeaving.at(0).mName);
    CPPUNIT_ASSERT(heartbeat.mFreeSlots.at(0).mFreeSlots == 12);
    CPPUNIT_ASSERT_EQUAL(std::string("worker-2"),
                         heartbeat.mHeldWorkers.at(1).mValue);
    CPPUNIT_ASSERT(heartbeat.mHybridTimestamp == 99 &&
                   heartbeat.mDomain.mValue == "kochi");
  }

  // Guards against a truncated message that is accepted as complete.
  void RefusesTruncatedAndTrailingBytes()
  {
    const std::string bytes = EncodeMessage(MakeHeartbeat()).value();
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      const auto truncated = DecodeMessage(bytes.substr(0, n));
      CPPUNIT_ASSERT(truncated.error().mKind == ErrorKind::InvalidArgument);
    }
    CPPUNIT_ASSERT(!DecodeMessage(bytes + "x"));
  }

  // Guards against misinterpreting a message from another release.
  void RefusesWrongVersionTypeAndRange()
  {
    std::string bytes = EncodeMessage(StateFetch{}).value();
    bytes[1] = 2;
    CPPUNIT_ASSERT(!DecodeMessage(bytes));
    bytes[1] = 1;
    bytes[2] = 9;
    CPPUNIT_ASSERT(!DecodeMessage(bytes));
    // A state fetch has four fields, a forward response seven.
    bytes[2] = 2;
    CPPUNIT_ASSERT(!DecodeMessage(bytes));
    // A state fetch with four fields, then with a fifth one.
    const std::string four("\x93\x01\x03\x94\x00\xa0\x00\x00", 8);
    const std::string five("\x93\x01\x03\x95\x00\xa0\x00\x00\x00", 9);
    CPPUNIT_ASSERT(DecodeMessage(four) && !DecodeMessage(five));
    Frame frame;
    CPPUNIT_ASSERT(!DecodeFrame(EncodeFrame(frame).value()));
    frame.mSessionId = 1;
    CPPUNIT_ASSERT(DecodeFrame(EncodeFrame(frame).value()).has_value());
    frame.mRemainingMicros = std::numeric_limits<std::int64_t>::max();
    CPPUNIT_ASSERT(!DecodeFrame(EncodeFrame(frame).value()));
  }

  void RefusesOversizedMessages()
  {
    ForwardRequest request;
    request.mBody = std::string(kMaxMessageBytes, 'x');
    const auto encoded = EncodeMessage(request);
    CPPUNIT_ASSERT(encoded.error().mKind == ErrorKind::PayloadTooLarge);
    const auto decoded = DecodeMessage(std::string(kMaxMessageBytes + 1, 'x'));
    CPPUNIT_ASSERT(decoded.error().mKind == ErrorKind::PayloadTooLarge);
    // An array that claims 2^32 - 1 elements.
    CPPUNIT_ASSERT(!DecodeMessage("\xdd\xff\xff\xff\xff"));
  }

  // Guards against an exception from the codec that ends a receiving thread.
  void NeverThrowsOnCorruptedBytes()
  {
    const auto random = base::CreateSeededRandom(11);
    const std::string bytes = EncodeMessage(MakeHeartbeat()).value();
    for (int n = 0; n < 20000; ++n) {
      std::string damaged = bytes;
      for (int flips = 0; flips < 3; ++flips) {
        damaged[random->Below(damaged.size())] =
          static_cast<char>(random->Below(256));
      }
      const auto decoded = DecodeMessage(damaged);
      CPPUNIT_ASSERT(decoded ||
                     decoded.error().mKind == ErrorKind::InvalidArgument);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

} // namespace

} // namespace skylarkhill::peer
