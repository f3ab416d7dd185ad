#include "skylarkhill/metrics/label.hpp"

#include "skylarkhill/base/name_table.hpp"

#include <tuple>

namespace skylarkhill::metrics {

namespace {

constexpr base::NameTable<LabelKey, 9> kLabelKeyNames{ {
  { LabelKey::Service, "service" },
  { LabelKey::BatchClass, "batch_class" },
  { LabelKey::Pool, "pool" },
  { LabelKey::Domain, "domain" },
  { LabelKey::Stream, "stream" },
  { LabelKey::Outcome, "outcome" },
  { LabelKey::Kind, "kind" },
  { LabelKey::State, "state" },
  { LabelKey::Operation, "operation" },
} };

} // namespace

std::string_view
NameOf(LabelKey aKey)
{
  return base::FindName(kLabelKeyNames, aKey);
}

bool
operator<(const Label& aLeft, const Label& aRight)
{
  return std::tie(aLeft.mKey, aLeft.mValue) <
         std::tie(aRight.mKey, aRight.mValue);
}

} // namespace skylarkhill::metrics
