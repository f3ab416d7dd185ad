#include "skylarkhill/timeline/merge.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace skylarkhill::timeline {

namespace {

Event
MakeEvent(EventKind aKind, const std::string& aTask, const std::string& aWorker)
{
  Event event;
  event.mKind = aKind;
  event.mTask.mValue = aTask;
  event.mWorker.mValue = aWorker;
  event.mAttempt = 1;
  return event;
}

/// An instance whose wall clock is `aOffsetSeconds` ahead.
struct Instance
{
  Instance(const std::string& aName,
           const base::Clock& aClock,
           int aOffsetSeconds)
    : mClock(aClock, std::chrono::seconds(aOffsetSeconds))
    , mTimeline({ aName }, 4, mClock)
  {
  }

  HybridLogicalClock mClock;
  Timeline mTimeline;
};

class TimelineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TimelineTest);
  CPPUNIT_TEST(OrdersCauseBeforeEffect);
  CPPUNIT_TEST(DropsOldestEvents);
  CPPUNIT_TEST(RoundTripsExports);
  CPPUNIT_TEST(FiltersAndDropsDuplicates);
  CPPUNIT_TEST(NamesEveryKind);
  CPPUNIT_TEST(FormatsTextAndChromeTrace);
  CPPUNIT_TEST(RecordsFromManyThreads);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against ordering events by the wall clocks of the instances, which
  // differ.
  void OrdersCauseBeforeEffect()
  {
    base::ManualClock clock;
    Instance ahead("ahead", clock, 60);
    Instance behind("behind", clock, 0);
    ahead.mTimeline.Record(MakeEvent(EventKind::AttemptGranted, "t", "w"));
    behind.mClock.Observe(ahead.mClock.Tick());
    clock.Advance(std::chrono::milliseconds(5));
    behind.mTimeline.Record(MakeEvent(EventKind::AttemptStarted, "t", "w"));
    ahead.mClock.Observe(behind.mClock.Tick());
    ahead.mTimeline.Record(MakeEvent(EventKind::AttemptEnded, "t", "w"));
    const auto events =
      Merge({ behind.mTimeline.Export(), ahead.mTimeline.Export() });
    CPPUNIT_ASSERT(events[0].mEvent.mKind == EventKind::AttemptGranted);
    CPPUNIT_ASSERT(events[1].mEvent.mKind == EventKind::AttemptStarted);
    CPPUNIT_ASSERT(events[2].mEvent.mKind == EventKind::AttemptEnded);
  }

  // Guards against a buffer that grows without bound or does not count the
  // events that it drops.
  void DropsOldestEvents()
  {
    base::ManualClock clock;
    Instance one("one", clock, 0);
    for (int i = 0; i < 6; ++i) {
      one.mTimeline.Record(
        MakeEvent(EventKind::TaskAccepted, std::to_string(i), ""));
    }
    const auto result = one.mTimeline.Export();
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), result.mDropped);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), result.mEvents.size());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), result.mEvents[0].mTask.mValue);
    CPPUNIT_ASSERT(result.mEvents[0].mTime < result.mEvents[1].mTime);
  }

  void RoundTripsExports()
  {
    base::ManualClock clock;
    Instance one("one", clock, 0);
    Event event = MakeEvent(EventKind::RequestSent, "", "w");
    event.mRequest.mValue = "r";
    event.mDomain.mValue = "d";
    event.mDetail = "a \"quoted\"\ntext";
    one.mTimeline.Record(event);
    const std::string text = FormatExport(one.mTimeline.Export());
    const auto parsed = ParseExport(text);
    CPPUNIT_ASSERT(parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(text, FormatExport(parsed.value()));
    CPPUNIT_ASSERT_EQUAL(event.mDetail, parsed.value().mEvents[0].mDetail);
    for (const char* it :
         { "",
           "{}",
           R"({"instance":"a","dropped":0,"events":3})",
           R"({"instance":"a","dropped":0,"events":[{"kind":"nothing",)"
           R"("wall_us":1,"logical":0}]})" }) {
      CPPUNIT_ASSERT_MESSAGE(it, ParseExport(it).has_error());
    }
  }

  // Guards against events that appear twice when one instance has been queried
  // twice.
  void FiltersAndDropsDuplicates()
  {
    base::ManualClock clock;
    Instance one("one", clock, 0);
    one.mTimeline.Record(MakeEvent(EventKind::AttemptStarted, "t", "w"));
    one.mTimeline.Record(MakeEvent(EventKind::AttemptStarted, "u", "w"));
    EventFilter filter;
    filter.mTask.mValue = "u";
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         one.mTimeline.Export(filter).mEvents.size());
    const auto all = one.mTimeline.Export();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Merge({ all, all }).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Merge({ all, all }, filter).size());
    filter.mWorker.mValue = "x";
    CPPUNIT_ASSERT(Merge({ all }, filter).empty());
  }

  // Guards against a kind without a name: ParseExport would reject its events.
  void NamesEveryKind()
  {
    const int last = static_cast<int>(EventKind::DrainCompleted);
    for (int i = 0; i <= last; ++i) {
      const auto kind = static_cast<EventKind>(i);
      CPPUNIT_ASSERT(ParseEventKind(NameOf(kind)) == kind);
    }
  }

  // Guards against line breaks in ids and details, with which a caller could
  // forge events in the text output.
  void FormatsTextAndChromeTrace()
  {
    base::ManualClock clock;
    Instance one("one", clock, 0);
    clock.Set(base::FromMicros(1'000'000'000'000'001));
    Event event = MakeEvent(EventKind::AttemptStarted, "t", "w");
    event.mDetail = "line\nbreak";
    one.mTimeline.Record(event);
    one.mTimeline.Record(MakeEvent(EventKind::AttemptEnded, "t", "w"));
    one.mTimeline.Record(MakeEvent(EventKind::BreakerOpened, "", "v 1\n"));
    const auto events = Merge({ one.mTimeline.Export() });
    CPPUNIT_ASSERT_EQUAL(
      std::string(
        "2001-09-09T01:46:40.000001Z+0 one attempt_started task=t attempt=1 "
        "worker=w detail=\"line break\"\n"
        "2001-09-09T01:46:40.000001Z+1 one attempt_ended task=t attempt=1 "
        "worker=w\n"
        "2001-09-09T01:46:40.000001Z+2 one breaker_opened attempt=1 "
        "worker=\"v 1 \"\n"),
      FormatText(events));

    const auto trace = base::ParseJson(FormatChromeTrace(events));
    CPPUNIT_ASSERT(trace.has_value());
    base::JsonReader reader(trace.value());
    std::string phases;
    for (const auto& it : *reader.GetMember("traceEvents")) {
      phases += base::JsonReader(it).GetString("ph");
    }
    CPPUNIT_ASSERT_EQUAL(std::string("MMbeMi"), phases);
  }

  // Guards against equal timestamps of two events, one of which Merge would
  // drop as a duplicate.
  void RecordsFromManyThreads()
  {
    constexpr std::size_t kThreads = 4;
    constexpr std::size_t kEvents = 500;
    base::ManualClock clock;
    HybridLogicalClock logicalClock(clock, {});
    Timeline timeline({ "one" }, kThreads * kEvents, logicalClock);
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (std::size_t i = 0; i < kThreads; ++i) {
      threads.emplace_back([&timeline] {
        for (std::size_t n = 0; n < kEvents; ++n) {
          timeline.Record(MakeEvent(EventKind::TaskAccepted, "t", ""));
        }
      });
    }
    for (auto& it : threads) {
      it.join();
    }
    CPPUNIT_ASSERT_EQUAL(kThreads * kEvents,
                         Merge({ timeline.Export() }).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimelineTest);

} // namespace

} // namespace skylarkhill::timeline
