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
  /// Mean service time on a worker without batch tasks.
  base::Duration mMeanServiceTime{ 0 };
  /// Time from arrival until the response is due.
  base::Duration mDeadline{ 0 };
  /// Hidden from the policies: increase of the service time in percent by one
  /// unthrottled task of each batch class when half of the slots are busy.
  std::vector<double> mInterference;
};

/// A batch class of a site.
struct BenchBatchClass
{
  std::string mName;
  base::Resources mDeclared;
  std::int64_t mDeclaredRunSeconds = 0;
  /// Fraction of task arrivals that belong to this class.
  double mArrivalShare = 0.0;
  /// Tasks write checkpoints periodically and before an eviction.
  bool mHasCheckpoints = true;
  double mMeanRunSeconds = 0.0;
  /// Hidden from the policies: processors used per declared processor.
  double mActualUseRatio = 1.0;
};

/// A simulated site and its load.
struct BenchSite
{
  std::string mName;
  policy::Profile mProfile = policy::Profile::Throughput;
  std::size_t mWorkers = 0;
  std::size_t mRackSize = 0;
  std::size_t mDomainCount = 0;
  /// One-way latency between failure domains.
  base::Duration mDomainLatency{ 0 };
  /// One-way latency between a client and its entry instance.
  base::Duration mClientLatency = std::chrono::milliseconds(1);
  /// Concurrent service requests per worker.
  std::int64_t mSlots = 8;
  std::int64_t mConnections = 64;
  std::vector<BenchService> mServices;
  std::vector<BenchBatchClass> mBatchClasses;
  base::Duration mDuration = std::chrono::seconds(180);
};

/// The site named `aName` with its hidden values unset, or nothing if there is
/// no such site.
std::optional<BenchSite>
FindBenchSite(std::string_view aName);

/// Sets the hidden values of `aSite` and the declared run times at random.
void
DrawRandomValues(BenchSite& aSite, base::Random& aRandom);

/// A lognormally distributed factor with mean 1.
double
DrawLognormal(base::Random& aRandom, double aSigma);

} // namespace skylarkhill::testing

#endif // SKYLARKHILL_TESTING_BENCH_SITE_HPP
