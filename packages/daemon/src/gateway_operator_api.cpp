#include "gateway_operator_api.h"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace jackdawrack {
namespace {

namespace json = boost::json;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusUnavailable = 503;
constexpr std::string_view kExplainPrefix = "/v1/explain/";

HttpReply TextReply(unsigned status, std::string text) {
  HttpReply reply;
  reply.m_status = status;
  reply.m_content_type = "text/plain; version=0.0.4";
  reply.m_body = std::move(text);
  return reply;
}

}  // namespace

HttpReply GatewayOperatorApi::Handle(const HttpRequest& request) const {
  if (request.m_target == "/metrics") {
    return TextReply(kStatusOk, m_sources.m_metrics());
  }
  if (request.m_target == "/healthz") {
    return TextReply(kStatusOk, "ok\n");
  }
  if (request.m_target == "/readyz") {
    return m_sources.m_status().m_is_ready
               ? TextReply(kStatusOk, "ready\n")
               : TextReply(kStatusUnavailable, "not ready\n");
  }
  if (request.m_target == "/v1/status") {
    return Status();
  }
  if (request.m_target.starts_with(kExplainPrefix)) {
    return Explain(request.m_target.substr(kExplainPrefix.size()));
  }
  return TextReply(kStatusNotFound,
                   "accepted are /healthz, /readyz, /metrics, /v1/status and "
                   "/v1/explain/REQUEST-ID\n");
}

HttpReply GatewayOperatorApi::Status() const {
  const GatewayStatus status = m_sources.m_status();
  HttpReply reply;
  reply.m_body = json::serialize(json::object{
      {"instance", status.m_instance},
      {"failure_domain", status.m_failure_domain},
      {"version", JACKDAWRACK_VERSION},
      {"ready", status.m_is_ready},
      {"stopping", status.m_is_stopping},
      {"config_age_ms", status.m_store_age.count()},
      {"store_lost", status.m_is_store_lost},
      {"known_instances", status.m_known_instances},
      {"collections",
       json::array{json::object{{"name", "routes"},
                                {"revision", status.m_config_version},
                                {"upstreams", status.m_replicas}}}},
  });
  return reply;
}

HttpReply GatewayOperatorApi::Explain(const std::string& request) const {
  auto trace = m_sources.m_explain(request);
  if (!trace) {
    return TextReply(kStatusNotFound, "not remembered here\n");
  }
  HttpReply reply;
  reply.m_body = std::move(*trace);
  return reply;
}

}  // namespace jackdawrack
