#include "skylarkhill/logging/logging.hpp"

#include "skylarkhill/base/name_table.hpp"

#include <easylogging++.h>

#include <vector>

namespace skylarkhill::logging {

namespace {

constexpr base::NameTable<Level, 4> kLevelNames{ {
  { Level::Debug, "debug" },
  { Level::Info, "info" },
  { Level::Warning, "warning" },
  { Level::Error, "error" },
} };

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

void
AppendQuoted(std::string& aLine, std::string_view aValue)
{
  aLine.push_back('"');
  for (const char c : aValue) {
    if (c == '\n') {
      aLine.append("\\n");
      continue;
    }
    if (c == '"' || c == '\\') {
      aLine.push_back('\\');
    }
    aLine.push_back(static_cast<unsigned char>(c) < 0x20 ? ' ' : c);
  }
  aLine.push_back('"');
}

void
AppendField(std::string& aLine, const Field& aField)
{
  aLine.append(" ").append(aField.mKey).append("=");
  if (NeedsQuotes(aField.mValue)) {
    AppendQuoted(aLine, aField.mValue);
  } else {
    aLine.append(aField.mValue);
  }
}

/// Fields of the ContextField objects of this thread.
thread_local std::vector<Field> gContext;

} // namespace

std::string_view
NameOf(Level aLevel)
{
  return base::FindName(kLevelNames, aLevel);
}

std::optional<Level>
ParseLevel(std::string_view aName)
{
  return base::FindValue(kLevelNames, aName);
}

ContextField::ContextField(std::string_view aKey, std::int64_t aValue)
{
  gContext.emplace_back(aKey, aValue);
}

ContextField::~ContextField()
{
  gContext.pop_back();
}

Field::Field(std::string_view aKey, std::string_view aValue)
  : mKey(aKey)
  , mValue(aValue)
{
}

Field::Field(std::string_view aKey, std::int64_t aValue)
  : mKey(aKey)
  , mValue(std::to_string(aValue))
{
}

void
ConfigureLogging(Level aLevel)
{
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} "
                            "level=%levshort %msg");
  configuration.set(el::Level::Debug,
                    el::ConfigurationType::Enabled,
                    aLevel == Level::Debug ? "true" : "false");
  configuration.set(el::Level::Info,
                    el::ConfigurationType::Enabled,
                    aLevel <= Level::Info ? "true" : "false");
  configuration.set(el::Level::Warning,
                    el::ConfigurationType::Enabled,
                    aLevel <= Level::Warning ? "true" : "false");
  el::Loggers::reconfigureAllLoggers(configuration);
}

std::string
FormatLine(std::string_view aEvent, std::initializer_list<Field> aFields)
{
  std::string line = "event=";
  line.append(aEvent);
  for (const auto& it : aFields) {
    AppendField(line, it);
  }
  for (const auto& it : gContext) {
    AppendField(line, it);
  }
  return line;
}

void
Write(Level aLevel,
      std::string_view aEvent,
      std::initializer_list<Field> aFields)
{
  const std::string line = FormatLine(aEvent, aFields);
  switch (aLevel) {
    case Level::Debug:
      LOG(DEBUG) << line;
      break;
    case Level::Info:
      LOG(INFO) << line;
      break;
    case Level::Warning:
      LOG(WARNING) << line;
      break;
    case Level::Error:
      LOG(ERROR) << line;
      break;
  }
}

} // namespace skylarkhill::logging
