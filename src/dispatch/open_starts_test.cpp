#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "open_starts.hpp"

namespace skylarkhill::dispatch {

namespace {

OpenStart
MakeStart(const std::string& aWorkerId, int aRunNumber, int aCopies)
{
  OpenStart start;
  start.mWorkerId = aWorkerId;
  start.mTask = { "a", 0, 0, 0 };
  start.mRunNumber = aRunNumber;
  start.mCopies = aCopies;
  start.mOpenUntil = base::TimePoint{} + std::chrono::seconds(aRunNumber);
  return start;
}

} // namespace

class OpenStartsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OpenStartsTest);
  CPPUNIT_TEST(CountsTheAnswersOfEachRun);
  CPPUNIT_TEST(DropsTheOldestBeyondTheLimit);
  CPPUNIT_TEST(RemovesExpiredEntries);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against stops of starts that have all been answered, and against a
  // start that is forgotten with the answer to another copy.
  void CountsTheAnswersOfEachRun()
  {
    OpenStarts starts;
    starts.Add(MakeStart("w1", 1, 2));
    starts.Add(MakeStart("w1", 2, 1));
    starts.Add(MakeStart("w2", 1, 1));
    const TaskId task = { "a", 0, 0, 0 };
    starts.ChangeCopies("w1", task, 1, -1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, starts.ListOf("w1").size());
    starts.ChangeCopies("w1", task, 1, -1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, starts.ListOf("w1").size());
    CPPUNIT_ASSERT(starts.Find("w1", task, 1) == nullptr);
    CPPUNIT_ASSERT(!starts.Take("w1", task, 1));
    CPPUNIT_ASSERT_EQUAL(1, starts.Take("w2", task, 1)->mCopies);
    CPPUNIT_ASSERT(starts.ListOf("w2").empty());
  }

  // Guards against memory that grows with the starts without an answer.
  void DropsTheOldestBeyondTheLimit()
  {
    OpenStarts starts;
    std::size_t dropped = 0;
    for (std::size_t n = 0; n < OpenStarts::kMaxCount + 2; ++n) {
      dropped += starts.Add(
        MakeStart("w" + std::to_string(n), static_cast<int>(n) + 1, 1));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, dropped);
    CPPUNIT_ASSERT(starts.ListOf("w1").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, starts.ListOf("w2").size());
  }

  // Guards against stops of starts that can no longer be carried out.
  void RemovesExpiredEntries()
  {
    OpenStarts starts;
    starts.Add(MakeStart("w1", 1, 1));
    starts.Add(MakeStart("w1", 2, 1));
    starts.RemoveExpired(base::TimePoint{} + std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, starts.ListOf("w1").size());
    CPPUNIT_ASSERT_EQUAL(2, starts.ListOf("w1").front()->mRunNumber);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenStartsTest);

} // namespace skylarkhill::dispatch
