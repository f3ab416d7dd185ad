#ifndef SKYLARKHILL_ENTRY_ENTRY_PROCESS_HPP
#define SKYLARKHILL_ENTRY_ENTRY_PROCESS_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/settings/settings.hpp"

#include <memory>

namespace skylarkhill::entry {

/// One entry instance: all its threads, services and listeners.
class EntryProcess
{
public:
  virtual ~EntryProcess() = default;
  /// Opens the listeners and starts all threads. Errors: InvalidSettings,
  /// ConnectionLost.
  virtual base::Result<void> Start() = 0;
  /// Planned stop: finishes the requests in flight, releases the workers and
  /// returns when all threads have stopped.
  virtual void Drain() = 0;
};

std::unique_ptr<EntryProcess>
CreateEntryProcess(const settings::Settings& aSettings);

} // namespace skylarkhill::entry

#endif // SKYLARKHILL_ENTRY_ENTRY_PROCESS_HPP
