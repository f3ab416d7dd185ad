#ifndef SKYLARKHILL_REQUESTS_FORWARDER_HPP
#define SKYLARKHILL_REQUESTS_FORWARDER_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/random.hpp"
#include "skylarkhill/requests/request.hpp"
#include "skylarkhill/requests/target_picker.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace skylarkhill::requests {

/// One attempt that another entry instance asks this one to run.
struct ForwardedAttempt
{
  base::InstanceId mOrigin;
  /// Tells apart the lives of an origin.
  std::uint64_t mOriginIncarnation = 0;
  /// The attempt number at the origin.
  std::int64_t mAttempt = 0;
  Request mRequest;
};

/// An own worker finished the attempt.
struct WorkerFinished
{
  base::InstanceId mOrigin;
  std::uint64_t mOriginIncarnation = 0;
  base::RequestId mRequest;
  std::int64_t mAttempt = 0;
  base::Result<std::string> mBody = std::string();
};

/// Send the attempt once to the own worker `mWorker`.
struct RunOnWorker
{
  base::WorkerId mWorker;
  ForwardedAttempt mAttempt;
};

/// Tell the origin how its attempt ended.
struct AnswerOrigin
{
  base::InstanceId mOrigin;
  base::RequestId mRequest;
  std::int64_t mAttempt = 0;
  RequestResult mResult;
};

using ForwardAction = std::variant<RunOnWorker, AnswerOrigin>;
using ForwardActions = std::vector<ForwardAction>;

/// Runs forwarded attempts on own workers and never forwards them again. Not
/// thread-safe.
class Forwarder
{
public:
  /// The arguments must outlive the forwarder.
  Forwarder(const TargetPicker& aPicker,
            const InFlightTable& aInFlight,
            const base::Clock& aClock,
            base::Random& aRandom);

  /// `aCandidates` are the own workers that serve the service.
  ForwardActions OnAttempt(const ForwardedAttempt& aAttempt,
                           const std::vector<Candidate>& aCandidates);
  ForwardActions OnWorkerFinished(const WorkerFinished& aEvent);
  /// Answers attempts whose deadline has passed and forgets old ones.
  ForwardActions OnTimer();
  /// From now on every new attempt is refused.
  void StopAccepting() { mStopping = true; }

  /// When OnTimer is due next; kNoDeadline if nothing is remembered.
  base::TimePoint NextWakeup() const;
  /// Attempts that run and have not been answered.
  std::int64_t CountRunning() const;
  /// Copies of attempts that were already received; not answered.
  std::int64_t CountDuplicates() const { return mDuplicates; }
  /// Attempts that arrived after their deadline; not answered.
  std::int64_t CountExpired() const { return mExpired; }

private:
  using AttemptKey =
    std::tuple<base::InstanceId, std::uint64_t, base::RequestId, std::int64_t>;
  struct Entry
  {
    base::TimePoint mDeadline;
    bool mAnswered = false;
  };

  RequestResult MakeRefusal(const std::vector<Candidate>& aWorkers) const;

  const TargetPicker& mPicker;
  const InFlightTable& mInFlight;
  const base::Clock& mClock;
  base::Random& mRandom;
  std::map<AttemptKey, Entry> mEntries;
  std::int64_t mDuplicates = 0;
  std::int64_t mExpired = 0;
  bool mStopping = false;
};

} // namespace skylarkhill::requests

#endif // SKYLARKHILL_REQUESTS_FORWARDER_HPP
