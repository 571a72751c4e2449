#pragma once

#include <cstdint>

#include "core/clock.h"
#include "model/contract.h"
#include "policy/token_bucket.h"

namespace jackdawrack {

/// Whether a request may run under its contract.
enum class AdmissionVerdict {
  kAdmitted,
  kOverRate,
  kOverConcurrency,
};

/// Holds one customer's requests at one instance to a part of its contract.
class AdmissionGate final {
 public:
  /// Decides on one request; `fraction` is the part of the contract that this
  /// instance may use now. An admitted request has to be released.
  AdmissionVerdict Admit(const Contract& contract,
                         double fraction,
                         TimePoint now);

  /// Notes that an admitted request has ended.
  void Release();

  /// The part of the contract that admitted requests use here.
  [[nodiscard]] double UsedFraction(const Contract& contract,
                                    TimePoint now) const;

  /// The part of the contract that callers ask for here, refused ones
  /// included; above the contract's own limits it can exceed 1.
  [[nodiscard]] double DemandFraction(const Contract& contract,
                                      TimePoint now) const;

  [[nodiscard]] std::uint32_t Running() const { return m_running; }

 private:
  /// Requests of one window of time.
  struct Window {
    std::uint32_t m_offered = 0;
    std::uint32_t m_admitted = 0;
    std::uint32_t m_peak_running = 0;
    /// The same, and one more if a request was refused for concurrency.
    std::uint32_t m_peak_wanted = 0;
  };

  void OpenWindow(TimePoint now);
  [[nodiscard]] Window BusiestWindow(TimePoint now) const;

  TokenBucket m_rate;
  std::uint32_t m_running = 0;

  // Demand, counted in windows of fixed length
  TimePoint m_window_start{};
  Window m_window;
  Window m_window_before;
};

}  // namespace jackdawrack
