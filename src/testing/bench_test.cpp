#include "skylarkhill/testing/bench_run.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::testing {

namespace {

class BenchTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BenchTest);
  CPPUNIT_TEST(ThroughputProfileDoesNotReduceBatchWork);
  CPPUNIT_TEST(TailProfileDoesNotIncreaseTailLatency);
  CPPUNIT_TEST(SameSeedGivesTheSameMetrics);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a policy change that reduces batch throughput, the main
  // objective of the site direccion.
  void ThroughputProfileDoesNotReduceBatchWork()
  {
    const BenchMetrics baseline = Run("direccion", BenchSetup::Baseline);
    const BenchMetrics profile = Run("direccion", BenchSetup::SiteProfile);
    CPPUNIT_ASSERT(ValueOf(profile, BenchMetric::BatchWork) >=
                   ValueOf(baseline, BenchMetric::BatchWork));
  }

  // Guards against a policy change that worsens the tail latency of the site
  // exchange or its share of requests answered in time at peak demand.
  void TailProfileDoesNotIncreaseTailLatency()
  {
    const BenchMetrics baseline = Run("exchange", BenchSetup::Baseline);
    const BenchMetrics profile = Run("exchange", BenchSetup::SiteProfile);
    CPPUNIT_ASSERT(ValueOf(profile, BenchMetric::LatencyP99) <=
                   ValueOf(baseline, BenchMetric::LatencyP99));
    CPPUNIT_ASSERT(ValueOf(profile, BenchMetric::InTimeAtPeak) >=
                   ValueOf(baseline, BenchMetric::InTimeAtPeak));
  }

  // Guards against results that depend on anything but the seed.
  void SameSeedGivesTheSameMetrics()
  {
    CPPUNIT_ASSERT(Run("exchange", BenchSetup::SiteProfile) ==
                   Run("exchange", BenchSetup::SiteProfile));
  }

private:
  static BenchMetrics Run(const char* aSite, BenchSetup aSetup)
  {
    BenchSite site = FindBenchSite(aSite).value();
    site.mDuration = std::chrono::seconds(60);
    return RunBench(site, aSetup, 7);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BenchTest);

} // namespace

} // namespace skylarkhill::testing
