#include "skylarkhill/requests/key_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::requests {

namespace {

OutcomeRecord
MakeOutcome(const std::string& aInstance, Outcome aOutcome)
{
  return { { "k" }, { aInstance }, aOutcome, base::ErrorKind::OutcomeUnknown,
           "body",  false };
}

class KeyTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KeyTableTest);
  CPPUNIT_TEST(TheFirstIntentWins);
  CPPUNIT_TEST(OnlyTheClaimantReportsTheOutcome);
  CPPUNIT_TEST(AnotherInstanceMayReportUnknown);
  CPPUNIT_TEST(KeepsFinishedKeysWhileARecordIsRetained);
  CPPUNIT_TEST(AppliesAnOutcomeReadBeforeTheSnapshot);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against two instances that both send a non-idempotent request.
  void TheFirstIntentWins()
  {
    CPPUNIT_ASSERT(mTable.Find({ "k" }).mState == KeyState::Unclaimed);
    mTable.Apply(1, IntentRecord{ { "k" }, { "a" } });
    mTable.Apply(2, IntentRecord{ { "k" }, { "b" } });
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         mTable.Find({ "k" }).mClaimant.mValue);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mTable.ClaimedBy({ "a" }).size());
    CPPUNIT_ASSERT(mTable.ClaimedBy({ "b" }).empty());
  }

  // Guards against reporting an outcome recorded by an instance that did not
  // claim the key.
  void OnlyTheClaimantReportsTheOutcome()
  {
    mTable.Apply(1, IntentRecord{ { "k" }, { "a" } });
    mTable.Apply(2, MakeOutcome("b", Outcome::NotRun));
    CPPUNIT_ASSERT(mTable.Find({ "k" }).mState == KeyState::Claimed);
    mTable.Apply(3, MakeOutcome("a", Outcome::Completed));
    mTable.Apply(4, MakeOutcome("a", Outcome::NotRun));
    mTable.Apply(5, IntentRecord{ { "k" }, { "b" } });
    const auto key = mTable.Find({ "k" });
    CPPUNIT_ASSERT(key.mState == KeyState::Finished);
    CPPUNIT_ASSERT(key.mOutcome->mOutcome == Outcome::Completed);
    CPPUNIT_ASSERT(mTable.ClaimedBy({ "a" }).empty());
  }

  // Guards against callers that wait forever for a claimant that is gone, and
  // against a late outcome that replaces the one reported to a caller.
  void AnotherInstanceMayReportUnknown()
  {
    mTable.Apply(1, IntentRecord{ { "k" }, { "a" } });
    mTable.Apply(2, MakeOutcome("b", Outcome::Unknown));
    mTable.Apply(3, MakeOutcome("a", Outcome::Completed));
    CPPUNIT_ASSERT(mTable.Find({ "k" }).mOutcome->mOutcome == Outcome::Unknown);
  }

  // Guards against running a repeated request while the log still has a record
  // of the first run.
  void KeepsFinishedKeysWhileARecordIsRetained()
  {
    mTable.Apply(1, IntentRecord{ { "k" }, { "a" } });
    mTable.Apply(5, MakeOutcome("a", Outcome::Completed));
    mTable.Purge(5);
    mTable.RemoveTombstone({ "k" }, 5);
    CPPUNIT_ASSERT(mTable.Find({ "k" }).mState == KeyState::Finished);
    mTable.Purge(6);
    CPPUNIT_ASSERT(mTable.Find({ "k" }).mState == KeyState::Unclaimed);
  }

  // Guards against a key that stays claimed forever on a reader that read the
  // outcome before the snapshot of the claim.
  void AppliesAnOutcomeReadBeforeTheSnapshot()
  {
    mTable.Apply(1, IntentRecord{ { "k" }, { "a" } });
    const auto snapshot = mTable.Find({ "k" });
    KeyTable late;
    late.Apply(8, MakeOutcome("b", Outcome::NotRun));
    late.Apply(9, MakeOutcome("a", Outcome::Completed));
    mTable.Apply(8, MakeOutcome("b", Outcome::NotRun));
    mTable.Apply(9, MakeOutcome("a", Outcome::Completed));
    CPPUNIT_ASSERT(late.Find({ "k" }).mState == KeyState::Finished);
    late.Apply(10, IntentRecord{ { "k" }, { "c" } });
    late.ApplySnapshot(7, snapshot);
    CPPUNIT_ASSERT_EQUAL(mTable.Digest(), late.Digest());
  }

private:
  KeyTable mTable;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyTableTest);

} // namespace

} // namespace skylarkhill::requests
