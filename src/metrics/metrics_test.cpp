#include "skylarkhill/base/random.hpp"
#include "skylarkhill/metrics/registry.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <thread>
#include <vector>

namespace skylarkhill::metrics {

namespace {

class MetricsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(PrintsPrometheusText);
  CPPUNIT_TEST(FindsSeriesByLabels);
  CPPUNIT_TEST(EstimatesQuantiles);
  CPPUNIT_TEST(SummarizesFewSamples);
  CPPUNIT_TEST(CountsFromManyThreads);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against output that is not valid Prometheus text.
  void PrintsPrometheusText()
  {
    Registry registry;
    registry.GetGauge("b_depth", "Queue depth.").Set(-2);
    registry
      .GetCounter("a_total", "Requests.", { { LabelKey::Outcome, "a\"\\\n" } })
      .Add(3);
    registry.GetCounter("a_total", "Requests.", { { LabelKey::Outcome, "b" } });
    registry.GetDistribution("c_ms", "Latency.", { { LabelKey::Pool, "p" } })
      .Record(2.5);
    CPPUNIT_ASSERT_EQUAL(std::string("# HELP a_total Requests.\n"
                                     "# TYPE a_total counter\n"
                                     "a_total{outcome=\"a\\\"\\\\\\n\"} 3\n"
                                     "a_total{outcome=\"b\"} 0\n"
                                     "# HELP b_depth Queue depth.\n"
                                     "# TYPE b_depth gauge\n"
                                     "b_depth -2\n"
                                     "# HELP c_ms Latency.\n"
                                     "# TYPE c_ms summary\n"
                                     "c_ms{pool=\"p\",quantile=\"0.5\"} 2.5\n"
                                     "c_ms{pool=\"p\",quantile=\"0.9\"} 2.5\n"
                                     "c_ms{pool=\"p\",quantile=\"0.99\"} 2.5\n"
                                     "c_ms{pool=\"p\",quantile=\"0.999\"} 2.5\n"
                                     "c_ms{pool=\"p\",quantile=\"1\"} 2.5\n"
                                     "c_ms_sum{pool=\"p\"} 2.5\n"
                                     "c_ms_count{pool=\"p\"} 1\n"),
                         registry.FormatPrometheus());
  }

  // Guards against separate series for the same labels in a different order.
  void FindsSeriesByLabels()
  {
    Registry registry;
    const Label pool{ LabelKey::Pool, "p" };
    const Label kind{ LabelKey::Kind, "k" };
    Counter& one = registry.GetCounter("n", "N.", { pool, kind });
    Counter& two = registry.GetCounter("n", "N.", { kind, pool });
    CPPUNIT_ASSERT(&one == &two);
    CPPUNIT_ASSERT(&one != &registry.GetCounter("n", "N.", { kind }));
  }

  // Guards against inaccurate estimates of high quantiles.
  void EstimatesQuantiles()
  {
    constexpr int kSamples = 200'000;
    constexpr double kRelativeTolerance = 0.1;
    const auto random = base::CreateSeededRandom(7);
    Distribution distribution;
    for (int i = 0; i < kSamples; ++i) {
      distribution.Record(-std::log(1.0 - random->UniformReal()));
    }
    const Summary summary = distribution.Read();
    CPPUNIT_ASSERT_EQUAL(std::int64_t(kSamples), summary.mCount);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, summary.mSum / kSamples, 0.02);
    for (const auto& [quantile, estimate] :
         std::vector<std::pair<double, double>>{ { 0.5, summary.mMedian },
                                                 { 0.9, summary.mP90 },
                                                 { 0.99, summary.mP99 },
                                                 { 0.999, summary.mP999 } }) {
      const double exact = -std::log(1.0 - quantile);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(exact, estimate, kRelativeTolerance * exact);
    }
  }

  // Guards against reporting estimates before the estimator has a sample for
  // each of its markers.
  void SummarizesFewSamples()
  {
    Distribution distribution;
    CPPUNIT_ASSERT_EQUAL(0.0, distribution.Read().mMax);
    for (const double it : { 3.0, 1.0, 2.0 }) {
      distribution.Record(it);
    }
    const Summary summary = distribution.Read();
    CPPUNIT_ASSERT_EQUAL(2.0, summary.mMedian);
    CPPUNIT_ASSERT_EQUAL(3.0, summary.mP999);
    CPPUNIT_ASSERT_EQUAL(3.0, summary.mMax);
  }

  // Guards against lost updates and against data races between updates and
  // FormatPrometheus.
  void CountsFromManyThreads()
  {
    constexpr int kThreads = 8;
    constexpr int kRounds = 2'000;
    Registry registry;
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&registry] {
        for (int n = 0; n < kRounds; ++n) {
          const Label label{ LabelKey::Kind, std::to_string(n % 10) };
          registry.GetCounter("n_total", "N.", { label }).Add();
          registry.GetDistribution("d", "D.").Record(n);
        }
      });
    }
    registry.FormatPrometheus();
    for (auto& it : threads) {
      it.join();
    }
    CPPUNIT_ASSERT_EQUAL(
      std::int64_t(kThreads) * kRounds / 10,
      registry.GetCounter("n_total", "N.", { { LabelKey::Kind, "3" } })
        .Value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(kThreads) * kRounds,
                         registry.GetDistribution("d", "D.").Read().mCount);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace

} // namespace skylarkhill::metrics
