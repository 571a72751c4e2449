#include "tool/load_report.h"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "tool/text_table.h"

namespace jackdawrack {
namespace {

namespace json = boost::json;

json::object RowToJson(const LoadRow& row) {
  return json::object{
      {"name", row.m_name},
      {"sent", row.m_counts.m_sent},
      {"complete", row.m_counts.m_complete},
      {"partial", row.m_counts.m_partial},
      {"refused", row.m_counts.m_refused},
      {"failed", row.m_counts.m_failed},
      {"coverage", row.m_counts.CoverageShare()},
      {"qps", row.m_per_second},
      {"p50_ms", row.m_latency.m_p50_ms},
      {"p99_ms", row.m_latency.m_p99_ms},
      {"p999_ms", row.m_latency.m_p999_ms},
  };
}

json::array RowsToJson(const std::vector<LoadRow>& rows) {
  json::array array;
  for (const LoadRow& row : rows) {
    array.push_back(RowToJson(row));
  }
  return array;
}

}  // namespace

std::string LoadReport::ToText() const {
  TextTable table({"kind", "sent", "complete", "partial", "refused", "failed",
                   "qps", "p50 ms", "p99 ms", "p99.9 ms", "coverage"});
  for (const LoadRow& row : m_rows) {
    const LoadCounts& counts = row.m_counts;
    table.AddRow({row.m_name, fmt::format("{}", counts.m_sent),
                  fmt::format("{}", counts.m_complete),
                  fmt::format("{}", counts.m_partial),
                  fmt::format("{}", counts.m_refused),
                  fmt::format("{}", counts.m_failed),
                  fmt::format("{:.1f}", row.m_per_second),
                  fmt::format("{:.2f}", row.m_latency.m_p50_ms),
                  fmt::format("{:.2f}", row.m_latency.m_p99_ms),
                  fmt::format("{:.2f}", row.m_latency.m_p999_ms),
                  fmt::format("{:.5f}", counts.CoverageShare())});
  }
  return fmt::format("{}seed {}, {:.1f} s counted, {} arrivals not sent\n",
                     table.ToText(), m_seed, m_duration_s, m_unsent);
}

std::string LoadReport::ToJson() const {
  return json::serialize(json::object{
      {"seed", m_seed},
      {"duration_s", m_duration_s},
      {"arrivals", m_arrivals},
      {"unsent", m_unsent},
      {"rows", RowsToJson(m_rows)},
      {"seconds", RowsToJson(m_seconds)},
  });
}

}  // namespace jackdawrack
