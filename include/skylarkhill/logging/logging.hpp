#ifndef SKYLARKHILL_LOGGING_LOGGING_HPP
#define SKYLARKHILL_LOGGING_LOGGING_HPP

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkhill::logging {

/// Severity of a log line; lines below the configured level are dropped.
enum class Level
{
  Debug,
  Info,
  Warning,
  Error,
};

/// The name of `aLevel` in settings and options.
std::string_view
NameOf(Level aLevel);

/// The level named `aName`, or nothing.
std::optional<Level>
ParseLevel(std::string_view aName);

/// One key=value pair of a log line.
struct Field
{
  std::string_view mKey;
  std::string mValue;

  Field(std::string_view aKey, std::string_view aValue);
  Field(std::string_view aKey, std::int64_t aValue);
};

/// Adds a field to all lines that the current thread writes during the lifetime
/// of the object. Objects of one thread are destroyed in reverse order.
class ContextField
{
public:
  ContextField(std::string_view aKey, std::int64_t aValue);
  ~ContextField();
  ContextField(const ContextField&) = delete;
  ContextField& operator=(const ContextField&) = delete;
};

/// Configures the process-wide logger, which writes key=value lines to standard
/// output.
void
ConfigureLogging(Level aLevel);

/// Writes one log line for the event `aEvent`. Values are quoted if necessary.
void
Write(Level aLevel,
      std::string_view aEvent,
      std::initializer_list<Field> aFields);

/// Formats one log line without time and level.
std::string
FormatLine(std::string_view aEvent, std::initializer_list<Field> aFields);

} // namespace skylarkhill::logging

#endif // SKYLARKHILL_LOGGING_LOGGING_HPP
