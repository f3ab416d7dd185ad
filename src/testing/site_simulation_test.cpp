#include "skylarkhill/testing/site_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace skylarkhill::testing {

namespace {

constexpr std::uint64_t kSeeds = 100;

class SiteSimulationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SiteSimulationTest);
  CPPUNIT_TEST(NoViolationForFixedSeeds);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against faults in the interaction of all components, such as two
  // holders of a worker, repeated executions, lost tasks and wrong outcomes.
  void NoViolationForFixedSeeds()
  {
    SiteSimulationResult sum;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const SiteSimulationResult run = RunSiteSimulation(seed, {});
      std::string text = "seed " + std::to_string(seed) + ": " + run.mViolation;
      for (const auto& it : run.mTrace) {
        text += "\n" + it;
      }
      CPPUNIT_ASSERT_MESSAGE(text, run.mViolation.empty());
      sum.mTasksEnded += run.mTasksEnded;
      sum.mExecutedKeys += run.mExecutedKeys;
      sum.mCompletedRequests += run.mCompletedRequests;
      sum.mPublishOutcomes += run.mPublishOutcomes;
      sum.mSnapshots += run.mSnapshots;
    }
    // Guards against a simulation that does no work and so violates nothing.
    CPPUNIT_ASSERT(sum.mTasksEnded > 20 * kSeeds);
    CPPUNIT_ASSERT(sum.mExecutedKeys > 10 * kSeeds);
    CPPUNIT_ASSERT(sum.mCompletedRequests > 10 * kSeeds);
    CPPUNIT_ASSERT(sum.mPublishOutcomes > 5 * kSeeds);
    CPPUNIT_ASSERT(sum.mSnapshots > kSeeds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SiteSimulationTest);

} // namespace

} // namespace skylarkhill::testing
