#pragma once

#include <cstdint>

namespace jackdawrack {

/// Limits extra requests (hedges or retries) to a ratio of primary requests.
///
/// Each primary request adds a fraction of a token and each extra request takes
/// a whole one. In any time span the extra requests are therefore limited to
/// the ratio plus one burst. Not thread-safe.
class ExtraRequestBudget final {
 public:
  /// `burst` is the maximum number of tokens, `initial` their initial number.
  explicit ExtraRequestBudget(double burst, double initial = 0)
      : m_burst(burst), m_tokens(initial) {}

  /// Adds the tokens for `primaries` primary requests. `ratio` is the number of
  /// extra requests allowed per primary request.
  void Earn(std::size_t primaries, double ratio) {
    m_tokens += ratio * static_cast<double>(primaries);
    m_tokens = m_tokens > m_burst ? m_burst : m_tokens;
  }

  /// Takes one token. Returns false if less than one is left.
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
