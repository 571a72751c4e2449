#include <stdexcept>

#include "fleet_http.h"
#include "testing/test_fleet.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kCallTimeout{10'000};

}  // namespace

HttpReply TestFleet::Query(const std::string& instance,
                           const std::string& body) {
  return CallOrZero(
      Callers(instance),
      MakePost("/v1/query",
               boost::json::serialize(boost::json::object{
                   {"customer", "acme"}, {"kind", "look"}, {"body", body}})),
      kCallTimeout);
}

HttpReply TestFleet::Book(const std::string& instance,
                          const std::string& key,
                          const std::string& idempotency_key,
                          const std::string& body,
                          bool is_resend) {
  HttpRequest request =
      MakePost("/v1/request",
               boost::json::serialize(boost::json::object{{"customer", "acme"},
                                                          {"kind", "book"},
                                                          {"key", key},
                                                          {"body", body}}));
  request.m_headers.push_back({"Idempotency-Key", idempotency_key});
  if (is_resend) {
    request.m_headers.push_back({"Idempotency-Resend", "true"});
  }
  return CallOrZero(Callers(instance), std::move(request), kCallTimeout);
}

HttpReply TestFleet::Operator(const std::string& instance,
                              const std::string& target,
                              Milliseconds timeout) {
  HttpRequest request;
  request.m_target = target;
  return CallOrZero(
      At(static_cast<std::uint16_t>(Find(instance).m_first_place + 2)),
      std::move(request), timeout);
}

void TestFleet::SetUpstream(const std::string& upstream,
                            const std::string& json) {
  (void)CallControl(m_map.Find(upstream).m_endpoint,
                    MakePost("/control/set", json));
}

boost::json::object TestFleet::UpstreamCounts(const std::string& upstream) {
  HttpRequest request;
  request.m_target = "/control/counts";
  const HttpReply reply =
      CallOrZero(m_map.Find(upstream).m_endpoint, request, kControlCallTimeout);
  return ParseJsonObject(reply.m_body).value_or(boost::json::object());
}

std::uint64_t TestFleet::Executions(const std::string& idempotency_key) {
  std::uint64_t count = 0;
  for (const Upstream& upstream : m_map.m_upstreams) {
    const boost::json::object counts = UpstreamCounts(upstream.m_id.Text());
    if (const auto* executions = counts.if_contains("executions")) {
      count += JsonNumber(executions->as_object(), idempotency_key.c_str());
    }
  }
  return count;
}

ExecutionCounts TestFleet::AllExecutions() {
  ExecutionCounts total;
  for (const Upstream& upstream : m_map.m_upstreams) {
    HttpRequest request;
    request.m_target = "/control/counts";
    const auto counts =
        ParseJsonObject(CallControl(upstream.m_endpoint, request).m_body);
    if (!counts || !counts->contains("executions")) {
      throw std::runtime_error("no counts of " + upstream.m_id.Text());
    }
    for (const auto& [key, count] : counts->at("executions").as_object()) {
      total[std::string(key)] += count.to_number<std::uint64_t>();
    }
  }
  return total;
}

std::uint64_t TestFleet::ContractVersion(const std::string& instance,
                                         Milliseconds timeout) {
  return ContractNumber(instance, "version", timeout);
}

std::uint64_t TestFleet::ContractDeadlineMs(const std::string& instance) {
  return ContractNumber(instance, "deadline_ms", kControlCallTimeout);
}

std::uint64_t TestFleet::ContractNumber(const std::string& instance,
                                        const char* name,
                                        Milliseconds timeout) {
  const auto reply =
      ParseJsonObject(Operator(instance, "/v1/contracts", timeout).m_body);
  if (!reply || !reply->contains("contracts")) {
    return 0;
  }
  for (const auto& contract : reply->at("contracts").as_array()) {
    if (JsonText(contract.as_object(), "customer") == "acme") {
      return JsonNumber(contract.as_object(), name);
    }
  }
  return 0;
}

}  // namespace jackdawrack
