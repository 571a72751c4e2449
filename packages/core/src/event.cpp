#include "core/event.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <climits>
#include <mutex>
#include <unordered_map>

#include "core/clock.h"

namespace jackdawrack {
namespace {

/// Space for the line of a crash, so that none is allocated then.
constexpr std::size_t kMaxLastLineBytes = 2'048;

// Lines of one number in the current second.
struct LineCount {
  std::int64_t m_second = 0;
  std::uint32_t m_lines = 0;
};

struct EventSink {
  std::mutex m_mutex;
  /// True while a thread changes the sink.
  std::atomic<bool> m_is_changing{false};
  std::string m_process = "jackdawrack";
  std::atomic<EventLevel> m_least{EventLevel::kInfo};
  EventOutputSettings m_output;
  std::string m_waiting;
  std::unordered_map<int, LineCount> m_counts;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_reported_drops = 0;
};

EventSink& Sink() {
  static EventSink sink;
  return sink;
}

// Locks the sink for a change.
class SinkLock final {
 public:
  explicit SinkLock(EventSink& sink) : m_sink(sink), m_lock(sink.m_mutex) {
    m_sink.m_is_changing = true;
  }
  ~SinkLock() { m_sink.m_is_changing = false; }

  SinkLock(const SinkLock&) = delete;
  SinkLock& operator=(const SinkLock&) = delete;

 private:
  EventSink& m_sink;
  const std::lock_guard<std::mutex> m_lock;
};

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

// True if the reader takes a write of `PIPE_BUF` bytes without blocking.
bool IsWritable() {
  pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
  return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

// Writes what waits in pieces that a writable pipe takes whole.
void WriteWaiting(EventSink& sink) {
  std::size_t written = 0;
  while (written < sink.m_waiting.size() &&
         (!sink.m_output.m_is_buffered || IsWritable())) {
    const std::size_t piece =
        std::min<std::size_t>(sink.m_waiting.size() - written, PIPE_BUF);
    const auto size =
        write(STDOUT_FILENO, sink.m_waiting.data() + written, piece);
    if (size <= 0) {
      break;
    }
    written += static_cast<std::size_t>(size);
  }
  sink.m_waiting.erase(0, written);
}

// Counts the line; false if its number has had its lines of this second.
bool TakeLine(EventSink& sink, EventId id) {
  const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(
                                  SteadyClock().Now().time_since_epoch())
                                  .count();
  LineCount& count = sink.m_counts[static_cast<int>(id)];
  if (count.m_second != second) {
    count = LineCount{second, 0};
  }
  return ++count.m_lines <= sink.m_output.m_max_lines_per_second;
}

// Formats one line without locks or allocations of its own, since the process
// may be about to crash.
template <typename Output>
Output FormatLine(Output output,
                  const std::string& process,
                  const EventDescription& event,
                  std::string_view text) {
  const auto now = std::chrono::time_point_cast<Milliseconds>(
      std::chrono::system_clock::now());
  const auto day = std::chrono::floor<std::chrono::days>(now);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss time(now - day);
  return fmt::format_to(
      output, "{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z {} {} {} {} {}\n",
      static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
      static_cast<unsigned>(date.day()), time.hours().count(),
      time.minutes().count(), time.seconds().count(), time.subseconds().count(),
      process, LevelName(event.m_level), static_cast<int>(event.m_id),
      event.m_name.substr(1), text);
}

void AppendLine(EventSink& sink,
                const EventDescription& event,
                std::string_view text) {
  FormatLine(std::back_inserter(sink.m_waiting), sink.m_process, event, text);
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
  const SinkLock lock(sink);
  sink.m_process = process;
  sink.m_least = least;
}

bool IsEventEnabled(EventId id) {
  return Describe(id).m_level >= Sink().m_least.load(std::memory_order_relaxed);
}

void ConfigureEventOutput(EventOutputSettings settings) {
  EventSink& sink = Sink();
  const SinkLock lock(sink);
  sink.m_output = settings;
}

void WriteEvent(EventId id, std::string_view text) {
  const EventDescription& event = Describe(id);
  EventSink& sink = Sink();
  const SinkLock lock(sink);
  const bool is_written_now =
      !sink.m_output.m_is_buffered || event.m_level == EventLevel::kError;
  if (is_written_now) {
    WriteWaiting(sink);
  }
  if (sink.m_waiting.size() >= sink.m_output.m_max_waiting_bytes ||
      (sink.m_output.m_is_buffered && !TakeLine(sink, id))) {
    ++sink.m_dropped;
    return;
  }
  AppendLine(sink, event, text);
  if (is_written_now) {
    WriteWaiting(sink);
  }
}

void WriteLastEvent(EventId id, std::string_view text) {
  EventSink& sink = Sink();
  if (!sink.m_is_changing) {
    WriteWaiting(sink);
  }
  fmt::basic_memory_buffer<char, kMaxLastLineBytes> line;
  FormatLine(fmt::appender(line), sink.m_process, Describe(id), text);
  if (IsWritable()) {
    (void)!write(STDOUT_FILENO, line.data(), line.size());
  }
}

void FlushEvents() {
  EventSink& sink = Sink();
  const SinkLock lock(sink);
  if (sink.m_dropped != sink.m_reported_drops &&
      sink.m_waiting.size() < sink.m_output.m_max_waiting_bytes) {
    AppendLine(sink, Describe(EventId::kEventsDropped),
               fmt::format("lines={}", sink.m_dropped - sink.m_reported_drops));
    sink.m_reported_drops = sink.m_dropped;
  }
  WriteWaiting(sink);
}

std::uint64_t DroppedEvents() {
  EventSink& sink = Sink();
  const SinkLock lock(sink);
  return sink.m_dropped;
}

}  // namespace jackdawrack
