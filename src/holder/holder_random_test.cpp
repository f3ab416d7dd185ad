#include "skylarkhill/testing/holder_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>

namespace skylarkhill::holder {

namespace {

using testing::HolderRun;
using testing::RunHolderWorld;
using Variant = testing::HolderVariant;

constexpr std::uint64_t kSeeds = 30;
constexpr std::size_t kMinTasksDonePerSeed = 25;
// Seeds tried before a test fails because no violation was found. The rarest
// violation occurs in about 2% of the seeds.
constexpr std::uint64_t kMaxSearchedSeeds = 400;

class HolderRandomTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HolderRandomTest);
  CPPUNIT_TEST(NoViolationWithBoundedDelays);
  CPPUNIT_TEST(NoViolationWithLateMessages);
  CPPUNIT_TEST(NoViolationWithSlowLog);
  CPPUNIT_TEST(NoViolationAfterWorkerRestarts);
  CPPUNIT_TEST(FindsMissingVerification);
  CPPUNIT_TEST(FindsMissingClockMargin);
  CPPUNIT_TEST(FindsMissingQuietPeriod);
  CPPUNIT_TEST(FindsMissingNotAfterCheck);
  CPPUNIT_TEST(FindsMissingStartOnceRule);
  CPPUNIT_TEST(FindsMissingCheckBeforeSend);
  CPPUNIT_TEST(FindsStartOfInheritedGrants);
  CPPUNIT_TEST(FindsShortQuietPeriodAfterRestarts);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against violations that occur although no message exceeds the
  // maximum delay. The workers do not check not_after.
  void NoViolationWithBoundedDelays()
  {
    Variant variant;
    variant.mWorkerChecksNotAfter = false;
    ExpectNoViolation(variant);
  }

  // Guards against stale commands that arrive after the quiet period.
  void NoViolationWithLateMessages()
  {
    Variant variant;
    variant.mLateMessages = true;
    ExpectNoViolation(variant);
  }

  // Guards against records that are no longer valid when the log appends them.
  void NoViolationWithSlowLog()
  {
    Variant variant;
    variant.mWorkerChecksNotAfter = false;
    variant.mSlowLog = true;
    ExpectNoViolation(variant);
  }

  // Guards against a holder whose lease was lost in a restart of the worker.
  void NoViolationAfterWorkerRestarts()
  {
    Variant variant;
    variant.mWorkerChecksNotAfter = false;
    variant.mWorkersForget = true;
    // Long quiet periods leave less time to complete tasks.
    ExpectNoViolation(variant, 15);
  }

  // The following tests show that each mechanism is necessary: without it, the
  // random runs find a violation.
  void FindsMissingVerification()
  {
    Variant variant;
    variant.mVerify = false;
    ExpectViolation(variant);
  }

  void FindsMissingClockMargin()
  {
    Variant variant;
    variant.mMargin = false;
    ExpectViolation(variant);
  }

  void FindsMissingQuietPeriod()
  {
    Variant variant;
    variant.mWorkerChecksNotAfter = false;
    variant.mQuietPeriod = false;
    variant.mSlowCommandPercent = 60;
    ExpectViolation(variant);
  }

  void FindsMissingNotAfterCheck()
  {
    Variant variant;
    variant.mLateMessages = true;
    variant.mWorkerChecksNotAfter = false;
    ExpectViolation(variant);
  }

  void FindsMissingStartOnceRule()
  {
    Variant variant;
    variant.mStartOnce = false;
    ExpectViolation(variant);
  }

  // Expects the violation that a pause of the process between the decision to
  // send a command and the send causes.
  void FindsMissingCheckBeforeSend()
  {
    Variant variant;
    variant.mWorkerChecksNotAfter = false;
    variant.mCheckBeforeSend = false;
    ExpectViolation(variant);
  }

  // Expects the violation that a release or cancellation by the previous holder
  // causes if the log appends it after the new holder started the attempt.
  void FindsStartOfInheritedGrants()
  {
    Variant variant;
    variant.mSlowLog = true;
    variant.mReleaseInherited = false;
    ExpectViolation(variant);
  }

  // Expects the violation that a holder causes that sends commands until its
  // deadline although the restarted worker has lost its lease.
  void FindsShortQuietPeriodAfterRestarts()
  {
    Variant variant;
    variant.mWorkersForget = true;
    variant.mLongQuietPeriod = false;
    ExpectViolation(variant);
  }

private:
  static void ExpectNoViolation(
    const Variant& aVariant,
    std::size_t aMinTasksDonePerSeed = kMinTasksDonePerSeed)
  {
    std::size_t done = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const HolderRun run = RunHolderWorld(seed, aVariant);
      std::string text = "seed " + std::to_string(seed) + ": " + run.mViolation;
      for (const auto& it : run.mTrace) {
        text += "\n" + it;
      }
      CPPUNIT_ASSERT_MESSAGE(text, run.mViolation.empty());
      done += run.mTasksDone;
    }
    // A holder that starts no task causes no violation either.
    CPPUNIT_ASSERT_MESSAGE("tasks done: " + std::to_string(done),
                           done > kSeeds * aMinTasksDonePerSeed);
  }

  static void ExpectViolation(const Variant& aVariant)
  {
    for (std::uint64_t seed = 1; seed <= kMaxSearchedSeeds; ++seed) {
      const HolderRun run = RunHolderWorld(seed, aVariant);
      if (!run.mViolation.empty()) {
        std::cout << " [seed " << seed << ": " << run.mViolation << "]";
        return;
      }
    }
    CPPUNIT_FAIL("no seed detects the missing mechanism");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HolderRandomTest);

} // namespace

} // namespace skylarkhill::holder
