#ifndef SKYLARKHILL_PLATFORM_HTTP_PLATFORM_HPP
#define SKYLARKHILL_PLATFORM_HTTP_PLATFORM_HPP

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/platform/instance_list.hpp"
#include "skylarkhill/platform/log_service.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace skylarkhill::platform {

/// Client of the log service at the IP address `aAddress`. Besides the errors
/// of LogService, Append may return InvalidArgument or PayloadTooLarge if the
/// log rejects the record permanently. `aClock` must outlive the service.
std::unique_ptr<LogService>
CreateHttpLogService(std::string aAddress,
                     std::uint16_t aPort,
                     const base::Clock& aClock);

/// Client of the instance list at the IP address `aAddress`. `aClock` must
/// outlive it.
std::unique_ptr<InstanceList>
CreateHttpInstanceList(std::string aAddress,
                       std::uint16_t aPort,
                       const base::Clock& aClock);

} // namespace skylarkhill::platform

#endif // SKYLARKHILL_PLATFORM_HTTP_PLATFORM_HPP
