#include "forwarded_request.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

#include "core/check.h"
#include "request_log.h"

namespace jackdawrack {
namespace {

// Converts the upstream's response for the caller, without hop-by-hop fields
// and the notice to this instance that the upstream leaves.
CallerResponse MakeRelayedResponse(UpstreamResponse upstream_response,
                                   const std::string& leaving_header) {
  CallerResponse response;
  response.m_status = upstream_response.result_int();
  const auto connection_field =
      upstream_response[boost::beast::http::field::connection];
  for (const auto& field : upstream_response) {
    const std::string_view name(field.name_string().data(),
                                field.name_string().size());
    if (!boost::iequals(name, leaving_header) &&
        !IsHopByHopField(name,
                         {connection_field.data(), connection_field.size()})) {
      response.AddField(name, {field.value().data(), field.value().size()});
    }
  }
  response.m_body = std::move(upstream_response.body());
  return response;
}

}  // namespace

ForwardedRequest::ForwardedRequest(const GatewayContext& context,
                                   std::shared_ptr<const RoutedRequest> request,
                                   ServiceName service,
                                   ResponseHandler handler)
    : m_context(context),
      m_request(std::move(request)),
      m_service(std::move(service)),
      m_handler(std::move(handler)),
      m_timer(context.m_io_context) {}

void ForwardedRequest::Start() {
  m_sub_request = std::make_shared<SubRequest>(
      m_context, m_request, m_service,
      [weak = weak_from_this()](SubRequestResult result) {
        if (const auto self = weak.lock()) {
          RunStep(*self,
                  [&] { self->OnSubRequestFinished(std::move(result)); });
        }
      },
      [weak = weak_from_this()](TimePoint) {
        const auto self = weak.lock();
        if (self != nullptr && self->m_is_started) {
          RunStep(*self, [&self] { self->ScheduleTimer(); });
        }
      });
  m_sub_request->Start();
  m_is_started = true;
  ScheduleTimer();
}

void ForwardedRequest::ScheduleTimer() {
  if (m_is_finished) {
    return;
  }
  const TimePoint now = BootClock().Now();
  const TimePoint next =
      std::min(m_request->m_deadline, m_sub_request->NextWakeAt());
  m_timer.expires_after(std::max(next - now, Duration::zero()));
  m_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
          RunStep(*self, [&self] { self->OnTimer(); });
        }
      });
}

void ForwardedRequest::OnTimer() {
  const TimePoint now = BootClock().Now();
  if (m_is_finished) {
    return;
  }
  if (now < m_request->m_deadline) {
    m_sub_request->Wake(now);
    ScheduleTimer();
    return;
  }
  FinishNow();
}

void ForwardedRequest::FinishNow() {
  if (m_is_finished) {
    return;
  }
  const TimePoint now = BootClock().Now();
  m_sub_request->Stop(now);
  Respond(
      m_sub_request->MayHaveExecuted()
          ? MakeOutcomeUnknownResponse(*m_request, now)
          : MakeNoUpstreamResponse(*m_request, m_sub_request->RetryAt(), now));
}

void ForwardedRequest::OnSubRequestFinished(SubRequestResult result) {
  const TimePoint now = BootClock().Now();
  if (result.m_response) {
    Respond(MakeRelayedResponse(std::move(*result.m_response),
                                m_context.m_settings.m_headers.m_leaving));
  } else if (result.m_outcome == SubRequestOutcome::kNotExecuted) {
    Respond(MakeNoUpstreamResponse(*m_request, m_sub_request->RetryAt(), now));
  } else {
    Respond(MakeOutcomeUnknownResponse(*m_request, now));
  }
}

void ForwardedRequest::OnCallerDisconnected() {
  const TimePoint now = BootClock().Now();
  m_is_finished = true;
  m_timer.cancel();
  if (m_sub_request == nullptr) {
    return;
  }
  m_sub_request->Stop(now);
  RecordFinishedRequest(m_context, {*m_request, {&m_sub_request, 1}, 0, 0},
                        now);
}

void ForwardedRequest::Respond(CallerResponse response) {
  JR_CHECK(!m_is_finished);
  m_is_finished = true;
  m_timer.cancel();
  RecordFinishedRequest(m_context,
                        {*m_request, {&m_sub_request, 1}, response.m_status, 0},
                        BootClock().Now());
  const ResponseHandler handler = std::move(m_handler);
  handler(std::move(response));
}

}  // namespace jackdawrack
