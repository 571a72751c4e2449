#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/ini.h"
#include "model/ids.h"

namespace jackdawrack {

/// What one customer's queries are held to.
struct BurnObjective {
  /// A query that takes longer counts as slow.
  std::uint32_t m_latency_ms = 340;
  /// Share of queries that have to be within the latency.
  double m_latency_share = 0.99;
  /// Share of queries that have to be answered whole.
  double m_coverage_share = 0.999;

  friend bool operator==(const BurnObjective&, const BurnObjective&) = default;
};

/// The objectives of all customers; one that is not named has the default.
class BurnObjectives final {
 public:
  explicit BurnObjectives(BurnObjective fallback) : m_fallback(fallback) {}

  /// Reads sections [objective CUSTOMER]; problems are added to `problems`.
  void Read(const std::string& file,
            const std::string& text,
            std::vector<IniProblem>& problems);

  [[nodiscard]] const BurnObjective& For(const Customer& customer) const;

 private:
  BurnObjective m_fallback;
  std::map<Customer, BurnObjective> m_customers;
};

}  // namespace jackdawrack
