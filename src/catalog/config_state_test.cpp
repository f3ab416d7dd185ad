#include "skylarkhill/base/random.hpp"
#include "skylarkhill/catalog/publish.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace skylarkhill::catalog {

namespace {

/// The payloads of a stream; the index is the offset.
using Stream = std::vector<std::string>;

Object
MakeProfile(const std::string& aName)
{
  Profile profile;
  profile.mName = aName;
  return profile;
}

std::string
MakePublish(const ConfigState& aBase,
            const std::string& aWriter,
            std::int64_t aSequence,
            const std::string& aAdded)
{
  PublishRecord record;
  record.mIdentity = { aWriter, aSequence };
  record.mBaseVersion = aBase.CurrentVersion();
  record.mDelta.mChanged.push_back(MakeProfile(aAdded));
  record.mDigest =
    ApplyDelta(*aBase.CurrentSet(), record.mDelta).value().Digest();
  record.mPublisher = "operator";
  return FormatConfigRecord(record);
}

std::string
MakeSnapshotOf(const ConfigState& aState)
{
  return FormatConfigRecord(aState.MakeSnapshot({ "s", 1 }).value());
}

void
ApplyFrom(ConfigState& aState, const Stream& aStream, platform::Offset aFrom)
{
  const auto end = static_cast<platform::Offset>(aStream.size());
  for (platform::Offset i = aFrom; i < end; ++i) {
    aState.Apply(i, aStream[static_cast<std::size_t>(i)], aFrom);
  }
}

void
AssertSameSet(const ConfigState& aExpected, const ConfigState& aActual)
{
  CPPUNIT_ASSERT_EQUAL(aExpected.CurrentVersion(), aActual.CurrentVersion());
  CPPUNIT_ASSERT_EQUAL(aExpected.CurrentSet()->Digest(),
                       aActual.CurrentSet()->Digest());
}

class ConfigStateTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigStateTest);
  CPPUNIT_TEST(OneOfTwoPublishesTakesEffect);
  CPPUNIT_TEST(RejectsInconsistentRecords);
  CPPUNIT_TEST(PreparesConsistentPublish);
  CPPUNIT_TEST(NewReaderNeedsUsableSnapshot);
  CPPUNIT_TEST(MissingRecordsNeverRevertVersion);
  CPPUNIT_TEST(ImportsOnlyNewerState);
  CPPUNIT_TEST(CompleteReadersHaveSameSet);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against two concurrent publishes that are both reported as
  // published.
  void OneOfTwoPublishesTakesEffect()
  {
    ConfigState state;
    const std::string first = MakePublish(state, "a", 1, "x");
    const std::string second = MakePublish(state, "b", 1, "y");
    CPPUNIT_ASSERT(state.Apply(0, first, 0) == ApplyResult::Published);
    CPPUNIT_ASSERT(state.Apply(1, second, 0) == ApplyResult::Conflict);
    CPPUNIT_ASSERT(state.Apply(2, first, 0) == ApplyResult::Repeated);
    CPPUNIT_ASSERT(state.Apply(1, second, 0) == ApplyResult::Repeated);
    CPPUNIT_ASSERT_EQUAL(Version(0), state.CurrentVersion());
    CPPUNIT_ASSERT(state.CurrentSet()->Find("x") != nullptr);
    CPPUNIT_ASSERT(state.CurrentSet()->Find("y") == nullptr);
    const auto won = state.FindPublishOutcome("a", 1);
    CPPUNIT_ASSERT(won->mResult == ApplyResult::Published);
    const auto lost = state.FindPublishOutcome("b", 1);
    CPPUNIT_ASSERT(lost->mResult == ApplyResult::Conflict);
    CPPUNIT_ASSERT_EQUAL(Version(0), lost->mVersion);
    CPPUNIT_ASSERT(!state.FindPublishOutcome("b", 2));
  }

  // Guards against invalid records that change the state of some readers only.
  void RejectsInconsistentRecords()
  {
    ConfigState state;
    const std::string good = MakePublish(state, "a", 1, "x");
    CPPUNIT_ASSERT(state.Apply(0, good, 0) == ApplyResult::Published);
    PublishRecord record;
    record.mIdentity = { "a", 2 };
    record.mBaseVersion = 0;
    record.mDelta.mChanged.push_back(MakeProfile("y"));
    record.mDigest = "0";
    CPPUNIT_ASSERT(state.Apply(1, FormatConfigRecord(record), 0) ==
                   ApplyResult::Invalid);
    record.mIdentity = { "a", 3 };
    record.mDelta = { {}, { "absent" } };
    CPPUNIT_ASSERT(state.Apply(2, FormatConfigRecord(record), 0) ==
                   ApplyResult::Invalid);
    for (const char* it : { "", "{}", "[]", R"({"type":"publish"})" }) {
      const platform::Offset next = state.NextOffset();
      CPPUNIT_ASSERT(state.Apply(next, it, 0) == ApplyResult::Malformed);
    }
    // A snapshot cannot include its own record.
    SnapshotRecord snapshot = state.MakeSnapshot({ "s", 1 }).value();
    const platform::Offset next = state.NextOffset();
    snapshot.mAsOf = next;
    CPPUNIT_ASSERT(state.Apply(next, FormatConfigRecord(snapshot), 0) ==
                   ApplyResult::Malformed);
    CPPUNIT_ASSERT_EQUAL(Version(0), state.CurrentVersion());
  }

  // Guards against a delta that is valid alone but not with its base.
  void PreparesConsistentPublish()
  {
    ConfigState state;
    const SetDelta first{ { MakeProfile("x") }, {} };
    auto record = PreparePublish(state, kNoVersion, first, "operator");
    record.value().mIdentity = { "a", 1 };
    CPPUNIT_ASSERT(state.Apply(0, FormatConfigRecord(record.value()), 0) ==
                   ApplyResult::Published);
    const auto stale = PreparePublish(state, kNoVersion, first, "operator");
    CPPUNIT_ASSERT(stale.error().mKind == base::ErrorKind::VersionConflict);
    const SetDelta second{ { MakeProfile("y") }, {} };
    const auto invalid = PreparePublish(state, 0, second, "operator");
    CPPUNIT_ASSERT(invalid.error().mKind == base::ErrorKind::InvalidSet);
    state.UpdateFirstRetained(9);
    CPPUNIT_ASSERT(PreparePublish(state, 0, {}, "operator").has_error());
  }

  // Guards against restoring a snapshot although a publish between its `as_of`
  // and the first record that the reader has read is missing.
  void NewReaderNeedsUsableSnapshot()
  {
    ConfigState writer;
    Stream stream;
    stream.push_back(MakePublish(writer, "a", 1, "x"));
    ApplyFrom(writer, stream, 0);
    const std::string old = MakeSnapshotOf(writer);
    stream.push_back(MakePublish(writer, "a", 2, "y"));
    ApplyFrom(writer, stream, 0);
    stream.push_back(old);
    ApplyFrom(writer, stream, 0);
    const std::string usable = MakeSnapshotOf(writer);
    stream.push_back(MakePublish(writer, "a", 3, "z"));
    stream.push_back(usable);

    ConfigState reader;
    CPPUNIT_ASSERT(reader.Apply(2, stream[2], 2) == ApplyResult::Ignored);
    CPPUNIT_ASSERT(!reader.IsComplete());
    CPPUNIT_ASSERT(reader.MakeSnapshot({ "r", 1 }).has_error());
    CPPUNIT_ASSERT(reader.Apply(3, stream[3], 2) == ApplyResult::Deferred);
    CPPUNIT_ASSERT(!reader.FindPublishOutcome("a", 3));
    CPPUNIT_ASSERT(reader.Apply(4, stream[4], 2) == ApplyResult::Restored);
    ApplyFrom(writer, stream, 0);
    AssertSameSet(writer, reader);
    CPPUNIT_ASSERT_EQUAL(Version(3), reader.CurrentVersion());
    CPPUNIT_ASSERT(reader.FindPublishOutcome("a", 3)->mResult ==
                   ApplyResult::Published);
    CPPUNIT_ASSERT_EQUAL(platform::Offset(3), writer.RecoveryOffset());
    // Publishes that the snapshot includes must not be reported as conflicts.
    // This state is incomplete from the start: it lacks the record at -1.
    ConfigState early(-1);
    early.Apply(0, stream[0], 0);
    early.Apply(1, stream[1], 0);
    early.Apply(2, "unreadable", 0);
    early.Apply(3, stream[3], 0);
    CPPUNIT_ASSERT(early.Apply(4, stream[4], 0) == ApplyResult::Restored);
    AssertSameSet(writer, early);
    CPPUNIT_ASSERT(!early.FindPublishOutcome("a", 1));
    CPPUNIT_ASSERT(early.FindPublishOutcome("a", 2)->mResult ==
                   ApplyResult::Published);
    // An empty page can follow expired records.
    ConfigState late;
    late.UpdateFirstRetained(5);
    CPPUNIT_ASSERT(!late.IsComplete());
    // A gap in the offsets makes the state incomplete.
    ConfigState skipping;
    CPPUNIT_ASSERT(skipping.Apply(1, stream[1], 0) == ApplyResult::Deferred);
  }

  // Guards against an instance that reverts to an older set while it catches
  // up.
  void MissingRecordsNeverRevertVersion()
  {
    ConfigState writer;
    Stream stream{ MakePublish(writer, "a", 1, "x") };
    ApplyFrom(writer, stream, 0);
    ConfigState reader = writer;
    const std::string outdated = MakeSnapshotOf(ConfigState());
    stream.push_back(MakePublish(writer, "a", 2, "y"));
    ApplyFrom(writer, stream, 0);
    const std::string next = MakePublish(writer, "a", 3, "z");
    CPPUNIT_ASSERT(reader.Apply(2, next, 2) == ApplyResult::Deferred);
    CPPUNIT_ASSERT_EQUAL(Version(0), reader.CurrentVersion());
    CPPUNIT_ASSERT(reader.Apply(3, outdated, 2) == ApplyResult::Ignored);
    CPPUNIT_ASSERT_EQUAL(Version(0), reader.CurrentVersion());
    CPPUNIT_ASSERT(reader.Import(writer.Export().value()).value());
    CPPUNIT_ASSERT_EQUAL(Version(2), reader.CurrentVersion());
    CPPUNIT_ASSERT(reader.IsComplete());
  }

  // Guards against importing an older state from a peer, and against a publish
  // whose outcome is unknown because the instance imported the state instead of
  // reading the record.
  void ImportsOnlyNewerState()
  {
    ConfigState peer;
    const Stream stream{ MakePublish(peer, "a", 1, "x") };
    const std::string empty = peer.Export().value();
    ApplyFrom(peer, stream, 0);
    ConfigState state;
    CPPUNIT_ASSERT(state.Import(peer.Export().value()).value());
    AssertSameSet(peer, state);
    CPPUNIT_ASSERT(state.FindPublishOutcome("a", 1)->mResult ==
                   ApplyResult::Published);
    CPPUNIT_ASSERT(state.Apply(0, stream[0], 0) == ApplyResult::Repeated);
    CPPUNIT_ASSERT(!state.Import(empty).value());
    CPPUNIT_ASSERT(!state.Import(peer.Export().value()).value());
    CPPUNIT_ASSERT(state.Import("{\"version\":9}").has_error());
    CPPUNIT_ASSERT_EQUAL(Version(0), state.CurrentVersion());
  }

  // Guards against readers that derive different sets from the same log,
  // wherever they start to read it.
  void CompleteReadersHaveSameSet()
  {
    constexpr std::uint64_t kSeeds = 40;
    constexpr int kRecords = 40;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const auto random = base::CreateSeededRandom(seed);
      std::vector<ConfigState> history(1);
      Stream stream;
      for (int i = 0; i < kRecords; ++i) {
        const std::uint64_t lag = random->Below(3);
        const auto& base =
          history[history.size() - 1 - std::min(lag, history.size() - 1)];
        const std::string name = "p" + std::to_string(random->Below(5));
        stream.push_back(random->Below(4) == 0
                           ? MakeSnapshotOf(base)
                           : MakePublish(base, "w", i, name));
        history.push_back(history.back());
        history.back().Apply(i, stream.back(), 0);
      }
      CheckReaders(seed, stream, history.back());
    }
  }

private:
  static void CheckReaders(std::uint64_t aSeed,
                           const Stream& aStream,
                           const ConfigState& aReference)
  {
    const auto end = static_cast<platform::Offset>(aStream.size());
    for (platform::Offset from = 0; from < end; ++from) {
      ConfigState reader;
      ApplyFrom(reader, aStream, from);
      const std::string where =
        "seed " + std::to_string(aSeed) + " from " + std::to_string(from);
      const bool mustBeComplete = from <= aReference.RecoveryOffset();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(where, mustBeComplete, reader.IsComplete());
      if (reader.IsComplete()) {
        AssertSameSet(aReference, reader);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStateTest);

} // namespace

} // namespace skylarkhill::catalog
