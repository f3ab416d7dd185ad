#include "skylarkhill/journal/record_codec.hpp"
#include "skylarkhill/journal/stream_reader.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "memory_log.hpp"

namespace skylarkhill::journal {

namespace {

class StreamReaderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StreamReaderTest);
  CPPUNIT_TEST(DropsDuplicatesAndUndecodableRecords);
  CPPUNIT_TEST(RebuildsAfterAGap);
  CPPUNIT_TEST(CaughtUpTimeIsThatOfAReadThatSawTheEnd);
  CPPUNIT_TEST(ContinuesFromTheStateOfAPeer);
  CPPUNIT_TEST_SUITE_END();

public:
  void Write(const std::string& aWriter, std::int64_t aSequence)
  {
    Batch batch;
    batch.mWriter = aWriter;
    batch.mSequence = aSequence;
    mLog.Write(EncodeBatch(batch));
  }

  PageResult Read(std::int64_t aMax = 100, std::int64_t aIssuedAt = 1)
  {
    return mReader.OnPage(mLog.Page(mReader.NextOffset(), aMax),
                          base::FromMicros(aIssuedAt));
  }

  // Guards against a batch that is applied twice after its append was retried,
  // and against an undecodable record that stops the reader.
  void DropsDuplicatesAndUndecodableRecords()
  {
    Write("a", 1);
    mLog.Write("not a batch");
    Write("a", 1);
    Write("b", 1);
    Write("a", 2);
    Write("a", 1);
    const auto page = Read();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), page.mBatches.size());
    CPPUNIT_ASSERT_EQUAL(Offset(4), page.mBatches[2].mOffset);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), mReader.Duplicates());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), mReader.Undecodable());
    CPPUNIT_ASSERT_EQUAL(Offset(6), mReader.NextOffset());
  }

  // Guards against a reader that continues after records expired unread. The
  // first page is no gap, even if older records have expired.
  void RebuildsAfterAGap()
  {
    for (std::int64_t i = 1; i <= 10; ++i) {
      Write("a", i);
    }
    mLog.Expire(2);
    CPPUNIT_ASSERT(!Read(3).mIsGap);
    CPPUNIT_ASSERT_EQUAL(Offset(2), *mReader.FirstOffset());
    mLog.Expire(5);
    CPPUNIT_ASSERT(!Read(1).mIsGap);
    mLog.Expire(7);
    const auto page = Read();
    CPPUNIT_ASSERT(page.mIsGap);
    CPPUNIT_ASSERT_EQUAL(Offset(7), page.mFirstRetained);
    CPPUNIT_ASSERT_EQUAL(Offset(7), *mReader.FirstOffset());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), page.mBatches.size());
    mLog.Expire(10);
    CPPUNIT_ASSERT_MESSAGE("everything expired after it was read",
                           !Read().mIsGap);
  }

  // Guards against a caught-up time later than the read that saw the end of the
  // stream: a new holder would start an attempt whose end record it has not
  // read.
  void CaughtUpTimeIsThatOfAReadThatSawTheEnd()
  {
    CPPUNIT_ASSERT(mReader.CaughtUpTime() == base::TimePoint::min());
    for (std::int64_t i = 1; i <= 4; ++i) {
      Write("a", i);
    }
    Read(2, 10);
    CPPUNIT_ASSERT(mReader.CaughtUpTime() == base::TimePoint::min());
    Write("a", 5);
    Read(2, 20);
    CPPUNIT_ASSERT(mReader.CaughtUpTime() == base::FromMicros(10));
    Read(2, 30);
    CPPUNIT_ASSERT(mReader.CaughtUpTime() == base::FromMicros(30));
    Write("a", 6);
    mLog.Expire(6);
    CPPUNIT_ASSERT(Read(0, 40).mIsGap);
    CPPUNIT_ASSERT(mReader.CaughtUpTime() == base::FromMicros(40));
  }

  void ContinuesFromTheStateOfAPeer()
  {
    Write("a", 1);
    Write("a", 2);
    Read();
    StreamReader other;
    other.Import(mReader.Export());
    Write("a", 2);
    Write("a", 3);
    const auto page = other.OnPage(mLog.Page(other.NextOffset(), 9), {});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), page.mBatches.size());
    CPPUNIT_ASSERT_EQUAL(Offset(3), page.mBatches[0].mOffset);
  }

private:
  MemoryLog mLog;
  StreamReader mReader;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamReaderTest);

} // namespace

} // namespace skylarkhill::journal
