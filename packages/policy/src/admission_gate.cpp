#include "policy/admission_gate.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {
namespace {

/// Offered requests are counted over windows of this length.
constexpr Milliseconds kDemandWindow{500};

/// Time for which unused rate is saved up; a longer one lets a second exceed
/// the contract by more.
constexpr double kBurstSeconds = 0.02;

/// Small parts save up for longer, up to so many requests, so that two that
/// come together are not refused; the parts of one contract together stay under
/// the twentieth of a second's requests by which it may be exceeded.
constexpr double kSmallBurst = 2.0;
constexpr double kSmallBurstSeconds = 0.048;

constexpr double kLeastBurst = 1.0;

double BurstOf(double rate) {
  const double small = std::min(kSmallBurst, rate * kSmallBurstSeconds);
  return std::max({kLeastBurst, small, rate * kBurstSeconds});
}

/// Keeps a whole number of requests whole when fractions are summed.
constexpr double kRoundingSlack = 1e-6;

double RateFraction(const Contract& contract, std::uint32_t in_window) {
  const double window_s = std::chrono::duration<double>(kDemandWindow).count();
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
  OpenWindow(now);
  ++m_window.m_offered;

  // Check concurrency first, so that a refusal takes no token
  const double allowed = fraction * contract.Concurrency() + kRoundingSlack;
  if (m_running + 1.0 > allowed) {
    m_window.m_peak_wanted = std::max(m_window.m_peak_wanted, m_running + 1);
    return AdmissionVerdict::kOverConcurrency;
  }

  // Check the rate
  const double rate = fraction * contract.RatePerSecond();
  m_rate.SetRate(rate, BurstOf(rate), now);
  if (!m_rate.TryTake(now)) {
    return AdmissionVerdict::kOverRate;
  }
  ++m_running;
  ++m_window.m_admitted;
  m_window.m_peak_running = std::max(m_window.m_peak_running, m_running);
  m_window.m_peak_wanted = std::max(m_window.m_peak_wanted, m_running);
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
                  ConcurrencyFraction(contract, busiest.m_peak_wanted));
}

void AdmissionGate::OpenWindow(TimePoint now) {
  if (now < m_window_start + kDemandWindow) {
    return;
  }
  const bool is_adjacent = now < m_window_start + 2 * kDemandWindow;
  m_window_before = is_adjacent ? m_window : Window();
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
    busiest.m_peak_wanted =
        std::max(busiest.m_peak_wanted, window.m_peak_wanted);
  };

  // Leave out what is older than two windows
  if (now < m_window_start + kDemandWindow) {
    include(m_window_before);
  }
  if (now < m_window_start + 2 * kDemandWindow) {
    include(m_window);
  }
  return busiest;
}

}  // namespace jackdawrack
