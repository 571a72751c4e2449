#include "routing/spent_time_estimator.h"

#include <algorithm>

namespace jackdawrack {

Duration SpentTimeEstimator::Estimate(const Route& route,
                                      Milliseconds deadline) {
  // Ignore time beyond the route's timeout, so that one caller's long deadline
  // does not affect the others
  const Milliseconds remaining = std::min(deadline, route.m_timeout);
  Milliseconds& longest = m_longest_deadlines[route.m_name];
  longest = std::max(longest, remaining);
  const Milliseconds first_deadline = std::min(longest, route.m_timeout);
  return std::min<Duration>(first_deadline - remaining,
                            route.m_target_latency / 2);
}

}  // namespace jackdawrack
