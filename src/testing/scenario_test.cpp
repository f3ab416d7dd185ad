#include "skylarkhill/testing/scenario_runner.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestCase.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactory.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <atomic>
#include <future>
#include <iostream>
#include <map>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace skylarkhill::testing {

namespace {

/// Scenarios that run at the same time; each starts up to about ten processes.
constexpr std::size_t kParallelScenarios = 3;
constexpr std::uint64_t kSeed = 20'260;

/// Runs all scenarios in background threads; the tests wait for the results.
class ScenarioPool
{
public:
  ~ScenarioPool()
  {
    for (auto& it : mThreads) {
      it.join();
    }
  }

  void Start(std::vector<ScenarioOptions> aScenarios)
  {
    mScenarios = std::move(aScenarios);
    mPromises.resize(mScenarios.size());
    for (std::size_t n = 0; n < mScenarios.size(); ++n) {
      mResults[mScenarios[n].mName] = mPromises[n].get_future().share();
    }
    for (std::size_t n = 0; n < kParallelScenarios; ++n) {
      mThreads.emplace_back([this] { RunScenarios(); });
    }
  }

  ScenarioResult WaitForResult(const ScenarioOptions& aOptions)
  {
    const auto it = mResults.find(aOptions.mName);
    return it == mResults.end() ? RunScenario(aOptions) : it->second.get();
  }

private:
  void RunScenarios()
  {
    for (std::size_t n = mNextScenario++; n < mScenarios.size();
         n = mNextScenario++) {
      mPromises[n].set_value(RunScenario(mScenarios[n]));
    }
  }

  std::vector<ScenarioOptions> mScenarios;
  std::vector<std::promise<ScenarioResult>> mPromises;
  std::map<std::string, std::shared_future<ScenarioResult>> mResults;
  std::atomic<std::size_t> mNextScenario{ 0 };
  std::vector<std::thread> mThreads;
};

/// Runs one scenario file. The comment at the head of the file says which
/// failure it guards against.
class ScenarioTest : public CppUnit::TestCase
{
public:
  ScenarioTest(ScenarioOptions aOptions, std::shared_ptr<ScenarioPool> aPool)
    : CppUnit::TestCase("ScenarioTest::" + aOptions.mName)
    , mOptions(std::move(aOptions))
    , mPool(std::move(aPool))
  {
  }

  void runTest() override
  {
    const ScenarioResult result = mPool->WaitForResult(mOptions);
    for (const auto& it : result.mReports) {
      std::cout << "\n  " << mOptions.mName << ": " << it << std::flush;
    }
    CPPUNIT_ASSERT_MESSAGE(result.mFailure + "\nseed " +
                             std::to_string(mOptions.mSeed),
                           result.mFailure.empty());
  }

private:
  const ScenarioOptions mOptions;
  const std::shared_ptr<ScenarioPool> mPool;
};

/// Starts all scenarios in parallel if the whole suite runs. A test that is
/// selected alone runs only its scenario.
class ScenarioSuite : public CppUnit::TestSuite
{
public:
  ScenarioSuite()
    : CppUnit::TestSuite("ScenarioTest")
    , mPool(std::make_shared<ScenarioPool>())
  {
    int network = 0;
    for (const auto& it : ListScenarios(SKYLARKHILL_SOURCE_DIR)) {
      mScenarios.push_back({ it,
                             SKYLARKHILL_SOURCE_DIR,
                             SKYLARKHILL_BINARY_DIR,
                             ++network,
                             kSeed });
      addTest(new ScenarioTest(mScenarios.back(), mPool));
    }
  }

  void run(CppUnit::TestResult* aController) override
  {
    mPool->Start(mScenarios);
    CppUnit::TestSuite::run(aController);
  }

private:
  std::vector<ScenarioOptions> mScenarios;
  std::shared_ptr<ScenarioPool> mPool;
};

class ScenarioSuiteFactory : public CppUnit::TestFactory
{
public:
  CppUnit::Test* makeTest() override { return new ScenarioSuite; }
};

const bool kIsRegistered = [] {
  CppUnit::TestFactoryRegistry::getRegistry().registerFactory(
    new ScenarioSuiteFactory);
  return true;
}();

} // namespace

} // namespace skylarkhill::testing
