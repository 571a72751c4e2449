#include "trace_codec.h"

#include <boost/json.hpp>

namespace jackdawrack {
namespace {

namespace json = boost::json;

constexpr double kUsPerMs = 1000.0;

json::object EncodeStep(const TraceStep& step) {
  json::object object{
      {"at_ms", step.m_at_us / kUsPerMs},
      {"step", TraceStepName(step.m_kind)},
      {"count", step.m_ranges},
  };
  if (!step.m_owner.IsEmpty()) {
    object["owner"] = step.m_owner.Text();
  }
  if (step.m_kind == TraceStepKind::kAnswered) {
    object["reason"] = MissReasonName(step.m_reason);
  }
  if (!step.m_note.empty()) {
    object["note"] = step.m_note;
  }
  if (step.m_index_version != 0) {
    object["index_version"] = step.m_index_version;
  }
  return object;
}

}  // namespace

std::string EncodeTrace(const TraceRecord& record) {
  json::array steps;
  for (const TraceStep& step : record.m_steps) {
    steps.push_back(EncodeStep(step));
  }
  return json::serialize(json::object{
      {"request", record.m_request.ToText()},
      {"customer", record.m_customer.Text()},
      {"kind", record.m_kind},
      {"started_unix_ms", record.m_started_ms},
      {"outcome", record.m_outcome},
      {"dropped_steps", record.m_dropped_steps},
      {"steps", std::move(steps)},
  });
}

}  // namespace jackdawrack
