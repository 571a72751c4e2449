#include "tool/burn_objective.h"

namespace jackdawrack {
namespace {

constexpr std::uint64_t kMaxLatencyMs = 600'000;

}  // namespace

void BurnObjectives::Read(const std::string& file,
                          const std::string& text,
                          std::vector<IniProblem>& problems) {
  const IniDocument document = IniDocument::Parse(file, text, problems);
  document.RefuseUnknownSections({"objective"}, problems);
  for (const IniSection* section : document.All("objective")) {
    IniSectionReader reader(file, *section, problems);
    BurnObjective objective;
    objective.m_latency_ms = static_cast<std::uint32_t>(reader.Number(
        "latency_ms", NumberBounds{1, kMaxLatencyMs}, m_fallback.m_latency_ms));
    objective.m_latency_share =
        reader.Ratio("latency_share", m_fallback.m_latency_share);
    objective.m_coverage_share =
        reader.Ratio("coverage_share", m_fallback.m_coverage_share);
    reader.RefuseUnknownKeys();
    m_customers[Customer(section->m_name)] = objective;
  }
}

const BurnObjective& BurnObjectives::For(const Customer& customer) const {
  const auto found = m_customers.find(customer);
  return found == m_customers.end() ? m_fallback : found->second;
}

}  // namespace jackdawrack
