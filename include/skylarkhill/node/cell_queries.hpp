#ifndef SKYLARKHILL_NODE_CELL_QUERIES_HPP
#define SKYLARKHILL_NODE_CELL_QUERIES_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/jobs/job.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::node {

/// A job as the journal of one cell shows it.
struct JobView
{
  jobs::JobState mState = jobs::JobState::Pending;
  /// The cell that the job has moved to.
  std::optional<int> mTarget;
};

/// Answers questions about the jobs of a cell. Thread-safe. LogUnavailable: the
/// question could not be answered in time.
class CellQueries
{
public:
  virtual ~CellQueries() = default;
  /// The job, not older than a submission or cancellation that was acknowledged
  /// before the call. NotFound: the cell has no such job.
  virtual base::Result<JobView> FindJob(int aCell,
                                        const std::string& aJobId,
                                        base::TimePoint aDeadline) = 0;
  /// The cells that the job has moved to or that have borrowed tasks of it, by
  /// all records that were stored before the call. NotFound: the cell has
  /// neither the job nor tasks of it; a former version lists no cells.
  virtual base::Result<std::vector<int>> ListOtherCells(
    int aCell,
    const std::string& aJobId,
    base::TimePoint aDeadline) = 0;
  /// Number of jobs of `aQueue` in the state Pending.
  virtual base::Result<std::size_t> CountPending(int aCell,
                                                 std::string_view aQueue,
                                                 base::TimePoint aDeadline) = 0;
};

/// Tells which instances follow a cell. Thread-safe.
class CellFollowers
{
public:
  virtual ~CellFollowers() = default;
  /// Addresses ("IP:PORT") at which other instances answer CellQueries about
  /// the cell, the preferred one first.
  virtual std::vector<std::string> FollowersOf(int aCell) const = 0;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_CELL_QUERIES_HPP
