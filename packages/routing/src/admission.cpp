#include "routing/admission.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {
namespace {

/// Part of the target latency that may be expected to pass for one service; the
/// last of several takes longer, and the way to the caller comes on top.
constexpr double kUsableTarget = 0.25;

/// Least pause asked for; the balancer's way there and back takes as long.
constexpr Milliseconds kLeastPause{20};

/// Callers wait for at most this part of the time that they have left.
constexpr int kPauseDivisor = 3;

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

  // The service that is answered last among those that are needed
  const std::size_t place =
      std::min(request.m_spare_services, loads.size() - 1);
  const auto decisive = loads.begin() + static_cast<std::ptrdiff_t>(place);
  std::nth_element(loads.begin(), decisive, loads.end(),
                   [](const ServiceLoad& a, const ServiceLoad& b) {
                     return a.Total() > b.Total();
                   });
  const double part = kUsableTarget / (1.0 + request.m_rank);
  const Duration usable =
      FromMs(part * FloatMs(request.m_target_latency).count());
  if (decisive->m_wait == Duration::zero() || decisive->Total() <= usable) {
    return std::nullopt;
  }
  const auto longest = std::chrono::duration_cast<Milliseconds>(
      request.m_time_left / kPauseDivisor);
  const auto wait = std::chrono::duration_cast<Milliseconds>(decisive->m_wait);
  return BusyRefusal{std::min(std::max(wait, kLeastPause), longest), *decisive};
}

}  // namespace jackdawrack
