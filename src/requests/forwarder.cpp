#include "skylarkhill/requests/forwarder.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace skylarkhill::requests {

using base::ErrorKind;
using base::MakeError;

namespace {

std::vector<Candidate>
SelectHeldWorkers(const std::vector<Candidate>& aCandidates)
{
  std::vector<Candidate> workers;
  std::copy_if(aCandidates.begin(),
               aCandidates.end(),
               std::back_inserter(workers),
               [](const Candidate& aCandidate) {
                 return aCandidate.mTarget.mKind == TargetKind::HeldWorker;
               });
  return workers;
}

RequestResult
ToResult(const base::Result<std::string>& aBody)
{
  if (aBody) {
    return MakeCompleted(aBody.value());
  }
  const base::Error& error = aBody.error();
  return ProvesNotRun(error.mKind) ? MakeNotRun(error) : MakeUnknown(error);
}

} // namespace

Forwarder::Forwarder(const TargetPicker& aPicker,
                     const InFlightTable& aInFlight,
                     const base::Clock& aClock,
                     base::Random& aRandom)
  : mPicker(aPicker)
  , mInFlight(aInFlight)
  , mClock(aClock)
  , mRandom(aRandom)
{
}

ForwardActions
Forwarder::OnAttempt(const ForwardedAttempt& aAttempt,
                     const std::vector<Candidate>& aCandidates)
{
  const Request& request = aAttempt.mRequest;
  const AttemptKey key(aAttempt.mOrigin,
                       aAttempt.mOriginIncarnation,
                       request.mId,
                       aAttempt.mAttempt);
  // Not answered: after its deadline an attempt's entry is removed, so this may
  // be a duplicate of an attempt that ran, and NotRun would be wrong.
  if (mClock.Now() >= request.mDeadline) {
    ++mExpired;
    return {};
  }
  if (mEntries.count(key) != 0) {
    ++mDuplicates;
    return {};
  }
  const std::vector<Candidate> workers = SelectHeldWorkers(aCandidates);
  std::optional<Target> target;
  if (!mStopping) {
    target = mPicker.Pick(workers, {}, mInFlight, mRandom);
  }
  // Refused attempts are stored too: a duplicate must not run after the origin
  // was told that the attempt did not run.
  mEntries[key] = Entry{ request.mDeadline, !target.has_value() };
  if (!target) {
    const RequestResult refusal = MakeRefusal(workers);
    return { AnswerOrigin{
      aAttempt.mOrigin, request.mId, aAttempt.mAttempt, refusal } };
  }
  return { RunOnWorker{ base::WorkerId{ target->mName }, aAttempt } };
}

ForwardActions
Forwarder::OnAttemptFinished(const AttemptFinished& aEvent)
{
  const auto found = mEntries.find(AttemptKey(aEvent.mOrigin,
                                              aEvent.mOriginIncarnation,
                                              aEvent.mRequest,
                                              aEvent.mAttempt));
  if (found == mEntries.end() || found->second.mAnswered) {
    return {};
  }
  found->second.mAnswered = true;
  return { AnswerOrigin{ aEvent.mOrigin,
                         aEvent.mRequest,
                         aEvent.mAttempt,
                         ToResult(aEvent.mBody) } };
}

ForwardActions
Forwarder::OnTimer()
{
  ForwardActions actions;
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    if (mClock.Now() < it->second.mDeadline) {
      ++it;
      continue;
    }
    if (!it->second.mAnswered) {
      const auto& [origin, incarnation, request, attempt] = it->first;
      const base::Error error = MakeError(ErrorKind::OutcomeUnknown);
      actions.push_back(
        AnswerOrigin{ origin, request, attempt, MakeUnknown(error) });
    }
    it = mEntries.erase(it);
  }
  return actions;
}

base::TimePoint
Forwarder::NextWakeUp() const
{
  base::TimePoint due = base::kNoDeadline;
  for (const auto& it : mEntries) {
    due = std::min(due, it.second.mDeadline);
  }
  return due;
}

std::int64_t
Forwarder::CountRunning() const
{
  return std::count_if(mEntries.begin(), mEntries.end(), [](const auto& aPair) {
    return !aPair.second.mAnswered;
  });
}

RequestResult
Forwarder::MakeRefusal(const std::vector<Candidate>& aWorkers) const
{
  if (mStopping) {
    return MakeNotRun(MakeError(ErrorKind::ShuttingDown));
  }
  if (aWorkers.empty()) {
    return MakeNotRun(MakeError(ErrorKind::NotHolder));
  }
  return MakeNotRun(MakeError(ErrorKind::NoCapacity));
}

} // namespace skylarkhill::requests
