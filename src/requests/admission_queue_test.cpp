#include "skylarkhill/requests/admission_queue.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace skylarkhill::requests {

namespace {

using base::ErrorKind;
using std::chrono::milliseconds;

class AdmissionQueueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AdmissionQueueTest);
  CPPUNIT_TEST(OrdersByImportanceThenDeadline);
  CPPUNIT_TEST(RefusesWhatCannotStartInTime);
  CPPUNIT_TEST(ShedsTheLeastImportantWhenFull);
  CPPUNIT_TEST(DropsExpiredEntries);
  CPPUNIT_TEST(BoundsStandingRequests);
  CPPUNIT_TEST(BaselineKeepsArrivalOrder);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against important requests that wait behind less important ones.
  void OrdersByImportanceThenDeadline()
  {
    const auto queue = CreateDeadlineAdmissionQueue({});
    Offer(*queue, "late", 1, 300);
    Offer(*queue, "early", 1, 200);
    Offer(*queue, "important", 2, 900);
    CPPUNIT_ASSERT_EQUAL(std::string("important"), Take(*queue));
    CPPUNIT_ASSERT_EQUAL(std::string("early"), Take(*queue));
    CPPUNIT_ASSERT_EQUAL(std::string("late"), Take(*queue));
    CPPUNIT_ASSERT_EQUAL(std::string(), Take(*queue));
  }

  // Guards against requests that wait although they cannot start before their
  // deadline. With two slots and a service time of 100 ms, the third entry
  // waits 100 ms.
  void RefusesWhatCannotStartInTime()
  {
    const auto queue = CreateDeadlineAdmissionQueue({});
    queue->SetConcurrency(2);
    queue->RecordServiceTime(milliseconds(100));
    Offer(*queue, "a", 1, 1000);
    Offer(*queue, "b", 1, 1000);
    CPPUNIT_ASSERT(queue->ExpectedWait(2) == milliseconds(100));
    CPPUNIT_ASSERT(!Offer(*queue, "c", 0, 99));
    CPPUNIT_ASSERT(Offer(*queue, "d", 0, 101));
    // Entries behind the new one do not count.
    CPPUNIT_ASSERT(Offer(*queue, "e", 2, 99));
  }

  void ShedsTheLeastImportantWhenFull()
  {
    const auto queue = CreateDeadlineAdmissionQueue({ 2, 1 });
    Offer(*queue, "low", 1, 100);
    Offer(*queue, "high", 3, 100);
    CPPUNIT_ASSERT(!Offer(*queue, "equal", 1, 100));
    CPPUNIT_ASSERT(Offer(*queue, "middle", 2, 100));
    const auto dropped = queue->TakeDropped();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, dropped.size());
    CPPUNIT_ASSERT_EQUAL(std::string("low"), dropped[0].mEntry.mRequest.mValue);
    CPPUNIT_ASSERT(dropped[0].mError.mKind == ErrorKind::Overloaded);
    CPPUNIT_ASSERT(queue->TakeDropped().empty());
  }

  // Guards against starting requests whose caller no longer waits, and against
  // expired entries that are removed without being reported.
  void DropsExpiredEntries()
  {
    const auto queue = CreateDeadlineAdmissionQueue({});
    Offer(*queue, "short", 5, 10);
    Offer(*queue, "long", 1, 100);
    mClock.Advance(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("long"), Take(*queue));
    const auto dropped = queue->TakeDropped();
    CPPUNIT_ASSERT(dropped.at(0).mError.mKind == ErrorKind::DeadlineExceeded);
    CPPUNIT_ASSERT(!Offer(*queue, "past", 1, 0));
  }

  // Guards against standing requests that occupy all threads and connections.
  void BoundsStandingRequests()
  {
    const auto queue = CreateDeadlineAdmissionQueue({ 10, 2 });
    CPPUNIT_ASSERT(Offer(*queue, "s1", 1, 1000, true));
    CPPUNIT_ASSERT(Offer(*queue, "s2", 1, 1000, true));
    CPPUNIT_ASSERT(!Offer(*queue, "s3", 9, 1000, true));
    CPPUNIT_ASSERT(Offer(*queue, "normal", 0, 1000));
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), Take(*queue));
    CPPUNIT_ASSERT(!Offer(*queue, "s3", 9, 1000, true));
    queue->ReleaseStanding();
    CPPUNIT_ASSERT(Offer(*queue, "s3", 9, 1000, true));
    CPPUNIT_ASSERT(queue->Remove({ "s3" }) && !queue->Remove({ "s3" }));
    CPPUNIT_ASSERT(Offer(*queue, "s4", 9, 1000, true));
  }

  void BaselineKeepsArrivalOrder()
  {
    const auto queue = CreateFifoAdmissionQueue({ 2, 1 });
    Offer(*queue, "first", 1, 1000);
    Offer(*queue, "second", 9, 10);
    CPPUNIT_ASSERT(!Offer(*queue, "third", 99, 1000));
    CPPUNIT_ASSERT_EQUAL(std::string("first"), Take(*queue));
  }

private:
  bool Offer(AdmissionQueue& aQueue,
             const char* aName,
             std::int64_t aImportance,
             std::int64_t aMillis,
             bool aStanding = false)
  {
    const base::TimePoint deadline = mClock.Now() + milliseconds(aMillis);
    return aQueue
      .Offer({ { aName }, aImportance, deadline, aStanding }, mClock.Now())
      .has_value();
  }
  std::string Take(AdmissionQueue& aQueue)
  {
    const auto entry = aQueue.Take(mClock.Now());
    return entry ? entry->mRequest.mValue : std::string();
  }

  base::ManualClock mClock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);

} // namespace

} // namespace skylarkhill::requests
