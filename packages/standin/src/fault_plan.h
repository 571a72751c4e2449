#pragma once

#include <random>
#include <vector>

#include "standin/fault_rule.h"

namespace jackdawrack {

/// The rules in force and the seeded draws from them.
class FaultPlan final {
 public:
  explicit FaultPlan(std::uint64_t seed) : m_random(seed) {}

  void Replace(std::vector<FaultRule> rules) { m_rules = std::move(rules); }

  /// True if a rule of this fault matches the connection.
  [[nodiscard]] bool Has(ProxyFault fault,
                         const ProxyLink& link,
                         const std::string& source) const;

  /// How long the next piece of bytes has to wait.
  [[nodiscard]] Milliseconds DrawDelay(const ProxyLink& link,
                                       const std::string& source);

  /// True if the next reply frame is to be duplicated or swapped.
  [[nodiscard]] bool DrawShuffle(const ProxyLink& link,
                                 const std::string& source);

 private:
  [[nodiscard]] bool DrawPerMille(std::uint32_t share);

  std::vector<FaultRule> m_rules;
  std::mt19937_64 m_random;
};

}  // namespace jackdawrack
