#ifndef SKYLARKHILL_NODE_LEADERSHIP_HPP
#define SKYLARKHILL_NODE_LEADERSHIP_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/base/error.hpp"
#include "skylarkhill/node/shared_log.hpp"
#include "skylarkhill/node/stream_tail.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkhill::node {

/// What a record of the leader stream says.
struct LeaderRecord
{
  /// Rises with every claim; the fencing token of the leader's orders.
  std::int64_t mEpoch = 0;
  /// Node name and a number that differs between processes.
  std::string mLeaderId;
  /// The holder gives up the leadership.
  bool mIsResigned = false;
};

std::string
EncodeLeaderRecord(const LeaderRecord& aRecord);

/// InvalidArgument if the bytes are not those of EncodeLeaderRecord.
base::Result<LeaderRecord>
DecodeLeaderRecord(std::string_view aBytes);

/// A leader's authority to extend leases ends this long after its last
/// confirmed record; a successor waits for it where it cannot ask a worker.
inline constexpr base::Duration kLeaderLease = std::chrono::seconds(9);

/// Elects one node by conditional appends to a stream that only leaders and
/// candidates write to. Nodes with more of a processor claim first. Belongs to
/// the thread of the call loop.
class Leadership
{
public:
  Leadership(SharedLog& aLog,
             const base::Clock& aClock,
             LogStream aStream,
             std::string aNodeId,
             double aProcessorShare);

  /// Reads, claims and renews as far as due.
  void Poll();
  /// Gives the leadership up for the benefit of another node and never claims
  /// it again.
  void Resign();
  /// Gives the leadership up because a worker has refused an order.
  void StepDown();

  bool IsLeader() const { return mOwnEpoch.has_value(); }
  /// Of the term that this node leads; 0 if it does not lead.
  std::int64_t Epoch() const { return mOwnEpoch.value_or(0); }
  /// When the last record of this leader that was stored was sent; no other
  /// node has led before that time.
  base::TimePoint ConfirmedAt() const { return mConfirmedAt; }
  /// When the last earlier leader loses its authority at the latest.
  base::TimePoint PreviousLeaderLeaseEnd() const
  {
    return mPreviousLeaderLeaseEnd;
  }
  base::TimePoint NextPollAt() const;
  /// The newest record, or nothing.
  const std::optional<LeaderRecord>& NewestRecord() const
  {
    return mNewestRecord;
  }

private:
  void OnRecord(const LogRecord& aRecord);
  bool IsClaimDue(base::TimePoint aNow) const;
  void Append(LeaderRecord aRecord);
  void OnAppended(const LeaderRecord& aRecord,
                  const AppendResult& aResult,
                  base::TimePoint aSentAt);
  void BecomeLeader(std::int64_t aEpoch, base::TimePoint aClaimedAt);

  SharedLog& mLog;
  const base::Clock& mClock;
  const LogStream mStream;
  const std::string mNodeId;
  const double mProcessorShare;
  StreamTail mTail;
  std::optional<LeaderRecord> mNewestRecord;
  base::TimePoint mNewestReadAt;
  /// When the claim with the highest epoch of this node was sent.
  base::TimePoint mClaimSentAt;
  std::optional<std::int64_t> mOwnEpoch;
  std::int64_t mStreamEnd = 0;
  bool mIsAppending = false;
  bool mHasResigned = false;
  base::TimePoint mNextAppendAt;
  base::TimePoint mConfirmedAt;
  base::TimePoint mPreviousLeaderLeaseEnd;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_LEADERSHIP_HPP
