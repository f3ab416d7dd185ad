#ifndef SKYLARKHILL_METRICS_LABEL_HPP
#define SKYLARKHILL_METRICS_LABEL_HPP

#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::metrics {

/// Keys of labels. Label values come from the published configuration, the
/// settings and enumerations, never from callers, so that the number of time
/// series is bounded.
enum class LabelKey
{
  Service,
  BatchClass,
  Pool,
  Domain,
  Stream,
  Outcome,
  Kind,
  State,
  Operation,
};

/// One label of a time series.
struct Label
{
  LabelKey mKey = LabelKey::Kind;
  std::string mValue;
};

using Labels = std::vector<Label>;

/// The name of `aKey` in the Prometheus text, e.g. "batch_class".
std::string_view
NameOf(LabelKey aKey);

bool
operator<(const Label& aLeft, const Label& aRight);

} // namespace skylarkhill::metrics

#endif // SKYLARKHILL_METRICS_LABEL_HPP
