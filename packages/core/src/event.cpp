#include "core/event.h"

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>

namespace jackdawrack {
namespace {

struct EventSink {
  std::mutex m_mutex;
  std::string m_process = "jackdawrack";
  std::atomic<EventLevel> m_least{EventLevel::kInfo};
};

EventSink& Sink() {
  static EventSink sink;
  return sink;
}

std::string_view LevelName(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return "debug";
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarning:
      return "warning";
    case EventLevel::kError:
      return "error";
  }
  return "error";
}

const EventDescription& Describe(EventId id) {
  for (const EventDescription& event : AllEvents()) {
    if (event.m_id == id) {
      return event;
    }
  }
  return AllEvents().back();
}

}  // namespace

const std::vector<EventDescription>& AllEvents() {
  static const std::vector<EventDescription> kEvents = {
#define JR_EVENT(number, name, level, summary) \
  {EventId::name, #name, EventLevel::level, summary},
#include "core/events.inc"
#undef JR_EVENT
  };
  return kEvents;
}

void ConfigureEvents(std::string_view process, EventLevel least) {
  EventSink& sink = Sink();
  const std::lock_guard lock(sink.m_mutex);
  sink.m_process = process;
  sink.m_least = least;
}

bool IsEventEnabled(EventId id) {
  return Describe(id).m_level >= Sink().m_least.load(std::memory_order_relaxed);
}

void WriteEvent(EventId id, std::string_view text) {
  const EventDescription& event = Describe(id);
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  EventSink& sink = Sink();
  const std::lock_guard lock(sink.m_mutex);
  fmt::print(stderr, "{:%FT%TZ} {} {} {} {} {}\n", now, sink.m_process,
             LevelName(event.m_level), static_cast<int>(id),
             event.m_name.substr(1), text);
}

}  // namespace jackdawrack
