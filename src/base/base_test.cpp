#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/hash.hpp"
#include "skylarkhill/base/resources.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace skylarkhill::base {

namespace {

class BaseTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BaseTest);
  CPPUNIT_TEST(ErrorTableMatchesEnumerators);
  CPPUNIT_TEST(RendezvousMovesOnlyKeysOfARemovedMember);
  CPPUNIT_TEST(FitsComparesEveryDimension);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against rows that are not in the order of the enumerators.
  void ErrorTableMatchesEnumerators()
  {
    for (int n = 0; n <= static_cast<int>(ErrorKind::Internal); ++n) {
      const auto kind = static_cast<ErrorKind>(n);
      CPPUNIT_ASSERT(GetErrorInfo(kind).mKind == kind);
      CPPUNIT_ASSERT(ParseErrorKind(NameOf(kind)) == kind);
    }
  }

  void RendezvousMovesOnlyKeysOfARemovedMember()
  {
    const std::vector<std::string> all{ "a", "b", "c", "d" };
    const std::vector<std::string> remaining{ "a", "b", "c" };
    std::map<std::string, int> keysPerMember;
    for (int n = 0; n < 400; ++n) {
      const std::string key = "worker-" + std::to_string(n);
      const std::string before = RendezvousRank(key, all).front();
      const std::string after = RendezvousRank(key, remaining).front();
      ++keysPerMember[before];
      CPPUNIT_ASSERT(before == "d" || before == after);
    }
    for (const auto& it : keysPerMember) {
      CPPUNIT_ASSERT(it.second > 60 && it.second < 140);
    }
  }

  void FitsComparesEveryDimension()
  {
    const Resources free{ 1000, 100, 1 };
    CPPUNIT_ASSERT(Fits({ 1000, 100, 1 }, free));
    CPPUNIT_ASSERT(!Fits({ 1001, 1, 0 }, free));
    CPPUNIT_ASSERT(!Fits({ 1, 101, 0 }, free));
    CPPUNIT_ASSERT(!Fits({ 1, 1, 2 }, free));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);

} // namespace

} // namespace skylarkhill::base
