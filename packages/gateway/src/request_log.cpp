#include "request_log.h"

#include "core/event.h"
#include "core/hash.h"
#include "core/run_logged.h"

namespace jackdawrack {
namespace {

constexpr unsigned kFirstFailureStatus = 400;

using FloatMs = std::chrono::duration<double, std::milli>;

double ToMs(Duration duration) {
  return FloatMs(duration).count();
}

std::string_view NameOf(AttemptState state) {
  switch (state) {
    case AttemptState::kRunning:
      return "running";
    case AttemptState::kAnswered:
      return "answered";
    case AttemptState::kRefused:
      return "refused";
    case AttemptState::kFailed:
      return "failed";
    case AttemptState::kNotSent:
      return "not_sent";
    case AttemptState::kAbandoned:
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

// Numbers of attempts of a request by reason.
struct AttemptCounts {
  std::uint32_t m_first = 0;
  std::uint32_t m_hedges = 0;
  std::uint32_t m_retries = 0;
};

AttemptCounts CountAttempts(const FinishedRequest& finished) {
  AttemptCounts counts;
  for (const auto& sub_request : finished.m_sub_requests) {
    for (const Attempt& attempt : sub_request->Attempts()) {
      counts.m_first += attempt.m_reason == AttemptReason::kFirst ? 1 : 0;
      counts.m_hedges += attempt.m_reason == AttemptReason::kHedge ? 1 : 0;
      counts.m_retries += attempt.m_reason == AttemptReason::kRetry ? 1 : 0;
    }
  }
  return counts;
}

void LogAttempts(const FinishedRequest& finished) {
  const RoutedRequest& request = finished.m_request;
  for (const auto& sub_request : finished.m_sub_requests) {
    for (const Attempt& attempt : sub_request->Attempts()) {
      const ReplicaRecord& replica = attempt.m_pool->Record();
      LogEvent(EventId::kRequestSent,
               "request={} service={} upstream={} birth={} reason={} "
               "after_ms={:.1f} end={} status={} took_ms={:.1f} "
               "connect_ms={:.1f}",
               request.m_request_id, replica.m_service.Text(),
               replica.m_id.Text(), replica.m_incarnation.m_started_ms,
               NameOf(attempt.m_reason),
               ToMs(attempt.m_sent_at - request.m_arrived_at),
               NameOf(attempt.m_state), attempt.m_status,
               ToMs(attempt.m_ended_at - attempt.m_sent_at),
               ToMs(attempt.m_connect_time));
    }
  }
}

FinishedTrace MakeTrace(const FinishedRequest& finished, Duration duration) {
  const RoutedRequest& request = finished.m_request;
  FinishedTrace trace;
  trace.m_request_id = request.m_request_id;
  trace.m_route = request.m_route->m_name;
  trace.m_config_version = request.m_route_table->Version();
  trace.m_status = finished.m_status;
  trace.m_duration = duration;
  trace.m_missing_shards = finished.m_missing_shards;
  for (const auto& sub_request : finished.m_sub_requests) {
    for (const Attempt& attempt : sub_request->Attempts()) {
      const ReplicaRecord& replica = attempt.m_pool->Record();
      trace.m_attempts.push_back(AttemptTrace{
          replica.m_id.Text(), replica.m_service.Text(),
          NameOf(attempt.m_reason), NameOf(attempt.m_state), attempt.m_status,
          attempt.m_sent_at - request.m_arrived_at,
          attempt.m_ended_at - attempt.m_sent_at});
    }
  }
  return trace;
}

void UpdateMetrics(const GatewayContext& context,
                   const FinishedRequest& finished,
                   const AttemptCounts& attempts,
                   Duration duration) {
  const std::string route = RouteLabel(finished.m_request.m_route->m_name);
  MetricsRegistry& metrics = context.m_metrics;
  metrics
      .CounterFor("jackdawrack_requests_total",
                  fmt::format("{},status=\"{}\"", route, finished.m_status))
      .Add();
  metrics.HistogramFor("jackdawrack_request_ms", route).Record(duration);
  metrics.CounterFor("jackdawrack_sends_total", "reason=\"first\"")
      .Add(attempts.m_first);
  metrics.CounterFor("jackdawrack_sends_total", "reason=\"hedge\"")
      .Add(attempts.m_hedges);
  metrics.CounterFor("jackdawrack_sends_total", "reason=\"retry\"")
      .Add(attempts.m_retries);
  metrics.CounterFor("jackdawrack_missing_parts_total", route)
      .Add(finished.m_missing_shards);
  const bool is_failure = finished.m_status >= kFirstFailureStatus;
  metrics.CounterFor("jackdawrack_failed_requests_total", route)
      .Add(is_failure ? 1 : 0);
  metrics.CounterFor("jackdawrack_partial_answers_total", route)
      .Add(!is_failure && finished.m_missing_shards > 0 ? 1 : 0);
}

void Record(const GatewayContext& context,
            const FinishedRequest& finished,
            TimePoint now) {
  const RoutedRequest& request = finished.m_request;
  const Duration duration = now - request.m_arrived_at;
  const AttemptCounts attempts = CountAttempts(finished);
  UpdateMetrics(context, finished, attempts, duration);

  // Complete successes are only logged if they are sampled
  const bool has_caller_disconnected = finished.m_status == 0;
  const bool is_failure = finished.m_status >= kFirstFailureStatus;
  const bool is_sampled =
      Hash64(request.m_request_id) % context.m_settings.m_log_sample == 0;
  if (!has_caller_disconnected && !is_failure &&
      finished.m_missing_shards == 0 && !is_sampled) {
    return;
  }
  EventId event = EventId::kRequestAnswered;
  if (has_caller_disconnected) {
    event = EventId::kCallerLeft;
  } else if (is_failure) {
    event = EventId::kRequestFailed;
  }
  LogEvent(event,
           "request={} route={} version={} status={} took_ms={:.1f} "
           "spent_before_ms={:.1f} parts={} missing={} hedges={} retries={}",
           request.m_request_id, request.m_route->m_name,
           request.m_route_table->Version(), finished.m_status, ToMs(duration),
           ToMs(request.m_spent_before), finished.m_sub_requests.size(),
           finished.m_missing_shards, attempts.m_hedges, attempts.m_retries);
  if (is_failure || is_sampled || finished.m_missing_shards > 0) {
    LogAttempts(finished);
  }
  context.m_recent_requests.Add(MakeTrace(finished, duration));
}

}  // namespace

std::string RouteLabel(const std::string& route) {
  return fmt::format("route=\"{}\"", route);
}

void RecordFinishedRequest(const GatewayContext& context,
                           const FinishedRequest& finished,
                           TimePoint now) {
  // The request is answered even if it cannot be recorded
  RunLogged("request log", [&] { Record(context, finished, now); });
}

}  // namespace jackdawrack
