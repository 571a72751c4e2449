#include "finished_trace.h"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace jackdawrack {
namespace {

namespace json = boost::json;

using FloatMs = std::chrono::duration<double, std::milli>;

json::object ToStep(const AttemptTrace& attempt) {
  return json::object{
      {"at_ms", FloatMs(attempt.m_sent_after).count()},
      {"step", fmt::format("sent {}", attempt.m_reason)},
      {"owner", attempt.m_upstream},
      {"note",
       fmt::format("{}: {}, status {}, took {:.1f} ms", attempt.m_service,
                   attempt.m_outcome, attempt.m_status,
                   FloatMs(attempt.m_duration).count())},
  };
}

}  // namespace

std::string FinishedTrace::ToJson() const {
  json::array steps;
  for (const AttemptTrace& attempt : m_attempts) {
    steps.push_back(ToStep(attempt));
  }
  const std::string outcome = m_status == 0
                                  ? std::string("caller left")
                                  : fmt::format("status {}", m_status);
  steps.push_back(json::object{
      {"at_ms", FloatMs(m_duration).count()},
      {"step", "finished"},
      {"count", m_missing_shards},
  });
  return json::serialize(json::object{
      {"request", m_request_id},
      {"customer", m_route},
      {"kind", fmt::format("version {}", m_config_version)},
      {"outcome", outcome},
      {"steps", std::move(steps)},
  });
}

}  // namespace jackdawrack
