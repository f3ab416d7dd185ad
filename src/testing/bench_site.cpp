#include "skylarkhill/testing/bench_site.hpp"

#include <algorithm>
#include <cmath>

namespace skylarkhill::testing {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::int64_t kMilli = 1000;
constexpr std::int64_t kGiB = std::int64_t{ 1 } << 30;

BenchBatchClass
MakeClass(std::string aName,
          double aProcessors,
          std::int64_t aMemoryGb,
          double aSeconds,
          double aShare,
          bool aCheckpoints)
{
  BenchBatchClass made;
  made.mName = std::move(aName);
  made.mDeclared.mMilliProcessors =
    static_cast<std::int64_t>(aProcessors * kMilli);
  made.mDeclared.mMemoryBytes = aMemoryGb * kGiB;
  made.mMeanRunSeconds = aSeconds;
  made.mArrivalShare = aShare;
  made.mHasCheckpoints = aCheckpoints;
  return made;
}

std::vector<BenchBatchClass>
MakeClasses()
{
  return { MakeClass("brief", 1.0, 3, 5.0, 0.40, true),
           MakeClass("plain", 2.0, 6, 25.0, 0.25, true),
           MakeClass("wide", 4.0, 6, 30.0, 0.10, true),
           MakeClass("memory", 1.0, 16, 30.0, 0.15, false),
           MakeClass("long", 2.0, 8, 90.0, 0.10, true) };
}

BenchSite
MakeDireccion()
{
  BenchSite site;
  site.mName = "direccion";
  site.mProfile = policy::Profile::Throughput;
  site.mWorkers = 65;
  site.mRackSize = 10;
  site.mDomainCount = 3;
  site.mDomainLatency = microseconds(500);
  site.mServices = {
    { "confirmation", milliseconds(120), milliseconds(700), {} },
    { "inventory", milliseconds(160), milliseconds(1200), {} }
  };
  site.mBatchClasses = MakeClasses();
  return site;
}

BenchSite
MakeExchange()
{
  BenchSite site = MakeDireccion();
  site.mName = "exchange";
  site.mProfile = policy::Profile::Tail;
  site.mWorkers = 50;
  site.mRackSize = 6;
  site.mDomainCount = 4;
  site.mDomainLatency = microseconds(1500);
  site.mServices = {
    { "lookup", milliseconds(100), milliseconds(500), {} },
    { "catalogue", milliseconds(160), milliseconds(800), {} }
  };
  return site;
}

} // namespace

std::optional<BenchSite>
FindBenchSite(std::string_view aName)
{
  for (auto& it : { MakeDireccion(), MakeExchange() }) {
    if (it.mName == aName) {
      return it;
    }
  }
  return std::nullopt;
}

double
DrawLognormal(base::Random& aRandom, double aSigma)
{
  constexpr double kTwoPi = 6.283185307179586;
  const double radius = std::sqrt(-2.0 * std::log(1.0 - aRandom.UniformReal()));
  const double normal = radius * std::cos(kTwoPi * aRandom.UniformReal());
  return std::exp(aSigma * normal - aSigma * aSigma / 2.0);
}

void
DrawRandomValues(BenchSite& aSite, base::Random& aRandom)
{
  for (auto& service : aSite.mServices) {
    // One class interferes strongly with the service, one moderately and the
    // others hardly at all.
    std::vector<double> percents{ 1.0, 2.0, 4.0, 12.0, 35.0 };
    for (std::size_t n = percents.size(); n > 1; --n) {
      std::swap(percents[n - 1], percents[aRandom.Below(n)]);
    }
    service.mInterference = percents;
  }
  for (auto& it : aSite.mBatchClasses) {
    it.mActualUseRatio = 0.5 + 1.2 * aRandom.UniformReal();
    const double error = 0.3 * std::pow(10.0, aRandom.UniformReal());
    it.mDeclaredRunSeconds = std::max<std::int64_t>(
      1, static_cast<std::int64_t>(it.mMeanRunSeconds * error));
  }
}

} // namespace skylarkhill::testing
