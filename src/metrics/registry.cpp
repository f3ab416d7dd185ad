#include "skylarkhill/metrics/registry.hpp"

#include "skylarkhill/base/hash.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace skylarkhill::metrics {

namespace {

std::string
Escape(std::string_view aText)
{
  std::string escaped;
  for (const char c : aText) {
    switch (c) {
      case '\\':
        escaped += "\\\\";
        break;
      case '"':
        escaped += "\\\"";
        break;
      case '\n':
        escaped += "\\n";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

// Formats labels as {key="value",...}; empty if there are none. Adds a quantile
// label unless `aQuantile` is empty.
std::string
FormatLabels(const Labels& aLabels, std::string_view aQuantile = {})
{
  std::string text;
  for (const auto& it : aLabels) {
    text.append(text.empty() ? "{" : ",").append(NameOf(it.mKey));
    text.append("=\"").append(Escape(it.mValue)).append("\"");
  }
  if (!aQuantile.empty()) {
    text.append(text.empty() ? "{" : ",");
    text.append("quantile=\"").append(aQuantile).append("\"");
  }
  return text.empty() ? text : text.append("}");
}

/// Prints all series of one metric.
class SeriesPrinter
{
public:
  SeriesPrinter(std::ostream& aOut, const std::string& aName)
    : mOut(aOut)
    , mName(aName)
  {
  }

  void Print(const Labels& aLabels, const Counter& aCounter)
  {
    mOut << mName << FormatLabels(aLabels) << ' ' << aCounter.Value() << '\n';
  }

  void Print(const Labels& aLabels, const Gauge& aGauge)
  {
    mOut << mName << FormatLabels(aLabels) << ' ' << aGauge.Value() << '\n';
  }

  void Print(const Labels& aLabels, const Distribution& aDistribution)
  {
    const Summary summary = aDistribution.Read();
    PrintQuantile(aLabels, "0.5", summary.mMedian);
    PrintQuantile(aLabels, "0.9", summary.mP90);
    PrintQuantile(aLabels, "0.99", summary.mP99);
    PrintQuantile(aLabels, "0.999", summary.mP999);
    PrintQuantile(aLabels, "1", summary.mMax);
    const std::string labels = FormatLabels(aLabels);
    mOut << mName << "_sum" << labels << ' ' << summary.mSum << '\n';
    mOut << mName << "_count" << labels << ' ' << summary.mCount << '\n';
  }

private:
  void PrintQuantile(const Labels& aLabels,
                     std::string_view aQuantile,
                     double aValue)
  {
    mOut << mName << FormatLabels(aLabels, aQuantile) << ' ' << aValue << '\n';
  }

  std::ostream& mOut;
  const std::string& mName;
};

const char*
TypeName(const std::unique_ptr<Counter>&)
{
  return "counter";
}

const char*
TypeName(const std::unique_ptr<Gauge>&)
{
  return "gauge";
}

const char*
TypeName(const std::unique_ptr<Distribution>&)
{
  return "summary";
}

} // namespace

template<typename T>
T&
Registry::Get(std::string_view aName, std::string_view aHelp, Labels aLabels)
{
  std::sort(aLabels.begin(), aLabels.end());
  Shard& shard = mShards[base::StableHash(aName) % kShards];
  const std::lock_guard<std::mutex> guard(shard.mLock);
  Family& family = shard.mFamilies[std::string(aName)];
  if (family.mHelp.empty()) {
    family.mHelp = aHelp;
  }
  const auto [it, isNew] = family.mSeries.try_emplace(std::move(aLabels));
  if (isNew) {
    it->second = std::make_unique<T>();
  }
  return *std::get<std::unique_ptr<T>>(it->second);
}

Counter&
Registry::GetCounter(std::string_view aName,
                     std::string_view aHelp,
                     Labels aLabels)
{
  return Get<Counter>(aName, aHelp, std::move(aLabels));
}

Gauge&
Registry::GetGauge(std::string_view aName,
                   std::string_view aHelp,
                   Labels aLabels)
{
  return Get<Gauge>(aName, aHelp, std::move(aLabels));
}

Distribution&
Registry::GetDistribution(std::string_view aName,
                          std::string_view aHelp,
                          Labels aLabels)
{
  return Get<Distribution>(aName, aHelp, std::move(aLabels));
}

std::string
Registry::FormatPrometheus() const
{
  constexpr int kPrecision = 12;
  std::map<std::string, std::string> families;
  for (const Shard& shard : mShards) {
    const std::lock_guard<std::mutex> guard(shard.mLock);
    for (const auto& [name, family] : shard.mFamilies) {
      std::ostringstream out;
      out.precision(kPrecision);
      const Series& first = family.mSeries.begin()->second;
      out << "# HELP " << name << ' ' << family.mHelp << '\n';
      out << "# TYPE " << name << ' ';
      out << std::visit([](const auto& aSeries) { return TypeName(aSeries); },
                        first)
          << '\n';
      SeriesPrinter printer(out, name);
      for (const auto& [labels, series] : family.mSeries) {
        std::visit([&printer, &aLabels = labels](
                     const auto& aSeries) { printer.Print(aLabels, *aSeries); },
                   series);
      }
      families[name] = out.str();
    }
  }
  std::string text;
  for (const auto& it : families) {
    text += it.second;
  }
  return text;
}

} // namespace skylarkhill::metrics
