#include "scatter_gather_request.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/check.h"
#include "request_log.h"
#include "routing/record_merge.h"

namespace jackdawrack {
namespace {

/// Part of the target latency reserved for network transit between the caller
/// and the gateway: connection set-up, request and response, including the
/// jitter that a lost packet causes.
constexpr Milliseconds kMinTransitMargin{16};

/// Share of the target latency reserved for network transit where it is more
/// than `kMinTransitMargin`.
constexpr double kTransitMarginShare = 0.08;

GatherDeadlines MakeTiming(const RoutedRequest& request) {
  const Milliseconds target = request.m_route->m_target_latency;
  const Milliseconds margin =
      std::max(kMinTransitMargin,
               Milliseconds(static_cast<Milliseconds::rep>(
                   static_cast<double>(target.count()) * kTransitMarginShare)));
  return GatherDeadlines{
      request.m_arrived_at + target - request.m_spent_before - margin,
      request.m_deadline};
}

std::string_view FieldValue(const UpstreamResponse& response,
                            const std::string& name) {
  const auto value = response[name];
  return {value.data(), value.size()};
}

}  // namespace

ScatterGatherRequest::ScatterGatherRequest(
    const GatewayContext& context,
    std::shared_ptr<const RoutedRequest> request,
    ResponseHandler handler)
    : m_context(context),
      m_request(std::move(request)),
      m_handler(std::move(handler)),
      m_timer(context.m_io_context),
      m_progress(static_cast<std::uint32_t>(
                     m_request->m_route->m_gather.m_shards.size()),
                 m_request->m_route->m_gather.m_min_coverage,
                 MakeTiming(*m_request)) {}

void ScatterGatherRequest::Start() {
  const auto& shards = m_request->m_route->m_gather.m_shards;
  m_responses.resize(shards.size());
  m_sub_requests.reserve(shards.size());
  for (std::size_t index = 0; index < shards.size(); ++index) {
    m_sub_requests.push_back(std::make_shared<SubRequest>(
        m_context, m_request, shards[index],
        [weak = weak_from_this(), index](SubRequestResult result) {
          if (const auto self = weak.lock()) {
            RunStep(*self, [&] {
              self->OnSubRequestFinished(index, std::move(result));
            });
          }
        },
        [weak = weak_from_this()](TimePoint wake_at) {
          const auto self = weak.lock();
          if (self != nullptr && self->m_is_started) {
            RunStep(*self, [&] { self->ScheduleNotAfter(wake_at); });
          }
        }));
    m_sub_requests.back()->Start();
  }
  m_is_started = true;
  FinishIfDecided();
  ScheduleTimer();
}

void ScatterGatherRequest::OnSubRequestFinished(std::size_t index,
                                                SubRequestResult result) {
  if (m_is_finished) {
    return;
  }
  if (result.IsSuccess()) {
    m_responses[index] = std::move(result.m_response);
    m_progress.RecordAnswered();
  } else {
    m_progress.RecordFailed();
  }
  if (m_is_started) {
    FinishIfDecided();
  }
}

void ScatterGatherRequest::FinishIfDecided() {
  const GatherDecision decision = m_progress.Decide(BootClock().Now());
  if (!m_is_finished && decision != GatherDecision::kWait) {
    Finish(decision);
  }
}

void ScatterGatherRequest::FinishNow() {
  if (m_is_finished) {
    return;
  }
  // No more parts will arrive, as at the deadline
  Finish(m_progress.Decide(m_request->m_deadline));
}

void ScatterGatherRequest::Finish(GatherDecision decision) {
  const TimePoint now = BootClock().Now();
  StopSubRequests(now);
  Respond(decision == GatherDecision::kAnswer ? MakeMergedResponse()
                                              : MakeFailureResponse(now));
}

void ScatterGatherRequest::ScheduleTimer() {
  TimePoint next = m_progress.NextDecisionAt(BootClock().Now());
  for (const auto& sub_request : m_sub_requests) {
    next = std::min(next, sub_request->NextWakeAt());
  }
  m_timer_at = TimePoint::max();
  ScheduleNotAfter(next);
}

void ScatterGatherRequest::ScheduleNotAfter(TimePoint time) {
  if (m_is_finished || time >= m_timer_at) {
    return;
  }
  m_timer_at = time;
  m_timer.expires_after(std::max(time - BootClock().Now(), Duration::zero()));
  m_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
          RunStep(*self, [&self] { self->OnTimer(); });
        }
      });
}

void ScatterGatherRequest::OnTimer() {
  if (m_is_finished) {
    return;
  }
  const TimePoint now = BootClock().Now();
  for (const auto& sub_request : m_sub_requests) {
    sub_request->Wake(now);
  }
  FinishIfDecided();
  ScheduleTimer();
}

CallerResponse ScatterGatherRequest::MakeMergedResponse() const {
  const HeaderNames& headers = m_context.m_settings.m_headers;
  RecordMerge merge;
  std::string signatures;
  for (const auto& shard_response : m_responses) {
    if (!shard_response) {
      continue;
    }
    merge.Add(shard_response->body());
    signatures.append(signatures.empty() ? "" : ", ")
        .append(FieldValue(*shard_response, headers.m_signature));
  }
  CallerResponse response;
  response.m_status = 200;
  response.AddField(headers.m_request_id, m_request->m_request_id);
  response.AddField(headers.m_part_signatures, signatures);
  response.AddField(headers.m_missing_parts,
                    fmt::to_string(m_progress.MissingParts()));
  response.m_body = merge.Greatest(m_request->m_route->m_gather.m_max_records);
  return response;
}

CallerResponse ScatterGatherRequest::MakeFailureResponse(TimePoint now) const {
  const bool may_have_executed =
      m_progress.AnsweredParts() > 0 ||
      std::any_of(m_sub_requests.begin(), m_sub_requests.end(),
                  [](const auto& sub_request) {
                    return sub_request->MayHaveExecuted();
                  });
  if (may_have_executed) {
    return MakeOutcomeUnknownResponse(*m_request, now);
  }
  std::optional<TimePoint> retry_at;
  for (const auto& sub_request : m_sub_requests) {
    retry_at = std::max(retry_at, sub_request->RetryAt());
  }
  return MakeNoUpstreamResponse(*m_request, retry_at, now);
}

void ScatterGatherRequest::StopSubRequests(TimePoint now) {
  for (const auto& sub_request : m_sub_requests) {
    if (!sub_request->IsFinished()) {
      sub_request->Stop(now);
    }
  }
}

void ScatterGatherRequest::OnCallerDisconnected() {
  const TimePoint now = BootClock().Now();
  m_is_finished = true;
  m_timer.cancel();
  StopSubRequests(now);
  RecordFinishedRequest(
      m_context, {*m_request, m_sub_requests, 0, m_progress.MissingParts()},
      now);
}

void ScatterGatherRequest::Respond(CallerResponse response) {
  JR_CHECK(!m_is_finished);
  m_is_finished = true;
  m_timer.cancel();
  RecordFinishedRequest(m_context,
                        {*m_request, m_sub_requests, response.m_status,
                         m_progress.MissingParts()},
                        BootClock().Now());
  const ResponseHandler handler = std::move(m_handler);
  handler(std::move(response));
}

}  // namespace jackdawrack
