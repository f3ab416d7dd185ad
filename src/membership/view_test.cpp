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
  CPPUNIT_TEST(SuspectsASilentPeerUntilItReturns);
  CPPUNIT_TEST(PeerAbsentFromTheListStaysUsable);
  CPPUNIT_TEST(LeavingIsStickyPerIncarnation);
  CPPUNIT_TEST(OneAnnouncementReachesOtherViews);
  CPPUNIT_TEST(MarksDieOutAmongPeers);
  CPPUNIT_TEST(ReturnedWorkerIsNotMarkedByALaggingPeer);
  CPPUNIT_TEST(ReportsAbsenceOfAWorker);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests forwarded to a dead peer, and against a live one
  // that is lost for good after a few lost heartbeats.
  void SuspectsASilentPeerUntilItReturns()
  {
    View view = MakeView(kSelf);
    view.OnList({ Entry(kPeer, InstanceState::Live) }, At(0));
    CPPUNIT_ASSERT(view.IsLive(kPeer, At(0)));
    view.OnHeartbeat(Beat(1), At(100));
    CPPUNIT_ASSERT(view.IsLive(kPeer, At(1599)));
    CPPUNIT_ASSERT(!view.IsLive(kPeer, At(1600)));
    CPPUNIT_ASSERT(view.PreferredHolder(kWorker, At(1600)) == std::nullopt);
    view.OnHeartbeat(Beat(1), At(1700));
    CPPUNIT_ASSERT(view.IsLive(kPeer, At(1700)));
  }

  // Guards against a domain that stops because the platform forgot it.
  void PeerAbsentFromTheListStaysUsable()
  {
    View view = MakeView(kSelf);
    view.OnList({}, At(0));
    Heartbeat beat = Beat(1);
    beat.mHeldWorkers = { kWorker };
    view.OnHeartbeat(beat, At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         view.LiveEntries(kDomain, At(1)).size());
    CPPUNIT_ASSERT(view.ReportedHolder(kWorker, At(1)) == kPeer);
    CPPUNIT_ASSERT(view.IsEligible(kWorker, At(1)));
    CPPUNIT_ASSERT(view.PreferredHolder(kWorker, At(1)).has_value());
    CPPUNIT_ASSERT(!view.IsEligible(kWorker, At(1500)));
  }

  // Guards against a stale list or heartbeat that makes a leaving instance
  // eligible again, and against a restarted one that stays excluded.
  void LeavingIsStickyPerIncarnation()
  {
    View view = MakeView(kSelf);
    view.OnHeartbeat(Beat(1), At(0));
    view.OnList({ Entry(kPeer, InstanceState::Leaving) }, At(1));
    view.OnList({ Entry(kPeer, InstanceState::Live) }, At(2));
    view.OnHeartbeat(Beat(1), At(3));
    CPPUNIT_ASSERT(!view.IsLive(kPeer, At(3)));
    view.OnHeartbeat(Beat(2), At(4));
    CPPUNIT_ASSERT(view.IsLive(kPeer, At(4)));
    view.OnHeartbeat(Beat(1), At(5));
    CPPUNIT_ASSERT(view.IsLive(kPeer, At(5)));
  }

  // Guards against an endpoint that still gets work from instances to which
  // it did not announce its leave (P7).
  void OneAnnouncementReachesOtherViews()
  {
    View told = MakeView(kPeer);
    told.OnWorkerEvidence(kWorker, kDomain, true, At(0));
    told.LeaveSelf(At(0));
    View view = MakeView(kSelf);
    view.OnList({ Worker() }, At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         view.EligibleWorkers(kDomain, At(0)).size());
    Heartbeat beat = Beat(1);
    beat.mLeaving = told.LeavingMarks(At(1));
    view.OnHeartbeat(beat, At(1));
    CPPUNIT_ASSERT(!view.IsEligible(kWorker, At(1)));
    CPPUNIT_ASSERT(!view.IsLive(kPeer, At(1)));
    view.OnWorkerEvidence(kWorker, kDomain, false, At(2));
    CPPUNIT_ASSERT(!view.IsEligible(kWorker, At(2)));
  }

  // Guards against marks that peers renew for one another forever.
  void MarksDieOutAmongPeers()
  {
    View one = MakeView(kSelf);
    View two = MakeView(kPeer);
    one.OnLeavingNotice({ "entry-9" }, 1, At(0));
    for (int n = 1; n <= 70; ++n) {
      const base::TimePoint now = At(n * 60'000);
      Heartbeat beat = Beat(1);
      beat.mLeaving = one.LeavingMarks(now);
      two.OnHeartbeat(beat, now);
      beat.mLeaving = two.LeavingMarks(now);
      one.OnHeartbeat(beat, now);
      one.Prune(now);
      two.Prune(now);
    }
    CPPUNIT_ASSERT(one.LeavingMarks(At(70 * 60'000)).empty());
    CPPUNIT_ASSERT(two.LeavingMarks(At(70 * 60'000)).empty());
  }

  // Guards against a replaced worker that stays idle for an hour.
  void ReturnedWorkerIsNotMarkedByALaggingPeer()
  {
    View view = MakeView(kSelf);
    View lagging = MakeView(kPeer);
    view.OnList({ Worker() }, At(0));
    view.OnWorkerEvidence(kWorker, kDomain, true, At(0));
    lagging.OnWorkerEvidence(kWorker, kDomain, true, At(0));
    view.OnList({}, At(1000));
    view.OnList({ Worker() }, At(2000));
    CPPUNIT_ASSERT(view.IsEligible(kWorker, At(2000)));
    Heartbeat beat = Beat(1);
    beat.mLeaving = lagging.LeavingMarks(At(2100));
    view.OnHeartbeat(beat, At(2100));
    CPPUNIT_ASSERT(view.IsEligible(kWorker, At(2100)));
  }

  // Guards against attempts that are ended as lost too early, or never after
  // a restart of this instance.
  void ReportsAbsenceOfAWorker()
  {
    View view = MakeView(kSelf);
    CPPUNIT_ASSERT(!view.AbsentSince(kWorker));
    view.OnList({ Worker() }, At(0));
    CPPUNIT_ASSERT(!view.AbsentSince(kWorker));
    view.OnList({}, At(10));
    view.OnList({}, At(20));
    CPPUNIT_ASSERT(view.AbsentSince(kWorker) == At(10));
    CPPUNIT_ASSERT(view.AbsentSince({ "worker-9" }) == At(0));
    view.OnList({ Worker() }, At(30));
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

  static InstanceInfo Entry(const base::InstanceId& aId, InstanceState aState)
  {
    InstanceInfo entry;
    entry.mName = aId.mValue;
    entry.mRole = InstanceRole::Entry;
    entry.mState = aState;
    entry.mDomain = kDomain;
    return entry;
  }

  static InstanceInfo Worker()
  {
    InstanceInfo entry;
    entry.mName = kWorker.mValue;
    entry.mDomain = kDomain;
    return entry;
  }

  static Heartbeat Beat(std::uint64_t aIncarnation)
  {
    Heartbeat beat;
    beat.mInstance = kPeer;
    beat.mIncarnation = aIncarnation;
    beat.mDomain = kDomain;
    return beat;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewTest);

} // namespace

} // namespace skylarkhill::membership
