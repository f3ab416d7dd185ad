#include "skylarkhill/catalog/check.hpp"
#include "skylarkhill/catalog/delta.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>

namespace skylarkhill::catalog {

namespace {

std::string
ReadExample(const std::string& aName)
{
  std::ifstream in(SKYLARKHILL_SOURCE_DIR "/examples/" + aName);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string
MakeDocument(const std::string& aObjects)
{
  return "{\"objects\":[" + aObjects + "]}";
}

const std::string kPool =
  R"({"kind":"pool","name":"p","workers":10,"worker_capacity":)"
  R"({"milli_processors":16000,"memory_bytes":1000}})";

std::string
MakeService(const std::string& aName, const std::string& aMembers)
{
  return R"({"kind":"service","name":")" + aName + R"(",)" + aMembers + "}";
}

std::string
MakeBatchClass(const std::string& aName, const std::string& aMembers)
{
  return R"({"kind":"batch_class","name":")" + aName + R"(",)" + aMembers +
         R"(,"default_resources":{"milli_processors":4000,"memory_bytes":10}})";
}

bool
HasFinding(const SetReadResult& aResult,
           const std::string& aObject,
           const std::string& aPart)
{
  return std::any_of(aResult.mFindings.begin(),
                     aResult.mFindings.end(),
                     [&](const Finding& aFinding) {
                       return aFinding.mObject == aObject &&
                              aFinding.mProblem.find(aPart) !=
                                std::string::npos;
                     });
}

class CatalogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CatalogTest);
  CPPUNIT_TEST(AcceptsExamples);
  CPPUNIT_TEST(ReportsAllFindings);
  CPPUNIT_TEST(ReportsCapacityFindings);
  CPPUNIT_TEST(ReportsCycles);
  CPPUNIT_TEST(InheritsEvictionRules);
  CPPUNIT_TEST(RejectsMalformedDocuments);
  CPPUNIT_TEST(DigestDependsOnContentOnly);
  CPPUNIT_TEST(AppliesDeltas);
  CPPUNIT_TEST(ChecksLargeSetWithinOneSecond);
  CPPUNIT_TEST(ChecksLongInheritanceChainWithinOneSecond);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against examples that the program itself rejects.
  void AcceptsExamples()
  {
    for (const char* it : { "direccion.json", "exchange.json" }) {
      const auto set = ParseSet(ReadExample(it));
      CPPUNIT_ASSERT_MESSAGE(set.has_error() ? set.error().mDetail : "",
                             set.has_value());
      const std::string text = base::FormatJson(FormatSet(set.value()));
      const auto reparsed = ParseSet(text);
      CPPUNIT_ASSERT(reparsed.has_value());
      CPPUNIT_ASSERT_EQUAL(set.value().Digest(), reparsed.value().Digest());
    }
  }

  // Guards against a check that stops at the first problem.
  void ReportsAllFindings()
  {
    const auto result = ReadSet(MakeDocument(
      kPool + "," +
      MakeService("a", R"("pool":"none","importance":101,"colour":1)") + "," +
      MakeService("b", R"("pool":"a","reserve":{"cpus":1},"queue_limit":"x")") +
      "," + MakeService("b", R"("pool":"p")") +
      R"(,{"kind":"thing","name":"c"},)" +
      R"({"kind":"team","name":"t","batch_classes":["a","zz"],)" +
      R"("quota":{"milli_processors":1,"memory_bytes":1}},7,)" +
      R"({"kind":"profile","name":"x","preset":"tail"},)" +
      R"({"kind":"profile","name":"y","preset":"slow"})"));
    CPPUNIT_ASSERT(result.has_value());
    const SetReadResult& it = result.value();
    CPPUNIT_ASSERT(HasFinding(it, "service 'a'", "unknown pool 'none'"));
    CPPUNIT_ASSERT(HasFinding(it, "service 'a'", "between 0 and 100"));
    CPPUNIT_ASSERT(HasFinding(it, "service 'a'", "'colour' is unknown"));
    CPPUNIT_ASSERT(HasFinding(it, "service 'b'", "service 'a' instead of"));
    CPPUNIT_ASSERT(HasFinding(it, "service 'b'", "'cpus' is unknown"));
    CPPUNIT_ASSERT(HasFinding(it, "service 'b'", "must be an integer"));
    CPPUNIT_ASSERT(HasFinding(it, "service 'b'", "duplicate name: object 4"));
    CPPUNIT_ASSERT(HasFinding(it, "object 5", "'kind'"));
    CPPUNIT_ASSERT(HasFinding(it, "team 't'", "service 'a' instead of"));
    CPPUNIT_ASSERT(HasFinding(it, "team 't'", "unknown batch_class 'zz'"));
    CPPUNIT_ASSERT(HasFinding(it, "object 7", "not an object"));
    CPPUNIT_ASSERT(HasFinding(it, "profile 'y'", "one of throughput, tail"));
    CPPUNIT_ASSERT(HasFinding(it, "profile 'y'", "there is also 'x'"));
  }

  // Guards against guarantees and batch classes that exceed the pool.
  void ReportsCapacityFindings()
  {
    const std::string reserve =
      R"("pool":"p","reserve":{"milli_processors":13000})";
    const auto result =
      ReadSet(MakeDocument(kPool + "," + MakeService("s", reserve) + "," +
                           MakeBatchClass("b", R"("pool":"p")")));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), result.value().mFindings.size());
    CPPUNIT_ASSERT(
      HasFinding(result.value(), "batch_class 'b'", "can ever hold"));
    CPPUNIT_ASSERT_EQUAL(
      std::int64_t(3000),
      BatchCapacityPerWorker(result.value().mSet, "p").mMilliProcessors);

    std::string pool = kPool;
    pool.insert(pool.size() - 1,
                R"(,"shares":[{"for":"b","resources":{"milli_processors":)"
                R"(31000}},{"for":"q","resources":{}}])");
    const auto overcommitted =
      ReadSet(MakeDocument(pool + "," + MakeService("s", reserve) + "," +
                           MakeService("t", R"("pool":"p")")));
    CPPUNIT_ASSERT(HasFinding(overcommitted.value(),
                              "pool 'p'",
                              "guaranteed resources exceed the pool size"));
    CPPUNIT_ASSERT(
      HasFinding(overcommitted.value(), "pool 'p'", "batch_class 'q'"));
    const auto twice =
      ReadSet(MakeDocument(kPool + "," + MakeService("s", reserve) + "," +
                           MakeService("t", reserve)));
    CPPUNIT_ASSERT(HasFinding(twice.value(), "pool 'p'", "reserves"));
  }

  // Guards against endless loops in inheritance cycles, and against a cycle
  // that hides another.
  void ReportsCycles()
  {
    const auto result = ReadSet(
      MakeDocument(R"({"kind":"eviction_policy","name":"a","parent":"b"},)"
                   R"({"kind":"eviction_policy","name":"b","parent":"c"},)"
                   R"({"kind":"eviction_policy","name":"c","parent":"b"},)"
                   R"({"kind":"eviction_policy","name":"d","parent":"d"},)"
                   R"({"kind":"eviction_policy","name":"e","parent":"a"})"));
    const auto& findings = result.value().mFindings;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), findings.size());
    CPPUNIT_ASSERT(
      HasFinding(result.value(), "eviction_policy 'b'", "b -> c -> b"));
    CPPUNIT_ASSERT(HasFinding(result.value(), "eviction_policy 'd'", "d -> d"));
    ResolveEvictionRules(result.value().mSet, "a");
  }

  void InheritsEvictionRules()
  {
    const auto result = ReadSet(
      MakeDocument(R"({"kind":"eviction_policy","name":"a","policy":)"
                   R"("throttle_then_evict","throttle_percent":110},)"
                   R"({"kind":"eviction_policy","name":"b","parent":"a",)"
                   R"("evict_percent":105})"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), result.value().mFindings.size());
    CPPUNIT_ASSERT(
      HasFinding(result.value(), "eviction_policy 'b'", "110 exceeds"));
    const auto rules = ResolveEvictionRules(result.value().mSet, "b");
    CPPUNIT_ASSERT(rules.mKind == EvictionKind::ThrottleThenEvict);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(110), rules.mThrottlePercent);
  }

  // Guards against crashes on documents of the wrong shape.
  void RejectsMalformedDocuments()
  {
    for (const char* it :
         { "[]", "{}", "3", R"({"objects":{}})", R"({"objects":[],"x":1})" }) {
      const auto set = ParseSet(std::string_view(it));
      CPPUNIT_ASSERT_MESSAGE(it, set.has_error());
      CPPUNIT_ASSERT(set.error().mKind == base::ErrorKind::InvalidSet);
    }
    const auto truncated = ParseSet(std::string_view(R"({"objects":[)"));
    CPPUNIT_ASSERT(truncated.error().mKind == base::ErrorKind::InvalidJson);
    const std::string hugeReserve = MakeDocument(
      kPool + R"(,{"kind":"service","name":"s","pool":"p","reserve":)" +
      R"({"memory_bytes":9223372036854775807}})");
    CPPUNIT_ASSERT(ParseSet(std::string_view(hugeReserve)).has_error());
  }

  void DigestDependsOnContentOnly()
  {
    const std::string a = MakeService("a", R"("pool":"p")");
    const std::string b = MakeService("b", R"("pool":"p")");
    const auto one =
      ParseSet(std::string_view(MakeDocument(kPool + "," + a + "," + b)));
    const auto two =
      ParseSet(std::string_view(MakeDocument(b + "," + a + "," + kPool)));
    CPPUNIT_ASSERT_EQUAL(one.value().Digest(), two.value().Digest());
    const std::string c = MakeService("b", R"("pool":"p","max_attempts":4)");
    const auto three =
      ParseSet(std::string_view(MakeDocument(kPool + "," + a + "," + c)));
    CPPUNIT_ASSERT(one.value().Digest() != three.value().Digest());
    CatalogSet changed = one.value();
    changed.Remove("a");
    CPPUNIT_ASSERT(one.value().Digest() != changed.Digest());
    changed.Put(*one.value().Find("a"));
    CPPUNIT_ASSERT_EQUAL(one.value().Digest(), changed.Digest());
  }

  void AppliesDeltas()
  {
    const auto base = ParseSet(ReadExample("direccion.json"));
    const auto target = ParseSet(ReadExample("exchange.json"));
    const auto delta = Diff(base.value(), target.value());
    const auto parsed = ParseDelta(FormatDelta(delta));
    CPPUNIT_ASSERT(parsed.has_value());
    const auto result = ApplyDelta(base.value(), parsed.value());
    CPPUNIT_ASSERT(result.has_value());
    CPPUNIT_ASSERT_EQUAL(target.value().Digest(), result.value().Digest());
    CPPUNIT_ASSERT(Diff(result.value(), target.value()).mChanged.empty());
    // A delta that does not match its base must be rejected as a whole.
    CPPUNIT_ASSERT(ApplyDelta(target.value(), parsed.value()).has_error());
    SetDelta twice;
    twice.mChanged.assign(2, delta.mChanged.front());
    CPPUNIT_ASSERT(ApplyDelta(CatalogSet(), twice).has_error());
  }

  // 10,000 objects must be checked within a second.
  void ChecksLargeSetWithinOneSecond()
  {
    std::string objects = kPool;
    for (int i = 1; i < kManyObjects; ++i) {
      const std::string name = "o" + std::to_string(i);
      objects += "," + (i % 2 == 0 ? MakeService(name, R"("pool":"p")")
                                   : MakeBatchClass(name, R"("pool":"p")"));
    }
    CPPUNIT_ASSERT(ReadWithinLimit(MakeDocument(objects)).mFindings.empty());
  }

  // Guards against a check that takes quadratic time in the length of an
  // inheritance chain.
  void ChecksLongInheritanceChainWithinOneSecond()
  {
    std::string objects = R"({"kind":"eviction_policy","name":"c0",)"
                          R"("policy":"none"})";
    for (int i = 1; i < kManyObjects; ++i) {
      objects += R"(,{"kind":"eviction_policy","name":"c)" + std::to_string(i) +
                 R"(","parent":"c)" + std::to_string(i - 1) + R"("})";
    }
    const SetReadResult result = ReadWithinLimit(MakeDocument(objects));
    CPPUNIT_ASSERT(!HasFinding(result, "eviction_policy 'c16'", ""));
    CPPUNIT_ASSERT(HasFinding(result, "eviction_policy 'c17'", "more than 16"));
  }

private:
  static constexpr int kManyObjects = 10'000;

  // Measures processor time: elapsed time would include waiting for other
  // processes on a busy machine.
  static SetReadResult ReadWithinLimit(const std::string& aText)
  {
    constexpr double kMaxSeconds = 1.0;
    const std::clock_t begin = std::clock();
    auto result = ReadSet(std::string_view(aText));
    const double elapsed =
      static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    std::cout << " [" << elapsed << " s] ";
    CPPUNIT_ASSERT(elapsed < kMaxSeconds);
    CPPUNIT_ASSERT_EQUAL(std::size_t(kManyObjects),
                         result.value().mSet.All().size());
    return std::move(result.value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogTest);

} // namespace

} // namespace skylarkhill::catalog
