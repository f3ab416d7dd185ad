#include "skylarkhill/node/shared_log.hpp"

#include "skylarkhill/base/name_table.hpp"

namespace skylarkhill::node {

namespace {

constexpr base::NameTable<LogOutcome, 8> kOutcomeNames{ {
  { LogOutcome::Done, "done" },
  { LogOutcome::EndMoved, "end_moved" },
  { LogOutcome::Fenced, "fenced" },
  { LogOutcome::OutOfSequence, "out_of_sequence" },
  { LogOutcome::Expired, "expired" },
  { LogOutcome::Refused, "refused" },
  { LogOutcome::Invalid, "invalid" },
  { LogOutcome::Unknown, "unknown" },
} };

} // namespace

std::size_t
SizeOf(const LogRecord& aRecord)
{
  // The record begins with one byte for the length of the key.
  return 1 + aRecord.mKey.size() + aRecord.mValue.size();
}

bool
IsStorable(const LogRecord& aRecord, const LogLimits& aLimits)
{
  const std::size_t bytes = SizeOf(aRecord);
  return aRecord.mKey.size() <= kMaxKeyBytes &&
         bytes <= aLimits.mMaxRecordBytes &&
         bytes + kRecordLengthBytes <= aLimits.mMaxAppendBytes;
}

std::string_view
NameOf(LogOutcome aOutcome)
{
  return base::FindName(kOutcomeNames, aOutcome);
}

} // namespace skylarkhill::node
