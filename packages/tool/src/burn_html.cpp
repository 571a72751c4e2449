#include <fmt/format.h>

#include "html_text.h"
#include "tool/burn_report.h"

namespace jackdawrack {
namespace {

constexpr const char* kPageStart =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>jackdawrack: service-level burn</title><style>"
    "body{font-family:sans-serif;margin:2em;max-width:60em}"
    "table{border-collapse:collapse}td,th{border:1px solid #bbb;"
    "padding:.2em .6em;text-align:right}th:first-child,td:first-child"
    "{text-align:left}.bad{color:#b00;font-weight:bold}</style></head><body>\n"
    "<h1>Service-level burn</h1>\n";
constexpr const char* kPageEnd = "</body></html>\n";
constexpr double kPercent = 100;

std::string RateCell(std::uint64_t bad, std::uint64_t total, double objective) {
  const double rate = BurnRate(bad, total, objective);
  return fmt::format("<td{}>{:.2f}</td><td>{:.1f} %</td>",
                     rate > 1 ? " class=\"bad\"" : "", rate,
                     kPercent * BudgetLeft(bad, total, objective));
}

std::string WindowRows(const CustomerBurn& burn) {
  std::string rows =
      "<table><tr><th>window</th><th>queries</th><th>slow</th>"
      "<th>latency burn</th><th>budget left</th><th>partial</th>"
      "<th>coverage burn</th><th>budget left</th></tr>\n";
  for (const BurnWindow& window : burn.m_windows) {
    const BurnCounts& counts = window.m_counts;
    rows += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}</td>{}<td>{}</td>{}</tr>\n",
        EscapeHtml(window.m_name), counts.m_queries, counts.m_slow,
        RateCell(counts.m_slow, counts.m_queries,
                 burn.m_objective.m_latency_share),
        counts.m_partial,
        RateCell(counts.m_partial, counts.m_queries,
                 burn.m_objective.m_coverage_share));
  }
  return rows + "</table>\n";
}

std::string CauseRows(const CustomerBurn& burn) {
  std::string rows =
      "<h3>Spent by</h3><table><tr><th>cause</th><th>count</th></tr>\n";
  for (const auto& [cause, count] : burn.m_windows.back().m_counts.m_causes) {
    rows += fmt::format("<tr><td>{}</td><td>{}</td></tr>\n", EscapeHtml(cause),
                        count);
  }
  return rows + "</table>\n";
}

std::string Plots(const CustomerBurn& burn) {
  std::vector<double> latency;
  std::vector<double> coverage;
  std::vector<double> queries;
  for (const BurnCounts& sample : burn.m_samples) {
    latency.push_back(BurnRate(sample.m_slow, sample.m_queries,
                               burn.m_objective.m_latency_share));
    coverage.push_back(BurnRate(sample.m_partial, sample.m_queries,
                                burn.m_objective.m_coverage_share));
    queries.push_back(static_cast<double>(sample.m_queries));
  }
  return LinePlot("latency burn rate by sample; dashed: 1", latency) +
         LinePlot("coverage burn rate by sample; dashed: 1", coverage) +
         LinePlot("queries by sample", queries);
}

std::string Section(const CustomerBurn& burn) {
  return fmt::format(
      "<h2>{}</h2><p>Objectives: {:.2f} % within {} ms, {:.2f} % answered "
      "whole.</p>\n{}{}{}",
      EscapeHtml(burn.m_customer.Text()),
      kPercent * burn.m_objective.m_latency_share,
      burn.m_objective.m_latency_ms,
      kPercent * burn.m_objective.m_coverage_share, WindowRows(burn),
      CauseRows(burn), Plots(burn));
}

}  // namespace

std::string BurnReport::ToHtml() const {
  std::string page = kPageStart;
  page += fmt::format("<p>{} instances, {} samples every {:.1f} s.</p>\n",
                      m_instances, m_samples, m_interval_s);
  for (const UnreadInstance& unread : m_unread) {
    page += fmt::format("<p class=\"bad\">Not read: {} in sample {}: {}</p>\n",
                        EscapeHtml(unread.m_at), unread.m_sample,
                        EscapeHtml(unread.m_problem));
  }
  for (const CustomerBurn& burn : m_customers) {
    page += Section(burn);
  }
  return page + kPageEnd;
}

}  // namespace jackdawrack
