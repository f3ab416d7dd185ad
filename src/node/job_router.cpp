#include "skylarkhill/node/job_router.hpp"

#include "skylarkhill/logging/logging.hpp"

#include <set>
#include <utility>

namespace skylarkhill::node {

using base::ErrorKind;
using base::MakeError;

namespace {

base::Error
MakeUnknownCellsError()
{
  return MakeError(ErrorKind::LogUnavailable, "the cells are not known yet");
}

/// The first cell has the cancellation, and its leader passes it on.
base::Error
MakeIncompleteError(const std::string& aJobId,
                    int aCell,
                    const base::Error& aCause)
{
  const logging::ContextField context("cell", aCell);
  logging::Write(logging::Level::Info,
                 "cancellation_incomplete",
                 { { "job", aJobId },
                   { "error", base::NameOf(aCause.mKind) },
                   { "detail", aCause.mDetail } });
  return MakeError(ErrorKind::OutcomeUnknown, aCause.mDetail);
}

} // namespace

void
JobRouter::SetRoutes(std::shared_ptr<const RouteTable> aRoutes)
{
  const std::lock_guard lock(mLock);
  mRoutes = std::move(aRoutes);
}

std::shared_ptr<const RouteTable>
JobRouter::Routes() const
{
  const std::lock_guard lock(mLock);
  return mRoutes;
}

void
JobRouter::SetCells(cells::CellMap aMap, std::vector<JobService*> aServices)
{
  auto cells = std::make_shared<const Cells>(
    Cells{ std::move(aMap), std::move(aServices) });
  const std::lock_guard lock(mLock);
  mCells = std::move(cells);
}

std::shared_ptr<const JobRouter::Cells>
JobRouter::GetCells() const
{
  const std::lock_guard lock(mLock);
  return mCells;
}

base::Result<void>
JobRouter::Submit(const jobs::QueuePolicy& aPolicy,
                  const std::string& aJobId,
                  jobs::JobRequest aRequest,
                  base::TimePoint aDeadline)
{
  const auto cells = GetCells();
  if (cells == nullptr) {
    return MakeUnknownCellsError();
  }
  const int home = cells::HomeOfJob(cells->mMap, aJobId, aRequest);
  const logging::ContextField context("cell", home);
  return cells->mServices[static_cast<std::size_t>(home)]->Submit(
    aPolicy, aJobId, std::move(aRequest), aDeadline);
}

base::Result<void>
JobRouter::Cancel(const std::string& aJobId, base::TimePoint aDeadline)
{
  const auto cells = GetCells();
  if (cells == nullptr) {
    return MakeUnknownCellsError();
  }
  const auto location = Find(*cells, aJobId, aDeadline);
  if (!location) {
    logging::Write(logging::Level::Info,
                   "job_cancelled",
                   { { "job", aJobId },
                     { "outcome", base::NameOf(location.error().mKind) } });
    return location.error();
  }
  const int cell = location.value().mCell;
  {
    const logging::ContextField context("cell", cell);
    BOOST_OUTCOME_TRYV(cells->mServices[static_cast<std::size_t>(cell)]->Cancel(
      aJobId, aDeadline));
  }
  if (cells->mMap.mCount == 1) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  return CancelInOtherCells(*cells, aJobId, cell, aDeadline);
}

base::Result<void>
JobRouter::CancelInOtherCells(const Cells& aCells,
                              const std::string& aJobId,
                              int aFirstCell,
                              base::TimePoint aDeadline)
{
  std::set<int> visited{ aFirstCell };
  std::vector<int> toRead{ aFirstCell };
  while (!toRead.empty()) {
    const int cell = toRead.back();
    toRead.pop_back();
    JobService& service = *aCells.mServices[static_cast<std::size_t>(cell)];
    // Only then all moves and loans that precede the cancellation are known.
    // The leader adds the cancellation to copies that follow from later ones.
    const auto isRead = service.ReadToEnd(aDeadline);
    if (!isRead) {
      return MakeIncompleteError(aJobId, cell, isRead.error());
    }
    for (const int it : service.Jobs().ListOtherCells(aJobId)) {
      if (it >= aCells.mMap.mCount || !visited.insert(it).second) {
        continue;
      }
      const logging::ContextField context("cell", it);
      const auto isStored =
        aCells.mServices[static_cast<std::size_t>(it)]->StoreCancellation(
          aJobId, aDeadline);
      if (!isStored) {
        return MakeIncompleteError(aJobId, it, isStored.error());
      }
      toRead.push_back(it);
    }
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

base::Result<jobs::JobState>
JobRouter::StateOf(const std::string& aJobId, base::TimePoint aDeadline)
{
  const auto cells = GetCells();
  if (cells == nullptr) {
    return MakeUnknownCellsError();
  }
  BOOST_OUTCOME_TRY(location, Find(*cells, aJobId, aDeadline));
  if (jobs::IsFinal(location.mState)) {
    return location.mState;
  }
  const auto serviceOf = [&](int aCell) -> JobService& {
    return *cells->mServices[static_cast<std::size_t>(aCell)];
  };
  JobService& service = serviceOf(location.mCell);
  auto state = service.StateOf(aJobId, aDeadline);
  if (!state) {
    return location.mState;
  }
  const auto transfer = service.Jobs().TransferOf(aJobId);
  if (transfer && transfer->mTarget < cells->mMap.mCount) {
    auto moved = serviceOf(transfer->mTarget).StateOf(aJobId, aDeadline);
    // The target may not have the job yet.
    if (moved) {
      return moved;
    }
  }
  return state;
}

base::Result<std::size_t>
JobRouter::CountPending(std::string_view aQueue, base::TimePoint aDeadline)
{
  const auto cells = GetCells();
  if (cells == nullptr) {
    return MakeUnknownCellsError();
  }
  std::size_t sum = 0;
  for (JobService* it : cells->mServices) {
    BOOST_OUTCOME_TRY(n, it->CountPending(aQueue, aDeadline));
    sum += n;
  }
  return sum;
}

std::optional<JobRouter::Location>
JobRouter::FindKnown(const Cells& aCells, const std::string& aJobId)
{
  std::optional<Location> left;
  for (std::size_t n = 0; n < aCells.mServices.size(); ++n) {
    const jobs::JobTable& jobs = aCells.mServices[n]->Jobs();
    const auto state = jobs.StateOf(aJobId);
    if (!state) {
      continue;
    }
    const Location location{ static_cast<int>(n), *state };
    if (!jobs.TransferOf(aJobId)) {
      return location;
    }
    left = location;
  }
  // The cell that the job moves to may not have it yet.
  return left;
}

base::Result<JobRouter::Location>
JobRouter::Find(const Cells& aCells,
                const std::string& aJobId,
                base::TimePoint aDeadline)
{
  if (auto known = FindKnown(aCells, aJobId)) {
    return *known;
  }
  std::optional<base::Error> error;
  for (JobService* it : aCells.mServices) {
    const auto state = it->StateOf(aJobId, aDeadline);
    if (state) {
      break;
    }
    if (state.error().mKind != ErrorKind::NotFound) {
      error = state.error();
    }
  }
  if (auto known = FindKnown(aCells, aJobId)) {
    return *known;
  }
  // The job may be in the journal that could not be read.
  return error ? *error : MakeError(ErrorKind::NotFound, "no such job");
}

} // namespace skylarkhill::node
