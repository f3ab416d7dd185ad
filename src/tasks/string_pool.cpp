#include "skylarkhill/tasks/string_pool.hpp"

namespace skylarkhill::tasks {

StringPool::StringPool()
{
  mTexts.emplace_back();
  mHandles.emplace(mTexts.back(), kEmpty);
}

StringPool::Handle
StringPool::Intern(std::string_view aText)
{
  const auto found = mHandles.find(aText);
  if (found != mHandles.end()) {
    return found->second;
  }
  const auto handle = static_cast<Handle>(mTexts.size());
  mTexts.emplace_back(aText);
  mHandles.emplace(mTexts.back(), handle);
  return handle;
}

StringPool::Handle
StringPool::Find(std::string_view aText) const
{
  const auto found = mHandles.find(aText);
  return found == mHandles.end() ? kEmpty : found->second;
}

} // namespace skylarkhill::tasks
