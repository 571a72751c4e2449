#include "finished_trace.h"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace jackdawrack {
namespace {

namespace json = boost::json;

using FloatMs = std::chrono::duration<double, std::milli>;

json::object ToStep(const SendTrace& send) {
  return json::object{
      {"at_ms", FloatMs(send.m_after).count()},
      {"step", fmt::format("sent {}", send.m_reason)},
      {"owner", send.m_upstream},
      {"note",
       fmt::format("{}: {}, status {}, took {:.1f} ms", send.m_service,
                   send.m_end, send.m_status, FloatMs(send.m_took).count())},
  };
}

}  // namespace

std::string FinishedTrace::ToJson() const {
  json::array steps;
  for (const SendTrace& send : m_sends) {
    steps.push_back(ToStep(send));
  }
  const std::string outcome = m_status == 0
                                  ? std::string("caller left")
                                  : fmt::format("status {}", m_status);
  steps.push_back(json::object{
      {"at_ms", FloatMs(m_took).count()},
      {"step", "finished"},
      {"count", m_missing},
  });
  return json::serialize(json::object{
      {"request", m_request},
      {"customer", m_route},
      {"kind", fmt::format("version {}", m_version)},
      {"outcome", outcome},
      {"steps", std::move(steps)},
  });
}

}  // namespace jackdawrack
