#pragma once

#include <cstdint>

namespace jackdawrack {

/// Tokens earned as a share of primary requests and spent on extra ones, so
/// that over any span the extra requests stay within the share and one burst.
class ShareBudget final {
 public:
  /// `burst` is the greatest number of tokens kept; `initial` the first ones.
  explicit ShareBudget(double burst, double initial = 0)
      : m_burst(burst), m_tokens(initial) {}

  /// Earns for `primaries` requests; `share` is extra requests per primary.
  void Earn(std::size_t primaries, double share) {
    m_tokens += share * static_cast<double>(primaries);
    m_tokens = m_tokens > m_burst ? m_burst : m_tokens;
  }

  /// Takes one token; false if there is none.
  [[nodiscard]] bool TrySpend() {
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

 private:
  const double m_burst;
  double m_tokens;
};

}  // namespace jackdawrack
