#ifndef SKYLARKHILL_JOURNAL_RECORD_CODEC_HPP
#define SKYLARKHILL_JOURNAL_RECORD_CODEC_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/journal/site_record.hpp"

#include <string>
#include <string_view>

namespace skylarkhill::journal {

/// Binary form of one record, for `Batch::mRecords`.
std::string
EncodeRecord(const SiteRecord& aRecord);

/// InvalidArgument if the bytes are not a record of a known type.
base::Result<SiteRecord>
DecodeRecord(std::string_view aBytes);

/// Payload of a log record, as ASCII text.
std::string
EncodeBatch(const Batch& aBatch);

/// InvalidArgument if the text is not a batch. The records are not decoded.
base::Result<Batch>
DecodeBatch(std::string_view aPayload);

} // namespace skylarkhill::journal

#endif // SKYLARKHILL_JOURNAL_RECORD_CODEC_HPP
