#ifndef SKYLARKHILL_REQUESTS_REQUEST_MACHINE_HPP
#define SKYLARKHILL_REQUESTS_REQUEST_MACHINE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/random.hpp"
#include "skylarkhill/requests/key_record.hpp"
#include "skylarkhill/requests/request.hpp"
#include "skylarkhill/requests/retry_budget.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace skylarkhill::requests {

struct RequestMachineOptions
{
  /// Maximum number of attempts, hedges included; attempts that were refused
  /// for lack of capacity do not count.
  std::int64_t mMaxAttempts = 3;
  /// Time after which an unanswered idempotent request is hedged, a high
  /// latency quantile of the service; zero disables hedging.
  base::Duration mHedgeDelay{ 0 };
  /// Timeout of one attempt of an idempotent request; zero means that only the
  /// deadline applies.
  base::Duration mAttemptTimeout{ 0 };
};

/// The target that the caller picked for the next attempt.
struct TargetOffered
{
  Target mTarget;
};

/// The caller found no eligible target.
struct TargetUnavailable
{};

/// The intent of this request was read back as the first one of its key.
struct IntentWon
{};

/// State of a key that another request has claimed.
enum class OtherClaimState
{
  /// The claiming instance is alive; another event follows when the request
  /// has finished.
  InProgress,
  /// The outcome is recorded.
  Finished,
  /// The claiming instance is gone and has recorded no outcome.
  Abandoned,
};

/// Another request has claimed the key first.
struct KeyClaimedByOther
{
  OtherClaimState mState = OtherClaimState::InProgress;
  /// Valid if the state is Finished.
  OutcomeRecord mRecord;
};

/// The intent could not be appended, and no claim of the key is known.
struct LogUnavailable
{};

/// A worker answered an attempt.
struct AttemptAnswered
{
  base::RequestId mRequest;
  std::int64_t mAttempt = 0;
  std::string mBody;
};

/// An attempt on a held worker failed.
struct AttemptFailed
{
  base::RequestId mRequest;
  std::int64_t mAttempt = 0;
  base::Error mError;
};

/// A peer answered a forwarded attempt.
struct PeerAnswered
{
  base::RequestId mRequest;
  std::int64_t mAttempt = 0;
  RequestResult mResult;
};

/// The caller cancels its request.
struct CancelRequested
{};

/// The time returned by NextWakeUp has come.
struct TimerFired
{};

using RequestEvent = std::variant<TargetOffered,
                                  TargetUnavailable,
                                  IntentWon,
                                  KeyClaimedByOther,
                                  LogUnavailable,
                                  AttemptAnswered,
                                  AttemptFailed,
                                  PeerAnswered,
                                  CancelRequested,
                                  TimerFired>;

/// Pick a target that is not in `mTried`; answered by TargetOffered or
/// TargetUnavailable.
struct PickTarget
{
  std::set<Target> mTried;
  /// Times at which targets refused an attempt for lack of capacity. A target
  /// is not picked again before it has reported its free slots later than that.
  std::map<Target, base::TimePoint> mRefusedAt;
  /// True if no attempt may have run, so that the pick may wait for a free
  /// slot until the deadline.
  bool mMayWait = false;
};

/// Append the intent and read it back.
struct AppendIntent
{};

/// Append the outcome of a key that this request has claimed.
struct AppendOutcome
{
  RequestResult mResult;
};

/// Send the attempt once, and only before its deadline.
struct SendAttempt
{
  Target mTarget;
  std::int64_t mAttempt = 0;
  base::TimePoint mDeadline;
};

/// Report the result to the caller; emitted exactly once.
struct Finish
{
  RequestResult mResult;
};

using RequestAction =
  std::variant<PickTarget, AppendIntent, AppendOutcome, SendAttempt, Finish>;
using RequestActions = std::vector<RequestAction>;

/// Counts of attempt results that were ignored.
struct DroppedAnswers
{
  /// Received after the request had ended.
  std::int64_t mLate = 0;
  /// Further results of an attempt that has ended.
  std::int64_t mDuplicate = 0;
  /// Results of another request or of an attempt that was never sent.
  std::int64_t mMismatched = 0;
};

/// State machine of one request: events in, actions out. Not thread-safe. It
/// must receive events until IsSettled, which may be later than Finish.
class RequestMachine
{
public:
  /// `aBudget` and `aClock` must outlive the machine.
  RequestMachine(Request aRequest,
                 const RequestMachineOptions& aOptions,
                 RetryBudget& aBudget,
                 const base::Clock& aClock,
                 base::Random& aRandom);

  /// Must be called once, before any event is handled.
  RequestActions Start();
  RequestActions Handle(const RequestEvent& aEvent);

  const Request& GetRequest() const { return mRequest; }
  /// Time at which TimerFired is due; kNoDeadline once the request has ended.
  base::TimePoint NextWakeUp() const;
  bool IsFinished() const { return mFinished; }
  /// True if no further event can cause an action.
  bool IsSettled() const { return mFinished && mClaim != OwnClaim::Pending; }
  const DroppedAnswers& GetDroppedAnswers() const { return mDropped; }

private:
  enum class OwnClaim
  {
    /// Idempotent requests claim no key.
    NotNeeded,
    Pending,
    Won,
    /// Another request claimed the key first, or the intent was not appended.
    Lost,
  };
  enum class AttemptState
  {
    InFlight,
    /// Past its deadline; an answer is still accepted.
    TimedOut,
    Ended,
  };
  struct Attempt
  {
    Target mTarget;
    base::TimePoint mDeadline;
    AttemptState mState = AttemptState::InFlight;
    bool mMayHaveRun = true;
  };

  void On(const TargetOffered& aEvent, RequestActions& aActions);
  void On(const TargetUnavailable& aEvent, RequestActions& aActions);
  void On(const IntentWon& aEvent, RequestActions& aActions);
  void On(const KeyClaimedByOther& aEvent, RequestActions& aActions);
  void On(const LogUnavailable& aEvent, RequestActions& aActions);
  void On(const AttemptAnswered& aEvent, RequestActions& aActions);
  void On(const AttemptFailed& aEvent, RequestActions& aActions);
  void On(const PeerAnswered& aEvent, RequestActions& aActions);
  void On(const CancelRequested& aEvent, RequestActions& aActions);
  void On(const TimerFired& aEvent, RequestActions& aActions);

  bool HasState(AttemptState aState) const;
  bool MayHaveRun() const;
  bool CanSendAgain() const;
  /// The attempt that awaits this result; null if there is none, in which case
  /// the result is counted as dropped.
  Attempt* MatchResult(const base::RequestId& aRequest, std::int64_t aAttempt);
  void EndAttempt(Attempt& aAttempt,
                  bool aMayHaveRun,
                  const base::Error& aError,
                  RequestActions& aActions);
  void ExpireAttempts(RequestActions& aActions);
  /// Called when an attempt ended without an answer: sends another attempt,
  /// waits for those in flight or finishes.
  void RetryOrFinish(RequestActions& aActions);
  void AskForTarget(RequestActions& aActions);
  void Send(const Target& aTarget, RequestActions& aActions);
  /// Sends no further attempt now: waits for those in flight or finishes.
  void StopRetrying(RequestActions& aActions);
  void FinishWithoutAnswer(RequestActions& aActions);
  void FinishAtDeadline(RequestActions& aActions);
  void FinishWith(RequestResult aResult, RequestActions& aActions);

  Request mRequest;
  RequestMachineOptions mOptions;
  RetryBudget& mBudget;
  const base::Clock& mClock;
  base::Random& mRandom;
  OwnClaim mClaim = OwnClaim::NotNeeded;
  bool mStarted = false;
  bool mFinished = false;
  bool mCancelled = false;
  bool mTargetPending = false;
  std::vector<Attempt> mAttempts;
  std::set<Target> mTried;
  std::map<Target, base::TimePoint> mRefusedAt;
  std::int64_t mCapacityRefusals = 0;
  base::TimePoint mHedgeAt = base::kNoDeadline;
  base::Error mLastError;
  DroppedAnswers mDropped;
};

} // namespace skylarkhill::requests

#endif // SKYLARKHILL_REQUESTS_REQUEST_MACHINE_HPP
