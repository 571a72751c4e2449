#pragma once

#include <fmt/format.h>

#include <cstdint>
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

/// Sets the process name and the least urgent level written.
void ConfigureEvents(std::string_view process, EventLevel least);

/// How lines leave a process that must never wait for its reader.
struct EventOutputSettings {
  /// Lines wait in memory until `FlushEvents` or an event of level error;
  /// otherwise each is written as it comes.
  bool m_is_buffered = false;
  /// Bytes that may wait; lines beyond are dropped and counted.
  std::size_t m_max_waiting_bytes = 256 << 10;
  /// Lines a second of one number; those beyond are dropped and counted.
  std::uint32_t m_max_lines_per_second = 100;
};

/// Sets how lines leave the process; called before the first event.
void ConfigureEventOutput(EventOutputSettings settings);

/// Writes one line to standard output: time, process, level, number, name and
/// the text, which holds key=value pairs.
void WriteEvent(EventId id, std::string_view text);

/// Writes what waits, as far as the reader takes it without blocking.
void FlushEvents();

/// Writes what waits and one more line, as far as the reader takes them without
/// blocking. For a process that is about to end: takes no lock and may be
/// called in a signal handler.
void WriteLastEvent(EventId id, std::string_view text);

/// Lines dropped so far, for the rate, the memory or a reader that hangs.
[[nodiscard]] std::uint64_t DroppedEvents();

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
