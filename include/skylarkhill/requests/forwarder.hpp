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

/// An attempt that another entry instance, the origin, asks this one to run.
struct ForwardedAttempt
{
  base::InstanceId mOrigin;
  /// Increases with every restart of the origin.
  std::uint64_t mOriginIncarnation = 0;
  /// The attempt number at the origin.
  std::int64_t mAttempt = 0;
  Request mRequest;
};

/// A worker of this instance has answered or failed the attempt.
struct AttemptFinished
{
  base::InstanceId mOrigin;
  std::uint64_t mOriginIncarnation = 0;
  base::RequestId mRequest;
  std::int64_t mAttempt = 0;
  base::Result<std::string> mBody = std::string();
};

/// Send the attempt once to `mWorker`, which this instance holds.
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

/// Runs forwarded attempts on the workers that this instance holds; never
/// forwards them again. Not thread-safe.
class Forwarder
{
public:
  /// The arguments must outlive the forwarder.
  Forwarder(const TargetPicker& aPicker,
            const InFlightTable& aInFlight,
            const base::Clock& aClock,
            base::Random& aRandom);

  /// `aCandidates`: targets that serve the service; peers are ignored.
  ForwardActions OnAttempt(const ForwardedAttempt& aAttempt,
                           const std::vector<Candidate>& aCandidates);
  ForwardActions OnAttemptFinished(const AttemptFinished& aEvent);
  /// Answers the running attempts whose deadline has passed with Unknown, and
  /// removes all attempts past their deadline.
  ForwardActions OnTimer();
  /// Refuses all new attempts from now on.
  void StopAccepting() { mStopping = true; }

  /// Time of the next OnTimer call; kNoDeadline if there are no attempts.
  base::TimePoint NextWakeUp() const;
  /// Attempts that are running and unanswered.
  std::int64_t CountRunning() const;
  /// Received duplicates of known attempts; these are not answered.
  std::int64_t CountDuplicates() const { return mDuplicates; }
  /// Attempts received after their deadline; these are not answered.
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
