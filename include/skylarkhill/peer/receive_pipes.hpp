#ifndef SKYLARKHILL_PEER_RECEIVE_PIPES_HPP
#define SKYLARKHILL_PEER_RECEIVE_PIPES_HPP

#include "skylarkhill/base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace skylarkhill::peer {

/// The connections on which the frames of one peer arrive. Tells which of them
/// the peer has replaced and no longer uses. Not thread-safe.
class ReceivePipes
{
public:
  using PipeId = std::uint32_t;

  /// A replaced connection counts as unused once no frame has arrived on it
  /// for `aQuietTime`.
  explicit ReceivePipes(base::Duration aQuietTime);

  /// Records a frame that arrived on `aPipe`; `aIsNewest` if the peer sent it
  /// after all frames recorded before.
  void RecordFrame(PipeId aPipe, bool aIsNewest, base::TimePoint aNow);
  /// Removes the unused connections and returns them.
  std::vector<PipeId> TakeUnused(base::TimePoint aNow);

private:
  base::Duration mQuietTime;
  std::optional<PipeId> mCurrent;
  /// Replaced connections by the time at which each counts as unused.
  std::map<PipeId, base::TimePoint> mUnusedAt;
};

} // namespace skylarkhill::peer

#endif // SKYLARKHILL_PEER_RECEIVE_PIPES_HPP
