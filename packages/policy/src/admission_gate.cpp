#include "policy/admission_gate.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {
namespace {

/// Length of the windows over which used and needed shares are measured.
constexpr Milliseconds kWindowLength{500};

/// Burst size in seconds of the allowed rate. Bounds by how much the requests
/// admitted within one second can exceed the contract.
constexpr double kBurstSeconds = 0.02;

/// At low rates the burst covers a longer time, up to this number of requests,
/// so that two requests in close succession are both admitted. Added up over
/// all instances, bursts of this length stay below one twentieth of the
/// requests of a second, the excess over a contract that is tolerated.
constexpr double kLowRateBurst = 2.0;
constexpr double kLowRateBurstSeconds = 0.048;

constexpr double kMinBurst = 1.0;

double BurstForRate(double rate) {
  const double low_rate_burst =
      std::min(kLowRateBurst, rate * kLowRateBurstSeconds);
  return std::max({kMinBurst, low_rate_burst, rate * kBurstSeconds});
}

/// Tolerance for the rounding errors of summed fractions, which could otherwise
/// reduce the allowed concurrency by one request.
constexpr double kRoundingTolerance = 1e-6;

double RateFraction(const Contract& contract, std::uint32_t in_window) {
  const double window_s = std::chrono::duration<double>(kWindowLength).count();
  return in_window / window_s / contract.RatePerSecond();
}

double ConcurrencyFraction(const Contract& contract, std::uint32_t running) {
  return static_cast<double>(running) / contract.Concurrency();
}

}  // namespace

AdmissionVerdict AdmissionGate::Admit(const Contract& contract,
                                      double fraction,
                                      TimePoint now) {
  JR_CHECK(fraction >= 0);
  AdvanceWindow(now);
  ++m_window.m_offered;

  // Check concurrency first, so that a refusal consumes no rate token
  const double allowed = fraction * contract.Concurrency() + kRoundingTolerance;
  if (m_running + 1.0 > allowed) {
    m_window.m_peak_demand = std::max(m_window.m_peak_demand, m_running + 1);
    return AdmissionVerdict::kOverConcurrency;
  }

  // Check the rate
  const double rate = fraction * contract.RatePerSecond();
  m_rate_bucket.SetRate(rate, BurstForRate(rate), now);
  if (!m_rate_bucket.TryTake(now)) {
    return AdmissionVerdict::kOverRate;
  }
  ++m_running;
  ++m_window.m_admitted;
  m_window.m_peak_running = std::max(m_window.m_peak_running, m_running);
  m_window.m_peak_demand = std::max(m_window.m_peak_demand, m_running);
  return AdmissionVerdict::kAdmitted;
}

void AdmissionGate::Release() {
  JR_CHECK(m_running > 0);
  --m_running;
}

double AdmissionGate::UsedFraction(const Contract& contract,
                                   TimePoint now) const {
  const Window busiest = BusiestWindow(now);
  return std::max(RateFraction(contract, busiest.m_admitted),
                  ConcurrencyFraction(contract, busiest.m_peak_running));
}

double AdmissionGate::DemandFraction(const Contract& contract,
                                     TimePoint now) const {
  const Window busiest = BusiestWindow(now);
  return std::max(RateFraction(contract, busiest.m_offered),
                  ConcurrencyFraction(contract, busiest.m_peak_demand));
}

void AdmissionGate::AdvanceWindow(TimePoint now) {
  if (now < m_window_start + kWindowLength) {
    return;
  }
  const bool is_adjacent = now < m_window_start + 2 * kWindowLength;
  m_previous_window = is_adjacent ? m_window : Window();
  m_window = Window{0, 0, m_running, m_running};
  m_window_start = now;
}

AdmissionGate::Window AdmissionGate::BusiestWindow(TimePoint now) const {
  Window busiest{0, 0, m_running, m_running};
  const auto include = [&busiest](const Window& window) {
    busiest.m_offered = std::max(busiest.m_offered, window.m_offered);
    busiest.m_admitted = std::max(busiest.m_admitted, window.m_admitted);
    busiest.m_peak_running =
        std::max(busiest.m_peak_running, window.m_peak_running);
    busiest.m_peak_demand =
        std::max(busiest.m_peak_demand, window.m_peak_demand);
  };

  // Ignore counts that are older than two windows
  if (now < m_window_start + kWindowLength) {
    include(m_previous_window);
  }
  if (now < m_window_start + 2 * kWindowLength) {
    include(m_window);
  }
  return busiest;
}

}  // namespace jackdawrack
