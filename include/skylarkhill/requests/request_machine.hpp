#ifndef SKYLARKHILL_REQUESTS_REQUEST_MACHINE_HPP
#define SKYLARKHILL_REQUESTS_REQUEST_MACHINE_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/random.hpp"
#include "skylarkhill/requests/key_record.hpp"
#include "skylarkhill/requests/request.hpp"
#include "skylarkhill/requests/retry_budget.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace skylarkhill::requests {

struct RequestMachineOptions
{
  /// Attempts in all, hedges included.
  std::int64_t mMaxAttempts = 3;
  /// Latency quantile of the service after which an idempotent request is
  /// hedged; zero disables hedging.
  base::Duration mHedgeDelay{ 0 };
  /// Limit for one attempt of an idempotent request; zero means the deadline.
  base::Duration mAttemptTimeout{ 0 };
};

/// The router offers a target.
struct TargetOffered
{
  Target mTarget;
};

/// The router has no eligible target.
struct TargetUnavailable
{};

/// This instance's intent was read back and is the first one of its key.
struct IntentWon
{};

/// State of a key that another request has claimed.
enum class ClaimState
{
  /// The winner is alive; another event follows when it is done.
  InProgress,
  /// The outcome is recorded.
  Finished,
  /// The winner is gone and has recorded no outcome.
  Abandoned,
};

/// The key belongs to another request with the same key.
struct IntentClaimedByOther
{
  ClaimState mState = ClaimState::InProgress;
  /// Meaningful if the state is Finished.
  OutcomeRecord mRecord;
};

/// The log took no intent; the key is not known to be claimed.
struct LogUnavailable
{};

/// A worker answered an attempt.
struct AttemptAnswered
{
  base::RequestId mRequest;
  std::int64_t mAttempt = 0;
  std::string mBody;
};

/// An attempt on an own worker failed.
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

/// The caller gives up its request.
struct CancelRequested
{};

/// The time named by NextWakeup has come.
struct TimerFired
{};

using RequestEvent = std::variant<TargetOffered,
                                  TargetUnavailable,
                                  IntentWon,
                                  IntentClaimedByOther,
                                  LogUnavailable,
                                  AttemptAnswered,
                                  AttemptFailed,
                                  PeerAnswered,
                                  CancelRequested,
                                  TimerFired>;

/// Ask the router for a target; answered by TargetOffered or
/// TargetUnavailable.
struct PickTarget
{
  std::set<Target> mTried;
};

/// Append the intent and read it back.
struct AppendIntent
{};

/// Append the outcome of a key that this request has claimed.
struct AppendOutcome
{
  RequestResult mResult;
};

/// Send the attempt once, not after its deadline.
struct SendAttempt
{
  Target mTarget;
  std::int64_t mAttempt = 0;
  base::TimePoint mDeadline;
};

/// Tell the caller; emitted exactly once.
struct Finish
{
  RequestResult mResult;
};

using RequestAction =
  std::variant<PickTarget, AppendIntent, AppendOutcome, SendAttempt, Finish>;
using RequestActions = std::vector<RequestAction>;

/// Results of attempts that were not used.
struct DroppedAnswers
{
  /// Arrived after the request had ended.
  std::int64_t mLate = 0;
  /// Second result of the same attempt.
  std::int64_t mDuplicate = 0;
  /// Another request's id, or an attempt that was never sent.
  std::int64_t mMismatched = 0;
};

/// Decides what happens to one request. Not thread-safe. The same object must
/// receive events until IsSettled, which may be later than Finish.
class RequestMachine
{
public:
  /// `aBudget` and `aClock` must outlive the machine.
  RequestMachine(Request aRequest,
                 const RequestMachineOptions& aOptions,
                 RetryBudget& aBudget,
                 const base::Clock& aClock,
                 base::Random& aRandom);

  /// Must be called once, before any event.
  RequestActions Start();
  RequestActions Handle(const RequestEvent& aEvent);

  const Request& GetRequest() const { return mRequest; }
  /// When TimerFired is due next; kNoDeadline once the request has ended.
  base::TimePoint NextWakeup() const;
  bool IsFinished() const { return mFinished; }
  /// True if no further event can cause an action.
  bool IsSettled() const { return mFinished && mClaim != Claim::Pending; }
  const DroppedAnswers& GetDroppedAnswers() const { return mDropped; }

private:
  enum class Claim
  {
    /// Idempotent requests claim nothing.
    NotNeeded,
    Pending,
    Won,
    Lost,
  };
  enum class AttemptState
  {
    InFlight,
    /// Its deadline has passed; only an answer is still of use.
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
  void On(const IntentClaimedByOther& aEvent, RequestActions& aActions);
  void On(const LogUnavailable& aEvent, RequestActions& aActions);
  void On(const AttemptAnswered& aEvent, RequestActions& aActions);
  void On(const AttemptFailed& aEvent, RequestActions& aActions);
  void On(const PeerAnswered& aEvent, RequestActions& aActions);
  void On(const CancelRequested& aEvent, RequestActions& aActions);
  void On(const TimerFired& aEvent, RequestActions& aActions);

  bool HasState(AttemptState aState) const;
  bool MayHaveRun() const;
  bool CanSendAgain() const;
  /// The live attempt that a result belongs to; null and counted if none.
  Attempt* MatchResult(const base::RequestId& aRequest, std::int64_t aAttempt);
  void EndAttempt(Attempt& aAttempt,
                  bool aMayHaveRun,
                  const base::Error& aError,
                  RequestActions& aActions);
  void ExpireAttempts(RequestActions& aActions);
  /// After an attempt ended without an answer: try again, wait, or finish.
  void RetryOrFinish(RequestActions& aActions);
  void AskForTarget(RequestActions& aActions);
  void Send(const Target& aTarget, RequestActions& aActions);
  /// No further attempt: wait for those that are open, or finish.
  void StopRetrying(RequestActions& aActions);
  void FinishWithoutAnswer(RequestActions& aActions);
  void FinishAtDeadline(RequestActions& aActions);
  void FinishWith(RequestResult aResult, RequestActions& aActions);

  Request mRequest;
  RequestMachineOptions mOptions;
  RetryBudget& mBudget;
  const base::Clock& mClock;
  base::Random& mRandom;
  Claim mClaim = Claim::NotNeeded;
  bool mStarted = false;
  bool mFinished = false;
  bool mCancelled = false;
  bool mTargetPending = false;
  std::vector<Attempt> mAttempts;
  std::set<Target> mTried;
  base::TimePoint mHedgeAt = base::kNoDeadline;
  base::Error mLastError;
  DroppedAnswers mDropped;
};

} // namespace skylarkhill::requests

#endif // SKYLARKHILL_REQUESTS_REQUEST_MACHINE_HPP
