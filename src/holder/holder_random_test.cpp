#include "skylarkhill/testing/holder_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>

namespace skylarkhill::holder {

namespace {

using testing::HolderSimulationResult;
using testing::RunHolderSimulation;
using Variant = testing::HolderSimulationOptions;

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
    variant.mDelaysAppends = true;
    ExpectNoViolation(variant);
  }

  // Guards against a holder whose lease was lost in a restart of the worker.
  void NoViolationAfterWorkerRestarts()
  {
    Variant variant;
    variant.mWorkerChecksNotAfter = false;
    variant.mRestartsWorkers = true;
    // Long quiet periods leave less time to complete tasks.
    ExpectNoViolation(variant, 15);
  }

  // The following tests show that each mechanism is necessary: without it, the
  // random runs find a violation.
  void FindsMissingVerification()
  {
    Variant variant;
    variant.mVerifiesLease = false;
    ExpectViolation(variant);
  }

  void FindsMissingClockMargin()
  {
    Variant variant;
    variant.mHasClockMargin = false;
    ExpectViolation(variant);
  }

  void FindsMissingQuietPeriod()
  {
    Variant variant;
    variant.mWorkerChecksNotAfter = false;
    variant.mHasQuietPeriod = false;
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
    variant.mWaitsForDelayedStarts = false;
    ExpectViolation(variant);
  }

  // Expects the violation that a pause of the process between the decision to
  // send a command and the send causes.
  void FindsMissingCheckBeforeSend()
  {
    Variant variant;
    variant.mWorkerChecksNotAfter = false;
    variant.mChecksLeaseBeforeSend = false;
    ExpectViolation(variant);
  }

  // Expects the violation that a release or cancellation by the previous holder
  // causes if the log appends it after the new holder started the attempt.
  void FindsStartOfInheritedGrants()
  {
    Variant variant;
    variant.mDelaysAppends = true;
    variant.mReleasesInheritedGrants = false;
    ExpectViolation(variant);
  }

  // Expects the violation that a holder causes that sends commands until its
  // deadline although the restarted worker has lost its lease.
  void FindsShortQuietPeriodAfterRestarts()
  {
    Variant variant;
    variant.mRestartsWorkers = true;
    variant.mQuietPeriodCoversLease = false;
    ExpectViolation(variant);
  }

private:
  static void ExpectNoViolation(
    const Variant& aVariant,
    std::size_t aMinTasksDonePerSeed = kMinTasksDonePerSeed)
  {
    std::size_t done = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const HolderSimulationResult run = RunHolderSimulation(seed, aVariant);
      std::string text = "seed " + std::to_string(seed) + ": " + run.mViolation;
      for (const auto& it : run.mTrace) {
        text += "\n" + it;
      }
      CPPUNIT_ASSERT_MESSAGE(text, run.mViolation.empty());
      done += run.mTasksEnded;
    }
    // A holder that starts no task causes no violation either.
    CPPUNIT_ASSERT_MESSAGE("tasks done: " + std::to_string(done),
                           done > kSeeds * aMinTasksDonePerSeed);
  }

  static void ExpectViolation(const Variant& aVariant)
  {
    for (std::uint64_t seed = 1; seed <= kMaxSearchedSeeds; ++seed) {
      const HolderSimulationResult run = RunHolderSimulation(seed, aVariant);
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
