#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <vector>

namespace jackdawrack {

/// Numbers of the logged events; docs/EVENTS.md explains each.
enum class EventId : int {
#define JR_EVENT(number, name, level, summary) name = number,
#include "core/events.inc"
#undef JR_EVENT
};

/// How urgent an event is.
enum class EventLevel { kDebug, kInfo, kWarning, kError };

/// One catalogued event, as docs/EVENTS.md has to list it.
struct EventDescription {
  EventId m_id;
  std::string_view m_name;
  EventLevel m_level;
  std::string_view m_summary;
};

/// Every event that this build can log, in order of number.
[[nodiscard]] const std::vector<EventDescription>& AllEvents();

/// Sets the process name and the least urgent level written to standard error.
void ConfigureEvents(std::string_view process, EventLevel least);

/// Writes one line to standard error: time, process, level, number, name, text.
void WriteEvent(EventId id, std::string_view text);

/// True when an event of this number would be written.
[[nodiscard]] bool IsEventEnabled(EventId id);

/// Formats and writes one event.
template <typename... Args>
void LogEvent(EventId id, fmt::format_string<Args...> format, Args&&... args) {
  if (!IsEventEnabled(id)) {
    return;
  }
  WriteEvent(id, fmt::format(format, std::forward<Args>(args)...));
}

}  // namespace jackdawrack
