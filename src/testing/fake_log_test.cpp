#include "skylarkhill/testing/fake_instance_list.hpp"
#include "skylarkhill/testing/fake_log.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::testing {

namespace {

using base::ErrorKind;
using std::chrono::seconds;

class FakeLogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FakeLogTest);
  CPPUNIT_TEST(ReadStartsAtTheFirstRetainedRecord);
  CPPUNIT_TEST(LostAnswerKeepsTheRecordAndLostAppendDoesNot);
  CPPUNIT_TEST(InstanceChangesBecomeVisibleAfterTheLag);
  CPPUNIT_TEST_SUITE_END();

  base::ManualClock mClock;

  base::TimePoint Deadline() const { return mClock.Now() + seconds(1); }

public:
  // Guards against a page that does not report that older records expired.
  void ReadStartsAtTheFirstRetainedRecord()
  {
    FakeLog log(mClock, { 2, seconds(10) });
    for (const auto* it : { "a", "b", "c" }) {
      CPPUNIT_ASSERT(log.Append("s", it, Deadline()));
    }
    const auto page = log.Read("s", 0, 10, Deadline()).value();
    CPPUNIT_ASSERT_EQUAL(platform::Offset{ 1 }, page.mFirstRetained);
    CPPUNIT_ASSERT_EQUAL(platform::Offset{ 3 }, page.mEnd);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, page.mRecords.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), page.mRecords[0].mPayload);
    mClock.Advance(seconds(10));
    const auto later = log.Read("s", 0, 10, Deadline()).value();
    CPPUNIT_ASSERT_EQUAL(platform::Offset{ 3 }, later.mFirstRetained);
    CPPUNIT_ASSERT(later.mRecords.empty());
  }

  // Guards against a fake that stores the record of a lost append or discards
  // the record whose answer was lost.
  void LostAnswerKeepsTheRecordAndLostAppendDoesNot()
  {
    FakeLog log(mClock);
    log.LoseNextAnswers(1);
    CPPUNIT_ASSERT(log.Append("s", "a", Deadline()).error().mKind ==
                   ErrorKind::AnswerLost);
    CPPUNIT_ASSERT_EQUAL(platform::Offset{ 1 }, log.EndOffset("s"));
    log.LoseNextAppends(1);
    CPPUNIT_ASSERT(log.Append("s", "b", Deadline()).error().mKind ==
                   ErrorKind::AnswerLost);
    CPPUNIT_ASSERT_EQUAL(platform::Offset{ 1 }, log.EndOffset("s"));
    log.SetAnswerDelay(seconds(2));
    CPPUNIT_ASSERT(log.Append("s", "c", Deadline()).error().mKind ==
                   ErrorKind::AnswerLost);
    CPPUNIT_ASSERT_EQUAL(platform::Offset{ 2 }, log.EndOffset("s"));
    log.SetDown(true);
    CPPUNIT_ASSERT(log.Append("s", "d", Deadline()).error().mKind ==
                   ErrorKind::LogUnavailable);
    CPPUNIT_ASSERT_EQUAL(platform::Offset{ 2 }, log.EndOffset("s"));
  }

  // Guards against a fake instance list that shows a change too early, or
  // never.
  void InstanceChangesBecomeVisibleAfterTheLag()
  {
    FakeInstanceList list(mClock);
    platform::InstanceInfo instance;
    instance.mName = "w1";
    list.Put(instance);
    list.SetLag(seconds(5));
    list.MarkLeaving("w1");
    CPPUNIT_ASSERT(list.Fetch(Deadline()).value().at(0).mState ==
                   platform::InstanceState::Live);
    mClock.Advance(seconds(5));
    CPPUNIT_ASSERT(list.Fetch(Deadline()).value().at(0).mState ==
                   platform::InstanceState::Leaving);
    list.SetLag(seconds(0));
    list.Remove("w1");
    CPPUNIT_ASSERT(list.Fetch(Deadline()).value().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeLogTest);

} // namespace

} // namespace skylarkhill::testing
