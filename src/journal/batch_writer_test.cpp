#include "skylarkhill/journal/batch_writer.hpp"
#include "skylarkhill/journal/record_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::journal {

namespace {

using std::chrono::milliseconds;

class BatchWriterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BatchWriterTest);
  CPPUNIT_TEST(AppendIntervalGrowsWithTheInstances);
  CPPUNIT_TEST(RetriesTheSameBatchUntilItsDeadlines);
  CPPUNIT_TEST(ReadsBeforeRetryingALostAppend);
  CPPUNIT_TEST(ReportsALostAppendAsAnswerLost);
  CPPUNIT_TEST(FinishesWhenACopyIsReadDuringARetry);
  CPPUNIT_TEST(LimitsTheQueueAndTheBatch);
  CPPUNIT_TEST(BatchPositionIsTheMinimumOfItsSubmissions);
  CPPUNIT_TEST_SUITE_END();

public:
  void Add(Ticket aTicket, milliseconds aDeadline = milliseconds(1000))
  {
    CPPUNIT_ASSERT(
      mWriter.Add(aTicket, { "record" }, { 5, 2 }, At(aDeadline)).has_value());
  }

  std::optional<AppendAction> Start(milliseconds aNow)
  {
    return mWriter.StartAppend(At(aNow), 0);
  }

  static base::TimePoint At(milliseconds aTime)
  {
    return base::TimePoint(aTime);
  }

  base::ErrorKind TakeOnlyFailure()
  {
    const auto results = mWriter.TakeResults();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), results.size());
    CPPUNIT_ASSERT(results[0].mOffset.has_error());
    return results[0].mOffset.error().mKind;
  }

  // Guards against a total append rate that grows with the number of instances,
  // and against delaying the first append after an idle time.
  void AppendIntervalGrowsWithTheInstances()
  {
    mWriter.SetLiveInstances(30);
    Add(1);
    CPPUNIT_ASSERT(Start(milliseconds(0)).has_value());
    Add(2);
    CPPUNIT_ASSERT_MESSAGE("one append at a time",
                           !Start(milliseconds(500)).has_value());
    mWriter.OnAppended(7);
    CPPUNIT_ASSERT(Start(milliseconds(100)).has_value());
    mWriter.OnAppended(8);
    Add(3);
    CPPUNIT_ASSERT(mWriter.NextWakeUp() == At(milliseconds(200)));
    CPPUNIT_ASSERT(!Start(milliseconds(199)).has_value());
    Add(4);
    CPPUNIT_ASSERT(Start(milliseconds(200)).has_value());
    mWriter.OnAppended(9);
    const auto results = mWriter.TakeResults();
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), results.size());
    CPPUNIT_ASSERT_EQUAL(Offset(9), results[3].mOffset.value());
    CPPUNIT_ASSERT(mWriter.IsIdle());
  }

  // Guards against records that are abandoned before their deadline, or
  // reported as AnswerLost although nothing was written.
  void RetriesTheSameBatchUntilItsDeadlines()
  {
    Add(1, milliseconds(300));
    Add(2, milliseconds(900));
    const auto first = Start(milliseconds(0));
    mWriter.OnUnavailable(At(milliseconds(10)));
    CPPUNIT_ASSERT(!Start(milliseconds(20)).has_value());
    const auto second = Start(milliseconds(60));
    CPPUNIT_ASSERT(second->mPayload == first->mPayload);
    mWriter.OnUnavailable(At(milliseconds(400)));
    CPPUNIT_ASSERT(TakeOnlyFailure() == base::ErrorKind::LogUnavailable);
    const auto third = Start(milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         DecodeBatch(third->mPayload).value().mRecords.size());
    mWriter.OnUnavailable(At(milliseconds(900)));
    CPPUNIT_ASSERT(TakeOnlyFailure() == base::ErrorKind::LogUnavailable);
    CPPUNIT_ASSERT(mWriter.IsIdle());
  }

  // Guards against appending a batch twice, or dropping it, because of a read
  // that was issued before the answer was lost.
  void ReadsBeforeRetryingALostAppend()
  {
    Add(1);
    const auto first = Start(milliseconds(0));
    mWriter.OnAnswerLost(At(milliseconds(100)));
    mWriter.OnCaughtUp(At(milliseconds(100)));
    CPPUNIT_ASSERT(mWriter.IsResolving());
    CPPUNIT_ASSERT(!Start(milliseconds(200)).has_value());
    mWriter.OnCaughtUp(At(milliseconds(101)));
    const auto second = Start(milliseconds(200));
    CPPUNIT_ASSERT(second->mPayload == first->mPayload);
    mWriter.OnAnswerLost(At(milliseconds(300)));
    mWriter.OnRead(first->mSequence, 12);
    const auto results = mWriter.TakeResults();
    CPPUNIT_ASSERT_EQUAL(Offset(12), results.at(0).mOffset.value());
    CPPUNIT_ASSERT(!Start(milliseconds(500)).has_value());
  }

  // Guards against reporting a record as not written while a delayed copy of it
  // can still reach the stream.
  void ReportsALostAppendAsAnswerLost()
  {
    Add(1, milliseconds(500));
    Start(milliseconds(0));
    mWriter.OnAnswerLost(At(milliseconds(100)));
    mWriter.OnCaughtUp(At(milliseconds(200)));
    Start(milliseconds(300));
    mWriter.OnUnavailable(At(milliseconds(600)));
    CPPUNIT_ASSERT(TakeOnlyFailure() == base::ErrorKind::AnswerLost);
    Add(2, milliseconds(900));
    Start(milliseconds(700));
    mWriter.OnAnswerLost(At(milliseconds(950)));
    CPPUNIT_ASSERT(TakeOnlyFailure() == base::ErrorKind::AnswerLost);
    Add(3, milliseconds(2000));
    CPPUNIT_ASSERT_MESSAGE("not resolved yet",
                           !Start(milliseconds(1000)).has_value());
    mWriter.OnCaughtUp(At(milliseconds(1001)));
    CPPUNIT_ASSERT(Start(milliseconds(1002)).has_value());
  }

  void FinishesWhenACopyIsReadDuringARetry()
  {
    Add(1);
    const auto first = Start(milliseconds(0));
    mWriter.OnAnswerLost(At(milliseconds(10)));
    mWriter.OnCaughtUp(At(milliseconds(20)));
    Start(milliseconds(30));
    mWriter.OnRead(first->mSequence, 4);
    mWriter.OnUnavailable(At(milliseconds(40)));
    CPPUNIT_ASSERT_EQUAL(Offset(4),
                         mWriter.TakeResults().at(0).mOffset.value());
    CPPUNIT_ASSERT(mWriter.IsIdle());
  }

  void LimitsTheQueueAndTheBatch()
  {
    const auto deadline = At(milliseconds(1000));
    CPPUNIT_ASSERT(
      mWriter.Add(1, { std::string(101, 'x') }, {}, deadline).error().mKind ==
      base::ErrorKind::PayloadTooLarge);
    for (Ticket i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(
        mWriter.Add(i, { std::string(60, 'x') }, {}, deadline).has_value());
    }
    CPPUNIT_ASSERT(mWriter.Add(9, { "x" }, {}, deadline).error().mKind ==
                   base::ErrorKind::Overloaded);
    Start(milliseconds(0));
    mWriter.OnAppended(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), mWriter.QueuedRecords());
    mWriter.Expire(deadline);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), mWriter.QueuedRecords());
  }

  void BatchPositionIsTheMinimumOfItsSubmissions()
  {
    const auto deadline = At(milliseconds(1000));
    CPPUNIT_ASSERT(mWriter.Add(1, { "a" }, { 9, 2 }, deadline).has_value());
    CPPUNIT_ASSERT(mWriter.Add(2, { "b" }, { 7, 4 }, deadline).has_value());
    const auto batch = DecodeBatch(Start(milliseconds(0))->mPayload).value();
    CPPUNIT_ASSERT_EQUAL(Offset(7), batch.mPosition.mAppliedThrough);
    CPPUNIT_ASSERT_EQUAL(Offset(2), batch.mPosition.mFirstRetained);
  }

private:
  BatchWriter mWriter{ { "w", 300, 5, 100 } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchWriterTest);

} // namespace

} // namespace skylarkhill::journal
