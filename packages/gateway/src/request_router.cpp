#include "request_router.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>

#include "core/event.h"
#include "forwarded_request.h"
#include "request_log.h"
#include "routing/gather_progress.h"
#include "scatter_gather_request.h"

namespace jackdawrack {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;

/// Retry-After while no configuration is known; the first one arrives within
/// seconds.
constexpr Milliseconds kNoConfigRetryAfter{200};

/// Retry-After of a request that another instance can take at once.
constexpr Milliseconds kStoppingRetryAfter{0};

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

// Returns why a well-formed request cannot be forwarded, or nothing.
std::optional<std::string_view> FindRequestError(
    const CallerHttpRequest& request,
    const HeaderNames& headers) {
  if (request.count(http::field::host) != 1) {
    return "One Host field is needed.";
  }
  if (request.count(headers.m_request_id) != 1 ||
      request[headers.m_request_id].empty()) {
    return "One request id is needed.";
  }
  const auto coding = request[http::field::transfer_encoding];
  if (!coding.empty() && !boost::iequals(ToView(coding), "chunked")) {
    return "No transfer coding but chunked is known.";
  }
  return std::nullopt;
}

std::optional<Milliseconds> ParseMilliseconds(std::string_view text) {
  std::uint32_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return Milliseconds(value);
}

// When the response to a request is expected at the latest. One that may be
// executed only once is given all its time, as it cannot be repeated elsewhere
// if it is cut off.
TimePoint LatestExpectedResponse(const RoutedRequest& request) {
  if (!request.IsIdempotent()) {
    return request.m_deadline;
  }
  return std::min(request.m_deadline,
                  request.m_arrived_at + request.m_route->m_target_latency);
}

void LogStopping(const RoutedRequest& request, TimePoint responses_due_at) {
  LogEvent(EventId::kRequestRefusedStopping,
           "request={} route={} version={} left_ms={}", request.m_request_id,
           request.m_route->m_name, request.m_route_table->Version(),
           RemainingMs(BootClock().Now(), responses_due_at));
}

void LogBusy(const RoutedRequest& request, const BusyRefusal& refusal) {
  LogEvent(EventId::kRequestRefusedBusy,
           "request={} route={} version={} wait_ms={:.1f} latency_ms={:.1f} "
           "target_ms={} retry_after_ms={}",
           request.m_request_id, request.m_route->m_name,
           request.m_route_table->Version(),
           FloatMs(refusal.m_load.m_queueing_delay).count(),
           FloatMs(refusal.m_load.m_latency).count(),
           request.m_route->m_target_latency.count(),
           refusal.m_retry_after.count());
}

// Part of the caller's deadline reserved for network transit of the request and
// the response, so that a response sent at the last moment arrives in time.
Milliseconds TransitMargin(Milliseconds deadline) {
  constexpr Milliseconds kMaxMargin{16};
  constexpr int kShareDivisor = 10;
  return std::min(kMaxMargin, deadline / kShareDivisor);
}

}  // namespace

RequestRouter::RequestRouter(const GatewayContext& context,
                             const PublishedState& state)
    : m_context(context), m_state(state) {}

CallerLimits RequestRouter::Limits() const {
  return m_state.Table() == nullptr ? CallerLimits{}
                                    : m_state.Table()->Limits();
}

void RequestRouter::ForgetRoute(const std::string& name) {
  m_rotations.erase(name);
  m_spent_time.Forget(name);
}

std::shared_ptr<RoutedRequest> RequestRouter::MakeRoutedRequest(
    CallerHttpRequest& http_request,
    const Route& route,
    TimePoint arrived_at) {
  const HeaderNames& headers = m_context.m_settings.m_headers;
  auto request = std::make_shared<RoutedRequest>();
  request->m_request_id =
      std::string(ToView(http_request[headers.m_request_id]));
  request->m_method = std::string(ToView(http_request.method_string()));
  request->m_forwarded_head = MakeForwardedHead(http_request, headers);
  if (!http_request.body().empty()) {
    request->m_body =
        std::make_shared<const std::string>(std::move(http_request.body()));
  }
  request->m_route_table = m_state.Table();
  request->m_route = &route;
  request->m_arrived_at = arrived_at;
  request->m_deadline = arrived_at + route.m_timeout;
  const auto deadline =
      ParseMilliseconds(ToView(http_request[headers.m_deadline]));
  if (deadline) {
    request->m_deadline = std::min(
        request->m_deadline, arrived_at + *deadline - TransitMargin(*deadline));
    request->m_spent_before = m_spent_time.Estimate(route, *deadline);
  }
  return request;
}

std::optional<BusyRefusal> RequestRouter::CheckAdmission(
    const RoutedRequest& request) {
  const TimePoint now = BootClock().Now();
  const Route& route = *request.m_route;
  std::vector<ServiceLoad> loads;
  AdmissionRequest admission;
  admission.m_target_latency = route.m_target_latency;
  admission.m_remaining_time = request.m_deadline - now;
  admission.m_relative_priority =
      request.m_route_table->RelativePriority(route);
  if (route.IsScattered()) {
    const auto& shards = route.m_gather.m_shards;
    for (const ServiceName& shard : shards) {
      loads.push_back(m_context.m_replicas.Group(shard).CurrentLoad(now));
    }
    const auto shard_count = static_cast<std::uint32_t>(shards.size());
    admission.m_optional_services =
        shard_count - RequiredParts(shard_count, route.m_gather.m_min_coverage);
  } else {
    for (const WeightedService& target : route.m_services) {
      loads.push_back(
          m_context.m_replicas.Group(target.m_service).CurrentLoad(now));
    }
    admission.m_optional_services = loads.size() - 1;
  }
  return RefuseIfBusy(admission, std::move(loads));
}

void RequestRouter::Refuse(const RoutedRequest& request,
                           CallerResponse response,
                           const ActiveRequest::ResponseHandler& handler) {
  RecordFinishedRequest(m_context, {request, {}, response.m_status, 0},
                        BootClock().Now());
  handler(std::move(response));
}

std::shared_ptr<ActiveRequest> RequestRouter::Serve(
    CallerHttpRequest http_request,
    TimePoint arrived_at,
    ActiveRequest::ResponseHandler handler) {
  if (m_state.Table() == nullptr) {
    handler(MakeServiceUnavailableResponse(kNoConfigRetryAfter,
                                           "No configuration is known yet."));
    return nullptr;
  }
  if (const auto error =
          FindRequestError(http_request, m_context.m_settings.m_headers)) {
    LogEvent(EventId::kCallerInputRefused, "status={} reason=\"{}\"",
             kStatusBadRequest, *error);
    handler(MakeLocalResponse(kStatusBadRequest, *error).WithConnectionClose());
    return nullptr;
  }

  // Find the route
  const std::string_view host = ToView(http_request[http::field::host]);
  const std::string_view path = PathOf(ToView(http_request.target()));
  const Route* route = m_state.Table()->Find(host, path);
  if (route == nullptr) {
    route = m_state.Table()->Find(HostOf(host), path);
  }
  if (route == nullptr) {
    LogEvent(EventId::kRouteUnknown, "host={} path={} version={}", host, path,
             m_state.Table()->Version());
    handler(
        MakeLocalResponse(kStatusNotFound, "No route matches the request."));
    return nullptr;
  }

  // Admit the request unless it would only delay others
  auto request = MakeRoutedRequest(http_request, *route, arrived_at);
  if (LatestExpectedResponse(*request) > m_responses_due_at) {
    LogStopping(*request, m_responses_due_at);
    Refuse(*request,
           MakeServiceUnavailableResponse(kStoppingRetryAfter,
                                          "This instance is stopping."),
           handler);
    return nullptr;
  }
  if (const auto refusal = CheckAdmission(*request)) {
    LogBusy(*request, *refusal);
    Refuse(*request,
           MakeServiceUnavailableResponse(
               refusal->m_retry_after,
               "More requests wait than can be served in time."),
           handler);
    return nullptr;
  }
  if (route->IsScattered()) {
    return std::make_shared<ScatterGatherRequest>(m_context, std::move(request),
                                                  std::move(handler));
  }
  ServiceName service = m_rotations[route->m_name].Next(route->m_services);
  return std::make_shared<ForwardedRequest>(
      m_context, std::move(request), std::move(service), std::move(handler));
}

}  // namespace jackdawrack
