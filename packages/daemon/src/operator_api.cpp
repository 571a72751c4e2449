#include "operator_api.h"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "core/event.h"
#include "core/hash.h"

namespace jackdawrack {
namespace {

namespace json = boost::json;

constexpr unsigned kUnavailable = 503;
constexpr std::string_view kExplainPrefix = "/v1/explain/";

HttpReply TextReply(unsigned status, std::string text) {
  HttpReply reply;
  reply.m_status = status;
  reply.m_content_type = "text/plain; charset=utf-8";
  reply.m_body = std::move(text);
  return reply;
}

HttpReply JsonReply(const json::value& value) {
  HttpReply reply;
  reply.m_body = json::serialize(value);
  return reply;
}

const char* StateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kUnreachable:
      return "unreachable";
    case MemberState::kLeaving:
      return "leaving";
  }
  return "unknown";
}

json::object ConfigJson(const ControlStatus& status) {
  json::array values;
  for (const ValueStatus& value : status.m_values) {
    values.push_back(json::object{
        {"name", value.m_digest.m_name},
        {"version", value.m_digest.m_rank.m_version},
        {"hash", fmt::format("{:016x}", value.m_digest.m_rank.m_text_hash)},
        {"platform_revision", value.m_config_service_revision},
        {"generation", value.m_generation},
        {"conflict", value.m_has_conflict},
    });
  }
  return json::object{
      {"watcher", status.m_is_watcher},
      {"joined", status.m_is_joined},
      {"hash", fmt::format("{:016x}", status.m_root_hash)},
      {"values", std::move(values)},
  };
}

json::array MembershipJson(const ControlStatus& status) {
  json::array members;
  for (const MemberStatus& member : status.m_members) {
    members.push_back(json::object{
        {"id", member.m_instance.Text()},
        {"state", StateName(member.m_state)},
        {"incarnation", member.m_incarnation},
    });
  }
  return members;
}

}  // namespace

OperatorApi::OperatorApi(const InstanceSettings& settings,
                         const FleetViewHolder& holder,
                         MetricsRegistry& metrics,
                         const ControlService& control,
                         const EntryService& entry,
                         const OwnerService& owner,
                         const std::atomic<bool>& stopping)
    : m_settings(settings),
      m_holder(holder),
      m_metrics(metrics),
      m_control(control),
      m_entry(entry),
      m_owner(owner),
      m_stopping(stopping) {}

HttpReply OperatorApi::Handle(const HttpRequest& request) {
  if (request.m_target == "/healthz") {
    return TextReply(200, "ok\n");
  }
  if (request.m_target == "/readyz") {
    return Readiness();
  }
  if (request.m_target == "/metrics") {
    return TextReply(200, m_metrics.ToText());
  }
  if (request.m_target == "/v1/status") {
    return Status();
  }
  if (request.m_target == "/v1/contracts") {
    return Contracts();
  }
  if (request.m_target.compare(0, kExplainPrefix.size(), kExplainPrefix) == 0) {
    return Explain(request.m_target.substr(kExplainPrefix.size()));
  }
  return TextReply(404,
                   "accepted are /healthz, /readyz, /metrics, /v1/status, "
                   "/v1/contracts and /v1/explain/REQUEST-ID\n");
}

bool OperatorApi::IsReady() const {
  return !m_stopping && m_control.IsSynced() && m_entry.IsReady() &&
         m_owner.IsReady();
}

HttpReply OperatorApi::Readiness() {
  const bool is_ready = IsReady();
  if (m_was_ready.exchange(is_ready) != is_ready) {
    LogEvent(EventId::kReadinessChanged, "ready={}", is_ready ? "yes" : "no");
  }
  return is_ready ? TextReply(200, "ready\n")
                  : TextReply(kUnavailable, "not ready\n");
}

HttpReply OperatorApi::Status() const {
  const auto view = m_holder.Get();
  json::array collections;
  for (const auto& [name, map] : view->State().m_collections) {
    collections.push_back(json::object{
        {"name", name.Text()},
        {"revision", map->Revision()},
        {"index_version", map->IndexVersion()},
        {"shards", map->Shards().size()},
        {"upstreams", map->Upstreams().size()},
    });
  }
  json::array instances;
  for (const Instance& instance : view->State().m_instances) {
    instances.push_back(json::object{
        {"id", instance.m_id.Text()},
        {"failure_domain", instance.m_domain.Text()},
        {"state",
         instance.m_state == InstanceState::kLive ? "live" : "leaving"},
    });
  }
  return JsonReply(json::object{
      {"instance", m_settings.m_id.Text()},
      {"failure_domain", m_settings.m_domain.Text()},
      {"version", JACKDAWRACK_VERSION},
      {"ready", IsReady()},
      {"stopping", m_stopping.load()},
      {"config_age_ms", m_control.ConfigAge().count()},
      {"last_exchange_ms", m_control.TimeSinceExchange().count()},
      {"config", ConfigJson(*m_control.Status())},
      {"membership", MembershipJson(*m_control.Status())},
      {"collections", std::move(collections)},
      {"instances", std::move(instances)},
  });
}

HttpReply OperatorApi::Explain(const std::string& id) const {
  const auto request = RequestId::Parse(id);
  if (!request) {
    return TextReply(400, "accepted is a request id as an answer names it\n");
  }
  const auto trace = m_entry.Explain(*request);
  if (!trace) {
    return TextReply(404, "not remembered here\n");
  }
  HttpReply reply;
  reply.m_body = *trace;
  return reply;
}

HttpReply OperatorApi::Contracts() const {
  const auto view = m_holder.Get();
  json::array contracts;
  for (const auto& [customer, contract] : view->State().m_contracts) {
    contracts.push_back(json::object{
        {"customer", customer.Text()},
        {"version", contract->Version()},
        {"text_hash", fmt::format("{:016x}", Hash64(contract->Text()))},
        {"rate_per_second", contract->RatePerSecond()},
        {"concurrency", contract->Concurrency()},
        {"deadline_ms", contract->DeadlineMs()},
        {"minimum_coverage", contract->MinimumCoverage()},
    });
  }
  return JsonReply(
      json::object{{"instance", m_settings.m_id.Text()},
                   {"config_age_ms", m_control.ConfigAge().count()},
                   {"contracts", std::move(contracts)}});
}

}  // namespace jackdawrack
