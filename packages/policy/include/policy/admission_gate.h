#pragma once

#include <cstdint>

#include "core/clock.h"
#include "model/contract.h"
#include "policy/token_bucket.h"

namespace jackdawrack {

/// Result of the admission check of one request.
enum class AdmissionVerdict {
  kAdmitted,
  /// Refused: the usable share of the contract's request rate is used up.
  kOverRate,
  /// Refused: the usable share of the contract's concurrency is used up.
  kOverConcurrency,
};

/// Limits one customer's requests at one instance to the share of the
/// contract's rate and concurrency limits that the instance may use. Not
/// thread-safe.
class AdmissionGate final {
 public:
  /// Admits or refuses one request. `fraction` is the share of the contract's
  /// limits that this instance may use at `now`; it must not be negative. Each
  /// admitted request has to be followed by one call of `Release`.
  AdmissionVerdict Admit(const Contract& contract,
                         double fraction,
                         TimePoint now);

  /// Ends an admitted request and frees its concurrency.
  void Release();

  /// Returns the share of the contract's limits that recently admitted requests
  /// use at this instance: the greater of the shares of rate and concurrency.
  [[nodiscard]] double UsedFraction(const Contract& contract,
                                    TimePoint now) const;

  /// Returns the share of the contract's limits that recent requests need at
  /// this instance, refused requests included. Exceeds 1 if callers send more
  /// than the contract allows.
  [[nodiscard]] double DemandFraction(const Contract& contract,
                                      TimePoint now) const;

  /// Number of admitted requests that have not been released.
  [[nodiscard]] std::uint32_t Running() const { return m_running; }

 private:
  /// Request counts of one time window.
  struct Window {
    std::uint32_t m_offered = 0;
    std::uint32_t m_admitted = 0;
    std::uint32_t m_peak_running = 0;
    /// Like `m_peak_running`, but counts a request refused for concurrency too.
    std::uint32_t m_peak_demand = 0;
  };

  void AdvanceWindow(TimePoint now);
  [[nodiscard]] Window BusiestWindow(TimePoint now) const;

  TokenBucket m_rate_bucket;
  std::uint32_t m_running = 0;

  // Request counts of the current window and the one before it
  TimePoint m_window_start{};
  Window m_window;
  Window m_previous_window;
};

}  // namespace jackdawrack
