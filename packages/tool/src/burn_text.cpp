#include <fmt/format.h>

#include "tool/burn_report.h"
#include "tool/text_table.h"

namespace jackdawrack {
namespace {

constexpr double kPercent = 100;

std::string WindowTable(const CustomerBurn& burn) {
  const BurnObjective& objective = burn.m_objective;
  TextTable table({"window", "queries", "slow", "latency burn",
                   "latency budget left", "partial", "below contract",
                   "coverage burn", "coverage budget left"});
  for (const BurnWindow& window : burn.m_windows) {
    const BurnCounts& counts = window.m_counts;
    table.AddRow(
        {window.m_name, fmt::format("{}", counts.m_queries),
         fmt::format("{}", counts.m_slow),
         fmt::format("{:.2f}", BurnRate(counts.m_slow, counts.m_queries,
                                        objective.m_latency_share)),
         fmt::format("{:.1f} %",
                     kPercent * BudgetLeft(counts.m_slow, counts.m_queries,
                                           objective.m_latency_share)),
         fmt::format("{}", counts.m_partial),
         fmt::format("{}", counts.m_insufficient),
         fmt::format("{:.2f}", BurnRate(counts.m_partial, counts.m_queries,
                                        objective.m_coverage_share)),
         fmt::format("{:.1f} %",
                     kPercent * BudgetLeft(counts.m_partial, counts.m_queries,
                                           objective.m_coverage_share))});
  }
  return table.ToText();
}

std::string CauseTable(const CustomerBurn& burn) {
  const BurnCounts& counts = burn.m_windows.back().m_counts;
  if (counts.m_causes.empty()) {
    return "nothing was spent by a known cause\n";
  }
  TextTable table({"spent by", "count", "of queries"});
  for (const auto& [cause, count] : counts.m_causes) {
    const double share = counts.m_queries == 0
                             ? 0
                             : static_cast<double>(count) /
                                   static_cast<double>(counts.m_queries);
    table.AddRow({cause, fmt::format("{}", count),
                  fmt::format("{:.3f} %", kPercent * share)});
  }
  return table.ToText();
}

}  // namespace

std::string BurnReport::ToText() const {
  std::string text = fmt::format("{} instances, {} samples every {:.1f} s\n",
                                 m_instances, m_samples, m_interval_s);
  for (const UnreadInstance& unread : m_unread) {
    text += fmt::format("NOT READ: {} in sample {}: {}\n", unread.m_at,
                        unread.m_sample, unread.m_problem);
  }
  if (m_customers.empty()) {
    text += "no customer has sent a query\n";
  }
  for (const CustomerBurn& burn : m_customers) {
    text += fmt::format(
        "\n{}: {:.2f} % within {} ms, {:.2f} % answered whole\n{}\n{}",
        burn.m_customer.Text(), kPercent * burn.m_objective.m_latency_share,
        burn.m_objective.m_latency_ms,
        kPercent * burn.m_objective.m_coverage_share, WindowTable(burn),
        CauseTable(burn));
  }
  return text;
}

}  // namespace jackdawrack
