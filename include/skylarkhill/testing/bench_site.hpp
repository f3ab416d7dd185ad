#ifndef SKYLARKHILL_TESTING_BENCH_SITE_HPP
#define SKYLARKHILL_TESTING_BENCH_SITE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/random.hpp"
#include "skylarkhill/base/resources.hpp"
#include "skylarkhill/policy/profiles.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::testing {

/// A latency-critical service of a site.
struct BenchService
{
  std::string mName;
  /// Mean service time on an undisturbed worker.
  base::Duration mMeanServiceTime{ 0 };
  /// Time from arrival until an answer is useless.
  base::Duration mDeadline{ 0 };
  /// Hidden: percent points that one unthrottled task of each batch class adds
  /// to the service time when half of the slots are busy.
  std::vector<double> mInterference;
};

/// A batch class of a site.
struct BenchBatchClass
{
  std::string mName;
  base::Resources mDeclared;
  std::int64_t mDeclaredRunSeconds = 0;
  /// Share of the class in all arrivals.
  double mArrivalShare = 0.0;
  /// Its tasks write a checkpoint now and then and before an eviction.
  bool mHasCheckpoints = true;
  double mMeanRunSeconds = 0.0;
  /// Hidden: processors that a task uses per declared processor.
  double mActualUseRatio = 1.0;
};

/// A site and its load.
struct BenchSite
{
  std::string mName;
  policy::Profile mProfile = policy::Profile::Throughput;
  std::size_t mWorkers = 0;
  std::size_t mRackSize = 0;
  std::size_t mDomainCount = 0;
  base::Duration mDomainLatency{ 0 };
  base::Duration mClientLatency = std::chrono::milliseconds(1);
  std::int64_t mSlots = 8;
  std::int64_t mConnections = 64;
  std::vector<BenchService> mServices;
  std::vector<BenchBatchClass> mBatchClasses;
  base::Duration mDuration = std::chrono::seconds(180);
};

/// The site named `aName` without its hidden values, or nothing.
std::optional<BenchSite>
FindBenchSite(std::string_view aName);

/// Draws the hidden values of `aSite`.
void
DrawHiddenValues(BenchSite& aSite, base::Random& aRandom);

/// A lognormal factor with mean 1.
double
DrawLognormal(base::Random& aRandom, double aSigma);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_BENCH_SITE_HPP
