#ifndef SKYLARKHILL_DISPATCH_OPEN_STARTS_HPP
#define SKYLARKHILL_DISPATCH_OPEN_STARTS_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/dispatch/worker.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkhill::dispatch {

/// Start calls without an answer of a run that has been removed. The next
/// incarnations of the worker may still carry them out.
struct OpenStart
{
  std::string mWorkerId;
  TaskId mTask;
  int mRunNumber = 0;
  /// Number of calls without an answer.
  int mCopies = 0;
  /// No copy is carried out later.
  base::TimePoint mOpenUntil;
  /// The last incarnation that refuses the run.
  std::int64_t mRefusedBy = 0;
  bool mIsStopInFlight = false;
  base::TimePoint mNextStopAt;
};

/// The open starts of all workers, oldest first. Not thread-safe.
class OpenStarts
{
public:
  /// Maximum number of entries.
  static constexpr std::size_t kMaxCount = 20'000;

  /// Adds an entry. Returns the number of entries, the oldest ones, that were
  /// dropped because of the limit.
  std::size_t Add(OpenStart aStart);
  /// Changes the number of copies of an entry, if there is one. Removes it if
  /// none is left.
  void ChangeCopies(const std::string& aWorkerId,
                    const TaskId& aTask,
                    int aRunNumber,
                    int aChange);
  /// Removes and returns the entry; empty if there is none.
  std::optional<OpenStart> Take(const std::string& aWorkerId,
                                const TaskId& aTask,
                                int aRunNumber);
  /// The entry; null if there is none. Valid until the next change.
  OpenStart* Find(const std::string& aWorkerId,
                  const TaskId& aTask,
                  int aRunNumber);
  /// The entries of the worker. Valid until the next change.
  std::vector<OpenStart*> ListOf(const std::string& aWorkerId);
  bool HasAnyOf(const std::string& aWorkerId) const
  {
    return mNumbersByWorker.count(aWorkerId) != 0;
  }
  /// The tasks of all entries, by ToText.
  std::set<std::string> ListTasks() const;
  /// Removes the oldest entries while their time has passed.
  void RemoveExpired(base::TimePoint aNow);

private:
  using Entries = std::map<std::uint64_t, OpenStart>;

  Entries::iterator Locate(const std::string& aWorkerId,
                           const TaskId& aTask,
                           int aRunNumber);
  void Remove(Entries::iterator aEntry);

  /// By number, which rises with each entry.
  Entries mEntries;
  std::map<std::string, std::set<std::uint64_t>> mNumbersByWorker;
  std::uint64_t mNextNumber = 0;
};

} // namespace skylarkhill::dispatch

#endif // SKYLARKHILL_DISPATCH_OPEN_STARTS_HPP
