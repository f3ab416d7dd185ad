#include "open_starts.hpp"

#include <utility>

namespace skylarkhill::dispatch {

std::size_t
OpenStarts::Add(OpenStart aStart)
{
  mNumbersByWorker[aStart.mWorkerId].insert(mNextNumber);
  mEntries.emplace(mNextNumber++, std::move(aStart));
  std::size_t dropped = 0;
  while (mEntries.size() > kMaxCount) {
    Remove(mEntries.begin());
    ++dropped;
  }
  return dropped;
}

void
OpenStarts::ChangeCopies(const std::string& aWorkerId,
                         const TaskId& aTask,
                         int aRunNumber,
                         int aChange)
{
  const auto found = Locate(aWorkerId, aTask, aRunNumber);
  if (found == mEntries.end()) {
    return;
  }
  found->second.mCopies += aChange;
  if (found->second.mCopies <= 0) {
    Remove(found);
  }
}

std::optional<OpenStart>
OpenStarts::Take(const std::string& aWorkerId,
                 const TaskId& aTask,
                 int aRunNumber)
{
  const auto found = Locate(aWorkerId, aTask, aRunNumber);
  if (found == mEntries.end()) {
    return std::nullopt;
  }
  OpenStart start = found->second;
  Remove(found);
  return start;
}

OpenStart*
OpenStarts::Find(const std::string& aWorkerId,
                 const TaskId& aTask,
                 int aRunNumber)
{
  const auto found = Locate(aWorkerId, aTask, aRunNumber);
  return found == mEntries.end() ? nullptr : &found->second;
}

std::vector<OpenStart*>
OpenStarts::ListOf(const std::string& aWorkerId)
{
  std::vector<OpenStart*> starts;
  const auto numbers = mNumbersByWorker.find(aWorkerId);
  if (numbers != mNumbersByWorker.end()) {
    for (const std::uint64_t it : numbers->second) {
      starts.push_back(&mEntries.at(it));
    }
  }
  return starts;
}

std::set<std::string>
OpenStarts::ListTasks() const
{
  std::set<std::string> tasks;
  for (const auto& [number, start] : mEntries) {
    tasks.insert(ToText(start.mTask));
  }
  return tasks;
}

void
OpenStarts::RemoveExpired(base::TimePoint aNow)
{
  while (!mEntries.empty() && mEntries.begin()->second.mOpenUntil <= aNow) {
    Remove(mEntries.begin());
  }
}

OpenStarts::Entries::iterator
OpenStarts::Locate(const std::string& aWorkerId,
                   const TaskId& aTask,
                   int aRunNumber)
{
  const auto numbers = mNumbersByWorker.find(aWorkerId);
  if (numbers != mNumbersByWorker.end()) {
    for (const std::uint64_t it : numbers->second) {
      const auto entry = mEntries.find(it);
      if (entry->second.mRunNumber == aRunNumber &&
          entry->second.mTask == aTask) {
        return entry;
      }
    }
  }
  return mEntries.end();
}

void
OpenStarts::Remove(Entries::iterator aEntry)
{
  const auto numbers = mNumbersByWorker.find(aEntry->second.mWorkerId);
  numbers->second.erase(aEntry->first);
  if (numbers->second.empty()) {
    mNumbersByWorker.erase(numbers);
  }
  mEntries.erase(aEntry);
}

} // namespace skylarkhill::dispatch
