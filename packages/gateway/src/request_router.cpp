#include "request_router.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>

#include "core/event.h"
#include "forward_run.h"
#include "gather_run.h"
#include "request_log.h"
#include "routing/gather_progress.h"

namespace jackdawrack {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;

/// Pause asked for while no configuration is known; it comes within seconds.
constexpr Milliseconds kStartingRetryAfter{200};

using FloatMs = std::chrono::duration<double, std::milli>;

std::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view HostOf(std::string_view field) {
  return field.substr(0, field.rfind(':'));
}

// What keeps a well-formed message from being passed on, or nothing.
std::optional<std::string_view> FindFault(const CallerMessage& message,
                                          const HeaderNames& headers) {
  if (message.count(http::field::host) != 1) {
    return "One Host field is needed.";
  }
  if (message.count(headers.m_request_id) != 1 ||
      message[headers.m_request_id].empty()) {
    return "One request id is needed.";
  }
  const auto coding = message[http::field::transfer_encoding];
  if (!coding.empty() && !boost::iequals(ToView(coding), "chunked")) {
    return "No transfer coding but chunked is known.";
  }
  return std::nullopt;
}

std::optional<Milliseconds> ParseMs(std::string_view text) {
  std::uint32_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return Milliseconds(value);
}

// Kept from the caller's deadline, so that the last answer still reaches it:
// the request has come a way already, and the answer has one before it.
Milliseconds WayBack(Milliseconds deadline) {
  constexpr Milliseconds kLongest{16};
  constexpr int kShareDivisor = 10;
  return std::min(kLongest, deadline / kShareDivisor);
}

}  // namespace

RequestRouter::RequestRouter(const RunContext& context,
                             const PublishedState& state)
    : m_context(context), m_state(state) {}

CallerLimits RequestRouter::Limits() const {
  return m_state.Table() == nullptr ? CallerLimits{}
                                    : m_state.Table()->Limits();
}

std::shared_ptr<CallerCall> RequestRouter::MakeCall(CallerMessage& message,
                                                    const Route& route,
                                                    TimePoint arrived_at) {
  const HeaderNames& headers = m_context.m_settings.m_headers;
  auto call = std::make_shared<CallerCall>();
  call->m_request_id = std::string(ToView(message[headers.m_request_id]));
  call->m_method = std::string(ToView(message.method_string()));
  call->m_forwarded_head = MakeForwardedHead(message, headers);
  if (!message.body().empty()) {
    call->m_body =
        std::make_shared<const std::string>(std::move(message.body()));
  }
  call->m_table = m_state.Table();
  call->m_route = &route;
  call->m_arrived_at = arrived_at;
  call->m_final_at = arrived_at + route.m_timeout;
  const auto deadline = ParseMs(ToView(message[headers.m_deadline]));
  if (deadline) {
    call->m_final_at =
        std::min(call->m_final_at, arrived_at + *deadline - WayBack(*deadline));
    call->m_spent_before = m_spent_time.Note(route, *deadline);
  }
  return call;
}

std::optional<BusyRefusal> RequestRouter::FindBusyRefusal(
    const CallerCall& call) {
  const TimePoint now = BootClock().Now();
  const Route& route = *call.m_route;
  std::vector<ServiceLoad> loads;
  AdmissionRequest request;
  request.m_target_latency = route.m_target_latency;
  request.m_time_left = call.m_final_at - now;
  request.m_rank = call.m_table->RankOf(route);
  if (route.IsScattered()) {
    const auto& shards = route.m_gather.m_shards;
    for (const ServiceName& shard : shards) {
      loads.push_back(m_context.m_replicas.Group(shard).CurrentLoad(now));
    }
    const auto parts = static_cast<std::uint32_t>(shards.size());
    request.m_spare_services =
        parts - LeastParts(parts, route.m_gather.m_least_share);
  } else {
    for (const WeightedService& target : route.m_services) {
      loads.push_back(
          m_context.m_replicas.Group(target.m_service).CurrentLoad(now));
    }
    request.m_spare_services = loads.size() - 1;
  }
  return RefuseIfBusy(request, std::move(loads));
}

void RequestRouter::RefuseBusy(const CallerCall& call,
                               const BusyRefusal& refusal,
                               const RoutedRun::AnswerHandler& answer) {
  CallerAnswer told = MakeNotRunAnswer(
      refusal.m_pause, "More requests wait than can be served in time.");
  LogEvent(EventId::kRequestRefusedBusy,
           "request={} route={} version={} wait_ms={:.1f} latency_ms={:.1f} "
           "target_ms={} retry_after_ms={}",
           call.m_request_id, call.m_route->m_name, call.m_table->Version(),
           FloatMs(refusal.m_load.m_wait).count(),
           FloatMs(refusal.m_load.m_latency).count(),
           call.m_route->m_target_latency.count(), refusal.m_pause.count());
  RecordFinished(m_context, {call, {}, told.m_status, 0}, BootClock().Now());
  answer(std::move(told));
}

std::shared_ptr<RoutedRun> RequestRouter::Serve(
    CallerMessage message,
    TimePoint arrived_at,
    RoutedRun::AnswerHandler answer) {
  if (m_state.Table() == nullptr) {
    answer(MakeNotRunAnswer(kStartingRetryAfter,
                            "No configuration is known yet."));
    return nullptr;
  }
  if (const auto fault = FindFault(message, m_context.m_settings.m_headers)) {
    LogEvent(EventId::kCallerInputRefused, "status={} reason=\"{}\"",
             kStatusBadRequest, *fault);
    answer(MakeOwnAnswer(kStatusBadRequest, *fault).Closing());
    return nullptr;
  }

  // Find the route
  const std::string_view host = ToView(message[http::field::host]);
  const std::string_view path = PathOf(ToView(message.target()));
  const Route* route = m_state.Table()->Find(host, path);
  if (route == nullptr) {
    route = m_state.Table()->Find(HostOf(host), path);
  }
  if (route == nullptr) {
    LogEvent(EventId::kRouteUnknown, "host={} path={} version={}", host, path,
             m_state.Table()->Version());
    answer(MakeOwnAnswer(kStatusNotFound, "No route matches the request."));
    return nullptr;
  }

  // Begin its run, unless it would only make others late
  auto call = MakeCall(message, *route, arrived_at);
  if (const auto refusal = FindBusyRefusal(*call)) {
    RefuseBusy(*call, *refusal, answer);
    return nullptr;
  }
  if (route->IsScattered()) {
    return std::make_shared<GatherRun>(m_context, std::move(call),
                                       std::move(answer));
  }
  ServiceName service = m_rotations[route->m_name].Next(route->m_services);
  return std::make_shared<ForwardRun>(m_context, std::move(call),
                                      std::move(service), std::move(answer));
}

}  // namespace jackdawrack
