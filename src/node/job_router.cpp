#include "skylarkhill/node/job_router.hpp"

#include "skylarkhill/logging/logging.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace skylarkhill::node {

using base::ErrorKind;
using base::MakeError;

namespace {

/// Entries of JobLocations; a job is usually asked for within a minute.
constexpr std::size_t kMaxLocations = 20'000;

/// Time for the cancellation of an unknown job in one cell, if the caller waits
/// that long: one attempt to store it.
constexpr base::Duration kMinTimePerCell = std::chrono::milliseconds(650);

base::Error
MakeUnknownCellsError()
{
  return MakeError(ErrorKind::LogUnavailable, "the cells are not known yet");
}

base::Error
MakeUnfollowedError(int aCell)
{
  return MakeError(ErrorKind::LogUnavailable,
                   "cell " + std::to_string(aCell) +
                     " is not followed by this instance");
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
JobLocations::Remember(const std::string& aJobId, int aCell)
{
  const std::lock_guard lock(mLock);
  if (!mCells.insert_or_assign(aJobId, aCell).second) {
    return;
  }
  mOrder.push_back(aJobId);
  if (mOrder.size() > kMaxLocations) {
    mCells.erase(mOrder.front());
    mOrder.pop_front();
  }
}

std::optional<int>
JobLocations::Find(const std::string& aJobId) const
{
  const std::lock_guard lock(mLock);
  const auto found = mCells.find(aJobId);
  return found != mCells.end() ? std::optional<int>(found->second)
                               : std::nullopt;
}

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
  JobService& service = *cells->mServices[static_cast<std::size_t>(home)];
  if (!service.IsLoaded()) {
    mLocations.Remember(aJobId, home);
  }
  return service.Submit(aPolicy, aJobId, std::move(aRequest), aDeadline);
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
    if (location.error().mKind == ErrorKind::NotFound) {
      return CancelUnknown(*cells, aJobId, aDeadline);
    }
    return location.error();
  }
  const int cell = location.value().mCell;
  {
    const logging::ContextField context("cell", cell);
    JobService& service = *cells->mServices[static_cast<std::size_t>(cell)];
    const auto isStored = service.IsLoaded()
                            ? service.Cancel(aJobId, aDeadline)
                            : service.CancelKnown(aJobId, aDeadline);
    if (!isStored && isStored.error().mKind == ErrorKind::NotFound) {
      return CancelUnknown(*cells, aJobId, aDeadline);
    }
    if (!isStored && isStored.error().mKind == ErrorKind::OutcomeUnknown) {
      // The leader of the cell passes it on.
      ContinueCancellation(aJobId, { cell });
    }
    BOOST_OUTCOME_TRYV(isStored);
  }
  if (cells->mMap.mCount == 1) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  return CancelInOtherCells(*cells, aJobId, cell, aDeadline);
}

base::Result<void>
JobRouter::CancelUnknown(const Cells& aCells,
                         const std::string& aJobId,
                         base::TimePoint aDeadline)
{
  // The submission may be under way at another instance, or be carried out late
  // by the log. Its home follows from its content, so that a cell that fails
  // must not keep the cancellation from the others.
  std::optional<base::Error> error;
  bool mayBeStored = false;
  std::vector<int> missing;
  for (int cell = 0; cell < aCells.mMap.mCount; ++cell) {
    const logging::ContextField context("cell", cell);
    JobService& service = *aCells.mServices[static_cast<std::size_t>(cell)];
    const base::TimePoint now = service.Now();
    const base::Duration share = std::max(
      kMinTimePerCell, (aDeadline - now) / (aCells.mMap.mCount - cell));
    const auto isStored =
      service.StoreCancellation(aJobId, std::min(aDeadline, now + share));
    mayBeStored = mayBeStored || isStored ||
                  isStored.error().mKind == ErrorKind::OutcomeUnknown;
    if (!isStored) {
      missing.push_back(cell);
      error = error ? error : isStored.error();
    }
  }
  if (error) {
    logging::Write(logging::Level::Info,
                   "cancellation_incomplete",
                   { { "job", aJobId },
                     { "error", base::NameOf(error->mKind) },
                     { "detail", error->mDetail } });
    if (!mayBeStored) {
      return *error;
    }
    ContinueCancellation(aJobId, missing);
    return MakeError(ErrorKind::OutcomeUnknown, error->mDetail);
  }
  if (FindKnown(aCells, aJobId)) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  return MakeError(ErrorKind::NotFound, "no such job");
}

void
JobRouter::ContinueCancellation(const std::string& aJobId,
                                const std::vector<int>& aCells)
{
  if (mPendingCancellations != nullptr) {
    mPendingCancellations->Add(aJobId, aCells);
  }
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
    // Only then all moves and loans that precede the cancellation are known.
    // The leader adds the cancellation to copies that follow from later ones.
    const auto others = ListCellsOf(aCells, cell, aJobId, aDeadline);
    if (!others && others.error().mKind == ErrorKind::NotFound) {
      if (cell != aFirstCell) {
        // The copy follows the cancellation.
        continue;
      }
      // The job was found in a table that was behind its journal.
      return CancelUnknown(aCells, aJobId, aDeadline);
    }
    if (!others) {
      return MakeIncompleteError(aJobId, cell, others.error());
    }
    for (const int it : others.value()) {
      if (it < 0 || it >= aCells.mMap.mCount || !visited.insert(it).second) {
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
  std::optional<JobView> view = location.mView;
  if (!view) {
    const auto current = ViewJob(*cells, location.mCell, aJobId, aDeadline);
    if (!current) {
      return location.mState;
    }
    view = current.value();
  }
  const auto target = view->mTarget;
  if (target && *target >= 0 && *target < cells->mMap.mCount) {
    const auto moved = ViewJob(*cells, *target, aJobId, aDeadline);
    // The target may not have the job yet.
    if (moved) {
      return moved.value().mState;
    }
  }
  return view->mState;
}

base::Result<std::size_t>
JobRouter::CountPending(std::string_view aQueue, base::TimePoint aDeadline)
{
  const auto cells = GetCells();
  if (cells == nullptr) {
    return MakeUnknownCellsError();
  }
  std::size_t sum = 0;
  for (int cell = 0; cell < cells->mMap.mCount; ++cell) {
    JobService* const service = FindFollowed(*cells, cell);
    if (service == nullptr && mQueries == nullptr) {
      return MakeUnfollowedError(cell);
    }
    BOOST_OUTCOME_TRY(n,
                      service != nullptr
                        ? service->CountPending(aQueue, aDeadline)
                        : mQueries->CountPending(cell, aQueue, aDeadline));
    sum += n;
  }
  return sum;
}

base::Result<JobView>
JobRouter::FindJob(int aCell,
                   const std::string& aJobId,
                   base::TimePoint aDeadline)
{
  JobService* const service = FindFollowed(aCell);
  if (service == nullptr) {
    return MakeUnfollowedError(aCell);
  }
  return service->View(aJobId, aDeadline);
}

base::Result<std::vector<int>>
JobRouter::ListOtherCells(int aCell,
                          const std::string& aJobId,
                          base::TimePoint aDeadline)
{
  JobService* const service = FindFollowed(aCell);
  if (service == nullptr) {
    return MakeUnfollowedError(aCell);
  }
  return service->ListOtherCells(aJobId, aDeadline);
}

base::Result<std::size_t>
JobRouter::CountPending(int aCell,
                        std::string_view aQueue,
                        base::TimePoint aDeadline)
{
  JobService* const service = FindFollowed(aCell);
  if (service == nullptr) {
    return MakeUnfollowedError(aCell);
  }
  return service->CountPending(aQueue, aDeadline);
}

JobService*
JobRouter::FindFollowed(int aCell) const
{
  const auto cells = GetCells();
  return cells != nullptr ? FindFollowed(*cells, aCell) : nullptr;
}

JobService*
JobRouter::FindFollowed(const Cells& aCells, int aCell)
{
  if (aCell < 0 || aCell >= aCells.mMap.mCount) {
    return nullptr;
  }
  JobService* const service = aCells.mServices[static_cast<std::size_t>(aCell)];
  return service->IsLoaded() ? service : nullptr;
}

base::Result<JobView>
JobRouter::ViewJob(const Cells& aCells,
                   int aCell,
                   const std::string& aJobId,
                   base::TimePoint aDeadline)
{
  if (JobService* const service = FindFollowed(aCells, aCell)) {
    return service->View(aJobId, aDeadline);
  }
  if (mQueries == nullptr) {
    return MakeUnfollowedError(aCell);
  }
  auto view = mQueries->FindJob(aCell, aJobId, aDeadline);
  if (view) {
    mLocations.Remember(aJobId, aCell);
  }
  return view;
}

base::Result<std::vector<int>>
JobRouter::ListCellsOf(const Cells& aCells,
                       int aCell,
                       const std::string& aJobId,
                       base::TimePoint aDeadline)
{
  if (JobService* const service = FindFollowed(aCells, aCell)) {
    return service->ListOtherCells(aJobId, aDeadline);
  }
  if (mQueries == nullptr) {
    return MakeUnfollowedError(aCell);
  }
  return mQueries->ListOtherCells(aCell, aJobId, aDeadline);
}

std::optional<JobRouter::Location>
JobRouter::FindKnown(const Cells& aCells, const std::string& aJobId)
{
  std::optional<Location> left;
  for (std::size_t n = 0; n < aCells.mServices.size(); ++n) {
    if (!aCells.mServices[n]->IsFollowed()) {
      continue;
    }
    const jobs::JobTable& jobs = aCells.mServices[n]->Jobs();
    const auto state = jobs.StateOf(aJobId);
    if (!state) {
      continue;
    }
    const Location location{ static_cast<int>(n), *state, {} };
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
  const auto ask = [&](int aCell) -> std::optional<Location> {
    const auto view = ViewJob(aCells, aCell, aJobId, aDeadline);
    if (view) {
      return Location{ aCell, view.value().mState, view.value() };
    }
    if (view.error().mKind != ErrorKind::NotFound) {
      error = view.error();
    }
    return std::nullopt;
  };
  // The cell of an earlier answer comes first, then those that are followed.
  const auto remembered = mLocations.Find(aJobId);
  std::vector<std::tuple<bool, bool, int>> toAsk;
  toAsk.reserve(static_cast<std::size_t>(aCells.mMap.mCount));
  for (int cell = 0; cell < aCells.mMap.mCount; ++cell) {
    toAsk.emplace_back(
      remembered != cell, FindFollowed(aCells, cell) == nullptr, cell);
  }
  std::sort(toAsk.begin(), toAsk.end());
  for (const auto& [isOther, isElsewhere, cell] : toAsk) {
    if (const auto location = ask(cell)) {
      // The cell that the job has moved to may be known by now.
      const auto known = FindKnown(aCells, aJobId);
      return known ? *known : *location;
    }
  }
  // The job may be in the journal that could not be read.
  return error ? *error : MakeError(ErrorKind::NotFound, "no such job");
}

} // namespace skylarkhill::node
