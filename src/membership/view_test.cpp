#include "skylarkhill/membership/view.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::membership {

namespace {

using platform::InstanceInfo;
using platform::InstanceRole;
using platform::InstanceState;
using std::chrono::milliseconds;

const base::DomainId kDomain{ "kochi" };
const base::InstanceId kSelf{ "entry-1" };
const base::InstanceId kPeer{ "entry-2" };
const base::WorkerId kWorker{ "worker-1" };

class ViewTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ViewTest);
  CPPUNIT_TEST(SuspectsASilentPeerUntilItsNextHeartbeat);
  CPPUNIT_TEST(UnlistedPeerStaysLiveThroughHeartbeats);
  CPPUNIT_TEST(LeavingLastsUntilTheNextIncarnation);
  CPPUNIT_TEST(HeartbeatsSpreadLeavingNotices);
  CPPUNIT_TEST(LeavingNoticesExpireAmongPeers);
  CPPUNIT_TEST(ReturnedWorkerIgnoresOutdatedLeavingNotices);
  CPPUNIT_TEST(ReportsAbsenceOfAWorker);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests that are forwarded to a failed peer, and against a
  // live peer that stays excluded after a few lost heartbeats.
  void SuspectsASilentPeerUntilItsNextHeartbeat()
  {
    View view = MakeView(kSelf);
    view.OnList({ MakeEntry(kPeer, InstanceState::Live) }, At(0));
    CPPUNIT_ASSERT(view.IsLive(kPeer, At(0)));
    view.OnHeartbeat(MakeHeartbeat(1), At(100));
    CPPUNIT_ASSERT(view.IsLive(kPeer, At(1599)));
    CPPUNIT_ASSERT(!view.IsLive(kPeer, At(1600)));
    CPPUNIT_ASSERT(view.PreferredHolder(kWorker, At(1600)) == std::nullopt);
    view.OnHeartbeat(MakeHeartbeat(1), At(1700));
    CPPUNIT_ASSERT(view.IsLive(kPeer, At(1700)));
  }

  // Guards against a domain that stops because its instances are missing from
  // the platform's list.
  void UnlistedPeerStaysLiveThroughHeartbeats()
  {
    View view = MakeView(kSelf);
    view.OnList({}, At(0));
    Heartbeat heartbeat = MakeHeartbeat(1);
    heartbeat.mHeldWorkers = { kWorker };
    view.OnHeartbeat(heartbeat, At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         view.LiveEntryInstances(kDomain, At(1)).size());
    CPPUNIT_ASSERT(view.ReportedHolder(kWorker, At(1)) == kPeer);
    CPPUNIT_ASSERT(view.IsEligible(kWorker, At(1)));
    CPPUNIT_ASSERT(view.PreferredHolder(kWorker, At(1)).has_value());
    CPPUNIT_ASSERT(!view.IsEligible(kWorker, At(1500)));
  }

  // Guards against a stale list or heartbeat that makes a leaving instance
  // eligible again, and against a restarted instance that stays excluded.
  void LeavingLastsUntilTheNextIncarnation()
  {
    View view = MakeView(kSelf);
    view.OnHeartbeat(MakeHeartbeat(1), At(0));
    view.OnList({ MakeEntry(kPeer, InstanceState::Leaving) }, At(1));
    view.OnList({ MakeEntry(kPeer, InstanceState::Live) }, At(2));
    view.OnHeartbeat(MakeHeartbeat(1), At(3));
    CPPUNIT_ASSERT(!view.IsLive(kPeer, At(3)));
    view.OnHeartbeat(MakeHeartbeat(2), At(4));
    CPPUNIT_ASSERT(view.IsLive(kPeer, At(4)));
    view.OnHeartbeat(MakeHeartbeat(1), At(5));
    CPPUNIT_ASSERT(view.IsLive(kPeer, At(5)));
  }

  // Guards against an endpoint that still gets work from instances that it did
  // not tell that it is leaving.
  void HeartbeatsSpreadLeavingNotices()
  {
    View notified = MakeView(kPeer);
    notified.OnWorkerPolled(kWorker, kDomain, true, At(0));
    notified.MarkSelfLeaving(At(0));
    View view = MakeView(kSelf);
    view.OnList({ MakeWorkerEntry() }, At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         view.EligibleWorkers(kDomain, At(0)).size());
    Heartbeat heartbeat = MakeHeartbeat(1);
    heartbeat.mLeaving = notified.LeavingNotices(At(1));
    view.OnHeartbeat(heartbeat, At(1));
    CPPUNIT_ASSERT(!view.IsEligible(kWorker, At(1)));
    CPPUNIT_ASSERT(!view.IsLive(kPeer, At(1)));
    view.OnWorkerPolled(kWorker, kDomain, false, At(2));
    CPPUNIT_ASSERT(!view.IsEligible(kWorker, At(2)));
  }

  // Guards against leaving notices that peers extend for one another forever.
  void LeavingNoticesExpireAmongPeers()
  {
    View first = MakeView(kSelf);
    View second = MakeView(kPeer);
    first.OnLeavingNotice({ "entry-9" }, 1, At(0));
    for (int minute = 1; minute <= 70; ++minute) {
      const base::TimePoint now = At(minute * 60'000);
      Heartbeat heartbeat = MakeHeartbeat(1);
      heartbeat.mLeaving = first.LeavingNotices(now);
      second.OnHeartbeat(heartbeat, now);
      heartbeat.mLeaving = second.LeavingNotices(now);
      first.OnHeartbeat(heartbeat, now);
      first.Prune(now);
      second.Prune(now);
    }
    CPPUNIT_ASSERT(first.LeavingNotices(At(70 * 60'000)).empty());
    CPPUNIT_ASSERT(second.LeavingNotices(At(70 * 60'000)).empty());
  }

  // Guards against a returned worker that gets no work for an hour, as a
  // lagging peer still sends its leaving notice.
  void ReturnedWorkerIgnoresOutdatedLeavingNotices()
  {
    View view = MakeView(kSelf);
    View lagging = MakeView(kPeer);
    view.OnList({ MakeWorkerEntry() }, At(0));
    view.OnWorkerPolled(kWorker, kDomain, true, At(0));
    lagging.OnWorkerPolled(kWorker, kDomain, true, At(0));
    view.OnList({}, At(1000));
    view.OnList({ MakeWorkerEntry() }, At(2000));
    CPPUNIT_ASSERT(view.IsEligible(kWorker, At(2000)));
    Heartbeat heartbeat = MakeHeartbeat(1);
    heartbeat.mLeaving = lagging.LeavingNotices(At(2100));
    view.OnHeartbeat(heartbeat, At(2100));
    CPPUNIT_ASSERT(view.IsEligible(kWorker, At(2100)));
  }

  // Guards against attempts that are ended as lost too early, or never if this
  // instance was restarted.
  void ReportsAbsenceOfAWorker()
  {
    View view = MakeView(kSelf);
    CPPUNIT_ASSERT(!view.AbsentSince(kWorker));
    view.OnList({ MakeWorkerEntry() }, At(0));
    CPPUNIT_ASSERT(!view.AbsentSince(kWorker));
    view.OnList({}, At(10));
    view.OnList({}, At(20));
    CPPUNIT_ASSERT(view.AbsentSince(kWorker) == At(10));
    CPPUNIT_ASSERT(view.AbsentSince({ "worker-9" }) == At(0));
    view.OnList({ MakeWorkerEntry() }, At(30));
    CPPUNIT_ASSERT(!view.AbsentSince(kWorker));
  }

private:
  static base::TimePoint At(int aMilliseconds)
  {
    return base::FromMicros(0) + milliseconds(aMilliseconds);
  }

  static View MakeView(const base::InstanceId& aSelf)
  {
    return View({ aSelf, 1, kDomain, "127.0.0.1", 1 }, {});
  }

  static InstanceInfo MakeEntry(const base::InstanceId& aId,
                                InstanceState aState)
  {
    InstanceInfo entry;
    entry.mName = aId.mValue;
    entry.mRole = InstanceRole::Entry;
    entry.mState = aState;
    entry.mDomain = kDomain;
    return entry;
  }

  static InstanceInfo MakeWorkerEntry()
  {
    InstanceInfo entry;
    entry.mName = kWorker.mValue;
    entry.mDomain = kDomain;
    return entry;
  }

  static Heartbeat MakeHeartbeat(std::uint64_t aIncarnation)
  {
    Heartbeat heartbeat;
    heartbeat.mInstance = kPeer;
    heartbeat.mIncarnation = aIncarnation;
    heartbeat.mDomain = kDomain;
    return heartbeat;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewTest);

} // namespace

} // namespace skylarkhill::membership
