#include "skylarkhill/base/msgpack.hpp"
#include "skylarkhill/jobs/job_codec.hpp"
#include "skylarkhill/node/job_service.hpp"
#include "skylarkhill/node/leadership.hpp"
#include "skylarkhill/node/route_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <tuple>

#include "fake_shared_log_test.hpp"

namespace skylarkhill::node {

using std::chrono::milliseconds;

namespace {

const LogStream kLeaderStream{ "leaders", 0 };
const LogStream kJournalStream{ "journal", 0 };

/// One candidate with its own access to the log.
struct Candidate
{
  Candidate(FakeLogState& aState,
            const base::Clock& aClock,
            const std::string& aName,
            double aProcessors = 0.25)
    : mName(aName)
    , mLog(aState)
    , mLeadership(mLog, aClock, kLeaderStream, aName, aProcessors)
  {
  }

  const std::string mName;
  FakeSharedLog mLog;
  Leadership mLeadership;
};

/// Time in which a candidate reads a resignation and claims.
constexpr milliseconds kNamedClaimTime{ 100 };

Route
MakeRoute(const std::string& aHost,
          const std::string& aPrefix,
          const std::string& aQueue)
{
  Route route;
  route.mHost = aHost;
  route.mPathPrefix = aPrefix;
  route.mPolicy.mQueue = aQueue;
  return route;
}

} // namespace

class NodeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(NodeTest);
  CPPUNIT_TEST(ElectsOneLeader);
  CPPUNIT_TEST(ReplacesAnUnreachableLeader);
  CPPUNIT_TEST(KeepsTheLeaderDuringALogOutage);
  CPPUNIT_TEST(KeepsTheLeaderWhenResponsesAreLost);
  CPPUNIT_TEST(ReplacesAResignedLeaderAtOnce);
  CPPUNIT_TEST(RenewsRightAfterARequestedTime);
  CPPUNIT_TEST(ReplacesLeadersThatResignRightAfterTheirClaims);
  CPPUNIT_TEST(ReplacesACandidateThatStopsDuringItsClaim);
  CPPUNIT_TEST(LetsANamedCandidateClaimAtOnce);
  CPPUNIT_TEST(LetsTheNextNamedCandidateClaimIfTheFirstIsDead);
  CPPUNIT_TEST(LetsTheOthersClaimIfNoNamedCandidateDoes);
  CPPUNIT_TEST(NamesASuccessorIfItStopsDuringItsClaim);
  CPPUNIT_TEST(LetsNamedCandidatesClaimBeforeLargeOnes);
  CPPUNIT_TEST(ClaimsAfterTheOtherNamedOnesIfItLeadsAnotherCell);
  CPPUNIT_TEST(ClaimsAtOnceIfNobodyElseIsNamed);
  CPPUNIT_TEST(KnowsWhoHasLeft);
  CPPUNIT_TEST(NamesAnInstanceAgainThatWasReplacedLongAgo);
  CPPUNIT_TEST(ReadsLeaderRecordsOfOtherVersions);
  CPPUNIT_TEST(WakesWhenItsClaimIsDue);
  CPPUNIT_TEST(ClaimsInVainOnceAChangeOfTheLeaderAtMost);
  CPPUNIT_TEST(ClaimsOnceBeforeItHasReadWhoLeads);
  CPPUNIT_TEST(PrefersTheMostProcessorsAfterAResignation);
  CPPUNIT_TEST(FollowsALeaderWithOneReadARenewal);
  CPPUNIT_TEST(CountsTheFullLeaseOfAResignedLeader);
  CPPUNIT_TEST(CountsTheLeasesOfItsOwnEarlierTerm);
  CPPUNIT_TEST(CountsItsLeaseFromTheFirstCopyOfItsClaim);
  CPPUNIT_TEST(KeepsTheBoundOfItsHandOver);
  CPPUNIT_TEST(LeadsNoEndedTermAgainByARenewalInFlight);
  CPPUNIT_TEST(PrefersTheInstanceWithTheMostProcessors);
  CPPUNIT_TEST(MatchesTheLongestPrefix);
  CPPUNIT_TEST(AcceptsAJobOnceItIsStored);
  CPPUNIT_TEST(RefusesAJobWhileTheLogIsUnreachable);
  CPPUNIT_TEST(ReportsAnUnknownOutcome);
  CPPUNIT_TEST(AcceptsAJobIfTheLogRecoversBeforeTheDeadline);
  CPPUNIT_TEST(AcceptsAJobWhoseRecordIsReadBack);
  CPPUNIT_TEST(ReportsLogUnavailableBeforeTheJournalIsLoaded);
  CPPUNIT_TEST(FindsAJobThatAnotherNodeHasJustAccepted);
  CPPUNIT_TEST(ShowsTheEndOfAJobWithoutWaitingForTheFollower);
  CPPUNIT_TEST(FindsAJobBeyondTheFirstPartOfTheJournal);
  CPPUNIT_TEST(RefusesACountBeforeTheJournalIsLoaded);
  CPPUNIT_TEST(RefusesACountFromAnOutdatedJournal);
  CPPUNIT_TEST(CountsRecentJobsOnASiteThatShowsThemSooner);
  CPPUNIT_TEST(CountsWithoutAReadIfTheJournalIsRecent);
  CPPUNIT_TEST_SUITE_END();

public:
  void ElectsOneLeader()
  {
    AddCandidates(3);
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
  }

  void ReplacesAnUnreachableLeader()
  {
    AddCandidates(3);
    Advance(milliseconds(2000));
    Candidate& firstLeader = Leader();
    firstLeader.mLog.mIsUnreachable = true;
    Advance(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
    Advance(milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(2, CountLeaders());
    firstLeader.mLog.mIsUnreachable = false;
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
    CPPUNIT_ASSERT(!firstLeader.mLeadership.IsLeader());
  }

  // A candidate gets SIGTERM while its claim awaits the response. Guards
  // against a stored claim that nobody acts on, which the others take for a
  // leader for seconds.
  void ReplacesACandidateThatStopsDuringItsClaim()
  {
    AddCandidates(3);
    Advance(milliseconds(2000));
    Candidate& leader = Leader();
    leader.mLeadership.Resign({ mClock.Now() + milliseconds(3000), 1 });
    Candidate* claimant = nullptr;
    for (int n = 0; n < 200 && claimant == nullptr; ++n) {
      mClock.Advance(milliseconds(20));
      for (auto& it : mCandidates) {
        it->mLeadership.Tick();
        if (it.get() != &leader && it->mLeadership.IsAppending()) {
          claimant = it.get();
          break;
        }
        it->mLog.Deliver();
      }
    }
    CPPUNIT_ASSERT(claimant != nullptr);
    claimant->mLeadership.Resign();
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
    Leadership& successor = Leader().mLeadership;
    CPPUNIT_ASSERT(!claimant->mLeadership.IsLeader());
    // What the first leader has told still holds.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 },
                         successor.InheritedIdleTasksEpoch());
    CPPUNIT_ASSERT(successor.PreviousLeasesEnd() <
                   mClock.Now() + milliseconds(3500));
  }

  // Guards against a change of leader after every log outage.
  void KeepsTheLeaderDuringALogOutage()
  {
    AddCandidates(3);
    Advance(milliseconds(2000));
    Candidate& firstLeader = Leader();
    for (auto& it : mCandidates) {
      it->mLog.mIsUnreachable = true;
    }
    Advance(milliseconds(8000));
    for (auto& it : mCandidates) {
      it->mLog.mIsUnreachable = false;
    }
    Advance(milliseconds(6000));
    CPPUNIT_ASSERT(firstLeader.mLeadership.IsLeader());
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, firstLeader.mLeadership.Epoch());
  }

  void KeepsTheLeaderWhenResponsesAreLost()
  {
    AddCandidates(2);
    Advance(milliseconds(2000));
    Candidate& firstLeader = Leader();
    firstLeader.mLog.mDropsResponses = true;
    Advance(milliseconds(6000));
    firstLeader.mLog.mDropsResponses = false;
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
    CPPUNIT_ASSERT(firstLeader.mLeadership.IsLeader());
  }

  // Guards against tasks that wait for the next usual renewal after the end of
  // a lease, and against renewals at every tick.
  void RenewsRightAfterARequestedTime()
  {
    AddCandidates(1);
    Advance(milliseconds(2000));
    Leadership& leadership = Leader().mLeadership;
    for (int n = 0; n < 8; ++n) {
      const base::TimePoint time = mClock.Now() + milliseconds(100 * n);
      leadership.RenewAfter(time);
      Advance(milliseconds(100 * n + 160));
      CPPUNIT_ASSERT(leadership.ConfirmedAt() >= time);
      const base::TimePoint confirmedAt = leadership.ConfirmedAt();
      leadership.RenewAfter(time);
      Advance(milliseconds(300));
      CPPUNIT_ASSERT(leadership.ConfirmedAt() == confirmedAt);
    }
  }

  void ReplacesAResignedLeaderAtOnce()
  {
    AddCandidates(3);
    Advance(milliseconds(2000));
    Candidate& firstLeader = Leader();
    firstLeader.mLeadership.Resign();
    Advance(milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
    CPPUNIT_ASSERT(!firstLeader.mLeadership.IsLeader());
  }

  // Several leaders are stopped one after another, each of them right after its
  // claim. Guards against lasting tasks that nobody starts again in time (LOST)
  // because each change takes several hundred milliseconds.
  void ReplacesLeadersThatResignRightAfterTheirClaims()
  {
    constexpr int kChanges = 3;
    constexpr milliseconds kMaxTimeOfChanges(1000);
    AddCandidatesWithWaitingReads(5);
    Advance(milliseconds(3000));
    const base::TimePoint start = mClock.Now();
    for (int n = 0; n < kChanges; ++n) {
      Leader().mLeadership.Resign();
      AdvanceToNextLeader();
    }
    CPPUNIT_ASSERT(mClock.Now() - start <= kMaxTimeOfChanges);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 + kChanges },
                         Leader().mLeadership.Epoch());
  }

  // Small instances are named one after the other. Guards against changes of
  // several hundred milliseconds (LOST), and against claims that collide.
  void LetsANamedCandidateClaimAtOnce()
  {
    AddSmallCandidatesWithWaitingReads(6);
    Advance(milliseconds(4000));
    for (int n = 0; n < 5; ++n) {
      // Those of the first election do not count.
      for (auto& it : mCandidates) {
        it->mLog.mRefusedAppends = 0;
      }
      Candidate& leader = Leader();
      Candidate& next = OtherThan(leader);
      leader.mLeadership.Resign({ base::kNoDeadline, 0, { next.mName } });
      Remove(leader);
      Advance(kNamedClaimTime);
      CPPUNIT_ASSERT(next.mLeadership.IsLeader());
      for (const auto& it : mCandidates) {
        CPPUNIT_ASSERT_EQUAL(0, it->mLog.mRefusedAppends);
      }
      Advance(milliseconds(1000));
      CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
    }
  }

  // Guards against a change that waits for a named instance that is dead as
  // long as for a leader that is silent.
  void LetsTheNextNamedCandidateClaimIfTheFirstIsDead()
  {
    AddSmallCandidatesWithWaitingReads(6);
    Advance(milliseconds(4000));
    Candidate& leader = Leader();
    Candidate& next = OtherThan(leader);
    leader.mLeadership.Resign({ base::kNoDeadline, 0, { "dead", next.mName } });
    Remove(leader);
    Advance(kNamedClaimTime);
    CPPUNIT_ASSERT_EQUAL(0, CountLeaders());
    Advance(milliseconds(100));
    CPPUNIT_ASSERT(next.mLeadership.IsLeader());
  }

  // Guards against a cell that nobody leads if all named instances are dead.
  void LetsTheOthersClaimIfNoNamedCandidateDoes()
  {
    constexpr milliseconds kMaxTime(600);
    AddSmallCandidatesWithWaitingReads(4);
    Advance(milliseconds(4000));
    Candidate& leader = Leader();
    leader.mLeadership.Resign({ base::kNoDeadline, 0, { "x", "y", "z" } });
    Remove(leader);
    Advance(kMaxTime);
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
  }

  // Guards against a change that takes hundreds of milliseconds because a
  // claim was under way when its sender had to stop.
  void NamesASuccessorIfItStopsDuringItsClaim()
  {
    AddSmallCandidatesWithWaitingReads(3);
    Candidate& claimant = *mCandidates.front();
    Candidate& next = *mCandidates.back();
    while (!claimant.mLeadership.IsAppending()) {
      mClock.Advance(milliseconds(20));
      claimant.mLeadership.Tick();
      if (!claimant.mLeadership.IsAppending()) {
        claimant.mLog.Deliver();
      }
    }
    claimant.mLeadership.Resign({ base::kNoDeadline, 0, { next.mName } });
    Advance(kNamedClaimTime);
    CPPUNIT_ASSERT(next.mLeadership.IsLeader());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, next.mLeadership.Epoch());
  }

  // Guards against claims of large instances, which wait for nothing else, that
  // collide with those of the named ones.
  void LetsNamedCandidatesClaimBeforeLargeOnes()
  {
    AddCandidatesWithWaitingReads(4);
    AddSmallCandidatesWithWaitingReads(2);
    Advance(milliseconds(4000));
    ForgetRefusedAppends();
    Candidate& leader = Leader();
    Candidate& next = *mCandidates.back();
    leader.mLeadership.Resign(
      { base::kNoDeadline, 0, { "x", "y", next.mName } });
    Remove(leader);
    Advance(milliseconds(200) + kNamedClaimTime);
    CPPUNIT_ASSERT(next.mLeadership.IsLeader());
    for (const auto& it : mCandidates) {
      CPPUNIT_ASSERT_EQUAL(0, it->mLog.mRefusedAppends);
    }
  }

  // Guards against one instance that gets several cells, and against its claim
  // at the same moment as that of the next named one.
  void ClaimsAfterTheOtherNamedOnesIfItLeadsAnotherCell()
  {
    AddSmallCandidatesWithWaitingReads(5);
    Advance(milliseconds(4000));
    ForgetRefusedAppends();
    Candidate& leader = Leader();
    std::vector<Candidate*> named;
    std::vector<std::string> names;
    for (const auto& it : mCandidates) {
      if (it.get() != &leader && named.size() < 3) {
        named.push_back(it.get());
        names.push_back(it->mName);
      }
    }
    named.front()->mLeadership.SetClaimDelay({}, true);
    leader.mLeadership.Resign({ base::kNoDeadline, 0, names });
    Remove(leader);
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT(named[1]->mLeadership.IsLeader());
    for (const auto& it : mCandidates) {
      CPPUNIT_ASSERT_EQUAL(0, it->mLog.mRefusedAppends);
    }
  }

  // At the end of a series one instance is up. Guards against a change of
  // several hundred milliseconds because it leads other cells (LOST).
  void ClaimsAtOnceIfNobodyElseIsNamed()
  {
    AddSmallCandidatesWithWaitingReads(4);
    Advance(milliseconds(4000));
    Candidate& leader = Leader();
    Candidate& next = OtherThan(leader);
    next.mLeadership.SetClaimDelay(milliseconds(1200), true);
    leader.mLeadership.Resign({ base::kNoDeadline, 0, { next.mName } });
    Remove(leader);
    Advance(kNamedClaimTime);
    CPPUNIT_ASSERT(next.mLeadership.IsLeader());
  }

  // An instance was cut off and replaced. Guards against resignations that name
  // it never again.
  void NamesAnInstanceAgainThatWasReplacedLongAgo()
  {
    AddSmallCandidatesWithWaitingReads(3);
    Advance(milliseconds(4000));
    Candidate& first = Leader();
    const std::string firstName = first.mName;
    first.mLeadership.HandOver();
    AdvanceToNextLeader();
    Leadership& second = Leader().mLeadership;
    CPPUNIT_ASSERT(second.HasLeft(firstName));
    Advance(std::chrono::seconds(25));
    CPPUNIT_ASSERT(!second.HasLeft(firstName));
  }

  // Guards against a resignation that names an instance that has just stopped
  // or was killed.
  void KnowsWhoHasLeft()
  {
    AddSmallCandidatesWithWaitingReads(3);
    Advance(milliseconds(4000));
    Candidate& first = Leader();
    const std::string firstName = first.mName;
    for (const auto& it : mCandidates) {
      CPPUNIT_ASSERT(!it->mLeadership.HasLeft(firstName));
    }
    Remove(first);
    Advance(milliseconds(5000));
    Candidate& second = Leader();
    const std::string secondName = second.mName;
    CPPUNIT_ASSERT(second.mLeadership.HasLeft(firstName));
    CPPUNIT_ASSERT(!second.mLeadership.HasLeft(secondName));
    second.mLeadership.HandOver();
    AdvanceToNextLeader();
    for (const auto& it : mCandidates) {
      CPPUNIT_ASSERT(it->mLeadership.HasLeft(firstName));
      CPPUNIT_ASSERT_EQUAL(!second.mLeadership.IsLeader(),
                           it->mLeadership.HasLeft(secondName));
    }
  }

  // Guards against instances of two versions that cannot read each other's
  // leader records.
  void ReadsLeaderRecordsOfOtherVersions()
  {
    using OldFields = std::tuple<std::int64_t,
                                 std::string,
                                 bool,
                                 std::int64_t,
                                 std::int64_t,
                                 std::int64_t>;
    const auto old = DecodeLeaderRecord(
      base::PackMsgpack(OldFields{ 7, "a", true, 3, 20, 6 }));
    CPPUNIT_ASSERT(old);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 6 }, old.value().mIdleTasksEpoch);
    CPPUNIT_ASSERT(old.value().mSuccessors.empty());
    const auto fields = base::UnpackMsgpack<OldFields>(
      EncodeLeaderRecord({ 7, "a", true, 3, 20, 6, { "b", "c" } }));
    CPPUNIT_ASSERT(fields);
    CPPUNIT_ASSERT(std::get<2>(fields.value()));
    const auto own = DecodeLeaderRecord(
      EncodeLeaderRecord({ 7, "a", true, 3, 20, 6, { "b", "c" } }));
    CPPUNIT_ASSERT(own);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, own.value().mSuccessors.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c"), own.value().mSuccessors.back());
  }

  // Guards against a loop that sleeps on while a claim is due.
  void WakesWhenItsClaimIsDue()
  {
    AddCandidatesWithWaitingReads(2);
    Advance(milliseconds(3000));
    Candidate& firstLeader = Leader();
    Leadership& next = OtherThan(firstLeader).mLeadership;
    firstLeader.mLeadership.Resign();
    AdvanceToReadOfResignation(next);
    next.Tick();
    const base::TimePoint wakesAt = next.NextTickAt();
    CPPUNIT_ASSERT(wakesAt > mClock.Now());
    CPPUNIT_ASSERT(wakesAt < mClock.Now() + milliseconds(1000));
    mClock.SleepUntil(wakesAt - milliseconds(1));
    CPPUNIT_ASSERT(!next.IsClaimDue());
    mClock.SleepUntil(wakesAt);
    CPPUNIT_ASSERT(next.IsClaimDue());
    // A claim that is due but not allowed must not keep the loop busy.
    CPPUNIT_ASSERT(next.NextTickAt() > mClock.Now());
  }

  // Guards against candidates that claim again and again before they have read
  // who leads.
  void ClaimsInVainOnceAChangeOfTheLeaderAtMost()
  {
    constexpr int kCandidates = 12;
    AddCandidatesWithWaitingReads(kCandidates);
    Advance(milliseconds(3000));
    for (int n = 0; n + 1 < kCandidates; ++n) {
      for (auto& it : mCandidates) {
        it->mLog.mRefusedAppends = 0;
      }
      Leader().mLeadership.Resign();
      AdvanceToNextLeader();
      Advance(milliseconds(500));
      CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
      for (const auto& it : mCandidates) {
        CPPUNIT_ASSERT(it->mLog.mRefusedAppends <= 1);
      }
    }
  }

  // The reads of a candidate get no response while another one claims. Guards
  // against claims that the log refuses again and again.
  void ClaimsOnceBeforeItHasReadWhoLeads()
  {
    AddCandidatesWithWaitingReads(2);
    Advance(milliseconds(3000));
    Candidate& firstLeader = Leader();
    Candidate& slow = OtherThan(firstLeader);
    mCandidates.push_back(
      std::make_unique<Candidate>(mState, mClock, "strong", 0.5));
    mCandidates.back()->mLog.mClock = &mClock;
    Advance(milliseconds(1000));
    firstLeader.mLeadership.Resign();
    AdvanceToReadOfResignation(slow.mLeadership);
    slow.mLog.mUnreadableTopics.insert(kLeaderStream.mTopic);
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT(mCandidates.back()->mLeadership.IsLeader());
    CPPUNIT_ASSERT_EQUAL(1, slow.mLog.mRefusedAppends);
  }

  // Guards against a small instance that leads although a larger one exists.
  void PrefersTheMostProcessorsAfterAResignation()
  {
    AddCandidatesWithWaitingReads(4);
    Advance(milliseconds(3000));
    for (const char* id : { "strong1", "strong2", "strong3" }) {
      mCandidates.push_back(
        std::make_unique<Candidate>(mState, mClock, id, 0.5));
      mCandidates.back()->mLog.mClock = &mClock;
    }
    Advance(milliseconds(1000));
    for (int n = 0; n < 3; ++n) {
      Leader().mLeadership.Resign();
      AdvanceToNextLeader();
      const auto strong = std::find_if(
        mCandidates.end() - 3, mCandidates.end(), [](const auto& aIt) {
          return aIt->mLeadership.IsLeader();
        });
      CPPUNIT_ASSERT(strong != mCandidates.end());
    }
  }

  // Calls to the log are priced. Guards against followers that read more often
  // than the leader renews its leadership.
  void FollowsALeaderWithOneReadARenewal()
  {
    constexpr int kRenewals = 10;
    constexpr milliseconds kRenewInterval(800);
    AddCandidatesWithWaitingReads(2);
    Advance(milliseconds(3000));
    Candidate& follower = OtherThan(Leader());
    follower.mLog.mReadCounts.clear();
    Advance(kRenewals * kRenewInterval);
    CPPUNIT_ASSERT(follower.mLog.mReadCounts[kLeaderStream.mTopic] <=
                   kRenewals + 1);
  }

  // Guards against double runs: the previous leader lease counts in full for a
  // new leader that has only read the resignation.
  void CountsTheFullLeaseOfAResignedLeader()
  {
    AddCandidates(1);
    Advance(milliseconds(2000));
    mCandidates.front()->mLeadership.Resign();
    Advance(milliseconds(50));
    mCandidates.clear();
    AddCandidates(1, "new");
    const base::TimePoint restartedAt = mClock.Now();
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT(Leader().mLeadership.PreviousLeasesEnd() >=
                   restartedAt + kLeaderLease);
  }

  // Guards against double runs: an instance that leads again knows no more
  // about the worker leases of its earlier term than any other instance.
  void CountsTheLeasesOfItsOwnEarlierTerm()
  {
    AddCandidates(1);
    Leadership& leadership = mCandidates.front()->mLeadership;
    Advance(milliseconds(2000));
    base::TimePoint leaseEnd = leadership.ConfirmedAt() + kLeaderLease;
    leadership.HandOver();
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, leadership.Epoch());
    CPPUNIT_ASSERT(leadership.PreviousLeasesEnd() >= leaseEnd);
    leaseEnd = leadership.ConfirmedAt() + kLeaderLease;
    leadership.StepDown();
    Advance(milliseconds(6000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, leadership.Epoch());
    CPPUNIT_ASSERT(leadership.PreviousLeasesEnd() >= leaseEnd);
  }

  // A claim is stored without an answer, and is sent again before it is read.
  // Guards against a leader lease that begins after the claim was stored and
  // outlasts the time that a successor waits for.
  void CountsItsLeaseFromTheFirstCopyOfItsClaim()
  {
    AddCandidates(1);
    Candidate& candidate = *mCandidates.front();
    candidate.mLog.mClock = &mClock;
    candidate.mLog.mDropsResponses = true;
    Advance(milliseconds(100));
    candidate.mLog.mUnreadableTopics.insert(kLeaderStream.mTopic);
    const auto& records = mState.mStreams[kLeaderStream.mTopic];
    while (records.empty()) {
      Advance(milliseconds(20));
    }
    const base::TimePoint storedAt = mClock.Now();
    Advance(milliseconds(2500));
    candidate.mLog.mUnreadableTopics.clear();
    Advance(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, candidate.mLeadership.Epoch());
    CPPUNIT_ASSERT(candidate.mLeadership.ConfirmedAt() <= storedAt);
  }

  // A worker that has restarted may have a longer lease than others. Guards
  // against an instance that leads again before the bound that its own
  // hand-over has stored (TWICE).
  void KeepsTheBoundOfItsHandOver()
  {
    AddCandidates(1);
    Candidate& candidate = *mCandidates.front();
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, candidate.mLeadership.Epoch());
    const base::TimePoint bound = mClock.Now() + milliseconds(12'000);
    candidate.mLeadership.HandOver({ bound });
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, candidate.mLeadership.Epoch());
    CPPUNIT_ASSERT(candidate.mLeadership.PreviousLeasesEnd() >= bound);
  }

  // A leader steps down while a renewal awaits its response. Guards against a
  // leader that leads the same term again, in which the log refuses its
  // journal.
  void LeadsNoEndedTermAgainByARenewalInFlight()
  {
    AddCandidates(1);
    Candidate& candidate = *mCandidates.front();
    Advance(milliseconds(2000));
    candidate.mLog.mHoldsResponses = true;
    Advance(milliseconds(1000));
    candidate.mLeadership.StepDown();
    candidate.mLog.mHoldsResponses = false;
    Advance(milliseconds(100));
    CPPUNIT_ASSERT(!candidate.mLeadership.IsLeader());
    Advance(milliseconds(6000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, candidate.mLeadership.Epoch());
  }

  // A leader with little processor time slows down all callers.
  void PrefersTheInstanceWithTheMostProcessors()
  {
    AddCandidates(4);
    mCandidates.push_back(
      std::make_unique<Candidate>(mState, mClock, "strong", 0.5));
    Advance(milliseconds(2000));
    CPPUNIT_ASSERT(mCandidates.back()->mLeadership.IsLeader());
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
  }

  void MatchesTheLongestPrefix()
  {
    const RouteTable table(3,
                           { MakeRoute("h", "/a/", "short"),
                             MakeRoute("h", "/a/b/", "long"),
                             MakeRoute("i", "/a/", "other") });
    const auto match = table.Find("h:8080", "/a/b/0123");
    CPPUNIT_ASSERT(match);
    CPPUNIT_ASSERT_EQUAL(std::string("long"), match->mRoute->mPolicy.mQueue);
    CPPUNIT_ASSERT_EQUAL(std::string("0123"), match->mPathSuffix);
    CPPUNIT_ASSERT(!table.Find("h", "/b"));
    CPPUNIT_ASSERT(!table.Find("none", "/a/"));
  }

  void AcceptsAJobOnceItIsStored()
  {
    CPPUNIT_ASSERT(Submit("a"));
    CPPUNIT_ASSERT(Submit("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mState.mStreams["journal"].size());
    CPPUNIT_ASSERT(mJobService.StateOf("a", DefaultDeadline()).value() ==
                   jobs::JobState::Pending);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      mJobService.CountPending("queue", DefaultDeadline()).value());
    CPPUNIT_ASSERT(mJobService.Cancel("a", DefaultDeadline()));
    CPPUNIT_ASSERT(mJobService.StateOf("a", DefaultDeadline()).value() ==
                   jobs::JobState::Cancelled);
  }

  void RefusesAJobWhileTheLogIsUnreachable()
  {
    mJobService.Health().SetUnreachable(mClock.Now());
    const auto result = Submit("a");
    CPPUNIT_ASSERT(result.error().mKind == base::ErrorKind::LogUnavailable);
    CPPUNIT_ASSERT(mState.mStreams["journal"].empty());
    mClock.Advance(milliseconds(800));
    CPPUNIT_ASSERT(Submit("a"));
  }

  // Guards against reporting a stored job as not accepted.
  void ReportsAnUnknownOutcome()
  {
    mLog.mDropsResponses = true;
    const auto result = Submit("a");
    CPPUNIT_ASSERT(result.error().mKind == base::ErrorKind::OutcomeUnknown);
  }

  // The log recovers shortly before the callers' deadlines. Guards against
  // giving up with time left for a short attempt, and against calling a log
  // that refuses immediately in a tight loop.
  void AcceptsAJobIfTheLogRecoversBeforeTheDeadline()
  {
    int attempts = 0;
    const base::TimePoint recoveredAt = mClock.Now() + milliseconds(1050);
    mLog.mIsUnreachable = true;
    mLog.mOnNoResponse = [&](base::TimePoint aDeadline) {
      ++attempts;
      mClock.SleepUntil(aDeadline);
      mLog.mIsUnreachable = mClock.Now() < recoveredAt;
    };
    CPPUNIT_ASSERT(Submit("a"));
    CPPUNIT_ASSERT(attempts <= 4);
    attempts = 0;
    mLog.mIsUnreachable = true;
    mLog.mOnNoResponse = [&](base::TimePoint) { ++attempts; };
    CPPUNIT_ASSERT(Submit("b").error().mKind ==
                   base::ErrorKind::OutcomeUnknown);
    CPPUNIT_ASSERT(attempts <= 20);
  }

  // Guards against a retry of an append whose record the instance has already
  // read from the journal.
  void AcceptsAJobWhoseRecordIsReadBack()
  {
    mLog.mDropsResponses = true;
    mLog.mOnNoResponse = [&](base::TimePoint aDeadline) {
      mClock.SleepUntil(aDeadline);
      const LogRecord& record = mState.mStreams["journal"].back();
      mJobs.Apply(record.mKey, record.mValue, 0);
    };
    CPPUNIT_ASSERT(Submit("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mState.mStreams["journal"].size());
  }

  // Guards against "no such job" (status 410) for an accepted job at an
  // instance that has just started.
  void ReportsLogUnavailableBeforeTheJournalIsLoaded()
  {
    mNextOffset = kJournalNotLoaded;
    CPPUNIT_ASSERT(mJobService.Cancel("a", DefaultDeadline()).error().mKind ==
                   base::ErrorKind::LogUnavailable);
    CPPUNIT_ASSERT(mJobService.StateOf("a", DefaultDeadline()).error().mKind ==
                   base::ErrorKind::LogUnavailable);
    mNextOffset = 0;
    CPPUNIT_ASSERT(mJobService.Cancel("a", DefaultDeadline()).error().mKind ==
                   base::ErrorKind::NotFound);
  }

  void FindsAJobThatAnotherNodeHasJustAccepted()
  {
    jobs::Submission submission;
    submission.mId = "b";
    AppendRequest request;
    request.mStream = kJournalStream;
    request.mRecords.push_back(
      { jobs::FormatRecordKey(jobs::RecordKind::Submission, "b"),
        jobs::EncodeSubmission(submission),
        0 });
    mLog.Append(request, DefaultDeadline());
    CPPUNIT_ASSERT(mJobService.StateOf("b", DefaultDeadline()));
  }

  // Guards against callers that are told of the end of a job only after the
  // next read of the follower.
  void ShowsTheEndOfAJobWithoutWaitingForTheFollower()
  {
    CPPUNIT_ASSERT(Submit("a"));
    mClock.Advance(milliseconds(500));
    jobs::JobProgress progress;
    progress.mState = jobs::JobState::Completed;
    AppendRequest request;
    request.mStream = kJournalStream;
    request.mRecords.push_back(
      { jobs::FormatRecordKey(jobs::RecordKind::Progress, "a"),
        jobs::EncodeProgress(progress),
        0 });
    mLog.Append(request, DefaultDeadline());
    mLog.mIsUnreachable = true;
    CPPUNIT_ASSERT(mJobService.StateOf("a", DefaultDeadline()).value() ==
                   jobs::JobState::Pending);
    mLog.mIsUnreachable = false;
    mClock.Advance(milliseconds(1000));
    CPPUNIT_ASSERT(mJobService.StateOf("a", DefaultDeadline()).value() ==
                   jobs::JobState::Completed);
  }

  // Guards against 410 for an accepted job on an instance that is further
  // behind than one read returns.
  void FindsAJobBeyondTheFirstPartOfTheJournal()
  {
    mLog.mMaxRecordsPerRead = 2;
    for (const char* id : { "b", "c", "d", "e", "f" }) {
      jobs::Submission submission;
      submission.mId = id;
      AppendRequest request;
      request.mStream = kJournalStream;
      request.mRecords.push_back(
        { jobs::FormatRecordKey(jobs::RecordKind::Submission, id),
          jobs::EncodeSubmission(submission),
          0 });
      mLog.Append(request, DefaultDeadline());
    }
    CPPUNIT_ASSERT(mJobService.StateOf("f", DefaultDeadline()));
  }

  // Guards against a count of 0 from an instance that has just started.
  void RefusesACountBeforeTheJournalIsLoaded()
  {
    mNextOffset = kJournalNotLoaded;
    AssertNoCount();
    mNextOffset = 0;
    AssertCount(0);
    // The instance loads the journal again.
    mNextOffset = kJournalNotLoaded;
    AssertNoCount();
  }

  // Guards against a count that misses jobs that were accepted long before.
  void RefusesACountFromAnOutdatedJournal()
  {
    constexpr milliseconds kMaxReadAge(4000);
    StoreSubmission("a");
    AssertCount(1);
    StoreSubmission("b");
    mLog.mUnreadableTopics.insert(kJournalStream.mTopic);
    mClock.Advance(kMaxReadAge);
    AssertNoCount();
    mLog.mUnreadableTopics.clear();
    mClock.Advance(milliseconds(800));
    AssertCount(2);
  }

  // Guards against a count that misses most jobs on a site with a lower bound
  // for the time until a job is counted.
  void CountsRecentJobsOnASiteThatShowsThemSooner()
  {
    mJobService.SetMaxCountAge(milliseconds(2500));
    StoreSubmission("a");
    AssertCount(1);
    StoreSubmission("b");
    mClock.Advance(milliseconds(2500));
    AssertCount(2);
  }

  // Guards against a read of the log for each count.
  void CountsWithoutAReadIfTheJournalIsRecent()
  {
    StoreSubmission("a");
    AssertCount(1);
    mLog.mUnreadableTopics.insert(kJournalStream.mTopic);
    mClock.Advance(milliseconds(3999));
    AssertCount(1);
  }

private:
  /// Stores a job as another instance does.
  void StoreSubmission(const std::string& aId)
  {
    jobs::Submission submission;
    submission.mId = aId;
    submission.mPolicy.mQueue = "queue";
    AppendRequest request;
    request.mStream = kJournalStream;
    request.mRecords.push_back(
      { jobs::FormatRecordKey(jobs::RecordKind::Submission, aId),
        jobs::EncodeSubmission(submission),
        0 });
    mLog.Append(request, DefaultDeadline());
  }

  void AssertCount(std::size_t aCount)
  {
    const auto count = mJobService.CountPending("queue", DefaultDeadline());
    CPPUNIT_ASSERT(count);
    CPPUNIT_ASSERT_EQUAL(aCount, count.value());
  }

  void AssertNoCount()
  {
    const auto count = mJobService.CountPending("queue", DefaultDeadline());
    CPPUNIT_ASSERT(!count);
    CPPUNIT_ASSERT(count.error().mKind == base::ErrorKind::LogUnavailable);
  }

  void AddCandidates(int aCount, const std::string& aPrefix = "node")
  {
    for (int n = 0; n < aCount; ++n) {
      mCandidates.push_back(std::make_unique<Candidate>(
        mState, mClock, aPrefix + std::to_string(n)));
    }
  }

  /// Candidates with the longest claim delay.
  void AddSmallCandidatesWithWaitingReads(int aCount)
  {
    for (int n = 0; n < aCount; ++n) {
      mCandidates.push_back(std::make_unique<Candidate>(
        mState, mClock, "node" + std::to_string(mCandidates.size()), 0.12));
      mCandidates.back()->mLog.mClock = &mClock;
    }
  }

  /// Those of the first election do not count.
  void ForgetRefusedAppends()
  {
    for (auto& it : mCandidates) {
      it->mLog.mRefusedAppends = 0;
    }
  }

  void Remove(const Candidate& aCandidate)
  {
    mCandidates.erase(
      std::remove_if(mCandidates.begin(),
                     mCandidates.end(),
                     [&](const auto& aIt) { return aIt.get() == &aCandidate; }),
      mCandidates.end());
  }

  void AddCandidatesWithWaitingReads(int aCount)
  {
    AddCandidates(aCount);
    for (auto& it : mCandidates) {
      it->mLog.mClock = &mClock;
    }
  }

  void AdvanceToNextLeader()
  {
    const base::TimePoint end = mClock.Now() + milliseconds(5000);
    while (CountLeaders() == 0 && mClock.Now() < end) {
      Advance(milliseconds(20));
    }
    CPPUNIT_ASSERT_EQUAL(1, CountLeaders());
  }

  void AdvanceToReadOfResignation(const Leadership& aCandidate)
  {
    const base::TimePoint end = mClock.Now() + milliseconds(1000);
    while (!aCandidate.NewestRecord()->mIsResigned && mClock.Now() < end) {
      Advance(milliseconds(20));
    }
    CPPUNIT_ASSERT(aCandidate.NewestRecord()->mIsResigned);
  }

  void Advance(milliseconds aTime)
  {
    const base::TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(milliseconds(20));
      for (auto& it : mCandidates) {
        it->mLeadership.Tick();
        it->mLog.Deliver();
      }
    }
  }

  int CountLeaders() const
  {
    int n = 0;
    for (const auto& it : mCandidates) {
      n += it->mLeadership.IsLeader() ? 1 : 0;
    }
    return n;
  }

  Candidate& Leader()
  {
    for (auto& it : mCandidates) {
      if (it->mLeadership.IsLeader()) {
        return *it;
      }
    }
    CPPUNIT_FAIL("no leader");
    return *mCandidates.front();
  }

  Candidate& OtherThan(const Candidate& aCandidate)
  {
    return mCandidates.front().get() == &aCandidate ? *mCandidates.back()
                                                    : *mCandidates.front();
  }

  base::Result<void> Submit(const std::string& aId)
  {
    jobs::QueuePolicy policy;
    policy.mQueue = "queue";
    return mJobService.Submit(policy, aId, {}, DefaultDeadline());
  }

  base::TimePoint DefaultDeadline() const
  {
    return mClock.Now() + milliseconds(2000);
  }

  base::ManualClock mClock;
  FakeLogState mState;
  std::vector<std::unique_ptr<Candidate>> mCandidates;
  FakeSharedLog mLog{ mState };
  jobs::JobTable mJobs;
  std::atomic<std::int64_t> mNextOffset{ 0 };
  metrics::Registry mMetrics;
  JobService mJobService{ mJobs,
                          mLog,
                          kJournalStream,
                          LogLimits{},
                          mNextOffset,
                          mClock,
                          journal::GetSystemWallClock(),
                          mMetrics };
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);

} // namespace skylarkhill::node
