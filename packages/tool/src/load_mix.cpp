#include "load_mix.h"

#include <fmt/format.h>

#include "caller_call.h"
#include "core/check.h"
#include "tool/uuid.h"

namespace jackdawrack {
namespace {

std::discrete_distribution<std::size_t> MakeDistribution(
    const std::vector<LoadKind>& kinds) {
  std::vector<double> weights;
  for (const LoadKind& kind : kinds) {
    weights.push_back(kind.m_weight);
  }
  return {weights.begin(), weights.end()};
}

}  // namespace

LoadMix::LoadMix(const LoadSettings& settings)
    : m_settings(settings),
      m_random(settings.m_seed),
      m_kinds(MakeDistribution(settings.m_kinds)) {
  JR_CHECK(!settings.m_kinds.empty());
}

std::size_t LoadMix::NextKind() {
  return m_kinds(m_random);
}

HttpRequest LoadMix::MakeRequest(std::size_t kind,
                                 std::uint64_t number,
                                 UnixMs now) const {
  const LoadKind& chosen = m_settings.m_kinds[kind];
  const std::string body = fmt::format("{}{}", m_settings.m_body, number);
  if (chosen.m_is_query) {
    return MakePost("/v1/query", {{"customer", m_settings.m_customer.Text()},
                                  {"kind", chosen.m_name},
                                  {"body", body}});
  }
  HttpRequest request =
      MakePost("/v1/request", {{"customer", m_settings.m_customer.Text()},
                               {"kind", chosen.m_name},
                               {"key", fmt::format("load-{}", number)},
                               {"body", body}});
  request.m_headers.push_back({"Idempotency-Key", MakeUuidV7(now)});
  return request;
}

Duration LoadMix::NextGap() {
  JR_CHECK(m_settings.m_rate > 0);
  std::exponential_distribution<double> gap(m_settings.m_rate);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(m_random)));
}

}  // namespace jackdawrack
