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
                         std::size_t waiting) {
  double under_way = 0;
  double answers_per_ms = 0;
  for (const ReplicaCandidate& replica : replicas) {
    if (replica.m_is_usable && !IsStalled(replica)) {
      under_way += replica.m_in_flight;
      answers_per_ms +=
          replica.m_in_flight / FloatMs(replica.m_latency).count();
    }
  }
  if (answers_per_ms <= 0) {
    return ServiceLoad{};
  }
  return ServiceLoad{FromMs(static_cast<double>(waiting) / answers_per_ms),
                     FromMs(under_way / answers_per_ms)};
}

std::optional<BusyRefusal> RefuseIfBusy(const AdmissionRequest& request,
                                        std::vector<ServiceLoad> loads) {
  JR_CHECK(!loads.empty());

  // Select the slowest of the required services: the request may skip the
  // slowest `m_spare_services` ones
  const std::size_t place =
      std::min(request.m_optional_services, loads.size() - 1);
  const auto decisive = loads.begin() + static_cast<std::ptrdiff_t>(place);
  std::nth_element(loads.begin(), decisive, loads.end(),
                   [](const ServiceLoad& a, const ServiceLoad& b) {
                     return a.Total() > b.Total();
                   });
  const double part =
      kUsableTargetFraction / (1.0 + request.m_relative_priority);
  const Duration usable =
      FromMs(part * FloatMs(request.m_target_latency).count());
  if (decisive->m_queueing_delay == Duration::zero() ||
      decisive->Total() <= usable) {
    return std::nullopt;
  }
  const auto longest = std::chrono::duration_cast<Milliseconds>(
      request.m_remaining_time / kRetryAfterDivisor);
  const auto wait =
      std::chrono::duration_cast<Milliseconds>(decisive->m_queueing_delay);
  return BusyRefusal{std::min(std::max(wait, kMinRetryAfter), longest),
                     *decisive};
}

}  // namespace jackdawrack
