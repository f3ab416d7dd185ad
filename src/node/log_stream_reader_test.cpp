#include "skylarkhill/node/log_stream_reader.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "fake_shared_log_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;

namespace {

const LogStream kStream{ "journal", 0 };

} // namespace

class LogStreamReaderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogStreamReaderTest);
  CPPUNIT_TEST(IsUpToDateOnlyAtTheEndOfTheStream);
  CPPUNIT_TEST_SUITE_END();

public:
  // A read returns a limited number of bytes. Guards against a new leader that
  // takes the first part of a backlog for the whole journal and starts tasks of
  // jobs whose cancellation is in the rest.
  void IsUpToDateOnlyAtTheEndOfTheStream()
  {
    mLog.mMaxRecordsPerRead = 2;
    ReadOnce();
    const base::TimePoint loadedAt = mReader.UpToDateAt();
    for (const char* key : { "a", "b", "c" }) {
      mState.mStreams["journal"].push_back({ key, "1", 0 });
    }
    ReadOnce();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, mReader.NextOffset());
    CPPUNIT_ASSERT(mReader.UpToDateAt() == loadedAt);
    const base::TimePoint sentAt = mClock.Now() + milliseconds(20);
    ReadOnce();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, mReader.NextOffset());
    CPPUNIT_ASSERT(mReader.UpToDateAt() == sentAt);
  }

private:
  void ReadOnce()
  {
    mClock.Advance(milliseconds(20));
    mReader.Tick();
    mLog.Deliver();
  }

  base::ManualClock mClock;
  FakeLogState mState;
  FakeSharedLog mLog{ mState };
  LogStreamReader mReader{ mLog,
                           mClock,
                           kStream,
                           { [](const LogRecord&) {}, {} } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStreamReaderTest);

} // namespace skylarkhill::node
