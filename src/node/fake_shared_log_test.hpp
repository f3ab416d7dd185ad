#ifndef SKYLARKHILL_NODE_FAKE_SHARED_LOG_TEST_HPP
#define SKYLARKHILL_NODE_FAKE_SHARED_LOG_TEST_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/node/shared_log.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_log_rates_test.hpp"

namespace skylarkhill::node {

/// The contents of an in-memory log. Streams are named by NameOfStream.
struct FakeLogState
{
  std::map<std::string, std::vector<LogRecord>> mStreams;
  std::map<std::string, std::int64_t> mEpochs;
  LogLimits mLimits;
  /// By stream; older records have expired, and only the newest record of each
  /// key that has a value is left of them.
  std::map<std::string, std::int64_t> mFirstOffsets;
  /// The last stamped append of each stream and its result.
  std::map<std::string, std::pair<WriterStamp, AppendResult>> mLastStamped;
  /// If set, the rates of calls that the log answers.
  FakeLogRates* mRates = nullptr;
};

/// The topic, followed by the partition unless it is 0.
inline std::string
NameOfStream(const LogStream& aStream)
{
  return aStream.mPartition == 0
           ? aStream.mTopic
           : aStream.mTopic + "/" + std::to_string(aStream.mPartition);
}

/// One instance's access to the in-memory log. Handlers of asynchronous calls
/// run in Deliver.
class FakeSharedLog
  : public AsyncLog
  , public BlockingLog
{
public:
  explicit FakeSharedLog(FakeLogState& aState)
    : mState(aState)
  {
  }

  AppendResult Append(const AppendRequest& aRequest,
                      base::TimePoint aDeadline) override
  {
    if (mOnAppend) {
      mOnAppend(aRequest);
    }
    if (IsRefused(FakeLogCall::Append, aRequest.mStream)) {
      AppendResult refusal;
      refusal.mOutcome = LogOutcome::Refused;
      return refusal;
    }
    const bool isLost =
      mIsUnreachable || mUnwritableTopics.count(aRequest.mStream.mTopic) != 0 ||
      mUnwritableStreams.count(NameOfStream(aRequest.mStream)) != 0;
    const AppendResult result = isLost ? AppendResult{} : Apply(aRequest);
    if (isLost && mKeepsLostAppends) {
      mLostAppends.push_back(aRequest);
    }
    if (!isLost && !mDropsResponses) {
      return result;
    }
    if (mOnNoResponse) {
      mOnNoResponse(aDeadline);
    }
    return {};
  }

  ReadResult Read(const LogStream& aStream,
                  std::int64_t aFrom,
                  base::TimePoint) override
  {
    return IsRefused(FakeLogCall::Read, aStream) ? ReadResult{}
                                                 : Answer(aStream, aFrom);
  }

  /// The answer to a read that the log does not refuse.
  ReadResult Answer(const LogStream& aStream, std::int64_t aFrom)
  {
    const auto first = mState.mFirstOffsets.find(NameOfStream(aStream));
    if (IsReadable(aStream) && first != mState.mFirstOffsets.end() &&
        aFrom < first->second) {
      ReadResult result;
      result.mOutcome = LogOutcome::Expired;
      return result;
    }
    return ReadAll(aStream, aFrom);
  }

  ReadResult ReadAll(const LogStream& aStream, std::int64_t aFrom)
  {
    ReadResult result;
    if (!IsReadable(aStream)) {
      return result;
    }
    const auto& records = mState.mStreams[NameOfStream(aStream)];
    result.mOutcome = LogOutcome::Done;
    result.mNextOffset = aFrom;
    result.mEnd = static_cast<std::int64_t>(records.size());
    for (auto n = static_cast<std::size_t>(aFrom);
         n < records.size() && result.mRecords.size() < mMaxRecordsPerRead;
         ++n) {
      result.mRecords.push_back(records[n]);
      ++result.mNextOffset;
    }
    return result;
  }

  void Append(const AppendRequest& aRequest,
              base::TimePoint aDeadline,
              std::function<void(AppendResult)> aHandler) override
  {
    const AppendResult result = Append(aRequest, aDeadline);
    mResponses.emplace_back([aHandler, result] { aHandler(result); });
  }

  void Read(const LogStream& aStream,
            std::int64_t aFrom,
            base::Duration aWait,
            std::function<void(ReadResult)> aHandler) override
  {
    ++mReadCounts[aStream.mTopic];
    const bool isRefused = IsRefused(FakeLogCall::Read, aStream);
    if (mClock != nullptr && !isRefused) {
      mReads.push_back({ aStream,
                         aFrom,
                         mClock->Now() + aWait,
                         aHandler,
                         NameOfStream(aStream) });
      return;
    }
    const ReadResult result = isRefused ? ReadResult{} : Answer(aStream, aFrom);
    mResponses.emplace_back([aHandler, result] { aHandler(result); });
  }

  void ReadNewest(const LogStream& aStream,
                  std::function<void(ReadResult)> aHandler) override
  {
    ++mNewestReadCounts[aStream.mTopic];
    mNewestReads.push_back(NameOfStream(aStream));
    ReadResult result = ReadAll(aStream, 0);
    const auto first = mState.mFirstOffsets.find(NameOfStream(aStream));
    std::map<std::string, LogRecord> newest;
    for (const auto& it : result.mRecords) {
      newest[it.mKey] = it;
      if (it.mValue.empty() && first != mState.mFirstOffsets.end() &&
          it.mOffset < first->second) {
        newest.erase(it.mKey);
      }
    }
    result.mRecords.clear();
    for (const auto& [key, record] : newest) {
      result.mRecords.push_back(record);
    }
    if (IsPageRefused(aStream, result.mRecords.size())) {
      result = {};
    }
    mResponses.emplace_back([aHandler, result] { aHandler(result); });
  }

  /// Returns true if it has called a handler.
  bool Deliver()
  {
    if (mHoldsResponses) {
      return false;
    }
    auto responses = std::move(mResponses);
    mResponses.clear();
    for (const auto& it : responses) {
      it();
    }
    bool hasDelivered = !responses.empty();
    auto reads = std::move(mReads);
    mReads.clear();
    for (auto& it : reads) {
      if (IsWaiting(it)) {
        mReads.push_back(std::move(it));
        continue;
      }
      const ReadResult result = Answer(it.mStream, it.mFrom);
      const bool isExpired = result.mOutcome == LogOutcome::Expired;
      it.mIsLost =
        it.mIsLost || (result.mOutcome != LogOutcome::Done && !isExpired);
      const base::TimePoint end =
        it.mIsLost ? it.mWaitEnd + kReadSlack : it.mWaitEnd;
      const bool isRefused = it.mIsLost && (mRefusesReads || IsDown());
      if (mClock->Now() < end && !isRefused &&
          (it.mIsLost || (result.mRecords.empty() && !isExpired))) {
        mReads.push_back(std::move(it));
      } else {
        it.mHandler(it.mIsLost ? ReadResult{} : result);
        hasDelivered = true;
      }
    }
    return hasDelivered;
  }

  /// If set, reads wait for a record, and reads without a response fail
  /// kReadSlack after their wait. Otherwise both end at once.
  const base::Clock* mClock = nullptr;
  static constexpr base::Duration kReadSlack = std::chrono::milliseconds(900);
  /// Called before each append.
  std::function<void(const AppendRequest&)> mOnAppend;
  /// Called with the deadline of each append without a response, instead of
  /// waiting until then.
  std::function<void(base::TimePoint)> mOnNoResponse;
  bool mIsUnreachable = false;
  /// Topics whose reads get no response; appends to them take effect.
  std::set<std::string> mUnreadableTopics;
  /// The same for single partitions, by NameOfStream.
  std::set<std::string> mUnreadableStreams;
  /// Topics whose appends get no response and take no effect.
  std::set<std::string> mUnwritableTopics;
  /// The same for single partitions, by NameOfStream.
  std::set<std::string> mUnwritableStreams;
  /// Reads that would be lost fail at once.
  bool mRefusesReads = false;
  /// Asynchronous reads of new records by topic.
  std::map<std::string, int> mReadCounts;
  /// The streams of all reads of the newest record of every key.
  std::vector<std::string> mNewestReads;
  /// Number of these reads by topic.
  std::map<std::string, int> mNewestReadCounts;
  /// Conditional appends that were refused because the stream has grown.
  int mRefusedAppends = 0;
  std::size_t mMaxRecordsPerRead = std::numeric_limits<std::size_t>::max();
  /// Appends take effect, but their responses are lost.
  bool mDropsResponses = false;
  /// Appends take effect, but all responses wait until this is false.
  bool mHoldsResponses = false;
  /// Appends without effect are kept, and take effect when CarryOutLostAppends
  /// is called.
  bool mKeepsLostAppends = false;

  void CarryOutLostAppends()
  {
    for (const auto& it : mLostAppends) {
      Apply(it);
    }
    mLostAppends.clear();
  }

private:
  bool IsDown() const
  {
    return mState.mRates != nullptr && mState.mRates->mIsDown;
  }

  /// Counts the call. True if the log refuses it for its rate.
  bool IsRefused(FakeLogCall aCall, const LogStream& aStream)
  {
    return mState.mRates != nullptr && !mIsUnreachable &&
           !mState.mRates->Take(aCall, aStream.mTopic);
  }

  /// Counts the calls for the pages of so many records. True if the log refuses
  /// one of them for its rate.
  bool IsPageRefused(const LogStream& aStream, std::size_t aRecords)
  {
    bool isRefused = IsRefused(FakeLogCall::ReadNewest, aStream);
    if (mState.mRates != nullptr) {
      const std::size_t page = mState.mRates->RecordsPerPageOf(aStream.mTopic);
      for (std::size_t n = page; n < aRecords && !isRefused; n += page) {
        isRefused = IsRefused(FakeLogCall::ReadNewest, aStream);
      }
    }
    return isRefused;
  }

  bool IsReadable(const LogStream& aStream) const
  {
    return !mIsUnreachable && !IsDown() &&
           mUnreadableTopics.count(aStream.mTopic) == 0 &&
           (mUnreadableStreams.empty() ||
            mUnreadableStreams.count(NameOfStream(aStream)) == 0);
  }

  /// An asynchronous read of new records that waits.
  struct PendingRead
  {
    LogStream mStream;
    std::int64_t mFrom = 0;
    base::TimePoint mWaitEnd;
    std::function<void(ReadResult)> mHandler;
    /// NameOfStream of mStream.
    std::string mName;
    bool mIsLost = false;
  };

  /// True if nothing answers or ends the read yet. Cheaper than Answer, because
  /// a large site has thousands of waiting reads.
  bool IsWaiting(const PendingRead& aRead) const
  {
    if (aRead.mIsLost || mClock->Now() >= aRead.mWaitEnd ||
        !IsReadable(aRead.mStream) || mState.mFirstOffsets.count(aRead.mName)) {
      return false;
    }
    const auto found = mState.mStreams.find(aRead.mName);
    return found == mState.mStreams.end() ||
           static_cast<std::int64_t>(found->second.size()) <= aRead.mFrom;
  }

  bool IsWithinLimits(const AppendRequest& aRequest) const
  {
    std::size_t bytes = 0;
    for (const auto& it : aRequest.mRecords) {
      if (!IsStorable(it, mState.mLimits)) {
        return false;
      }
      bytes += kRecordLengthBytes + SizeOf(it);
    }
    return bytes <= mState.mLimits.mMaxAppendBytes;
  }

  AppendResult Apply(const AppendRequest& aRequest)
  {
    if (!IsWithinLimits(aRequest)) {
      AppendResult refusal;
      refusal.mOutcome = LogOutcome::Invalid;
      return refusal;
    }
    const std::string stream = NameOfStream(aRequest.mStream);
    auto& records = mState.mStreams[stream];
    AppendResult result;
    result.mEnd = static_cast<std::int64_t>(records.size());
    if (aRequest.mExpectedEnd && *aRequest.mExpectedEnd != result.mEnd) {
      ++mRefusedAppends;
      result.mOutcome = LogOutcome::EndMoved;
      return result;
    }
    if (aRequest.mStamp) {
      auto& epoch = mState.mEpochs[stream];
      if (aRequest.mStamp->mEpoch < epoch) {
        result.mOutcome = LogOutcome::Fenced;
        return result;
      }
      epoch = aRequest.mStamp->mEpoch;
      const auto last = mState.mLastStamped.find(stream);
      if (last != mState.mLastStamped.end() &&
          last->second.first.mEpoch == aRequest.mStamp->mEpoch &&
          last->second.first.mSequence >= aRequest.mStamp->mSequence) {
        return last->second.second;
      }
    }
    result.mOutcome = LogOutcome::Done;
    result.mOffset = result.mEnd;
    for (auto it : aRequest.mRecords) {
      it.mOffset = result.mEnd++;
      records.push_back(it);
    }
    if (aRequest.mStamp) {
      mState.mLastStamped[stream] = { *aRequest.mStamp, result };
    }
    return result;
  }

  FakeLogState& mState;
  std::vector<AppendRequest> mLostAppends;
  std::deque<std::function<void()>> mResponses;
  std::vector<PendingRead> mReads;
};

} // namespace skylarkhill::node

#endif // SKYLARKHILL_NODE_FAKE_SHARED_LOG_TEST_HPP
