#include "skylarkhill/node/job_router.hpp"

#include "skylarkhill/logging/logging.hpp"

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
  const logging::ContextField context("cell", cell);
  return cells->mServices[static_cast<std::size_t>(cell)]->Cancel(aJobId,
                                                                  aDeadline);
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
  // A cancellation stored at the home is passed on by the leader there.
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
