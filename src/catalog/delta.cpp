#include "skylarkhill/catalog/delta.hpp"

#include <set>
#include <utility>

namespace skylarkhill::catalog {

namespace {

bool
IsEqual(const std::shared_ptr<const Object>& aLeft,
        const std::shared_ptr<const Object>& aRight)
{
  return aLeft == aRight || base::FormatJson(FormatObject(*aLeft)) ==
                              base::FormatJson(FormatObject(*aRight));
}

void
ReadChanged(const base::JsonValue& aList,
            SetDelta& aDelta,
            std::vector<Finding>& aFindings)
{
  std::int64_t position = 0;
  for (const auto& it : aList) {
    const std::string where = "changed object " + std::to_string(++position);
    ObjectReadResult object = ReadObject(it, where);
    for (auto& finding : object.mFindings) {
      aFindings.push_back(std::move(finding));
    }
    if (object.mObject) {
      aDelta.mChanged.push_back(std::move(*object.mObject));
    }
  }
}

base::Error
MakeDeltaError(const std::string& aName, std::string_view aProblem)
{
  std::string detail = "difference: '" + aName + "' ";
  return base::MakeError(base::ErrorKind::InvalidSet, detail.append(aProblem));
}

} // namespace

SetDelta
Diff(const CatalogSet& aBase, const CatalogSet& aTarget)
{
  SetDelta delta;
  for (const auto& it : aTarget.All()) {
    const auto old = aBase.All().find(it.first);
    if (old == aBase.All().end() || !IsEqual(old->second, it.second)) {
      delta.mChanged.push_back(*it.second);
    }
  }
  for (const auto& it : aBase.All()) {
    if (aTarget.Find(it.first) == nullptr) {
      delta.mRemoved.push_back(it.first);
    }
  }
  return delta;
}

base::Result<CatalogSet>
ApplyDelta(CatalogSet aBase, const SetDelta& aDelta)
{
  std::set<std::string> seen;
  for (const auto& it : aDelta.mRemoved) {
    if (!seen.insert(it).second) {
      return MakeDeltaError(it, "is named twice");
    }
    if (aBase.Find(it) == nullptr) {
      return MakeDeltaError(it, "is removed but does not exist");
    }
    aBase.Remove(it);
  }
  for (const auto& it : aDelta.mChanged) {
    if (!seen.insert(NameOf(it)).second) {
      return MakeDeltaError(NameOf(it), "is named twice");
    }
    aBase.Put(it);
  }
  return aBase;
}

base::JsonValue
FormatDelta(const SetDelta& aDelta)
{
  base::JsonValue value = base::MakeJsonObject();
  base::JsonValue& changed = value.addMember("changed");
  changed.setCategory(base::JsonValue::Array);
  for (const auto& it : aDelta.mChanged) {
    FormatObject(it).swap(changed.addMember());
  }
  value.addMember("removed") <<= aDelta.mRemoved;
  return value;
}

base::Result<SetDelta>
ParseDelta(const base::JsonValue& aValue)
{
  SetDelta delta;
  std::vector<Finding> findings;
  base::JsonReader reader(aValue);
  delta.mRemoved = reader.GetStrings("removed");
  const base::JsonValue* changed = reader.GetMember("changed");
  reader.RejectUnknown();
  for (const auto& it : reader.Findings()) {
    findings.push_back({ "difference", it });
  }
  if (changed != nullptr && changed->category() != base::JsonValue::Array) {
    findings.push_back({ "difference", "'changed' must be a list" });
    changed = nullptr;
  }
  if (changed != nullptr) {
    ReadChanged(*changed, delta, findings);
  }
  if (!findings.empty()) {
    return base::MakeError(base::ErrorKind::InvalidSet, JoinFindings(findings));
  }
  return delta;
}

} // namespace skylarkhill::catalog
