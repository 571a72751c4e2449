#include "model/contract.h"

#include <algorithm>

namespace jackdawrack {
namespace {

constexpr std::uint64_t kMaxDeadlineMs = 60'000;
constexpr std::uint64_t kMaxRatePerSecond = 10'000'000;
constexpr std::uint64_t kMaxConcurrency = 10'000'000;

RequestKind ReadKind(const std::string& file,
                     const IniSection& section,
                     std::vector<IniProblem>& problems) {
  IniSectionReader reader(file, section, problems);
  RequestKind kind;
  kind.m_name = section.m_name;
  kind.m_collection = CollectionName(reader.Text("collection"));
  kind.m_idempotent = reader.Flag("idempotent");
  reader.RefuseUnknownKeys();
  return kind;
}

}  // namespace

Contract Contract::Parse(const std::string& file,
                         const std::string& text,
                         std::vector<IniProblem>& problems) {
  const IniDocument document = IniDocument::Parse(file, text, problems);
  document.RefuseUnknownSections({"contract", "limits", "query", "kind"},
                                 problems);
  document.CheckNames({"kind"}, problems);
  Contract contract;
  contract.m_text = text;

  // Read whose contract it is
  IniSectionReader head(file, document.Require("contract", problems), problems);
  contract.m_customer = Customer(head.Text("customer"));
  contract.m_version = head.Number("version", NumberBounds{1, UINT64_MAX});
  head.RefuseUnknownKeys();

  // Read the limits
  IniSectionReader limits(file, document.Require("limits", problems), problems);
  contract.m_deadline_ms = static_cast<std::uint32_t>(
      limits.Number("deadline_ms", NumberBounds{1, kMaxDeadlineMs}));
  contract.m_rate_per_second = static_cast<std::uint32_t>(
      limits.Number("rate_per_second", NumberBounds{1, kMaxRatePerSecond}));
  contract.m_concurrency = static_cast<std::uint32_t>(
      limits.Number("concurrency", NumberBounds{1, kMaxConcurrency}));
  limits.RefuseUnknownKeys();

  // Read what a query may cost and must cover
  IniSectionReader query(file, document.FindOrEmpty("query"), problems);
  contract.m_minimum_coverage = query.Ratio("minimum_coverage", 1.0);
  contract.m_hedge_share = query.Ratio("hedge_share", 0.03);
  contract.m_retry_share = query.Ratio("retry_share", 0.05);
  query.RefuseUnknownKeys();

  // Read the kinds of request
  for (const IniSection* section : document.All("kind")) {
    contract.m_kinds.push_back(ReadKind(file, *section, problems));
  }
  if (contract.m_kinds.empty()) {
    problems.push_back(IniProblem{file, "kind", "", "missing section"});
  }
  return contract;
}

const RequestKind* Contract::FindKind(const std::string& name) const {
  const auto found = std::find_if(
      m_kinds.begin(), m_kinds.end(),
      [&](const RequestKind& kind) { return kind.m_name == name; });
  return found == m_kinds.end() ? nullptr : &*found;
}

}  // namespace jackdawrack
