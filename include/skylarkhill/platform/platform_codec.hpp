#ifndef SKYLARKHILL_PLATFORM_PLATFORM_CODEC_HPP
#define SKYLARKHILL_PLATFORM_PLATFORM_CODEC_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/json.hpp"
#include "skylarkhill/platform/instance_list.hpp"
#include "skylarkhill/platform/log_service.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace skylarkhill::platform {

/// JSON bodies of the platform's HTTP interface. Every Parse function fails
/// with InvalidJson or InvalidArgument.

/// Request body of an append.
std::string
FormatAppendRequest(std::string_view aPayload);
base::Result<std::string>
ParseAppendRequest(std::string_view aBody);

/// Response body of an append.
std::string
FormatAppendResponse(Offset aOffset);
base::Result<Offset>
ParseAppendResponse(std::string_view aBody);

std::string
FormatLogPage(const LogPage& aPage);
base::Result<LogPage>
ParseLogPage(std::string_view aBody);

/// Parses one instance; absent members keep their defaults.
base::Result<InstanceInfo>
ParseInstance(const base::JsonValue& aObject);

std::string
FormatInstances(const std::vector<InstanceInfo>& aInstances);
/// Accepts {"instances": [...]} or the array alone.
base::Result<std::vector<InstanceInfo>>
ParseInstances(std::string_view aBody);

} // namespace skylarkhill::platform

#endif // SKYLARKHILL_PLATFORM_PLATFORM_CODEC_HPP
