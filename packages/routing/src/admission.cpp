#include "routing/admission.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {
namespace {

/// Fraction of the target latency that the expected latency of one service may
/// use. The rest covers the slowest of several services and the network round
/// trip to the caller.
constexpr double kUsableTargetFraction = 0.25;

/// Minimum retry delay; about one round trip through the load balancer.
constexpr Milliseconds kMinRetryAfter{20};

/// The retry delay is at most the remaining time divided by this.
constexpr int kRetryAfterDivisor = 3;

using FloatMs = std::chrono::duration<double, std::milli>;

Duration FromMs(double ms) {
  return std::chrono::duration_cast<Duration>(FloatMs(ms));
}

}  // namespace

ServiceLoad EstimateLoad(std::span<const ReplicaCandidate> replicas,
                         std::size_t queued_requests) {
  double in_flight = 0;
  double throughput_per_ms = 0;
  for (const ReplicaCandidate& replica : replicas) {
    if (replica.m_is_usable && !IsStalled(replica)) {
      in_flight += replica.m_in_flight;
      throughput_per_ms +=
          replica.m_in_flight / FloatMs(replica.m_latency).count();
    }
  }
  if (throughput_per_ms <= 0) {
    return ServiceLoad{};
  }
  return ServiceLoad{
      FromMs(static_cast<double>(queued_requests) / throughput_per_ms),
      FromMs(in_flight / throughput_per_ms)};
}

std::optional<BusyRefusal> RefuseIfBusy(const AdmissionRequest& request,
                                        std::vector<ServiceLoad> loads) {
  JR_CHECK(!loads.empty());

  // Select the slowest required service: the answers of the slowest
  // `m_optional_services` services are not needed
  const std::size_t index =
      std::min(request.m_optional_services, loads.size() - 1);
  const auto slowest_required =
      loads.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(loads.begin(), slowest_required, loads.end(),
                   [](const ServiceLoad& a, const ServiceLoad& b) {
                     return a.Total() > b.Total();
                   });
  const double usable_fraction =
      kUsableTargetFraction / (1.0 + request.m_relative_priority);
  const Duration usable_latency =
      FromMs(usable_fraction * FloatMs(request.m_target_latency).count());
  if (slowest_required->m_queueing_delay == Duration::zero() ||
      slowest_required->Total() <= usable_latency) {
    return std::nullopt;
  }
  const auto max_retry_after = std::chrono::duration_cast<Milliseconds>(
      request.m_remaining_time / kRetryAfterDivisor);
  const auto queueing_delay = std::chrono::duration_cast<Milliseconds>(
      slowest_required->m_queueing_delay);
  return BusyRefusal{
      std::min(std::max(queueing_delay, kMinRetryAfter), max_retry_after),
      *slowest_required};
}

}  // namespace jackdawrack
