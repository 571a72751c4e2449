#include "active_request.h"

#include <algorithm>

namespace jackdawrack {
namespace {

constexpr unsigned kStatusBadGateway = 502;
constexpr unsigned kStatusTimeout = 504;

/// Retry-After of a refused request: time for an upstream's slot to become
/// free.
constexpr Milliseconds kRetryAfter{50};

/// The Retry-After is at most the caller's remaining time divided by this.
constexpr int kRetryAfterDivisor = 3;

}  // namespace

CallerResponse MakeNoUpstreamResponse(const RoutedRequest& request,
                                      std::optional<TimePoint> retry_at,
                                      TimePoint now) {
  const Milliseconds left(RemainingMs(now, request.m_deadline));
  const Milliseconds delay =
      retry_at ? Milliseconds(RemainingMs(now, *retry_at)) : kRetryAfter;
  return MakeServiceUnavailableResponse(
      std::min(delay, left / kRetryAfterDivisor),
      "No upstream can take the request now.");
}

CallerResponse MakeOutcomeUnknownResponse(const RoutedRequest& request,
                                          TimePoint now) {
  if (now >= request.m_deadline) {
    return MakeLocalResponse(kStatusTimeout, "No answer came in time.");
  }
  return MakeLocalResponse(kStatusBadGateway, "The upstreams gave no answer.");
}

}  // namespace jackdawrack
