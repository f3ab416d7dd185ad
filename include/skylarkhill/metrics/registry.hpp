#ifndef SKYLARKHILL_METRICS_REGISTRY_HPP
#define SKYLARKHILL_METRICS_REGISTRY_HPP

#include "skylarkhill/metrics/label.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

namespace skylarkhill::metrics {

/// A monotonically increasing value. Thread-safe.
class Counter
{
public:
  void Add(std::int64_t aCount = 1) { mValue.fetch_add(aCount); }
  std::int64_t Value() const { return mValue.load(); }

private:
  std::atomic<std::int64_t> mValue{ 0 };
};

/// A value that can increase and decrease. Thread-safe.
class Gauge
{
public:
  void Set(std::int64_t aValue) { mValue.store(aValue); }
  void Add(std::int64_t aDifference) { mValue.fetch_add(aDifference); }
  std::int64_t Value() const { return mValue.load(); }

private:
  std::atomic<std::int64_t> mValue{ 0 };
};

/// Count, sum, maximum and estimated quantiles of all samples of a
/// distribution; all 0 while there are no samples.
struct Summary
{
  std::int64_t mCount = 0;
  double mSum = 0.0;
  double mMax = 0.0;
  double mMedian = 0.0;
  double mP90 = 0.0;
  double mP99 = 0.0;
  double mP999 = 0.0;
};

/// Estimates quantiles of samples in constant memory. Thread-safe.
class Distribution
{
public:
  Distribution();
  ~Distribution();
  Distribution(const Distribution&) = delete;
  Distribution& operator=(const Distribution&) = delete;

  void Record(double aSample);
  Summary Read() const;

private:
  struct Accumulators;

  mutable std::mutex mLock;
  std::unique_ptr<Accumulators> mAccumulators;
};

/// All time series of a process. Thread-safe. Returned references are valid for
/// the lifetime of the registry; callers on hot paths should keep them.
class Registry
{
public:
  /// Returns the series with this name and these labels, in any order; creates
  /// it on first use. Names and one-line help texts must be constants, and a
  /// name must always be used with the same type of series.
  Counter& GetCounter(std::string_view aName,
                      std::string_view aHelp,
                      Labels aLabels = {});
  Gauge& GetGauge(std::string_view aName,
                  std::string_view aHelp,
                  Labels aLabels = {});
  Distribution& GetDistribution(std::string_view aName,
                                std::string_view aHelp,
                                Labels aLabels = {});

  /// All series in the Prometheus text format, sorted by name and labels.
  std::string FormatPrometheus() const;

private:
  using Series = std::variant<std::unique_ptr<Counter>,
                              std::unique_ptr<Gauge>,
                              std::unique_ptr<Distribution>>;

  struct Family
  {
    std::string mHelp;
    std::map<Labels, Series> mSeries;
  };

  struct Shard
  {
    mutable std::mutex mLock;
    std::map<std::string, Family, std::less<>> mFamilies;
  };

  template<typename T>
  T& Get(std::string_view aName, std::string_view aHelp, Labels aLabels);

  static constexpr std::size_t kShards = 16;

  std::array<Shard, kShards> mShards;
};

} // namespace skylarkhill::metrics

#endif // SKYLARKHILL_METRICS_REGISTRY_HPP
