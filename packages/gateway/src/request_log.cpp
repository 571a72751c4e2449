#include "request_log.h"

#include "core/event.h"
#include "core/hash.h"

namespace jackdawrack {
namespace {

constexpr unsigned kFirstFailureStatus = 400;

using FloatMs = std::chrono::duration<double, std::milli>;

double InMs(Duration duration) {
  return FloatMs(duration).count();
}

std::string_view NameOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kRunning:
      return "running";
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kRefused:
      return "refused";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kAbandoned:
      return "abandoned";
  }
  return "running";
}

std::string_view NameOf(AttemptReason reason) {
  switch (reason) {
    case AttemptReason::kFirst:
      return "first";
    case AttemptReason::kHedge:
      return "hedge";
    case AttemptReason::kRetry:
      return "retry";
  }
  return "first";
}

// Sends of a request by the reason for which they were made.
struct SendCounts {
  std::uint32_t m_first = 0;
  std::uint32_t m_hedges = 0;
  std::uint32_t m_retries = 0;
};

SendCounts CountSends(const FinishedRequest& finished) {
  SendCounts counts;
  for (const auto& part : finished.m_parts) {
    for (const Attempt& attempt : part->Attempts()) {
      counts.m_first += attempt.m_reason == AttemptReason::kFirst ? 1 : 0;
      counts.m_hedges += attempt.m_reason == AttemptReason::kHedge ? 1 : 0;
      counts.m_retries += attempt.m_reason == AttemptReason::kRetry ? 1 : 0;
    }
  }
  return counts;
}

void WriteSends(const FinishedRequest& finished) {
  const CallerCall& call = finished.m_call;
  for (const auto& part : finished.m_parts) {
    for (const Attempt& attempt : part->Attempts()) {
      const ReplicaRecord& replica = attempt.m_pool->Record();
      LogEvent(EventId::kRequestSent,
               "request={} service={} upstream={} birth={} reason={} "
               "after_ms={:.1f} end={} status={} took_ms={:.1f}",
               call.m_request_id, replica.m_service.Text(), replica.m_id.Text(),
               replica.m_incarnation.m_started_ms, NameOf(attempt.m_reason),
               InMs(attempt.m_sent_at - call.m_arrived_at),
               NameOf(attempt.m_end), attempt.m_status,
               InMs(attempt.m_ended_at - attempt.m_sent_at));
    }
  }
}

FinishedTrace MakeTrace(const FinishedRequest& finished, Duration took) {
  const CallerCall& call = finished.m_call;
  FinishedTrace trace;
  trace.m_request = call.m_request_id;
  trace.m_route = call.m_route->m_name;
  trace.m_version = call.m_table->Version();
  trace.m_status = finished.m_status;
  trace.m_took = took;
  trace.m_missing = finished.m_missing;
  for (const auto& part : finished.m_parts) {
    for (const Attempt& attempt : part->Attempts()) {
      const ReplicaRecord& replica = attempt.m_pool->Record();
      trace.m_sends.push_back(
          SendTrace{replica.m_id.Text(), replica.m_service.Text(),
                    NameOf(attempt.m_reason), NameOf(attempt.m_end),
                    attempt.m_status, attempt.m_sent_at - call.m_arrived_at,
                    attempt.m_ended_at - attempt.m_sent_at});
    }
  }
  return trace;
}

void Count(const RunContext& context,
           const FinishedRequest& finished,
           const SendCounts& sends,
           Duration took) {
  const std::string route =
      fmt::format("route=\"{}\"", finished.m_call.m_route->m_name);
  MetricsRegistry& metrics = context.m_metrics;
  metrics
      .CounterFor("jackdawrack_requests_total",
                  fmt::format("{},status=\"{}\"", route, finished.m_status))
      .Add();
  metrics.HistogramFor("jackdawrack_request_ms", route).Record(took);
  metrics.CounterFor("jackdawrack_sends_total", "reason=\"first\"")
      .Add(sends.m_first);
  metrics.CounterFor("jackdawrack_sends_total", "reason=\"hedge\"")
      .Add(sends.m_hedges);
  metrics.CounterFor("jackdawrack_sends_total", "reason=\"retry\"")
      .Add(sends.m_retries);
  metrics.CounterFor("jackdawrack_missing_parts_total", route)
      .Add(finished.m_missing);
  const bool is_failure = finished.m_status >= kFirstFailureStatus;
  metrics.CounterFor("jackdawrack_failed_requests_total", route)
      .Add(is_failure ? 1 : 0);
  metrics.CounterFor("jackdawrack_partial_answers_total", route)
      .Add(!is_failure && finished.m_missing > 0 ? 1 : 0);
}

}  // namespace

void RecordFinished(const RunContext& context,
                    const FinishedRequest& finished,
                    TimePoint now) {
  const CallerCall& call = finished.m_call;
  const Duration took = now - call.m_arrived_at;
  const SendCounts sends = CountSends(finished);
  Count(context, finished, sends, took);

  // Choose whether to write
  const bool has_left = finished.m_status == 0;
  const bool is_failure = finished.m_status >= kFirstFailureStatus;
  const bool is_sampled =
      Hash64(call.m_request_id) % context.m_settings.m_log_sample == 0;
  if (!has_left && !is_failure && finished.m_missing == 0 && !is_sampled) {
    return;
  }
  EventId event = EventId::kRequestAnswered;
  if (has_left) {
    event = EventId::kCallerLeft;
  } else if (is_failure) {
    event = EventId::kRequestFailed;
  }
  LogEvent(event,
           "request={} route={} version={} status={} took_ms={:.1f} "
           "spent_before_ms={:.1f} parts={} missing={} hedges={} retries={}",
           call.m_request_id, call.m_route->m_name, call.m_table->Version(),
           finished.m_status, InMs(took), InMs(call.m_spent_before),
           finished.m_parts.size(), finished.m_missing, sends.m_hedges,
           sends.m_retries);
  if (is_failure || is_sampled || finished.m_missing > 0) {
    WriteSends(finished);
  }
  context.m_recent.Add(MakeTrace(finished, took));
}

}  // namespace jackdawrack
