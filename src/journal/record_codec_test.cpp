#include "skylarkhill/base/json.hpp"
#include "skylarkhill/base/random.hpp"
#include "skylarkhill/journal/record_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::journal {

namespace {

tasks::TaskSpec
MakeSpec()
{
  tasks::TaskSpec spec;
  spec.mTask.mValue = "task";
  spec.mJob.mValue = "job";
  spec.mTeam = "team";
  spec.mBatchClass = "class";
  spec.mPool = "pool";
  spec.mCaller = "caller";
  spec.mDeclared = { 4000, 60'000'000'000, 2 };
  spec.mDeclaredRunSeconds = 3600;
  spec.mUrgent = true;
  spec.mPayload = std::string("\xc3\xb1\0\n\"", 5);
  return spec;
}

/// One record of every type, with every field set.
std::vector<SiteRecord>
MakeRecords()
{
  const requests::OutcomeRecord outcome{ { "key" },
                                         { "instance" },
                                         requests::Outcome::NotRun,
                                         base::ErrorKind::Overloaded,
                                         "body",
                                         true };
  TaskSnapshotRecord task;
  task.mAsOf = 17;
  task.mTask = { MakeSpec(), tasks::TaskState::Running,
                 3,          9,
                 4,          7,
                 { "w" },    "ck",
                 "detail",   2,
                 1,          { { "w1" }, { "w2" } },
                 true,       true };
  KeySnapshotRecord key;
  key.mAsOf = 18;
  key.mKey = {
    { "key" }, requests::KeyState::Finished, { "i" }, 1, 2, outcome
  };
  return { tasks::TaskRecord(tasks::AcceptRecord{ MakeSpec() }),
           tasks::TaskRecord(tasks::GrantRecord{ { "t" }, 1, { "w" } }),
           tasks::TaskRecord(tasks::StartedRecord{ { "t" }, 2 }),
           tasks::TaskRecord(tasks::EndRecord{
             { "t" }, 3, tasks::AttemptOutcome::Lost, "ck", "detail" }),
           tasks::TaskRecord(tasks::CancelRecord{ { "t" }, "caller" }),
           tasks::TaskRecord(tasks::QuarantineRecord{ { "t" }, "reason" }),
           requests::KeyRecord(requests::IntentRecord{ { "k" }, { "i" } }),
           requests::KeyRecord(outcome),
           task,
           key };
}

class RecordCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RecordCodecTest);
  CPPUNIT_TEST(RoundTripsEveryRecordType);
  CPPUNIT_TEST(RejectsEveryTruncation);
  CPPUNIT_TEST(ToleratesRandomCorruption);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a field that is not encoded or decoded. The encoded form has
  // all fields, so equal bytes mean equal records.
  void RoundTripsEveryRecordType()
  {
    Batch batch;
    batch.mWriter = "entry-1/3";
    batch.mSequence = 7;
    batch.mPosition = { 41, 12 };
    batch.mWrittenAtMs = 1'700'000'000'000;
    for (const auto& it : MakeRecords()) {
      batch.mRecords.push_back(EncodeRecord(it));
    }
    const std::string text = EncodeBatch(batch);
    CPPUNIT_ASSERT(base::IsUtf8(text));
    CPPUNIT_ASSERT(text.find('\n') == std::string::npos);
    const auto read = DecodeBatch(text);
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(batch.mWriter, read.value().mWriter);
    CPPUNIT_ASSERT_EQUAL(batch.mSequence, read.value().mSequence);
    CPPUNIT_ASSERT_EQUAL(Offset(41), read.value().mPosition.mAppliedThrough);
    CPPUNIT_ASSERT_EQUAL(Offset(12), read.value().mPosition.mFirstRetained);
    CPPUNIT_ASSERT_EQUAL(batch.mWrittenAtMs, read.value().mWrittenAtMs);
    CPPUNIT_ASSERT(batch.mRecords == read.value().mRecords);
    const auto records = MakeRecords();
    for (std::size_t i = 0; i < records.size(); ++i) {
      const auto record = DecodeRecord(batch.mRecords[i]);
      CPPUNIT_ASSERT(record.has_value());
      CPPUNIT_ASSERT_EQUAL(records[i].index(), record.value().index());
      CPPUNIT_ASSERT(EncodeRecord(record.value()) == batch.mRecords[i]);
    }
    const auto accept = DecodeRecord(batch.mRecords[0]);
    const auto& task = std::get<tasks::TaskRecord>(accept.value());
    const auto& spec = std::get<tasks::AcceptRecord>(task).mSpec;
    CPPUNIT_ASSERT_EQUAL(MakeSpec().mPayload, spec.mPayload);
    CPPUNIT_ASSERT(MakeSpec().mDeclared == spec.mDeclared);
  }

  // Guards against a truncated record that is applied with default values.
  void RejectsEveryTruncation()
  {
    for (const auto& it : MakeRecords()) {
      const std::string bytes = EncodeRecord(it);
      for (std::size_t n = 0; n < bytes.size(); ++n) {
        CPPUNIT_ASSERT(DecodeRecord(bytes.substr(0, n)).has_error());
      }
    }
    for (const char* it : { "", "sh1:", "sh1:!!!!", "sh1:AAAA", "{\"a\":1}" }) {
      CPPUNIT_ASSERT_MESSAGE(it, DecodeBatch(it).has_error());
    }
  }

  // Guards against a corrupt record that crashes the process. It may decode to
  // a different record, but must not throw or read out of bounds.
  void ToleratesRandomCorruption()
  {
    const auto random = base::CreateSeededRandom(11);
    for (int i = 0; i < 5'000; ++i) {
      const auto records = MakeRecords();
      Batch batch;
      batch.mWriter = "w";
      batch.mRecords = { EncodeRecord(records[random->Below(records.size())]) };
      std::string bytes = batch.mRecords[0];
      bytes[random->Below(bytes.size())] = static_cast<char>(random->Next());
      const auto record = DecodeRecord(bytes);
      CPPUNIT_ASSERT(record.has_value() || record.has_error());
      std::string text = EncodeBatch(batch);
      text[random->Below(text.size())] = static_cast<char>(random->Next());
      const auto read = DecodeBatch(text);
      CPPUNIT_ASSERT(read.has_value() || read.has_error());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordCodecTest);

} // namespace

} // namespace skylarkhill::journal
